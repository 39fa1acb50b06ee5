#include "target_answer.h"

#include <nlohmann/json.hpp>

namespace sp {

namespace {

    using Json = nlohmann::json;

    std::optional<CallEnd> refusalOf(const HttpResult& result)
    {
        const auto word = result.header("sp-refused");
        if (!word || (result.status != 409 && result.status != 429 && result.status != 503))
            return std::nullopt;
        if (*word == "term")
            return CallEnd::RefusedTerm;
        if (*word == "full")
            return CallEnd::RefusedFull;
        if (*word == "leaving")
            return CallEnd::RefusedLeaving;
        return CallEnd::Lost; // Unknown meaning: it is not certain that the work did not start.
    }

    /** Non-negative number of a field; 0 if the field is absent. Throws for another type. */
    template <typename T> T numberOf(const Json& object, const char* key)
    {
        const auto it = object.find(key);
        if (it == object.end())
            return T {};
        if (!it->is_number_integer() || (!it->is_number_unsigned() && it->get<std::int64_t>() < 0))
            throw std::invalid_argument(key);
        const auto number = it->get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
            throw std::invalid_argument(key);
        return static_cast<T>(number);
    }

    std::string textOf(const Json& object, const char* key)
    {
        const auto it = object.find(key);
        return it == object.end() ? std::string() : it->get<std::string>();
    }

    Resources resourcesOf(const Json& object, const std::string& prefix)
    {
        return { numberOf<std::int64_t>(object, (prefix + "cores_milli").c_str()),
            numberOf<std::int64_t>(object, (prefix + "memory_mb").c_str()),
            numberOf<std::int64_t>(object, (prefix + "accelerators").c_str()) };
    }

    TaskEnd taskEndOf(const std::string& name)
    {
        if (name == "succeeded")
            return TaskEnd::Succeeded;
        if (name == "failed")
            return TaskEnd::Failed;
        if (name == "stopped")
            return TaskEnd::Stopped;
        throw std::invalid_argument("end");
    }

    TargetReport readReport(const Json& root)
    {
        TargetReport parsed;
        parsed.sequence = numberOf<std::uint64_t>(root, "seq");
        parsed.report.highestTerm = Term(numberOf<std::uint64_t>(root, "highest_term"));
        parsed.report.leaving = root.value("leaving", false);
        for (const Json& id : root.value("requests", Json::array()))
            parsed.report.runningRequests.emplace_back(id.get<std::string>());
        for (const Json& task : root.value("tasks", Json::array()))
            parsed.report.runningTasks.push_back(
                { TaskId(task.at("id").get<std::string>()), resourcesOf(task, ""), resourcesOf(task, "used_") });
        for (const Json& task : root.value("finished", Json::array()))
            parsed.report.finishedTasks.push_back({ TaskId(task.at("id").get<std::string>()),
                taskEndOf(task.at("end").get<std::string>()), textOf(task, "result") });
        return parsed;
    }

} // namespace

/**
 * Meaning of an ended call.
 * @param result How the call ended.
 * @param kind Kind of the call.
 * @param requestId Run: id that the answer must echo.
 * @return NotConnected only if certainly nothing was sent; Lost unless a whole answer to this request is there.
 */
CallEnd callEndOf(const HttpResult& result, TargetCallKind kind, const std::string& requestId)
{
    if (!result.sent)
        return CallEnd::NotConnected;
    if (!result.complete)
        return CallEnd::Lost;
    const auto echoed = result.header("sp-request-id");
    if (kind == TargetCallKind::Run && echoed && *echoed != requestId)
        return CallEnd::Lost;
    if (const auto refusal = refusalOf(result))
        return *refusal;
    if (result.status >= 400)
        return CallEnd::Failed;
    if (result.status >= 300 || (kind == TargetCallKind::Run && !echoed))
        return CallEnd::Lost;
    return CallEnd::Completed;
}

/**
 * Parses the answer of `GET /report`.
 * @param text Body.
 * @return Report, nothing if it is malformed.
 */
std::optional<TargetReport> parseTargetReport(const std::string& text)
{
    const Json root = Json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("highest_term"))
        return std::nullopt;
    try {
        return readReport(root);
    } catch (const std::exception&) { // nlohmann-json reports a wrong type of a field by an exception.
        return std::nullopt;
    }
}

} // namespace sp
