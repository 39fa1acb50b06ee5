/** @file gang_planner.h All-or-nothing placement of gangs, and the one reservation for work that finds no room. */
#pragma once

#include "job_queue.h"
#include "worker_pool.h"

#include <optional>

namespace sp {

/** What a gang, or a single overdue task, needs. */
struct GangNeed {
    JobSerial job = 0;
    Resources size; ///< Of each task.
    std::uint32_t count = 1;
    std::uint32_t rackLimit = 0; ///< Largest number in one rack, 0 for no limit.
    Time since {}; ///< Time from which it waits; the oldest is first.
};

/** Tasks to place on one worker. */
struct GangShare {
    WorkerIndex worker = 0;
    std::uint32_t tasks = 0;
};

std::optional<std::vector<GangShare>> fitGang(const GangNeed& need, const WorkerPool& pool, bool withHeld);
bool gangFitsKnown(const GangNeed& need, const WorkerPool& pool);

/** Figures of the reservations of one shard since its start. */
struct ReservationStats {
    std::uint64_t plans = 0; ///< Times at which the end of running work was looked through.
    std::uint64_t pauses = 0; ///< Times at which the limit of lost capacity was reached.
    double lostShareSeconds = 0; ///< Idle room held while other work waited, as share of the capacity times seconds.
};

/**
 * The one reservation of a shard. It collects room on the workers that are expected to have it first. Room that is
 * held idle while other work waits is charged against a budget of 5% of the capacity since the reservation was made;
 * it starts to hold only once the budget is expected to last, and pauses when it is used up.
 */
class GangPlanner {
public:
    bool isActive() const { return m_need.has_value(); }
    JobSerial job() const { return m_need ? m_need->job : 0; }
    Time since() const { return m_need ? m_need->since : Time::max(); }
    bool isHolding() const { return !m_held.empty(); }
    Time expectedStart() const { return m_expectedStart; }
    std::span<const WorkerIndex> held() const { return m_held; }
    void begin(const GangNeed& need, WorkerPool& pool, Time now);
    void end(WorkerPool& pool, Time now);
    bool advance(WorkerPool& pool, bool othersWait, Time now);
    const ReservationStats& stats() const { return m_stats; }
    static constexpr double lossLimit = 0.05; ///< Largest share of the capacity lost to a reservation.

private:
    struct Plan {
        Time start = timeUnknown;
        double loss = 0; ///< Expected share-seconds of room held idle.
        std::vector<GangShare> shares;
    };
    Plan plan(const WorkerPool& pool, Time now) const;
    Time heldStart(const WorkerPool& pool, Time now) const;
    double planLoss(const WorkerPool& pool, const Plan& plan, Time now) const;
    void charge(const WorkerPool& pool, bool othersWait, Time now);
    void release(WorkerPool& pool);
    void hold(WorkerPool& pool, const Plan& plan);

    std::optional<GangNeed> m_need;
    Time m_madeAt {};
    Time m_chargedAt {};
    Time m_plannedAt {};
    Time m_expectedStart = timeUnknown;
    double m_lost = 0; ///< Share-seconds charged to the present reservation.
    std::vector<WorkerIndex> m_held;
    std::vector<GangShare> m_shares; ///< What is held on each of them.
    ReservationStats m_stats;
};

} // namespace sp
