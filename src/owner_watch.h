/** @file owner_watch.h Detects that the owner of the cell has failed before its lease expires. */
#pragma once

#include "store_type.h"
#include "time_type.h"

#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Status that the owner returns to a ping. */
struct OwnerStatus {
    bool owning = false; ///< The host considers itself the owner of the cell.
    std::chrono::milliseconds storeSilent { 0 }; ///< Time since the store last answered the host.
    std::chrono::milliseconds lag { 0 }; ///< Time that an event waits for the host's event loop.
};

/**
 * Decides when to ping the owner, and from the answers whether it has failed. The hosts that would claim the cell first
 * ping it. A false alarm breaks no guarantee, as the claim is conditional on the owner's key and the former owner is
 * fenced off, but the next owner begins with a backlog. If the owner is slow because of its load, the next one becomes
 * slow too. So all time limits grow with the lag that the owner reports, which the next owner is expected to have as
 * well, and with the number of recent changes of the owner. An owner that has failed loses its lease all the same.
 */
class OwnerWatch {
public:
    static constexpr std::chrono::milliseconds interval {
        150
    }; ///< About three pings in half the time to live of a lease.

    void monitor(Revision owner, bool standby, Time now);
    bool due(Time now) const;
    std::optional<Time> wakeAt() const;
    std::chrono::milliseconds timeout() const;
    void pingSent(Time now);
    std::optional<std::string> handleAnswer(Revision owner, const std::optional<OwnerStatus>& status, Time now);

private:
    int patience(Time now) const;

    Revision m_owner; ///< Claim of the owner; 0 if there is none.
    Revision m_lastOwner; ///< Claim of the present or, if there is none, of the last owner.
    bool m_standby = false; ///< This host pings the owner.
    std::chrono::milliseconds m_lag { 0 }; ///< Lag that the owner, or its predecessor, last reported.
    std::vector<Time> m_changes; ///< Times at which the owner changed.
    Time m_nextPingAt {};
    bool m_pingInFlight = false; ///< A ping has no answer yet.
    int m_missedPings = 0; ///< Consecutive unanswered pings.
};

} // namespace sp
