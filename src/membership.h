/** @file membership.h Which other schedulers of the cell are alive, and what they announce. */
#pragma once

#include "core_type.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sp {

/** Another scheduler, from the settings. */
struct PeerConfig {
    HostId host;
    DataCentreId dataCentre;
    Duration roundTrip {};
};

/** What is believed about a peer. */
enum class PeerState : std::uint8_t {
    Unknown, ///< Not heard of since the start, which is less than the dead time ago.
    Alive,
    Suspected,
    Dead,
};

const char* peerStateName(PeerState state);

/** Times of failure detection for one kind of peer. */
struct HeartbeatTimes {
    std::chrono::milliseconds interval { 250 };
    std::chrono::milliseconds suspectAfter { 1000 };
    std::chrono::milliseconds deadAfter { 2000 };
};

/** Change of a peer's state. */
struct PeerChange {
    HostId peer;
    PeerState from = PeerState::Unknown;
    PeerState to = PeerState::Unknown;
};

/** Heartbeats, suspicion and announcements of the peers. Has no effect on ownership, which rests on leases. */
class Membership {
public:
    Membership(HostId self, DataCentreId dataCentre, const std::vector<PeerConfig>& peers);
    void addPeer(const PeerConfig& peer);
    std::vector<HostId> heartbeatsDue(Time now);
    void heartbeatReceived(const HostId& peer, Incarnation incarnation, const HeartbeatMessage& heartbeat, Time now);
    void ackReceived(const HostId& peer, Incarnation incarnation, Time sentAt, Time now);
    PeerState state(const HostId& peer, Time now) const;
    bool isReachable(const HostId& peer, Time now) const;
    std::vector<PeerChange> takeChanges(Time now);
    std::vector<HostId> peers() const;
    std::vector<HostId> alivePeers(const DataCentreId& dataCentre, Time now) const;
    DataCentreId dataCentreOf(const HostId& peer) const;
    Duration roundTrip(const HostId& peer) const;
    Incarnation incarnation(const HostId& peer) const;
    bool isDraining(const HostId& peer) const;
    bool isReady(const HostId& peer, Time now) const;
    BundleVersion bundleVersion(const HostId& peer) const;
    std::string bundleDigest(const HostId& peer) const;
    std::optional<HostId> peerWithNewestBundle(Time now) const;
    std::optional<ShardLoad> freshLoad(const ShardId& shard, Time now) const;
    std::optional<HostId> announcedOwner(const ShardId& shard, Time now) const;
    std::uint64_t staleMessages() const { return m_staleMessages; }

private:
    struct Peer {
        PeerConfig config;
        HeartbeatTimes times;
        Incarnation incarnation;
        std::deque<Incarnation> past; ///< Earlier incarnations, whose late messages are dropped.
        std::optional<Time> seenAt; ///< Last sign of life, on the own clock.
        std::optional<Time> ackedAt; ///< Sending time of the last heartbeat that was answered.
        Time nextHeartbeat {};
        Time heartbeatAt {}; ///< Arrival of the last heartbeat.
        HeartbeatMessage heartbeat; ///< Last one by the sender's clock.
        PeerState reported = PeerState::Unknown;
    };
    const Peer* find(const HostId& peer) const;
    bool accept(Peer& peer, Incarnation incarnation);
    PeerState stateOf(const Peer& peer, Time now) const;
    std::pair<const Peer*, const ShardLoad*> newestLoad(const ShardId& shard, Time now) const;

    HostId m_self;
    DataCentreId m_dataCentre;
    std::map<HostId, Peer> m_peers;
    std::optional<Time> m_startedAt; ///< First call of heartbeatsDue.
    std::uint64_t m_staleMessages = 0;
};

} // namespace sp
