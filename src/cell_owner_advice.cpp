#include "advice_targets.h"
#include "cell_owner.h"

#include "fnv_hash_func.h"
#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds adviceRetry { 200 }; ///< Delay after an advice request without an answer.
    /** Delay before the next search for candidate targets while all are full. */
    constexpr std::chrono::milliseconds adviceIdlePause { 40 };
    constexpr int maxIdlePauseDoublings = 3; ///< Limits the cost of many steps that wait for room in a large cell.
    /** A lasting task whose run has ended asks about enough targets for this number of tasks, as a denial costs it
     * another call. */
    constexpr std::uint32_t minTasksOfRestart = 4;
    /** Initial share of allowed targets, until a queue's advisor has answered. */
    constexpr double initialAllowedShare = 0.5;
    /** Factor on the room of a target that runs an image in conflict with the step. */
    constexpr double conflictWeight = 0.5;

    /** Returns a hash of a number, by the finalizer of SplitMix64. */
    std::uint64_t mixed(std::uint64_t number)
    {
        number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        number = (number ^ (number >> 27U)) * 0x94d049bb133111ebULL;
        return number ^ (number >> 31U);
    }

} // namespace

/** Queues a question to the advisor about a step, unless one is under way already. */
void CellOwner::requestAdvice(const ReadyStep& ready, Time now)
{
    const QueueConfig* queue = queueOf(*ready.job);
    StepAdvice& advice = ready.job->step(ready.stepKey())->advice;
    if (!queue || !queue->advisor || advice.inFlight > 0 || now < advice.notBefore || !ready.roomSoon)
        return;
    ++advice.inFlight;
    advice.askedAt = now;
    m_hooks.ask({ ready.stepKey(), {}, queue->advisor->callTime(1), ready.priority, ready.job->objectiveAt(), now,
        ready.rank });
}

/** Returns the targets of a service that may get new work. */
const std::vector<CellTarget*>& CellOwner::usableTargets(const ServiceId& service, Time now)
{
    const auto [entry, added] = m_usableTargets.try_emplace(service);
    if (added) {
        const bool allReachable = std::none_of(
            m_reachability.begin(), m_reachability.end(), [](const auto& known) { return known.second.suspect(); });
        for (const auto& [id, target] : m_targets) {
            if (target->usable(now) && target->entry.service == service
                && (allReachable || dataCentreReachable(*target)))
                entry->second.push_back(target.get());
        }
    }
    return entry->second;
}

/** Sets the targets of a question, those that may help to place the waiting tasks of its step, and its duration. */
void CellOwner::fillQuestion(CellJob& job, AdviceQuestion& question, Time now)
{
    question.targets.clear();
    const QueueConfig* queue = queueOf(job);
    const StepState& state = *job.step(question.step);
    if (!queue || !queue->advisor)
        return;
    const StepSpec& spec = job.spec.steps[question.step.step];
    AdviceDemand demand { 0, m_allowedShare.try_emplace(queue->id, initialAllowedShare).first->second,
        maxAdvisedTargets, spec.gang };
    demand.tasks = static_cast<std::uint32_t>(
        std::count_if(state.tasks.begin(), state.tasks.end(), [](const TaskState& task) { return task.waiting(); }));
    // Asks for all waiting tasks if one may start: most of a call's time is its fixed part, and runs that end meanwhile
    // make room for the others.
    const Resources least = spec.demand * (spec.gang ? demand.tasks : 1);
    if (demand.tasks == 0 || !m_accountUsage.mayStart(job.spec.account, least))
        return;
    const bool restart = question.priority == restartPriority;
    if (restart)
        demand.tasks = std::max(demand.tasks, minTasksOfRestart);
    const StepAdvice& advice = state.advice;
    const auto sameStep = state.tasksByTarget();
    const std::uint64_t seed = fnvHash(stepText(question.step));
    const std::vector<CellTarget*>& targets = usableTargets(queue->service, now);
    const std::optional<SpeedPreference> speeds = speedPreference(job, spec, now);
    const ImageSet conflicts = conflictsOf(job, spec, now);
    std::vector<AdviceCandidate> candidates;
    candidates.reserve(targets.size());
    for (std::uint32_t i = 0; i < targets.size(); ++i) {
        CellTarget* target = targets[i];
        if ((target->reservedFor && target->reservedFor->stepKey() != question.step)
            || m_failures.isClosedTo(job.spec.id, target->id(), now))
            continue;
        AdviceCandidate candidate { i, 0, AdviceKnowledge::Unknown, 0,
            speeds ? speeds->adviceWeight(target->speed) : 1 };
        Resources room = target->room();
        if (advice.answered.contains(target->serial)) {
            const auto ticket = advice.allowed.find(target->id());
            if (ticket == advice.allowed.end())
                continue;
            candidate.knowledge
                = ticket->second.validUntil >= now + ticketMargin ? AdviceKnowledge::Valid : AdviceKnowledge::Allowed;
            room -= claimedRoom(target->id(), question.step, question.priority, question.rank, ClaimUse::Asking);
        } else if (!mayEverRun(*target, spec)) {
            continue;
        }
        if (spec.reserved().fitsIn(room)) {
            const auto same = sameStep.find(target);
            candidate.fits = tasksThatFit({ target, room, same == sameStep.end() ? 0 : same->second }, spec);
        }
        // Room that is claimed will be free when the answer is there, or while its ticket is valid.
        if (restart && candidate.fits == 0 && hasRestartClaim(target->id(), question.step))
            candidate.fits = 1;
        if (target->runsAnyOf(conflicts))
            candidate.weight *= conflictWeight;
        candidate.rank = mixed(seed ^ target->serial);
        candidates.push_back(candidate);
    }
    for (const std::uint32_t index : chooseAdviceTargets(std::move(candidates), demand))
        question.targets.push_back(targets[index]->id());
    question.callTime = queue->advisor->callTime(question.targets.size());
}

/**
 * Sets the targets of a question that is about to be sent.
 * @return False if no target could help its step at present; it then gets no answer.
 */
bool CellOwner::refreshQuestion(AdviceQuestion& question, Time now)
{
    CellJob* job = m_active ? findOpenJob(question.step.job) : nullptr;
    StepState* state = job ? job->step(question.step) : nullptr;
    if (!state)
        return false;
    StepAdvice& advice = state->advice;
    if (const auto rank = rankOf(*job, question.step.occurrence, question.step.step, now);
        rank && question.rank && rank->band > question.rank->band) {
        advice.inFlight = std::max(0, advice.inFlight - 1); // Asked again at its new place in the order.
        m_dispatchDue = true;
        return false;
    }
    fillQuestion(*job, question, now);
    if (question.targets.empty()) {
        advice.inFlight = std::max(0, advice.inFlight - 1);
        advice.notBefore = now
            + adviceIdlePause
                * (question.priority == restartPriority ? 1 : 1 << std::min(advice.needless++, maxIdlePauseDoublings));
        return false;
    }
    advice.needless = 0;
    claimRoom(question, *state, job->spec);
    m_adviceQuestions.add();
    m_adviceWaitSeconds.record(now - question.askedAt);
    m_load.adviceWaits[job->spec.queue] = { now - question.askedAt, now };
    LogLine(LogLevel::Info, "advice_asked")
        .with("step", stepText(question.step))
        .with("targets", question.targets.size())
        .with("priority", question.priority)
        .with("band", question.rank ? workBandName(question.rank->band) : "")
        .with("waited_ms", toMs(now - question.askedAt));
    return true;
}

/**
 * Claims room on the targets whose tickets a question renews. Meanwhile no step of the same or a lower priority asks
 * for it, and no task of a lower priority is placed there.
 */
void CellOwner::claimRoom(const AdviceQuestion& question, const StepState& state, const CellJobSpec& job)
{
    const StepSpec& spec = job.steps[question.step.step];
    const auto waiting = static_cast<std::uint32_t>(
        std::count_if(state.tasks.begin(), state.tasks.end(), [](const TaskState& task) { return task.waiting(); }));
    for (const TargetId& id : question.targets) {
        CellTarget* target = state.advice.allowed.contains(id) ? findTarget(id) : nullptr;
        if (!target)
            continue;
        AdviceClaim claim { question.step, question.priority, question.rank, {}, job.account,
            spec.demand * (spec.gang ? spec.tasks : 1) };
        std::uint32_t tasks = tasksThatFit({ target, target->room(), 0 }, spec);
        if (question.priority == restartPriority) // This claim goes before all other work.
            tasks = std::min(tasks, waiting);
        for (std::uint32_t i = 0; i < tasks; ++i)
            claim.room += spec.reserved();
        m_adviceClaims[id].push_back(claim);
    }
}

void CellOwner::releaseClaims(const AdviceQuestion& question)
{
    for (const TargetId& id : question.targets) {
        const auto it = m_adviceClaims.find(id);
        if (it == m_adviceClaims.end())
            continue;
        std::erase_if(
            it->second, [&](const AdviceClaim& claim) { return claim.step == question.step && claim.tasks == 0; });
        if (it->second.empty())
            m_adviceClaims.erase(it);
    }
}

/**
 * Returns the room on a target that other steps have claimed. A step whose account is at its maximum claims none.
 * @param priority Priority of the step.
 * @param rank Rank of the step; if it is set, claims of its priority that are in a later band don't count.
 * @param use Placing: of the claims of the same priority, only those in an earlier band count. Without ranks, none.
 */
Resources CellOwner::claimedRoom(
    const TargetId& target, const StepKey& step, int priority, const std::optional<WorkRank>& rank, ClaimUse use) const
{
    Resources sum;
    const auto counts = [&](const AdviceClaim& claim) {
        if (claim.priority != priority)
            return claim.priority < priority;
        if (rank && claim.rank && claim.rank->band != rank->band)
            return claim.rank->band < rank->band;
        return use == ClaimUse::Asking;
    };
    for (const auto* claims : { &m_adviceClaims, &m_restartClaims }) {
        const auto it = claims->find(target);
        if (it == claims->end())
            continue;
        for (const AdviceClaim& claim : it->second) {
            if (claim.step != step && counts(claim) && m_accountUsage.mayStart(claim.account, claim.leastDemand))
                sum += claim.room;
        }
    }
    return sum;
}

bool CellOwner::hasRestartClaim(const TargetId& target, const StepKey& step) const
{
    const auto it = m_restartClaims.find(target);
    return it != m_restartClaims.end()
        && std::any_of(
            it->second.begin(), it->second.end(), [&](const AdviceClaim& claim) { return claim.step == step; });
}

/** Records the targets that the advisor allows or denies. Denials are final for the step. */
void CellOwner::onAdvice(const AdviceQuestion& question, const AdviceReply& reply, Time now)
{
    m_eventTime = now;
    releaseClaims(question);
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
    std::size_t firstAnswers = 0; ///< Targets that the advisor had not answered about before.
    std::size_t newlyAllowed = 0;
    for (const TargetId& id : question.targets) {
        if (const CellTarget* target = findTarget(id))
            firstAnswers += advice.answered.insert(target->serial).second ? 1 : 0;
    }
    for (const auto& [id, ticket] : reply.allowed) {
        newlyAllowed += advice.allowed.contains(id) ? 0 : 1;
        advice.allowed[id] = { ticket, now + queue->advisor->ticketValidity };
    }
    if (firstAnswers == 0)
        return;
    constexpr double weight = 0.1; ///< Averages over about ten answers.
    double& share = m_allowedShare.try_emplace(queue->id, initialAllowedShare).first->second;
    share += weight * (std::min(1.0, static_cast<double>(newlyAllowed) / static_cast<double>(firstAnswers)) - share);
}

} // namespace sp
