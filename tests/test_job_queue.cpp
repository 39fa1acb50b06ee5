#include "doctest_main.h"

#include "task_test_base.h"

#include <chrono>
#include <rapidcheck.h>

using namespace sp;
using namespace sp::test;

namespace {

constexpr Duration maxWait = std::chrono::minutes(10);

LaneKey laneKey(TeamIndex team, std::int64_t coresMilli = 1000)
{
    LaneKey key;
    key.team = team;
    key.workload = WorkloadId("batch");
    key.size = { coresMilli, 1, 0 };
    return key;
}

UsageEntryPtr usage() { return std::make_shared<UsageEntry>(Resources { 1000, 1, 0 }); }

} // namespace

// Guards against a mass cancellation in which each cancellation takes time proportional to the queue length.
TEST_CASE("a long queue frees the entries of removed jobs")
{
    JobQueue queue;
    const UsageEntryPtr entry = usage();
    constexpr JobSerial count = 100000;
    for (JobSerial job = 1; job <= count; ++job)
        queue.add(job, laneKey(0), at(job), maxWait, entry);
    for (JobSerial job = 2; job <= count; ++job)
        queue.remove(job);
    CHECK(queue.jobs() == 1);
    CHECK(queue.storedEntries() < 200);
    CHECK(queue.head(0) == 1);
    queue.checkInvariants();
}

// Guards against starvation of old jobs behind newer ones.
TEST_CASE("each job becomes overdue once, after max_wait")
{
    JobQueue queue;
    queue.add(1, laneKey(0), at(5), maxWait, usage());
    queue.add(2, laneKey(1), at(0), maxWait, usage());
    queue.add(3, laneKey(1), at(1), maxWait, usage());
    queue.remove(3);
    CHECK(queue.takeOverdue(at(599)).empty());
    CHECK(queue.takeOverdue(at(700)).size() == 2);
    CHECK(queue.takeOverdue(at(9999)).empty());
}

// Guards against a job that loses its queue position when it is queued again.
TEST_CASE("a job queued again with its original time is first in its lane")
{
    JobQueue queue;
    queue.add(1, laneKey(0), at(1), maxWait, usage());
    queue.add(2, laneKey(0), at(2), maxWait, usage());
    queue.remove(1);
    CHECK(queue.head(queue.laneOf(2)) == 2);
    queue.add(1, laneKey(0), at(1), maxWait, usage());
    CHECK(queue.head(queue.laneOf(2)) == 1);
    queue.checkInvariants();
}

// Guards against lost, duplicated or misordered jobs under random sequences of operations.
TEST_CASE("each waiting job is in exactly one lane")
{
    const auto runSequence = [](std::uint64_t seed, std::uint64_t steps) {
        std::mt19937_64 random(seed);
        JobQueue queue;
        const UsageEntryPtr entry = usage();
        std::set<JobSerial> waiting;
        for (std::uint64_t step = 0; step < steps; ++step) {
            const auto job = static_cast<JobSerial>(1 + random() % 200);
            if (random() % 3) {
                LaneKey key = laneKey(static_cast<TeamIndex>(random() % 3), static_cast<std::int64_t>(random() % 4));
                key.rank = static_cast<QueueRank>(random() % 3);
                queue.add(job, key, at(static_cast<double>(random() % 100)), maxWait, entry);
                waiting.insert(job);
            } else {
                queue.remove(job);
                waiting.erase(job);
            }
            if (queue.jobs() != waiting.size())
                return false;
            queue.checkInvariants();
        }
        return true;
    };
    CHECK(rc::check([&](std::uint64_t seed) { RC_ASSERT(runSequence(seed, 300)); }));
    CHECK(runSequence(numberFromEnvironment("SP_SEED", 1), numberFromEnvironment("SP_STEPS", 20000)));
}

// Guards against a quota that can't be used up because of rounding, and against borrowing by jobs that can't be
// preempted.
TEST_CASE("work above the shard's part of a quota borrows if preemptible and is denied otherwise")
{
    Bundle bundle = testBundle();
    TeamPolicy policy;
    policy.id = TeamId("t0");
    policy.coresMilli = 10000;
    policy.accelerators = 1;
    policy.weight = 2;
    bundle.teams[policy.id] = policy;
    Quota quota;
    quota.applyPolicy(bundle, 0.5);
    const TeamIndex team = quota.index(TeamId("t0"));
    CHECK(quota.check(team, { 5000, 0, 1 }, false) == QuotaVerdict::Within);
    CHECK(quota.check(team, { 5001, 0, 0 }, true) == QuotaVerdict::Borrows);
    CHECK(quota.check(team, { 5001, 0, 0 }, false) == QuotaVerdict::Denied);
    CHECK(quota.check(quota.index(TeamId("other")), { 1000000, 0, 0 }, false) == QuotaVerdict::Within);
    quota.charge(team, { 5000, 0, 0 });
    CHECK(quota.share(team, { 10000, 1, 0 }) == doctest::Approx(0.25));
}
