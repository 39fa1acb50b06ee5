/** @file log_func.h Structured log lines with a fixed prefix for each part, written by a thread of their own. */
#pragma once

#include <cstdint>
#include <string>

namespace sp {

/** Part of the system that writes a log line. */
enum class LogPart : std::uint8_t {
    Gate, ///< `gate:` caller connections.
    Route, ///< `route:` routing decisions.
    Place, ///< `place:` placement decisions.
    Own, ///< `own:` ownership of shards.
    Store, ///< `store:` store session.
    Link, ///< `link:` links between own processes.
    Target, ///< `target:` target connections and health.
    Bundle, ///< `bundle:` bundles.
    Main, ///< `main:` start and stop.
};

/** Importance of a log line. */
enum class LogLevel : std::uint8_t { Info, Warning, Error };

/** Where lines go. Hosts have no disks, so it is never a file. */
enum class LogSink : std::uint8_t { StandardError, StandardOutput };

constexpr int defaultLinesPerSecond = 3000; ///< Ordinary structured lines; a busy owner writes some 1,500.

void startLog(const char* program, LogSink sink = LogSink::StandardError, int linesPerSecond = defaultLinesPerSecond);
void stopLog();
void logLine(LogPart part, LogLevel level, std::string text);
void logInfo(LogPart part, std::string text);
void logWarning(LogPart part, std::string text);
void logStructured(LogLevel level, std::string text);
std::uint64_t logLinesDropped();
const char* logPrefix(LogPart part);

} // namespace sp
