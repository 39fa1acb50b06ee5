/** @file load_runner.h Sends the arrivals of a plan at their times, whatever the system's speed, and checks all
 * answers. */
#pragma once

#include "load/http_client.h"
#include "load/load_stats.h"

#include <nlohmann/json.hpp>

namespace sp::load {

/** How to reach the system. */
struct LoadOptions {
    std::vector<std::string> gateways; ///< `ip:port`.
    std::string direct; ///< Instance that gets the prompt requests without gateways, empty for none.
    std::string control; ///< Control address of the stand-in, empty for none.
    std::string secondsFile; ///< CSV with a line for each second, empty for none.
    std::string resultsFile; ///< CSV with a line for each piece of work, empty for none.
    std::string uidPrefix;
    std::string processes; ///< `name=pid,...`.
    bool showsProgress = false;
};

/** Runs a workload file. */
class LoadRunner {
public:
    LoadRunner(LoadSpec spec, LoadOptions options);
    ~LoadRunner();
    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    LoadStats run(const std::function<bool()>& goOn);

private:
    /** A piece of work under way. */
    struct Item {
        Arrival arrival;
        Time arrivedAt {};
        std::string jobId;
        std::string kind; ///< Name of the error or final phase.
        std::string outcome;
        bool isFinal = false;
        bool isReleased = false;
    };
    using ItemPtr = std::shared_ptr<Item>;

    const WorkSpec& work(const Item& item) const { return m_spec.work[item.arrival.work]; }
    ClassStats& stats(const Item& item) { return m_stats.classes[work(item).workClass]; }
    std::vector<std::string> callerHeaders(const Item& item) const;
    void startDue(LoadPlan& plan, std::optional<Arrival>& next);
    void begin(Arrival arrival);
    void callGateway(HttpCall call, const std::string& path, HttpClient::Done done);
    void callGatewayAt(
        HttpCall call, const std::string& path, std::size_t index, std::size_t tries, HttpClient::Done done);
    void sendPrompt(const ItemPtr& item);
    void sendDirect(const ItemPtr& item);
    void sendJob(const ItemPtr& item);
    void cancelLater(const ItemPtr& item, const std::string& path);
    void promptAnswered(const ItemPtr& item, const HttpReply& reply);
    std::string checkAnswer(const Item& item, const HttpReply& reply);
    void jobAnswered(const ItemPtr& item, const HttpReply& reply);
    void pollJob(const ItemPtr& item);
    void jobPolled(const ItemPtr& item, const HttpReply& reply);
    void releaseLater(const ItemPtr& item);
    void errorAnswered(const ItemPtr& item, const HttpReply& reply);
    void finish(const ItemPtr& item, const std::string& kind, const std::string& outcome);
    void readPlatform(PlatformCounts& counts);
    void readPlatformNow(PlatformCounts& counts);
    void checkRuns();
    void checkRun(const Item& item, const nlohmann::json& run);
    void everySecond(double second);

    LoadSpec m_spec;
    LoadOptions m_options;
    HttpClient m_client;
    LoadStats m_stats;
    SecondLog m_seconds;
    std::FILE* m_results = nullptr;
    Time m_start {};
    std::size_t m_nextGateway = 0;
    std::size_t m_openItems = 0;
    std::size_t m_polling = 0; ///< Job queries that wait at a gateway.
    std::vector<ItemPtr> m_items; ///< Jobs, and prompt requests that were told not_run.
    std::map<std::string, ItemPtr> m_open;
    PlatformCounts m_counts;
};

} // namespace sp::load
