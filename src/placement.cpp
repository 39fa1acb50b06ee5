#include "placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace sp {

namespace {

    // Weights of the cost of a placement; 1 stands for the whole capacity of a target.
    constexpr double remoteWeight = 4; ///< A remote task runs a multiple of its time; any local room is better.
    constexpr double avoidWeight = 8; ///< A target on which the task has failed is the last choice.
    constexpr double slownessWeight = 1; ///< A target of twice the run time counts like a full one.
    constexpr double disturbWeight = 0.5; ///< Filling beside serving tasks costs pacing later on.

    double share(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    std::size_t countIf(const CellTarget& target, bool Occupant::*flag)
    {
        return static_cast<std::size_t>(std::count_if(
            target.occupants.begin(), target.occupants.end(), [&](const auto& entry) { return entry.second.*flag; }));
    }

} // namespace

/** Whether an empty target could hold a task of a step. @param target Target. @param step Step. @return True if so. */
bool mayEverRun(const CellTarget& target, const StepSpec& step)
{
    const auto& labels = target.entry.labels;
    return step.reserved().fitsIn(target.entry.capacity)
        && (step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

/** Number of tasks of a step that an option has room for. @param option Option. @param step Step. @return Number. */
std::uint32_t tasksThatFit(const PlacementOption& option, const StepSpec& step)
{
    const Resources need = step.reserved();
    std::int64_t count = step.tasks;
    const auto limit = [&](std::int64_t room, std::int64_t each) {
        if (each > 0)
            count = std::min(count, std::max<std::int64_t>(room, 0) / each);
    };
    limit(option.room.coresMilli, need.coresMilli);
    limit(option.room.memoryMb, need.memoryMb);
    limit(option.room.accelerators, need.accelerators);
    if (step.perTargetLimit > 0) {
        const std::int64_t left = std::int64_t { step.perTargetLimit } - option.sameStep;
        count = std::min(count, std::max<std::int64_t>(left, 0));
    }
    return static_cast<std::uint32_t>(count);
}

/**
 * Cost of placing one task; the least is best. Load is spread, since tasks on one target slow each other down beyond
 * what their declared sizes say.
 * @param option Option with room for the task.
 * @param need Task.
 * @return Cost, 0 for an idle, sound, local target.
 */
double placementCost(const PlacementOption& option, const PlacementNeed& need)
{
    const CellTarget& target = *option.target;
    const StepSpec& step = *need.step;
    const Resources left = option.room - step.reserved();
    double cost = 1 - share(left.coresMilli, target.entry.capacity.coresMilli);
    cost += slownessWeight * std::max(0.0, target.slowness - 1);
    if (!step.nearRack.empty() && target.entry.rack != step.nearRack)
        cost += remoteWeight;
    if (!need.gangRack.empty() && target.entry.rack != need.gangRack)
        cost += remoteWeight;
    if (need.avoid && need.avoid->contains(target.id()))
        cost += avoidWeight;
    if (step.fills)
        cost += disturbWeight * static_cast<double>(countIf(target, &Occupant::serves))
            + disturbWeight * static_cast<double>(countIf(target, &Occupant::fills));
    else if (step.tailTarget.count() > 0)
        cost += disturbWeight * static_cast<double>(countIf(target, &Occupant::fills));
    return cost;
}

/**
 * Best option for one task.
 * @param options Options; the chosen one is not changed.
 * @param need Task.
 * @return Option of the least cost that has room, null if none has.
 */
PlacementOption* chooseOption(std::vector<PlacementOption>& options, const PlacementNeed& need)
{
    PlacementOption* best = nullptr;
    double bestCost = 0;
    for (PlacementOption& option : options) {
        if (tasksThatFit(option, *need.step) == 0)
            continue;
        const double cost = placementCost(option, need);
        if (!best || cost < bestCost) {
            best = &option;
            bestCost = cost;
        }
    }
    return best;
}

/**
 * Places all tasks of a gang or none.
 * @param options Options; on success their room is reduced by what was placed.
 * @param step Step of the gang.
 * @param chosen Target of each task, in order.
 * @return True if all tasks have a place.
 */
bool placeGang(std::vector<PlacementOption>& options, const StepSpec& step, std::vector<CellTarget*>& chosen)
{
    PlacementNeed need { &step, nullptr, {} };
    if (step.colocated) {
        std::map<RackId, std::uint32_t> byRack;
        for (const PlacementOption& option : options)
            byRack[option.target->entry.rack] += tasksThatFit(option, step);
        const auto widest = std::max_element(
            byRack.begin(), byRack.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        if (widest != byRack.end())
            need.gangRack = widest->first;
    }
    std::vector<PlacementOption> trial = options;
    chosen.clear();
    for (std::uint32_t i = 0; i < step.tasks; ++i) {
        PlacementOption* option = chooseOption(trial, need);
        if (!option)
            return false;
        option->room -= step.reserved();
        ++option->sameStep;
        chosen.push_back(option->target);
    }
    options = std::move(trial);
    return true;
}

} // namespace sp
