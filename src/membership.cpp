#include "membership.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr HeartbeatTimes nearTimes {};
    /** Links between data centres are slower and lose contact more often, so suspicion waits three times as long. */
    constexpr HeartbeatTimes farTimes { std::chrono::milliseconds(1000), std::chrono::milliseconds(3000),
        std::chrono::milliseconds(6000) };
    /** Past incarnations kept for each peer. A message delayed over more restarts than this is not expected. */
    constexpr std::size_t maxPastIncarnations = 16;

} // namespace

/** Name of a peer's state in logs and metrics. @param state State. @return Name in lower case. */
const char* peerStateName(PeerState state)
{
    switch (state) {
    case PeerState::Unknown:
        return "unknown";
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspected:
        return "suspected";
    case PeerState::Dead:
        break;
    }
    return "dead";
}

/** @param self Own host. @param dataCentre Own data centre. @param peers All other schedulers of the cell. */
Membership::Membership(HostId self, DataCentreId dataCentre, const std::vector<PeerConfig>& peers)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
    for (const PeerConfig& peer : peers)
        addPeer(peer);
}

/** Adds a peer that the settings don't name. No effect if it is known or is this host. @param peer Peer. */
void Membership::addPeer(const PeerConfig& peer)
{
    if (peer.host == m_self)
        return;
    if (auto [it, added] = m_peers.try_emplace(peer.host); added) {
        it->second.config = peer;
        it->second.times = peer.dataCentre == m_dataCentre ? nearTimes : farTimes;
    }
}

/**
 * Peers to which a heartbeat must be sent now. After a pause each peer is named once, not once per missed interval.
 * @param now Present time.
 * @return Peers; the call counts them as served.
 */
std::vector<HostId> Membership::heartbeatsDue(Time now)
{
    if (!m_startedAt)
        m_startedAt = now;
    std::vector<HostId> due;
    for (auto& [host, peer] : m_peers) {
        if (now < peer.nextHeartbeat)
            continue;
        peer.nextHeartbeat = now + peer.times.interval;
        due.push_back(host);
    }
    return due;
}

/** @return False for a message of an incarnation that has been replaced. */
bool Membership::accept(Peer& peer, Incarnation incarnation)
{
    if (incarnation == peer.incarnation)
        return true;
    if (std::find(peer.past.begin(), peer.past.end(), incarnation) != peer.past.end()) {
        ++m_staleMessages;
        return false;
    }
    if (peer.incarnation.value != 0) {
        peer.past.push_back(peer.incarnation);
        if (peer.past.size() > maxPastIncarnations)
            peer.past.pop_front();
    }
    peer.incarnation = incarnation;
    peer.heartbeat = {};
    peer.ackedAt.reset();
    return true;
}

/** Takes a heartbeat. Those of replaced incarnations and those overtaken by a newer one are dropped and counted.
 * @param peer Sender. @param incarnation Its incarnation. @param heartbeat Message. @param now Present time. */
void Membership::heartbeatReceived(
    const HostId& peer, Incarnation incarnation, const HeartbeatMessage& heartbeat, Time now)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || !accept(it->second, incarnation))
        return;
    if (heartbeat.sentAt < it->second.heartbeat.sentAt) {
        ++m_staleMessages;
        return;
    }
    it->second.heartbeat = heartbeat;
    it->second.heartbeatAt = now;
    it->second.seenAt = now;
}

/** Takes an answer to a heartbeat. It proves life only at some time after @p sentAt, so it counts from there.
 * @param peer Sender. @param incarnation Its incarnation. @param sentAt When the own heartbeat was sent.
 * @param now Present time. */
void Membership::ackReceived(const HostId& peer, Incarnation incarnation, Time sentAt, Time now)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || sentAt > now || !accept(it->second, incarnation))
        return;
    it->second.ackedAt = std::max(it->second.ackedAt.value_or(sentAt), sentAt);
    it->second.seenAt = std::max(it->second.seenAt.value_or(sentAt), sentAt);
}

const Membership::Peer* Membership::find(const HostId& peer) const
{
    const auto it = m_peers.find(peer);
    return it == m_peers.end() ? nullptr : &it->second;
}

PeerState Membership::stateOf(const Peer& peer, Time now) const
{
    if (!peer.seenAt)
        return m_startedAt && now - *m_startedAt >= peer.times.deadAfter ? PeerState::Dead : PeerState::Unknown;
    const Duration silence = now - *peer.seenAt;
    if (silence >= peer.times.deadAfter)
        return PeerState::Dead;
    return silence >= peer.times.suspectAfter ? PeerState::Suspected : PeerState::Alive;
}

/** Belief about a peer. @param peer Peer. @param now Present time. @return State, Unknown for a host that is no peer.
 */
PeerState Membership::state(const HostId& peer, Time now) const
{
    const Peer* found = find(peer);
    return found ? stateOf(*found, now) : PeerState::Unknown;
}

/** Whether messages to a peer arrive: it has answered a heartbeat sent within the suspicion time. A peer that is heard
 * but doesn't answer is cut off in one direction. @param peer Peer. @param now Present time. @return True if so. */
bool Membership::isReachable(const HostId& peer, Time now) const
{
    const Peer* found = find(peer);
    return found && found->ackedAt && now - *found->ackedAt < found->times.suspectAfter;
}

/** @param now Present time. @return Changes of state since the last call, one for each peer. */
std::vector<PeerChange> Membership::takeChanges(Time now)
{
    std::vector<PeerChange> changes;
    for (auto& [host, peer] : m_peers) {
        const PeerState state = stateOf(peer, now);
        if (state != peer.reported)
            changes.push_back({ host, std::exchange(peer.reported, state), state });
    }
    return changes;
}

/** @return All other schedulers of the cell. */
std::vector<HostId> Membership::peers() const
{
    std::vector<HostId> hosts;
    hosts.reserve(m_peers.size());
    for (const auto& [host, peer] : m_peers)
        hosts.push_back(host);
    return hosts;
}

/** @param dataCentre Data centre. @param now Present time. @return Its peers that are neither suspected nor dead. */
std::vector<HostId> Membership::alivePeers(const DataCentreId& dataCentre, Time now) const
{
    std::vector<HostId> hosts;
    for (const auto& [host, peer] : m_peers) {
        if (peer.config.dataCentre == dataCentre && stateOf(peer, now) == PeerState::Alive)
            hosts.push_back(host);
    }
    return hosts;
}

/** @param peer Peer. @return Its data centre, empty for a host that is no peer. */
DataCentreId Membership::dataCentreOf(const HostId& peer) const
{
    const Peer* found = find(peer);
    return found ? found->config.dataCentre : DataCentreId();
}

/** @param peer Peer. @return Round trip from the settings, 0 for a host that is no peer. */
Duration Membership::roundTrip(const HostId& peer) const
{
    const Peer* found = find(peer);
    return found ? found->config.roundTrip : Duration(0);
}

/** @param peer Peer. @return Its incarnation, 0 if not heard of. */
Incarnation Membership::incarnation(const HostId& peer) const
{
    const Peer* found = find(peer);
    return found ? found->incarnation : Incarnation();
}

/** @param peer Peer. @return Whether its last heartbeat said that it shuts down. */
bool Membership::isDraining(const HostId& peer) const
{
    const Peer* found = find(peer);
    return found && found->heartbeat.draining;
}

/** @param peer Peer. @param now Present time. @return Whether it is alive, ready and not draining. */
bool Membership::isReady(const HostId& peer, Time now) const
{
    const Peer* found = find(peer);
    return found && stateOf(*found, now) == PeerState::Alive && found->heartbeat.ready && !found->heartbeat.draining;
}

/** @param peer Peer. @return Bundle version it has applied, 0 if not heard of. */
BundleVersion Membership::bundleVersion(const HostId& peer) const
{
    const Peer* found = find(peer);
    return found ? found->heartbeat.bundle : BundleVersion();
}

/** @param peer Peer. @return Digest of its bundle, empty if not heard of. */
std::string Membership::bundleDigest(const HostId& peer) const
{
    const Peer* found = find(peer);
    return found ? found->heartbeat.bundleDigest : std::string();
}

/** @param now Present time. @return Alive peer that announces the highest bundle version, if any has one. */
std::optional<HostId> Membership::peerWithNewestBundle(Time now) const
{
    const Peer* newest = nullptr;
    for (const auto& [host, peer] : m_peers) {
        if (stateOf(peer, now) == PeerState::Alive && peer.heartbeat.bundle.value > 0
            && (!newest || peer.heartbeat.bundle > newest->heartbeat.bundle))
            newest = &peer;
    }
    return newest ? std::optional(newest->config.host) : std::nullopt;
}

std::pair<const Membership::Peer*, const ShardLoad*> Membership::newestLoad(const ShardId& shard, Time now) const
{
    std::pair<const Peer*, const ShardLoad*> newest {};
    for (const auto& [host, peer] : m_peers) {
        if (!peer.seenAt || now - peer.heartbeatAt >= peer.times.suspectAfter)
            continue;
        for (const ShardLoad& load : peer.heartbeat.loads) {
            if (load.shard == shard && (!newest.second || load.term > newest.second->term))
                newest = { &peer, &load };
        }
    }
    return newest;
}

/** Load of a shard, at most 1 s old from the own data centre and 3 s from another. If two peers announce it, the one
 * with the higher term counts. @param shard Shard. @param now Present time. @return Load, if one is fresh. */
std::optional<ShardLoad> Membership::freshLoad(const ShardId& shard, Time now) const
{
    const auto [peer, load] = newestLoad(shard, now);
    return load ? std::optional(*load) : std::nullopt;
}

/** @param shard Shard. @param now Present time. @return Peer that announces the shard under the highest term. */
std::optional<HostId> Membership::announcedOwner(const ShardId& shard, Time now) const
{
    const auto [peer, load] = newestLoad(shard, now);
    return peer ? std::optional(peer->config.host) : std::nullopt;
}

} // namespace sp
