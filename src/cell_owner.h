/** @file cell_owner.h Decides for all jobs and targets of a cell: acceptance, placement, orders, ends, recovery. */
#pragma once

#include "cell_job.h"
#include "cell_target.h"
#include "metrics.h"
#include "placement.h"
#include "record_log.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** Bounds of the deployment that the owner's decisions rest on. */
struct CellBounds {
    std::chrono::milliseconds maxHold { 10000 }; ///< Longest lease that a target grants.
    std::chrono::milliseconds stopTimeout { 1000 }; ///< A stop takes effect within this time.
    std::chrono::milliseconds gangTimeout { 3000 }; ///< Members of a gang wait this long for the others.
    std::chrono::milliseconds statusKept { 120000 }; ///< The state of an ended job is shown for this time.
    std::chrono::milliseconds sessionTtl {
        2000
    }; ///< A former owner acts for at most this time after it lost the cell.
    std::chrono::milliseconds impact { 4000 }; ///< A tail over its target for this time is harm.
    std::chrono::milliseconds maxWait { 2000 }; ///< Longest time a look may wait for an end.
    std::chrono::milliseconds drain { 2000 }; ///< Least time that a draining target stays, unless it says otherwise.
    std::chrono::milliseconds listSettled { 2000 }; ///< Entries lost in an outage are back after this time.
};

/** Question which targets may run a step. */
struct AdviceQuestion {
    StepKey step;
    std::vector<TargetId> targets;
    std::chrono::microseconds callTime { 0 }; ///< Time that the advisor takes for the call.
    int priority = 0; ///< Of the queue; 0 goes first.
    Time order {}; ///< Among equals, the earliest goes first.
};

/** Advisor's answer about one step. */
struct AdviceReply {
    bool answered = false;
    std::vector<std::pair<TargetId, std::string>> allowed; ///< With a ticket each.
};

/** What the owner needs from its surroundings. Answers come back through the on... functions. */
struct CellOwnerHooks {
    std::function<void(const CellTarget&, const StartOrder&)> start;
    std::function<void(const CellTarget&, const CellTaskKey&, std::uint32_t run, FencingToken)> stop;
    std::function<void(const CellTarget&, const CellTaskKey&, std::uint32_t run, int percent, FencingToken)> pace;
    std::function<void(const CellTarget&, const LookOrder&)> look;
    std::function<void(const AdviceQuestion&)> ask;
    std::function<void(Time at)> flush; ///< Records wait and are to be written by this time.
    std::function<void(const std::string& reason)> superseded; ///< A higher token was seen.
    std::function<CalendarTime()> calendar; ///< Calendar time, only for jobs that are due at a time.
};

/** What became of a submission or a cancellation. */
struct JobAnswer {
    /** Kinds of answer. */
    enum class Kind : std::uint8_t {
        Ok,
        Refused, ///< Not accepted and never run.
        Unknown, ///< May have been stored; the caller should ask again.
        Gone, ///< No such job.
    };
    Kind kind = Kind::Unknown;
    std::chrono::milliseconds retryAfter { 0 }; ///< With Refused: when to come back.
    std::string reason;
};

/** Keys of the records in the store. */
struct CellKeys {
    static constexpr const char* jobs = "cell/job/"; ///< Progress, rewritten while the job runs.
    static constexpr const char* specs = "cell/spec/"; ///< Specification, written once, removed at the job's end.
    static constexpr const char* sequences = "cell/seq/"; ///< One key for each lane of the record log.

    static std::vector<std::string> sequenceKeys();
};

/** Records of the store at the beginning of an ownership. */
struct CellRecords {
    std::vector<StoreKeyValue> jobs;
    std::vector<StoreKeyValue> specs;
};

/** Owner of a cell: one on each host, active on the host that has won the cell. Not thread-safe. */
class CellOwner {
public:
    using JobReply = std::function<void(JobAnswer&&)>;

    CellOwner(CellBounds bounds, Metrics& metrics, CellOwnerHooks hooks);

    void begin(FencingToken token, const CellRecords& records, Time now);
    void end(const std::string& reason);
    bool active() const { return m_active; }
    std::size_t targetCount() const { return m_targets.size(); }
    void setConfig(const CellConfig& config);
    void setBounds(const CellBounds& bounds) { m_bounds = bounds; }
    void setMayOrder(bool mayOrder);

    void submit(CellJobSpec&& spec, Time now, JobReply reply);
    void cancel(const JobId& id, Time now, JobReply reply);
    std::optional<JobState> state(const JobId& id) const;
    std::uint64_t pending(const QueueId& queue) const;

    void targetsListed(const std::vector<TargetEntry>& entries, bool settled, Time now);
    void onStarted(
        const TargetId& target, const CellTaskKey& task, std::uint32_t run, const OrderAnswer& answer, Time now);
    void onStopped(
        const TargetId& target, const CellTaskKey& task, std::uint32_t run, const OrderAnswer& answer, Time now);
    void onPaced(const TargetId& target, const CellTaskKey& task, std::uint32_t run, int percent,
        const OrderAnswer& answer, Time now);
    void onReport(
        const TargetId& target, const LookOrder& order, const OrderAnswer& answer, const RunReport& report, Time now);
    void onAdvice(const AdviceQuestion& question, const AdviceReply& reply, Time now);

    std::vector<StoreWrite> collect(std::size_t lane, std::size_t limit);
    void batchDecided(std::size_t lane, BatchOutcome outcome, Time now);
    void setStoreStalled(bool stalled) { m_storeStalled = stalled; }
    void setStoreDelay(Duration delay) { m_storeDelay = delay; }
    std::optional<Time> wakeAt() const { return m_wakeAt; }
    void tick(Time now);
    std::string statusText(Time now) const;

private:
    static constexpr std::chrono::milliseconds saveSoon { 4 }; ///< Lets records of one moment share a transaction.
    static constexpr std::chrono::milliseconds slowStore {
        50
    }; ///< From here on a second write costs more than waiting.
    static constexpr std::chrono::milliseconds firstPlacement { 60 }; ///< Most short questions are answered by then.
    static constexpr std::chrono::milliseconds saveLazily { 400 }; ///< For progress that nothing waits for.
    static constexpr std::size_t mostAdvised = 30; ///< Targets of one question; objectives are reckoned with as many.
    static constexpr std::chrono::milliseconds lookWait { 1500 }; ///< Renews a lease several times before its end.
    static constexpr std::chrono::milliseconds lookPause { 120 }; ///< Ends of one step come close together.

    struct ReadyStep {
        CellJob* job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        int priority = 0;
        bool late = false; ///< Can't earn anything any more.
        Time order {};

        StepKey stepKey() const { return { job->spec.id, occurrence, step }; }
        CellTaskKey taskKey(std::uint32_t index) const { return { job->spec.id, occurrence, step, index }; }
    };

    /** Records that one transaction writes. */
    struct RecordBatch {
        std::vector<CellJob*> jobs;
        std::vector<std::string> removals; ///< Keys.
    };

    /** How the targets of a data centre answer. */
    struct Reach {
        static constexpr int suspectAfterCalls = 5; ///< Answers of sound targets come between any five calls.
        int unanswered = 0; ///< Calls without an answer since the last answer.
        bool suspect() const { return unanswered >= suspectAfterCalls; }
    };

    // Records.
    void markDirty(CellJob& job, Time now, std::chrono::milliseconds within);
    void runWhenSaved(CellJob& job, std::function<void(bool)>&& effect);
    void withdrawUnsaved(Time now);
    void releaseTasks(CellJob& job, const char* reason, Time now);

    // Jobs.
    CellJob* find(const JobId& id) const;
    CellJob* findOpen(const JobId& id) const;
    TaskState* openTask(const CellTaskKey& key) const;
    const StepSpec* specOf(const CellTaskKey& key) const;
    void noteBegun(const JobId& id);
    const QueueConfig* queueOf(const CellJob& job) const;
    ServiceId serviceOf(const CellJob& job) const;
    int priorityOf(const CellJob& job) const;
    void activate(CellJob& job, Time now);
    void beginDue(CellJob& job, Time now);
    void openSteps(CellJob& job, OccurrenceState& occurrence, Time now);
    void finish(CellJob& job, JobState state, Time now);
    void taskDone(CellJob& job, const CellTaskKey& key, Time now);
    void taskFailed(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now);
    void requeue(CellJob& job, const CellTaskKey& key, Time now);
    void requeueIfAlive(const CellTaskKey& key, std::uint32_t run, Time now);
    struct AnsweredRun {
        CellTarget* target = nullptr;
        Occupant* occupant = nullptr; ///< Null if the run is not on the target any more.
    };
    AnsweredRun takeAnswer(
        const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now);
    void startRefused(CellTarget& target, const CellTaskKey& key, const char* reason, Time now);
    void forgetOldJobs(Time now);
    std::optional<std::string> refusalFor(const CellJobSpec& spec) const;

    // Targets and orders.
    CellTarget* findTarget(const TargetId& id);
    CellTarget& targetFor(const TargetId& id);
    void orderStart(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now);
    void beginStop(CellTarget& target, const CellTaskKey& key, Occupant& occupant, const char* reason, Time now);
    void orderStop(CellTarget& target, const CellTaskKey& key, Occupant& occupant);
    void runGone(CellTarget& target, const CellTaskKey& key, const char* reason, Time now);
    void noteReach(CellTarget& target, OrderResult result);
    bool reachable(const CellTarget& target) const;
    void lookSoon(CellTarget& target, Time at);
    void look(CellTarget& target, Time now);
    void takeEnds(CellTarget& target, const RunReport& report, Time now);
    void takeEnd(CellTarget& target, const EndRow& end, Time now);
    std::function<void(bool)> acknowledgement(CellTarget& target, std::uint64_t number);
    void takeRuns(CellTarget& target, const RunReport& report, Time sentAt, Time now);
    void stopForeign(CellTarget& target, const RunRow& row, Time now);
    void checkStall(CellTarget& target, Time now);
    void guardTails(CellTarget& target, Time now);
    void sweepTarget(CellTarget& target, Time now);
    void noteDraining(CellTarget& target, const TargetEntry& entry, Time now);
    void evacuate(CellTarget& target, Time now);
    void beginLife(CellTarget& target, Time now);
    void dropLife(CellTarget& target, const char* reason, Time now);

    // Placing.
    void dispatch(Time now);
    std::vector<ReadyStep> readySteps(Time now);
    void placeStep(const ReadyStep& ready, Time now);
    std::vector<PlacementOption> optionsFor(const CellJob& job, const StepState& state, const StepSpec& step, Time now);
    static Occupant occupantOf(const StepSpec& spec, std::uint32_t run, RunPhase phase, Time now);
    void assign(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now);
    void considerAdvice(CellJob& job, const StepKey& key, Time now);
    void placeGangStep(const ReadyStep& ready, std::vector<PlacementOption>& options, Time now);
    void wake(Time at) { m_wakeAt = m_wakeAt ? std::min(*m_wakeAt, at) : at; }
    std::chrono::milliseconds holdTime() const;

    CellBounds m_bounds;
    const CellOwnerHooks m_hooks;
    CellConfig m_config;
    std::map<QueueId, QueueConfig> m_queues; ///< All queues seen, also those that a later version dropped.
    bool m_active = false;
    bool m_mayOrder = false; ///< Ownership is certain at present.
    FencingToken m_token;
    Time m_begunAt {};
    Time m_now {}; ///< Time of the event in progress, for effects of saved records.
    std::unordered_map<JobId, std::unique_ptr<CellJob>> m_jobs;
    std::vector<CellJob*> m_open; ///< Jobs that have not ended.
    std::vector<CellJob*> m_dirty;
    std::array<RecordBatch, RecordLog::lanes> m_batches; ///< What is on the way to the store, by lane.
    std::map<JobId, std::vector<JobReply>> m_submitters; ///< Submissions of jobs that are not stored yet.
    Duration m_storeDelay {}; ///< Time of a transaction lately.
    bool m_storeStalled = false; ///< Records can't be saved at present.
    std::vector<std::string> m_removals; ///< Keys of records that are no longer shown.
    std::map<TargetId, std::unique_ptr<CellTarget>> m_targets;
    std::map<QueueId, double> m_allowedShare; ///< Share of targets that the advisor allows, by queue.
    std::map<DataCentreId, Reach> m_reach;
    double m_lossRate = 0; ///< Share of calls to targets without an answer lately.
    bool m_dispatchDue = false;
    Time m_dispatchedAt {};
    Time m_sweptAt {};
    Time m_forgotAt {};
    std::optional<Time> m_wakeAt;

    Counter& m_accepted;
    Counter& m_refused;
    Counter& m_starts;
    Counter& m_startsUnanswered;
    Counter& m_ends;
    Counter& m_stops;
    Counter& m_looks;
    Counter& m_questions;
    Gauge& m_openJobs;
    Histogram& m_waitSeconds;
    Histogram& m_saveSeconds;
};

} // namespace sp
