/** @file job_queue.h Queue of waiting jobs of one shard, grouped into lanes of jobs with identical requirements. */
#pragma once

#include "quota.h"
#include "usage_model.h"

#include <deque>
#include <map>
#include <queue>
#include <set>

namespace sp {

using JobSerial = std::uint32_t; ///< Process-local job number; 0 means "no job".
using LaneIndex = std::uint32_t; ///< Index into JobQueue::lanes(); reused once a lane is empty.

/** Priority level of a waiting job; a lower value is scheduled first. */
enum class QueueRank : std::uint8_t {
    Urgent, ///< Jobs with urgent priority.
    Front, ///< Jobs that waited longer than max_wait, and holds or gangs that must be placed again.
    Fair, ///< All other jobs, ordered by the fair shares of their teams.
};

/** Jobs with the same key have the same requirements: if the first can't be placed, none of them can. */
struct LaneKey {
    QueueRank rank = QueueRank::Fair;
    TeamIndex team = 0;
    WorkloadId workload;
    Resources size; ///< Declared size of one task.
    std::uint32_t gangTasks = 0; ///< Number of tasks of a gang, 0 for jobs that are not gangs.
    std::uint32_t variant = 0; ///< Distinguishes jobs whose tasks must avoid different sets of workers.
    auto operator<=>(const LaneKey& other) const
    {
        return std::tie(rank, team, workload, size.coresMilli, size.memoryMb, size.accelerators, gangTasks, variant)
            <=> std::tie(other.rank, other.team, other.workload, other.size.coresMilli, other.size.memoryMb,
                other.size.accelerators, other.gangTasks, other.variant);
    }
    bool operator==(const LaneKey& other) const { return (*this <=> other) == 0; }
};

/** FIFO queue of the jobs that share a key. */
struct Lane {
    LaneKey key;
    UsageEntryPtr usage; ///< Learned size and run time of the lane's jobs.
    std::string reason; ///< Why the first job waits.
    Time headSince = Time::max(); ///< Time from which the first job waits.
    bool live = false; ///< The lane holds jobs; otherwise its index is free for reuse.
    bool parked = false; ///< The first job could not be placed; retried when enough capacity becomes free.
    bool quotaBlocked = false; ///< Parked because the team's quota is exhausted.
    std::deque<std::pair<Time, JobSerial>>
        jobs; ///< Sorted by waiting time; removed jobs stay until they reach the front or a compaction.
    std::size_t staleEntries = 0; ///< Upper bound of the entries in jobs that are no longer waiting.
};

/** Waiting jobs of a shard. Removing a job costs O(1): its entry stays in the lane and is skipped later. */
class JobQueue {
public:
    LaneIndex add(JobSerial job, const LaneKey& key, Time since, Duration maxWait, const UsageEntryPtr& usage);
    void remove(JobSerial job);
    bool contains(JobSerial job) const { return m_queuedJobs.contains(job); }
    LaneIndex laneOf(JobSerial job) const;
    JobSerial head(LaneIndex lane) const;
    std::vector<JobSerial> takeOverdue(Time now);
    std::size_t waiting(const WorkloadId& workload) const;
    std::size_t jobs() const { return m_queuedJobs.size(); }
    std::size_t storedEntries() const;
    std::vector<Lane>& lanes() { return m_lanes; }
    const std::vector<Lane>& lanes() const { return m_lanes; }
    std::vector<LaneIndex> takeFresh();
    void park(LaneIndex lane, const Resources& size, bool quotaBlocked);
    void unpark(LaneIndex lane);
    const std::vector<Resources>& needs() const { return m_needs; }
    void checkInvariants() const;

private:
    struct QueuedJob {
        LaneIndex lane = 0;
        Time since {};
        WorkloadId workload;
    };
    bool isWaiting(LaneIndex lane, const std::pair<Time, JobSerial>& entry) const;
    void dropStaleFront(LaneIndex lane);
    void compact(LaneIndex lane);

    std::vector<Lane> m_lanes;
    /** Capacity that each lane waits for: 0 if it is not parked, larger than any worker if it is empty or waits for
     * quota. Stored apart from the lanes because it is scanned after each end of a task. */
    std::vector<Resources> m_needs;
    std::vector<LaneIndex> m_unusedLanes;
    std::map<LaneKey, LaneIndex> m_laneByKey;
    std::unordered_map<JobSerial, QueuedJob> m_queuedJobs;
    std::unordered_map<WorkloadId, std::size_t> m_waitingByWorkload;
    std::vector<LaneIndex>
        m_untriedLanes; ///< Lanes that no scheduling round has tried since they were created or unparked.
    using OverdueEntry = std::pair<Time, JobSerial>;
    std::priority_queue<OverdueEntry, std::vector<OverdueEntry>, std::greater<>>
        m_overdueTimes; ///< Times at which jobs become overdue; may hold removed jobs.
};

} // namespace sp
