#include "usage_model.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr Duration peakPeriod = std::chrono::minutes(10);

    /** Part of the gap that is closed by one report downwards, as 1/n. */
    constexpr std::int64_t stepDivisor = 10;

    /** Runs needed before the learned run time replaces the declared one. */
    constexpr std::uint32_t runsToTrust = 3;

    constexpr double runWeight = 0.05; ///< Weight of one run in the moving averages.

    /** A step of at least 1 unit: without it the size would stand still as soon as a tenth of the gap is less than 1.
     */
    std::int64_t follow(std::int64_t size, std::int64_t usage, std::int64_t peak)
    {
        if (usage >= size)
            return usage;
        return std::max(size - std::max<std::int64_t>((size - usage) / stepDivisor, 1), std::max(peak, usage));
    }

} // namespace

/** @param usage Usage. @param now Present time. */
void PeakWindow::add(const Resources& usage, Time now)
{
    roll(now);
    m_current = { std::max(m_current.coresMilli, usage.coresMilli), std::max(m_current.memoryMb, usage.memoryMb),
        std::max(m_current.accelerators, usage.accelerators) };
}

/** @param now Present time. @return Largest usage of at least the last 10 min. */
Resources PeakWindow::peak(Time now) const
{
    PeakWindow copy = *this;
    copy.roll(now);
    return { std::max(copy.m_current.coresMilli, copy.m_previous.coresMilli),
        std::max(copy.m_current.memoryMb, copy.m_previous.memoryMb),
        std::max(copy.m_current.accelerators, copy.m_previous.accelerators) };
}

void PeakWindow::roll(Time now)
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
 * Takes a report. Accelerators are whole devices that a task holds alone, so their number only grows.
 * @param usage Measured usage. @param now Present time. @return True if the size changed.
 */
bool SizeTracker::report(const Resources& usage, Time now)
{
    const Resources before = m_size;
    m_peak.add(usage, now);
    const Resources peak = m_peak.peak(now);
    m_size.coresMilli = follow(m_size.coresMilli, std::max<std::int64_t>(usage.coresMilli, 0), peak.coresMilli);
    m_size.memoryMb = follow(m_size.memoryMb, std::max<std::int64_t>(usage.memoryMb, 0), peak.memoryMb);
    m_size.accelerators = std::max(m_size.accelerators, usage.accelerators);
    return m_size != before;
}

/** Entry of a job's work, made if needed. @param spec Job. @param now Present time. @return Entry. */
UsageEntryPtr UsageModel::entry(const JobSpec& spec, Time now)
{
    std::string key = spec.workload.value + '\n' + spec.team.value + '\n' + std::to_string(spec.size.coresMilli) + ' '
        + std::to_string(spec.size.memoryMb) + ' ' + std::to_string(spec.size.accelerators);
    if (const auto it = m_entries.find(key); it != m_entries.end()) {
        it->second->lastUsed = now;
        return it->second;
    }
    if (m_entries.size() >= m_limit)
        dropOldest();
    auto made = std::make_shared<UsageEntry>(spec.size);
    made->lastUsed = now;
    m_entries.emplace(std::move(key), made);
    return made;
}

/** Learns a successful run. @param entry Entry. @param declared Declared run time, 0 if none. @param run Run time. */
void UsageModel::finished(UsageEntry& entry, std::chrono::milliseconds declared, Duration run)
{
    const double actual = std::chrono::duration<double>(run).count();
    const double stated = std::chrono::duration<double>(declared).count();
    const double ratio = stated > 0 ? actual / stated : 0;
    const double weight = entry.runs == 0 ? 1 : runWeight;
    const auto follow = [&](double& mean, double value) { mean += (value - mean) * weight; };
    if (entry.runs > 0) {
        follow(entry.runError, std::abs(actual - entry.meanRun));
        follow(entry.ratioError, std::abs(actual - entry.meanRatio * stated));
        follow(entry.ratioSpread, std::abs(ratio - entry.meanRatio));
    }
    follow(entry.meanRun, actual);
    follow(entry.meanRatio, ratio);
    ++entry.runs;
}

/** Run time to plan with: from the declaration or without it, whichever has predicted better, and twice its error on
 * top, since room that is planned for must be free in time. @param entry Entry. @param declared Declared run time, 0 if
 * none. @return Run time, 0 if nothing is known. */
Duration UsageModel::expectedRun(const UsageEntry& entry, std::chrono::milliseconds declared)
{
    if (entry.runs < runsToTrust)
        return declared;
    const double stated = std::chrono::duration<double>(declared).count();
    const double expected = stated > 0 && entry.ratioError < entry.runError
        ? stated * (entry.meanRatio + 2 * entry.ratioSpread)
        : entry.meanRun + 2 * entry.runError;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected));
}

/** Drops the older half, so that the cost per new entry stays constant. */
void UsageModel::dropOldest()
{
    std::vector<Time> times;
    times.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        times.push_back(entry->lastUsed);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const Time limit = *middle;
    std::erase_if(m_entries, [&](const auto& item) { return item.second->lastUsed <= limit; });
}

} // namespace sp
