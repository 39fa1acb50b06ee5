/** @file worker_pool.h Capacity of the workers of one shard in integer units, and the index for placement. */
#pragma once

#include "work_type.h"

#include <limits>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace sp {

using WorkerIndex = std::uint32_t; ///< Stable while the worker is known.
inline constexpr WorkerIndex noWorker = std::numeric_limits<WorkerIndex>::max();
inline constexpr Time timeUnknown = Time::max(); ///< No end is expected.

/** Identifies one reservation; job 0 stands for a task that no job record knows. */
struct TaskKey {
    std::uint32_t job = 0; ///< Serial of the job.
    std::uint32_t index = 0; ///< Index of the task in its job.
    auto operator<=>(const TaskKey&) const = default;
};

/** Room that one task has on a worker. */
struct Reservation {
    TaskKey key;
    Resources wanted; ///< Needed amount, from the declaration and the reports.
    Resources granted; ///< Part of it that the worker has room for; equal to wanted on almost all workers.
    std::uint32_t team = 0; ///< Index in Quota.
    bool stoppable = false; ///< May be preempted.
    bool stopping = false; ///< A stop was decided; the room stays taken until the end is known.
    Time startedAt {};
    Time expectedEnd = timeUnknown;
};

/** A worker with its reservations. Invariant: reserved is the sum of the granted amounts and fits in the capacity. */
struct WorkerState {
    WorkerInfo info;
    std::uint32_t rack = 0; ///< Index of the rack.
    bool known = false;
    bool usable = false; ///< Answers under the present term.
    bool leaving = false;
    bool out = false; ///< Taken out for failing.
    bool paused = false; ///< Refused a start a moment ago.
    Resources reserved;
    Resources unmet; ///< Wanted but not granted; while there is any, the worker gets no new work.
    Resources held; ///< Kept for the reservation of a gang.
    Resources claimed; ///< Kept for work that stops were decided for.
    Resources stoppable; ///< Granted to tasks that may be preempted and are not being stopped.
    Resources stopping; ///< Granted to tasks that are being stopped.
    std::vector<Reservation> tasks;

    bool isEligible() const { return known && usable && !leaving && !out && !paused && unmet == Resources {}; }
    Resources room(bool withHeld) const;
};

/** What a placement asks for. */
struct PlaceQuery {
    Resources size;
    std::span<const WorkerIndex> avoid; ///< Workers on which the task has failed.
    const std::map<std::uint32_t, std::uint32_t>* rackUse = nullptr; ///< Tasks of the same job by rack.
    std::uint32_t rackLimit = 0; ///< Largest number in one rack, 0 for no limit.
    bool spread = false; ///< Whether racks with few tasks of the job are preferred.
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
    std::size_t knownWorkers() const { return m_byId.size(); }
    std::size_t rackCount() const { return m_racks.size(); }
    Resources totalFree() const { return m_totalFree; }
    Resources totalCapacity() const { return m_totalCapacity; }
    Resources totalReserved() const { return m_totalReserved; }
    void checkInvariants() const;

private:
    using Bucket = std::set<std::pair<std::int64_t, WorkerIndex>>; ///< Workers by free cores.
    struct IndexEntry {
        bool listed = false;
        Resources room; ///< Room that the index holds for the worker.
    };
    struct CapacityClass {
        Resources capacity;
        std::size_t known = 0;
        std::size_t usable = 0;
    };
    void update(WorkerIndex worker);
    void unlist(WorkerIndex worker);
    void regrant(WorkerState& worker);
    void rebuildClasses();
    bool isCandidate(const PlaceQuery& query, WorkerIndex worker) const;
    double score(const PlaceQuery& query, WorkerIndex worker) const;
    static std::size_t bucketOf(const Resources& room);

    PolicyWeights m_weights;
    std::vector<WorkerState> m_workers;
    std::vector<IndexEntry> m_index;
    std::vector<bool> m_isFreed;
    std::vector<WorkerIndex> m_freed; ///< Workers whose room grew since the last takeFreed.
    std::vector<Bucket> m_buckets = std::vector<Bucket>(17); ///< By free accelerators; the last for 16 and more.
    std::unordered_map<TargetId, WorkerIndex> m_byId;
    std::vector<WorkerIndex> m_unused;
    std::unordered_map<RackId, std::uint32_t> m_racks;
    std::vector<CapacityClass> m_classes;
    Resources m_totalFree; ///< Room of eligible workers.
    Resources m_totalCapacity; ///< Capacity of known workers.
    Resources m_totalReserved;
};

Resources minOf(const Resources& left, const Resources& right);
Resources maxOf(const Resources& left, const Resources& right);
double largestShare(const Resources& part, const Resources& whole);
std::uint32_t timesIn(const Resources& size, const Resources& room);

} // namespace sp
