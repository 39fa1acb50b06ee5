#include "run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr std::size_t maxGroups = 64; ///< The group that was learned least recently is forgotten for a further one.
    constexpr double minSamples = 10; ///< Steps after which a group is known.
    constexpr double averageLength = 200; ///< Steps over which the moments are averaged.
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

/** Records a completed step. @param took Run time of its longest task. */
void RunTimeEstimates::learn(const std::string& group, std::chrono::milliseconds estimate, Duration took)
{
    if (estimate.count() <= 0)
        return;
    if (m_groups.size() >= maxGroups && !m_groups.contains(group))
        m_groups.erase(std::min_element(m_groups.begin(), m_groups.end(),
            [](const auto& a, const auto& b) { return a.second.lastStep < b.second.lastStep; }));
    Group& entry = m_groups[group];
    entry.lastStep = ++m_steps;
    entry.runTime.add(logSeconds(took));
    entry.error.add(logSeconds(took) - logSeconds(estimate));
}

/** Returns the run time to expect of the longest task of a step; the estimate itself until the group is known. */
std::chrono::milliseconds RunTimeEstimates::expected(const std::string& group, std::chrono::milliseconds estimate) const
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end() || it->second.runTime.samples < minSamples || estimate.count() <= 0)
        return estimate;
    const auto& [runTime, error, lastStep] = it->second;
    const double ofGroup = 1 / std::max(runTime.variance, minVariance);
    const double ofEstimate = 1 / std::max(error.variance, minVariance);
    const double mean
        = (ofGroup * runTime.mean + ofEstimate * (logSeconds(estimate) + error.mean)) / (ofGroup + ofEstimate);
    return std::chrono::milliseconds(std::llround(1000 * std::exp(mean)));
}

} // namespace sp
