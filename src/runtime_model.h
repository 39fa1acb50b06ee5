/** @file runtime_model.h Run times learned from finished work, because declared values are often far off. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <array>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace sp {

/** Quantiles of run times from an exponentially decaying histogram. Adjacent bucket bounds differ by a factor of
 * 2^(1/4). */
class DecayedQuantiles {
public:
    static constexpr std::size_t bucketCount = 128; ///< Covers 16 us to about 19 h.

    void add(Duration value, Time now);
    double weight(Time now) const;
    Duration quantile(double q) const;
    Duration mean() const;

private:
    void decayForSample(Time now);

    std::array<float, bucketCount> m_weights {};
    double m_totalWeight = 0; ///< Sum of the weights.
    double m_weightedSumNs = 0; ///< Weighted sum of the values in nanoseconds.
    Time m_updatedAt {};
};

/** Estimated run time of a request. */
struct RunTimeEstimate {
    Duration low {}; ///< 10th percentile.
    Duration typical {}; ///< Median.
    bool ofCaller = false; ///< Based on samples of this caller, not of the whole workload.
};

/** Limits of a RuntimeModel. */
struct RuntimeModelOptions {
    std::size_t maxEntries = 10000; ///< Maximum number of entries; the least recently updated one is evicted.
    double minWeight = 4; ///< Minimum decayed sample weight for an entry to be used.
};

/**
 * Run times learned per workload and caller. For a caller with too few samples the values of the whole workload are
 * used. Not thread-safe.
 */
class RuntimeModel {
public:
    explicit RuntimeModel(RuntimeModelOptions options = {});
    void learn(const WorkloadId& workload, const CallerId& caller, Duration runTime, Time now);
    std::optional<Duration> quantile(const WorkloadId& workload, const CallerId& caller, double q, Time now) const;
    std::optional<RunTimeEstimate> estimate(const WorkloadId& workload, const CallerId& caller, Time now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Key {
        WorkloadId workload;
        CallerId caller; ///< Empty for the entry of the whole workload.
        bool operator==(const Key&) const = default;
    };
    /** Non-owning key for lookups without copies of the ids. */
    struct KeyView {
        const WorkloadId& workload;
        const CallerId& caller;
    };
    struct KeyHash {
        using is_transparent = void;
        std::size_t operator()(const Key& key) const { return hash(key.workload, key.caller); }
        std::size_t operator()(const KeyView& key) const { return hash(key.workload, key.caller); }
        static std::size_t hash(const WorkloadId& workload, const CallerId& caller);
    };
    struct KeyEqual {
        using is_transparent = void;
        bool operator()(const Key& a, const Key& b) const { return a == b; }
        bool operator()(const Key& a, const KeyView& b) const
        {
            return a.workload == b.workload && a.caller == b.caller;
        }
        bool operator()(const KeyView& a, const Key& b) const { return operator()(b, a); }
    };
    struct Entry {
        DecayedQuantiles values;
        std::list<const Key*>::iterator lruPosition; ///< Position in m_lruOrder.
    };
    DecayedQuantiles& touchEntry(const WorkloadId& workload, const CallerId& caller);
    const DecayedQuantiles* findWithEnoughSamples(const WorkloadId& workload, const CallerId& caller, Time now) const;

    RuntimeModelOptions m_options;
    std::unordered_map<Key, Entry, KeyHash, KeyEqual> m_entries;
    std::list<const Key*> m_lruOrder; ///< Keys in LRU order, the least recently updated first.
};

} // namespace sp
