#include "http_listener.h"

#include "guard_func.h"
#include "log_line.h"
#include "socket_address.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sp {

namespace {

    constexpr std::size_t connectionMemory = 24UL * 1024; ///< Buffer of a connection, and the largest header it takes.
    /** libmicrohttpd takes up to ten connections before process() can close others in their favour. */
    constexpr unsigned connectionMargin = 32;
    constexpr std::chrono::milliseconds timeCheckPeriod { 500 }; ///< Time limits are kept to this precision.
    constexpr std::chrono::milliseconds logPeriod { 1000 }; ///< One log line a reason in this time.
    constexpr std::chrono::seconds retryAfterNoRoom { 1 }; ///< Stalled bodies can be displaced after this time.
    /** A body without progress for this time may be displaced by a large one. It exceeds the usual lag of the loop. */
    constexpr std::chrono::milliseconds stallTime { 1000 };
    constexpr std::size_t firstBodyStep = 4096; ///< Room of a body without an announced size; it doubles from there.
    /**
     * A socket that is closed with unread bytes is reset, and the client may lose the answer. So the rest of a refused
     * request is read and dropped, within these limits.
     */
    constexpr std::chrono::milliseconds lingerTime { 500 };
    constexpr std::chrono::milliseconds lingerPeriod { 20 };
    constexpr std::size_t lingerBytes = 512UL * 1024;
    constexpr std::size_t maxLingering = 16; ///< Descriptors used for this.

    struct ReasonNames {
        const char* text;
        const char* metric;
        const char* help;
    };
    /** In the order of EndReason. */
    constexpr std::array<ReasonNames, endReasonCount> reasonNames { {
        { "body_announced", "sp_http_refused_body_announced_total", "Requests refused for an announced body." },
        { "body_received", "sp_http_ended_body_received_total", "Connections ended for a body over the limit." },
        { "header_size", "sp_http_refused_header_size_total", "Requests refused for their headers." },
        { "no_room", "sp_http_refused_no_room_total", "Requests refused as the byte budget had no room." },
        { "no_room_receiving", "sp_http_ended_no_room_total", "Connections ended as the byte budget had no room." },
        { "displaced", "sp_http_ended_displaced_total", "Connections ended for the bytes that they held." },
        { "connections", "sp_http_ended_connections_total", "Connections ended as there were too many." },
        { "header_time", "sp_http_ended_header_time_total", "Connections ended for late headers." },
        { "body_time", "sp_http_ended_body_time_total", "Connections ended for a late body." },
        { "answer_time", "sp_http_ended_answer_time_total", "Connections ended as the answer was not taken." },
        { "idle", "sp_http_ended_idle_total", "Connections ended without a request for long." },
    } };

    /** Returns the number of bytes that the kernel has received on a connection since its beginning. */
    std::uint64_t bytesReceived(int fd)
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_bytes_received : 0;
    }

    /** Returns the announced size of a request's body; nothing if it has none or comes in chunks. */
    std::optional<std::size_t> announcedBody(MHD_Connection* connection)
    {
        const auto header
            = [&](const char* name) { return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name); };
        const char* length = header(MHD_HTTP_HEADER_CONTENT_LENGTH);
        if (!length || header(MHD_HTTP_HEADER_TRANSFER_ENCODING))
            return std::nullopt;
        std::size_t size = 0;
        // libmicrohttpd has checked that it is a number.
        std::from_chars(length, length + std::strlen(length), size);
        return size;
    }

    ServedAnswer refusal(int status, const char* body)
    {
        ServedAnswer answer { status, body, "application/json", {} };
        answer.close = true;
        return answer;
    }

} // namespace

/** One request from its first header to the end of its answer. */
struct HttpListener::Call {
    HttpListener* listener = nullptr;
    MHD_Connection* connection = nullptr; ///< Null once the connection is gone.
    Connection* open = nullptr; ///< Null once the connection is gone.
    ServedCall request;
    bool handled = false;
    bool suspended = false;
    std::optional<ServedAnswer> answer;
};

/** A connection from its acceptance to its end. */
struct HttpListener::Connection {
    enum class Phase {
        Waiting, ///< For the headers of a request.
        Receiving, ///< The body of a request.
        Handling,
        Answering,
    };

    int fd = -1;
    Phase phase = Phase::Waiting;
    Time since {}; ///< Begin of the phase.
    Time progressAt {}; ///< A part of a request or the connection itself arrived.
    std::optional<Time> headerSince {}; ///< A part of the headers has been there since.
    std::uint64_t receivedBefore = 0; ///< Bytes that belong to earlier requests.
    std::size_t held = 0; ///< Bytes of the budget held for the body.
    bool served = false; ///< A request has been answered.
    bool ended = false; ///< Shut down; libmicrohttpd will close it.
    bool linger = false; ///< Was refused before its body was read.
    Call* call = nullptr; ///< Present request.

    void enter(Phase next, Time now)
    {
        phase = next;
        since = progressAt = now;
        headerSince.reset();
    }
};

/** Functions that libmicrohttpd calls. */
struct HttpListener::Callbacks {
    using CallPointer = std::shared_ptr<Call>;

    static MHD_Result access(void* self, MHD_Connection* connection, const char* url, const char* method,
        const char* /*version*/, const char* data, std::size_t* size, void** state)
    {
        auto& listener = *static_cast<HttpListener*>(self);
        // What the kernel had received before the connection was ended can still be read; its body may be incomplete.
        const auto* open = static_cast<Connection*>(
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
        if (open->ended)
            return MHD_NO;
        if (!*state) {
            *state = begin(listener, connection, url, method);
            const CallPointer& call = *static_cast<CallPointer*>(*state);
            admit(listener, *call);
            return call->answer ? queue(listener, *call) : MHD_YES;
        }
        const CallPointer& call = *static_cast<CallPointer*>(*state);
        if (*size > 0) {
            if (!receive(listener, *call, data, *size))
                return MHD_NO; // Closes the connection.
            *size = 0;
            return MHD_YES;
        }
        if (!call->handled)
            handle(listener, call);
        if (call->answer)
            return queue(listener, *call);
        if (!call->suspended) {
            call->suspended = true;
            MHD_suspend_connection(connection);
        }
        return MHD_YES;
    }

    /** Sets an answer if a request can be refused by its headers. Nothing was run then. */
    static void admit(HttpListener& listener, Call& call)
    {
        const auto refuse = [&](EndReason reason, ServedAnswer&& answer) {
            listener.count(reason);
            call.handled = true;
            call.open->linger = true;
            call.answer = std::move(answer);
        };
        const auto* header = MHD_get_connection_info(call.connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
        if (header && header->header_size > listener.m_limits.maxHeader)
            return refuse(EndReason::HeaderSize, refusal(431, R"({"error":"the headers are too long"})"));
        const std::size_t size = announcedBody(call.connection).value_or(0);
        if (size > listener.m_limits.maxBody)
            return refuse(EndReason::BodyAnnounced, refusal(413, R"({"error":"the body is too long"})"));
        if (size == 0)
            return;
        if (!listener.takeBytes(*call.open, size, size)) {
            ServedAnswer answer = refusal(503, R"({"error":"not taken, nothing was run"})");
            answer.retryAfter = retryAfterNoRoom;
            return refuse(EndReason::NoRoom, std::move(answer));
        }
        call.request.body.reserve(size);
    }

    /** Appends a part of a body. @return False if the connection has to be closed. */
    static bool receive(HttpListener& listener, Call& call, const char* data, std::size_t size)
    {
        Connection& open = *call.open;
        std::string& body = call.request.body;
        if (open.ended)
            return false;
        const std::size_t length = body.size() + size;
        if (length > listener.m_limits.maxBody) {
            listener.releaseBytes(open);
            listener.count(EndReason::BodyReceived);
            return false;
        }
        if (length > open.held) { // The size was not announced.
            std::size_t room = std::max(open.held, firstBodyStep);
            while (room < length)
                room *= 2;
            room = std::min(room, listener.m_limits.maxBody);
            if (!listener.takeBytes(open, room, room - open.held)) {
                listener.releaseBytes(open);
                listener.count(EndReason::NoRoomReceiving);
                return false;
            }
            body.reserve(room);
        }
        body.append(data, size);
        open.progressAt = listener.m_now;
        return true;
    }

    static void connectionChanged(
        void* self, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code)
    {
        auto& listener = *static_cast<HttpListener*>(self);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            auto& slot = listener.m_connections[connection];
            slot = std::make_unique<Connection>();
            Connection& open = *slot;
            open.fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
            open.enter(Connection::Phase::Waiting, listener.m_now);
            if (listener.m_config.budget)
                listener.m_config.budget->hold(listener.m_config.use, connectionMemory);
            *context = &open;
            return;
        }
        auto* open = static_cast<Connection*>(*context);
        listener.releaseBytes(*open);
        if (listener.m_config.budget)
            listener.m_config.budget->release(listener.m_config.use, connectionMemory);
        if (open->linger && !open->ended)
            listener.linger(open->fd);
        listener.m_connections.erase(connection);
    }

    static CallPointer* begin(HttpListener& listener, MHD_Connection* connection, const char* url, const char* method)
    {
        auto call = std::make_shared<Call>();
        call->listener = &listener;
        call->connection = connection;
        call->open = static_cast<Connection*>(
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
        call->open->call = call.get();
        call->open->enter(Connection::Phase::Receiving, listener.m_now);
        call->request.method = method;
        call->request.path = url;
        MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &Callbacks::keepHeader, call.get());
        listener.m_calls.insert(call.get());
        return new CallPointer(std::move(call));
    }

    static MHD_Result keepHeader(void* state, MHD_ValueKind /*kind*/, const char* name, std::size_t nameSize,
        const char* value, std::size_t valueSize)
    {
        auto& call = *static_cast<Call*>(state);
        for (const std::string& kept : call.listener->m_config.keepHeaders) {
            if (kept.size() == nameSize && strncasecmp(kept.c_str(), name, nameSize) == 0
                && !call.request.headers.emplace(kept, value ? std::string(value, valueSize) : std::string()).second)
                call.request.repeatedHeaders.insert(kept);
        }
        return MHD_YES;
    }

    static void handle(HttpListener& listener, const CallPointer& call)
    {
        call->handled = true;
        call->open->enter(Connection::Phase::Handling, listener.m_now);
        call->request.receivedAt = BootClock::now();
        // An exception must not pass through libmicrohttpd.
        const bool handled = runGuarded("request", [&] {
            ServedCall request = std::move(call->request); // Its body is freed when the handler has decoded it.
            listener.m_handler(std::move(request), [call](ServedAnswer&& answer) {
                if (!call->connection || call->answer)
                    return; // The client has gone.
                call->answer = std::move(answer);
                if (call->suspended) {
                    MHD_resume_connection(call->connection);
                    call->listener->m_resumed = true;
                }
            });
        });
        if (!handled && !call->answer)
            call->answer = ServedAnswer { 500, R"({"error":"internal error"})", "application/json", {} };
    }

    static MHD_Result queue(const HttpListener& listener, Call& call)
    {
        call.open->enter(Connection::Phase::Answering, listener.m_now);
        const ServedAnswer& answer = *call.answer;
        MHD_Response* response = MHD_create_response_from_buffer(
            answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
        if (!answer.body.empty())
            MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.contentType.c_str());
        if (answer.status == MHD_HTTP_UNAUTHORIZED) // Demanded by RFC 7235.
            MHD_add_response_header(response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
        if (answer.retryAfter)
            MHD_add_response_header(
                response, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(answer.retryAfter->count()).c_str());
        if (listener.m_closing || answer.close)
            MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
        const MHD_Result queued = MHD_queue_response(call.connection, static_cast<unsigned>(answer.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    static void completed(void* self, MHD_Connection* /*connection*/, void** state, MHD_RequestTerminationCode /*code*/)
    {
        if (!*state)
            return;
        auto* call = static_cast<CallPointer*>(*state);
        auto& listener = *static_cast<HttpListener*>(self);
        Connection& open = *(*call)->open;
        listener.releaseBytes(open);
        open.call = nullptr;
        open.served = true;
        open.enter(Connection::Phase::Waiting, listener.m_now);
        open.receivedBefore = bytesReceived(open.fd);
        (*call)->connection = nullptr;
        (*call)->open = nullptr;
        listener.m_calls.erase(call->get());
        delete call;
        *state = nullptr;
    }
};

/** Value of a kept header. @param name Name as given to the listener. @return Value, empty if it was not sent. */
const std::string& ServedCall::header(const std::string& name) const
{
    static const std::string nothing;
    const auto it = headers.find(name);
    return it == headers.end() ? nothing : it->second;
}

/** @param config Address and limits. @param handler Called for each whole request. */
HttpListener::HttpListener(HttpListenerConfig config, Handler handler)
    : m_config(std::move(config))
    , m_limits(m_config.limits)
    , m_handler(std::move(handler))
{
    if (!m_config.metrics)
        return;
    for (std::size_t i = 0; i < endReasonCount; ++i)
        m_ends[i].counter = &m_config.metrics->counter(reasonNames[i].metric, reasonNames[i].help);
    m_bytesHeld = &m_config.metrics->gauge("sp_http_bytes_held", "Bytes of the budget held by connections and bodies.");
}

HttpListener::~HttpListener()
{
    for (const Lingering& lingering : m_lingering)
        close(lingering.fd);
    m_lingering.clear();
    if (!m_daemon)
        return;
    for (auto& [handle, open] : m_connections)
        open->linger = false;
    // The daemon may not be stopped while connections are suspended. Those without an answer are cut.
    for (Call* call : m_calls) {
        if (call->suspended && !call->answer)
            MHD_resume_connection(call->connection);
    }
    MHD_stop_daemon(m_daemon);
}

/** Port in use. @return Port; differs from the configured one if that is 0. */
std::uint16_t HttpListener::port() const { return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port; }

/** Opens the port. @param problem Set to the reason of a failure. @return False if the address can't be used. */
bool HttpListener::start(std::string& problem)
{
    const SocketAddress address = parseSocketAddress(m_config.listen);
    if (address.length == 0) {
        problem = "not an address: " + m_config.listen;
        return false;
    }
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (address.storage.ss_family == AF_INET6)
        flags |= MHD_USE_IPv6;
    m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &Callbacks::access, this, MHD_OPTION_SOCK_ADDR,
        address.get(), MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::completed, this, MHD_OPTION_NOTIFY_CONNECTION,
        &Callbacks::connectionChanged, this, MHD_OPTION_CONNECTION_LIMIT, m_config.maxConnections + connectionMargin,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (!m_daemon) {
        problem = m_config.listen + ": " + std::strerror(errno);
        return false;
    }
    m_epollFd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    if (m_config.receiveBuffer > 0) { // Accepted connections inherit it.
        const int listenFd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
        setsockopt(listenFd, SOL_SOCKET, SO_RCVBUF, &m_config.receiveBuffer, sizeof m_config.receiveBuffer);
    }
    return true;
}

/** When process() is due without an event. @param now Present time. @return Time, nothing if only on events. */
std::optional<Time> HttpListener::wakeAt(Time now) const
{
    if (m_resumed)
        return now;
    std::optional<Time> at;
    const auto wake = [&at](Time time) { at = std::min(at.value_or(time), time); };
    if (MHD_UNSIGNED_LONG_LONG ms = 0; MHD_get_timeout(m_daemon, &ms) == MHD_YES)
        wake(now + std::chrono::milliseconds(std::min<MHD_UNSIGNED_LONG_LONG>(ms, 60000)));
    if (!m_connections.empty() || m_endsToLog)
        wake(m_checkTimesAt);
    if (!m_lingering.empty())
        wake(m_now + lingerPeriod);
    return at;
}

/** Reads, handles and answers without waiting. */
void HttpListener::process()
{
    m_resumed = false;
    m_now = BootClock::now();
    MHD_run(m_daemon);
    limitConnections();
    dropLingering();
    if (m_now >= m_checkTimesAt) {
        m_checkTimesAt = m_now + timeCheckPeriod;
        checkTimes();
        logEnds();
    }
    if (m_bytesHeld && m_config.budget)
        m_bytesHeld->set(static_cast<std::int64_t>(m_config.budget->held()));
}

/** Holds bytes for a body if the budget permits or other bodies can be displaced. @return False if not. */
bool HttpListener::takeBytes(Connection& connection, std::size_t body, std::size_t more)
{
    if (m_config.budget) {
        if (!m_config.budget->mayTake(m_config.use, body, more) && !makeRoom(connection, body, more))
            return false;
        m_config.budget->hold(m_config.use, more);
    }
    connection.held += more;
    return true;
}

void HttpListener::releaseBytes(Connection& connection)
{
    if (m_config.budget)
        m_config.budget->release(m_config.use, connection.held);
    connection.held = 0;
}

/** Ends bodies in favour of another one. @return True if the budget has room for it now. */
bool HttpListener::makeRoom(Connection& connection, std::size_t body, std::size_t more)
{
    std::vector<OpenBody> bodies;
    std::vector<Connection*> holders;
    for (auto& [handle, open] : m_connections) {
        if (open.get() == &connection || open->ended || open->phase != Connection::Phase::Receiving)
            continue;
        bodies.push_back({ open->held, m_now - open->progressAt });
        holders.push_back(open.get());
    }
    const Duration minStall = body > ByteBudget::smallBody ? Duration(stallTime) : Duration(0);
    for (const std::size_t i : bodiesToEnd(bodies, m_config.budget->lacking(m_config.use, body, more), minStall))
        end(*holders[i], EndReason::Displaced);
    return m_config.budget->mayTake(m_config.use, body, more);
}

/** Shuts a connection down, which makes libmicrohttpd close it, and frees its body at once. */
void HttpListener::end(Connection& connection, EndReason reason)
{
    count(reason);
    connection.ended = true;
    releaseBytes(connection);
    if (connection.call)
        std::string().swap(connection.call->request.body);
    shutdown(connection.fd, SHUT_RDWR);
    m_resumed = true;
}

void HttpListener::count(EndReason reason)
{
    Ends& ends = m_ends[static_cast<std::size_t>(reason)];
    ++ends.count;
    if (ends.counter)
        ends.counter->add();
    m_endsToLog = true;
}

/** Writes one line for each reason at most once in logPeriod. */
void HttpListener::logEnds()
{
    m_endsToLog = false;
    for (std::size_t i = 0; i < endReasonCount; ++i) {
        Ends& ends = m_ends[i];
        if (ends.count == ends.logged)
            continue;
        if (m_now < ends.loggedAt + logPeriod) {
            m_endsToLog = true;
            continue;
        }
        const bool ordinary = static_cast<EndReason>(i) == EndReason::Idle;
        LogLine(ordinary ? LogLevel::Info : LogLevel::Warning, "clients_ended")
            .with("listen", m_config.listen)
            .with("reason", reasonNames[i].text)
            .with("count", ends.count - ends.logged)
            .with("connections", m_connections.size())
            .with("bytes_held", m_config.budget ? m_config.budget->held() : 0);
        ends.logged = ends.count;
        ends.loggedAt = m_now;
    }
}

/** Closes connections beyond the permitted number. */
void HttpListener::limitConnections()
{
    std::size_t living = 0;
    if (m_connections.size() <= m_config.maxConnections)
        return;
    for (const auto& [handle, open] : m_connections)
        living += open->ended ? 0 : 1;
    for (; living > m_config.maxConnections; --living) {
        std::vector<OpenConnection> candidates;
        std::vector<Connection*> connections;
        for (auto& [handle, open] : m_connections) {
            const bool receiving = open->phase == Connection::Phase::Receiving;
            if (open->ended || (!receiving && open->phase != Connection::Phase::Waiting))
                continue;
            candidates.push_back({ receiving, open->served, m_now - open->progressAt });
            connections.push_back(open.get());
        }
        const auto chosen = connectionToEnd(candidates);
        if (!chosen)
            return; // All requests are being handled, which takes a bounded time.
        end(*connections[*chosen], EndReason::Connections);
    }
}

/** Ends connections that have exceeded a time limit. */
void HttpListener::checkTimes()
{
    for (auto& [handle, connection] : m_connections) {
        Connection& open = *connection;
        if (open.ended)
            continue;
        switch (open.phase) {
        case Connection::Phase::Waiting:
            // libmicrohttpd does not tell when it has read a part of the headers.
            if (!open.headerSince && bytesReceived(open.fd) != open.receivedBefore)
                open.headerSince = m_now;
            if (open.headerSince && m_now - *open.headerSince >= m_limits.headerTimeout)
                end(open, EndReason::HeaderTime);
            else if (!open.headerSince && m_now - open.since >= m_limits.idleTimeout)
                end(open, EndReason::Idle);
            break;
        case Connection::Phase::Receiving:
            if (m_now - open.since >= m_limits.bodyTimeout)
                end(open, EndReason::BodyTime);
            break;
        case Connection::Phase::Handling: // Bounded by the deadline of the request.
            break;
        case Connection::Phase::Answering:
            if (m_now - open.since >= m_limits.bodyTimeout)
                end(open, EndReason::AnswerTime);
            break;
        }
    }
}

/** Keeps a connection that is being closed after a refusal until the client has seen the answer. */
void HttpListener::linger(int fd)
{
    if (m_lingering.size() >= maxLingering)
        return;
    const int copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (copy < 0)
        return;
    shutdown(copy, SHUT_WR);
    m_lingering.push_back({ copy, m_now + lingerTime, lingerBytes });
}

void HttpListener::dropLingering()
{
    std::erase_if(m_lingering, [this](Lingering& lingering) {
        // With MSG_TRUNC the kernel drops the bytes without copying them.
        const ssize_t dropped = recv(lingering.fd, nullptr, lingering.bytes, MSG_DONTWAIT | MSG_TRUNC);
        const bool waiting = dropped < 0 && (errno == EAGAIN || errno == EINTR);
        if (dropped > 0)
            lingering.bytes -= std::min(lingering.bytes, static_cast<std::size_t>(dropped));
        if ((dropped > 0 || waiting) && lingering.bytes > 0 && m_now < lingering.until)
            return false;
        close(lingering.fd);
        return true;
    });
}

} // namespace sp
