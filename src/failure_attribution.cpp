#include "failure_attribution.h"

#include <algorithm>

namespace sp {

namespace {

    /** On a target without a fault, runs of so many jobs, or so many of one job, rarely fail in a row. */
    constexpr int failuresInARow = 3;
    constexpr std::chrono::seconds firstShutOut { 3 }; ///< Doubles with each consecutive one.
    constexpr int maxShutOutDoublings = 2; ///< Limits it to 12 s, after which the target is tried again.
    /** Short, since a task that lasts must not stay away from its only target. */
    constexpr std::chrono::seconds closedToJob { 3 };
    /** Longer than any shut-out, so that a target that fails again afterwards is known. */
    constexpr std::chrono::seconds failureMemory { 60 };
    /** A target stands out if so many times as many jobs failed there as on the average one: at most half of all do. */
    constexpr std::size_t standsOutFactor = 2;
    /** A job that has failed on a larger part of the targets, and was done on none, is taken to fail everywhere. */
    constexpr std::size_t minorityDivisor = 4;

    bool isRecent(Time failedAt, Time now) { return failedAt != Time {} && now - failedAt <= failureMemory; }

} // namespace

/** Returns the number of targets on which a job has failed of late. */
std::size_t FailureAttribution::targetsThatFailed(const JobId& job, Time now) const
{
    const auto history = m_jobs.find(job);
    if (history == m_jobs.end())
        return 0;
    const auto& targets = history->second.targets;
    return static_cast<std::size_t>(std::count_if(
        targets.begin(), targets.end(), [&](const auto& item) { return isRecent(item.second.failedAt, now); }));
}

/** Returns whether the failures on a target are its own fault. */
bool FailureAttribution::isAtFault(const TargetHistory& target, std::size_t targetsOfService, Time now) const
{
    const auto recentJobs = [&](const TargetHistory& history) {
        return static_cast<std::size_t>(std::count_if(history.failedJobs.begin(), history.failedJobs.end(),
            [&](const auto& item) { return isRecent(item.second, now); }));
    };
    const std::size_t jobs = recentJobs(target);
    if (jobs < failuresInARow)
        return false;
    const auto counted = std::count_if(target.failedJobs.begin(), target.failedJobs.end(),
        [&](const auto& item) { return isRecent(item.second, now) && targetsThatFailed(item.first, now) < jobs; });
    if (counted < failuresInARow)
        return false;
    std::size_t jobsOnAll = 0;
    for (const auto& [id, history] : m_targets)
        jobsOnAll += history.service == target.service ? recentJobs(history) : 0;
    return jobs * targetsOfService >= standsOutFactor * jobsOnAll;
}

/**
 * Records a run that failed or made no progress.
 * @param targetsOfService Number of listed targets of the service.
 * @return Targets that are shut out, or let in again as the failures there turn out to be those of the job.
 */
std::vector<FailureAttribution::Verdict> FailureAttribution::runFailed(
    const TargetId& target, const ServiceId& service, const JobId& job, std::size_t targetsOfService, Time now)
{
    JobHistory& jobHistory = m_jobs[job];
    jobHistory.targetsOfService = targetsOfService;
    JobOnTarget& run = jobHistory.targets[target];
    const bool firstOnTarget = !isRecent(run.failedAt, now);
    run.failedAt = now;
    ++run.failedInARow;
    TargetHistory& history = m_targets[target];
    history.service = service;
    history.failedJobs[job] = now;
    std::vector<Verdict> verdicts;
    if (now >= history.shutOutUntil && isAtFault(history, targetsOfService, now)) {
        history.shutOutUntil = now + firstShutOut * (1 << std::min(history.shutOuts++, maxShutOutDoublings));
        verdicts.push_back({ target, history.shutOutUntil });
    }
    if (!firstOnTarget)
        return verdicts;
    for (auto& [id, other] : m_targets) {
        if (other.service != service || other.shutOutUntil <= now || isAtFault(other, targetsOfService, now))
            continue;
        other.shutOutUntil = {};
        --other.shutOuts;
        verdicts.push_back({ id, {} });
    }
    return verdicts;
}

/** Records a run that was done: its target works, and the job can be done. */
void FailureAttribution::runDone(const TargetId& target, const JobId& job)
{
    if (const auto history = m_targets.find(target); history != m_targets.end()) {
        history->second.failedJobs.clear();
        history->second.shutOuts = 0;
    }
    if (const auto history = m_jobs.find(job); history != m_jobs.end()) {
        JobOnTarget& run = history->second.targets[target];
        run.failedInARow = 0;
        run.done = true;
    }
}

/** Returns whether a target gets no task of a job, as several of its runs failed there and not on most others. */
bool FailureAttribution::isClosedTo(const JobId& job, const TargetId& target, Time now) const
{
    const auto history = m_jobs.find(job);
    if (history == m_jobs.end())
        return false;
    const auto& targets = history->second.targets;
    const auto run = targets.find(target);
    if (run == targets.end() || run->second.failedInARow < failuresInARow || now - run->second.failedAt >= closedToJob)
        return false;
    const bool doneElsewhere
        = std::any_of(targets.begin(), targets.end(), [](const auto& item) { return item.second.done; });
    const std::size_t minority = std::max<std::size_t>(1, history->second.targetsOfService / minorityDivisor);
    return doneElsewhere || targetsThatFailed(job, now) <= minority;
}

/** Forgets the failures on a target that has restarted or left. Those of the jobs remain known. */
void FailureAttribution::forgetTarget(const TargetId& target) { m_targets.erase(target); }

/** Forgets what happened too long ago to be of use. */
void FailureAttribution::forgetExpired(Time now)
{
    std::erase_if(m_jobs, [&](const auto& item) {
        const auto& targets = item.second.targets;
        return std::none_of(
            targets.begin(), targets.end(), [&](const auto& run) { return isRecent(run.second.failedAt, now); });
    });
    for (auto& [id, history] : m_targets)
        std::erase_if(history.failedJobs, [&](const auto& item) { return !isRecent(item.second, now); });
    std::erase_if(
        m_targets, [&](const auto& item) { return item.second.failedJobs.empty() && item.second.shutOutUntil <= now; });
}

} // namespace sp
