#include "doctest_main.h"

#include "run_time_profile.h"

#include <cmath>
#include <random>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** Targets of given speeds, on which jobs of ten tasks run at random; one run in thirty takes seven times as long. */
struct ProfileTest {
    static constexpr const char* group = "queue q";
    RunTimeProfile profile;
    std::vector<TargetSpeed> targets;
    std::vector<double> speeds;
    std::mt19937 random { 7 }; // A fixed seed, so that a failure can be repeated.
    Time now { 1h };
    double estimateError = 1; ///< Estimates are off by up to this factor, in both directions.

    void add(double speed, const std::string& kind)
    {
        targets.emplace_back();
        targets.back().kind = profile.kindNumber(kind);
        speeds.push_back(speed);
    }

    double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); }

    /** Lets jobs run on the first targets. */
    void runJobs(int jobs, std::size_t targetCount)
    {
        for (int job = 0; job < jobs; ++job) {
            const double error = std::exp(uniform(-1, 1) * std::log(estimateError));
            for (int task = 0; task < 10; ++task) {
                const auto at = static_cast<std::size_t>(uniform(0, static_cast<double>(targetCount)));
                const double straggles = uniform(0, 30) < 1 ? 7 : 1;
                profile.record(group, targets[at], error * straggles * uniform(1, 1.2) / speeds[at], now);
            }
            now += 20ms;
        }
    }

    const SpeedOutlook& outlook()
    {
        now += 1s; // The last one is too old then.
        return profile.outlook(
            ServiceId("s"), group,
            [&] {
                std::vector<TargetSpeed*> all;
                for (TargetSpeed& target : targets)
                    all.push_back(&target);
                return all;
            },
            now);
    }

    std::optional<SpeedPreference> preference(bool urgent = true, double slackFactor = 1.5, bool lasting = false)
    {
        return SpeedPreference::make(outlook(), { slackFactor, 1.5, urgent, lasting });
    }

    /** Adds targets of which one in three is fast. */
    void addUnlike(int count, bool speedFollowsKind)
    {
        for (int i = 0; i < count; ++i)
            add(i % 3 == 0 ? 1.7 : 0.7, "kind-" + std::to_string(speedFollowsKind ? i % 3 : i / 3 % 3));
    }

    /** Returns the share of targets that are judged by their true speed to be too slow or not. */
    double judgedRightly()
    {
        const auto found = preference();
        double right = 0;
        for (std::size_t i = 0; found && i < targets.size(); ++i)
            right += found->tooSlow(targets[i]) == (speeds[i] < 1) ? 1 : 0;
        return right / static_cast<double>(targets.size());
    }
};

} // namespace

// Guards against learning that needs each target to be seen: of 3,500 targets only 100 have run anything.
TEST_CASE_FIXTURE(ProfileTest, "the speed of a kind is learned from few targets and holds for those never seen")
{
    addUnlike(3500, true);
    CHECK_FALSE(preference());
    runJobs(50, 100);
    CHECK(judgedRightly() == 1);
}

TEST_CASE_FIXTURE(ProfileTest, "the speed of targets is learned one by one if it does not follow their kind")
{
    addUnlike(300, false);
    runJobs(300, 300); // Ten runs on each target.
    CHECK(judgedRightly() >= 0.95);
}

// Guards against decisions that follow noise: estimates off by a factor of two, stragglers, many targets.
TEST_CASE_FIXTURE(ProfileTest, "kinds that are plain labels never cause a preference")
{
    for (int i = 0; i < 350; ++i)
        add(1, "kind-" + std::to_string(i % 4));
    estimateError = 2;
    for (int i = 0; i < 200; ++i) {
        runJobs(10, targets.size());
        REQUIRE_FALSE(preference());
        REQUIRE_FALSE(preference(false, 2.2));
    }
}

TEST_CASE_FIXTURE(ProfileTest, "kinds are told apart although estimates are off by a factor of two")
{
    addUnlike(350, true);
    estimateError = 2;
    runJobs(200, targets.size());
    CHECK(judgedRightly() >= 0.95);
}

TEST_CASE_FIXTURE(ProfileTest, "urgent work prefers fast targets, less urgent work leaves them while others have room")
{
    addUnlike(60, true);
    runJobs(200, targets.size());
    const TargetSpeed& fast = targets[0];
    const TargetSpeed& slow = targets[1];
    // The load of a target costs at most 1, so that a difference of 1 comes before load.
    const auto urgent = preference();
    REQUIRE(urgent);
    CHECK(urgent->placementCost(slow) >= urgent->placementCost(fast) + 1);
    CHECK(urgent->adviceWeight(fast) > urgent->adviceWeight(slow));
    for (const bool lasting : { false, true }) {
        const auto other = preference(false, 2.2, lasting);
        REQUIRE(other);
        CHECK(other->placementCost(fast) >= other->placementCost(slow) + 1);
        CHECK(other->adviceWeight(fast) < other->adviceWeight(slow));
        CHECK_FALSE(other->tooSlow(slow));
    }
}

TEST_CASE_FIXTURE(ProfileTest, "less urgent work does not go where it would miss its own objective")
{
    addUnlike(60, true);
    runJobs(200, targets.size());
    const auto tight = preference(false, 1.2); // Slow targets take 1.6 times as long as estimated.
    REQUIRE(tight);
    CHECK(tight->tooSlow(targets[1]));
    CHECK(tight->placementCost(targets[1]) > tight->placementCost(targets[0]));
    CHECK(tight->adviceWeight(targets[1]) < tight->adviceWeight(targets[0]));
}

// Guards against long work that crowds on a few slow targets to leave many fast ones to a little urgent work.
TEST_CASE_FIXTURE(ProfileTest, "fast targets are not left to urgent work if nearly all are fast")
{
    for (int i = 0; i < 100; ++i)
        add(i % 6 == 0 ? 0.5 : 1.5, i % 6 == 0 ? "slow" : "fast");
    runJobs(300, targets.size());
    const auto other = preference(false, 2.2);
    REQUIRE(other);
    CHECK(other->placementCost(targets[1]) <= other->placementCost(targets[0]));
}

// Guards against urgent work that crowds on a few very fast targets although it is in time on all.
TEST_CASE_FIXTURE(ProfileTest, "nothing changes while all targets are fast enough for urgent work")
{
    for (int i = 0; i < 100; ++i)
        add(i % 5 == 0 ? 2.5 : 1.2, i % 5 == 0 ? "very fast" : "fast");
    runJobs(300, targets.size());
    CHECK_FALSE(preference());
    CHECK_FALSE(preference(false, 2.2));
}

TEST_CASE_FIXTURE(ProfileTest, "what was learned follows changes and is forgotten after a time without runs")
{
    addUnlike(60, false);
    runJobs(120, targets.size());
    CHECK(judgedRightly() >= 0.95);
    for (double& speed : speeds)
        speed = speed < 1 ? 1.7 : 0.7;
    runJobs(600, targets.size());
    CHECK(judgedRightly() >= 0.95);
    now += 61s;
    CHECK_FALSE(preference());
}

TEST_CASE_FIXTURE(ProfileTest, "the profile keeps few entries however many images and kinds there are")
{
    for (int i = 0; i < 2000; ++i) {
        add(1, "kind-" + std::to_string(i));
        for (int run = 0; run < 3; ++run)
            profile.record("image " + std::to_string(i), targets.back(), 1, now);
    }
    CHECK(profile.groupCount() <= 64);
    CHECK_FALSE(preference());
}
