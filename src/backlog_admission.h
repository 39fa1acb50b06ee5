/** @file backlog_admission.h Decides whether a full service accepts one more job. Depends on its arguments only. */
#pragma once

#include <chrono>

namespace sp {

/** State of a service, and the work there that goes before a new job. */
struct BacklogState {
    double capacityCores = 0; ///< Cores of all usable targets.
    double freeCores = 0; ///< Cores of free places that are large enough for tasks of the job.
    double workingCores = 0; ///< Cores of the runs that end by themselves.
    double freedPerSecond = 0; ///< Cores that these runs are expected to free each second.
    double coresAhead = 0; ///< Cores of the tasks that wait for placement before the job.
    double coreSecondsAhead = 0; ///< Work of these tasks and of the later steps of their jobs.
    std::chrono::milliseconds adviceWait { 0 }; ///< Time for which a question of its queue waits for the advisor.
};

/** What the caller of a job needs. */
struct BacklogDemand {
    std::chrono::milliseconds path { 0 }; ///< Critical path of the job.
    std::chrono::milliseconds objective { 0 }; ///< Time from submission to the end of its objective.
    double slackFactor = 1; ///< QueueConfig::slackFactor of its queue.
    bool beyondRate = false; ///< Submitted beyond the usual rate of its account.
};

struct BacklogVerdict {
    bool accepted = true;
    std::chrono::milliseconds wait { 0 }; ///< Expected time until the tasks of the job find room.
    std::chrono::milliseconds retryAfter {
        0
    }; ///< Of a refused job: time until the backlog has drained, within limits.
};

BacklogVerdict checkBacklog(const BacklogState& state, const BacklogDemand& demand);

} // namespace sp
