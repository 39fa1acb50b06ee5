/** @file work_payload.h Payload by which a load generator tells the stand-in's targets what to do with a piece of work.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sp {

/** Instructions at the head of a payload: `name=value;` pairs up to a `|`; the rest is filler. */
struct WorkPayload {
    std::string uid; ///< Id of the work at the load generator, by which double runs are found.
    std::optional<std::chrono::milliseconds> runTime; ///< True run time; the target's own distribution if absent.
    std::optional<double> usage; ///< Used share of the declared size.
    bool once = false; ///< Non-idempotent: a second start is a fault even after a failure.
    bool fails = false; ///< The work fails at its end.
    std::uint32_t answerBytes = 0; ///< Filler in the answer.
};

std::string formatWorkPayload(const WorkPayload& payload, std::size_t size);
WorkPayload parseWorkPayload(std::string_view text);
std::string payloadDigest(std::string_view text);
std::string fillerText(std::string_view uid, std::size_t size);

} // namespace sp
