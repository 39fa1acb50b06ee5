/** @file gateway.h The gateway: HTTP server, request table and link joined. */
#pragma once

#include "gateway/caller_server.h"
#include "peer_link.h"

namespace sp {

/** Serves callers and forwards their requests to the schedulers of the data centre. */
class Gateway {
public:
    explicit Gateway(GatewaySettings settings);
    bool start(std::string& problem);
    void drain();
    const std::string& boundAddress() const { return m_server.boundAddress(); }

private:
    void received(LinkFrame&& frame);
    void ticked(Time now);

    const GatewaySettings m_settings;
    const Incarnation m_incarnation;
    Metrics m_metrics;
    Gauge& m_cpu;
    Gauge& m_pending;
    Gauge& m_late;
    Gauge& m_failovers;
    std::optional<Time> m_nextHeartbeat;
    RequestTable m_table;
    PeerLink m_link;
    CallerServer m_server;
};

} // namespace sp
