/** @file caller_server.h HTTP interface for callers over libmicrohttpd. */
#pragma once

#include "gateway/caller_request.h"
#include "gateway/request_table.h"
#include "metrics.h"

#include <array>
#include <atomic>
#include <functional>
#include <string>

struct MHD_Daemon;
struct MHD_Connection;

namespace sp {

/** What the server needs to know about its process. */
struct CallerServerConfig {
    HostId host;
    Incarnation incarnation;
    std::string listen; ///< `ip:port`, port 0 for a free one.
    unsigned threads = 2; ///< Threads that serve connections.
};

/** Serves callers. A connection that waits for a scheduler is suspended and takes no thread. */
class CallerServer {
public:
    CallerServer(CallerServerConfig config, RequestTable& table, Metrics& metrics);
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;
    ~CallerServer();
    bool start(std::string& problem);
    void stopAccepting();
    void stop();
    std::size_t active() const { return m_active.load(); }
    const std::string& boundAddress() const { return m_boundAddress; }

private:
    struct Call;
    struct Callbacks;
    friend struct Callbacks;

    Call* open(MHD_Connection* connection, const char* url, const char* method);
    int receive(Call& call, const char* data, std::size_t& size);
    int complete(MHD_Connection* connection, Call& call);
    void submit(MHD_Connection* connection, Call& call, LinkMessage&& message);
    int answerLocally(MHD_Connection* connection, Call& call);
    int answer(MHD_Connection* connection, Call& call, CallerAnswer&& answer);
    int answerProblem(MHD_Connection* connection, Call& call, const CallerProblem& problem);
    RequestId nextId();

    const CallerServerConfig m_config;
    RequestTable& m_table;
    Metrics& m_metrics;
    MHD_Daemon* m_daemon = nullptr;
    std::string m_boundAddress;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<std::size_t> m_active { 0 };
    std::atomic<std::size_t> m_heldBytes { 0 }; ///< Bodies of requests that are not answered yet.
    std::atomic<bool> m_draining { false };
    std::array<Counter*, 9> m_requests {}; ///< By CallerVerb.
    std::array<Counter*, static_cast<std::size_t>(ErrorKind::Count)> m_answers {}; ///< By ErrorKind.
    Histogram& m_latency;
    Histogram& m_wait;
};

} // namespace sp
