/** @file platform.h The stand-in's parts joined: store, host list, targets, faults, statistics. */
#pragma once

#include "ini_text.h"
#include "standin/instance.h"
#include "standin/store_service.h"
#include "standin/worker.h"

#include <memory>

namespace sp::standin {

/** The platform that the scheduler meets. */
class Platform {
public:
    Platform(HttpServer& server, const Ini& settings);

    std::string storeAddress() const { return m_server.address(m_store.listener()); }
    std::string controlAddress() const { return m_server.address(m_control); }
    std::size_t targetCount() const { return m_targets.size(); }
    bool setFault(const std::string& kind, const std::string& target, bool on);
    Json statsJson() const;

private:
    struct Listed {
        std::unique_ptr<Target> target;
        Worker* worker = nullptr; ///< The same, if it is a worker.
        Json entry; ///< Entry of the host list without its state.
    };

    void addService(const std::string& name, const Ini& settings);
    void addWorkers(const std::string& name, const Ini& settings);
    void add(Listed listed, unsigned maxConnections, Duration delay);
    void list(const Listed& listed);
    void listLater(const Listed& listed);
    bool setTargetFault(const std::string& kind, Listed& listed, bool on);
    bool setStoreFault(const std::string& kind, const std::string& target, bool on);
    void handleControl(const ExchangePtr& exchange);
    Json targetsJson() const;

    HttpServer& m_server;
    Audit m_audit;
    std::uint64_t m_seed;
    Duration m_listLag;
    Duration m_delay;
    StoreService m_store;
    ListenerId m_control = -1;
    std::vector<Listed> m_targets;
    std::map<std::string, std::uint64_t> m_faultsSet; ///< Faults set by kind.
};

} // namespace sp::standin
