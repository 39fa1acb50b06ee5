#include "doctest_main.h"

#include "task_budget.h"

using namespace sp;

// Guards against Fault: small submissions of jobs with many tasks took the memory of each host that became the owner.
TEST_CASE("jobs of many tasks take a bounded part of the memory, and leave room for small ones")
{
    CHECK(taskBudget(64) == 65536); // A quarter of the memory, at 256 bytes a task.
    const std::size_t budget = taskBudget(260);
    CHECK(budget == 131072); // A smaller host may have to take over.
    std::size_t held = 0;
    for (const std::size_t tasks : { 10000, 1000, 48 }) {
        int accepted = 0;
        for (; mayHoldTasks(tasks, held, budget); held += tasks)
            ++accepted;
        CHECK(accepted > 5);
        CHECK(held <= budget);
    }
    CHECK(mayHoldTasks(4, held, budget));
    CHECK_FALSE(mayHoldTasks(1, budget, budget));
    CHECK_FALSE(mayHoldTasks(1, budget + 1, budget));
}
