#include "usage_model.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr Duration peakPeriod = std::chrono::minutes(10);

    /** When usage is lower than the size, each report reduces the size by 1/n of the difference. */
    constexpr std::int64_t shrinkDivisor = 10;

    /** Number of runs after which the learned run time replaces the declared one. */
    constexpr std::uint32_t minRunsForEstimate = 3;

    constexpr double movingAverageWeight = 0.05; ///< Weight of one run in the moving averages.

    /** Returns the next size after a report. A reduction is at least 1 unit, otherwise integer division would stop it
     * once a tenth of the difference is less than 1. */
    std::int64_t nextSize(std::int64_t size, std::int64_t usage, std::int64_t peak)
    {
        if (usage >= size)
            return usage;
        return std::max(size - std::max<std::int64_t>((size - usage) / shrinkDivisor, 1), std::max(peak, usage));
    }

} // namespace

void PeakWindow::add(const Resources& usage, Time now)
{
    rotatePeriods(now);
    m_current = { std::max(m_current.coresMilli, usage.coresMilli), std::max(m_current.memoryMb, usage.memoryMb),
        std::max(m_current.accelerators, usage.accelerators) };
}

/** Returns the largest usage of at least the last 10 min, for each resource by itself. */
Resources PeakWindow::peak(Time now) const
{
    PeakWindow rotated = *this;
    rotated.rotatePeriods(now);
    return { std::max(rotated.m_current.coresMilli, rotated.m_previous.coresMilli),
        std::max(rotated.m_current.memoryMb, rotated.m_previous.memoryMb),
        std::max(rotated.m_current.accelerators, rotated.m_previous.accelerators) };
}

/** Starts a new period if the current one is over; drops a period that ended more than one period ago. */
void PeakWindow::rotatePeriods(Time now)
{
    if (!m_started) {
        m_started = true;
        m_periodStart = now;
    }
    if (now - m_periodStart < peakPeriod)
        return;
    m_previous = now - m_periodStart < 2 * peakPeriod ? m_current : Resources {};
    m_current = {};
    m_periodStart = now;
}

/**
 * Updates the size from measured usage. The number of accelerators never falls, because a task holds whole devices
 * exclusively.
 * @return True if the size changed.
 */
bool SizeTracker::report(const Resources& usage, Time now)
{
    const Resources before = m_size;
    m_peak.add(usage, now);
    const Resources peak = m_peak.peak(now);
    m_size.coresMilli = nextSize(m_size.coresMilli, std::max<std::int64_t>(usage.coresMilli, 0), peak.coresMilli);
    m_size.memoryMb = nextSize(m_size.memoryMb, std::max<std::int64_t>(usage.memoryMb, 0), peak.memoryMb);
    m_size.accelerators = std::max(m_size.accelerators, usage.accelerators);
    return m_size != before;
}

/** Returns the entry for a job's workload, team and declared size, created if needed. Evicts old entries if the model
 * is full. */
UsageEntryPtr UsageModel::entry(const JobSpec& spec, Time now)
{
    std::string key = spec.workload.value + '\n' + spec.team.value + '\n' + std::to_string(spec.size.coresMilli) + ' '
        + std::to_string(spec.size.memoryMb) + ' ' + std::to_string(spec.size.accelerators);
    if (const auto it = m_entries.find(key); it != m_entries.end()) {
        it->second->lastUsed = now;
        return it->second;
    }
    if (m_entries.size() >= m_maxEntries)
        evictOldestHalf();
    auto newEntry = std::make_shared<UsageEntry>(spec.size);
    newEntry->lastUsed = now;
    m_entries.emplace(std::move(key), newEntry);
    return newEntry;
}

/** Updates an entry after a successful run. @param declared Declared run time, 0 if none. @param run Actual run time.
 */
void UsageModel::finished(UsageEntry& entry, std::chrono::milliseconds declared, Duration run)
{
    const double actualSeconds = std::chrono::duration<double>(run).count();
    const double declaredSeconds = std::chrono::duration<double>(declared).count();
    const double ratio = declaredSeconds > 0 ? actualSeconds / declaredSeconds : 0;
    const double weight = entry.runs == 0 ? 1 : movingAverageWeight;
    const auto updateMean = [&](double& mean, double value) { mean += (value - mean) * weight; };
    if (entry.runs > 0) {
        updateMean(entry.runErrorSeconds, std::abs(actualSeconds - entry.meanRunSeconds));
        updateMean(entry.ratioErrorSeconds, std::abs(actualSeconds - entry.meanRatio * declaredSeconds));
        updateMean(entry.ratioSpread, std::abs(ratio - entry.meanRatio));
    }
    updateMean(entry.meanRunSeconds, actualSeconds);
    updateMean(entry.meanRatio, ratio);
    ++entry.runs;
}

/** Returns a conservative run time for planning, 0 if nothing is known. Uses the mean or the scaled declaration,
 * whichever has had the smaller error, and adds twice the deviation, because planned capacity must be free in time.
 * @param declared Declared run time, 0 if none. */
Duration UsageModel::expectedRun(const UsageEntry& entry, std::chrono::milliseconds declared)
{
    if (entry.runs < minRunsForEstimate)
        return declared;
    const double declaredSeconds = std::chrono::duration<double>(declared).count();
    const double expected = declaredSeconds > 0 && entry.ratioErrorSeconds < entry.runErrorSeconds
        ? declaredSeconds * (entry.meanRatio + 2 * entry.ratioSpread)
        : entry.meanRunSeconds + 2 * entry.runErrorSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected));
}

/** Evicts the less recently used half of the entries at once, so that the amortised cost per new entry is constant. */
void UsageModel::evictOldestHalf()
{
    std::vector<Time> times;
    times.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        times.push_back(entry->lastUsed);
    const auto median = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), median, times.end());
    const Time cutoff = *median;
    std::erase_if(m_entries, [&](const auto& item) { return item.second->lastUsed <= cutoff; });
}

} // namespace sp
