/** @file gang_planner.h All-or-nothing placement of gangs, and a reservation for work that cannot be placed. */
#pragma once

#include "job_queue.h"
#include "worker_pool.h"

#include <optional>

namespace sp {

/** Resource request of a gang, or of a single urgent or overdue task. */
struct ReservationRequest {
    JobSerial job = 0;
    Resources size; ///< Size of each task.
    std::uint32_t count = 1;
    std::uint32_t rackLimit = 0; ///< Maximum number of tasks in one rack, 0 for no limit.
    Time submittedAt {}; ///< Submission time; the oldest request gets the reservation.
};

/** Number of tasks to place on one worker. */
struct WorkerTaskCount {
    WorkerIndex worker = 0;
    std::uint32_t tasks = 0;
};

std::optional<std::vector<WorkerTaskCount>> fitGang(
    const ReservationRequest& need, const WorkerPool& pool, bool withHeld);
bool gangFitsKnown(const ReservationRequest& need, const WorkerPool& pool);

/** Statistics of the reservations of one shard since its start. */
struct ReservationStats {
    std::uint64_t plans = 0; ///< Number of plans computed from the expected ends of running tasks.
    std::uint64_t pauses = 0; ///< Number of times a reservation was suspended because its idle budget was used up.
    double idleShareSeconds = 0; ///< Reserved capacity left idle while other work waited, as fraction of the shard's
                                 ///< capacity times seconds.
};

/**
 * Manages the reservation of a shard; there is at most one. It sets aside resources on the workers that are expected to
 * have enough earliest. Reserved resources left idle while other work waits are charged against a budget of 5% of the
 * capacity since the reservation was made. Workers are held only once the budget is expected to suffice, and are
 * released when it is used up.
 */
class GangPlanner {
public:
    bool isActive() const { return m_reservedWork.has_value(); }
    JobSerial job() const { return m_reservedWork ? m_reservedWork->job : 0; }
    Time submittedAt() const { return m_reservedWork ? m_reservedWork->submittedAt : Time::max(); }
    bool isHolding() const { return !m_held.empty(); }
    Time expectedStart() const { return m_expectedStart; }
    std::span<const WorkerIndex> held() const { return m_held; }
    void begin(const ReservationRequest& need, WorkerPool& pool, Time now);
    void end(WorkerPool& pool, Time now);
    bool advance(WorkerPool& pool, bool othersWait, Time now);
    const ReservationStats& stats() const { return m_stats; }
    static constexpr double idleShareLimit
        = 0.05; ///< Maximum fraction of the capacity that a reservation may leave idle.

private:
    struct Plan {
        Time start = timeUnknown;
        double expectedIdleShareSeconds = 0; ///< Expected idle reserved resources, as fraction of the
                                             ///< shard's capacity times seconds.
        std::vector<WorkerTaskCount> shares;
    };
    Plan plan(const WorkerPool& pool, Time now) const;
    Time heldWorkersReadyAt(const WorkerPool& pool, Time now) const;
    double expectedIdle(const WorkerPool& pool, const Plan& plan, Time now) const;
    void charge(const WorkerPool& pool, bool othersWait, Time now);
    void release(WorkerPool& pool);
    void hold(WorkerPool& pool, const Plan& plan);

    std::optional<ReservationRequest> m_reservedWork;
    Time m_reservedAt {};
    Time m_chargedAt {};
    Time m_plannedAt {};
    Time m_expectedStart = timeUnknown;
    /** Idle resources charged to the current reservation, as fraction of the shard's capacity times seconds. */
    double m_chargedShareSeconds = 0;
    std::vector<WorkerIndex> m_held;
    std::vector<WorkerTaskCount> m_shares; ///< Number of tasks for which each held worker is reserved.
    ReservationStats m_stats;
};

} // namespace sp
