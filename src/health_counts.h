/** @file health_counts.h Health figures of a cell, from the metrics of its schedulers. */
#pragma once

#include "bundle_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Counts since the start of the processes, added up over all schedulers that were asked. */
struct HealthCounts {
    std::uint64_t answers = 0;
    std::uint64_t errors = 0; ///< Answers that are errors of the system or of targets.
    std::uint64_t refusals = 0; ///< Refusals for overload.
    std::map<double, std::uint64_t> waits; ///< Upper bound in seconds to number of prompt requests at most this long.
    std::vector<std::string> silent; ///< Schedulers that gave no metrics.
};

/** Figures of a stretch of time. */
struct HealthFigures {
    std::uint64_t answers = 0;
    double errorRatio = 0;
    double refusalRatio = 0;
    std::chrono::milliseconds waitP99 { 0 }; ///< Upper bound of the bucket.
    std::vector<std::string> silent; ///< Schedulers that gave no metrics.
};

void addMetrics(HealthCounts& counts, const std::string& prometheusText);
HealthFigures healthBetween(const HealthCounts& before, const HealthCounts& after);
std::optional<std::string> worseThan(const HealthFigures& figures, const HealthLimits& limits);

} // namespace sp
