/** @file scheduler_daemon.h The scheduler: core and I/O threads joined by bounded rings. */
#pragma once

#include "admin_server.h"
#include "etcd_store.h"
#include "metrics.h"
#include "peer_link.h"
#include "ring.h"
#include "scheduler_core.h"
#include "settings.h"
#include "target_client.h"

#include <array>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace sp {

/** Question of the admin interface, answered on the deciding thread. */
struct AdminQuestion {
    std::string explainId; ///< Empty: the status is asked for.
    std::shared_ptr<std::promise<std::string>> answer;
};

using DecideItem = std::variant<Event, AdminQuestion>;

/** Runs the core on the calling thread and its I/O on threads of their own. */
class SchedulerDaemon {
public:
    explicit SchedulerDaemon(SchedulerSettings settings);
    bool start(std::string& problem);
    void run(int stopFd);
    const std::string& linkAddress() const { return m_link.boundAddress(); }
    const std::string& adminAddress() const { return m_admin.boundAddress(); }

private:
    CoreConfig coreConfig() const;
    void received(ReplyRoute&& route, LinkFrame&& frame);
    void takeRequest(const ReplyRoute& route, const RequestId& id, Event&& event);
    void unsent(const HostId& to, LinkMessage&& message);
    void post(Event&& event) { m_ring.push(DecideItem(std::move(event))); }
    std::string ask(const std::string& explainId);
    bool hasEnded(Time now) const;
    void decide(std::vector<DecideItem>&& items, Time now);
    void handle(const Event& event, Time now);
    void answerAdmin(const AdminQuestion& question, Time now);
    void perform(Action&& action);
    void performReadiness(const ReadinessChanged& action);
    void requestDrain(Time now);
    void updateMetrics();

    const SchedulerSettings m_settings;
    const Incarnation m_incarnation;
    Metrics m_metrics;
    Ring<DecideItem> m_ring;
    std::array<Counter*, std::variant_size_v<Event>> m_events {};
    Counter& m_queueFull;
    Histogram& m_batchTime;
    Gauge& m_cpu;
    Gauge& m_ringSize;
    Gauge& m_logDropped;
    std::mutex m_readinessMutex;
    bool m_ready = false; ///< Guarded by m_readinessMutex, as the reason.
    std::string m_readinessReason = "starting";
    std::optional<Time> m_drainUntil;
    std::optional<Time> m_drainedAt;
    std::unique_ptr<SchedulerCore> m_core; ///< Made in start(), since it announces the bound address.
    PeerLink m_link;
    TargetClient m_targets;
    EtcdStore m_store;
    AdminServer m_admin;
};

} // namespace sp
