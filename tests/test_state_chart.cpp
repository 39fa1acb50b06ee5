#include "doctest_main.h"

#include "chart_text.h"
#include "state_chart.h"

using namespace sp;

namespace {

std::string problemOf(std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            if (auto chart = StateChart::parse(text, "test.chart"); !chart)
                return chart.error();
            return std::string();
        },
        [](const ErrorDetail& detail) { return detail.text; }, [] { return std::string("no detail"); });
}

} // namespace

// Guards against a fault in the compiled-in chart, which would end every scheduler at its start.
TEST_CASE("the chart of hold levels is complete") { CHECK(problemOf(holdChartText) == ""); }

// Guards against a chart with a hole that only shows when the event arrives.
TEST_CASE("faults of a chart are named with file and line")
{
    const std::string good = "chart c\ninitial a\nfinal b\na -> b on go\n";
    CHECK(problemOf(good + "b ignores go\n") == "");
    CHECK(problemOf(good) == "test.chart: missing transition: b on go");
    CHECK(problemOf(good + "b ignores gone\n") == "test.chart:5: unknown event gone");
    CHECK(problemOf(good + "c ignores go\n") == "test.chart:5: unknown state c");
    CHECK(problemOf(good + "a -> a on go\n") == "test.chart:5: a has two transitions on go");
    CHECK(problemOf(good + "b ignores go\nc -> b on go\n") == "test.chart: unreachable state: c");
    CHECK(problemOf(good + "b -> b on\n") == "test.chart:5: no statement of a state chart");
    CHECK(problemOf("chart c\ninitial a\nfinal b\na -> b on x\na -> c on y\nb ignores x y\nc ignores x y\n")
        == "test.chart: no final state can be reached from c");
}

// Guards against a drawing that leaves out transitions.
TEST_CASE("a chart is drawn as Mermaid text")
{
    leaf::try_handle_all(
        []() -> leaf::result<void> {
            BOOST_LEAF_AUTO(chart,
                StateChart::parse("chart c\ninitial a\nfinal b\na -> b on x\na -> b on y\nb ignores x y\n", "c"));
            CHECK(chart.mermaid() == "stateDiagram-v2\n    [*] --> a\n    a --> b : x, y\n    b --> [*]\n");
            return {};
        },
        [] { FAIL("the chart does not parse"); });
}
