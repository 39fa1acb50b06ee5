#include "base64_func.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace sp {

namespace {

    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

/** Base64 with padding. @param bytes Bytes. @return Text. */
std::string base64Encode(std::string_view bytes)
{
    std::string out;
    out.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8U) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out += j <= count ? alphabet[(group >> (18U - 6U * j)) & 63U] : '=';
    }
    return out;
}

/** Reverses base64Encode. @param text Text. @return Bytes, nothing if the text is malformed. */
std::optional<std::string> base64Decode(std::string_view text)
{
    static const auto values = [] {
        std::array<signed char, 256> table {};
        table.fill(-1);
        for (std::size_t i = 0; i < alphabet.size(); ++i)
            table[static_cast<unsigned char>(alphabet[i])] = static_cast<signed char>(i);
        return table;
    }();
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    std::string out;
    out.reserve(text.size() / 4 * 3);
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int value = i >= text.size() - padding ? 0 : values[static_cast<unsigned char>(text[i])];
        if (value < 0)
            return std::nullopt;
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        if (i % 4 == 3) {
            for (const unsigned shift : { 16U, 8U, 0U })
                out += static_cast<char>((group >> shift) & 255U);
            group = 0;
        }
    }
    out.resize(out.size() - padding);
    return out;
}

} // namespace sp
