#include "loop_load.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    /** Returns the weight of an observation that lasted this long in an exponential moving average. */
    double weightOf(Duration duration)
    {
        return 1 - std::exp(-std::chrono::duration<double>(duration) / LoopLoad::averagingTime);
    }

} // namespace

/** Records a turn of the loop. @param began Time at which the wait for events ended. */
void LoopLoad::turnEnded(Time began, Time ended)
{
    const Duration turn = std::max(ended - began, Duration(0));
    if (m_lastTurnEndedAt != Time {})
        m_lag
            -= std::chrono::duration_cast<Duration>(m_lag * weightOf(std::max(began - m_lastTurnEndedAt, Duration(0))));
    m_lag += std::chrono::duration_cast<Duration>((turn - m_lag) * weightOf(turn));
    m_lastTurnEndedAt = ended;
    m_report.busy += turn;
    m_report.longestTurn = std::max(m_report.longestTurn, turn);
    ++m_report.turns;
}

/**
 * Returns the load since the last report, at most once in each reportInterval.
 * @param report Receives the load; unchanged if no report is due.
 * @return True if a report was due.
 */
bool LoopLoad::takeReport(Time now, LoopLoadReport& report)
{
    if (m_reportedAt == Time {})
        m_reportedAt = now;
    if (now - m_reportedAt < reportInterval)
        return false;
    m_report.period = now - m_reportedAt;
    report = m_report;
    m_report = {};
    m_reportedAt = now;
    return true;
}

} // namespace sp
