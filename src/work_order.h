/** @file work_order.h Order of the queue of steps under load. Depends on its arguments only. */
#pragma once

#include "time_type.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace sp {

/** What is known of a job's occurrence whose steps wait for placement. */
struct WorkItem {
    Time submittedAt {};
    std::chrono::milliseconds objective { 0 }; ///< Time from submission to the end of the objective.
    double slackFactor = 1; ///< QueueConfig::slackFactor of the job's queue.
    std::chrono::milliseconds remainingPath { 0 }; ///< Critical path of the steps that are not complete.
    std::int64_t remainingCoreMs = 0; ///< Core-milliseconds of the tasks that are not placed yet.
    bool begun = false; ///< At least one task has started.
    bool lasting = false; ///< The step runs until the job is cancelled; it has no objective.
    bool beyondRate = false; ///< The job was submitted beyond the usual rate of its account.
    bool aboveShare = false; ///< The account runs more than its share of a full cell.
};

/** Band of a step within its priority; a lower one goes first. */
enum class WorkBand : std::uint8_t {
    InTime, ///< Can still complete within the objective, of an account within its share.
    InTimeAboveShare, ///< Can still complete within the objective, of an account above its share.
    Late, ///< Can still complete within three times the objective.
    Rest, ///< Can't complete in time to have any value, or beyond the rate of its account.
};

const char* workBandName(WorkBand band);

/** Place of a step in the queue of its priority; a lower rank goes first. */
struct WorkRank {
    WorkBand band = WorkBand::InTime;
    bool worthless = false; ///< Can't complete within three times the objective.
    bool aboveShare = false; ///< In WorkBand::Rest: of an account above its share, as one that goes on submitting is.
    bool unbegun = false; ///< Finishing a job that has begun gives its whole value for a part of its work.
    /** Latest time at which the remaining work can begin and end within the objective; set in the first two bands. */
    Time latestBegin {};
    int sizeClass = 0; ///< Binary logarithm of the remaining work, less the credit of jobs that have begun.
    Time submittedAt {};

    auto operator<=>(const WorkRank&) const = default;
};

/** A job that completes later than this multiple of its objective has no value to its caller. */
constexpr int lateObjectiveFactor = 3;

std::chrono::milliseconds pathWithMargin(std::chrono::milliseconds path, double slackFactor);
WorkRank workRank(const WorkItem& item, Time now);

} // namespace sp
