#include "cell_owner.h"

#include "log_line.h"
#include "occurrence_pacing.h"

#include <algorithm>
#include <numeric>

namespace sp {

/** Marks a task as done. May make later steps ready, end the occurrence and complete the job. */
void CellOwner::completeTask(CellJob& job, const CellTaskKey& key, Time now)
{
    OccurrenceState& occurrence = job.occurrences.at(key.occurrence);
    StepState& step = occurrence.steps[key.step];
    const StepSpec& spec = job.spec.steps[key.step];
    if (spec.lasting) {
        requeue(job, key, now);
        return;
    }
    const auto setDone = [&](TaskState& task) {
        if (!task.done)
            ++step.done;
        task.done = true;
        task.target = nullptr;
        task.recordedTarget = {};
    };
    if (spec.gang) // A gang reports one end for all its members.
        std::for_each(step.tasks.begin(), step.tasks.end(), setDone);
    else
        setDone(step.tasks[key.index]);
    if (!step.complete())
        return;
    if (step.longestRun > Duration(0))
        m_runTimeEstimates.learn(RunTimeProfile::groupOf(spec, job.spec.queue), spec.estimate, step.longestRun);
    step.advice = {};
    markReadySteps(job, occurrence, now);
    markDirty(job, now, saveBatchDelay);
    if (!job.occurrenceComplete(occurrence))
        return;
    job.occurrences.erase(key.occurrence);
    if (job.allOccurrencesEnded())
        finishJob(job, JobState::Completed, now);
}

/** Counts a failed run and requeues its task; fails the job once the task, or gang, has used up its attempts. */
void CellOwner::handleTaskFailure(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now)
{
    StepState& step = *job.step(key.stepKey());
    const StepSpec& spec = job.spec.steps[key.step];
    TaskState& task = step.tasks[key.index];
    task.avoid.insert(target.id());
    // All members of a gang have the same run number, and a run of a gang is one attempt however many of them fail.
    const bool counted = spec.gang && std::any_of(step.tasks.begin(), step.tasks.end(), [&](const TaskState& member) {
        return member.lastFailedRun >= task.run;
    });
    if (!counted) {
        ++task.failures;
        task.lastFailedRun = task.run;
    }
    std::uint32_t failures = task.failures;
    if (spec.gang)
        failures = std::accumulate(step.tasks.begin(), step.tasks.end(), 0U,
            [](std::uint32_t sum, const TaskState& member) { return sum + member.failures; });
    const QueueConfig* queue = queueOf(job);
    if (!spec.lasting && queue && failures >= queue->maxAttempts) {
        LogLine(LogLevel::Info, "attempts_used_up")
            .with("task", taskText(key))
            .with("failures", failures)
            .with("max_attempts", queue->maxAttempts);
        requeue(job, key, now);
        finishJob(job, JobState::Failed, now);
        return;
    }
    requeue(job, key, now);
}

/** Makes a task wait for placement again. The caller ensures that its run has ended. */
void CellOwner::requeue(CellJob& job, const CellTaskKey& key, Time now)
{
    TaskState& task = *job.task(key);
    task.target = nullptr;
    task.recordedTarget = {};
    task.waitingSince = now;
    job.step(key.stepKey())->mayHaveWaitingTasks = true;
    markDirty(job, now, lazySaveDelay);
    m_dispatchDue = true;
}

/** Returns the steps with tasks that wait for placement, most urgent first. */
std::vector<CellOwner::ReadyStep> CellOwner::readySteps(Time now)
{
    std::vector<ReadyStep> ready;
    for (CellJob* job : m_open) {
        if (job->recordRejected) // No run of it could be recorded.
            continue;
        const int priority = priorityOf(*job);
        for (auto& [number, occurrence] : job->occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                StepState& step = occurrence.steps[s];
                if (step.readyAt == Time {} || !step.mayHaveWaitingTasks || step.complete())
                    continue;
                step.mayHaveWaitingTasks = std::any_of(
                    step.tasks.begin(), step.tasks.end(), [](const auto& task) { return task.waiting(); });
                if (step.mayHaveWaitingTasks) {
                    const bool late = now - job->submittedAt > job->objective * lateObjectiveFactor;
                    ready.push_back({ job, number, s, priority, late && !job->spec.steps[s].lasting, job->objectiveAt(),
                        rankOf(*job, number, s, now) });
                    ReadyStep& added = ready.back();
                    const StepSpec& spec = job->spec.steps[s];
                    added.restart = spec.lasting
                        && std::any_of(step.tasks.begin(), step.tasks.end(),
                            [&](const TaskState& task) { return mustRestart(spec, task); });
                    if (added.restart)
                        added.priority = restartPriority;
                }
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const ReadyStep& a, const ReadyStep& b) {
        return std::tie(a.priority, a.rank, a.valueLost, a.objectiveTime, a.job->spec.id, a.step)
            < std::tie(b.priority, b.rank, b.valueLost, b.objectiveTime, b.job->spec.id, b.step);
    });
    return ready;
}

/** Places waiting tasks in order of urgency, as far as capacity allows. */
void CellOwner::dispatch(Time now)
{
    /** A search looks at all runs of some 20 targets; in a full cell hundreds of steps would ask for one. */
    constexpr int maxDisplacementSearches = 4;
    if (!m_mayOrder)
        return;
    m_displacementSearches = maxDisplacementSearches;
    updateShares(now);
    std::vector<ReadyStep> ready = readySteps(now);
    claimRoomForRestarts(ready, now);
    forecastRoom(ready, now);
    for (const ReadyStep& step : ready)
        placeStep(step, now);
}

/** Returns the targets with free capacity for a step. An advisor limits them to targets with a valid ticket. */
std::vector<PlacementOption> CellOwner::placementOptions(const ReadyStep& ready, Time now)
{
    const CellJob& job = *ready.job;
    const StepState& state = *ready.job->step(ready.stepKey());
    const StepSpec& step = job.spec.steps[ready.step];
    const ServiceId service = serviceOf(job);
    const QueueConfig* queue = queueOf(job);
    const auto sameStep = state.tasksByTarget();
    std::vector<PlacementOption> options;
    const auto consider = [&](CellTarget& target) {
        if (target.entry.service != service || target.reservedFor || !target.usable(now) || !dataCentreReachable(target)
            || !mayEverRun(target, step) || m_failures.isClosedTo(job.spec.id, target.id(), now))
            return;
        const auto same = sameStep.find(&target);
        const Resources room
            = target.room() - claimedRoom(target.id(), ready.stepKey(), ready.priority, ready.rank, ClaimUse::Placing);
        const PlacementOption option { &target, room, same == sameStep.end() ? 0 : same->second };
        if (tasksThatFit(option, step) > 0)
            options.push_back(option);
    };
    if (queue && queue->advisor) {
        for (const auto& [id, ticket] : state.advice.allowed) {
            if (CellTarget* target = ticket.validUntil >= now + ticketMargin ? findTarget(id) : nullptr)
                consider(*target);
        }
    } else {
        for (const auto& [id, target] : m_targets)
            consider(*target);
    }
    return options;
}

/** Returns the preferences of a step among targets; nothing while their speeds are not known to differ. */
std::optional<SpeedPreference> CellOwner::speedPreference(const CellJob& job, const StepSpec& spec, Time now)
{
    const QueueConfig* own = queueOf(job);
    if (!own || spec.fills)
        return std::nullopt;
    SpeedDemand demand { own->slackFactor, own->slackFactor, true, spec.lasting };
    int mostUrgent = own->priority;
    for (const QueueConfig& queue : m_config.queues) {
        if (queue.service != own->service || queue.priority > mostUrgent)
            continue;
        demand.urgentSlackFactor
            = queue.priority < mostUrgent ? queue.slackFactor : std::min(demand.urgentSlackFactor, queue.slackFactor);
        mostUrgent = queue.priority;
    }
    demand.urgent = own->priority == mostUrgent;
    const auto speedsOfTargets = [&] {
        std::vector<TargetSpeed*> speeds;
        for (CellTarget* target : usableTargets(own->service, now))
            speeds.push_back(&target->speed);
        return speeds;
    };
    return SpeedPreference::make(
        m_runTimes.outlook(own->service, RunTimeProfile::groupOf(spec, own->id), speedsOfTargets, now), demand);
}

/** Returns the images that a step's tasks should not run beside. */
ImageSet CellOwner::conflictsOf(const CellJob& job, const StepSpec& spec, Time now)
{
    if (m_interference.pairCount() == 0)
        return {};
    return m_interference.conflicts(m_interference.imageNumber(RunTimeProfile::groupOf(spec, job.spec.queue), now));
}

void CellOwner::placeStep(const ReadyStep& ready, Time now)
{
    CellJob& job = *ready.job;
    const StepKey stepKey = ready.stepKey();
    StepState& state = *job.step(stepKey);
    const StepSpec& spec = job.spec.steps[ready.step];
    if (!spec.gang && !withinQuota(job, spec, 1, now))
        return;
    std::vector<PlacementOption> options = placementOptions(ready, now);
    if (spec.gang) {
        placeGangStep(ready, options, now);
        return;
    }
    const auto speeds = options.empty() ? std::nullopt : speedPreference(job, spec, now);
    const ImageSet conflicts = conflictsOf(job, spec, now);
    const std::size_t mostRuns = occurrenceLimits(m_bounds.valueBytes).openTasks;
    auto runs = static_cast<std::size_t>(
        std::count_if(state.tasks.begin(), state.tasks.end(), [](const TaskState& task) { return task.target; }));
    bool hasUnplaced = false;
    bool lacksRoom = false;
    std::vector<std::uint32_t> order(spec.tasks);
    std::iota(order.begin(), order.end(), 0);
    if (ready.restart) // The room that is claimed is meant for them.
        std::stable_partition(
            order.begin(), order.end(), [&](std::uint32_t i) { return mustRestart(spec, state.tasks[i]); });
    const auto crashes = [&](std::uint32_t i) { return state.tasks[i].suspect ? state.tasks[i].crashes : 0; };
    if (std::any_of(state.tasks.begin(), state.tasks.end(), [](const TaskState& task) { return task.suspect; }))
        std::stable_sort( // The likeliest suspects get a target for themselves.
            order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) { return crashes(a) > crashes(b); });
    for (const std::uint32_t i : order) {
        TaskState& task = state.tasks[i];
        if (!task.waiting())
            continue;
        if (runs >= mostRuns || !withinQuota(job, spec, 1, now)) { // Advice would not help.
            hasUnplaced = false;
            break;
        }
        if (const auto alone = task.suspect ? placeAlone(ready, i, options, now) : AlonePlacement::Impossible;
            alone != AlonePlacement::Impossible) {
            hasUnplaced |= alone == AlonePlacement::Waiting;
            runs += alone == AlonePlacement::Placed ? 1 : 0;
            continue;
        }
        PlacementOption* option
            = chooseOption(options, { &spec, &task.avoid, {}, speeds ? &*speeds : nullptr, conflicts });
        if (!option) {
            hasUnplaced = true;
            lacksRoom = true;
            break;
        }
        option->room -= spec.reserved();
        ++option->sameStep;
        if (speeds && speeds->tooSlow(option->target->speed))
            m_slowPlacements.add();
        assignTask(job, ready.taskKey(i), *option->target, now);
        ++runs;
    }
    if (hasUnplaced)
        requestAdvice(ready, now);
    if (lacksRoom)
        displaceFor(ready, now);
}

/** Places a whole gang, or places a member again whose start was refused while the others wait for it. */
void CellOwner::placeGangStep(const ReadyStep& ready, std::vector<PlacementOption>& options, Time now)
{
    CellJob& job = *ready.job;
    const StepKey stepKey = ready.stepKey();
    StepState& state = *job.step(stepKey);
    const StepSpec& spec = job.spec.steps[ready.step];
    std::uint32_t run = 0; // All members of a gang use the same run number.
    std::uint32_t placed = 0;
    for (const TaskState& task : state.tasks) {
        run = std::max(run, task.run);
        placed += task.target ? 1 : 0;
    }
    if (placed == 0) {
        if (!withinQuota(job, spec, spec.tasks, now))
            return;
        std::vector<CellTarget*> chosen;
        const auto speeds = options.empty() ? std::nullopt : speedPreference(job, spec, now);
        const ImageSet conflicts = conflictsOf(job, spec, now);
        if (!placeGang(options, spec, chosen, { &spec, nullptr, {}, speeds ? &*speeds : nullptr, conflicts })) {
            requestAdvice(ready, now);
            return;
        }
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            state.tasks[i].run = run;
            assignTask(job, ready.taskKey(i), *chosen[i], now);
        }
        return;
    }
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        TaskState& task = state.tasks[i];
        if (!task.waiting() || task.run + 1 != run)
            continue; // The run of this member has ended, and its target ends the other members.
        if (PlacementOption* option
            = withinQuota(job, spec, 1, now) ? chooseOption(options, { &spec, &task.avoid, {} }) : nullptr) {
            option->room -= spec.reserved();
            ++option->sameStep;
            assignTask(job, ready.taskKey(i), *option->target, now);
            continue;
        }
        // The gang cannot start without this member; stop the others to free their capacity.
        for (std::uint32_t other = 0; other < spec.tasks; ++other) {
            CellTarget* target = state.tasks[other].target;
            const auto it
                = target ? target->occupants.find(ready.taskKey(other)) : decltype(target->occupants.end()) {};
            if (target && it != target->occupants.end() && it->second.phase != RunPhase::Recording)
                beginStop(*target, ready.taskKey(other), it->second, "not enough capacity for the whole gang", now);
        }
        task.run = run;
        return;
    }
}

/** Returns the entry that reserves capacity for a run on a target. */
Occupant CellOwner::makeOccupant(const StepSpec& spec, std::uint32_t run, RunPhase phase, Time now)
{
    Occupant occupant;
    occupant.run = run;
    occupant.phase = phase;
    occupant.taken = spec.reserved();
    occupant.demand = spec.demand;
    occupant.checkpointing = spec.checkpointing;
    occupant.fills = spec.fills;
    occupant.serves = spec.tailTarget.count() > 0;
    occupant.lasting = spec.lasting;
    occupant.estimate = spec.estimate;
    occupant.since = now;
    return occupant;
}

/**
 * Assigns a task to a target and reserves its capacity. The start order is sent only after the job record with the
 * assignment is in the store, so that a new owner knows of every run.
 */
void CellOwner::assignTask(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now)
{
    TaskState& task = *job.task(key);
    const StepSpec& spec = job.spec.steps[key.step];
    job.saveNotBefore = {};
    ++task.run;
    task.target = &target;
    task.recordedTarget = target.id();
    task.recordedBornAt = target.reportedBornAt != CalendarTime {} ? target.reportedBornAt : target.entry.bornAt;
    task.recordedMachine = target.entry.machine;
    task.begun = false;
    task.alone = false;
    m_restarts.add(spec.lasting && task.run > 1 ? 1 : 0);
    Occupant occupant = makeOccupant(spec, task.run, RunPhase::Recording, now);
    occupant.account = job.spec.account;
    occupant.bornAt = task.recordedBornAt;
    occupant.image = m_interference.imageNumber(RunTimeProfile::groupOf(spec, job.spec.queue), now);
    target.occupy(key, occupant);
    useDisplacementClaim(target, key.stepKey(), occupant.taken);
    m_taskWaitSeconds.record(now - task.waitingSince);
    LogLine(LogLevel::Info, "task_placed")
        .with("task", taskText(key))
        .with("run", task.run)
        .with("target", target.id())
        .with("waited_ms", toMs(now - task.waitingSince))
        .with("room_left_milli", target.room().coresMilli)
        .with("report_age_ms", toMs(now - target.heardAt));
    runWhenSaved(job, [this, key, run = task.run, id = target.id()](bool saved) {
        CellTarget* found = saved ? findTarget(id) : nullptr;
        const auto it = found ? found->occupants.find(key) : decltype(found->occupants.end()) {};
        if (!found || it == found->occupants.end() || it->second.run != run || it->second.phase != RunPhase::Recording)
            return;
        it->second.phase = RunPhase::Ordered;
        it->second.since = m_eventTime;
        it->second.startedAt = m_eventTime;
        it->second.retryAt = m_eventTime;
        if (!withdrawIfShrunk(*found, key, m_eventTime) && m_mayOrder && found->reported)
            sendStartOrder(*found, key, it->second, m_eventTime);
    });
}

} // namespace sp
