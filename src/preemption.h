/** @file preemption.h Choice of the tasks to stop so that other work gets room. */
#pragma once

#include "quota.h"
#include "worker_pool.h"

#include <functional>

namespace sp {

/** Tasks to stop on one worker. */
struct PreemptionChoice {
    WorkerIndex worker = noWorker; ///< noWorker if nothing can be stopped that makes room.
    std::vector<TaskKey> victims;
};

/** Whether a task may be stopped; the second argument is what was already chosen of the same team. */
using VictimFilter = std::function<bool(const Reservation&, const Resources& chosen)>;

PreemptionChoice chooseVictims(const WorkerPool& pool, const PlaceQuery& query);
PreemptionChoice chooseBorrowers(const WorkerPool& pool, const PlaceQuery& query, const Quota& quota);

} // namespace sp
