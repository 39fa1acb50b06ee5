#include "peer_presence.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds isolatedFor { 2200 }; ///< Three questions to all peers without an answer.

} // namespace

/** A host has answered. @param host Host; one that is not asked any more is ignored. @param now Time of the answer. */
void PeerPresence::heard(const HostId& host, Time now)
{
    if (const auto it = m_heard.find(host); it != m_heard.end())
        it->second = std::max(it->second, now);
}

/** Whether no host that is asked has answered for long. @param now Present time. @return False if none is asked. */
bool PeerPresence::isolated(Time now) const
{
    return !m_heard.empty() && std::all_of(m_heard.begin(), m_heard.end(), [&](const auto& entry) {
        return now - entry.second > isolatedFor;
    });
}

} // namespace sp
