#include "doctest_main.h"

#include "fake_server.h"
#include "target_client.h"

#include <array>
#include <condition_variable>
#include <map>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

HttpResult answered(long status, std::vector<std::pair<std::string, std::string>> headers)
{
    HttpResult result;
    result.sent = true;
    result.complete = true;
    result.status = status;
    result.headers = std::move(headers);
    return result;
}

CallEnd runEnd(const HttpResult& result) { return callEndOf(result, TargetCallKind::Run, "r"); }

/** Events of the client's thread, with a wait for the next one of a kind. */
struct Events {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Event> list;

    TargetClient::EventSink sink()
    {
        return [this](Event&& event) {
            std::lock_guard lock(mutex);
            list.push_back(std::move(event));
            changed.notify_all();
        };
    }
    template <typename T> T take()
    {
        std::unique_lock lock(mutex);
        for (;;) {
            for (auto it = list.begin(); it != list.end(); ++it) {
                if (auto* found = std::get_if<T>(&*it)) {
                    T event = std::move(*found);
                    list.erase(it);
                    return event;
                }
            }
            changed.wait(lock);
        }
    }
};

RunPrompt runOn(const std::string& address, std::uint64_t call)
{
    RunPrompt run;
    run.call = CallId(call);
    run.target = TargetId("t");
    run.address = address;
    run.request = RequestId("r" + std::to_string(call));
    run.shard = ShardId("dc1.slots.0");
    run.term = Term(3);
    run.budget = 20s;
    run.payload = std::make_shared<const std::string>("payload");
    return run;
}

std::string headerOf(const std::string& head, const std::string& name)
{
    const auto at = head.find(name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string echo(const std::string& head, const std::string& body)
{
    return FakeServer::answer(200, body, "Sp-Request-Id: " + headerOf(head, "Sp-Request-Id") + "\r\n");
}

} // namespace

// Guards against "not run" for work that ran, and against another request's answer.
TEST_CASE("the end of a call says no more than the answer shows")
{
    CHECK(runEnd(HttpResult {}) == CallEnd::NotConnected);
    HttpResult cut = answered(200, { { "sp-request-id", "r" } });
    cut.complete = false;
    CHECK(runEnd(cut) == CallEnd::Lost);
    CHECK(runEnd(answered(200, { { "sp-request-id", "r" } })) == CallEnd::Completed);
    CHECK(runEnd(answered(200, { { "sp-request-id", "other" } })) == CallEnd::Lost);
    CHECK(runEnd(answered(200, {})) == CallEnd::Lost);
    CHECK(runEnd(answered(302, { { "sp-request-id", "r" } })) == CallEnd::Lost);
    CHECK(runEnd(answered(429, { { "sp-refused", "full" } })) == CallEnd::RefusedFull);
    CHECK(runEnd(answered(409, { { "sp-refused", "term" } })) == CallEnd::RefusedTerm);
    CHECK(runEnd(answered(503, { { "sp-refused", "leaving" } })) == CallEnd::RefusedLeaving);
    CHECK(runEnd(answered(429, { { "sp-refused", "full" }, { "sp-request-id", "other" } })) == CallEnd::Lost);
    CHECK(runEnd(answered(429, { { "sp-refused", "tired" } })) == CallEnd::Lost);
    for (const long status : { 409L, 429L, 503L, 500L, 404L })
        CHECK(runEnd(answered(status, {})) == CallEnd::Failed);
    CHECK(runEnd(answered(500, { { "sp-refused", "full" } })) == CallEnd::Failed);
    CHECK(callEndOf(answered(201, {}), TargetCallKind::StartTask, {}) == CallEnd::Completed);
    CHECK(callEndOf(answered(200, {}), TargetCallKind::StartTask, {}) == CallEnd::Completed);
}

TEST_CASE("reports are read whole or not at all")
{
    const auto report = parseTargetReport(
        R"({"highest_term":4,"leaving":true,"seq":9,"requests":["a"],"tasks":[{"id":"j/0","cores_milli":1,"memory_mb":2,)"
        R"("accelerators":3,"used_cores_milli":4}],"finished":[{"id":"j/1","end":"failed","result":"x"}]})");
    REQUIRE(report);
    CHECK(report->sequence == 9);
    CHECK(report->report.highestTerm == Term(4));
    CHECK(report->report.leaving);
    CHECK(report->report.runningRequests == std::vector<RequestId> { RequestId("a") });
    REQUIRE(report->report.runningTasks.size() == 1);
    CHECK(report->report.runningTasks[0].size == Resources { 1, 2, 3 });
    CHECK(report->report.runningTasks[0].usage == Resources { 4, 0, 0 });
    REQUIRE(report->report.finishedTasks.size() == 1);
    CHECK(report->report.finishedTasks[0].end == TaskEnd::Failed);
    for (const char* bad : { "", "[]", "{}", R"({"highest_term":-1})", R"({"highest_term":"4"})",
             R"({"highest_term":4,"requests":[1]})", R"({"highest_term":4,"tasks":[{}]})",
             R"({"highest_term":4,"finished":[{"id":"a","end":"gone"}]})", R"({"highest_term":4,"leaving":"no"})" })
        CHECK_MESSAGE(!parseTargetReport(bad), bad);
}

// Guards against a new connection for each call, and against a request that misses its headers.
TEST_CASE("calls keep their connection and carry term, shard and deadline")
{
    std::mutex mutex;
    std::string lastHead;
    FakeServer server([&](const std::string& head, const std::string& body) {
        std::lock_guard lock(mutex);
        lastHead = head;
        return echo(head, body);
    });
    Events events;
    Metrics metrics;
    TargetClient client({}, metrics, events.sink());
    for (std::uint64_t i = 1; i <= 5; ++i) {
        client.post(runOn(server.address(), i));
        const auto ended = events.take<TargetCallEnded>();
        CHECK(ended.call == CallId(i));
        CHECK(ended.end == CallEnd::Completed);
        CHECK(*ended.body == "payload");
    }
    CHECK(server.connections() == 1);
    std::lock_guard lock(mutex);
    CHECK(lastHead.starts_with("POST /run "));
    CHECK(headerOf(lastHead, "Sp-Shard") == "dc1.slots.0");
    CHECK(headerOf(lastHead, "Sp-Term") == "3");
    CHECK(headerOf(lastHead, "Sp-Deadline-Ms") == "20000");
}

// Guards against libcurl's repetition of a request whose reused connection broke: the work would run twice.
TEST_CASE("a request is never sent twice")
{
    std::atomic<bool> breaks { false };
    FakeServer server(
        [&](const std::string& head, const std::string& body) { return breaks ? std::string() : echo(head, body); });
    Events events;
    Metrics metrics;
    TargetClient client({}, metrics, events.sink());
    client.post(runOn(server.address(), 1));
    CHECK(events.take<TargetCallEnded>().end == CallEnd::Completed);
    breaks = true;
    client.post(runOn(server.address(), 2));
    CHECK(events.take<TargetCallEnded>().end == CallEnd::Lost);
    CHECK(server.requests() == 2);
}

TEST_CASE("a closed port is not connected, a cut answer is lost")
{
    Events events;
    Metrics metrics;
    TargetClient client({}, metrics, events.sink());
    std::string closedPort;
    {
        FakeServer gone([](const std::string&, const std::string&) { return std::string(); });
        closedPort = gone.address();
    }
    client.post(runOn(closedPort, 1));
    CHECK(events.take<TargetCallEnded>().end == CallEnd::NotConnected);
    FakeServer cutting([](const std::string& head, const std::string&) {
        return "HTTP/1.1 200 X\r\nContent-Length: 999999\r\nSp-Request-Id: " + headerOf(head, "Sp-Request-Id")
            + "\r\n\r\nhalf";
    });
    client.post(runOn(cutting.address(), 2));
    CHECK(events.take<TargetCallEnded>().end == CallEnd::Lost);
    FakeServer unframed([](const std::string& head, const std::string&) {
        return "HTTP/1.1 200 X\r\nConnection: close\r\nSp-Request-Id: " + headerOf(head, "Sp-Request-Id")
            + "\r\n\r\nContent-Length: 999999";
    });
    client.post(runOn(unframed.address(), 3));
    CHECK(events.take<TargetCallEnded>().end == CallEnd::Lost);
}

// Guards against every mix of faults in which a call's end says more than is true; seed and length by RC_PARAMS.
TEST_CASE("ends are true under random faults")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& faults) {
        std::mutex mutex;
        std::map<std::string, int> seen;
        FakeServer server([&](const std::string& head, const std::string& body) -> std::string {
            const std::string id = headerOf(head, "Sp-Request-Id");
            std::lock_guard lock(mutex);
            ++seen[id];
            switch (faults[std::stoul(id.substr(1)) - 1] % 6) {
            case 0:
                return {};
            case 1:
                return "HTTP/1.1 200 X\r\nContent-Length: 999999\r\nSp-Request-Id: " + id + "\r\n\r\nhalf";
            case 2:
                return FakeServer::answer(429, "", "Sp-Refused: full\r\n");
            case 3:
                return FakeServer::answer(200, "other", "Sp-Request-Id: other\r\n");
            case 4:
                return FakeServer::answer(500, "", "Sp-Request-Id: " + id + "\r\n");
            default:
                return echo(head, body);
            }
        });
        static constexpr std::array<CallEnd, 6> expected { CallEnd::Lost, CallEnd::Lost, CallEnd::RefusedFull,
            CallEnd::Lost, CallEnd::Failed, CallEnd::Completed };
        Events events;
        Metrics metrics;
        TargetClient client({}, metrics, events.sink());
        for (std::size_t i = 0; i < faults.size(); ++i)
            client.post(runOn(server.address(), i + 1));
        for (std::size_t i = 0; i < faults.size(); ++i) {
            const auto ended = events.take<TargetCallEnded>();
            const std::size_t fault = faults[ended.call.value - 1] % 6;
            std::lock_guard lock(mutex);
            const int times = seen["r" + std::to_string(ended.call.value)];
            RC_ASSERT(times <= 1); // Never sent twice.
            // A connection that breaks under the call may keep the request from being read: that is Lost, too.
            RC_ASSERT(ended.end == expected[fault] || (times == 0 && ended.end == CallEnd::Lost));
        }
    }));
}

// Guards against a caller that waits for an answer its target has never heard the question of.
TEST_CASE("a call that two reports don't know is lost; a silent target is reported")
{
    std::atomic<bool> silent { false };
    FakeServer* self = nullptr;
    FakeServer server([&](const std::string& head, const std::string&) -> std::string {
        const bool isReport = head.starts_with("GET /report?");
        while ((silent || !isReport) && !self->stopped())
            std::this_thread::sleep_for(1ms);
        return FakeServer::answer(200, R"({"highest_term":3,"seq":1,"requests":["r2"]})");
    });
    self = &server;
    Events events;
    Metrics metrics;
    TargetTimes times;
    times.instancePause = 5ms;
    times.silentAfter = 600ms;
    TargetClient client(times, metrics, events.sink());
    client.post(runOn(server.address(), 1));
    client.post(runOn(server.address(), 2)); // Named by every report, so it goes on.
    client.post(FollowTarget { TargetId("t"), server.address(), ShardId("dc1.slots.0"), Term(3) });
    const auto ended = events.take<TargetCallEnded>();
    CHECK(ended.call == CallId(1));
    CHECK(ended.end == CallEnd::Lost);
    const auto report = events.take<TargetReported>();
    CHECK(report.target == TargetId("t"));
    CHECK(report.term == Term(3));
    CHECK_FALSE(report.silent);
    silent = true;
    while (!events.take<TargetReported>().silent) { }
    silent = false;
    while (events.take<TargetReported>().silent) { } // A new connection finds the target again.
    client.post(UnfollowTarget { TargetId("t") });
    client.stop();
}
