#include "task_scheduler.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

TaskScheduler::Job* TaskScheduler::findJob(const JobId& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

TaskScheduler::Job* TaskScheduler::findTask(const TaskId& task, std::uint32_t& index) const
{
    Job* job = findJob(jobOfTask(task, index));
    return job && index < job->tasks.size() ? job : nullptr;
}

/** Reserves resources for a waiting task on the worker that reports it as running. @return Always true. */
bool TaskScheduler::adoptTask(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, Time now)
{
    const auto claimed = std::find_if(m_claims.begin(), m_claims.end(),
        [&](const Claim& claim) { return claim.job == job.serial && claim.index == index; });
    if (claimed != m_claims.end())
        dropClaim(static_cast<std::size_t>(claimed - m_claims.begin()));
    takeFromQueue(job, index);
    reserveTask(job, index, worker, maxOf(size, {}), now);
    job.anyTaskRan = true;
    if (job.isGang())
        enqueue(job); // The lane key contains the number of waiting tasks, which fell.
    return true;
}

void TaskScheduler::addUnmatchedTask(const TaskId& task, WorkerIndex worker, const Resources& size)
{
    const auto [it, isNew] = m_unmatchedTasks.try_emplace({ task, worker }, m_lastUnmatchedIndex + 1);
    if (!isNew)
        return;
    Reservation reservation;
    reservation.key = { 0, ++m_lastUnmatchedIndex };
    reservation.wanted = size;
    m_pool.reserve(worker, reservation);
}

/** Releases the reservation of a reported task without a job. @param worker Worker; noWorker for all workers. */
void TaskScheduler::releaseUnmatchedTask(const TaskId& task, WorkerIndex worker)
{
    auto it = m_unmatchedTasks.lower_bound({ task, 0 });
    while (it != m_unmatchedTasks.end() && it->first.first == task) {
        if (worker != noWorker && it->first.second != worker) {
            ++it;
            continue;
        }
        m_pool.release(it->first.second, { 0, it->second });
        it = m_unmatchedTasks.erase(it);
    }
}

/** Assigns tasks to the job that were reported as running before the job was known. */
void TaskScheduler::adoptUnmatchedTasks(Job& job, Time now)
{
    if (m_unmatchedTasks.empty())
        return;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const TaskId task = makeTaskId(job.spec.id, i);
        const auto it = m_unmatchedTasks.lower_bound({ task, 0 });
        if (it == m_unmatchedTasks.end() || it->first.first != task || job.tasks[i].state != Task::State::Queued)
            continue;
        const WorkerIndex worker = it->first.second;
        const TaskKey key { 0, it->second };
        const Resources size = m_pool.reservation(worker, key)->wanted;
        m_unmatchedTasks.erase(it);
        m_pool.release(worker, key);
        adoptTask(job, i, worker, size, now);
    }
}

/** Drops a claim and queues its task again. @return Job, null if the job has ended. */
TaskScheduler::Job* TaskScheduler::dropClaim(std::size_t position)
{
    const Claim claim = m_claims[position];
    m_claims.erase(m_claims.begin() + static_cast<std::ptrdiff_t>(position));
    m_pool.dropClaim(claim.worker, claim.size);
    m_quota.credit(claim.team, claim.size);
    --m_queuedTasks;
    const auto found = m_bySerial.find(claim.job);
    if (found == m_bySerial.end() || found->second->isOver())
        return nullptr;
    requeueTask(*found->second, claim.index);
    return found->second;
}

void TaskScheduler::dropClaimsOn(WorkerIndex worker)
{
    for (std::size_t i = m_claims.size(); i > 0; --i) {
        if (m_claims[i - 1].worker == worker)
            dropClaim(i - 1);
    }
}

void TaskScheduler::applyHealth(const std::vector<HealthChange>& changes)
{
    for (const HealthChange& change : changes) {
        m_pool.setOut(change.worker, change.out);
        m_notes.push_back("worker " + m_pool.workers()[change.worker].info.id.value
            + (change.out ? " gets no new work: " : " may get work: ") + change.reason);
    }
}

/** Throws std::logic_error if an invariant does not hold. Checks all state, so it is for tests only. */
void TaskScheduler::checkInvariants() const
{
    m_pool.checkInvariants();
    m_queue.checkInvariants();
    m_health.checkInvariants();
    std::size_t waiting = 0;
    std::size_t reserved = m_unmatchedTasks.size();
    std::vector<Resources> used(m_quota.teams());
    for (const auto& [id, job] : m_jobs) {
        waiting += checkJob(*job);
        reserved += job->running;
        for (const Task& task : job->tasks)
            used[job->team] += task.charged;
    }
    for (const Claim& claim : m_claims)
        used[claim.team] += claim.size;
    for (TeamIndex team = 0; team < used.size(); ++team) {
        if (used[team] != m_quota.used(team))
            throw std::logic_error("quota usage of a team does not match its tasks and claims");
    }
    std::size_t inPool = 0;
    std::vector<Resources> claimed(m_pool.workers().size());
    for (const Claim& claim : m_claims)
        claimed[claim.worker] += claim.size;
    for (WorkerIndex i = 0; i < claimed.size(); ++i) {
        inPool += m_pool.workers()[i].tasks.size();
        if (claimed[i] != m_pool.workers()[i].claimed)
            throw std::logic_error("claimed resources of a worker do not match its claims");
    }
    if (inPool != reserved)
        throw std::logic_error("number of reservations does not match the number of running tasks");
    if (waiting != m_queuedTasks)
        throw std::logic_error("number of waiting tasks does not match the jobs");
}

/** Checks the invariants of one job. @return Number of its waiting tasks, including those with a claim. */
std::size_t TaskScheduler::checkJob(const Job& job) const
{
    std::size_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t done = 0;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const Task& task = job.tasks[i];
        queued += task.state == Task::State::Queued;
        running += task.state == Task::State::Running;
        done += task.state == Task::State::Done;
        if ((task.state == Task::State::Running) != (task.worker != noWorker))
            throw std::logic_error(
                "task " + std::to_string(i) + " of " + job.spec.id.value + " has a worker that contradicts its state");
        if (task.worker == noWorker)
            continue;
        const auto& tasks = m_pool.workers()[task.worker].tasks;
        const TaskKey key { job.serial, i };
        if (std::count_if(tasks.begin(), tasks.end(), [&](const Reservation& r) { return r.key == key; }) != 1)
            throw std::logic_error("a running task does not have exactly one reservation");
    }
    if (running != job.running || done != job.done)
        throw std::logic_error("the task counts of " + job.spec.id.value + " do not match its tasks");
    if (job.isOver())
        return static_cast<std::size_t>(
            std::count_if(m_claims.begin(), m_claims.end(), [&](const Claim& c) { return c.job == job.serial; }));
    const auto claims = static_cast<std::size_t>(
        std::count_if(m_claims.begin(), m_claims.end(), [&](const Claim& c) { return c.job == job.serial; }));
    if (queued != job.queued.size() + claims)
        throw std::logic_error("the waiting tasks of " + job.spec.id.value
            + " are not each queued or claimed exactly once: " + std::to_string(queued) + " waiting, "
            + std::to_string(job.queued.size()) + " queued, " + std::to_string(claims) + " claimed; "
            + job.spec.workload.value + " " + job.reason);
    if (m_queue.contains(job.serial) != (!job.queued.empty() && !job.restarting))
        throw std::logic_error(
            "job " + job.spec.id.value + " is queued although it should not be, or is missing from the queue");
    if (job.isGang() && job.running > 0 && !job.queued.empty() && !job.restarting && !job.anyTaskRan)
        throw std::logic_error("gang " + job.spec.id.value + " runs without some of its tasks");
    return queued;
}

} // namespace sp
