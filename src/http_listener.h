/** @file http_listener.h HTTP server on one address that runs inside the caller's event loop. */
#pragma once

#include "byte_budget.h"
#include "metrics.h"
#include "time_type.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

struct MHD_Daemon;
struct MHD_Connection;

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

/** Limits of a request. They may change while the listener serves. */
struct RequestLimits {
    std::size_t maxBody = 1024UL * 1024; ///< A request with a longer body is refused.
    std::size_t maxHeader = 16UL * 1024; ///< Request line and headers.
    std::chrono::milliseconds headerTimeout { 3000 }; ///< From the first byte of a request to the end of its headers.
    std::chrono::milliseconds bodyTimeout { 15000 }; ///< For a whole body, and for the client to take an answer.
    std::chrono::milliseconds idleTimeout { 15000 }; ///< A connection without a request for this time is closed.
};

/** What a listener serves. */
struct HttpListenerConfig {
    std::string listen; ///< `ip:port`.
    std::vector<std::string> keepHeaders; ///< Headers that the handler wants to see.
    RequestLimits limits {};
    unsigned maxConnections = 2000; ///< Leaves descriptors for the process's own calls.
    ByteUse use = ByteUse::Cell;
    ByteBudget* budget = nullptr; ///< Shared with the other listeners; null for no limit of the bytes of all requests.
    Metrics* metrics = nullptr;
    int receiveBuffer = 0; ///< Kernel buffer of a connection in bytes; 0 for the system's default.
};

/** Why a request was refused or a connection was ended by the listener. */
enum class EndReason {
    BodyAnnounced, ///< Refused: the announced body is over the limit.
    BodyReceived, ///< The body has passed the limit.
    HeaderSize, ///< Refused: the headers are over the limit.
    NoRoom, ///< Refused: the budget has no room for the announced body.
    NoRoomReceiving, ///< The budget has no room for the next part of a body.
    Displaced, ///< The body was ended to make room for another one.
    Connections, ///< There were too many connections.
    HeaderTime, ///< The headers were not complete in time.
    BodyTime, ///< The body was not complete in time.
    AnswerTime, ///< The client did not take the answer in time.
    Idle, ///< No request came for the permitted time.
};
constexpr std::size_t endReasonCount = 11;

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
    void setLimits(const RequestLimits& limits) { m_limits = limits; }
    std::size_t openCalls() const { return m_calls.size(); }
    std::size_t openConnections() const { return m_connections.size(); }
    std::uint64_t ended(EndReason reason) const { return m_ends[static_cast<std::size_t>(reason)].count; }
    std::uint16_t port() const;

private:
    struct Callbacks;
    friend struct Callbacks;
    struct Call;
    struct Connection;

    /** Ends for one reason. */
    struct Ends {
        std::uint64_t count = 0;
        std::uint64_t logged = 0; ///< Count at the last log line.
        Time loggedAt {};
        Counter* counter = nullptr;
    };
    /** A connection that was closed after a refusal, from which the rest of the request is read and dropped. */
    struct Lingering {
        int fd = -1;
        Time until {};
        std::size_t bytes = 0; ///< To be dropped at most.
    };

    bool makeRoom(Connection& connection, std::size_t body, std::size_t more);
    bool takeBytes(Connection& connection, std::size_t body, std::size_t more);
    void releaseBytes(Connection& connection);
    void end(Connection& connection, EndReason reason);
    void count(EndReason reason);
    void logEnds();
    void limitConnections();
    void checkTimes();
    void dropLingering();
    void linger(int fd);

    const HttpListenerConfig m_config;
    RequestLimits m_limits;
    const Handler m_handler;
    MHD_Daemon* m_daemon = nullptr;
    int m_epollFd = -1;
    bool m_closing = false; ///< Answers ask the client to close the connection.
    bool m_resumed = false; ///< An answer waits to be written.
    std::set<Call*> m_calls; ///< Requests without a complete answer.
    std::unordered_map<MHD_Connection*, std::unique_ptr<Connection>> m_connections;
    std::vector<Lingering> m_lingering;
    std::array<Ends, endReasonCount> m_ends;
    Gauge* m_bytesHeld = nullptr;
    Time m_now {}; ///< Time at which process() began.
    Time m_checkTimesAt {};
    bool m_endsToLog = false;
};

} // namespace sp
