/** @file timeline.h Time, randomness and trace of a run. All are functions of the seed. */
#pragma once

#include "fnv_hash_func.h"
#include "time_type.h"

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace sp::soak {

/** Events in the order of their times; those of equal time in the order of their scheduling. */
class Timeline {
public:
    explicit Timeline(std::uint64_t seed, std::size_t traceLines)
        : m_random(seed)
        , m_traceLines(traceLines)
    {
    }

    Time now() const { return m_now; }
    void after(Duration delay, std::function<void()> action)
    {
        m_queue.push({ m_now + delay, m_sequence++, std::move(action) });
    }
    void runUntil(Time end)
    {
        while (!m_queue.empty() && m_queue.top().at <= end) {
            m_now = m_queue.top().at;
            auto action = std::move(const_cast<Entry&>(m_queue.top()).action);
            m_queue.pop();
            action();
        }
        m_now = end;
    }

    std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : m_random() % limit; }
    bool chance(double probability) { return static_cast<double>(m_random() >> 11) * 0x1p-53 < probability; }
    Duration between(Duration low, Duration high)
    {
        return low + Duration(static_cast<Duration::rep>(below(static_cast<std::uint64_t>((high - low).count()) + 1)));
    }

    void trace(const std::string& line)
    {
        std::string stamped = std::to_string(toMs(m_now.time_since_epoch())) + " " + line;
        m_hash = m_hash * 1099511628211ULL ^ fnvHash(stamped);
        m_lines.push_back(std::move(stamped));
        if (m_lines.size() > m_traceLines)
            m_lines.pop_front();
    }
    std::vector<std::string> lines() const { return { m_lines.begin(), m_lines.end() }; }
    std::uint64_t traceHash() const { return m_hash; }

private:
    struct Entry {
        Time at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Entry& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    Time m_now {};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Entry> m_queue;
    std::mt19937_64 m_random;
    std::size_t m_traceLines;
    std::deque<std::string> m_lines;
    std::uint64_t m_hash = 0;
};

} // namespace sp::soak
