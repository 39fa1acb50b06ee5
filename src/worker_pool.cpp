#include "worker_pool.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

namespace {

    /** Number of candidates scored from each end of the index; a larger number does not improve placement. */
    constexpr int maxCandidatesPerEnd = 12;

    /** Scale of the wait weight. Both terms depend on the same utilisation; with half the scale, packing prevails at
     * equal weights. */
    constexpr double waitWeightScale = 0.5;

    double ratioOf(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    }

} // namespace

/** Returns the component-wise minimum. */
Resources minOf(const Resources& left, const Resources& right)
{
    return { std::min(left.coresMilli, right.coresMilli), std::min(left.memoryMb, right.memoryMb),
        std::min(left.accelerators, right.accelerators) };
}

/** Returns the component-wise maximum. */
Resources maxOf(const Resources& left, const Resources& right)
{
    return { std::max(left.coresMilli, right.coresMilli), std::max(left.memoryMb, right.memoryMb),
        std::max(left.accelerators, right.accelerators) };
}

/** Returns the dominant share: the largest ratio of part to whole over all resources. */
double largestShare(const Resources& part, const Resources& whole)
{
    return std::max({ ratioOf(part.coresMilli, whole.coresMilli), ratioOf(part.memoryMb, whole.memoryMb),
        ratioOf(part.accelerators, whole.accelerators) });
}

/** Returns how many tasks of a size fit in the free resources, at most 1,000,000. */
std::uint32_t timesIn(const Resources& size, const Resources& room)
{
    std::int64_t times = 1000000;
    const auto limit = [&](std::int64_t need, std::int64_t have) {
        if (need > 0)
            times = std::min(times, std::max<std::int64_t>(have, 0) / need);
    };
    limit(size.coresMilli, room.coresMilli);
    limit(size.memoryMb, room.memoryMb);
    limit(size.accelerators, room.accelerators);
    return static_cast<std::uint32_t>(times);
}

/** Returns the resources available to new tasks, never negative, zero if the worker is not eligible. @param withHeld
 * Include those set aside for a gang. */
Resources WorkerState::room(bool withHeld) const
{
    if (!isEligible())
        return {};
    Resources left = info.capacity - reserved - claimed;
    if (!withHeld)
        left -= held;
    return maxOf(left, {});
}

/** Adds a worker or updates its data, recomputes its grants and returns its index. A new worker is not usable yet. */
WorkerIndex WorkerPool::put(const WorkerInfo& info)
{
    WorkerIndex index = find(info.id);
    if (index == noWorker) {
        if (m_unusedIndices.empty()) {
            index = static_cast<WorkerIndex>(m_workers.size());
            m_workers.emplace_back();
            m_index.emplace_back();
            m_isFreed.push_back(false);
        } else {
            index = m_unusedIndices.back();
            m_unusedIndices.pop_back();
        }
        m_indexById.emplace(info.id, index);
    }
    WorkerState& worker = m_workers[index];
    m_totalCapacity += info.capacity - worker.info.capacity;
    worker.info = info;
    worker.known = true;
    worker.rack = m_rackIndices.emplace(info.rack, static_cast<std::uint32_t>(m_rackIndices.size())).first->second;
    recomputeGrants(worker);
    rebuildCapacityClasses();
    updateIndex(index);
    return index;
}

/** Returns the index of a worker, or noWorker. */
WorkerIndex WorkerPool::find(const TargetId& id) const
{
    const auto it = m_indexById.find(id);
    return it == m_indexById.end() ? noWorker : it->second;
}

/** Sets whether the worker reports under the owner's current term; others get no new tasks. */
void WorkerPool::setUsable(WorkerIndex worker, bool usable)
{
    m_workers[worker].usable = usable;
    rebuildCapacityClasses();
    updateIndex(worker);
}

/** Permanently stops new tasks on a worker; running tasks continue. */
void WorkerPool::setLeaving(WorkerIndex worker)
{
    m_workers[worker].leaving = true;
    rebuildCapacityClasses();
    updateIndex(worker);
}

/** Excludes a worker on which tasks fail from placement, or includes it again. */
void WorkerPool::setOut(WorkerIndex worker, bool out)
{
    if (m_workers[worker].out == out)
        return;
    m_workers[worker].out = out;
    updateIndex(worker);
}

/** Starts or ends the temporary exclusion of a worker that refused a start. */
void WorkerPool::setPaused(WorkerIndex worker, bool paused)
{
    m_workers[worker].paused = paused;
    updateIndex(worker);
}

/** Removes a worker with its reservations and frees its index. */
void WorkerPool::remove(WorkerIndex worker)
{
    WorkerState& state = m_workers[worker];
    m_totalCapacity -= state.info.capacity;
    m_totalReserved -= state.reserved;
    m_indexById.erase(state.info.id);
    state = {};
    updateIndex(worker);
    m_unusedIndices.push_back(worker);
    rebuildCapacityClasses();
}

/** Adds a reservation. The part that exceeds the free capacity of the worker is counted as unmet. */
void WorkerPool::reserve(WorkerIndex worker, const Reservation& reservation)
{
    WorkerState& state = m_workers[worker];
    Reservation added = reservation;
    added.wanted = maxOf(added.wanted, {});
    added.stopping = false;
    added.granted = minOf(added.wanted, state.info.capacity - state.reserved);
    state.tasks.push_back(added);
    state.reserved += added.granted;
    state.unmet += added.wanted - added.granted;
    m_totalReserved += added.granted;
    if (added.stoppable)
        state.stoppable += added.granted;
    updateIndex(worker);
}

/** Changes the wanted amount of a reservation and grants what the capacity allows. Returns the granted amount, zero if
 * there is no such reservation. */
Resources WorkerPool::resize(WorkerIndex worker, const TaskKey& key, const Resources& wanted)
{
    Reservation* task = reservation(worker, key);
    if (!task || task->wanted == wanted)
        return task ? task->granted : Resources {};
    task->wanted = maxOf(wanted, {});
    recomputeGrants(m_workers[worker]);
    updateIndex(worker);
    return task->granted;
}

/** Removes a reservation and grants the freed amount to tasks with unmet demand. */
void WorkerPool::release(WorkerIndex worker, const TaskKey& key)
{
    WorkerState& state = m_workers[worker];
    const auto it = std::find_if(state.tasks.begin(), state.tasks.end(), [&](const auto& t) { return t.key == key; });
    if (it == state.tasks.end())
        return;
    *it = state.tasks.back();
    state.tasks.pop_back();
    recomputeGrants(state);
    updateIndex(worker);
}

/** Marks a task as being stopped; its resources stay reserved until release(). */
void WorkerPool::markStopping(WorkerIndex worker, const TaskKey& key)
{
    Reservation* task = reservation(worker, key);
    if (!task || task->stopping)
        return;
    if (task->stoppable)
        m_workers[worker].stoppable -= task->granted;
    m_workers[worker].stopping += task->granted;
    task->stopping = true;
}

/** Returns the reservation of a task, or null. The pointer is invalidated by reserve(), release() and remove(). */
Reservation* WorkerPool::reservation(WorkerIndex worker, const TaskKey& key)
{
    auto& tasks = m_workers[worker].tasks;
    const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const Reservation& task) { return task.key == key; });
    return it == tasks.end() ? nullptr : &*it;
}

/** Sets the amount that is set aside on a worker for a gang. */
void WorkerPool::setHeld(WorkerIndex worker, const Resources& held)
{
    m_workers[worker].held = held;
    updateIndex(worker);
}

/** Sets resources aside for a task that preempts others on the worker. */
void WorkerPool::addClaim(WorkerIndex worker, const Resources& size)
{
    m_workers[worker].claimed += size;
    updateIndex(worker);
}

/** Reverts an addClaim() of the same size. */
void WorkerPool::dropClaim(WorkerIndex worker, const Resources& size)
{
    m_workers[worker].claimed -= size;
    updateIndex(worker);
}

/** Returns the best worker for a task, or noWorker if none has enough free resources. Scores a bounded number of
 * candidates with the fewest free cores and, if the weights call for it, also of those with the most. */
WorkerIndex WorkerPool::place(const PlaceQuery& query) const
{
    WorkerIndex best = noWorker;
    double bestScore = 0;
    const auto scoreCandidate = [&](WorkerIndex worker) {
        if (!isCandidate(query, worker))
            return false;
        if (const double placementCost = score(query, worker); best == noWorker || placementCost < bestScore) {
            best = worker;
            bestScore = placementCost;
        }
        return true;
    };
    const auto first = static_cast<std::size_t>(std::clamp<std::int64_t>(query.size.accelerators, 0, 16));
    int scoredCount = 0;
    for (std::size_t bucketIndex = first; bucketIndex < m_buckets.size() && scoredCount < maxCandidatesPerEnd;
         ++bucketIndex) {
        const Bucket& bucket = m_buckets[bucketIndex];
        for (auto it = bucket.lower_bound({ query.size.coresMilli, 0 }); it != bucket.end(); ++it) {
            if (scoredCount += scoreCandidate(it->second); scoredCount >= maxCandidatesPerEnd)
                break;
        }
    }
    const bool considersEmptyWorkers
        = m_weights.wait * waitWeightScale > m_weights.packing || (query.spread && m_weights.spread > 0);
    if (scoredCount < maxCandidatesPerEnd || !considersEmptyWorkers)
        return best;
    scoredCount = 0;
    for (std::size_t bucketIndex = first; bucketIndex < m_buckets.size() && scoredCount < maxCandidatesPerEnd;
         ++bucketIndex) {
        const Bucket& bucket = m_buckets[bucketIndex];
        for (auto it = bucket.rbegin(); it != bucket.rend() && it->first >= query.size.coresMilli; ++it) {
            if (scoredCount += scoreCandidate(it->second); scoredCount >= maxCandidatesPerEnd)
                break;
        }
    }
    return best;
}

/** Returns the first eligible worker of a gang's held workers that fits the size, counting the resources set aside for
 * the gang, or noWorker. */
WorkerIndex WorkerPool::placeOnHeld(const Resources& size, std::span<const WorkerIndex> held) const
{
    for (const WorkerIndex worker : held) {
        if (m_workers[worker].isEligible() && size.fitsIn(m_workers[worker].room(true)))
            return worker;
    }
    return noWorker;
}

/** Returns whether the size fits the capacity of some known worker. */
bool WorkerPool::fitsKnown(const Resources& size) const
{
    return std::any_of(m_capacityClasses.begin(), m_capacityClasses.end(),
        [&](const CapacityClass& capacityClass) { return size.fitsIn(capacityClass.capacity); });
}

/** Returns whether the size fits the capacity of some worker that is usable and not leaving. */
bool WorkerPool::fitsUsable(const Resources& size) const
{
    return std::any_of(m_capacityClasses.begin(), m_capacityClasses.end(), [&](const CapacityClass& capacityClass) {
        return capacityClass.usable > 0 && size.fitsIn(capacityClass.capacity);
    });
}

/** Returns the number of known workers whose capacity fits the size. */
std::size_t WorkerPool::countFitting(const Resources& size) const
{
    std::size_t count = 0;
    for (const CapacityClass& capacityClass : m_capacityClasses)
        count += size.fitsIn(capacityClass.capacity) ? capacityClass.known : 0;
    return count;
}

/** Limits a learned size to the capacity of some known worker that fits the declared size, so that the task stays
 * placeable. Returns the declared size if no worker fits it. */
Resources WorkerPool::clampToLargest(const Resources& size, const Resources& declared) const
{
    Resources best = declared;
    for (const CapacityClass& capacityClass : m_capacityClasses) {
        if (!declared.fitsIn(capacityClass.capacity))
            continue;
        const Resources limited = minOf(size, capacityClass.capacity);
        if (limited == size)
            return size;
        if (best == declared || best.coresMilli + best.memoryMb < limited.coresMilli + limited.memoryMb)
            best = limited;
    }
    return best;
}

/** Replaces the content of @p freed by the workers whose free resources grew since the last call. Returns true if there
 * are any. */
bool WorkerPool::takeFreed(std::vector<WorkerIndex>& freed)
{
    freed.clear();
    freed.swap(m_freedWorkers);
    for (const WorkerIndex worker : freed)
        m_isFreed[worker] = false;
    return !freed.empty();
}

/** Throws std::logic_error if a sum or index entry is wrong or a worker's reservations exceed its capacity. */
void WorkerPool::checkInvariants() const
{
    Resources free;
    Resources reserved;
    for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
        const WorkerState& worker = m_workers[i];
        Resources granted;
        Resources wanted;
        for (const Reservation& task : worker.tasks) {
            granted += task.granted;
            wanted += task.wanted;
            if (!task.granted.fitsIn(task.wanted) || !Resources {}.fitsIn(task.granted))
                throw std::logic_error(
                    "a granted amount on worker " + worker.info.id.value + " is negative or exceeds the wanted amount");
        }
        if (!worker.reserved.fitsIn(worker.info.capacity))
            throw std::logic_error("worker " + worker.info.id.value + " has reservations above its capacity");
        if (granted != worker.reserved || wanted - granted != worker.unmet)
            throw std::logic_error(
                "reserved or unmet of worker " + worker.info.id.value + " differs from the sum over its tasks");
        if (!Resources {}.fitsIn(worker.claimed) || !Resources {}.fitsIn(worker.held))
            throw std::logic_error("the claimed or held amount of worker " + worker.info.id.value + " is negative");
        if (m_index[i].isIndexed != worker.isEligible() || m_index[i].room != worker.room(false))
            throw std::logic_error("the index entry of worker " + worker.info.id.value + " is stale");
        free += worker.room(false);
        reserved += worker.reserved;
    }
    if (free != m_totalFree || reserved != m_totalReserved)
        throw std::logic_error("the free or reserved total of the pool differs from the sum over its workers");
}

/** Brings the index entry and the free total up to date after a change of a worker. */
void WorkerPool::updateIndex(WorkerIndex worker)
{
    IndexEntry& entry = m_index[worker];
    const WorkerState& state = m_workers[worker];
    const Resources room = state.room(false);
    const bool indexable = state.isEligible();
    if (indexable == entry.isIndexed && room == entry.room)
        return;
    if (indexable && !(entry.isIndexed && room.fitsIn(entry.room)) && !m_isFreed[worker]) {
        m_isFreed[worker] = true;
        m_freedWorkers.push_back(worker);
    }
    m_totalFree += room - entry.room;
    removeFromIndex(worker);
    entry = { indexable, room };
    if (indexable)
        m_buckets[bucketOf(room)].emplace(room.coresMilli, worker);
}

void WorkerPool::removeFromIndex(WorkerIndex worker)
{
    if (const IndexEntry& entry = m_index[worker]; entry.isIndexed)
        m_buckets[bucketOf(entry.room)].erase({ entry.room.coresMilli, worker });
}

/** Recomputes the grants of a worker. Each task first keeps what it has, limited to what it wants and to the capacity;
 * the remaining capacity is then granted in the order of the tasks. */
void WorkerPool::recomputeGrants(WorkerState& worker)
{
    m_totalReserved -= worker.reserved;
    worker.reserved = {};
    worker.unmet = {};
    worker.stoppable = {};
    worker.stopping = {};
    for (Reservation& task : worker.tasks) {
        task.granted = minOf(minOf(task.granted, task.wanted), worker.info.capacity - worker.reserved);
        worker.reserved += task.granted;
    }
    for (Reservation& task : worker.tasks) {
        if (task.granted != task.wanted) {
            const Resources additional = minOf(task.wanted - task.granted, worker.info.capacity - worker.reserved);
            task.granted += additional;
            worker.reserved += additional;
            worker.unmet += task.wanted - task.granted;
        }
        if (task.stopping)
            worker.stopping += task.granted;
        else if (task.stoppable)
            worker.stoppable += task.granted;
    }
    m_totalReserved += worker.reserved;
}

/** Recounts the workers per distinct capacity. */
void WorkerPool::rebuildCapacityClasses()
{
    m_capacityClasses.clear();
    for (const WorkerState& worker : m_workers) {
        if (!worker.known)
            continue;
        auto it = std::find_if(m_capacityClasses.begin(), m_capacityClasses.end(),
            [&](const CapacityClass& capacityClass) { return capacityClass.capacity == worker.info.capacity; });
        if (it == m_capacityClasses.end())
            it = m_capacityClasses.insert(m_capacityClasses.end(), CapacityClass { worker.info.capacity });
        ++it->known;
        it->usable += worker.usable && !worker.leaving;
    }
}

bool WorkerPool::isCandidate(const PlaceQuery& query, WorkerIndex worker) const
{
    if (!query.size.fitsIn(m_index[worker].room))
        return false;
    if (std::find(query.avoid.begin(), query.avoid.end(), worker) != query.avoid.end())
        return false;
    if (query.rackLimit == 0 || !query.rackUse)
        return true;
    const auto it = query.rackUse->find(m_workers[worker].rack);
    return it == query.rackUse->end() || it->second < query.rackLimit;
}

/** Returns the weighted cost of a placement, lower is better: unused share of the scarcer of cores and memory,
 * utilisation, and number of the job's tasks in the same rack. */
double WorkerPool::score(const PlaceQuery& query, WorkerIndex worker) const
{
    const Resources& capacity = m_workers[worker].info.capacity;
    const Resources left = m_index[worker].room - query.size;
    const bool memoryScarce = ratioOf(m_totalReserved.memoryMb, m_totalCapacity.memoryMb)
        > ratioOf(m_totalReserved.coresMilli, m_totalCapacity.coresMilli);
    const double leftOver
        = memoryScarce ? ratioOf(left.memoryMb, capacity.memoryMb) : ratioOf(left.coresMilli, capacity.coresMilli);
    double placementCost = m_weights.packing * leftOver + m_weights.wait * waitWeightScale * (1 - leftOver);
    if (query.size.accelerators == 0) // Keeps accelerators free for tasks that need them.
        placementCost += m_weights.packing * ratioOf(left.accelerators, capacity.accelerators);
    if (query.spread && query.rackUse) {
        if (const auto it = query.rackUse->find(m_workers[worker].rack); it != query.rackUse->end())
            placementCost += m_weights.spread * static_cast<double>(it->second);
    }
    return placementCost;
}

std::size_t WorkerPool::bucketOf(const Resources& room)
{
    return static_cast<std::size_t>(std::clamp<std::int64_t>(room.accelerators, 0, 16));
}

} // namespace sp
