#include "core_type.h"

namespace sp {

/** Name of a hold level in logs and metrics. @param level Level. @return Name in lower case. */
const char* holdLevelName(HoldLevel level)
{
    switch (level) {
    case HoldLevel::None:
        return "none";
    case HoldLevel::Claiming:
        return "claiming";
    case HoldLevel::Recovering:
        return "recovering";
    case HoldLevel::Store:
        return "store";
    case HoldLevel::Promise:
        return "promise";
    case HoldLevel::Fenced:
        return "fenced";
    case HoldLevel::Lost:
        break;
    }
    return "lost";
}

} // namespace sp
