/** @file placement.h Selects the target on which a task is placed. The functions depend on their arguments only. */
#pragma once

#include "cell_job.h"
#include "cell_target.h"

#include <vector>

namespace sp {

/** A candidate target for the tasks of one placement decision. */
struct PlacementOption {
    CellTarget* target = nullptr;
    Resources room; ///< Free capacity that remains after the placements of this decision.
    std::uint32_t sameStep = 0; ///< Number of tasks of the same step on the target.
};

/** Requirements and preferences for the placement of a task. */
struct PlacementRequirements {
    const StepSpec* step = nullptr;
    /** Targets on which the task failed, chosen only if no other has room; may be null. */
    const std::set<TargetId>* avoid = nullptr;
    RackId gangRack; ///< Preferred rack of a colocated gang; empty for none.
    const SpeedPreference* speeds = nullptr; ///< Set if the targets are known to differ in speed.
    ImageSet conflicts {}; ///< Images that slow the step's tasks down or are slowed down by them.
};

bool mayEverRun(const CellTarget& target, const StepSpec& step);
std::uint32_t tasksThatFit(const PlacementOption& option, const StepSpec& step);
double placementCost(const PlacementOption& option, const PlacementRequirements& requirements);
PlacementOption* chooseOption(std::vector<PlacementOption>& options, const PlacementRequirements& requirements);
bool placeGang(std::vector<PlacementOption>& options, const StepSpec& step, std::vector<CellTarget*>& chosen,
    const PlacementRequirements& preferences = {});

} // namespace sp
