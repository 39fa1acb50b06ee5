#include "doctest_main.h"

#include "run_time_estimate.h"

#include <cmath>
#include <random>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** Learns steps whose run times and estimates deviate by the given factors (standard deviations of the logarithms). */
RunTimeEstimates learned(double spread, double errorSpread, Duration typical, double bias = 1)
{
    RunTimeEstimates estimates;
    std::mt19937 random(7);
    std::normal_distribution<double> normal;
    for (int i = 0; i < 400; ++i) {
        const double seconds = std::chrono::duration<double>(typical).count() * std::exp(spread * normal(random));
        const double guess = seconds / bias * std::exp(errorSpread * normal(random));
        estimates.learn("group", std::chrono::milliseconds(std::llround(1000 * guess)),
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
    }
    return estimates;
}

} // namespace

// Estimates that are off by a factor of two make a job that can be in time look hopeless, and the reverse.
TEST_CASE("a rough estimate hardly moves the run time that a group usually has")
{
    const RunTimeEstimates estimates = learned(0.2, 1.2, 6s);
    CHECK(estimates.expected("group", 600ms) > 4500ms);
    CHECK(estimates.expected("group", 60s) < 8s);
}

TEST_CASE("exact estimates decide alone, and a constant error of theirs is corrected")
{
    const RunTimeEstimates exact = learned(0.8, 0.01, 6s);
    CHECK(std::abs((exact.expected("group", 2s) - 2s).count()) < 100);
    CHECK(std::abs((exact.expected("group", 20s) - 20s).count()) < 1000);
    const RunTimeEstimates halved = learned(0.8, 0.01, 6s, 2);
    CHECK(std::abs((halved.expected("group", 2s) - 4s).count()) < 200);
}

// Image names are chosen by clients, so that their number has no bound.
TEST_CASE("a group that is in use is kept while many others come and go")
{
    RunTimeEstimates estimates;
    for (int i = 0; i < 1000; ++i) {
        estimates.learn("used", 1s, 10s);
        estimates.learn("image-" + std::to_string(i), 1s, 1s);
    }
    CHECK(estimates.expected("used", 1s) == 10s);
}

TEST_CASE("an unknown group keeps its estimates")
{
    RunTimeEstimates estimates;
    CHECK(estimates.expected("group", 3s) == 3s);
    for (int i = 0; i < 9; ++i)
        estimates.learn("group", 1s, 10s);
    CHECK(estimates.expected("group", 3s) == 3s);
    CHECK(estimates.expected("other", 3s) == 3s);
    estimates.learn("group", 0ms, 10s); // A step without an estimate says nothing of estimates.
    CHECK(estimates.expected("group", 0ms) == 0ms);
}
