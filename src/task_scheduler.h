/** @file task_scheduler.h Jobs of one worker shard: queue, placement, and the life of each task. */
#pragma once

#include "work_type.h"

#include <map>
#include <optional>
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
 * most one worker; a gang runs whole or not at all. Not thread-safe; every deciding function takes the present time.
 */
class TaskScheduler {
public:
    void applyPolicy(const Bundle& bundle);
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
    void taskEnded(const TaskId& task, TaskEnd end, const std::string& result, Time now);
    void usageReported(const TaskId& task, const Resources& usage, Time now);
    std::optional<JobStatus> status(const JobId& job) const;
    std::vector<JobId> takeFinishedJobs();
    void forget(const JobId& job);
    Resources freeResources() const;
    std::size_t queuedTasks() const;
    void checkInvariants() const;

private:
    struct Worker {
        WorkerInfo info;
        bool usable = false;
        bool leaving = false;
        Resources reserved;
    };
    struct Task {
        enum class State : std::uint8_t { Queued, Running, Done, Failed } state = State::Queued;
        TargetId worker;
        Resources reserved;
    };
    struct Job {
        JobSpec spec;
        std::vector<Task> tasks;
        JobPhase phase = JobPhase::Queued;
        std::string reason;
        std::string result;
    };
    Job* findJob(const TaskId& task, std::uint32_t& index);
    void freeTask(Task& task);
    void finishIfComplete(Job& job);
    std::vector<TaskStop> stopAll(Job& job, JobPhase phase, const std::string& reason);

    Bundle m_bundle;
    std::map<TargetId, Worker> m_workers;
    std::map<JobId, Job> m_jobs;
    std::vector<JobId> m_order; ///< Jobs with queued tasks in order of arrival.
    std::vector<JobId> m_finished;
};

TaskId makeTaskId(const JobId& job, std::uint32_t index);
JobId jobOfTask(const TaskId& task, std::uint32_t& index);

} // namespace sp
