#include "doctest_main.h"

#include "load/load_plan.h"
#include "load/load_stats.h"
#include "table/workload_keys.h"

#include <cmath>
#include <rapidcheck.h>

using namespace sp;
using namespace sp::load;
using namespace std::chrono_literals;

namespace {

const char* const workloadText = R"(
[load]
seed = 7
[phase a]
duration = 10s
prompt_rate = 100
job_rate = 10
[phase b]
duration = 10s
prompt_rate = 100
prompt_rate_end = 300
work = fast
[work fast]
class = prompt
workload = search
weight = 3
cancel_share = 0.1
[work slow]
class = prompt
workload = report
distribution = long_share
long_share = 0.1
long_factor = 10
[work batch]
class = batch
workload = index
tasks = 2
tasks_max = 5
declared_factor = 4
)";

LoadSpec parse(const std::string& text)
{
    Ini ini = Ini::parse(text, workloadKeys);
    LoadSpec spec = parseLoadSpec(ini);
    REQUIRE(ini.problems().empty());
    return spec;
}

std::vector<Arrival> all(const LoadSpec& spec)
{
    std::vector<Arrival> arrivals;
    LoadPlan plan(spec, "u");
    while (auto arrival = plan.next())
        arrivals.push_back(std::move(*arrival));
    return arrivals;
}

} // namespace

// Guards against runs that can't be repeated.
TEST_CASE("the same seed gives the same arrivals")
{
    const LoadSpec spec = parse(workloadText);
    const auto first = all(spec);
    const auto second = all(spec);
    REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].at == second[i].at);
        CHECK(first[i].payload == second[i].payload);
        CHECK(first[i].declared == second[i].declared);
    }
    LoadSpec other = spec;
    other.seed = 8;
    CHECK(all(other).at(0).at != first.at(0).at);
}

// Guards against a load that is lighter or has another mix than the file says.
TEST_CASE("rates, ramps and the mix are those of the file")
{
    const LoadSpec spec = parse(workloadText);
    std::map<std::string, double> counts;
    Duration last { 0 };
    for (const Arrival& arrival : all(spec)) {
        CHECK(arrival.at >= last);
        last = arrival.at;
        counts[spec.phases[arrival.phase].name + "." + spec.work[arrival.work].name] += 1;
        CHECK(arrival.at >= spec.phases[arrival.phase].start);
        CHECK(arrival.at < spec.phases[arrival.phase].start + spec.phases[arrival.phase].duration);
    }
    // Five standard deviations of a Poisson count.
    const auto near
        = [](double count, double expected) { return std::abs(count - expected) < 5 * std::sqrt(expected); };
    CHECK(near(counts["a.fast"], 750));
    CHECK(near(counts["a.slow"], 250));
    CHECK(near(counts["a.batch"], 100));
    CHECK(near(counts["b.fast"], 2000));
    CHECK(counts["b.slow"] == 0);
    CHECK(counts["b.batch"] == 0);
}

// Guards against declared sizes that are right although the file asks for wrong ones, and the other way round.
TEST_CASE("declared sizes are off by at most the factor, and the usage makes up for it")
{
    const LoadSpec spec = parse(workloadText);
    bool isOff = false;
    for (const Arrival& arrival : all(spec)) {
        const WorkSpec& work = spec.work[arrival.work];
        if (work.workClass == WorkClass::Prompt)
            continue;
        CHECK(arrival.declared.coresMilli >= 250);
        CHECK(arrival.declared.coresMilli <= 4000);
        CHECK(arrival.tasks >= 2);
        CHECK(arrival.tasks <= 5);
        const auto usage = parseWorkPayload(arrival.payload).usage;
        REQUIRE(usage);
        CHECK(std::abs(*usage * static_cast<double>(arrival.declared.coresMilli) - 1000) < 5);
        isOff = isOff || arrival.declared.coresMilli > 2000;
    }
    CHECK(isOff);
}

// Guards against a payload whose instructions the targets read differently from what was written.
TEST_CASE("payload round trip")
{
    CHECK(rc::check("round trip", [] {
        WorkPayload payload;
        payload.uid = "u" + std::to_string(*rc::gen::inRange(0, 100000));
        payload.once = *rc::gen::arbitrary<bool>();
        payload.fails = *rc::gen::arbitrary<bool>();
        payload.answerBytes = *rc::gen::inRange<std::uint32_t>(0, 10000);
        if (*rc::gen::arbitrary<bool>())
            payload.runTime = std::chrono::milliseconds(*rc::gen::inRange(0, 100000));
        const auto size = *rc::gen::inRange<std::size_t>(0, 5000);
        const std::string text = formatWorkPayload(payload, size);
        const WorkPayload read = parseWorkPayload(text);
        RC_ASSERT(read.uid == payload.uid);
        RC_ASSERT(read.once == payload.once);
        RC_ASSERT(read.fails == payload.fails);
        RC_ASSERT(read.answerBytes == payload.answerBytes);
        RC_ASSERT(read.runTime == payload.runTime);
        RC_ASSERT(text.size() >= size);
    }));
    CHECK(parseWorkPayload("no instructions at all").uid.empty());
}

// Guards against a workload file whose mistake shows only as a lighter load.
TEST_CASE("mistakes in a workload file are reported")
{
    const auto problems = [](const std::string& text) {
        Ini ini = Ini::parse(text, workloadKeys);
        parseLoadSpec(ini);
        return ini.problems().size();
    };
    CHECK(problems("[load]\nseed = 1\n") == 1);
    CHECK(problems("[phase a]\nduration = 1s\nprompt_rate = 5\n") == 1);
    CHECK(problems("[phase a]\nduration = 1s\nwork = other\n") == 1);
    CHECK(problems("[phase a]\nduration = 1\n") >= 1);
}

// Guards against quantiles that are one off, which matters for p99 of few samples.
TEST_CASE("quantiles")
{
    Samples samples;
    CHECK(samples.quantile(0.5) == 0);
    for (int i = 100; i >= 1; --i)
        samples.add(i);
    CHECK(samples.quantile(0) == 1);
    CHECK(samples.quantile(0.99) == 100);
    CHECK(samples.quantile(1) == 100);
    samples.add(0);
    CHECK(samples.quantile(0) == 0);
}
