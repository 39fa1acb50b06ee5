#include "doctest_main.h"

#include "runtime_model.h"

#include <algorithm>
#include <random>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

Time at(Duration time) { return Time(1h + time); }

const WorkloadId w("w");

} // namespace

// Guards against a quantile that is off by more than its buckets allow.
TEST_CASE("quantiles of a bounded sample lie within a bucket of the exact ones")
{
    CHECK(rc::check([](std::vector<std::uint32_t> values, std::uint8_t rank) {
        RC_PRE(!values.empty() && values.size() <= 20);
        DecayedQuantiles quantiles;
        for (std::uint32_t& value : values) {
            value = 20000 + value % 2000000000;
            quantiles.add(Duration(value), at(0s));
        }
        const double q = 0.05 + (rank % 19) * 0.05;
        const auto found = static_cast<double>(quantiles.quantile(q).count());
        const auto [least, most] = std::minmax_element(values.begin(), values.end());
        RC_ASSERT(found >= *least / 1.2);
        RC_ASSERT(found <= *most * 1.2);
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

// Guards against a model that trusts old values: a caller whose work became 100 times longer would stay short.
TEST_CASE("a change of run time is learned within some 60 samples")
{
    RuntimeModel model;
    const CallerId caller("c");
    for (int i = 0; i < 1000; ++i)
        model.learn(w, caller, 10ms, at(0s));
    int needed = 0;
    while (model.quantile(w, caller, 0.5, at(0s)) < 500ms && needed < 1000) {
        model.learn(w, caller, 1s, at(0s));
        ++needed;
    }
    CHECK(needed <= 60);
    CHECK(needed >= 10); // A few outliers must not turn a short caller into a long one.
}

// Guards against values that outlive their truth while a caller is silent.
TEST_CASE("values fade while a caller is silent")
{
    RuntimeModel model;
    for (int i = 0; i < 10; ++i)
        model.learn(w, CallerId("c"), 5s, at(0s));
    CHECK(model.quantile(w, CallerId("c"), 0.5, at(10s)).has_value());
    CHECK_FALSE(model.quantile(w, CallerId("c"), 0.5, at(10min)).has_value());
}

// Guards against treating a new caller's work as unknown, and against blaming it for the values of others.
TEST_CASE("a caller with few samples gets the values of its workload, marked as such")
{
    RuntimeModel model;
    CHECK_FALSE(model.estimate(w, CallerId("new"), at(0s)).has_value());
    for (int i = 0; i < 20; ++i)
        model.learn(w, CallerId("known"), 40ms, at(0s));
    const auto fallback = model.estimate(w, CallerId("new"), at(0s));
    REQUIRE(fallback.has_value());
    CHECK_FALSE(fallback->ofCaller);
    CHECK(fallback->typical > 33ms);
    CHECK(fallback->typical < 48ms);
    for (int i = 0; i < 5; ++i)
        model.learn(w, CallerId("new"), 4s, at(0s));
    CHECK(model.estimate(w, CallerId("new"), at(0s))->ofCaller);
    CHECK(model.quantile(w, CallerId("new"), 0.5, at(0s)) > 3s);
    CHECK_FALSE(model.quantile(WorkloadId("other"), CallerId("new"), 0.5, at(0s)).has_value());
}

// Guards against memory that grows with each caller ever seen, and against forgetting the busy ones.
TEST_CASE("the number of entries is bounded and the least recently seen go first")
{
    RuntimeModelOptions options;
    options.entries = 100;
    RuntimeModel model(options);
    for (int i = 0; i < 10000; ++i) {
        model.learn(w, CallerId("one" + std::to_string(i)), 10ms, at(0s));
        model.learn(w, CallerId("busy"), 3s, at(0s));
        REQUIRE(model.size() <= 100);
    }
    CHECK(model.estimate(w, CallerId("busy"), at(0s))->ofCaller);
}
