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

    /** Submits a job with many occurrences, all of which have been due for long. */
    void submitOverdue(const std::string& id, std::uint32_t tasks, std::chrono::milliseconds interval)
    {
        CellJobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId("q");
        spec.service = ServiceId("s");
        spec.payload = "payload";
        spec.steps = { step(tasks, 500) };
        spec.schedule = { CalendarTime(std::chrono::seconds(1)) - 100000 * interval, interval, 100000 };
        submittedAt[id] = now;
        owner->submit(std::move(spec), now, [this, id](JobAnswer&& answer) { answers[JobId(id)] = answer.kind; });
    }

    /** Returns the size of the largest record in the store. */
    std::size_t largestRecord() const
    {
        std::size_t largest = 0;
        for (const auto& [key, item] : store)
            largest = std::max(largest, item.value.size());
        return largest;
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

// Guards against LOST: such tasks were stopped as stalled every three seconds, and never ended.
TEST_CASE_FIXTURE(OddJobTest, "tasks that take far longer than estimated come to their end, and shut no target out")
{
    lengthOf = [](const CellTaskKey& key) { return isBad(key) ? 405s : Duration(600ms); };
    StepSpec spec = step(4, 1000);
    spec.estimate = 54s;
    submitTo("bad", QueueId("q"), { spec });
    submitGood(10);
    runAndRecord(5s);
    run(420s);
    CHECK(state("bad") == "completed");
    CHECK(startsOf("bad") <= 8); // One stop of each task tells that it only is slow.
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

// Guards against LOST: after one crash each task of the target held an idle target for itself until it ended.
TEST_CASE_FIXTURE(OddJobTest, "the tasks of a crashed target leave most idle targets to other jobs")
{
    std::int64_t cores = 1000;
    std::uint32_t tasks = 40;
    int crashes = 1;
    bool takesOver = false;
    SUBCASE("one crash") { }
    SUBCASE("smaller tasks")
    {
        cores = 500;
        tasks = 80;
    }
    SUBCASE("two crashes") { crashes = 2; }
    SUBCASE("a new owner after the crash") { takesOver = true; }
    for (int i = 1; i <= 4; ++i)
        targets.at(TargetId("t" + std::to_string(i))).entry.rack = RackId("near");
    list();
    lengthOf = [](const CellTaskKey& key) { return isBad(key) ? 40s : Duration(2s); };
    StepSpec spec = step(tasks, cores);
    spec.estimate = 40s;
    spec.nearRack = RackId("near");
    submitTo("bad", QueueId("q"), { spec });
    for (int i = 0; i < crashes; ++i) {
        run(500ms);
        crash(TargetId("t" + std::to_string(i + 2)));
    }
    run(3s);
    if (takesOver) {
        takeOver();
        run(1s);
    }
    for (int i = 0; i < 4; ++i) {
        StepSpec large = step(2, 8000);
        large.estimate = 2s;
        submitTo("good" + std::to_string(i), QueueId("q"), { large });
        runAndRecord(3s);
    }
    runAndRecord(5s);
    CHECK(shareWithin("good", 5s) == 1);
    CHECK(violations == std::vector<std::string> {});
}

// The opposite of the above: the task that crashes its targets must still be found among all that ran beside it.
TEST_CASE_FIXTURE(OddJobTest, "a task that crashes its targets is given up, whatever ran beside it")
{
    std::int64_t cores = 1000;
    SUBCASE("many neighbours") { cores = 500; }
    SUBCASE("some neighbours") { cores = 2000; }
    SUBCASE("few neighbours") { cores = 5000; }
    lengthOf = [](const CellTaskKey& key) { return isBad(key) ? 20s : Duration(2s); };
    crashesTarget = [](const CellTaskKey& key) { return isBad(key) && key.index == 3; };
    submitTasks("bad", static_cast<std::uint32_t>(64000 / cores), cores);
    submitGood(20);
    runAndRecord(30s);
    const CellTaskKey culprit { JobId("bad"), 0, 0, 3 };
    CHECK(state("bad") == "failed");
    CHECK(crashesUnder[culprit] <= 3);
    CHECK(shareWithin("good", 60s) == 1);
    CHECK(violations == std::vector<std::string> {});
}

// Guards against LOST: one job with overdue times made a record that the store refuses, and no other was saved after
// it.
TEST_CASE_FIXTURE(OddJobTest, "a job with many overdue occurrences keeps no other job from being stored and started")
{
    std::uint32_t tasks = 1;
    std::chrono::milliseconds interval { 60000 };
    bool takesOver = false;
    SUBCASE("one task each") { }
    SUBCASE("many tasks each") { tasks = 48; }
    SUBCASE("all due at the same time") { interval = 0ms; }
    SUBCASE("under new owners") { takesOver = true; }
    lengthOf = [](const CellTaskKey& key) { return isBad(key) ? 300ms : Duration(600ms); };
    submitGood(4);
    submitOverdue("bad", tasks, interval);
    for (int i = 0; i < 6; ++i) {
        submitGood(5);
        CHECK(running("bad") < 128); // Less than half of the targets, which hold 256.
        if (takesOver)
            takeOver();
        runAndRecord(500ms);
    }
    runAndRecord(3s);
    CHECK(answers[JobId("bad")] == JobAnswer::Kind::Ok);
    CHECK(state("bad") == "running");
    CHECK(shareWithin("good", takesOver ? 6s : 2500ms) == 1);
    CHECK(largestRecord() < 100000);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(OddJobTest, "a job that the store can't hold is refused, and others are stored beside it")
{
    storeValueBytes = 4000;
    lengthOf = [](const CellTaskKey&) { return Duration(600ms); };
    submitGood(2);
    for (int i = 0; i < 5; ++i) {
        submitTasks("bad" + std::to_string(i), 5000, 100);
        submitGood(2);
    }
    runAndRecord(3s);
    for (int i = 0; i < 5; ++i) {
        CHECK(answers[JobId("bad" + std::to_string(i))] == JobAnswer::Kind::Refused);
        CHECK(startsOf("bad" + std::to_string(i)) == 0);
    }
    CHECK(shareWithin("good", 2500ms) == 1);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(OddJobTest, "a job whose record would outgrow the store runs as far as the record can hold it")
{
    storeValueBytes = 3000;
    SUBCASE("the size of a value is known")
    {
        bounds.valueBytes = storeValueBytes;
        takeOver();
    }
    SUBCASE("the store accepts less than it says") { }
    lengthOf = [](const CellTaskKey&) { return Duration(600ms); };
    submitGood(2);
    submitTasks("bad", 200, 500);
    submitGood(30);
    runAndRecord(20s);
    CHECK(shareWithin("good", 2500ms) == 1);
    if (bounds.valueBytes == storeValueBytes) {
        CHECK(answers[JobId("bad")] == JobAnswer::Kind::Ok);
        CHECK(state("bad") == "completed");
    }
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(OddJobTest, "a stored job whose record the store refuses waits, and no other job does")
{
    storeValueBytes = 1500; // The first step fits into the record, the runs of the second one do not.
    lengthOf = [](const CellTaskKey&) { return Duration(600ms); };
    StepSpec wide = step(200, 500);
    wide.after = { 0 };
    submitTo("bad", QueueId("q"), { step(1), wide });
    submitGood(10);
    takeOver();
    run(1s);
    submitGood(30);
    runAndRecord(3s);
    CHECK(answers[JobId("bad")] == JobAnswer::Kind::Ok);
    CHECK(state("bad") == "running");
    CHECK(shareWithin("good", 2500ms) == 1);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(
    OddJobTest, "jobs of many tasks are refused before they take the memory of the owner, small ones are not")
{
    bounds.taskBudget = 20000;
    takeOver();
    run(200ms);
    lengthOf = [](const CellTaskKey&) { return Duration(600ms); };
    for (int i = 0; i < 30; ++i) {
        submitTasks("bad" + std::to_string(i), 2000, 100);
        submitGood(1);
    }
    runAndRecord(3s);
    int accepted = 0;
    for (int i = 0; i < 30; ++i)
        accepted += answers[JobId("bad" + std::to_string(i))] == JobAnswer::Kind::Ok ? 1 : 0;
    CHECK(accepted > 5);
    CHECK(accepted < 30);
    CHECK(answers[JobId("good30")] == JobAnswer::Kind::Ok);
    CHECK(violations == std::vector<std::string> {});
}

namespace {

/** A cell with two client accounts and an advisor; the last target is alone in its rack. */
struct RackTest : OddJobTest {
    RackTest()
        : OddJobTest(5)
    {
        config.queues.front().advisor = AdvisorTraits { 32500us, 455us, 2500ms };
        QueueConfig urgent = config.queues.front();
        urgent.id = QueueId("urgent");
        config.queues.front().priority = 2;
        config.queues.push_back(urgent);
        setMaximum("first", {});
        setMaximum("second", {});
        takeOver();
        run(200ms);
    }

    void submitUrgent(const std::string& label)
    {
        StepSpec spec = step(57, 6700);
        spec.estimate = 2s;
        spec.requiredLabel = label;
        account = AccountId("first");
        submitTo("bad", QueueId("urgent"), { spec });
        run(1s);
    }
};

} // namespace

// Guards against LOST: the forecast gave an urgent step the room of targets that can't run it, and the advisor was not
// asked for the steps behind it.
TEST_CASE_FIXTURE(RackTest, "an urgent job that waits for its rack leaves the other targets to other jobs")
{
    lengthOf = [](const CellTaskKey&) { return Duration(2s); };
    std::string label = "r5";
    AccountId other("second");
    bool takesOver = false;
    SUBCASE("of another account") { }
    SUBCASE("of the same account") { other = AccountId("first"); }
    SUBCASE("a new owner") { takesOver = true; }
    SUBCASE("its only target is lost")
    {
        submitUrgent("r5");
        label.clear();
        restartDelay = 60s;
        crash(TargetId("t5"));
    }
    SUBCASE("the advisor allows only one target")
    {
        label = "a";
        advisorAllows = [](const TargetId& id, const StepKey& key) {
            return !key.job.value.starts_with("bad") || id == TargetId("t5");
        };
    }
    if (!label.empty())
        submitUrgent(label);
    if (takesOver) {
        takeOver();
        run(500ms);
    }
    account = other;
    for (int i = 0; i < 6; ++i) {
        StepSpec spec = step(4, 2000);
        spec.estimate = 2s;
        submitTo("good" + std::to_string(i), QueueId("q"), { spec });
        runAndRecord(1s);
    }
    runAndRecord(4s);
    CHECK(shareWithin("good", 4s) == 1);
    CHECK(violations == std::vector<std::string> {});
}
