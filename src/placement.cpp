#include "placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace sp {

namespace {

    // Weights in the cost of a placement. A cost of 1 corresponds to a fully reserved target.

    /** A task on a remote rack takes several times as long; any target with room on the right rack is better. */
    constexpr double remoteRackWeight = 4;
    constexpr double failedTargetWeight = 8; ///< Makes a target on which the task has failed the last choice.
    /** A target that takes twice the usual run time costs as much as a fully reserved one. */
    constexpr double slownessWeight = 1;
    /** Exceeds the weight of load, so that targets with all accelerators free are left for tasks that need them all. */
    constexpr double freeAcceleratorWeight = 2;
    constexpr double interferenceWeight = 0.5; ///< Filling tasks beside serving tasks have to be slowed down later.

    /** Exceeds the weight of load, and is less than the cost of a target that is too slow. */
    constexpr double conflictWeight = 1.5;

    double fraction(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    std::size_t countIf(const CellTarget& target, bool Occupant::*flag)
    {
        return static_cast<std::size_t>(std::count_if(
            target.occupants.begin(), target.occupants.end(), [&](const auto& entry) { return entry.second.*flag; }));
    }

} // namespace

/** Returns whether a task of a step could run on the target if the target were empty. */
bool mayEverRun(const CellTarget& target, const StepSpec& step)
{
    const auto& labels = target.entry.labels;
    return step.reserved().fitsIn(target.entry.capacity)
        && (step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

/** Returns how many tasks of a step fit on a candidate target, at most the number of tasks of the step. */
std::uint32_t tasksThatFit(const PlacementOption& option, const StepSpec& step)
{
    const Resources demand = step.reserved();
    std::int64_t count = step.tasks;
    const auto limitBy = [&](std::int64_t room, std::int64_t each) {
        if (each > 0)
            count = std::min(count, std::max<std::int64_t>(room, 0) / each);
    };
    limitBy(option.room.coresMilli, demand.coresMilli);
    limitBy(option.room.memoryMb, demand.memoryMb);
    limitBy(option.room.accelerators, demand.accelerators);
    if (step.perTargetLimit > 0) {
        const std::int64_t left = std::int64_t { step.perTargetLimit } - option.sameStep;
        count = std::min(count, std::max<std::int64_t>(left, 0));
    }
    return static_cast<std::uint32_t>(count);
}

/**
 * Computes the cost of placing one task; the lowest cost is best. The cost grows with the load of the target, because
 * tasks on one target slow each other down more than their declared resources suggest.
 * @param option Target with room for the task.
 * @return Cost; near 0 for a small task on an idle target of normal speed on the preferred rack.
 */
double placementCost(const PlacementOption& option, const PlacementRequirements& requirements)
{
    const CellTarget& target = *option.target;
    const StepSpec& step = *requirements.step;
    const Resources left = option.room - step.reserved();
    double cost = 1 - fraction(left.coresMilli, target.entry.capacity.coresMilli);
    if (step.demand.accelerators > 0)
        cost += freeAcceleratorWeight * fraction(left.accelerators, target.entry.capacity.accelerators);
    cost += requirements.speeds ? requirements.speeds->placementCost(target.speed)
                                : slownessWeight * std::max(0.0, target.slowness - 1);
    if (!step.nearRack.empty() && target.entry.rack != step.nearRack)
        cost += remoteRackWeight;
    if (!requirements.gangRack.empty() && target.entry.rack != requirements.gangRack)
        cost += remoteRackWeight;
    if (requirements.avoid && requirements.avoid->contains(target.id()))
        cost += failedTargetWeight;
    if (target.runsAnyOf(requirements.conflicts))
        cost += conflictWeight;
    if (step.fills)
        cost += interferenceWeight * static_cast<double>(countIf(target, &Occupant::serves))
            + interferenceWeight * static_cast<double>(countIf(target, &Occupant::fills));
    else if (step.tailTarget.count() > 0)
        cost += interferenceWeight * static_cast<double>(countIf(target, &Occupant::fills));
    return cost;
}

/** Returns the candidate with the lowest cost among those with room for the task, null if none has room. */
PlacementOption* chooseOption(std::vector<PlacementOption>& options, const PlacementRequirements& requirements)
{
    PlacementOption* best = nullptr;
    double bestCost = 0;
    for (PlacementOption& option : options) {
        if (tasksThatFit(option, *requirements.step) == 0)
            continue;
        const double cost = placementCost(option, requirements);
        if (!best || cost < bestCost) {
            best = &option;
            bestCost = cost;
        }
    }
    return best;
}

/**
 * Places either all tasks of a gang or none.
 * @param options Candidates; on success, their room is reduced by the placed tasks.
 * @param step Step that forms the gang.
 * @param chosen Receives the target of each task by index; incomplete on failure.
 * @param preferences Speeds and conflicts to consider; the rest does not apply to gangs.
 * @return True if all tasks were placed.
 */
bool placeGang(std::vector<PlacementOption>& options, const StepSpec& step, std::vector<CellTarget*>& chosen,
    const PlacementRequirements& preferences)
{
    PlacementRequirements requirements { &step, nullptr, {}, preferences.speeds, preferences.conflicts };
    if (step.colocated) {
        std::map<RackId, std::uint32_t> roomByRack;
        for (const PlacementOption& option : options)
            roomByRack[option.target->entry.rack] += tasksThatFit(option, step);
        const auto largestRack = std::max_element(
            roomByRack.begin(), roomByRack.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        if (largestRack != roomByRack.end())
            requirements.gangRack = largestRack->first;
    }
    std::vector<PlacementOption> remaining = options;
    chosen.clear();
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
        PlacementOption* option = chooseOption(remaining, requirements);
        if (!option)
            return false;
        option->room -= step.reserved();
        ++option->sameStep;
        chosen.push_back(option->target);
    }
    options = std::move(remaining);
    return true;
}

} // namespace sp
