#include "worker_pool.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

namespace {

    /** Candidates scored from each end of the index. More than this changed no measured figure. */
    constexpr int candidatesPerEnd = 12;

    /** Counts half, so that packing wins at equal weights: both terms depend on the same utilisation. */
    constexpr double waitFactor = 0.5;

    double share(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    }

} // namespace

/** @param left Amount. @param right Amount. @return The smaller amount of each resource. */
Resources minOf(const Resources& left, const Resources& right)
{
    return { std::min(left.coresMilli, right.coresMilli), std::min(left.memoryMb, right.memoryMb),
        std::min(left.accelerators, right.accelerators) };
}

/** @param left Amount. @param right Amount. @return The larger amount of each resource. */
Resources maxOf(const Resources& left, const Resources& right)
{
    return { std::max(left.coresMilli, right.coresMilli), std::max(left.memoryMb, right.memoryMb),
        std::max(left.accelerators, right.accelerators) };
}

/** @param part Amount. @param whole Amount. @return Largest share that the part has of any resource of the whole. */
double largestShare(const Resources& part, const Resources& whole)
{
    return std::max({ share(part.coresMilli, whole.coresMilli), share(part.memoryMb, whole.memoryMb),
        share(part.accelerators, whole.accelerators) });
}

/** @param size Size of a task. @param room Room. @return How many tasks fit, at most 1,000,000. */
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

/** @param withHeld Whether the room held for a gang counts. @return Room for new work, never negative. */
Resources WorkerState::room(bool withHeld) const
{
    if (!isEligible())
        return {};
    Resources left = info.capacity - reserved - claimed;
    if (!withHeld)
        left -= held;
    return maxOf(left, {});
}

/** Adds a worker or updates its data. @param info Worker. @return Index. */
WorkerIndex WorkerPool::put(const WorkerInfo& info)
{
    WorkerIndex index = find(info.id);
    if (index == noWorker) {
        if (m_unused.empty()) {
            index = static_cast<WorkerIndex>(m_workers.size());
            m_workers.emplace_back();
            m_index.emplace_back();
            m_isFreed.push_back(false);
        } else {
            index = m_unused.back();
            m_unused.pop_back();
        }
        m_byId.emplace(info.id, index);
    }
    WorkerState& worker = m_workers[index];
    m_totalCapacity += info.capacity - worker.info.capacity;
    worker.info = info;
    worker.known = true;
    worker.rack = m_racks.emplace(info.rack, static_cast<std::uint32_t>(m_racks.size())).first->second;
    regrant(worker);
    rebuildClasses();
    update(index);
    return index;
}

/** @param id Worker. @return Its index, or noWorker. */
WorkerIndex WorkerPool::find(const TargetId& id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? noWorker : it->second;
}

/** @param worker Worker. @param usable Whether it answers under the present term. */
void WorkerPool::setUsable(WorkerIndex worker, bool usable)
{
    m_workers[worker].usable = usable;
    rebuildClasses();
    update(worker);
}

/** Stops new work for good. @param worker Worker. */
void WorkerPool::setLeaving(WorkerIndex worker)
{
    m_workers[worker].leaving = true;
    rebuildClasses();
    update(worker);
}

/** @param worker Worker. @param out Whether it is taken out for failing. */
void WorkerPool::setOut(WorkerIndex worker, bool out)
{
    if (m_workers[worker].out == out)
        return;
    m_workers[worker].out = out;
    update(worker);
}

/** @param worker Worker. @param paused Whether it gets no new work for a moment. */
void WorkerPool::setPaused(WorkerIndex worker, bool paused)
{
    m_workers[worker].paused = paused;
    update(worker);
}

/** Forgets a worker and its reservations. @param worker Worker. */
void WorkerPool::remove(WorkerIndex worker)
{
    WorkerState& state = m_workers[worker];
    m_totalCapacity -= state.info.capacity;
    m_totalReserved -= state.reserved;
    m_byId.erase(state.info.id);
    state = {};
    update(worker);
    m_unused.push_back(worker);
    rebuildClasses();
}

/** Reserves room; what exceeds the worker's room is noted as unmet. @param worker Worker. @param reservation Task. */
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
    update(worker);
}

/** Changes a reservation as far as there is room. @param worker Worker. @param key Task. @param wanted New amount.
 * @return Amount granted. */
Resources WorkerPool::resize(WorkerIndex worker, const TaskKey& key, const Resources& wanted)
{
    Reservation* task = reservation(worker, key);
    if (!task || task->wanted == wanted)
        return task ? task->granted : Resources {};
    task->wanted = maxOf(wanted, {});
    regrant(m_workers[worker]);
    update(worker);
    return task->granted;
}

/** Frees a reservation. @param worker Worker. @param key Task. */
void WorkerPool::release(WorkerIndex worker, const TaskKey& key)
{
    WorkerState& state = m_workers[worker];
    const auto it = std::find_if(state.tasks.begin(), state.tasks.end(), [&](const auto& t) { return t.key == key; });
    if (it == state.tasks.end())
        return;
    *it = state.tasks.back();
    state.tasks.pop_back();
    regrant(state);
    update(worker);
}

/** @param worker Worker. @param key Task that is being stopped. */
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

/** @param worker Worker. @param key Task. @return Reservation, or null. */
Reservation* WorkerPool::reservation(WorkerIndex worker, const TaskKey& key)
{
    auto& tasks = m_workers[worker].tasks;
    const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const Reservation& task) { return task.key == key; });
    return it == tasks.end() ? nullptr : &*it;
}

/** Keeps room for a gang. @param worker Worker. @param held Amount. */
void WorkerPool::setHeld(WorkerIndex worker, const Resources& held)
{
    m_workers[worker].held = held;
    update(worker);
}

/** Keeps room for work that tasks are being stopped for. @param worker Worker. @param size Amount. */
void WorkerPool::addClaim(WorkerIndex worker, const Resources& size)
{
    m_workers[worker].claimed += size;
    update(worker);
}

/** @param worker Worker. @param size Amount given to addClaim. */
void WorkerPool::dropClaim(WorkerIndex worker, const Resources& size)
{
    m_workers[worker].claimed -= size;
    update(worker);
}

/** Best worker for a task. @param query Need. @return Worker, or noWorker if none has room. */
WorkerIndex WorkerPool::place(const PlaceQuery& query) const
{
    WorkerIndex best = noWorker;
    double bestScore = 0;
    const auto consider = [&](WorkerIndex worker) {
        if (!isCandidate(query, worker))
            return false;
        if (const double value = score(query, worker); best == noWorker || value < bestScore) {
            best = worker;
            bestScore = value;
        }
        return true;
    };
    const auto first = static_cast<std::size_t>(std::clamp<std::int64_t>(query.size.accelerators, 0, 16));
    int found = 0;
    for (std::size_t b = first; b < m_buckets.size() && found < candidatesPerEnd; ++b) {
        const Bucket& bucket = m_buckets[b];
        for (auto it = bucket.lower_bound({ query.size.coresMilli, 0 }); it != bucket.end(); ++it) {
            if (found += consider(it->second); found >= candidatesPerEnd)
                break;
        }
    }
    const bool wantsEmpty = m_weights.wait * waitFactor > m_weights.packing || (query.spread && m_weights.spread > 0);
    if (found < candidatesPerEnd || !wantsEmpty)
        return best;
    found = 0;
    for (std::size_t b = first; b < m_buckets.size() && found < candidatesPerEnd; ++b) {
        const Bucket& bucket = m_buckets[b];
        for (auto it = bucket.rbegin(); it != bucket.rend() && it->first >= query.size.coresMilli; ++it) {
            if (found += consider(it->second); found >= candidatesPerEnd)
                break;
        }
    }
    return best;
}

/** First of the held workers with room. @param size Need. @param held Workers. @return Worker, or noWorker. */
WorkerIndex WorkerPool::placeOnHeld(const Resources& size, std::span<const WorkerIndex> held) const
{
    for (const WorkerIndex worker : held) {
        if (m_workers[worker].isEligible() && size.fitsIn(m_workers[worker].room(true)))
            return worker;
    }
    return noWorker;
}

/** @param size Size. @return Whether an empty known worker could hold it. */
bool WorkerPool::fitsKnown(const Resources& size) const
{
    return std::any_of(
        m_classes.begin(), m_classes.end(), [&](const CapacityClass& c) { return size.fitsIn(c.capacity); });
}

/** @param size Size. @return Whether an empty usable worker could hold it. */
bool WorkerPool::fitsUsable(const Resources& size) const
{
    return std::any_of(m_classes.begin(), m_classes.end(),
        [&](const CapacityClass& c) { return c.usable > 0 && size.fitsIn(c.capacity); });
}

/** @param size Size. @return Number of known workers that could hold it if empty. */
std::size_t WorkerPool::countFitting(const Resources& size) const
{
    std::size_t count = 0;
    for (const CapacityClass& c : m_classes)
        count += size.fitsIn(c.capacity) ? c.known : 0;
    return count;
}

/** Limits a corrected size to what some worker that fits the declared size can hold. @param size Corrected size.
 * @param declared Declared size. @return Size that fits a known worker if the declared one does. */
Resources WorkerPool::clampToLargest(const Resources& size, const Resources& declared) const
{
    Resources best = declared;
    for (const CapacityClass& c : m_classes) {
        if (!declared.fitsIn(c.capacity))
            continue;
        const Resources limited = minOf(size, c.capacity);
        if (limited == size)
            return size;
        if (best == declared || best.coresMilli + best.memoryMb < limited.coresMilli + limited.memoryMb)
            best = limited;
    }
    return best;
}

/** Workers whose room grew since the last call. @param freed Receives them. @return True if there are any. */
bool WorkerPool::takeFreed(std::vector<WorkerIndex>& freed)
{
    freed.clear();
    freed.swap(m_freed);
    for (const WorkerIndex worker : freed)
        m_isFreed[worker] = false;
    return !freed.empty();
}

/** Throws std::logic_error if a sum is wrong or a worker is reserved above its capacity. */
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
                throw std::logic_error("a grant on " + worker.info.id.value + " is negative or above its need");
        }
        if (!worker.reserved.fitsIn(worker.info.capacity))
            throw std::logic_error("worker " + worker.info.id.value + " is reserved above its capacity");
        if (granted != worker.reserved || wanted - granted != worker.unmet)
            throw std::logic_error("the sums of worker " + worker.info.id.value + " are wrong");
        if (!Resources {}.fitsIn(worker.claimed) || !Resources {}.fitsIn(worker.held))
            throw std::logic_error("a claim on worker " + worker.info.id.value + " is negative");
        if (m_index[i].listed != worker.isEligible() || m_index[i].room != worker.room(false))
            throw std::logic_error("the index entry of worker " + worker.info.id.value + " is stale");
        free += worker.room(false);
        reserved += worker.reserved;
    }
    if (free != m_totalFree || reserved != m_totalReserved)
        throw std::logic_error("the totals of the pool are wrong");
}

void WorkerPool::update(WorkerIndex worker)
{
    IndexEntry& entry = m_index[worker];
    const WorkerState& state = m_workers[worker];
    const Resources room = state.room(false);
    const bool listed = state.isEligible();
    if (listed == entry.listed && room == entry.room)
        return;
    if (listed && !(entry.listed && room.fitsIn(entry.room)) && !m_isFreed[worker]) {
        m_isFreed[worker] = true;
        m_freed.push_back(worker);
    }
    m_totalFree += room - entry.room;
    unlist(worker);
    entry = { listed, room };
    if (listed)
        m_buckets[bucketOf(room)].emplace(room.coresMilli, worker);
}

void WorkerPool::unlist(WorkerIndex worker)
{
    if (const IndexEntry& entry = m_index[worker]; entry.listed)
        m_buckets[bucketOf(entry.room)].erase({ entry.room.coresMilli, worker });
}

/** Keeps what each task has, as far as it is wanted and the capacity reaches; then grants the rest in order. */
void WorkerPool::regrant(WorkerState& worker)
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
            const Resources more = minOf(task.wanted - task.granted, worker.info.capacity - worker.reserved);
            task.granted += more;
            worker.reserved += more;
            worker.unmet += task.wanted - task.granted;
        }
        if (task.stopping)
            worker.stopping += task.granted;
        else if (task.stoppable)
            worker.stoppable += task.granted;
    }
    m_totalReserved += worker.reserved;
}

void WorkerPool::rebuildClasses()
{
    m_classes.clear();
    for (const WorkerState& worker : m_workers) {
        if (!worker.known)
            continue;
        auto it = std::find_if(m_classes.begin(), m_classes.end(),
            [&](const CapacityClass& c) { return c.capacity == worker.info.capacity; });
        if (it == m_classes.end())
            it = m_classes.insert(m_classes.end(), CapacityClass { worker.info.capacity });
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

/** Lower is better: left-over of the scarcest resource, utilisation, and tasks of the job in the same rack. */
double WorkerPool::score(const PlaceQuery& query, WorkerIndex worker) const
{
    const Resources& capacity = m_workers[worker].info.capacity;
    const Resources left = m_index[worker].room - query.size;
    const bool memoryScarce = share(m_totalReserved.memoryMb, m_totalCapacity.memoryMb)
        > share(m_totalReserved.coresMilli, m_totalCapacity.coresMilli);
    const double leftOver
        = memoryScarce ? share(left.memoryMb, capacity.memoryMb) : share(left.coresMilli, capacity.coresMilli);
    double value = m_weights.packing * leftOver + m_weights.wait * waitFactor * (1 - leftOver);
    if (query.size.accelerators == 0) // Keeps accelerators reachable for the work that needs them.
        value += m_weights.packing * share(left.accelerators, capacity.accelerators);
    if (query.spread && query.rackUse) {
        if (const auto it = query.rackUse->find(m_workers[worker].rack); it != query.rackUse->end())
            value += m_weights.spread * static_cast<double>(it->second);
    }
    return value;
}

std::size_t WorkerPool::bucketOf(const Resources& room)
{
    return static_cast<std::size_t>(std::clamp<std::int64_t>(room.accelerators, 0, 16));
}

} // namespace sp
