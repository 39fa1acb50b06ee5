#include "runtime_model.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr int bucketsPerOctave = 4;
    constexpr double firstBucketBoundNs = 16000; ///< Upper bound of the first bucket in nanoseconds.

    /** Each sample reduces the weight of the older ones by this fraction, so that about the last 64 samples dominate.
     */
    constexpr double decayPerSample = 1.0 / 64;

    /** Half-life of sample weights, so that old values of a caller that paused are soon replaced by new ones. */
    constexpr double halfLifeSeconds = 60;

    /** Smaller weights are set to zero, because arithmetic on denormal numbers is many times slower. */
    constexpr float minBucketWeight = 1e-6F;

    std::size_t bucketOf(Duration value)
    {
        const double ns = static_cast<double>(std::max<Duration::rep>(value.count(), 1));
        const double position = std::ceil(std::log2(ns / firstBucketBoundNs) * bucketsPerOctave);
        return static_cast<std::size_t>(std::clamp(position, 0.0, DecayedQuantiles::bucketCount - 1.0));
    }

    /** Returns the geometric mean of a bucket's bounds in nanoseconds. */
    double bucketMidpointNs(std::size_t bucket)
    {
        return firstBucketBoundNs * std::exp2((static_cast<double>(bucket) - 0.5) / bucketsPerOctave);
    }

    /** Returns the factor by which weights decay over a period; 1 if the period is not positive. */
    double decayFactor(Time from, Time to)
    {
        const double seconds = std::chrono::duration<double>(to - from).count();
        return seconds <= 0 ? 1 : std::exp2(-seconds / halfLifeSeconds);
    }

} // namespace

/** Adds a sample with weight 1 after decaying the older ones. */
void DecayedQuantiles::add(Duration value, Time now)
{
    decayForSample(now);
    m_weights[bucketOf(value)] += 1;
    m_totalWeight += 1;
    m_weightedSumNs += static_cast<double>(value.count());
}

/** Returns the sum of the decayed weights, at most about 64. */
double DecayedQuantiles::weight(Time now) const { return m_totalWeight * decayFactor(m_updatedAt, now); }

/**
 * Returns a quantile of the samples, accurate to a factor of 2^(1/8); zero without samples.
 * @param q Fraction from 0 to 1.
 */
Duration DecayedQuantiles::quantile(double q) const
{
    if (m_totalWeight <= 0)
        return Duration::zero();
    double remainingWeight = q * m_totalWeight;
    std::size_t lastBucket = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (m_weights[i] <= 0)
            continue;
        lastBucket = i;
        remainingWeight -= m_weights[i];
        if (remainingWeight <= 0)
            break;
    }
    return Duration(static_cast<Duration::rep>(bucketMidpointNs(lastBucket)));
}

/** Returns the weighted mean of the samples, zero without samples. */
Duration DecayedQuantiles::mean() const
{
    return m_totalWeight <= 0 ? Duration::zero()
                              : Duration(static_cast<Duration::rep>(m_weightedSumNs / m_totalWeight));
}

/** Applies the decay of one new sample and of the time since the last update. */
void DecayedQuantiles::decayForSample(Time now)
{
    const double factor = (1 - decayPerSample) * decayFactor(m_updatedAt, now);
    for (float& weight : m_weights) {
        weight *= static_cast<float>(factor);
        weight = weight < minBucketWeight ? 0 : weight;
    }
    m_totalWeight *= factor;
    m_weightedSumNs *= factor;
    m_updatedAt = std::max(m_updatedAt, now);
}

RuntimeModel::RuntimeModel(RuntimeModelOptions options)
    : m_options(options)
{
}

/**
 * Adds the measured run time of a finished request to the entries of its caller and of its workload.
 * @param caller Caller; if empty, only the entry of the workload is updated.
 */
void RuntimeModel::learn(const WorkloadId& workload, const CallerId& caller, Duration runTime, Time now)
{
    touchEntry(workload, caller).add(runTime, now);
    if (!caller.empty())
        touchEntry(workload, CallerId()).add(runTime, now);
}

/**
 * Returns a quantile of the caller's run times, or of its workload's if the caller has too few samples.
 * @param q Fraction from 0 to 1.
 * @return Run time; nothing if neither has enough samples.
 */
std::optional<Duration> RuntimeModel::quantile(
    const WorkloadId& workload, const CallerId& caller, double q, Time now) const
{
    const DecayedQuantiles* values = findWithEnoughSamples(workload, caller, now);
    if (!values)
        values = findWithEnoughSamples(workload, CallerId(), now);
    if (!values)
        return std::nullopt;
    return values->quantile(q);
}

/**
 * Estimates the run time of a request from the samples of its caller, or of its workload if the caller has too few.
 * @return Estimate; nothing if neither has enough samples.
 */
std::optional<RunTimeEstimate> RuntimeModel::estimate(
    const WorkloadId& workload, const CallerId& caller, Time now) const
{
    const DecayedQuantiles* callerValues = findWithEnoughSamples(workload, caller, now);
    const DecayedQuantiles* values = callerValues ? callerValues : findWithEnoughSamples(workload, CallerId(), now);
    if (!values)
        return std::nullopt;
    return RunTimeEstimate { values->quantile(0.1), values->quantile(0.5), callerValues != nullptr };
}

std::size_t RuntimeModel::KeyHash::hash(const WorkloadId& workload, const CallerId& caller)
{
    return std::hash<WorkloadId>()(workload) * 31 + std::hash<CallerId>()(caller);
}

/** Returns the entry to update, created if needed, and marks it as the most recently updated. Evicts the least recently
 * updated entry if the model is full. */
DecayedQuantiles& RuntimeModel::touchEntry(const WorkloadId& workload, const CallerId& caller)
{
    if (auto it = m_entries.find(KeyView { workload, caller }); it != m_entries.end()) {
        m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, it->second.lruPosition);
        return it->second.values;
    }
    if (m_entries.size() >= m_options.maxEntries && !m_lruOrder.empty()) {
        const auto oldest = m_entries.find(*m_lruOrder.front());
        m_lruOrder.pop_front();
        m_entries.erase(oldest);
    }
    const auto it = m_entries.try_emplace(Key { workload, caller }).first;
    it->second.lruPosition = m_lruOrder.insert(m_lruOrder.end(), &it->first);
    return it->second.values;
}

/** Returns the values of an entry, null if it does not exist or has less than the minimum weight. */
const DecayedQuantiles* RuntimeModel::findWithEnoughSamples(
    const WorkloadId& workload, const CallerId& caller, Time now) const
{
    const auto it = m_entries.find(KeyView { workload, caller });
    if (it == m_entries.end() || it->second.values.weight(now) < m_options.minWeight)
        return nullptr;
    return &it->second.values;
}

} // namespace sp
