#include "cell_owner.h"

#include "displacement.h"
#include "fnv_hash_func.h"
#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr const char* displacedReason = "displaced by more urgent work";
    /** A task that was stopped this often for other work may run to its end. */
    constexpr std::uint32_t maxDisplacements = 3;
    /** A run that began more recently has done little but restore its checkpoint. */
    constexpr std::chrono::milliseconds minRunTime { 500 };
    /** Limits the cost of steps that wait in a full cell. */
    constexpr std::chrono::milliseconds displacementPause { 40 };
    /** As displacementPause, after no run could be displaced. */
    constexpr std::chrono::milliseconds fruitlessPause { 120 };
    /** Longest interval at which tasks save their progress; a stop that gets lost costs so much of it. */
    constexpr std::chrono::milliseconds checkpointInterval { 2000 };
    /** Covers the report of an end and the next placement, beyond the time of a stop. */
    constexpr std::chrono::milliseconds claimMargin { 300 };

    /** Returns how long a run will take from now on. */
    Duration remainingTime(const Occupant& occupant, Time now)
    {
        const Time progressAt = std::max(occupant.progressAt, occupant.since);
        return remainingRunTime(occupant.estimate, occupant.percent, progressAt - occupant.since, now - progressAt);
    }

    /**
     * Returns whether the room of a run is expected to be free no later than that of a run that is stopped now. The end
     * of a run that exceeds its estimate can't be foretold.
     */
    bool freesRoomSoon(const Occupant& occupant, Duration stopTime, Time now)
    {
        if (occupant.phase == RunPhase::Stopping)
            return now - occupant.since < stopTime;
        const Duration remaining = remainingTime(occupant, now);
        return occupant.phase == RunPhase::Running && !occupant.lasting && remaining > Duration(0)
            && remaining <= stopTime;
    }

    bool isWaiting(const TaskState& task) { return task.waiting(); }

    bool hasWaitingTasks(const StepState& step) { return std::any_of(step.tasks.begin(), step.tasks.end(), isWaiting); }

} // namespace

/**
 * Returns whether a step without room may have runs of less urgent queues stopped. While records can't be saved, its
 * tasks could not be started.
 */
bool CellOwner::mayDisplace(const ReadyStep& ready, Time now) const
{
    const CellJob& job = *ready.job;
    const StepSpec& spec = job.spec.steps[ready.step];
    const OccurrenceState& occurrence = job.occurrences.at(ready.occurrence);
    const StepState& state = occurrence.steps[ready.step];
    if (m_storeStalled || ready.valueLost || job.beyondRate || now < state.displacementNotBefore)
        return false;
    Time waitingSince = now;
    for (const TaskState& task : state.tasks)
        waitingSince = task.waiting() ? std::min(waitingSince, task.waitingSince) : waitingSince;
    return isDisplacementDue({ !m_config.accounts.empty(), spec.lasting, now - waitingSince,
        job.objectiveAt() - now - remainingWork(job, occurrence, std::chrono::milliseconds(0)).path,
        m_bounds.stopTimeout });
}

/**
 * Returns whether an answer of the advisor is expected soon that gives a step enough room without stopping a run. It is
 * not if the question waits for longer than two calls.
 */
bool CellOwner::advicePromisesRoom(const ReadyStep& ready, std::uint32_t lacking, Time now)
{
    const QueueConfig* queue = queueOf(*ready.job);
    const StepAdvice& advice = ready.job->step(ready.stepKey())->advice;
    if (!queue || !queue->advisor)
        return false;
    if (advice.inFlight > 0 && now - advice.askedAt > 2 * queue->advisor->callTime(maxAdvisedTargets))
        return false;
    const StepSpec& spec = ready.job->spec.steps[ready.step];
    const auto known = m_allowedShare.find(queue->id);
    const double share = known == m_allowedShare.end() ? 1 : known->second;
    double places = 0;
    for (CellTarget* target : usableTargets(queue->service, now)) {
        if (places >= lacking)
            return true;
        const bool answered = advice.answered.contains(target->serial);
        if (!spec.reserved().fitsIn(target->room()) || target->reservedFor || !mayEverRun(*target, spec)
            || (answered && !advice.allowed.contains(target->id()))
            || m_failures.isClosedTo(ready.job->spec.id, target->id(), now))
            continue;
        const Resources room
            = target->room() - claimedRoom(target->id(), ready.stepKey(), ready.priority, ready.rank, ClaimUse::Asking);
        places += tasksThatFit({ target, room, 0 }, spec) * (answered ? 1 : share);
    }
    return places >= lacking;
}

/** Returns a run if it may be stopped for work of a priority, with what its loss depends on. */
std::optional<DisplaceableRun> CellOwner::displaceableRun(
    const CellTaskKey& key, const Occupant& occupant, int priority, Time now) const
{
    if (occupant.phase != RunPhase::Running || !occupant.checkpointing || occupant.lasting || occupant.fills
        || occupant.serves || occupant.sizeUnknown || now - occupant.since < minRunTime)
        return std::nullopt;
    CellJob* job = findOpenJob(key.job);
    const TaskState* task = job ? job->task(key) : nullptr;
    const QueueConfig* queue = job ? queueOf(*job) : nullptr;
    if (!task || !queue || queue->priority <= priority || task->run != occupant.run || task->suspect
        || task->displaced >= maxDisplacements || job->spec.steps[key.step].gang)
        return std::nullopt;
    if (remainingTime(occupant, now) <= m_bounds.stopTimeout)
        return std::nullopt;
    const bool aboveShare = m_load.aboveShare.contains({ serviceOf(*job), job->spec.account });
    DisplaceableRun run { 0, occupant.taken, task->displaced, job->hasLostValue(now), aboveShare, {} };
    run.delay = std::min<Duration>(now - occupant.since, checkpointInterval);
    // A step without waiting tasks needs a further call to the advisor.
    if (queue->advisor && !hasWaitingTasks(*job->step(key.stepKey())))
        run.delay += queue->advisor->callTime(1);
    return run;
}

/**
 * Returns the targets on which a step may displace runs: those that it may be started on. Without an advisor these are
 * many, and each look at the step takes a further part of them.
 */
std::vector<CellTarget*> CellOwner::displacementTargets(const ReadyStep& ready, Time now)
{
    const CellJob& job = *ready.job;
    const StepAdvice& advice = ready.job->step(ready.stepKey())->advice;
    const QueueConfig* queue = queueOf(job);
    std::vector<CellTarget*> targets;
    const auto consider = [&](CellTarget* target) {
        if (target && target->entry.service == serviceOf(job) && !target->reservedFor && target->usable(now)
            && !target->mayHaveRestarted() && dataCentreReachable(*target)
            && mayEverRun(*target, job.spec.steps[ready.step])
            && !m_failures.isClosedTo(job.spec.id, target->id(), now))
            targets.push_back(target);
    };
    if (queue && queue->advisor) {
        for (const auto& [id, ticket] : advice.allowed) {
            if (ticket.validUntil >= now + m_bounds.stopTimeout + ticketMargin)
                consider(findTarget(id));
        }
    } else {
        const std::vector<CellTarget*>& usable = usableTargets(serviceOf(job), now);
        const auto looks = static_cast<std::uint64_t>(now.time_since_epoch() / displacementPause);
        const std::size_t first = usable.empty() ? 0 : (fnvHash(stepText(ready.stepKey())) + looks) % usable.size();
        for (std::size_t i = 0; i < usable.size() && targets.size() < maxAdvisedTargets; ++i)
            consider(usable[(first + i) % usable.size()]);
    }
    // The order of a hash map would make decisions differ between equal runs.
    std::sort(targets.begin(), targets.end(), [](const auto* a, const auto* b) { return a->serial < b->serial; });
    return targets;
}

/**
 * Stops runs of less urgent queues for the tasks of a step that find no room. The room is claimed for the step until it
 * is free and the tasks are placed, so that no more runs are stopped than the step lacks room for.
 */
void CellOwner::displaceFor(const ReadyStep& ready, Time now)
{
    if (m_displacementSearches == 0 || !mayDisplace(ready, now))
        return;
    const StepKey stepKey = ready.stepKey();
    StepState& state = *ready.job->step(stepKey);
    const StepSpec& spec = ready.job->spec.steps[ready.step];
    const std::vector<CellTarget*> targets = displacementTargets(ready, now);
    if (targets.empty())
        return;
    --m_displacementSearches;
    state.displacementNotBefore = now + displacementPause;
    std::uint32_t lacking = 0;
    for (const TaskState& task : state.tasks)
        lacking += task.waiting() && !task.suspect ? 1 : 0;
    std::uint32_t claimed = 0;
    for (const auto& [id, claims] : m_adviceClaims) {
        for (const AdviceClaim& claim : claims)
            claimed += claim.step == stepKey ? claim.tasks : 0;
    }
    if (claimed >= lacking || advicePromisesRoom(ready, lacking - claimed, now))
        return;
    const auto sameStep = state.tasksByTarget();
    std::vector<DisplacementSite> sites;
    std::vector<std::pair<CellTarget*, CellTaskKey>> runs;
    for (std::uint32_t i = 0; i < targets.size(); ++i) {
        CellTarget& target = *targets[i];
        DisplacementSite site { i,
            target.room() - claimedRoom(target.id(), stepKey, ready.priority, ready.rank, ClaimUse::Asking), spec.tasks,
            {} };
        std::uint32_t claimedHere = 0;
        if (const auto it = m_adviceClaims.find(target.id()); it != m_adviceClaims.end()) {
            for (const AdviceClaim& claim : it->second) {
                if (claim.step != stepKey || claim.tasks == 0)
                    continue;
                site.room -= claim.room;
                claimedHere += claim.tasks;
            }
        }
        if (spec.perTargetLimit > 0) {
            const auto same = sameStep.find(&target);
            const std::uint32_t there = claimedHere + (same == sameStep.end() ? 0 : same->second);
            site.maxTasks = spec.perTargetLimit - std::min(spec.perTargetLimit, there);
        }
        for (const auto& [key, occupant] : target.occupants) {
            if (freesRoomSoon(occupant, m_bounds.stopTimeout, now))
                site.room += occupant.taken;
            if (auto run = displaceableRun(key, occupant, priorityOf(*ready.job), now)) {
                run->index = static_cast<std::uint32_t>(runs.size());
                site.runs.push_back(*run);
                runs.emplace_back(&target, key);
            }
        }
        sites.push_back(std::move(site));
    }
    const auto choices = chooseDisplacements(std::move(sites), { spec.reserved(), lacking - claimed });
    if (choices.empty())
        state.displacementNotBefore = now + fruitlessPause;
    std::uint32_t tasks = 0;
    std::size_t stopped = 0;
    Resources freed;
    for (const DisplacementChoice& choice : choices) {
        CellTarget& target = *targets[choice.site];
        // The claim binds steps of the same priority too, see AdviceClaim::priority.
        AdviceClaim claim { stepKey, ready.priority - 1, ready.rank, {}, ready.job->spec.account, spec.demand,
            choice.tasks, now + m_bounds.stopTimeout + claimMargin };
        for (std::uint32_t i = 0; i < choice.tasks; ++i)
            claim.room += spec.reserved();
        m_adviceClaims[target.id()].push_back(claim);
        tasks += choice.tasks;
        for (const std::uint32_t index : choice.runs) {
            const CellTaskKey& key = runs[index].second;
            Occupant& occupant = target.occupants.at(key);
            ++findOpenTask(key)->displaced;
            freed += occupant.taken;
            beginStop(target, key, occupant, displacedReason, now);
            m_displacedRuns.add();
            ++stopped;
        }
    }
    if (!choices.empty())
        LogLine(LogLevel::Info, "runs_displaced")
            .with("step", stepText(stepKey))
            .with("queue", ready.job->spec.queue)
            .with("lacking", lacking)
            .with("claimed", claimed)
            .with("tasks", tasks)
            .with("runs", stopped)
            .with("cores_milli", freed.coresMilli)
            .with("targets", targets.size())
            .with("objective_in_ms", toMs(ready.job->objectiveAt() - now));
}

/** Takes the room of a placed task off what its step has claimed on the target by displacing runs. */
void CellOwner::useDisplacementClaim(const CellTarget& target, const StepKey& step, const Resources& room)
{
    const auto it = m_adviceClaims.find(target.id());
    if (it == m_adviceClaims.end())
        return;
    const auto claim = std::find_if(it->second.begin(), it->second.end(),
        [&](const AdviceClaim& candidate) { return candidate.step == step && candidate.tasks > 0; });
    if (claim == it->second.end())
        return;
    claim->room -= room;
    if (--claim->tasks == 0)
        it->second.erase(claim);
    if (it->second.empty())
        m_adviceClaims.erase(it);
}

/** Releases claims on the room of displaced runs that are over or that their step needs no more. */
void CellOwner::releaseStaleDisplacementClaims(Time now)
{
    const auto isStale = [&](const AdviceClaim& claim) {
        if (claim.tasks == 0)
            return false;
        CellJob* job = findOpenJob(claim.step.job);
        const StepState* state = job ? job->step(claim.step) : nullptr;
        return now >= claim.heldUntil || !state || !hasWaitingTasks(*state);
    };
    for (auto it = m_adviceClaims.begin(); it != m_adviceClaims.end();) {
        m_dispatchDue |= std::erase_if(it->second, isStale) > 0;
        it = it->second.empty() ? m_adviceClaims.erase(it) : std::next(it);
    }
}

/** Counts the core time that was lost by displacing a run: the time of the stop, and its work if it saved none. */
void CellOwner::countDisplacementLoss(const Occupant& occupant, const EndRow& end, Time now)
{
    constexpr std::int64_t milli = 1000;
    if (end.kind != EndKind::Stopped || occupant.stopReason != displacedReason)
        return;
    const Duration lost = now - (end.checkpoint.empty() ? occupant.startedAt : occupant.since);
    m_displacedCoreMs.add(
        static_cast<std::uint64_t>(std::max<std::int64_t>(toMs(lost) * occupant.taken.coresMilli / milli, 0)));
}

} // namespace sp
