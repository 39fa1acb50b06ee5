/** @file ini_type.h Description of the keys of an INI text. */
#pragma once

#include <string_view>

namespace sp {

/** Type of a key's value. */
enum class KeyType : unsigned char {
    Text, ///< Any text that is not empty.
    Name, ///< Letters, digits, `-` and `_`.
    List, ///< Names separated by commas.
    Integer,
    Real,
    Flag, ///< `true` or `false`.
    Span, ///< Time with its unit: `250ms`, `3s`, `10min`.
    Address, ///< `ip:port`, by number.
    Choice, ///< One of the names in KeyInfo::choices.
};

/** One key that a section may hold. */
struct KeyInfo {
    std::string_view section; ///< First word of the section's title.
    std::string_view key; ///< Name of the key.
    KeyType type; ///< Type of its value.
    std::string_view unit; ///< Unit, empty if it has none; for Span milliseconds apply to min and max.
    std::string_view standard; ///< Default; `!` if the key must be given, empty for no value.
    double min; ///< Smallest number or time.
    double max; ///< Largest number or time.
    std::string_view choices; ///< For Choice: names separated by `|`.
    std::string_view text; ///< One sentence for the documentation.
};

} // namespace sp
