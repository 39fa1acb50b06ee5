/** @file tail_guard.h How far tasks that fill are slowed down to keep the tail of the tasks that serve beside them. */
#pragma once

#include "cell_target.h"

#include <vector>

namespace sp {

/** A change of the share at which a task may work. */
struct PaceChange {
    CellTaskKey task;
    std::uint32_t run = 0;
    int percent = 100;
};

/** Tail of one serving task against its target. */
struct TailReading {
    std::chrono::milliseconds tail { 0 }; ///< As reported, over the last half second.
    std::chrono::milliseconds target { 0 };
};

std::vector<PaceChange> decidePaces(
    const CellTarget& target, const std::vector<TailReading>& tails, std::chrono::milliseconds impact, Time now);

} // namespace sp
