/** @file peer_presence.h Records when other entry hosts last answered a ping. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <map>

namespace sp {

/** Times of the other hosts' last answers to the pings that the owner of the cell sends at regular intervals. */
class PeerPresence {
public:
    void reset() { m_lastAnswers.clear(); }
    void pingSent(const HostId& host, Time now) { m_lastAnswers.try_emplace(host, now); }
    void answerReceived(const HostId& host, Time now);
    bool isolated(Time now) const;

    /** Forgets the hosts for which the condition, called with a HostId, returns false. */
    template <typename Condition> void retainIf(Condition condition)
    {
        std::erase_if(m_lastAnswers, [&](const auto& entry) { return !condition(entry.first); });
    }

private:
    std::map<HostId, Time> m_lastAnswers; ///< Time of the last answer, or of the first ping until there is one.
};

} // namespace sp
