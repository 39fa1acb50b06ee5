/** @file tail_guard.h Slows filling tasks down to keep the response times of serving tasks on the same target low. */
#pragma once

#include "cell_target.h"

#include <vector>

namespace sp {

/** A new speed limit for a run. */
struct PaceChange {
    CellTaskKey task;
    std::uint32_t run = 0;
    int percent = 100;
};

/** Tail of the response times of one serving task, and its target value. */
struct TailReading {
    std::chrono::milliseconds tail { 0 }; ///< As last reported, over the last half second.
    std::chrono::milliseconds target { 0 };
};

std::vector<PaceChange> decidePaces(
    const CellTarget& target, const std::vector<TailReading>& tails, std::chrono::milliseconds impact, Time now);

} // namespace sp
