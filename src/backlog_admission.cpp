#include "backlog_admission.h"

#include "work_order.h"

#include <algorithm>

namespace sp {

namespace {

    /** Of a service with this part of its cores free no job is refused, whatever its backlog: what waits there waits
     * for the advisor or for a record, not for room. */
    constexpr double freeShare = 0.1;
    constexpr std::chrono::milliseconds minRetry { 1000 };
    constexpr std::chrono::milliseconds maxRetry {
        5000
    }; ///< Callers give a job up when they are sent away for longer.

    /** Returns the time in which an amount is served, at most an hour. */
    std::chrono::milliseconds timeFor(double amount, double perSecond)
    {
        constexpr double maxSeconds = 3600;
        const double seconds = amount <= 0 ? 0 : perSecond > 0 ? std::min(amount / perSecond, maxSeconds) : maxSeconds;
        return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    }

} // namespace

/**
 * Refuses a job that would find room too late to be of value: beyond the rate of its account, if it could not complete
 * within its objective, with the margin of the order of the queue; within the rate, if it could not complete within
 * three times the objective. Work that arrives later and goes first is not counted: in trials this refused jobs that
 * would have completed in time, and left cores idle.
 */
BacklogVerdict checkBacklog(const BacklogState& state, const BacklogDemand& demand)
{
    BacklogVerdict verdict;
    if (state.freeCores > state.coresAhead || state.freeCores >= freeShare * state.capacityCores)
        return verdict;
    verdict.wait = std::max({ timeFor(state.coreSecondsAhead, state.workingCores),
        timeFor(state.coresAhead - state.freeCores, state.freedPerSecond), state.adviceWait });
    verdict.accepted = demand.beyondRate
        ? verdict.wait + pathWithMargin(demand.path, demand.slackFactor) <= demand.objective
        : verdict.wait + demand.path <= demand.objective * lateObjectiveFactor;
    if (!verdict.accepted)
        verdict.retryAfter = std::clamp(verdict.wait, minRetry, maxRetry);
    return verdict;
}

} // namespace sp
