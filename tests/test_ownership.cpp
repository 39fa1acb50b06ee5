#include "doctest_main.h"

#include "ownership.h"
#include "soak/fake_store.h"

#include <deque>

using namespace sp;
using namespace std::chrono_literals;

namespace {

const ShardId shard { "a.slots.0" };
const HostId peer { "a1" };

/** One scheduler against a store whose next answers can be lost. */
struct Fixture {
    soak::FakeStore store { false };
    std::deque<std::pair<StoreTicket, StoreRequest>> calls;
    std::uint64_t tickets = 0;
    Time now { 100s };
    bool isDown = false; ///< Calls have no effect.
    bool isAnswerLost = false; ///< Writes take effect, their answers are lost.
    Ownership own;

    explicit Fixture(bool targetsCheckTerms = true)
        : own(config(targetsCheckTerms), [this](StoreRequest request) {
            calls.emplace_back(StoreTicket(++tickets), std::move(request));
            return StoreTicket(tickets);
        })
    {
        own.start(now);
        own.setShards({ shard }, now);
    }
    static OwnershipConfig config(bool targetsCheckTerms)
    {
        OwnershipConfig made;
        made.self = HostId("a0");
        made.incarnation = Incarnation(7);
        made.peers = { peer };
        made.targetsCheckTerms = targetsCheckTerms;
        return made;
    }
    void run(Duration length)
    {
        for (const Time end = now + length; now < end; now += 10ms) {
            own.tick(now);
            while (!calls.empty()) {
                const auto [ticket, request] = calls.front();
                calls.pop_front();
                StoreReply reply;
                if (!isDown)
                    reply = store.apply(request, now);
                if (isAnswerLost && std::holds_alternative<StoreTxn>(request))
                    reply = {};
                reply.ticket = ticket;
                reply.sentAt = now;
                own.storeReplied(reply, now);
            }
            if (own.level(shard, now) == HoldLevel::Recovering)
                own.recovered(shard, now);
        }
    }
    HoldLevel level() const { return own.level(shard, now); }
};

} // namespace

// Guards against a claim before the promises of an earlier run have expired.
TEST_CASE("a restarted process claims after one promise period")
{
    Fixture fixture;
    fixture.run(1900ms);
    CHECK(fixture.level() == HoldLevel::None);
    fixture.run(300ms);
    CHECK(fixture.level() == HoldLevel::Store);
    CHECK(fixture.own.term(shard) == Term(1));
}

// Guards against work under a lease that ran out while the process was paused or the store was away.
TEST_CASE("a hold falls to fenced with the lease and is renewed under its term")
{
    Fixture fixture;
    fixture.run(3s);
    CHECK(fixture.own.level(shard, fixture.now + 3s) == HoldLevel::Fenced);
    fixture.isDown = true;
    fixture.run(5s);
    CHECK(fixture.level() == HoldLevel::Fenced);
    fixture.isDown = false;
    fixture.run(8s);
    CHECK(fixture.level() == HoldLevel::Store);
    CHECK(fixture.own.term(shard) == Term(1));
}

// Guards against a promise that outlives its time or counts from its arrival instead of the heartbeat's sending.
TEST_CASE("promises of all peers carry a hold without the store")
{
    Fixture fixture;
    fixture.run(3s);
    fixture.isDown = true;
    fixture.run(3s);
    const Time sentAt = fixture.now - 200ms;
    fixture.own.promiseReceived(peer, sentAt, 2s, fixture.now);
    CHECK(fixture.level() == HoldLevel::Promise);
    CHECK(fixture.own.level(shard, sentAt + 1499ms) == HoldLevel::Promise);
    CHECK(fixture.own.level(shard, sentAt + 1500ms) == HoldLevel::Fenced);
}

// Guards against a claim of a shard that was promised to its holder, and against a promise of a shard held here.
TEST_CASE("a promised shard is not claimed")
{
    Fixture fixture;
    const std::vector<ShardLoad> loads { { shard, Term(4), HoldLevel::Promise, {}, 0 } };
    for (int i = 0; i < 20; ++i) {
        fixture.own.peerHolds(peer, Incarnation(1), fixture.now, loads, fixture.now);
        CHECK(fixture.own.promiseFor(peer, fixture.now) == 2s);
        fixture.run(250ms);
    }
    CHECK(fixture.level() == HoldLevel::None);
    fixture.run(3s);
    CHECK(fixture.level() == HoldLevel::Store);
    CHECK(fixture.own.term(shard) == Term(5));
    fixture.own.peerHolds(peer, Incarnation(1), fixture.now, loads, fixture.now);
    CHECK(fixture.own.promiseFor(peer, fixture.now) == 0s);
}

// Guards against taking a claim without an answer for won or for lost.
TEST_CASE("a lost answer to a claim is read back by token")
{
    Fixture fixture;
    fixture.isAnswerLost = true;
    fixture.run(2050ms);
    CHECK(fixture.level() == HoldLevel::Claiming);
    fixture.run(500ms);
    CHECK(fixture.level() == HoldLevel::Store);
    CHECK(fixture.store.value(termKey(shard)) == "1");
}

// Guards against an owner that goes on after a target has seen a higher term.
TEST_CASE("a higher term ends the hold and is exceeded by the next claim")
{
    Fixture fixture;
    fixture.run(3s);
    fixture.own.superseded(shard, Term(9), fixture.now);
    CHECK(fixture.level() == HoldLevel::Lost);
    fixture.run(3s);
    CHECK(fixture.level() == HoldLevel::Store);
    CHECK(fixture.own.term(shard) == Term(10));
}

// Guards against an owner key that outlives a shutdown when the answer to its release is lost.
TEST_CASE("release is repeated until the owner key is gone")
{
    Fixture fixture;
    fixture.run(3s);
    fixture.isAnswerLost = true;
    fixture.own.releaseAll(fixture.now);
    CHECK(fixture.level() == HoldLevel::Lost);
    fixture.run(1s);
    CHECK_FALSE(fixture.store.value(ownerKey(shard)).has_value());
    fixture.isAnswerLost = false;
    fixture.run(2s);
    CHECK(fixture.own.isReleased(fixture.now));
}

// Guards against the fenced level where targets don't refuse old terms.
TEST_CASE("without term checks a lapsed hold starts nothing")
{
    Fixture fixture(false);
    fixture.run(5s);
    CHECK(fixture.level() == HoldLevel::Store);
    fixture.isDown = true;
    fixture.run(3s);
    CHECK(fixture.level() == HoldLevel::Lost);
}
