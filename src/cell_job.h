/** @file cell_job.h State of a job and its tasks in the memory of the owner, and its encoding for the store. */
#pragma once

#include "cell_type.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sp {

struct CellTarget;

/** Run number, assigned target, checkpoint and failures of one task. */
struct TaskState {
    std::uint32_t run = 0; ///< Highest run number that was ever used in a start order.
    /** Number of runs that ended through a fault of the task or of its target. A run of a gang counts for one member.
     */
    std::uint32_t failures = 0;
    std::uint32_t lastFailedRun = 0; ///< Run number of the last of them.
    std::uint32_t crashes = 0; ///< Number of targets that crashed under a run of this task.
    std::uint32_t crashesAlone = 0; ///< Those of them on which the run certainly was at the crash, and alone.
    bool suspect = false; ///< May be the cause of a crash; its next run gets a target for itself.
    bool begun = false; ///< The target has confirmed the current run, and its end without a report would be a crash.
    bool alone = false; ///< The current run has its target for itself.
    bool done = false;
    CellTarget* target = nullptr; ///< Target to which the current run was assigned; null if the task has none or the
                                  ///< target is unknown.
    TargetId recordedTarget; ///< Target of the current run as stored in the record; set even if that target is unknown.
    CalendarTime recordedBornAt {}; ///< Start time of that target's incarnation, to which the run was assigned.
    MachineId recordedMachine; ///< Machine of that target.
    std::string checkpoint; ///< Most recent checkpoint.
    std::uint32_t stalls = 0; ///< Number of runs stopped since they made no progress; only those of this owner.
    std::uint32_t displaced = 0; ///< Number of runs stopped for more urgent work; only those that this owner stopped.
    std::set<TargetId> avoid; ///< Targets on which a run of this task failed or made no progress.
    Time waitingSince {}; ///< Time since which the task has been waiting for a target.

    /** Returns whether the task has yet to be placed on a target. */
    bool waiting() const { return !done && !target && recordedTarget.empty(); }
};

/** An advisor's permission to run a step on one target. */
struct AdviceTicketState {
    std::string ticket;
    Time validUntil {}; ///< Expiry of the ticket; the target rejects a start after this time.
};

/** Answers of the advisor about one step. */
struct StepAdvice {
    std::unordered_map<TargetId, AdviceTicketState> allowed; ///< Targets that may run the step.
    /** CellTarget::serial of all targets that the advisor has answered about; its answer never changes. */
    std::unordered_set<std::uint32_t> answered;
    int inFlight = 0; ///< Number of questions that are not answered yet.
    Time askedAt {}; ///< Time of the last question.
    Time notBefore {}; ///< Back-off after a failed or needless question: no question is sent before this time.
    int needless = 0; ///< Number of consecutive questions that were not sent, since no target could help.
};

/** State of one step of one occurrence. */
struct StepState {
    std::vector<TaskState> tasks;
    std::uint32_t done = 0; ///< Number of tasks that are done.
    StepAdvice advice;
    Time readyAt {}; ///< Time at which all preceding steps were complete; unset before.
    Time displacementNotBefore {}; ///< Runs are displaced for the step no more often than this allows.
    Duration longestRun {}; ///< Longest run time of a task that is done, of those that were not resumed.
    bool mayHaveWaitingTasks = true; ///< False if all tasks are known to be placed or done.

    /** Returns whether all tasks of the step are done. */
    bool complete() const { return done == tasks.size(); }
    /** Returns the number of tasks on each target. */
    std::unordered_map<const CellTarget*, std::uint32_t> tasksByTarget() const;
};

/** State of one occurrence, that is of one execution of all steps of a job. */
struct OccurrenceState {
    std::vector<StepState> steps;
};

/** A run that no task of the record names any more, and whose end was not listed when the record was written. */
struct LeavingRun {
    CellTaskKey task;
    std::uint32_t run = 0;
    TargetId target;
    CalendarTime bornAt {}; ///< Start time of the target's incarnation to which the run was assigned.
    MachineId machine; ///< Machine of the target.
    Resources demand; ///< Declared demand of the task.
    bool fills = false;
    bool sizeUnknown = false; ///< The demand is not known.
};

using StepRunTimes = std::vector<std::chrono::milliseconds>; ///< Run time of the longest task, by step.

/** A job in the memory of the owner. */
struct CellJob {
    CellJobSpec spec;
    JobState state = JobState::Queued;
    /** State shown to callers; a final state is shown only after it has been stored. */
    JobState shownState = JobState::Queued;
    bool stored = false; ///< The store holds a record of the job.
    bool begun = false; ///< At least one task has started.
    std::map<std::uint32_t, OccurrenceState> occurrences; ///< Occurrences that have begun and have not ended.
    /** Occurrences begin in the order of their numbers: those with a lower number have begun, the others have not. */
    std::uint32_t occurrencesBegun = 0;
    Time submittedAt {};
    CalendarTime acceptedAt {};
    /** Maximum time from submission to completion at which the job still has its full value. */
    std::chrono::milliseconds objective { 0 };
    StepRunTimes runTimes; ///< Expected run time of the longest task of each step.
    /** Submitted beyond the usual rate of its account. Known to the owner that accepted the job only. */
    bool beyondRate = false;
    Time finishedAt {};

    // State of writing the job's record and specification to the store.
    Time saveNotBefore {}; ///< The first record is delayed until the first placement, at most to this time; unset for
                           ///< no delay.
    /** The store refused the record for its contents, so that no further task is placed until it is saved. */
    bool recordRejected = false;
    bool saveAlone = false; ///< The record is written by itself, as the store refused a batch with it.
    bool dirty = false; ///< Changed since the record was last written.
    bool writing = false; ///< A write of the record is in progress.
    bool specStored = false;
    bool specRemoved = false;
    std::vector<LeavingRun> leaving; ///< Runs to name in the record, or read from it; only for a job with an account.
    CalendarTime writtenAt {}; ///< Time of the record that names them.
    Resources accountMaximum; ///< Maximum of the account at the time of the record.
    /** Called with true once the store holds the current state, with false if the ownership ends or the submission is
     * refused before. */
    std::vector<std::function<void(bool saved)>> onSaved;
    /** Called with true once the store holds the record that is being written, with false if the outcome is unknown.
     * Moved back to onSaved if the record was not saved. */
    std::vector<std::function<void(bool saved)>> onWritten;

    std::size_t tasksPerOccurrence() const;
    /** Returns the number of times that the steps are run. */
    std::uint32_t occurrenceCount() const { return spec.schedule.occurrences ? spec.schedule.occurrences : 1; }
    /** Returns whether the occurrences of the job are scheduled at calendar times. */
    bool timed() const { return spec.schedule.occurrences > 0; }
    CalendarTime dueAt(std::uint32_t occurrence) const
    {
        return spec.schedule.firstDue + spec.schedule.interval * static_cast<std::int64_t>(occurrence);
    }
    Time objectiveAt() const { return submittedAt + objective; }
    /** Returns whether the job is too late to be of any value. */
    bool hasLostValue(Time now) const
    {
        constexpr int lateObjectiveFactor = 3; ///< A job that ends after this multiple of its objective earns nothing.
        return now - submittedAt > objective * lateObjectiveFactor;
    }
    OccurrenceState& beginOccurrence(std::uint32_t number);
    TaskState* task(const CellTaskKey& key);
    StepState* step(const StepKey& key);
    bool stepReady(const OccurrenceState& occurrence, std::size_t step) const;
    bool occurrenceComplete(const OccurrenceState& occurrence) const;
    bool allOccurrencesEnded() const;
};

/** Work of an occurrence that is still to be done. */
struct RemainingWork {
    std::chrono::milliseconds path { 0 }; ///< Critical path of the steps that are not complete.
    std::int64_t coreMs = 0; ///< Core-milliseconds of the tasks that wait for placement.
};

RemainingWork remainingWork(const CellJob& job, const OccurrenceState& occurrence, std::chrono::milliseconds perStep);
std::chrono::milliseconds longestChain(
    const std::vector<StepSpec>& steps, const StepRunTimes& runTimes, std::chrono::milliseconds perStep);
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
