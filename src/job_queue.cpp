#include "job_queue.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

namespace {

    /** A lane is compacted when it has at least this many removed entries and they are more than half of it. */
    constexpr std::size_t minRemovedForCompaction = 64;

    /** Need that no worker can satisfy. */
    constexpr Resources unsatisfiableNeed { std::numeric_limits<std::int64_t>::max(), 0, 0 };

} // namespace

/**
 * Adds a job, or moves it to another lane.
 * @param since Time from which the job waits. @param maxWait Waiting time after which takeOverdue() returns the job.
 * @param usage Learned values of the lane's jobs. @return Lane of the job.
 */
LaneIndex JobQueue::add(JobSerial job, const LaneKey& key, Time since, Duration maxWait, const UsageEntryPtr& usage)
{
    remove(job);
    LaneIndex index = 0;
    if (const auto it = m_laneByKey.find(key); it != m_laneByKey.end()) {
        index = it->second;
    } else {
        if (m_unusedLanes.empty()) {
            index = static_cast<LaneIndex>(m_lanes.size());
            m_lanes.emplace_back();
            m_needs.emplace_back();
        } else {
            index = m_unusedLanes.back();
            m_unusedLanes.pop_back();
        }
        m_laneByKey.emplace(key, index);
        m_lanes[index] = {};
        m_lanes[index].key = key;
        m_lanes[index].live = true;
        m_needs[index] = {};
        m_untriedLanes.push_back(index);
    }
    Lane& lane = m_lanes[index];
    lane.usage = usage;
    m_queuedJobs[job] = { index, since, key.workload };
    ++m_waitingByWorkload[key.workload];
    const std::pair<Time, JobSerial> entry { since, job };
    const auto position = lane.jobs.empty() || lane.jobs.back() < entry
        ? lane.jobs.end()
        : std::lower_bound(lane.jobs.begin(), lane.jobs.end(), entry);
    if (position == lane.jobs.end() || *position != entry)
        lane.jobs.insert(position, entry);
    dropStaleFront(index);
    if (key.rank == QueueRank::Fair)
        m_overdueTimes.emplace(since + maxWait, job);
    return index;
}

/** Removes a job that is cancelled or fully placed; does nothing if it is not queued. Amortised cost O(1). */
void JobQueue::remove(JobSerial job)
{
    const auto it = m_queuedJobs.find(job);
    if (it == m_queuedJobs.end())
        return;
    const LaneIndex index = it->second.lane;
    if (const auto count = m_waitingByWorkload.find(it->second.workload); --count->second == 0)
        m_waitingByWorkload.erase(count);
    m_queuedJobs.erase(it);
    Lane& lane = m_lanes[index];
    ++lane.staleEntries;
    if (lane.jobs.front().second == job)
        dropStaleFront(index);
    else if (lane.staleEntries >= minRemovedForCompaction && lane.staleEntries * 2 > lane.jobs.size())
        compact(index);
}

/** Returns the lane of a waiting job. Throws std::out_of_range if the job is not queued. */
LaneIndex JobQueue::laneOf(JobSerial job) const { return m_queuedJobs.at(job).lane; }

/** Returns the first job of a lane, 0 if the lane is empty. */
JobSerial JobQueue::head(LaneIndex lane) const
{
    return m_lanes[lane].live && !m_lanes[lane].jobs.empty() ? m_lanes[lane].jobs.front().second : 0;
}

/** Returns the jobs of rank Fair that became overdue since the last call, in order of their serials. */
std::vector<JobSerial> JobQueue::takeOverdue(Time now)
{
    std::vector<JobSerial> overdue;
    while (!m_overdueTimes.empty() && m_overdueTimes.top().first <= now) {
        const JobSerial job = m_overdueTimes.top().second;
        m_overdueTimes.pop();
        if (const auto it = m_queuedJobs.find(job);
            it != m_queuedJobs.end() && m_lanes[it->second.lane].key.rank == QueueRank::Fair)
            overdue.push_back(job);
    }
    std::sort(overdue.begin(), overdue.end());
    overdue.erase(std::unique(overdue.begin(), overdue.end()), overdue.end());
    return overdue;
}

/** Returns the number of waiting jobs of a workload. */
std::size_t JobQueue::waiting(const WorkloadId& workload) const
{
    const auto it = m_waitingByWorkload.find(workload);
    return it == m_waitingByWorkload.end() ? 0 : it->second;
}

/** Returns the number of entries in memory, including those of removed jobs. */
std::size_t JobQueue::storedEntries() const
{
    std::size_t count = 0;
    for (const Lane& lane : m_lanes)
        count += lane.jobs.size();
    return count;
}

/** Returns and clears the list of lanes to try: those created or unparked since the last call. */
std::vector<LaneIndex> JobQueue::takeFresh() { return std::exchange(m_untriedLanes, {}); }

/** Suspends a lane until unpark(). @param size Free resources that it needs. @param quotaBlocked True if it waits for
 * quota instead of capacity. */
void JobQueue::park(LaneIndex lane, const Resources& size, bool quotaBlocked)
{
    m_lanes[lane].parked = true;
    m_lanes[lane].quotaBlocked = quotaBlocked;
    m_needs[lane] = quotaBlocked ? unsatisfiableNeed : size;
}

/** Schedules a parked lane for another placement attempt. */
void JobQueue::unpark(LaneIndex lane)
{
    Lane& state = m_lanes[lane];
    if (!state.live || !state.parked)
        return;
    state.parked = false;
    state.quotaBlocked = false;
    m_needs[lane] = {};
    m_untriedLanes.push_back(lane);
}

/** Throws std::logic_error if a job is in no lane or in two, or if a lane is inconsistent or not sorted. */
void JobQueue::checkInvariants() const
{
    std::size_t current = 0;
    for (LaneIndex i = 0; i < m_lanes.size(); ++i) {
        const Lane& lane = m_lanes[i];
        if (lane.live != !lane.jobs.empty())
            throw std::logic_error("the live flag of a lane differs from whether it has entries");
        if (!std::is_sorted(lane.jobs.begin(), lane.jobs.end()))
            throw std::logic_error("the entries of a lane are not sorted");
        if (lane.live && (!isWaiting(i, lane.jobs.front()) || lane.headSince != lane.jobs.front().first))
            throw std::logic_error("the first entry of a lane is not a waiting job or headSince is wrong");
        for (const auto& entry : lane.jobs)
            current += isWaiting(i, entry);
    }
    std::size_t waiting = 0;
    for (const auto& [workload, count] : m_waitingByWorkload)
        waiting += count;
    if (current != m_queuedJobs.size() || waiting != m_queuedJobs.size())
        throw std::logic_error("a waiting job is in no lane or in two, or the count per workload is wrong");
}

/** Whether an entry of a lane still stands for a waiting job. */
bool JobQueue::isWaiting(LaneIndex lane, const std::pair<Time, JobSerial>& entry) const
{
    const auto it = m_queuedJobs.find(entry.second);
    return it != m_queuedJobs.end() && it->second.lane == lane && it->second.since == entry.first;
}

/** Drops entries of removed jobs from the front; frees the lane if none is left. */
void JobQueue::dropStaleFront(LaneIndex index)
{
    Lane& lane = m_lanes[index];
    const JobSerial previousHead = lane.headSince == Time::max() || lane.jobs.empty() ? 0 : lane.jobs.front().second;
    while (!lane.jobs.empty() && !isWaiting(index, lane.jobs.front())) {
        lane.jobs.pop_front();
        lane.staleEntries -= lane.staleEntries > 0;
    }
    if (lane.jobs.empty()) {
        m_laneByKey.erase(lane.key);
        lane = {};
        m_needs[index] = unsatisfiableNeed;
        m_unusedLanes.push_back(index);
        return;
    }
    if (previousHead != lane.jobs.front().second || lane.headSince != lane.jobs.front().first)
        lane.headSince = lane.jobs.front().first;
}

/** Compacts a lane by dropping all entries of removed jobs. */
void JobQueue::compact(LaneIndex index)
{
    Lane& lane = m_lanes[index];
    std::erase_if(lane.jobs, [&](const auto& entry) { return !isWaiting(index, entry); });
    lane.staleEntries = 0;
    dropStaleFront(index);
}

} // namespace sp
