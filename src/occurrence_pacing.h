/** @file occurrence_pacing.h Limits how many occurrences of a job with times are in progress. */
#pragma once

#include <chrono>
#include <cstddef>

namespace sp {

/** The occurrences of a job that are in progress, and the next one, which is due. */
struct OccurrenceLoad {
    std::size_t openTasks = 0; ///< Tasks of the occurrences in progress.
    std::size_t tasksEach = 0; ///< Tasks of one occurrence.
    std::chrono::milliseconds path { 0 }; ///< Critical path of an occurrence.
    std::chrono::milliseconds interval { 0 }; ///< Time between the due times of two occurrences.
    std::chrono::milliseconds overdue { 0 }; ///< Time since the next occurrence was due.
    std::chrono::milliseconds valueLostAfter { 0 }; ///< An occurrence that ends so long after it was due has no value.
};

/** Limits that follow from the store and from the memory of a host. */
struct OccurrenceLimits {
    std::size_t openTasks = 0; ///< Tasks in progress that the record of one job can name.
};

OccurrenceLimits occurrenceLimits(std::size_t valueBytes);
bool mayBeginOccurrence(const OccurrenceLoad& load, const OccurrenceLimits& limits);

} // namespace sp
