#include "cell_job.h"

#include "proto/cell.pb.h"

#include <algorithm>
#include <numeric>

namespace sp {

namespace {

    constexpr std::size_t maxTasksPerOccurrence = 100000; ///< Limits the memory that one job can use.

    std::chrono::milliseconds ms(std::int64_t count) { return std::chrono::milliseconds(count); }

    void stepToProto(const StepSpec& step, proto::CellStepSpec& out)
    {
        out.set_tasks(step.tasks);
        out.set_cores_milli(step.demand.coresMilli);
        out.set_memory_mb(step.demand.memoryMb);
        out.set_accelerators(step.demand.accelerators);
        out.set_estimate_ms(static_cast<std::uint32_t>(step.estimate.count()));
        for (const std::uint32_t dependency : step.after)
            out.add_after(dependency);
        out.set_checkpointing(step.checkpointing);
        out.set_gang(step.gang);
        out.set_colocated(step.colocated);
        out.set_speculative(step.speculative);
        out.set_lasting(step.lasting);
        out.set_required_label(step.requiredLabel);
        out.set_near_rack(step.nearRack.value);
        out.set_per_target_limit(step.perTargetLimit);
        out.set_image(step.image);
        out.set_tail_target_ms(static_cast<std::uint32_t>(step.tailTarget.count()));
        out.set_fills(step.fills);
        out.set_max_unavailable(step.maxUnavailable);
    }

    StepSpec stepFromProto(const proto::CellStepSpec& in)
    {
        StepSpec step;
        step.tasks = in.tasks();
        step.demand = { in.cores_milli(), in.memory_mb(), in.accelerators() };
        step.estimate = ms(in.estimate_ms());
        step.after.assign(in.after().begin(), in.after().end());
        step.checkpointing = in.checkpointing();
        step.gang = in.gang();
        step.colocated = in.colocated();
        step.speculative = in.speculative();
        step.lasting = in.lasting();
        step.requiredLabel = in.required_label();
        step.nearRack = RackId(in.near_rack());
        step.perTargetLimit = in.per_target_limit();
        step.image = in.image();
        step.tailTarget = ms(in.tail_target_ms());
        step.fills = in.fills();
        step.maxUnavailable = in.max_unavailable();
        return step;
    }

} // namespace

std::unordered_map<const CellTarget*, std::uint32_t> StepState::tasksByTarget() const
{
    std::unordered_map<const CellTarget*, std::uint32_t> counts;
    for (const TaskState& task : tasks) {
        if (task.target)
            ++counts[task.target];
    }
    return counts;
}

std::size_t CellJob::tasksPerOccurrence() const
{
    return std::accumulate(spec.steps.begin(), spec.steps.end(), std::size_t { 0 },
        [](std::size_t sum, const StepSpec& step) { return sum + step.tasks; });
}

/** Returns the state of an occurrence and creates it if it does not exist yet. */
OccurrenceState& CellJob::beginOccurrence(std::uint32_t number)
{
    occurrencesBegun = std::max(occurrencesBegun, number + 1);
    const auto [it, added] = occurrences.try_emplace(number);
    if (added) {
        it->second.steps.resize(spec.steps.size());
        for (std::size_t i = 0; i < spec.steps.size(); ++i)
            it->second.steps[i].tasks.resize(spec.steps[i].tasks);
    }
    return it->second;
}

/** Returns the state of a step of this job, null if the occurrence is not in progress or the step does not exist. */
StepState* CellJob::step(const StepKey& key)
{
    const auto it = occurrences.find(key.occurrence);
    if (it == occurrences.end() || key.step >= it->second.steps.size())
        return nullptr;
    return &it->second.steps[key.step];
}

/** Returns the state of a task of this job, null if the occurrence is not in progress or the task does not exist. */
TaskState* CellJob::task(const CellTaskKey& key)
{
    StepState* found = step(key.stepKey());
    return found && key.index < found->tasks.size() ? &found->tasks[key.index] : nullptr;
}

/** Returns whether all steps that the step with this index depends on are complete. */
bool CellJob::stepReady(const OccurrenceState& occurrence, std::size_t step) const
{
    const auto& after = spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t i) { return occurrence.steps[i].complete(); });
}

/** Returns whether all tasks of an occurrence are done. */
bool CellJob::occurrenceComplete(const OccurrenceState& occurrence) const
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(), [](const auto& s) { return s.complete(); });
}

/** Returns whether each occurrence has begun and none is in progress. */
bool CellJob::allOccurrencesEnded() const { return occurrencesBegun == occurrenceCount() && occurrences.empty(); }

/**
 * Computes the length of the critical path of a job from the estimates of its steps.
 * @param steps Steps; each depends on earlier ones only.
 * @param perStep Overhead added for each step, such as the time of a call to the advisor.
 * @return Duration of the job if none of its tasks has to wait for capacity.
 */
std::chrono::milliseconds longestChain(
    const std::vector<StepSpec>& steps, const StepRunTimes& runTimes, std::chrono::milliseconds perStep)
{
    std::vector<std::chrono::milliseconds> ends(steps.size());
    std::chrono::milliseconds longest { 0 };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        std::chrono::milliseconds begin { 0 };
        for (const std::uint32_t dependency : steps[i].after)
            begin = std::max(begin, ends[dependency]);
        ends[i] = begin + runTimes[i] + perStep;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

/**
 * Computes what is left to do of an occurrence.
 * @param perStep Overhead added for each step that has not begun, such as the time of a call to the advisor.
 */
RemainingWork remainingWork(const CellJob& job, const OccurrenceState& occurrence, std::chrono::milliseconds perStep)
{
    const std::vector<StepSpec>& steps = job.spec.steps;
    RemainingWork remaining;
    std::vector<std::chrono::milliseconds> ends(steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const StepState& state = occurrence.steps[i];
        if (state.complete())
            continue;
        std::int64_t waiting = 0;
        bool begun = false;
        for (const TaskState& task : state.tasks) {
            waiting += task.waiting() ? 1 : 0;
            begun |= task.run > 0;
        }
        std::chrono::milliseconds begin { 0 };
        for (const std::uint32_t dependency : steps[i].after)
            begin = std::max(begin, ends[dependency]);
        ends[i] = begin + job.runTimes[i] + (begun ? std::chrono::milliseconds(0) : perStep);
        remaining.path = std::max(remaining.path, ends[i]);
        remaining.coreMs += waiting * steps[i].demand.coresMilli * job.runTimes[i].count() / 1000;
    }
    return remaining;
}

/** Checks a job for errors that prevent it from running on any target. Returns the first error, if there is one. */
std::optional<std::string> jobSpecProblem(const CellJobSpec& spec)
{
    if (spec.steps.empty())
        return "a job needs at least one step";
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec& step = spec.steps[i];
        if (step.tasks == 0)
            return "step " + std::to_string(i) + " has no tasks";
        if (step.demand.coresMilli < 0 || step.demand.memoryMb < 0 || step.demand.accelerators < 0)
            return "step " + std::to_string(i) + " asks for a negative amount";
        for (const std::uint32_t dependency : step.after) {
            if (dependency >= i)
                return "step " + std::to_string(i) + " comes after step " + std::to_string(dependency);
        }
        tasks += step.tasks;
    }
    if (tasks > maxTasksPerOccurrence)
        return "a job has at most " + std::to_string(maxTasksPerOccurrence) + " tasks";
    return std::nullopt;
}

/** Converts a job's specification to its protobuf message. */
void toProto(const CellJobSpec& spec, proto::CellJobSpec& out)
{
    out.set_job(spec.id.value);
    out.set_queue(spec.queue.value);
    out.set_service(spec.service.value);
    out.set_account(spec.account.value);
    out.set_payload(spec.payload);
    for (const StepSpec& step : spec.steps)
        stepToProto(step, *out.add_steps());
    out.set_first_due_ms(spec.schedule.firstDue.time_since_epoch().count());
    out.set_interval_ms(spec.schedule.interval.count());
    out.set_occurrences(spec.schedule.occurrences);
}

/** Converts a protobuf message to a job's specification, without checking it. */
CellJobSpec fromProto(const proto::CellJobSpec& in)
{
    CellJobSpec spec;
    spec.id = JobId(in.job());
    spec.queue = QueueId(in.queue());
    spec.service = ServiceId(in.service());
    spec.account = AccountId(in.account());
    spec.payload = in.payload();
    for (const proto::CellStepSpec& step : in.steps())
        spec.steps.push_back(stepFromProto(step));
    spec.schedule = { CalendarTime(ms(in.first_due_ms())), ms(in.interval_ms()), in.occurrences() };
    return spec;
}

/** Serializes a job's specification for the store. */
std::string encodeJobSpec(const CellJobSpec& spec)
{
    proto::CellJobSpec message;
    toProto(spec, message);
    return message.SerializeAsString();
}

/**
 * Parses a specification from the store; returns nothing if the bytes are malformed or the specification is invalid.
 */
std::optional<CellJobSpec> decodeJobSpec(const std::string& bytes)
{
    proto::CellJobSpec message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    CellJobSpec spec = fromProto(message);
    if (jobSpecProblem(spec))
        return std::nullopt;
    return spec;
}

/** Serializes a job's progress for the store. A job in a final state is stored without its occurrences. */
std::string encodeJobRecord(const CellJob& job)
{
    proto::CellJobRecord record;
    record.set_job(job.spec.id.value);
    record.set_queue(job.spec.queue.value);
    record.set_account(job.spec.account.value);
    record.set_state(static_cast<std::uint32_t>(job.state));
    record.set_begun(job.begun);
    // For a host of an earlier version that takes the cell over.
    record.set_occurrences_ended(job.occurrences.empty() ? job.occurrencesBegun : job.occurrences.begin()->first);
    record.set_occurrences_begun(job.occurrencesBegun);
    record.set_accepted_ms(job.acceptedAt.time_since_epoch().count());
    for (const LeavingRun& run : job.leaving) {
        auto& out = *record.add_leaving();
        out.set_occurrence(run.task.occurrence);
        out.set_step(run.task.step);
        out.set_index(run.task.index);
        out.set_run(run.run);
        out.set_target(run.target.value);
        out.set_target_born_ms(run.bornAt.time_since_epoch().count());
        out.set_target_machine(run.machine.value);
        out.set_cores_milli(run.demand.coresMilli);
        out.set_memory_mb(run.demand.memoryMb);
        out.set_accelerators(run.demand.accelerators);
        out.set_fills(run.fills);
        out.set_size_unknown(run.sizeUnknown);
        record.set_written_ms(job.writtenAt.time_since_epoch().count());
    }
    record.set_quota_cores_milli(job.accountMaximum.coresMilli);
    record.set_quota_memory_mb(job.accountMaximum.memoryMb);
    record.set_quota_accelerators(job.accountMaximum.accelerators);
    if (isFinal(job.state))
        return record.SerializeAsString();
    for (const auto& [number, occurrence] : job.occurrences) {
        auto& out = *record.add_occurrences();
        out.set_number(number);
        for (const StepState& step : occurrence.steps) {
            auto& outStep = *out.add_steps();
            for (const TaskState& task : step.tasks) {
                auto& outTask = *outStep.add_tasks();
                outTask.set_run(task.run);
                outTask.set_failures(task.failures);
                outTask.set_last_failed_run(task.lastFailedRun);
                outTask.set_done(task.done);
                if (!task.done) {
                    outTask.set_target(task.recordedTarget.value);
                    outTask.set_target_born_ms(task.recordedBornAt.time_since_epoch().count());
                    outTask.set_target_machine(task.recordedMachine.value);
                    outTask.set_begun(task.begun);
                    outTask.set_alone(task.alone);
                    outTask.set_crashes(task.crashes);
                    outTask.set_crashes_alone(task.crashesAlone);
                    outTask.set_suspect(task.suspect);
                    outTask.set_checkpoint(task.checkpoint);
                }
            }
        }
    }
    return record.SerializeAsString();
}

/**
 * Parses a job's progress.
 * @param bytes Record from the store.
 * @param job Receives the progress; its specification must be set already unless the recorded state is final.
 * @return False if the record is malformed or does not match the specification; the job may then be partly changed.
 */
bool decodeJobRecord(const std::string& bytes, CellJob& job)
{
    proto::CellJobRecord record;
    if (!record.ParseFromString(bytes) || record.state() > static_cast<std::uint32_t>(JobState::Cancelled))
        return false;
    job.spec.id = JobId(record.job());
    job.spec.queue = QueueId(record.queue());
    if (!record.account().empty()) // Records of an earlier version have none.
        job.spec.account = AccountId(record.account());
    job.state = static_cast<JobState>(record.state());
    job.shownState = job.state;
    job.stored = true;
    job.begun = record.begun();
    // A record of an earlier version has only the count of ended ones.
    job.occurrencesBegun = std::max(record.occurrences_begun(), record.occurrences_ended());
    job.acceptedAt = CalendarTime(ms(record.accepted_ms()));
    for (const proto::CellLeavingRun& run : record.leaving())
        job.leaving.push_back({ { job.spec.id, run.occurrence(), run.step(), run.index() }, run.run(),
            TargetId(run.target()), CalendarTime(ms(run.target_born_ms())), MachineId(run.target_machine()),
            { run.cores_milli(), run.memory_mb(), run.accelerators() }, run.fills(), run.size_unknown() });
    job.writtenAt = CalendarTime(ms(record.written_ms()));
    job.accountMaximum = { record.quota_cores_milli(), record.quota_memory_mb(), record.quota_accelerators() };
    if (isFinal(job.state))
        return true;
    if (job.spec.steps.empty())
        return false;
    for (const auto& in : record.occurrences()) {
        OccurrenceState& occurrence = job.beginOccurrence(in.number());
        if (static_cast<std::size_t>(in.steps_size()) != occurrence.steps.size())
            return false;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            StepState& step = occurrence.steps[s];
            const auto& inStep = in.steps(static_cast<int>(s));
            if (static_cast<std::size_t>(inStep.tasks_size()) != step.tasks.size())
                return false;
            for (std::size_t t = 0; t < step.tasks.size(); ++t) {
                const auto& inTask = inStep.tasks(static_cast<int>(t));
                TaskState& task = step.tasks[t];
                task.run = inTask.run();
                task.failures = inTask.failures();
                task.lastFailedRun = inTask.last_failed_run();
                task.done = inTask.done();
                task.recordedTarget = TargetId(inTask.target());
                task.recordedBornAt = CalendarTime(ms(inTask.target_born_ms()));
                task.recordedMachine = MachineId(inTask.target_machine());
                task.begun = inTask.begun();
                task.alone = inTask.alone();
                task.crashes = inTask.crashes();
                task.crashesAlone = inTask.crashes_alone();
                task.suspect = inTask.suspect();
                task.checkpoint = inTask.checkpoint();
                step.done += task.done ? 1 : 0;
            }
        }
    }
    return true;
}

} // namespace sp
