#include "doctest_main.h"

#include "cell_world.h"

using namespace sp;
using namespace sp::test;

namespace {

/** One target that restarts under its id, which the list of targets shows only a second later. */
struct RestartTest : CellWorld {
    RestartTest()
    {
        addTargets(1);
        lengthOf = [](const CellTaskKey& key) { return Duration(key.job == JobId("short") ? 20ms : 300ms); };
        takeOver();
        run(200ms);
        submit("first", { step(3) });
    }

    void restart()
    {
        staleListUntil = now + 1s;
        restartTarget(targets.at(TargetId("t1")));
    }
};

} // namespace

// Guards against running a task twice: the report request carried the cursor of the target's former incarnation, and
// the restarted target forgot the end of a run that the owner had not seen.
TEST_CASE("a restarted target does not forget an end that the owner has not seen")
{
    for (const bool answerLost : { false, true }) {
        for (int i = 0; i < 150; ++i) {
            const Duration delay = 300ms + i * 4ms;
            RestartTest test;
            test.run(delay);
            test.submit("short", { RestartTest::step(1) });
            test.run(i % 4 * 4ms); // The start order is sent some milliseconds after the submission.
            test.restart();
            test.targets.at(TargetId("t1")).loseStarts = answerLost ? 1 : 0;
            test.run(4s);
            CAPTURE(toMs(delay));
            CAPTURE(answerLost);
            CHECK(test.state("short") == "completed");
            CHECK(test.startsOf("short") == 1);
            CHECK(test.violations.empty());
        }
    }
}

// Guards against running a task twice: a start order without an answer was forgotten once its repetition had been
// answered, and the next incarnation of the target carried it out beside the task's next run.
TEST_CASE("an order that was left unanswered starts nothing on a restarted target")
{
    for (int i = 0; i < 40; ++i) {
        CellWorld test;
        test.addTargets(2);
        test.relaysHoldOrders = true;
        test.lengthOf = [](const CellTaskKey&) { return Duration(20s); };
        test.takeOver();
        test.run(200ms);
        test.targets.at(TargetId("t1")).ordersToDelay = 1;
        test.targets.at(TargetId("t2")).ordersToDelay = 1;
        test.submit("long", { CellWorld::step(4) });
        test.run(700ms + i * 50ms);
        test.restartTarget(test.targets.at(TargetId("t1")));
        test.run(6s);
        CAPTURE(i);
        CHECK(test.running("long") == 4);
        CHECK(test.violations.empty());
    }
}

namespace {

/** Targets of which one ends without a word; a later incarnation of its machine then serves at its address. */
struct ReplacedTest : CellWorld {
    explicit ReplacedTest(int count)
    {
        addTargets(count);
        lengthOf = [](const CellTaskKey&) { return Duration(3s); };
        takeOver();
        run(200ms);
    }

    WorldTarget& targetOf(const JobId& job)
    {
        const auto it = std::find_if(targets.begin(), targets.end(), [&](const auto& item) {
            return std::any_of(item.second.runs.begin(), item.second.runs.end(),
                [&](const auto& entry) { return entry.first.job == job; });
        });
        REQUIRE(it != targets.end());
        return it->second;
    }

    /** The entry of the former incarnation stays listed for the usual time. */
    void replace(WorldTarget& target, Duration down)
    {
        target.alive = false;
        target.runs.clear();
        later(down, [this, &target] {
            target.alive = true;
            target.answersForAnother = true;
            WorldTarget next;
            next.entry = target.entry;
            next.entry.id = TargetId(target.entry.id.value + "'");
            next.entry.bornAt += 1ms;
            targets.emplace(next.entry.id, next);
        });
        later(4500ms, [&target] { target.listed = false; });
    }
};

} // namespace

// Guards against a task that is never started again: it was placed on an incarnation that had ended, whose address
// answered each request for a report in the name of another one.
TEST_CASE("a task is started again after its target was replaced, however quickly")
{
    for (const int count : { 1, 2, 4 }) {
        for (Duration down = 100ms; down < 2s; down += 100ms) {
            for (const bool gang : { false, true }) {
                ReplacedTest test(count);
                StepSpec step = CellWorld::step(gang ? 2 : 1);
                step.gang = gang;
                test.submit("j1", { step });
                test.run(300ms);
                test.replace(test.targetOf(JobId("j1")), down);
                test.run(15s);
                CAPTURE(count);
                CAPTURE(toMs(down));
                CAPTURE(gang);
                CHECK(test.state("j1") == "completed");
                CHECK(test.violations.empty());
            }
        }
    }
}

// The same with a target that answers requests for reports with an error: its runs were neither seen nor given up.
TEST_CASE("a task is started again if its target refuses to report")
{
    for (const OrderResult refusal : { OrderResult::Unhealthy, OrderResult::Rejected }) {
        ReplacedTest test(3);
        test.submit("j1", { CellWorld::step(1) });
        test.run(300ms);
        test.targetOf(JobId("j1")).refuseReports = refusal;
        test.run(20s);
        CHECK(test.state("j1") == "completed");
        CHECK(test.violations.empty());
    }
}

namespace {

/**
 * Targets that restart under their ids while an owner sends them orders by their former clocks. They are cut off soon
 * after, with runs whose leases no one can see.
 */
struct RecutTest : CellWorld {
    RecutTest()
    {
        addTargets(4);
        lengthOf = [](const CellTaskKey&) { return Duration(40s); };
        for (auto& [id, target] : targets)
            target.entry.bornAt = calendarNow();
        takeOver();
        run(20100ms); // Their clocks are well ahead of those after a restart.
    }

    /** The list shows the new incarnations within 0.8 s. */
    void restartAll()
    {
        staleListUntil = now + 100ms;
        for (auto& [id, target] : targets) {
            restartTarget(target);
            target.entry.bornAt = calendarNow();
        }
    }

    void setReachable(bool reachable)
    {
        for (const char* id : { "t1", "t2" })
            targets.at(TargetId(id)).reachable = reachable;
    }
};

} // namespace

// Guards against running a task twice: an order that named a lease by the clock of a target's former life was shortened
// to the longest lease only, which the next owner took for one of the usual length.
TEST_CASE("a new owner waits for the longest lease of a target that restarted shortly before")
{
    for (const bool idle : { false, true }) {
        for (Duration untilCut = 20ms; untilCut < 1500ms; untilCut += 20ms) {
            RecutTest test;
            if (!idle) {
                test.submit("j1", { CellWorld::step(8) });
                test.run(1s);
            }
            test.restartAll();
            test.submit("j2", { CellWorld::step(8) }); // By the former clock, if the targets were idle.
            test.run(50ms);
            test.submit("j3", { CellWorld::step(8) });
            test.run(untilCut);
            test.setReachable(false);
            test.takeOver();
            test.run(20s);
            test.setReachable(true);
            test.run(10s);
            CAPTURE(idle);
            CAPTURE(toMs(untilCut));
            CHECK(test.running("j3") == 8);
            CHECK(test.violations.empty());
        }
    }
}

TEST_CASE_FIXTURE(RecutTest, "the tasks of a target that did not restart are placed again after the usual lease")
{
    submit("j1", { step(8) });
    run(1s);
    setReachable(false);
    takeOver();
    run(10s);
    CHECK(startsOf("j1") > 8);
}

// Guards against leases by the clock of a former incarnation: a target that has left an order unanswered may have
// restarted.
TEST_CASE_FIXTURE(RecutTest, "no lease is renewed for a target that may have restarted")
{
    submit("j1", { step(8) });
    run(1s);
    restartAll(); // Resets the open requests for reports.
    run(60ms);
    for (auto& [id, target] : targets)
        CHECK(target.leaseEnds < now + 7s); // The longest lease is 10 s.
}

// Guards against a job that fails with attempts left: each member of a gang that ended failed counted as an attempt,
// also those of one run.
TEST_CASE("members of one run of a gang that fail together use up one attempt")
{
    for (const bool ownerChanges : { false, true }) {
        CellWorld test;
        test.addTargets(4);
        test.config.queues[0].maxAttempts = 3;
        test.lengthOf = [](const CellTaskKey&) { return Duration(5s); };
        test.takeOver();
        test.run(200ms);
        StepSpec gang = CellWorld::step(4, 12000);
        gang.gang = true;
        test.submit("j1", { gang });
        for (int attempt = 1; attempt <= 3; ++attempt) {
            CAPTURE(attempt);
            CAPTURE(ownerChanges);
            test.run(2s);
            REQUIRE(test.running("j1") == 4);
            CHECK(test.state("j1") == "running");
            int ended = 0;
            for (auto& [id, target] : test.targets) {
                if (target.runs.empty()) // The last failure has ended the job.
                    continue;
                const CellTaskKey member = target.runs.begin()->first;
                test.endRun(target, member, ended < 3 ? EndKind::Failed : EndKind::Broken);
                if (++ended == 2 && ownerChanges) { // The next owner finds the other ends.
                    test.run(1s);
                    test.takeOver();
                }
            }
        }
        test.run(2s);
        CHECK(test.state("j1") == "failed");
        CHECK(test.startsOf("j1") == 12);
    }
}
