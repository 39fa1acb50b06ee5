#include "standin/platform.h"

namespace sp::standin {

namespace {

    StoreSettings storeSettings(const Ini& settings)
    {
        return { settings.text("store", "", "listen"),
            static_cast<double>(settings.integer("store", "", "writes_per_second")),
            static_cast<double>(settings.integer("store", "", "reads_per_second")),
            settings.span("store", "", "latency"), settings.span("store", "", "slow_latency") };
    }

    RunTimeModel runTimeModel(const std::string& name, const Ini& settings)
    {
        RunTimeModel model;
        const std::string kind = settings.text("service", name, "distribution");
        if (kind == "exponential")
            model.kind = RunTimeModel::Kind::Exponential;
        else if (kind == "long_share")
            model.kind = RunTimeModel::Kind::LongShare;
        model.mean = std::chrono::milliseconds(settings.integer("service", name, "run_time_ms"));
        model.longShare = settings.real("service", name, "long_share");
        model.longFactor = settings.real("service", name, "long_factor");
        return model;
    }

    std::string targetName(const std::string& dataCentre, const std::string& group, const std::string& rest)
    {
        std::string name = dataCentre;
        return name.append("-").append(group).append("-").append(rest);
    }

    bool matches(const std::string& id, const std::string& pattern)
    {
        if (pattern.ends_with('*'))
            return id.starts_with(pattern.substr(0, pattern.size() - 1));
        return id == pattern;
    }

} // namespace

/** Opens all addresses and fills the host list. @param server Server. @param settings Checked settings. */
Platform::Platform(HttpServer& server, const Ini& settings)
    : m_server(server)
    , m_seed(static_cast<std::uint64_t>(settings.integer("random", "", "seed")))
    , m_listLag(settings.span("hosts", "", "list_lag"))
    , m_delay(std::chrono::milliseconds(settings.integer("network", "", "rtt_ms")))
    , m_store(server, storeSettings(settings), m_seed)
{
    m_control = server.listen(
        settings.text("control", "", "listen"), [this](const ExchangePtr& exchange) { handleControl(exchange); });
    for (const std::string& name : settings.sectionNames("service"))
        addService(name, settings);
    for (const std::string& name : settings.sectionNames("workers"))
        addWorkers(name, settings);
}

void Platform::addService(const std::string& name, const Ini& settings)
{
    const auto dataCentres = settings.list("service", name, "data_centres");
    const auto slots = settings.integer("service", name, "slots");
    const auto connections = settings.integer("service", name, "connections");
    for (std::int64_t i = 0; i < settings.integer("service", name, "instances"); ++i) {
        const std::string& dataCentre = dataCentres[static_cast<std::size_t>(i) % dataCentres.size()];
        const std::string id = targetName(dataCentre, name, std::to_string(i));
        Listed listed;
        listed.target = std::make_unique<Instance>(
            id, m_server, m_audit, m_seed, static_cast<unsigned>(slots), runTimeModel(name, settings));
        listed.entry = { { "kind", "instance" }, { "data_centre", dataCentre }, { "rack", dataCentre + "-s" },
            { "service", name }, { "slots", slots }, { "connections", connections } };
        // The report call has a connection of its own, and a new owner connects while the old one still is.
        add(std::move(listed), static_cast<unsigned>(connections) + 8, m_delay);
    }
}

void Platform::addWorkers(const std::string& name, const Ini& settings)
{
    const auto dataCentres = settings.list("workers", name, "data_centres");
    const auto rackSize = settings.integer("workers", name, "rack_size");
    WorkerSettings worker;
    worker.capacity = { settings.integer("workers", name, "cores") * 1000,
        settings.integer("workers", name, "memory_mb"), settings.integer("workers", name, "accelerators") };
    worker.reportLag = settings.span("workers", name, "report_lag");
    worker.usageMin = settings.real("workers", name, "usage_min");
    worker.usageMax = std::max(worker.usageMin, settings.real("workers", name, "usage_max"));
    for (std::int64_t i = 0; i < settings.integer("workers", name, "count"); ++i) {
        const auto count = static_cast<std::int64_t>(dataCentres.size());
        const std::string& dataCentre = dataCentres[static_cast<std::size_t>(i % count)];
        const std::string group = name.empty() ? std::string("w") : name;
        Listed listed;
        auto target = std::make_unique<Worker>(
            targetName(dataCentre, group, std::to_string(i)), m_server, m_audit, m_seed, worker);
        listed.worker = target.get();
        listed.target = std::move(target);
        listed.entry = { { "kind", "worker" }, { "data_centre", dataCentre },
            { "rack", targetName(dataCentre, group, "r" + std::to_string(i / count / rackSize)) },
            { "cores_milli", worker.capacity.coresMilli }, { "memory_mb", worker.capacity.memoryMb },
            { "accelerators", worker.capacity.accelerators } };
        add(std::move(listed), 0, m_delay);
    }
}

void Platform::add(Listed listed, unsigned maxConnections, Duration delay)
{
    listed.target->open("127.0.0.1:0", maxConnections, delay);
    listed.entry["address"] = listed.target->address();
    list(listed);
    m_targets.push_back(std::move(listed));
}

/** Writes the present state of a target into the host list; a target that is down is not in it. */
void Platform::list(const Listed& listed)
{
    const std::string key = "/platform/hosts/" + listed.target->id();
    if (listed.target->isDown()) {
        m_store.store().deleteRange({ key, {}, 0, 0 });
    } else {
        Json entry = listed.entry;
        entry["state"] = listed.target->isLeaving() ? "leaving" : "live";
        m_store.store().put(key, entry.dump());
    }
    m_store.platformChanged();
}

void Platform::listLater(const Listed& listed)
{
    m_server.after(m_listLag, [this, &listed] { list(listed); });
}

/**
 * Sets or ends a fault.
 * @param kind Kind of fault.
 * @param target Target id, a prefix with `*`, or `store` for target_silent; not used for faults of the store.
 * @param on True to set it.
 * @return False if the kind or the target is unknown.
 */
bool Platform::setFault(const std::string& kind, const std::string& target, bool on)
{
    if (setStoreFault(kind, target, on)) {
        ++m_faultsSet[kind];
        return true;
    }
    bool found = false;
    for (Listed& listed : m_targets) {
        if (matches(listed.target->id(), target))
            found = setTargetFault(kind, listed, on) || found;
    }
    if (found)
        ++m_faultsSet[kind];
    return found;
}

bool Platform::setStoreFault(const std::string& kind, const std::string& target, bool on)
{
    if (kind == "store_slow")
        m_store.setSlow(on);
    else if (kind == "store_down")
        m_store.setDown(on);
    else if (kind == "store_answer_lost")
        m_store.setAnswerLost(on);
    else if (kind == "target_silent" && target == "store")
        m_server.setSilent(m_store.listener(), on);
    else
        return false;
    return true;
}

bool Platform::setTargetFault(const std::string& kind, Listed& listed, bool on)
{
    if (kind == "host_leaving") {
        listed.target->setLeaving(on);
        listLater(listed);
    } else if (kind == "target_down") {
        listed.target->setDown(on);
        listLater(listed);
    } else if (kind == "target_silent") {
        listed.target->setSilent(on);
    } else if (kind == "worker_fails_all" && listed.worker) {
        listed.worker->setFailsAll(on);
    } else if (kind == "usage_late" && listed.worker) {
        listed.worker->setUsageLate(on);
    } else {
        return false;
    }
    return true;
}

Json Platform::targetsJson() const
{
    Json targets = Json::array();
    for (const Listed& listed : m_targets) {
        Json entry = listed.entry;
        entry["id"] = listed.target->id();
        entry["down"] = listed.target->isDown();
        entry["leaving"] = listed.target->isLeaving();
        entry["connections_open"] = m_server.openConnections(listed.target->listener());
        targets.push_back(std::move(entry));
    }
    return targets;
}

/** @return Counters of the store, the targets and the faults. */
Json Platform::statsJson() const
{
    HttpCounters sum;
    for (const Listed& listed : m_targets) {
        const HttpCounters& one = m_server.counters(listed.target->listener());
        sum.bytesIn += one.bytesIn;
        sum.bytesOut += one.bytesOut;
        sum.connections += one.connections;
    }
    Json targets = m_audit.statsJson();
    targets["bytes_in"] = sum.bytesIn;
    targets["bytes_out"] = sum.bytesOut;
    targets["connections"] = sum.connections;
    return { { "store", m_store.statsJson() }, { "targets", std::move(targets) }, { "faults", m_faultsSet } };
}

void Platform::handleControl(const ExchangePtr& exchange)
{
    const auto send = [&](const Json& body) { exchange->answer({ 200, body.dump() + "\n", {}, false }); };
    if (exchange->path == "/control/stats") {
        send(statsJson());
    } else if (exchange->path == "/control/targets") {
        send(targetsJson());
    } else if (exchange->path == "/control/runs") {
        send(m_audit.runsJson(exchange->query("prefix")));
    } else if (exchange->path == "/control/fault" && exchange->method == "POST") {
        const std::string on = exchange->query("on");
        if ((on == "true" || on == "false")
            && setFault(exchange->query("kind"), exchange->query("target"), on == "true"))
            send({ { "ok", true } });
        else
            exchange->answer({ 400, "{\"error\":\"unknown kind, target or value of on\"}\n", {}, false });
    } else {
        exchange->answer({ 404, "{}\n", {}, false });
    }
}

} // namespace sp::standin
