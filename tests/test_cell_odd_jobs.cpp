#include "doctest_main.h"

#include "cell_load_world.h"

using namespace sp;
using namespace sp::test;

namespace {

/** A small cell in which jobs with the prefix `bad` do what no job should, beside ordinary ones. */
struct OddJobTest : LoadTest {
    explicit OddJobTest(int count = 8)
    {
        config.queues.front().maxAttempts = 4;
        addTargets(count);
        takeOver();
        run(200ms);
    }

    static bool isBad(const CellTaskKey& key) { return key.job.value.starts_with("bad"); }

    void submitTasks(const std::string& id, std::uint32_t tasks, std::int64_t cores)
    {
        submitTo(id, QueueId("q"), { step(tasks, cores) });
    }

    /** Submits ordinary jobs of four tasks, one each 200 ms. */
    void submitGood(int count)
    {
        for (int i = 0; i < count; ++i) {
            submitTasks("good" + std::to_string(++m_jobs), 4, 2000);
            runAndRecord(200ms);
        }
    }

private:
    int m_jobs = 0;
};

} // namespace

// Guards against LOST: the failed runs of one job shut all targets out, and other jobs waited beside idle targets.
TEST_CASE_FIXTURE(OddJobTest, "a job whose runs all fail, or make no progress, keeps no other job waiting")
{
    std::uint32_t tasks = 36;
    std::int64_t cores = 4000;
    Duration length { 400ms };
    SUBCASE("many tasks") { }
    SUBCASE("few large tasks")
    {
        tasks = 8;
        cores = 16000;
    }
    SUBCASE("small tasks that fail late")
    {
        tasks = 60;
        cores = 500;
        length = 3s;
    }
    SUBCASE("tasks that fail at once") { length = 20ms; }
    lengthOf = [length](const CellTaskKey& key) { return isBad(key) ? length : Duration(600ms); };
    failsRuns = isBad;
    submitTasks("bad", tasks, cores);
    run(300ms);
    submitGood(30);
    runAndRecord(3s);
    CHECK(shareWithin("good", 2500ms) == 1);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(OddJobTest, "many small jobs that can't be done keep no other job waiting")
{
    lengthOf = [](const CellTaskKey& key) { return isBad(key) ? 300ms : Duration(600ms); };
    failsRuns = isBad;
    for (int i = 0; i < 30; ++i)
        submitTasks("bad" + std::to_string(i), 1, 4000);
    submitGood(30);
    runAndRecord(3s);
    CHECK(shareWithin("good", 2500ms) == 1);
    CHECK(shareWithin("bad", 60s) == 0);
    CHECK(state("bad0") == "failed");
}

// The opposite of the above: the verdict on a target must still be reached.
TEST_CASE_FIXTURE(OddJobTest, "a target that fails all runs is shut out, and no job fails or waits for it")
{
    targets.at(TargetId("t3")).failsAll = true;
    SUBCASE("ordinary jobs") { submitGood(40); }
    SUBCASE("large jobs")
    {
        for (int i = 0; i < 4; ++i) {
            submitTasks("good" + std::to_string(i), 40, 2000);
            runAndRecord(1500ms);
        }
    }
    SUBCASE("two such targets")
    {
        targets.at(TargetId("t6")).failsAll = true;
        submitGood(40);
    }
    runAndRecord(5s);
    CHECK(shareWithin("good", 3s) == 1);
    std::size_t wasted = 0;
    for (const WorldStart& start : starts)
        wasted += targets.at(start.target).failsAll ? 1 : 0;
    CHECK(wasted < starts.size() / 6);
    CHECK(violations == std::vector<std::string> {});
}
