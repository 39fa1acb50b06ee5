/** @file store_service.h The key-value store over HTTP, with limits, latency and faults. */
#pragma once

#include "standin/http_server.h"
#include "standin/kv_json.h"

#include <random>

namespace sp::standin {

/** Settings of the store. */
struct StoreSettings {
    std::string address = "127.0.0.1:0";
    double writesPerSecond = 500;
    double readsPerSecond = 2000;
    Duration latency = std::chrono::milliseconds(2);
    Duration slowLatency = std::chrono::milliseconds(1500); ///< Latency under the fault store_slow.
};

/** Faults of the store. */
struct StoreFaults {
    bool slow = false;
    bool down = false;
    bool answerLost = false; ///< Writes take effect and the connection is closed without an answer.
};

/** Store service. */
class StoreService {
public:
    static constexpr std::size_t maxValue = 1U << 20U;

    StoreService(HttpServer& server, const StoreSettings& settings, std::uint64_t seed);

    KvStore& store() { return m_store; }
    ListenerId listener() const { return m_listener; }
    const StoreFaults& faults() const { return m_faults; }
    void setSlow(bool on) { m_faults.slow = on; }
    void setAnswerLost(bool on) { m_faults.answerLost = on; }
    void setDown(bool on);
    void platformChanged();
    Json statsJson() const;

private:
    /** One kind of call. */
    struct Call {
        const char* name;
        void (StoreService::*perform)(const Json& request, const ExchangePtr& exchange);
        bool isWrite;
    };
    struct Watch {
        ExchangePtr exchange;
        KvRange range;
        std::int64_t nextRevision = 0;
    };

    static const std::map<std::string, Call>& calls();
    void handle(const ExchangePtr& exchange);
    void perform(const Call& call, const ExchangePtr& exchange);
    void expire();
    void range(const Json& request, const ExchangePtr& exchange);
    void put(const Json& request, const ExchangePtr& exchange);
    void txn(const Json& request, const ExchangePtr& exchange);
    void deleteRange(const Json& request, const ExchangePtr& exchange);
    void grant(const Json& request, const ExchangePtr& exchange);
    void keepAlive(const Json& request, const ExchangePtr& exchange);
    void revoke(const Json& request, const ExchangePtr& exchange);
    void watch(const Json& request, const ExchangePtr& exchange);
    bool feed(Watch& watch);
    void feedWatches();
    void reply(const ExchangePtr& exchange, const Json& body, int status = 200);
    static void refuse(const ExchangePtr& exchange, int status, int code, const std::string& message);

    HttpServer& m_server;
    StoreSettings m_settings;
    KvStore m_store;
    StoreFaults m_faults;
    RateLimit m_writes;
    RateLimit m_reads;
    std::mt19937_64 m_random;
    ListenerId m_listener = -1;
    std::vector<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_counts; ///< Calls by kind.
    std::map<std::string, std::uint64_t> m_bytes; ///< Bytes of the requests by kind.
    std::uint64_t m_limited = 0;
    std::uint64_t m_answersLost = 0;
    std::uint64_t m_watchMessages = 0;
    std::uint64_t m_leasesExpired = 0;
};

} // namespace sp::standin
