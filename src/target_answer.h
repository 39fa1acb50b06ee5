/** @file target_answer.h What the answers of targets mean. Any bytes are safe. */
#pragma once

#include "core_type.h"
#include "http_client.h"

#include <optional>
#include <string>

namespace sp {

/** Kind of a call to a target. */
enum class TargetCallKind : std::uint8_t { Run, StartTask, StopTask };

/** Report of a target and the number to ask for the next one with. */
struct TargetReport {
    TargetReported report; ///< Without target, shard, term and sentAt.
    std::uint64_t sequence = 0;
};

CallEnd callEndOf(const HttpResult& result, TargetCallKind kind, const std::string& requestId);
std::optional<TargetReport> parseTargetReport(const std::string& text);

} // namespace sp
