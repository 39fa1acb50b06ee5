#include "doctest_main.h"

#include "cell_world.h"

using namespace sp;
using namespace sp::test;

namespace {

struct Fixture : CellWorld {
    Fixture()
    {
        addTargets(3);
        takeOver();
        run(100ms);
    }
    ~Fixture() { CHECK(violations == std::vector<std::string> {}); }

    /**
     * Submits and cancels j1 with one step. While its runs take 600 ms to stop, lets a new owner take over and submits
     * j2, a job of three large tasks, to it.
     */
    void takeOverWhileStopping(const StepSpec& cancelled)
    {
        specs[JobId("j1")] = { cancelled };
        specs[JobId("j2")] = { step(3, 12000) };
        lengthOf = [](const CellTaskKey&) { return Duration(60s); };
        stopsTake = 600ms;
        submit("j1", specs[JobId("j1")]);
        run(500ms);
        cancel("j1");
        run(50ms);
        REQUIRE(running("j1") == cancelled.tasks);
        takeOver();
        submit("j2", specs[JobId("j2")]);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a job is acknowledged once it is stored, runs its steps in order and completes")
{
    StepSpec second = step(2);
    second.after = { 0 };
    submit("j1", { step(4), second });
    CHECK(answers.empty());
    run(50ms);
    CHECK(answers[JobId("j1")] == JobAnswer::Kind::Ok);
    CHECK(store.contains("cell/job/j1"));
    run(400ms);
    CHECK(state("j1") == "running");
    CHECK(startsOf("j1") == 4);
    run(2s);
    CHECK(state("j1") == "completed");
    CHECK(startsOf("j1") == 6);
    CHECK_FALSE(store.contains("cell/spec/j1"));
}

TEST_CASE_FIXTURE(Fixture, "ends are acknowledged only after the record that counts them is stored")
{
    submit("j1", { step(3) });
    run(300ms);
    storeUp = false;
    run(2s);
    CHECK(std::all_of(targets.begin(), targets.end(), [](const auto& t) { return t.second.acknowledged == 0; }));
    storeUp = true;
    run(2s);
    for (const auto& [id, target] : targets)
        CHECK(target.acknowledged == target.lastEnd);
}

TEST_CASE_FIXTURE(Fixture, "no job is accepted and no task started while the store does not answer")
{
    storeUp = false;
    submit("j1", { step(3) });
    run(1500ms);
    CHECK(answers.empty());
    CHECK(starts.empty());
    storeUp = true;
    run(1s);
    CHECK(answers[JobId("j1")] == JobAnswer::Kind::Ok);
    CHECK(startsOf("j1") == 3);
}

TEST_CASE_FIXTURE(
    Fixture, "submissions are refused at once while the store refuses writes, and accepted once it answers again")
{
    storeUp = false;
    storeRefuses = true;
    submit("j1", { step(3) });
    run(50ms);
    // The job was never sent to the store, so a refusal is safe.
    CHECK(answers[JobId("j1")] == JobAnswer::Kind::Refused);
    submit("j2", { step(3) });
    CHECK(answers[JobId("j2")] == JobAnswer::Kind::Refused);
    run(1s);
    storeUp = true;
    storeHeardAt = now; // The store has answered another call of the host.
    run(20ms);
    submit("j1", { step(3) });
    run(1s);
    CHECK(answers[JobId("j1")] == JobAnswer::Kind::Ok);
    CHECK(startsOf("j1") == 3);
    CHECK(startsOf("j2") == 0);
    CHECK(state("j2") == "gone");
}

TEST_CASE_FIXTURE(Fixture, "a transaction whose answer is lost is not treated as a loss of ownership")
{
    loseStoreAnswers = 1;
    submit("j1", { step(3) });
    run(2s);
    CHECK(superseded == 0);
    CHECK(state("j1") == "completed");
}

// Guards against a crash from using the key of a run after its entry was erased. The id is long so that its text is
// allocated on the heap.
TEST_CASE_FIXTURE(
    Fixture, "runs on a target that never answers a new owner are released when the old lease has expired")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    submit("a-job-with-a-name-too-long-to-be-kept-in-place", { step(3) });
    run(500ms);
    targets.at(TargetId("t1")).alive = false;
    targets.at(TargetId("t1")).listed = false;
    takeOver();
    run(4s);
    CHECK(starts.size() == 3);
    run(6s);
    CHECK(starts.size() == 4); // The task of the dead target is started on another one.
}

// Guards against unanswered report requests extending the lease that the owner assumes, so that it never expired.
TEST_CASE_FIXTURE(Fixture, "tasks on a dead target are placed again after its lease has expired")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    submit("j1", { step(3) });
    run(500ms);
    targets.at(TargetId("t1")).alive = false;
    run(11s);
    CHECK(startsOf("j1") == 4);
}

TEST_CASE_FIXTURE(Fixture, "tasks on a target that is unreachable but alive are not run twice")
{
    lengthOf = [](const CellTaskKey&) { return Duration(20s); };
    submit("j1", { step(3) });
    run(500ms);
    targets.at(TargetId("t1")).reachable = false;
    run(5s);
    targets.at(TargetId("t1")).reachable = true;
    run(30s);
    CHECK(state("j1") == "completed");
}

// Guards against counting a failure twice: a target lists an end until it is acknowledged, so a new owner may see it
// again.
// The end was passed over, and the second run went on for half a minute; the next step had no turn meanwhile.
TEST_CASE_FIXTURE(Fixture, "work that a silent target had done before its lease ended is not done a second time")
{
    addTargets(2);
    takeOver();
    run(100ms);
    lengthOf = [this](const CellTaskKey& key) {
        return Duration(key.step == 0 && startsOf("j") > 0 ? 30s : 500ms); // A second run would take long.
    };
    StepSpec second = step(1);
    second.after = { 0 };
    submit("j", { step(1), second });
    run(200ms);
    REQUIRE(startsOf("j") == 1);
    WorldTarget& first = targets.at(starts.front().target);
    bool tookOver = false;
    SUBCASE("same owner") { }
    SUBCASE("another owner") { tookOver = true; }
    first.reachable = false;
    run(9s);
    REQUIRE(startsOf("j") == 2);
    if (tookOver)
        takeOver();
    first.reachable = true;
    run(5s);
    CHECK(state("j") == "completed");
    CHECK(running("j") == 0);
    CHECK(startsOf("j") == 3);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(Fixture, "an end that a former owner has counted is not counted again")
{
    addTargets(1);
    for (auto& [id, target] : targets)
        target.failsAll = id == TargetId("t1");
    lengthOf = [](const CellTaskKey&) { return Duration(30s); };
    submit("j1", { step(1), step(1), step(1), step(1) });
    run(40ms);
    while (targets.at(TargetId("t1")).lastEnd == 0)
        run(4ms);
    // The owner changes after the record that counts the end is stored and before the end is acknowledged.
    const Revision revisionBefore = store.at("cell/job/j1").modRevision;
    while (store.at("cell/job/j1").modRevision == revisionBefore)
        run(4ms);
    REQUIRE(targets.at(TargetId("t1")).acknowledged == 0);
    for (auto& [id, target] : targets)
        target.failsAll = false;
    takeOver();
    run(5s);
    CHECK(state("j1") == "running");
}

// Guards against counting targets at their per-step task limit as free capacity: no advice was requested and the task
// was never placed again.
TEST_CASE_FIXTURE(Fixture, "advice is requested when the allowed targets have reached the per-step task limit")
{
    addTargets(7);
    config.queues[0].advisor = AdvisorTraits { 20ms, 1ms, 2000ms };
    owner->setConfig(config);
    run(100ms);
    StepSpec spread = step(3);
    spread.perTargetLimit = 1;
    spread.lasting = true;
    lengthOf = [](const CellTaskKey&) { return Duration(0); };
    submit("j1", { spread });
    run(1s);
    REQUIRE(running("j1") == 3);
    for (auto& [id, target] : targets) {
        if (!target.runs.empty()) {
            endRun(target, target.runs.begin()->first, EndKind::Failed);
            break;
        }
    }
    run(3s);
    CHECK(running("j1") == 3);
}

TEST_CASE_FIXTURE(Fixture, "a cancelled job is stopped, and stays cancelled under the next owner")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    submit("j1", { step(3) });
    run(500ms);
    cancel("j1");
    run(500ms);
    CHECK(answers[JobId("cancel-j1")] == JobAnswer::Kind::Ok);
    CHECK(running("j1") == 0);
    CHECK(state("j1") == "cancelled");
    takeOver();
    run(1s);
    CHECK(state("j1") == "cancelled");
    CHECK(startsOf("j1") == 3);
}

// Guards against acknowledging ends at once: if the cancellation is not stored, the next owner runs the tasks again.
TEST_CASE_FIXTURE(Fixture, "ends of a cancelled job are acknowledged only once the cancellation is stored")
{
    stopsTake = 5s; // The runs complete before the stop order takes effect.
    submit("j1", { step(3) });
    run(300ms);
    storeUp = false;
    cancel("j1");
    run(1s);
    storeUp = true;
    takeOver();
    run(3s);
    CHECK(startsOf("j1") == 3);
}

TEST_CASE_FIXTURE(Fixture, "a start order without an answer is sent again with the same run number and runs once")
{
    for (auto& [id, target] : targets)
        target.loseStarts = 1;
    submit("j1", { step(3) });
    run(5s);
    CHECK(state("j1") == "completed");
    CHECK(startsOf("j1") == 3);
}

TEST_CASE_FIXTURE(Fixture, "a task whose start is refused for lack of capacity or health is placed on another target")
{
    targets.at(TargetId("t1")).refuseStarts = OrderResult::NoRoom;
    targets.at(TargetId("t2")).refuseStarts = OrderResult::Unhealthy;
    submit("j1", { step(3) });
    run(4s);
    CHECK(state("j1") == "completed");
}

TEST_CASE_FIXTURE(Fixture, "a job fails only when a task has used up its attempts")
{
    for (auto& [id, target] : targets)
        target.failsAll = true;
    submit("j1", { step(1) });
    run(20s);
    CHECK(state("j1") == "failed");
    CHECK(startsOf("j1") == 2);
}

TEST_CASE_FIXTURE(Fixture, "runs without progress are stopped and their tasks placed on other targets")
{
    targets.at(TargetId("t1")).standsStill = true;
    submit("j1", { step(3) });
    run(15s);
    CHECK(state("j1") == "completed");
}

TEST_CASE_FIXTURE(Fixture, "tasks of a restarted target are placed again at once")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    submit("j1", { step(3) });
    run(500ms);
    restartTarget(targets.at(TargetId("t1")));
    run(2500ms);
    CHECK(running("j1") == 3);
}

TEST_CASE_FIXTURE(Fixture, "lasting tasks are moved off a draining target, and short ones may complete there")
{
    StepSpec lasting = step(3);
    lasting.lasting = true;
    lengthOf = [](const CellTaskKey& key) { return key.job == JobId("j1") ? Duration(0) : Duration(1200ms); };
    submit("j1", { lasting });
    submit("j2", { step(3) });
    run(500ms);
    WorldTarget& drainingTarget = targets.at(TargetId("t1"));
    REQUIRE(drainingTarget.runs.size() == 2);
    drainingTarget.entry.draining = true;
    run(1100ms);
    CHECK(running("j1") == 3);
    CHECK(std::none_of(drainingTarget.runs.begin(), drainingTarget.runs.end(),
        [](const auto& entry) { return entry.first.job == JobId("j1"); }));
    run(1s);
    CHECK(state("j2") == "completed");
    CHECK(startsOf("j2") == 3);
}

// Guards against overloading a target: runs of a finished job, whose specification is removed, were counted as using no
// capacity.
TEST_CASE_FIXTURE(Fixture, "runs of finished jobs that a new owner finds keep their capacity until they have stopped")
{
    takeOverWhileStopping(step(3, 12000));
    run(2s);
    CHECK(running("j2") == 3);
}

TEST_CASE_FIXTURE(
    Fixture, "a target is free only once all runs of finished jobs that a new owner finds there have stopped")
{
    takeOverWhileStopping(step(6, 7000));
    run(100ms);
    for (auto& [id, target] : targets) {
        REQUIRE(target.runs.size() == 2);
        endRun(target, target.runs.begin()->first, EndKind::Stopped);
    }
    run(300ms);
    CHECK(running("j2") == 0);
    run(2s);
    CHECK(running("j2") == 3);
}

TEST_CASE_FIXTURE(Fixture, "a restarted target gets no work until the target list contains its new incarnation")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    submit("j1", { step(3) });
    run(200ms);
    // The list is older than the targets' own reports, so its capacities may be those of earlier incarnations.
    staleListUntil = now + 4s;
    for (auto& [id, target] : targets)
        restartTarget(target);
    run(2s);
    submit("j2", { step(3, 12000) });
    run(1s);
    CHECK(startsOf("j2") == 0);
    run(2s);
    CHECK(startsOf("j2") == 3);
}

TEST_CASE_FIXTURE(Fixture, "a target to which orders could not be sent is used again once it answers")
{
    for (auto& [id, target] : targets)
        target.refuseStarts = OrderResult::NotSent;
    submit("j1", { step(30) });
    run(2s);
    CHECK(startsOf("j1") == 0);
    for (auto& [id, target] : targets)
        target.refuseStarts = OrderResult::Done;
    run(4s);
    CHECK(state("j1") == "completed");
}

TEST_CASE_FIXTURE(Fixture, "target capacity is not exceeded with many waiting tasks")
{
    const std::vector<StepSpec> steps { step(30, 3000) };
    specs[JobId("j1")] = steps;
    submit("j1", steps);
    run(10s);
    CHECK(state("j1") == "completed");
}

TEST_CASE_FIXTURE(Fixture, "a job whose task exceeds the capacity of every target is refused at once")
{
    submit("j1", { step(1, 20000) });
    CHECK(answers[JobId("j1")] == JobAnswer::Kind::Refused);
}

TEST_CASE_FIXTURE(Fixture, "the members of a gang start together or not at all")
{
    StepSpec gang = step(6, 8000);
    gang.gang = true;
    StepSpec big = step(1, 16000);
    lengthOf = [](const CellTaskKey& key) { return key.job == JobId("big") ? Duration(3s) : Duration(500ms); };
    submit("big", { big });
    run(200ms);
    submit("j1", { gang });
    run(1s);
    CHECK(startsOf("j1") == 0);
    run(5s);
    CHECK(startsOf("j1") == 6);
    CHECK(state("j1") == "completed");
}

TEST_CASE_FIXTURE(Fixture, "occurrences start when they are due")
{
    CellJobSpec spec;
    spec.id = JobId("j1");
    spec.queue = QueueId("q");
    spec.service = ServiceId("s");
    spec.payload = "payload";
    spec.steps = { step(1) };
    spec.schedule.firstDue
        = CalendarTime(std::chrono::duration_cast<std::chrono::milliseconds>((now + 1s).time_since_epoch()));
    spec.schedule.interval = 1000ms;
    spec.schedule.occurrences = 3;
    owner->submit(std::move(spec), now, [](JobAnswer&&) {});
    run(900ms);
    CHECK(startsOf("j1") == 0);
    run(1000ms);
    CHECK(startsOf("j1") == 1);
    run(5s);
    CHECK(startsOf("j1") == 3);
    CHECK(state("j1") == "completed");
}
