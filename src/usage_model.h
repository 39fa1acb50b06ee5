/** @file usage_model.h Sizes and run times learned from reports, for work whose declarations are far off. */
#pragma once

#include "work_type.h"

#include <memory>
#include <unordered_map>

namespace sp {

/** Largest usage of the last 10 to 20 min, kept in two periods of 10 min. */
class PeakWindow {
public:
    void add(const Resources& usage, Time now);
    Resources peak(Time now) const;

private:
    void roll(Time now);
    Time m_periodStart {};
    Resources m_current;
    Resources m_previous;
    bool m_started = false;
};

/** A size that follows reports: upwards at once, downwards by a tenth of the gap, never under the peak. */
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

/** What is learned about equal work: same workload, team and declared size. */
struct UsageEntry {
    explicit UsageEntry(const Resources& declared)
        : tracker(declared)
    {
    }
    SizeTracker tracker; ///< Size for later starts.
    double meanRun = 0; ///< Moving average of successful runs, in seconds.
    double meanRatio = 0; ///< Moving average of run time to declared run time.
    double runError = 0; ///< Mean absolute error of meanRun as a prediction, in seconds.
    double ratioError = 0; ///< The same of meanRatio times the declared run time.
    double ratioSpread = 0; ///< Mean absolute deviation from meanRatio.
    std::uint32_t runs = 0;
    Time lastUsed {};
};

using UsageEntryPtr = std::shared_ptr<UsageEntry>; ///< Shared with queued and running work, so that it may be dropped.

/** Learned sizes and run times of one shard, at most @p limit entries. */
class UsageModel {
public:
    explicit UsageModel(std::size_t limit = 8192)
        : m_limit(limit)
    {
    }
    UsageEntryPtr entry(const JobSpec& spec, Time now);
    static void finished(UsageEntry& entry, std::chrono::milliseconds declared, Duration run);
    static Duration expectedRun(const UsageEntry& entry, std::chrono::milliseconds declared);
    std::size_t entries() const { return m_entries.size(); }

private:
    void dropOldest();
    std::size_t m_limit;
    std::unordered_map<std::string, UsageEntryPtr> m_entries;
};

} // namespace sp
