#include "target_health.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

namespace {

    constexpr std::uint32_t failuresToTrip = 5;
    constexpr std::size_t workloadsToTrip = 2;
    constexpr std::uint32_t successesToReturn = 3;
    constexpr std::uint32_t successesToTrust
        = 50; ///< In a row, after which the pause starts from its first value again.
    constexpr Duration firstPause = std::chrono::seconds(10);
    constexpr Duration longestPause = std::chrono::minutes(10);

    /** Workers that must have run a workload before its failures are put down to the work. */
    constexpr std::size_t workersToJudge = 3;

} // namespace

/** Notes a start; a worker on trial gets no second task meanwhile. @param worker Worker. @return Changes. */
std::vector<HealthChange> TargetHealth::started(std::uint32_t worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.onTrial)
        return {};
    ++it->second.trialsRunning;
    return { { worker, true, "a trial task runs" } };
}

/** Notes the end of a task that ran. @param worker Worker. @param workload Its workload. @param success Whether it
 * succeeded. @param now Present time. @return Changes. */
std::vector<HealthChange> TargetHealth::ended(std::uint32_t worker, const WorkloadId& workload, bool success, Time now)
{
    note(workload, worker, success);
    Worker& state = m_workers[worker];
    if (state.out) {
        if (!state.onTrial)
            return {}; // An end of work from before the worker was taken out tells nothing new.
        state.trialsRunning -= state.trialsRunning > 0;
        if (!success && failsEverywhere(workload))
            return { { worker, false, "the trial task fails everywhere" } };
        return { trialResult(worker, state, success, now) };
    }
    if (success) {
        state.failuresInRow = 0;
        state.failing.clear();
        if (++state.successes >= successesToTrust)
            state.pause = {};
        return {};
    }
    if (failsEverywhere(workload))
        return {};
    state.successes = 0;
    ++state.failuresInRow;
    state.failing.insert(workload);
    if (state.failuresInRow < failuresToTrip || state.failing.size() < workloadsToTrip || !trip(worker, state, now))
        return {};
    return { { worker, true, "its last starts failed" } };
}

/** Notes the end of a task that tells nothing about the worker. @param worker Worker. @return Changes. */
std::vector<HealthChange> TargetHealth::endedUnknown(std::uint32_t worker)
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || !it->second.onTrial || it->second.trialsRunning == 0)
        return {};
    if (--it->second.trialsRunning > 0)
        return {};
    return { { worker, false, "the trial task told nothing" } };
}

/** Starts trials whose pause is over. @param now Present time. @return Changes. */
std::vector<HealthChange> TargetHealth::poll(Time now)
{
    std::vector<HealthChange> changes;
    for (const std::uint32_t index : m_out) {
        Worker& worker = m_workers[index];
        if (worker.onTrial || now < worker.retryAt)
            continue;
        worker.onTrial = true;
        worker.trialSuccesses = 0;
        worker.trialsRunning = 0;
        changes.push_back({ index, false, "tried again after a pause" });
    }
    return changes;
}

/** Drops what is known of a worker that is gone. @param worker Worker. */
void TargetHealth::forget(std::uint32_t worker)
{
    m_workers.erase(worker);
    m_out.erase(worker);
    for (auto& [id, workload] : m_workloads) {
        if (const auto it = workload.failed.find(worker); it != workload.failed.end()) {
            workload.failing -= it->second;
            workload.failed.erase(it);
        }
    }
}

/** @param worker Worker. @return Whether it gets no normal work. */
bool TargetHealth::isOut(std::uint32_t worker) const { return m_out.contains(worker); }

/** @return Largest number of workers that are out at once. */
std::size_t TargetHealth::outLimit() const
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(m_shareMax * static_cast<double>(m_workerCount)));
}

/** @param workload Workload. @return Whether its last end was a failure on more than half of at least 3 workers. */
bool TargetHealth::failsEverywhere(const WorkloadId& workload) const
{
    const auto it = m_workloads.find(workload);
    return it != m_workloads.end() && it->second.failed.size() >= workersToJudge
        && it->second.failing * 2 > it->second.failed.size();
}

/** Throws std::logic_error if more workers are out than allowed or a count is wrong. */
void TargetHealth::checkInvariants() const
{
    std::size_t out = 0;
    for (const auto& [index, worker] : m_workers) {
        out += worker.out;
        if (worker.out != m_out.contains(index))
            throw std::logic_error("the set of failing workers is wrong");
    }
    if (out != m_out.size())
        throw std::logic_error("a worker that is out is not known");
}

void TargetHealth::note(const WorkloadId& workload, std::uint32_t worker, bool success)
{
    Workload& state = m_workloads[workload];
    const auto [it, isNew] = state.failed.try_emplace(worker, !success);
    if (isNew) {
        state.failing += !success;
        return;
    }
    state.failing -= it->second;
    it->second = !success;
    state.failing += !success;
}

bool TargetHealth::trip(std::uint32_t index, Worker& worker, Time now)
{
    if (m_out.size() >= outLimit())
        return false;
    worker.out = true;
    worker.onTrial = false;
    worker.pause = worker.pause == Duration {} ? firstPause : std::min(worker.pause * 2, longestPause);
    worker.retryAt = now + worker.pause;
    m_out.insert(index);
    return true;
}

HealthChange TargetHealth::trialResult(std::uint32_t index, Worker& worker, bool success, Time now)
{
    if (!success) {
        worker.onTrial = false;
        worker.pause = std::min(worker.pause * 2, longestPause);
        worker.retryAt = now + worker.pause;
        return { index, true, "the trial task failed" };
    }
    if (++worker.trialSuccesses < successesToReturn)
        return { index, false, "a trial task succeeded" };
    const Duration pause = worker.pause; // Kept, so that a worker that fails again soon stays out longer.
    worker = {};
    worker.pause = pause;
    m_out.erase(index);
    return { index, false, "back after successes on trial" };
}

} // namespace sp
