#include "work_type.h"

namespace sp {

/** Name of a job phase in answers. @param phase Phase. @return Name in lower case. */
const char* jobPhaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Running:
        return "running";
    case JobPhase::Done:
        return "done";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    case JobPhase::Unknown:
        break;
    }
    return "unknown";
}

/** Name of a class of work in bundles and metrics. @param workClass Class. @return Name in lower case. */
const char* workClassName(WorkClass workClass)
{
    switch (workClass) {
    case WorkClass::Prompt:
        return "prompt";
    case WorkClass::Batch:
        return "batch";
    case WorkClass::Gang:
        return "gang";
    case WorkClass::Hold:
        break;
    }
    return "hold";
}

/** Name of a call's end in logs. @param end End. @return Name in lower case. */
const char* callEndName(CallEnd end)
{
    switch (end) {
    case CallEnd::Completed:
        return "completed";
    case CallEnd::Failed:
        return "failed";
    case CallEnd::RefusedFull:
        return "refused_full";
    case CallEnd::RefusedLeaving:
        return "refused_leaving";
    case CallEnd::RefusedTerm:
        return "refused_term";
    case CallEnd::NotConnected:
        return "not_connected";
    case CallEnd::Lost:
        break;
    }
    return "lost";
}

} // namespace sp
