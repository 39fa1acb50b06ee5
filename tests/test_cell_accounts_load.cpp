#include "doctest_main.h"

#include "cell_load_world.h"
#include "fnv_hash_func.h"

using namespace sp;
using namespace sp::test;

namespace {

/** A cell with client accounts and the three queues of a ledger deployment, at a sixth of its size. */
struct AccountsTest : LoadTest {
    static constexpr int targetCount = 60;
    static constexpr Duration longObjective { 21968ms }; ///< 2.2 x 2 x (4 s + a call about 30 targets) + 1.2 s.
    static constexpr Duration quickObjective { 1530ms }; ///< 1.5 x (0.8 s + a call about 30 targets) + 250 ms.

    AccountsTest()
    {
        QueueConfig quick = config.queues[0];
        quick.id = QueueId("quick");
        quick.advisor = AdvisorTraits { 38ms, 500us, 2500ms };
        QueueConfig lasting = quick;
        lasting.id = QueueId("lasting");
        lasting.priority = 1;
        lasting.advisor = AdvisorTraits { 585ms, 8450us, 2500ms };
        QueueConfig plan = quick;
        plan.id = QueueId("long");
        plan.priority = 2;
        plan.slackFactor = 2.2;
        plan.targetLatency = 1200ms;
        plan.advisor = AdvisorTraits { 507ms, 7150us, 2500ms };
        config.queues = { quick, lasting, plan };
        for (const char* id : { "a", "b", "c", "d", "e", "f" })
            config.accounts.push_back({ AccountId(id), {}, 2, {} });
        addTargets(targetCount, { 16000, 64000, 0 });
        advisorAllows = [](const TargetId& id, const StepKey& step) {
            return fnvHash(id.value + '/' + stepText(step)) % 100 < (step.job.value.starts_with("q") ? 70U : 35U);
        };
        lengthOf = [](const CellTaskKey& key) { // Estimates are off by a factor of up to two.
            const double factor = 0.5 + static_cast<double>(fnvHash(taskText(key)) % 100) / 100;
            if (key.job.value.starts_with("r"))
                return Duration(0);
            return std::chrono::duration_cast<Duration>(factor * (key.job.value.starts_with("q") ? 800ms : 4000ms));
        };
        advisorHosts = 8;
        takeOver();
        run(200ms);
    }

    void submitLong(const std::string& id)
    {
        StepSpec first = step(16, 4500);
        first.estimate = 4s;
        first.checkpointing = true;
        StepSpec second = first;
        second.after = { 0 };
        submitTo(id, QueueId("long"), { first, second });
    }

    void submitQuick(const std::string& id)
    {
        StepSpec spec = step(10, 2200);
        spec.estimate = 800ms;
        submitTo(id, QueueId("quick"), { spec });
    }

    /**
     * Plays a minute in which account a submits at seven times its rate for 20 s, from the tenth second on.
     * @param each Called every 20 ms with the time since the start.
     */
    void playBurst(const std::function<void(Duration)>& each)
    {
        // Each account submits 0.77 quick and 0.2 long jobs a second, which together use 80% of the cores. One of them
        // submits at seven times its rate for 20 s.
        const Time begin = now;
        std::map<std::pair<int, bool>, Time> dueAt;
        for (int i = 0; i < 6; ++i) {
            dueAt[{ i, false }] = now + i * 200ms;
            dueAt[{ i, true }] = now + i * 800ms;
        }
        int number = 0;
        while (now < begin + 60s) {
            for (auto& [source, at] : dueAt) {
                const auto [index, isLong] = source;
                const bool inBurst = index == 0 && now >= begin + 10s && now < begin + 30s;
                while (at <= now) {
                    account = AccountId(std::string(1, static_cast<char>('a' + index)));
                    const std::string id = (isLong ? "l" : "q") + account.value + std::to_string(++number);
                    isLong ? submitLong(id) : submitQuick(id);
                    at += Duration(isLong ? 5s : 1300ms) / (inBurst ? 7 : 1);
                }
            }
            each(now - begin);
            runAndRecord(20ms);
        }
        runAndRecord(longObjective);
    }
};

} // namespace

// On the order by the end of the objective, the overdue jobs stayed ahead of each new one, so that all were late.
TEST_CASE_FIXTURE(AccountsTest, "after a burst that leaves overdue long jobs, new jobs of usual rate end in time")
{
    account = AccountId("a");
    for (int i = 0; i < 60; ++i) {
        submitLong("backlog" + std::to_string(i));
        runAndRecord(200ms);
    }
    runAndRecord(13s);
    // 1.1 long jobs a second use two thirds of the cores.
    for (int i = 0; i < 54; ++i) {
        account = AccountId(std::string(1, static_cast<char>('a' + i % 6)));
        submitLong("new" + std::to_string(i));
        runAndRecord(900ms);
    }
    runAndRecord(longObjective);
    CHECK(shareWithin("new", longObjective) >= 0.8);
    CHECK(violations == std::vector<std::string> {});
}

// On the order by the end of the objective, the jobs of one account's burst delayed those of all others.
TEST_CASE_FIXTURE(AccountsTest, "a burst of one account makes few jobs late that belong to others")
{
    playBurst([](Duration) {});
    for (const char* id : { "b", "c", "d", "e", "f" }) {
        CAPTURE(id);
        CHECK(shareWithin("q" + std::string(id), quickObjective) >= 0.9);
        CHECK(shareWithin("l" + std::string(id), longObjective) >= 0.9);
    }
    // What the account submits beyond its rate is refused at once while the cell is full, and nothing else is.
    int refused = 0;
    for (const auto& [id, answer] : answers) {
        if (answer != JobAnswer::Kind::Refused)
            continue;
        CHECK(id.value[1] == 'a');
        CHECK(answeredAfter.at(id.value) <= 20ms);
        CHECK(startsOf(id.value) == 0);
        ++refused;
    }
    CHECK(refused >= 5);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(AccountsTest, "an account may submit any number of jobs beyond its rate while targets are free")
{
    account = AccountId("a");
    for (int i = 0; i < 200; ++i) { // Ten times the rate of the account, with a third of the cores.
        submitQuick("q" + std::to_string(i));
        runAndRecord(50ms);
    }
    runAndRecord(3s);
    CHECK(std::none_of(
        answers.begin(), answers.end(), [](const auto& answer) { return answer.second == JobAnswer::Kind::Refused; }));
    CHECK(shareWithin("q", quickObjective) >= 0.95);
    CHECK(violations == std::vector<std::string> {});
}

// Marks and buckets are lost with the owner; the order and the shares are rebuilt from the restored jobs.
TEST_CASE_FIXTURE(AccountsTest, "a change of the owner during the burst makes few jobs late that belong to others")
{
    bool taken = false;
    playBurst([&](Duration passed) {
        if (passed >= 20s && !std::exchange(taken, true))
            takeOver();
    });
    REQUIRE(taken);
    double quick = 0;
    double plan = 0;
    for (const char* id : { "b", "c", "d", "e", "f" }) {
        quick += shareWithin("q" + std::string(id), quickObjective) / 5;
        plan += shareWithin("l" + std::string(id), longObjective) / 5;
    }
    CHECK(quick >= 0.9);
    CHECK(plan >= 0.9);
    CHECK(violations == std::vector<std::string> {});
}
