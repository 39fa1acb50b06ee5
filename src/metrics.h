/** @file metrics.h Counters, gauges and fixed-bucket histograms, served in the Prometheus text format. */
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sp {

/** Monotonic counter. */
class Counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/** Value that goes up and down. */
class Gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/** Histogram of durations with fixed buckets from 100 us to 100 s, three in each decade. */
class Histogram {
public:
    static constexpr std::size_t bucketCount = 20; ///< The last bucket has no upper bound.

    void record(std::chrono::nanoseconds duration);
    std::uint64_t count() const;
    std::chrono::nanoseconds quantile(double q) const;
    static std::chrono::nanoseconds upperBound(std::size_t bucket);
    std::uint64_t bucket(std::size_t index) const { return m_buckets[index].load(std::memory_order_relaxed); }
    double sumSeconds() const;

private:
    std::array<std::atomic<std::uint64_t>, bucketCount> m_buckets {};
    std::atomic<std::uint64_t> m_sumNs { 0 };
};

/** All metrics of a process by name. References stay valid for the life of the registry. */
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help);
    Gauge& gauge(const std::string& name, const std::string& help);
    Histogram& histogram(const std::string& name, const std::string& help);
    std::string prometheusText() const;

private:
    template <typename T> struct Entry {
        std::string help;
        std::unique_ptr<T> metric;
    };
    template <typename T>
    static T& find(std::map<std::string, Entry<T>>& entries, const std::string& name, const std::string& help);

    mutable std::mutex m_mutex;
    std::map<std::string, Entry<Counter>> m_counters;
    std::map<std::string, Entry<Gauge>> m_gauges;
    std::map<std::string, Entry<Histogram>> m_histograms;
};

} // namespace sp
