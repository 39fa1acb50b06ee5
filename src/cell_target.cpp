#include "cell_target.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int badEndsForQuarantine = 3; ///< Runs of sound tasks rarely fail three times in a row on one target.
    constexpr std::chrono::seconds firstQuarantine { 3 }; ///< Doubles with each one in a row.
    constexpr int longestQuarantineDoublings = 2; ///< A target is tried again after 12 s at the latest.

} // namespace

/** Adds a run and takes its capacity. @param key Task. @param occupant Run. */
void CellTarget::occupy(const CellTaskKey& key, const Occupant& occupant)
{
    release(key);
    used += occupant.taken;
    unknownSizes += occupant.sizeUnknown ? 1 : 0;
    occupants.emplace(key, occupant);
}

/** Removes a run and frees its capacity. @param key Task; one that is not there is ignored. */
void CellTarget::release(const CellTaskKey& key)
{
    if (const auto it = occupants.find(key); it != occupants.end()) {
        used -= it->second.taken;
        unknownSizes -= it->second.sizeUnknown ? 1 : 0;
        occupants.erase(it);
    }
}

/** Lower bound of the target's clock. @param now Present time. @return Reading that its clock has reached. */
std::chrono::milliseconds CellTarget::clockAtLeast(Time now) const
{
    const auto passed = std::chrono::duration<double, std::milli>(now - clockSeenAt) * slowestClock;
    return clock + std::chrono::milliseconds(static_cast<std::int64_t>(std::max(0.0, passed.count())));
}

/** Takes in a clock reading. @param reading Reading of an answer. @param now Time at which it came. */
void CellTarget::sawClock(std::chrono::milliseconds reading, Time now)
{
    heardAt = now;
    unanswered = 0;
    if (clockSeenAt == Time {} || reading >= clockAtLeast(now)) {
        clock = reading;
        clockSeenAt = now;
    }
}

/** Whether everything that runs there has certainly lost its lease. @param now Present time. @return True if so. */
bool CellTarget::lapsed(Time now) const
{
    if (now < lapsesBy)
        return false;
    return clockSeenAt == Time {} || clockAtLeast(now) > leaseSent;
}

/** Whether new tasks may be placed there. @param now Present time. @return True if so. */
bool CellTarget::usable(Time now) const
{
    // The size of a new life is known once the list of targets has caught up with the life that reports.
    const bool presentLife = entry.bornAt >= reportedBornAt;
    return listed && reported && presentLife && unknownSizes == 0 && !entry.draining && !silent()
        && now >= quarantinedUntil && now >= refusedUntil;
}

/** A run was done: the target works. */
void CellTarget::runDone()
{
    badEnds = 0;
    quarantines = 0;
}

/** A run failed or stood still. Several in a row keep new work away for a while. @param now Present time. */
void CellTarget::runBad(Time now)
{
    if (++badEnds < badEndsForQuarantine)
        return;
    badEnds = badEndsForQuarantine - 1; // One more failure after the quarantine starts the next one.
    quarantinedUntil = now + firstQuarantine * (1 << std::min(quarantines, longestQuarantineDoublings));
    ++quarantines;
}

} // namespace sp
