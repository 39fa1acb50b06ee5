/** @file slot_sim.h Feeds arrivals and completions to a pool of slots with time as an argument. */
#pragma once

#include "slot_pool.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace sp::bench {

/** A request with what the pool does not know: its real run time. */
struct SimRequest {
    PromptWork work; ///< Arrives at work.arrivedAt.
    Duration runTime {};
    int group = 0; ///< For the evaluation.
};

/** What became of a request. */
struct SimResult {
    SimRequest request;
    std::optional<Time> startedAt; ///< Absent if it was refused.
    Time decidedAt {}; ///< Start or refusal.
};

/** Baseline: one queue in order of arrival, without refusals. */
class FifoPool {
public:
    explicit FifoPool(std::uint32_t slots)
        : m_free(slots)
    {
    }
    SlotDecision admit(const PromptWork& work, Time now)
    {
        (void)now;
        if (m_free == 0) {
            m_queue.push_back(work.id);
            return { SlotDecision::Kind::Queue, work.id, {}, ErrorKind::Ok, {} };
        }
        --m_free;
        return { SlotDecision::Kind::Run, work.id, {}, ErrorKind::Ok, {} };
    }
    void release(const RequestId& id, SlotRelease how, Time now)
    {
        (void)id, (void)how, (void)now;
        ++m_free;
    }
    std::vector<SlotDecision> dispatch(Time now)
    {
        (void)now;
        std::vector<SlotDecision> decisions;
        for (; m_free > 0 && !m_queue.empty(); --m_free) {
            decisions.push_back({ SlotDecision::Kind::Run, m_queue.front(), {}, ErrorKind::Ok, {} });
            m_queue.pop_front();
        }
        return decisions;
    }

private:
    std::uint32_t m_free;
    std::deque<RequestId> m_queue;
};

using Arrivals = std::function<std::optional<SimRequest>()>; ///< Requests in order of time, nothing at the end.
using Results = std::function<void(const SimResult&)>;

/** Event queue around one pool. @tparam Pool SlotPool or a baseline with its admit, release and dispatch. */
template <typename Pool> class SlotSim {
public:
    static constexpr Duration tick = std::chrono::milliseconds(10); ///< Wake-up of the deciding thread while idle.

    SlotSim(Pool& pool, Results results)
        : m_pool(pool)
        , m_results(std::move(results))
    {
    }

    /** Runs until the arrivals and their work have ended. @param arrivals Arrivals. */
    void run(const Arrivals& arrivals)
    {
        auto next = arrivals();
        Time wake = next ? next->work.arrivedAt : Time {};
        while (next || !m_ends.empty() || !m_waiting.empty()) {
            const Time arrival = next ? next->work.arrivedAt : Time::max();
            const Time end = m_ends.empty() ? Time::max() : m_ends.top().first;
            const Time now = std::min({ arrival, end, wake });
            if (now == arrival) {
                arrive(*next, now);
                next = arrivals();
            } else if (now == end) {
                m_pool.release(m_ends.top().second, SlotRelease::Answered, now);
                m_ends.pop();
            }
            for (const SlotDecision& decision : m_pool.dispatch(now))
                decide(decision, now);
            wake = now + tick;
        }
    }

private:
    using End = std::pair<Time, RequestId>;

    void arrive(const SimRequest& request, Time now)
    {
        m_waiting.emplace(request.work.id, request);
        decide(m_pool.admit(request.work, now), now);
    }

    void decide(const SlotDecision& decision, Time now)
    {
        if (decision.kind == SlotDecision::Kind::Queue)
            return;
        const auto it = m_waiting.find(decision.id);
        SimResult result { std::move(it->second), std::nullopt, now };
        m_waiting.erase(it);
        if (decision.kind == SlotDecision::Kind::Run) {
            result.startedAt = now;
            m_ends.emplace(now + result.request.runTime, decision.id);
        }
        m_results(result);
    }

    Pool& m_pool;
    Results m_results;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::unordered_map<RequestId, SimRequest> m_waiting;
};

/** Quantile of samples. @param samples Samples. @param q Quantile. @return Value in milliseconds, 0 without samples. */
inline double quantileMs(std::vector<double>& samples, double q)
{
    if (samples.empty())
        return 0;
    const auto rank = std::min(samples.size() - 1, static_cast<std::size_t>(q * static_cast<double>(samples.size())));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank), samples.end());
    return samples[rank];
}

inline double inMs(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }
inline Duration fromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e9)); }

/** Pool with equal instances of the service `s`. @param instances Number. @param slots Slots of each. */
inline void fillPool(SlotPool& pool, int instances, std::uint32_t slots)
{
    for (int i = 0; i < instances; ++i) {
        InstanceInfo info;
        info.id = TargetId("i" + std::to_string(i));
        info.service = "s";
        info.slots = slots;
        pool.putInstance(info);
        pool.setUsable(info.id, true);
    }
}

/** Bundle with the workload `w` on service `s`. @param edit Changes its policy. */
inline Bundle simBundle(const std::function<void(WorkloadPolicy&)>& edit = {})
{
    Bundle bundle;
    WorkloadPolicy policy;
    policy.id = WorkloadId("w");
    policy.service = "s";
    if (edit)
        edit(policy);
    bundle.workloads[policy.id] = policy;
    return bundle;
}

} // namespace sp::bench
