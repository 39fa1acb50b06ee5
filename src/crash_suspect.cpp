#include "crash_suspect.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::uint32_t aloneCrashesForVerdict = 2;
    /** As many crashes are enough if the task had one of the targets for itself. */
    constexpr std::uint32_t crashesForVerdict = 3;
    /** Whatever ran beside the task. Bounds the harm of a task that crashes its targets only after a while. */
    constexpr std::uint32_t maxCrashes = 4;
    constexpr std::uint32_t maxGangCrashes = 3;
    constexpr std::size_t targetsPerHeldOne = 4; ///< One crash may make suspects of all tasks of a target.
    /** Afterwards a task is placed beside others, as its job would end too late. */
    constexpr std::chrono::milliseconds longestWait { 1500 };
    /** Of a task that was hit twice; a held target is free again by then. */
    constexpr std::chrono::milliseconds longestWaitAfterSecondCrash { 2500 };

} // namespace

/** Returns whether a task is taken to be the cause of the crashes, so that it is not started again. */
bool crashesTargets(const CrashHistory& history)
{
    if (history.gang)
        return history.crashes >= maxGangCrashes;
    return history.crashesAlone >= aloneCrashesForVerdict || history.crashes >= maxCrashes
        || (history.crashesAlone > 0 && history.crashes >= crashesForVerdict);
}

/**
 * Returns whether a run that has its target for itself has shown that it doesn't crash it: tasks become suspects by
 * crashes soon after their start.
 * @param heardAt Time of the last report of the target in which the run is at work.
 */
bool isCleared(Time startedAt, Time heardAt) { return heardAt - startedAt > aloneTimeToClear; }

/** Returns how many targets of a service may be held at once, each for one suspect. The others stay open to all. */
std::size_t mostTargetsHeld(std::size_t targetsOfService)
{
    return std::max<std::size_t>(1, targetsOfService / targetsPerHeldOne);
}

/** Returns how long a suspect waits for a target for itself. */
std::chrono::milliseconds longestWaitForTarget(std::uint32_t crashes)
{
    return crashes > 1 ? longestWaitAfterSecondCrash : longestWait;
}

} // namespace sp
