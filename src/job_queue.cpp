#include "job_queue.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

namespace {

    /** Cancelled entries are swept out of a lane when they are the larger part of at least this many. */
    constexpr std::size_t sweepFrom = 64;

    constexpr Resources outOfReach { std::numeric_limits<std::int64_t>::max(), 0, 0 };

} // namespace

/**
 * Adds a job, or moves it to another lane.
 * @param job Job. @param key Lane. @param since Time from which it waits. @param maxWait Wait after which takeOverdue
 * returns it. @param usage Learned size of such work. @return Lane.
 */
LaneIndex JobQueue::add(JobSerial job, const LaneKey& key, Time since, Duration maxWait, const UsageEntryPtr& usage)
{
    remove(job);
    LaneIndex index = 0;
    if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
        index = it->second;
    } else {
        if (m_unused.empty()) {
            index = static_cast<LaneIndex>(m_lanes.size());
            m_lanes.emplace_back();
            m_needs.emplace_back();
        } else {
            index = m_unused.back();
            m_unused.pop_back();
        }
        m_byKey.emplace(key, index);
        m_lanes[index] = {};
        m_lanes[index].key = key;
        m_lanes[index].live = true;
        m_needs[index] = {};
        m_fresh.push_back(index);
    }
    Lane& lane = m_lanes[index];
    lane.usage = usage;
    m_jobs[job] = { index, since, key.workload };
    ++m_waiting[key.workload];
    const std::pair<Time, JobSerial> entry { since, job };
    const auto at = lane.jobs.empty() || lane.jobs.back() < entry
        ? lane.jobs.end()
        : std::lower_bound(lane.jobs.begin(), lane.jobs.end(), entry);
    if (at == lane.jobs.end() || *at != entry)
        lane.jobs.insert(at, entry);
    settle(index);
    if (key.rank == QueueRank::Fair)
        m_due.emplace(since + maxWait, job);
    return index;
}

/** Takes a job out, for a cancellation or since all its tasks are placed. O(1). @param job Job. */
void JobQueue::remove(JobSerial job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    const LaneIndex index = it->second.lane;
    if (const auto count = m_waiting.find(it->second.workload); --count->second == 0)
        m_waiting.erase(count);
    m_jobs.erase(it);
    Lane& lane = m_lanes[index];
    ++lane.cancelled;
    if (lane.jobs.front().second == job)
        settle(index);
    else if (lane.cancelled >= sweepFrom && lane.cancelled * 2 > lane.jobs.size())
        sweep(index);
}

/** @param job Waiting job. @return Its lane. */
LaneIndex JobQueue::laneOf(JobSerial job) const { return m_jobs.at(job).lane; }

/** @param lane Lane. @return First job of it, 0 if the lane is empty. */
JobSerial JobQueue::head(LaneIndex lane) const
{
    return m_lanes[lane].live && !m_lanes[lane].jobs.empty() ? m_lanes[lane].jobs.front().second : 0;
}

/** @param now Present time. @return Jobs that became overdue since the last call, the oldest first. */
std::vector<JobSerial> JobQueue::takeOverdue(Time now)
{
    std::vector<JobSerial> overdue;
    while (!m_due.empty() && m_due.top().first <= now) {
        const JobSerial job = m_due.top().second;
        m_due.pop();
        if (const auto it = m_jobs.find(job);
            it != m_jobs.end() && m_lanes[it->second.lane].key.rank == QueueRank::Fair)
            overdue.push_back(job);
    }
    std::sort(overdue.begin(), overdue.end());
    overdue.erase(std::unique(overdue.begin(), overdue.end()), overdue.end());
    return overdue;
}

/** @param workload Workload. @return Number of its waiting jobs. */
std::size_t JobQueue::waiting(const WorkloadId& workload) const
{
    const auto it = m_waiting.find(workload);
    return it == m_waiting.end() ? 0 : it->second;
}

/** @return Entries held in memory, cancelled ones included. */
std::size_t JobQueue::entries() const
{
    std::size_t count = 0;
    for (const Lane& lane : m_lanes)
        count += lane.jobs.size();
    return count;
}

/** @return Lanes whose head was not tried yet. */
std::vector<LaneIndex> JobQueue::takeFresh() { return std::exchange(m_fresh, {}); }

/** Leaves a lane until there is room. @param lane Lane. @param size Room that it needs. @param quotaBlocked Whether it
 * waits for quota instead. */
void JobQueue::park(LaneIndex lane, const Resources& size, bool quotaBlocked)
{
    m_lanes[lane].parked = true;
    m_lanes[lane].quotaBlocked = quotaBlocked;
    m_needs[lane] = quotaBlocked ? outOfReach : size;
}

/** Has a lane tried again. @param lane Lane. */
void JobQueue::unpark(LaneIndex lane)
{
    Lane& state = m_lanes[lane];
    if (!state.live || !state.parked)
        return;
    state.parked = false;
    state.quotaBlocked = false;
    m_needs[lane] = {};
    m_fresh.push_back(lane);
}

/** Throws std::logic_error if a job is lost, in two lanes, or a lane is out of order. */
void JobQueue::checkInvariants() const
{
    std::size_t current = 0;
    for (LaneIndex i = 0; i < m_lanes.size(); ++i) {
        const Lane& lane = m_lanes[i];
        if (lane.live != !lane.jobs.empty())
            throw std::logic_error("a lane is empty but live, or the reverse");
        if (!std::is_sorted(lane.jobs.begin(), lane.jobs.end()))
            throw std::logic_error("a lane is out of order");
        if (lane.live && (!isCurrent(i, lane.jobs.front()) || lane.headSince != lane.jobs.front().first))
            throw std::logic_error("the head of a lane does not wait any more");
        for (const auto& entry : lane.jobs)
            current += isCurrent(i, entry);
    }
    std::size_t waiting = 0;
    for (const auto& [workload, count] : m_waiting)
        waiting += count;
    if (current != m_jobs.size() || waiting != m_jobs.size())
        throw std::logic_error("a waiting job is in no lane or in two");
}

bool JobQueue::isCurrent(LaneIndex lane, const std::pair<Time, JobSerial>& entry) const
{
    const auto it = m_jobs.find(entry.second);
    return it != m_jobs.end() && it->second.lane == lane && it->second.since == entry.first;
}

/** Drops entries at the front that don't wait any more; closes the lane when none is left. */
void JobQueue::settle(LaneIndex index)
{
    Lane& lane = m_lanes[index];
    const JobSerial before = lane.headSince == Time::max() || lane.jobs.empty() ? 0 : lane.jobs.front().second;
    while (!lane.jobs.empty() && !isCurrent(index, lane.jobs.front())) {
        lane.jobs.pop_front();
        lane.cancelled -= lane.cancelled > 0;
    }
    if (lane.jobs.empty()) {
        m_byKey.erase(lane.key);
        lane = {};
        m_needs[index] = outOfReach;
        m_unused.push_back(index);
        return;
    }
    if (before != lane.jobs.front().second || lane.headSince != lane.jobs.front().first)
        lane.headSince = lane.jobs.front().first;
}

void JobQueue::sweep(LaneIndex index)
{
    Lane& lane = m_lanes[index];
    std::erase_if(lane.jobs, [&](const auto& entry) { return !isCurrent(index, entry); });
    lane.cancelled = 0;
    settle(index);
}

} // namespace sp
