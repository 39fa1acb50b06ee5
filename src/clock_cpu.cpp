#include "clock_cpu_func.h"

#include <ctime>
#include <random>

namespace sp {

/** @return CPU time that all threads of the process have used. */
Duration processCpuTime()
{
    timespec spec {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spec);
    return std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec);
}

/** @return Random number, never 0, that tells this run of the process from others. */
Incarnation drawIncarnation()
{
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t number = (high << 32U) | device();
    return Incarnation(number == 0 ? 1 : number);
}

} // namespace sp
