/** @file load_stats.h Figures of a load run and their text and CSV forms. */
#pragma once

#include "load/load_plan.h"
#include "work_type.h"

#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sp::load {

/** Waiting times of one kind, kept one by one for exact quantiles. */
class Samples {
public:
    void add(double value) { m_values.push_back(value); }
    std::size_t count() const { return m_values.size(); }
    double quantile(double q) const;

private:
    mutable std::vector<double> m_values;
    mutable std::size_t m_sorted = 0;
};

/** Counters of one class of work. */
struct ClassStats {
    std::uint64_t sent = 0;
    std::uint64_t ok = 0; ///< Prompt: whole answer. Job: done.
    std::uint64_t accepted = 0; ///< Jobs accepted.
    std::uint64_t noAnswer = 0; ///< Calls without a whole answer.
    std::uint64_t wrongAnswers = 0; ///< Not the own answer, not whole, or a success that was none.
    std::uint64_t wronglyNotRun = 0; ///< Told not_run although the stand-in ran it.
    std::uint64_t cancelsSent = 0;
    std::uint64_t unfinished = 0; ///< No final answer before the end of the run.
    std::map<std::string, std::uint64_t> byKind; ///< Answers by error kind.
    std::map<std::string, std::uint64_t> byOutcome; ///< Error answers by outcome.
    Samples waitMs; ///< From the arrival to the start on the target.
    Samples overheadMs; ///< From the arrival to the answer, without the run time.
    Samples refusalMs; ///< From the arrival to a refusal.
};

/** CPU time of a process under measurement. */
struct ProcessCost {
    std::string name;
    int pid = 0;
    double firstSeconds = -1; ///< CPU time at the start; negative if it can't be read.
    double lastSeconds = 0;
    long peakMemoryKb = 0;
};

/** Numbers of the store and the targets from the stand-in, now. */
struct PlatformCounts {
    std::map<std::string, double> values; ///< By dotted name.
};

/** Figures of a run. */
struct LoadStats {
    std::map<WorkClass, ClassStats> classes;
    std::vector<ProcessCost> processes;
    PlatformCounts before;
    PlatformCounts after;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    double elapsedSeconds = 0;
    std::int64_t startMs = 0; ///< Start on CLOCK_BOOTTIME, to compare with other records of the host.
    std::vector<std::string> faults; ///< The first wrong answers, for people.

    void addFault(std::string text);
    std::vector<std::pair<std::string, std::string>> summary() const;
    std::string text() const;
    bool isClean() const;
};

std::vector<ProcessCost> parseProcesses(const std::string& list);
void readCost(ProcessCost& process);

/** One CSV line for each second. */
class SecondLog {
public:
    SecondLog(const std::string& file, const std::vector<ProcessCost>& processes);
    ~SecondLog();
    SecondLog(const SecondLog&) = delete;
    SecondLog& operator=(const SecondLog&) = delete;

    std::uint64_t sent = 0; ///< In the present second.
    std::uint64_t ok = 0;
    std::uint64_t refused = 0;
    std::uint64_t errors = 0;
    Samples waitMs;
    void write(double second, std::size_t inFlight, std::vector<ProcessCost>& processes, const PlatformCounts& counts);

private:
    std::FILE* m_file = nullptr;
    std::map<std::string, double> m_lastCpu;
    double m_lastCalls = 0;
};

} // namespace sp::load
