/** @file cell_world_type.h Simulated targets, their runs, and the start orders that they have carried out. */
#pragma once

#include "cell_type.h"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace sp::test {

/** A run on a simulated target. */
struct WorldRun {
    std::uint32_t run = 0;
    Time startedAt {};
    Duration restoredWork {}; ///< Work done before startedAt and restored from a checkpoint.
    Duration length {}; ///< Work until the run is done; 0 for a run that lasts until it is cancelled.
    Time leaseEnds {}; ///< Expiry of the run's lease.
    std::uint64_t serial = 0; ///< Distinguishes this run from a later one of the same task when a scheduled end is due.
};

/** A simulated target. */
struct WorldTarget {
    TargetEntry entry;
    FencingToken token; ///< Highest fencing token received.
    Time clockStart { std::chrono::minutes(50) }; ///< Time at which the clock of this incarnation showed 0.
    Time leaseEnds {}; ///< Latest expiry of all granted leases.
    Time lapsedAt {}; ///< Last time at which no lease was in force.
    std::map<std::uint64_t, Time> endedAt; ///< Time of each end, by sequence number.
    std::map<CellTaskKey, WorldRun> runs;
    std::vector<EndRow> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    std::set<std::pair<CellTaskKey, std::uint32_t>> stopped; ///< Runs that were stopped or have ended.
    /** Capacity before it shrank, which a start may still count on until formerCapacityUntil. */
    Resources formerCapacity;
    Time formerCapacityUntil {};
    bool listed = true; ///< Contained in the simulated list of targets.
    bool reachable = true; ///< Orders and answers are delivered.
    bool alive = true; ///< If false, the target runs nothing and never answers.
    bool answersForAnother = false; ///< Another target has its address, which answers no call to this one.
    bool failsAll = false; ///< Each run fails shortly after its start.
    bool standsStill = false; ///< Runs make no progress.
    int loseStarts = 0; ///< Number of start orders that will be carried out without an answer.
    int ordersToDelay = 0; ///< Number of orders that will be carried out seconds late and without an answer.
    /** Any value but Done is returned for every start order, which is then not carried out. */
    OrderResult refuseStarts = OrderResult::Done;
    /** Any value but Done is returned for every request for a report. */
    OrderResult refuseReports = OrderResult::Done;
    /** Answers the long poll that waits for the end of a run; empty if there is none. */
    std::function<void()> answerLongPoll;
    std::function<void()> resetLongPoll; ///< Ends that long poll without an answer; empty if there is none.
};

/** A start order that a target has carried out. */
struct WorldStart {
    CellTaskKey task;
    std::uint32_t run = 0;
    TargetId target;
    Time at {};
};

} // namespace sp::test
