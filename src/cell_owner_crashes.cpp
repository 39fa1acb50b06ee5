#include "cell_owner.h"
#include "crash_suspect.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    /** A target that has answered this shortly before the start of a run is unlikely to have been down at that start.
     */
    constexpr std::chrono::milliseconds recentAnswer { 100 };
    /** A target that answers this long after the start of a run has not crashed because of that start. */
    constexpr std::chrono::milliseconds startSurvived { 300 };
    /** A run of this age is no likelier to have crashed its target than any other cause. */
    constexpr std::chrono::seconds maxAgeAtCrash { 10 };
    constexpr std::size_t targetsPerReservation = 16; ///< Limits the busy targets that are held back.
    constexpr std::chrono::seconds lostRunMemory { 60 }; ///< A crashed target is back within some seconds.

} // namespace

/** Returns whether the incarnation of a target to which a run was assigned has ended without having been drained. */
bool CellOwner::hasCrashed(const CellTarget& target, CalendarTime assignedTo)
{
    return assignedTo != CalendarTime {} && assignedTo != target.drainedBornAt
        && (target.replaced || target.reportedBornAt > assignedTo);
}

/** Notes that a target has confirmed a run, so that a crash from now on happens under the task. */
void CellOwner::markBegun(const CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now)
{
    CellJob* job = findOpenJob(key.job);
    TaskState* task = job ? job->task(key) : nullptr;
    if (std::exchange(occupant.begun, true) || !task || task->run != occupant.run
        || target.drainedBornAt == occupant.bornAt)
        return;
    task->begun = true;
    if (task->suspect) // The next owner has to count the crash that may follow at once.
        markDirty(*job, now, saveBatchDelay);
}

/** Clears the confirmations of the runs on a draining target, whose end is not a crash. */
void CellOwner::forgetBegunRuns(CellTarget& target, Time now)
{
    for (auto& [key, occupant] : target.occupants) {
        CellJob* job = findOpenJob(key.job);
        TaskState* task = job ? job->task(key) : nullptr;
        if (!task || task->target != &target || !std::exchange(task->begun, false))
            continue;
        if (task->suspect)
            markDirty(*job, now, lazySaveDelay);
    }
}

/** Returns the time until which the lease that a target has certainly received keeps its runs. */
Time CellOwner::leaseHeldUntil(const CellTarget& target)
{
    return target.clockSeenAt == Time {} ? Time {} : target.clockReaches(target.leaseAnswered);
}

/** Returns what a crash of the target has to know of a run there; nothing if the run cannot be its cause. */
std::optional<LostRun> CellOwner::describeLostRun(
    const CellTarget& target, const CellTaskKey& key, const Occupant& occupant, Time now)
{
    const bool ordered = occupant.begun || occupant.phase == RunPhase::Recovered
        || (occupant.phase == RunPhase::Ordered ? occupant.unsure || occupant.orderOpen
                                                : occupant.phase != RunPhase::Recording);
    // The next incarnation may already have answered an order for this one.
    const Time lastHeard = target.heardBeforeSilence != Time {} ? target.heardBeforeSilence : target.heardAt;
    if (!ordered || lastHeard - occupant.startedAt > maxAgeAtCrash)
        return std::nullopt;
    LostRun lost;
    lost.task = key;
    lost.run = occupant.run;
    lost.bornAt = occupant.bornAt;
    lost.begun = occupant.begun;
    lost.heardBeforeStart = occupant.heardBeforeStart;
    // A run of a former owner may have lasted for long; only the return of its target shows that it has crashed.
    lost.startedLast = occupant.phase == RunPhase::Recovered || lastHeard - occupant.startedAt < startSurvived;
    lost.alone = occupant.alone;
    // A run that was ordered to stop may have ended, and how long a former owner's lease lasts is not known.
    const bool stopping = occupant.phase == RunPhase::Stopping && occupant.heldUntil == Time {};
    if (occupant.begun && occupant.phase != RunPhase::Recovered && !stopping)
        lost.heldUntil = occupant.heldUntil != Time {} ? occupant.heldUntil : leaseHeldUntil(target);
    lost.lostAt = now;
    return lost;
}

/**
 * Decides how far the crash of its target is evidence against a task. A start that was never answered shows nothing if
 * the target may have been down already, and a run whose lease may have ended was possibly not there any more.
 * @param now Time at which the crash became known.
 */
CellOwner::CrashEvidence CellOwner::crashEvidence(const LostRun& run, Time now)
{
    if (run.begun && now < run.heldUntil)
        return CrashEvidence::Certain;
    return run.startedLast && (run.begun || run.heardBeforeStart) ? CrashEvidence::Likely : CrashEvidence::None;
}

/**
 * Counts the crash of a target for a task that was at work there. Most such tasks only had bad luck. One that was
 * started just before the crash, or was hit before, is a suspect: its next run has a target for itself at first. If
 * such targets crash too, the task is the cause, and its job fails, as each further run would crash a target with all
 * the work on it.
 */
void CellOwner::countCrash(const CellTarget& target, const LostRun& run, Time now)
{
    CellJob* job = findOpenJob(run.task.job);
    TaskState* task = findOpenTask(run.task);
    if (!task || task->done)
        return;
    const CrashEvidence evidence = crashEvidence(run, now);
    const bool alone = run.alone && evidence == CrashEvidence::Certain;
    task->crashes += evidence == CrashEvidence::None ? 0 : 1;
    task->crashesAlone += alone ? 1 : 0;
    task->suspect |= run.startedLast || alone || task->crashes > 1;
    markDirty(*job, now, lazySaveDelay);
    LogLine(LogLevel::Warning, evidence == CrashEvidence::None ? "crash_not_counted" : "target_crashed")
        .with("task", taskText(run.task))
        .with("run", run.run)
        .with("target", target.id())
        .with("crashes", task->crashes)
        .with("crashes_alone", task->crashesAlone)
        .with("begun", run.begun)
        .with("held_its_lease", now < run.heldUntil)
        .with("heard_before_start", run.heardBeforeStart)
        .with("started_last", run.startedLast)
        .with("alone", run.alone);
    if (evidence == CrashEvidence::None)
        return;
    m_crashesCounted.add();
    if (!crashesTargets({ task->crashes, task->crashesAlone, findStepSpec(run.task)->gang }))
        return;
    m_tasksGivenUp.add();
    LogLine(LogLevel::Warning, "task_given_up")
        .with("task", taskText(run.task))
        .with("crashes", task->crashes)
        .with("crashes_alone", task->crashesAlone);
    finishJob(*job, JobState::Failed, now);
}

/** Returns whether a target has answered so recently that it is unlikely to be down. */
bool CellOwner::heardRecently(const CellTarget& target, Time now) { return now - target.heardAt <= recentAnswer; }

/**
 * Returns whether the start order of a run has to wait for an answer of the target: while the target may have
 * restarted, and before the first order of a suspect. If a target that had just answered falls silent after the start
 * of a suspect, the run is likely the cause, also if the start was never confirmed.
 */
bool CellOwner::awaitsAnswerBeforeStart(const CellTarget& target, const Occupant& occupant, Time now)
{
    const bool first = occupant.alone && occupant.tries == 0 && !heardRecently(target, now);
    return occupant.phase == RunPhase::Ordered && (first || target.mayHaveRestarted());
}

/** Counts a crash for the runs that were given up while the target was silent, now that it has turned out to be one. */
void CellOwner::settleLostRuns(CellTarget& target, Time now)
{
    for (const LostRun& run : std::exchange(target.lostRuns, {})) {
        if (hasCrashed(target, run.bornAt))
            countCrash(target, run, now);
    }
}

/** Records that another incarnation runs on the target's machine or answers at its address. */
void CellOwner::markReplaced(CellTarget& target, Time now)
{
    target.replaced = true;
    settleLostRuns(target, now);
}

/** Gives a suspect a target for itself: an idle one, or one that is reserved and from which the other runs go. */
CellOwner::AlonePlacement CellOwner::placeAlone(
    const ReadyStep& ready, std::uint32_t index, std::vector<PlacementOption>& options, Time now)
{
    CellJob& job = *ready.job;
    const CellTaskKey key = ready.taskKey(index);
    const StepSpec& spec = job.spec.steps[ready.step];
    const StepAdvice& advice = job.step(ready.stepKey())->advice;
    const QueueConfig* queue = queueOf(job);
    if (now - job.task(key)->waitingSince > longestWaitForTarget(job.task(key)->crashes))
        return AlonePlacement::Impossible;
    const auto reservation = m_reservations.find(key);
    CellTarget* target = reservation == m_reservations.end() ? nullptr : findTarget(reservation->second);
    if (!target || target->reservedFor != key || !target->usable(now)) {
        if (targetsHeld(serviceOf(job)) >= mostTargetsHeld(usableTargets(serviceOf(job), now).size()))
            return AlonePlacement::Waiting;
        std::vector<PlacementOption> idle;
        std::copy_if(options.begin(), options.end(), std::back_inserter(idle),
            [](const PlacementOption& option) { return option.target->occupants.empty(); });
        const PlacementOption* option = chooseOption(idle, { &spec, &job.task(key)->avoid, {} });
        target = option ? option->target : reserveTarget(ready, key, now);
    }
    if (!target || !target->occupants.empty())
        return AlonePlacement::Waiting;
    const auto ticket = advice.allowed.find(target->id());
    if (queue && queue->advisor && (ticket == advice.allowed.end() || ticket->second.validUntil < now + ticketMargin))
        return AlonePlacement::Waiting;
    reserve(*target, key);
    std::erase_if(options, [&](const PlacementOption& option) { return option.target == target; });
    assignTask(job, key, *target, now);
    target->occupants.at(key).alone = true;
    job.task(key)->alone = true;
    return AlonePlacement::Placed;
}

/** Returns how many targets of a service are held for suspects. */
std::size_t CellOwner::targetsHeld(const ServiceId& service)
{
    return static_cast<std::size_t>(std::count_if(m_reservations.begin(), m_reservations.end(), [&](const auto& item) {
        const CellTarget* target = findTarget(item.second);
        return target && target->reservedFor == item.first && target->entry.service == service;
    }));
}

/** Lets others join a suspect on its target once its run has lasted there by itself. */
void CellOwner::clearSuspect(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now)
{
    CellJob* job = findOpenJob(key.job);
    TaskState* task = job ? job->task(key) : nullptr;
    if (!occupant.alone || occupant.phase != RunPhase::Running || !isCleared(occupant.startedAt, target.heardAt))
        return;
    occupant.alone = false;
    if (!task || task->run != occupant.run)
        return;
    task->alone = false;
    task->suspect = false;
    markDirty(*job, now, lazySaveDelay);
    LogLine(LogLevel::Info, "suspect_cleared")
        .with("task", taskText(key))
        .with("run", occupant.run)
        .with("target", target.id())
        .with("crashes", task->crashes);
}

void CellOwner::reserve(CellTarget& target, const CellTaskKey& key)
{
    if (const auto former = m_reservations.find(key); former != m_reservations.end()) {
        if (CellTarget* other = findTarget(former->second); other && other->reservedFor == key)
            other->reservedFor.reset();
    }
    target.reservedFor = key;
    m_reservations[key] = target.id();
}

/** Reserves the target with the fewest runs for a task, null if too many are reserved or none may run the task. */
CellTarget* CellOwner::reserveTarget(const ReadyStep& ready, const CellTaskKey& key, Time now)
{
    if (m_reservations.size() > m_targets.size() / targetsPerReservation)
        return nullptr;
    const CellJob& job = *ready.job;
    const StepSpec& spec = job.spec.steps[ready.step];
    const QueueConfig* queue = queueOf(job);
    const StepAdvice& advice = ready.job->step(ready.stepKey())->advice;
    CellTarget* best = nullptr;
    for (CellTarget* target : usableTargets(serviceOf(job), now)) {
        const bool allowed = !queue || !queue->advisor || advice.allowed.contains(target->id());
        const bool lasting = std::any_of(
            target->occupants.begin(), target->occupants.end(), [](const auto& entry) { return entry.second.lasting; });
        if (allowed && !lasting && !target->reservedFor && mayEverRun(*target, spec)
            && (!best || target->occupants.size() < best->occupants.size()))
            best = target;
    }
    if (best) {
        reserve(*best, key);
        LogLine(LogLevel::Info, "target_reserved")
            .with("task", taskText(key))
            .with("target", best->id())
            .with("runs", best->occupants.size());
    }
    return best;
}

/** Ends reservations that no task needs any more. */
void CellOwner::releaseStaleReservations(Time now)
{
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        const CellTaskKey& key = it->first;
        CellTarget* target = findTarget(it->second);
        TaskState* task = findOpenTask(key);
        const bool held = target && target->reservedFor == key;
        const auto run = held ? target->occupants.find(key) : decltype(target->occupants.end()) {};
        const bool running = held && run != target->occupants.end();
        const bool waiting = task && task->waiting() && task->suspect && target && target->usable(now)
            && now - task->waitingSince <= longestWaitForTarget(task->crashes)
            && m_accountUsage.mayStart(findJob(key.job)->spec.account, findStepSpec(key)->demand);
        if (held && (running ? run->second.alone : waiting)) {
            ++it;
            continue;
        }
        if (held)
            target->reservedFor.reset();
        it = m_reservations.erase(it);
    }
}

/** Forgets runs that were given up long ago, so that the target itself can be forgotten. */
void CellOwner::forgetLostRuns(CellTarget& target, Time now)
{
    std::erase_if(target.lostRuns, [&](const LostRun& run) { return now - run.lostAt > lostRunMemory; });
}

} // namespace sp
