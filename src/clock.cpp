#include "time_type.h"

#include <cstdio>
#include <ctime>

namespace sp {

/** @return The present time on CLOCK_BOOTTIME. */
BootClock::time_point BootClock::now()
{
    timespec spec {};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec));
}

std::chrono::system_clock::time_point wallNow() { return std::chrono::system_clock::now(); }

std::string wallText(std::chrono::system_clock::time_point time)
{
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = us / 1000000;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    char text[40];
    const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text + size, sizeof text - size, ".%06dZ", static_cast<int>(us % 1000000));
    return text;
}

} // namespace sp
