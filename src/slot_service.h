/** @file slot_service.h State of one service in a slot shard: free slots, queues, demand and reserve. */
#pragma once

#include "fair_queue.h"
#include "instance_index.h"

#include <array>
#include <string>

namespace sp {

/** Length of work, which decides whether the reserved share of slots is open to it. */
enum class WorkLength : std::uint8_t { Short, Long };
inline constexpr std::size_t workLengths = 2;

/** Exponentially weighted mean over the last samples. */
class RunTimeMean {
public:
    void add(Duration value);
    Duration value() const { return Duration(static_cast<Duration::rep>(m_mean)); }
    bool known() const { return m_samples > 0; }

private:
    double m_mean = 0;
    std::uint32_t m_samples = 0;
};

/** Demand in slots: expected slot time that arrives per time. Rises within a second and falls within half a minute. */
class DemandMeter {
public:
    void add(Duration slotTime, Time now);
    double slots(Time now) const;

private:
    double m_fast = 0; ///< Slot time in seconds, decaying with 1 s.
    double m_slow = 0; ///< Slot time in seconds, decaying with 30 s.
    Time m_updatedAt {};
};

/** Demand in slots over the last moments, as a shard announces it and a selector counts what it sends. */
class RecentDemand {
public:
    static constexpr double seconds = 0.2; ///< Smooths single arrivals, but shorter than the time of an announcement.

    void add(Duration slotTime, Time now);
    double slots(Time now) const;

private:
    double m_slots = 0;
    Time m_updatedAt {};
};

/** Reserve for short work as shares of all slots. */
struct ReserveRange {
    double min = 0;
    double max = 0;
};

/** One service of a shard. */
struct SlotService {
    std::string name;
    InstanceIndex index;
    std::uint32_t instances = 0; ///< Known instances, usable or not, that are not leaving.
    std::uint32_t slotsTotal = 0; ///< Slots of active instances.
    std::uint32_t slotsFree = 0; ///< Free slots of active instances.
    std::uint32_t longBusy = 0; ///< Slots of active instances that are held by long work.
    std::array<FairQueue, workLengths> queues; ///< By WorkLength.
    std::array<RunTimeMean, workLengths> runTimes; ///< By WorkLength as it turned out.
    DemandMeter shortDemand;
    RecentDemand demand; ///< Of short and long work, refused requests included.

    FairQueue& queue(WorkLength length) { return queues[static_cast<std::size_t>(length)]; }
    const FairQueue& queue(WorkLength length) const { return queues[static_cast<std::size_t>(length)]; }
    std::size_t queued() const { return queues[0].size() + queues[1].size(); }
    std::uint32_t reserve(const ReserveRange& range, Time now) const;
    bool longMayStart(const ReserveRange& range, Time now) const;
    Duration meanRunTime(WorkLength length) const;
    Duration releaseInterval(WorkLength length, const ReserveRange& range, Time now) const;
    void count(const SlotInstance& instance, int sign);
};

} // namespace sp
