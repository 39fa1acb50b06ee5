#include "doctest_main.h"

#include "base64_func.h"
#include "etcd_store.h"
#include "fake_server.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

HttpResult answered(long status, std::string body)
{
    HttpResult result;
    result.sent = true;
    result.complete = true;
    result.status = status;
    result.body = std::move(body);
    return result;
}

StoreStatus statusOf(const StoreRequest& request, long status, const std::string& body)
{
    return parseEtcdAnswer(request, answered(status, body)).status;
}

StoreTxn leasedPut()
{
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::Absent, "k", {}, {} });
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, "m", Revision(7), {} });
    txn.compares.push_back({ StoreCompare::Kind::Value, "v", {}, "x" });
    txn.writes.push_back({ StoreWrite::Kind::Put, "k", "v", StoreLeaseId(5) });
    txn.writes.push_back({ StoreWrite::Kind::Delete, "d", {}, {} });
    txn.readOnFailure = { "k" };
    return txn;
}

/** Events of a store's thread, with a wait for the next one. */
struct Events {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Event> list;

    EtcdStore::EventSink sink()
    {
        return [this](Event&& event) {
            std::lock_guard lock(mutex);
            list.push_back(std::move(event));
            changed.notify_all();
        };
    }
    Event take(std::size_t index)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return list.size() > index; });
        return list[index];
    }
};

} // namespace

TEST_CASE("base64 is reversible and refuses other texts")
{
    CHECK(base64Encode("fo") == "Zm8=");
    CHECK(rc::check([](const std::string& bytes) { RC_ASSERT(base64Decode(base64Encode(bytes)) == bytes); }));
    for (const char* bad : { "a", "ab=c", "!!!!", "====", "Zm8" })
        CHECK_FALSE(base64Decode(bad));
    CHECK(prefixEnd("/sp/") == "/sp0");
    CHECK(prefixEnd("a\xff") == "b");
    CHECK(prefixEnd("\xff") == std::string(1, '\0'));
}

// Guards against a transaction whose condition the store reads in another way than it was meant.
TEST_CASE("bodies follow etcd's JSON")
{
    const auto json = nlohmann::json::parse(etcdBody(leasedPut()));
    CHECK(json["compare"][0]["target"] == "CREATE");
    CHECK(json["compare"][0]["create_revision"] == "0");
    CHECK(json["compare"][1]["mod_revision"] == "7");
    CHECK(json["compare"][2]["value"] == "eA==");
    CHECK(json["success"][0]["request_put"]["lease"] == "5");
    CHECK(json["success"][1]["request_delete_range"]["key"] == "ZA==");
    CHECK(json["failure"][0]["request_range"]["key"] == "aw==");
    const auto range = nlohmann::json::parse(etcdBody(StoreRange { "/a/", true, Revision(3) }));
    CHECK(range["range_end"] == base64Encode("/a0"));
    CHECK(range["min_mod_revision"] == "3");
    CHECK(nlohmann::json::parse(etcdWatchBody("/a/", Revision(9)))["create_request"]["start_revision"] == "9");
}

// Guards against a claim that counts as won, or as harmlessly lost, on an answer that does not say so.
TEST_CASE("a status is claimed only when the answer shows it")
{
    const StoreTxn txn = leasedPut();
    CHECK(statusOf(txn, 200, R"({"header":{"revision":"5"},"succeeded":true})") == StoreStatus::Ok);
    CHECK(statusOf(txn, 200, R"({"header":{"revision":"5"}})") == StoreStatus::CompareFailed);
    for (const char* body :
        { "", "{}", "[]", R"({"succeeded":true})", R"({"header":{"revision":"x"},"succeeded":true})",
            R"({"header":{"revision":"5"},"succeeded":1})", R"({"header":{"revision":"-5"},"succeeded":true})" })
        CHECK_MESSAGE(statusOf(txn, 200, body) == StoreStatus::Lost, body);
    CHECK(statusOf(txn, 429, R"({"error":"etcdserver: too many requests","code":8})") == StoreStatus::Refused);
    CHECK(statusOf(txn, 400, R"({"code":3})") == StoreStatus::Refused);
    CHECK(statusOf(txn, 404, R"({"code":5})") == StoreStatus::LeaseNotFound);
    CHECK(statusOf(txn, 429, "busy") == StoreStatus::Refused);
    // The proposal may have been committed before the store gave up waiting for it.
    for (const char* body : { R"({"code":14})", R"({"code":4})", R"({"code":2})", R"({"code":"8"})", "" })
        CHECK_MESSAGE(statusOf(txn, 503, body) == StoreStatus::Lost, body);
    HttpResult unsent;
    CHECK(parseEtcdAnswer(txn, unsent).status == StoreStatus::Refused);
    HttpResult cut = answered(200, R"({"header":{"revision":"5"},"succeeded":true})");
    cut.complete = false;
    CHECK(parseEtcdAnswer(txn, cut).status == StoreStatus::Lost);
}

TEST_CASE("values, counts and leases are read")
{
    const StoreReply range = parseEtcdAnswer(StoreRange { "a", true, {} },
        answered(200,
            R"({"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"4"}],"count":"3"})"));
    REQUIRE(range.status == StoreStatus::Ok);
    REQUIRE(range.values.size() == 1);
    CHECK(range.values[0].key == "a");
    CHECK(range.values[0].value == "b");
    CHECK(range.values[0].modRevision == Revision(4));
    CHECK(range.count == 3);
    CHECK(range.revision == Revision(9));
    const StoreReply failed = parseEtcdAnswer(leasedPut(),
        answered(200,
            R"({"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[{"key":"aw=="}],"count":"1"}}]})"));
    CHECK(failed.status == StoreStatus::CompareFailed);
    CHECK(failed.values.size() == 1);
    const StoreLeaseKeepAlive renewal { StoreLeaseId(5) };
    CHECK(statusOf(renewal, 200, R"({"result":{"header":{"revision":"1"},"ID":"5","TTL":"3"}})") == StoreStatus::Ok);
    CHECK(statusOf(renewal, 200, R"({"result":{"header":{"revision":"1"},"ID":"5"}})") == StoreStatus::LeaseNotFound);
    CHECK(statusOf(renewal, 200, R"({"result":{"header":{"revision":"1"},"ID":"6","TTL":"3"}})") == StoreStatus::Lost);
    CHECK(statusOf(StoreLeaseGrant {}, 200, R"({"header":{"revision":"1"},"ID":"5"})") == StoreStatus::Lost);
}

// Guards against a watch that takes a later revision for delivered and misses changes after it is replaced.
TEST_CASE("watch lines name the revision that is delivered")
{
    const auto message = parseEtcdWatchLine(
        R"({"result":{"header":{"revision":"90"},"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"7"}},)"
        R"({"type":"DELETE","kv":{"key":"Yw==","mod_revision":"8"}}]}})");
    REQUIRE(message);
    CHECK(message->batch.puts.size() == 1);
    CHECK(message->batch.deletes == std::vector<std::string> { "c" });
    CHECK(message->batch.revision == Revision(8));
    CHECK(parseEtcdWatchLine(R"({"result":{"header":{"revision":"1"},"created":true}})")->created);
    CHECK(parseEtcdWatchLine(R"({"result":{"header":{},"canceled":true}})")->canceled);
    for (const char* bad : { "", "{}", R"({"result":{}})", R"({"result":{"header":{},"events":[{}]}})" })
        CHECK_FALSE(parseEtcdWatchLine(bad));
}

// Guards against a write that is repeated, or taken for refused, after the connection broke behind it.
TEST_CASE("calls over a real connection")
{
    std::atomic<int> mode { 0 };
    FakeServer server([&](const std::string&, const std::string&) -> std::string {
        const std::string good = R"({"header":{"revision":"5"},"succeeded":true})";
        if (mode == 1)
            return {}; // Closed after the request on a connection that was used before.
        if (mode == 2)
            return "HTTP/1.1 200 X\r\nContent-Length: 999999\r\n\r\n" + good;
        if (mode == 3)
            return "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 999999\r\n\r\n";
        return FakeServer::answer(200, good);
    });
    const StoreHooks hooks = makeEtcdHooks(server.address(), 5s);
    CHECK(hooks.call(leasedPut()).status == StoreStatus::Ok);
    mode = 1;
    CHECK(hooks.call(leasedPut()).status == StoreStatus::Lost);
    CHECK(server.requests() == 2); // Not sent a second time.
    for (const int next : { 2, 3 }) {
        mode = next;
        CHECK(hooks.call(leasedPut()).status == StoreStatus::Lost);
    }
    mode = 0;
    CHECK(hooks.call(leasedPut()).status == StoreStatus::Ok);
    std::string closedPort;
    {
        FakeServer gone([](const std::string&, const std::string&) { return std::string(); });
        closedPort = gone.address();
    }
    CHECK(makeEtcdHooks(closedPort, 5s).call(leasedPut()).status == StoreStatus::Refused);
}

// Guards against changes that are lost or repeated when a watch is replaced.
TEST_CASE("the thread delivers replies and goes on with a replaced watch")
{
    std::vector<std::string> starts;
    std::mutex mutex;
    FakeServer server([&](const std::string& head, const std::string& body) -> std::string {
        if (head.find("/v3/watch") == std::string::npos)
            return FakeServer::answer(200, R"({"header":{"revision":"5"},"count":"0"})");
        std::lock_guard lock(mutex);
        starts.push_back(nlohmann::json::parse(body)["create_request"]["start_revision"]);
        const std::string revision = std::to_string(10 * starts.size());
        // The stream ends after one event, so that the client has to open the next one.
        return FakeServer::answer(200,
            "{\"result\":{\"header\":{\"revision\":\"1\"},\"created\":true}}\n{\"result\":{\"header\":{\"revision\":\""
                + revision + "\"},\"events\":[{\"kv\":{\"key\":\"YQ==\",\"mod_revision\":\"" + revision + "\"}}]}}\n",
            "Connection: close\r\n");
    });
    Events events;
    Metrics metrics;
    {
        EtcdStore store({ server.address(), 5s }, metrics, events.sink());
        store.post(CallStore { StoreTicket(4), StoreRange { "a", true, {} } });
        const Event first = events.take(0);
        REQUIRE(std::holds_alternative<StoreReply>(first));
        CHECK(std::get<StoreReply>(first).ticket == StoreTicket(4));
        CHECK(std::get<StoreReply>(first).status == StoreStatus::Ok);
        store.post(WatchStore { "a", Revision(3) });
        for (std::uint64_t i = 1; i <= 3; ++i) {
            const Event event = events.take(i);
            REQUIRE(std::holds_alternative<StoreWatchBatch>(event));
            CHECK(std::get<StoreWatchBatch>(event).prefix == "a");
            CHECK(std::get<StoreWatchBatch>(event).revision == Revision(10 * i));
        }
    }
    std::lock_guard lock(mutex);
    CHECK(std::vector<std::string>(starts.begin(), starts.begin() + 3) == std::vector<std::string> { "3", "11", "21" });
    CHECK(metrics.counter("sp_store_calls_total{kind=\"range\"}", "").value() == 1);
}
