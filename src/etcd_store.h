/** @file etcd_store.h Store interface over etcd's v3 JSON, as a thread and as blocking hooks. */
#pragma once

#include "core_type.h"
#include "etcd_codec.h"
#include "metrics.h"
#include "ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <thread>
#include <variant>

namespace sp {

using StoreAction = std::variant<CallStore, WatchStore>;

/** Calls the store in a thread of its own; every call gets a StoreReply, also while the store is away. */
class EtcdStore {
public:
    using EventSink = std::function<void(Event&&)>; ///< Called on the store's thread.

    /** Address and times of the store. */
    struct Config {
        std::string address; ///< `ip:port`.
        std::chrono::milliseconds timeout { 2000 }; ///< A call without an answer for this time is lost.
        std::chrono::milliseconds watchAge { 60000 }; ///< A watch of this age is replaced.
        std::chrono::milliseconds watchCreation { 3000 }; ///< A watch that is not confirmed in this time is replaced.
    };

    EtcdStore(Config config, Metrics& metrics, EventSink sink);
    EtcdStore(const EtcdStore&) = delete;
    EtcdStore& operator=(const EtcdStore&) = delete;
    ~EtcdStore();
    void post(StoreAction&& action);
    void stop();

private:
    struct Watch {
        std::string prefix;
        Revision next; ///< First revision not delivered yet.
        HttpClient::Handle handle = 0; ///< 0 while it waits for its next start.
        std::string partial; ///< Beginning of a line.
        bool confirmed = false;
        Time since {};
        Time retryAt {};
        std::chrono::milliseconds backOff { 0 };
    };

    void loop();
    void apply(CallStore& action);
    void apply(WatchStore& action);
    void openWatch(Watch& watch, Time now);
    void closeWatch(Watch& watch, Time now, bool failed);
    bool takeWatchData(const std::string& prefix, std::string_view data);
    bool takeWatchLine(Watch& watch, std::string_view line);
    void checkWatches(Time now);
    int waitMs(Time now) const;

    const Config m_config;
    const EventSink m_sink;
    Ring<StoreAction> m_ring;
    HttpClient m_calls;
    HttpClient m_watchClient;
    std::map<std::string, Watch> m_watches;
    std::array<Counter*, 5> m_callCounts {};
    Counter& m_watchCount;
    Histogram& m_latency;
    std::uint64_t m_jitter = 0x9e3779b97f4a7c15ULL;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

StoreHooks makeEtcdHooks(const std::string& address, std::chrono::milliseconds timeout);

} // namespace sp
