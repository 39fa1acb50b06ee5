#include "doctest_main.h"

#include "backlog_admission.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** A full service of 1,000 cores whose tasks take 4 s. */
BacklogState fullService(double coreSecondsAhead)
{
    BacklogState state;
    state.capacityCores = 1000;
    state.freeCores = 10;
    state.workingCores = 900;
    state.freedPerSecond = 225;
    state.coresAhead = coreSecondsAhead / 8;
    state.coreSecondsAhead = coreSecondsAhead;
    return state;
}

constexpr BacklogDemand within { 9440ms, 21968ms, 2.2, false };
constexpr BacklogDemand beyond { 9440ms, 21968ms, 2.2, true };

} // namespace

TEST_CASE("a job beyond the rate of its account is refused if it could not complete within its objective")
{
    CHECK(checkBacklog(fullService(1000), beyond).accepted);
    const BacklogVerdict verdict = checkBacklog(fullService(9000), beyond);
    CHECK_FALSE(verdict.accepted);
    CHECK(verdict.wait == 10s);
    CHECK(verdict.retryAfter == 5s);
    CHECK(checkBacklog(fullService(9000), within).accepted);
}

TEST_CASE("a job within the rate is refused only if it could not complete within three times its objective")
{
    CHECK(checkBacklog(fullService(45000), within).accepted);
    CHECK_FALSE(checkBacklog(fullService(60000), within).accepted);
}

TEST_CASE("no job is refused while targets are free")
{
    BacklogState state = fullService(1e6);
    state.freeCores = 200;
    CHECK(checkBacklog(state, beyond).accepted);
    state = fullService(0);
    state.adviceWait = 60s;
    CHECK(checkBacklog(state, beyond).accepted);
}

TEST_CASE("the advisor's backlog counts, and the time to come back lies between 1 and 5 s")
{
    BacklogState state = fullService(400);
    state.adviceWait = 9s;
    const BacklogVerdict slow = checkBacklog(state, beyond);
    CHECK_FALSE(slow.accepted);
    CHECK(slow.retryAfter == 5s);
    const BacklogVerdict quick = checkBacklog(fullService(400), { 850ms, 1000ms, 1.5, true });
    CHECK_FALSE(quick.accepted);
    CHECK(quick.retryAfter == 1s);
}

TEST_CASE("a service without any usable target accepts jobs, which wait for its targets")
{
    CHECK(checkBacklog({}, beyond).accepted);
}
