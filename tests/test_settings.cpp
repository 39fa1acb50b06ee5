#include "doctest_main.h"

#include "ini_text.h"
#include "settings.h"

using namespace sp;

namespace {

const std::string schedulerText
    = "[process]\nhost = h1\ndata_centre = dc1\nlink = 127.0.0.1:7000\nadmin = 127.0.0.1:0\n"
      "[store]\naddress = 127.0.0.1:2379\ntimeout = 500ms\n"
      "[peer h2]\nlink = 127.0.0.1:7001\ndata_centre = dc2\nrtt_ms = 1.5\n";
const std::string gatewayText = "[process]\nhost = h2\ndata_centre = dc1\nlisten = 127.0.0.1:0\n"
                                "[scheduler h1]\nlink = 127.0.0.1:7000\n[scheduler h2]\nlink = 127.0.0.1:7001\n";

std::string replaced(std::string text, const std::string& what, const std::string& by)
{
    return text.replace(text.find(what), what.size(), by);
}

std::string onlyProblem(const std::string& text)
{
    const auto parsed = parseSchedulerSettings(text);
    REQUIRE(parsed.problems.size() == 1);
    CHECK_FALSE(parsed.settings);
    return problemText("f.ini", parsed.problems[0]);
}

} // namespace

// Guards against a key that is accepted and then ignored.
TEST_CASE("every scheduler setting reaches its field")
{
    const auto parsed = parseSchedulerSettings(schedulerText + "[targets]\ncheck_terms = false\n");
    REQUIRE(parsed.settings);
    CHECK(parsed.settings->host == HostId("h1"));
    CHECK(parsed.settings->dataCentre == DataCentreId("dc1"));
    CHECK(parsed.settings->link == "127.0.0.1:7000");
    CHECK(parsed.settings->admin == "127.0.0.1:0");
    CHECK(parsed.settings->drainTimeout == std::chrono::seconds(30));
    CHECK(parsed.settings->storeAddress == "127.0.0.1:2379");
    CHECK(parsed.settings->storeTimeout == std::chrono::milliseconds(500));
    CHECK_FALSE(parsed.settings->targetsCheckTerms);
    REQUIRE(parsed.settings->peers.size() == 1);
    CHECK(parsed.settings->peers[0].host == HostId("h2"));
    CHECK(parsed.settings->peers[0].roundTrip == std::chrono::microseconds(1500));
}

// Guards against a gateway that prefers the scheduler of another host.
TEST_CASE("the scheduler of the own host comes first")
{
    const auto parsed = parseGatewaySettings(gatewayText);
    REQUIRE(parsed.settings);
    REQUIRE(parsed.settings->schedulers.size() == 2);
    CHECK(parsed.settings->schedulers[0].host == HostId("h2"));
}

// Guards against a faulty settings file that starts a process with a default instead of what was meant.
TEST_CASE("each kind of problem is named with its line and key")
{
    CHECK(onlyProblem(replaced(schedulerText, "timeout", "timout")).starts_with("f.ini:8: store.timout: unknown key"));
    CHECK(onlyProblem(replaced(schedulerText, "500ms", "500")).starts_with("f.ini:8: store.timeout: '500' is no time"));
    CHECK(onlyProblem(replaced(schedulerText, "500ms", "2h")).find("out of range") != std::string::npos);
    CHECK(onlyProblem(replaced(schedulerText, "host = h1\n", "host = h1\nhost = h3\n")).find("given twice")
        != std::string::npos);
    CHECK(
        onlyProblem(replaced(schedulerText, "host = h1\n", "")).find("process.host: is missing") != std::string::npos);
    CHECK(onlyProblem(replaced(schedulerText, "127.0.0.1:2379", "store.example:2379")).find("is no address")
        != std::string::npos);
    CHECK(onlyProblem(replaced(schedulerText, "127.0.0.1:2379", "127.0.0.1:0")).find("port 0") != std::string::npos);
    CHECK(onlyProblem(replaced(schedulerText, "[peer h2]", "[peer h1]")).find("names this host") != std::string::npos);
    CHECK(onlyProblem(replaced(schedulerText, "[peer h2]", "[peer]")).find("no valid name") != std::string::npos);
    CHECK(parseSchedulerSettings("").problems.size() == 2);
    CHECK(parseGatewaySettings("").problems.size() == 2);
}

// Guards against a value or a name that inih cuts without a word, and against a title that ends in spaces, at which the
// parser threw (found by fuzz_bundle, seed 1).
TEST_CASE("long lines and odd titles are problems")
{
    CHECK(onlyProblem(schedulerText + "[peer " + std::string(60, 'x') + "]\nlink = 127.0.0.1:7001\ndata_centre = dc1\n")
              .find("is too long")
        != std::string::npos);
    CHECK(onlyProblem(replaced(schedulerText, "= dc1", "= " + std::string(300, 'x'))).find("is too long")
        != std::string::npos);
    CHECK_FALSE(parseSchedulerSettings(schedulerText + "[peer        ]\nlink = 127.0.0.1:7001\n").problems.empty());
    CHECK(parseSchedulerSettings("; " + std::string(300, 'x') + "\n" + schedulerText).settings);
}

// Guards against a check that stops at the first problem, so that operators repair a file one start at a time.
TEST_CASE("all problems are found at once")
{
    std::string text = replaced(schedulerText, "500ms", "x");
    text = replaced(text, "127.0.0.1:7001", "y");
    text = replaced(text, "rtt_ms", "rtt");
    CHECK(parseSchedulerSettings(text).problems.size() == 3);
}
