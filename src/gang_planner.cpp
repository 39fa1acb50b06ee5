#include "gang_planner.h"

#include <algorithm>
#include <map>

namespace sp {

namespace {

    /** A plan looks at all running tasks (about 1 ms for 21,000), so it is renewed at most this often. */
    constexpr Duration planInterval = std::chrono::seconds(1);

    /** Held room is summed up at most this often, since schedule() is called after every event. */
    constexpr Duration chargeInterval = std::chrono::milliseconds(10);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Resources times(const Resources& size, std::int64_t count)
    {
        return { size.coresMilli * count, size.memoryMb * count, size.accelerators * count };
    }

    /** Counts tasks by rack up to the limit. */
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

    /** When a worker has room for one more task of the gang. */
    struct RoomEvent {
        Time at {};
        WorkerIndex worker = 0;
        std::uint32_t tasks = 0;
    };

    /** Overdue tasks are expected to go on for a quarter of the time that they have run. */
    Time endOf(const Reservation& task, Time now)
    {
        if (task.expectedEnd == timeUnknown || task.expectedEnd > now)
            return task.expectedEnd;
        return now + std::max<Duration>((now - task.startedAt) / 4, std::chrono::milliseconds(100));
    }

    std::vector<std::pair<Time, Resources>> endsOf(const WorkerState& worker, Time now)
    {
        std::vector<std::pair<Time, Resources>> ends;
        ends.reserve(worker.tasks.size());
        for (const Reservation& task : worker.tasks) {
            if (const Time end = endOf(task, now); end != timeUnknown)
                ends.emplace_back(end, task.granted);
        }
        std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        return ends;
    }

    bool canHold(const WorkerState& worker) { return worker.known && worker.usable && !worker.leaving && !worker.out; }

    void addRoomEvents(
        std::vector<RoomEvent>& events, const GangNeed& need, const WorkerState& worker, WorkerIndex index, Time now)
    {
        if (!canHold(worker) || !need.size.fitsIn(worker.info.capacity))
            return;
        Resources room = worker.info.capacity - worker.reserved - worker.claimed;
        std::uint32_t fits = std::min(timesIn(need.size, room), need.count);
        if (fits > 0)
            events.push_back({ now, index, fits });
        for (const auto& [end, size] : endsOf(worker, now)) {
            room += size;
            if (const std::uint32_t more = std::min(timesIn(need.size, room), need.count); more > fits) {
                events.push_back({ end, index, more - fits });
                fits = more;
            }
        }
    }

} // namespace

/** Places all tasks of a gang at once, the fullest workers first. @param need Gang. @param pool Workers.
 * @param withHeld Whether room held for the reservation may be used. @return Shares, or nothing if they don't all fit.
 */
std::optional<std::vector<GangShare>> fitGang(const GangNeed& need, const WorkerPool& pool, bool withHeld)
{
    std::vector<GangShare> possible;
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
    std::sort(possible.begin(), possible.end(), [](const GangShare& a, const GangShare& b) {
        return std::tie(a.tasks, a.worker) < std::tie(b.tasks, b.worker);
    });
    RackBudget racks(need.rackLimit);
    std::vector<GangShare> chosen;
    std::uint32_t left = need.count;
    for (const GangShare& share : possible) {
        if (const std::uint32_t tasks = racks.take(workers[share.worker].rack, std::min(share.tasks, left));
            tasks > 0) {
            chosen.push_back({ share.worker, tasks });
            if (left -= tasks; left == 0)
                return chosen;
        }
    }
    return std::nullopt;
}

/** @param need Gang. @param pool Workers. @return Whether all known workers together could run it if empty. */
bool gangFitsKnown(const GangNeed& need, const WorkerPool& pool)
{
    RackBudget racks(need.rackLimit);
    std::uint64_t sum = 0;
    for (const WorkerState& worker : pool.workers()) {
        if (worker.known)
            sum += racks.take(worker.rack, std::min(timesIn(need.size, worker.info.capacity), need.count));
    }
    return sum >= need.count;
}

/** Makes the reservation; an earlier one ends. @param need Work. @param pool Workers. @param now Present time. */
void GangPlanner::begin(const GangNeed& need, WorkerPool& pool, Time now)
{
    end(pool, now);
    m_need = need;
    m_madeAt = now;
    m_chargedAt = now;
    m_plannedAt = now - planInterval;
    m_lost = 0;
    advance(pool, true, now);
}

/** Ends the reservation. @param pool Workers. @param now Present time. */
void GangPlanner::end(WorkerPool& pool, Time now)
{
    if (m_need)
        charge(pool, true, now);
    release(pool);
    m_need.reset();
    m_expectedStart = timeUnknown;
}

/** Charges held room, and renews the plan when it is due. @param pool Workers. @param othersWait Whether other work
 * waits. @param now Present time. @return True if the held room changed. */
bool GangPlanner::advance(WorkerPool& pool, bool othersWait, Time now)
{
    if (!m_need)
        return false;
    if (now - m_chargedAt >= chargeInterval)
        charge(pool, othersWait, now);
    if (isHolding() && m_lost > lossLimit * seconds(std::max(now, m_expectedStart) - m_madeAt)) {
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
        // Held workers are kept while they can serve: choosing again would give up the room they have collected.
        if (const Time start = heldStart(pool, now); start != timeUnknown) {
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
    if (!wasHolding && m_lost + next.loss > lossLimit * seconds(next.start - m_madeAt))
        return false;
    release(pool);
    hold(pool, next);
    return true;
}

/** When all held workers are expected to have their room. @return Time, unknown if one of them can't serve any more. */
Time GangPlanner::heldStart(const WorkerPool& pool, Time now) const
{
    Time start = now;
    for (const GangShare& share : m_shares) {
        std::vector<RoomEvent> events;
        addRoomEvents(events, *m_need, pool.workers()[share.worker], share.worker, now);
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
        addRoomEvents(events, *m_need, workers[i], i, now);
    std::stable_sort(events.begin(), events.end(), [](const RoomEvent& a, const RoomEvent& b) { return a.at < b.at; });
    RackBudget racks(m_need->rackLimit);
    std::map<WorkerIndex, std::uint32_t> tasks;
    std::uint32_t left = m_need->count;
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
    result.loss = planLoss(pool, result, now);
    return result;
}

/** Share-seconds of room that the plan keeps idle until its start, of the resource that loses most. */
double GangPlanner::planLoss(const WorkerPool& pool, const Plan& plan, Time now) const
{
    double cores = 0;
    double memory = 0;
    double accelerators = 0;
    const auto add = [&](const Resources& idle, Duration time) {
        cores += static_cast<double>(idle.coresMilli) * seconds(time);
        memory += static_cast<double>(idle.memoryMb) * seconds(time);
        accelerators += static_cast<double>(idle.accelerators) * seconds(time);
    };
    for (const GangShare& share : plan.shares) {
        const WorkerState& worker = pool.workers()[share.worker];
        const Resources held = times(m_need->size, share.tasks);
        Resources room = maxOf(worker.info.capacity - worker.reserved - worker.claimed, {});
        Resources idle = minOf(room, held);
        add(idle, plan.start - now);
        for (const auto& [end, size] : endsOf(worker, now)) {
            if (end >= plan.start)
                break;
            room += size;
            const Resources more = minOf(room, held) - idle;
            idle += more;
            add(more, plan.start - end);
        }
    }
    const Resources total = pool.totalCapacity();
    const auto part = [](double lost, std::int64_t whole) { return whole > 0 ? lost / static_cast<double>(whole) : 0; };
    return std::max(
        { part(cores, total.coresMilli), part(memory, total.memoryMb), part(accelerators, total.accelerators) });
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
        m_lost += lost;
        m_stats.lostShareSeconds += lost;
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
    for (const GangShare& share : plan.shares) {
        m_held.push_back(share.worker);
        pool.setHeld(share.worker, times(m_need->size, share.tasks));
    }
}

} // namespace sp
