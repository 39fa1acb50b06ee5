#include "doctest_main.h"

#include "retry_budget.h"

#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

// Guards against retries that multiply the load of a failing service: at most the budget and the burst get through.
TEST_CASE("retries stay within the percentage of requests")
{
    RetryBudget budget;
    const WorkloadId w("w");
    int allowed = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.requestSeen(w, 10);
        for (int retry = 0; retry < 3; ++retry)
            allowed += budget.tryRetry(w, 10) ? 1 : 0;
    }
    CHECK(allowed >= 999);
    CHECK(allowed <= 1010);
    CHECK(budget.tryRetry(WorkloadId("other"), 10)); // Another workload's budget is its own.
}

// Guards against tokens saved up over a quiet hour that are then spent in one burst.
TEST_CASE("the bucket is bounded, and 0 percent forbids all retries")
{
    RetryBudget budget;
    const WorkloadId w("w");
    for (int i = 0; i < 100000; ++i)
        budget.requestSeen(w, 100);
    CHECK(budget.tokens(w) <= RetryBudget::burst);
    CHECK_FALSE(budget.tryRetry(w, 0));
    budget.forget(w);
    CHECK(budget.tokens(w) == RetryBudget::burst);
}

// Guards against pauses that are too long, too short, or equal for callers that failed together.
TEST_CASE("the pause grows with the attempt up to its cap and is spread")
{
    CHECK(rc::check([](std::uint32_t attempt, std::uint64_t random) {
        const BackoffRange range { 10ms, 5s };
        const Duration delay = retryDelay(attempt, random, range);
        RC_ASSERT(delay >= 5ms);
        RC_ASSERT(delay <= 5s);
        if (attempt >= 1 && attempt < 9)
            RC_ASSERT(delay <= range.base * (1 << (attempt - 1)));
        if (attempt >= 10)
            RC_ASSERT(delay >= 2500ms);
    }));
    CHECK(retryDelay(1, 1) != retryDelay(1, 2));
    CHECK(retryDelay(UINT32_MAX, 0) >= 2500ms);
}
