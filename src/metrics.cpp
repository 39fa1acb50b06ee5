#include "metrics.h"

#include <cmath>
#include <sstream>

namespace sp {

namespace {

    constexpr std::array<std::int64_t, Histogram::bucketCount - 1> boundsUs { 100, 200, 500, 1000, 2000, 5000, 10000,
        20000, 50000, 100000, 200000, 500000, 1000000, 2000000, 5000000, 10000000, 20000000, 50000000, 100000000 };

    /** Name of a metric without its labels. @param name Name, perhaps with `{labels}`. @return Name before the brace.
     */
    std::string baseName(const std::string& name) { return name.substr(0, name.find('{')); }

    /** Labels of a metric name with one more label. @param name Name. @param label Label to add. @return `{labels}`. */
    std::string withLabel(const std::string& name, const std::string& label)
    {
        const auto brace = name.find('{');
        if (brace == std::string::npos)
            return "{" + label + "}";
        return name.substr(brace, name.size() - brace - 1) + "," + label + "}";
    }

    std::string labels(const std::string& name)
    {
        const auto brace = name.find('{');
        return brace == std::string::npos ? "" : name.substr(brace);
    }

    /** Writes the help and type lines once for each base name. */
    void writeHeader(
        std::ostringstream& out, std::string& last, const std::string& name, const std::string& help, const char* type)
    {
        if (const std::string base = baseName(name); base != last) {
            out << "# HELP " << base << ' ' << help << "\n# TYPE " << base << ' ' << type << '\n';
            last = base;
        }
    }

} // namespace

/** Records one duration. @param duration Duration; negative ones count as zero. */
void Histogram::record(std::chrono::nanoseconds duration)
{
    const auto ns = std::max<std::int64_t>(duration.count(), 0);
    std::size_t index = 0;
    while (index < boundsUs.size() && ns > boundsUs[index] * 1000)
        ++index;
    m_buckets[index].fetch_add(1, std::memory_order_relaxed);
    m_sumNs.fetch_add(static_cast<std::uint64_t>(ns), std::memory_order_relaxed);
}

/** @return Number of recorded durations. */
std::uint64_t Histogram::count() const
{
    std::uint64_t total = 0;
    for (const auto& value : m_buckets)
        total += value.load(std::memory_order_relaxed);
    return total;
}

/** @return Sum of all recorded durations in seconds. */
double Histogram::sumSeconds() const { return static_cast<double>(m_sumNs.load(std::memory_order_relaxed)) / 1e9; }

/** Upper bound of a bucket. @param bucket Index. @return Bound; the largest duration for the last bucket. */
std::chrono::nanoseconds Histogram::upperBound(std::size_t bucket)
{
    return bucket < boundsUs.size() ? std::chrono::nanoseconds(boundsUs[bucket] * 1000)
                                    : std::chrono::nanoseconds::max();
}

/** Quantile from the buckets. @param q Between 0 and 1. @return Upper bound of the bucket that holds it, 0 if empty. */
std::chrono::nanoseconds Histogram::quantile(double q) const
{
    const std::uint64_t total = count();
    if (total == 0)
        return std::chrono::nanoseconds(0);
    const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(total)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        seen += bucket(i);
        if (seen >= rank)
            return upperBound(i);
    }
    return upperBound(bucketCount - 1);
}

template <typename T>
T& Metrics::find(std::map<std::string, Entry<T>>& entries, const std::string& name, const std::string& help)
{
    auto& entry = entries[name];
    if (!entry.metric) {
        entry.help = help;
        entry.metric = std::make_unique<T>();
    }
    return *entry.metric;
}

/** Counter by name, made on first use. @param name Name, perhaps with labels. @param help One sentence. @return
 * Counter. */
Counter& Metrics::counter(const std::string& name, const std::string& help)
{
    std::lock_guard lock(m_mutex);
    return find(m_counters, name, help);
}

/** Gauge by name, made on first use. @param name Name, perhaps with labels. @param help One sentence. @return Gauge. */
Gauge& Metrics::gauge(const std::string& name, const std::string& help)
{
    std::lock_guard lock(m_mutex);
    return find(m_gauges, name, help);
}

/** Histogram by name, made on first use. @param name Name, perhaps with labels. @param help One sentence. @return
 * Histogram. */
Histogram& Metrics::histogram(const std::string& name, const std::string& help)
{
    std::lock_guard lock(m_mutex);
    return find(m_histograms, name, help);
}

/** @return All metrics in the Prometheus text format. */
std::string Metrics::prometheusText() const
{
    std::lock_guard lock(m_mutex);
    std::ostringstream out;
    std::string last;
    for (const auto& [name, entry] : m_counters) {
        writeHeader(out, last, name, entry.help, "counter");
        out << name << ' ' << entry.metric->value() << '\n';
    }
    for (const auto& [name, entry] : m_gauges) {
        writeHeader(out, last, name, entry.help, "gauge");
        out << name << ' ' << entry.metric->value() << '\n';
    }
    for (const auto& [name, entry] : m_histograms) {
        writeHeader(out, last, name, entry.help, "histogram");
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < Histogram::bucketCount; ++i) {
            cumulative += entry.metric->bucket(i);
            const std::string bound = i + 1 < Histogram::bucketCount
                ? std::to_string(static_cast<double>(Histogram::upperBound(i).count()) / 1e9)
                : "+Inf";
            out << baseName(name) << "_bucket" << withLabel(name, "le=\"" + bound + "\"") << ' ' << cumulative << '\n';
        }
        out << baseName(name) << "_sum" << labels(name) << ' ' << entry.metric->sumSeconds() << '\n';
        out << baseName(name) << "_count" << labels(name) << ' ' << cumulative << '\n';
    }
    return out.str();
}

} // namespace sp
