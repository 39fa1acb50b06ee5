#include "owner_watch.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int missedPingsForFailure = 3; ///< A loaded host may fail to answer one or two pings.
    constexpr std::chrono::milliseconds maxStoreSilence { 450 }; ///< A slow store answers within 250 ms.
    constexpr std::chrono::milliseconds takeOverGrace {
        2000
    }; ///< A new owner is busy reading records and collecting reports.

    constexpr std::chrono::milliseconds minTimeout { 150 }; ///< An answer usually takes a few milliseconds.
    constexpr std::chrono::milliseconds maxTimeout { 1000 }; ///< The owner's lease expires in three times as long.
    /** Turns of the owner's event loop from a connection to an answer, and from a call of the store to its answer. */
    constexpr int turnsForAnswer = 4;
    constexpr std::chrono::seconds changeMemory { 15 }; ///< Owners that fail for a common cause do so within this.
    constexpr std::ptrdiff_t maxDoublings = 2; ///< Limits the patience to the time to live of a lease.

} // namespace

/**
 * Sets the owner of the cell.
 * @param owner Revision of its claim, 0 if there is none.
 * @param standby Whether this host pings it.
 */
void OwnerWatch::monitor(Revision owner, bool standby, Time now)
{
    if (owner == m_owner && standby == m_standby)
        return;
    if (owner.value != 0 && owner != m_lastOwner) {
        std::erase_if(m_changes, [&](Time changedAt) { return now - changedAt > changeMemory; });
        if (m_lastOwner.value != 0)
            m_changes.push_back(now);
        m_lastOwner = owner;
        m_nextPingAt = now + takeOverGrace;
    }
    m_owner = owner;
    m_standby = standby;
    m_pingInFlight = false;
    m_missedPings = 0;
}

/** Returns how often the usual time limits are applied before the owner counts as failed. */
int OwnerWatch::patience(Time now) const
{
    const auto recent = std::count_if(
        m_changes.begin(), m_changes.end(), [&](Time changedAt) { return now - changedAt <= changeMemory; });
    return 1 << std::min<std::ptrdiff_t>(recent, maxDoublings);
}

/** Returns the time limit of a ping. */
std::chrono::milliseconds OwnerWatch::timeout() const
{
    return std::min(minTimeout + m_lag * turnsForAnswer, maxTimeout);
}

bool OwnerWatch::due(Time now) const
{
    const auto at = wakeAt();
    return at && now >= *at;
}

/** Returns when the next ping is due, or nothing while this host pings no owner or a ping has no answer yet. */
std::optional<Time> OwnerWatch::wakeAt() const
{
    return m_standby && m_owner.value != 0 && !m_pingInFlight ? std::optional(m_nextPingAt) : std::nullopt;
}

/** Records that a ping was sent. */
void OwnerWatch::pingSent(Time now)
{
    m_pingInFlight = true;
    m_nextPingAt = now + interval;
}

/**
 * Handles the answer to a ping, or its time-out.
 * @param owner Claim of the owner that was pinged; the answer is ignored if there is another owner by now.
 * @param status Answer; nothing if it did not arrive in time.
 * @return Why the owner should be replaced; nothing if it should not.
 */
std::optional<std::string> OwnerWatch::handleAnswer(Revision owner, const std::optional<OwnerStatus>& status, Time now)
{
    if (owner != m_owner || !m_pingInFlight)
        return std::nullopt;
    m_pingInFlight = false;
    m_nextPingAt = std::max(m_nextPingAt, now);
    if (!status) {
        if (++m_missedPings < missedPingsForFailure * patience(now))
            return std::nullopt;
        m_missedPings = 0;
        return "the owner does not answer pings";
    }
    m_missedPings = 0;
    m_lag = status->lag;
    if (!status->owning)
        return "the host does not consider itself the owner";
    if (status->storeSilent > maxStoreSilence * patience(now) + m_lag * turnsForAnswer)
        return "the owner gets no answer from the store";
    return std::nullopt;
}

} // namespace sp
