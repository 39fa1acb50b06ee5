#include "doctest_main.h"

#include "order_relay.h"
#include "order_router.h"
#include "relay_codec.h"

#include <deque>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** An owner's router, the relays that it calls, and the targets that these call. */
struct Fixture {
    struct Call {
        std::string host; ///< Of the relay, or "owner" for a direct call.
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
    std::deque<Call> calls; ///< That reached a target and are not answered.
    std::deque<PeerCall> peerCalls; ///< That are on their way to a relay.
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
    }

    void addRelay(const std::string& address, std::uint64_t instance)
    {
        relays[address] = std::make_unique<OrderRelay>(
            [this, address](const TargetRef& target, const TargetOrder& order, TargetReply reply) {
                calls.push_back({ address, target, order, std::move(reply) });
            },
            instance);
    }

    void pass(Duration time)
    {
        now += time;
        router.tick(now);
        deliver();
        for (auto& [address, relay] : relays)
            relay->tick(now);
    }

    /** Lets the calls to relays arrive. */
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

    void failCalls(bool sent)
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

TEST_CASE_FIXTURE(Fixture, "in a small cell the owner calls its targets itself")
{
    router.setHosts(HostId("h1"), members, 48);
    CHECK(router.relays() == 0);
    send(3);
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].host == "owner");
}

TEST_CASE_FIXTURE(Fixture, "in a large cell many orders travel in one call to each relay, and their results come back")
{
    send(40);
    CHECK(calls.empty());
    pass(10ms);
    REQUIRE(calls.size() == 40);
    CHECK(std::get<StartOrder>(calls[0].order).token == FencingToken(7));
    std::set<std::string> hosts;
    for (const Call& call : calls)
        hosts.insert(call.host);
    CHECK(hosts == std::set<std::string> { "a-h2", "a-h3" });
    answerTargets();
    CHECK(results.empty());
    pass(1ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Done));
}

TEST_CASE_FIXTURE(Fixture, "orders handed to a relay that fails have no answer, later ones go another way")
{
    send(40);
    now += 10ms;
    router.tick(now);
    REQUIRE(peerCalls.size() == 2);
    SUBCASE("the call fails") { failCalls(true); }
    SUBCASE("the process is a new one")
    {
        deliver();
        answerTargets();
        pass(1ms);
        results.clear();
        send(40);
        pass(20ms); // The new orders wait at the targets.
        relays.clear();
        addRelay("a-h2", 2);
        addRelay("a-h3", 2);
        calls.clear();
        pass(20ms);
        pass(500ms);
    }
    SUBCASE("a second call gets no prompt answer")
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
        CHECK(calls.size() == 40); // Those that were not handed over go directly.
        failCalls(true); // Comes late and changes nothing.
        CHECK(results.size() == 80);
        return;
    }
    SUBCASE("no answer comes")
    {
        pass(500ms);
        CHECK(results.empty());
        pass(600ms);
        pass(100ms);
        CHECK(results == std::vector<OrderResult>(40, OrderResult::Lost));
        return;
    }
    pass(500ms);
    pass(700ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Lost));
}

TEST_CASE_FIXTURE(Fixture, "orders that were not handed over when a relay fails go directly")
{
    send(1);
    pass(10ms);
    send(40);
    now += 1ms;
    router.setHosts(HostId("h1"), {}, 350);
    CHECK(results == std::vector<OrderResult> { OrderResult::Lost });
    CHECK(std::count_if(calls.begin(), calls.end(), [](const Call& call) { return call.host == "owner"; }) == 40);
}

TEST_CASE_FIXTURE(Fixture, "a relay that is no longer among the strongest keeps the orders that it has")
{
    send(40);
    pass(10ms);
    REQUIRE(calls.size() == 40);
    for (int i = 0; i < 6; ++i)
        members[HostId("s" + std::to_string(i))] = { HostId("s" + std::to_string(i)), "a-s", 900 };
    addRelay("a-s", 1);
    router.setHosts(HostId("h1"), members, 350);
    CHECK(router.relays() == 6);
    CHECK(results.empty());
    answerTargets();
    pass(10ms);
    CHECK(results == std::vector<OrderResult>(40, OrderResult::Done));
    send(40);
    pass(10ms);
    CHECK(std::all_of(calls.begin(), calls.end(), [](const Call& call) { return call.host == "a-s"; }));
}

TEST_CASE_FIXTURE(Fixture, "a relay serves the highest token only")
{
    send(4);
    pass(10ms);
    REQUIRE(calls.size() == 4);
    OrderRouter next { hooks() };
    next.begin(FencingToken(9));
    next.setHosts(HostId("h4"), members, 350);
    std::vector<OrderResult> later;
    for (int i = 0; i < 40; ++i)
        next.send({ TargetId("x" + std::to_string(i)), "a" }, StopOrder { {}, 1, FencingToken(9) },
            [&](const OrderAnswer& answer, const RunReport&) { later.push_back(answer.result); });
    now += 10ms;
    next.tick(now);
    std::erase_if(peerCalls, [](const PeerCall& call) { return call.address == "a-h1"; });
    deliver();
    answerTargets(); // Of both tokens.
    for (auto& [address, relay] : relays)
        relay->tick(now);
    CHECK_FALSE(later.empty());
    CHECK(std::all_of(later.begin(), later.end(), [](OrderResult result) { return result == OrderResult::Done; }));
    CHECK(results.empty());
    send(4);
    pass(20ms);
    CHECK(std::count(results.begin(), results.end(), OrderResult::Lost) > 0);
    CHECK(std::count(results.begin(), results.end(), OrderResult::Done) == 0);
}

TEST_CASE_FIXTURE(Fixture, "after a new beginning no reply of before is given")
{
    send(40);
    pass(10ms);
    router.begin(FencingToken(8));
    answerTargets();
    pass(10ms);
    pass(2s);
    CHECK(results.empty());
}

TEST_CASE("orders and results are the same after their way between hosts")
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
        const auto& back = std::get<StartOrder>(read->second);
        RC_ASSERT(read->first.address == "a:1");
        RC_ASSERT(back.task == start.task && back.run == start.run && back.payload == start.payload);
        RC_ASSERT(back.checkpoint == start.checkpoint && back.ticket == start.ticket);
        RC_ASSERT(back.leaseUntil == start.leaseUntil && back.token == token);
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
