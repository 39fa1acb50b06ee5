#include "gang_planner.h"

#include <algorithm>
#include <map>

namespace sp {

namespace {

    /** Minimum interval between plans, as a plan visits all running tasks (about 1 ms for 21,000). */
    constexpr Duration planInterval = std::chrono::seconds(1);

    /** Minimum interval between updates of the idle charge, as schedule() is called after every event. */
    constexpr Duration chargeInterval = std::chrono::milliseconds(10);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Resources times(const Resources& size, std::int64_t count)
    {
        return { size.coresMilli * count, size.memoryMb * count, size.accelerators * count };
    }

    /** Limits the number of tasks in each rack. */
    class RackBudget {
    public:
        explicit RackBudget(std::uint32_t limit)
            : m_limit(limit)
        {
        }
        std::uint32_t take(std::uint32_t rack, std::uint32_t wanted)
        {
            if (m_limit == 0)
                return wanted;
            std::uint32_t& used = m_used[rack];
            const std::uint32_t taken = std::min(wanted, m_limit - used);
            used += taken;
            return taken;
        }

    private:
        std::uint32_t m_limit;
        std::map<std::uint32_t, std::uint32_t> m_used;
    };

    /** Time from which a worker has room for a number of additional gang tasks. */
    struct RoomEvent {
        Time at {};
        WorkerIndex worker = 0;
        std::uint32_t tasks = 0;
    };

    /** Returns the expected end of a task. A task past it is assumed to run for another quarter of its run time so far.
     */
    Time expectedEndOf(const Reservation& task, Time now)
    {
        if (task.expectedEnd == timeUnknown || task.expectedEnd > now)
            return task.expectedEnd;
        return now + std::max<Duration>((now - task.startedAt) / 4, std::chrono::milliseconds(100));
    }

    std::vector<std::pair<Time, Resources>> expectedEndsOf(const WorkerState& worker, Time now)
    {
        std::vector<std::pair<Time, Resources>> ends;
        ends.reserve(worker.tasks.size());
        for (const Reservation& task : worker.tasks) {
            if (const Time end = expectedEndOf(task, now); end != timeUnknown)
                ends.emplace_back(end, task.granted);
        }
        std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        return ends;
    }

    bool isReservable(const WorkerState& worker)
    {
        return worker.known && worker.usable && !worker.leaving && !worker.out;
    }

    void addRoomEvents(std::vector<RoomEvent>& events, const ReservationRequest& need, const WorkerState& worker,
        WorkerIndex index, Time now)
    {
        if (!isReservable(worker) || !need.size.fitsIn(worker.info.capacity))
            return;
        Resources room = worker.info.capacity - worker.reserved - worker.claimed;
        std::uint32_t fits = std::min(timesIn(need.size, room), need.count);
        if (fits > 0)
            events.push_back({ now, index, fits });
        for (const auto& [end, size] : expectedEndsOf(worker, now)) {
            room += size;
            if (const std::uint32_t more = std::min(timesIn(need.size, room), need.count); more > fits) {
                events.push_back({ end, index, more - fits });
                fits = more;
            }
        }
    }

} // namespace

/** Finds places for all tasks of a gang, starting with the workers that have room for the fewest.
 * @param withHeld Whether resources held for the reservation may be used.
 * @return Number of tasks by worker, or nothing if they do not all fit. */
std::optional<std::vector<WorkerTaskCount>> fitGang(
    const ReservationRequest& need, const WorkerPool& pool, bool withHeld)
{
    std::vector<WorkerTaskCount> possible;
    std::uint64_t sum = 0;
    const auto& workers = pool.workers();
    for (WorkerIndex i = 0; i < workers.size(); ++i) {
        if (!workers[i].isEligible())
            continue;
        if (const std::uint32_t fits = std::min(timesIn(need.size, workers[i].room(withHeld)), need.count); fits > 0) {
            possible.push_back({ i, fits });
            sum += fits;
        }
    }
    if (sum < need.count)
        return std::nullopt;
    std::sort(possible.begin(), possible.end(), [](const WorkerTaskCount& a, const WorkerTaskCount& b) {
        return std::tie(a.tasks, a.worker) < std::tie(b.tasks, b.worker);
    });
    RackBudget racks(need.rackLimit);
    std::vector<WorkerTaskCount> chosen;
    std::uint32_t left = need.count;
    for (const WorkerTaskCount& share : possible) {
        if (const std::uint32_t tasks = racks.take(workers[share.worker].rack, std::min(share.tasks, left));
            tasks > 0) {
            chosen.push_back({ share.worker, tasks });
            if (left -= tasks; left == 0)
                return chosen;
        }
    }
    return std::nullopt;
}

/** Returns whether the gang would fit if all known workers were empty. */
bool gangFitsKnown(const ReservationRequest& need, const WorkerPool& pool)
{
    RackBudget racks(need.rackLimit);
    std::uint64_t sum = 0;
    for (const WorkerState& worker : pool.workers()) {
        if (worker.known)
            sum += racks.take(worker.rack, std::min(timesIn(need.size, worker.info.capacity), need.count));
    }
    return sum >= need.count;
}

/** Makes a reservation for the request, replacing the current one. */
void GangPlanner::begin(const ReservationRequest& need, WorkerPool& pool, Time now)
{
    end(pool, now);
    m_reservedWork = need;
    m_reservedAt = now;
    m_chargedAt = now;
    m_plannedAt = now - planInterval;
    m_chargedShareSeconds = 0;
    advance(pool, true, now);
}

/** Ends the reservation, if any, and releases the held workers. */
void GangPlanner::end(WorkerPool& pool, Time now)
{
    if (m_reservedWork)
        charge(pool, true, now);
    release(pool);
    m_reservedWork.reset();
    m_expectedStart = timeUnknown;
}

/** Charges the idle reserved capacity, and plans again when that is due.
 * @param othersWait Whether other work waits; idle capacity is charged only then.
 * @return True if the held resources changed. */
bool GangPlanner::advance(WorkerPool& pool, bool othersWait, Time now)
{
    if (!m_reservedWork)
        return false;
    if (now - m_chargedAt >= chargeInterval)
        charge(pool, othersWait, now);
    if (isHolding()
        && m_chargedShareSeconds > idleShareLimit * seconds(std::max(now, m_expectedStart) - m_reservedAt)) {
        ++m_stats.pauses;
        release(pool);
        m_expectedStart = timeUnknown;
        m_plannedAt = now;
        return true;
    }
    if (now - m_plannedAt < planInterval)
        return false;
    m_plannedAt = now;
    ++m_stats.plans;
    const bool wasHolding = isHolding();
    if (wasHolding) {
        // Keeps the held workers while they are suitable: a new choice would lose the resources already freed on them.
        if (const Time start = heldWorkersReadyAt(pool, now); start != timeUnknown) {
            m_expectedStart = start;
            return false;
        }
    }
    const Plan next = plan(pool, now);
    m_expectedStart = next.start;
    if (next.start == timeUnknown) {
        release(pool);
        return wasHolding;
    }
    if (!wasHolding
        && m_chargedShareSeconds + next.expectedIdleShareSeconds > idleShareLimit * seconds(next.start - m_reservedAt))
        return false;
    release(pool);
    hold(pool, next);
    return true;
}

/** Returns when all held workers are expected to have enough free resources, timeUnknown if one of them will not. */
Time GangPlanner::heldWorkersReadyAt(const WorkerPool& pool, Time now) const
{
    Time start = now;
    for (const WorkerTaskCount& share : m_shares) {
        std::vector<RoomEvent> events;
        addRoomEvents(events, *m_reservedWork, pool.workers()[share.worker], share.worker, now);
        std::uint32_t tasks = 0;
        for (const RoomEvent& event : events) {
            if (tasks >= share.tasks)
                break;
            tasks += event.tasks;
            start = std::max(start, event.at);
        }
        if (tasks < share.tasks)
            return timeUnknown;
    }
    return start;
}

GangPlanner::Plan GangPlanner::plan(const WorkerPool& pool, Time now) const
{
    std::vector<RoomEvent> events;
    const auto& workers = pool.workers();
    for (WorkerIndex i = 0; i < workers.size(); ++i)
        addRoomEvents(events, *m_reservedWork, workers[i], i, now);
    std::stable_sort(events.begin(), events.end(), [](const RoomEvent& a, const RoomEvent& b) { return a.at < b.at; });
    RackBudget racks(m_reservedWork->rackLimit);
    std::map<WorkerIndex, std::uint32_t> tasks;
    std::uint32_t left = m_reservedWork->count;
    Plan result;
    for (const RoomEvent& event : events) {
        const std::uint32_t taken = racks.take(workers[event.worker].rack, std::min(event.tasks, left));
        if (taken == 0)
            continue;
        tasks[event.worker] += taken;
        if (left -= taken; left == 0) {
            result.start = event.at;
            break;
        }
    }
    if (left > 0)
        return {};
    for (const auto& [worker, count] : tasks)
        result.shares.push_back({ worker, count });
    result.expectedIdleShareSeconds = expectedIdle(pool, result, now);
    return result;
}

/** Returns the resources expected to be idle until the start of the plan, as fraction of the shard's capacity times
 * seconds, for the resource with the highest fraction. */
double GangPlanner::expectedIdle(const WorkerPool& pool, const Plan& plan, Time now) const
{
    double cores = 0;
    double memory = 0;
    double accelerators = 0;
    const auto add = [&](const Resources& idle, Duration time) {
        cores += static_cast<double>(idle.coresMilli) * seconds(time);
        memory += static_cast<double>(idle.memoryMb) * seconds(time);
        accelerators += static_cast<double>(idle.accelerators) * seconds(time);
    };
    for (const WorkerTaskCount& share : plan.shares) {
        const WorkerState& worker = pool.workers()[share.worker];
        const Resources held = times(m_reservedWork->size, share.tasks);
        Resources room = maxOf(worker.info.capacity - worker.reserved - worker.claimed, {});
        Resources idle = minOf(room, held);
        add(idle, plan.start - now);
        for (const auto& [end, size] : expectedEndsOf(worker, now)) {
            if (end >= plan.start)
                break;
            room += size;
            const Resources more = minOf(room, held) - idle;
            idle += more;
            add(more, plan.start - end);
        }
    }
    const Resources total = pool.totalCapacity();
    const auto fractionOf
        = [](double lost, std::int64_t whole) { return whole > 0 ? lost / static_cast<double>(whole) : 0; };
    return std::max({ fractionOf(cores, total.coresMilli), fractionOf(memory, total.memoryMb),
        fractionOf(accelerators, total.accelerators) });
}

void GangPlanner::charge(const WorkerPool& pool, bool othersWait, Time now)
{
    if (now <= m_chargedAt)
        return;
    if (isHolding() && othersWait) {
        Resources idle;
        for (const WorkerIndex index : m_held) {
            const WorkerState& worker = pool.workers()[index];
            if (worker.isEligible())
                idle += minOf(worker.held, worker.room(true));
        }
        const double lost = largestShare(idle, pool.totalCapacity()) * seconds(now - m_chargedAt);
        m_chargedShareSeconds += lost;
        m_stats.idleShareSeconds += lost;
    }
    m_chargedAt = now;
}

void GangPlanner::release(WorkerPool& pool)
{
    for (const WorkerIndex worker : m_held)
        pool.setHeld(worker, {});
    m_held.clear();
    m_shares.clear();
}

void GangPlanner::hold(WorkerPool& pool, const Plan& plan)
{
    m_shares = plan.shares;
    for (const WorkerTaskCount& share : plan.shares) {
        m_held.push_back(share.worker);
        pool.setHeld(share.worker, times(m_reservedWork->size, share.tasks));
    }
}

} // namespace sp
