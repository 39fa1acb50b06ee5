#include "http_listener.h"

#include "guard_func.h"

#include "socket_address.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <microhttpd.h>
#include <strings.h>

namespace sp {

namespace {

    constexpr std::size_t connectionMemory = 24UL * 1024; ///< Buffer of a connection, and the largest header it takes.

} // namespace

/** One request from its first header to the end of its answer. */
struct HttpListener::Call {
    HttpListener* listener = nullptr;
    MHD_Connection* connection = nullptr; ///< Null once the connection is gone.
    ServedCall request;
    bool tooLong = false;
    bool handled = false;
    bool suspended = false;
    std::optional<ServedAnswer> answer;
};

/** Functions that libmicrohttpd calls. */
struct HttpListener::Callbacks {
    using CallPointer = std::shared_ptr<Call>;

    static MHD_Result access(void* self, MHD_Connection* connection, const char* url, const char* method,
        const char* /*version*/, const char* data, std::size_t* size, void** state)
    {
        auto& listener = *static_cast<HttpListener*>(self);
        if (!*state) {
            *state = begin(listener, connection, url, method);
            return MHD_YES;
        }
        const CallPointer& call = *static_cast<CallPointer*>(*state);
        if (*size > 0) {
            if (call->request.body.size() + *size > listener.m_config.maxBody)
                call->tooLong = true;
            else
                call->request.body.append(data, *size);
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

    static CallPointer* begin(HttpListener& listener, MHD_Connection* connection, const char* url, const char* method)
    {
        auto call = std::make_shared<Call>();
        call->listener = &listener;
        call->connection = connection;
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
        call->request.receivedAt = BootClock::now();
        if (call->tooLong) {
            call->answer = ServedAnswer { 413, R"({"error":"the body is too long"})", "application/json", {} };
            return;
        }
        // An exception must not pass through libmicrohttpd.
        const bool handled = runGuarded("request", [&] {
            listener.m_handler(std::move(call->request), [call](ServedAnswer&& answer) {
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
        (*call)->connection = nullptr;
        static_cast<HttpListener*>(self)->m_calls.erase(call->get());
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
    , m_handler(std::move(handler))
{
}

HttpListener::~HttpListener()
{
    if (!m_daemon)
        return;
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
        address.get(), MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::completed, this, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(m_config.idleTimeout.count()), MHD_OPTION_CONNECTION_LIMIT, m_config.maxConnections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (!m_daemon) {
        problem = m_config.listen + ": " + std::strerror(errno);
        return false;
    }
    m_epollFd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    return true;
}

/** When process() is due without an event. @param now Present time. @return Time, nothing if only on events. */
std::optional<Time> HttpListener::wakeAt(Time now) const
{
    if (m_resumed)
        return now;
    MHD_UNSIGNED_LONG_LONG ms = 0;
    if (MHD_get_timeout(m_daemon, &ms) != MHD_YES)
        return std::nullopt;
    return now + std::chrono::milliseconds(std::min<MHD_UNSIGNED_LONG_LONG>(ms, 60000));
}

/** Reads, handles and answers without waiting. */
void HttpListener::process()
{
    m_resumed = false;
    MHD_run(m_daemon);
}

} // namespace sp
