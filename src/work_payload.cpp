#include "work_payload.h"
#include "fnv_hash_func.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace sp {

/** Writes a payload. @param payload Instructions. @param size Size wanted; the filler depends on the uid. @return
 * Text of at least the size of the instructions. */
std::string formatWorkPayload(const WorkPayload& payload, std::size_t size)
{
    std::string text = "uid=" + payload.uid + ";";
    if (payload.runTime)
        text += "run_ms=" + std::to_string(payload.runTime->count()) + ";";
    if (payload.usage)
        text += "usage=" + std::to_string(*payload.usage) + ";";
    if (payload.once)
        text += "once=1;";
    if (payload.fails)
        text += "fails=1;";
    if (payload.answerBytes > 0)
        text += "answer_bytes=" + std::to_string(payload.answerBytes) + ";";
    text += "|";
    if (text.size() < size)
        text += fillerText(payload.uid, size - text.size());
    return text;
}

/** Reads the instructions of a payload. @param text Payload. @return Instructions; unknown ones are passed over. */
WorkPayload parseWorkPayload(std::string_view text)
{
    WorkPayload payload;
    const auto end = text.find('|');
    if (end == std::string_view::npos)
        return payload;
    text = text.substr(0, end);
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos)
            continue;
        const std::string_view name = pair.substr(0, equals);
        const std::string value(pair.substr(equals + 1));
        if (name == "uid")
            payload.uid = value;
        else if (name == "run_ms")
            payload.runTime = std::chrono::milliseconds(std::strtoll(value.c_str(), nullptr, 10));
        else if (name == "usage")
            payload.usage = std::strtod(value.c_str(), nullptr);
        else if (name == "once")
            payload.once = value == "1";
        else if (name == "fails")
            payload.fails = value == "1";
        else if (name == "answer_bytes")
            payload.answerBytes = static_cast<std::uint32_t>(std::strtoul(value.c_str(), nullptr, 10));
    }
    return payload;
}

/** Digest by which a caller recognises its own payload. @param text Payload. @return 16 hexadecimal digits. */
std::string payloadDigest(std::string_view text)
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(fnvHash(text)));
    return digits.data();
}

/** Filler that differs between pieces of work. @param uid Id of the work. @param size Size. @return Letters. */
std::string fillerText(std::string_view uid, std::size_t size)
{
    std::string text(size, '.');
    std::uint64_t state = fnvHash(uid);
    for (char& c : text) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        c = static_cast<char>('a' + (state >> 33U) % 26);
    }
    return text;
}

} // namespace sp
