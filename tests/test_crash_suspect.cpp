#include "doctest_main.h"

#include "crash_suspect.h"

using namespace sp;
using namespace std::chrono_literals;

TEST_CASE("a task is given up after two crashes that it caused alone, or three with one of these")
{
    CHECK_FALSE(crashesTargets({ 1, 0, false }));
    CHECK_FALSE(crashesTargets({ 2, 1, false }));
    CHECK_FALSE(crashesTargets({ 3, 0, false }));
    CHECK(crashesTargets({ 2, 2, false }));
    CHECK(crashesTargets({ 3, 1, false }));
    CHECK(crashesTargets({ 4, 0, false }));
    CHECK_FALSE(crashesTargets({ 2, 0, true }));
    CHECK(crashesTargets({ 3, 0, true }));
}

// Guards against LOST: each task of a crashed target held an idle target for itself until it ended.
TEST_CASE("suspects hold at most a quarter of the targets, each until it has run for two seconds")
{
    CHECK(mostTargetsHeld(1) == 1);
    CHECK(mostTargetsHeld(7) == 1);
    CHECK(mostTargetsHeld(8) == 2);
    CHECK(mostTargetsHeld(300) == 75);
    const Time start { 1h };
    CHECK_FALSE(isCleared(start, start + 2s));
    CHECK(isCleared(start, start + 2001ms));
    CHECK(longestWaitForTarget(1) == 1500ms);
    CHECK(longestWaitForTarget(2) == 2500ms);
}
