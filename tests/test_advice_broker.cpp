#include "doctest_main.h"

#include "advice_broker.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

struct BrokerTest {
    struct Sent {
        HostId host;
        AdviceQuestion question;
        std::uint64_t callId = 0;
    };

    Time now { 1h };
    std::vector<Sent> sent;
    AdviceBroker broker { { [this](const HostId& host, const AdviceQuestion& question, std::uint64_t callId) {
                               sent.push_back({ host, question, callId });
                           },
        [](AdviceQuestion&, Time) { return true; } } };

    explicit BrokerTest(int hostCount = 2)
    {
        std::vector<HostId> hosts;
        hosts.reserve(static_cast<std::size_t>(hostCount));
        for (int i = 0; i < hostCount; ++i)
            hosts.emplace_back("h" + std::to_string(10 + i));
        broker.setHosts(hosts);
    }

    AdviceQuestion question(const std::string& job, std::chrono::milliseconds callTime, WorkBand band) const
    {
        AdviceQuestion made { { JobId(job), 0, 0 }, { TargetId("t") }, callTime, callTime >= 100ms ? 2 : 0, now, now };
        made.rank = WorkRank {};
        made.rank->band = band;
        made.rank->submittedAt = now;
        return made;
    }

    void finishLast()
    {
        now += sent.back().question.callTime;
        broker.finished(sent.back().callId, true, now);
    }
};

} // namespace

// The question that has waited longest took every third call: under overload, a third of the advisor's time went to
// overdue work.
TEST_CASE_FIXTURE(
    BrokerTest, "late questions get no call while others can still be in time, and the oldest of these does")
{
    broker.ask(question("running", 500ms, WorkBand::InTime), now);
    broker.ask(question("late", 500ms, WorkBand::Late), now);
    now += 1ms;
    broker.ask(question("large", 500ms, WorkBand::InTimeAboveShare), now);
    int large = 0;
    for (int i = 0; i < 9; ++i) {
        broker.ask(question("new", 500ms, WorkBand::InTime), now);
        finishLast();
        CHECK(sent.back().question.step.job != JobId("late"));
        large += sent.back().question.step.job == JobId("large") ? 1 : 0;
    }
    CHECK(large == 1);
    for (int i = 0; i < 3; ++i)
        finishLast();
    CHECK(sent.back().question.step.job == JobId("late"));
    CHECK(broker.waiting() == 0);
}

// With 25 hosts, short questions waited for seconds behind those of five reserved hosts while others were idle.
TEST_CASE("short questions go to idle hosts while long ones wait, and never behind a long call")
{
    BrokerTest test(20); // Four of them are reserved for short calls.
    for (int i = 0; i < 4; ++i)
        test.broker.ask(test.question("q", 40ms, WorkBand::InTime), test.now);
    CHECK(test.sent.size() == 4);
    const std::size_t before = test.sent.size();
    for (int i = 0; i < 14; ++i)
        test.broker.ask(test.question("l", 500ms, WorkBand::InTime), test.now);
    std::vector<HostId> longHosts;
    for (std::size_t i = before; i < test.sent.size(); ++i)
        longHosts.push_back(test.sent[i].host);
    for (int i = 0; i < 20; ++i)
        test.broker.ask(test.question("l", 500ms, WorkBand::InTime), test.now);
    CHECK(test.broker.waiting() > 0);
    for (int i = 0; i < 8; ++i)
        test.broker.ask(test.question("q", 40ms, WorkBand::InTime), test.now);
    // One long call ends: the host that is idle takes a short question first, as one in four may.
    for (int i = 0; i < 4; ++i)
        test.broker.ask(test.question("waits", 40ms, WorkBand::InTime), test.now);
    const std::size_t waiting = test.broker.waiting();
    const auto longCall = std::find_if(test.sent.begin(), test.sent.end(),
        [](const BrokerTest::Sent& call) { return call.question.callTime == 500ms; });
    REQUIRE(longCall != test.sent.end());
    const HostId idle = longCall->host;
    const std::uint64_t callId = longCall->callId;
    test.now += 500ms;
    test.broker.finished(callId, true, test.now);
    CHECK(test.broker.waiting() == waiting - 1);
    CHECK(test.sent.back().host == idle);
    CHECK(test.sent.back().question.callTime == 40ms);
    std::map<HostId, int> longCalls;
    std::map<HostId, int> shortCalls;
    for (const BrokerTest::Sent& call : test.sent) {
        if (call.callId != callId)
            ++(call.question.callTime == 40ms ? shortCalls : longCalls)[call.host];
    }
    for (const auto& [host, count] : shortCalls)
        CHECK_FALSE(longCalls.contains(host));
}

TEST_CASE("short questions leave most hosts to long ones")
{
    BrokerTest test(20);
    for (int i = 0; i < 20; ++i)
        test.broker.ask(test.question("l", 500ms, WorkBand::InTime), test.now);
    for (int i = 0; i < 50; ++i)
        test.broker.ask(test.question("q", 40ms, WorkBand::InTime), test.now);
    const std::vector<BrokerTest::Sent> first = test.sent;
    test.now += 500ms;
    for (const BrokerTest::Sent& call : first) {
        if (call.question.callTime == 500ms)
            test.broker.finished(call.callId, true, test.now);
    }
    std::size_t longCalls = 0;
    for (std::size_t i = first.size(); i < test.sent.size(); ++i)
        longCalls += test.sent[i].question.callTime == 500ms ? 1 : 0;
    CHECK(longCalls == 4); // All that waited.
}
