/** @file caller_request.h Requests of callers and their answers, without any I/O. Any bytes are safe. */
#pragma once

#include "core_type.h"
#include "message_codec.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sp {

constexpr std::size_t maxPromptBytes = 1024UL * 1024; ///< Body of a prompt request.
constexpr std::size_t maxJobBytes = 256UL * 1024; ///< Body of a job, whose record must fit a store value of 1 MB.
constexpr std::uint32_t maxJobTasks = 50000; ///< The lists of indices in the record must fit the store value too.
constexpr std::chrono::milliseconds maxJobWait { 30000 }; ///< Longest wait for a job in one query.

/** What a caller asks for. */
enum class CallerVerb : std::uint8_t {
    SubmitPrompt,
    CancelPrompt,
    SubmitJob,
    QueryJob,
    CancelJob,
    ReleaseJob,
    Health,
    Ready,
    Metrics,
};

/** The head of a request: what its method and path ask for. */
struct CallerRoute {
    CallerVerb verb = CallerVerb::Health;
    std::string subject; ///< Workload, client id or job id.
    std::size_t bodyLimit = 0;
};

/** Why a request is answered at once. */
struct CallerProblem {
    ErrorKind error = ErrorKind::BadRequest;
    std::string detail;
};

/** Headers and arguments of a request, empty if absent. */
struct CallerFields {
    std::string caller;
    std::string team;
    std::string idempotencyKey;
    std::string clientId;
    std::string deadlineMs;
    std::string waitMs; ///< Argument `wait_ms`.
};

/** HTTP answer. */
struct CallerAnswer {
    int status = 500;
    std::string contentType = "application/json";
    Payload body;
    std::vector<std::pair<std::string, std::string>> headers;
};

template <typename T> using CallerParse = std::variant<T, CallerProblem>;

CallerParse<CallerRoute> parseCallerRoute(std::string_view method, std::string_view path);
CallerParse<LinkMessage> parseCallerMessage(
    const CallerRoute& route, const CallerFields& fields, std::string&& body, const RequestId& id, Time now);
CallerParse<JobSpec> parseJobJson(const std::string& text);
CallerAnswer makeCallerAnswer(CallerVerb verb, const AnswerMessage& answer);
CallerAnswer makeCallerError(const RequestId& id, ErrorKind error, const std::string& detail);
const char* callerVerbName(CallerVerb verb);

} // namespace sp
