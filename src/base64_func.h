/** @file base64_func.h Base64 with padding, in which stores carry values as text. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sp {

std::string base64Encode(std::string_view bytes);
std::optional<std::string> base64Decode(std::string_view text);

} // namespace sp
