/** @file bench_func.h Figures of `make bench`. Each benchmark file registers itself. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace sp::bench {

/** Options of a run. */
struct BenchOptions {
    std::uint64_t seed = 1; ///< Seed of the input.
    bool quick = false; ///< Small input, for a smoke test in CI.
};

/** One measured figure. */
struct Figure {
    std::string name;
    double value = 0;
    std::string unit;
    std::string target; ///< Stated target, for instance `<= 2`; empty for a baseline.
    bool met = true; ///< Whether the target is met.
};

using Report = std::function<void(const Figure&)>;
using Benchmark = std::function<void(const BenchOptions&, const Report&)>;

/** Registers a benchmark during static initialisation. */
struct Registration {
    Registration(std::string name, Benchmark benchmark);
};

} // namespace sp::bench
