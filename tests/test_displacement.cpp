#include "doctest_main.h"

#include "cell_load_world.h"
#include "displacement.h"

using namespace sp;
using namespace sp::test;

namespace {

DisplaceableRun runOf(std::uint32_t index, std::int64_t cores, Duration delay = 1s)
{
    DisplaceableRun run;
    run.index = index;
    run.taken = { cores, 1000, 0 };
    run.delay = delay;
    return run;
}

std::uint32_t tasksOf(const std::vector<DisplacementChoice>& choices)
{
    std::uint32_t sum = 0;
    for (const DisplacementChoice& choice : choices)
        sum += choice.tasks;
    return sum;
}

std::vector<std::uint32_t> runsOf(const std::vector<DisplacementChoice>& choices)
{
    std::vector<std::uint32_t> all;
    for (const DisplacementChoice& choice : choices)
        all.insert(all.end(), choice.runs.begin(), choice.runs.end());
    std::sort(all.begin(), all.end());
    return all;
}

const DisplacementDemand quickTask { { 2200, 500, 0 }, 1 };

} // namespace

TEST_CASE("no more runs are stopped than the step lacks room for")
{
    std::vector<DisplacementSite> sites;
    for (std::uint32_t i = 0; i < 10; ++i)
        sites.push_back({ i, { 0, 64000, 0 }, 10, { runOf(2 * i, 4500), runOf(2 * i + 1, 4500) } });
    const auto choices = chooseDisplacements(sites, { quickTask.each, 5 });
    CHECK(tasksOf(choices) == 5);
    CHECK(runsOf(choices).size() == 3); // Two tasks fit into the room of one run.
    CHECK(runsOf(chooseDisplacements(sites, { quickTask.each, 1000 })).size() == 20);
    CHECK(chooseDisplacements(sites, { quickTask.each, 0 }).empty());
}

TEST_CASE("room that is about to be free is used before a run is stopped")
{
    const std::vector<DisplacementSite> sites {
        { 0, { 0, 64000, 0 }, 10, { runOf(0, 4500) } },
        { 1, { 4500, 64000, 0 }, 10, { runOf(1, 4500) } },
    };
    const auto choices = chooseDisplacements(sites, { quickTask.each, 2 });
    REQUIRE(choices.size() == 1);
    CHECK(choices[0].site == 1);
    CHECK(choices[0].tasks == 2);
    CHECK(choices[0].runs.empty());
}

TEST_CASE("runs without value are stopped first, then those above their share, then those that lose least")
{
    DisplaceableRun worthless = runOf(0, 4500, 5s);
    worthless.valueLost = true;
    DisplaceableRun greedy = runOf(1, 4500, 4s);
    greedy.aboveShare = true;
    const DisplaceableRun young = runOf(2, 4500, 1s);
    const DisplaceableRun old = runOf(3, 4500, 2s);
    DisplaceableRun repeated = runOf(4, 4500, 1s);
    repeated.displaced = 1;
    repeated.valueLost = true;
    const std::vector<DisplacementSite> sites { { 0, { 0, 64000, 0 }, 10,
        { repeated, old, young, greedy, worthless } } };
    const auto stoppedFor = [&](std::uint32_t tasks) {
        return runsOf(chooseDisplacements(sites, { quickTask.each, tasks }));
    };
    CHECK(stoppedFor(2) == std::vector<std::uint32_t> { 0 });
    CHECK(stoppedFor(4) == std::vector<std::uint32_t> { 0, 1 });
    CHECK(stoppedFor(6) == std::vector<std::uint32_t> { 0, 1, 2 });
    CHECK(stoppedFor(8) == std::vector<std::uint32_t> { 0, 1, 2, 3 });
    CHECK(stoppedFor(10) == std::vector<std::uint32_t> { 0, 1, 2, 3, 4 });
}

// A set of small runs was stopped together with the large one that alone made enough room.
TEST_CASE("a run is not stopped if the others make enough room without it")
{
    const std::vector<DisplacementSite> sites { { 0, { 0, 64000, 0 }, 1, { runOf(0, 500, 1ms), runOf(1, 4500, 2s) } } };
    CHECK(runsOf(chooseDisplacements(sites, quickTask)) == std::vector<std::uint32_t> { 1 });
}

TEST_CASE("nothing is stopped on a target where it makes no room: too few cores, too little memory, the limit of tasks")
{
    const DisplaceableRun run = runOf(0, 4500);
    CHECK(chooseDisplacements({ { 0, { -3000, 64000, 0 }, 10, { run } } }, quickTask).empty());
    CHECK(chooseDisplacements({ { 0, { 0, -1000, 0 }, 10, { run } } }, quickTask).empty());
    CHECK(chooseDisplacements({ { 0, { 0, 64000, 0 }, 0, { run } } }, quickTask).empty());
    const auto limited = chooseDisplacements({ { 0, { 0, 64000, 0 }, 1, { run } } }, { quickTask.each, 5 });
    CHECK(tasksOf(limited) == 1);
}

TEST_CASE("a step displaces runs only if its objective can still be met, and without accounts only if it is at risk")
{
    DisplacementUrgency urgency;
    urgency.stopTime = 400ms;
    urgency.slack = 5s;
    CHECK_FALSE(isDisplacementDue(urgency));
    urgency.slack = 600ms;
    CHECK(isDisplacementDue(urgency));
    urgency.slack = -1ms;
    CHECK_FALSE(isDisplacementDue(urgency));
    urgency.always = true;
    CHECK_FALSE(isDisplacementDue(urgency));
    urgency.slack = 5s;
    CHECK(isDisplacementDue(urgency));
    urgency.lasting = true;
    CHECK_FALSE(isDisplacementDue(urgency));
    urgency.waited = 1s;
    CHECK(isDisplacementDue(urgency));
}

TEST_CASE("the remaining time of a run follows from its reported progress and the time since")
{
    CHECK(remainingRunTime(4s, 0, 0s, 0s) == 4s);
    CHECK(remainingRunTime(4s, 50, 2s, 500ms) == 1500ms);
    CHECK(remainingRunTime(4s, 90, 3600ms, 1s) == 0s);
    CHECK(remainingRunTime(4s, 130, 4s, 0s) == 0s);
    CHECK(remainingRunTime(4s, 50, 4s, 500ms) == 3500ms); // Half as fast as estimated.
    CHECK(remainingRunTime(4s, 50, 500ms, 0s) == 2s); // Restored from a checkpoint.
}

namespace {

/** A cell full of long work that saves checkpoints, beside quick jobs; both queues have an advisor. */
struct DisplacementTest : LoadTest {
    static constexpr std::int64_t longCores = 4500;
    static constexpr std::int64_t quickCores = 2200;
    static constexpr Duration quickLength { 800ms };
    /** 1.5 times the run time and a call about thirty targets, and 250 ms. */
    static constexpr Duration quickObjective { 1522ms };
    static constexpr double quickCoreSeconds = 10 * 0.8 * 2.2; ///< Work of a quick job.
    int longJobs = 0;

    DisplacementTest()
    {
        QueueConfig quick = config.queues[0];
        quick.id = QueueId("quick");
        quick.advisor = AdvisorTraits { 33ms, 500us, 2500ms };
        QueueConfig background = config.queues[0];
        background.id = QueueId("long");
        background.priority = 2;
        background.slackFactor = 2.2;
        background.targetLatency = 1200ms;
        background.advisor = AdvisorTraits { 507ms, 7150us, 2500ms };
        config.queues = { quick, background };
        ClientAccount client;
        client.id = AccountId("a");
        config.accounts = { client };
        bounds.stopTimeout = 400ms;
        stopsTake = 200ms;
        addTargets(40, { 14000, 64000, 0 }); // Three long tasks fill a target.
        advisorAllows = [](const TargetId& id, const StepKey& step) {
            return std::hash<std::string>()(id.value + '/' + stepText(step)) % 100
                < (step.job.value.starts_with("l") ? 35 : 70);
        };
        lengthOf = [](const CellTaskKey& key) {
            const std::size_t spread = std::hash<std::string>()(taskText(key)) % 4000;
            return key.job.value.starts_with("l") ? Duration(4s + std::chrono::milliseconds(spread)) : quickLength;
        };
        savesProgress = [](const CellTaskKey& key) { return key.job.value.starts_with("l"); };
        advisorHosts = 12;
        takeOver();
        run(200ms);
    }

    void submitLong(std::uint32_t tasks = 15)
    {
        StepSpec spec = step(tasks, longCores);
        spec.estimate = 6s;
        spec.checkpointing = true;
        const std::string id = "l" + std::to_string(longJobs++);
        specs[JobId(id)] = { spec };
        submitTo(id, QueueId("long"), { spec });
    }

    void submitQuick(const std::string& id)
    {
        StepSpec spec = step(10, quickCores);
        spec.estimate = std::chrono::duration_cast<std::chrono::milliseconds>(quickLength);
        specs[JobId(id)] = { spec };
        submitTo(id, QueueId("quick"), { spec });
    }

    /** Fills the cell with long work, of which as much again waits. */
    void fillCell()
    {
        for (int i = 0; i < 16; ++i)
            submitLong();
        runAndRecord(4s);
    }

    /** Submits quick jobs in regular intervals, with long ones that replace what ends. */
    void offerQuick(const std::string& prefix, int count, Duration interval)
    {
        for (int i = 0; i < count; ++i) {
            if (i % 4 == 0)
                submitLong();
            submitQuick(prefix + std::to_string(i));
            runAndRecord(interval);
        }
    }

    std::uint64_t displacedRuns() { return metrics.counter("sp_cell_displaced_runs_total", "").value(); }

    /** Returns the core-seconds lost in stops and in restoring checkpoints. */
    double wastedCoreSeconds()
    {
        constexpr double milli = 1000;
        const double stops
            = static_cast<double>(metrics.counter("sp_cell_displaced_core_ms_total", "").value()) / milli;
        return stops + restores * std::chrono::duration<double>(restoreTime).count() * longCores / milli;
    }

    /** Returns the highest number of runs of a task of the long jobs. */
    std::uint32_t mostRunsOfLongTask() const
    {
        std::uint32_t most = 0;
        for (const WorldStart& start : starts)
            most = std::max(most, start.task.job.value.starts_with("l") ? start.run : 0);
        return most;
    }

    /** Checks that all jobs complete once no more are submitted. */
    void finishAll()
    {
        runAndRecord(40s);
        CHECK(shareWithin("", 100s) == 1);
    }

    std::size_t longTasksRunning() const
    {
        std::size_t count = 0;
        for (int i = 0; i < longJobs; ++i)
            count += running("l" + std::to_string(i));
        return count;
    }
};

} // namespace

// Quick jobs of a burst waited for the ends of long tasks, at the median longer than their objective allows.
TEST_CASE_FIXTURE(DisplacementTest, "quick jobs of a burst complete in time in a cell that is full of long work")
{
    fillCell();
    REQUIRE(longTasksRunning() >= 115);
    offerQuick("burst", 24, 166ms); // Six jobs a second for 4 s, twice the usual rate.
    runAndRecord(3s);
    CHECK(shareWithin("burst", quickObjective) >= 0.9);
    // A share of the work of the burst, whose value for each core-second is six times that of long work.
    CHECK(wastedCoreSeconds() <= 0.3 * quickCoreSeconds * 24);
    finishAll();
    CHECK(mostRunsOfLongTask() <= 4); // A task is displaced three times at most.
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(DisplacementTest, "no run is displaced while quick jobs find room")
{
    for (int i = 0; i < 5; ++i) // Long tasks on 75 of the places for 120.
        submitLong();
    runAndRecord(4s);
    REQUIRE(longTasksRunning() >= 60);
    offerQuick("calm", 12, 333ms);
    runAndRecord(2s);
    CHECK(shareWithin("calm", quickObjective) >= 0.9);
    CHECK(displacedRuns() == 0);
}

TEST_CASE_FIXTURE(DisplacementTest, "runs that don't save their progress, gangs and lasting tasks are not displaced")
{
    for (int i = 0; i < 30; ++i) {
        StepSpec spec = step(4, longCores);
        spec.estimate = 6s;
        spec.checkpointing = i % 3 != 0;
        spec.gang = i % 3 == 1;
        spec.lasting = i % 3 == 2;
        submitTo("l" + std::to_string(longJobs++), QueueId("long"), { spec });
    }
    runAndRecord(4s);
    REQUIRE(longTasksRunning() >= 115);
    for (int i = 0; i < 12; ++i) {
        submitQuick("q" + std::to_string(i));
        runAndRecord(100ms);
    }
    CHECK(displacedRuns() == 0);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(DisplacementTest, "without accounts, runs are displaced only once a quick job is about to be late")
{
    config.accounts.clear();
    owner->setConfig(config);
    fillCell();
    StepSpec patient = step(10, quickCores);
    patient.estimate = 6s; // The objective leaves seconds in which long tasks end.
    submitTo("patient", QueueId("quick"), { patient });
    runAndRecord(1s);
    CHECK(displacedRuns() == 0);
    offerQuick("burst", 24, 166ms);
    runAndRecord(3s);
    CHECK(displacedRuns() > 0);
    CHECK(shareWithin("burst", quickObjective) >= 0.9);
    CHECK(violations == std::vector<std::string> {});
}

// The former owner has ordered stops of which the next one knows nothing.
TEST_CASE_FIXTURE(DisplacementTest, "tasks whose runs a former owner displaced go on from their checkpoints")
{
    fillCell();
    for (int i = 0; i < 3; ++i)
        submitQuick("q" + std::to_string(i));
    while (displacedRuns() == 0)
        runAndRecord(20ms);
    SUBCASE("at once") { }
    SUBCASE("while runs end") { runAndRecord(stopsTake); }
    SUBCASE("while tasks are placed") { runAndRecord(stopsTake + 100ms); }
    takeOver();
    offerQuick("after", 12, 166ms);
    runAndRecord(3s);
    // The stops that were under way free room for which the new owner has no claim.
    CHECK(shareWithin("after", quickObjective) >= 0.75);
    CHECK(restores > 0);
    finishAll();
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(
    DisplacementTest, "room of a displaced run stays taken until its end is listed, and other runs are chosen")
{
    fillCell();
    std::size_t ignored = 0;
    obeysStop = [&ignored](const TargetId& id, const CellTaskKey&) {
        const bool obeys = std::hash<std::string>()(id.value) % 4 != 0;
        ignored += obeys ? 0 : 1;
        return obeys;
    };
    offerQuick("burst", 24, 166ms);
    runAndRecord(3s);
    CHECK(ignored > 0);
    CHECK(shareWithin("burst", quickObjective) >= 0.75);
    obeysStop = nullptr;
    finishAll();
    CHECK(violations == std::vector<std::string> {});
}

// Room that was made for one step went to another one whose objective ended earlier.
TEST_CASE_FIXTURE(DisplacementTest, "room of displaced runs is given to no other step of the same priority")
{
    advisorAllows = [](const TargetId& id, const StepKey& step) {
        return step.job.value.starts_with("l") || id == TargetId("t1");
    };
    fillCell();
    StepSpec spec = step(6, quickCores);
    spec.estimate = 800ms;
    submitTo("first", QueueId("quick"), { spec });
    while (displacedRuns() < 3)
        runAndRecord(20ms);
    spec.estimate = 400ms;
    submitTo("second", QueueId("quick"), { spec });
    runAndRecord(stopsTake + 200ms);
    CHECK(startsOf("first") == 6);
    CHECK(startsOf("second") == 0);
}

// Runs were stopped again and again for a task whose start could not be recorded.
TEST_CASE_FIXTURE(DisplacementTest, "nothing is displaced while records can't be saved")
{
    config.queues[0].advisor->ticketValidity = 60s;
    owner->setConfig(config);
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    fillCell();
    obeysStop = [](const TargetId&, const CellTaskKey&) { return false; };
    StepSpec patient = step(10, quickCores);
    patient.estimate = 20s; // Its objective lies after all that follows.
    submitTo("patient", QueueId("quick"), { patient });
    runAndRecord(1s);
    REQUIRE(displacedRuns() > 0);
    storeUp = false;
    submitLong(); // Its record is the write that fails.
    runAndRecord(1500ms);
    const std::uint64_t before = displacedRuns();
    runAndRecord(3s);
    CHECK(displacedRuns() == before);
    storeUp = true;
    runAndRecord(2s);
    CHECK(displacedRuns() > before);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(DisplacementTest, "steps of a queue without an advisor displace runs too")
{
    config.queues[0].advisor.reset();
    owner->setConfig(config);
    fillCell();
    offerQuick("burst", 24, 166ms);
    runAndRecord(3s);
    CHECK(shareWithin("burst", 1450ms) >= 0.9); // 1.5 times the run time, and 250 ms.
    CHECK(displacedRuns() > 0);
    CHECK(violations == std::vector<std::string> {});
}
