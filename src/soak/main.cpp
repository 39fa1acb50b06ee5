/** @file main.cpp Runs randomised faults against the deciding code and checks the invariants of design.md. */
#include "soak/soak_type.h"

#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the run; the same seed gives the same trace.");
DEFINE_uint64(steps, 100000, "Steps of 10 ms soak time.");
DEFINE_bool(whole_core, true, "Drive the whole core; otherwise ownership and membership alone.");
DEFINE_bool(faults, true, "Inject faults.");
DEFINE_string(break_mechanism, "", "Break one mechanism, to see that the run notices; 'list' names them.");
DEFINE_bool(print_trace, false, "Print the trace of a run without failure too.");
DEFINE_uint64(trace_lines, 200, "Lines of trace that a failure prints.");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Randomised runs with invariants. Exit status 1 and a trace if one is violated.");
    gflags::SetVersionString(SP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sp::soak::SoakOptions options;
    options.seed = FLAGS_seed;
    options.steps = FLAGS_steps;
    options.wholeCore = FLAGS_whole_core;
    options.faults = FLAGS_faults;
    options.traceLines = FLAGS_trace_lines;
    if (!FLAGS_break_mechanism.empty() && !sp::soak::breakMechanism(options, FLAGS_break_mechanism)) {
        for (const std::string& name : sp::soak::mechanisms())
            std::printf("%s\n", name.c_str());
        return 2;
    }
    const auto start = std::chrono::steady_clock::now();
    const sp::soak::SoakResult result = sp::soak::runSoak(options);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    for (const std::string& figure : result.figures)
        std::printf("%s\n", figure.c_str());
    if (result.failed || FLAGS_print_trace) {
        for (const std::string& line : result.trace)
            std::printf("%s\n", line.c_str());
    }
    if (result.failed)
        std::printf("FAILED seed %llu step %llu: %s\n", static_cast<unsigned long long>(options.seed),
            static_cast<unsigned long long>(result.step), result.failure.c_str());
    std::printf("seed %llu, %llu steps in %.1f s, trace %016llx: %s\n", static_cast<unsigned long long>(options.seed),
        static_cast<unsigned long long>(result.step), took.count(), static_cast<unsigned long long>(result.traceHash),
        result.failed ? "failed" : "all invariants held");
    return result.failed ? 1 : 0;
}
