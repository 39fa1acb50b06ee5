#include "doctest_main.h"

#include "advice_broker.h"
#include "placement.h"
#include "tail_guard.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

CellTarget makeTarget(const std::string& id, std::int64_t cores, const std::string& rack = "r1")
{
    CellTarget created;
    created.entry.id = TargetId(id);
    created.entry.capacity = { cores, 64000, 0 };
    created.entry.rack = RackId(rack);
    created.entry.labels = { "a", rack };
    return created;
}

StepSpec makeStep(std::uint32_t tasks, std::int64_t cores)
{
    StepSpec step;
    step.tasks = tasks;
    step.demand = { cores, 1000, 0 };
    return step;
}

std::vector<PlacementOption> makeOptions(std::initializer_list<CellTarget*> targets)
{
    std::vector<PlacementOption> options;
    for (CellTarget* each : targets)
        options.push_back({ each, each->room(), 0 });
    return options;
}

} // namespace

TEST_CASE("placement spreads load and ranks slow, remote and previously failed targets last")
{
    CellTarget a = makeTarget("a", 16000);
    CellTarget b = makeTarget("b", 16000);
    auto options = makeOptions({ &a, &b });
    const StepSpec step = makeStep(1, 4000);
    Occupant busy;
    busy.taken = { 4000, 0, 0 };
    a.occupy({ JobId("x"), 0, 0, 0 }, busy);
    options = makeOptions({ &a, &b });
    CHECK(chooseOption(options, { &step, nullptr, {} })->target == &b);
    b.slowness = 3;
    CHECK(chooseOption(options, { &step, nullptr, {} })->target == &a);
    const std::set<TargetId> avoid { TargetId("a") };
    CHECK(chooseOption(options, { &step, &avoid, {} })->target == &b);
    StepSpec local = step;
    local.nearRack = RackId("r2");
    CellTarget c = makeTarget("c", 4000, "r2");
    options = makeOptions({ &a, &b, &c });
    CHECK(chooseOption(options, { &local, nullptr, {} })->target == &c);
}

TEST_CASE("placement respects free capacity, the per-target task limit and required labels")
{
    CellTarget a = makeTarget("a", 16000);
    StepSpec step = makeStep(10, 5000);
    CHECK(tasksThatFit({ &a, a.room(), 0 }, step) == 3);
    step.perTargetLimit = 2;
    CHECK(tasksThatFit({ &a, a.room(), 0 }, step) == 2);
    CHECK(tasksThatFit({ &a, a.room(), 2 }, step) == 0);
    step.fills = true;
    step.perTargetLimit = 0;
    CHECK(tasksThatFit({ &a, a.room(), 0 }, step) == 10);
    StepSpec labelled = makeStep(1, 1000);
    labelled.requiredLabel = "b";
    CHECK_FALSE(mayEverRun(a, labelled));
}

TEST_CASE("a gang is placed completely or not at all, a colocated gang on one rack")
{
    CellTarget a = makeTarget("a", 16000, "r1");
    CellTarget b = makeTarget("b", 16000, "r2");
    CellTarget c = makeTarget("c", 16000, "r2");
    std::vector<CellTarget*> chosen;
    auto options = makeOptions({ &a, &b, &c });
    CHECK(placeGang(options, makeStep(3, 16000), chosen));
    options = makeOptions({ &a, &b, &c });
    CHECK_FALSE(placeGang(options, makeStep(4, 16000), chosen));
    CHECK(options.front().room.coresMilli == 16000);
    StepSpec tight = makeStep(4, 8000);
    tight.colocated = true;
    options = makeOptions({ &a, &b, &c });
    REQUIRE(placeGang(options, tight, chosen));
    CHECK(std::count(chosen.begin(), chosen.end(), &a) == 0);
}

TEST_CASE("a tail latency above its target pauses filling tasks, and a low one speeds them up in steps")
{
    const Time now { 1h };
    CellTarget t = makeTarget("t", 16000);
    const CellTaskKey filling { JobId("f"), 0, 0, 0 };
    Occupant occupant;
    occupant.run = 1;
    occupant.phase = RunPhase::Running;
    occupant.fills = true;
    t.occupy(filling, occupant);
    const auto percentAt = [&](std::chrono::milliseconds tail) {
        const auto changes = decidePaces(t, { { tail, 100ms } }, 4000ms, now);
        return changes.empty() ? -1 : changes.front().percent;
    };
    CHECK(percentAt(120ms) == 0);
    CHECK(percentAt(95ms) == 50);
    CHECK(percentAt(80ms) == -1); // Between the two thresholds the pace stays the same.
    t.occupants.at(filling).pace = 0;
    CHECK(percentAt(50ms) == 25);
    t.occupants.at(filling).paceAt = now - 100ms; // Too soon: the last change has not affected the tail latency yet.
    CHECK(percentAt(50ms) == -1);
}

TEST_CASE("three consecutive failures quarantine a target, and one completed run resets the count")
{
    const Time now { 1h };
    CellTarget t = makeTarget("t", 16000);
    t.runBad(now);
    t.runBad(now);
    t.runDone();
    t.runBad(now);
    t.runBad(now);
    CHECK(t.quarantinedUntil <= now);
    t.runBad(now);
    CHECK(t.quarantinedUntil == now + 3s);
    t.runBad(now + 4s);
    CHECK(t.quarantinedUntil == now + 10s);
}

TEST_CASE("a lease has expired only when the slowest permitted clock has passed it")
{
    const Time now { 1h };
    CellTarget t = makeTarget("t", 16000);
    t.sawClock(100000ms, now);
    t.leaseSent = 106000ms;
    CHECK_FALSE(t.lapsed(now + 6000ms));
    CHECK_FALSE(t.lapsed(now + 6100ms));
    CHECK(t.lapsed(now + 6130ms));
    t.lapsesBy = now + 10s; // Lease granted by a former owner.
    CHECK_FALSE(t.lapsed(now + 6130ms));
}

TEST_CASE("short advice requests do not wait behind long ones, and urgent ones are sent first")
{
    std::vector<std::pair<HostId, int>> sent;
    std::vector<std::uint64_t> tickets;
    AdviceBroker broker([&](const HostId& host, const AdviceQuestion& question, std::uint64_t ticket) {
        sent.emplace_back(host, question.priority);
        tickets.push_back(ticket);
    });
    broker.setHosts({ HostId("a"), HostId("b"), HostId("c") });
    const Time now { 1h };
    AdviceQuestion slow { {}, { TargetId("t") }, 500ms, 2, now };
    AdviceQuestion quick { {}, { TargetId("t") }, 20ms, 0, now };
    for (int i = 0; i < 4; ++i)
        broker.ask(slow, now);
    CHECK(sent.size() == 2); // One host is reserved for short calls.
    CHECK(broker.waiting() == 2);
    broker.ask(quick, now);
    REQUIRE(sent.size() == 3);
    CHECK(sent.back() == std::pair(HostId("a"), 0));
    AdviceQuestion urgentSlow = slow;
    urgentSlow.priority = 1;
    broker.ask(urgentSlow, now);
    broker.finished(tickets[0], true, now + 500ms);
    CHECK(sent.back().second == 1);
    broker.finished(tickets[1], false, now + 500ms); // The call failed, so its host gets no calls for a while.
    CHECK(sent.size() == 4);
    broker.tick(now + 3s);
    CHECK(sent.size() == 5);
}
