/** @file run_time_estimate.h Corrects the run times that callers estimate by those of earlier steps of the group. */
#pragma once

#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace sp {

/**
 * Run times of steps, that is of the longest task of each, by group. The logarithm of a run time is normally
 * distributed around the mean of its group, and a caller's estimate is that logarithm with an error of its own. Both
 * spreads are learned from completed steps; the expected run time is the mean of the two, weighted by their precision.
 * So an estimate that says little hardly counts, and an exact one decides alone. Kept in memory only.
 */
class RunTimeEstimates {
public:
    void learn(const std::string& group, std::chrono::milliseconds estimate, Duration took);
    std::chrono::milliseconds expected(const std::string& group, std::chrono::milliseconds estimate) const;

private:
    /** Mean and variance of the recent values. */
    struct Moments {
        double mean = 0;
        double variance = 0;
        double samples = 0;
        void add(double value);
    };
    struct Group {
        Moments runTime; ///< Logarithm of the run time.
        Moments error; ///< Logarithm of run time over estimate.
        std::uint64_t lastStep = 0; ///< Number of the last step that was learned.
    };
    std::map<std::string, Group> m_groups;
    std::uint64_t m_steps = 0;
};

} // namespace sp
