#include "standin/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sp::standin {

namespace {

    constexpr std::size_t maxBody = 2U << 20U; ///< A store value of 1 MB in base64 within a transaction.
    constexpr std::size_t streamBlock = 64U << 10U;

    sockaddr_in parseAddress(const std::string& address)
    {
        sockaddr_in parsed {};
        parsed.sin_family = AF_INET;
        const auto colon = address.rfind(':');
        if (colon == std::string::npos || inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1)
            throw std::runtime_error("not an IPv4 address with a port: " + address);
        parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        return parsed;
    }

    std::string addressText(const sockaddr_in& address)
    {
        std::array<char, INET_ADDRSTRLEN> text {};
        inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
    }

    std::string localAddress(int fd)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        return addressText(address);
    }

} // namespace

/** Entry points that libmicrohttpd calls. */
struct HttpCallbacks {
    static MHD_Result handle(void* server, MHD_Connection* connection, const char* url, const char* method,
        const char* version, const char* data, std::size_t* size, void** state);
    static void completed(void* server, MHD_Connection* connection, void** state, MHD_RequestTerminationCode code);
    static void notify(void* server, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code);
    static ssize_t read(void* exchange, std::uint64_t position, char* buffer, std::size_t size);
    static std::shared_ptr<HttpConnection> peer(MHD_Connection* connection);
    static MHD_Result begin(
        HttpServer& server, MHD_Connection* connection, const char* url, const char* method, void** state);
    static MHD_Result send(HttpServer& server, HttpExchange& exchange);
    static MHD_Result suspend(HttpServer& server, HttpExchange& exchange);
};

std::shared_ptr<HttpConnection> HttpCallbacks::peer(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<std::shared_ptr<HttpConnection>*>(info->socket_context);
}

void HttpCallbacks::notify(
    void* server, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code)
{
    auto& self = *static_cast<HttpServer*>(server);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const int fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        *context = new std::shared_ptr<HttpConnection>(self.opened(fd));
        return;
    }
    auto* peer = static_cast<std::shared_ptr<HttpConnection>*>(*context);
    if ((*peer)->listener >= 0)
        self.m_listeners[static_cast<std::size_t>((*peer)->listener)].open.erase(*peer);
    delete peer;
}

MHD_Result HttpCallbacks::begin(
    HttpServer& server, MHD_Connection* connection, const char* url, const char* method, void** state)
{
    auto exchange = std::make_shared<HttpExchange>();
    exchange->m_server = &server;
    exchange->m_connection = connection;
    exchange->m_peer = peer(connection);
    exchange->listener = exchange->m_peer->listener;
    exchange->method = method;
    exchange->path = url;
    exchange->m_self = exchange;
    *state = exchange.get();
    return exchange->listener >= 0 ? MHD_YES : MHD_NO;
}

MHD_Result HttpCallbacks::suspend(HttpServer& server, HttpExchange& exchange)
{
    exchange.m_suspended = true;
    server.m_suspended.insert(&exchange);
    MHD_suspend_connection(exchange.m_connection);
    return MHD_YES;
}

MHD_Result HttpCallbacks::handle(void* server, MHD_Connection* connection, const char* url, const char* method,
    const char* /*version*/, const char* data, std::size_t* size, void** state)
{
    auto& self = *static_cast<HttpServer*>(server);
    if (!*state)
        return begin(self, connection, url, method, state);
    auto& exchange = *static_cast<HttpExchange*>(*state);
    if (*size > 0) {
        if (exchange.body.size() + *size > maxBody)
            exchange.m_tooLarge = true;
        else
            exchange.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (exchange.m_closed)
        return MHD_NO;
    if (exchange.m_peer->silent)
        return suspend(self, exchange);
    if (!exchange.m_dispatched) {
        exchange.m_dispatched = true;
        self.m_listeners[static_cast<std::size_t>(exchange.listener)].counters.bytesIn += exchange.body.size();
        self.dispatch(exchange.m_self);
    }
    if (exchange.m_answered || exchange.m_isStream)
        return send(self, exchange);
    return suspend(self, exchange);
}

MHD_Result HttpCallbacks::send(HttpServer& server, HttpExchange& exchange)
{
    if (exchange.m_answer.close)
        return MHD_NO;
    auto& counters = server.m_listeners[static_cast<std::size_t>(exchange.listener)].counters;
    MHD_Response* response = nullptr;
    if (exchange.m_isStream) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlock, read, &exchange, nullptr);
    } else {
        counters.bytesOut += exchange.m_answer.body.size();
        response = MHD_create_response_from_buffer(
            exchange.m_answer.body.size(), exchange.m_answer.body.data(), MHD_RESPMEM_MUST_COPY);
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    for (const auto& [name, value] : exchange.m_answer.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    const MHD_Result result
        = MHD_queue_response(exchange.m_connection, static_cast<unsigned>(exchange.m_answer.status), response);
    MHD_destroy_response(response);
    return result;
}

ssize_t HttpCallbacks::read(void* state, std::uint64_t /*position*/, char* buffer, std::size_t size)
{
    auto& exchange = *static_cast<HttpExchange*>(state);
    if (exchange.m_closed)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    if (exchange.m_stream.empty() || exchange.m_peer->silent) {
        if (exchange.m_streamEnded && !exchange.m_peer->silent)
            return MHD_CONTENT_READER_END_OF_STREAM;
        suspend(*exchange.m_server, exchange);
        return 0;
    }
    const std::size_t part = std::min(size, exchange.m_stream.size());
    std::copy_n(exchange.m_stream.begin(), part, buffer);
    exchange.m_stream.erase(0, part);
    exchange.m_server->m_listeners[static_cast<std::size_t>(exchange.listener)].counters.bytesOut += part;
    return static_cast<ssize_t>(part);
}

void HttpCallbacks::completed(
    void* server, MHD_Connection* /*connection*/, void** state, MHD_RequestTerminationCode /*code*/)
{
    auto* exchange = static_cast<HttpExchange*>(*state);
    if (!exchange)
        return;
    static_cast<HttpServer*>(server)->m_suspended.erase(exchange);
    exchange->m_closed = true;
    exchange->m_connection = nullptr;
    *state = nullptr;
    const ExchangePtr last = std::move(exchange->m_self);
}

/** Parameter of the query. @param name Name. @return Value, empty if absent. */
std::string HttpExchange::query(const char* name) const
{
    if (m_closed)
        return {};
    const char* value = MHD_lookup_connection_value(m_connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}

/** Header of the request. @param name Name. @return Value, empty if absent. */
std::string HttpExchange::header(const char* name) const
{
    if (m_closed)
        return {};
    const char* value = MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name);
    return value ? value : "";
}

/** Sends the answer; a second one and one to a closed connection is dropped. @param answer Answer. */
void HttpExchange::answer(HttpAnswer answer)
{
    if (m_closed || m_answered || m_isStream)
        return;
    m_answered = true;
    m_answer = std::move(answer);
    wake();
}

/** Starts an answer whose body comes piece by piece. */
void HttpExchange::startStream()
{
    if (m_closed || m_answered)
        return;
    m_isStream = true;
    wake();
}

/** Adds to a streamed answer. @param text Bytes. */
void HttpExchange::pushStream(const std::string& text)
{
    if (m_closed)
        return;
    m_stream += text;
    wake();
}

/** Ends a streamed answer after what was added. */
void HttpExchange::endStream()
{
    m_streamEnded = true;
    wake();
}

void HttpExchange::wake()
{
    if (!m_suspended || m_closed || m_peer->silent)
        return;
    m_suspended = false;
    m_server->m_suspended.erase(this);
    MHD_resume_connection(m_connection);
}

/** Starts without any listening socket. */
HttpServer::HttpServer()
{
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr,
        nullptr, &HttpCallbacks::handle, this, MHD_OPTION_NOTIFY_COMPLETED, &HttpCallbacks::completed, this,
        MHD_OPTION_NOTIFY_CONNECTION, &HttpCallbacks::notify, this, MHD_OPTION_CONNECTION_LIMIT, 16000U,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, std::size_t { 32768 }, MHD_OPTION_END);
    if (!m_daemon)
        throw std::runtime_error("libmicrohttpd did not start");
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = -1;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, &event);
}

HttpServer::~HttpServer()
{
    for (const Listener& listener : m_listeners) {
        if (listener.fd >= 0)
            close(listener.fd);
    }
    for (HttpExchange* exchange : m_suspended) {
        exchange->m_closed = true;
        MHD_resume_connection(exchange->m_connection);
    }
    m_suspended.clear();
    MHD_stop_daemon(m_daemon);
    close(m_epoll);
}

int HttpServer::openSocket(const std::string& address, std::string& bound) const
{
    const sockaddr_in wanted = parseAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)) != 0 || ::listen(fd, 1024) != 0) {
        const std::string reason = std::strerror(errno);
        close(fd);
        throw std::runtime_error("can't listen on " + address + ": " + reason);
    }
    bound = localAddress(fd);
    return fd;
}

/**
 * Opens a listening socket.
 * @param address `ip:port`; port 0 picks a free one.
 * @param handler Gets each request.
 * @param maxConnections Connections above this number are closed at once, 0 for no limit.
 * @return Id. Throws std::runtime_error if the address can't be used.
 */
ListenerId HttpServer::listen(const std::string& address, Handler handler, unsigned maxConnections)
{
    const auto id = static_cast<ListenerId>(m_listeners.size());
    Listener listener;
    listener.fd = openSocket(address, listener.address);
    listener.handler = std::move(handler);
    listener.maxConnections = maxConnections;
    m_byAddress[listener.address] = id;
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, listener.fd, &event);
    m_listeners.push_back(std::move(listener));
    return id;
}

/** @param listener Listener. @return Its address with the port in use. */
std::string HttpServer::address(ListenerId listener) const
{
    return m_listeners[static_cast<std::size_t>(listener)].address;
}

/** @param listener Listener. @return Number of its open connections. */
unsigned HttpServer::openConnections(ListenerId listener) const
{
    return static_cast<unsigned>(m_listeners[static_cast<std::size_t>(listener)].open.size());
}

/** Refuses new connections and cuts off the open ones. @param listener Listener. */
void HttpServer::closeListener(ListenerId listener)
{
    Listener& it = m_listeners[static_cast<std::size_t>(listener)];
    if (it.fd < 0)
        return;
    close(it.fd);
    it.fd = -1;
    for (const auto& peer : it.open) {
        peer->silent = false;
        shutdown(peer->fd, SHUT_RDWR);
    }
    closeDeadExchanges();
}

/** Listens again on the same port. @param listener Listener. */
void HttpServer::reopenListener(ListenerId listener)
{
    Listener& it = m_listeners[static_cast<std::size_t>(listener)];
    if (it.fd >= 0)
        return;
    std::string bound;
    it.fd = openSocket(it.address, bound);
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = listener;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, it.fd, &event);
}

/**
 * Lets the connections that are open now go silent, or closes the silent ones.
 * @param listener Listener.
 * @param silent True to go silent.
 */
void HttpServer::setSilent(ListenerId listener, bool silent)
{
    for (const auto& peer : m_listeners[static_cast<std::size_t>(listener)].open) {
        if (!silent && peer->silent)
            shutdown(peer->fd, SHUT_RDWR);
        peer->silent = silent;
    }
    if (!silent)
        closeDeadExchanges();
}

/** Runs an action later. @param delay Delay. @param action Action. */
void HttpServer::after(Duration delay, std::function<void()> action)
{
    m_timers.emplace(BootClock::now() + delay, std::move(action));
}

std::shared_ptr<HttpConnection> HttpServer::opened(int fd)
{
    auto peer = std::make_shared<HttpConnection>();
    peer->fd = fd;
    const auto it = m_byAddress.find(localAddress(fd));
    if (it == m_byAddress.end())
        return peer;
    peer->listener = it->second;
    Listener& listener = m_listeners[static_cast<std::size_t>(it->second)];
    listener.open.insert(peer);
    ++listener.counters.connections;
    return peer;
}

void HttpServer::accept(ListenerId listener)
{
    const Listener& it = m_listeners[static_cast<std::size_t>(listener)];
    while (it.fd >= 0) {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        const int fd = accept4(it.fd, reinterpret_cast<sockaddr*>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (it.maxConnections > 0 && it.open.size() >= it.maxConnections) {
            close(fd);
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        MHD_add_connection(m_daemon, fd, reinterpret_cast<const sockaddr*>(&address), size);
    }
}

void HttpServer::dispatch(const ExchangePtr& exchange)
{
    if (exchange->m_tooLarge) {
        exchange->answer({ 413, "{}", {}, false });
        return;
    }
    m_listeners[static_cast<std::size_t>(exchange->listener)].handler(exchange);
}

void HttpServer::runTimers()
{
    const Time now = BootClock::now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto action = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        action();
    }
}

Duration HttpServer::waitTime() const
{
    MHD_UNSIGNED_LONG_LONG wanted = 0;
    if (MHD_get_timeout(m_daemon, &wanted) == MHD_YES && wanted == 0)
        return Duration(0);
    constexpr Duration longest = std::chrono::milliseconds(200);
    if (m_timers.empty())
        return longest;
    return std::clamp(m_timers.begin()->first - BootClock::now(), Duration(0), longest);
}

/** Suspended connections are not polled by libmicrohttpd, so those that the client has closed are found here. */
void HttpServer::closeDeadExchanges()
{
    std::vector<HttpExchange*> dead;
    for (HttpExchange* exchange : m_suspended) {
        char byte = 0;
        const ssize_t got = recv(exchange->m_peer->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
            dead.push_back(exchange);
    }
    for (HttpExchange* exchange : dead) {
        exchange->m_closed = true;
        exchange->m_suspended = false;
        m_suspended.erase(exchange);
        MHD_resume_connection(exchange->m_connection);
    }
}

/** Serves until told otherwise. @param goOn Asked at least every 200 ms. */
void HttpServer::run(const std::function<bool()>& goOn)
{
    Time nextSweep = BootClock::now();
    while (goOn()) {
        std::array<epoll_event, 64> events {};
        // epoll_wait() would round run times and latencies up to whole milliseconds.
        const timespec wait { 0, static_cast<long>(waitTime().count()) };
        const int count = epoll_pwait2(m_epoll, events.data(), static_cast<int>(events.size()), &wait, nullptr);
        for (int i = 0; i < count; ++i) {
            if (events[static_cast<std::size_t>(i)].data.fd >= 0)
                accept(events[static_cast<std::size_t>(i)].data.fd);
        }
        runTimers();
        MHD_run(m_daemon);
        if (const Time now = BootClock::now(); now >= nextSweep) {
            closeDeadExchanges();
            nextSweep = now + std::chrono::seconds(1);
        }
    }
}

} // namespace sp::standin
