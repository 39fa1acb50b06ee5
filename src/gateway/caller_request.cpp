#include "gateway/caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxIdBytes = 128; ///< Ids of callers, teams, workloads and jobs.
    constexpr std::size_t maxKeyBytes = 256; ///< Idempotency keys and client ids.
    constexpr std::int64_t maxDeadlineMs = 3'600'000;
    constexpr std::int64_t maxRunMs = 30LL * 24 * 3'600'000;

    bool isId(std::string_view text)
    {
        return !text.empty() && text.size() <= maxIdBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) || std::string_view("-_.:@+").find(static_cast<char>(c)) != std::string_view::npos;
        });
    }

    bool isKey(std::string_view text)
    {
        return text.size() <= maxKeyBytes
            && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

    std::optional<std::int64_t> numberOf(std::string_view text)
    {
        std::int64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    CallerProblem badRequest(std::string detail) { return { ErrorKind::BadRequest, std::move(detail) }; }

    /** A whole number of the job within its range, or a problem. */
    CallerParse<std::int64_t> jobNumber(
        const Json& job, const char* key, std::int64_t standard, std::int64_t min, std::int64_t max)
    {
        const auto it = job.find(key);
        const std::string expected
            = std::string(key) + " must be a whole number from " + std::to_string(min) + " to " + std::to_string(max);
        if (it == job.end()) {
            if (standard < min)
                return badRequest(expected);
            return standard;
        }
        if (!it->is_number_integer() || (it->is_number_unsigned() && it->get<std::uint64_t>() > INT64_MAX))
            return badRequest(expected);
        const auto number = it->get<std::int64_t>();
        if (number < min || number > max)
            return badRequest(expected);
        return number;
    }

    std::optional<CallerProblem> readNumbers(const Json& job, JobSpec& spec)
    {
        std::int64_t tasks = 0;
        std::int64_t runMs = 0;
        struct Field {
            const char* key;
            std::int64_t standard, min, max;
            std::int64_t& out;
        };
        const std::array<Field, 5> fields { Field { "tasks", 1, 1, maxJobTasks, tasks },
            Field { "cores_milli", 0, 1, 1'000'000'000, spec.size.coresMilli },
            Field { "memory_mb", 0, 1, 1'000'000'000, spec.size.memoryMb },
            Field { "accelerators", 0, 0, 1'000'000, spec.size.accelerators },
            Field { "run_ms", 0, 0, maxRunMs, runMs } };
        for (const Field& field : fields) {
            const auto parsed = jobNumber(job, field.key, field.standard, field.min, field.max);
            if (const auto* problem = std::get_if<CallerProblem>(&parsed))
                return *problem;
            field.out = std::get<std::int64_t>(parsed);
        }
        spec.tasks = static_cast<std::uint32_t>(tasks);
        spec.runTime = std::chrono::milliseconds(runMs);
        return std::nullopt;
    }

    std::optional<CallerProblem> checkFields(const CallerRoute& route, const CallerFields& fields)
    {
        if (!isId(fields.caller))
            return badRequest("the header Sp-Caller must be an id of up to 128 letters, digits and -_.:@+");
        if (!fields.team.empty() && !isId(fields.team))
            return badRequest("the header Sp-Team must be an id of up to 128 letters, digits and -_.:@+");
        if (!isKey(fields.idempotencyKey))
            return badRequest("the header Idempotency-Key must be up to 256 visible ASCII characters");
        if (!isKey(fields.clientId))
            return badRequest("the header Sp-Client-Id must be up to 256 visible ASCII characters");
        if (route.verb == CallerVerb::CancelPrompt ? !isKey(route.subject)
                                                   : route.verb != CallerVerb::SubmitJob && !isId(route.subject))
            return badRequest("the id in the path is not valid");
        return std::nullopt;
    }

    TeamId teamOf(const CallerFields& fields) { return TeamId(fields.team.empty() ? fields.caller : fields.team); }

    CallerParse<LinkMessage> makePrompt(
        const CallerRoute& route, const CallerFields& fields, std::string&& body, const RequestId& id, Time now)
    {
        PromptSubmitted prompt;
        prompt.id = id;
        prompt.caller = CallerId(fields.caller);
        prompt.team = teamOf(fields);
        prompt.workload = WorkloadId(route.subject);
        prompt.key = IdempotencyKey(fields.idempotencyKey);
        prompt.clientId = fields.clientId;
        prompt.payload = std::make_shared<const std::string>(std::move(body));
        if (!fields.deadlineMs.empty()) {
            const auto ms = numberOf(fields.deadlineMs);
            if (!ms || *ms < 1 || *ms > maxDeadlineMs)
                return badRequest("the header Sp-Deadline-Ms must be a whole number from 1 to 3600000");
            prompt.deadline = now + std::chrono::milliseconds(*ms);
        }
        return LinkMessage(std::move(prompt));
    }

    CallerParse<LinkMessage> makeJob(const CallerFields& fields, const std::string& body, const RequestId& id)
    {
        auto parsed = parseJobJson(body);
        if (auto* problem = std::get_if<CallerProblem>(&parsed))
            return std::move(*problem);
        JobSubmitted job;
        job.id = id;
        job.key = IdempotencyKey(fields.idempotencyKey);
        job.spec = std::move(std::get<JobSpec>(parsed));
        job.spec.caller = CallerId(fields.caller);
        job.spec.team = teamOf(fields);
        return LinkMessage(std::move(job));
    }

    CallerParse<LinkMessage> makeCommand(const CallerRoute& route, const CallerFields& fields, const RequestId& id)
    {
        JobCommanded command;
        command.id = id;
        command.job = JobId(route.subject);
        command.caller = CallerId(fields.caller);
        if (route.verb == CallerVerb::CancelJob)
            command.verb = JobCommanded::Verb::Cancel;
        else if (route.verb == CallerVerb::ReleaseJob)
            command.verb = JobCommanded::Verb::Release;
        if (route.verb == CallerVerb::QueryJob && !fields.waitMs.empty()) {
            const auto ms = numberOf(fields.waitMs);
            if (!ms || *ms < 0 || *ms > maxJobWait.count())
                return badRequest("wait_ms must be a whole number from 0 to 30000");
            command.wait = std::chrono::milliseconds(*ms);
        }
        return LinkMessage(std::move(command));
    }

    Payload jsonBody(const Json& json)
    {
        return std::make_shared<const std::string>(json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
    }

    Json statusJson(const AnswerMessage& answer)
    {
        Json json { { "request_id", answer.id.value } };
        if (!answer.job.empty())
            json["job_id"] = answer.job.value;
        if (answer.status) {
            json["phase"] = jobPhaseName(answer.status->phase);
            json["tasks"] = answer.status->tasks;
            json["running"] = answer.status->running;
            json["done"] = answer.status->done;
            json["failed"] = answer.status->failed;
            json["reason"] = answer.status->reason;
            json["result"] = answer.status->result;
        }
        return json;
    }

} // namespace

/** Name of a verb in metrics. @param verb Verb. @return Name in lower case. */
const char* callerVerbName(CallerVerb verb)
{
    static constexpr std::array<const char*, 9> names { "prompt", "prompt_cancel", "job", "job_query", "job_cancel",
        "job_release", "health", "ready", "metrics" };
    return names[static_cast<std::size_t>(verb)];
}

/**
 * What a method and path ask for.
 * @param method HTTP method.
 * @param path Path without arguments, percent signs decoded.
 * @return Route, or BadRequest.
 */
CallerParse<CallerRoute> parseCallerRoute(std::string_view method, std::string_view path)
{
    const auto rest = [&](std::string_view prefix) { return std::string(path.substr(prefix.size())); };
    constexpr std::string_view requests = "/v1/requests/";
    constexpr std::string_view jobs = "/v1/jobs/";
    constexpr std::string_view release = "/release";
    if (method == "GET" && path == "/healthz")
        return CallerRoute { CallerVerb::Health, {}, 0 };
    if (method == "GET" && path == "/readyz")
        return CallerRoute { CallerVerb::Ready, {}, 0 };
    if (method == "GET" && path == "/metrics")
        return CallerRoute { CallerVerb::Metrics, {}, 0 };
    if (path.starts_with(requests)) {
        if (method == "POST")
            return CallerRoute { CallerVerb::SubmitPrompt, rest(requests), maxPromptBytes };
        if (method == "DELETE")
            return CallerRoute { CallerVerb::CancelPrompt, rest(requests), 0 };
        return badRequest("this path takes POST and DELETE");
    }
    if (path == "/v1/jobs") {
        if (method == "POST")
            return CallerRoute { CallerVerb::SubmitJob, {}, maxJobBytes };
        return badRequest("this path takes POST");
    }
    if (path.starts_with(jobs)) {
        if (method == "GET")
            return CallerRoute { CallerVerb::QueryJob, rest(jobs), 0 };
        if (method == "DELETE")
            return CallerRoute { CallerVerb::CancelJob, rest(jobs), 0 };
        if (method == "POST" && path.ends_with(release) && path.size() > jobs.size() + release.size())
            return CallerRoute { CallerVerb::ReleaseJob,
                std::string(path.substr(jobs.size(), path.size() - jobs.size() - release.size())), 0 };
        return badRequest("this path takes GET and DELETE, and POST with /release");
    }
    return badRequest("no such path");
}

/**
 * Message to a scheduler for a complete request.
 * @param route What is asked for.
 * @param fields Headers and arguments.
 * @param body Body.
 * @param id Id made for the request.
 * @param now Present time.
 * @return Message, or why the request is not valid.
 */
CallerParse<LinkMessage> parseCallerMessage(
    const CallerRoute& route, const CallerFields& fields, std::string&& body, const RequestId& id, Time now)
{
    if (auto problem = checkFields(route, fields))
        return std::move(*problem);
    if (body.size() > route.bodyLimit)
        return CallerProblem { ErrorKind::TooLarge,
            "the body may have " + std::to_string(route.bodyLimit) + " bytes at most" };
    switch (route.verb) {
    case CallerVerb::SubmitPrompt:
        return makePrompt(route, fields, std::move(body), id, now);
    case CallerVerb::SubmitJob:
        return makeJob(fields, body, id);
    case CallerVerb::CancelPrompt: {
        PromptCancelled cancel;
        cancel.id = id;
        cancel.caller = CallerId(fields.caller);
        cancel.clientId = route.subject;
        if (cancel.clientId.empty())
            return badRequest("the path names no client id");
        return LinkMessage(std::move(cancel));
    }
    case CallerVerb::QueryJob:
    case CallerVerb::CancelJob:
    case CallerVerb::ReleaseJob:
        return makeCommand(route, fields, id);
    case CallerVerb::Health:
    case CallerVerb::Ready:
    case CallerVerb::Metrics:
        break;
    }
    return badRequest("no message for this path");
}

/**
 * Parses the JSON of a job.
 * @param text Body of the request.
 * @return Job without ids, caller and team, or why it is not valid.
 */
CallerParse<JobSpec> parseJobJson(const std::string& text)
{
    const Json job = Json::parse(text, nullptr, false);
    if (!job.is_object())
        return badRequest("the body must be a JSON object");
    static constexpr std::array<std::string_view, 7> known { "workload", "tasks", "cores_milli", "memory_mb",
        "accelerators", "run_ms", "payload" };
    for (const auto& [key, value] : job.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end())
            return badRequest("unknown field " + key);
    }
    JobSpec spec;
    const auto workload = job.find("workload");
    if (workload == job.end() || !workload->is_string() || !isId(workload->get_ref<const std::string&>()))
        return badRequest("workload must be the name of a workload");
    spec.workload = WorkloadId(workload->get<std::string>());
    if (auto problem = readNumbers(job, spec))
        return std::move(*problem);
    const auto payload = job.find("payload");
    if (payload != job.end() && !payload->is_string())
        return badRequest("payload must be a string");
    spec.payload
        = std::make_shared<const std::string>(payload == job.end() ? std::string() : payload->get<std::string>());
    return spec;
}

/**
 * HTTP answer to an error.
 * @param id Request, empty if it got none.
 * @param error Kind of error.
 * @param detail What was wrong.
 * @return Answer with a JSON body.
 */
CallerAnswer makeCallerError(const RequestId& id, ErrorKind error, const std::string& detail)
{
    const ErrorInfo& info = errorInfo(error);
    CallerAnswer answer;
    answer.status = info.httpStatus;
    answer.body = jsonBody({ { "request_id", id.value }, { "error", info.name },
        { "outcome", outcomeName(info.outcome) }, { "detail", detail.empty() ? std::string(info.text) : detail } });
    answer.headers.emplace_back("Sp-Request-Id", id.value);
    return answer;
}

/**
 * HTTP answer to the caller.
 * @param verb What the caller asked for.
 * @param answer Answer of the scheduler.
 * @return Answer.
 */
CallerAnswer makeCallerAnswer(CallerVerb verb, const AnswerMessage& answer)
{
    if (answer.error != ErrorKind::Ok)
        return makeCallerError(answer.id, answer.error, answer.detail);
    CallerAnswer out;
    out.status = 200;
    out.headers.emplace_back("Sp-Request-Id", answer.id.value);
    if (verb == CallerVerb::SubmitPrompt) {
        out.contentType = "application/octet-stream";
        out.body = answer.body;
        out.headers.emplace_back("Sp-Wait-Us", std::to_string(answer.wait.count()));
        return out;
    }
    Json json = statusJson(answer);
    if (verb == CallerVerb::SubmitJob) {
        out.status = 202;
        json["durability"] = answer.durable ? "store" : "memory";
    } else if (verb == CallerVerb::CancelPrompt) {
        json["cancelled"] = true;
    }
    out.body = jsonBody(json);
    return out;
}

} // namespace sp
