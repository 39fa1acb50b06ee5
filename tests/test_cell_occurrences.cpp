#include "doctest_main.h"

#include "cell_load_world.h"
#include "proto/cell.pb.h"

#include <random>

using namespace sp;
using namespace sp::test;

namespace {

/** Jobs with times in a small cell. */
struct OccurrenceTest : LoadTest {
    explicit OccurrenceTest(int count = 6)
    {
        addTargets(count);
        takeOver();
        run(100ms);
    }

    /** Submits a job whose first occurrence is due in a second. */
    void submitTimed(const std::string& id, std::uint32_t tasks, std::uint32_t occurrences,
        std::chrono::milliseconds interval, const std::vector<StepSpec>& furtherSteps = {})
    {
        submittedAt[id] = now;
        CellJobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId("q");
        spec.service = ServiceId("s");
        spec.payload = "payload";
        spec.steps = { step(tasks, 500) };
        spec.steps.insert(spec.steps.end(), furtherSteps.begin(), furtherSteps.end());
        spec.schedule = { calendarNow() + 1s, interval, occurrences };
        deliver([this, id, spec = std::move(spec)]() mutable {
            owner->submit(std::move(spec), now, [this, id](JobAnswer&& answer) { answers[JobId(id)] = answer.kind; });
        });
    }

    /** Returns how often each task of a job was started. */
    std::map<CellTaskKey, int> startsByTask(const std::string& id) const
    {
        std::map<CellTaskKey, int> count;
        for (const WorldStart& start : starts) {
            if (start.task.job == JobId(id))
                ++count[start.task];
        }
        return count;
    }

    /** Checks that each task of a job was started once and that the job is completed. */
    void checkRanOnce(const std::string& id, std::size_t tasks)
    {
        CAPTURE(id);
        CHECK(state(id) == "completed");
        CHECK(startsByTask(id).size() == tasks);
        CHECK(startsOf(id) == tasks);
        CHECK(violations == std::vector<std::string> {});
    }
};

} // namespace

// Guards against TWICE: an occurrence that ended before an earlier one was forgotten and began anew.
TEST_CASE_FIXTURE(OccurrenceTest, "occurrences that end out of order run once each")
{
    lengthOf = [](const CellTaskKey& key) { return Duration(key.occurrence % 3 == 0 ? 5s : 300ms); };
    bool takesOver = false;
    std::chrono::milliseconds clockStep { 0 };
    SUBCASE("one owner") { }
    SUBCASE("new owners") { takesOver = true; }
    SUBCASE("the time of day steps back") { clockStep = -4000ms; }
    SUBCASE("the time of day steps forward") { clockStep = 4000ms; }
    StepSpec second = step(1, 500);
    second.after = { 0 };
    submitTimed("job", 4, 8, 700ms, { second });
    submitTimed("other", 2, 12, 200ms);
    run(3s);
    calendarOffset = clockStep;
    for (int i = 0; i < 40; ++i) {
        if (takesOver && i < 8)
            takeOver();
        run(700ms);
    }
    checkRanOnce("job", 40);
    checkRanOnce("other", 24);
}

// Guards against TWICE: a dozen occurrences at work at the same time, of which the first ends last.
TEST_CASE_FIXTURE(OccurrenceTest, "the first of many overlapping occurrences may end last")
{
    lengthOf = [](const CellTaskKey& key) { return Duration(std::chrono::milliseconds(9000 - key.occurrence * 500)); };
    submitTimed("job", 3, 16, 100ms);
    run(4s);
    takeOver();
    run(20s);
    checkRanOnce("job", 48);
}

// Guards against TWICE during an upgrade of the hosts.
TEST_CASE_FIXTURE(OccurrenceTest, "a record without the count of begun occurrences begins none of them anew")
{
    lengthOf = [](const CellTaskKey& key) { return Duration(key.occurrence == 2 ? 5s : 300ms); };
    submitTimed("job", 3, 5, 700ms);
    run(3s); // Occurrences 0 and 1 have ended, 2 is at work.
    StoreKeyValue& item = store.at("cell/job/job");
    proto::CellJobRecord record;
    REQUIRE(record.ParseFromString(item.value));
    REQUIRE(record.occurrences_ended() == 2);
    record.clear_occurrences_begun();
    item.value = record.SerializeAsString();
    takeOver();
    run(15s);
    checkRanOnce("job", 15);
}
