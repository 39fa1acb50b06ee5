/** @file job_queue.h Waiting jobs of one shard in lanes of equal work. */
#pragma once

#include "quota.h"
#include "usage_model.h"

#include <deque>
#include <map>
#include <queue>
#include <set>

namespace sp {

using JobSerial = std::uint32_t; ///< Number of a job in this process; 0 is never used.
using LaneIndex = std::uint32_t;

/** Order of waiting work before the fair shares of the teams. */
enum class QueueRank : std::uint8_t {
    Urgent, ///< Priority urgent.
    Front, ///< Waits longer than max_wait, or a hold or gang that lost its place.
    Fair, ///< Everything else, by the fair shares of the teams.
};

/** Jobs with the same key have the same needs: if the first can't be placed, none of them can. */
struct LaneKey {
    QueueRank rank = QueueRank::Fair;
    TeamIndex team = 0;
    WorkloadId workload;
    Resources size; ///< Declared size.
    std::uint32_t gangTasks = 0; ///< Tasks of a gang, 0 for other work.
    std::uint32_t variant = 0; ///< Tells apart jobs whose tasks must avoid different workers.
    auto operator<=>(const LaneKey& other) const
    {
        return std::tie(rank, team, workload, size.coresMilli, size.memoryMb, size.accelerators, gangTasks, variant)
            <=> std::tie(other.rank, other.team, other.workload, other.size.coresMilli, other.size.memoryMb,
                other.size.accelerators, other.gangTasks, other.variant);
    }
    bool operator==(const LaneKey& other) const { return (*this <=> other) == 0; }
};

/** Jobs of one lane in order of arrival. */
struct Lane {
    LaneKey key;
    UsageEntryPtr usage;
    std::string reason; ///< Why the first job waits.
    Time headSince = Time::max();
    bool live = false;
    bool parked = false; ///< Could not be placed; is tried again when there is new room.
    bool quotaBlocked = false; ///< Parked because of the team's quota.
    std::deque<std::pair<Time, JobSerial>> jobs; ///< Cancelled jobs stay until they reach the front or are swept.
    std::size_t cancelled = 0; ///< Upper bound of the entries in jobs that don't wait any more.
};

/** Waiting jobs. Cancelling costs O(1): the entry is left in its lane and skipped later. */
class JobQueue {
public:
    LaneIndex add(JobSerial job, const LaneKey& key, Time since, Duration maxWait, const UsageEntryPtr& usage);
    void remove(JobSerial job);
    bool contains(JobSerial job) const { return m_jobs.contains(job); }
    LaneIndex laneOf(JobSerial job) const;
    JobSerial head(LaneIndex lane) const;
    std::vector<JobSerial> takeOverdue(Time now);
    std::size_t waiting(const WorkloadId& workload) const;
    std::size_t jobs() const { return m_jobs.size(); }
    std::size_t entries() const;
    std::vector<Lane>& lanes() { return m_lanes; }
    const std::vector<Lane>& lanes() const { return m_lanes; }
    std::vector<LaneIndex> takeFresh();
    void park(LaneIndex lane, const Resources& size, bool quotaBlocked);
    void unpark(LaneIndex lane);
    const std::vector<Resources>& needs() const { return m_needs; }
    void checkInvariants() const;

private:
    struct Place {
        LaneIndex lane = 0;
        Time since {};
        WorkloadId workload;
    };
    bool isCurrent(LaneIndex lane, const std::pair<Time, JobSerial>& entry) const;
    void settle(LaneIndex lane);
    void sweep(LaneIndex lane);

    std::vector<Lane> m_lanes;
    /** Room that each lane waits for: 0 if it is to be tried anyway, out of reach if it is empty or waits for quota.
     * Kept apart, since it is looked through after each end of a task. */
    std::vector<Resources> m_needs;
    std::vector<LaneIndex> m_unused;
    std::map<LaneKey, LaneIndex> m_byKey;
    std::unordered_map<JobSerial, Place> m_jobs;
    std::unordered_map<WorkloadId, std::size_t> m_waiting;
    std::vector<LaneIndex> m_fresh; ///< Lanes with a new head that was not tried yet.
    using Due = std::pair<Time, JobSerial>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due; ///< When jobs become overdue.
};

} // namespace sp
