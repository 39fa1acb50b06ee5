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
