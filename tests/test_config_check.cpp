#include "doctest_main.h"

#include "config_check.h"

#include <algorithm>

using namespace sp;
using namespace std::chrono_literals;

namespace {

/** A configuration without problems. */
CellConfig soundConfig()
{
    CellConfig config;
    config.version = 7;
    QueueConfig checks;
    checks.id = QueueId("checks");
    checks.host = "a.example";
    checks.prefix = "/checks/";
    checks.service = ServiceId("ledger");
    checks.timeout = 3s;
    checks.maxAttempts = 2;
    checks.slackFactor = 1.5;
    checks.advisor = AdvisorTraits { 30ms, 500us, 2500ms };
    checks.requiresKey = true;
    config.queues = { checks };
    config.services = { { ServiceId("ledger"), false, false } };
    config.accounts = { { AccountId("north"), { "key-of-north" }, 5, { 100000, 200000, 0 } } };
    return config;
}

std::size_t count(const CellConfig& config, ConfigFinding::Kind kind)
{
    const auto findings = checkConfig(config);
    return static_cast<std::size_t>(std::count_if(
        findings.begin(), findings.end(), [&](const ConfigFinding& finding) { return finding.kind == kind; }));
}

using Kind = ConfigFinding::Kind;

} // namespace

// A check that reports sound configurations would be ignored by its users.
TEST_CASE("a sound configuration has no finding, with and without accounts")
{
    CellConfig config = soundConfig();
    CHECK(checkConfig(config).empty());
    config.accounts.clear();
    config.queues[0].requiresKey = false;
    CHECK(checkConfig(config).empty());
}

// Guards against configurations under which requests are refused or reach the wrong queue.
TEST_CASE("errors of a configuration are found")
{
    CellConfig config = soundConfig();
    SUBCASE("a queue without its service") { config.queues[0].service = ServiceId("other"); }
    SUBCASE("two queues of one name")
    {
        config.queues.push_back(config.queues[0]);
        config.queues[1].prefix = "/plans/";
    }
    SUBCASE("a key of two accounts") { config.accounts.push_back({ AccountId("south"), { "key-of-north" }, 1, {} }); }
    SUBCASE("a queue that requires a key nobody has") { config.accounts.clear(); }
    SUBCASE("a weight of 0") { config.accounts[0].weight = 0; }
    SUBCASE("no version") { config.version = 0; }
    CHECK(count(config, Kind::Error) == 1);
}

// Guards against entries that look effective and are not.
TEST_CASE("entries that can never match are found")
{
    CellConfig config = soundConfig();
    SUBCASE("a queue behind another one with the same host and prefix")
    {
        config.queues.push_back(config.queues[0]);
        config.queues[1].id = QueueId("shadowed");
    }
    SUBCASE("a host with a port") { config.queues[0].host = "a.example:80"; }
    SUBCASE("a prefix that is no path") { config.queues[0].prefix = "checks/"; }
    SUBCASE("a service without a queue") { config.services.push_back({ ServiceId("unused"), false, false }); }
    SUBCASE("an account without a key") { config.accounts.push_back({ AccountId("south"), {}, 1, {} }); }
    SUBCASE("a key with a blank") { config.accounts[0].keys.emplace_back("a key"); }
    SUBCASE("accounts where no queue requires a key") { config.queues[0].requiresKey = false; }
    CHECK(count(config, Kind::NeverMatches) == 1);
}

// Guards against limits under which no job can succeed.
TEST_CASE("limits that contradict each other are found")
{
    CellConfig config = soundConfig();
    SUBCASE("no attempts") { config.queues[0].maxAttempts = 0; }
    SUBCASE("less time than the critical path") { config.queues[0].slackFactor = 0.9; }
    SUBCASE("tickets that expire before a start") { config.queues[0].advisor->ticketValidity = 200ms; }
    SUBCASE("a queue on machines that are off") { config.services[0].standby = true; }
    SUBCASE("no room for a body") { config.maxBodyBytes = 0; }
    CHECK(count(config, Kind::Contradiction) == 1);
}

// A version that is sent with an unintended change affects callers within seconds.
TEST_CASE("differences between two versions are listed by entry and field, without keys")
{
    const CellConfig before = soundConfig();
    CHECK(diffConfigs(before, before).empty());
    CellConfig after = before;
    after.version = 8;
    after.queues[0].timeout = 5s;
    after.services.push_back({ ServiceId("new"), false, false });
    after.accounts[0].keys = { "another-key" };
    after.accounts[0].maximum.coresMilli = 50000;
    const std::vector<ConfigChange> changes = diffConfigs(before, after);
    const std::vector<ConfigChange> expected {
        { "configuration", "version", "7", "8" },
        { "queue checks", "timeout", "3000 ms", "5000 ms" },
        { "service new", {}, {}, "present" },
        { "account north", "maximum", "100000 milli-cores, 200000 MB, 0 accelerators",
            "50000 milli-cores, 200000 MB, 0 accelerators" },
        { "account north", "keys", "1 removed", "1 added" },
    };
    CHECK(changes == expected);
    CHECK(changeText(changes[1]) == "changed: queue checks: timeout: 3000 ms -> 5000 ms");
    CHECK(changeText(changes[2]) == "added: service new");
    const std::vector<ConfigChange> reverse = diffConfigs(after, before);
    CHECK(std::any_of(reverse.begin(), reverse.end(),
        [](const ConfigChange& change) { return changeText(change) == "removed: service new"; }));
    for (const ConfigChange& change : changes)
        CHECK(changeText(change).find("another-key") == std::string::npos);
}
