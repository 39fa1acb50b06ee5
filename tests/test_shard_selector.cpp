#include "doctest_main.h"

#include "shard_selector.h"

#include <map>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

Time at(Duration time) { return Time(1h + time); }

ShardLoad loadOf(const std::string& shard, std::uint32_t free, std::uint32_t queued = 0, Duration wait = 0ns)
{
    ShardLoad load;
    load.shard = ShardId(shard);
    load.term = Term(1);
    load.level = HoldLevel::Store;
    load.slots = { free, 100, queued, wait, 1ms };
    return load;
}

} // namespace

// Guards against requests sent to a shard whose owner may be dead or cut off.
TEST_CASE("old loads are not used")
{
    ShardSelector selector;
    selector.loadReported(HostId("near"), loadOf("a.slots.0", 90), "s", 0ms, true, at(0s));
    selector.loadReported(HostId("far"), loadOf("b.slots.0", 95), "s", 2ms, false, at(0s));
    CHECK(selector.choose("s", at(900ms))->shard == ShardId("a.slots.0"));
    CHECK(selector.choose("s", at(1100ms))->shard == ShardId("b.slots.0"));
    CHECK_FALSE(selector.choose("s", at(3100ms)).has_value());
    CHECK_FALSE(selector.choose("other", at(0s)).has_value());
}

// Guards against leaving the own data centre for a gain smaller than the way there.
TEST_CASE("another data centre is taken only when its wait plus the round trip is shorter")
{
    ShardSelector selector;
    selector.loadReported(HostId("near"), loadOf("a.slots.0", 0, 4, 5ms), "s", 1ms, true, at(0s));
    selector.loadReported(HostId("far"), loadOf("b.slots.0", 50), "s", 6ms, false, at(0s));
    CHECK(selector.choose("s", at(0s))->owner == HostId("near"));
    selector.loadReported(HostId("near"), loadOf("a.slots.0", 0, 6, 7ms), "s", 1ms, true, at(1ms));
    CHECK(selector.choose("s", at(1ms))->owner == HostId("far"));
}

// Guards against a burst between two announcements that all goes to the shard that was best at the first.
TEST_CASE("a burst is spread by what has been sent since the announcement")
{
    ShardSelector selector;
    selector.loadReported(HostId("h0"), loadOf("a.slots.0", 60), "s", 0ms, true, at(0s));
    selector.loadReported(HostId("h1"), loadOf("a.slots.1", 50), "s", 1ms, true, at(0s));
    selector.loadReported(HostId("h2"), loadOf("b.slots.0", 90), "s", 20ms, false, at(0s));
    std::map<HostId, int> sent;
    // Two near hosts, each change counted twice for damping: 25 requests of each are taken for 100.
    for (int i = 0; i < 25; ++i)
        ++sent[selector.choose("s", at(0s))->owner];
    CHECK(sent[HostId("h0")] >= 13); // 2.5 more than the other one by the difference of 10 free slots.
    CHECK(sent[HostId("h0")] <= 15);
    CHECK(sent[HostId("h1")] == 25 - sent[HostId("h0")]);
    for (int i = 0; i < 100; ++i)
        ++sent[selector.choose("s", at(0s))->owner];
    CHECK(sent[HostId("h2")] > 30); // The own data centre is expected to have a queue of more than 20 ms by then.
    CHECK(sent[HostId("h0")] >= 20);
    CHECK(sent[HostId("h1")] >= 17);
}

// Guards against an old owner's announcement that hides the new owner, and against loads of a host that is gone.
TEST_CASE("the higher term wins and a forgotten owner is not chosen")
{
    ShardSelector selector;
    ShardLoad load = loadOf("a.slots.0", 10);
    load.term = Term(5);
    selector.loadReported(HostId("new"), load, "s", 1ms, true, at(0s));
    load.term = Term(4);
    selector.loadReported(HostId("old"), load, "s", 1ms, true, at(10ms));
    CHECK(selector.choose("s", at(20ms))->owner == HostId("new"));
    selector.forgetOwner(HostId("new"));
    CHECK_FALSE(selector.choose("s", at(20ms)).has_value());
}

// Guards against requests sent to an owner that may start nothing, or that has no instance.
TEST_CASE("shards that can't run the request are left out")
{
    for (const HoldLevel level : { HoldLevel::None, HoldLevel::Claiming, HoldLevel::Lost }) {
        ShardSelector selector;
        ShardLoad load = loadOf("a.slots.0", 10);
        load.level = level;
        selector.loadReported(HostId("h"), load, "s", 1ms, true, at(0s));
        CHECK_FALSE(selector.choose("s", at(0s)).has_value());
    }
    ShardSelector selector;
    ShardLoad empty = loadOf("a.slots.0", 0);
    empty.slots.slotsTotal = 0;
    selector.loadReported(HostId("h"), empty, "s", 1ms, true, at(0s));
    CHECK_FALSE(selector.choose("s", at(0s)).has_value());
}

// Guards against an index outside the candidates and against baselines that are not what they are called.
TEST_CASE("each picker picks a candidate, and the chosen one is never worse by its own estimate")
{
    CHECK(rc::check([](const std::vector<std::pair<std::uint16_t, std::uint16_t>>& values, std::uint64_t random) {
        RC_PRE(!values.empty());
        std::vector<ShardCandidate> candidates;
        candidates.reserve(values.size());
        for (const auto& [wait, room] : values)
            candidates.push_back({ Duration(wait), Duration(room), Duration(wait), room / 100.0, room / 100.0, false });
        for (const auto& picker : { pickShortestWait, pickRandom, pickLeastLoaded, pickPowerOfTwo })
            RC_ASSERT(picker(candidates, random) < candidates.size());
        const ShardCandidate& best = candidates[pickShortestWait(candidates, random)];
        const ShardCandidate& freest = candidates[pickLeastLoaded(candidates, random)];
        for (const ShardCandidate& other : candidates) {
            RC_ASSERT(best.wait + best.roundTrip <= other.wait + other.roundTrip);
            RC_ASSERT(freest.announcedRoom >= other.announcedRoom);
        }
    }));
}
