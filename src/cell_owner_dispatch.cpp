#include "cell_owner.h"

#include "fnv_hash_func.h"
#include "log_line.h"

#include <algorithm>
#include <numeric>

namespace sp {

namespace {

    /** Covers the store write and the call between a placement and its start. */
    constexpr std::chrono::milliseconds ticketMargin { 300 };
    constexpr std::chrono::milliseconds adviceRetry { 200 }; ///< Delay after an advice request without an answer.
    /** Delay before the next search for candidate targets while all are full. */
    constexpr std::chrono::milliseconds adviceIdlePause { 40 };
    /** Requests more room than needed, as answers vary and other steps are placed meanwhile. */
    constexpr double adviceSurplusFactor = 1.7;
    /** One target counts for at most 1/adviceSpreadParts of the needed tasks, so that one denial matters little. */
    constexpr std::uint32_t adviceSpreadParts = 4;
    /** Initial share of allowed targets, until a queue's advisor has answered. */
    constexpr double initialAllowedShare = 0.5;
    /** Lower bound, so that one answer with many denials does not cause requests for all targets. */
    constexpr double minAllowedShare = 0.1;
    /** A job that ends later than this multiple of its objective earns nothing. */
    constexpr double lateObjectiveFactor = 3;

} // namespace

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
    step.advice = {};
    markReadySteps(job, occurrence, now);
    markDirty(job, now, saveBatchDelay);
    if (!job.occurrenceComplete(occurrence))
        return;
    job.occurrences.erase(key.occurrence);
    while (job.occurrencesEnded < job.occurrenceCount()
        && (!job.timed() || job.dueAt(job.occurrencesEnded) <= m_hooks.calendar())
        && !job.occurrences.contains(job.occurrencesEnded))
        ++job.occurrencesEnded;
    if (job.occurrencesEnded >= job.occurrenceCount())
        finishJob(job, JobState::Completed, now);
}

/** Counts a failed run and requeues its task; fails the job once the task, or gang, has used up its attempts. */
void CellOwner::handleTaskFailure(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now)
{
    StepState& step = *job.step(key.stepKey());
    const StepSpec& spec = job.spec.steps[key.step];
    TaskState& task = step.tasks[key.index];
    ++task.failures;
    task.avoid.insert(target.id());
    std::uint32_t failures = task.failures;
    if (spec.gang) // When a gang fails, only one member reports a failure.
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
    markDirty(job, now, lazySaveDelay);
    m_dispatchDue = true;
}

/** Returns the steps with tasks that wait for placement, most urgent first. */
std::vector<CellOwner::ReadyStep> CellOwner::readySteps(Time now)
{
    std::vector<ReadyStep> ready;
    for (CellJob* job : m_open) {
        const int priority = priorityOf(*job);
        for (auto& [number, occurrence] : job->occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                const StepState& step = occurrence.steps[s];
                if (step.readyAt == Time {} || step.complete())
                    continue;
                if (std::any_of(
                        step.tasks.begin(), step.tasks.end(), [](const auto& task) { return task.waiting(); })) {
                    const bool late = now - job->submittedAt > job->objective * static_cast<int>(lateObjectiveFactor);
                    ready.push_back(
                        { job, number, s, priority, late && !job->spec.steps[s].lasting, job->objectiveAt() });
                }
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const ReadyStep& a, const ReadyStep& b) {
        return std::tie(a.priority, a.valueLost, a.objectiveTime, a.job->spec.id, a.step)
            < std::tie(b.priority, b.valueLost, b.objectiveTime, b.job->spec.id, b.step);
    });
    return ready;
}

/** Places waiting tasks in order of urgency, as far as capacity allows. */
void CellOwner::dispatch(Time now)
{
    if (!m_mayOrder)
        return;
    for (const ReadyStep& ready : readySteps(now))
        placeStep(ready, now);
}

namespace {

    /** Counts the tasks of a step on each target. */
    std::map<const CellTarget*, std::uint32_t> tasksByTarget(const StepState& state)
    {
        std::map<const CellTarget*, std::uint32_t> counts;
        for (const TaskState& task : state.tasks) {
            if (task.target)
                ++counts[task.target];
        }
        return counts;
    }

} // namespace

/** Returns the targets with free capacity for a step. An advisor limits them to targets with a valid ticket. */
std::vector<PlacementOption> CellOwner::placementOptions(
    const CellJob& job, const StepState& state, const StepSpec& step, Time now)
{
    const ServiceId service = serviceOf(job);
    const QueueConfig* queue = queueOf(job);
    const auto sameStep = tasksByTarget(state);
    std::vector<PlacementOption> options;
    const auto consider = [&](CellTarget& target) {
        if (target.entry.service != service || !target.usable(now) || !dataCentreReachable(target)
            || !mayEverRun(target, step))
            return;
        const auto same = sameStep.find(&target);
        const PlacementOption option { &target, target.room(), same == sameStep.end() ? 0 : same->second };
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

void CellOwner::placeStep(const ReadyStep& ready, Time now)
{
    CellJob& job = *ready.job;
    const StepKey stepKey = ready.stepKey();
    StepState& state = *job.step(stepKey);
    const StepSpec& spec = job.spec.steps[ready.step];
    std::vector<PlacementOption> options = placementOptions(job, state, spec, now);
    if (spec.gang) {
        placeGangStep(ready, options, now);
        return;
    }
    bool hasUnplaced = false;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        TaskState& task = state.tasks[i];
        if (!task.waiting())
            continue;
        PlacementOption* option = chooseOption(options, { &spec, &task.avoid, {} });
        if (!option) {
            hasUnplaced = true;
            break;
        }
        option->room -= spec.reserved();
        ++option->sameStep;
        assignTask(job, ready.taskKey(i), *option->target, now);
    }
    if (hasUnplaced)
        requestAdvice(job, stepKey, now);
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
        std::vector<CellTarget*> chosen;
        if (!placeGang(options, spec, chosen)) {
            requestAdvice(job, stepKey, now);
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
        if (PlacementOption* option = chooseOption(options, { &spec, &task.avoid, {} })) {
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
    target.occupy(key, makeOccupant(spec, task.run, RunPhase::Recording, now));
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
        it->second.retryAt = m_eventTime;
        if (m_mayOrder && found->reported)
            sendStartOrder(*found, key, it->second, m_eventTime);
    });
}

/** Sends an advice request for a step if the known allowed targets lack the capacity for its waiting tasks. */
void CellOwner::requestAdvice(CellJob& job, const StepKey& key, Time now)
{
    const QueueConfig* queue = queueOf(job);
    if (!queue || !queue->advisor)
        return;
    StepState& state = *job.step(key);
    const StepSpec& spec = job.spec.steps[key.step];
    StepAdvice& advice = state.advice;
    if (advice.inFlight > 0 || now < advice.notBefore)
        return;
    std::uint32_t need = 0;
    for (const TaskState& task : state.tasks)
        need += task.waiting() ? 1 : 0;
    struct AdviceCandidate {
        TargetId id;
        double expected = 0; ///< Expected number of tasks that the target will be allowed to take.
        /** Hash that breaks ties, so that steps that become ready together request different targets. */
        std::uint64_t rank = 0;
    };
    const auto share = m_allowedShare.try_emplace(queue->id, initialAllowedShare).first->second;
    const auto sameStep = tasksByTarget(state);
    const std::uint32_t maxPerTarget = (need + adviceSpreadParts - 1) / adviceSpreadParts;
    const std::uint64_t seed = fnvHash(stepText(key));
    std::vector<AdviceCandidate> candidates;
    double expectedTasks = 0;
    for (const auto& [id, target] : m_targets) {
        if (target->entry.service != queue->service || !target->usable(now) || !dataCentreReachable(*target)
            || advice.denied.contains(id) || !mayEverRun(*target, spec))
            continue;
        const auto same = sameStep.find(target.get());
        const std::uint32_t fits
            = tasksThatFit({ target.get(), target->room(), same == sameStep.end() ? 0 : same->second }, spec);
        if (fits == 0)
            continue;
        const auto known = advice.allowed.find(id);
        if (known != advice.allowed.end() && known->second.validUntil >= now + ticketMargin) {
            expectedTasks += fits;
            continue;
        }
        const double likely = known != advice.allowed.end() ? 1.0 : std::max(share, minAllowedShare);
        candidates.push_back({ id, std::min(fits, maxPerTarget) * likely, fnvHash(id.value, seed) });
    }
    // Targets whose tickets have expired are allowed for certain; they and those with the most room come first.
    const std::size_t candidateLimit = std::min(maxAdvisedTargets, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(candidateLimit),
        candidates.end(), [](const AdviceCandidate& a, const AdviceCandidate& b) {
            return std::tie(b.expected, a.rank) < std::tie(a.expected, b.rank);
        });
    candidates.resize(candidateLimit);
    AdviceQuestion question { key, {}, {}, queue->priority, job.objectiveAt() };
    for (const AdviceCandidate& target : candidates) {
        if (expectedTasks >= need * adviceSurplusFactor)
            break;
        expectedTasks += std::min<double>(target.expected, need);
        question.targets.push_back(target.id);
    }
    if (question.targets.empty()) {
        advice.notBefore = now + adviceIdlePause;
        return;
    }
    question.callTime = queue->advisor->callTime(question.targets.size());
    ++advice.inFlight;
    m_adviceQuestions.add();
    LogLine(LogLevel::Info, "advice_asked")
        .with("step", stepText(key))
        .with("targets", question.targets.size())
        .with("need", need)
        .with("allowed_share", share);
    m_hooks.ask(question);
}

/** Records the targets that the advisor allows or denies. Denials are final for the step. */
void CellOwner::onAdvice(const AdviceQuestion& question, const AdviceReply& reply, Time now)
{
    m_eventTime = now;
    CellJob* job = m_active ? findOpenJob(question.step.job) : nullptr;
    StepState* state = job ? job->step(question.step) : nullptr;
    if (!state)
        return;
    StepAdvice& advice = state->advice;
    advice.inFlight = std::max(0, advice.inFlight - 1);
    LogLine(reply.answered ? LogLevel::Info : LogLevel::Warning, "advice_answered")
        .with("step", stepText(question.step))
        .with("answered", reply.answered)
        .with("asked", question.targets.size())
        .with("allowed", reply.allowed.size());
    m_dispatchDue = true;
    wakeBy(now);
    const QueueConfig* queue = queueOf(*job);
    if (!reply.answered || !queue || !queue->advisor) {
        advice.notBefore = now + adviceRetry;
        return;
    }
    std::set<TargetId> denied(question.targets.begin(), question.targets.end());
    for (const auto& [id, ticket] : reply.allowed) {
        denied.erase(id);
        advice.allowed[id] = { ticket, now + queue->advisor->ticketValidity };
    }
    advice.denied.merge(denied);
    constexpr double weight = 0.1; ///< Averages over about ten answers.
    double& share = m_allowedShare.try_emplace(queue->id, initialAllowedShare).first->second;
    share
        += weight * (static_cast<double>(reply.allowed.size()) / static_cast<double>(question.targets.size()) - share);
}

} // namespace sp
