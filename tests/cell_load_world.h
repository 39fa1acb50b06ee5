/** @file cell_load_world.h A simulated cell under load, which records what the callers get. */
#pragma once

#include "cell_world.h"

#include <map>
#include <string>
#include <vector>

namespace sp::test {

/** Submits a load to the owner and records the times after which jobs are accepted and completed. */
struct LoadTest : CellWorld {
    AccountId account; ///< Client account of the jobs that are submitted from now on.
    std::map<std::string, Time> submittedAt; ///< Submission time of each job.
    std::map<std::string, Duration> answeredAfter; ///< Time from submission to the answer.
    std::map<std::string, Duration> completedAfter; ///< Time from submission to completion.

    void submitTo(const std::string& id, const QueueId& queue, std::vector<StepSpec> steps)
    {
        submitToService(id, queue, ServiceId("s"), std::move(steps));
    }

    void submitToService(
        const std::string& id, const QueueId& queue, const ServiceId& service, std::vector<StepSpec> steps)
    {
        submittedAt[id] = now;
        CellJobSpec spec;
        spec.id = JobId(id);
        spec.queue = queue;
        spec.service = service;
        spec.account = account;
        spec.payload = "payload";
        spec.steps = std::move(steps);
        deliver([this, id, spec = std::move(spec)]() mutable {
            owner->submit(std::move(spec), now, [this, id](JobAnswer&& answer) {
                answers[JobId(id)] = answer.kind;
                answeredAfter[id] = now - submittedAt[id];
            });
        });
    }

    void runAndRecord(Duration duration)
    {
        const Time end = now + duration;
        while (now < end) {
            run(20ms);
            for (const auto& [id, at] : submittedAt) {
                if (!completedAfter.contains(id) && state(id) == "completed")
                    completedAfter[id] = now - at;
            }
        }
    }

    /** Returns the share of jobs with this id prefix that were completed within a time limit. */
    double shareWithin(const std::string& prefix, Duration limit) const
    {
        double all = 0;
        double within = 0;
        for (const auto& [id, at] : submittedAt) {
            if (!id.starts_with(prefix))
                continue;
            ++all;
            const auto it = completedAfter.find(id);
            within += it != completedAfter.end() && it->second <= limit ? 1 : 0;
        }
        return all > 0 ? within / all : 0;
    }
};

} // namespace sp::test
