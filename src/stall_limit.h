/** @file stall_limit.h Decides how long a run may make no progress. Depends on its arguments only. */
#pragma once

#include <chrono>
#include <cstdint>

namespace sp {

std::chrono::milliseconds stallLimit(std::chrono::milliseconds estimate, std::uint32_t stalls);

} // namespace sp
