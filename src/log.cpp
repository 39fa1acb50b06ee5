#include "log_func.h"
#include "ring.h"
#include "time_type.h"

#include <array>
#include <atomic>
#include <glog/logging.h>
#include <poll.h>
#include <thread>

namespace sp {

namespace {

    constexpr std::size_t logRingLines = 65536; ///< At 20,000 decisions a second this bridges a stall of three seconds.

    struct Line {
        LogPart part;
        LogLevel level;
        std::chrono::system_clock::time_point at; ///< When the line was handed over, not when it is written.
        std::string text;
    };

    Ring<Line>& logRing()
    {
        static Ring<Line> ring(logRingLines);
        return ring;
    }

    std::atomic<std::uint64_t> linesDropped { 0 };
    std::atomic<bool> running { false };
    std::thread writer;

    void write(const Line& line)
    {
        static constexpr std::array<google::LogSeverity, 3> severities { google::GLOG_INFO, google::GLOG_WARNING,
            google::GLOG_ERROR };
        static constexpr std::array<char, 3> letters { 'I', 'W', 'E' };
        const auto level = static_cast<std::size_t>(line.level);
        // glog's own prefix would name this file and the time of writing on every line.
        google::LogMessage(__FILE__, __LINE__, severities[level]).stream()
            << wallText(line.at) << ' ' << letters[level] << ' ' << logPrefix(line.part) << ' ' << line.text;
    }

    void writeWaiting()
    {
        for (const Line& line : logRing().drain())
            write(line);
    }

    void writerLoop()
    {
        while (running.load(std::memory_order_relaxed)) {
            pollfd waitFor { logRing().wakeFd(), POLLIN, 0 };
            poll(&waitFor, 1, 1000);
            writeWaiting();
        }
        writeWaiting();
    }

} // namespace

/**
 * Fixed prefix of a part.
 * @param part Part.
 * @return Prefix with its colon.
 */
const char* logPrefix(LogPart part)
{
    static constexpr std::array<const char*, 9> prefixes {
        "gate:", "route:", "place:", "own:", "store:", "link:", "target:", "bundle:", "main:"
    };
    return prefixes[static_cast<std::size_t>(part)];
}

/**
 * Starts the writing thread. Lines go to standard error only, since hosts have no disks.
 * @param program Name of the program, kept by the caller.
 */
void startLog(const char* program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
    running = true;
    writer = std::thread(writerLoop);
}

/** Writes what waits and ends the writing thread. */
void stopLog()
{
    if (!running.exchange(false))
        return;
    logRing().wake();
    writer.join();
    google::ShutdownGoogleLogging();
}

/**
 * Hands a line to the writing thread; never blocks. A line that finds the ring full is dropped and counted.
 * @param part Part that speaks.
 * @param level Importance.
 * @param text Short sentence.
 */
void logLine(LogPart part, LogLevel level, std::string text)
{
    if (!running.load(std::memory_order_relaxed))
        return;
    if (!logRing().tryPush(Line { part, level, wallNow(), std::move(text) }))
        linesDropped.fetch_add(1, std::memory_order_relaxed);
}

/** Line of ordinary importance. @param part Part. @param text Sentence. */
void logInfo(LogPart part, std::string text) { logLine(part, LogLevel::Info, std::move(text)); }

/** Line about something that an operator may have to look at. @param part Part. @param text Sentence. */
void logWarning(LogPart part, std::string text) { logLine(part, LogLevel::Warning, std::move(text)); }

/** @return Number of lines dropped because the ring was full. */
std::uint64_t logLinesDropped() { return linesDropped.load(std::memory_order_relaxed); }

} // namespace sp
