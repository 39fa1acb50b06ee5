/** @file crash_suspect.h Decides about tasks that may have crashed their targets. Depends on its arguments only. */
#pragma once

#include "time_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sp {

/** Crashes of targets under the runs of a task. */
struct CrashHistory {
    std::uint32_t crashes = 0;
    std::uint32_t crashesAlone = 0; ///< Those while the task certainly ran and had the target for itself.
    bool gang = false; ///< Members of a gang run beside each other, so none gets a target alone.
};

/** A task that a target is held for lasts this long there by itself before others may join it. */
constexpr std::chrono::seconds aloneTimeToClear { 2 };

bool crashesTargets(const CrashHistory& history);
bool isCleared(Time startedAt, Time heardAt);
std::size_t mostTargetsHeld(std::size_t targetsOfService);
std::chrono::milliseconds longestWaitForTarget(std::uint32_t crashes);

} // namespace sp
