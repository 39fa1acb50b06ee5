#include "cell_job.h"
#include "proto/cell.pb.h"
#include "relay_codec.h"
#include "wire.h"

#include <array>

namespace {

using namespace sp;

using Decoder = void (*)(const std::string& body);

/** Discards the result of a fallible decoder. */
template <typename Decode> void discard(Decode&& decode)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> { return decode().has_value() ? leaf::result<void>() : leaf::new_error(); }, [] {});
}

template <typename Message> void decodeRelayMessage(const std::string& body)
{
    Message message;
    if (!message.ParseFromString(body))
        return;
    if constexpr (std::is_same_v<Message, proto::RelayCall>) {
        for (const proto::RelayOrder& order : message.orders())
            fromProto(order, FencingToken(1));
    } else {
        for (const proto::RelayResult& result : message.results())
            fromProto(result);
    }
}

/** Decoders of all bodies that the platform, callers and other hosts send, and of the records. */
constexpr std::array<Decoder, 12> decoders {
    [](const std::string& body) { discard([&] { return platform::decodeJob(body); }); },
    [](const std::string& body) { discard([&] { return platform::decodeConfig(body); }); },
    [](const std::string& body) { discard([&] { return platform::decodeTarget(TargetId("t"), body); }); },
    [](const std::string& body) { platform::decodeOrderAnswer(409, body); },
    [](const std::string& body) { discard([&] { return platform::decodeReport(body); }); },
    [](const std::string& body) { discard([&] { return platform::decodeAdvice(body); }); },
    [](const std::string& body) { discard([&] { return platform::decodeStoreReply(StoreRange {}, body); }); },
    [](const std::string& body) { discard([&] { return platform::decodeConflict(body); }); },
    [](const std::string& body) { discard([&] { return platform::decodeWatch("o", body); }); },
    [](const std::string& body) { decodeRelayMessage<proto::RelayCall>(body); },
    [](const std::string& body) { decodeRelayMessage<proto::RelayAnswer>(body); },
    [](const std::string& body) {
        CellJob job;
        if (auto spec = decodeJobSpec(body))
            job.spec = std::move(*spec);
        decodeJobRecord(body, job);
    },
};

} // namespace

/**
 * No body makes a decoder throw or read out of bounds.
 * @param data First byte: decoder; the rest is the body.
 * @param size Length.
 * @return 0.
 */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    if (size == 0)
        return 0;
    decoders[data[0] % decoders.size()](std::string(reinterpret_cast<const char*>(data) + 1, size - 1));
    return 0;
}
