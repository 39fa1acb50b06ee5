/** @file failure_attribution.h Tells failed runs that are the fault of their target from those of their job. */
#pragma once

#include "cell_type.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sp {

/**
 * Decides which targets get no new work because runs fail there, or make no progress.
 *
 * A failed run says that its target is bad or that its job is. It counts against the target only if more jobs have
 * failed there than targets have failed the job, and a target is shut out only if it stands out among those of its
 * service. So a job that fails wherever it runs shuts no target out, however many tasks it has. Until more is known, a
 * target on which several runs of one job have failed is closed to that job alone.
 *
 * Kept in memory only: a new owner lets all targets in and learns anew.
 */
class FailureAttribution {
public:
    /** Change of the time before which a target gets no new work. */
    struct Verdict {
        TargetId target;
        Time shutOutUntil {}; ///< Unset for a target that is let in again.
    };

    [[nodiscard]] std::vector<Verdict> runFailed(
        const TargetId& target, const ServiceId& service, const JobId& job, std::size_t targetsOfService, Time now);
    void runDone(const TargetId& target, const JobId& job);
    bool isClosedTo(const JobId& job, const TargetId& target, Time now) const;
    void forgetTarget(const TargetId& target);
    void forgetExpired(Time now);

private:
    /** Runs of a job on a target. */
    struct JobOnTarget {
        Time failedAt {}; ///< Last failure; unset if there is none.
        int failedInARow = 0;
        bool done = false; ///< A run was done there.
    };
    /** Runs of a job, by target. */
    struct JobHistory {
        std::map<TargetId, JobOnTarget> targets;
        std::size_t targetsOfService = 0;
    };
    /** Failures on a target since a run was done there. */
    struct TargetHistory {
        ServiceId service;
        std::map<JobId, Time> failedJobs; ///< Each with the time of its last failure.
        int shutOuts = 0; ///< Consecutive ones.
        Time shutOutUntil {};
    };

    std::size_t targetsThatFailed(const JobId& job, Time now) const;
    bool isAtFault(const TargetHistory& target, std::size_t targetsOfService, Time now) const;

    std::unordered_map<JobId, JobHistory> m_jobs;
    std::map<TargetId, TargetHistory> m_targets;
};

} // namespace sp
