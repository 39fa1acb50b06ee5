/** @file http_client.h HTTP calls over libcurl for one thread, with exact knowledge of whether anything was sent. */
#pragma once

#include "time_type.h"
#include "work_type.h"

#include <curl/curl.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sp {

std::string urlEscaped(const std::string& text);

/** One call. */
struct HttpRequest {
    std::string url;
    bool post = true; ///< POST with a body, else GET.
    Payload body; ///< For POST; null for an empty one.
    std::vector<std::string> headers; ///< `Name: value`.
    std::chrono::milliseconds timeout { 0 }; ///< For the whole call; 0 for none.
    Time sendBefore {}; ///< A call that has not been sent by then ends unsent; unset for no limit.
    bool freshConnection = false; ///< Don't use an idle connection.
    std::function<bool(std::string_view)> onData; ///< Takes the body piece by piece; false ends the call.
};

/** How a call ended. */
struct HttpResult {
    bool sent = false; ///< A byte of the request may have reached the server.
    bool complete = false; ///< The whole answer is there.
    bool refused = false; ///< Nothing listens at the address: the process there has ended.
    long status = 0; ///< HTTP status, 0 if there was none.
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers; ///< Names in lower case.
    std::string detail; ///< What went wrong, for logs.
    Time sentAt {}; ///< When the request began to be sent, if sent.

    std::optional<std::string> header(std::string_view name) const;
};

/**
 * libcurl's multi interface behind one pollable descriptor. Not thread-safe. A request is never sent twice: libcurl
 * would repeat a request on a new connection when an idle one turns out to be dead, after bytes may have reached the
 * server; such a call ends as sent and not complete.
 */
class HttpClient {
public:
    using Handle = std::uint64_t; ///< Identifies a running call; never 0.
    using Done = std::function<void(HttpResult&&)>;

    /** Limits of the connections. */
    struct Limits {
        std::chrono::seconds maxAge { 300 }; ///< A connection is not used again after this age.
        std::chrono::seconds maxIdle { 10 }; ///< Nor after being idle for this time.
        std::chrono::milliseconds connectTimeout { 1000 };
        long maxHostConnections = 0; ///< Calls beyond it wait for a connection to their server; 0 for no limit.
        std::size_t maxBody = 8UL * 1024 * 1024; ///< A longer answer ends its call.
    };

    explicit HttpClient(const Limits& limits);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    ~HttpClient();

    Handle start(HttpRequest&& request, Done&& done);
    void abort(Handle handle);
    std::optional<Time> sentAt(Handle handle) const;
    int fd() const { return m_epollFd; }
    std::optional<Time> wakeAt() const { return m_wakeAt; }
    void process();
    std::size_t running() const { return m_running.size(); }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    struct Transfer;

    std::unique_ptr<Transfer> takeTransfer();
    void prepare(Transfer& transfer);
    void finish(Transfer& transfer, CURLcode code);
    void recycle(std::unique_ptr<Transfer> transfer);
    void readFinished();
    static int onSocket(CURL* easy, curl_socket_t socket, int what, void* self, void* known);
    static int onTimer(CURLM* multi, long timeoutMs, void* self);
    static int onPrerequest(void* transfer, char* primaryIp, char* localIp, int primaryPort, int localPort);
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* transfer);
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* transfer);

    const Limits m_limits;
    CURLM* m_multi = nullptr;
    int m_epollFd = -1;
    std::optional<Time> m_wakeAt;
    Handle m_lastHandle = 0;
    std::unordered_map<Handle, std::unique_ptr<Transfer>> m_running;
    std::vector<std::unique_ptr<Transfer>> m_idle;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace sp
