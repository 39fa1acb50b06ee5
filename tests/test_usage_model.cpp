#include "doctest_main.h"

#include "task_test_base.h"

#include <rapidcheck.h>

using namespace sp;
using namespace sp::test;

// Guards against sizes that lag behind growing usage: other tasks would be placed on resources that are in use.
TEST_CASE("sizes grow at once and shrink slowly")
{
    SizeTracker tracker({ 1000, 1000, 0 });
    CHECK(tracker.report({ 4000, 500, 0 }, at(0)));
    CHECK(tracker.size().coresMilli == 4000);
    CHECK(tracker.size().memoryMb == 950);
    tracker.report({ 100, 500, 0 }, at(1));
    CHECK(tracker.size().coresMilli == 4000); // Not below the peak.
    tracker.report({ 100, 500, 0 }, at(599));
    CHECK(tracker.size().coresMilli == 4000);
    tracker.report({ 100, 500, 0 }, at(1300)); // The period of the peak began over 20 min ago.
    CHECK(tracker.size().coresMilli == 4000 - 390);
}

// Guards against sizes below the peak usage of the last 10 min, with which a worker gets more tasks than it has
// resources for when usage peaks again.
TEST_CASE("the size is never below the peak of the last 10 min")
{
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& reports) {
        SizeTracker tracker({ 1000, 1000, 0 });
        double now = 0;
        std::vector<std::pair<double, std::int64_t>> reported;
        for (const auto& [elapsed, usage] : reports) {
            now += elapsed;
            tracker.report({ usage, usage, 0 }, at(now));
            reported.emplace_back(now, usage);
            for (const auto& [when, amount] : reported)
                RC_ASSERT(now - when >= 600 || tracker.size().memoryMb >= amount);
        }
    }));
}

// Guards against an unbounded number of entries, and against eviction of entries that running jobs still use.
TEST_CASE("the number of entries is bounded and evicted entries stay valid for the jobs that use them")
{
    UsageModel model(100);
    const UsageEntryPtr first = model.entry(jobSpec("j", "batch", { 1, 1, 0 }), at(0));
    for (int i = 0; i < 1000; ++i)
        model.entry(jobSpec("j", "batch", { i + 2, 1, 0 }), at(i + 1));
    CHECK(model.entries() <= 100);
    CHECK(first->tracker.size() == Resources { 1, 1, 0 });
}

// Guards against planning with declared run times that are far off: learned run times replace them.
TEST_CASE("the learned run time replaces the declared one")
{
    UsageModel model;
    const UsageEntryPtr entry = model.entry(jobSpec("j", "batch", { 1, 1, 0 }), at(0));
    CHECK(UsageModel::expectedRun(*entry, std::chrono::seconds(9)) == std::chrono::seconds(9));
    for (int i = 0; i < 30; ++i)
        UsageModel::finished(*entry, std::chrono::seconds(9), std::chrono::seconds(40));
    CHECK(toMs(UsageModel::expectedRun(*entry, std::chrono::seconds(9))) == 40000);
}

// Guards against using one mean for short and long runs when the declared run times distinguish them.
TEST_CASE("declared run times are scaled when they predict better than the mean")
{
    UsageModel model;
    const UsageEntryPtr entry = model.entry(jobSpec("j", "batch", { 1, 1, 0 }), at(0));
    for (int i = 0; i < 100; ++i)
        UsageModel::finished(*entry, std::chrono::seconds(10 + i % 7 * 100), std::chrono::seconds(20 + i % 7 * 200));
    CHECK(toMs(UsageModel::expectedRun(*entry, std::chrono::seconds(10))) == 20000);
    CHECK(toMs(UsageModel::expectedRun(*entry, std::chrono::seconds(600))) == 1200000);
}
