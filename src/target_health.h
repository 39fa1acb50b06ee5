/** @file target_health.h Finds workers that fail everything, and tells them apart from work that fails everywhere. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sp {

/** A worker that is taken out or tried again. */
struct HealthChange {
    std::uint32_t worker = 0; ///< Index of the worker.
    bool out = false; ///< True: no new work. False: one task at a time, or all work again.
    std::string reason;
};

/**
 * Circuit breaker per worker. A worker goes out after 5 failures in a row of at least 2 workloads. After a pause that
 * doubles with each failed trial it gets one task at a time, and it is back after 3 successes. Failures of a workload
 * that fails on most of the workers that ran it don't count against a worker.
 */
class TargetHealth {
public:
    void applyLimit(double share) { m_shareMax = share; }
    void setWorkerCount(std::size_t count) { m_workerCount = count; }
    std::vector<HealthChange> started(std::uint32_t worker);
    std::vector<HealthChange> ended(std::uint32_t worker, const WorkloadId& workload, bool success, Time now);
    std::vector<HealthChange> endedUnknown(std::uint32_t worker);
    std::vector<HealthChange> poll(Time now);
    void forget(std::uint32_t worker);
    bool isOut(std::uint32_t worker) const;
    std::size_t outCount() const { return m_out.size(); }
    std::size_t outLimit() const;
    bool failsEverywhere(const WorkloadId& workload) const;
    void checkInvariants() const;

private:
    struct Worker {
        std::uint32_t failuresInRow = 0;
        std::uint32_t successes = 0; ///< Without a failure between them.
        std::set<WorkloadId> failing; ///< Workloads of the failures in a row.
        bool out = false;
        bool onTrial = false; ///< Out, but the pause is over.
        std::uint32_t trialsRunning = 0;
        std::uint32_t trialSuccesses = 0;
        Duration pause {};
        Time retryAt {};
    };
    struct Workload {
        std::map<std::uint32_t, bool> failed; ///< Whether the last end on each worker was a failure.
        std::size_t failing = 0;
    };
    void note(const WorkloadId& workload, std::uint32_t worker, bool success);
    bool trip(std::uint32_t index, Worker& worker, Time now);
    HealthChange trialResult(std::uint32_t index, Worker& worker, bool success, Time now);

    double m_shareMax = 0.1;
    std::size_t m_workerCount = 0;
    std::map<std::uint32_t, Worker> m_workers;
    std::set<std::uint32_t> m_out;
    std::map<WorkloadId, Workload> m_workloads;
};

} // namespace sp
