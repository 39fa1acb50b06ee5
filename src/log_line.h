/** @file log_line.h Structured log lines: an event and its fields, `key=value`. */
#pragma once

#include "cell_type.h"
#include "log_func.h"

#include <string>
#include <string_view>
#include <type_traits>

namespace sp {

/** Builds one line and hands it to the log when it is destroyed. */
class LogLine {
public:
    LogLine(LogLevel level, const char* event);
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;
    ~LogLine();

    LogLine& with(const char* key, std::string_view value);
    LogLine& with(const char* key, const char* value) { return with(key, std::string_view(value)); }
    LogLine& with(const char* key, const std::string& value) { return with(key, std::string_view(value)); }
    LogLine& with(const char* key, bool value) { return with(key, std::string_view(value ? "true" : "false")); }
    template <typename Tag> LogLine& with(const char* key, const TextId<Tag>& id) { return with(key, id.value); }
    template <typename Tag> LogLine& with(const char* key, const NumberId<Tag>& id) { return with(key, id.value); }
    template <typename Number>
    std::enable_if_t<std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>, LogLine&> with(
        const char* key, Number value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    const LogLevel m_level;
    std::string m_text;
};

} // namespace sp
