/** @file worker_pool.h Capacity and reservations of the workers of one shard, and the index that placement searches. */
#pragma once

#include "work_type.h"

#include <limits>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace sp {

using WorkerIndex = std::uint32_t; ///< Stable until the worker is removed, then reused.
inline constexpr WorkerIndex noWorker = std::numeric_limits<WorkerIndex>::max();
inline constexpr Time timeUnknown = Time::max(); ///< Expected end of a task without a run time estimate.

/** Identifies one reservation; job 0 marks a task without a job record. */
struct TaskKey {
    std::uint32_t job = 0; ///< JobSerial of the job.
    std::uint32_t index = 0; ///< Index of the task in its job.
    auto operator<=>(const TaskKey&) const = default;
};

/** Resources reserved for one task on a worker. */
struct Reservation {
    TaskKey key;
    Resources wanted; ///< Required amount, from the declared size and the usage reports.
    Resources
        granted; ///< Part of wanted that fits in the capacity; less than wanted only if the worker is overcommitted.
    std::uint32_t team = 0; ///< Team index in Quota.
    bool stoppable = false; ///< May be preempted.
    bool stopping = false; ///< The task is being stopped; its resources stay reserved until its end is reported.
    Time startedAt {};
    Time expectedEnd = timeUnknown;
};

/** State of a worker. Invariant: reserved is the sum of the granted amounts and does not exceed the capacity. */
struct WorkerState {
    WorkerInfo info;
    std::uint32_t rack = 0; ///< Number that the pool has assigned to the worker's rack.
    bool known = false; ///< False if the index is unused.
    bool usable = false; ///< The worker reports under the owner's current term.
    bool leaving = false; ///< Draining: runs its tasks to the end but gets no new ones.
    bool out = false; ///< Excluded from placement because tasks failed on it.
    bool paused = false; ///< Temporarily excluded after it refused a start.
    Resources reserved;
    Resources unmet; ///< Wanted but not granted; the worker gets no new tasks unless this is zero.
    Resources held; ///< Set aside for the gang or task that has the shard's reservation.
    Resources claimed; ///< Set aside for tasks that preempt others here.
    Resources stoppable; ///< Granted to tasks that may be preempted and are not being stopped.
    Resources stopping; ///< Granted to tasks that are being stopped.
    std::vector<Reservation> tasks;

    bool isEligible() const { return known && usable && !leaving && !out && !paused && unmet == Resources {}; }
    Resources room(bool withHeld) const;
};

/** Requirements of a task to be placed. */
struct PlaceQuery {
    Resources size;
    std::span<const WorkerIndex> avoid; ///< Workers on which the task has failed.
    const std::map<std::uint32_t, std::uint32_t>* rackUse
        = nullptr; ///< Number of tasks of the same job per rack index; may be null.
    std::uint32_t rackLimit = 0; ///< Maximum number of tasks of the job per rack, 0 for no limit.
    bool spread = false; ///< Prefer racks with few tasks of the job.
};

/** Workers of one shard. Not thread-safe. */
class WorkerPool {
public:
    void applyWeights(const PolicyWeights& weights) { m_weights = weights; }
    WorkerIndex put(const WorkerInfo& info);
    WorkerIndex find(const TargetId& id) const;
    void setUsable(WorkerIndex worker, bool usable);
    void setLeaving(WorkerIndex worker);
    void setOut(WorkerIndex worker, bool out);
    void setPaused(WorkerIndex worker, bool paused);
    void remove(WorkerIndex worker);

    void reserve(WorkerIndex worker, const Reservation& reservation);
    Resources resize(WorkerIndex worker, const TaskKey& key, const Resources& wanted);
    void release(WorkerIndex worker, const TaskKey& key);
    void markStopping(WorkerIndex worker, const TaskKey& key);
    Reservation* reservation(WorkerIndex worker, const TaskKey& key);
    void setHeld(WorkerIndex worker, const Resources& held);
    void addClaim(WorkerIndex worker, const Resources& size);
    void dropClaim(WorkerIndex worker, const Resources& size);

    WorkerIndex place(const PlaceQuery& query) const;
    WorkerIndex placeOnHeld(const Resources& size, std::span<const WorkerIndex> held) const;
    bool fitsKnown(const Resources& size) const;
    bool fitsUsable(const Resources& size) const;
    std::size_t countFitting(const Resources& size) const;
    Resources clampToLargest(const Resources& size, const Resources& declared) const;

    bool takeFreed(std::vector<WorkerIndex>& freed);
    const std::vector<WorkerState>& workers() const { return m_workers; }
    std::size_t knownWorkers() const { return m_indexById.size(); }
    std::size_t rackCount() const { return m_rackIndices.size(); }
    Resources totalFree() const { return m_totalFree; }
    Resources totalCapacity() const { return m_totalCapacity; }
    Resources totalReserved() const { return m_totalReserved; }
    void checkInvariants() const;

private:
    using Bucket = std::set<std::pair<std::int64_t, WorkerIndex>>; ///< Workers ordered by free cores, in thousandths.
    struct IndexEntry {
        bool isIndexed = false; ///< The worker is in m_buckets.
        Resources room; ///< Free resources under which the worker is indexed.
    };
    /** Workers with equal capacity. */
    struct CapacityClass {
        Resources capacity;
        std::size_t known = 0; ///< Number of workers of this capacity, usable or not.
        std::size_t usable = 0; ///< Number of workers that are usable and not leaving.
    };
    void updateIndex(WorkerIndex worker);
    void removeFromIndex(WorkerIndex worker);
    void recomputeGrants(WorkerState& worker);
    void rebuildCapacityClasses();
    bool isCandidate(const PlaceQuery& query, WorkerIndex worker) const;
    double score(const PlaceQuery& query, WorkerIndex worker) const;
    static std::size_t bucketOf(const Resources& room);

    PolicyWeights m_weights;
    std::vector<WorkerState> m_workers;
    std::vector<IndexEntry> m_index;
    std::vector<bool> m_isFreed;
    std::vector<WorkerIndex> m_freedWorkers; ///< Workers whose free resources grew since the last takeFreed().
    std::vector<Bucket> m_buckets
        = std::vector<Bucket>(17); ///< By number of free accelerators; the last one is for 16 and more.
    std::unordered_map<TargetId, WorkerIndex> m_indexById;
    std::vector<WorkerIndex> m_unusedIndices;
    std::unordered_map<RackId, std::uint32_t> m_rackIndices;
    std::vector<CapacityClass> m_capacityClasses;
    Resources m_totalFree; ///< Free resources of eligible workers.
    Resources m_totalCapacity; ///< Summed capacity of known workers.
    Resources m_totalReserved;
};

Resources minOf(const Resources& left, const Resources& right);
Resources maxOf(const Resources& left, const Resources& right);
double largestShare(const Resources& part, const Resources& whole);
std::uint32_t timesIn(const Resources& size, const Resources& room);

} // namespace sp
