#include "guard_func.h"

#include "log_line.h"

#include <atomic>
#include <exception>

namespace sp {

namespace {

    std::atomic<std::uint64_t> failures { 0 };

} // namespace

/**
 * Runs a callback. An exception ends only this callback; it is logged and counted.
 * @param part Name of the caller for the log.
 * @return False if the callback threw.
 */
bool runGuarded(const char* part, const std::function<void()>& callback)
{
    try {
        callback();
        return true;
    } catch (const std::exception& error) {
        failures.fetch_add(1, std::memory_order_relaxed);
        LogLine(LogLevel::Error, "callback_failed").with("part", part).with("reason", error.what());
        return false;
    }
}

/** Returns the number of callbacks of this process that threw. */
std::uint64_t callbackFailures() { return failures.load(std::memory_order_relaxed); }

} // namespace sp
