#include "cell_owner.h"

#include "fnv_hash_func.h"
#include "log_line.h"

#include <algorithm>
#include <numeric>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds ticketMargin {
        300
    }; ///< A start follows its decision by a store write and a call.
    constexpr std::chrono::milliseconds adviceRetry { 200 }; ///< After a question without an answer.
    constexpr std::chrono::milliseconds adviceIdle {
        40
    }; ///< Between looks for targets to ask about, while all are full.
    constexpr double adviceSurplus = 1.7; ///< Room asked for beyond the need: answers vary, and others place meanwhile.
    constexpr std::uint32_t adviceSpread = 4; ///< Of so many parts of the need no target counts for more than one.
    constexpr double unknownAllowedShare = 0.5; ///< Assumed until a queue's advisor has answered.
    constexpr double leastAllowedShare = 0.1; ///< Keeps one bad answer from asking for everything.
    constexpr double lateFactor = 3; ///< A job that ends after this many times its objective earns nothing.

} // namespace

/** A task is done; later steps may open, and the job may be complete. */
void CellOwner::taskDone(CellJob& job, const CellTaskKey& key, Time now)
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
    if (spec.gang) // One end stands for those of all members.
        std::for_each(step.tasks.begin(), step.tasks.end(), setDone);
    else
        setDone(step.tasks[key.index]);
    if (!step.complete())
        return;
    step.advice = {};
    openSteps(job, occurrence, now);
    markDirty(job, now, saveSoon);
    if (!job.occurrenceComplete(occurrence))
        return;
    job.occurrences.erase(key.occurrence);
    while (job.occurrencesEnded < job.occurrenceCount()
        && (!job.timed() || job.dueAt(job.occurrencesEnded) <= m_hooks.calendar())
        && !job.occurrences.contains(job.occurrencesEnded))
        ++job.occurrencesEnded;
    if (job.occurrencesEnded >= job.occurrenceCount())
        finish(job, JobState::Completed, now);
}

/** A run has failed; the job fails once a task, or a gang, has used up its attempts. */
void CellOwner::taskFailed(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now)
{
    StepState& step = *job.step(key.stepKey());
    const StepSpec& spec = job.spec.steps[key.step];
    TaskState& task = step.tasks[key.index];
    ++task.failures;
    task.avoid.insert(target.id());
    std::uint32_t failures = task.failures;
    if (spec.gang) // Only one member's run ends as failed when a gang fails.
        failures = std::accumulate(step.tasks.begin(), step.tasks.end(), 0U,
            [](std::uint32_t sum, const TaskState& member) { return sum + member.failures; });
    const QueueConfig* queue = queueOf(job);
    if (!spec.lasting && queue && failures >= queue->maxAttempts) {
        LogLine(LogLevel::Info, "attempts_used_up")
            .with("task", taskText(key))
            .with("failures", failures)
            .with("max_attempts", queue->maxAttempts);
        requeue(job, key, now);
        finish(job, JobState::Failed, now);
        return;
    }
    requeue(job, key, now);
}

/** Makes a task wait for a place again. Its run is certainly over. */
void CellOwner::requeue(CellJob& job, const CellTaskKey& key, Time now)
{
    TaskState& task = *job.task(key);
    task.target = nullptr;
    task.recordedTarget = {};
    task.waitingSince = now;
    markDirty(job, now, saveLazily);
    m_dispatchDue = true;
}

/** Steps with tasks that wait for a place, most urgent first. */
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
                    const bool late = now - job->submittedAt > job->objective * static_cast<int>(lateFactor);
                    ready.push_back(
                        { job, number, s, priority, late && !job->spec.steps[s].lasting, job->objectiveAt() });
                }
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const ReadyStep& a, const ReadyStep& b) {
        return std::tie(a.priority, a.late, a.order, a.job->spec.id, a.step)
            < std::tie(b.priority, b.late, b.order, b.job->spec.id, b.step);
    });
    return ready;
}

/** Places what waits, as far as there is room. */
void CellOwner::dispatch(Time now)
{
    if (!m_mayOrder)
        return;
    for (const ReadyStep& ready : readySteps(now))
        placeStep(ready, now);
}

namespace {

    /** Tasks of a step on each target. */
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

/** Targets that may run a step at present, with their room. */
std::vector<PlacementOption> CellOwner::optionsFor(
    const CellJob& job, const StepState& state, const StepSpec& step, Time now)
{
    const ServiceId service = serviceOf(job);
    const QueueConfig* queue = queueOf(job);
    const auto sameStep = tasksByTarget(state);
    std::vector<PlacementOption> options;
    const auto consider = [&](CellTarget& target) {
        if (target.entry.service != service || !target.usable(now) || !reachable(target) || !mayEverRun(target, step))
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
    std::vector<PlacementOption> options = optionsFor(job, state, spec, now);
    if (spec.gang) {
        placeGangStep(ready, options, now);
        return;
    }
    bool left = false;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        TaskState& task = state.tasks[i];
        if (!task.waiting())
            continue;
        PlacementOption* option = chooseOption(options, { &spec, &task.avoid, {} });
        if (!option) {
            left = true;
            break;
        }
        option->room -= spec.reserved();
        ++option->sameStep;
        assign(job, ready.taskKey(i), *option->target, now);
    }
    if (left)
        considerAdvice(job, stepKey, now);
}

/** Places a gang as a whole, or a member whose start was refused beside the others. */
void CellOwner::placeGangStep(const ReadyStep& ready, std::vector<PlacementOption>& options, Time now)
{
    CellJob& job = *ready.job;
    const StepKey stepKey = ready.stepKey();
    StepState& state = *job.step(stepKey);
    const StepSpec& spec = job.spec.steps[ready.step];
    std::uint32_t run = 0; // All members of a run share its number.
    std::uint32_t placed = 0;
    for (const TaskState& task : state.tasks) {
        run = std::max(run, task.run);
        placed += task.target ? 1 : 0;
    }
    if (placed == 0) {
        std::vector<CellTarget*> chosen;
        if (!placeGang(options, spec, chosen)) {
            considerAdvice(job, stepKey, now);
            return;
        }
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            state.tasks[i].run = run;
            assign(job, ready.taskKey(i), *chosen[i], now);
        }
        return;
    }
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        TaskState& task = state.tasks[i];
        if (!task.waiting() || task.run + 1 != run)
            continue; // Ended: the target ends the other members too.
        if (PlacementOption* option = chooseOption(options, { &spec, &task.avoid, {} })) {
            option->room -= spec.reserved();
            ++option->sameStep;
            assign(job, ready.taskKey(i), *option->target, now);
            continue;
        }
        // Without a place for this member the others would wait in vain.
        for (std::uint32_t other = 0; other < spec.tasks; ++other) {
            CellTarget* target = state.tasks[other].target;
            const auto it
                = target ? target->occupants.find(ready.taskKey(other)) : decltype(target->occupants.end()) {};
            if (target && it != target->occupants.end() && it->second.phase != RunPhase::Recording)
                beginStop(*target, ready.taskKey(other), it->second, "no room for the whole gang", now);
        }
        task.run = run;
        return;
    }
}

/** What a run of a task takes on its target. */
Occupant CellOwner::occupantOf(const StepSpec& spec, std::uint32_t run, RunPhase phase, Time now)
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

/** Gives a task a target. The order follows once the job's record says so in the store. */
void CellOwner::assign(CellJob& job, const CellTaskKey& key, CellTarget& target, Time now)
{
    TaskState& task = *job.task(key);
    const StepSpec& spec = job.spec.steps[key.step];
    job.saveNotBefore = {};
    ++task.run;
    task.target = &target;
    task.recordedTarget = target.id();
    target.occupy(key, occupantOf(spec, task.run, RunPhase::Recording, now));
    m_waitSeconds.record(now - task.waitingSince);
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
        it->second.since = m_now;
        it->second.retryAt = m_now;
        if (m_mayOrder && found->reported)
            orderStart(*found, key, it->second, m_now);
    });
}

/** Asks the advisor about a step if the targets that are known to be allowed do not suffice. */
void CellOwner::considerAdvice(CellJob& job, const StepKey& key, Time now)
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
    struct Asked {
        TargetId id;
        double expected = 0; ///< Tasks that the target will take if asked.
        std::uint64_t rank = 0; ///< Order among equals, so that steps of one moment ask about different targets.
    };
    const auto share = m_allowedShare.try_emplace(queue->id, unknownAllowedShare).first->second;
    const auto sameStep = tasksByTarget(state);
    const std::uint32_t mostExpected = (need + adviceSpread - 1) / adviceSpread; // One denial must not decide.
    const std::uint64_t seed = fnvHash(stepText(key));
    std::vector<Asked> asked;
    double have = 0;
    for (const auto& [id, target] : m_targets) {
        if (target->entry.service != queue->service || !target->usable(now) || !reachable(*target)
            || advice.denied.contains(id) || !mayEverRun(*target, spec))
            continue;
        const auto same = sameStep.find(target.get());
        const std::uint32_t fits
            = tasksThatFit({ target.get(), target->room(), same == sameStep.end() ? 0 : same->second }, spec);
        if (fits == 0)
            continue;
        const auto known = advice.allowed.find(id);
        if (known != advice.allowed.end() && known->second.validUntil >= now + ticketMargin) {
            have += fits;
            continue;
        }
        const double likely = known != advice.allowed.end() ? 1.0 : std::max(share, leastAllowedShare);
        asked.push_back({ id, std::min(fits, mostExpected) * likely, fnvHash(id.value, seed) });
    }
    // Targets that are surely allowed and those with the most room come first.
    const std::size_t wanted = std::min(mostAdvised, asked.size());
    std::partial_sort(asked.begin(), asked.begin() + static_cast<std::ptrdiff_t>(wanted), asked.end(),
        [](const Asked& a, const Asked& b) { return std::tie(b.expected, a.rank) < std::tie(a.expected, b.rank); });
    asked.resize(wanted);
    AdviceQuestion question { key, {}, {}, queue->priority, job.objectiveAt() };
    for (const Asked& target : asked) {
        if (have >= need * adviceSurplus)
            break;
        have += std::min<double>(target.expected, need);
        question.targets.push_back(target.id);
    }
    if (question.targets.empty()) {
        advice.notBefore = now + adviceIdle;
        return;
    }
    question.callTime = queue->advisor->callTime(question.targets.size());
    ++advice.inFlight;
    m_questions.add();
    LogLine(LogLevel::Info, "advice_asked")
        .with("step", stepText(key))
        .with("targets", question.targets.size())
        .with("need", need)
        .with("allowed_share", share);
    m_hooks.ask(question);
}

/** Takes an advisor's answer. */
void CellOwner::onAdvice(const AdviceQuestion& question, const AdviceReply& reply, Time now)
{
    m_now = now;
    CellJob* job = m_active ? findOpen(question.step.job) : nullptr;
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
    wake(now);
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
    constexpr double weight = 0.1; ///< Some ten answers settle the share of a queue.
    double& share = m_allowedShare.try_emplace(queue->id, unknownAllowedShare).first->second;
    share
        += weight * (static_cast<double>(reply.allowed.size()) / static_cast<double>(question.targets.size()) - share);
}

} // namespace sp
