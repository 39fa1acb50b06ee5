#include "slot_service.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    /** Samples that make up a mean: enough to smooth it, few enough to follow a change within a second at peak. */
    constexpr std::uint32_t meanSamples = 64;

    /** Run times taken before any is learned. */
    constexpr std::array<Duration, workLengths> assumedRunTime { std::chrono::milliseconds(100),
        std::chrono::seconds(2) };

    constexpr double fastSeconds = 1;
    constexpr double slowSeconds = 30;

    /** Standard deviations of a Poisson demand that the reserve holds above its mean. */
    constexpr double reserveDeviations = 2;

    double decay(Time from, Time to, double seconds)
    {
        return std::exp(-std::max(0.0, std::chrono::duration<double>(to - from).count()) / seconds);
    }

} // namespace

/** Adds a sample. @param value Run time. */
void RunTimeMean::add(Duration value)
{
    m_samples = std::min(m_samples + 1, meanSamples);
    m_mean += (static_cast<double>(value.count()) - m_mean) / m_samples;
}

/** Adds an arrival. @param slotTime Expected slot time. @param now Present time. */
void DemandMeter::add(Duration slotTime, Time now)
{
    const double seconds = std::chrono::duration<double>(slotTime).count();
    m_fast = m_fast * decay(m_updatedAt, now, fastSeconds) + seconds / fastSeconds;
    m_slow = m_slow * decay(m_updatedAt, now, slowSeconds) + seconds / slowSeconds;
    m_updatedAt = std::max(m_updatedAt, now);
}

/** Demand now. @param now Present time. @return Slots kept busy by the arrivals seen. */
double DemandMeter::slots(Time now) const
{
    return std::max(m_fast * decay(m_updatedAt, now, fastSeconds), m_slow * decay(m_updatedAt, now, slowSeconds));
}

/** Adds an arrival. @param slotTime Expected slot time. @param now Present time. */
void RecentDemand::add(Duration slotTime, Time now)
{
    m_slots = slots(now) + std::chrono::duration<double>(slotTime).count() / seconds;
    m_updatedAt = std::max(m_updatedAt, now);
}

/** Demand now. @param now Present time. @return Slots kept busy by the arrivals seen. */
double RecentDemand::slots(Time now) const { return m_slots * decay(m_updatedAt, now, seconds); }

/**
 * Slots that long work can't take; at least one slot stays open to it.
 * @param range Bounds from the bundle.
 * @param now Present time.
 * @return Number of slots.
 */
std::uint32_t SlotService::reserve(const ReserveRange& range, Time now) const
{
    if (slotsTotal == 0)
        return 0;
    const double shorts = shortDemand.slots(now);
    const double wanted = shorts + reserveDeviations * std::sqrt(shorts);
    const double least = range.min * slotsTotal;
    const double bounded = std::clamp(wanted, least, std::max(least, range.max * slotsTotal));
    return std::min(static_cast<std::uint32_t>(std::ceil(bounded)), slotsTotal - 1);
}

/** Whether the reserve leaves a slot for long work. @param range Bounds. @param now Present time. @return True if so.
 */
bool SlotService::longMayStart(const ReserveRange& range, Time now) const
{
    return slotsFree > 0 && longBusy + reserve(range, now) < slotsTotal;
}

/** Mean run time of recent work, assumed if none is known. @param length Kind of work. @return Mean. */
Duration SlotService::meanRunTime(WorkLength length) const
{
    const auto i = static_cast<std::size_t>(length);
    return runTimes[i].known() ? std::max(runTimes[i].value(), Duration(1)) : assumedRunTime[i];
}

/**
 * Expected time between two starts of queued work of a length while all slots are busy.
 * @param length Kind of work.
 * @param range Bounds of the reserve.
 * @param now Present time.
 * @return Time.
 */
Duration SlotService::releaseInterval(WorkLength length, const ReserveRange& range, Time now) const
{
    const std::uint32_t slots
        = length == WorkLength::Long ? slotsTotal - reserve(range, now) : slotsTotal - std::min(longBusy, slotsTotal);
    return meanRunTime(length) / std::max(1U, slots);
}

/** Adds an instance to the counts or takes it off. @param instance Instance. @param sign 1 or -1. */
void SlotService::count(const SlotInstance& instance, int sign)
{
    const auto apply = [sign](std::uint32_t& total, std::uint32_t amount) { total += sign > 0 ? amount : 0U - amount; };
    if (!instance.leaving)
        apply(instances, 1);
    if (!instance.active())
        return;
    apply(slotsTotal, instance.info.slots);
    apply(slotsFree, instance.free());
    apply(longBusy, instance.longBusy);
}

} // namespace sp
