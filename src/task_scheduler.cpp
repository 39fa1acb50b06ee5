#include "task_scheduler.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace sp {

/** Id of a task. @param job Job. @param index Index of the task. @return `<job>/<index>`. */
TaskId makeTaskId(const JobId& job, std::uint32_t index) { return TaskId(job.value + "/" + std::to_string(index)); }

/** Splits a task id. @param task Task. @param index Set to the index, 0 if malformed. @return Job, empty if malformed.
 */
JobId jobOfTask(const TaskId& task, std::uint32_t& index)
{
    index = 0;
    const auto slash = task.value.rfind('/');
    if (slash == std::string::npos)
        return {};
    const char* first = task.value.data() + slash + 1;
    const char* last = task.value.data() + task.value.size();
    if (const auto [end, error] = std::from_chars(first, last, index); error != std::errc() || end != last)
        return {};
    return JobId(task.value.substr(0, slash));
}

/** Sets the policies in force. @param bundle Bundle. */
void TaskScheduler::applyPolicy(const Bundle& bundle) { m_bundle = bundle; }

/** Adds a worker or updates its data; a new one is unusable until setUsable. @param info Worker. @param now Present
 * time. */
void TaskScheduler::putWorker(const WorkerInfo& info, Time now)
{
    (void)now;
    m_workers[info.id].info = info;
}

/** Marks whether a worker answers under the present term. @param worker Worker. @param usable New state. @param now
 * Present time. */
void TaskScheduler::setUsable(const TargetId& worker, bool usable, Time now)
{
    (void)now;
    if (auto it = m_workers.find(worker); it != m_workers.end())
        it->second.usable = usable;
}

/** Stops new work for a worker. @param worker Worker. @param now Present time. */
void TaskScheduler::setLeaving(const TargetId& worker, Time now)
{
    (void)now;
    if (auto it = m_workers.find(worker); it != m_workers.end())
        it->second.leaving = true;
}

/** Forgets a worker that is gone; its tasks count as ended. @param worker Worker. @param now Present time. */
void TaskScheduler::removeWorker(const TargetId& worker, Time now)
{
    std::vector<TaskId> lost;
    for (auto& [jobId, job] : m_jobs) {
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].state == Task::State::Running && job.tasks[i].worker == worker)
                lost.push_back(makeTaskId(jobId, i));
        }
    }
    for (const TaskId& task : lost)
        taskEnded(task, TaskEnd::Gone, {}, now);
    m_workers.erase(worker);
}

/** Queues a job. @param spec Job. @param now Present time. @return Ok, or why it was refused. */
SubmitResult TaskScheduler::submit(const JobSpec& spec, Time now)
{
    (void)now;
    if (!m_bundle.workloads.contains(spec.workload))
        return { ErrorKind::UnknownWorkload, "workload unknown" };
    const bool fits = m_workers.empty() || std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& entry) {
        return spec.size.fitsIn(entry.second.info.capacity);
    });
    if (!fits)
        return { ErrorKind::NeverRunnable, "a task is larger than any known worker" };
    Job job;
    job.spec = spec;
    job.tasks.resize(spec.tasks);
    m_jobs[spec.id] = std::move(job);
    m_order.push_back(spec.id);
    return {};
}

/** Takes over a job after a recovery. @param spec Job. @param finished Indices of finished tasks. @param now Present
 * time. */
void TaskScheduler::adopt(const JobSpec& spec, const std::vector<std::uint32_t>& finished, Time now)
{
    if (m_jobs.contains(spec.id) || submit(spec, now).error != ErrorKind::Ok)
        return;
    for (const std::uint32_t index : finished) {
        if (index < m_jobs[spec.id].tasks.size())
            m_jobs[spec.id].tasks[index].state = Task::State::Done;
    }
    finishIfComplete(m_jobs[spec.id]);
}

/** Reserves room for a task that a worker reports as running. @param worker Worker. @param running Task. @param now
 * Present time. @return False if the job is unknown. */
bool TaskScheduler::adoptRunning(const TargetId& worker, const RunningTask& running, Time now)
{
    (void)now;
    std::uint32_t index = 0;
    Job* job = findJob(running.task, index);
    auto it = m_workers.find(worker);
    if (!job || it == m_workers.end())
        return false;
    Task& task = job->tasks[index];
    if (task.state == Task::State::Queued) {
        task.state = Task::State::Running;
        task.worker = worker;
        task.reserved = running.size;
        it->second.reserved += running.size;
        job->phase = JobPhase::Running;
    }
    return true;
}

/** Cancels a job. @param job Job. @param now Present time. @return Running tasks to stop. */
std::vector<TaskStop> TaskScheduler::cancel(const JobId& job, Time now)
{
    (void)now;
    auto it = m_jobs.find(job);
    return it == m_jobs.end() ? std::vector<TaskStop>()
                              : stopAll(it->second, JobPhase::Cancelled, "cancelled by the caller");
}

/** Ends a hold. @param job Job. @param now Present time. @return Running tasks to stop. */
std::vector<TaskStop> TaskScheduler::releaseHold(const JobId& job, Time now)
{
    (void)now;
    auto it = m_jobs.find(job);
    return it == m_jobs.end() ? std::vector<TaskStop>() : stopAll(it->second, JobPhase::Done, "released by the caller");
}

/** Places queued tasks. @param now Present time. @return Starts and stops to carry out. */
ScheduleRound TaskScheduler::schedule(Time now)
{
    (void)now;
    ScheduleRound round;
    std::vector<JobId> waiting;
    for (const JobId& id : m_order) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end() || found->second.phase > JobPhase::Running)
            continue;
        Job& job = found->second;
        const bool together = m_bundle.workloads[job.spec.workload].workClass == WorkClass::Gang;
        std::vector<TaskStart> starts;
        bool complete = true;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            Task& task = job.tasks[i];
            if (task.state != Task::State::Queued)
                continue;
            auto worker = std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& entry) {
                return entry.second.usable && !entry.second.leaving
                    && (entry.second.reserved + job.spec.size).fitsIn(entry.second.info.capacity);
            });
            if (worker == m_workers.end()) {
                complete = false;
                break;
            }
            task.state = Task::State::Running;
            task.worker = worker->first;
            task.reserved = job.spec.size;
            worker->second.reserved += job.spec.size;
            starts.push_back({ makeTaskId(id, i), id, i, worker->first, job.spec.size, "first fit" });
        }
        if (!complete && together) {
            for (const TaskStart& start : starts) {
                freeTask(job.tasks[start.index]);
                job.tasks[start.index].state = Task::State::Queued;
            }
            starts.clear();
        }
        if (!complete) {
            waiting.push_back(id);
            job.reason = "no worker has room";
        }
        if (!starts.empty())
            job.phase = JobPhase::Running;
        round.starts.insert(round.starts.end(), starts.begin(), starts.end());
    }
    m_order = std::move(waiting);
    return round;
}

/** Notes that a worker confirmed a start. @param task Task. @param now Present time. */
void TaskScheduler::startConfirmed(const TaskId& task, Time now)
{
    (void)task;
    (void)now;
}

/** Puts a task back whose start was refused before it ran. @param task Task. @param how Refusal. @param now Present
 * time. */
void TaskScheduler::startRefused(const TaskId& task, CallEnd how, Time now)
{
    (void)how;
    (void)now;
    std::uint32_t index = 0;
    if (Job* job = findJob(task, index); job && job->tasks[index].state == Task::State::Running) {
        freeTask(job->tasks[index]);
        job->tasks[index].state = Task::State::Queued;
        m_order.push_back(job->spec.id);
    }
}

/** Notes the end of a task. @param task Task. @param end How it ended. @param result Output. @param now Present time.
 */
void TaskScheduler::taskEnded(const TaskId& task, TaskEnd end, const std::string& result, Time now)
{
    (void)now;
    std::uint32_t index = 0;
    Job* job = findJob(task, index);
    if (!job || job->tasks[index].state != Task::State::Running)
        return;
    freeTask(job->tasks[index]);
    if (job->phase > JobPhase::Running)
        return;
    const bool idempotent = m_bundle.workloads[job->spec.workload].idempotent;
    if (end == TaskEnd::Gone && idempotent) {
        job->tasks[index].state = Task::State::Queued;
        m_order.push_back(job->spec.id);
        return;
    }
    if (end == TaskEnd::Gone)
        job->phase = JobPhase::Unknown;
    job->tasks[index].state = end == TaskEnd::Succeeded ? Task::State::Done : Task::State::Failed;
    job->result = result;
    finishIfComplete(*job);
}

/** Takes a usage report. @param task Task. @param usage Measured usage. @param now Present time. */
void TaskScheduler::usageReported(const TaskId& task, const Resources& usage, Time now)
{
    (void)task;
    (void)usage;
    (void)now;
}

/** Status of a job. @param job Job. @return Status, if the job is known. */
std::optional<JobStatus> TaskScheduler::status(const JobId& job) const
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return std::nullopt;
    JobStatus status;
    status.phase = it->second.phase;
    status.tasks = it->second.spec.tasks;
    status.reason = it->second.reason;
    status.result = it->second.result;
    for (const Task& task : it->second.tasks) {
        status.running += task.state == Task::State::Running;
        status.done += task.state == Task::State::Done;
        status.failed += task.state == Task::State::Failed;
    }
    return status;
}

/** @return Jobs that ended since the last call. */
std::vector<JobId> TaskScheduler::takeFinishedJobs() { return std::exchange(m_finished, {}); }

/** Drops an ended job. @param job Job. */
void TaskScheduler::forget(const JobId& job) { m_jobs.erase(job); }

/** @return Unreserved resources of usable workers. */
Resources TaskScheduler::freeResources() const
{
    Resources free;
    for (const auto& [id, worker] : m_workers) {
        if (worker.usable && !worker.leaving)
            free += worker.info.capacity - worker.reserved;
    }
    return free;
}

/** @return Number of tasks that wait. */
std::size_t TaskScheduler::queuedTasks() const
{
    std::size_t count = 0;
    for (const JobId& id : m_order) {
        if (const auto it = m_jobs.find(id); it != m_jobs.end())
            count += static_cast<std::size_t>(std::count_if(it->second.tasks.begin(), it->second.tasks.end(),
                [](const Task& task) { return task.state == Task::State::Queued; }));
    }
    return count;
}

/** Throws std::logic_error if a worker has more reserved than its capacity. */
void TaskScheduler::checkInvariants() const
{
    for (const auto& [id, worker] : m_workers) {
        if (!worker.reserved.fitsIn(worker.info.capacity))
            throw std::logic_error("worker " + id.value + " is reserved above its capacity");
    }
}

TaskScheduler::Job* TaskScheduler::findJob(const TaskId& task, std::uint32_t& index)
{
    const JobId id = jobOfTask(task, index);
    auto it = m_jobs.find(id);
    return it == m_jobs.end() || index >= it->second.tasks.size() ? nullptr : &it->second;
}

void TaskScheduler::freeTask(Task& task)
{
    if (auto it = m_workers.find(task.worker); it != m_workers.end())
        it->second.reserved -= task.reserved;
    task.reserved = {};
    task.worker = {};
}

void TaskScheduler::finishIfComplete(Job& job)
{
    const bool open = std::any_of(
        job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.state <= Task::State::Running; });
    if (open && job.phase <= JobPhase::Running)
        return;
    if (job.phase <= JobPhase::Running) {
        const bool failed = std::any_of(
            job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.state == Task::State::Failed; });
        job.phase = failed ? JobPhase::Failed : JobPhase::Done;
        job.reason.clear();
    }
    m_finished.push_back(job.spec.id);
}

std::vector<TaskStop> TaskScheduler::stopAll(Job& job, JobPhase phase, const std::string& reason)
{
    std::vector<TaskStop> stops;
    if (job.phase > JobPhase::Running)
        return stops;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        if (job.tasks[i].state == Task::State::Running)
            stops.push_back({ makeTaskId(job.spec.id, i), job.tasks[i].worker, false, reason });
    }
    job.phase = phase;
    job.reason = reason;
    m_finished.push_back(job.spec.id);
    return stops;
}

} // namespace sp
