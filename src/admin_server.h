/** @file admin_server.h Admin interface of a scheduler over HTTP. It only reads. */
#pragma once

#include <functional>
#include <string>

struct MHD_Daemon;

namespace sp {

/** What the admin interface shows; called on its thread. */
struct AdminHooks {
    std::function<bool(std::string& reason)> ready; ///< Whether new work is taken; sets the reason if not.
    std::function<std::string()> metrics; ///< Prometheus text.
    std::function<std::string()> status; ///< JSON; empty if the deciding thread does not answer.
    std::function<std::string(const std::string& id)> explain; ///< Text; empty if the deciding thread does not answer.
};

/** Serves /healthz, /readyz, /metrics, /status and /explain?id= with one thread. */
class AdminServer {
public:
    AdminServer(std::string listen, AdminHooks hooks);
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;
    ~AdminServer();
    bool start(std::string& problem);
    void stop();
    const std::string& boundAddress() const { return m_boundAddress; }

private:
    struct Callbacks;
    friend struct Callbacks;
    struct Page {
        unsigned status = 200;
        std::string contentType = "text/plain; charset=utf-8";
        std::string body;
    };

    Page pageFor(const std::string& path, const std::string& id) const;

    const std::string m_listen;
    const AdminHooks m_hooks;
    std::string m_boundAddress;
    MHD_Daemon* m_daemon = nullptr;
};

} // namespace sp
