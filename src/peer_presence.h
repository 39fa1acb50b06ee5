/** @file peer_presence.h Which other entry hosts have answered lately. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <map>

namespace sp {

/** Times of the last answers of other hosts, from the regular calls of a host that owns the cell. */
class PeerPresence {
public:
    void reset() { m_heard.clear(); }
    void asked(const HostId& host, Time now) { m_heard.try_emplace(host, now); }
    void heard(const HostId& host, Time now);
    bool isolated(Time now) const;

    /** Hosts that are asked. @param condition Told a host; false forgets it. */
    template <typename Condition> void keepIf(Condition condition)
    {
        std::erase_if(m_heard, [&](const auto& entry) { return !condition(entry.first); });
    }

private:
    std::map<HostId, Time> m_heard; ///< Last answer, or the first question if there is none yet.
};

} // namespace sp
