/** @file usage_model.h Task sizes and run times learned from worker reports, because declared values are often far off.
 */
#pragma once

#include "work_type.h"

#include <memory>
#include <unordered_map>

namespace sp {

/** Sliding maximum of usage over the last 10 to 20 min, kept as two periods of 10 min. */
class PeakWindow {
public:
    void add(const Resources& usage, Time now);
    Resources peak(Time now) const;

private:
    void rotatePeriods(Time now);
    Time m_periodStart {};
    Resources m_current;
    Resources m_previous;
    bool m_started = false;
};

/** Size estimate that rises to reported usage at once and falls by a tenth of the difference per report, never below
 * the recent peak. */
class SizeTracker {
public:
    explicit SizeTracker(const Resources& declared)
        : m_size(declared)
    {
    }
    bool report(const Resources& usage, Time now);
    const Resources& size() const { return m_size; }

private:
    Resources m_size;
    PeakWindow m_peak;
};

/** Values learned for jobs with the same workload, team and declared size. */
struct UsageEntry {
    explicit UsageEntry(const Resources& declared)
        : tracker(declared)
    {
    }
    SizeTracker tracker; ///< Size to reserve for later starts.
    double meanRunSeconds = 0; ///< Moving average of the run time of successful runs, in seconds.
    double meanRatio = 0; ///< Moving average of the ratio of actual to declared run time.
    double runErrorSeconds = 0; ///< Mean absolute error of meanRunSeconds as a predictor, in seconds.
    double ratioErrorSeconds
        = 0; ///< Mean absolute error of meanRatio times the declared run time as a predictor, in seconds.
    double ratioSpread = 0; ///< Mean absolute deviation of the ratio from meanRatio.
    std::uint32_t runs = 0; ///< Number of successful runs.
    Time lastUsed {};
};

using UsageEntryPtr
    = std::shared_ptr<UsageEntry>; ///< Shared with queued and running jobs, so that the model can evict it safely.

/** Learned sizes and run times of one shard, in at most @p maxEntries entries. */
class UsageModel {
public:
    explicit UsageModel(std::size_t maxEntries = 8192)
        : m_maxEntries(maxEntries)
    {
    }
    UsageEntryPtr entry(const JobSpec& spec, Time now);
    static void finished(UsageEntry& entry, std::chrono::milliseconds declared, Duration run);
    static Duration expectedRun(const UsageEntry& entry, std::chrono::milliseconds declared);
    std::size_t entries() const { return m_entries.size(); }

private:
    void evictOldestHalf();
    std::size_t m_maxEntries;
    std::unordered_map<std::string, UsageEntryPtr> m_entries;
};

} // namespace sp
