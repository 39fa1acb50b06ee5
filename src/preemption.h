/** @file preemption.h Selection of tasks to preempt so that other work can be placed. */
#pragma once

#include "quota.h"
#include "worker_pool.h"

#include <functional>

namespace sp {

/** Tasks to preempt on one worker. */
struct PreemptionChoice {
    WorkerIndex worker = noWorker; ///< noWorker if preemption cannot free enough resources.
    std::vector<TaskKey> victims;
};

/** Returns whether a task may be preempted, given the total size of tasks already chosen from the same team. */
using VictimFilter = std::function<bool(const Reservation&, const Resources& chosen)>;

PreemptionChoice chooseVictims(const WorkerPool& pool, const PlaceQuery& query);
PreemptionChoice chooseBorrowers(const WorkerPool& pool, const PlaceQuery& query, const Quota& quota);

} // namespace sp
