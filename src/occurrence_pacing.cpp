#include "occurrence_pacing.h"

#include <algorithm>

namespace sp {

namespace {

    /** Bytes that a task takes in the record of its job, with ids and a checkpoint of twice the usual length. */
    constexpr std::size_t recordBytesPerTask = 256;
    /** Tasks that a job may have in progress in any case while it catches up. */
    constexpr std::size_t minCatchUpTasks = 4;
    /** Occurrences that are due more often than this are caught up on as if they were due so often. */
    constexpr std::chrono::milliseconds minCatchUpInterval { 100 };

    /** Returns the tasks that a job may have in progress while it catches up, just more than it has when in time. */
    std::size_t catchUpTasks(const OccurrenceLoad& load)
    {
        const auto overlapping
            = std::max(load.path, std::chrono::milliseconds(0)) / std::max(load.interval, minCatchUpInterval);
        return std::max(minCatchUpTasks, (static_cast<std::size_t>(overlapping) + 1) * load.tasksEach);
    }

} // namespace

/** @param valueBytes Largest value that the store accepts. */
OccurrenceLimits occurrenceLimits(std::size_t valueBytes)
{
    return { std::max<std::size_t>(1, valueBytes / recordBytesPerTask) };
}

/**
 * Returns whether the next occurrence of a job may begin. One may always be in progress. Others overlap as far as the
 * record of the job can hold them; those that come too late to be of value only as far as the job needs to catch up, so
 * that one whose times lie far in the past takes little room from others.
 */
bool mayBeginOccurrence(const OccurrenceLoad& load, const OccurrenceLimits& limits)
{
    if (load.openTasks == 0)
        return true;
    const std::size_t tasks = load.openTasks + load.tasksEach;
    return tasks <= limits.openTasks && (load.overdue <= load.valueLostAfter || tasks <= catchUpTasks(load));
}

} // namespace sp
