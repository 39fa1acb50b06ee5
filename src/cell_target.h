/** @file cell_target.h What the owner knows of one target: capacity, clock, lease, occupants, health. */
#pragma once

#include "cell_type.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** State of a run on a target. */
enum class RunPhase : std::uint8_t {
    Recording, ///< Decided; its record is on the way to the store, nothing was ordered yet.
    Ordered, ///< The order was sent and is not confirmed.
    Running, ///< Confirmed by the target.
    Stopping, ///< A stop was ordered; it holds its capacity until the end is listed.
    Recovered, ///< Known from the store only, until the target has reported.
};

/** A run that holds capacity on a target. */
struct Occupant {
    std::uint32_t run = 0;
    RunPhase phase = RunPhase::Recording;
    Resources taken;
    bool sizeUnknown = false; ///< What it takes is not known; nothing is placed beside it.
    bool checkpointing = false;
    bool fills = false;
    bool serves = false; ///< Has a tail of response times to keep.
    bool lasting = false;
    std::chrono::milliseconds estimate { 0 };
    Time since {}; ///< When the phase began.
    Time confirmedAt {}; ///< When the target last confirmed an order of this run; unset before.
    int tries = 0; ///< Orders of the present kind that were sent.
    bool orderOpen = false; ///< An order is sent and not answered yet.
    bool unsure = false; ///< An order without an answer may yet be carried out.
    Time retryAt {}; ///< Not ordered again before this time.
    int percent = 0;
    Time progressAt {}; ///< When the percentage last grew.
    std::int64_t gauge = 0; ///< As reported last.
    int pace = 100; ///< Share at which the task may work, in percent.
    Time paceAt {}; ///< When the pace was last changed.
    bool paceOpen = false; ///< A change of the pace is on its way.
    std::string stopReason; ///< Why it is being stopped, for the log.
};

/** One target in the memory of the owner. */
struct CellTarget {
    TargetEntry entry;
    bool listed = false; ///< In the latest list of targets.
    Time leavesAt {}; ///< Earliest time at which a draining target may be gone; unset otherwise.
    Resources used;
    int unknownSizes = 0; ///< Occupants whose size is not known.
    std::unordered_map<CellTaskKey, Occupant> occupants;

    // Clock and lease.
    std::chrono::milliseconds clock { 0 }; ///< Largest clock reading that came with an answer.
    Time clockSeenAt {}; ///< When it came; unset if none has come.
    std::chrono::milliseconds leaseSent { 0 }; ///< Largest lease time sent with an order.
    Time lapsesBy {}; ///< When everything that a former owner left there has certainly lapsed.

    // Looking.
    bool reported = false; ///< Has reported under the present token.
    CalendarTime reportedBornAt {};
    bool lookOpen = false;
    Time nextLookAt {};
    Time heardAt {}; ///< Last answer of any kind.
    bool missedAnswer = false; ///< A call had no answer since the last report.
    int unanswered = 0; ///< Calls without an answer since the last answer.
    std::uint64_t endsSeen = 0; ///< Highest number of an end that was taken in.
    std::set<std::uint64_t> endsUnsaved; ///< Ends whose effect is not in the store yet.
    std::uint64_t endsAcknowledged = 0; ///< Ends up to this number were acknowledged with an answered call.

    // Health.
    int badEnds = 0; ///< Failed or stalled runs since the last run that was done.
    int quarantines = 0; ///< Quarantines without a run that was done in between.
    Time quarantinedUntil {};
    Time refusedUntil {}; ///< After a refusal nothing is placed before this time.
    double slowness = 1; ///< Observed run time relative to the estimate, compared with other targets.

    const TargetId& id() const { return entry.id; }
    TargetRef ref() const { return { entry.id, entry.address }; }

    /** Tasks whose runs fulfil a condition, so that the runs can be removed one by one. */
    template <typename Condition> std::vector<CellTaskKey> tasksWhere(Condition condition) const
    {
        std::vector<CellTaskKey> tasks;
        for (const auto& [key, occupant] : occupants) {
            if (condition(key, occupant))
                tasks.push_back(key);
        }
        return tasks;
    }
    Resources room() const { return entry.capacity - used; }
    void occupy(const CellTaskKey& key, const Occupant& occupant);
    void release(const CellTaskKey& key);
    std::chrono::milliseconds clockAtLeast(Time now) const;
    void sawClock(std::chrono::milliseconds reading, Time now);
    bool lapsed(Time now) const;
    bool silent() const { return unanswered >= silentAfterCalls; }
    bool usable(Time now) const;
    void runDone();
    void runBad(Time now);
    std::uint64_t endsSaved() const { return endsUnsaved.empty() ? endsSeen : *endsUnsaved.begin() - 1; }

    static constexpr int silentAfterCalls = 2; ///< One lost answer is common, two in a row are not.
    static constexpr double slowestClock = 0.98; ///< A target's clock may be 2% slow, by its interface.
};

} // namespace sp
