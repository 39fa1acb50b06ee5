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

/** Gives a waiting task the place where a worker reports it. @return True. */
bool TaskScheduler::adoptTask(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, Time now)
{
    const auto claimed = std::find_if(m_claims.begin(), m_claims.end(),
        [&](const Claim& claim) { return claim.job == job.serial && claim.index == index; });
    if (claimed != m_claims.end())
        dropClaim(static_cast<std::size_t>(claimed - m_claims.begin()));
    takeFromQueue(job, index);
    reserveTask(job, index, worker, maxOf(size, {}), now);
    job.ranInPart = true;
    if (job.isGang())
        enqueue(job); // Its lane is that of a smaller gang now.
    return true;
}

void TaskScheduler::addForeign(const TaskId& task, WorkerIndex worker, const Resources& size)
{
    const auto [it, isNew] = m_foreign.try_emplace({ task, worker }, m_lastForeign + 1);
    if (!isNew)
        return;
    Reservation reservation;
    reservation.key = { 0, ++m_lastForeign };
    reservation.wanted = size;
    m_pool.reserve(worker, reservation);
}

/** Frees the room of a reported task without a job. @param worker Worker, noWorker for any. */
void TaskScheduler::endForeign(const TaskId& task, WorkerIndex worker)
{
    auto it = m_foreign.lower_bound({ task, 0 });
    while (it != m_foreign.end() && it->first.first == task) {
        if (worker != noWorker && it->first.second != worker) {
            ++it;
            continue;
        }
        m_pool.release(it->first.second, { 0, it->second });
        it = m_foreign.erase(it);
    }
}

/** Joins tasks that were reported before their job was known. */
void TaskScheduler::adoptForeign(Job& job, Time now)
{
    if (m_foreign.empty())
        return;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const TaskId task = makeTaskId(job.spec.id, i);
        const auto it = m_foreign.lower_bound({ task, 0 });
        if (it == m_foreign.end() || it->first.first != task || job.tasks[i].state != Task::State::Queued)
            continue;
        const WorkerIndex worker = it->first.second;
        const TaskKey key { 0, it->second };
        const Resources size = m_pool.reservation(worker, key)->wanted;
        m_foreign.erase(it);
        m_pool.release(worker, key);
        adoptTask(job, i, worker, size, now);
    }
}

/** Gives up a claim; its task waits in its lane again. @return Job, null if it is over. */
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

/** Throws std::logic_error if an invariant does not hold. Looks at all state: for tests and the soak test. */
void TaskScheduler::checkInvariants() const
{
    m_pool.checkInvariants();
    m_queue.checkInvariants();
    m_health.checkInvariants();
    std::size_t waiting = 0;
    std::size_t reserved = m_foreign.size();
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
            throw std::logic_error("the usage of a team is wrong");
    }
    std::size_t inPool = 0;
    std::vector<Resources> claimed(m_pool.workers().size());
    for (const Claim& claim : m_claims)
        claimed[claim.worker] += claim.size;
    for (WorkerIndex i = 0; i < claimed.size(); ++i) {
        inPool += m_pool.workers()[i].tasks.size();
        if (claimed[i] != m_pool.workers()[i].claimed)
            throw std::logic_error("the claims on a worker are wrong");
    }
    if (inPool != reserved)
        throw std::logic_error("a task is reserved on no worker or on two");
    if (waiting != m_queuedTasks)
        throw std::logic_error("the number of waiting tasks is wrong");
}

/** @return Number of waiting tasks of the job. */
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
            throw std::logic_error("task " + std::to_string(i) + " of " + job.spec.id.value + " has a wrong place");
        if (task.worker == noWorker)
            continue;
        const auto& tasks = m_pool.workers()[task.worker].tasks;
        const TaskKey key { job.serial, i };
        if (std::count_if(tasks.begin(), tasks.end(), [&](const Reservation& r) { return r.key == key; }) != 1)
            throw std::logic_error("a running task has no reservation or two");
    }
    if (running != job.running || done != job.done)
        throw std::logic_error("the counts of " + job.spec.id.value + " are wrong");
    if (job.isOver())
        return static_cast<std::size_t>(
            std::count_if(m_claims.begin(), m_claims.end(), [&](const Claim& c) { return c.job == job.serial; }));
    const auto claims = static_cast<std::size_t>(
        std::count_if(m_claims.begin(), m_claims.end(), [&](const Claim& c) { return c.job == job.serial; }));
    if (queued != job.queued.size() + claims)
        throw std::logic_error("a waiting task of " + job.spec.id.value + " is lost: " + std::to_string(queued)
            + " wait, " + std::to_string(job.queued.size()) + " are queued, " + std::to_string(claims) + " claimed; "
            + job.spec.workload.value + " " + job.reason);
    if (m_queue.contains(job.serial) != (!job.queued.empty() && !job.regathering))
        throw std::logic_error("job " + job.spec.id.value + " waits in no lane");
    if (job.isGang() && job.running > 0 && !job.queued.empty() && !job.regathering && !job.ranInPart)
        throw std::logic_error("gang " + job.spec.id.value + " runs in part");
    return queued;
}

} // namespace sp
