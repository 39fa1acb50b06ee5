#include "doctest_main.h"

#include "entry_settings.h"
#include "error_func.h"
#include "wire.h"

#include <algorithm>
#include <map>

using namespace sp;
using namespace sp::platform;
using namespace std::chrono_literals;

namespace {

/** Value of a result; fails the test if there is none. */
template <typename T> T valueOf(leaf::result<T>&& result)
{
    REQUIRE(static_cast<bool>(result));
    return std::move(*result);
}

constexpr const char* settingsText = R"({"node_name":"n1","ip":"10.1.0.13","zone":"z","new_field":[1],
    "listen_addrs":{"front":"10.1.0.13:81","ready":"10.1.0.13:82"},"internal_port_range":[7720,7735],
    "limits":{"cpu_share":0.25,"cores":2},"hint":"10.2.0.1:5","platform":{"address":"10.2.0.2:6","min_ttl_ms":1500},
    "bounds":{"max_hold_ms":8000,"grace_s":6.5,"status_s":120,"stop_timeout_ms":200,"impact_ms":4000}})";

} // namespace

TEST_CASE("the settings file is decoded, with unknown fields passed over and missing ones reported")
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const EntrySettings settings = valueOf(parseEntrySettings(settingsText));
            CHECK(settings.peerAddress == "10.1.0.13:7720");
            CHECK(settings.strengthMilli == 500);
            CHECK(settings.bounds.maxHold == 8000ms);
            CHECK(settings.bounds.statusKept == 120s);
            CHECK(settings.shutdownTime == 6500ms);
            CHECK(settings.leaseTtl == 2s);
            return {};
        },
        [] { FAIL("not decoded"); });
    leaf::try_handle_all(
        []() -> leaf::result<void> {
            BOOST_LEAF_AUTO(settings, parseEntrySettings(R"({"node_name":"n1"})"));
            FAIL("a settings file without addresses was taken for ", settings.host);
            return {};
        },
        [](const ErrorDetail& detail) { CHECK(detail.text.find("ip") != std::string::npos); },
        [] { FAIL("no detail"); });
}

TEST_CASE("a job's body names steps with all their needs")
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const CellJobSpec job = valueOf(decodeJob(R"({"spec":"p","steps":[{"task_count":4,"cpu":500,"mem_mb":256,
                "estimate_ms":900,"affinity":"r1"},{"task_count":2,"cpu":1,"mem_mb":1,"gpus":1,"after":[0],"gang":true,
                "anti_affinity":1,"long_running":true,"target_ms":30,"fills":true,"requirements":"b"}],
                "start_at_ms":5000,"interval_ms":100,"run_count":3})"));
            REQUIRE(job.steps.size() == 2);
            CHECK(job.steps[0].demand == Resources { 500, 256, 0 });
            CHECK(job.steps[0].nearRack == RackId("r1"));
            CHECK(job.steps[1].after == std::vector<std::uint32_t> { 0 });
            CHECK(job.steps[1].gang);
            CHECK(job.steps[1].lasting);
            CHECK(job.steps[1].perTargetLimit == 1);
            CHECK(job.steps[1].tailTarget == 30ms);
            CHECK(job.steps[1].requiredLabel == "b");
            CHECK(job.schedule.occurrences == 3);
            return {};
        },
        [] { FAIL("not decoded"); });
    CHECK_FALSE(static_cast<bool>(decodeJob("{}")));
    CHECK_FALSE(static_cast<bool>(decodeJob(R"({"steps":[{"task_count":"four"}]})")));
    CHECK(isJobId("5c0e7a21d94b36f8"));
    CHECK_FALSE(isJobId("5c0e7a21d94b36f"));
}

TEST_CASE("an entry that another writer left names no target")
{
    const TargetId id("i1");
    const std::string good = R"({"service":"s","address":"a:1","zone":"z","state":"ready",
        "free_resources":{"cpu":16000,"mem_mb":100,"gpus":0},"labels":["a","r1"],"machine":"m","born":17})";
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const TargetEntry entry = valueOf(decodeTarget(id, good));
            CHECK(entry.rack == RackId("r1"));
            CHECK(entry.machine == MachineId("m"));
            CHECK(entry.bornAt == CalendarTime(17ms));
            CHECK_FALSE(entry.draining);
            return {};
        },
        [] { FAIL("not decoded"); });
    CHECK_FALSE(static_cast<bool>(decodeTarget(id, "not json")));
    CHECK_FALSE(static_cast<bool>(decodeTarget(id, R"({"service":"s"})")));
    std::string odd = good;
    odd.replace(odd.find("ready"), 5, "weird");
    CHECK_FALSE(static_cast<bool>(decodeTarget(id, odd)));
}

// Guards against numbers that do not fit their types, and addresses and ids that change the call they become a part of.
TEST_CASE("an entry with a number out of range, a malformed address or nested too deeply names no target")
{
    const auto entryWith = [](const std::string& field, const std::string& value) {
        std::map<std::string, std::string> fields { { "service", R"("s")" }, { "address", R"("10.0.0.1:8080")" },
            { "zone", R"("z")" }, { "state", R"("ready")" }, { "labels", R"(["a","r1"])" }, { "machine", R"("m")" },
            { "free_resources", R"({"cpu":16000,"mem_mb":100,"gpus":0})" }, { "born", "17" } };
        fields[field] = value;
        std::string body;
        for (const auto& [name, text] : fields) {
            body += body.empty() ? "{\"" : ",\"";
            body += name;
            body += "\":";
            body += text;
        }
        return body + "}";
    };
    const auto readable = [](const std::string& body, const std::string& id = "i1") {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_AUTO(entry, decodeTarget(TargetId(id), body));
                return entry.id == TargetId(id);
            },
            [](const ErrorDetail& detail) {
                CHECK(detail.text.size() <= 200);
                CHECK(std::all_of(detail.text.begin(), detail.text.end(), [](char c) { return c >= ' ' && c <= '~'; }));
                return false;
            },
            [] { return false; });
    };
    CHECK(readable(entryWith("version", R"("v1")")));
    const std::string depth(200000, '[');
    const std::string close(200000, ']');
    const std::string digits(300000, '9');
    std::string deepObject;
    for (int i = 0; i < 150000; ++i)
        deepObject += R"({"a":)";
    const std::vector<std::pair<std::string, std::string>> odd { { "address", R"("10.0.0.1:99999")" },
        { "address", R"("10.0.0.1:65536")" }, { "address", R"("10.0.0.1:0")" }, { "address", R"("10.0.0.1:-1")" },
        { "address", R"("10.0.0.1:")" }, { "address", R"("10.0.0.1")" }, { "address", R"(":8080")" },
        { "address", R"("")" }, { "address", R"("10.0.0.1:80/x?y=1:80")" }, { "address", R"("a b:80")" },
        { "address", R"("a\r\nX: y:80")" }, { "address", "null" }, { "address", "17" }, { "born", "1e300" },
        { "born", "-1" }, { "born", "99999999999999999999" }, { "born", digits }, { "born", R"("17")" },
        { "born", "null" }, { "born", "true" }, { "born", depth + close }, { "free_resources", "[]" },
        { "free_resources", "null" }, { "free_resources", R"({"cpu":1e300})" }, { "free_resources", R"({"cpu":-1})" },
        { "free_resources", R"({"cpu":18446744073709551615})" }, { "free_resources", R"({"mem_mb":true})" },
        { "free_resources", R"({"gpus":1e400})" }, { "free_resources", "{\"cpu\":" + digits + "}" },
        { "free_resources", deepObject + "1" + std::string(150000, '}') }, { "labels", depth + close },
        { "labels", "[1]" }, { "machine", "[]" }, { "machine", "\"\xff\xfe\"" }, { "remaining_ms", "1e19" },
        { "remaining_ms", R"("soon")" }, { "state", R"("READY")" }, { "zone", "{}" } };
    for (const auto& entry : odd) {
        const std::string text = entry.first + ": " + entry.second.substr(0, 40);
        CAPTURE(text);
        if (entry.first == "free_resources" && entry.second.starts_with(R"({"a")"))
            CHECK(readable(entryWith(entry.first, entry.second))); // Fields with unknown names are passed over.
        else
            CHECK_FALSE(readable(entryWith(entry.first, entry.second)));
    }
    for (const std::string& body : { depth, depth + close, digits, std::string("null"), std::string(),
             std::string("\xff\xfe"), entryWith("version", R"("v1")").substr(0, 60) })
        CHECK_FALSE(readable(body));
    for (const char* id : { "", "a b", "a\r\nX-Header: y", "\xc3\xa9" })
        CHECK_FALSE(readable(entryWith("version", R"("v1")"), id));
}

TEST_CASE("numbers that do not fit are errors in all bodies")
{
    for (const char* steps :
        { R"([{"task_count":-1}])", R"([{"task_count":4294967296}])", R"([{"task_count":1e30}])",
            R"([{"task_count":1.5}])", R"([{"task_count":1,"cpu":1e300}])", R"([{"task_count":1,"estimate_ms":1e300}])",
            R"([{"task_count":1,"after":[-1]}])", R"([{"task_count":1,"after":0}])" }) {
        CAPTURE(steps);
        CHECK_FALSE(static_cast<bool>(decodeJob(std::string(R"({"spec":"p","steps":)") + steps + "}")));
    }
    const std::string step = R"("steps":[{"task_count":4.0}])";
    CHECK(static_cast<bool>(decodeJob("{" + step + "}")));
    for (const char* field :
        { R"("run_count":-1)", R"("run_count":5e9)", R"("start_at_ms":1e300)", R"("interval_ms":1e19)" }) {
        CAPTURE(field);
        CHECK_FALSE(static_cast<bool>(decodeJob("{" + step + "," + field + "}")));
    }
    CHECK_FALSE(static_cast<bool>(decodeReport(R"({"clock_ms":1e300,"running":[],"finished":[]})")));
    CHECK_FALSE(static_cast<bool>(decodeReport(R"({"clock_ms":1,"running":[["a.0.0.0",-1,"",0]],"finished":[]})")));
    CHECK_FALSE(static_cast<bool>(decodeReport(R"({"clock_ms":1,"running":[["a.0.0.0",1,"",1e30]],"finished":[]})")));
    CHECK_FALSE(
        static_cast<bool>(decodeReport(R"({"clock_ms":1,"running":[],"finished":[[-1,"a.0.0.0",1,"done",""]]})")));
    CHECK_FALSE(decodeOrderAnswer(200, R"({"clock_ms":1e300})").clock.has_value());
}

TEST_CASE("a report lists runs and ends, and an unknown name is an error")
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const RunReport report = valueOf(decodeReport(R"({"clock_ms":42,"born":9,
                "running":[["5c0e7a21d94b36f8.2.1.17",2,"cp",41,33.4]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"alone",""]]})"));
            CHECK(report.clock == 42ms);
            CHECK(report.running[0].task == CellTaskKey { JobId("5c0e7a21d94b36f8"), 2, 1, 17 });
            CHECK(report.running[0].gauge == 33);
            CHECK(report.ended[0].kind == EndKind::Alone);
            return {};
        },
        [] { FAIL("not decoded"); });
    CHECK_FALSE(static_cast<bool>(decodeReport(R"({"clock_ms":1,"running":[["x.1",1,"",0]],"finished":[]})")));
    CHECK_FALSE(
        static_cast<bool>(decodeReport(R"({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1,"odd",""]]})")));
}

TEST_CASE("answers to orders keep their meaning")
{
    CHECK(decodeOrderAnswer(200, R"({"clock_ms":7})").clock == 7ms);
    CHECK(decodeOrderAnswer(409, R"({"reason":"fence"})").result == OrderResult::Fenced);
    CHECK(decodeOrderAnswer(409, R"({"reason":"old"})").result == OrderResult::Outdated);
    CHECK(decodeOrderAnswer(409, R"({"reason":"late"})").result == OrderResult::LeasePast);
    CHECK(decodeOrderAnswer(409, R"({"reason":"room"})").result == OrderResult::NoRoom);
    CHECK(decodeOrderAnswer(409, R"({"reason":"ticket"})").result == OrderResult::BadTicket);
    CHECK(decodeOrderAnswer(421, "").result == OrderResult::OtherLife);
    CHECK(decodeOrderAnswer(503, "").result == OrderResult::Unhealthy);
    CHECK(decodeOrderAnswer(500, "").result == OrderResult::Rejected);
}

TEST_CASE("values of the store survive any bytes, and a condition it lacks is an error")
{
    std::string bytes;
    for (int i = 0; i < 256; ++i)
        bytes += static_cast<char>(i);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            StoreTxn txn;
            txn.compares.push_back({ StoreCompare::Kind::Absent, "a", {}, {} });
            txn.writes.push_back({ StoreWrite::Kind::Put, "k", bytes, StoreLeaseId(3) });
            txn.writes.push_back({ StoreWrite::Kind::Delete, "gone", {}, {} });
            const std::string body = valueOf(encodeTxn(txn));
            const std::string key = "\"value\":\"";
            const auto at = body.find(key) + key.size();
            const std::string value = body.substr(at, body.find('"', at) - at);
            StoreRange single;
            single.key = "k";
            const StoreReply reply = valueOf(decodeStoreReply(
                StoreRequest(single), R"({"key":"k","value":")" + value + R"(","revision":4,"as_of":9})"));
            REQUIRE(reply.values.size() == 1);
            CHECK(reply.values[0].value == bytes);
            CHECK(reply.revision == Revision(9));
            txn.compares = { { StoreCompare::Kind::Value, "a", {}, "v" } };
            CHECK_FALSE(static_cast<bool>(encodeTxn(txn)));
            return {};
        },
        [] { FAIL("not decoded"); });
}

TEST_CASE("of several changes of a key only the last one counts")
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const StoreWatchBatch batch = valueOf(decodeWatch("o",
                R"({"events":[{"key":"a","revision":1,"deleted":true},{"key":"a","value":"eA==","revision":2},
                {"key":"b","value":"eA==","revision":3},{"key":"b","revision":4,"deleted":true}],"as_of":4})"));
            REQUIRE(batch.puts.size() == 1);
            CHECK(batch.puts[0].value == "x");
            CHECK(batch.deletes == std::vector<std::string> { "b" });
            return {};
        },
        [] { FAIL("not decoded"); });
}

TEST_CASE("the configuration's queues are found by host and longest prefix")
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const CellConfig config = valueOf(decodeConfig(R"({"version":7,"routes":[
                {"name":"q1","host":"h","prefix":"/a/","service":"s","timeout_ms":3000,"priority":0,"max_attempts":2,
                 "slack_factor":1.5,"hint":{"decision_ms":19.0,"per_worker_ms":0.28,"validity_ms":2000}},
                {"name":"q2","host":"h","prefix":"/a/b/","service":"s","timeout_ms":3000}],
                "services":[{"name":"s","enforce_limits":false,"standby":false}],"limits":{"max_body_bytes":99}})"));
            CHECK(config.match("h", "/a/x")->id == QueueId("q1"));
            CHECK(config.match("h", "/a/b/x")->id == QueueId("q2"));
            CHECK(config.match("g", "/a/x") == nullptr);
            CHECK(config.queues[0].advisor->callTime(10) == 21800us);
            CHECK(config.maxBodyBytes == 99);
            return {};
        },
        [] { FAIL("not decoded"); });
}

// Guards against routes that are open although the configuration has accounts, and the other way round.
TEST_CASE("with accounts in the configuration all queues but public ones require a key")
{
    const std::string routes = R"({"version":7,"services":[],"routes":[
        {"name":"q1","host":"h","prefix":"/a/","service":"s"},
        {"name":"q2","host":"h","prefix":"/b/","service":"s","public":true}])";
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const CellConfig config = valueOf(
                decodeConfig(routes + R"(,"tenants":[{"name":"t1","api_keys":["k1","k2"],"weight":2.5,"priority":3,
                    "maximum":{"cpu":4000,"mem_mb":0,"gpus":1}},{"name":"t2"}]})"));
            REQUIRE(config.accounts.size() == 2);
            const ClientAccount& account = *config.account(AccountId("t1"));
            CHECK(account.keys == std::vector<std::string> { "k1", "k2" });
            CHECK(account.weight == 2.5);
            CHECK(account.maximum == Resources { 4000, 0, 1 });
            CHECK(config.account(AccountId("t2"))->maximum == Resources {});
            CHECK(config.queues[0].requiresKey);
            CHECK_FALSE(config.queues[1].requiresKey);
            CHECK(valueOf(decodeConfig(routes + R"(,"tenants":[]})")).queues[0].requiresKey);
            CHECK_FALSE(valueOf(decodeConfig(routes + "}")).queues[0].requiresKey);
            return {};
        },
        [] { FAIL("not decoded"); });
}

// The result used to be made before anything waited for its error, and the reason was gone.
TEST_CASE("a body that can't be read comes with a reason")
{
    std::string reason;
    const auto report = valueOr([] { return decodeReport("{}"); }, [&](const std::string& text) { reason = text; });
    CHECK_FALSE(report);
    CHECK(reason.find("running") != std::string::npos);
}
