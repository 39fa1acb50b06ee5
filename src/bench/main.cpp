/** @file main.cpp Runs the registered benchmarks and prints one line for each figure: name value unit target verdict.
 */
#include "bench/bench_func.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <map>

DEFINE_uint64(seed, 1, "Seed of the input.");
DEFINE_bool(quick, false, "Small input, for a smoke test.");
DEFINE_string(only, "", "Run only benchmarks whose name contains this text.");

namespace sp::bench {

namespace {

    std::map<std::string, Benchmark>& benchmarks()
    {
        static std::map<std::string, Benchmark> all;
        return all;
    }

    void print(const Figure& figure)
    {
        const char* verdict = figure.target.empty() ? "baseline" : figure.met ? "met" : "MISS";
        std::printf("%-52s %14.3f %-10s %-16s %s\n", figure.name.c_str(), figure.value, figure.unit.c_str(),
            figure.target.empty() ? "-" : figure.target.c_str(), verdict);
        std::fflush(stdout);
    }

} // namespace

/** @param name Name for --only. @param benchmark Function that measures and reports. */
Registration::Registration(std::string name, Benchmark benchmark)
{
    benchmarks().emplace(std::move(name), std::move(benchmark));
}

} // namespace sp::bench

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the deciding functions. A missed target is printed as MISS and is no failure.");
    gflags::SetVersionString(SP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sp::bench::BenchOptions options { FLAGS_seed, FLAGS_quick };
    std::printf("# seed %llu\n", static_cast<unsigned long long>(FLAGS_seed));
    for (const auto& [name, benchmark] : sp::bench::benchmarks()) {
        if (name.find(FLAGS_only) != std::string::npos)
            benchmark(options, sp::bench::print);
    }
    return 0;
}
