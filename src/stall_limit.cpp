#include "stall_limit.h"

#include <algorithm>

namespace sp {

/**
 * Returns the time after which a run without progress is stopped, so that its task goes elsewhere.
 *
 * A run that does not advance by a percent in its whole estimated time is a hundred times too slow, and run times
 * exceed estimates by far less. Progress is reported in whole percents, so that a long task needs several times the
 * time of one. If a task stalls again and again, its targets are not the cause, and the limit doubles each time.
 * @param estimate Run time as estimated by the caller.
 * @param stalls Number of runs of the task that were stopped for this reason.
 */
std::chrono::milliseconds stallLimit(std::chrono::milliseconds estimate, std::uint32_t stalls)
{
    constexpr std::chrono::milliseconds shortest { 1000 }; ///< Covers the start of a task and its checkpoint.
    constexpr std::chrono::milliseconds longest { 3000 };
    constexpr int percentsOfEstimate = 3;
    constexpr std::uint32_t maxDoublings = 6;
    const auto limit = std::max(std::clamp(estimate, shortest, longest), estimate * percentsOfEstimate / 100);
    return limit * (std::int64_t { 1 } << std::min(stalls, maxDoublings));
}

} // namespace sp
