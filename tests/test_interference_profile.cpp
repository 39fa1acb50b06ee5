#include "doctest_main.h"

#include "interference_profile.h"

#include "cell_load_world.h"

#include <cmath>
#include <random>

using namespace sp;
using namespace sp::test;

namespace {

/** Runs of some images on many targets, beside others at random. */
struct InterferenceTest {
    InterferenceProfile profile;
    std::mt19937 random { 11 }; // A fixed seed, so that a failure can be repeated.
    Time now { 1h };
    std::uint32_t a = profile.imageNumber("a", now);
    std::uint32_t b = profile.imageNumber("b", now);
    std::uint32_t c = profile.imageNumber("c", now);
    double estimateError = 1; ///< Estimates are off by up to this factor, in both directions.
    std::uint32_t targetCount = 100;
    double effect = 0; ///< Logarithm by which the run time of a grows beside b.
    double loadEffect = 0; ///< Logarithm by which every run time grows on a full target.

    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); }

    /** Records jobs of ten tasks each, of all images in turn; one run in thirty takes seven times as long. */
    void runJobs(int jobs)
    {
        const std::array images { a, b, c };
        for (int job = 0; job < jobs; ++job) {
            const double error = uniform(-1, 1) * std::log(estimateError);
            for (int task = 0; task < 10; ++task) {
                ExposedRun run;
                run.image = images[static_cast<std::size_t>(job) % images.size()];
                run.target = static_cast<std::uint32_t>(uniform(0, targetCount));
                run.load = uniform(0.2, 0.5);
                for (const std::uint32_t other : images) {
                    run.beside[other] = uniform(0, 1) < 0.3 ? uniform(0.5, 1) : 0;
                    run.load += run.beside[other] > 0 ? 0.15 : 0;
                }
                const bool slowed = run.image == a && run.beside[b] > 0;
                const double straggles = uniform(0, 30) < 1 ? 1 : 0;
                run.residual = std::clamp(
                    error + straggles + uniform(-0.1, 0.1) + (slowed ? effect : 0) + loadEffect * run.load, -1.0, 1.0);
                profile.record(run, now);
            }
            now += 20ms;
        }
    }
};

/** Jobs of an image whose runs take 1.8 times as long if they start beside another image, whose runs take long. */
struct InterferingJobsTest : LoadTest {
    int startsBeside = 0; ///< Starts of the slowed image beside the other one.
    int startsAlone = 0;
    bool interferes = true;
    int jobCount = 0;

    InterferingJobsTest()
    {
        slowdownOf = [this](const CellTaskKey& key, const WorldTarget& target) {
            if (!key.job.value.starts_with("a"))
                return 1.0;
            const bool beside = std::any_of(target.runs.begin(), target.runs.end(),
                [](const auto& run) { return run.first.job.value.starts_with("b"); });
            ++(beside ? startsBeside : startsAlone);
            return beside && interferes ? 1.8 : 1.0;
        };
        lengthOf = [](const CellTaskKey& key) { return Duration(key.job.value.starts_with("b") ? 5000ms : 500ms); };
    }

    void submitJobs(Duration duration)
    {
        for (const Time end = now + duration; now < end; ++jobCount) {
            StepSpec slowed = step(10, 2000);
            slowed.image = "image-a";
            submitTo("a" + std::to_string(jobCount), QueueId("q"), { slowed });
            StepSpec other = step(8, 4000);
            other.image = "image-b";
            other.estimate = 5s;
            if (jobCount % 10 == 0)
                submitTo("b" + std::to_string(jobCount), QueueId("q"), { other });
            runAndRecord(200ms);
        }
    }

    /** Returns the share of starts of the slowed image beside the other one while more jobs are submitted. */
    double shareBeside(Duration duration)
    {
        startsBeside = startsAlone = 0;
        submitJobs(duration);
        return static_cast<double>(startsBeside) / static_cast<double>(startsBeside + startsAlone);
    }
};

} // namespace

TEST_CASE_FIXTURE(InterferenceTest, "a pair that interferes is found within a bounded number of runs, in its direction")
{
    effect = std::log(1.6);
    runJobs(150); // 500 runs of each image, some 150 of them beside another one.
    CHECK(profile.pairCount() == 1);
    CHECK(profile.conflicts(a)[b]);
    CHECK(profile.conflicts(b)[a]);
    CHECK_FALSE(profile.conflicts(a)[c]);
    ImageExposure beside {};
    beside[b] = 1;
    CHECK(profile.knownEffect(a, beside) == doctest::Approx(effect).epsilon(0.3));
    beside[a] = 1;
    CHECK(profile.knownEffect(b, beside) == 0);
}

// Guards against pairs found in noise: estimates off by a factor of two, stragglers, and the load of the target.
TEST_CASE_FIXTURE(InterferenceTest, "noise and load alone yield no pair")
{
    estimateError = 2;
    loadEffect = 0.5;
    for (int i = 0; i < 300; ++i) {
        runJobs(20);
        REQUIRE(profile.pairCount() == 0);
    }
}

TEST_CASE_FIXTURE(InterferenceTest, "a pair on too few targets does not count")
{
    effect = std::log(1.6);
    targetCount = 3;
    runJobs(600);
    CHECK(profile.pairCount() == 0);
}

TEST_CASE_FIXTURE(InterferenceTest, "a pair is forgotten when its effect ends, or when it was not seen for some time")
{
    effect = std::log(1.6);
    runJobs(150);
    REQUIRE(profile.pairCount() == 1);
    effect = 0;
    runJobs(1500);
    CHECK(profile.pairCount() == 0);
    effect = std::log(1.6);
    runJobs(1500);
    REQUIRE(profile.pairCount() == 1);
    now += 121s;
    profile.forgetUnseen(now);
    CHECK(profile.pairCount() == 0);
    CHECK_FALSE(profile.conflicts(a)[b]);
}

TEST_CASE_FIXTURE(InterferenceTest, "images give up their numbers when they were not seen for long")
{
    effect = std::log(1.6);
    runJobs(150);
    REQUIRE(profile.pairCount() == 1);
    for (int i = 0; i < 100; ++i)
        profile.imageNumber("other-" + std::to_string(i), now);
    CHECK(profile.imageNumber("one more", now) == 0);
    CHECK(profile.imageNumber("a", now) == a);
    now += 601s;
    CHECK(profile.imageNumber("one more", now) != 0);
    CHECK(profile.pairCount() == 0);
}

TEST_CASE("exposure counts the time that runs had in common")
{
    const Time start { 1h };
    ImageExposure exposure {};
    addExposure(exposure, { 1, start + 500ms, start + 2s }, start, start + 1s);
    addExposure(exposure, { 2, start - 1s, start }, start, start + 1s);
    CHECK(exposure[1] == doctest::Approx(0.5));
    CHECK(exposure[2] == 0);
    NeighbourHistory history;
    history.add({ 1, start, start + 250ms });
    history.addExposure(exposure, start, start + 1s);
    CHECK(exposure[1] == doctest::Approx(0.75));
}

// Placement spread load over all targets, whatever ran there.
TEST_CASE_FIXTURE(InterferingJobsTest, "images that slow each other down are kept apart while there is room")
{
    addTargets(20);
    takeOver();
    run(200ms);
    const double before = shareBeside(5s);
    submitJobs(25s);
    const double after = shareBeside(20s);
    CHECK(before >= 0.3);
    CHECK(after <= 0.3 * before);
    CHECK(metrics.gauge("sp_cell_interfering_pairs", {}).value() == 1);
    runAndRecord(3s);
    CHECK(shareWithin("a", 10s) == 1);
    CHECK(violations == std::vector<std::string> {});
}

TEST_CASE_FIXTURE(InterferingJobsTest, "images that do not interfere are placed as before")
{
    interferes = false;
    addTargets(20);
    takeOver();
    run(200ms);
    const double before = shareBeside(5s);
    submitJobs(25s);
    CHECK(shareBeside(20s) >= 0.7 * before);
    CHECK(metrics.gauge("sp_cell_interfering_pairs", {}).value() == 0);
}

// Guards against tasks that wait for a target without a conflict: one target has room for everything.
TEST_CASE_FIXTURE(InterferingJobsTest, "without room elsewhere, tasks are placed beside images that slow them down")
{
    addTargets(20);
    takeOver();
    run(200ms);
    submitJobs(30s);
    REQUIRE(metrics.gauge("sp_cell_interfering_pairs", {}).value() == 1);
    runAndRecord(3s);
    for (auto& [id, target] : targets)
        target.listed = id == TargetId("t1");
    run(1s);
    StepSpec other = step(2, 4000);
    other.image = "image-b";
    submitTo("b-last", QueueId("q"), { other });
    run(200ms);
    StepSpec slowed = step(4, 2000);
    slowed.image = "image-a";
    submitTo("a-last", QueueId("q"), { slowed });
    run(100ms);
    CHECK(running("b-last") == 2);
    CHECK(running("a-last") == 4);
}

TEST_CASE_FIXTURE(InterferingJobsTest, "a new owner finds the pair again and refuses nothing meanwhile")
{
    addTargets(20);
    takeOver();
    run(200ms);
    submitJobs(30s);
    REQUIRE(metrics.gauge("sp_cell_interfering_pairs", {}).value() == 1);
    takeOver();
    submitJobs(30s);
    CHECK(metrics.gauge("sp_cell_interfering_pairs", {}).value() == 1);
    CHECK(std::all_of(
        answers.begin(), answers.end(), [](const auto& entry) { return entry.second == JobAnswer::Kind::Ok; }));
}
