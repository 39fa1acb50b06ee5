#include "doctest_main.h"

#include "task_test_base.h"

#include <rapidcheck.h>

using namespace sp;
using namespace sp::test;

namespace {

/** Submits and starts one-core batch tasks with the given declared run time. */
void fill(TaskScheduler& scheduler, int tasks, std::chrono::milliseconds run, const std::string& id = "fill")
{
    JobSpec spec = jobSpec(id, "batch", { 1000, 100, 0 }, static_cast<std::uint32_t>(tasks), "filler");
    spec.runTime = run;
    REQUIRE(scheduler.submit(spec, at(0)).error == ErrorKind::Ok);
    REQUIRE(scheduler.schedule(at(0)).starts.size() == static_cast<std::size_t>(tasks));
}

void endTasks(TaskScheduler& scheduler, const std::string& id, std::uint32_t from, std::uint32_t to, double when)
{
    for (std::uint32_t i = from; i < to; ++i)
        scheduler.taskEnded(makeTaskId(JobId(id), i), TaskEnd::Succeeded, {}, at(when));
}

std::size_t startsOf(const ScheduleRound& round, const std::string& job)
{
    return static_cast<std::size_t>(std::count_if(
        round.starts.begin(), round.starts.end(), [&](const TaskStart& start) { return start.job.value == job; }));
}

} // namespace

// Guards against partly started gangs, two of which can deadlock while each holds resources that the other needs.
TEST_CASE("all tasks of a gang start together or none does")
{
    TaskScheduler scheduler = testScheduler(2);
    scheduler.submit(jobSpec("g1", "gang", { 4000, 100, 0 }, 3), at(0));
    scheduler.submit(jobSpec("g2", "gang", { 4000, 100, 0 }, 3), at(1));
    const ScheduleRound round = scheduler.schedule(at(1));
    CHECK(startsOf(round, "g1") == 3);
    CHECK(startsOf(round, "g2") == 0);
    scheduler.checkInvariants();
    endTasks(scheduler, "g1", 0, 3, 2);
    CHECK(startsOf(scheduler.schedule(at(2)), "g2") == 3);
    scheduler.checkInvariants();
}

// Guards against starvation of a gang by small tasks, and against a later gang taking its reservation.
TEST_CASE("the oldest gang gets the reservation, and tasks that end before its start are backfilled")
{
    TaskScheduler scheduler = testScheduler(4);
    fill(scheduler, 32, std::chrono::seconds(100));
    scheduler.submit(jobSpec("g1", "gang", { 8000, 100, 0 }, 2), at(1));
    scheduler.submit(jobSpec("g2", "gang", { 8000, 100, 0 }, 1), at(2));
    scheduler.schedule(at(3));
    CHECK(scheduler.planner().isActive());
    scheduler.schedule(at(5));
    REQUIRE(scheduler.planner().isHolding());
    CHECK(scheduler.planner().expectedStart() == at(100));
    endTasks(scheduler, "fill", 0, 2, 50);
    JobSpec brief = jobSpec("brief", "batch", { 1000, 100, 0 });
    brief.runTime = std::chrono::seconds(20);
    JobSpec longer = jobSpec("longer", "batch2", { 1000, 100, 0 });
    longer.runTime = std::chrono::seconds(80);
    scheduler.submit(brief, at(50));
    scheduler.submit(longer, at(50));
    const ScheduleRound round = scheduler.schedule(at(50));
    CHECK(startsOf(round, "brief") == 1);
    CHECK(startsOf(round, "longer") == 0);
    scheduler.taskEnded(makeTaskId(JobId("brief"), 0), TaskEnd::Succeeded, {}, at(70));
    endTasks(scheduler, "fill", 2, 16, 100);
    CHECK(startsOf(scheduler.schedule(at(100)), "g1") == 2);
    scheduler.checkInvariants();
}

// Guards against a reservation that leaves an unlimited part of the capacity idle.
TEST_CASE("a reservation leaves at most 5% of the capacity idle over its lifetime")
{
    TaskScheduler scheduler = testScheduler(4);
    fill(scheduler, 31, std::chrono::hours(1));
    JobSpec gang = jobSpec("g", "gang", { 8000, 100, 0 }, 4);
    scheduler.submit(gang, at(1));
    std::uint32_t ended = 0;
    for (int second = 1; second < 3000; ++second) {
        if (second % 20 == 0 && ended < 31) { // Tasks end far from their declared run time, so plans are wrong.
            endTasks(scheduler, "fill", ended, ended + 1, second);
            ++ended;
        }
        JobSpec more = jobSpec("more" + std::to_string(second), "batch2", { 1000, 100, 0 });
        more.runTime = std::chrono::hours(2);
        if (second % 40 == 0)
            scheduler.submit(more, at(second));
        scheduler.schedule(at(second));
        const double idle = scheduler.planner().stats().idleShareSeconds;
        REQUIRE(idle <= GangPlanner::idleShareLimit * std::max(second, 3600) + 1);
    }
    scheduler.checkInvariants();
}

// Guards against a gang placed in a single rack, where one rack failure would stop all its tasks.
TEST_CASE("a gang is placed within its rack limit")
{
    Bundle bundle = testBundle();
    bundle.workloads[WorkloadId("gang")].rackLimit = 2;
    TaskScheduler scheduler = testScheduler(4, bundle); // Two racks of two workers.
    CHECK(scheduler.submit(jobSpec("big", "gang", { 1000, 100, 0 }, 5), at(0)).error == ErrorKind::NeverRunnable);
    scheduler.submit(jobSpec("g", "gang", { 1000, 100, 0 }, 4), at(0));
    std::map<RackId, int> racks;
    for (const TaskStart& start : scheduler.schedule(at(0)).starts)
        ++racks[workerInfo(std::stoi(start.worker.value.substr(1)), {}, 2).rack];
    CHECK(racks.size() == 2);
    for (const auto& [rack, tasks] : racks)
        CHECK(tasks == 2);
}

// Guards against members that keep running after the start of another was refused, and a gang not queued again.
TEST_CASE("a refused start of one gang task stops the others, and the whole gang is queued again")
{
    TaskScheduler scheduler = testScheduler(3);
    scheduler.submit(jobSpec("g", "gang", { 4000, 100, 0 }, 3), at(0));
    REQUIRE(scheduler.schedule(at(0)).starts.size() == 3);
    scheduler.startConfirmed(makeTaskId(JobId("g"), 0), at(0));
    scheduler.startRefused(makeTaskId(JobId("g"), 1), CallEnd::RefusedFull, at(0));
    const ScheduleRound round = scheduler.schedule(at(0));
    CHECK(round.stops.size() == 2);
    CHECK(round.starts.empty());
    scheduler.checkInvariants();
    scheduler.taskEnded(makeTaskId(JobId("g"), 0), TaskEnd::Stopped, {}, at(1));
    CHECK(scheduler.schedule(at(1)).starts.empty()); // One member may still run.
    scheduler.taskEnded(makeTaskId(JobId("g"), 2), TaskEnd::Stopped, {}, at(1));
    CHECK(scheduler.schedule(at(2)).starts.size() == 3);
    scheduler.checkInvariants();
}

// Guards against running tasks of a non-idempotent gang twice.
TEST_CASE("a non-idempotent gang is not restarted after one of its tasks ran")
{
    TaskScheduler scheduler = testScheduler(3);
    scheduler.submit(jobSpec("g", "gang-once", { 4000, 100, 0 }, 2), at(0));
    REQUIRE(scheduler.schedule(at(0)).starts.size() == 2);
    scheduler.startConfirmed(makeTaskId(JobId("g"), 0), at(0));
    scheduler.startRefused(makeTaskId(JobId("g"), 1), CallEnd::RefusedTerm, at(0));
    CHECK(scheduler.schedule(at(0)).stops.size() == 1);
    scheduler.taskEnded(makeTaskId(JobId("g"), 0), TaskEnd::Stopped, {}, at(1));
    CHECK(scheduler.schedule(at(5)).starts.empty());
    CHECK(scheduler.status(JobId("g"))->phase == JobPhase::Failed);
}

// Guards against a placement that exceeds the free resources or the rack limit, or that is not found (without rack
// limit) although it exists.
TEST_CASE("gang placement respects free resources and rack limits (property)")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& used, std::uint8_t count, std::uint8_t limit) {
        WorkerPool pool;
        std::uint32_t possible = 0;
        for (std::size_t i = 0; i < used.size(); ++i) {
            const WorkerIndex worker = pool.put(workerInfo(static_cast<int>(i), { 8000, 8192, 0 }, 2));
            pool.setUsable(worker, true);
            Reservation task;
            task.key = { 1, static_cast<std::uint32_t>(i) };
            task.wanted = { std::int64_t(used[i] % 9) * 1000, 0, 0 };
            pool.reserve(worker, task);
            possible += (8u - used[i] % 9) / 2;
        }
        const ReservationRequest need { 1, { 2000, 100, 0 }, count % 40u + 1, limit % 4u, {} };
        const auto shares = fitGang(need, pool, false);
        RC_ASSERT(!need.rackLimit || !shares || possible >= need.count);
        RC_ASSERT(need.rackLimit || shares.has_value() == (possible >= need.count));
        if (!shares)
            return;
        std::uint32_t sum = 0;
        std::map<std::uint32_t, std::uint32_t> racks;
        for (const WorkerTaskCount& share : *shares) {
            RC_ASSERT(share.tasks <= timesIn(need.size, pool.workers()[share.worker].room(false)));
            sum += share.tasks;
            racks[pool.workers()[share.worker].rack] += share.tasks;
        }
        RC_ASSERT(sum == need.count);
        for (const auto& [rack, tasks] : racks)
            RC_ASSERT(need.rackLimit == 0 || tasks <= need.rackLimit);
    }));
}
