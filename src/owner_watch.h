/** @file owner_watch.h Detects that the owner of the cell has failed before its lease expires. */
#pragma once

#include "store_type.h"
#include "time_type.h"

#include <optional>
#include <string>

namespace sp {

/** Status that the owner returns to a ping. */
struct OwnerStatus {
    bool owning = false; ///< The host considers itself the owner of the cell.
    std::chrono::milliseconds storeSilent { 0 }; ///< Time since the store last answered the host.
};

/**
 * Decides when to ping the owner, and from the answers whether it has failed. The hosts that would claim the cell first
 * run it. A false alarm costs one take-over and nothing else: the claim is conditional on the owner's key, and the
 * former owner is fenced off.
 */
class OwnerWatch {
public:
    static constexpr std::chrono::milliseconds interval {
        150
    }; ///< About three pings in half the time to live of a lease.
    static constexpr std::chrono::milliseconds timeout { 150 }; ///< An answer usually takes a few milliseconds.

    void monitor(Revision owner, Time now);
    bool due(Time now) const;
    std::optional<Time> wakeAt() const;
    void pingSent(Time now);
    std::optional<std::string> handleAnswer(Revision owner, const std::optional<OwnerStatus>& status, Time now);

private:
    Revision m_owner; ///< Claim of the monitored owner; 0 if there is none.
    Time m_since {};
    Time m_nextPingAt {};
    bool m_pingInFlight = false; ///< A ping has no answer yet.
    int m_missedPings = 0; ///< Consecutive unanswered pings.
};

} // namespace sp
