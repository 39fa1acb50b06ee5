#include "etcd_store.h"

#include "log_func.h"

#include <algorithm>
#include <poll.h>
#include <random>

namespace sp {

namespace {

    constexpr std::size_t ringCapacity = 4096; ///< Soft: actions of the core are added even past it.
    constexpr std::size_t maxWatchLine = 64UL * 1024 * 1024; ///< A batch may hold many values of 1 MB in base64.
    constexpr std::chrono::milliseconds firstBackOff { 100 };
    constexpr std::chrono::milliseconds maxBackOff { 5000 };

    HttpRequest requestTo(const std::string& address, const char* path, std::string body)
    {
        HttpRequest request;
        request.url = "http://" + address + path;
        request.body = std::make_shared<const std::string>(std::move(body));
        request.headers = { "Content-Type: application/json" };
        return request;
    }

    HttpClient::Limits storeLimits()
    {
        HttpClient::Limits limits;
        limits.maxBody = 256UL * 1024 * 1024; // A prefix may hold some hundred values of up to 1 MB.
        return limits;
    }

} // namespace

/**
 * Starts the thread.
 * @param config Address and times.
 * @param metrics Registry for the counters.
 * @param sink Receives StoreReply and StoreWatchBatch on the store's thread.
 */
EtcdStore::EtcdStore(Config config, Metrics& metrics, EventSink sink)
    : m_config(std::move(config))
    , m_sink(std::move(sink))
    , m_ring(ringCapacity)
    , m_calls(storeLimits())
    , m_watchClient(storeLimits())
    , m_watchCount(metrics.counter("sp_store_calls_total{kind=\"watch\"}", "Calls to the store by kind."))
    , m_latency(metrics.histogram("sp_store_seconds", "Time of calls to the store."))
{
    const std::array<StoreRequest, 5> kinds { StoreTxn {}, StoreRange {}, StoreLeaseGrant {}, StoreLeaseKeepAlive {},
        StoreLeaseRevoke {} };
    for (std::size_t i = 0; i < kinds.size(); ++i)
        m_callCounts[i] = &metrics.counter(std::string("sp_store_calls_total{kind=\"") + etcdCallName(kinds[i]) + "\"}",
            "Calls to the store by kind.");
    m_jitter = std::random_device {}();
    m_thread = std::thread([this] { loop(); });
}

EtcdStore::~EtcdStore() { stop(); }

/** Hands an action to the thread. @param action Action. */
void EtcdStore::post(StoreAction&& action) { m_ring.push(std::move(action)); }

/** Ends the thread; calls in flight get no event. */
void EtcdStore::stop()
{
    if (m_stopping.exchange(true))
        return;
    m_ring.wake();
    m_thread.join();
}

void EtcdStore::loop()
{
    while (!m_stopping.load(std::memory_order_relaxed)) {
        std::array<pollfd, 3> fds { pollfd { m_ring.wakeFd(), POLLIN, 0 }, pollfd { m_calls.fd(), POLLIN, 0 },
            pollfd { m_watchClient.fd(), POLLIN, 0 } };
        poll(fds.data(), fds.size(), waitMs(BootClock::now()));
        for (StoreAction& action : m_ring.drain())
            std::visit([this](auto& typed) { apply(typed); }, action);
        m_calls.process();
        m_watchClient.process();
        checkWatches(BootClock::now());
    }
}

int EtcdStore::waitMs(Time now) const
{
    Time until = now + std::chrono::milliseconds(100);
    for (const auto& at : { m_calls.wakeAt(), m_watchClient.wakeAt() }) {
        if (at)
            until = std::min(until, *at);
    }
    return static_cast<int>(
        std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(until - now).count()));
}

void EtcdStore::apply(CallStore& action)
{
    m_callCounts[action.request.index()]->add();
    HttpRequest request = requestTo(m_config.address, etcdPath(action.request), etcdBody(action.request));
    request.timeout = m_config.timeout;
    const Time startedAt = BootClock::now();
    m_calls.start(std::move(request),
        [this, startedAt, ticket = action.ticket, call = std::move(action.request)](HttpResult&& result) {
            StoreReply reply = parseEtcdAnswer(call, result);
            reply.ticket = ticket;
            if (!result.sent)
                reply.sentAt = startedAt;
            m_latency.record(BootClock::now() - startedAt);
            m_sink(std::move(reply));
        });
}

void EtcdStore::apply(WatchStore& action)
{
    Watch& watch = m_watches[action.prefix];
    if (watch.handle != 0)
        m_watchClient.abort(watch.handle);
    watch = {};
    watch.prefix = action.prefix;
    watch.next = action.from;
    openWatch(watch, BootClock::now());
}

void EtcdStore::openWatch(Watch& watch, Time now)
{
    m_watchCount.add();
    HttpRequest request = requestTo(m_config.address, "/v3/watch", etcdWatchBody(watch.prefix, watch.next));
    request.freshConnection = true;
    request.onData = [this, prefix = watch.prefix](std::string_view data) { return takeWatchData(prefix, data); };
    watch.since = now;
    watch.confirmed = false;
    watch.partial.clear();
    watch.handle = m_watchClient.start(std::move(request), [this, prefix = watch.prefix](HttpResult&& /*result*/) {
        const auto it = m_watches.find(prefix);
        if (it == m_watches.end())
            return;
        it->second.handle = 0; // The stream has ended by itself.
        closeWatch(it->second, BootClock::now(), true);
    });
}

/** Plans the next start: at once for a watch that is only old, with a growing jittered pause after a failure. */
void EtcdStore::closeWatch(Watch& watch, Time now, bool failed)
{
    if (watch.handle != 0)
        m_watchClient.abort(watch.handle);
    watch.handle = 0;
    watch.retryAt = now;
    if (!failed)
        return;
    watch.backOff = std::clamp(watch.backOff * 2, firstBackOff, maxBackOff);
    m_jitter = m_jitter * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto half = watch.backOff.count() / 2;
    watch.retryAt = now + std::chrono::milliseconds(half + static_cast<std::int64_t>((m_jitter >> 33U) % (half + 1)));
}

bool EtcdStore::takeWatchData(const std::string& prefix, std::string_view data)
{
    const auto it = m_watches.find(prefix);
    if (it == m_watches.end())
        return false;
    Watch& watch = it->second;
    if (watch.partial.size() + data.size() > maxWatchLine)
        return false;
    watch.partial.append(data);
    std::size_t begin = 0;
    for (auto end = watch.partial.find('\n'); end != std::string::npos; end = watch.partial.find('\n', begin)) {
        if (end > begin && !takeWatchLine(watch, std::string_view(watch.partial).substr(begin, end - begin)))
            return false;
        begin = end + 1;
    }
    watch.partial.erase(0, begin);
    return true;
}

/** @return False if the stream is of no use any more. */
bool EtcdStore::takeWatchLine(Watch& watch, std::string_view line)
{
    auto message = parseEtcdWatchLine(line);
    if (!message || message->canceled) {
        logWarning(
            LogPart::Store, "Watch of " + watch.prefix + (message ? " was cancelled." : " sent a malformed line."));
        return false;
    }
    if (message->created) {
        watch.confirmed = true;
        watch.backOff = std::chrono::milliseconds(0);
    }
    if (message->batch.puts.empty() && message->batch.deletes.empty())
        return true;
    watch.next = Revision(message->batch.revision.value + 1);
    message->batch.prefix = watch.prefix;
    m_sink(std::move(message->batch));
    return true;
}

void EtcdStore::checkWatches(Time now)
{
    for (auto& [prefix, watch] : m_watches) {
        if (watch.handle != 0 && now - watch.since >= m_config.watchAge)
            closeWatch(watch, now, false);
        else if (watch.handle != 0 && !watch.confirmed && now - watch.since >= m_config.watchCreation)
            closeWatch(watch, now, true);
        if (watch.handle == 0 && now >= watch.retryAt)
            openWatch(watch, now);
    }
}

/**
 * Blocking access for the operators' command line.
 * @param address `ip:port` of the store.
 * @param timeout A call without an answer for this time is lost.
 * @return Hooks; for one thread.
 */
StoreHooks makeEtcdHooks(const std::string& address, std::chrono::milliseconds timeout)
{
    auto client = std::make_shared<HttpClient>(storeLimits());
    return { [client, address, timeout](const StoreRequest& call) {
        HttpRequest request = requestTo(address, etcdPath(call), etcdBody(call));
        request.timeout = timeout;
        std::optional<StoreReply> reply;
        client->start(std::move(request), [&](HttpResult&& result) { reply = parseEtcdAnswer(call, result); });
        while (!reply) {
            const Time now = BootClock::now();
            const auto left = client->wakeAt() ? std::chrono::ceil<std::chrono::milliseconds>(*client->wakeAt() - now)
                                               : std::chrono::milliseconds(100);
            pollfd waitFor { client->fd(), POLLIN, 0 };
            poll(&waitFor, 1, static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 100)));
            client->process();
        }
        return *reply;
    } };
}

} // namespace sp
