#include "ownership.h"

#include <algorithm>

namespace sp {

namespace {

    /** A peer that is heard but can't claim, for instance for want of the store, would otherwise cost each shard that
     * is handed over about 2 s without an owner every 5 s. The wait doubles with each hand-over up to this factor. */
    constexpr int maxHandOverFactor = 16;
    /** Time without a hand-over after which the wait is short again. */
    constexpr std::chrono::seconds handOverCalm { 120 };

} // namespace

bool Ownership::isLive(const Peer& peer, Time now) const
{
    return peer.seenAt && now - *peer.seenAt < m_config.peerDeadAfter && peer.ready && !peer.draining;
}

/** Number of shards that each live scheduler should own at most. */
std::size_t Ownership::share(Time now) const
{
    const auto live = 1
        + static_cast<std::size_t>(std::count_if(
            m_peers.begin(), m_peers.end(), [&](const auto& entry) { return isLive(entry.second, now); }));
    return (m_shards.size() + live - 1) / live;
}

/** Number of shards held or being claimed. */
std::size_t Ownership::ownCount() const
{
    return static_cast<std::size_t>(std::count_if(m_shards.begin(), m_shards.end(), [this](const auto& entry) {
        return isHeld(entry.second) || levelOf(entry.second.state) == HoldLevel::Claiming
            || entry.second.step == Step::ReadTerm;
    }));
}

/** Whether a shard may be claimed now. A shard that was free for less than surplusWait is left to schedulers below
 * their share. */
bool Ownership::mayClaim(const Shard& shard, Time now) const
{
    if (m_isReleasing || !sessionFresh(now) || !shard.owner.value.empty())
        return false;
    if (now - m_startedAt < m_config.promise && !m_config.faults.skipRestartWait)
        return false;
    if (now < shard.promisedUntil && !m_config.faults.ignoreGivenPromises)
        return false;
    Time from = shard.freeSince;
    if (!m_config.targetsCheckTerms)
        from += m_config.takeoverWait;
    const std::size_t others = ownCount() - (shard.step == Step::ReadTerm ? 1 : 0);
    if (others >= share(now))
        from = std::max(from, shard.promisedUntil) + m_config.surplusWait;
    return now >= from;
}

/** Releases one shard if this scheduler has owned more than its share for some time and a peer can take it. */
void Ownership::handOver(Time now)
{
    const std::size_t limit = share(now);
    if (m_isReleasing || !sessionFresh(now) || ownCount() <= limit || !hasReceiver(limit, now)) {
        m_surplusSince.reset();
        return;
    }
    if (!m_surplusSince)
        m_surplusSince = now;
    if (m_handedOverAt && now - *m_handedOverAt >= handOverCalm)
        m_handOverFactor = 1;
    if (now - *m_surplusSince < m_config.handOverAfter * m_handOverFactor)
        return;
    for (auto& [id, shard] : m_shards) {
        if (level(id, now) != HoldLevel::Store || shard.ticket.value != 0)
            continue;
        m_surplusSince.reset();
        m_handedOverAt = now;
        m_handOverFactor = std::min(m_handOverFactor * 2, maxHandOverFactor);
        shard.releaseValue = shard.keyValue;
        shard.nextTry = now;
        // The receiver needs some time to claim; without this pause the own claim above the share could come first.
        shard.promisedUntil = std::max<Time>(shard.promisedUntil, now + m_config.surplusWait);
        lose(id, shard, "released", "handed over for balance");
        return;
    }
}

/** Whether a live peer owns fewer shards than a limit. */
bool Ownership::hasReceiver(std::size_t below, Time now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const auto owned = std::count_if(m_shards.begin(), m_shards.end(),
            [&](const auto& shard) { return shard.second.owner.host == entry.first; });
        return isLive(entry.second, now) && static_cast<std::size_t>(owned) < below;
    });
}

} // namespace sp
