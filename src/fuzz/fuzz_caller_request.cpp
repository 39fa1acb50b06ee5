#include "gateway/caller_request.h"

#include <cstdlib>

/**
 * Any job JSON gives a job within its limits or a problem, and any request line a route or a problem.
 * @param data Body, also used as path, ids and numbers.
 * @param size Length.
 * @return 0.
 */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto parsed = sp::parseJobJson(text);
    if (const auto* job = std::get_if<sp::JobSpec>(&parsed)) {
        if (job->tasks < 1 || job->tasks > sp::maxJobTasks || job->size.coresMilli < 1 || job->size.memoryMb < 1)
            std::abort();
    }
    sp::CallerFields fields;
    fields.caller = "c";
    fields.deadlineMs = fields.waitMs = text.substr(0, 12);
    fields.idempotencyKey = text;
    for (const char* method : { "GET", "POST", "DELETE" }) {
        const auto route = sp::parseCallerRoute(method, text);
        if (const auto* found = std::get_if<sp::CallerRoute>(&route))
            sp::parseCallerMessage(*found, fields, std::string(text), sp::RequestId("r"), sp::Time());
    }
    sp::AnswerMessage answer;
    answer.id = sp::RequestId("r");
    answer.detail = text;
    answer.error = sp::ErrorKind::TargetFailed;
    if (!sp::makeCallerAnswer(sp::CallerVerb::SubmitPrompt, answer).body)
        std::abort();
    return 0;
}
