/** @file peer_link.h Thread that exchanges frames with other processes of the system over ZeroMQ. */
#pragma once

#include "message_codec.h"
#include "metrics.h"
#include "ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sp {

/** A process to connect to. */
struct PeerAddress {
    HostId host;
    std::string address; ///< `ip:port` of its ROUTER socket.
};

/** What a link is and connects to. */
struct PeerLinkConfig {
    HostId self;
    Incarnation incarnation;
    bool gateway = false; ///< Kind of this process.
    std::string bind; ///< `ip:port` of the own ROUTER socket, empty for none.
    std::vector<PeerAddress> peers;
    /** A connection without a frame from the peer for this time is replaced; peers answer each heartbeat. */
    std::chrono::milliseconds silentAfter { 2500 };
};

/** What the link reports; all called on its thread. */
struct PeerLinkHooks {
    /** A frame came. The route is empty if it came over the own connection to the peer. */
    std::function<void(ReplyRoute&& route, LinkFrame&& frame)> received;
    /** A message was certainly not sent, since the peer is not connected or its queue is full. */
    std::function<void(const HostId& to, LinkMessage&& message)> unsent;
    /** Called about every 50 ms. */
    std::function<void(Time now)> ticked;
};

/**
 * One ROUTER socket for connections from others and one DEALER socket for each peer. Answers go back over the ROUTER to
 * the connection that asked. A message is never kept for a peer that is not connected. Heartbeats of gateways are
 * answered here by a heartbeat that carries the readiness of this process and echoes the time.
 */
class PeerLink {
public:
    PeerLink(PeerLinkConfig config, Metrics& metrics, PeerLinkHooks hooks);
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;
    ~PeerLink();
    bool start(std::string& problem);
    void stop();
    const std::string& boundAddress() const { return m_boundAddress; }
    void send(const HostId& to, LinkMessage&& message);
    void reply(const ReplyRoute& route, LinkMessage&& message);
    void setReadiness(bool ready, bool draining);

private:
    struct Sockets;
    struct Outgoing {
        HostId to; ///< Peer, or empty for a reply.
        ReplyRoute route;
        LinkMessage message;
    };
    struct Traffic {
        Counter* in = nullptr;
        Counter* out = nullptr;
    };

    /** State of the connection to one peer. */
    struct Connection {
        Time heardAt {}; ///< Last frame from the peer, or the last reconnection.
        std::uint64_t generation = 0; ///< Number of reconnections.
    };

    void loop();
    void connectPeer(std::size_t index);
    bool reconnectSilent(Time now);
    void receiveRouter();
    void receivePeer(std::size_t index);
    void take(std::string_view bytes, ReplyRoute&& route, const HostId& expected);
    void answerGateway(const ReplyRoute& route, const HeartbeatMessage& heartbeat);
    void sendOut(Outgoing& outgoing);
    void sendToPeer(Outgoing& outgoing);
    void sendReply(const ReplyRoute& route, const LinkMessage& message);
    Traffic trafficOf(const std::string& name);

    const PeerLinkConfig m_config;
    const PeerLinkHooks m_hooks;
    Metrics& m_metrics;
    std::unique_ptr<Sockets> m_sockets;
    std::string m_boundAddress;
    Ring<Outgoing> m_ring;
    std::map<HostId, std::size_t> m_peerIndex;
    std::vector<Traffic> m_peerTraffic;
    std::vector<Connection> m_connections;
    Traffic m_routerTraffic;
    std::array<Counter*, 4> m_dropped {}; ///< By FrameProblem; the first one counts frames of a wrong sender.
    Counter& m_unroutable;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace sp
