#include "run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr std::size_t maxGroups = 64; ///< Tasks of further groups keep their estimates.
    /** Runs after which a group is known: several jobs, since the tasks of one job are alike. */
    constexpr double minSamples = 100;
    constexpr double averageLength = 1000; ///< Runs over which the moments are averaged.
    constexpr double minVariance = 1e-4; ///< Estimates and run times are not known to more than a percent.

    double logSeconds(std::chrono::duration<double> time) { return std::log(std::max(time.count(), 1e-3)); }

} // namespace

void RunTimeEstimates::Moments::add(double value)
{
    samples = std::min(samples + 1, averageLength);
    const double difference = value - mean;
    mean += difference / samples;
    variance += (difference * (value - mean) - variance) / samples;
}

/** Records a run that has ended successfully and that was neither resumed nor slowed down by a limit. */
void RunTimeEstimates::learn(const std::string& group, std::chrono::milliseconds estimate, Duration took)
{
    if (estimate.count() <= 0 || (m_groups.size() >= maxGroups && !m_groups.contains(group)))
        return;
    Group& entry = m_groups[group];
    entry.runTime.add(logSeconds(took));
    entry.error.add(logSeconds(took) - logSeconds(estimate));
}

/** Returns the run time to expect; the estimate itself until enough runs of the group have ended. */
std::chrono::milliseconds RunTimeEstimates::expected(const std::string& group, std::chrono::milliseconds estimate) const
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end() || it->second.runTime.samples < minSamples || estimate.count() <= 0)
        return estimate;
    const auto& [runTime, error] = it->second;
    const double ofGroup = 1 / std::max(runTime.variance, minVariance);
    const double ofEstimate = 1 / std::max(error.variance, minVariance);
    const double mean
        = (ofGroup * runTime.mean + ofEstimate * (logSeconds(estimate) + error.mean)) / (ofGroup + ofEstimate);
    return std::chrono::milliseconds(std::llround(1000 * std::exp(mean)));
}

} // namespace sp
