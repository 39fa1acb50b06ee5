#include "doctest_main.h"

#include "task_test_base.h"

using namespace sp;
using namespace sp::test;

namespace {

const WorkloadId first("first");
const WorkloadId second("second");

void failOften(TargetHealth& health, std::uint32_t worker, double when, int times = 6)
{
    for (int i = 0; i < times; ++i)
        health.ended(worker, i % 2 ? first : second, false, at(when));
}

TargetHealth healthOf(std::size_t workers)
{
    TargetHealth health;
    health.setWorkerCount(workers);
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
        health.ended(worker, first, true, at(0));
        health.ended(worker, second, true, at(0));
    }
    return health;
}

} // namespace

// Guards against a worker that fails everything at once and so draws most starts to itself.
TEST_CASE("a worker that fails everything goes out, is tried after growing pauses and comes back after 3 successes")
{
    TargetHealth health = healthOf(50);
    failOften(health, 7, 1);
    CHECK(health.isOut(7));
    CHECK(health.poll(at(10)).empty());
    REQUIRE(health.poll(at(12)).size() == 1);
    CHECK(health.started(7).front().out); // One task at a time.
    CHECK(health.ended(7, first, false, at(13)).front().out);
    CHECK(health.poll(at(24)).empty()); // The pause has doubled.
    REQUIRE(health.poll(at(34)).size() == 1);
    for (int i = 0; i < 3; ++i) {
        CHECK(health.isOut(7));
        health.started(7);
        CHECK_FALSE(health.ended(7, first, true, at(35)).front().out);
    }
    CHECK_FALSE(health.isOut(7));
    failOften(health, 7, 40);
    CHECK(health.poll(at(60)).empty()); // It failed again soon, so the pause is longer than the first one.
    health.checkInvariants();
}

// Guards against healthy workers being taken out by work that fails everywhere.
TEST_CASE("work that fails everywhere takes no worker out")
{
    TargetHealth health = healthOf(50);
    const WorkloadId bad("bad");
    const WorkloadId worse("worse");
    for (int round = 0; round < 20; ++round) {
        for (std::uint32_t worker = 0; worker < 50; ++worker) {
            health.ended(worker, bad, false, at(round));
            health.ended(worker, worse, false, at(round));
        }
    }
    // The first workers may be suspected before enough others have run the work; never more than the limit.
    CHECK(health.outCount() <= 1);
    CHECK(health.failsEverywhere(bad));
    CHECK_FALSE(health.failsEverywhere(first));
}

// Guards against one bad workload taking a worker out.
TEST_CASE("failures of a single workload don't take a worker out")
{
    TargetHealth health = healthOf(50);
    for (int i = 0; i < 50; ++i)
        health.ended(3, first, false, at(1));
    CHECK_FALSE(health.isOut(3));
}

// Guards against losing the cell when a common fault (a network file system, say) makes all workers fail.
TEST_CASE("at most the allowed share of the workers is out, and at least one")
{
    TargetHealth health = healthOf(50);
    for (std::uint32_t worker = 0; worker < 50; ++worker)
        failOften(health, worker, 1);
    CHECK(health.outCount() == health.outLimit());
    CHECK(health.outLimit() == 5);
    CHECK(healthOf(3).outLimit() == 1);
}

// Guards against counts that drift over a long random run.
TEST_CASE("the limit holds in a long random run")
{
    std::mt19937_64 random(numberFromEnvironment("SP_SEED", 1));
    const auto steps = numberFromEnvironment("SP_STEPS", 20000);
    TargetHealth health = healthOf(30);
    double now = 0;
    for (std::uint64_t step = 0; step < steps; ++step) {
        now += 0.1;
        const auto worker = static_cast<std::uint32_t>(random() % 30);
        if (random() % 50 == 0)
            health.forget(worker);
        health.started(worker);
        health.ended(worker, random() % 2 ? first : second, worker > 8 ? random() % 10 > 0 : false, at(now));
        health.poll(at(now));
        health.checkInvariants();
        REQUIRE(health.outCount() <= health.outLimit());
    }
}
