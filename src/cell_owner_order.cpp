#include "cell_owner.h"

#include <algorithm>

namespace sp {

/** Returns the longest time of a call to a queue's advisor, 0 if it has none. */
std::chrono::milliseconds CellOwner::adviceTime(const QueueConfig& queue)
{
    return queue.advisor
        ? std::chrono::duration_cast<std::chrono::milliseconds>(queue.advisor->callTime(maxAdvisedTargets))
        : std::chrono::milliseconds(0);
}

/** Returns the place of a step in the queue of its priority, nothing if the cell has no client accounts. */
std::optional<WorkRank> CellOwner::rankOf(
    const CellJob& job, std::uint32_t occurrence, std::uint32_t step, Time now) const
{
    const auto state = job.occurrences.find(occurrence);
    if (m_config.accounts.empty() || state == job.occurrences.end())
        return std::nullopt;
    const QueueConfig* queue = queueOf(job);
    const RemainingWork remaining
        = remainingWork(job.spec.steps, state->second, queue ? adviceTime(*queue) : std::chrono::milliseconds(0));
    WorkItem item;
    item.submittedAt = job.submittedAt;
    for (const StepState& other : state->second.steps) {
        if (job.timed() && other.readyAt != Time {}) // Each occurrence has the objective from its own start on.
            item.submittedAt
                = item.submittedAt == job.submittedAt ? other.readyAt : std::min(item.submittedAt, other.readyAt);
    }
    item.objective = job.objective;
    item.slackFactor = queue ? queue->slackFactor : 1;
    item.remainingPath = remaining.path;
    item.remainingCoreMs = remaining.coreMs;
    item.begun = job.begun;
    item.lasting = job.spec.steps[step].lasting;
    item.beyondRate = job.beyondRate;
    return workRank(item, now);
}

} // namespace sp
