#include "log_line.h"

#include <algorithm>

namespace sp {

/** @param level Importance. @param event Name of what happened, in snake case. */
LogLine::LogLine(LogLevel level, const char* event)
    : m_level(level)
{
    m_text.reserve(160);
    m_text = "event=";
    m_text += event;
}

LogLine::~LogLine() { logStructured(m_level, std::move(m_text)); }

/** Adds a field. @param key Name. @param value Text; quoted if it has spaces. @return This line. */
LogLine& LogLine::with(const char* key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    const auto special = [](char c) { return c == ' ' || c == '"' || c == '\n' || c == '='; };
    if (!value.empty() && std::none_of(value.begin(), value.end(), special)) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (const char c : value) {
        if (c == '"')
            m_text += '\'';
        else
            m_text += c == '\n' ? ' ' : c;
    }
    m_text += '"';
    return *this;
}

} // namespace sp
