#include "owner_watch.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int missedPingsForFailure = 3; ///< A loaded host may fail to answer one or two pings.
    constexpr std::chrono::milliseconds maxStoreSilence { 450 }; ///< A slow store answers within 250 ms.
    constexpr std::chrono::milliseconds takeOverGrace {
        2000
    }; ///< A new owner is busy reading records and collecting reports.

} // namespace

/** Sets which owner is monitored. @param owner Revision of its claim, 0 for none. */
void OwnerWatch::monitor(Revision owner, Time now)
{
    if (owner == m_owner)
        return;
    m_owner = owner;
    m_since = now;
    m_nextPingAt = now + takeOverGrace;
    m_pingInFlight = false;
    m_missedPings = 0;
}

bool OwnerWatch::due(Time now) const
{
    const auto at = wakeAt();
    return at && now >= *at;
}

/** Returns when the next ping is due, or nothing while no owner is monitored or a ping has no answer yet. */
std::optional<Time> OwnerWatch::wakeAt() const
{
    return m_owner.value != 0 && !m_pingInFlight ? std::optional(m_nextPingAt) : std::nullopt;
}

/** Records that a ping was sent. */
void OwnerWatch::pingSent(Time now)
{
    m_pingInFlight = true;
    m_nextPingAt = now + interval;
}

/**
 * Handles the answer to a ping, or its time-out.
 * @param owner Claim of the owner that was pinged; the answer is ignored if another owner is monitored by now.
 * @param status Answer; nothing if it did not arrive in time.
 * @return Why the owner should be replaced; nothing if it should not.
 */
std::optional<std::string> OwnerWatch::handleAnswer(Revision owner, const std::optional<OwnerStatus>& status, Time now)
{
    if (owner != m_owner)
        return std::nullopt;
    m_pingInFlight = false;
    m_nextPingAt = std::max(m_nextPingAt, now);
    if (!status) {
        if (++m_missedPings < missedPingsForFailure)
            return std::nullopt;
        m_missedPings = 0;
        return "the owner does not answer pings";
    }
    m_missedPings = 0;
    if (!status->owning)
        return "the host does not consider itself the owner";
    if (status->storeSilent > maxStoreSilence)
        return "the owner gets no answer from the store";
    return std::nullopt;
}

} // namespace sp
