#include "task_scheduler.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace sp {

namespace {

    /** A worker that refused a start for lack of room or that was not reached gets no new work for this time. */
    constexpr Duration refusalPause = std::chrono::seconds(1);

    /** Idempotent work fails for good after failures on this many different workers. */
    constexpr std::size_t failuresToGiveUp = 3;

    /** Policy of a job from the store whose workload the bundle no longer names: nothing is assumed about it. */
    WorkloadPolicy fallbackPolicy(const WorkloadId& id)
    {
        WorkloadPolicy policy;
        policy.id = id;
        policy.workClass = WorkClass::Batch;
        policy.idempotent = false;
        return policy;
    }

} // namespace

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

/** Sets the policies in force; jobs keep their class and idempotence. @param bundle Bundle. */
void TaskScheduler::applyPolicy(const Bundle& bundle)
{
    m_bundle = bundle;
    const auto shards = std::max<std::size_t>(bundle.cell.dataCentres.size(), 1) * bundle.cell.workerShards;
    m_quota.applyPolicy(
        bundle, m_quotaShare > 0 ? m_quotaShare : 1.0 / static_cast<double>(std::max<std::size_t>(shards, 1)));
    m_pool.applyWeights(bundle.weights);
    m_health.applyLimit(bundle.cell.failingWorkersMax);
    for (auto& [id, job] : m_jobs) {
        const auto it = bundle.workloads.find(job->spec.workload);
        if (it == bundle.workloads.end())
            continue;
        const WorkClass workClass = job->policy.workClass;
        const bool idempotent = job->policy.idempotent;
        job->policy = it->second;
        job->policy.workClass = workClass;
        job->policy.idempotent = idempotent;
    }
    m_tryAll = true;
}

/** Sets which part of each team's quota this shard gives out; by default the same for each worker shard of the cell.
 * @param share Part, 0 for the default. */
void TaskScheduler::setQuotaShare(double share)
{
    m_quotaShare = share;
    applyPolicy(Bundle(m_bundle));
}

/** Adds a worker or updates its data; a new one is unusable until setUsable. @param info Worker. @param now Present
 * time. */
void TaskScheduler::putWorker(const WorkerInfo& info, [[maybe_unused]] Time now)
{
    m_pool.put(info);
    m_health.setWorkerCount(m_pool.knownWorkers());
}

/** Marks whether a worker answers under the present term. @param worker Worker. @param usable New state. @param now
 * Present time. */
void TaskScheduler::setUsable(const TargetId& worker, bool usable, [[maybe_unused]] Time now)
{
    if (const WorkerIndex index = m_pool.find(worker); index != noWorker)
        m_pool.setUsable(index, usable);
}

/** Stops new work for a worker. @param worker Worker. @param now Present time. */
void TaskScheduler::setLeaving(const TargetId& worker, [[maybe_unused]] Time now)
{
    if (const WorkerIndex index = m_pool.find(worker); index != noWorker)
        m_pool.setLeaving(index);
}

/** Forgets a worker that is gone; its tasks count as ended. @param worker Worker. @param now Present time. */
void TaskScheduler::removeWorker(const TargetId& worker, Time now)
{
    const WorkerIndex index = m_pool.find(worker);
    if (index == noWorker)
        return;
    dropClaimsOn(index);
    const std::vector<Reservation> tasks = m_pool.workers()[index].tasks;
    for (const Reservation& task : tasks) {
        if (const auto it = m_bySerial.find(task.key.job); it != m_bySerial.end())
            taskEnded(makeTaskId(it->second->spec.id, task.key.index), TaskEnd::Gone, {}, now, worker);
    }
    std::erase_if(m_foreign, [&](const auto& foreign) { return foreign.first.second == index; });
    m_planner.end(m_pool, now);
    m_tryAll = true;
    m_health.forget(index);
    m_pool.remove(index);
    m_health.setWorkerCount(m_pool.knownWorkers());
}

/** Queues a job. @param spec Job. @param now Present time. @return Ok, or why it was refused. */
SubmitResult TaskScheduler::submit(const JobSpec& spec, Time now)
{
    const auto policy = m_bundle.workloads.find(spec.workload);
    if (policy == m_bundle.workloads.end())
        return { ErrorKind::UnknownWorkload, "workload unknown" };
    if (m_jobs.contains(spec.id))
        return { ErrorKind::Conflict, "a job with this id is known" };
    if (spec.tasks == 0 || !Resources {}.fitsIn(spec.size))
        return { ErrorKind::BadRequest, "a job needs at least one task and no negative size" };
    if (m_queue.waiting(spec.workload) >= policy->second.queueLimit)
        return { ErrorKind::QueueFull, "the queue of the workload is full" };
    if (SubmitResult refused = checkSize(spec, policy->second); refused.error != ErrorKind::Ok)
        return refused;
    enqueue(addJob(spec, policy->second, now));
    return {};
}

/** Takes over a job after a recovery; nothing refuses it. @param spec Job. @param finished Indices of finished tasks.
 * @param now Present time. */
void TaskScheduler::adopt(const JobSpec& spec, const std::vector<std::uint32_t>& finished, Time now)
{
    if (m_jobs.contains(spec.id))
        return;
    const auto policy = m_bundle.workloads.find(spec.workload);
    Job& job = addJob(spec, policy == m_bundle.workloads.end() ? fallbackPolicy(spec.workload) : policy->second, now);
    for (const std::uint32_t index : finished) {
        if (index >= job.tasks.size() || job.tasks[index].state != Task::State::Queued)
            continue;
        takeFromQueue(job, index);
        job.tasks[index].state = Task::State::Done;
        ++job.done;
    }
    adoptForeign(job, now);
    enqueue(job);
    finishIfComplete(job);
}

/** Reserves room for a task that a worker reports as running. A task that no job explains, or that has its place on
 * another worker, counts against the capacity of the worker too. @param worker Worker. @param running Task.
 * @param now Present time. @return False if the task should not run there. */
bool TaskScheduler::adoptRunning(const TargetId& worker, const RunningTask& running, Time now)
{
    const WorkerIndex place = m_pool.find(worker);
    if (place == noWorker)
        return false;
    std::uint32_t index = 0;
    Job* job = findTask(running.task, index);
    if (job && job->tasks[index].state == Task::State::Running && job->tasks[index].worker == place)
        return true;
    if (job && !job->isOver() && job->tasks[index].state == Task::State::Queued)
        return adoptTask(*job, index, place, running.size, now);
    addForeign(running.task, place, running.size);
    return false;
}

/** Cancels a job. @param job Job. @param now Present time. @return Running tasks to stop. */
std::vector<TaskStop> TaskScheduler::cancel(const JobId& job, [[maybe_unused]] Time now)
{
    Job* found = findJob(job);
    return found ? stopAll(*found, JobPhase::Cancelled, "cancelled by the caller") : std::vector<TaskStop>();
}

/** Ends a hold. @param job Job. @param now Present time. @return Running tasks to stop. */
std::vector<TaskStop> TaskScheduler::releaseHold(const JobId& job, [[maybe_unused]] Time now)
{
    Job* found = findJob(job);
    return found ? stopAll(*found, JobPhase::Done, "released by the caller") : std::vector<TaskStop>();
}

/** Notes that a worker confirmed a start. @param task Task. @param now Present time. */
void TaskScheduler::startConfirmed(const TaskId& task, [[maybe_unused]] Time now)
{
    std::uint32_t index = 0;
    if (Job* job = findTask(task, index); job && job->tasks[index].state == Task::State::Running)
        job->ranInPart = true;
}

/** Puts a task back whose start was refused before it ran. @param task Task. @param how Refusal. @param now Present
 * time. */
void TaskScheduler::startRefused(const TaskId& task, CallEnd how, Time now)
{
    std::uint32_t index = 0;
    Job* job = findTask(task, index);
    if (!job || job->tasks[index].state != Task::State::Running || how == CallEnd::Lost)
        return; // A lost answer may mean that it runs: the room stays taken until a report tells.
    if (how == CallEnd::Completed)
        return startConfirmed(task, now);
    if (how == CallEnd::Failed)
        return taskEnded(task, TaskEnd::Failed, {}, now);
    const WorkerIndex worker = job->tasks[index].worker;
    if (how == CallEnd::RefusedLeaving) {
        m_pool.setLeaving(worker);
    } else {
        m_pool.setPaused(worker, true);
        m_paused.emplace(now + refusalPause, worker);
    }
    freeTask(*job, index);
    applyHealth(m_health.endedUnknown(worker));
    if (job->isOver())
        return dropIfForgotten(*job);
    if (job->isGang())
        return gangMemberEnded(*job, index, TaskEnd::Stopped, "the start of a member was refused");
    requeueTask(*job, index);
}

/** Notes the end of a task. @param task Task. @param end How it ended. @param result Output. @param now Present time.
 * @param worker Worker that reports it, if known: tells apart two reports of one task. */
void TaskScheduler::taskEnded(
    const TaskId& task, TaskEnd end, const std::string& result, Time now, const TargetId& worker)
{
    const WorkerIndex place = worker.empty() ? noWorker : m_pool.find(worker);
    std::uint32_t index = 0;
    Job* job = findTask(task, index);
    if (!job || job->tasks[index].state != Task::State::Running
        || (place != noWorker && job->tasks[index].worker != place)) {
        endForeign(task, place);
        return;
    }
    Task& state = job->tasks[index];
    const WorkerIndex ranOn = state.worker;
    if (end == TaskEnd::Succeeded)
        UsageModel::finished(*job->usage, job->spec.runTime, now - state.startedAt);
    if (end == TaskEnd::Succeeded || end == TaskEnd::Failed)
        applyHealth(m_health.ended(ranOn, job->spec.workload, end == TaskEnd::Succeeded, now));
    else
        applyHealth(m_health.endedUnknown(ranOn));
    freeTask(*job, index);
    if (job->isOver())
        return dropIfForgotten(*job);
    if (end == TaskEnd::Succeeded) {
        state.state = Task::State::Done;
        ++job->done;
        job->result = result;
    } else if (end == TaskEnd::Failed) {
        job->result = result;
        taskFailed(*job, index, ranOn);
    } else {
        taskLost(*job, index, end);
    }
    if (job->regathering && job->running == 0)
        completeRegathering(*job);
    finishIfComplete(*job);
}

/** Takes a usage report: the task's reservation follows it as far as its worker has room, later starts of the same
 * work too. @param task Task. @param usage Measured usage. @param now Present time. */
void TaskScheduler::usageReported(const TaskId& task, const Resources& usage, Time now)
{
    std::uint32_t index = 0;
    Job* job = findTask(task, index);
    if (!job || job->tasks[index].state != Task::State::Running)
        return;
    Task& state = job->tasks[index];
    const Resources capped = minOf(maxOf(usage, {}), m_pool.workers()[state.worker].info.capacity);
    const Resources before = job->usage->tracker.size();
    if (job->usage->tracker.report(capped, now))
        m_sizesFell = m_sizesFell || !before.fitsIn(job->usage->tracker.size());
    if (!state.tracker)
        state.tracker = std::make_unique<SizeTracker>(state.charged);
    if (!state.tracker->report(capped, now))
        return;
    // The worker goes on counting the granted size, so a smaller reservation here would lead to refused starts.
    const Resources wanted
        = minOf(maxOf(state.tracker->size(), state.granted), m_pool.workers()[state.worker].info.capacity);
    if (wanted == state.charged)
        return;
    m_pool.resize(state.worker, { job->serial, index }, wanted);
    m_quota.credit(job->team, state.charged);
    m_quota.charge(job->team, wanted);
    state.charged = wanted;
}

/** Status of a job. @param job Job. @return Status, if the job is known. */
std::optional<JobStatus> TaskScheduler::status(const JobId& job) const
{
    const Job* found = findJob(job);
    if (!found || found->forgotten)
        return std::nullopt;
    JobStatus status;
    status.phase = found->phase;
    status.tasks = found->spec.tasks;
    status.running = found->running;
    status.done = found->done;
    status.failed = found->failed;
    status.result = found->result;
    status.reason = found->reason;
    if (!found->isOver() && m_queue.contains(found->serial))
        status.reason = m_queue.lanes()[m_queue.laneOf(found->serial)].reason;
    return status;
}

/** @return Jobs that ended since the last call. */
std::vector<JobId> TaskScheduler::takeFinishedJobs() { return std::exchange(m_finished, {}); }

/** Drops an ended job; while its tasks are being stopped, their room stays taken. @param job Job. */
void TaskScheduler::forget(const JobId& job)
{
    Job* found = findJob(job);
    if (!found)
        return;
    if (!found->isOver()) {
        stopAll(*found, JobPhase::Cancelled, "forgotten");
        m_finished.pop_back();
    }
    found->forgotten = true;
    dropIfForgotten(*found);
}

SubmitResult TaskScheduler::checkSize(const JobSpec& spec, const WorkloadPolicy& policy)
{
    const bool gang = policy.workClass == WorkClass::Gang;
    if (m_pool.knownWorkers() > 0) {
        if (!m_pool.fitsKnown(spec.size))
            return { ErrorKind::NeverRunnable, "a task is larger than any known worker" };
        if (gang && !gangFitsKnown({ 0, spec.size, spec.tasks, policy.rackLimit, {} }, m_pool))
            return { ErrorKind::NeverRunnable, "the gang is larger than all known workers together" };
    }
    const std::int64_t together = gang ? spec.tasks : 1;
    const Resources need { spec.size.coresMilli * together, spec.size.memoryMb * together,
        spec.size.accelerators * together };
    const bool mayBorrow
        = policy.workClass == WorkClass::Batch && policy.idempotent && policy.priority == Priority::Normal;
    if (!mayBorrow && !m_quota.fitsEmpty(m_quota.index(spec.team), need))
        return { ErrorKind::QuotaExceeded, "larger than the whole quota of the team" };
    return {};
}

TaskScheduler::Job& TaskScheduler::addJob(const JobSpec& spec, const WorkloadPolicy& policy, Time now)
{
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->serial = ++m_lastSerial;
    job->policy = policy;
    job->team = m_quota.index(spec.team);
    job->usage = m_usage.entry(spec, now);
    job->since = spec.submittedAt == Time {} ? now : spec.submittedAt;
    job->tasks.resize(spec.tasks);
    for (std::uint32_t i = spec.tasks; i > 0; --i)
        job->queued.push_back(i - 1);
    m_queuedTasks += spec.tasks;
    Job& added = *job;
    m_bySerial[added.serial] = &added;
    m_jobs[spec.id] = std::move(job);
    return added;
}

/** Puts a job with waiting tasks into its lane. */
void TaskScheduler::enqueue(Job& job)
{
    if (job.queued.empty() || job.isOver() || job.regathering)
        return;
    LaneKey key;
    key.rank = job.policy.priority == Priority::Urgent ? QueueRank::Urgent
        : job.front                                    ? QueueRank::Front
                                                       : QueueRank::Fair;
    key.team = job.team;
    key.workload = job.spec.workload;
    key.size = job.spec.size;
    key.gangTasks = job.isGang() ? static_cast<std::uint32_t>(job.queued.size()) : 0;
    key.variant = job.hasFailures || (job.policy.rackLimit > 0 && !job.isGang()) ? job.serial : 0;
    m_queue.add(job.serial, key, job.since, job.policy.maxWait, job.usage);
}

void TaskScheduler::requeueTask(Job& job, std::uint32_t index)
{
    job.tasks[index].state = Task::State::Queued;
    job.tasks[index].stopping = false;
    job.queued.insert(std::lower_bound(job.queued.begin(), job.queued.end(), index, std::greater<>()), index);
    ++m_queuedTasks;
    if (job.running == 0)
        job.phase = JobPhase::Queued;
    enqueue(job);
}

void TaskScheduler::takeFromQueue(Job& job, std::uint32_t index)
{
    job.queued.erase(std::lower_bound(job.queued.begin(), job.queued.end(), index, std::greater<>()));
    --m_queuedTasks;
    if (job.queued.empty())
        m_queue.remove(job.serial);
}

void TaskScheduler::reserveTask(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, Time now)
{
    Task& task = job.tasks[index];
    task.state = Task::State::Running;
    task.stopping = false;
    task.worker = worker;
    task.charged = size;
    task.granted = size;
    task.startedAt = now;
    task.tracker.reset();
    const Duration run = UsageModel::expectedRun(*job.usage, job.spec.runTime);
    const Time end = run > Duration {} && !job.isHold() ? now + run : timeUnknown;
    m_pool.reserve(worker, { { job.serial, index }, size, {}, job.team, job.mayBeStopped(), false, now, end });
    m_quota.charge(job.team, size);
    ++job.rackUse[m_pool.workers()[worker].rack];
    ++job.running;
    if (!job.isOver())
        job.phase = JobPhase::Running;
}

/** Gives back the room of a task; the caller sets its next state. */
void TaskScheduler::freeTask(Job& job, std::uint32_t index)
{
    Task& task = job.tasks[index];
    const std::uint32_t rack = m_pool.workers()[task.worker].rack;
    if (const auto it = job.rackUse.find(rack); it != job.rackUse.end() && --it->second == 0)
        job.rackUse.erase(it);
    m_pool.release(task.worker, { job.serial, index });
    m_quota.credit(job.team, task.charged);
    if (m_quota.hasQuota(job.team))
        m_teamsToRetry.push_back(job.team);
    task.worker = noWorker;
    task.charged = {};
    task.stopping = false;
    task.tracker.reset();
    task.state = Task::State::Failed; // Until the caller decides; never counted as running.
    --job.running;
}

void TaskScheduler::taskFailed(Job& job, std::uint32_t index, WorkerIndex worker)
{
    Task& task = job.tasks[index];
    ++task.failures;
    job.hasFailures = true;
    if (std::find(task.failedOn.begin(), task.failedOn.end(), worker) == task.failedOn.end())
        task.failedOn.push_back(worker);
    const std::size_t different = std::min(failuresToGiveUp, m_pool.countFitting(job.spec.size));
    const bool final = task.failures >= failuresToGiveUp && task.failedOn.size() >= different;
    if (!job.policy.idempotent || final) {
        task.state = Task::State::Failed;
        ++job.failed;
        job.reason = job.policy.idempotent ? "failed on " + std::to_string(task.failedOn.size()) + " different workers"
                                           : "failed; work that is not idempotent is not run again";
        if (job.isGang()) {
            const auto stops = stopAll(job, JobPhase::Failed, job.reason);
            m_pendingStops.insert(m_pendingStops.end(), stops.begin(), stops.end());
        }
        return;
    }
    if (job.isGang())
        return gangMemberEnded(job, index, TaskEnd::Failed, "a member failed");
    requeueTask(job, index);
}

/** A task was stopped, or its worker is gone. */
void TaskScheduler::taskLost(Job& job, std::uint32_t index, TaskEnd end)
{
    if (job.isGang())
        return gangMemberEnded(job, index, end, end == TaskEnd::Gone ? "a member was lost" : "a member was stopped");
    if (job.policy.idempotent) {
        job.front = job.front || job.isHold(); // A hold goes to the front with its original time.
        return requeueTask(job, index);
    }
    Task& task = job.tasks[index];
    task.state = Task::State::Failed;
    ++job.failed;
    job.unknownEnd = job.unknownEnd || end == TaskEnd::Gone;
    job.reason = end == TaskEnd::Gone ? "the worker was lost; whether the task ran to its end is unknown"
                                      : "stopped; work that is not idempotent is not run again";
}

/** A member of a gang has ended before its time: the others are stopped, and the gang starts again whole. */
void TaskScheduler::gangMemberEnded(Job& job, std::uint32_t index, TaskEnd end, const std::string& why)
{
    if (end == TaskEnd::Gone && !job.policy.idempotent) {
        job.unknownEnd = true;
        job.tasks[index].state = Task::State::Failed;
        ++job.failed;
        const auto stops = stopAll(job, JobPhase::Unknown, why);
        m_pendingStops.insert(m_pendingStops.end(), stops.begin(), stops.end());
        return;
    }
    job.tasks[index].state = Task::State::Queued;
    job.queued.insert(std::lower_bound(job.queued.begin(), job.queued.end(), index, std::greater<>()), index);
    ++m_queuedTasks;
    job.regathering = true;
    job.reason = why;
    stopMembers(job, why);
    if (job.running == 0)
        completeRegathering(job);
}

void TaskScheduler::stopMembers(Job& job, const std::string& why)
{
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        Task& task = job.tasks[i];
        if (task.state != Task::State::Running || task.stopping)
            continue;
        task.stopping = true;
        m_pool.markStopping(task.worker, { job.serial, i });
        m_pendingStops.push_back(
            { makeTaskId(job.spec.id, i), m_pool.workers()[task.worker].info.id, job.policy.idempotent, why });
    }
}

void TaskScheduler::completeRegathering(Job& job)
{
    job.regathering = false;
    if (job.isOver())
        return; // The last end was a failure for good.
    if (!job.policy.idempotent && job.ranInPart) {
        job.reason += "; work that is not idempotent is not run again";
        stopAll(job, JobPhase::Failed, std::string(job.reason));
        return;
    }
    job.ranInPart = false;
    job.front = true;
    job.phase = JobPhase::Queued;
    enqueue(job);
}

void TaskScheduler::finishIfComplete(Job& job)
{
    if (job.isOver() || job.done + job.failed < job.tasks.size())
        return;
    job.phase = job.unknownEnd ? JobPhase::Unknown : job.failed > 0 ? JobPhase::Failed : JobPhase::Done;
    if (job.phase == JobPhase::Done)
        job.reason.clear();
    m_queue.remove(job.serial);
    m_finished.push_back(job.spec.id);
}

void TaskScheduler::dropIfForgotten(Job& job)
{
    if (!job.forgotten || job.running > 0)
        return;
    m_bySerial.erase(job.serial);
    m_jobs.erase(JobId(job.spec.id));
}

std::vector<TaskStop> TaskScheduler::stopAll(Job& job, JobPhase phase, const std::string& reason)
{
    std::vector<TaskStop> stops;
    if (job.isOver())
        return stops;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        Task& task = job.tasks[i];
        if (task.state != Task::State::Running)
            continue;
        task.stopping = true;
        m_pool.markStopping(task.worker, { job.serial, i });
        stops.push_back({ makeTaskId(job.spec.id, i), m_pool.workers()[task.worker].info.id, false, reason });
    }
    m_queuedTasks -= job.queued.size();
    job.queued.clear();
    m_queue.remove(job.serial);
    job.phase = phase;
    job.reason = reason;
    m_finished.push_back(job.spec.id);
    return stops;
}

} // namespace sp
