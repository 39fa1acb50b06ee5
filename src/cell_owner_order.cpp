#include "account_share.h"
#include "cell_owner.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    /** Returns the part of a demand that fits into a room, by its scarcest resource; 1 if all of it does. */
    double fittingPart(const Resources& demand, const Resources& room)
    {
        const auto part = [](std::int64_t wanted, std::int64_t free) {
            return wanted > 0 ? static_cast<double>(free) / static_cast<double>(wanted) : 1.0;
        };
        return std::min({ 1.0, part(demand.coresMilli, room.coresMilli), part(demand.memoryMb, room.memoryMb),
            part(demand.accelerators, room.accelerators) });
    }

} // namespace

/** Returns the longest time of a call to a queue's advisor, 0 if it has none. */
std::chrono::milliseconds CellOwner::adviceTime(const QueueConfig& queue)
{
    return queue.advisor
        ? std::chrono::duration_cast<std::chrono::milliseconds>(queue.advisor->callTime(maxAdvisedTargets))
        : std::chrono::milliseconds(0);
}

/** Returns the expected run times of a job's steps: with client accounts the learned ones, else the estimates. */
StepRunTimes CellOwner::runTimesOf(const CellJobSpec& spec) const
{
    /** Longer estimates mean nothing to the order, and their sums and products would overflow. */
    constexpr std::chrono::hours maxRunTime { 24 };
    StepRunTimes times;
    for (const StepSpec& step : spec.steps) {
        const auto time = m_config.accounts.empty() || step.lasting
            ? step.estimate
            : m_runTimeEstimates.expected(RunTimeProfile::groupOf(step, spec.queue), step.estimate);
        times.push_back(std::clamp<std::chrono::milliseconds>(time, std::chrono::milliseconds(0), maxRunTime));
    }
    return times;
}

/** Updates what a job's place in the queue is computed from, as more is known of run times. */
void CellOwner::updateRunTimes(CellJob& job) const
{
    const QueueConfig* queue = queueOf(job);
    job.runTimes = runTimesOf(job.spec);
    job.objective = objectiveOf(
        job, longestChain(job.spec.steps, job.runTimes, queue ? adviceTime(*queue) : std::chrono::milliseconds(0)));
}

/** Returns the place of a step in the queue of its priority, nothing if the cell has no client accounts. */
std::optional<WorkRank> CellOwner::rankOf(
    const CellJob& job, std::uint32_t occurrence, std::uint32_t step, Time now) const
{
    if (m_config.accounts.empty())
        return std::nullopt;
    return workRank(workItemOf(job, occurrence, step), now);
}

/** Collects what decides about the place of a step in the queue. @param occurrence Number of an open occurrence. */
WorkItem CellOwner::workItemOf(const CellJob& job, std::uint32_t occurrence, std::uint32_t step) const
{
    const auto state = job.occurrences.find(occurrence);
    if (state == job.occurrences.end())
        return {};
    const QueueConfig* queue = queueOf(job);
    const RemainingWork remaining
        = remainingWork(job, state->second, queue ? adviceTime(*queue) : std::chrono::milliseconds(0));
    WorkItem item;
    item.submittedAt = job.submittedAt;
    for (const StepState& other : state->second.steps) {
        if (job.timed() && other.readyAt != Time {}) // Each occurrence has the objective from its own start on.
            item.submittedAt
                = item.submittedAt == job.submittedAt ? other.readyAt : std::min(item.submittedAt, other.readyAt);
    }
    item.objective = job.objective;
    item.slackFactor = queue ? queue->slackFactor : 1;
    item.remainingPath = remaining.path;
    item.remainingCoreMs = remaining.coreMs;
    item.begun = job.begun;
    item.lasting = job.spec.steps[step].lasting;
    item.beyondRate = job.beyondRate;
    item.aboveShare = m_load.aboveShare.contains({ serviceOf(job), job.spec.account });
    return item;
}

/**
 * Returns whether a task lasts and waits because its run has ended. A task that has failed several times is not
 * counted, since it would take the precedence each time.
 */
bool CellOwner::mustRestart(const StepSpec& spec, const TaskState& task)
{
    constexpr std::uint32_t maxFailures = 2; ///< Failures of so many runs may be those of their targets.
    return spec.lasting && !spec.gang && !task.suspect && task.waiting() && task.run > 0
        && task.failures <= maxFailures;
}

/**
 * Claims room for lasting tasks whose run has ended, on targets that their advisor has allowed, whether it is free
 * already or not. No other work gets it, so that the room is there once the ticket is.
 */
void CellOwner::claimRoomForRestarts(const std::vector<ReadyStep>& ready, Time now)
{
    /** The target on which room is free first is not known; a claim on two of them halves the wait. */
    constexpr std::size_t targetsPerTask = 2;
    m_restartClaims.clear();
    for (const ReadyStep& step : ready) {
        if (!step.restart)
            break; // These steps are sorted first.
        const StepSpec& spec = step.job->spec.steps[step.step];
        const StepState& state = *step.job->step(step.stepKey());
        const QueueConfig* queue = queueOf(*step.job);
        const auto sameStep = state.tasksByTarget();
        const auto atLimit = [&](const CellTarget* target) {
            const auto same = sameStep.find(target);
            return spec.perTargetLimit > 0 && same != sameStep.end() && same->second >= spec.perTargetLimit;
        };
        std::vector<CellTarget*> targets;
        for (CellTarget* target : usableTargets(serviceOf(*step.job), now)) {
            if (!target->reservedFor && mayEverRun(*target, spec) && !atLimit(target)
                && (!queue || !queue->advisor || state.advice.allowed.contains(target->id())))
                targets.push_back(target);
        }
        for (const TaskState& task : state.tasks) {
            if (!mustRestart(spec, task))
                continue;
            std::vector<std::pair<double, CellTarget*>> best;
            best.reserve(targets.size());
            for (CellTarget* target : targets)
                best.emplace_back(
                    -fittingPart(spec.reserved(),
                        target->room() - claimedRoom(target->id(), {}, restartPriority, {}, ClaimUse::Asking)),
                    target);
            const std::size_t count = std::min(targetsPerTask, best.size());
            std::partial_sort(best.begin(), best.begin() + static_cast<std::ptrdiff_t>(count), best.end(),
                [](const auto& a, const auto& b) {
                    return a.first != b.first ? a.first < b.first : a.second->serial < b.second->serial;
                });
            for (std::size_t i = 0; i < count; ++i)
                m_restartClaims[best[i].second->id()].push_back({ step.stepKey(), restartPriority, step.rank,
                    spec.reserved(), step.job->spec.account, spec.demand, 0, {} });
        }
    }
}

/** Targets of a service that may get new work, and the forecast of their room. */
struct CellOwner::ServiceRoom {
    RoomForecast forecast;
    std::vector<const CellTarget*> samples; ///< One target of each pool of the forecast.
    std::vector<std::size_t> targetsOfPool; ///< Number of targets of each.
    std::size_t targets = 0;
    Resources smallest; ///< What each of the targets could hold.
};

/** Groups the targets of a service that may get new work into pools of like ones. */
CellOwner::ServiceRoom CellOwner::serviceRoom(const ServiceId& service, Time now)
{
    ServiceRoom room;
    const ServiceLoad& load = m_load.services[service];
    std::unordered_map<std::uint32_t, std::size_t> poolOfGroup;
    std::vector<RoomPool> pools;
    for (const CellTarget* target : usableTargets(service, now)) {
        const auto [pool, added] = poolOfGroup.try_emplace(target->group, pools.size());
        const Resources& capacity = target->entry.capacity;
        if (added) {
            const auto freed = load.freedByGroup.find(target->group);
            pools.push_back({ 0, freed == load.freedByGroup.end() ? 0 : freed->second });
            room.samples.push_back(target);
            room.targetsOfPool.push_back(0);
            if (room.samples.size() == 1)
                room.smallest = capacity;
            room.smallest = { std::min(room.smallest.coresMilli, capacity.coresMilli),
                std::min(room.smallest.memoryMb, capacity.memoryMb),
                std::min(room.smallest.accelerators, capacity.accelerators) };
        }
        pools[pool->second].freeCores
            += static_cast<double>(std::max<std::int64_t>(0, target->room().coresMilli)) / 1000;
        ++room.targetsOfPool[pool->second];
        ++room.targets;
    }
    room.forecast = RoomForecast(std::move(pools));
    return room;
}

/** Returns what the waiting tasks of a step need, and which pools of its service may run them. */
RoomDemand CellOwner::roomDemand(const ReadyStep& ready, const ServiceRoom& room)
{
    const StepSpec& spec = ready.job->spec.steps[ready.step];
    const StepState& state = *ready.job->step(ready.stepKey());
    auto waiting = static_cast<std::size_t>(
        std::count_if(state.tasks.begin(), state.tasks.end(), [](const TaskState& task) { return task.waiting(); }));
    RoomDemand demand;
    std::size_t usable = room.targets;
    if (!spec.requiredLabel.empty() || !spec.reserved().fitsIn(room.smallest)) {
        usable = 0;
        for (std::size_t i = 0; i < room.samples.size(); ++i) {
            if (!mayEverRun(*room.samples[i], spec))
                continue;
            demand.pools.push_back(i);
            usable += room.targetsOfPool[i];
        }
    }
    if (spec.perTargetLimit > 0)
        waiting = std::min(waiting, usable * spec.perTargetLimit);
    const std::size_t denied
        = state.advice.answered.size() - std::min(state.advice.answered.size(), state.advice.allowed.size());
    if (usable > 0)
        demand.usablePart = static_cast<double>(usable - std::min(usable, denied)) / static_cast<double>(usable);
    else
        waiting = 0;
    demand.cores = static_cast<double>(static_cast<std::int64_t>(waiting) * spec.reserved().coresMilli) / 1000;
    return demand;
}

/**
 * Determines which steps may find room within the validity of a ticket, given those that go before them. A question
 * about any other step would take the advisor's time from them, and its tickets would expire unused.
 */
void CellOwner::forecastRoom(std::vector<ReadyStep>& ready, Time now)
{
    if (m_config.accounts.empty())
        return;
    std::map<ServiceId, ServiceRoom> rooms;
    for (ReadyStep& step : ready) {
        const QueueConfig* queue = queueOf(*step.job);
        if (!queue)
            continue;
        auto known = rooms.find(queue->service);
        if (known == rooms.end())
            known = rooms.emplace(queue->service, serviceRoom(queue->service, now)).first;
        const StepSpec& spec = step.job->spec.steps[step.step];
        // A step whose account is at its maximum takes no room from those behind it.
        if (!m_accountUsage.mayStart(step.job->spec.account, spec.demand * (spec.gang ? spec.tasks : 1))) {
            step.roomSoon = false;
            continue;
        }
        RoomDemand demand = roomDemand(step, known->second);
        demand.within = queue->advisor ? queue->advisor->ticketValidity : std::chrono::milliseconds(0);
        step.roomSoon = known->second.forecast.take(demand) || spec.lasting;
    }
}

/** Determines which accounts run more than their share of a service, at intervals. */
void CellOwner::updateShares(Time now)
{
    /** Shorter than any run, so that what starts in between does not change the shares much. */
    constexpr std::chrono::milliseconds updateInterval { 100 };
    if (m_config.accounts.empty() || now - m_load.sharesUpdatedAt < updateInterval)
        return;
    m_load.sharesUpdatedAt = now;
    m_load.services.clear();
    std::map<ServiceId, std::map<AccountId, AccountLoad>> loads;
    for (CellJob* job : m_open) {
        updateRunTimes(*job);
        AccountLoad& load = loads[serviceOf(*job)][job->spec.account];
        ServiceLoad& serviceLoad = m_load.services[serviceOf(*job)];
        for (const auto& [number, occurrence] : job->occurrences) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                if (occurrence.steps[s].readyAt == Time {})
                    continue;
                const Resources demand = job->spec.steps[s].reserved();
                const double cores = static_cast<double>(demand.coresMilli) / 1000;
                const double seconds = std::chrono::duration<double>(job->runTimes[s]).count();
                for (const TaskState& task : occurrence.steps[s].tasks) {
                    if (task.done)
                        continue;
                    (task.waiting() ? load.waiting : load.running) += demand;
                    if (!task.waiting() && !job->spec.steps[s].lasting && seconds > 0) {
                        serviceLoad.workingCores += cores;
                        serviceLoad.freedPerSecond += cores / seconds;
                        if (task.target)
                            serviceLoad.freedByGroup[task.target->group] += cores / seconds;
                    }
                }
            }
        }
    }
    for (const CellJob* job : m_open) {
        for (const auto& [number, occurrence] : job->occurrences)
            addToBacklog(*job, number, now);
    }
    std::set<std::pair<ServiceId, AccountId>> above;
    for (auto& [service, accounts] : loads) {
        Resources capacity;
        for (const CellTarget* target : usableTargets(service, now))
            capacity += target->entry.capacity;
        std::vector<AccountLoad> all;
        for (auto& [id, load] : accounts) {
            if (const ClientAccount* account = m_config.account(id))
                load.weight = account->weight;
            all.push_back(load);
        }
        const auto level = waterLevel(all, capacity);
        for (const auto& [id, load] : accounts) {
            const bool isAbove = aboveShare(load, capacity, level);
            if (isAbove)
                above.emplace(service, id);
            if (isAbove != m_load.aboveShare.contains({ service, id }))
                LogLine(LogLevel::Info, isAbove ? "account_above_share" : "account_within_share")
                    .with("account", id)
                    .with("service", service)
                    .with("running_percent", static_cast<int>(100 * dominantShare(load.running, capacity)))
                    .with("weight", load.weight)
                    .with("share_percent", level ? static_cast<int>(100 * *level * load.weight) : 100);
        }
    }
    m_load.aboveShare = std::move(above);
    m_accountsAboveShare.set(static_cast<std::int64_t>(m_load.aboveShare.size()));
}

/** Adds the waiting work of an occurrence to the backlog of its service. */
void CellOwner::addToBacklog(const CellJob& job, std::uint32_t occurrence, Time now)
{
    const auto& steps = job.occurrences.at(occurrence).steps;
    const auto isLasting = [](const StepSpec& spec) { return spec.lasting; };
    if (std::any_of(job.spec.steps.begin(), job.spec.steps.end(), isLasting))
        return; // Has no end by which others could expect its room.
    const WorkItem item = workItemOf(job, occurrence, 0);
    const WorkRank rank = workRank(item, now);
    Backlog& backlog
        = m_load.services[serviceOf(job)].backlog[{ priorityOf(job), rank.band, rank.worthless, rank.aboveShare }];
    backlog.coreSeconds += static_cast<double>(item.remainingCoreMs) / 1000;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        if (steps[s].readyAt == Time {} || steps[s].complete())
            continue;
        const auto waiting = std::count_if(
            steps[s].tasks.begin(), steps[s].tasks.end(), [](const TaskState& task) { return task.waiting(); });
        backlog.cores += static_cast<double>(waiting * job.spec.steps[s].reserved().coresMilli) / 1000;
    }
}

/** Adds a job that was just accepted to the backlog, which is otherwise updated at intervals. */
void CellOwner::countAccepted(const CellJob& job, Time now)
{
    if (m_config.accounts.empty())
        return;
    for (const auto& [number, occurrence] : job.occurrences)
        addToBacklog(job, number, now);
}

/** Checks whether a job that is submitted could complete in time, given what waits before it. */
BacklogVerdict CellOwner::checkBacklogFor(const CellJob& job, Time now)
{
    /** The wait of a question says little about the present after this time. */
    constexpr std::chrono::seconds adviceWaitValidity { 3 };
    const QueueConfig* queue = queueOf(job);
    const auto isLasting = [](const StepSpec& spec) { return spec.lasting; };
    if (m_config.accounts.empty() || !queue || job.timed()
        || std::any_of(job.spec.steps.begin(), job.spec.steps.end(), isLasting))
        return {};
    const ServiceLoad& load = m_load.services[queue->service];
    BacklogState state;
    state.workingCores = load.workingCores;
    state.freedPerSecond = load.freedPerSecond;
    for (CellTarget* target : usableTargets(queue->service, now)) {
        state.capacityCores += static_cast<double>(target->entry.capacity.coresMilli) / 1000;
        double places = 0;
        for (const StepSpec& spec : job.spec.steps) {
            if (mayEverRun(*target, spec))
                places = std::max(places,
                    static_cast<double>(tasksThatFit({ target, target->room(), 0 }, spec))
                        * static_cast<double>(spec.demand.coresMilli) / 1000);
        }
        state.freeCores += places;
    }
    const bool isAbove = m_load.aboveShare.contains({ queue->service, job.spec.account });
    for (const auto& [key, backlog] : load.backlog) {
        const bool first = key.priority < queue->priority
            || (key.priority == queue->priority
                && (job.beyondRate ? !key.worthless && (isAbove || !key.aboveShare)
                                   : key.band <= (isAbove ? WorkBand::InTimeAboveShare : WorkBand::InTime)));
        state.coresAhead += first ? backlog.cores : 0;
        state.coreSecondsAhead += first ? backlog.coreSeconds : 0;
    }
    if (const auto wait = m_load.adviceWaits.find(queue->id);
        wait != m_load.adviceWaits.end() && now - wait->second.second <= adviceWaitValidity)
        state.adviceWait = std::chrono::duration_cast<std::chrono::milliseconds>(wait->second.first);
    const auto path = longestChain(job.spec.steps, runTimesOf(job.spec), adviceTime(*queue));
    return checkBacklog(state, { path, objectiveOf(job, path), queue->slackFactor, job.beyondRate });
}

} // namespace sp
