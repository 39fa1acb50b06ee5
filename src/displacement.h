/** @file displacement.h Chooses runs to stop so that more urgent tasks get room. Depends on its arguments only. */
#pragma once

#include "resource_type.h"
#include "time_type.h"

#include <cstdint>
#include <vector>

namespace sp {

/** A run that may be stopped for more urgent work. Its progress is saved when it is stopped. */
struct DisplaceableRun {
    std::uint32_t index = 0; ///< Identifies the run to the caller.
    Resources taken; ///< Room that becomes free when the run ends.
    std::uint32_t displaced = 0; ///< Number of times that the task was stopped for other work before.
    bool valueLost = false; ///< Its job is too late to be of any value.
    bool aboveShare = false; ///< Its account uses more than its share.
    Duration delay {}; ///< Expected delay of the task: progress at risk, and time until it may be placed again.
};

/** A target on which runs may be stopped. */
struct DisplacementSite {
    std::uint32_t index = 0; ///< Identifies the target to the caller.
    Resources room; ///< Room that is free, or about to be, and that nobody has claimed.
    std::uint32_t maxTasks = 0; ///< Number of further tasks of the step that the target may run.
    std::vector<DisplaceableRun> runs;
};

/** What a step lacks. */
struct DisplacementDemand {
    Resources each; ///< Room for one task.
    std::uint32_t tasks = 0; ///< Number of tasks without room.
};

/** Runs to stop on one target, and the number of tasks that get room by it. */
struct DisplacementChoice {
    std::uint32_t site = 0; ///< DisplacementSite::index.
    std::uint32_t tasks = 0;
    std::vector<std::uint32_t> runs; ///< DisplaceableRun::index; empty if room that is about to be free suffices.
};

/** Times that decide whether a step may displace runs. */
struct DisplacementUrgency {
    bool always = false; ///< A step that can still meet its objective need not wait until it is at risk.
    bool lasting = false; ///< The tasks run until cancelled, so their job has no time of completion.
    Duration waited {}; ///< Time for which the tasks have waited for a target.
    Duration slack {}; ///< Time left until the objective, less the remaining critical path.
    Duration stopTime {}; ///< Maximum time from a stop order to the end of the run.
};

bool isDisplacementDue(const DisplacementUrgency& urgency);
Duration remainingRunTime(Duration estimate, int percent, Duration untilProgress, Duration sinceProgress);
std::vector<DisplacementChoice> chooseDisplacements(
    std::vector<DisplacementSite> sites, const DisplacementDemand& demand);

} // namespace sp
