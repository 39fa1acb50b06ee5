#include "doctest_main.h"

#include "advice_broker.h"
#include "placement.h"
#include "tail_guard.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

CellTarget target(const std::string& id, std::int64_t cores, const std::string& rack = "r1")
{
    CellTarget made;
    made.entry.id = TargetId(id);
    made.entry.capacity = { cores, 64000, 0 };
    made.entry.rack = RackId(rack);
    made.entry.labels = { "a", rack };
    return made;
}

StepSpec stepOf(std::uint32_t tasks, std::int64_t cores)
{
    StepSpec step;
    step.tasks = tasks;
    step.demand = { cores, 1000, 0 };
    return step;
}

std::vector<PlacementOption> optionsOf(std::initializer_list<CellTarget*> targets)
{
    std::vector<PlacementOption> options;
    for (CellTarget* each : targets)
        options.push_back({ each, each->room(), 0 });
    return options;
}

} // namespace

TEST_CASE("load is spread, and slow, remote or failed-on targets come last")
{
    CellTarget a = target("a", 16000);
    CellTarget b = target("b", 16000);
    auto options = optionsOf({ &a, &b });
    const StepSpec step = stepOf(1, 4000);
    Occupant busy;
    busy.taken = { 4000, 0, 0 };
    a.occupy({ JobId("x"), 0, 0, 0 }, busy);
    options = optionsOf({ &a, &b });
    CHECK(chooseOption(options, { &step, nullptr, {} })->target == &b);
    b.slowness = 3;
    CHECK(chooseOption(options, { &step, nullptr, {} })->target == &a);
    const std::set<TargetId> avoid { TargetId("a") };
    CHECK(chooseOption(options, { &step, &avoid, {} })->target == &b);
    StepSpec local = step;
    local.nearRack = RackId("r2");
    CellTarget c = target("c", 4000, "r2");
    options = optionsOf({ &a, &b, &c });
    CHECK(chooseOption(options, { &local, nullptr, {} })->target == &c);
}

TEST_CASE("room and the limit of tasks on a target bound a placement")
{
    CellTarget a = target("a", 16000);
    StepSpec step = stepOf(10, 5000);
    CHECK(tasksThatFit({ &a, a.room(), 0 }, step) == 3);
    step.perTargetLimit = 2;
    CHECK(tasksThatFit({ &a, a.room(), 0 }, step) == 2);
    CHECK(tasksThatFit({ &a, a.room(), 2 }, step) == 0);
    step.fills = true;
    step.perTargetLimit = 0;
    CHECK(tasksThatFit({ &a, a.room(), 0 }, step) == 10);
    StepSpec labelled = stepOf(1, 1000);
    labelled.requiredLabel = "b";
    CHECK_FALSE(mayEverRun(a, labelled));
}

TEST_CASE("a gang has all its places or none, a colocated one on one rack")
{
    CellTarget a = target("a", 16000, "r1");
    CellTarget b = target("b", 16000, "r2");
    CellTarget c = target("c", 16000, "r2");
    std::vector<CellTarget*> chosen;
    auto options = optionsOf({ &a, &b, &c });
    CHECK(placeGang(options, stepOf(3, 16000), chosen));
    options = optionsOf({ &a, &b, &c });
    CHECK_FALSE(placeGang(options, stepOf(4, 16000), chosen));
    CHECK(options.front().room.coresMilli == 16000);
    StepSpec tight = stepOf(4, 8000);
    tight.colocated = true;
    options = optionsOf({ &a, &b, &c });
    REQUIRE(placeGang(options, tight, chosen));
    CHECK(std::count(chosen.begin(), chosen.end(), &a) == 0);
}

TEST_CASE("a tail over its target stops what fills beside it, and a calm one lets it go in steps")
{
    const Time now { 1h };
    CellTarget t = target("t", 16000);
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
    CHECK(percentAt(80ms) == -1); // Neither near nor calm: it stays.
    t.occupants.at(filling).pace = 0;
    CHECK(percentAt(50ms) == 25);
    t.occupants.at(filling).paceAt = now - 100ms; // The last change does not show yet.
    CHECK(percentAt(50ms) == -1);
}

TEST_CASE("three failures in a row keep work away from a target, one done run ends the count")
{
    const Time now { 1h };
    CellTarget t = target("t", 16000);
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

TEST_CASE("a lease has lapsed only when the slowest clock has passed it")
{
    const Time now { 1h };
    CellTarget t = target("t", 16000);
    t.sawClock(100000ms, now);
    t.leaseSent = 106000ms;
    CHECK_FALSE(t.lapsed(now + 6000ms));
    CHECK_FALSE(t.lapsed(now + 6100ms));
    CHECK(t.lapsed(now + 6130ms));
    t.lapsesBy = now + 10s; // A former owner's lease.
    CHECK_FALSE(t.lapsed(now + 6130ms));
}

TEST_CASE("short questions do not wait behind long ones, and urgent ones go first")
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
    CHECK(sent.size() == 2); // One host is kept for short calls.
    CHECK(broker.waiting() == 2);
    broker.ask(quick, now);
    REQUIRE(sent.size() == 3);
    CHECK(sent.back() == std::pair(HostId("a"), 0));
    AdviceQuestion urgentSlow = slow;
    urgentSlow.priority = 1;
    broker.ask(urgentSlow, now);
    broker.finished(tickets[0], true, now + 500ms);
    CHECK(sent.back().second == 1);
    broker.finished(tickets[1], false, now + 500ms); // That host is left alone for a while.
    CHECK(sent.size() == 4);
    broker.tick(now + 3s);
    CHECK(sent.size() == 5);
}
