#include "preemption.h"

#include <algorithm>

namespace sp {

namespace {

    Resources shortfall(const Resources& size, const WorkerState& worker)
    {
        // Room of tasks that are being stopped already counts, less what other claims wait for.
        return maxOf(size - maxOf(worker.info.capacity - worker.reserved + worker.stopping - worker.claimed, {}), {});
    }

    bool mayUse(const PlaceQuery& query, const WorkerState& worker, WorkerIndex index)
    {
        if (!worker.isEligible() || !query.size.fitsIn(worker.info.capacity)
            || std::find(query.avoid.begin(), query.avoid.end(), index) != query.avoid.end())
            return false;
        if (query.rackLimit == 0 || !query.rackUse)
            return true;
        const auto it = query.rackUse->find(worker.rack);
        return it == query.rackUse->end() || it->second < query.rackLimit;
    }

    /** Tasks of one worker that make up the missing room, the latest started first since they lose the least work. */
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
        Resources left = missing;
        std::vector<TaskKey> victims;
        std::map<std::uint32_t, Resources> chosen;
        for (const Reservation* task : tasks) {
            const Resources useful = minOf(task->granted, maxOf(left, {}));
            if (useful == Resources {} || !filter(*task, chosen[task->team]))
                continue;
            chosen[task->team] += task->granted;
            victims.push_back(task->key);
            left -= task->granted;
            if (left.fitsIn({}))
                return victims;
        }
        return {};
    }

} // namespace

/** Tasks to stop for urgent work, on the worker that has to give up the smallest share. @param pool Workers.
 * @param query Need. @return Choice. */
PreemptionChoice chooseVictims(const WorkerPool& pool, const PlaceQuery& query)
{
    PreemptionChoice choice;
    double least = 0;
    const auto& workers = pool.workers();
    for (WorkerIndex i = 0; i < workers.size(); ++i) {
        if (!mayUse(query, workers[i], i))
            continue;
        const Resources missing = shortfall(query.size, workers[i]);
        if (!missing.fitsIn(workers[i].stoppable))
            continue;
        const double cost = largestShare(missing, workers[i].info.capacity);
        if (choice.worker == noWorker || cost < least) {
            choice.worker = i;
            least = cost;
        }
    }
    if (choice.worker != noWorker) {
        const WorkerState& worker = workers[choice.worker];
        choice.victims = pickVictims(
            shortfall(query.size, worker), worker, [](const Reservation&, const Resources&) { return true; });
    }
    return choice;
}

/** Tasks of teams above their quota to stop, so that a team within its quota gets room. @param pool Workers.
 * @param query Need. @param quota Usage of the teams. @return Choice. */
PreemptionChoice chooseBorrowers(const WorkerPool& pool, const PlaceQuery& query, const Quota& quota)
{
    // The first worker that can give the room is taken: looking further costs more than a better fit saves.
    const auto filter = [&](const Reservation& task, const Resources& chosen) {
        return quota.check(task.team, Resources {} - chosen, true) == QuotaVerdict::Borrows;
    };
    const auto& workers = pool.workers();
    for (WorkerIndex i = 0; i < workers.size(); ++i) {
        if (!mayUse(query, workers[i], i))
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
