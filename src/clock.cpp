#include "time_type.h"

#include <ctime>

namespace sp {

/** @return The present time on CLOCK_BOOTTIME. */
BootClock::time_point BootClock::now()
{
    timespec spec {};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec));
}

} // namespace sp
