#include "room_forecast.h"

#include <algorithm>

namespace sp {

namespace {

    /** The advisor allows a part of the targets for a step, so that not each step can use the room that is freed. */
    constexpr double roomSurplus = 1.5;
    /** A step that more of the targets may run takes what it waits for: the surplus covers the targets denied to it. */
    constexpr double narrowPart = 0.5;

    double roomWithin(const RoomPool& pool, std::chrono::milliseconds within)
    {
        const double seconds = std::chrono::duration<double>(within).count();
        return roomSurplus * (pool.freeCores + pool.freedPerSecond * seconds);
    }

} // namespace

/** Creates the forecast of a service whose targets are all alike. */
RoomForecast::RoomForecast(double freeCores, double freedPerSecond)
    : RoomForecast(std::vector<RoomPool> { { freeCores, freedPerSecond } })
{
}

RoomForecast::RoomForecast(std::vector<RoomPool>&& pools)
    : m_pools(std::move(pools))
    , m_takenByPool(m_pools.size())
{
    for (const RoomPool& pool : m_pools) {
        m_all.freeCores += pool.freeCores;
        m_all.freedPerSecond += pool.freedPerSecond;
    }
}

double RoomForecast::roomOf(const std::vector<std::size_t>& pools, std::chrono::milliseconds within) const
{
    double room = 0;
    for (const std::size_t pool : pools)
        room += roomWithin(m_pools.at(pool), within);
    return room;
}

/** Assigns cores of any targets to the next step. @return True if the first of its tasks may find room in time. */
bool RoomForecast::take(double cores, std::chrono::milliseconds within) { return take({ cores, within, 1, {} }); }

/** Assigns cores to the next step. @return True if the first of its tasks may find room in time. */
bool RoomForecast::take(const RoomDemand& demand)
{
    const double room = roomWithin(m_all, demand.within);
    bool found = m_takenCores <= room;
    double cores = demand.cores;
    if (demand.usablePart < narrowPart)
        cores = std::min(cores, demand.usablePart * room);
    if (!demand.pools.empty()) {
        const double roomOfPools = roomOf(demand.pools, demand.within);
        double takenOfPools = 0;
        for (const std::size_t pool : demand.pools)
            takenOfPools += m_takenByPool.at(pool);
        found = found && takenOfPools <= roomOfPools;
        for (const std::size_t pool : demand.pools) {
            const double part = roomOfPools > 0 ? roomWithin(m_pools.at(pool), demand.within) / roomOfPools
                                                : 1.0 / static_cast<double>(demand.pools.size());
            m_takenByPool.at(pool) += part * cores;
        }
        cores = std::clamp(roomOfPools - takenOfPools, 0.0, cores);
    }
    m_takenCores += cores;
    return found;
}

} // namespace sp
