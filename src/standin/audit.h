/** @file audit.h Record of what the targets ran, independent of the scheduler, with every breach of an invariant. */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace sp::standin {

/** How a run ended. */
enum class RunEnd : std::uint8_t { Succeeded, Failed, Stopped, TargetLost };

/** Counters of the targets. */
struct AuditCounters {
    std::uint64_t requestsStarted = 0;
    std::uint64_t requestsFinished = 0;
    std::uint64_t tasksStarted = 0;
    std::uint64_t tasksSucceeded = 0;
    std::uint64_t tasksFailed = 0;
    std::uint64_t tasksStopped = 0;
    std::uint64_t taskLeasesEnded = 0;
    std::uint64_t tasksRepeated = 0; ///< Start calls for a task id that the worker already had.
    std::uint64_t reports = 0;
    std::uint64_t refusedFull = 0; ///< Starts that would have exceeded a capacity.
    std::uint64_t refusedTerm = 0;
    std::uint64_t refusedLeaving = 0;
    std::uint64_t badRequests = 0;
    std::uint64_t overcommits = 0; ///< Capacity was exceeded.
    std::uint64_t doubleRuns = 0; ///< A request or task ran twice.
    std::uint64_t staleStarts = 0; ///< Something started under a lower term than the highest seen.
};

/** Where and how often each request id, task id and uid was started. */
class Audit {
public:
    static constexpr std::size_t maxRuns = 2000000; ///< Runs remembered; later ones are counted but not checked.

    AuditCounters counters;

    void requestStarted(const std::string& id, const std::string& uid, const std::string& target);
    void requestEnded(const std::string& id, const std::string& uid, RunEnd end);
    void taskStarted(const std::string& id, const std::string& uid, bool once, const std::string& target);
    void taskEnded(const std::string& id, const std::string& uid, RunEnd end);
    void overcommitted(const std::string& target, const std::string& detail);
    void staleStart(const std::string& target, const std::string& id);
    nlohmann::json statsJson() const;
    nlohmann::json runsJson(const std::string& prefix) const;

private:
    struct Run {
        std::uint32_t starts = 0;
        std::uint32_t running = 0;
        std::uint32_t succeeded = 0;
        std::int64_t firstStartUs = 0; ///< CLOCK_BOOTTIME, to compare with a load generator on the same host.
        std::int64_t lastStartUs = 0;
        std::string lastTarget;
    };

    Run* find(const std::string& id);
    static void note(Run& run);
    void began(Run& run, const std::string& id, const std::string& target, bool isDouble);
    void ended(const std::string& id, RunEnd end);
    void violation(std::string text);

    std::unordered_map<std::string, Run> m_runs; ///< By request id or task id.
    std::unordered_map<std::string, Run> m_uids;
    std::deque<std::string> m_violations; ///< The first ones, for people.
};

} // namespace sp::standin
