#include "cell_target.h"

#include <algorithm>

namespace sp {

namespace {

    /** A clock reading is older than its answer, at most by this, also on a loaded host. */
    constexpr std::chrono::milliseconds maxReadingAge { 1000 };

} // namespace

/** Returns whether a run of one of these images is on the target. */
bool CellTarget::runsAnyOf(const ImageSet& images) const
{
    return images.any()
        && std::any_of(occupants.begin(), occupants.end(), [&](const auto& run) { return images[run.second.image]; });
}

/** Adds a run and reserves its capacity; replaces an earlier run of the same task. */
void CellTarget::occupy(const CellTaskKey& key, const Occupant& occupant)
{
    release(key);
    used += occupant.taken;
    unknownReservations += occupant.sizeUnknown ? 1 : 0;
    if (accountUsage)
        accountUsage->charge(accountRun(key, occupant));
    occupants.emplace(key, occupant);
    mayHaveOpenOrders = true;
}

/** Removes the run of a task and frees its capacity; does nothing if the task has no run on this target. */
void CellTarget::release(const CellTaskKey& key)
{
    if (const auto it = occupants.find(key); it != occupants.end()) {
        used -= it->second.taken;
        unknownReservations -= it->second.sizeUnknown ? 1 : 0;
        if (accountUsage)
            accountUsage->credit(accountRun(key, it->second));
        occupants.erase(it);
        if (reservedFor == key)
            reservedFor.reset();
    }
}

/** Returns a lower bound for the current reading of the target's clock. */
std::chrono::milliseconds CellTarget::clockAtLeast(Time now) const
{
    const auto minElapsed = std::chrono::duration<double, std::milli>(now - clockSeenAt) * slowestClock;
    return clock + std::chrono::milliseconds(static_cast<std::int64_t>(std::max(0.0, minElapsed.count())));
}

/** Returns the earliest time at which the target's clock may show a reading, by its last known one. */
Time CellTarget::clockReaches(std::chrono::milliseconds reading) const
{
    // A clock reading is older than its answer.
    constexpr std::chrono::milliseconds maxAnswerDelay { 300 };
    return clockSeenAt + (reading - clock) - maxAnswerDelay;
}

/**
 * Records an answer from the target.
 * @param reading Reading of the target's clock in the answer.
 * @param now Time at which the answer was received.
 */
void CellTarget::sawClock(std::chrono::milliseconds reading, Time now)
{
    heardAt = now;
    unanswered = 0;
    if (clockSeenAt == Time {} || reading >= clockAtLeast(now)) {
        clock = reading;
        clockSeenAt = now;
    }
}

/**
 * Records the answer to an order, which names no incarnation: only its clock tells which one has answered.
 * @param sentAt Send time of the order, or an earlier time.
 * @return False if the reading does not fit the clock of the incarnation that reported last.
 */
bool CellTarget::sawOrderAnswer(std::chrono::milliseconds reading, Time sentAt, Time now)
{
    heardAt = now;
    unanswered = 0;
    if (clockSeenAt == Time {})
        return true;
    const auto elapsed
        = [this](Time until) { return std::chrono::duration_cast<std::chrono::milliseconds>(until - clockSeenAt); };
    const auto earliest = sentAt < clockSeenAt ? clock + elapsed(sentAt) : clockAtLeast(sentAt);
    const auto latest = clock + elapsed(now) + maxReadingAge;
    if (reading < earliest || reading > latest) {
        doubtedAt = now;
        return false;
    }
    sawClock(reading, now);
    return true;
}

/** Starts to count the ends of an incarnation, whose sequence numbers begin anew. */
void CellTarget::countEndsOf(CalendarTime bornAt)
{
    endsBornAt = bornAt;
    endsSeen = 0;
    endsAcknowledged = 0;
    endsUnsaved.clear();
}

/**
 * Returns whether the next report request may acknowledge ends. An acknowledgement that reaches another incarnation
 * makes it forget ends that nobody has seen, so none is sent without need, and none while a start order may have
 * reached another incarnation than the one that reported.
 */
bool CellTarget::mayAcknowledgeEnds() const
{
    const bool startOpen
        = std::any_of(occupants.begin(), occupants.end(), [](const auto& item) { return item.second.orderOpen; });
    return endsSaved() > endsAcknowledged && !mayHaveRestarted() && !startOpen && endsBornAt >= entry.bornAt;
}

/** Returns whether all leases on the target have certainly expired. */
bool CellTarget::lapsed(Time now) const
{
    if (now < lapsesBy)
        return false;
    return clockSeenAt == Time {} || clockAtLeast(now) > leaseSent;
}

/** Returns whether new tasks may be placed on the target. */
bool CellTarget::usable(Time now) const
{
    // The capacity of a restarted target is known only after its new incarnation appears in the list of targets.
    const bool currentIncarnation = entry.bornAt >= reportedBornAt;
    return listed && reported && currentIncarnation && !replaced && unknownReservations == 0 && !entry.draining
        && !silent() && now >= quarantinedUntil && now >= refusedUntil;
}

} // namespace sp
