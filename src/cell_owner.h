/** @file cell_owner.h Schedules all jobs of a cell: admission, placement, orders to targets, run results, recovery. */
#pragma once

#include "account_rate.h"
#include "account_usage.h"
#include "admission.h"
#include "backlog_admission.h"
#include "cell_job.h"
#include "cell_target.h"
#include "displacement.h"
#include "failure_attribution.h"
#include "metrics.h"
#include "placement.h"
#include "record_log.h"
#include "room_forecast.h"
#include "run_time_estimate.h"
#include "run_time_profile.h"
#include "work_order.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** Time limits of the deployment that the owner relies on. */
struct CellBounds {
    std::chrono::milliseconds maxHold { 10000 }; ///< Longest lease that a target accepts for a run.
    std::chrono::milliseconds stopTimeout { 1000 }; ///< A target ends a run within this time of a stop order.
    std::chrono::milliseconds gangTimeout { 3000 }; ///< Members of a gang wait this long for the others to start.
    std::chrono::milliseconds statusKept { 120000 }; ///< The state of a finished job stays readable for this time.
    /** A former owner may send orders for at most this time after it lost the cell. */
    std::chrono::milliseconds sessionTtl { 2000 };
    std::chrono::milliseconds impact { 4000 }; ///< A tail latency above its target for this time counts as a violation.
    std::chrono::milliseconds maxWait { 2000 }; ///< Longest time for which a target may delay a report (long poll).
    /** Shortest time that a draining target stays, unless its entry gives another. */
    std::chrono::milliseconds drain { 2000 };
    RateTolerance rateTolerance; ///< Jobs that an account may submit beyond its mean rate before they count as excess.
    std::size_t valueBytes = std::size_t { 1 } << 20U; ///< Largest value that the store accepts.
    std::size_t taskBudget = 500000; ///< Tasks of open jobs that the host may hold, see taskBudget().
    /** Target entries that lapsed during a store outage are registered again within this time. */
    std::chrono::milliseconds listSettled { 2000 };
};

/** Request to the advisor: which of these targets may run a step. */
struct AdviceQuestion {
    StepKey step;
    std::vector<TargetId> targets;
    std::chrono::microseconds callTime { 0 }; ///< Expected duration of the advisor call.
    int priority = 0; ///< Priority of the queue; 0 is the most urgent.
    Time order {}; ///< Requests of equal priority are sent in ascending order of this time.
    Time askedAt {}; ///< Time at which the step began to wait for an answer.
    /** With client accounts: order of requests of equal priority, before AdviceQuestion::order. */
    std::optional<WorkRank> rank {};
};

/** Advisor's answer to an AdviceQuestion. */
struct AdviceReply {
    bool answered = false;
    std::vector<std::pair<TargetId, std::string>> allowed; ///< Each with the ticket for its start order.
};

/** Callbacks through which the owner sends requests. Answers are delivered through its on... functions. */
struct CellOwnerHooks {
    std::function<void(const CellTarget&, const StartOrder&)> start;
    std::function<void(const CellTarget&, const CellTaskKey&, std::uint32_t run, FencingToken)> stop;
    std::function<void(const CellTarget&, const CellTaskKey&, std::uint32_t run, int percent, FencingToken)> pace;
    std::function<void(const CellTarget&, const LookOrder&)> look;
    /** Queues a question without targets. refreshQuestion() has to be called just before it is sent. */
    std::function<void(const AdviceQuestion&)> ask;
    std::function<void(Time at)> flush; ///< Asks for unsaved records to be written by this time.
    /** Reports that a target has seen a higher fencing token, so that ownership is lost. */
    std::function<void(const std::string& reason)> superseded;
    std::function<CalendarTime()> calendar; ///< Wall-clock time, for acceptance times and scheduled occurrences.
};

/** Result of a submission or a cancellation. */
struct JobAnswer {
    /** Outcome; determines whether the caller repeats the request. */
    enum class Kind : std::uint8_t {
        Ok,
        Refused, ///< Submission not accepted; no task of the job has run or will run. Cancellations are never refused.
        Unknown, ///< May or may not be stored; the caller should repeat the request.
        Gone, ///< No such job.
        Forbidden, ///< The job belongs to another account.
    };
    Kind kind = Kind::Unknown;
    std::chrono::milliseconds retryAfter { 0 }; ///< With Refused: delay before the next attempt.
    std::string reason;
};

/** Keys of the records in the store. */
struct CellKeys {
    static constexpr const char* jobs = "cell/job/"; ///< Progress, rewritten while the job runs.
    /** Specification, written once, removed when the job has finished. */
    static constexpr const char* specs = "cell/spec/";
    /** Sequence numbers; one key for each lane of the record log. */
    static constexpr const char* sequences = "cell/seq/";

    static std::vector<std::string> sequenceKeys();
};

/** Records read from the store when an ownership begins. */
struct CellRecords {
    std::vector<StoreKeyValue> jobs;
    std::vector<StoreKeyValue> specs;
};

/** Scheduler of a cell. Each host has one; only the one on the host that owns the cell is active. Not thread-safe. */
class CellOwner {
public:
    using JobReply = std::function<void(JobAnswer&&)>;

    CellOwner(CellBounds bounds, Metrics& metrics, CellOwnerHooks hooks);

    void begin(FencingToken token, const CellRecords& records, Time now);
    void end(const std::string& reason);
    bool active() const { return m_active; }
    std::size_t targetCount() const { return m_targets.size(); }
    std::size_t openJobCount() const { return m_open.size(); }
    void setConfig(const CellConfig& config);
    void setBounds(const CellBounds& bounds) { m_bounds = bounds; }
    void setMayOrder(bool mayOrder);

    void submit(CellJobSpec&& spec, Time now, JobReply reply);
    void cancel(const JobId& id, Time now, JobReply reply);
    std::optional<JobState> state(const JobId& id) const;
    std::uint64_t pending(const QueueId& queue) const;
    bool mayAccess(
        const AccountId& asking, const QueueId& route, const AccountId& holder, const QueueId& jobQueue) const;
    bool mayAccessJob(const AccountId& asking, const QueueId& route, const JobId& id) const;

    void targetsListed(const TargetList& list, bool settled, Time now);
    void onStarted(
        const TargetId& target, const CellTaskKey& task, std::uint32_t run, const OrderAnswer& answer, Time now);
    void onStopped(
        const TargetId& target, const CellTaskKey& task, std::uint32_t run, const OrderAnswer& answer, Time now);
    void onPaced(const TargetId& target, const CellTaskKey& task, std::uint32_t run, int percent,
        const OrderAnswer& answer, Time now);
    void onReport(
        const TargetId& target, const LookOrder& order, const OrderAnswer& answer, const RunReport& report, Time now);
    bool refreshQuestion(AdviceQuestion& question, Time now);
    void onAdvice(const AdviceQuestion& question, const AdviceReply& reply, Time now);

    std::vector<StoreWrite> collect(std::size_t lane, std::size_t limit);
    void batchDecided(std::size_t lane, BatchOutcome outcome, Time now);
    void setStoreStalled(bool stalled) { m_storeStalled = stalled; }
    void setStoreDelay(Duration delay) { m_storeDelay = delay; }
    void setLag(Duration lag, Time now);
    std::optional<Time> wakeAt() const { return m_wakeAt; }
    void tick(Time now);
    std::string statusText(Time now) const;
    std::size_t unattendedTasks(Time now) const;
    std::vector<AccountId> accountsMiscounted() const;

private:
    /** Lets records that change together share a transaction. */
    static constexpr std::chrono::milliseconds saveBatchDelay { 4 };
    /** From this duration of a store transaction on, the first record of a job waits for its first placement, since a
     * second write would take longer. */
    static constexpr std::chrono::milliseconds slowStoreDelay { 50 };
    /** Maximum time for which a job's first record waits for its first placement. Most short advisor calls are answered
     * within it. */
    static constexpr std::chrono::milliseconds firstPlacementDelay { 60 };
    /** For changes that no order or reply depends on. */
    static constexpr std::chrono::milliseconds lazySaveDelay { 400 };
    /** Maximum number of targets in one advice request. Job objectives are computed from the duration of such a call.
     */
    static constexpr std::size_t maxAdvisedTargets = 30;
    /** Covers the store write and the call between a placement and its start. */
    static constexpr std::chrono::milliseconds ticketMargin { 300 };
    /** Priority of lasting tasks whose run has ended: before all queues, since room would go to shorter work for ever.
     */
    static constexpr int restartPriority = -1;
    /** Short enough to renew a lease several times before it expires. */
    static constexpr std::chrono::milliseconds reportWait { 1500 };
    /** Tasks of one step end close together; one report then covers several of them. */
    static constexpr std::chrono::milliseconds reportPause { 120 };

    /** A step with tasks that wait for placement, and its sort keys. */
    struct ReadyStep {
        CellJob* job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        int priority = 0;
        bool valueLost
            = false; ///< The job is too far past its objective to have any value; sorted last in its priority.
        Time objectiveTime {};
        std::optional<WorkRank> rank; ///< Set if the cell has client accounts; then sorts before objectiveTime.
        bool restart = false; ///< Has lasting tasks whose run has ended, see mustRestart().
        bool roomSoon = true; ///< The tasks may find room while a ticket that is asked for now is valid.

        StepKey stepKey() const { return { job->spec.id, occurrence, step }; }
        CellTaskKey taskKey(std::uint32_t index) const { return { job->spec.id, occurrence, step, index }; }
    };

    /** Room on a target that a step will use once its question is answered, or once displaced runs there have ended. */
    struct AdviceClaim {
        StepKey step;
        /** Priority of the step's queue. For displaced runs it is one less, so that the claim binds the placement of
         * other steps of the same priority as well. */
        int priority = 0;
        std::optional<WorkRank> rank; ///< As ReadyStep::rank.
        Resources room;
        AccountId account; ///< Account of the step's job.
        Resources leastDemand; ///< Demand of one task, or of the whole gang.
        std::uint32_t tasks = 0; ///< Number of tasks for which runs are displaced; 0 for a question.
        Time heldUntil {}; ///< End of a claim for displaced runs.
    };

    /** Work that waits in a service in one band of one priority. */
    struct Backlog {
        double cores = 0; ///< Cores of the tasks of ready steps that wait for placement.
        double coreSeconds = 0; ///< Work of these tasks and of the steps that are not ready yet.
    };
    struct BacklogKey {
        int priority = 0;
        WorkBand band = WorkBand::InTime;
        bool worthless = false;
        bool aboveShare = false;
        auto operator<=>(const BacklogKey&) const = default;
    };

    /** Load of a service with client accounts, as needed to admit jobs. */
    struct ServiceLoad {
        double workingCores = 0; ///< Cores of the runs that end by themselves.
        double freedPerSecond = 0; ///< Cores that these runs are expected to free each second, by their estimates.
        std::unordered_map<std::uint32_t, double> freedByGroup; ///< As freedPerSecond, by CellTarget::group.
        std::map<BacklogKey, Backlog> backlog;
    };

    /** What the owner knows of the load of a cell with client accounts. */
    struct LoadEstimates {
        Time sharesUpdatedAt {}; ///< Time of the last updateShares(), which determines the next two fields.
        /** Accounts that run more than their share of a full service. */
        std::set<std::pair<ServiceId, AccountId>> aboveShare;
        std::map<ServiceId, ServiceLoad> services;
        /** Time for which the last question of a queue waited for its turn, and when it was sent. */
        std::map<QueueId, std::pair<Duration, Time>> adviceWaits;
    };

    /** Contents of the transaction that a lane is writing. */
    struct RecordBatch {
        std::vector<CellJob*> jobs;
        std::vector<std::string> removals; ///< Keys of the records to delete.
    };

    /** Tracks whether the targets of a data centre answer calls. */
    struct DataCentreReachability {
        static constexpr int suspectAfterCalls = 5; ///< Reachable targets answer at least one of any five calls.
        int unanswered = 0; ///< Calls without an answer since the last answer.
        bool suspect() const { return unanswered >= suspectAfterCalls; }
    };

    // Saving of job records.
    void markDirty(CellJob& job, Time now, std::chrono::milliseconds within);
    void runWhenSaved(CellJob& job, std::function<void(bool)>&& effect);
    void withdrawUnsavedJobs(Time now);
    void withdrawJob(CellJob& job, const JobAnswer& answer, Time now);
    void recordRejected(CellJob& job, Time now);
    void releaseTasks(CellJob& job, const char* reason, Time now);

    // Jobs and tasks.
    CellJob* findJob(const JobId& id) const;
    CellJob* findOpenJob(const JobId& id) const;
    TaskState* findOpenTask(const CellTaskKey& key) const;
    const StepSpec* findStepSpec(const CellTaskKey& key) const;
    void markRunning(const JobId& id);
    const QueueConfig* queueOf(const CellJob& job) const;
    ServiceId serviceOf(const CellJob& job) const;
    int priorityOf(const CellJob& job) const;
    std::chrono::milliseconds objectiveOf(const CellJob& job, std::chrono::milliseconds path) const;
    void activateJob(CellJob& job, Time now);
    void beginDueOccurrences(CellJob& job, Time now);
    void markReadySteps(CellJob& job, OccurrenceState& occurrence, Time now);
    void finishJob(CellJob& job, JobState state, Time now);
    void completeTask(CellJob& job, const CellTaskKey& key, Time now);
    void handleTaskFailure(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now);
    void requeue(CellJob& job, const CellTaskKey& key, Time now);
    void requeueIfCurrent(const CellTaskKey& key, std::uint32_t run, Time now);
    struct AnsweredRun {
        CellTarget* target = nullptr;
        Occupant* occupant = nullptr; ///< Null if the run is no longer on the target.
    };
    AnsweredRun processAnswer(
        const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now);
    void handleRefusedStart(CellTarget& target, const CellTaskKey& key, const char* reason, Time now);
    void removeExpiredJobs(Time now);
    bool isUnattended(const CellTaskKey& key, const TaskState& task, const StepState& step, Time now) const;
    std::optional<std::string> refusalReason(const CellJobSpec& spec, Time now) const;
    static std::chrono::milliseconds overloadRetryAfter(const JobId& id);

    // Accounts.
    void setAccounts(const std::vector<ClientAccount>& accounts);
    bool withinQuota(const CellJob& job, const StepSpec& spec, std::uint32_t tasks, Time now);
    std::optional<std::string> quotaProblem(const CellJobSpec& spec) const;
    void withdrawUnsentRuns(const AccountId& account);
    void noteEndedDenials(Time now);
    void noteAccountState(CellJob& job);
    void recoverLeavingRuns(const CellJob& job, Time now);
    void logRestoredUsage() const;

    // Targets and orders.
    CellTarget* findTarget(const TargetId& id);
    CellTarget& findOrAddTarget(const TargetId& id);
    std::uint32_t targetGroup(const TargetEntry& entry);
    CellTarget& recoverTarget(const TargetId& id, const MachineId& machine, CalendarTime bornAt, Time now);
    Time restartLeaseEnd(CalendarTime bornAt, Time now) const;
    void sendStartOrder(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now);
    void beginStop(CellTarget& target, const CellTaskKey& key, Occupant& occupant, const char* reason, Time now);
    void sendStopOrder(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now);
    bool withdrawIfSilent(CellTarget& target, const CellTaskKey& key, Time now);
    bool withdrawIfShrunk(CellTarget& target, const CellTaskKey& key, Time now);
    void sendDueOrders(CellTarget& target, Time now);
    void releaseRun(CellTarget& target, const CellTaskKey& key, const char* reason, Time now);
    void recordCallOutcome(CellTarget& target, OrderResult result, Time now);
    void countUnanswered(CellTarget& target, Time now);
    void onReportRefused(CellTarget& target, OrderResult result, Time now);
    bool dataCentreReachable(const CellTarget& target) const;
    void scheduleReport(CellTarget& target, Time at);
    void requestReport(CellTarget& target, Time now);
    void processEnds(CellTarget& target, const RunReport& report, Time now);
    void processEnd(CellTarget& target, const EndRow& end, Time now);
    void stopNewerRuns(CellJob& job, const CellTaskKey& key, Time now);
    std::function<void(bool)> deferAcknowledgement(CellTarget& target, std::uint64_t number);
    void reconcileRuns(CellTarget& target, const RunReport& report, Time sentAt, Time now);
    void stopUnknownRun(CellTarget& target, const RunRow& row, Time now);
    void stopStalledRuns(CellTarget& target, Time now);
    void adjustPaces(CellTarget& target, Time now);
    void maintainTarget(CellTarget& target, Time now);
    void updateDrainDeadline(CellTarget& target, const TargetEntry& entry, Time now);
    void evacuateTarget(CellTarget& target, Time now);
    void beginIncarnation(CellTarget& target, Time now);
    void releaseFormerIncarnations(Time now);
    void releaseEndedIncarnation(CellTarget& target, const char* reason, Time now);

    // Tasks that crash their targets.
    enum class CrashEvidence : std::uint8_t {
        None, ///< The target may have crashed before the run began, or after its end.
        Likely, ///< The run was probably there, but it may have been otherwise.
        Certain, ///< The run was there.
    };
    static bool hasCrashed(const CellTarget& target, CalendarTime assignedTo);
    static CrashEvidence crashEvidence(const LostRun& run, Time now);
    static Time leaseHeldUntil(const CellTarget& target);
    static bool heardRecently(const CellTarget& target, Time now);
    static bool awaitsAnswerBeforeStart(const CellTarget& target, const Occupant& occupant, Time now);
    void forgetBegunRuns(CellTarget& target, Time now);
    void markBegun(const CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now);
    static std::optional<LostRun> describeLostRun(
        const CellTarget& target, const CellTaskKey& key, const Occupant& occupant, Time now);
    void countCrash(const CellTarget& target, const LostRun& run, Time now);
    void settleLostRuns(CellTarget& target, Time now);
    void markReplaced(CellTarget& target, Time now);
    static void forgetLostRuns(CellTarget& target, Time now);
    enum class AlonePlacement : std::uint8_t {
        Placed,
        Waiting, ///< For a target, or for a ticket for it.
        Impossible, ///< The task has waited for too long and is placed like any other.
    };
    AlonePlacement placeAlone(
        const ReadyStep& ready, std::uint32_t index, std::vector<PlacementOption>& options, Time now);
    std::size_t targetsHeld(const ServiceId& service);
    void clearSuspect(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now);
    void reserve(CellTarget& target, const CellTaskKey& key);
    CellTarget* reserveTarget(const ReadyStep& ready, const CellTaskKey& key, Time now);
    void releaseStaleReservations(Time now);

    // Placement.
    void dispatch(Time now);
    std::vector<ReadyStep> readySteps(Time now);
    void placeStep(const ReadyStep& ready, Time now);
    std::optional<SpeedPreference> speedPreference(const CellJob& job, const StepSpec& spec, Time now);
    ImageSet conflictsOf(const CellJob& job, const StepSpec& spec, Time now);
    void attributeFailure(CellTarget& target, const CellJob& job, Time now);
    void learnRunTime(CellTarget& target, const EndRow& end, const Occupant& occupant, Time now);
    std::vector<PlacementOption> placementOptions(const ReadyStep& ready, Time now);
    static Occupant makeOccupant(const StepSpec& spec, std::uint32_t run, RunPhase phase, Time now);
    void assignTask(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now);
    WorkItem workItemOf(const CellJob& job, std::uint32_t occurrence, std::uint32_t step) const;
    std::optional<WorkRank> rankOf(const CellJob& job, std::uint32_t occurrence, std::uint32_t step, Time now) const;
    StepRunTimes runTimesOf(const CellJobSpec& spec) const;
    void updateRunTimes(CellJob& job) const;
    void updateShares(Time now);
    void addToBacklog(const CellJob& job, std::uint32_t occurrence, Time now);
    BacklogVerdict checkBacklogFor(const CellJob& job, Time now);
    void countAccepted(const CellJob& job, Time now);
    static bool mustRestart(const StepSpec& spec, const TaskState& task);
    void claimRoomForRestarts(const std::vector<ReadyStep>& ready, Time now);
    struct ServiceRoom;
    ServiceRoom serviceRoom(const ServiceId& service, Time now);
    static RoomDemand roomDemand(const ReadyStep& ready, const ServiceRoom& room);
    void forecastRoom(std::vector<ReadyStep>& ready, Time now);
    static std::chrono::milliseconds adviceTime(const QueueConfig& queue);
    void requestAdvice(const ReadyStep& ready, Time now);
    void fillQuestion(CellJob& job, AdviceQuestion& question, Time now);
    const std::vector<CellTarget*>& usableTargets(const ServiceId& service, Time now);
    void claimRoom(const AdviceQuestion& question, const StepState& state, const CellJobSpec& job);
    void releaseClaims(const AdviceQuestion& question);
    bool hasRestartClaim(const TargetId& target, const StepKey& step) const;
    enum class ClaimUse : std::uint8_t { Asking, Placing };
    Resources claimedRoom(const TargetId& target, const StepKey& step, int priority,
        const std::optional<WorkRank>& rank, ClaimUse use) const;
    bool mayDisplace(const ReadyStep& ready, Time now) const;
    bool advicePromisesRoom(const ReadyStep& ready, std::uint32_t lacking, Time now);
    std::optional<DisplaceableRun> displaceableRun(
        const CellTaskKey& key, const Occupant& occupant, int priority, Time now) const;
    std::vector<CellTarget*> displacementTargets(const ReadyStep& ready, Time now);
    void displaceFor(const ReadyStep& ready, Time now);
    void useDisplacementClaim(const CellTarget& target, const StepKey& step, const Resources& room);
    void releaseStaleDisplacementClaims(Time now);
    void countDisplacementLoss(const Occupant& occupant, const EndRow& end, Time now);
    void placeGangStep(const ReadyStep& ready, std::vector<PlacementOption>& options, Time now);
    void wakeBy(Time at) { m_wakeAt = m_wakeAt ? std::min(*m_wakeAt, at) : at; }
    std::chrono::milliseconds leaseDuration() const;

    CellBounds m_bounds;
    const CellOwnerHooks m_hooks;
    CellConfig m_config;
    /** Every queue seen so far, including those that a later configuration removed. */
    std::map<QueueId, QueueConfig> m_queues;
    bool m_active = false;
    bool m_mayOrder = false; ///< The ownership lease is fresh, so orders may be sent.
    FencingToken m_token;
    Time m_ownedSince {};
    Time m_eventTime {}; ///< Time of the event being handled; callbacks of saved records use it as present time.
    std::unordered_map<JobId, std::unique_ptr<CellJob>> m_jobs;
    std::vector<CellJob*> m_open; ///< Jobs that have not finished.
    std::vector<CellJob*> m_dirtyJobs;
    std::array<RecordBatch, RecordLog::lanes> m_batches; ///< Records being written, by lane.
    /** Replies owed to submitters of jobs that are not stored yet. */
    std::map<JobId, std::vector<JobReply>> m_pendingReplies;
    Admission m_admission;
    AccountRates m_accountRates;
    LoadEstimates m_load; ///< Empty unless the cell has client accounts.
    Duration m_lag {}; ///< Time that an event waits for the event loop of this host.
    Duration m_storeDelay {}; ///< Recent duration of a store transaction.
    std::size_t m_heldTasks = 0; ///< Tasks of the open jobs, as of the last sweep, and of those accepted since.
    bool m_storeStalled = false; ///< The store does not answer, so records cannot be saved.
    std::vector<std::string> m_recordRemovals; ///< Keys of expired job records to delete.
    AccountUsage m_accountUsage;
    std::map<TargetId, std::unique_ptr<CellTarget>> m_targets;
    std::uint32_t m_lastTargetSerial = 0;
    std::map<CellTaskKey, TargetId> m_reservations; ///< Targets that suspects have, or will have, for themselves.
    /** Numbers of the groups of targets with the same labels and capacity. */
    std::map<std::pair<std::vector<std::string>, std::array<std::int64_t, 3>>, std::uint32_t> m_targetGroups;
    TargetList m_targetList; ///< The list that was last processed; null if processing it again may have an effect.
    bool m_incarnationsChanged = false; ///< Some runs may belong to incarnations that have been replaced.
    /** Targets that may get new work, by service; determined when needed and valid until the next sweep. */
    std::map<ServiceId, std::vector<CellTarget*>> m_usableTargets;
    /** Moving average of the share of targets that the advisor allows, by queue. */
    std::map<QueueId, double> m_allowedShare;
    std::map<TargetId, std::vector<AdviceClaim>> m_adviceClaims; ///< Claims of questions that are not answered yet.
    RunTimeProfile m_runTimes;
    RunTimeEstimates m_runTimeEstimates;
    /** Claims of lasting tasks that must be placed again; determined before each placement. */
    std::map<TargetId, std::vector<AdviceClaim>> m_restartClaims;
    InterferenceProfile m_interference;
    FailureAttribution m_failures;
    int m_displacementSearches = 0; ///< Searches for runs to displace that are left in this placement pass.
    std::map<DataCentreId, DataCentreReachability> m_reachability;
    bool m_dataCentreSuspect = false; ///< Some data centre does not answer; determined in each sweep.
    double m_lossRate = 0; ///< Moving average of the share of calls to targets that get no answer.
    bool m_dispatchDue = false;
    Time m_lastDispatchAt {};
    Time m_lastSweepAt {};
    Time m_lastExpiryAt {};
    std::optional<Time> m_wakeAt;

    Counter& m_jobsAccepted;
    Counter& m_jobsRefused;
    Counter& m_jobsShed;
    Counter& m_jobsBeyondRate;
    Counter& m_restarts;
    Counter& m_jobsRefusedFull;
    Gauge& m_accountsAboveShare;
    Counter& m_startOrders;
    Counter& m_startsUnanswered;
    Counter& m_runEnds;
    Counter& m_runStops;
    Counter& m_reportRequests;
    Counter& m_adviceQuestions;
    Counter& m_displacedRuns;
    Counter& m_displacedCoreMs;
    Counter& m_crashesCounted;
    Counter& m_tasksGivenUp;
    Counter& m_slowPlacements;
    Counter& m_quotaDenials;
    Gauge& m_accountsAtMaximum;
    Gauge& m_openJobs;
    Gauge& m_interferingPairs;
    Gauge& m_unattendedTasks;
    Histogram& m_taskWaitSeconds;
    Histogram& m_adviceWaitSeconds;
    Histogram& m_acceptSeconds;
};

} // namespace sp
