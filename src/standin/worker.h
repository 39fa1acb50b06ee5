/** @file worker.h Worker that runs tasks under leases. */
#pragma once

#include "resource_type.h"
#include "standin/target.h"

#include <deque>

namespace sp::standin {

/** What a worker's owner may set. */
struct WorkerSettings {
    Resources capacity;
    Duration reportLag { 0 }; ///< Usage is reported as it was this long ago.
    double usageMin = 1; ///< Smallest used share of a declared size.
    double usageMax = 1; ///< Largest used share of a declared size.
    std::chrono::milliseconds finishedKept { 600000 }; ///< Finished tasks are reported for this time.
};

/** Worker. */
class Worker : public Target {
public:
    Worker(std::string id, HttpServer& server, Audit& audit, std::uint64_t seed, const WorkerSettings& settings);
    void setFailsAll(bool failsAll) { m_failsAll = failsAll; }
    void setUsageLate(bool late) { m_usageLate = late; }

protected:
    void handle(const ExchangePtr& exchange) override;
    nlohmann::json reportBody(std::uint64_t since) override;
    void reported() override;
    void lose() override;

private:
    struct Task {
        Resources size;
        Resources used;
        std::string uid;
        Duration lease { 0 };
        Time leaseEnd {};
        Time startedAt {};
        std::uint64_t run = 0; ///< Tells two starts of the same id apart.
    };
    struct Finished {
        Time at {};
        std::uint64_t seq = 0; ///< Number of the report in which it is new.
        std::string id;
        const char* end = "";
        std::string result;
    };

    void start(const ExchangePtr& exchange);
    void begin(const std::string& id, const nlohmann::json& spec, Task task);
    void stop(const ExchangePtr& exchange);
    void end(const std::string& id, RunEnd how, std::string result);
    void checkLease(const std::string& id, std::uint64_t run);
    bool knows(const std::string& id) const;

    WorkerSettings m_settings;
    bool m_failsAll = false;
    bool m_usageLate = false;
    std::uint64_t m_runs = 0;
    Resources m_given;
    std::map<std::string, Task> m_tasks;
    std::deque<Finished> m_finished;
};

} // namespace sp::standin
