/** @file clock_wall_func.h Time of day, for records that people read. */
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace sp::ctl {

std::chrono::sys_seconds wallNow();
std::string rfc3339(std::chrono::sys_seconds time);
std::optional<std::chrono::sys_seconds> parseRfc3339(const std::string& text);

} // namespace sp::ctl
