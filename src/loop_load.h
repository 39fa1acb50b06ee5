/** @file loop_load.h Load of an event loop, determined from the durations of its turns. */
#pragma once

#include "time_type.h"

namespace sp {

/** Load of an event loop in a period that has just ended. */
struct LoopLoadReport {
    Duration period {}; ///< Length of the period.
    Duration busy {}; ///< Part of the period that was spent in turns, not in waiting for events.
    Duration longestTurn {};
    std::uint64_t turns = 0;
};

/**
 * Measures the lag of an event loop, the time that an event waits until the loop handles it. An event that arrives
 * during a turn waits for the end of that turn, so the lag is the mean duration of recent turns, weighted by their
 * duration; idle time counts as lag 0.
 */
class LoopLoad {
public:
    /** Time over which the lag is averaged. */
    static constexpr std::chrono::milliseconds averagingTime { 250 };
    static constexpr std::chrono::seconds reportInterval { 1 };

    void turnEnded(Time began, Time ended);
    Duration lag() const { return m_lag; }
    bool takeReport(Time now, LoopLoadReport& report);

private:
    Duration m_lag {};
    Time m_lastTurnEndedAt {};
    Time m_reportedAt {};
    LoopLoadReport m_report; ///< Of the present period.
};

} // namespace sp
