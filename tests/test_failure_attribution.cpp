#include "doctest_main.h"

#include "failure_attribution.h"

#include <set>
#include <string>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** A service of eight targets. */
struct FailureTest {
    Time now { 1h };
    FailureAttribution failures;
    std::map<TargetId, Time> shutOutUntil;
    std::size_t targets = 8;

    static TargetId target(int number) { return TargetId("t" + std::to_string(number)); }
    static JobId job(const std::string& name) { return JobId(name); }

    void fail(int number, const std::string& name)
    {
        for (const auto& [id, until] : failures.runFailed(target(number), ServiceId("s"), job(name), targets, now))
            shutOutUntil[id] = until;
    }

    int shutOut() const
    {
        int count = 0;
        for (const auto& [id, until] : shutOutUntil)
            count += until > now ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE_FIXTURE(
    FailureTest, "runs of three jobs that fail in a row shut a target out, and one that is done resets it")
{
    fail(1, "a");
    fail(1, "b");
    failures.runDone(target(1), job("c"));
    fail(1, "d");
    fail(1, "e");
    CHECK(shutOut() == 0);
    fail(1, "f");
    CHECK(shutOutUntil[target(1)] == now + 3s);
    now += 4s;
    fail(1, "g"); // One further failure is enough after a shut-out, which then lasts twice as long.
    CHECK(shutOutUntil[target(1)] == now + 6s);
    now += 7s;
    fail(1, "h");
    CHECK(shutOutUntil[target(1)] == now + 12s);
    now += 13s;
    fail(1, "i");
    CHECK(shutOutUntil[target(1)] == now + 12s);
    now += 13s;
    failures.runDone(target(1), job("j"));
    fail(1, "k");
    fail(1, "l");
    fail(1, "m");
    CHECK(shutOutUntil[target(1)] == now + 3s);
}

// Guards against LOST: the failed runs of one job shut all targets out.
TEST_CASE_FIXTURE(FailureTest, "a job that fails everywhere shuts no target out, however many tasks it has")
{
    for (int i = 0; i < 100; ++i) {
        fail(i % 8, "bad");
        CHECK(shutOut() == 0);
    }
    CHECK_FALSE(failures.isClosedTo(job("sound"), target(0), now));
}

TEST_CASE_FIXTURE(FailureTest, "several jobs that fail everywhere shut no target out for long")
{
    for (const char* name : { "bad1", "bad2", "bad3", "bad4" }) {
        for (int i = 0; i < 8; ++i)
            fail(i, name);
    }
    CHECK(shutOut() == 0);
}

TEST_CASE_FIXTURE(FailureTest, "many small jobs that fail at the same time shut out at most half of the targets")
{
    for (int i = 0; i < 48; ++i) {
        fail(i % 8, "bad" + std::to_string(i));
        CHECK(shutOut() <= 4);
    }
}

TEST_CASE_FIXTURE(FailureTest, "two targets that fail all runs are shut out, though each job fails on both")
{
    for (int i = 0; i < 4; ++i) {
        fail(1, "job" + std::to_string(i));
        fail(2, "job" + std::to_string(i));
    }
    CHECK(shutOutUntil[target(1)] > now);
    CHECK(shutOutUntil[target(2)] > now);
    CHECK(shutOut() == 2);
}

TEST_CASE_FIXTURE(FailureTest, "a target is let in again once the jobs that failed there fail on other targets as well")
{
    for (const char* name : { "bad1", "bad2", "bad3" })
        fail(1, name);
    CHECK(shutOut() == 1);
    for (int i = 2; i < 5; ++i) {
        for (const char* name : { "bad1", "bad2", "bad3" })
            fail(i, name);
    }
    CHECK(shutOut() == 0);
    failures.forgetTarget(target(1));
    fail(1, "next");
    CHECK(shutOut() == 0);
}

TEST_CASE_FIXTURE(FailureTest, "a target on which several runs of one job fail is closed to this job for a while")
{
    for (int i = 0; i < 3; ++i)
        fail(1, "a");
    CHECK(shutOut() == 0);
    CHECK(failures.isClosedTo(job("a"), target(1), now + 2900ms));
    CHECK_FALSE(failures.isClosedTo(job("a"), target(1), now + 3s)); // It may be the only one for the job.
    CHECK_FALSE(failures.isClosedTo(job("a"), target(2), now));
    CHECK_FALSE(failures.isClosedTo(job("b"), target(1), now));
    SUBCASE("until the job turns out to fail on most targets")
    {
        fail(2, "a");
        fail(3, "a");
        CHECK_FALSE(failures.isClosedTo(job("a"), target(1), now));
    }
    SUBCASE("also if it fails on further ones, while its runs are done on others")
    {
        fail(2, "a");
        fail(3, "a");
        failures.runDone(target(4), job("a"));
        CHECK(failures.isClosedTo(job("a"), target(1), now));
    }
}

TEST_CASE_FIXTURE(FailureTest, "failures are forgotten after a minute")
{
    fail(1, "a");
    fail(1, "b");
    now += 61s;
    fail(1, "c");
    CHECK(shutOut() == 0);
    failures.forgetExpired(now);
    fail(1, "d");
    fail(1, "e");
    CHECK(shutOut() == 1);
}
