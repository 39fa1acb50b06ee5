#include "doctest_main.h"

#include "runtime_model.h"

#include <algorithm>
#include <random>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

Time at(Duration time) { return Time(1h + time); }

const WorkloadId testWorkload("w");

} // namespace

// Guards against quantile errors larger than the bucket width.
TEST_CASE("quantiles lie within one bucket of the sample range")
{
    CHECK(rc::check([](std::vector<std::uint32_t> values, std::uint8_t rank) {
        RC_PRE(!values.empty() && values.size() <= 20);
        DecayedQuantiles quantiles;
        for (std::uint32_t& value : values) {
            value = 20000 + value % 2000000000;
            quantiles.add(Duration(value), at(0s));
        }
        const double q = 0.05 + (rank % 19) * 0.05;
        const auto measured = static_cast<double>(quantiles.quantile(q).count());
        const auto [minimum, maximum] = std::minmax_element(values.begin(), values.end());
        RC_ASSERT(measured >= *minimum / 1.2);
        RC_ASSERT(measured <= *maximum * 1.2);
        RC_ASSERT(quantiles.quantile(1) >= quantiles.quantile(0.5));
    }));
    DecayedQuantiles uniform;
    std::mt19937_64 random(1);
    for (int i = 0; i < 2000; ++i)
        uniform.add(std::chrono::milliseconds(1 + random() % 1000), at(0s));
    CHECK(uniform.quantile(0.5) > 330ms);
    CHECK(uniform.quantile(0.5) < 700ms);
    CHECK(uniform.weight(at(0s)) <= 64.5);
}

// Guards against stale estimates: a caller whose requests became 100 times longer must not keep its short estimate.
TEST_CASE("a change of run time is learned within 60 samples")
{
    RuntimeModel model;
    const CallerId caller("c");
    for (int i = 0; i < 1000; ++i)
        model.learn(testWorkload, caller, 10ms, at(0s));
    int needed = 0;
    while (model.quantile(testWorkload, caller, 0.5, at(0s)) < 500ms && needed < 1000) {
        model.learn(testWorkload, caller, 1s, at(0s));
        ++needed;
    }
    CHECK(needed <= 60);
    CHECK(needed >= 10); // A few outliers must not change the median.
}

// Guards against outdated estimates for a caller that sends no requests for a while.
TEST_CASE("samples expire while a caller sends no requests")
{
    RuntimeModel model;
    for (int i = 0; i < 10; ++i)
        model.learn(testWorkload, CallerId("c"), 5s, at(0s));
    CHECK(model.quantile(testWorkload, CallerId("c"), 0.5, at(10s)).has_value());
    CHECK_FALSE(model.quantile(testWorkload, CallerId("c"), 0.5, at(10min)).has_value());
}

// Guards against missing estimates for new callers, and against estimates that are wrongly marked as the caller's own.
TEST_CASE("a caller with few samples gets the estimate of its workload, marked as such")
{
    RuntimeModel model;
    CHECK_FALSE(model.estimate(testWorkload, CallerId("new"), at(0s)).has_value());
    for (int i = 0; i < 20; ++i)
        model.learn(testWorkload, CallerId("known"), 40ms, at(0s));
    const auto fallback = model.estimate(testWorkload, CallerId("new"), at(0s));
    REQUIRE(fallback.has_value());
    CHECK_FALSE(fallback->ofCaller);
    CHECK(fallback->typical > 33ms);
    CHECK(fallback->typical < 48ms);
    for (int i = 0; i < 5; ++i)
        model.learn(testWorkload, CallerId("new"), 4s, at(0s));
    CHECK(model.estimate(testWorkload, CallerId("new"), at(0s))->ofCaller);
    CHECK(model.quantile(testWorkload, CallerId("new"), 0.5, at(0s)) > 3s);
    CHECK_FALSE(model.quantile(WorkloadId("other"), CallerId("new"), 0.5, at(0s)).has_value());
}

// Guards against unbounded memory growth with the number of callers, and against eviction of active callers.
TEST_CASE("the number of entries is bounded and the least recently updated are evicted first")
{
    RuntimeModelOptions options;
    options.maxEntries = 100;
    RuntimeModel model(options);
    for (int i = 0; i < 10000; ++i) {
        model.learn(testWorkload, CallerId("one" + std::to_string(i)), 10ms, at(0s));
        model.learn(testWorkload, CallerId("busy"), 3s, at(0s));
        REQUIRE(model.size() <= 100);
    }
    CHECK(model.estimate(testWorkload, CallerId("busy"), at(0s))->ofCaller);
}
