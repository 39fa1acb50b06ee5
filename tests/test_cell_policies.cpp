#include "doctest_main.h"

#include "advice_broker.h"
#include "advice_targets.h"
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
    AdviceBroker broker({ [&](const HostId& host, const AdviceQuestion& question, std::uint64_t ticket) {
                             sent.emplace_back(host, question.priority);
                             tickets.push_back(ticket);
                         },
        [](AdviceQuestion&, Time) { return true; } });
    broker.setHosts({ HostId("a"), HostId("b"), HostId("c") });
    const Time now { 1h };
    AdviceQuestion slow { {}, { TargetId("t") }, 500ms, 2, now, now };
    AdviceQuestion quick { {}, { TargetId("t") }, 20ms, 0, now, now };
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

TEST_CASE("a question is sent in its turn although more urgent ones keep coming, and a needless one is dropped")
{
    std::vector<int> sent;
    std::vector<std::uint64_t> callIds;
    int dropPriority = -1;
    AdviceBroker broker({ [&](const HostId&, const AdviceQuestion& question, std::uint64_t callId) {
                             sent.push_back(question.priority);
                             callIds.push_back(callId);
                         },
        [&](AdviceQuestion& question, Time) { return question.priority != dropPriority; } });
    broker.setHosts({ HostId("a"), HostId("b") });
    Time now { 1h };
    const AdviceQuestion urgent { {}, { TargetId("t") }, 500ms, 1, now, now };
    AdviceQuestion plan = urgent;
    plan.priority = 2;
    broker.ask(urgent, now);
    broker.ask(plan, now);
    for (int i = 0; i < 4; ++i) { // An urgent question always waits when the host becomes free.
        broker.ask(urgent, now);
        now += 500ms;
        broker.finished(callIds.back(), true, now);
    }
    CHECK(sent == std::vector<int> { 1, 1, 1, 2, 1 });
    dropPriority = 1;
    broker.ask(plan, now);
    broker.finished(callIds.back(), true, now);
    CHECK(sent.back() == 2);
    CHECK(broker.waiting() == 0);
}

TEST_CASE("short advice requests are sent while a long one waits, and leave a host free for it")
{
    std::vector<std::pair<HostId, Duration>> sent;
    std::vector<std::uint64_t> callIds;
    AdviceBroker broker({ [&](const HostId& host, const AdviceQuestion& question, std::uint64_t callId) {
                             sent.emplace_back(host, question.callTime);
                             callIds.push_back(callId);
                         },
        [](AdviceQuestion&, Time) { return true; } });
    broker.setHosts({ HostId("a"), HostId("b") });
    const Time now { 1h };
    const AdviceQuestion quick { {}, { TargetId("t") }, 20ms, 0, now, now };
    const AdviceQuestion slow { {}, { TargetId("t") }, 500ms, 2, now, now };
    for (int i = 0; i < 4; ++i)
        broker.ask(quick, now);
    CHECK(sent.size() == 4);
    broker.ask(slow, now);
    broker.ask(quick, now);
    for (std::size_t i = 0; i < 4; ++i)
        broker.finished(callIds[i], true, now);
    CHECK(std::count_if(sent.begin(), sent.end(), [](const auto& call) { return call.second == 500ms; }) == 1);
}

TEST_CASE("a question names targets with room first, and full ones only as long as too few allowed ones are known")
{
    const auto candidate = [](std::uint32_t index, std::uint32_t fits, AdviceKnowledge knowledge) {
        return AdviceCandidate { index, fits, knowledge, index };
    };
    using enum AdviceKnowledge;
    // Four tasks; half of the targets are allowed, so that 14 of the single places are expected to suffice.
    std::vector<AdviceCandidate> idle;
    for (std::uint32_t i = 0; i < 40; ++i)
        idle.push_back(candidate(i, 1, Unknown));
    CHECK(chooseAdviceTargets(idle, { 4, 0.5, 30, false }).size() == 14);
    std::vector<AdviceCandidate> busy { candidate(0, 0, Unknown), candidate(1, 1, Allowed), candidate(2, 0, Allowed),
        candidate(3, 1, Unknown), candidate(4, 1, Valid) };
    CHECK(chooseAdviceTargets(busy, { 4, 0.5, 30, false }) == std::vector<std::uint32_t> { 1, 3, 0 });
    CHECK(chooseAdviceTargets(busy, { 2, 0.5, 30, false }) == std::vector<std::uint32_t> { 1, 3 });
    CHECK(chooseAdviceTargets({ candidate(0, 0, Allowed) }, { 1, 0.5, 30, false }).empty());
}

TEST_CASE("a gang renews tickets only once there is room for all its tasks")
{
    const auto candidate = [](std::uint32_t index, std::uint32_t fits, AdviceKnowledge knowledge) {
        return AdviceCandidate { index, fits, knowledge, index };
    };
    using enum AdviceKnowledge;
    std::vector<AdviceCandidate> known { candidate(0, 1, Allowed), candidate(1, 0, Allowed), candidate(2, 1, Valid) };
    CHECK(chooseAdviceTargets(known, { 3, 0.5, 30, true }).empty());
    CHECK(chooseAdviceTargets(known, { 2, 0.5, 30, true }) == std::vector<std::uint32_t> { 0 });
    known.push_back(candidate(3, 0, Unknown));
    CHECK(chooseAdviceTargets(known, { 3, 0.5, 30, true }) == std::vector<std::uint32_t> { 3 });
    // A gang that needs more targets than a question may name gets them with several questions, the roomiest first.
    std::vector<AdviceCandidate> many;
    for (std::uint32_t i = 0; i < 100; ++i)
        many.push_back(candidate(i, i < 70 ? 2 : 4, Allowed));
    const std::vector<std::uint32_t> first = chooseAdviceTargets(many, { 125, 0.5, 30, true });
    CHECK(first.size() == 30);
    CHECK(std::all_of(first.begin(), first.end(), [](std::uint32_t index) { return index >= 70; }));
}

TEST_CASE("tasks that need accelerators fill targets that are in use before idle ones")
{
    CellTarget idle = makeTarget("idle", 128000);
    CellTarget used = makeTarget("used", 128000);
    idle.entry.capacity.accelerators = 8;
    used.entry.capacity.accelerators = 8;
    Occupant occupant;
    occupant.taken = { 60000, 0, 4 };
    used.occupy({ JobId("x"), 0, 0, 0 }, occupant);
    auto options = makeOptions({ &idle, &used });
    StepSpec step = makeStep(1, 11000);
    CHECK(chooseOption(options, { &step, nullptr, {} })->target == &idle);
    step.demand.accelerators = 1;
    CHECK(chooseOption(options, { &step, nullptr, {} })->target == &used);
}
