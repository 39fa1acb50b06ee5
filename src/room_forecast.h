/** @file room_forecast.h Forecasts which waiting steps find room in a service. Depends on its arguments only. */
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace sp {

/** Targets of a service with the same labels and capacity. */
struct RoomPool {
    double freeCores = 0; ///< Cores that no run uses.
    double freedPerSecond = 0; ///< Cores that runs are expected to free each second.
};

/** What a step needs, and on which targets it may be placed. */
struct RoomDemand {
    double cores = 0; ///< Cores of the tasks that wait.
    std::chrono::milliseconds within { 0 }; ///< The first task has to find room within this time.
    double usablePart = 1; ///< Part of the targets that the advisor has not denied.
    std::vector<std::size_t> pools {}; ///< Indices of the pools that may run the step; empty if all may.
};

/**
 * Room of a service that its waiting steps may count on, in the order in which they get it. A step that only some of
 * the targets may run takes no more from those behind it than these targets have.
 */
class RoomForecast {
public:
    RoomForecast() = default;
    RoomForecast(double freeCores, double freedPerSecond);
    explicit RoomForecast(std::vector<RoomPool>&& pools);
    bool take(double cores, std::chrono::milliseconds within);
    bool take(const RoomDemand& demand);

private:
    double roomOf(const std::vector<std::size_t>& pools, std::chrono::milliseconds within) const;

    std::vector<RoomPool> m_pools;
    std::vector<double> m_takenByPool; ///< Cores taken by steps that only some pools may run.
    RoomPool m_all; ///< Sum of all pools.
    double m_takenCores = 0;
};

} // namespace sp
