#include "tail_guard.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr double slowDownAt = 0.9; ///< Share of the target at which filling tasks are slowed down.
    constexpr double speedUpBelow = 0.6; ///< Share of the target below which they are let go again.
    constexpr int stepDown = 50; ///< Percent points for a tail that is near its target.
    constexpr int stepUp = 25; ///< Percent points; smaller than stepDown, so that a tail at the edge does not swing.
    constexpr int settleParts = 8; ///< A change shows in the next reading after an eighth of the harmful time.

} // namespace

/**
 * Decides the paces of the filling tasks on one target. A tail beyond its target stops them; one near it halves them.
 * @param target Target with its occupants.
 * @param tails Latest readings of the serving tasks there.
 * @param impact Time over the target that counts as harm.
 * @param now Present time.
 * @return Changes to order; empty if the paces stay.
 */
std::vector<PaceChange> decidePaces(
    const CellTarget& target, const std::vector<TailReading>& tails, std::chrono::milliseconds impact, Time now)
{
    bool over = false;
    bool near = false;
    bool calm = true;
    for (const TailReading& reading : tails) {
        const auto tail = static_cast<double>(reading.tail.count());
        const auto limit = static_cast<double>(reading.target.count());
        over |= tail >= limit;
        near |= tail >= limit * slowDownAt;
        calm &= tail < limit * speedUpBelow;
    }
    std::vector<PaceChange> changes;
    for (const auto& [task, occupant] : target.occupants) {
        if (!occupant.fills || occupant.phase != RunPhase::Running || occupant.paceOpen)
            continue;
        if (occupant.paceAt != Time {} && now - occupant.paceAt < impact / settleParts)
            continue;
        int percent = occupant.pace;
        if (over)
            percent = 0;
        else if (near)
            percent = std::max(0, percent - stepDown);
        else if (calm)
            percent = std::min(100, percent + stepUp);
        if (percent != occupant.pace)
            changes.push_back({ task, occupant.run, percent });
    }
    return changes;
}

} // namespace sp
