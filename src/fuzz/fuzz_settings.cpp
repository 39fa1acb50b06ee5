#include "ini_text.h"
#include "settings.h"

#include <cstdlib>

namespace {

template <typename T> void check(const sp::SettingsParse<T>& parsed)
{
    if (parsed.settings.has_value() != parsed.problems.empty())
        std::abort();
    for (const sp::TextProblem& problem : parsed.problems) {
        if (problem.line < 0 || sp::problemText("file", problem).size() < 8)
            std::abort();
    }
}

} // namespace

/** Any text gives either settings or problems. @param data Text. @param size Its length. @return 0. */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    check(sp::parseSchedulerSettings(text));
    check(sp::parseGatewaySettings(text));
    return 0;
}
