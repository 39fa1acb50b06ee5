/** @file http_server.h HTTP server with many listening sockets, timers and late answers, all on the calling thread. */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace sp::standin {

using ListenerId = int; ///< Position of a listening socket, from 0.

/** Answer to a request. */
struct HttpAnswer {
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
    bool close = false; ///< Close the connection without an answer.
};

/** Connection of a client. */
struct HttpConnection {
    ListenerId listener = -1;
    int fd = -1;
    bool silent = false; ///< Nothing that arrives on it is looked at, and nothing is sent.
};

class HttpServer;

/** One request and its answer, which may come at any later time. */
class HttpExchange {
public:
    std::string method;
    std::string path;
    std::string body;
    ListenerId listener = -1;

    std::string query(const char* name) const;
    std::string header(const char* name) const;
    void answer(HttpAnswer answer);
    void startStream();
    void pushStream(const std::string& text);
    void endStream();
    bool isClosed() const { return m_closed; }

private:
    friend class HttpServer;
    friend struct HttpCallbacks;
    void wake();

    HttpServer* m_server = nullptr;
    MHD_Connection* m_connection = nullptr;
    std::shared_ptr<HttpConnection> m_peer;
    std::shared_ptr<HttpExchange> m_self; ///< Keeps the exchange alive while libmicrohttpd refers to it.
    HttpAnswer m_answer;
    std::string m_stream; ///< Bytes of a streamed answer that are not sent yet.
    bool m_dispatched = false;
    bool m_answered = false;
    bool m_isStream = false;
    bool m_streamEnded = false;
    bool m_suspended = false;
    bool m_closed = false;
    bool m_tooLarge = false;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

/** Bytes and connections of the server. */
struct HttpCounters {
    std::uint64_t bytesIn = 0; ///< Bodies of requests.
    std::uint64_t bytesOut = 0; ///< Bodies of answers.
    std::uint64_t connections = 0; ///< Connections accepted.
};

/** The server. All handlers and timers run on the thread that calls run(). */
class HttpServer {
public:
    using Handler = std::function<void(const ExchangePtr&)>;

    HttpServer();
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    ListenerId listen(const std::string& address, Handler handler, unsigned maxConnections = 0);
    std::string address(ListenerId listener) const;
    void closeListener(ListenerId listener);
    void reopenListener(ListenerId listener);
    void setSilent(ListenerId listener, bool silent);
    void after(Duration delay, std::function<void()> action);
    void run(const std::function<bool()>& goOn);
    unsigned openConnections(ListenerId listener) const;
    const HttpCounters& counters(ListenerId listener) const
    {
        return m_listeners[static_cast<std::size_t>(listener)].counters;
    }

private:
    friend class HttpExchange;
    friend struct HttpCallbacks;
    struct Listener {
        int fd = -1;
        std::string address;
        Handler handler;
        unsigned maxConnections = 0; ///< 0 for no limit.
        std::set<std::shared_ptr<HttpConnection>> open;
        HttpCounters counters;
    };

    int openSocket(const std::string& address, std::string& bound) const;
    void accept(ListenerId listener);
    void dispatch(const ExchangePtr& exchange);
    void runTimers();
    Duration waitTime() const;
    void closeDeadExchanges();
    std::shared_ptr<HttpConnection> opened(int fd);

    MHD_Daemon* m_daemon = nullptr;
    int m_epoll = -1;
    std::vector<Listener> m_listeners;
    std::unordered_map<std::string, ListenerId> m_byAddress;
    std::multimap<Time, std::function<void()>> m_timers;
    std::set<HttpExchange*> m_suspended;
};

} // namespace sp::standin
