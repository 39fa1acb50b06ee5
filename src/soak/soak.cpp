#include "soak/fault_plan.h"
#include "soak/load.h"
#include "soak/world.h"

#include <algorithm>

namespace sp::soak {

namespace {

    /** Time in which everything must have settled after the last fault: 35 s for the drain of a process in progress and
     * its restart, 5 s for the backoff, 3 s for old leases, and the run times of the queued jobs. */
    constexpr std::uint64_t settleSteps = 9000;
    constexpr std::uint64_t answerSteps = 1000; ///< The last queries for jobs are sent this long before the end.

    std::string quantiles(const std::string& name, std::vector<Duration> times)
    {
        if (times.empty())
            return name + ": none";
        std::sort(times.begin(), times.end());
        return name + ": " + std::to_string(times.size()) + ", p50 " + std::to_string(toMs(times[times.size() / 2]))
            + " ms, p99 " + std::to_string(toMs(times[times.size() * 99 / 100])) + " ms, longest "
            + std::to_string(toMs(times.back())) + " ms";
    }

    /** Runs the phase without faults at the end and checks that everything has settled. */
    void settle(World& world, Load& load, FaultPlan& plan, std::uint64_t& step)
    {
        plan.healAll();
        for (std::uint64_t i = 0; i < settleSteps && world.checks().failure().empty(); ++i, ++step) {
            if (i + answerSteps == settleSteps)
                load.askForJobs();
            world.step();
        }
        load.end();
        std::string unowned;
        for (const std::string& shard : world.unownedShards())
            unowned += " " + shard;
        if (!unowned.empty())
            world.checks().fail("liveness: no owner 90 s after the last fault:" + unowned);
    }

} // namespace

/** Runs a cell under faults and checks the invariants after each step. @param options What to run.
 * @return Outcome; equal for equal options. */
SoakResult runSoak(const SoakOptions& options)
{
    World world(options);
    Load load(world);
    FaultPlan plan(world, load);
    load.writeFirstBundle();
    for (Process& process : world.processes())
        world.startProcess(process);
    std::uint64_t step = 0;
    for (; step < options.steps && world.checks().failure().empty(); ++step) {
        if (options.faults)
            plan.step();
        if (options.wholeCore)
            load.step();
        world.step();
    }
    if (world.checks().failure().empty())
        settle(world, load, plan, step);
    SoakResult result;
    result.step = step;
    result.failure = world.checks().failure();
    result.failed = !result.failure.empty();
    result.trace = world.timeline().lines();
    result.traceHash = world.timeline().traceHash();
    for (const auto& [name, count] : world.checks().counts())
        result.figures.push_back(name + ": " + std::to_string(count));
    result.figures.push_back(quantiles("take-overs in calm conditions", world.takeovers()));
    return result;
}

} // namespace sp::soak
