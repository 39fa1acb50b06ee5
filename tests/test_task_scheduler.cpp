#include "doctest_main.h"

#include "task_test_base.h"

#include <set>

using namespace sp;
using namespace sp::test;

namespace {

TaskId taskOf(const std::string& job, std::uint32_t index = 0) { return makeTaskId(JobId(job), index); }

ErrorKind submit(TaskScheduler& scheduler, const JobSpec& spec, double when)
{
    return scheduler.submit(spec, at(when)).error;
}

Bundle quotaBundle()
{
    Bundle bundle = testBundle();
    for (const char* name : { "a", "b" }) {
        TeamPolicy policy;
        policy.id = TeamId(name);
        policy.coresMilli = 16000;
        bundle.teams[policy.id] = policy;
    }
    return bundle;
}

} // namespace

// Guards against a job that can never run blocking the queue (F4), and against refusing one that needs a worker which
// is temporarily not usable.
TEST_CASE("a job too large for all workers is refused, a job for an unusable worker waits, neither blocks others")
{
    TaskScheduler scheduler = testScheduler(2);
    scheduler.putWorker(workerInfo(9, { 64000, 65536, 0 }, 2), at(0));
    CHECK(submit(scheduler, jobSpec("huge", "batch", { 65000, 1, 0 }), 0) == ErrorKind::NeverRunnable);
    CHECK(submit(scheduler, jobSpec("big", "batch", { 64000, 1, 0 }), 0) == ErrorKind::Ok);
    CHECK(submit(scheduler, jobSpec("small", "batch", { 1000, 1, 0 }), 0) == ErrorKind::Ok);
    const ScheduleRound round = scheduler.schedule(at(0));
    REQUIRE(round.starts.size() == 1);
    CHECK(round.starts[0].job.value == "small");
    CHECK(scheduler.status(JobId("big"))->reason == "fits only workers that are not usable now");
    scheduler.setUsable(TargetId("w9"), true, at(1));
    CHECK(scheduler.schedule(at(1)).starts.size() == 1);
}

// Guards against unbounded memory use by the queue of one workload.
TEST_CASE("the queue of a workload is bounded")
{
    Bundle bundle = testBundle();
    bundle.workloads[WorkloadId("batch")].queueLimit = 2;
    TaskScheduler scheduler = testScheduler(0, bundle);
    CHECK(submit(scheduler, jobSpec("1", "batch", {}), 0) == ErrorKind::Ok);
    CHECK(submit(scheduler, jobSpec("2", "batch", {}), 0) == ErrorKind::Ok);
    CHECK(submit(scheduler, jobSpec("3", "batch", {}), 0) == ErrorKind::QueueFull);
    CHECK(submit(scheduler, jobSpec("4", "batch2", {}), 0) == ErrorKind::Ok);
}

// Guards against one team's backlog starving other teams.
TEST_CASE("teams get capacity in proportion to their weights")
{
    Bundle bundle = testBundle();
    TeamPolicy policy;
    policy.id = TeamId("heavy");
    policy.weight = 3;
    bundle.teams[policy.id] = policy;
    TaskScheduler scheduler = testScheduler(4, bundle);
    submit(scheduler, jobSpec("l", "batch", { 1000, 10, 0 }, 100, "light"), 0);
    submit(scheduler, jobSpec("h", "batch", { 1000, 10, 0 }, 100, "heavy"), 1);
    const auto starts = scheduler.schedule(at(1)).starts;
    REQUIRE(starts.size() == 32);
    CHECK(std::count_if(starts.begin(), starts.end(), [](const TaskStart& s) { return s.job.value == "h"; }) == 24);
}

// Guards against starvation of a large task by small tasks that take each freed core.
TEST_CASE("a task that waited for max_wait is placed before other work and gets the reservation")
{
    TaskScheduler scheduler = testScheduler(4);
    JobSpec small = jobSpec("small", "batch", { 1000, 10, 0 }, 6, "s");
    small.runTime = std::chrono::seconds(30);
    small.tasks = 32;
    submit(scheduler, small, 0);
    scheduler.schedule(at(0));
    submit(scheduler, jobSpec("large", "batch2", { 8000, 10, 0 }, 1, "l"), 0);
    double started = 0;
    std::vector<std::pair<double, TaskId>> running;
    for (std::uint32_t i = 0; i < 32; ++i) // Start times are spread, so that no worker becomes empty by chance.
        running.emplace_back(static_cast<double>(i) - 30, taskOf("small", i));
    small.tasks = 6;
    for (double now = 1; now < 1200 && started == 0; now += 1) {
        if (static_cast<int>(now) % 4 == 0) { // More than the four workers can run.
            small.id = JobId("small" + std::to_string(now));
            submit(scheduler, small, now);
        }
        for (auto it = running.begin(); it != running.end();) {
            if (now - it->first < 30) {
                ++it;
                continue;
            }
            scheduler.taskEnded(it->second, TaskEnd::Succeeded, {}, at(now));
            it = running.erase(it);
        }
        for (const TaskStart& start : scheduler.schedule(at(now)).starts) {
            running.emplace_back(now, start.task);
            if (start.job.value == "large")
                started = now;
        }
    }
    MESSAGE("started after ", started, " s");
    CHECK(started >= 600);
    CHECK(started < 800);
}

// Guards against urgent work waiting for batch tasks to complete, and against reusing resources of stopped tasks before
// they have ended.
TEST_CASE("urgent work preempts batch tasks and starts only after they have ended")
{
    TaskScheduler scheduler = testScheduler(2);
    submit(scheduler, jobSpec("fill", "batch", { 2000, 10, 0 }, 8), 0);
    REQUIRE(scheduler.schedule(at(0)).starts.size() == 8);
    submit(scheduler, jobSpec("u", "urgent", { 4000, 10, 0 }), 1);
    submit(scheduler, jobSpec("late", "batch2", { 2000, 10, 0 }), 1);
    const ScheduleRound round = scheduler.schedule(at(1));
    CHECK(round.starts.empty());
    REQUIRE(round.stops.size() == 2);
    CHECK(round.stops[0].checkpoint);
    CHECK(scheduler.queuedTasks() == 2);
    scheduler.taskEnded(round.stops[0].task, TaskEnd::Stopped, {}, at(1.1));
    CHECK(scheduler.schedule(at(1.1)).starts.empty()); // No other task gets the claimed resources.
    scheduler.taskEnded(round.stops[1].task, TaskEnd::Stopped, {}, at(1.2));
    const auto starts = scheduler.schedule(at(1.2)).starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].job.value == "u");
    CHECK(scheduler.queuedTasks() == 3);
    scheduler.checkInvariants();
}

// Guards against preempting tasks whose work would be lost.
TEST_CASE("holds, gangs and non-idempotent tasks are never preempted")
{
    TaskScheduler scheduler = testScheduler(3);
    submit(scheduler, jobSpec("h", "hold", { 8000, 10, 0 }), 0);
    submit(scheduler, jobSpec("g", "gang", { 8000, 10, 0 }), 0);
    submit(scheduler, jobSpec("o", "once", { 8000, 10, 0 }), 0);
    REQUIRE(scheduler.schedule(at(0)).starts.size() == 3);
    submit(scheduler, jobSpec("u", "urgent", { 1000, 10, 0 }), 1);
    CHECK(scheduler.schedule(at(1)).stops.empty());
    CHECK(scheduler.status(JobId("u"))->reason == "no worker has room, and no batch task can be stopped for it");
}

// Guards against a team waiting longer than reclaim_after for quota that others borrow.
TEST_CASE("borrowed quota is reclaimed within reclaim_after")
{
    TaskScheduler scheduler = testScheduler(4, quotaBundle());
    submit(scheduler, jobSpec("a", "batch", { 2000, 10, 0 }, 16, "a"), 0);
    CHECK(scheduler.schedule(at(0)).starts.size() == 16); // 32 cores; the quota is 16.
    submit(scheduler, jobSpec("b", "batch2", { 2000, 10, 0 }, 9, "b"), 10);
    std::size_t stopped = 0;
    double last = 0;
    std::size_t started = 0;
    for (double now = 10; now < 60; now += 0.25) {
        const ScheduleRound round = scheduler.schedule(at(now));
        started += round.starts.size();
        last = round.starts.empty() ? last : now;
        stopped += round.stops.size();
        for (const TaskStop& stop : round.stops)
            scheduler.taskEnded(stop.task, TaskEnd::Stopped, {}, at(now));
        scheduler.checkInvariants();
    }
    CHECK(stopped == 8); // The part of a above its quota, for the part of b within its quota.
    CHECK(started == 8);
    CHECK(last <= 40);
}

// Guards against exceeding a quota with tasks that cannot be preempted.
TEST_CASE("tasks that cannot be preempted do not borrow quota")
{
    TaskScheduler scheduler = testScheduler(4, quotaBundle());
    CHECK(submit(scheduler, jobSpec("g", "gang", { 2000, 10, 0 }, 9, "a"), 0) == ErrorKind::QuotaExceeded);
    submit(scheduler, jobSpec("o", "once", { 2000, 10, 0 }, 9, "a"), 0);
    CHECK(scheduler.schedule(at(0)).starts.size() == 8);
    CHECK(scheduler.status(JobId("o"))->reason == "the quota of the team is used up");
    scheduler.taskEnded(taskOf("o", 0), TaskEnd::Succeeded, {}, at(1));
    CHECK(scheduler.schedule(at(1)).starts.size() == 1);
}

// Guards against endless retries of a task that fails on every worker, and against running a non-idempotent task twice
// (I5).
TEST_CASE("a failing task runs on 3 different workers, a non-idempotent one runs once")
{
    TaskScheduler scheduler = testScheduler(5);
    submit(scheduler, jobSpec("bad", "batch", { 1000, 10, 0 }), 0);
    submit(scheduler, jobSpec("once", "once", { 1000, 10, 0 }), 0);
    submit(scheduler, jobSpec("gone", "once", { 1000, 10, 0 }), 0);
    std::set<TargetId> workers;
    std::map<std::string, int> runs;
    for (int i = 0; i < 10; ++i) {
        for (const TaskStart& start : scheduler.schedule(at(i)).starts) {
            ++runs[start.job.value];
            if (start.job.value == "bad")
                workers.insert(start.worker);
            scheduler.taskEnded(start.task, start.job.value == "gone" ? TaskEnd::Gone : TaskEnd::Failed, {}, at(i));
        }
    }
    CHECK(workers.size() == 3);
    CHECK(runs["bad"] == 3);
    CHECK(runs["once"] == 1);
    CHECK(runs["gone"] == 1);
    CHECK(scheduler.status(JobId("bad"))->phase == JobPhase::Failed);
    CHECK(scheduler.status(JobId("once"))->phase == JobPhase::Failed);
    CHECK(scheduler.status(JobId("gone"))->phase == JobPhase::Unknown);
}

// Guards against a hold being queued behind all other work after the loss of its worker (F2).
TEST_CASE("a hold is queued before other work after the loss of its worker")
{
    TaskScheduler scheduler = testScheduler(1);
    submit(scheduler, jobSpec("h", "hold", { 8000, 10, 0 }, 1, "z"), 5);
    REQUIRE(scheduler.schedule(at(5)).starts.size() == 1);
    submit(scheduler, jobSpec("b", "batch", { 8000, 10, 0 }, 1, "a"), 6);
    scheduler.removeWorker(TargetId("w0"), at(7));
    scheduler.checkInvariants();
    scheduler.putWorker(workerInfo(1, { 8000, 8192, 0 }), at(8));
    scheduler.setUsable(TargetId("w1"), true, at(8));
    const auto starts = scheduler.schedule(at(8)).starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].job.value == "h");
}

// Guards against overcommitted workers and tasks running twice after a recovery (I1, I2).
TEST_CASE("reported tasks use capacity whether their job is known before, after or never")
{
    TaskScheduler scheduler = testScheduler(1);
    const auto running = [](const TaskId& task) { return RunningTask { task, { 5000, 10, 0 }, {} }; };
    CHECK_FALSE(scheduler.adoptRunning(TargetId("w0"), running(taskOf("j")), at(0)));
    CHECK_FALSE(scheduler.adoptRunning(TargetId("w0"), running(taskOf("alien")), at(0)));
    scheduler.checkInvariants();
    scheduler.adopt(jobSpec("j", "batch", { 5000, 10, 0 }, 2), {}, at(1));
    CHECK(scheduler.status(JobId("j"))->running == 1);
    CHECK(scheduler.adoptRunning(TargetId("w0"), running(taskOf("j")), at(1)));
    CHECK(scheduler.schedule(at(1)).starts.empty());
    submit(scheduler, jobSpec("tiny", "batch", { 0, 1, 0 }), 2);
    CHECK(scheduler.schedule(at(2)).starts.empty()); // The reported tasks exceed the capacity, so nothing starts.
    scheduler.taskEnded(taskOf("alien"), TaskEnd::Stopped, {}, at(3));
    CHECK(scheduler.schedule(at(3)).starts.size() == 1);
    scheduler.checkInvariants();
}

// Guards against releasing the resources of a cancelled task before it is known to have ended.
TEST_CASE("a task being stopped keeps its reservation until it ends, even if its job is dropped")
{
    TaskScheduler scheduler = testScheduler(1);
    submit(scheduler, jobSpec("j", "batch", { 8000, 10, 0 }), 0);
    scheduler.schedule(at(0));
    CHECK(scheduler.cancel(JobId("j"), at(1)).size() == 1);
    CHECK(scheduler.takeFinishedJobs().size() == 1);
    scheduler.forget(JobId("j"));
    CHECK_FALSE(scheduler.status(JobId("j")));
    submit(scheduler, jobSpec("k", "batch", { 8000, 10, 0 }), 1);
    CHECK(scheduler.schedule(at(1)).starts.empty());
    scheduler.taskEnded(taskOf("j"), TaskEnd::Stopped, {}, at(2));
    CHECK(scheduler.schedule(at(2)).starts.size() == 1);
    scheduler.checkInvariants();
}

// Guards against ignoring the learned size of a task, and against reserving more than a worker has.
TEST_CASE("later starts reserve the learned size, limited to the capacity of a worker")
{
    TaskScheduler scheduler = testScheduler(2);
    submit(scheduler, jobSpec("j", "batch", { 1000, 100, 0 }), 0);
    scheduler.schedule(at(0));
    scheduler.usageReported(taskOf("j"), { 3000, 100000, 0 }, at(1));
    submit(scheduler, jobSpec("k", "batch", { 1000, 100, 0 }), 2);
    const auto starts = scheduler.schedule(at(2)).starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].size == Resources { 3000, 8192, 0 });
    scheduler.checkInvariants();
}

namespace {

/** Sends random events to a scheduler and checks its decisions against an independent record of running tasks. */
class RandomScheduler {
public:
    explicit RandomScheduler(std::uint64_t seed)
        : m_random(seed)
        , m_scheduler(testScheduler(12, quotaBundle(), { 8000, 8192, 1 }))
    {
    }

    void step()
    {
        m_now += static_cast<double>(m_random() % 1000) / 1000;
        switch (m_random() % 16) {
        case 0:
        case 1:
        case 2:
            submitJob();
            break;
        case 3:
            changeWorker();
            break;
        case 4:
            cancelJob();
            break;
        case 5:
            if (const auto it = randomRunningTask(); it != m_running.end())
                m_scheduler.usageReported(it->first, randomSize(), at(m_now));
            break;
        case 6:
            m_scheduler.adoptRunning(TargetId("w" + std::to_string(m_random() % 12)),
                { taskOf("alien" + std::to_string(m_random() % 5)), randomSize(), {} }, at(m_now));
            break;
        case 7:
            m_scheduler.taskEnded(taskOf("alien" + std::to_string(m_random() % 5)), TaskEnd::Stopped, {}, at(m_now));
            break;
        case 8:
            for (const JobId& job : m_scheduler.takeFinishedJobs())
                m_scheduler.forget(job);
            break;
        default:
            endTask();
        }
        schedule();
        m_scheduler.checkInvariants();
    }

private:
    using Running = std::map<TaskId, TargetId>;

    Resources randomSize()
    {
        return { static_cast<std::int64_t>(500 + m_random() % 4000), static_cast<std::int64_t>(m_random() % 3000),
            m_random() % 10 == 0 };
    }

    Running::iterator randomRunningTask()
    {
        return m_running.empty()
            ? m_running.end()
            : std::next(m_running.begin(), static_cast<std::ptrdiff_t>(m_random() % m_running.size()));
    }

    void submitJob()
    {
        static const std::vector<std::string> workloads { "batch", "batch2", "once", "urgent", "gang", "gang-once",
            "hold" };
        static const std::vector<std::string> teams { "a", "b", "c" };
        JobSpec spec = jobSpec("j" + std::to_string(++m_jobs), workloads[m_random() % workloads.size()], randomSize(),
            static_cast<std::uint32_t>(1 + m_random() % 4), teams[m_random() % teams.size()]);
        spec.runTime = std::chrono::milliseconds(m_random() % 20000);
        m_workloads[spec.id] = spec.workload.value;
        m_scheduler.submit(spec, at(m_now));
    }

    void changeWorker()
    {
        const int number = static_cast<int>(m_random() % 12);
        const TargetId worker("w" + std::to_string(number));
        switch (m_random() % 4) {
        case 0:
            m_scheduler.setUsable(worker, false, at(m_now));
            break;
        case 1:
            m_scheduler.setLeaving(worker, at(m_now));
            break;
        case 2:
            m_scheduler.removeWorker(worker, at(m_now));
            std::erase_if(m_running, [&](const auto& task) { return task.second == worker; });
            break;
        default:
            m_scheduler.putWorker(
                workerInfo(number, { 4000 + 4000 * static_cast<int>(m_random() % 2), 8192, 1 }, 2), at(m_now));
            m_scheduler.setUsable(worker, true, at(m_now));
        }
    }

    void cancelJob()
    {
        const JobId job("j" + std::to_string(1 + m_random() % (m_jobs + 1)));
        for (const TaskStop& stop :
            m_random() % 2 ? m_scheduler.cancel(job, at(m_now)) : m_scheduler.releaseHold(job, at(m_now)))
            REQUIRE(m_running.contains(stop.task));
    }

    void endTask()
    {
        const auto it = randomRunningTask();
        if (it == m_running.end())
            return;
        static constexpr std::array ends { TaskEnd::Succeeded, TaskEnd::Succeeded, TaskEnd::Failed, TaskEnd::Stopped,
            TaskEnd::Gone };
        const TaskId task = it->first;
        m_running.erase(it);
        m_scheduler.taskEnded(task, ends[m_random() % ends.size()], "r", at(m_now));
    }

    void schedule()
    {
        const ScheduleRound round = m_scheduler.schedule(at(m_now));
        std::vector<TaskStart> refused;
        for (const TaskStart& start : round.starts) {
            REQUIRE(m_running.emplace(start.task, start.worker).second); // I2: no task runs twice at the same time.
            REQUIRE_FALSE(start.reason.empty());
            if (m_random() % 20 == 0) {
                refused.push_back(start);
                continue;
            }
            if (m_workloads[start.job].find("once") != std::string::npos)
                REQUIRE(m_ranOnce.insert(start.task).second); // I5: no second run.
            m_scheduler.startConfirmed(start.task, at(m_now));
        }
        for (const TaskStop& stop : round.stops)
            REQUIRE(m_running.contains(stop.task));
        static constexpr std::array refusals { CallEnd::RefusedFull, CallEnd::RefusedTerm, CallEnd::NotConnected };
        for (const TaskStart& start : refused) {
            m_running.erase(start.task);
            m_scheduler.startRefused(start.task, refusals[m_random() % refusals.size()], at(m_now));
        }
    }

    std::mt19937_64 m_random;
    TaskScheduler m_scheduler;
    double m_now = 0;
    std::uint64_t m_jobs = 0;
    Running m_running;
    std::map<JobId, std::string> m_workloads;
    std::set<TaskId> m_ranOnce;
};

} // namespace

// Guards against duplicate runs, overcommitted workers, lost tasks and repeated non-idempotent tasks under random
// events.
TEST_CASE("invariants hold under random events")
{
    const auto seed = numberFromEnvironment("SP_SEED", 1);
    const auto steps = numberFromEnvironment("SP_STEPS", 10000);
    CAPTURE(seed);
    RandomScheduler randomized(seed);
    for (std::uint64_t step = 0; step < steps; ++step) {
        CAPTURE(step);
        REQUIRE_NOTHROW(randomized.step());
    }
}
