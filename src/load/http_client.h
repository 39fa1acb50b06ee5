/** @file http_client.h Many HTTP calls at once through libcurl's multi interface, and timers, on the calling thread. */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using CURL = void;
using CURLM = void;
struct curl_slist;

namespace sp::load {

/** Call to make. */
struct HttpCall {
    const char* method = "GET";
    std::string url;
    std::string body;
    std::vector<std::string> headers;
    std::chrono::milliseconds timeout { 60000 };
};

/** Answer, or the lack of one. */
struct HttpReply {
    int status = 0; ///< 0 if there was no whole answer.
    std::string body;
    std::string requestId; ///< Header Sp-Request-Id.
    std::string error; ///< Reason if there was no answer.
    bool wasSent = false; ///< Whether anything may have reached the server.
};

/** Client. */
class HttpClient {
public:
    using Done = std::function<void(const HttpReply&)>;

    explicit HttpClient(unsigned connectionsPerHost);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void start(HttpCall call, Done done);
    void after(Duration delay, std::function<void()> action);
    void step(Duration longest);
    std::size_t pending() const { return m_active.size(); }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    struct Active {
        HttpCall call;
        HttpReply reply;
        Done done;
        curl_slist* headers = nullptr;
    };

    static std::size_t takeBody(char* data, std::size_t size, std::size_t count, void* active);
    static std::size_t takeHeader(char* data, std::size_t size, std::size_t count, void* active);
    CURL* takeHandle();
    void finish(CURL* handle, int result);
    void runTimers();

    CURLM* m_multi = nullptr;
    int m_timer = -1;
    std::vector<CURL*> m_idle;
    std::map<CURL*, std::unique_ptr<Active>> m_active;
    std::multimap<Time, std::function<void()>> m_timers;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace sp::load
