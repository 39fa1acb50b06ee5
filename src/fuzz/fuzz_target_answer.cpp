#include "target_answer.h"

#include <cstdlib>

/** Any report is read whole or refused. @param data Body of a report. @param size Its length. @return 0. */
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const auto parsed = sp::parseTargetReport(std::string(reinterpret_cast<const char*>(data), size));
    if (!parsed)
        return 0;
    for (const sp::RunningTask& task : parsed->report.runningTasks) {
        if (task.size.coresMilli < 0 || task.size.memoryMb < 0 || task.size.accelerators < 0)
            std::abort();
    }
    return 0;
}
