#include "doctest_main.h"

#include "ctl/clock_wall_func.h"
#include "ctl/command_type.h"
#include "settings.h"
#include "soak/fake_store.h"

#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace sp;
using namespace sp::ctl;

namespace {

/** Runs commands against a store in memory. */
struct Shell {
    soak::FakeStore store { false };
    std::ostringstream out;
    std::ostringstream err;
    std::optional<std::string> adminAnswer = "sp_answers_total{kind=\"ok\"} 1\n";
    int tokens = 0;
    bool withStore = true;
    std::string name = "ann";
    bool json = false;

    Exit run(const std::string& command, const Arguments& arguments, const std::vector<std::string>& admins = {})
    {
        out.str({});
        err.str({});
        Context context { out, err, json, false, false, name, admins, {},
            [this](const std::string&, const std::string&) { return adminAnswer; },
            parseRfc3339("2026-01-01T10:00:00Z").value() };
        if (withStore)
            context.store
                = BundleStoreHooks { { [this](const StoreRequest& request) { return store.apply(request, {}); } },
                      [this] { return "t" + std::to_string(++tokens); }, [](std::chrono::milliseconds) {} };
        return runCommand(context, command, arguments);
    }
};

/** A file that is removed at the end. */
struct TextFile {
    std::string path;
    explicit TextFile(const std::string& text)
    {
        char name[] = "/tmp/sp-test-XXXXXX";
        close(mkstemp(name));
        path = name;
        std::ofstream(path) << text;
    }
    TextFile(const TextFile&) = delete;
    TextFile& operator=(const TextFile&) = delete;
    ~TextFile() { std::remove(path.c_str()); }
};

std::string bundleText(int version, const std::string& extra = {})
{
    return "[bundle]\nversion = " + std::to_string(version)
        + "\nauthor = ann\n[cell]\ndata_centres = dc1\n[workload search]\nclass = prompt\nservice = search\n" + extra;
}

} // namespace

// Guards against a key that the documentation misses or describes by old values.
TEST_CASE("docs/configuration.md is what the tables say")
{
    CHECK_MESSAGE(readTextFile("docs/configuration.md") == keysMarkdown(),
        "run: build/spctl keys --markdown > docs/configuration.md");
}

// Guards against scripts that can't tell refusal, usage, conflict and store apart.
TEST_CASE("exit status of each kind of end")
{
    Shell shell;
    const TextFile first(bundleText(1));
    const TextFile bad(bundleText(2, "[weights]\nwait = x\n"));
    CHECK(shell.run("nothing", {}) == Exit::Usage);
    CHECK(shell.run("approve", {}) == Exit::Usage);
    CHECK(shell.run("approve", { "x" }) == Exit::Usage);
    CHECK(shell.run("check", { "/nonexistent" }) == Exit::Usage);
    CHECK(shell.run("propose", { bad.path }) == Exit::Refused);
    CHECK(shell.err.str().find(bad.path + ":10") != std::string::npos);
    CHECK(shell.run("propose", { first.path }) == Exit::Done);
    CHECK(shell.run("approve", { "1" }) == Exit::Refused);
    CHECK(shell.run("roll", { "1" }) == Exit::Usage);
    shell.name = "bob";
    CHECK(shell.run("approve", { "1" }) == Exit::Done);
    CHECK(shell.run("approve", { "1" }) == Exit::Conflict);
    shell.withStore = false;
    CHECK(shell.run("status", {}) == Exit::Usage);
    std::ostringstream out;
    Context context { out, out, false, false, false, "bob", {},
        BundleStoreHooks { { [](const StoreRequest&) { return StoreReply {}; } }, [] { return std::string("t"); },
            [](std::chrono::milliseconds) {} },
        {}, {} };
    CHECK(runCommand(context, "status", {}) == Exit::Store);
}

// Guards against a roll-out that does not stop when a scheduler gives no metrics, and against a wrong status.
TEST_CASE("roll, status and history")
{
    Shell shell;
    const TextFile first(bundleText(1, "[health]\nstage_time = 1s\n"));
    REQUIRE(shell.run("propose", { first.path }) == Exit::Done);
    shell.name = "bob";
    REQUIRE(shell.run("approve", { "1" }) == Exit::Done);
    shell.store.put("/sp/live/member/h1", R"({"data_centre":"dc1","bundle":0,"draining":false})");
    const std::string answer = std::exchange(shell.adminAnswer, std::nullopt).value();
    CHECK(shell.run("roll", { "1" }, { "127.0.0.1:1" }) == Exit::Refused);
    CHECK(shell.err.str() == "Stopped in dc1: no metrics from 127.0.0.1:1.\n");
    shell.adminAnswer = answer;
    CHECK(shell.run("roll", { "1" }, { "127.0.0.1:1" }) == Exit::Done);
    CHECK(shell.run("status", {}) == Exit::Done);
    CHECK(shell.out.str().find("1 processes, 1 lag\n") != std::string::npos);
    shell.json = true;
    CHECK(shell.run("status", {}) == Exit::Done);
    const auto status = nlohmann::json::parse(shell.out.str());
    CHECK(status["head"]["state"] == "in_force");
    CHECK(status["members"][0]["lags"] == true);
    CHECK(shell.run("history", {}) == Exit::Done);
    CHECK(nlohmann::json::parse(shell.out.str())[0]["approver"] == "bob");
    CHECK(shell.run("diff", { "1" }) == Exit::Done);
    CHECK(shell.out.str() == "[]\n");
}

// Guards against a chart that the check passes though it is incomplete.
TEST_CASE("charts are checked and drawn")
{
    Shell shell;
    CHECK(shell.run("chart", { "check", "charts/hold.chart", "charts/bundle.chart" }) == Exit::Done);
    CHECK(shell.run("chart", { "draw", "charts/bundle.chart" }) == Exit::Done);
    CHECK(shell.out.str().starts_with("stateDiagram-v2"));
    const TextFile broken("chart x\ninitial a\nfinal b\na -> b on go\n");
    CHECK(shell.run("chart", { "check", broken.path }) == Exit::Refused);
}

// Guards against a figure that is taken from the wrong samples, and a restart that counts as a fall.
TEST_CASE("health figures come from the metrics of all schedulers")
{
    HealthCounts before;
    addMetrics(before, "# HELP x y\nsp_answers_total{kind=\"ok\"} 1000\nsp_answers_total{kind=\"internal\"} 10\n");
    HealthCounts after;
    for (int scheduler = 0; scheduler < 2; ++scheduler)
        addMetrics(after,
            "sp_answers_total{kind=\"ok\"} 1000\nsp_answers_total{kind=\"internal\"} 25\n"
            "sp_answers_total{kind=\"queue_full\"} 90\nsp_answers_total{kind=\"cancelled\"} 5\n"
            "sp_wait_seconds_bucket{class=\"prompt\",le=\"0.1\"} 98\n"
            "sp_wait_seconds_bucket{class=\"prompt\",le=\"0.2\"} 100\n"
            "sp_wait_seconds_bucket{class=\"prompt\",le=\"+Inf\"} 100\n"
            "sp_wait_seconds_bucket{class=\"task\",le=\"+Inf\"} 900\n");
    const HealthFigures figures = healthBetween(before, after);
    CHECK(figures.answers == 1230);
    CHECK(figures.errorRatio == doctest::Approx(40.0 / 1230));
    CHECK(figures.refusalRatio == doctest::Approx(180.0 / 1230));
    CHECK(figures.waitP99.count() == 200);
    HealthLimits limits;
    CHECK_FALSE(worseThan(figures, limits));
    limits.refusalRatioMax = 0.1;
    CHECK(worseThan(figures, limits)->starts_with("refusal_ratio"));
    CHECK(healthBetween(after, before).answers == 1010);
}
