#include "displacement.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace sp {

namespace {

    // Losses in core-seconds. The constants exceed what a single run can lose, so that they separate the classes.

    constexpr double aboveShareLoss = 1e3; ///< A run of an account above its share.
    constexpr double ordinaryLoss = 2e3; ///< A run whose job has value and whose account is within its share.
    constexpr double repeatedLoss = 1e5; ///< For each time that the task was displaced before.

    double lossOf(const DisplaceableRun& run)
    {
        constexpr double milli = 1000;
        double loss = run.displaced * repeatedLoss;
        if (!run.valueLost)
            loss += run.aboveShare ? aboveShareLoss : ordinaryLoss;
        return loss
            + static_cast<double>(run.taken.coresMilli) / milli * std::chrono::duration<double>(run.delay).count();
    }

    /** Runs of a site that make room for at least one more task, as positions in DisplacementSite::runs. */
    struct Bundle {
        std::vector<std::size_t> runs;
        std::uint32_t tasks = 0;
        double lossPerTask = 0;
    };

    std::uint32_t tasksWithin(const Resources& room, const DisplacementDemand& demand, std::uint32_t limit)
    {
        std::int64_t count = limit;
        const auto limitBy = [&](std::int64_t available, std::int64_t each) {
            if (each > 0)
                count = std::min(count, std::max<std::int64_t>(available, 0) / each);
            else if (available < 0)
                count = 0;
        };
        limitBy(room.coresMilli, demand.each.coresMilli);
        limitBy(room.memoryMb, demand.each.memoryMb);
        limitBy(room.accelerators, demand.each.accelerators);
        return static_cast<std::uint32_t>(count);
    }

    /** Returns the runs of a site that make room for a task at the least loss; nothing if all of them don't suffice. */
    std::optional<Bundle> cheapestBundle(const DisplacementSite& site, const DisplacementDemand& demand)
    {
        const std::uint32_t limit = std::min(demand.tasks, site.maxTasks);
        Bundle bundle;
        Resources room = site.room;
        for (std::size_t i = 0; i < site.runs.size() && tasksWithin(room, demand, limit) == 0; ++i) {
            room += site.runs[i].taken;
            bundle.runs.push_back(i);
        }
        if (tasksWithin(room, demand, limit) == 0)
            return std::nullopt;
        // A large run may make an earlier, smaller one needless.
        for (std::size_t i = bundle.runs.size(); i-- > 0;) {
            const Resources without = room - site.runs[bundle.runs[i]].taken;
            if (tasksWithin(without, demand, limit) > 0) {
                room = without;
                bundle.runs.erase(bundle.runs.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        bundle.tasks = tasksWithin(room, demand, limit);
        for (const std::size_t run : bundle.runs)
            bundle.lossPerTask += lossOf(site.runs[run]) / bundle.tasks;
        return bundle;
    }

} // namespace

/**
 * Returns whether a step without room may displace runs now. A job that can't meet its objective any more would gain
 * too little. Unless allowed always, a step waits for room as long as a stop would still come in time.
 */
bool isDisplacementDue(const DisplacementUrgency& urgency)
{
    /** Covers the record and the order of the start, and the report of the end. */
    constexpr std::chrono::milliseconds overhead { 250 };
    /** Tasks that last have to run again within seconds; most room becomes free sooner in a cell that is not full. */
    constexpr std::chrono::milliseconds lastingPatience { 500 };
    if (urgency.lasting)
        return urgency.waited >= lastingPatience;
    if (urgency.slack < Duration(0))
        return false;
    return urgency.always || urgency.slack <= urgency.stopTime + overhead;
}

/**
 * Returns how long a run will take from now on.
 * @param estimate Run time as estimated by the caller; may be too low by a factor of two and more.
 * @param percent Last reported progress. That of a restored run includes the work of earlier runs.
 * @param untilProgress Time from the start of the run to that report.
 * @param sinceProgress Time since that report.
 */
Duration remainingRunTime(Duration estimate, int percent, Duration untilProgress, Duration sinceProgress)
{
    constexpr int whole = 100;
    constexpr int minPercent = 10; ///< With less progress its rate is not known well.
    const int done = std::clamp(percent, 0, whole);
    const Duration total = done < minPercent ? estimate : std::max(estimate, untilProgress * whole / done);
    return std::max(Duration(0), total * (whole - done) / whole - sinceProgress);
}

/**
 * Chooses runs to stop until each task that lacks room has some, or no further run helps. The least loss for each task
 * comes first: work without value, then work of accounts above their share, then the least delay; tasks that were
 * displaced before come last. Room that is about to be free is used before any run is stopped.
 */
std::vector<DisplacementChoice> chooseDisplacements(
    std::vector<DisplacementSite> sites, const DisplacementDemand& demand)
{
    DisplacementDemand lacking = demand;
    std::vector<std::optional<Bundle>> bundles;
    for (DisplacementSite& site : sites) {
        std::stable_sort(site.runs.begin(), site.runs.end(),
            [](const DisplaceableRun& a, const DisplaceableRun& b) { return lossOf(a) < lossOf(b); });
        bundles.push_back(cheapestBundle(site, lacking));
    }
    std::vector<DisplacementChoice> choices;
    while (lacking.tasks > 0) {
        std::size_t best = sites.size();
        double bestLoss = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < sites.size(); ++i) {
            if (bundles[i] && bundles[i]->lossPerTask < bestLoss) {
                best = i;
                bestLoss = bundles[i]->lossPerTask;
            }
        }
        if (best == sites.size())
            break;
        DisplacementSite& site = sites[best];
        const Bundle bundle = *bundles[best];
        DisplacementChoice choice { site.index, std::min(bundle.tasks, lacking.tasks), {} };
        for (std::size_t i = bundle.runs.size(); i-- > 0;) {
            const auto run = site.runs.begin() + static_cast<std::ptrdiff_t>(bundle.runs[i]);
            choice.runs.push_back(run->index);
            site.room += run->taken;
            site.runs.erase(run);
        }
        for (std::uint32_t i = 0; i < choice.tasks; ++i)
            site.room -= demand.each;
        site.maxTasks -= choice.tasks;
        lacking.tasks -= choice.tasks;
        choices.push_back(std::move(choice));
        bundles[best] = cheapestBundle(site, lacking);
    }
    return choices;
}

} // namespace sp
