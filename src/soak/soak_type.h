/** @file soak_type.h Options and result of a randomised run. */
#pragma once

#include "fault_switches.h"
#include "id_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sp::soak {

/** Mechanisms around the core that a mutation test breaks; all off unless a test sets them. */
struct SoakMutations {
    bool targetsAcceptOldTerms = false; ///< Targets run starts of a lower term.
    bool hideRunningWork = false; ///< Reports of targets leave out the running work.
    bool swapAnswers = false; ///< A target's answer carries the body of another request.
    bool hideFinishedWork = false; ///< Reports of workers leave out the finished tasks.
    bool refuseAfterStart = false; ///< Targets run a request and then refuse it for its term.
    bool storeIgnoresCompares = false; ///< Transactions are written whatever their conditions.
    bool dropRunRecords = false; ///< The store answers writes of run records and doesn't keep them.
    bool hideLeaving = false; ///< Scheduler cores are told nothing of leaving targets, but count as told.
    bool forgetBundle = false; ///< A scheduler's announced version is now and then an older one.
    bool dropDrain = false; ///< A process that is asked to shut down ends without awaiting its calls.
};

/** What a run does. */
struct SoakOptions {
    std::uint64_t seed = 1;
    std::uint64_t steps = 100000; ///< Steps of 10 ms soak time.
    bool wholeCore = true; ///< Drives SchedulerCore; otherwise Ownership and Membership alone.
    bool faults = true; ///< Whether faults are injected.
    std::size_t traceLines = 200; ///< Lines of trace kept for a failure.
    FaultSwitches switches; ///< Broken mechanisms in the core, for mutation tests.
    SoakMutations mutations;
};

/** Outcome of a run. */
struct SoakResult {
    bool failed = false;
    std::uint64_t step = 0; ///< Step of the failure, or the last one.
    std::string failure; ///< Invariant and what was seen.
    std::vector<std::string> trace; ///< Last lines before the end.
    std::uint64_t traceHash = 0; ///< Hash of all lines, equal for equal seeds.
    std::vector<std::string> figures; ///< Counts and measured times, one a line.
};

bool breakMechanism(SoakOptions& options, const std::string& name);
std::vector<std::string> mechanisms();
SoakResult runSoak(const SoakOptions& options);

} // namespace sp::soak
