#include "doctest_main.h"

#include "cell_world.h"
#include "log_func.h"

#include <random>

using namespace sp;
using namespace sp::test;

namespace {

/** Accounts `a` and `b`, of which `a` may use four cores, in a cell with room for far more. */
struct AccountWorld : CellWorld {
    AccountWorld()
    {
        setMaximum("a", { 4000, 0, 0 });
        setMaximum("b", {});
        addTargets(4);
    }

    void begin()
    {
        takeOver();
        run(200ms);
    }

    void check() const
    {
        for (const std::string& violation : violations)
            CHECK_MESSAGE(false, violation);
    }
};

} // namespace

TEST_CASE_FIXTURE(AccountWorld, "an account runs no more than its maximum at once, and others are not held up by it")
{
    begin();
    submit("x", { step(10) }, "a");
    submit("y", { step(10) }, "b");
    submit("z", { step(10) });
    run(300ms);
    CHECK(running("x") == 4);
    CHECK(running("y") == 10);
    CHECK(running("z") == 10);
    run(5s);
    CHECK(state("x") == "completed");
    check();
}

TEST_CASE_FIXTURE(AccountWorld, "cores of tasks that fill count like those of others")
{
    begin();
    StepSpec fills = step(10);
    fills.fills = true;
    submit("x", { fills }, "a");
    run(300ms);
    CHECK(running("x") == 4);
    check();
}

// Guards against a part of a gang that waits for the rest, which its account may not run.
TEST_CASE_FIXTURE(AccountWorld, "a gang starts as a whole once its account has room for all of it")
{
    begin();
    submit("x", { step(2) }, "a");
    run(100ms);
    StepSpec gang = step(3);
    gang.gang = true;
    submit("g", { gang }, "a");
    run(200ms);
    CHECK(running("x") == 2);
    CHECK(running("g") == 0);
    run(5s);
    CHECK(state("g") == "completed");
    CHECK(startsOf("g") == 3);
    check();
}

// Guards against jobs that wait for ever.
TEST_CASE_FIXTURE(AccountWorld, "a job that its account can never run is refused at once")
{
    begin();
    submit("x", { step(1, 4001) }, "a");
    StepSpec gang = step(5);
    gang.gang = true;
    submit("y", { gang }, "a");
    submit("z", { step(1) }, "unknown");
    run(100ms);
    for (const char* id : { "x", "y", "z" })
        CHECK(answers.at(JobId(id)) == JobAnswer::Kind::Refused);
    submit("w", { step(5, 4000) }, "a");
    run(5s);
    CHECK(state("w") == "completed");
    check();
}

TEST_CASE_FIXTURE(AccountWorld, "work goes on under a lowered maximum, and nothing starts until it fits")
{
    lengthOf = [](const CellTaskKey& key) { return Duration(std::chrono::seconds(1 + key.index)); };
    begin();
    submit("x", { step(10) }, "a");
    run(300ms);
    CHECK(running("x") == 4);
    setMaximum("a", { 2000, 0, 0 });
    run(5s);
    CHECK(startsOf("x") >= 4);
    CHECK(running("x") <= 2);
    config.accounts.clear(); // The last known maximum stays in force.
    ++config.version;
    owner->setConfig(config);
    run(60s);
    CHECK(state("x") == "completed");
    check();
}

// Guards against a maximum that is forgotten with the process that knew it.
TEST_CASE_FIXTURE(AccountWorld, "a new owner takes the maximum of an account that left the configuration from records")
{
    lengthOf = [](const CellTaskKey&) { return Duration(2s); };
    begin();
    submit("x", { step(12) }, "a");
    run(300ms);
    config.accounts.clear();
    ++config.version;
    takeOver();
    run(1s);
    CHECK(running("x") == 4);
    run(10s);
    CHECK(state("x") == "completed");
    check();
}

// Guards against questions and claims that can't lead to a start and keep others from the advisor.
TEST_CASE_FIXTURE(AccountWorld, "steps of an account at its maximum ask the advisor nothing")
{
    config.queues[0].advisor = AdvisorTraits { 20ms, 1ms, 600ms };
    lengthOf = [](const CellTaskKey&) { return Duration(6s); };
    begin();
    submit("x", { step(4) }, "a");
    run(500ms);
    REQUIRE(running("x") == 4);
    const std::size_t before = questions.size();
    submit("y", { step(4) }, "a");
    run(4s);
    CHECK(questions.size() == before);
    run(10s);
    CHECK(state("y") == "completed");
    check();
}

// Guards against room that is kept for a step which may not start anyway.
TEST_CASE_FIXTURE(AccountWorld, "a step of an account at its maximum claims no room")
{
    QueueConfig urgent = config.queues[0];
    urgent.id = QueueId("urgent");
    urgent.advisor = AdvisorTraits { 2s, 0ms, 2500ms };
    config.queues.push_back(urgent);
    config.queues[0].priority = 1;
    setMaximum("a", { 8000, 0, 0 });
    advisorHosts = 1;
    lengthOf = [](const CellTaskKey& key) { return Duration(key.job == JobId("filler") ? 5s : 60s); };
    begin();
    const auto stepOn = [](const char* label, std::int64_t cores) {
        StepSpec spec = step(1, cores);
        spec.requiredLabel = label;
        return spec;
    };
    submit("filler", { stepOn("r1", 16000) });
    run(100ms);
    CellJobSpec spec;
    spec.id = JobId("x");
    spec.queue = urgent.id;
    spec.service = ServiceId("s");
    spec.account = AccountId("a");
    spec.steps = { stepOn("r1", 8000) };
    accountOf[spec.id] = spec.account;
    specs[spec.id] = spec.steps;
    owner->submit(std::move(spec), now, [](JobAnswer&&) {});
    run(5600ms); // The ticket has expired, the filler has ended, and the question that renews the ticket claims room.
    REQUIRE(running("filler") == 0);
    REQUIRE(running("x") == 0);
    REQUIRE(questions.size() == 2);
    bool atMaximum = false;
    SUBCASE("account at its maximum")
    {
        submit("y", { stepOn("r2", 8000) }, "a");
        run(100ms);
        REQUIRE(running("y") == 1);
        atMaximum = true;
    }
    SUBCASE("account with room") { run(100ms); }
    submit("z", { stepOn("r1", 16000) });
    run(300ms);
    CHECK(running("z") == (atMaximum ? 1 : 0));
    check();
}

// Guards against starts beside runs that the new owner does not count, since the record of an ended job names no task.
TEST_CASE_FIXTURE(AccountWorld, "after a take-over runs of ended jobs count until their end")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    begin();
    submit("x", { step(4) }, "a");
    run(500ms);
    REQUIRE(running("x") == 4);
    SUBCASE("targets answer, and stops take long") { stopsTake = 2s; }
    SUBCASE("targets do not answer")
    {
        for (auto& [id, target] : targets) {
            if (!target.runs.empty())
                target.reachable = false;
        }
    }
    addTargets(2); // These answer.
    cancel("x");
    run(100ms);
    takeOver();
    submit("y", { step(4) }, "a");
    run(1s);
    CHECK(running("x") == 4);
    CHECK(running("y") == 0);
    run(20s);
    CHECK(running("x") == 0);
    CHECK(running("y") == 4);
    check();
}

// Guards against starts beside recorded runs whose targets the new owner can't reach.
TEST_CASE_FIXTURE(AccountWorld, "after a take-over recorded runs count before their targets have reported")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    begin();
    submit("x", { step(4) }, "a");
    run(500ms);
    REQUIRE(running("x") == 4);
    for (auto& [id, target] : targets)
        target.reachable = false;
    addTargets(2); // These answer.
    takeOver();
    submit("y", { step(4) }, "a");
    run(4s);
    CHECK(running("x") == 4);
    CHECK(running("y") == 0);
    run(20s);
    CHECK(running("x") + running("y") == 4);
    check();
}

// Guards against runs that count for nobody, as no record names them.
TEST_CASE_FIXTURE(AccountWorld, "a reported run that no record names counts towards the account of its job")
{
    lengthOf = [](const CellTaskKey&) { return Duration(60s); };
    stopsTake = 2s;
    begin();
    submit("x", { step(4) }, "a");
    run(500ms);
    REQUIRE(running("x") == 4);
    // The records name no run of the job any more, as if its last record were lost.
    const std::string key = std::string(CellKeys::jobs) + "x";
    CellJob job;
    job.spec.id = JobId("x");
    job.spec.queue = QueueId("q");
    job.spec.account = AccountId("a");
    SUBCASE("job ended, so that the demand is not known")
    {
        job.state = JobState::Cancelled;
        store.erase(std::string(CellKeys::specs) + "x");
    }
    SUBCASE("job open")
    {
        const auto spec = decodeJobSpec(store.at(std::string(CellKeys::specs) + "x").value);
        REQUIRE(spec);
        job.spec = *spec;
        job.beginOccurrence(0);
        job.step({ JobId("x"), 0, 0 })->tasks.at(0).run = 5;
    }
    job.accountMaximum = { 4000, 0, 0 };
    store[key].value = encodeJobRecord(job);
    takeOver();
    run(300ms);
    submit("y", { step(4) }, "a");
    run(1s);
    CHECK(owner->accountsMiscounted().empty());
    CHECK(running("y") == 0);
    run(8s);
    CHECK(running("x") + running("y") == 4);
}

namespace {

/** Random jobs of accounts with small maxima under random faults; each start is checked against the maximum. */
struct RandomAccounts : CellWorld {
    std::mt19937 random;
    std::vector<std::string> jobs;
    std::set<std::string> ended; ///< Cancelled jobs.
    std::map<std::string, Resources> largest { { "a", { 6000, 9000, 0 } }, { "b", { 9000, 0, 0 } },
        { "c", { 0, 8000, 0 } } };

    explicit RandomAccounts(unsigned seed)
        : random(seed)
    {
        config.queues[0].maxAttempts = 50;
        bounds.statusKept = 1h;
        if (seed % 2 == 0)
            config.queues[0].advisor = AdvisorTraits { 20ms, 1ms, 2000ms };
        for (const auto& [id, maximum] : largest)
            setMaximum(id, maximum);
        lengthOf = [](const CellTaskKey& key) {
            return Duration(std::chrono::milliseconds(100 + std::hash<CellTaskKey>()(key) % 3000));
        };
        stopsTake = std::chrono::milliseconds(300 + 1500 * (seed % 2));
        restartKeepsId = seed % 3 == 0;
        addTargets(8);
        takeOver();
        run(200ms);
    }

    int randomBelow(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random); }

    std::string randomAccount() { return { "abc"[randomBelow(3)] }; }

    void submitRandom()
    {
        StepSpec first = step(static_cast<std::uint32_t>(1 + randomBelow(6)), 300 + randomBelow(2000));
        first.demand.memoryMb = 200 + randomBelow(1500);
        first.fills = randomBelow(5) == 0;
        first.checkpointing = randomBelow(3) == 0;
        if (randomBelow(6) == 0) {
            first.gang = true;
            first.tasks = 3;
        }
        StepSpec second = step(static_cast<std::uint32_t>(1 + randomBelow(4)), 300 + randomBelow(2000));
        second.after = { 0 };
        jobs.push_back("job-" + std::to_string(jobs.size()));
        submit(jobs.back(), { first, second }, randomAccount());
    }

    void cancelRandom()
    {
        const std::string& id = jobs[static_cast<std::size_t>(randomBelow(static_cast<int>(jobs.size())))];
        if (state(id) != "queued" && state(id) != "running")
            return;
        ended.insert(id);
        cancel(id);
        if (storeUp && randomBelow(3) == 0) {
            run(std::chrono::milliseconds(randomBelow(100)));
            takeOver(); // Runs of the job are still being stopped.
        }
    }

    void changeMaximum()
    {
        const std::string id = randomAccount();
        Resources maximum = largest.at(id);
        if (randomBelow(2) == 0) {
            maximum.coresMilli /= 2;
            maximum.memoryMb /= 2;
        }
        setMaximum(id, maximum);
    }

    void injectFault()
    {
        auto it = targets.begin();
        std::advance(it, randomBelow(static_cast<int>(targets.size())));
        WorldTarget& target = it->second;
        switch (randomBelow(12)) {
        case 0:
            target.reachable = !target.reachable;
            break;
        case 1:
            if (target.alive)
                restartTarget(target);
            break;
        case 2:
            target.loseStarts = 1 + randomBelow(3);
            break;
        case 3:
            target.ordersToDelay = 1 + randomBelow(3);
            break;
        case 4:
            target.refuseStarts = target.refuseStarts == OrderResult::Done ? OrderResult::NoRoom : OrderResult::Done;
            break;
        case 5:
            storeUp = !storeUp;
            storeRefuses = randomBelow(2) == 0;
            break;
        case 6:
            loseStoreAnswers = 1 + randomBelow(2);
            break;
        case 7:
            changeMaximum();
            break;
        case 8:
            if (target.listed)
                crash(target.entry.id);
            break;
        case 9:
            loseEveryNthCall = loseEveryNthCall == 0 ? 5 + randomBelow(20) : 0;
            break;
        default:
            if (storeUp)
                takeOver();
            break;
        }
    }

    void simulate()
    {
        for (int i = 0; i < 60; ++i) {
            submitRandom();
            if (randomBelow(5) == 0)
                cancelRandom();
            if (randomBelow(3) == 0)
                injectFault();
            run(std::chrono::milliseconds(20 + randomBelow(500)));
        }
        storeUp = true;
        storeHeardAt = now;
        loseEveryNthCall = 0;
        for (auto& [id, target] : targets) {
            target.reachable = true;
            target.loseStarts = target.ordersToDelay = 0;
            target.refuseStarts = OrderResult::Done;
        }
        for (const auto& [id, maximum] : largest)
            setMaximum(id, maximum);
        run(240s);
    }

    void checkOutcome() const
    {
        for (const std::string& violation : violations)
            CHECK_MESSAGE(false, violation);
        for (const std::string& id : jobs) {
            CAPTURE(id);
            const auto answer = answers.find(JobId(id));
            if (answer != answers.end() && answer->second == JobAnswer::Kind::Ok && !ended.contains(id))
                CHECK(state(id) == "completed");
        }
    }
};

} // namespace

// To run further scenarios: CELL_SEED=1000 CELL_DAYS=500 build/test_cell_accounts
TEST_CASE("no start brings an account above its maximum under random faults of targets, store and owner")
{
    if (std::getenv("CELL_LOG"))
        startLog("test_cell_accounts", LogSink::StandardOutput, 10000000);
    std::uint64_t denials = 0;
    for (const unsigned seed : cellSeeds(20)) {
        CAPTURE(seed);
        RandomAccounts scenario(seed);
        scenario.simulate();
        scenario.checkOutcome();
        denials += scenario.metrics.counter("sp_cell_quota_denials_total", "").value();
    }
    CHECK(denials > 0); // The maxima had an effect.
    stopLog();
}
