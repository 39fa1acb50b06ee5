/** @file time_type.h Clock and time types. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace sp {

/**
 * Clock that runs while the host is suspended (CLOCK_BOOTTIME), so that a lease is never taken for fresh after a pause.
 * Functions that decide take the present time as an argument; only clock.cpp and the threads that feed them read it.
 */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true;
    static time_point now();
};

using Time = BootClock::time_point; ///< A point on the host's own clock; never comparable between hosts.
using Duration = std::chrono::nanoseconds;

/** Reads the calendar clock, for log lines and records only; no decision rests on it. @return Present time. */
std::chrono::system_clock::time_point wallNow();

/** Text of a calendar time. @param time Time. @return RFC 3339 in UTC with microseconds. */
std::string wallText(std::chrono::system_clock::time_point time);

/**
 * Whole milliseconds of a duration, rounded down.
 * @param duration Duration.
 * @return Number of milliseconds.
 */
constexpr std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/**
 * Whole microseconds of a duration, rounded down.
 * @param duration Duration.
 * @return Number of microseconds.
 */
constexpr std::int64_t toUs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

} // namespace sp
