#include "admin_server.h"

#include "socket_address.h"

#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>

namespace sp {

namespace {

    constexpr unsigned idleTimeoutSeconds = 30;
    constexpr unsigned connectionLimit = 64; ///< Only operators and their monitoring connect here.

} // namespace

/** Functions that libmicrohttpd calls. */
struct AdminServer::Callbacks {
    static MHD_Result access(void* server, MHD_Connection* connection, const char* url, const char* method,
        const char* /*version*/, const char* /*data*/, std::size_t* size, void** state)
    {
        static int seen = 0;
        if (!*state) { // The answer is queued once the whole request is there.
            *state = &seen;
            return MHD_YES;
        }
        if (*size > 0) {
            *size = 0;
            return MHD_YES;
        }
        const char* id = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "id");
        Page page { 405, "text/plain; charset=utf-8", "only GET\n" };
        if (std::strcmp(method, MHD_HTTP_METHOD_GET) == 0)
            page = static_cast<AdminServer*>(server)->pageFor(url, id ? id : "");
        MHD_Response* response
            = MHD_create_response_from_buffer(page.body.size(), page.body.data(), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, page.contentType.c_str());
        const MHD_Result queued = MHD_queue_response(connection, page.status, response);
        MHD_destroy_response(response);
        return queued;
    }
};

/** @param listen `ip:port`, port 0 for a free one. @param hooks What the interface shows. */
AdminServer::AdminServer(std::string listen, AdminHooks hooks)
    : m_listen(std::move(listen))
    , m_hooks(std::move(hooks))
{
}

AdminServer::~AdminServer() { stop(); }

/** Opens the port. @param problem Set to the reason of a failure. @return False if the address can't be used. */
bool AdminServer::start(std::string& problem)
{
    const SocketAddress address = parseSocketAddress(m_listen);
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD;
    if (address.storage.ss_family == AF_INET6)
        flags |= MHD_USE_IPv6;
    m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &Callbacks::access, this, MHD_OPTION_SOCK_ADDR,
        address.get(), MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds, MHD_OPTION_CONNECTION_LIMIT, connectionLimit,
        MHD_OPTION_END);
    if (!m_daemon) {
        problem = std::strerror(errno);
        return false;
    }
    const MHD_DaemonInfo* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    m_boundAddress = addressHost(m_listen) + ":" + std::to_string(info ? info->port : 0);
    return true;
}

/** Closes the port and ends the thread. */
void AdminServer::stop()
{
    if (m_daemon)
        MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

AdminServer::Page AdminServer::pageFor(const std::string& path, const std::string& id) const
{
    const auto shown = [](std::string text, const char* type) {
        if (text.empty())
            return Page { 503, "text/plain; charset=utf-8", "the deciding thread does not answer\n" };
        return Page { 200, type, std::move(text) };
    };
    if (path == "/healthz")
        return { 200, "text/plain; charset=utf-8", "ok\n" };
    if (path == "/readyz") {
        std::string reason;
        const bool ready = m_hooks.ready(reason);
        return { ready ? 200U : 503U, "text/plain; charset=utf-8", (ready ? "ready" : reason) + "\n" };
    }
    if (path == "/metrics")
        return { 200, "text/plain; version=0.0.4", m_hooks.metrics() };
    if (path == "/status")
        return shown(m_hooks.status(), "application/json");
    if (path == "/explain") {
        if (id.empty())
            return { 400, "text/plain; charset=utf-8", "expected /explain?id=ID\n" };
        return shown(m_hooks.explain(id), "text/plain; charset=utf-8");
    }
    return { 404, "text/plain; charset=utf-8", "no such path\n" };
}

} // namespace sp
