#include "runtime_model.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr int bucketsPerOctave = 4;
    constexpr double firstBound = 16000; ///< Upper bound of the first bucket in nanoseconds.

    /** Each sample takes this share off the older ones, so that about the last 64 decide. */
    constexpr double decayPerSample = 1.0 / 64;

    /** Samples lose half their weight in this time, so that work that is no longer seen is relearned. */
    constexpr double halfLifeSeconds = 60;

    /** Weights below this are dropped: arithmetic on denormal numbers is many times slower. */
    constexpr float smallestWeight = 1e-6F;

    std::size_t bucketOf(Duration value)
    {
        const double ns = static_cast<double>(std::max<Duration::rep>(value.count(), 1));
        const double position = std::ceil(std::log2(ns / firstBound) * bucketsPerOctave);
        return static_cast<std::size_t>(std::clamp(position, 0.0, DecayedQuantiles::bucketCount - 1.0));
    }

    /** Geometric middle of a bucket in nanoseconds. */
    double middle(std::size_t bucket)
    {
        return firstBound * std::exp2((static_cast<double>(bucket) - 0.5) / bucketsPerOctave);
    }

    double decayBetween(Time from, Time to)
    {
        const double seconds = std::chrono::duration<double>(to - from).count();
        return seconds <= 0 ? 1 : std::exp2(-seconds / halfLifeSeconds);
    }

} // namespace

/** Adds a sample. @param value Run time. @param now Present time. */
void DecayedQuantiles::add(Duration value, Time now)
{
    decayTo(now);
    m_weights[bucketOf(value)] += 1;
    m_total += 1;
    m_sum += static_cast<double>(value.count());
}

/** Sum of the decayed samples' weights. @param now Present time. @return Weight, at most about 64. */
double DecayedQuantiles::weight(Time now) const { return m_total * decayBetween(m_updatedAt, now); }

/**
 * Value that a share of the samples does not exceed, precise to a factor of 2^(1/8).
 * @param q Share from 0 to 1.
 * @return Value, zero without samples.
 */
Duration DecayedQuantiles::quantile(double q) const
{
    if (m_total <= 0)
        return Duration::zero();
    double left = q * m_total;
    std::size_t last = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (m_weights[i] <= 0)
            continue;
        last = i;
        left -= m_weights[i];
        if (left <= 0)
            break;
    }
    return Duration(static_cast<Duration::rep>(middle(last)));
}

/** Mean of the samples. @return Mean, zero without samples. */
Duration DecayedQuantiles::mean() const
{
    return m_total <= 0 ? Duration::zero() : Duration(static_cast<Duration::rep>(m_sum / m_total));
}

void DecayedQuantiles::decayTo(Time now)
{
    const double factor = (1 - decayPerSample) * decayBetween(m_updatedAt, now);
    for (float& weight : m_weights) {
        weight *= static_cast<float>(factor);
        weight = weight < smallestWeight ? 0 : weight;
    }
    m_total *= factor;
    m_sum *= factor;
    m_updatedAt = std::max(m_updatedAt, now);
}

/** @param options Limits. */
RuntimeModel::RuntimeModel(RuntimeModelOptions options)
    : m_options(options)
{
}

/**
 * Learns from a finished piece of work.
 * @param workload Workload.
 * @param caller Caller.
 * @param runTime Measured run time.
 * @param now Present time.
 */
void RuntimeModel::learn(const WorkloadId& workload, const CallerId& caller, Duration runTime, Time now)
{
    entry(workload, caller).add(runTime, now);
    if (!caller.empty())
        entry(workload, CallerId()).add(runTime, now);
}

/**
 * Learned run time of a caller's work, or of its workload if the caller has too few samples.
 * @param workload Workload.
 * @param caller Caller.
 * @param q Quantile from 0 to 1.
 * @param now Present time.
 * @return Run time; nothing if neither has enough samples.
 */
std::optional<Duration> RuntimeModel::quantile(
    const WorkloadId& workload, const CallerId& caller, double q, Time now) const
{
    const DecayedQuantiles* values = find(workload, caller, now);
    if (!values)
        values = find(workload, CallerId(), now);
    if (!values)
        return std::nullopt;
    return values->quantile(q);
}

/**
 * Expectation about a request.
 * @param workload Workload.
 * @param caller Caller.
 * @param now Present time.
 * @return Expectation; nothing if neither the caller nor the workload has enough samples.
 */
std::optional<RunTimeEstimate> RuntimeModel::estimate(
    const WorkloadId& workload, const CallerId& caller, Time now) const
{
    const DecayedQuantiles* own = find(workload, caller, now);
    const DecayedQuantiles* values = own ? own : find(workload, CallerId(), now);
    if (!values)
        return std::nullopt;
    return RunTimeEstimate { values->quantile(0.1), values->quantile(0.5), own != nullptr };
}

std::size_t RuntimeModel::KeyHash::hash(const WorkloadId& workload, const CallerId& caller)
{
    return std::hash<WorkloadId>()(workload) * 31 + std::hash<CallerId>()(caller);
}

/** Entry to learn into; makes room by forgetting the least recently learned one. */
DecayedQuantiles& RuntimeModel::entry(const WorkloadId& workload, const CallerId& caller)
{
    if (auto it = m_entries.find(KeyView { workload, caller }); it != m_entries.end()) {
        m_age.splice(m_age.end(), m_age, it->second.age);
        return it->second.values;
    }
    if (m_entries.size() >= m_options.entries && !m_age.empty()) {
        const auto oldest = m_entries.find(*m_age.front());
        m_age.pop_front();
        m_entries.erase(oldest);
    }
    const auto it = m_entries.try_emplace(Key { workload, caller }).first;
    it->second.age = m_age.insert(m_age.end(), &it->first);
    return it->second.values;
}

/** Values with enough weight to be used. */
const DecayedQuantiles* RuntimeModel::find(const WorkloadId& workload, const CallerId& caller, Time now) const
{
    const auto it = m_entries.find(KeyView { workload, caller });
    if (it == m_entries.end() || it->second.values.weight(now) < m_options.minWeight)
        return nullptr;
    return &it->second.values;
}

} // namespace sp
