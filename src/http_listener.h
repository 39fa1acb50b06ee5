/** @file http_listener.h HTTP server on one address that runs inside the caller's event loop. */
#pragma once

#include "time_type.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct MHD_Daemon;

namespace sp {

/** A whole request. */
struct ServedCall {
    std::string method;
    std::string path; ///< Without the query.
    /** Those that the listener keeps, by the names it was given; of a repeated one the first. */
    std::map<std::string, std::string> headers;
    std::set<std::string> repeatedHeaders; ///< Names of kept headers that were sent more than once.
    std::string body;
    Time receivedAt {};

    const std::string& header(const std::string& name) const;
};

/** An answer. */
struct ServedAnswer {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::optional<std::chrono::seconds> retryAfter {};
    bool close = false; ///< The client should come back over a new connection, which may lead to another host.
};

/** What a listener serves. */
struct HttpListenerConfig {
    std::string listen; ///< `ip:port`.
    std::vector<std::string> keepHeaders; ///< Headers that the handler wants to see.
    std::size_t maxBody = 1024UL * 1024; ///< A longer request is refused.
    std::chrono::seconds idleTimeout { 15 }; ///< A connection without a request for this time is closed.
    unsigned maxConnections = 2000; ///< Leaves descriptors for the process's own calls.
};

/** libmicrohttpd without a thread of its own. Not thread-safe. */
class HttpListener {
public:
    using Reply = std::function<void(ServedAnswer&&)>; ///< Called once, at once or later, on the loop's thread.
    using Handler = std::function<void(ServedCall&&, Reply)>;

    HttpListener(HttpListenerConfig config, Handler handler);
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;
    ~HttpListener();
    bool start(std::string& problem);
    int fd() const { return m_epollFd; }
    std::optional<Time> wakeAt(Time now) const;
    void process();
    void closeAfterAnswers() { m_closing = true; }
    std::size_t openCalls() const { return m_calls.size(); }
    std::uint16_t port() const;

private:
    struct Callbacks;
    friend struct Callbacks;
    struct Call;

    const HttpListenerConfig m_config;
    const Handler m_handler;
    MHD_Daemon* m_daemon = nullptr;
    int m_epollFd = -1;
    bool m_closing = false; ///< Answers ask the client to close the connection.
    bool m_resumed = false; ///< An answer waits to be written.
    std::set<Call*> m_calls; ///< Requests without a complete answer.
};

} // namespace sp
