#include "ctl/clock_wall_func.h"

#include <ctime>

namespace sp::ctl {

/** @return Present time of day. */
std::chrono::sys_seconds wallNow()
{
    return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

/** @param time Time. @return Text such as `2026-01-31T23:59:59Z`. */
std::string rfc3339(std::chrono::sys_seconds time)
{
    const std::time_t seconds = time.time_since_epoch().count();
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

/** @param text Text in the form of rfc3339(). @return Time, absent if malformed. */
std::optional<std::chrono::sys_seconds> parseRfc3339(const std::string& text)
{
    std::tm parts {};
    const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (!end || *end)
        return std::nullopt;
    return std::chrono::sys_seconds(std::chrono::seconds(timegm(&parts)));
}

} // namespace sp::ctl
