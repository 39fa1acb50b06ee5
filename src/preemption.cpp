#include "preemption.h"

#include <algorithm>

namespace sp {

namespace {

    Resources shortfall(const Resources& size, const WorkerState& worker)
    {
        // Resources of tasks that are already being stopped count as free, less those claimed for other work.
        return maxOf(size - maxOf(worker.info.capacity - worker.reserved + worker.stopping - worker.claimed, {}), {});
    }

    bool isCandidate(const PlaceQuery& query, const WorkerState& worker, WorkerIndex index)
    {
        if (!worker.isEligible() || !query.size.fitsIn(worker.info.capacity)
            || std::find(query.avoid.begin(), query.avoid.end(), index) != query.avoid.end())
            return false;
        if (query.rackLimit == 0 || !query.rackUse)
            return true;
        const auto it = query.rackUse->find(worker.rack);
        return it == query.rackUse->end() || it->second < query.rackLimit;
    }

    /** Picks tasks of one worker that free the missing resources. Prefers those started last, as they lose the least
     * work.
     * @return Tasks, empty if they do not free enough. */
    std::vector<TaskKey> pickVictims(const Resources& missing, const WorkerState& worker, const VictimFilter& filter)
    {
        std::vector<const Reservation*> tasks;
        for (const Reservation& task : worker.tasks) {
            if (task.stoppable && !task.stopping)
                tasks.push_back(&task);
        }
        std::sort(tasks.begin(), tasks.end(), [](const Reservation* a, const Reservation* b) {
            return std::tie(b->startedAt, a->key) < std::tie(a->startedAt, b->key);
        });
        Resources remaining = missing;
        std::vector<TaskKey> victims;
        std::map<std::uint32_t, Resources> chosen;
        for (const Reservation* task : tasks) {
            const Resources contribution = minOf(task->granted, maxOf(remaining, {}));
            if (contribution == Resources {} || !filter(*task, chosen[task->team]))
                continue;
            chosen[task->team] += task->granted;
            victims.push_back(task->key);
            remaining -= task->granted;
            if (remaining.fitsIn({}))
                return victims;
        }
        return {};
    }

} // namespace

/** Chooses tasks to preempt for urgent work, on the worker that is short of the smallest fraction of its capacity. The
 * choice has no victims if the query fits that worker without preemption. */
PreemptionChoice chooseVictims(const WorkerPool& pool, const PlaceQuery& query)
{
    PreemptionChoice choice;
    double lowestCost = 0;
    const auto& workers = pool.workers();
    for (WorkerIndex i = 0; i < workers.size(); ++i) {
        if (!isCandidate(query, workers[i], i))
            continue;
        const Resources missing = shortfall(query.size, workers[i]);
        if (!missing.fitsIn(workers[i].stoppable))
            continue;
        const double cost = largestShare(missing, workers[i].info.capacity);
        if (choice.worker == noWorker || cost < lowestCost) {
            choice.worker = i;
            lowestCost = cost;
        }
    }
    if (choice.worker != noWorker) {
        const WorkerState& worker = workers[choice.worker];
        choice.victims = pickVictims(
            shortfall(query.size, worker), worker, [](const Reservation&, const Resources&) { return true; });
    }
    return choice;
}

/** Chooses tasks of teams above their quota to preempt for a team within its quota. A task is chosen only
 * while its team exceeds its quota without the tasks already chosen. */
PreemptionChoice chooseBorrowers(const WorkerPool& pool, const PlaceQuery& query, const Quota& quota)
{
    // Takes the first suitable worker: searching all of them costs more than a better fit saves.
    const auto filter = [&](const Reservation& task, const Resources& chosen) {
        return quota.check(task.team, Resources {} - chosen, true) == QuotaVerdict::Borrows;
    };
    const auto& workers = pool.workers();
    for (WorkerIndex i = 0; i < workers.size(); ++i) {
        if (!isCandidate(query, workers[i], i))
            continue;
        const Resources missing = shortfall(query.size, workers[i]);
        if (!missing.fitsIn(workers[i].stoppable))
            continue;
        if (auto victims = pickVictims(missing, workers[i], filter); !victims.empty())
            return { i, std::move(victims) };
    }
    return {};
}

} // namespace sp
