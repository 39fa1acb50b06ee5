#include "doctest_main.h"

#include "environment_seed.h"
#include "slot_pool.h"

#include <map>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace sp;
using namespace std::chrono_literals;
using Kind = SlotDecision::Kind;

namespace {

Time at(Duration time) { return Time(1h + time); }

WorkloadPolicy workload(const std::string& id, std::chrono::milliseconds threshold = 1s)
{
    WorkloadPolicy policy;
    policy.id = WorkloadId(id);
    policy.service = "s";
    policy.longThreshold = threshold;
    return policy;
}

Bundle bundleOf(const std::vector<WorkloadPolicy>& workloads)
{
    Bundle bundle;
    for (const WorkloadPolicy& policy : workloads)
        bundle.workloads[policy.id] = policy;
    return bundle;
}

InstanceInfo instance(const std::string& id, std::uint32_t slots)
{
    InstanceInfo info;
    info.id = TargetId(id);
    info.service = "s";
    info.slots = slots;
    return info;
}

PromptWork work(const std::string& id, Time now, Duration deadline = 2s, const std::string& caller = "c",
    const std::string& team = "t", const std::string& workloadId = "w")
{
    return { RequestId(id), CallerId(caller), TeamId(team), WorkloadId(workloadId), now + deadline, now };
}

void add(SlotPool& pool, const std::string& id, std::uint32_t slots)
{
    pool.putInstance(instance(id, slots));
    pool.setUsable(TargetId(id), true);
}

/** Runs requests of a caller one after the other, so that the pool learns their run time. */
void teach(SlotPool& pool, const std::string& caller, Duration runTime, Time now, const std::string& workloadId = "w")
{
    for (int i = 0; i < 8; ++i) {
        const std::string id = "teach-" + caller + std::to_string(i);
        REQUIRE(pool.admit(work(id, now, runTime + 1h, caller, "t", workloadId), now).kind == Kind::Run);
        pool.release(RequestId(id), SlotRelease::Answered, now + runTime);
    }
}

} // namespace

// Guards against piling requests on one instance while others idle, and against a start without a free slot.
TEST_CASE("the least busy instance is taken and never more than its slots")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w") }));
    add(pool, "a", 2);
    add(pool, "b", 4);
    pool.putInstance(instance("silent", 8));
    std::map<std::string, int> taken;
    for (int i = 0; i < 6; ++i)
        ++taken[pool.admit(work("r" + std::to_string(i), at(0s)), at(0s)).target.value];
    CHECK(taken == std::map<std::string, int> { { "a", 2 }, { "b", 4 } });
    CHECK(pool.admit(work("r6", at(0s)), at(0s)).kind == Kind::Queue);
    CHECK(pool.admit(work("r6", at(0s)), at(0s)).reason == "already accepted");
    CHECK(pool.dispatch(at(0s)).empty());
    pool.setLeaving(TargetId("a"));
    pool.release(*pool.targetOf(RequestId("r0")) == TargetId("a") ? RequestId("r0") : RequestId("r1"),
        SlotRelease::Answered, at(10ms));
    pool.checkInvariants();
    CHECK(pool.load("s", at(0s)).slotsTotal == 4);
}

// Guards against a second start in the slot of a request that may still run (invariants I1, I2).
TEST_CASE("a lost request keeps its slot until it is confirmed not to run")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w") }));
    add(pool, "a", 1);
    pool.admit(work("r1", at(0s)), at(0s));
    pool.release(RequestId("r1"), SlotRelease::Lost, at(10ms));
    pool.release(RequestId("r1"), SlotRelease::NotStarted, at(10ms));
    CHECK(pool.admit(work("r2", at(10ms)), at(10ms)).kind == Kind::Queue);
    CHECK(pool.dispatch(at(20ms)).empty());
    CHECK(pool.confirmNotRunning(RequestId("r1"), at(30ms)));
    CHECK_FALSE(pool.confirmNotRunning(RequestId("r1"), at(30ms)));
    CHECK(pool.dispatch(at(30ms)).at(0).id == RequestId("r2"));
    pool.checkInvariants();
}

// Guards against a new owner that starts work in slots which the previous owner's requests still hold.
TEST_CASE("reported requests take slots, also above the instance's number")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w") }));
    add(pool, "a", 1);
    pool.occupy(TargetId("a"), RequestId("old1"));
    pool.occupy(TargetId("a"), RequestId("old2"));
    CHECK(pool.admit(work("r1", at(0s)), at(0s)).kind == Kind::Queue);
    pool.occupy(TargetId("a"), RequestId("r1"));
    const auto decisions = pool.dispatch(at(0s));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].error == ErrorKind::AnswerLost);
    pool.release(RequestId("old1"), SlotRelease::Answered, at(1ms));
    pool.release(RequestId("r1"), SlotRelease::Answered, at(1ms));
    pool.checkInvariants();
    CHECK(pool.load("s", at(0s)).slotsFree == 0);
    pool.removeInstance(TargetId("a"));
    pool.checkInvariants();
    CHECK(pool.admit(work("r2", at(0s)), at(0s)).error == ErrorKind::DeadlineUnmeetable);
}

// Guards against accepting work that will only expire: the caller should hear at once and go elsewhere.
TEST_CASE("a deadline that can't be met is refused at once")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w") }));
    add(pool, "a", 1);
    teach(pool, "c", 100ms, at(0s));
    CHECK(pool.admit(work("r0", at(1s), 50ms), at(1s)).error == ErrorKind::DeadlineUnmeetable);
    CHECK(pool.admit(work("r1", at(1s), 300ms), at(1s)).kind == Kind::Run);
    CHECK(pool.admit(work("r2", at(1s), 150ms), at(1s)).error == ErrorKind::DeadlineUnmeetable);
    CHECK(pool.admit(work("r3", at(1s), 1500ms), at(1s)).kind == Kind::Queue);
    CHECK(pool.admit(work("r4", at(1s), 250ms), at(1s)).error == ErrorKind::DeadlineUnmeetable);
    CHECK(pool.dispatch(at(1100ms)).empty());
    const auto expired = pool.dispatch(at(2500ms));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].error == ErrorKind::DeadlinePassed);
    CHECK(pool.queued() == 0);
}

// Guards against refusing a caller for ever because of run times that are no longer true.
TEST_CASE("a caller refused for its learned run time is tried again")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w") }));
    add(pool, "a", 1);
    teach(pool, "c", 500ms, at(0s));
    bool ran = false;
    for (int i = 0; i < 16; ++i)
        ran = ran || pool.admit(work("r" + std::to_string(i), at(1s), 100ms), at(1s)).kind == Kind::Run;
    CHECK(ran);
}

// Guards against a queue that grows without bound, and against one caller that fills it and shuts out the others.
TEST_CASE("the queue is bounded and leaves room for other callers")
{
    SlotPool pool;
    WorkloadPolicy policy = workload("w");
    policy.queueLimit = 20;
    policy.deadline = 60s;
    pool.applyPolicy(bundleOf({ policy }));
    add(pool, "a", 1);
    pool.admit(work("first", at(0s), 60s), at(0s));
    for (int i = 0; i < 30; ++i)
        pool.admit(work("r" + std::to_string(i), at(0s), 60s, "hog"), at(0s));
    CHECK(pool.queued() < 20);
    CHECK(pool.admit(work("light", at(0s), 60s, "light"), at(0s)).kind == Kind::Queue);
    for (int i = 0; i < 30; ++i)
        pool.admit(work("o" + std::to_string(i), at(0s), 60s, "o" + std::to_string(i)), at(0s));
    CHECK(pool.queued() == 20);
    pool.checkInvariants();
    CHECK(pool.admit(work("x", at(0s), 60s, "x"), at(0s)).error == ErrorKind::QueueFull);
}

// Guards against a caller or team that takes the whole service by sending more than the others.
TEST_CASE("teams share by weight and a light caller does not wait behind a heavy one")
{
    FairQueue queue;
    const FlowWeights heavy { 1, 3 };
    const FlowWeights light { 1, 1 };
    for (int i = 0; i < 400; ++i) {
        queue.push(work("h", at(0s), 2s, "h" + std::to_string(i % 7), "heavy"), heavy, 10ms, 1, at(0s));
        queue.push(work("l", at(0s), 2s, "l", "light"), light, 10ms, 1, at(0s));
    }
    int taken = 0;
    for (int i = 0; i < 400; ++i)
        taken += queue.take(queue.next(), at(0s)).team == TeamId("heavy") ? 1 : 0;
    CHECK(taken >= 299);
    CHECK(taken <= 301);
    queue.push(work("new", at(0s), 2s, "new", "light"), light, 10ms, 1, at(0s));
    int position = 0;
    while (queue.take(queue.next(), at(0s)).id != RequestId("new"))
        ++position;
    CHECK(position <= 8);
    queue.checkInvariants();
}

// Guards against an arbitrary order between flows that are equally entitled.
TEST_CASE("ties go to the earlier deadline")
{
    FairQueue queue;
    queue.push(work("late", at(0s), 3s, "a"), {}, 10ms, 1, at(0s));
    queue.push(work("early", at(0s), 1s, "b"), {}, 10ms, 2, at(0s));
    queue.push(work("mid", at(0s), 2s, "c"), {}, 10ms, 3, at(0s));
    CHECK(queue.take(queue.next(), at(0s)).id == RequestId("early"));
    CHECK(queue.take(queue.next(), at(0s)).id == RequestId("mid"));
    CHECK(queue.take(queue.next(), at(0s)).id == RequestId("late"));
}

// Guards against memory that grows with each caller ever seen.
TEST_CASE("nodes of callers that are gone are forgotten")
{
    FairQueue queue;
    for (int i = 0; i < 100000; ++i) {
        queue.push(work("r", at(0s), 2s, "c" + std::to_string(i)), {}, 10ms, 1, at(0s));
        queue.take(queue.next(), at(0s));
    }
    CHECK(queue.nodes() < 2000);
    queue.checkInvariants();
}

// Guards against a lost, doubled or reordered request when requests leave the queue from any place.
TEST_CASE("each request leaves the fair queue once, in the order of its caller")
{
    CHECK(rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t>>& steps) {
        FairQueue queue;
        std::map<std::string, std::uint64_t> lastTaken;
        std::map<std::uint64_t, QueueHandle> waiting;
        std::uint64_t serial = 0;
        for (const auto& [what, who] : steps) {
            if (what % 4 < 2) {
                const std::string caller = std::to_string(who % 5);
                const std::string id = std::to_string(++serial);
                waiting[serial] = queue.push(work(id, at(0s), 2s, caller, std::to_string(who % 3)),
                    { 1, 1.0 + who % 3 }, std::chrono::milliseconds(1 + who), serial, at(0s));
            } else if (what % 4 == 2 && !waiting.empty()) {
                const auto it = std::next(waiting.begin(), who % waiting.size());
                RC_ASSERT(queue.holds(it->second, it->first));
                queue.erase(it->second, at(0s));
                waiting.erase(it);
            } else if (queue.next() != noHandle) {
                const PromptWork taken = queue.take(queue.next(), at(0s));
                const std::uint64_t number = std::stoull(taken.id.value);
                RC_ASSERT(waiting.erase(number) == 1);
                std::uint64_t& last = lastTaken[taken.caller.value + "/" + taken.team.value];
                RC_ASSERT(number > last);
                last = number;
            }
            queue.checkInvariants();
            RC_ASSERT(queue.size() == waiting.size());
        }
    }));
}

// Guards against cancelled requests that still start, and against timers kept for each of them until their deadline.
TEST_CASE("cancelled requests never start")
{
    SlotPool pool;
    WorkloadPolicy policy = workload("w");
    policy.queueLimit = 1000000;
    pool.applyPolicy(bundleOf({ policy }));
    add(pool, "a", 1);
    pool.admit(work("first", at(0s), 10min), at(0s));
    for (int i = 0; i < 20000; ++i) {
        const std::string id = "r" + std::to_string(i);
        REQUIRE(pool.admit(work(id, at(0s), 10min), at(0s)).kind == Kind::Queue);
        REQUIRE(pool.cancelQueued(RequestId(id)));
        REQUIRE_FALSE(pool.cancelQueued(RequestId(id)));
    }
    CHECK(pool.queued() == 0);
    pool.release(RequestId("first"), SlotRelease::Answered, at(1s));
    CHECK(pool.dispatch(at(1s)).empty());
    CHECK(pool.dispatch(at(1h)).empty());
    pool.checkInvariants();
}

// Guards against long work that takes all slots, so that short work waits for minutes behind it.
TEST_CASE("long work leaves the reserve free, also when it is recognised only while it runs")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w", 100ms) }));
    add(pool, "a", 20);
    teach(pool, "c", 10ms, at(0s));
    teach(pool, "long", 10s, at(0s));
    std::size_t started = 0;
    for (int i = 0; i < 40; ++i)
        started += pool.admit(work("l" + std::to_string(i), at(20s), 1h, "long"), at(20s)).kind == Kind::Run ? 1 : 0;
    CHECK(started == 19);
    CHECK(pool.reservedSlots("s", at(20s)) == 1);
    CHECK(pool.admit(work("short", at(20s)), at(20s)).kind == Kind::Run);
    pool.release(RequestId("short"), SlotRelease::Answered, at(20010ms));
    for (int i = 0; i < 10; ++i)
        pool.release(RequestId("l" + std::to_string(i)), SlotRelease::Answered, at(21s));
    CHECK(pool.dispatch(at(21s)).size() == 10);

    SlotPool second;
    second.applyPolicy(bundleOf({ workload("w", 100ms) }));
    add(second, "a", 20);
    for (int i = 0; i < 19; ++i)
        second.admit(work("u" + std::to_string(i), at(0s), 1h, "new"), at(0s));
    second.dispatch(at(200ms));
    CHECK(second.admit(work("u19", at(200ms), 1h, "new"), at(200ms)).kind == Kind::Queue);
    CHECK(second.dispatch(at(200ms)).empty());
    CHECK(second.admit(work("short", at(200ms), 2s, "other", "t"), at(200ms)).kind != Kind::Refuse);
    second.checkInvariants();
}

// Guards against a reserve too small for the short work that arrives.
TEST_CASE("the reserve follows the short demand between its bounds")
{
    SlotPool pool;
    pool.applyPolicy(bundleOf({ workload("w") }));
    add(pool, "a", 100);
    CHECK(pool.reservedSlots("s", at(0s)) == 5);
    teach(pool, "c", 100ms, at(0s));
    for (int i = 0; i < 2000; ++i) {
        const Time now = at(1s + i * 5ms);
        const RequestId id("r" + std::to_string(i));
        pool.admit(work(id.value, now), now);
        pool.release(id, SlotRelease::Answered, now + 100ms);
    }
    CHECK(pool.reservedSlots("s", at(11s)) >= 20); // 200/s of 100 ms each: 20 slots and some more.
    CHECK(pool.reservedSlots("s", at(11s)) <= 35);
    CHECK(pool.reservedSlots("s", at(300s)) == 5);
}

// Guards against long work that starves while short work never lets up.
TEST_CASE("long work starts once it has waited for max_wait")
{
    SlotPool pool;
    WorkloadPolicy policy = workload("w", 100ms);
    policy.maxWait = 5s;
    pool.applyPolicy(bundleOf({ policy }));
    add(pool, "a", 2);
    teach(pool, "c", 10ms, at(0s));
    teach(pool, "long", 1s, at(0s));
    pool.admit(work("blocker", at(2s), 1h, "long"), at(2s)); // The only long work that the reserve lets in.
    REQUIRE(pool.admit(work("heavy", at(2s), 10min, "long"), at(2s)).kind == Kind::Queue);
    std::optional<Time> startedAt;
    std::string running = "s0";
    REQUIRE(pool.admit(work(running, at(2s)), at(2s)).kind == Kind::Run);
    for (int i = 1; i < 2000 && !startedAt; ++i) {
        const Time now = at(2s + i * 10ms);
        const std::string id = "s" + std::to_string(i);
        pool.admit(work(id, now), now);
        pool.release(RequestId(running), SlotRelease::Answered, now);
        for (const SlotDecision& decision : pool.dispatch(now)) {
            if (decision.id == RequestId("heavy"))
                startedAt = now;
            else if (decision.kind == Kind::Run)
                running = decision.id.value;
        }
    }
    REQUIRE(startedAt.has_value());
    CHECK(*startedAt >= at(7s));
    CHECK(*startedAt <= at(7s + 20ms));
}

namespace {

/** Random events against a SlotPool and a plain record of what must hold. */
class RandomRun {
public:
    explicit RandomRun(std::uint64_t seed)
        : m_random(seed)
    {
        apply();
        for (int i = 0; i < 6; ++i)
            add(m_pool, "i" + std::to_string(i), 1 + pick(8));
    }

    void step()
    {
        m_now += std::chrono::microseconds(pick(3000));
        switch (pick(12)) {
        case 0:
        case 1:
        case 2:
        case 3:
            arrive();
            break;
        case 4:
        case 5:
        case 6:
            end();
            break;
        case 7:
            if (!m_waiting.empty())
                cancel();
            break;
        case 8:
            changeInstance();
            break;
        case 9:
            if (pick(50) == 0)
                apply();
            break;
        default:
            dispatch();
        }
        m_pool.checkInvariants();
        REQUIRE(m_pool.queued() == m_waiting.size());
    }

    std::size_t started() const { return m_started; }

private:
    std::uint32_t pick(std::uint32_t count) { return static_cast<std::uint32_t>(m_random() % count); }

    void apply()
    {
        WorkloadPolicy first = workload("w", std::chrono::milliseconds(10 + pick(100)));
        first.queueLimit = 5 + pick(40);
        first.maxWait = std::chrono::milliseconds(1000 + pick(1000));
        WorkloadPolicy second = workload("v", std::chrono::milliseconds(10 + pick(1000)));
        second.weight = 3;
        Bundle bundle = bundleOf(pick(4) == 0 ? std::vector { first } : std::vector { first, second });
        bundle.cell.shortReserveMax = 0.2 + 0.1 * pick(5);
        m_pool.applyPolicy(bundle);
    }

    void arrive()
    {
        const std::string id = "r" + std::to_string(++m_lastId);
        const std::string name = std::to_string(pick(6));
        const PromptWork request = work(id, m_now, std::chrono::milliseconds(5 + pick(3000)), "c" + name,
            "t" + std::to_string(pick(3)), pick(3) == 0 ? "v" : "w");
        note(m_pool.admit(request, m_now), request.deadline);
    }

    void note(const SlotDecision& decision, Time deadline)
    {
        if (decision.kind == Kind::Queue) {
            REQUIRE(m_waiting.emplace(decision.id, deadline).second);
            return;
        }
        m_waiting.erase(decision.id);
        if (decision.kind == Kind::Refuse) {
            REQUIRE(errorInfo(decision.error).outcome == Outcome::NotRun);
            return;
        }
        REQUIRE(m_running.emplace(decision.id, decision.target).second);
        REQUIRE(m_everStarted.insert(decision.id).second);
        REQUIRE(m_now < deadline);
        ++m_started;
    }

    void end()
    {
        if (m_running.empty())
            return;
        const auto it = std::next(m_running.begin(), pick(static_cast<std::uint32_t>(m_running.size())));
        REQUIRE(m_pool.targetOf(it->first) == it->second);
        const auto how = static_cast<SlotRelease>(pick(3));
        m_pool.release(it->first, how, m_now);
        if (how == SlotRelease::Lost) {
            REQUIRE(m_pool.targetOf(it->first) == it->second);
            REQUIRE(m_pool.confirmNotRunning(it->first, m_now));
        }
        m_running.erase(it);
    }

    void cancel()
    {
        const auto it = std::next(m_waiting.begin(), pick(static_cast<std::uint32_t>(m_waiting.size())));
        REQUIRE(m_pool.cancelQueued(it->first));
        m_waiting.erase(it);
    }

    void changeInstance()
    {
        const TargetId id("i" + std::to_string(pick(6)));
        switch (pick(20)) {
        case 0:
            m_pool.removeInstance(id);
            std::erase_if(m_running, [&](const auto& entry) { return entry.second == id; });
            break;
        case 1:
            m_pool.setLeaving(id);
            break;
        case 2:
            m_pool.setUsable(id, false);
            break;
        case 3: {
            const RequestId old("old" + std::to_string(++m_lastId));
            m_pool.occupy(id, old);
            if (m_pool.targetOf(old))
                m_running[old] = id;
            break;
        }
        default:
            m_pool.putInstance(instance(id.value, 1 + pick(8)));
            m_pool.setUsable(id, true);
        }
    }

    void dispatch()
    {
        for (const SlotDecision& decision : m_pool.dispatch(m_now)) {
            REQUIRE(m_waiting.contains(decision.id));
            note(decision, m_waiting.at(decision.id));
        }
    }

    SlotPool m_pool;
    std::mt19937_64 m_random;
    Time m_now = at(0s);
    std::uint64_t m_lastId = 0;
    std::size_t m_started = 0;
    std::map<RequestId, Time> m_waiting; ///< With deadlines.
    std::map<RequestId, TargetId> m_running;
    std::set<RequestId> m_everStarted;
};

} // namespace

// Guards against any sequence of events that starts a request twice, above the slots or past its deadline, or that
// loses one (SP_SEED, SP_STEPS).
TEST_CASE("random events keep the invariants")
{
    const std::uint64_t seed = test::numberFromEnvironment("SP_SEED", 1);
    const std::uint64_t steps = test::numberFromEnvironment("SP_STEPS", 100000);
    CAPTURE(seed);
    RandomRun run(seed);
    for (std::uint64_t i = 0; i < steps; ++i) {
        CAPTURE(i);
        run.step();
    }
    MESSAGE("seed " << seed << ", " << steps << " steps, " << run.started() << " starts");
}
