#include "doctest_main.h"

#include "cell_load_world.h"

using namespace sp;
using namespace sp::test;

namespace {

/** A cell whose targets change their capacity while they run tasks. */
struct CapacityTest : LoadTest {
    CapacityTest()
    {
        addTargets(4, { 16000, 32000, 0 });
        takeOver();
        run(200ms);
    }

    void submitTasks(const std::string& id, std::uint32_t tasks)
    {
        specs[JobId(id)] = { step(tasks, 2000) };
        submitTo(id, QueueId("q"), { step(tasks, 2000) });
    }

    void resizeAll(std::int64_t cores)
    {
        for (const auto& [id, target] : targets)
            resize(id, { cores, 32000, 0 });
    }
};

} // namespace

TEST_CASE_FIXTURE(
    CapacityTest, "a target whose capacity has shrunk gets no task beyond it, and is filled again when it grows")
{
    for (int i = 0; i < 60; ++i) {
        if (i == 10)
            resizeAll(4000);
        if (i == 40)
            resizeAll(16000);
        submitTasks("j" + std::to_string(i), 8);
        runAndRecord(300ms);
    }
    runAndRecord(10s);
    CHECK(shareWithin("j", 30s) == 1);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(
    CapacityTest, "a task that was placed before its target shrank is not started when its record is saved late")
{
    submitTasks("first", 8);
    run(100ms);
    storeUp = false;
    submitTasks("second", 24);
    run(300ms);
    resizeAll(2000);
    run(6s);
    storeUp = true;
    run(4s);
    resizeAll(16000);
    runAndRecord(10s);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(CapacityTest, "a start without an answer is not repeated on a target that has shrunk meanwhile")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    submitTasks("held", 16);
    run(1s);
    for (auto& [id, target] : targets) {
        target.ordersToDelay = 1;
        target.reachable = true;
    }
    lateOrderDelay = 60s;
    orderTimeout = 6s;
    submitTasks("late", 4);
    run(500ms);
    resizeAll(8000);
    run(20s);
    CHECK(violations == std::vector<std::string> {});
}
