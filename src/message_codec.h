/** @file message_codec.h Frames between own processes, to and from the structs of core_type.h. */
#pragma once

#include "core_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sp {

/** First message of a link. */
struct HelloMessage {
    bool gateway = false;
};

/** Request for the text of a bundle. */
struct BundleFetchMessage {
    BundleVersion version;
};

/** Answer to ExplainRequested. */
struct ExplainMessage {
    RequestId id;
    std::string text;
};

using LinkMessage
    = std::variant<HelloMessage, HeartbeatMessage, HeartbeatAckMessage, PromptSubmitted, JobSubmitted, AnswerMessage,
        JobCommanded, PromptCancelled, BundleFetchMessage, BundleTextMessage, ExplainRequested, ExplainMessage>;

/** A decoded frame. */
struct LinkFrame {
    HostId from; ///< Host that the sender names.
    Incarnation incarnation; ///< Incarnation of the sending process.
    LinkMessage message; ///< Without its reply route, which the link sets.
};

/** Why a frame was not decoded. */
enum class FrameProblem : std::uint8_t { None, Malformed, Oversized, UnknownVersion };

/** Result of decoding: a frame, or the reason why there is none. */
struct FrameDecode {
    std::optional<LinkFrame> frame;
    FrameProblem problem = FrameProblem::None;
};

constexpr std::uint32_t linkProtocol = 1; ///< Version of the format.
/** Largest frame: the whole answer of a target (8 MB) and its envelope. */
constexpr std::size_t maxFrameBytes = 9UL * 1024 * 1024;

std::string encodeFrame(const HostId& from, Incarnation incarnation, const LinkMessage& message, Time now);
FrameDecode decodeFrame(std::string_view bytes, Time now);

} // namespace sp
