/** @file task_scheduler.h Scheduler for the jobs of one worker shard: queueing, placement, preemption and task state.
 */
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

/** Decision to start a task. Its resources are already reserved on the worker. */
struct TaskStart {
    TaskId task;
    JobId job;
    std::uint32_t index = 0; ///< Index of the task in its job.
    TargetId worker;
    Resources size; ///< Reserved amount; may differ from the declared size because of reported usage.
    std::string reason; ///< Why this worker was chosen, for the log.
};

/** Decision to stop a running task. */
struct TaskStop {
    TaskId task;
    TargetId worker;
    bool checkpoint = false; ///< Whether the task saves a checkpoint to resume from later.
    std::string reason;
};

/** Decisions of one scheduling round. */
struct ScheduleRound {
    std::vector<TaskStart> starts;
    std::vector<TaskStop> stops;
    std::vector<std::string> notes; ///< Other decisions for the log, such as a worker excluded for failures.
    bool more = false; ///< Work limit of the round reached; the caller must call schedule() again.
};

/** Result of a submission. */
struct SubmitResult {
    ErrorKind error = ErrorKind::Ok; ///< Ok if the job is queued; any other kind means that the job did not run.
    std::string reason;
};

/** Running task in a worker report. */
struct RunningTask {
    TaskId task;
    Resources size; ///< Reserved size from the start call.
    Resources usage; ///< Measured usage; may be out of date.
};

/** How a task ended. */
enum class TaskEnd : std::uint8_t {
    Succeeded,
    Failed, ///< Ran and reported a failure.
    Stopped, ///< Stopped on request, with or without a checkpoint.
    Gone, ///< Worker removed or lease expired: the task no longer runs, its result is unknown.
};

/**
 * Schedules the jobs of one worker shard. Invariants: reservations on a worker never exceed its capacity; a task is
 * reserved on at most one worker; the tasks of a gang start all together or not at all. Not thread-safe. Functions
 * that make decisions take the current time as an argument.
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
        bool stopping = false; ///< A stop was decided; the task is still running.
        std::uint32_t failures = 0;
        WorkerIndex worker = noWorker;
        Resources charged; ///< Amount charged to the team's quota.
        Resources granted; ///< Size in the start call; the worker reserves it until the task ends.
        Time startedAt {};
        std::unique_ptr<SizeTracker> tracker; ///< Null until the first usage report.
        std::vector<WorkerIndex> failedOn; ///< Distinct workers on which the task failed.
    };
    struct Job {
        JobSpec spec;
        JobSerial serial = 0;
        WorkloadPolicy policy;
        TeamIndex team = 0;
        UsageEntryPtr usage;
        Time since {}; ///< Submission time; determines the order within a lane.
        std::vector<Task> tasks;
        std::vector<std::uint32_t> queued; ///< Indices of waiting tasks without a claim, in descending order.
        std::map<std::uint32_t, std::uint32_t> rackUse; ///< Number of running tasks by rack.
        std::uint32_t running = 0;
        std::uint32_t done = 0;
        std::uint32_t failed = 0;
        JobPhase phase = JobPhase::Queued;
        std::string reason;
        std::string result;
        bool hasFrontRank = false; ///< Queued with QueueRank::Front: waited longer than max_wait, or lost its workers.
        bool hasFailures = false; ///< Some task must avoid the workers on which it failed.
        bool restarting = false; ///< Gang: waits until all its tasks have ended, then is queued again.
        bool anyTaskRan = false; ///< Some task started, so a non-idempotent gang must not start again.
        bool outcomeUnknown = false; ///< Whether a non-idempotent task completed is unknown.
        bool forgotten = false; ///< Deleted once its last task has ended.

        bool isGang() const { return policy.workClass == WorkClass::Gang; }
        bool isHold() const { return policy.workClass == WorkClass::Hold; }
        bool isPreemptible() const
        {
            return policy.workClass == WorkClass::Batch && policy.idempotent && policy.priority == Priority::Normal;
        }
        bool isOver() const { return phase > JobPhase::Running; }
    };
    /** Resources on a worker set aside for a waiting task until the tasks being preempted for it have ended. */
    struct Claim {
        JobSerial job = 0;
        TeamIndex team = 0; ///< Team whose quota is charged from the creation of the claim.
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

    // Job and task state, in task_scheduler.cpp and task_recovery.cpp.
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
    void taskInterrupted(Job& job, std::uint32_t index, TaskEnd end);
    void gangMemberEnded(Job& job, std::uint32_t index, TaskEnd end, const std::string& why);
    void stopGangMembers(Job& job, const std::string& why);
    void completeGangRestart(Job& job);
    void finishIfComplete(Job& job);
    void dropIfForgotten(Job& job);
    bool adoptTask(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, Time now);
    void addUnmatchedTask(const TaskId& task, WorkerIndex worker, const Resources& size);
    void releaseUnmatchedTask(const TaskId& task, WorkerIndex worker);
    void adoptUnmatchedTasks(Job& job, Time now);
    Job* dropClaim(std::size_t position);
    void dropClaimsOn(WorkerIndex worker);
    std::vector<TaskStop> stopAll(Job& job, JobPhase phase, const std::string& reason);
    void applyHealth(const std::vector<HealthChange>& changes);
    std::size_t checkJob(const Job& job) const;

    // Placement, in task_placing.cpp.
    void runTimers(ScheduleRound& round, Time now);
    void serveClaims(ScheduleRound& round, Time now);
    Candidates collectCandidates(const std::vector<LaneIndex>& fresh, bool freed);
    bool mayFitFreed(const Resources& size) const;
    void unparkLanesWithSmallerSize();
    void placeByRank(const Candidates& candidates, ScheduleRound& round, Time now);
    Candidates placeByFairShare(const Candidates& candidates, bool mayBorrow, ScheduleRound& round, Time now);
    TryResult tryLane(LaneIndex lane, bool mayBorrow, ScheduleRound& round, Time now);
    TryResult tryGang(Lane& lane, Job& job, const Resources& size, ScheduleRound& round, Time now);
    TryResult tryTask(Lane& lane, Job& job, const Resources& size, bool borrows, ScheduleRound& round, Time now);
    TryResult preempt(Lane& lane, Job& job, const Resources& size, ScheduleRound& round, Time now);
    void claim(Job& job, std::uint32_t index, const PreemptionChoice& choice, const Resources& size,
        const std::string& why, ScheduleRound& round, Time now);
    static bool isBefore(const Candidate& a, const Candidate& b);
    TryResult park(Lane& lane, const Resources& size, std::string reason);
    void recordBlocked(const Job& job, const Resources& size);
    void updateReservation(Time now);
    void reclaimBorrowedQuota(ScheduleRound& round, Time now);
    bool reclaimForLane(LaneIndex index, int& left, ScheduleRound& round, Time now);
    void reclaimForReservation(ScheduleRound& round);
    void start(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, std::string reason,
        ScheduleRound& round, Time now);
    void stopTask(const TaskKey& key, bool checkpoint, const std::string& why, ScheduleRound& round);
    Resources startSize(const Lane& lane) const;
    PlaceQuery queryFor(const Job& job, std::uint32_t index, const Resources& size) const;
    bool endsBeforeReservation(const Job& job, Time now) const;

    Bundle m_bundle;
    double m_quotaShare = 0; ///< 0: equal parts for all worker shards of the cell.
    WorkerPool m_pool;
    JobQueue m_queue;
    GangPlanner m_planner;
    UsageModel m_usage;
    TargetHealth m_health;
    Quota m_quota;
    std::unordered_map<JobId, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<JobSerial, Job*> m_bySerial;
    std::vector<Claim> m_claims;
    /** Reported tasks that match no task placed on that worker, with the index of their TaskKey. They use capacity. */
    std::map<std::pair<TaskId, WorkerIndex>, std::uint32_t> m_unmatchedTasks;
    std::vector<TaskStop> m_pendingStops;
    std::vector<std::string> m_notes;
    std::vector<JobId> m_finishedJobs;
    std::vector<WorkerIndex> m_freedWorkers; ///< Workers whose free resources grew before this round.
    Resources m_maxFreedRoom; ///< Largest free amount of each resource on the freed workers.
    std::priority_queue<std::pair<Time, WorkerIndex>, std::vector<std::pair<Time, WorkerIndex>>, std::greater<>>
        m_pauseEnds; ///< When each worker that refused a start is used again.
    std::optional<ReservationRequest>
        m_oldestBlocked; ///< Oldest gang, urgent or overdue task that could not be placed.
    std::vector<TeamIndex> m_teamsToRetry; ///< Teams with a quota whose usage fell since the last round.
    bool m_retryAllLanes = true; ///< Next round tries all lanes except those blocked by a quota.
    bool m_learnedSizesFell = false; ///< A learned size fell, so parked lanes may fit.
    Time m_lastReclaimAt {};
    bool m_anyQuotaBlocked = false; ///< Whether a lane is parked because of a quota.
    std::size_t m_nextReclaimLane = 0; ///< Lane at which the next search for quota to reclaim starts.
    std::size_t m_nextScanLane = 0; ///< Lane at which the next bounded scan starts.
    std::size_t m_lanesLeftInScan = 0; ///< Lanes that the current scan has not yet visited.
    std::size_t m_queuedTasks = 0;
    JobSerial m_lastSerial = 0;
    std::uint32_t m_lastUnmatchedIndex = 0;
};

TaskId makeTaskId(const JobId& job, std::uint32_t index);
JobId jobOfTask(const TaskId& task, std::uint32_t& index);

} // namespace sp
