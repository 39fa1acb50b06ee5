#include "doctest_main.h"

#include "cell_session.h"
#include "proto/cell.pb.h"

#include <deque>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** A session whose calls to the store wait until the test answers them. */
struct Fixture {
    struct Call {
        StoreRequest request;
        CellSessionHooks::Reply reply;
    };
    Time now { 1h };
    std::deque<Call> calls;
    std::deque<std::function<void(StoreWatchReply&&)>> watches;
    std::vector<std::string> operatorKeys;
    std::vector<Revision> cellAcquired;
    std::vector<std::string> cellLost;
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
        hooks.operatorKeyChanged
            = [this](const std::string& key, const std::optional<StoreKeyValue>&) { operatorKeys.push_back(key); };
        hooks.cellAcquired = [this](Revision token) { cellAcquired.push_back(token); };
        hooks.cellLost = [this](const std::string& reason) { cellLost.push_back(reason); };
        hooks.clock = [this] { return now; };
        return hooks;
    }

    template <typename T> std::optional<Call> takeCall()
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
        auto call = takeCall<T>();
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
        answer<StoreTxn>(ok(6)); // Write of the member key.
    }

    static StoreKeyValue ownerKey(const std::string& host, std::uint64_t revision)
    {
        proto::OwnerRecord record;
        record.set_node(host);
        record.set_address(host == "h1" ? "10.0.0.1:1" : "10.0.0.2:1");
        return { "cell/owner", record.SerializeAsString(), Revision(revision) };
    }

    void advance(Duration time)
    {
        now += time;
        session.tick(now);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a host claims a cell without an owner and uses the revision of the claim as fencing token")
{
    startUp({ { "config/queues", "c", Revision(3) } });
    CHECK(operatorKeys == std::vector<std::string> { "config/queues" });
    advance(1ms);
    advance(1ms);
    auto claim = takeCall<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].kind == StoreCompare::Kind::Absent);
    claim->reply(ok(9));
    CHECK(cellAcquired == std::vector { Revision(9) });
    CHECK(session.owning());
    CHECK(session.leaseValid(now));
    CHECK_FALSE(session.leaseValid(now + 1s));
}

TEST_CASE_FIXTURE(
    Fixture, "the cell is claimed only after two refused connections, conditional on the owner's revision")
{
    startUp({ ownerKey("h2", 4) });
    advance(400ms);
    answer<StoreLeaseKeepAlive>(ok(0));
    CHECK_FALSE(takeCall<StoreTxn>());
    session.ownerRefusedConnection(now);
    advance(10ms);
    CHECK_FALSE(takeCall<StoreTxn>());
    advance(50ms);
    session.ownerRefusedConnection(now);
    advance(1ms);
    advance(1ms);
    auto claim = takeCall<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].modRevision == Revision(4));
}

TEST_CASE_FIXTURE(Fixture, "ownership ends when its key is deleted, its lease expires or a newer claim exists")
{
    startUp();
    advance(1ms);
    advance(1ms);
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
        advance(400ms);
        StoreReply leaseExpired;
        leaseExpired.status = StoreStatus::LeaseNotFound;
        answer<StoreLeaseKeepAlive>(leaseExpired);
        CHECK_FALSE(session.owning());
    }
    SUBCASE("newer claim reported by another host")
    {
        session.ownerReported({ HostId("h2"), "10.0.0.2:1", Revision(8) });
        CHECK(session.owning());
        session.ownerReported({ HostId("h2"), "10.0.0.2:1", Revision(20) });
        CHECK_FALSE(session.owning());
    }
    CHECK(cellLost.size() == 1);
}

TEST_CASE_FIXTURE(
    Fixture, "the claim after an unanswered one is conditional on the owner key that the unanswered claim wrote")
{
    startUp();
    advance(1ms);
    advance(1ms);
    answer<StoreTxn>({});
    StoreWatchReply reply;
    reply.status = StoreStatus::Ok;
    reply.changes.puts = { ownerKey("h1", 9) };
    reply.changes.revision = Revision(9);
    watches.front()(std::move(reply));
    CHECK(cellAcquired.empty());
    advance(1ms);
    advance(1ms);
    auto claim = takeCall<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].modRevision == Revision(9));
}

TEST_CASE_FIXTURE(Fixture, "a host does not claim while claims are suspended or it is not eligible")
{
    session.setEligible(false);
    startUp();
    advance(200ms);
    advance(1ms);
    CHECK_FALSE(takeCall<StoreTxn>());
    session.setEligible(true);
    session.suspendClaims(now + 5s);
    advance(1ms);
    advance(1ms);
    CHECK_FALSE(takeCall<StoreTxn>());
}

TEST_CASE_FIXTURE(
    Fixture, "after the store has compacted its history, all keys are read again and missing ones count as deleted")
{
    startUp({ ownerKey("h2", 4) });
    REQUIRE(session.owner());
    StoreWatchReply reply;
    reply.compacted = true;
    watches.front()(std::move(reply));
    answer<StoreRange>(ok(30));
    CHECK_FALSE(session.owner());
}

TEST_CASE_FIXTURE(Fixture, "after a refused resignation the deletion of the owner key is retried until it succeeds")
{
    startUp();
    advance(1ms);
    advance(1ms);
    answer<StoreTxn>(ok(9));
    REQUIRE(session.owning());
    session.suspendClaims(now + 5s);
    session.resign("test");
    CHECK(cellLost.size() == 1);
    StoreReply refused;
    refused.status = StoreStatus::Refused;
    answer<StoreTxn>(refused);
    advance(500ms);
    auto removal = takeCall<StoreTxn>();
    REQUIRE(removal);
    const auto& txn = std::get<StoreTxn>(removal->request);
    CHECK(txn.compares[0].modRevision == Revision(9));
    CHECK(txn.writes[0].kind == StoreWrite::Kind::Delete);
    removal->reply(ok(12));
    advance(500ms);
    CHECK_FALSE(takeCall<StoreTxn>());
}

TEST_CASE_FIXTURE(
    Fixture, "an owner reported as failed is replaced before its lease expires, conditional on its revision")
{
    startUp({ ownerKey("h2", 4) });
    advance(1ms);
    CHECK(session.isStandby());
    session.ownerFailed("test", now);
    advance(1ms);
    advance(1ms);
    auto claim = takeCall<StoreTxn>();
    REQUIRE(claim);
    CHECK(std::get<StoreTxn>(claim->request).compares[0].modRevision == Revision(4));
    claim->reply(ok(9));
    CHECK(session.owning());
    CHECK_FALSE(session.isStandby());
}

// After an outage of the store all leases have expired, and a host with little processor time used to win the cell.
TEST_CASE_FIXTURE(Fixture, "a host leaves the cell to stronger ones that have just disappeared, but not for long")
{
    const auto memberKey = [](const std::string& host, std::uint32_t strength) {
        proto::NodeRecord record;
        record.set_address("10.0.0.2:1");
        record.set_strength_milli(strength);
        return StoreKeyValue { "cell/node/" + host, record.SerializeAsString(), Revision(4) };
    };
    startUp({ ownerKey("h2", 4), memberKey("h2", 500), memberKey("h3", 500), memberKey("h4", 250) });
    CHECK(session.hasStrongerMember());
    StoreWatchReply removed;
    removed.status = StoreStatus::Ok;
    removed.changes.deletes = { "cell/owner", "cell/node/h2", "cell/node/h3", "cell/node/h4" };
    removed.changes.revision = Revision(12);
    watches.front()(std::move(removed));
    CHECK_FALSE(session.hasStrongerMember());
    advance(1ms);
    advance(70ms);
    CHECK_FALSE(takeCall<StoreTxn>()); // Two stronger hosts may return.
    advance(10ms);
    CHECK(takeCall<StoreTxn>());
}
