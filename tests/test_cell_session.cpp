#include "doctest_main.h"

#include "cell_session.h"
#include "proto/cell.pb.h"

#include <deque>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** A session with a store that answers when told to. */
struct Fixture {
    struct Call {
        StoreRequest request;
        CellSessionHooks::Reply reply;
    };
    Time now { 1h };
    std::deque<Call> calls;
    std::deque<std::function<void(StoreWatchReply&&)>> watches;
    std::vector<std::string> operatorKeys;
    std::vector<Revision> won;
    std::vector<std::string> lost;
    CellSession session;

    Fixture()
        : session(config(), hooks())
    {
        session.setEligible(true);
    }

    static CellSessionConfig config()
    {
        return { HostId("h1"), "10.0.0.1:1", 250, "c", "config/", "cell/", { "cell/seq/0", "cell/seq/1" }, 1s };
    }

    CellSessionHooks hooks()
    {
        CellSessionHooks hooks;
        hooks.call = [this](StoreRequest&& request, std::chrono::milliseconds, CellSessionHooks::Reply reply) {
            calls.push_back({ std::move(request), std::move(reply) });
        };
        hooks.watch = [this](StoreWatch&&, std::function<void(StoreWatchReply &&)> reply) {
            watches.push_back(std::move(reply));
        };
        hooks.operatorChanged
            = [this](const std::string& key, const std::optional<StoreKeyValue>&) { operatorKeys.push_back(key); };
        hooks.won = [this](Revision token) { won.push_back(token); };
        hooks.lost = [this](const std::string& reason) { lost.push_back(reason); };
        hooks.clock = [this] { return now; };
        return hooks;
    }

    template <typename T> std::optional<Call> take()
    {
        for (auto it = calls.begin(); it != calls.end(); ++it) {
            if (std::holds_alternative<T>(it->request)) {
                Call call = std::move(*it);
                calls.erase(it);
                return call;
            }
        }
        return std::nullopt;
    }

    static StoreReply ok(std::uint64_t revision)
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        reply.revision = Revision(revision);
        reply.lease = StoreLeaseId(7);
        return reply;
    }

    template <typename T> void answer(StoreReply reply)
    {
        auto call = take<T>();
        REQUIRE(call);
        call->reply(std::move(reply));
    }

    void startUp(std::vector<StoreKeyValue> keys = {})
    {
        session.tick(now);
        StoreReply read = ok(5);
        read.values = std::move(keys);
        answer<StoreLeaseGrant>(ok(5));
        answer<StoreRange>(std::move(read));
        session.tick(now);
        answer<StoreTxn>(ok(6)); // The member's key.
    }

    static StoreKeyValue ownerKey(const std::string& host, std::uint64_t revision)
    {
        proto::OwnerRecord record;
        record.set_node(host);
        record.set_address(host == "h1" ? "10.0.0.1:1" : "10.0.0.2:1");
        return { "cell/owner", record.SerializeAsString(), Revision(revision) };
    }

    void pass(Duration time)
    {
        now += time;
        session.tick(now);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a cell without an owner is claimed, and the claim's revision is the token")
{
    startUp({ { "config/queues", "c", Revision(3) } });
    CHECK(operatorKeys == std::vector<std::string> { "config/queues" });
    pass(1ms);
    pass(1ms);
    auto claim = take<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].kind == StoreCompare::Kind::Absent);
    claim->reply(ok(9));
    CHECK(won == std::vector { Revision(9) });
    CHECK(session.owning());
    CHECK(session.leaseFresh(now));
    CHECK_FALSE(session.leaseFresh(now + 1s));
}

TEST_CASE_FIXTURE(Fixture, "a live owner is left alone, one whose process has ended is replaced under its revision")
{
    startUp({ ownerKey("h2", 4) });
    pass(400ms);
    answer<StoreLeaseKeepAlive>(ok(0));
    CHECK_FALSE(take<StoreTxn>());
    session.ownerRefused(now);
    pass(10ms);
    CHECK_FALSE(take<StoreTxn>());
    pass(50ms);
    session.ownerRefused(now);
    pass(1ms);
    pass(1ms);
    auto claim = take<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].modRevision == Revision(4));
}

TEST_CASE_FIXTURE(Fixture, "ownership is lost with its key, with the lease, and to a newer claim")
{
    startUp();
    pass(1ms);
    pass(1ms);
    answer<StoreTxn>(ok(9));
    REQUIRE(session.owning());
    SUBCASE("removed")
    {
        StoreWatchReply reply;
        reply.status = StoreStatus::Ok;
        reply.changes.puts = { ownerKey("h1", 9) };
        reply.changes.revision = Revision(9);
        watches.front()(std::move(reply));
        watches.pop_front();
        CHECK(session.owning());
        StoreWatchReply removed;
        removed.status = StoreStatus::Ok;
        removed.changes.deletes = { "cell/owner" };
        removed.changes.revision = Revision(12);
        watches.front()(std::move(removed));
        CHECK_FALSE(session.owning());
    }
    SUBCASE("lease")
    {
        pass(400ms);
        StoreReply gone;
        gone.status = StoreStatus::LeaseNotFound;
        answer<StoreLeaseKeepAlive>(gone);
        CHECK_FALSE(session.owning());
    }
    SUBCASE("newer claim heard from another host")
    {
        session.ownerHeard({ HostId("h2"), "10.0.0.2:1", Revision(8) });
        CHECK(session.owning());
        session.ownerHeard({ HostId("h2"), "10.0.0.2:1", Revision(20) });
        CHECK_FALSE(session.owning());
    }
    CHECK(lost.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "after a claim without an answer the next one replaces what it may have written")
{
    startUp();
    pass(1ms);
    pass(1ms);
    answer<StoreTxn>({});
    StoreWatchReply reply;
    reply.status = StoreStatus::Ok;
    reply.changes.puts = { ownerKey("h1", 9) };
    reply.changes.revision = Revision(9);
    watches.front()(std::move(reply));
    CHECK(won.empty());
    pass(1ms);
    pass(1ms);
    auto claim = take<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].modRevision == Revision(9));
}

TEST_CASE_FIXTURE(Fixture, "a host that abstains or is not eligible does not claim")
{
    session.setEligible(false);
    startUp();
    pass(200ms);
    pass(1ms);
    CHECK_FALSE(take<StoreTxn>());
    session.setEligible(true);
    session.abstain(now + 5s);
    pass(1ms);
    pass(1ms);
    CHECK_FALSE(take<StoreTxn>());
}

TEST_CASE_FIXTURE(Fixture, "after its history is gone the keys are read anew, and what is missing counts as removed")
{
    startUp({ ownerKey("h2", 4) });
    REQUIRE(session.owner());
    StoreWatchReply reply;
    reply.compacted = true;
    watches.front()(std::move(reply));
    answer<StoreRange>(ok(30));
    CHECK_FALSE(session.owner());
}

TEST_CASE_FIXTURE(Fixture, "a resignation that the store refuses is repeated until the key is gone")
{
    startUp();
    pass(1ms);
    pass(1ms);
    answer<StoreTxn>(ok(9));
    REQUIRE(session.owning());
    session.abstain(now + 5s);
    session.resign("test");
    CHECK(lost.size() == 1);
    StoreReply refused;
    refused.status = StoreStatus::Refused;
    answer<StoreTxn>(refused);
    pass(500ms);
    auto removal = take<StoreTxn>();
    REQUIRE(removal);
    const auto& txn = std::get<StoreTxn>(removal->request);
    CHECK(txn.compares[0].modRevision == Revision(9));
    CHECK(txn.writes[0].kind == StoreWrite::Kind::Delete);
    removal->reply(ok(12));
    pass(500ms);
    CHECK_FALSE(take<StoreTxn>());
}

TEST_CASE_FIXTURE(Fixture, "an owner that does not serve any more is replaced under its revision before its lease ends")
{
    startUp({ ownerKey("h2", 4) });
    pass(1ms);
    CHECK(session.firstInLine());
    session.ownerFailed("test", now);
    pass(1ms);
    pass(1ms);
    auto claim = take<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].modRevision == Revision(4));
    claim->reply(ok(9));
    CHECK(session.owning());
    CHECK_FALSE(session.firstInLine());
}
