#include "tail_guard.h"

#include <algorithm>

namespace sp {

namespace {

    /** Filling tasks are slowed down when a tail reaches this share of its target. */
    constexpr double slowDownThreshold = 0.9;
    /** Filling tasks are sped up while all tails are below this share of their targets. */
    constexpr double speedUpThreshold = 0.6;
    constexpr int speedDecrease = 50; ///< In percentage points, while a tail is near its target.
    /** In percentage points; smaller than speedDecrease, which prevents oscillation near the threshold. */
    constexpr int speedIncrease = 25;
    constexpr int settleDivisor = 8; ///< A change affects the reported tail within 1/8 of the impact time.

} // namespace

/**
 * Computes new speed limits for the filling tasks on one target. A tail at or above its target stops them; one near its
 * target reduces their speed.
 * @param target Target with its runs.
 * @param tails Latest tails of the serving tasks on the target.
 * @param impact Duration for which a tail may exceed its target without harm.
 * @return Changes to order; empty if all speed limits stay.
 */
std::vector<PaceChange> decidePaces(
    const CellTarget& target, const std::vector<TailReading>& tails, std::chrono::milliseconds impact, Time now)
{
    bool anyOverTarget = false;
    bool anyNearTarget = false;
    bool allLow = true;
    for (const TailReading& reading : tails) {
        const auto tail = static_cast<double>(reading.tail.count());
        const auto limit = static_cast<double>(reading.target.count());
        anyOverTarget |= tail >= limit;
        anyNearTarget |= tail >= limit * slowDownThreshold;
        allLow &= tail < limit * speedUpThreshold;
    }
    std::vector<PaceChange> changes;
    for (const auto& [task, occupant] : target.occupants) {
        if (!occupant.fills || occupant.phase != RunPhase::Running || occupant.paceOpen)
            continue;
        if (occupant.paceAt != Time {} && now - occupant.paceAt < impact / settleDivisor)
            continue;
        int percent = occupant.pace;
        if (anyOverTarget)
            percent = 0;
        else if (anyNearTarget)
            percent = std::max(0, percent - speedDecrease);
        else if (allLow)
            percent = std::min(100, percent + speedIncrease);
        if (percent != occupant.pace)
            changes.push_back({ task, occupant.run, percent });
    }
    return changes;
}

} // namespace sp
