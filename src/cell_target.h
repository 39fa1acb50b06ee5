/** @file cell_target.h State of one target in the memory of the owner: capacity, clock, lease, runs, health. */
#pragma once

#include "account_usage.h"
#include "cell_type.h"
#include "interference_profile.h"
#include "run_time_profile.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** State of a run on a target. */
enum class RunPhase : std::uint8_t {
    Recording, ///< Placed; its record is being written to the store and no order has been sent.
    Ordered, ///< The start order has been sent and is not confirmed yet.
    Running, ///< Confirmed by the target.
    Stopping, ///< A stop has been ordered; the run keeps its capacity until the target reports its end.
    Recovered, ///< Read from the store by a new owner; the target has not reported yet.
};

/** A run that uses capacity of a target. */
struct Occupant {
    std::uint32_t run = 0;
    RunPhase phase = RunPhase::Recording;
    Resources taken; ///< Capacity reserved for the run.
    AccountId account; ///< Account whose usage includes the run; empty for none.
    Resources demand; ///< Declared demand of the task, which counts towards the account.
    bool sizeUnknown = false; ///< The reserved capacity is unknown; no further task is placed on the target meanwhile.
    bool checkpointing = false;
    bool fills = false; ///< Uses only processor time that other runs leave idle.
    bool serves = false; ///< Serves requests with a target for the tail of its response times.
    bool lasting = false; ///< Runs until the job is cancelled.
    std::chrono::milliseconds estimate { 0 };
    std::uint32_t image = 0; ///< Number of its image in the interference profile; 0 if it is not tracked.
    Time since {}; ///< Time at which the current phase began.
    Time confirmedAt {}; ///< Time at which the target last confirmed an order for this run; unset before.
    int tries = 0; ///< Number of orders of the current kind, start or stop, that were sent.
    bool orderOpen = false; ///< An order has been sent and is not answered yet.
    bool unsure = false; ///< An order remained unanswered and may still be carried out.
    /** A start order remained unanswered. A later incarnation of the target may still carry it out, even if a
     * repetition has been answered. */
    bool mayArriveLate = false;
    Time orderSentAt {}; ///< Time at which the last start or stop order was sent.
    Time retryAt {}; ///< Back-off: no order is sent again before this time.
    int percent = 0; ///< Last reported progress.
    Time progressAt {}; ///< Time at which the reported progress last increased.
    std::int64_t gauge = 0; ///< Last reported value, see RunRow::gauge.
    int pace = 100; ///< Speed limit of the run in percent.
    Time paceAt {}; ///< Time at which the speed limit was last changed.
    bool paceOpen = false; ///< An order that changes the speed limit is not answered yet.
    std::string stopReason; ///< Reason for stopping the run, for the log.
    CalendarTime bornAt {}; ///< Start time of the target's incarnation to which the run was assigned.
    Time startedAt {}; ///< Time of the first start order, or of the take-over for a recovered run.
    bool alone = false; ///< The run has had the target for itself since its start.
    bool begun = false; ///< The target has confirmed the run, to this owner or to a former one.
    bool heardBeforeStart = false; ///< The target had answered just before the first start order was sent.
    std::chrono::milliseconds leaseOrdered { 0 }; ///< Lease expiry in the first start order, on the target's clock.
    /** As LostRun::heldUntil; set when the target has restarted under its id and its former clock is forgotten. */
    Time heldUntil {};
};

/** What a crash of a target has to know of a run there that ended without a report. */
struct LostRun {
    CellTaskKey task;
    std::uint32_t run = 0;
    CalendarTime bornAt {}; ///< As Occupant::bornAt.
    bool begun = false; ///< As Occupant::begun.
    bool heardBeforeStart = false; ///< As Occupant::heardBeforeStart.
    bool startedLast = false; ///< The target was not heard again after the start of the run.
    bool alone = false; ///< As Occupant::alone.
    Time heldUntil {}; ///< The run cannot have lapsed before this time; unset if that is not known.
    Time lostAt {};
};

/** One target in the memory of the owner. */
struct CellTarget {
    std::uint32_t serial = 0; ///< Unique among all targets that the owner has known.
    TargetEntry entry;
    std::uint32_t group = 0; ///< Equal for targets with the same labels and capacity.
    bool listed = false; ///< Contained in the latest list of targets.
    Time leavesAt {}; ///< Earliest time at which a draining target may leave; unset if it is not draining.
    Resources used; ///< Capacity reserved for all runs on the target.
    int unknownReservations = 0; ///< Number of runs whose reserved capacity is unknown.
    std::unordered_map<CellTaskKey, Occupant> occupants; ///< Runs on the target, by task.
    AccountUsage* accountUsage = nullptr; ///< Counts the runs towards their accounts; null for no accounting.
    bool mayHaveOpenOrders = true; ///< False if no run is known to wait for an order or for its confirmation.

    /** Task that has the target for itself, once the other runs there have ended; set while it waits or runs. */
    std::optional<CellTaskKey> reservedFor;
    /** Runs that were given up while the target was silent. If it turns out to have crashed, that counts for them. */
    std::vector<LostRun> lostRuns;
    CalendarTime drainedBornAt {}; ///< Start time of the incarnation that was last seen draining.
    Time heardBeforeSilence {}; ///< Time of the last answer before the target fell silent; unset once it reports again.
    bool replaced = false; ///< Another incarnation runs on its machine or answers at its address.

    // Clock and lease.
    std::chrono::milliseconds clock { 0 }; ///< Highest reading of the target's clock that was received with an answer.
    Time clockSeenAt {}; ///< Time at which that reading was received; unset if there is none.
    std::chrono::milliseconds leaseSent { 0 }; ///< Latest lease expiry sent with an order, on the target's clock.
    std::chrono::milliseconds leaseAnswered { 0 }; ///< Latest of them whose order the target has answered.
    Time lapsesBy {}; ///< Time by which all leases granted by former owners have expired.

    // Reports.
    bool reported = false; ///< Has reported to the current owner.
    CalendarTime reportedBornAt {}; ///< Start time of the incarnation that sent the last report.
    Time lookSentAt {}; ///< Send time of the LookOrder that is not answered yet; unset if there is none.
    bool lookWaits = false; ///< That LookOrder is a long poll.
    Time nextLookAt {}; ///< Time at which the next LookOrder is due.
    Time heardAt {}; ///< Time of the last answer to any order.
    /** Time at which an order last remained unanswered or its answer did not fit the target's clock; unset once a later
     * request for a report is answered. Orders name no incarnation, so that meanwhile they may reach a new one. */
    Time doubtedAt {};
    int unanswered = 0; ///< Number of consecutive unanswered orders.
    CalendarTime endsBornAt {}; ///< Start time of the incarnation whose ends the next three fields count.
    std::uint64_t endsSeen = 0; ///< Highest sequence number of a processed end.
    std::set<std::uint64_t> endsUnsaved; ///< Processed ends whose effect has not been stored yet.
    std::uint64_t endsAcknowledged = 0; ///< Highest sequence number whose acknowledgement the target has answered.

    // Health.
    Time quarantinedUntil {}; ///< No task is placed on the target before this time, as FailureAttribution decided.
    Time refusedUntil {}; ///< Back-off after a rejected start: no task is placed on the target before this time.
    double slowness = 1; ///< Ratio of observed to estimated run time, relative to other targets.
    TargetSpeed speed; ///< What the run-time profile has learned of the target.
    NeighbourHistory endedRuns; ///< Runs that were beside those that end next.

    const TargetId& id() const { return entry.id; }
    TargetRef ref() const { return { entry.id, entry.address }; }

    /** Returns the tasks whose runs meet a condition, as a copy so that the caller can release runs while iterating. */
    template <typename Condition> std::vector<CellTaskKey> tasksWhere(Condition condition) const
    {
        std::vector<CellTaskKey> tasks;
        for (const auto& [key, occupant] : occupants) {
            if (condition(key, occupant))
                tasks.push_back(key);
        }
        return tasks;
    }
    /** Returns the start time of the latest known incarnation with this id. */
    CalendarTime latestBornAt() const { return std::max(entry.bornAt, reportedBornAt); }
    /** Returns the capacity that is not reserved. */
    Resources room() const { return entry.capacity - used; }
    AccountRun accountRun(const CellTaskKey& key, const Occupant& occupant) const
    {
        return { occupant.account, key, entry.id, occupant.demand, occupant.sizeUnknown };
    }
    bool runsAnyOf(const ImageSet& images) const;
    void occupy(const CellTaskKey& key, const Occupant& occupant);
    void release(const CellTaskKey& key);
    /** Returns whether the runs need more than the capacity, which has shrunk since they were placed. */
    bool overcommitted() const { return !used.fitsIn(entry.capacity); }
    std::chrono::milliseconds clockAtLeast(Time now) const;
    Time clockReaches(std::chrono::milliseconds reading) const;
    void sawClock(std::chrono::milliseconds reading, Time now);
    bool mayHaveRestarted() const { return doubtedAt != Time {}; }
    bool sawOrderAnswer(std::chrono::milliseconds reading, Time sentAt, Time now);
    bool lapsed(Time now) const;
    /** Returns whether the target has left several consecutive orders unanswered. */
    bool silent() const { return unanswered >= silentAfterCalls; }
    bool usable(Time now) const;
    /** Returns the sequence number up to which the effects of all ends are stored. */
    std::uint64_t endsSaved() const { return endsUnsaved.empty() ? endsSeen : *endsUnsaved.begin() - 1; }
    bool mayAcknowledgeEnds() const;
    void countEndsOf(CalendarTime bornAt);

    static constexpr int silentAfterCalls = 2; ///< A single lost answer is common, two consecutive ones are rare.
    /** Minimum rate of a target's clock; its interface allows it to run 2% slow. */
    static constexpr double slowestClock = 0.98;
};

} // namespace sp
