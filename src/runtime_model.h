/** @file runtime_model.h Run times learned from finished work, since declared values are far off. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <array>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace sp {

/** Quantiles of run times with decay, from a histogram with buckets a factor of 2^(1/4) apart. */
class DecayedQuantiles {
public:
    static constexpr std::size_t bucketCount = 128; ///< From 16 us to about 19 h.

    void add(Duration value, Time now);
    double weight(Time now) const;
    Duration quantile(double q) const;
    Duration mean() const;

private:
    void decayTo(Time now);

    std::array<float, bucketCount> m_weights {};
    double m_total = 0;
    double m_sum = 0; ///< Weighted sum of the values in nanoseconds.
    Time m_updatedAt {};
};

/** Expectation about the run time of a request. */
struct RunTimeEstimate {
    Duration low {}; ///< Exceeded by nine of ten.
    Duration typical {}; ///< Median.
    bool ofCaller = false; ///< Learned from the caller itself, not from its workload.
};

/** Limits of a RuntimeModel. */
struct RuntimeModelOptions {
    std::size_t entries = 10000; ///< Largest number of callers known; the least recently seen is forgotten.
    double minWeight = 4; ///< Samples below which a caller's own values are not used.
};

/**
 * Learned run times per workload and caller. A caller with few samples gets the values of its workload. Not
 * thread-safe.
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
        CallerId caller; ///< Empty for the values of the workload as a whole.
        bool operator==(const Key&) const = default;
    };
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
        std::list<const Key*>::iterator age; ///< Place in m_age.
    };
    DecayedQuantiles& entry(const WorkloadId& workload, const CallerId& caller);
    const DecayedQuantiles* find(const WorkloadId& workload, const CallerId& caller, Time now) const;

    RuntimeModelOptions m_options;
    std::unordered_map<Key, Entry, KeyHash, KeyEqual> m_entries;
    std::list<const Key*> m_age; ///< Least recently learned first.
};

} // namespace sp
