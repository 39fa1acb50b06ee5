#include "task_scheduler.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace sp {

namespace {

    /** Time for which a worker gets no new tasks after it refused a start or could not be reached. */
    constexpr Duration refusalPause = std::chrono::seconds(1);

    /** An idempotent task fails permanently after failures on this many different workers. */
    constexpr std::size_t failureLimit = 3;

    /** Policy for a stored job whose workload is no longer in the bundle: non-idempotent, the safe assumption. */
    WorkloadPolicy fallbackPolicy(const WorkloadId& id)
    {
        WorkloadPolicy policy;
        policy.id = id;
        policy.workClass = WorkClass::Batch;
        policy.idempotent = false;
        return policy;
    }

} // namespace

/** Returns the task id `<job>/<index>`. */
TaskId makeTaskId(const JobId& job, std::uint32_t index) { return TaskId(job.value + "/" + std::to_string(index)); }

/** Splits a task id. @param index Receives the task index; valid only if a job id is returned.
 * @return Job id, empty if the task id is malformed. */
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

/** Applies new policies. Existing jobs keep their work class and idempotence. */
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
    m_retryAllLanes = true;
}

/** Sets the part of each team's quota that this shard grants.
 * @param share Fraction of the quota; 0 divides it equally among the worker shards of the cell. */
void TaskScheduler::setQuotaShare(double share)
{
    m_quotaShare = share;
    applyPolicy(Bundle(m_bundle));
}

/** Adds a worker or updates its data. A new worker gets no tasks until setUsable() is called. */
void TaskScheduler::putWorker(const WorkerInfo& info, [[maybe_unused]] Time now)
{
    m_pool.put(info);
    m_health.setWorkerCount(m_pool.knownWorkers());
}

/** Sets whether a worker answers under the current term. Does nothing if the worker is unknown. */
void TaskScheduler::setUsable(const TargetId& worker, bool usable, [[maybe_unused]] Time now)
{
    if (const WorkerIndex index = m_pool.find(worker); index != noWorker)
        m_pool.setUsable(index, usable);
}

/** Marks a worker as draining: running tasks continue, new ones are not placed on it. */
void TaskScheduler::setLeaving(const TargetId& worker, [[maybe_unused]] Time now)
{
    if (const WorkerIndex index = m_pool.find(worker); index != noWorker)
        m_pool.setLeaving(index);
}

/** Removes a worker. Its tasks end with TaskEnd::Gone. */
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
    std::erase_if(m_unmatchedTasks, [&](const auto& foreign) { return foreign.first.second == index; });
    m_planner.end(m_pool, now);
    m_retryAllLanes = true;
    m_health.forget(index);
    m_pool.remove(index);
    m_health.setWorkerCount(m_pool.knownWorkers());
}

/** Queues a job. @return Ok, or the error and the reason for the refusal. */
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

/** Adds a job during recovery, without the admission checks of submit(). Does nothing if the job is known.
 * @param finished Indices of tasks that have already succeeded. */
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
    adoptUnmatchedTasks(job, now);
    enqueue(job);
    finishIfComplete(job);
}

/** Reserves resources for a task that a worker reports as running. A task of an unknown job, or one that is placed on
 * another worker, also counts against the capacity of the worker. @return False if the task should not run there. */
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
    addUnmatchedTask(running.task, place, running.size);
    return false;
}

/** Cancels a job. @return Running tasks to stop; empty if the job is unknown or has ended. */
std::vector<TaskStop> TaskScheduler::cancel(const JobId& job, [[maybe_unused]] Time now)
{
    Job* found = findJob(job);
    return found ? stopAll(*found, JobPhase::Cancelled, "cancelled by the caller") : std::vector<TaskStop>();
}

/** Ends a hold successfully. @return Running tasks to stop; empty if the job is unknown or has ended. */
std::vector<TaskStop> TaskScheduler::releaseHold(const JobId& job, [[maybe_unused]] Time now)
{
    Job* found = findJob(job);
    return found ? stopAll(*found, JobPhase::Done, "released by the caller") : std::vector<TaskStop>();
}

/** Records that a worker confirmed the start of a task. */
void TaskScheduler::startConfirmed(const TaskId& task, [[maybe_unused]] Time now)
{
    std::uint32_t index = 0;
    if (Job* job = findTask(task, index); job && job->tasks[index].state == Task::State::Running)
        job->anyTaskRan = true;
}

/** Handles a start call that did not succeed. A task that was refused before it ran is queued again. */
void TaskScheduler::startRefused(const TaskId& task, CallEnd how, Time now)
{
    std::uint32_t index = 0;
    Job* job = findTask(task, index);
    if (!job || job->tasks[index].state != Task::State::Running || how == CallEnd::Lost)
        return; // Without an answer the task may be running: the reservation stays until a worker report.
    if (how == CallEnd::Completed)
        return startConfirmed(task, now);
    if (how == CallEnd::Failed)
        return taskEnded(task, TaskEnd::Failed, {}, now);
    const WorkerIndex worker = job->tasks[index].worker;
    if (how == CallEnd::RefusedLeaving) {
        m_pool.setLeaving(worker);
    } else {
        m_pool.setPaused(worker, true);
        m_pauseEnds.emplace(now + refusalPause, worker);
    }
    freeTask(*job, index);
    applyHealth(m_health.endedUnknown(worker));
    if (job->isOver())
        return dropIfForgotten(*job);
    if (job->isGang())
        return gangMemberEnded(*job, index, TaskEnd::Stopped, "the start of a member was refused");
    requeueTask(*job, index);
}

/** Handles the end of a task. @param result Output of the task.
 * @param worker Worker that reports the end, empty if unknown. Distinguishes reports about the same task id from
 * different workers. */
void TaskScheduler::taskEnded(
    const TaskId& task, TaskEnd end, const std::string& result, Time now, const TargetId& worker)
{
    const WorkerIndex place = worker.empty() ? noWorker : m_pool.find(worker);
    std::uint32_t index = 0;
    Job* job = findTask(task, index);
    if (!job || job->tasks[index].state != Task::State::Running
        || (place != noWorker && job->tasks[index].worker != place)) {
        releaseUnmatchedTask(task, place);
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
        taskInterrupted(*job, index, end);
    }
    if (job->restarting && job->running == 0)
        completeGangRestart(*job);
    finishIfComplete(*job);
}

/** Handles a usage report. Adjusts the reservation of the task, as far as its worker has free resources, and the size
 * reserved for later starts of the same work. */
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
        m_learnedSizesFell = m_learnedSizesFell || !before.fitsIn(job->usage->tracker.size());
    if (!state.tracker)
        state.tracker = std::make_unique<SizeTracker>(state.charged);
    if (!state.tracker->report(capped, now))
        return;
    // The worker keeps reserving the granted size, so a smaller reservation here would lead to refused starts.
    const Resources wanted
        = minOf(maxOf(state.tracker->size(), state.granted), m_pool.workers()[state.worker].info.capacity);
    if (wanted == state.charged)
        return;
    m_pool.resize(state.worker, { job->serial, index }, wanted);
    m_quota.credit(job->team, state.charged);
    m_quota.charge(job->team, wanted);
    state.charged = wanted;
}

/** Returns the status of a job, nothing if it is unknown or was dropped with forget(). */
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

/** Returns the jobs that ended since the last call. */
std::vector<JobId> TaskScheduler::takeFinishedJobs() { return std::exchange(m_finishedJobs, {}); }

/** Drops a job, cancelling it first if it has not ended. Running tasks keep their reservations until they end. */
void TaskScheduler::forget(const JobId& job)
{
    Job* found = findJob(job);
    if (!found)
        return;
    if (!found->isOver()) {
        stopAll(*found, JobPhase::Cancelled, "forgotten");
        m_finishedJobs.pop_back();
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
    if (!mayBorrow && !m_quota.fitsQuotaAlone(m_quota.index(spec.team), need))
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

/** Adds a job with waiting tasks to the lane of its rank, team, workload and size. */
void TaskScheduler::enqueue(Job& job)
{
    if (job.queued.empty() || job.isOver() || job.restarting)
        return;
    LaneKey key;
    key.rank = job.policy.priority == Priority::Urgent ? QueueRank::Urgent
        : job.hasFrontRank                             ? QueueRank::Front
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
    m_pool.reserve(worker, { { job.serial, index }, size, {}, job.team, job.isPreemptible(), false, now, end });
    m_quota.charge(job.team, size);
    ++job.rackUse[m_pool.workers()[worker].rack];
    ++job.running;
    if (!job.isOver())
        job.phase = JobPhase::Running;
}

/** Releases the reservation and quota of a task. The caller must then set the next state. */
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
    task.state = Task::State::Failed; // Placeholder until the caller sets the final state.
    --job.running;
}

void TaskScheduler::taskFailed(Job& job, std::uint32_t index, WorkerIndex worker)
{
    Task& task = job.tasks[index];
    ++task.failures;
    job.hasFailures = true;
    if (std::find(task.failedOn.begin(), task.failedOn.end(), worker) == task.failedOn.end())
        task.failedOn.push_back(worker);
    const std::size_t different = std::min(failureLimit, m_pool.countFitting(job.spec.size));
    const bool final = task.failures >= failureLimit && task.failedOn.size() >= different;
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

/** Handles a task that was stopped or whose worker was lost. */
void TaskScheduler::taskInterrupted(Job& job, std::uint32_t index, TaskEnd end)
{
    if (job.isGang())
        return gangMemberEnded(job, index, end, end == TaskEnd::Gone ? "a member was lost" : "a member was stopped");
    if (job.policy.idempotent) {
        job.hasFrontRank = job.hasFrontRank
            || job.isHold(); // A hold is queued before other work, with its original submission time.
        return requeueTask(job, index);
    }
    Task& task = job.tasks[index];
    task.state = Task::State::Failed;
    ++job.failed;
    job.outcomeUnknown = job.outcomeUnknown || end == TaskEnd::Gone;
    job.reason = end == TaskEnd::Gone ? "the worker was lost; whether the task ran to its end is unknown"
                                      : "stopped; work that is not idempotent is not run again";
}

/** Handles a gang task that ended without success: stops the others and then queues the whole gang again. */
void TaskScheduler::gangMemberEnded(Job& job, std::uint32_t index, TaskEnd end, const std::string& why)
{
    if (end == TaskEnd::Gone && !job.policy.idempotent) {
        job.outcomeUnknown = true;
        job.tasks[index].state = Task::State::Failed;
        ++job.failed;
        const auto stops = stopAll(job, JobPhase::Unknown, why);
        m_pendingStops.insert(m_pendingStops.end(), stops.begin(), stops.end());
        return;
    }
    job.tasks[index].state = Task::State::Queued;
    job.queued.insert(std::lower_bound(job.queued.begin(), job.queued.end(), index, std::greater<>()), index);
    ++m_queuedTasks;
    job.restarting = true;
    job.reason = why;
    stopGangMembers(job, why);
    if (job.running == 0)
        completeGangRestart(job);
}

void TaskScheduler::stopGangMembers(Job& job, const std::string& why)
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

void TaskScheduler::completeGangRestart(Job& job)
{
    job.restarting = false;
    if (job.isOver())
        return; // A task failed permanently while the gang was being stopped.
    if (!job.policy.idempotent && job.anyTaskRan) {
        job.reason += "; work that is not idempotent is not run again";
        stopAll(job, JobPhase::Failed, std::string(job.reason));
        return;
    }
    job.anyTaskRan = false;
    job.hasFrontRank = true;
    job.phase = JobPhase::Queued;
    enqueue(job);
}

void TaskScheduler::finishIfComplete(Job& job)
{
    if (job.isOver() || job.done + job.failed < job.tasks.size())
        return;
    job.phase = job.outcomeUnknown ? JobPhase::Unknown : job.failed > 0 ? JobPhase::Failed : JobPhase::Done;
    if (job.phase == JobPhase::Done)
        job.reason.clear();
    m_queue.remove(job.serial);
    m_finishedJobs.push_back(job.spec.id);
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
    m_finishedJobs.push_back(job.spec.id);
    return stops;
}

} // namespace sp
