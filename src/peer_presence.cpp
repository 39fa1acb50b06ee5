#include "peer_presence.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds isolationTime { 2200 }; ///< Three rounds of unanswered pings to all peers.

} // namespace

/** Records an answer to a ping. Ignored if the host is no longer pinged. */
void PeerPresence::answerReceived(const HostId& host, Time now)
{
    if (const auto it = m_lastAnswers.find(host); it != m_lastAnswers.end())
        it->second = std::max(it->second, now);
}

/** Returns true if hosts are pinged and none of them has answered for longer than isolationTime. */
bool PeerPresence::isolated(Time now) const
{
    return !m_lastAnswers.empty() && std::all_of(m_lastAnswers.begin(), m_lastAnswers.end(), [&](const auto& entry) {
        return now - entry.second > isolationTime;
    });
}

} // namespace sp
