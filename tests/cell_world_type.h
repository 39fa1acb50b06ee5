/** @file cell_world_type.h Simulated targets and what they have been told. */
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
    Duration worked {}; ///< Before startedAt, restored from a checkpoint.
    Duration length {}; ///< Work until the run is done; 0 for one that lasts.
    Time leaseEnds {};
    std::uint64_t serial = 0; ///< Distinguishes runs for their scheduled ends.
};

/** A simulated target. */
struct WorldTarget {
    TargetEntry entry;
    FencingToken token;
    Time leaseEnds {}; ///< Of the longest lease granted.
    Time lapsedAt {}; ///< When no lease was in force last.
    std::map<std::uint64_t, Time> endedAt; ///< Time of each end.
    std::map<CellTaskKey, WorldRun> runs;
    std::vector<EndRow> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    std::set<std::pair<CellTaskKey, std::uint32_t>> stopped; ///< Runs that were stopped or have ended.
    bool listed = true;
    bool reachable = true; ///< Orders arrive and answers return.
    bool alive = true; ///< False: it runs nothing and never answers.
    bool failsAll = false; ///< Each run fails at once.
    bool standsStill = false; ///< Runs make no progress.
    int loseStarts = 0; ///< So many start orders are carried out without an answer.
    int delayOrders = 0; ///< So many orders get no answer and are carried out seconds later.
    OrderResult refuseStarts = OrderResult::Done; ///< Anything else: start orders are refused with it.
    std::function<void()> answerLook; ///< The look that waits for an end.
};

/** A start that a target has carried out. */
struct WorldStart {
    CellTaskKey task;
    std::uint32_t run = 0;
    TargetId target;
    Time at {};
};

} // namespace sp::test
