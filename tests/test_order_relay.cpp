#include "doctest_main.h"

#include "order_relay.h"
#include "order_router.h"
#include "relay_codec.h"

#include <deque>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** An owner's router, the relays that it calls, and the targets that the owner or the relays call. */
struct Fixture {
    struct Call {
        std::string host; ///< Address of the relay, or "owner" for a direct call.
        TargetRef target;
        TargetOrder order;
        TargetReply reply;
    };
    struct PeerCall {
        std::string address;
        std::string body;
        std::function<void(HttpResult&&)> done;
    };
    Time now { 1h };
    std::deque<Call> calls; ///< Orders that reached a target and have no answer yet.
    std::deque<PeerCall> peerCalls; ///< Calls that have not reached their relay yet.
    std::map<std::string, std::unique_ptr<OrderRelay>> relays; ///< By address.
    std::map<HostId, CellMember> members;
    OrderRouter router { hooks() };
    std::vector<OrderResult> results;

    OrderRouterHooks hooks()
    {
        OrderRouterHooks hooks;
        hooks.direct = [this](const TargetRef& target, const TargetOrder& order, TargetReply reply) {
            calls.push_back({ "owner", target, order, std::move(reply) });
        };
        hooks.callRelay = [this](const std::string& address, std::string&& body, std::chrono::milliseconds,
                              std::function<void(HttpResult &&)> done) {
            peerCalls.push_back({ address, std::move(body), std::move(done) });
        };
        hooks.clock = [this] { return now; };
        return hooks;
    }

    Fixture()
    {
        for (const char* name : { "h1", "h2", "h3" })
            members[HostId(name)] = { HostId(name), std::string("a-") + name, 500 };
        addRelay("a-h2", 1);
        addRelay("a-h3", 1);
        router.begin(FencingToken(7));
        router.setHosts(HostId("h1"), members, 350);
        advance(10ms); // The router learns the clocks of its relays.
    }

    void addRelay(const std::string& address, std::uint64_t instance)
    {
        relays[address] = std::make_unique<OrderRelay>(
            [this, address](const TargetRef& target, const TargetOrder& order, TargetReply reply) {
                calls.push_back({ address, target, order, std::move(reply) });
            },
            instance);
    }

    void advance(Duration time)
    {
        now += time;
        router.tick(now);
        deliver();
        for (auto& [address, relay] : relays)
            relay->tick(now);
    }

    /** Delivers the sent calls to their relays. */
    void deliver()
    {
        for (auto& call : std::exchange(peerCalls, {})) {
            relays.at(call.address)->handle(call.body, now, [done = call.done](ServedAnswer&& answer) {
                HttpResult result;
                result.sent = true;
                result.complete = true;
                result.status = answer.status;
                result.body = answer.body;
                done(std::move(result));
            });
        }
    }

    void failPeerCalls(bool sent)
    {
        for (auto& call : std::exchange(peerCalls, {})) {
            HttpResult result;
            result.sent = sent;
            call.done(std::move(result));
        }
    }

    void send(int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::string id = "t" + std::to_string(i);
            StartOrder start;
            start.task = { JobId("j"), 0, 0, static_cast<std::uint32_t>(i) };
            start.run = 1;
            start.token = FencingToken(7);
            router.send({ TargetId(id), "addr-" + id }, start,
                [this](const OrderAnswer& answer, const RunReport&) { results.push_back(answer.result); });
        }
    }

    void answerTargets()
    {
        for (const Call& call : std::exchange(calls, {}))
            call.reply({ OrderResult::Done, 5ms }, {});
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "in a small cell the owner calls its targets directly")
{
    router.setHosts(HostId("h1"), members, 48);
    CHECK(router.relayCount() == 0);
    send(3);
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].host == "owner");
}

TEST_CASE_FIXTURE(Fixture, "in a large cell orders and results are exchanged with each relay in batches")
{
    send(40);
    CHECK(calls.empty());
    advance(10ms);
    REQUIRE(calls.size() == 40);
    CHECK(std::get<StartOrder>(calls[0].order).token == FencingToken(7));
    std::set<std::string> hosts;
    for (const Call& call : calls)
        hosts.insert(call.host);
    CHECK(hosts == std::set<std::string> { "a-h2", "a-h3" });
    answerTargets();
    CHECK(results.empty());
    advance(1ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Done));
}

TEST_CASE_FIXTURE(
    Fixture, "orders sent to a failed relay are reported as lost, unsent ones go directly to their targets")
{
    send(40);
    now += 10ms;
    router.tick(now);
    REQUIRE(peerCalls.size() == 2);
    SUBCASE("the call fails") { failPeerCalls(true); }
    SUBCASE("the relay has restarted")
    {
        deliver();
        answerTargets();
        advance(1ms);
        results.clear();
        send(40);
        advance(20ms); // The targets have received the new orders and have not answered them.
        relays.clear();
        addRelay("a-h2", 2);
        addRelay("a-h3", 2);
        calls.clear();
        advance(20ms);
        advance(500ms);
    }
    SUBCASE("the relay does not answer the first call promptly after a second one")
    {
        send(40);
        now += 10ms;
        router.tick(now);
        REQUIRE(peerCalls.size() == 4);
        send(40);
        now += 100ms;
        router.tick(now);
        CHECK(peerCalls.size() == 4); // No more than two calls to each relay.
        CHECK(results.empty());
        now += 150ms;
        router.tick(now);
        CHECK(results == std::vector<OrderResult>(80, OrderResult::Lost));
        CHECK(calls.size() == 40); // Unsent orders are sent directly.
        failPeerCalls(true); // Late failures of the calls are ignored.
        CHECK(results.size() == 80);
        return;
    }
    SUBCASE("the targets do not answer")
    {
        advance(500ms);
        CHECK(results.empty());
        advance(600ms);
        advance(100ms);
        CHECK(results == std::vector<OrderResult>(40, OrderResult::Lost));
        return;
    }
    advance(500ms);
    advance(700ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Lost));
}

TEST_CASE_FIXTURE(Fixture, "a slow owner does not take a relay for silent whose answers wait for its own event loop")
{
    router.setLag(150ms);
    send(40);
    now += 160ms;
    router.tick(now);
    send(40);
    now += 160ms;
    router.tick(now);
    REQUIRE(peerCalls.size() == 4);
    now += 400ms; // The answers are there, but the loop gets to them in its third turn only.
    router.tick(now);
    CHECK(results.empty());
    deliver();
    answerTargets();
    advance(1ms);
    CHECK(results == std::vector<OrderResult>(80, OrderResult::Done));
    send(40);
    advance(160ms);
    results.clear();
    advance(1200ms);
    CHECK(results.empty()); // Time limits of orders grow as well.
    advance(300ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Lost));
}

TEST_CASE_FIXTURE(Fixture, "when a relay fails, orders not yet sent to it are sent directly")
{
    send(1);
    advance(10ms);
    send(40);
    now += 1ms;
    router.setHosts(HostId("h1"), {}, 350);
    CHECK(results == std::vector<OrderResult> { OrderResult::Lost });
    CHECK(std::count_if(calls.begin(), calls.end(), [](const Call& call) { return call.host == "owner"; }) == 40);
}

TEST_CASE_FIXTURE(Fixture, "a relay that is no longer among the strongest completes its pending orders")
{
    send(40);
    advance(10ms);
    REQUIRE(calls.size() == 40);
    for (int i = 0; i < 6; ++i)
        members[HostId("s" + std::to_string(i))] = { HostId("s" + std::to_string(i)), "a-s", 900 };
    addRelay("a-s", 1);
    router.setHosts(HostId("h1"), members, 350);
    CHECK(router.relayCount() == 6);
    CHECK(results.empty());
    answerTargets();
    advance(10ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Done));
    send(40);
    advance(10ms);
    CHECK(std::all_of(calls.begin(), calls.end(), [](const Call& call) { return call.host == "a-s"; }));
}

TEST_CASE_FIXTURE(Fixture, "a relay serves only the owner with the highest fencing token")
{
    send(4);
    advance(10ms);
    REQUIRE(calls.size() == 4);
    OrderRouter newOwnerRouter { hooks() };
    newOwnerRouter.begin(FencingToken(9));
    newOwnerRouter.setHosts(HostId("h4"), members, 350);
    const auto callRelays = [&] {
        now += 10ms;
        newOwnerRouter.tick(now);
        std::erase_if(peerCalls, [](const PeerCall& call) { return call.address == "a-h1"; });
        deliver();
        for (auto& [address, relay] : relays)
            relay->tick(now);
    };
    callRelays(); // The new owner learns the clocks of its relays.
    std::vector<OrderResult> newOwnerResults;
    for (int i = 0; i < 40; ++i)
        newOwnerRouter.send({ TargetId("x" + std::to_string(i)), "a" }, StopOrder { {}, 1, FencingToken(9) },
            [&](const OrderAnswer& answer, const RunReport&) { newOwnerResults.push_back(answer.result); });
    callRelays();
    answerTargets(); // Answers orders of both owners.
    for (auto& [address, relay] : relays)
        relay->tick(now);
    CHECK_FALSE(newOwnerResults.empty());
    CHECK(std::all_of(newOwnerResults.begin(), newOwnerResults.end(),
        [](OrderResult result) { return result == OrderResult::Done; }));
    CHECK(results.empty());
    send(4);
    advance(20ms);
    CHECK(std::count(results.begin(), results.end(), OrderResult::Lost) > 0);
    CHECK(std::count(results.begin(), results.end(), OrderResult::Done) == 0);
}

// Guards against running a task twice: a relay host that had been suspended sent start orders that the owner had given
// up and sent itself, and a target that had restarted meanwhile carried them out.
TEST_CASE_FIXTURE(Fixture, "a relay that reads a call too late sends none of its orders")
{
    send(40);
    now += 10ms;
    router.tick(now);
    REQUIRE(peerCalls.size() == 2);
    SUBCASE("after the time limit of the orders")
    {
        now += 4s;
        deliver();
        CHECK(calls.empty());
    }
    SUBCASE("or in time, when the limit goes on to the client of the targets")
    {
        // A call that is read in time carries the limits to the targets' client, which may be slow to connect.
        deliver();
        REQUIRE(calls.size() == 40);
        for (const Call& call : calls) {
            CHECK(call.target.sendBefore > now);
            CHECK(call.target.sendBefore <= now + 1s);
        }
    }
    SUBCASE("as another process than the one that was called")
    {
        addRelay("a-h2", 2);
        addRelay("a-h3", 2);
        deliver();
        CHECK(calls.empty());
        advance(10ms);
        CHECK(results == std::vector<OrderResult>(40, OrderResult::Lost));
    }
}

TEST_CASE_FIXTURE(Fixture, "orders are relayed only until the owner's permission ends")
{
    StopOrder order { {}, 1, FencingToken(7) };
    for (int i = 0; i < 40; ++i)
        router.send({ TargetId("t" + std::to_string(i)), "a", now + 50ms }, order,
            [this](const OrderAnswer& answer, const RunReport&) { results.push_back(answer.result); });
    now += 10ms;
    router.tick(now);
    now += 100ms;
    deliver();
    CHECK(calls.empty());
    CHECK(results == std::vector<OrderResult>(40, OrderResult::NotSent));
}

TEST_CASE_FIXTURE(Fixture, "a relay that does not answer the first call gets no orders")
{
    router.begin(FencingToken(8));
    router.setHosts(HostId("h1"), members, 350);
    send(40);
    now += 10ms;
    router.tick(now);
    CHECK(peerCalls.size() == 2);
    failPeerCalls(true);
    CHECK(std::count_if(calls.begin(), calls.end(), [](const Call& call) { return call.host == "owner"; }) == 40);
    advance(3s); // The relays are tried again.
    send(40);
    advance(10ms);
    CHECK(std::count_if(calls.begin(), calls.end(), [](const Call& call) { return call.host != "owner"; }) == 40);
}

TEST_CASE_FIXTURE(Fixture, "after begin() no earlier order gets a reply")
{
    send(40);
    advance(10ms);
    router.begin(FencingToken(8));
    answerTargets();
    advance(10ms);
    advance(2s);
    CHECK(results.empty());
}

TEST_CASE("orders and results are unchanged by encoding and decoding")
{
    const bool same = rc::check([] {
        const auto number = [] { return *rc::gen::inRange<std::uint32_t>(0, 1000000); };
        const auto text = [] { return *rc::gen::arbitrary<std::string>(); };
        const CellTaskKey task { JobId("job"), number(), number(), number() };
        const FencingToken token(number());
        const StartOrder start { task, number(), text(), text(), text(), std::chrono::milliseconds(number()), token };
        proto::RelayOrder message;
        toProto({ TargetId("t"), "a:1" }, start, message);
        const auto read = fromProto(message, token);
        RC_ASSERT(read.has_value());
        const auto& decoded = std::get<StartOrder>(read->second);
        RC_ASSERT(read->first.address == "a:1");
        RC_ASSERT(decoded.task == start.task && decoded.run == start.run && decoded.payload == start.payload);
        RC_ASSERT(decoded.checkpoint == start.checkpoint && decoded.ticket == start.ticket);
        RC_ASSERT(decoded.leaseUntil == start.leaseUntil && decoded.token == token);
        RunReport report;
        report.clock = std::chrono::milliseconds(number());
        report.bornAt = CalendarTime(std::chrono::milliseconds(number()));
        report.endsCut = *rc::gen::arbitrary<bool>();
        report.running.push_back({ task, number(), text(), 41, number() });
        report.ended.push_back({ number(), task, number(), EndKind::Broken, text() });
        proto::RelayResult result;
        toProto({ OrderResult::BadTicket, report.clock }, report, result);
        const auto answered = fromProto(result);
        RC_ASSERT(answered.has_value());
        RC_ASSERT(answered->first.result == OrderResult::BadTicket && answered->first.clock == report.clock);
        RC_ASSERT(answered->second.bornAt == report.bornAt && answered->second.endsCut == report.endsCut);
        RC_ASSERT(answered->second.running[0].task == task);
        RC_ASSERT(answered->second.running[0].gauge == report.running[0].gauge);
        RC_ASSERT(answered->second.ended[0].kind == EndKind::Broken);
        RC_ASSERT(answered->second.ended[0].checkpoint == report.ended[0].checkpoint);
    });
    CHECK(same);
}
