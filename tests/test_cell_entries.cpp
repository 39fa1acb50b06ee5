#include "doctest_main.h"

#include "cell_load_world.h"

#include <random>

using namespace sp;
using namespace sp::test;

namespace {

/** Entries of another writer beside those of healthy targets, which all run tasks. */
struct ForeignEntryTest : LoadTest {
    explicit ForeignEntryTest(int count = 6)
    {
        addTargets(count);
        lengthOf = [](const CellTaskKey&) { return Duration(5s); };
        takeOver();
        run(200ms);
    }

    /** Adds an entry on the machine of a target, with a later start time; nothing answers under its id. */
    WorldTarget& addForeignEntry(const std::string& id, const TargetId& machineOf)
    {
        WorldTarget foreign;
        foreign.entry = targets.at(machineOf).entry;
        foreign.entry.id = TargetId(id);
        foreign.entry.bornAt += 1h;
        foreign.entry.address = "nowhere";
        foreign.entry.service = ServiceId("unknown");
        foreign.alive = false;
        return targets.emplace(foreign.entry.id, foreign).first->second;
    }

    void submitLong(const std::string& id, std::uint32_t tasks)
    {
        StepSpec spec = step(tasks, 2000);
        spec.estimate = 5s;
        submitTo(id, QueueId("q"), { spec });
    }
};

/** Foreign entries of many forms that come and go beside jobs and new owners. */
struct RandomEntries : ForeignEntryTest {
    explicit RandomEntries(unsigned seed)
        : ForeignEntryTest(6)
        , m_random(seed)
    {
        lengthOf = [](const CellTaskKey& key) {
            return Duration(std::chrono::milliseconds(200 + std::hash<CellTaskKey>()(key) % 4000));
        };
    }

    void play()
    {
        std::map<std::string, std::uint32_t> tasksOf;
        for (int i = 0; i < 60; ++i) {
            const std::string id = "job" + std::to_string(i);
            tasksOf[id] = static_cast<std::uint32_t>(1 + below(6));
            submitLong(id, tasksOf[id]);
            changeEntries();
            if (below(12) == 0)
                takeOver();
            run(std::chrono::milliseconds(50 + below(500)));
        }
        run(40s);
        for (const auto& [id, tasks] : tasksOf) {
            const auto answer = answers.find(JobId(id));
            if (answer == answers.end() || answer->second != JobAnswer::Kind::Ok)
                continue;
            CHECK(state(id) == "completed");
            CHECK(startsOf(id) == tasks);
        }
        CHECK(violations == std::vector<std::string> {});
    }

private:
    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }

    void changeEntries()
    {
        if (m_foreign.size() > 4 && below(2) == 0) {
            targets.at(m_foreign.back()).listed = false;
            m_foreign.pop_back();
            return;
        }
        const TargetId healthy("t" + std::to_string(1 + below(6)));
        WorldTarget& foreign = addForeignEntry("x" + std::to_string(++m_count), healthy);
        const int form = below(64);
        foreign.entry.service = ServiceId((form & 1) != 0 ? "s" : "unknown");
        foreign.entry.bornAt += (form & 2) != 0 ? std::chrono::hours(-2) : std::chrono::hours(20);
        foreign.entry.draining = (form & 4) != 0;
        if ((form & 8) != 0)
            foreign.entry.capacity = { 1000000000, 1000000000, 1000 };
        if ((form & 16) != 0) { // Another target answers at its address, that it is not the one called.
            foreign.alive = foreign.answersForAnother = true;
            foreign.entry.address = targets.at(healthy).entry.address;
        }
        if ((form & 32) != 0)
            foreign.entry.dataCentre = DataCentreId("elsewhere");
        m_foreign.push_back(foreign.entry.id);
    }

    std::mt19937 m_random;
    std::vector<TargetId> m_foreign;
    int m_count = 0;
};

} // namespace

// Guards against TWICE: the runs of a healthy target were given up for an entry with a later start on its machine.
TEST_CASE_FIXTURE(ForeignEntryTest, "an entry of another writer on a target's machine takes none of its runs away")
{
    bool ownService = false;
    bool answered = false;
    SUBCASE("of an unknown service") { }
    SUBCASE("of the same service") { ownService = true; }
    SUBCASE("with the address of the target") { answered = true; }
    submitLong("job", 12);
    run(500ms);
    REQUIRE(startsOf("job") == 12);
    for (int i = 1; i <= 6; ++i) {
        const TargetId healthy("t" + std::to_string(i));
        WorldTarget& foreign = addForeignEntry("x" + std::to_string(i), healthy);
        if (ownService)
            foreign.entry.service = ServiceId("s");
        foreign.alive = foreign.answersForAnother = answered;
    }
    run(2s);
    takeOver();
    run(10s);
    CHECK(startsOf("job") == 12);
    CHECK(state("job") == "completed");
    CHECK(metrics.counter("sp_cell_task_crashes_total", "").value() == 0);
    CHECK(violations == std::vector<std::string> {});
}

// Guards against a later incarnation being noticed only once the lease of the former one is over.
TEST_CASE_FIXTURE(ForeignEntryTest, "tasks of a crashed target are placed again as soon as a new incarnation reports")
{
    restartDelay = 1s;
    submitLong("job", 12);
    run(2500ms); // The tasks are not suspected of the crash.
    crash(TargetId("t1"));
    run(1800ms); // A list every 700 ms, and a call.
    CHECK(startsOf("job") == 14);
    CHECK(violations == std::vector<std::string> {});
}

// Guards against work that waits for good since entries of another writer made its data centre seem unreachable.
TEST_CASE_FIXTURE(ForeignEntryTest, "entries under which nothing answers do not close their data centre")
{
    for (auto& [id, target] : targets) {
        const bool near = id <= TargetId("t3");
        target.entry.dataCentre = DataCentreId(near ? "near" : "far");
        target.entry.labels = { near ? "near" : "far", "r" };
    }
    for (int i = 1; i <= 3; ++i)
        addForeignEntry("x" + std::to_string(i), TargetId("t" + std::to_string(i)));
    run(10s);
    StepSpec spec = step(3, 2000);
    spec.requiredLabel = "near";
    submitTo("job", QueueId("q"), { spec });
    run(1s);
    CHECK(startsOf("job") == 3);
}

// Guards against work that waits for good since a target that was down made its idle data centre seem unreachable.
TEST_CASE_FIXTURE(ForeignEntryTest, "an idle data centre in which one target is down stays open")
{
    restartDelay = 60s;
    for (auto& [id, target] : targets) {
        const bool near = id <= TargetId("t3");
        target.entry.dataCentre = DataCentreId(near ? "near" : "far");
        target.entry.labels = { near ? "near" : "far", "r" };
    }
    StepSpec spec = step(1, 2000);
    spec.requiredLabel = "near";
    run(1s);
    submitTo("first", QueueId("q"), { spec });
    run(1s);
    for (int i = 1; i <= 3; ++i) {
        const TargetId id("t" + std::to_string(i));
        if (!targets.at(id).runs.empty())
            crash(id);
    }
    run(20s);
    submitTo("job", QueueId("q"), { spec });
    run(500ms);
    CHECK(startsOf("job") == 1);
}

// Guards against a job that is accepted for the capacity that an entry of another writer claims, and waits for good.
TEST_CASE_FIXTURE(ForeignEntryTest, "a job that fits only what a target that never answered claims is refused")
{
    addForeignEntry("x", TargetId("t1")).entry.service = ServiceId("s");
    targets.at(TargetId("x")).entry.capacity = { 1000000000, 1000000000, 1000 };
    run(3s);
    submitTo("large", QueueId("q"), { step(1, 100000) });
    submitTo("small", QueueId("q"), { step(1, 2000) });
    run(1s);
    CHECK(answers[JobId("large")] == JobAnswer::Kind::Refused);
    CHECK(answers[JobId("small")] == JobAnswer::Kind::Ok);
}

// To play further seeds: CELL_SEED=1000 CELL_DAYS=500 build/test_cell_entries
TEST_CASE("entries of another writer that come and go change nothing for the jobs")
{
    for (const unsigned seed : cellSeeds(25)) {
        CAPTURE(seed);
        RandomEntries(seed).play();
    }
}
