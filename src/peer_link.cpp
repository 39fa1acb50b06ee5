#include "peer_link.h"

#include "log_func.h"

#include <zmq.hpp>

namespace sp {

namespace {

    constexpr std::size_t ringCapacity = 65536; ///< Soft: messages of the core are added even past it.
    constexpr int highWaterMark = 10000; ///< Messages that wait for one connection.
    constexpr int heartbeatMs = 500; ///< Interval of ZeroMQ's own heartbeats.
    constexpr int heartbeatTimeoutMs = 1500; ///< A connection without an answer for this time is closed.
    constexpr int receiveBatch = 256; ///< Messages read from one socket before the others get their turn.
    constexpr int stopLingerMs = 500; ///< Time for the last answers at the end; no message lingers otherwise.
    constexpr std::chrono::milliseconds tickInterval { 50 };
    constexpr char gatewayMark = 'g'; ///< First letter of the identity of a gateway's connection.
    constexpr char schedulerMark = 's'; ///< First letter of the identity of a scheduler's connection.

    void setCommonOptions(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, highWaterMark);
        socket.set(zmq::sockopt::rcvhwm, highWaterMark);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMs);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
        socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxFrameBytes));
    }

} // namespace

/** The ZeroMQ objects, kept out of the header. */
struct PeerLink::Sockets {
    zmq::context_t context { 1 };
    zmq::socket_t router;
    std::vector<zmq::socket_t> peers;

    ~Sockets()
    {
        router.close();
        peers.clear();
    }
};

/**
 * @param config What the link is and connects to.
 * @param metrics Registry for the link's counters.
 * @param hooks What the link reports.
 */
PeerLink::PeerLink(PeerLinkConfig config, Metrics& metrics, PeerLinkHooks hooks)
    : m_config(std::move(config))
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_ring(ringCapacity)
    , m_unroutable(metrics.counter("sp_link_unsent_total", "Messages that found no connection."))
{
    static constexpr std::array<const char*, 4> reasons { "wrong_sender", "malformed", "oversized", "version" };
    for (std::size_t i = 0; i < reasons.size(); ++i)
        m_dropped[i] = &metrics.counter(
            std::string("sp_link_frames_dropped_total{reason=\"") + reasons[i] + "\"}", "Frames dropped.");
    for (std::size_t i = 0; i < m_config.peers.size(); ++i) {
        m_peerIndex.emplace(m_config.peers[i].host, i);
        m_peerTraffic.push_back(trafficOf(m_config.peers[i].host.value));
    }
    m_routerTraffic = trafficOf("incoming");
}

PeerLink::~PeerLink() { stop(); }

PeerLink::Traffic PeerLink::trafficOf(const std::string& name)
{
    const std::string base = "sp_link_bytes_total{link=\"" + name + "\",direction=\"";
    return { &m_metrics.counter(base + "in\"}", "Bytes of frames by link."),
        &m_metrics.counter(base + "out\"}", "Bytes of frames by link.") };
}

/**
 * Opens the sockets and starts the thread.
 * @param problem Set to the reason of a failure.
 * @return False if an address can't be used.
 */
bool PeerLink::start(std::string& problem)
{
    m_sockets = std::make_unique<Sockets>();
    m_sockets->peers.resize(m_config.peers.size());
    m_connections.resize(m_config.peers.size());
    try {
        if (!m_config.bind.empty()) {
            m_sockets->router = zmq::socket_t(m_sockets->context, zmq::socket_type::router);
            setCommonOptions(m_sockets->router);
            m_sockets->router.set(zmq::sockopt::router_mandatory, true);
            m_sockets->router.set(zmq::sockopt::router_handover, true);
            m_sockets->router.bind("tcp://" + m_config.bind);
            const std::string endpoint = m_sockets->router.get(zmq::sockopt::last_endpoint);
            m_boundAddress = endpoint.substr(endpoint.rfind('/') + 1);
        }
        for (std::size_t i = 0; i < m_config.peers.size(); ++i)
            connectPeer(i);
    } catch (const zmq::error_t& error) {
        problem = error.what();
        return false;
    }
    m_thread = std::thread([this] { loop(); });
    return true;
}

/** Opens a new connection to a peer in place of the present one. */
void PeerLink::connectPeer(std::size_t index)
{
    Connection& connection = m_connections[index];
    // Each connection has an identity of its own: the peer must not route answers to an earlier one that is silent.
    const std::string identity = std::string(1, m_config.gateway ? gatewayMark : schedulerMark) + "/"
        + m_config.self.value + "/" + std::to_string(m_config.incarnation.value) + "/"
        + std::to_string(++connection.generation);
    zmq::socket_t socket(m_sockets->context, zmq::socket_type::dealer);
    setCommonOptions(socket);
    // Without a connection a send must fail at once: a kept message would reach a later run of the peer.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::routing_id, identity);
    socket.set(zmq::sockopt::reconnect_ivl, 100);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    socket.set(zmq::sockopt::connect_timeout, 1000);
    socket.connect("tcp://" + m_config.peers[index].address);
    m_sockets->peers[index] = std::move(socket);
    connection.heardAt = BootClock::now();
}

/** Replaces connections over which no answer has come for silentAfter. @return True if one was replaced. */
bool PeerLink::reconnectSilent(Time now)
{
    bool replaced = false;
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
        if (now - m_connections[i].heardAt < m_config.silentAfter)
            continue;
        connectPeer(i);
        replaced = true;
    }
    return replaced;
}

/** Sends what waits, ends the thread and closes the sockets. */
void PeerLink::stop()
{
    if (m_stopping.exchange(true) || !m_thread.joinable())
        return;
    m_ring.wake();
    m_thread.join();
    m_sockets.reset();
}

/** Sends a message to a peer. @param to Peer of the settings. @param message Message. */
void PeerLink::send(const HostId& to, LinkMessage&& message) { m_ring.push({ to, {}, std::move(message) }); }

/** Answers over the connection that asked. @param route Route of the question. @param message Message. */
void PeerLink::reply(const ReplyRoute& route, LinkMessage&& message) { m_ring.push({ {}, route, std::move(message) }); }

/** What gateways are told. @param ready Whether new work is taken. @param draining Whether the process ends. */
void PeerLink::setReadiness(bool ready, bool draining)
{
    m_ready = ready;
    m_draining = draining;
}

void PeerLink::loop()
{
    std::vector<zmq::pollitem_t> items;
    const auto listSockets = [&] {
        items.assign(1, { nullptr, m_ring.wakeFd(), ZMQ_POLLIN, 0 });
        for (zmq::socket_t& socket : m_sockets->peers)
            items.push_back({ socket.handle(), 0, ZMQ_POLLIN, 0 });
        if (m_sockets->router)
            items.push_back({ m_sockets->router.handle(), 0, ZMQ_POLLIN, 0 });
    };
    listSockets();
    Time nextTick = BootClock::now();
    while (!m_stopping.load(std::memory_order_relaxed)) {
        const Time now = BootClock::now();
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            if (m_hooks.ticked)
                m_hooks.ticked(now);
            if (reconnectSilent(now))
                listSockets();
        }
        zmq_poll(items.data(), static_cast<int>(items.size()),
            static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(nextTick - now).count()));
        for (std::size_t i = 0; i < m_sockets->peers.size(); ++i) {
            if (items[i + 1].revents & ZMQ_POLLIN)
                receivePeer(i);
        }
        if (m_sockets->router && (items.back().revents & ZMQ_POLLIN))
            receiveRouter();
        for (Outgoing& outgoing : m_ring.drain())
            sendOut(outgoing);
    }
    // The last answers of a graceful shutdown must still reach their callers.
    for (Outgoing& outgoing : m_ring.drain())
        sendOut(outgoing);
    if (m_sockets->router)
        m_sockets->router.set(zmq::sockopt::linger, stopLingerMs);
}

void PeerLink::receiveRouter()
{
    for (int i = 0; i < receiveBatch; ++i) {
        zmq::message_t identity;
        zmq::message_t frame;
        if (!m_sockets->router.recv(identity, zmq::recv_flags::dontwait))
            return;
        bool more = identity.more();
        if (!more || !m_sockets->router.recv(frame, zmq::recv_flags::dontwait))
            continue;
        for (more = frame.more(); more;) {
            zmq::message_t surplus;
            more = m_sockets->router.recv(surplus, zmq::recv_flags::dontwait) && surplus.more();
        }
        m_routerTraffic.in->add(frame.size());
        take(frame.to_string_view(), ReplyRoute { identity.to_string() }, {});
    }
}

void PeerLink::receivePeer(std::size_t index)
{
    for (int i = 0; i < receiveBatch; ++i) {
        zmq::message_t frame;
        if (!m_sockets->peers[index].recv(frame, zmq::recv_flags::dontwait))
            return;
        m_peerTraffic[index].in->add(frame.size());
        m_connections[index].heardAt = BootClock::now();
        take(frame.to_string_view(), {}, m_config.peers[index].host);
    }
}

void PeerLink::take(std::string_view bytes, ReplyRoute&& route, const HostId& expected)
{
    auto [frame, problem] = decodeFrame(bytes, BootClock::now());
    if (!frame) {
        m_dropped[static_cast<std::size_t>(problem)]->add();
        return;
    }
    if (!expected.empty() && frame->from != expected) {
        m_dropped[0]->add();
        return;
    }
    if (std::holds_alternative<HelloMessage>(frame->message))
        return;
    const bool fromGateway = !route.link.empty() && route.link.front() == gatewayMark;
    if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&frame->message); heartbeat && fromGateway) {
        answerGateway(route, *heartbeat);
        return;
    }
    m_hooks.received(std::move(route), std::move(*frame));
}

void PeerLink::answerGateway(const ReplyRoute& route, const HeartbeatMessage& heartbeat)
{
    HeartbeatMessage answer;
    answer.sentAt = heartbeat.sentAt;
    answer.ready = m_ready;
    answer.draining = m_draining;
    sendReply(route, answer);
}

void PeerLink::sendOut(Outgoing& outgoing)
{
    if (outgoing.to.empty())
        sendReply(outgoing.route, outgoing.message);
    else
        sendToPeer(outgoing);
}

void PeerLink::sendToPeer(Outgoing& outgoing)
{
    const auto it = m_peerIndex.find(outgoing.to);
    if (it != m_peerIndex.end()) {
        const std::string bytes = encodeFrame(m_config.self, m_config.incarnation, outgoing.message, BootClock::now());
        if (m_sockets->peers[it->second].send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            m_peerTraffic[it->second].out->add(bytes.size());
            return;
        }
    }
    m_unroutable.add();
    m_hooks.unsent(outgoing.to, std::move(outgoing.message));
}

void PeerLink::sendReply(const ReplyRoute& route, const LinkMessage& message)
{
    if (!m_sockets->router || route.link.empty())
        return;
    const std::string bytes = encodeFrame(m_config.self, m_config.incarnation, message, BootClock::now());
    try {
        const auto flags = zmq::send_flags::dontwait;
        if (m_sockets->router.send(zmq::buffer(route.link), flags | zmq::send_flags::sndmore)
            && m_sockets->router.send(zmq::buffer(bytes), flags)) {
            m_routerTraffic.out->add(bytes.size());
            return;
        }
    } catch (const zmq::error_t&) { // With ROUTER_MANDATORY an identity without a connection is an error.
    }
    m_unroutable.add();
}

} // namespace sp
