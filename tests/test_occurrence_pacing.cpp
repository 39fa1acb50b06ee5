#include "doctest_main.h"

#include "occurrence_pacing.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** A job with an occurrence each minute, of one task of 300 ms. */
struct PacingTest {
    OccurrenceLoad load { 0, 1, 300ms, 60s, 0ms, 2s };
    OccurrenceLimits limits = occurrenceLimits(std::size_t { 1 } << 20U);

    /** Returns how many tasks the job may have in progress. */
    std::size_t mostTasks()
    {
        for (load.openTasks = 0; mayBeginOccurrence(load, limits); load.openTasks += load.tasksEach) { }
        return load.openTasks;
    }
};

} // namespace

// Guards against LOST: all overdue occurrences of a job began at once, and its record outgrew the store.
TEST_CASE_FIXTURE(PacingTest, "occurrences that come too late to be of value begin a few at a time")
{
    load.overdue = 70 * 24h;
    CHECK(mostTasks() == 4);
    load.tasksEach = 48;
    CHECK(mostTasks() == 48);
    load.interval = 0ms;
    load.tasksEach = 1;
    CHECK(mostTasks() == 4);
}

TEST_CASE_FIXTURE(PacingTest, "a job whose occurrences overlap catches up faster than they come due")
{
    load.overdue = 1min;
    load.path = 20s;
    load.interval = 1s;
    CHECK(mostTasks() == 21);
    load.tasksEach = 3;
    CHECK(mostTasks() == 63);
}

TEST_CASE_FIXTURE(PacingTest, "occurrences in time overlap as far as the record can hold them")
{
    load.overdue = 1500ms;
    CHECK(mostTasks() == 4096);
    load.tasksEach = 10000;
    CHECK(mostTasks() == 10000); // One is always possible.
}
