/** @file cell_job.h State of a job and its tasks in the memory of the owner, and its record in the store. */
#pragma once

#include "cell_type.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

struct CellTarget;

/** State of one task. It waits while it is neither done nor on a target. */
struct TaskState {
    std::uint32_t run = 0; ///< Highest run number ever ordered.
    std::uint32_t failures = 0; ///< Runs that ended by the task's or a target's fault.
    bool done = false;
    CellTarget* target = nullptr; ///< Target that may be running the present run.
    TargetId recordedTarget; ///< The same as in the record, also when the target is not known.
    std::string checkpoint; ///< Latest saved progress.
    std::set<TargetId> avoid; ///< Targets on which a run failed or stood still.
    Time waitingSince {}; ///< When the task began to wait.

    bool waiting() const { return !done && !target && recordedTarget.empty(); }
};

/** What is known of an advisor's answer about one target. */
struct AdviceTicketState {
    std::string ticket;
    Time validUntil {}; ///< A start after this time would be refused.
};

/** What an advisor has said about one step. */
struct StepAdvice {
    std::unordered_map<TargetId, AdviceTicketState> allowed;
    std::set<TargetId> denied; ///< The answer about a target never changes.
    int inFlight = 0; ///< Questions without an answer yet.
    Time notBefore {}; ///< No question before this time, after a failed one.
};

/** State of one step of one occurrence. */
struct StepState {
    std::vector<TaskState> tasks;
    std::uint32_t done = 0; ///< Number of tasks that are done.
    StepAdvice advice;
    Time readyAt {}; ///< When the last step before it was complete; unset while it is not ready.

    bool complete() const { return done == tasks.size(); }
};

/** One run through the steps of a job. */
struct OccurrenceState {
    std::vector<StepState> steps;
};

/** A job in the memory of the owner. */
struct CellJob {
    CellJobSpec spec;
    JobState state = JobState::Queued;
    JobState shownState = JobState::Queued; ///< What callers see: final states only once they are stored.
    bool stored = false; ///< The job is in the store.
    bool begun = false; ///< A task has started.
    std::map<std::uint32_t, OccurrenceState> occurrences; ///< Those that have begun and not ended.
    std::uint32_t occurrencesEnded = 0; ///< All below this number have ended.
    Time submittedAt {};
    CalendarTime acceptedAt {};
    std::chrono::milliseconds objective { 0 }; ///< Time from submission within which the job earns its full worth.
    Time finishedAt {};

    // Saving.
    Time saveNotBefore {}; ///< Its first record waits for the first placement; unset for no wait.
    bool dirty = false; ///< Changed since its record was last written.
    bool writing = false; ///< Its record is on the way to the store.
    bool specStored = false;
    bool specRemoved = false;
    std::vector<std::function<void(bool saved)>> onSaved; ///< Run when the present state is in the store.
    std::vector<std::function<void(bool saved)>> onWritten; ///< Run when the record on the way is in the store.

    std::uint32_t occurrenceCount() const { return spec.schedule.occurrences ? spec.schedule.occurrences : 1; }
    bool timed() const { return spec.schedule.occurrences > 0; }
    CalendarTime dueAt(std::uint32_t occurrence) const
    {
        return spec.schedule.firstDue + spec.schedule.interval * static_cast<std::int64_t>(occurrence);
    }
    Time objectiveAt() const { return submittedAt + objective; }
    OccurrenceState& beginOccurrence(std::uint32_t number);
    TaskState* task(const CellTaskKey& key);
    StepState* step(const StepKey& key);
    bool stepReady(const OccurrenceState& occurrence, std::size_t step) const;
    bool occurrenceComplete(const OccurrenceState& occurrence) const;
};

std::chrono::milliseconds longestChain(const std::vector<StepSpec>& steps, std::chrono::milliseconds perStep);
std::optional<std::string> jobSpecProblem(const CellJobSpec& spec);

std::string encodeJobSpec(const CellJobSpec& spec);
std::optional<CellJobSpec> decodeJobSpec(const std::string& bytes);
std::string encodeJobRecord(const CellJob& job);
bool decodeJobRecord(const std::string& bytes, CellJob& job);

namespace proto {
    class CellJobSpec;
}
void toProto(const CellJobSpec& spec, proto::CellJobSpec& out);
CellJobSpec fromProto(const proto::CellJobSpec& in);

} // namespace sp
