#include "standin/store_service.h"

#include <algorithm>

namespace sp::standin {

namespace {

    constexpr std::chrono::milliseconds expiryPeriod { 50 }; ///< Leases end at most this much late.

    // Status codes of gRPC, which the JSON form of the interface repeats.
    constexpr int invalidArgument = 3;
    constexpr int notFound = 5;
    constexpr int resourceExhausted = 8;
    constexpr int failedPrecondition = 9;

} // namespace

/** @param server Server. @param settings Settings. @param seed Seed of the run. */
StoreService::StoreService(HttpServer& server, const StoreSettings& settings, std::uint64_t seed)
    : m_server(server)
    , m_settings(settings)
    , m_writes(settings.writesPerSecond)
    , m_reads(settings.readsPerSecond)
    , m_random(seed ^ 0x53544f5245ULL)
{
    m_listener = server.listen(settings.address, [this](const ExchangePtr& exchange) { handle(exchange); });
    server.after(expiryPeriod, [this] { expire(); });
}

/** Refuses all connections or serves again. Leases run on while it is down, so holders find them ended after an outage
 * longer than the time to live. @param on True for down. */
void StoreService::setDown(bool on)
{
    if (on == m_faults.down)
        return;
    m_faults.down = on;
    if (on) {
        m_server.closeListener(m_listener);
        m_watches.clear();
    } else {
        m_server.reopenListener(m_listener);
    }
}

/** Tells the watches that the platform itself has written. */
void StoreService::platformChanged() { feedWatches(); }

void StoreService::expire()
{
    if (const std::size_t expired = m_store.expireLeases(BootClock::now()); expired > 0) {
        m_leasesExpired += expired;
        feedWatches();
    }
    m_server.after(expiryPeriod, [this] { expire(); });
}

const std::map<std::string, StoreService::Call>& StoreService::calls()
{
    static const std::map<std::string, Call> all {
        { "/v3/kv/range", { "range", &StoreService::range, false } },
        { "/v3/kv/put", { "put", &StoreService::put, true } },
        { "/v3/kv/txn", { "txn", &StoreService::txn, true } },
        { "/v3/kv/deleterange", { "delete_range", &StoreService::deleteRange, true } },
        { "/v3/lease/grant", { "lease_grant", &StoreService::grant, true } },
        { "/v3/lease/keepalive", { "lease_keepalive", &StoreService::keepAlive, false } },
        { "/v3/lease/revoke", { "lease_revoke", &StoreService::revoke, true } },
        { "/v3/watch", { "watch", &StoreService::watch, false } },
    };
    return all;
}

void StoreService::handle(const ExchangePtr& exchange)
{
    const auto it = calls().find(exchange->path);
    if (it == calls().end() || exchange->method != "POST") {
        refuse(exchange, 404, notFound, "Not Found");
        return;
    }
    const Call& call = it->second;
    ++m_counts[call.name];
    m_bytes[call.name] += exchange->body.size();
    if (!(call.isWrite ? m_writes : m_reads).take(BootClock::now())) {
        ++m_limited;
        refuse(exchange, 429, resourceExhausted, "too many requests");
        return;
    }
    Duration delay = m_settings.latency;
    if (m_faults.slow) {
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        delay = std::chrono::duration_cast<Duration>(m_settings.slowLatency * spread(m_random));
    }
    // A call that has arrived takes effect even if its caller is gone by then.
    m_server.after(delay, [this, &call, exchange] {
        if (!m_faults.down)
            perform(call, exchange);
    });
}

void StoreService::perform(const Call& call, const ExchangePtr& exchange)
{
    try {
        (this->*call.perform)(Json::parse(exchange->body), exchange);
    } catch (const std::exception& problem) {
        refuse(exchange, 400, invalidArgument, problem.what());
    }
    if (call.isWrite)
        feedWatches();
}

void StoreService::refuse(const ExchangePtr& exchange, int status, int code, const std::string& message)
{
    exchange->answer({ status, errorJson(code, message).dump(), {}, false });
}

void StoreService::reply(const ExchangePtr& exchange, const Json& body, int status)
{
    exchange->answer({ status, body.dump(), {}, false });
}

void StoreService::range(const Json& request, const ExchangePtr& exchange)
{
    reply(exchange, rangeJson(m_store.range(parseRange(request)), m_store.revision()));
}

void StoreService::put(const Json& request, const ExchangePtr& exchange)
{
    const std::string value = jsonBytes(request, "value");
    if (value.size() > maxValue)
        return refuse(exchange, 400, invalidArgument, "request is too large");
    if (!m_store.put(jsonBytes(request, "key"), value, jsonNumber(request, "lease")))
        return refuse(exchange, 404, notFound, "requested lease not found");
    if (m_faults.answerLost) {
        ++m_answersLost;
        return exchange->answer({ 0, {}, {}, true });
    }
    reply(exchange, { { "header", headerJson(m_store.revision()) } });
}

void StoreService::txn(const Json& request, const ExchangePtr& exchange)
{
    const KvTxn txn = parseTxn(request);
    if (largestValue(txn) > maxValue)
        return refuse(exchange, 400, invalidArgument, "request is too large");
    const KvTxnResult result = m_store.txn(txn);
    if (result.leaseMissing)
        return refuse(exchange, 404, notFound, "requested lease not found");
    if (m_faults.answerLost) {
        ++m_answersLost;
        return exchange->answer({ 0, {}, {}, true });
    }
    reply(exchange, txnJson(result, m_store.revision()));
}

void StoreService::deleteRange(const Json& request, const ExchangePtr& exchange)
{
    const std::int64_t deleted = m_store.deleteRange(parseRange(request));
    Json body { { "header", headerJson(m_store.revision()) } };
    if (deleted > 0)
        body["deleted"] = std::to_string(deleted);
    reply(exchange, body);
}

void StoreService::grant(const Json& request, const ExchangePtr& exchange)
{
    const std::int64_t ttl = jsonNumber(request, "TTL");
    if (ttl <= 0)
        return refuse(exchange, 400, invalidArgument, "TTL must be positive");
    const std::int64_t id = m_store.grantLease(std::chrono::seconds(ttl), jsonNumber(request, "ID"), BootClock::now());
    if (id == 0)
        return refuse(exchange, 412, failedPrecondition, "lease already exists");
    reply(exchange,
        { { "header", headerJson(m_store.revision()) }, { "ID", std::to_string(id) }, { "TTL", std::to_string(ttl) } });
}

void StoreService::keepAlive(const Json& request, const ExchangePtr& exchange)
{
    const std::int64_t id = jsonNumber(request, "ID");
    Json result { { "header", headerJson(m_store.revision()) }, { "ID", std::to_string(id) } };
    // Like etcd's, the answer for a lease that has run out has no TTL.
    if (const auto ttl = m_store.keepLease(id, BootClock::now()))
        result["TTL"] = std::to_string(ttl->count());
    reply(exchange, { { "result", result } });
}

void StoreService::revoke(const Json& request, const ExchangePtr& exchange)
{
    if (!m_store.revokeLease(jsonNumber(request, "ID")))
        return refuse(exchange, 404, notFound, "requested lease not found");
    reply(exchange, { { "header", headerJson(m_store.revision()) } });
}

void StoreService::watch(const Json& request, const ExchangePtr& exchange)
{
    const Json& create = request.contains("createRequest") ? request["createRequest"] : request.at("create_request");
    Watch watch { exchange, parseRange(create),
        jsonNumber(create, create.contains("startRevision") ? "startRevision" : "start_revision") };
    if (watch.nextRevision == 0)
        watch.nextRevision = m_store.revision() + 1;
    exchange->startStream();
    const Json created { { "result", { { "header", headerJson(m_store.revision()) }, { "created", true } } } };
    exchange->pushStream(created.dump() + "\n");
    if (feed(watch))
        m_watches.push_back(std::move(watch));
}

bool StoreService::feed(Watch& watch)
{
    if (watch.exchange->isClosed())
        return false;
    std::vector<KvEvent> events;
    if (!m_store.eventsFrom(watch.range, watch.nextRevision, events)) {
        const Json cancelled { { "result",
            { { "header", headerJson(m_store.revision()) }, { "canceled", true },
                { "compact_revision", std::to_string(m_store.compactedRevision() + 1) } } } };
        watch.exchange->pushStream(cancelled.dump() + "\n");
        watch.exchange->endStream();
        return false;
    }
    watch.nextRevision = std::max(watch.nextRevision, m_store.revision() + 1);
    if (!events.empty()) {
        ++m_watchMessages;
        watch.exchange->pushStream(eventsJson(events, m_store.revision()).dump() + "\n");
    }
    return true;
}

void StoreService::feedWatches()
{
    std::erase_if(m_watches, [this](Watch& watch) { return !feed(watch); });
}

/** @return Counters of calls by kind, bytes, refusals. */
Json StoreService::statsJson() const
{
    const HttpCounters& http = m_server.counters(m_listener);
    return { { "calls", m_counts }, { "request_bytes", m_bytes }, { "limited", m_limited },
        { "answers_lost", m_answersLost }, { "watches", m_watches.size() }, { "watch_messages", m_watchMessages },
        { "leases_expired", m_leasesExpired }, { "keys", m_store.size() }, { "revision", m_store.revision() },
        { "bytes_in", http.bytesIn }, { "bytes_out", http.bytesOut }, { "connections", http.connections } };
}

} // namespace sp::standin
