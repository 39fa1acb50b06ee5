/** @file task_scheduler.h Jobs of one worker shard: queue, placement, and the life of each task. */
#pragma once

#include "gang_planner.h"
#include "job_queue.h"
#include "preemption.h"
#include "target_health.h"
#include "usage_model.h"
#include "work_type.h"
#include "worker_pool.h"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** Decision to start a task; its resources are reserved. */
struct TaskStart {
    TaskId task;
    JobId job;
    std::uint32_t index = 0; ///< Index of the task in its job.
    TargetId worker;
    Resources size; ///< Reserved amount, perhaps corrected from reported usage.
    std::string reason; ///< For the log line.
};

/** Decision to stop a running task. */
struct TaskStop {
    TaskId task;
    TargetId worker;
    bool checkpoint = false; ///< The task is to go on later from where it was.
    std::string reason;
};

/** Everything that one round of scheduling decided. */
struct ScheduleRound {
    std::vector<TaskStart> starts;
    std::vector<TaskStop> stops;
    std::vector<std::string> notes; ///< Other decisions for the log, for instance a worker that is taken out.
    bool more = false; ///< The bound of one round was reached: call schedule() again.
};

/** Result of a submission. */
struct SubmitResult {
    ErrorKind error = ErrorKind::Ok; ///< Ok if the job is queued; else a kind whose outcome is "not run".
    std::string reason;
};

/** A running task as a worker reports it. */
struct RunningTask {
    TaskId task;
    Resources size; ///< Reserved size, as given at the start.
    Resources usage; ///< Measured usage, lagging.
};

/** How a task ended. */
enum class TaskEnd : std::uint8_t {
    Succeeded,
    Failed, ///< It ran and failed.
    Stopped, ///< Stopped on request, with or without a checkpoint.
    Gone, ///< Its worker is gone or its lease has run out: it does not run any more, its result is unknown.
};

/**
 * Jobs of one worker shard. Invariants: reservations on a worker never exceed its capacity; a task is reserved on at
 * most one worker; a gang starts whole or not at all. Not thread-safe; every deciding function takes the present time.
 */
class TaskScheduler {
public:
    void applyPolicy(const Bundle& bundle);
    void setQuotaShare(double share);
    void putWorker(const WorkerInfo& info, Time now);
    void setUsable(const TargetId& worker, bool usable, Time now);
    void setLeaving(const TargetId& worker, Time now);
    void removeWorker(const TargetId& worker, Time now);
    SubmitResult submit(const JobSpec& spec, Time now);
    void adopt(const JobSpec& spec, const std::vector<std::uint32_t>& finished, Time now);
    bool adoptRunning(const TargetId& worker, const RunningTask& running, Time now);
    std::vector<TaskStop> cancel(const JobId& job, Time now);
    std::vector<TaskStop> releaseHold(const JobId& job, Time now);
    ScheduleRound schedule(Time now);
    void startConfirmed(const TaskId& task, Time now);
    void startRefused(const TaskId& task, CallEnd how, Time now);
    void taskEnded(const TaskId& task, TaskEnd end, const std::string& result, Time now, const TargetId& worker = {});
    void usageReported(const TaskId& task, const Resources& usage, Time now);
    std::optional<JobStatus> status(const JobId& job) const;
    std::vector<JobId> takeFinishedJobs();
    void forget(const JobId& job);
    Resources freeResources() const { return m_pool.totalFree(); }
    std::size_t queuedTasks() const { return m_queuedTasks; }
    void checkInvariants() const;

    const WorkerPool& pool() const { return m_pool; }
    const GangPlanner& planner() const { return m_planner; }
    const TargetHealth& health() const { return m_health; }

private:
    struct Task {
        enum class State : std::uint8_t { Queued, Running, Done, Failed } state = State::Queued;
        bool stopping = false;
        std::uint32_t failures = 0;
        WorkerIndex worker = noWorker;
        Resources charged; ///< Charged to the team's quota.
        Resources granted; ///< Size in the start call; the worker reserves it until the task ends.
        Time startedAt {};
        std::unique_ptr<SizeTracker> tracker; ///< Set from the first report on.
        std::vector<WorkerIndex> failedOn; ///< Different workers.
    };
    struct Job {
        JobSpec spec;
        JobSerial serial = 0;
        WorkloadPolicy policy;
        TeamIndex team = 0;
        UsageEntryPtr usage;
        Time since {};
        std::vector<Task> tasks;
        std::vector<std::uint32_t> queued; ///< Indices of waiting tasks that no claim is for, descending.
        std::map<std::uint32_t, std::uint32_t> rackUse; ///< Running tasks by rack.
        std::uint32_t running = 0;
        std::uint32_t done = 0;
        std::uint32_t failed = 0;
        JobPhase phase = JobPhase::Queued;
        std::string reason;
        std::string result;
        bool front = false; ///< Overdue, or lost its place.
        bool hasFailures = false; ///< Some task must avoid workers.
        bool regathering = false; ///< Gang: waits until all members have ended, to start again whole.
        bool ranInPart = false; ///< Gang: some member ran, so a non-idempotent gang can't start again.
        bool unknownEnd = false; ///< The end of a non-idempotent task is unknown.
        bool forgotten = false; ///< Is dropped when the last task has ended.

        bool isGang() const { return policy.workClass == WorkClass::Gang; }
        bool isHold() const { return policy.workClass == WorkClass::Hold; }
        bool mayBeStopped() const
        {
            return policy.workClass == WorkClass::Batch && policy.idempotent && policy.priority == Priority::Normal;
        }
        bool isOver() const { return phase > JobPhase::Running; }
    };
    /** Room that waits for the end of tasks that are being stopped for a task. */
    struct Claim {
        JobSerial job = 0;
        TeamIndex team = 0; ///< Its quota is charged from the claim on.
        std::uint32_t index = 0;
        WorkerIndex worker = noWorker;
        Resources size;
        Time madeAt {};
    };
    enum class TryResult : std::uint8_t { Placed, Blocked, NeedsBorrowing };
    struct Candidate {
        QueueRank rank = QueueRank::Fair;
        TeamIndex team = 0;
        Time since {};
        LaneIndex lane = 0;
    };
    using Candidates = std::vector<Candidate>;

    // Life of jobs and tasks, in task_scheduler.cpp and task_recovery.cpp.
    Job* findJob(const JobId& id) const;
    Job* findTask(const TaskId& task, std::uint32_t& index) const;
    Job& addJob(const JobSpec& spec, const WorkloadPolicy& policy, Time now);
    SubmitResult checkSize(const JobSpec& spec, const WorkloadPolicy& policy);
    void enqueue(Job& job);
    void requeueTask(Job& job, std::uint32_t index);
    void takeFromQueue(Job& job, std::uint32_t index);
    void reserveTask(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, Time now);
    void freeTask(Job& job, std::uint32_t index);
    void taskFailed(Job& job, std::uint32_t index, WorkerIndex worker);
    void taskLost(Job& job, std::uint32_t index, TaskEnd end);
    void gangMemberEnded(Job& job, std::uint32_t index, TaskEnd end, const std::string& why);
    void stopMembers(Job& job, const std::string& why);
    void completeRegathering(Job& job);
    void finishIfComplete(Job& job);
    void dropIfForgotten(Job& job);
    bool adoptTask(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, Time now);
    void addForeign(const TaskId& task, WorkerIndex worker, const Resources& size);
    void endForeign(const TaskId& task, WorkerIndex worker);
    void adoptForeign(Job& job, Time now);
    Job* dropClaim(std::size_t position);
    void dropClaimsOn(WorkerIndex worker);
    std::vector<TaskStop> stopAll(Job& job, JobPhase phase, const std::string& reason);
    void applyHealth(const std::vector<HealthChange>& changes);
    std::size_t checkJob(const Job& job) const;

    // Placement, in task_placing.cpp.
    void runTimers(ScheduleRound& round, Time now);
    void serveClaims(ScheduleRound& round, Time now);
    Candidates collect(const std::vector<LaneIndex>& fresh, bool freed);
    bool mayFitFreed(const Resources& size) const;
    void unparkShrunk();
    void placeRanked(const Candidates& candidates, ScheduleRound& round, Time now);
    Candidates placeFair(const Candidates& candidates, bool mayBorrow, ScheduleRound& round, Time now);
    TryResult tryLane(LaneIndex lane, bool mayBorrow, ScheduleRound& round, Time now);
    TryResult tryGang(Lane& lane, Job& job, const Resources& size, ScheduleRound& round, Time now);
    TryResult tryTask(Lane& lane, Job& job, const Resources& size, bool borrows, ScheduleRound& round, Time now);
    TryResult preempt(Lane& lane, Job& job, const Resources& size, ScheduleRound& round, Time now);
    void claim(Job& job, std::uint32_t index, const PreemptionChoice& choice, const Resources& size,
        const std::string& why, ScheduleRound& round, Time now);
    static bool isBefore(const Candidate& a, const Candidate& b);
    TryResult park(Lane& lane, const Resources& size, std::string reason);
    void noteBlocked(const Job& job, const Resources& size);
    void updateReservation(Time now);
    void reclaim(ScheduleRound& round, Time now);
    bool reclaimForLane(LaneIndex index, int& left, ScheduleRound& round, Time now);
    void reclaimForReservation(ScheduleRound& round);
    void start(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, std::string reason,
        ScheduleRound& round, Time now);
    void stopTask(const TaskKey& key, bool checkpoint, const std::string& why, ScheduleRound& round);
    Resources startSize(const Lane& lane) const;
    PlaceQuery queryFor(const Job& job, std::uint32_t index, const Resources& size) const;
    bool endsBeforeReservation(const Job& job, Time now) const;

    Bundle m_bundle;
    double m_quotaShare = 0; ///< 0: one part for each worker shard of the cell.
    WorkerPool m_pool;
    JobQueue m_queue;
    GangPlanner m_planner;
    UsageModel m_usage;
    TargetHealth m_health;
    Quota m_quota;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<JobSerial, Job*> m_bySerial;
    std::vector<Claim> m_claims;
    /** Reported tasks that no job explains, with the index of their TaskKey; they count against the capacity. */
    std::map<std::pair<TaskId, WorkerIndex>, std::uint32_t> m_foreign;
    std::vector<TaskStop> m_pendingStops;
    std::vector<std::string> m_notes;
    std::vector<JobId> m_finished;
    std::vector<WorkerIndex> m_freed; ///< Workers with new room, of the present round.
    Resources m_freedMax; ///< Largest new room of each resource.
    std::priority_queue<std::pair<Time, WorkerIndex>, std::vector<std::pair<Time, WorkerIndex>>, std::greater<>>
        m_paused; ///< When a worker that refused a start is tried again.
    std::optional<GangNeed> m_blocked; ///< Oldest gang or overdue task that found no room.
    std::vector<TeamIndex> m_teamsToRetry; ///< Teams with a quota whose usage fell since the last round.
    bool m_tryAll = true; ///< Parked work is tried again whatever changed.
    bool m_sizesFell = false; ///< Learned sizes fell, so that parked work may fit.
    Time m_reclaimedAt {};
    bool m_anyQuotaBlocked = false; ///< Whether a lane is parked because of a quota.
    std::size_t m_reclaimFrom = 0; ///< Lane at which the next search for borrowed quota goes on.
    std::size_t m_scanFrom = 0; ///< Lane at which the next bounded scan goes on.
    std::size_t m_scanLeft = 0; ///< Lanes that the present scan has still to look at.
    std::size_t m_queuedTasks = 0;
    JobSerial m_lastSerial = 0;
    std::uint32_t m_lastForeign = 0;
};

TaskId makeTaskId(const JobId& job, std::uint32_t index);
JobId jobOfTask(const TaskId& task, std::uint32_t& index);

} // namespace sp
