#include "log_func.h"
#include "ring.h"
#include "time_type.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <climits>
#include <glog/logging.h>
#include <poll.h>
#include <thread>
#include <unistd.h>

namespace sp {

namespace {

    constexpr std::size_t logRingLines = 65536; ///< At 20,000 decisions a second this bridges a stall of three seconds.
    constexpr int structuredBatchMs = 100; ///< Structured lines are written in batches, since each wake-up costs.
    /** Pipes keep writes of up to this size whole; collectors that read in blocks lose the rest of longer writes. */
    constexpr std::size_t maxWriteBytes = PIPE_BUF;
    constexpr std::size_t structuredRingLines = 4096; ///< About 1 MB of lines that wait for a blocked reader.

    struct Line {
        LogPart part;
        LogLevel level;
        std::chrono::system_clock::time_point at; ///< When the line was handed over, not when it is written.
        std::string text;
        bool structured = false;
    };

    Ring<Line>& logRing()
    {
        static Ring<Line> ring(logRingLines);
        return ring;
    }

    std::atomic<std::uint64_t> linesDropped { 0 };
    std::atomic<int> structuredPerBatch { 0 }; ///< Most ordinary lines of one batch.
    std::atomic<int> structuredLeft { 0 }; ///< Ordinary lines that this batch still takes.
    std::atomic<bool> running { false };
    std::atomic<LogSink> sinkInUse { LogSink::StandardError };
    std::thread writer;

    constexpr std::array<const char*, 3> levelNames { "info", "warning", "error" };

    void appendStructured(std::string& out, const Line& line)
    {
        out += "at=" + wallText(line.at) + " level=" + levelNames[static_cast<std::size_t>(line.level)] + ' ';
        if (!line.structured)
            out += std::string("part=") + logPrefix(line.part) + " text=";
        out += line.text;
        out += '\n';
    }

    /** Returns the size of the longest group of whole lines that fits into one atomic write, or of one longer line. */
    std::size_t nextWriteSize(std::string_view lines)
    {
        if (lines.size() <= maxWriteBytes)
            return lines.size();
        const std::size_t lastBreak = lines.rfind('\n', maxWriteBytes - 1);
        const std::size_t end = lastBreak == std::string_view::npos ? lines.find('\n') : lastBreak;
        return end == std::string_view::npos ? lines.size() : end + 1;
    }

    /** Writes some bytes to standard output. @return False if nobody reads any more or the process is ending. */
    bool writeAll(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t count = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
            if (count >= 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
            } else if (errno == EAGAIN) {
                pollfd waitFor { STDOUT_FILENO, POLLOUT, 0 };
                poll(&waitFor, 1, structuredBatchMs);
                if (!running.load(std::memory_order_relaxed))
                    return false; // The process is ending and must not wait for a reader.
            } else if (errno != EINTR) {
                return false;
            }
        }
        return true;
    }

    /** Writes whole lines to standard output; a slow reader only delays this thread. Lines not written are counted. */
    void writeOut(std::string_view lines)
    {
        while (!lines.empty()) {
            const std::size_t size = nextWriteSize(lines);
            if (!writeAll(lines.substr(0, size))) {
                linesDropped.fetch_add(static_cast<std::uint64_t>(std::count(lines.begin(), lines.end(), '\n')),
                    std::memory_order_relaxed);
                return;
            }
            lines.remove_prefix(size);
        }
    }

    void writeBatch(std::uint64_t& droppedBefore)
    {
        structuredLeft = structuredPerBatch.load();
        std::string out;
        for (const Line& line : logRing().drain())
            appendStructured(out, line);
        if (const std::uint64_t dropped = linesDropped; dropped != droppedBefore) {
            appendStructured(out,
                { LogPart::Main, LogLevel::Warning, wallNow(),
                    "event=log_lines_dropped count=" + std::to_string(dropped - droppedBefore), true });
            droppedBefore = dropped;
        }
        writeOut(out);
    }

    void structuredLoop()
    {
        std::uint64_t dropped = 0;
        pollfd waitFor { logRing().wakeFd(), POLLIN, 0 };
        while (running.load(std::memory_order_relaxed)) {
            poll(&waitFor, 1, -1);
            // More lines gather while it waits; the descriptor stays readable until they are drained.
            if (running.load(std::memory_order_relaxed))
                std::this_thread::sleep_for(std::chrono::milliseconds(structuredBatchMs));
            writeBatch(dropped);
        }
        writeBatch(dropped);
    }

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
 * Starts the writing thread.
 * @param program Name of the program, kept by the caller.
 * @param sink Standard error for lines of text written by glog, standard output for structured lines in batches.
 * @param linesPerSecond Most ordinary structured lines; more are dropped and counted.
 */
void startLog(const char* program, LogSink sink, int linesPerSecond)
{
    sinkInUse = sink;
    if (sink == LogSink::StandardOutput) {
        structuredPerBatch = linesPerSecond / (1000 / structuredBatchMs);
        structuredLeft = structuredPerBatch.load();
        running = true;
        writer = std::thread(structuredLoop);
        return;
    }
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
    if (sinkInUse == LogSink::StandardError)
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
    if (!logRing().tryPush(Line { part, level, wallNow(), std::move(text), false }))
        linesDropped.fetch_add(1, std::memory_order_relaxed);
}

/**
 * Hands a line of fields to the writing thread; never blocks. Under load ordinary lines beyond a fixed rate are dropped
 * and counted, then others once the ring is full.
 * @param level Importance.
 * @param text Fields, without the time and the level.
 */
void logStructured(LogLevel level, std::string text)
{
    if (!running.load(std::memory_order_relaxed))
        return;
    const bool overRate = level == LogLevel::Info && structuredLeft.fetch_sub(1, std::memory_order_relaxed) <= 0;
    const std::size_t bound = std::max(structuredRingLines, static_cast<std::size_t>(structuredPerBatch.load()));
    if (overRate || logRing().size() >= bound
        || !logRing().tryPush(Line { LogPart::Main, level, wallNow(), std::move(text), true }))
        linesDropped.fetch_add(1, std::memory_order_relaxed);
}

/** Line of ordinary importance. @param part Part. @param text Sentence. */
void logInfo(LogPart part, std::string text) { logLine(part, LogLevel::Info, std::move(text)); }

/** Line about something that an operator may have to look at. @param part Part. @param text Sentence. */
void logWarning(LogPart part, std::string text) { logLine(part, LogLevel::Warning, std::move(text)); }

/** @return Number of lines dropped because the ring was full. */
std::uint64_t logLinesDropped() { return linesDropped.load(std::memory_order_relaxed); }

} // namespace sp
