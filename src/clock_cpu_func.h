/** @file clock_cpu_func.h CPU time of the process and random numbers that differ between runs. */
#pragma once

#include "id_type.h"
#include "time_type.h"

namespace sp {

Duration processCpuTime();
Incarnation drawIncarnation();

} // namespace sp
