#include "doctest_main.h"

#include "gateway/caller_request.h"
#include "gateway/request_table.h"

#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

const Time start(1000s);

CallerRoute routeOf(const char* method, const char* path)
{
    auto parsed = parseCallerRoute(method, path);
    REQUIRE(std::holds_alternative<CallerRoute>(parsed));
    return std::get<CallerRoute>(parsed);
}

template <typename T> T messageOf(const CallerRoute& route, const CallerFields& fields, std::string body)
{
    auto parsed = parseCallerMessage(route, fields, std::move(body), RequestId("r"), start);
    REQUIRE(std::holds_alternative<LinkMessage>(parsed));
    return std::get<T>(std::get<LinkMessage>(parsed));
}

ErrorKind problemOf(const CallerRoute& route, const CallerFields& fields, std::string body)
{
    auto parsed = parseCallerMessage(route, fields, std::move(body), RequestId("r"), start);
    return std::holds_alternative<CallerProblem>(parsed) ? std::get<CallerProblem>(parsed).error : ErrorKind::Ok;
}

CallerFields from(const char* caller)
{
    CallerFields fields;
    fields.caller = caller;
    return fields;
}

/** A table with two schedulers, of which `h1` is preferred, and what it sent and answered. */
struct Fixture {
    std::vector<std::pair<std::string, std::string>> sent; ///< Scheduler and request.
    std::map<std::string, AnswerMessage> answers;
    RequestTable table { { { HostId("h1"), "" }, { HostId("h2"), "" } },
        [this](const HostId& to, LinkMessage&& message) { sent.emplace_back(to.value, requestIdOf(message).value); } };

    Fixture()
    {
        seen("h1", 1, start);
        seen("h2", 1, start);
        table.tick(start);
    }
    void seen(const char* host, std::uint64_t incarnation, Time now, bool ready = true)
    {
        table.schedulerSeen(HostId(host), Incarnation(incarnation), ready, false, now);
    }
    void submit(const std::string& id, Time now = start)
    {
        PromptSubmitted prompt;
        prompt.id = RequestId(id);
        prompt.deadline = now + 60s;
        submitMessage(id, prompt, now);
    }
    void submitMessage(const std::string& id, LinkMessage message, Time now = start)
    {
        table.submit(
            RequestId(id), std::move(message),
            [this, id](AnswerMessage&& answer) {
                CHECK(answers.emplace(id, std::move(answer)).second); // Each caller is answered once.
            },
            now);
    }
    bool answer(const char* host, const std::string& id, ErrorKind error = ErrorKind::Ok)
    {
        AnswerMessage message;
        message.id = RequestId(id);
        message.error = error;
        message.detail = id;
        return table.answered(HostId(host), std::move(message), start);
    }
};

} // namespace

TEST_CASE("paths and methods")
{
    CHECK(routeOf("POST", "/v1/requests/chat").subject == "chat");
    CHECK(routeOf("DELETE", "/v1/requests/a/b").subject == "a/b");
    CHECK(routeOf("POST", "/v1/jobs/dc1.workers.0-ab/release").subject == "dc1.workers.0-ab");
    CHECK(routeOf("POST", "/v1/jobs/dc1.workers.0-ab/release").verb == CallerVerb::ReleaseJob);
    CHECK(routeOf("GET", "/v1/jobs/x").verb == CallerVerb::QueryJob);
    for (const auto& [method, path] : std::vector<std::pair<const char*, const char*>> { { "GET", "/v1/requests/x" },
             { "PUT", "/v1/jobs" }, { "POST", "/v1/jobs/release" }, { "GET", "/" }, { "POST", "/healthz" } })
        CHECK(std::holds_alternative<CallerProblem>(parseCallerRoute(method, path)));
}

// Guards against header values that reach logs and other processes unchecked.
TEST_CASE("headers are checked")
{
    const CallerRoute prompt = routeOf("POST", "/v1/requests/chat");
    CHECK(problemOf(prompt, {}, "") == ErrorKind::BadRequest);
    CHECK(problemOf(prompt, from("a b"), "") == ErrorKind::BadRequest);
    CHECK(problemOf(prompt, from(std::string(129, 'a').c_str()), "") == ErrorKind::BadRequest);
    for (const char* deadline : { "0", "-1", "1x", "3600001", "99999999999999999999" }) {
        CallerFields fields = from("c");
        fields.deadlineMs = deadline;
        CHECK(problemOf(prompt, fields, "") == ErrorKind::BadRequest);
    }
    CallerFields fields = from("c");
    fields.deadlineMs = "250";
    fields.idempotencyKey = "k";
    fields.clientId = "x";
    const auto message = messageOf<PromptSubmitted>(prompt, fields, "body");
    CHECK(message.deadline == start + 250ms);
    CHECK(message.team == TeamId("c"));
    CHECK(message.key == IdempotencyKey("k"));
    CHECK(message.clientId == "x");
    CHECK(*message.payload == "body");
    fields.idempotencyKey = "with space";
    CHECK(problemOf(prompt, fields, "") == ErrorKind::BadRequest);
    CHECK(problemOf(prompt, from("c"), std::string(maxPromptBytes, 'x')) == ErrorKind::Ok);
    CHECK(problemOf(prompt, from("c"), std::string(maxPromptBytes + 1, 'x')) == ErrorKind::TooLarge);
}

// Guards against a job that is accepted with another size or count than its caller wrote.
TEST_CASE("job JSON is read strictly")
{
    const auto job = std::get<JobSpec>(parseJobJson(
        R"({"workload":"w","tasks":3,"cores_milli":500,"memory_mb":64,"accelerators":1,"run_ms":9,"payload":"p"})"));
    CHECK(job.tasks == 3);
    CHECK(job.size == Resources { 500, 64, 1 });
    CHECK(job.runTime == 9ms);
    CHECK(*job.payload == "p");
    for (const char* text :
        { "", "[]", "{", R"({"workload":1,"cores_milli":1,"memory_mb":1})", R"({"workload":"w","memory_mb":1})",
            R"({"workload":"w","cores_milli":1})", R"({"workload":"w","cores_milli":1,"memory_mb":1,"tasks":0})",
            R"({"workload":"w","cores_milli":1,"memory_mb":1,"tasks":50001})",
            R"({"workload":"w","cores_milli":1,"memory_mb":1,"tasks":1.5})",
            R"({"workload":"w","cores_milli":1,"memory_mb":1,"tasks":"2"})",
            R"({"workload":"w","cores_milli":18446744073709551615,"memory_mb":1})",
            R"({"workload":"w","cores_milli":-1,"memory_mb":1})",
            R"({"workload":"w","cores_milli":1,"memory_mb":1,"cores":1})",
            R"({"workload":"w","cores_milli":1,"memory_mb":1,"payload":{}})" })
        CHECK_MESSAGE(std::holds_alternative<CallerProblem>(parseJobJson(text)), text);
    CHECK(problemOf(routeOf("POST", "/v1/jobs"), from("c"), std::string(maxJobBytes + 1, ' ')) == ErrorKind::TooLarge);
}

TEST_CASE("job commands")
{
    CallerFields fields = from("c");
    fields.waitMs = "30000";
    CHECK(messageOf<JobCommanded>(routeOf("GET", "/v1/jobs/x"), fields, "").wait == 30s);
    fields.waitMs = "30001";
    CHECK(problemOf(routeOf("GET", "/v1/jobs/x"), fields, "") == ErrorKind::BadRequest);
    CHECK(messageOf<JobCommanded>(routeOf("DELETE", "/v1/jobs/x"), from("c"), "").verb == JobCommanded::Verb::Cancel);
    CHECK(problemOf(routeOf("DELETE", "/v1/requests/"), from("c"), "") == ErrorKind::BadRequest);
}

// Guards against an answer that says more than is known about the work.
TEST_CASE("answers carry kind and outcome")
{
    AnswerMessage answer;
    answer.id = RequestId("r");
    answer.error = ErrorKind::AnswerLost;
    const CallerAnswer lost = makeCallerAnswer(CallerVerb::SubmitPrompt, answer);
    const auto json = nlohmann::json::parse(*lost.body);
    CHECK(lost.status == 504);
    CHECK(json["outcome"] == "unknown");
    CHECK(json["request_id"] == "r");
    answer.error = ErrorKind::Ok;
    answer.job = JobId("j");
    answer.durable = true;
    const CallerAnswer accepted = makeCallerAnswer(CallerVerb::SubmitJob, answer);
    CHECK(accepted.status == 202);
    CHECK(nlohmann::json::parse(*accepted.body)["durability"] == "store");
    answer.status = JobStatus { JobPhase::Done, 1, 0, 1, 0, "", "\xff" }; // No UTF-8: must not throw.
    CHECK(makeCallerAnswer(CallerVerb::QueryJob, answer).status == 200);
}

// Guards against a caller that gets the answer of another one's request when answers arrive out of order.
TEST_CASE("answers in any order reach their own callers")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& order) {
        Fixture fixture;
        for (std::size_t i = 0; i < 256; ++i)
            fixture.submit(std::to_string(i));
        std::set<std::string> answered;
        for (const std::uint8_t next : order) {
            const std::string id = std::to_string(next);
            RC_ASSERT(fixture.answer("h1", id) == answered.insert(id).second); // A second answer is dropped.
        }
        RC_ASSERT(fixture.answers.size() == answered.size());
        for (const auto& [id, answer] : fixture.answers)
            RC_ASSERT(answer.detail == id);
        RC_ASSERT(fixture.table.pending() == 256 - answered.size());
    }));
}

TEST_CASE("the preferred scheduler is used until it is silent or not ready")
{
    Fixture fixture;
    fixture.submit("a");
    fixture.seen("h1", 1, start, false);
    fixture.submit("b");
    fixture.seen("h1", 1, start + 200ms);
    fixture.seen("h2", 1, start + 1100ms);
    fixture.submit("c", start + 1100ms);
    fixture.submit("d", start + 1300ms);
    const std::vector<std::pair<std::string, std::string>> expected { { "h1", "a" }, { "h2", "b" }, { "h1", "c" },
        { "h2", "d" } };
    CHECK(fixture.sent == expected);
    fixture.submit("e", start + 5s);
    CHECK(fixture.answers.at("e").error == ErrorKind::NotReady);
}

// Guards against work that runs twice because it is sent to another scheduler after the first one may have started it.
TEST_CASE("a request at a dead scheduler is lost, not sent again")
{
    Fixture fixture;
    fixture.submit("a");
    fixture.seen("h2", 1, start + 1900ms);
    for (auto now = start; now < start + 1990ms; now += 50ms)
        fixture.table.tick(now);
    CHECK(fixture.answers.empty());
    fixture.table.tick(start + 2s);
    CHECK(fixture.answers.at("a").error == ErrorKind::AnswerLost);
    CHECK(fixture.sent.size() == 1);
    CHECK_FALSE(fixture.answer("h1", "a"));
    CHECK(fixture.table.lateAnswers() == 1);
    fixture.submit("b", start + 2s);
    fixture.seen("h2", 2, start + 2s); // Restarted: it has forgotten the request.
    CHECK(fixture.answers.at("b").error == ErrorKind::AnswerLost);
}

// Guards against answers that wait in the sockets while this process was paused and are thrown away at its resumption.
TEST_CASE("a pause of the gateway itself loses no request")
{
    Fixture fixture;
    fixture.submit("a");
    fixture.table.tick(start + 10s);
    CHECK(fixture.answers.empty());
    CHECK(fixture.answer("h1", "a"));
    CHECK(fixture.answers.at("a").error == ErrorKind::Ok);
}

TEST_CASE("a request that was certainly not taken goes to the next scheduler once")
{
    Fixture fixture;
    fixture.submit("a");
    fixture.table.unsent(HostId("h1"), RequestId("a"), start);
    CHECK(fixture.sent.back() == std::pair<std::string, std::string>("h2", "a"));
    CHECK(fixture.answer("h2", "a", ErrorKind::Draining));
    CHECK(fixture.answers.at("a").error == ErrorKind::Draining);
    fixture.submit("b");
    CHECK(fixture.answer("h1", "b", ErrorKind::NotReady));
    CHECK(fixture.answer("h2", "b"));
    CHECK(fixture.answers.at("b").error == ErrorKind::Ok);
    fixture.submit("c");
    CHECK(fixture.answer("h1", "c", ErrorKind::OwnerUnreachable)); // A decision, not a reason to ask elsewhere.
    CHECK(fixture.answers.at("c").error == ErrorKind::OwnerUnreachable);
}

TEST_CASE("a cancellation asks every scheduler and takes the conclusive answer")
{
    Fixture fixture;
    PromptCancelled cancel;
    cancel.id = RequestId("a");
    cancel.clientId = "x";
    fixture.submitMessage("a", cancel);
    CHECK(fixture.sent.size() == 2);
    CHECK(fixture.answer("h1", "a", ErrorKind::NotFound));
    CHECK(fixture.answers.empty());
    CHECK(fixture.answer("h2", "a"));
    CHECK(fixture.answers.at("a").error == ErrorKind::Ok);
    cancel.id = RequestId("b");
    fixture.submitMessage("b", cancel);
    CHECK(fixture.answer("h1", "b", ErrorKind::NotFound));
    fixture.table.tick(start + 400ms);
    fixture.seen("h2", 1, start + 800ms);
    fixture.table.tick(start + 800ms);
    fixture.seen("h2", 1, start + 1200ms);
    fixture.table.tick(start + 1200ms);
    fixture.seen("h2", 1, start + 1600ms);
    fixture.table.tick(start + 1600ms);
    fixture.seen("h2", 1, start + 2000ms);
    fixture.table.tick(start + 2000ms);
    CHECK(fixture.answers.at("b").error == ErrorKind::NotFound);
}
