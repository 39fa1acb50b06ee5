/** @file placement.h Which target a task is placed on. Pure functions of what the owner knows. */
#pragma once

#include "cell_job.h"
#include "cell_target.h"

#include <vector>

namespace sp {

/** A target that may run a task, as seen by one placing decision. */
struct PlacementOption {
    CellTarget* target = nullptr;
    Resources room; ///< Free capacity, less what this decision has already placed.
    std::uint32_t sameStep = 0; ///< Tasks of the same step there.
};

/** What a task needs and what the decision prefers. */
struct PlacementNeed {
    const StepSpec* step = nullptr;
    const std::set<TargetId>* avoid = nullptr; ///< Targets on which the task failed; only used if nothing else is left.
    RackId gangRack; ///< Rack of the other members of a colocated gang, if one is chosen.
};

bool mayEverRun(const CellTarget& target, const StepSpec& step);
std::uint32_t tasksThatFit(const PlacementOption& option, const StepSpec& step);
double placementCost(const PlacementOption& option, const PlacementNeed& need);
PlacementOption* chooseOption(std::vector<PlacementOption>& options, const PlacementNeed& need);
bool placeGang(std::vector<PlacementOption>& options, const StepSpec& step, std::vector<CellTarget*>& chosen);

} // namespace sp
