#include "doctest_main.h"

#include <array>
#include <cstdio>
#include <string>

namespace {

struct Run {
    std::string output;
    int status = -1;
};

Run runReport(const std::string& arguments)
{
    Run run;
    std::FILE* pipe = popen(("tools/report " + arguments + " 2>&1").c_str(), "r");
    REQUIRE(pipe);
    std::array<char, 4096> buffer {};
    while (const std::size_t size = std::fread(buffer.data(), 1, buffer.size(), pipe))
        run.output.append(buffer.data(), size);
    run.status = pclose(pipe);
    return run;
}

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against a plot or figure that is left out when a column or line is renamed.
TEST_CASE("the report of the fixed example has all plots and figures")
{
    const Run run = runReport("examples/report/seconds.csv examples/report/summary.csv");
    CAPTURE(run.output.substr(0, 500));
    REQUIRE(run.status == 0);
    CHECK(countOf(run.output, "<svg width=\"900\"") + countOf(run.output, "viewBox=\"0 0 900 300\"") >= 4);
    for (const char* part : { "<h2>Wait before start</h2>", "wait_p99_ms", "<h2>CPU</h2>", "core_percent_scheduler-e1",
             "<h2>Store calls</h2>", "store_calls", "<td>prompt.kind.queue_full</td><td>140</td>",
             "<td>prompt.wait_ms_p99</td><td>141.2</td>" }) {
        CAPTURE(part);
        CHECK(run.output.find(part) != std::string::npos);
    }
    CHECK(run.output.find("no such column") == std::string::npos);
}

// Guards against a report that needs other files or the network to be read.
TEST_CASE("the report has no outside parts")
{
    const Run run = runReport("examples/report/seconds.csv examples/report/summary.csv");
    CHECK(countOf(run.output, " src=") == 0);
    CHECK(countOf(run.output, "<script") == 0);
    CHECK(countOf(run.output, "<link") == 0);
    CHECK(countOf(run.output, "href='http") + countOf(run.output, "href=\"http") == 0);
    CHECK(countOf(run.output, "<?xml") == 0);
}

// Guards against a report of nothing that looks like a good one.
TEST_CASE("a missing file is a failure")
{
    CHECK(runReport("").status != 0);
    CHECK(runReport("/nonexistent.csv").status != 0);
}
