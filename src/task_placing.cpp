#include "task_scheduler.h"

#include <algorithm>
#include <cstdio>

namespace sp {

namespace {

    /** Limits on the work of one round, so that other events of the core are not delayed for long. */
    constexpr std::size_t lanesPerRound = 4096;
    constexpr std::size_t startsPerRound = 4096;

    /** A claim not fulfilled within this time is dropped and its task queued again, as the preempted task may hang. */
    constexpr Duration claimTimeout = std::chrono::seconds(10);

    /** Interval between searches for borrowed quota to reclaim; each search may visit all lanes. */
    constexpr Duration reclaimInterval = std::chrono::milliseconds(50);

    /** Reclaim attempts in one search. At one search per reclaimInterval, this is 320 per second, or 4,800 in 15 s,
     * half of the default reclaim_after (30 s). */
    constexpr int reclaimsPerRound = 16;

    /** With more freed workers than this, mayFitFreed() does not check each of them. */
    constexpr std::size_t maxFreedWorkersToCheck = 8;

    /** Number of waiting tasks to try when the first must avoid workers on which it failed. */
    constexpr std::size_t tasksToTry = 4;

    Resources times(const Resources& size, std::int64_t count)
    {
        return { size.coresMilli * count, size.memoryMb * count, size.accelerators * count };
    }

} // namespace

/** Runs one scheduling round. Skips placement if nothing has changed that could let a waiting task start.
 * @return Starts and stops that the caller must carry out. */
ScheduleRound TaskScheduler::schedule(Time now)
{
    ScheduleRound round;
    runTimers(round, now);
    serveClaims(round, now);
    const bool freed = m_pool.takeFreed(m_freedWorkers);
    const std::vector<LaneIndex> fresh = m_queue.takeFresh();
    if (freed || m_retryAllLanes || m_lanesLeftInScan > 0 || !fresh.empty()) {
        m_oldestBlocked.reset();
        const Candidates candidates = collectCandidates(fresh, freed);
        placeByRank(candidates, round, now);
        const Candidates borrowers = placeByFairShare(candidates, false, round, now);
        placeByFairShare(borrowers, true, round, now);
        updateReservation(now);
    }
    for (TaskStop& stop : m_pendingStops) {
        // The task may have ended and started again since the stop was decided; the new run must not be stopped.
        std::uint32_t index = 0;
        const Job* job = findTask(stop.task, index);
        if (job && job->tasks[index].stopping && m_pool.workers()[job->tasks[index].worker].info.id == stop.worker)
            round.stops.push_back(std::move(stop));
    }
    m_pendingStops.clear();
    for (std::string& note : m_notes)
        round.notes.push_back(std::move(note));
    m_notes.clear();
    round.more = m_retryAllLanes || m_lanesLeftInScan > 0;
    return round;
}

void TaskScheduler::runTimers(ScheduleRound& round, Time now)
{
    applyHealth(m_health.poll(now));
    while (!m_pauseEnds.empty() && m_pauseEnds.top().first <= now) {
        m_pool.setPaused(m_pauseEnds.top().second, false);
        m_pauseEnds.pop();
    }
    for (const JobSerial serial : m_queue.takeOverdue(now)) {
        Job& job = *m_bySerial.at(serial);
        job.hasFrontRank = true;
        enqueue(job);
    }
    if (std::vector<TeamIndex> teams = std::exchange(m_teamsToRetry, {}); m_anyQuotaBlocked && !teams.empty()) {
        m_anyQuotaBlocked = false;
        std::sort(teams.begin(), teams.end());
        for (LaneIndex i = 0; i < m_queue.lanes().size(); ++i) {
            const Lane& lane = m_queue.lanes()[i];
            if (!lane.quotaBlocked)
                continue;
            if (std::binary_search(teams.begin(), teams.end(), lane.key.team))
                m_queue.unpark(i);
            else
                m_anyQuotaBlocked = true;
        }
    }
    if (m_planner.isActive() && !m_queue.contains(m_planner.job())) {
        m_planner.end(m_pool, now);
        m_retryAllLanes = true;
    }
    m_retryAllLanes = m_planner.advance(m_pool, m_queue.jobs() > 1, now) || m_retryAllLanes;
    if (m_queue.jobs() > 0 && now - m_lastReclaimAt >= reclaimInterval) {
        m_lastReclaimAt = now;
        unparkLanesWithSmallerSize();
        reclaimBorrowedQuota(round, now);
        reclaimForReservation(round);
    }
}

/** Starts tasks whose claimed resources have become free, and drops claims that cannot be fulfilled. */
void TaskScheduler::serveClaims(ScheduleRound& round, Time now)
{
    std::map<WorkerIndex, Resources> earlier; // Resources wanted by earlier claims on the same worker.
    for (std::size_t i = 0; i < m_claims.size();) {
        const Claim claim = m_claims[i];
        const auto found = m_bySerial.find(claim.job);
        Job* job = found == m_bySerial.end() || found->second->isOver() ? nullptr : found->second;
        const WorkerState& worker = m_pool.workers()[claim.worker];
        const bool fits
            = worker.isEligible() && claim.size.fitsIn(worker.info.capacity - worker.reserved - earlier[claim.worker]);
        const bool unservable
            = !worker.known || !worker.usable || worker.leaving || worker.out || now - claim.madeAt >= claimTimeout;
        if (job && !fits && !unservable) {
            earlier[claim.worker] += claim.size;
            ++i;
            continue;
        }
        if (dropClaim(i) && fits)
            start(*job, claim.index, claim.worker, claim.size, "room of stopped work", round, now);
    }
}

bool TaskScheduler::isBefore(const Candidate& a, const Candidate& b)
{
    return std::tie(a.rank, a.team, a.since, a.lane) < std::tie(b.rank, b.team, b.since, b.lane);
}

/** Returns the lanes to try, in placement order: new ones, and those that may fit the freed resources. */
TaskScheduler::Candidates TaskScheduler::collectCandidates(const std::vector<LaneIndex>& fresh, bool freed)
{
    Candidates found;
    const std::vector<Lane>& lanes = m_queue.lanes();
    const auto add = [&](LaneIndex i) {
        const Lane& lane = lanes[i];
        const bool ranked = lane.key.rank != QueueRank::Fair;
        found.push_back({ lane.key.rank, ranked ? 0 : lane.key.team, lane.headSince, i });
    };
    if (!freed && !m_retryAllLanes && m_lanesLeftInScan == 0) {
        for (const LaneIndex i : fresh) {
            if (lanes[i].live && !lanes[i].parked)
                add(i);
        }
    } else {
        m_maxFreedRoom = {};
        for (const WorkerIndex worker : m_freedWorkers)
            m_maxFreedRoom = maxOf(m_maxFreedRoom, m_pool.workers()[worker].room(true));
        const bool all = m_retryAllLanes || m_lanesLeftInScan > 0;
        if (freed || m_retryAllLanes)
            m_lanesLeftInScan = lanes.size();
        m_retryAllLanes = false;
        const std::size_t count = std::min(m_lanesLeftInScan, lanesPerRound);
        for (std::size_t n = 0; n < count; ++n) {
            const std::size_t i = (m_nextScanLane + n) % lanes.size();
            if (all ? lanes[i].live && !lanes[i].quotaBlocked : mayFitFreed(m_queue.needs()[i]))
                add(static_cast<LaneIndex>(i));
        }
        m_lanesLeftInScan -= count;
        m_nextScanLane = lanes.empty() ? 0 : (m_nextScanLane + count) % lanes.size();
    }
    std::sort(found.begin(), found.end(), isBefore);
    return found;
}

bool TaskScheduler::mayFitFreed(const Resources& size) const
{
    if (!size.fitsIn(m_maxFreedRoom))
        return false;
    return m_freedWorkers.size() > maxFreedWorkersToCheck
        || std::any_of(m_freedWorkers.begin(), m_freedWorkers.end(),
            [&](WorkerIndex worker) { return size.fitsIn(m_pool.workers()[worker].room(true)); });
}

/** Places work of rank Urgent, then of rank Front (overdue work, and holds and gangs to be placed again), each in order
 * of submission. */
void TaskScheduler::placeByRank(const Candidates& candidates, ScheduleRound& round, Time now)
{
    for (const Candidate& candidate : candidates) {
        if (candidate.rank == QueueRank::Fair)
            return;
        while (round.starts.size() < startsPerRound && tryLane(candidate.lane, true, round, now) == TryResult::Placed) {
        }
        m_retryAllLanes = m_retryAllLanes || round.starts.size() >= startsPerRound;
    }
}

/** Places work by weighted dominant-resource fairness: the team with the lowest weighted share is served next.
 * @return Lanes that can start only with borrowed quota. */
TaskScheduler::Candidates TaskScheduler::placeByFairShare(
    const Candidates& candidates, bool mayBorrow, ScheduleRound& round, Time now)
{
    Candidates borrowers;
    if (candidates.empty() || candidates.back().rank != QueueRank::Fair)
        return borrowers;
    struct TeamCursor {
        double share = 0;
        std::size_t next = 0; ///< Index of the next candidate of the team.
        bool operator>(const TeamCursor& other) const
        {
            return std::tie(share, next) > std::tie(other.share, other.next);
        }
    };
    std::priority_queue<TeamCursor, std::vector<TeamCursor>, std::greater<>> cursors;
    const auto shareOf = [&](std::size_t i) { return m_quota.share(candidates[i].team, m_pool.totalCapacity()); };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].rank == QueueRank::Fair
            && (i == 0 || candidates[i].team != candidates[i - 1].team || candidates[i - 1].rank != QueueRank::Fair))
            cursors.push({ shareOf(i), i });
    }
    while (!cursors.empty()) {
        const std::size_t i = cursors.top().next;
        cursors.pop();
        if (round.starts.size() >= startsPerRound) {
            m_retryAllLanes = true;
            return borrowers;
        }
        const TryResult result = tryLane(candidates[i].lane, mayBorrow, round, now);
        if (result == TryResult::NeedsBorrowing)
            borrowers.push_back(candidates[i]);
        const std::size_t next = result == TryResult::Placed ? i : i + 1;
        if (next < candidates.size() && candidates[next].team == candidates[i].team)
            cursors.push({ shareOf(i), next });
    }
    return borrowers;
}

/** Tries to place the first waiting task, or gang, of a lane. */
TaskScheduler::TryResult TaskScheduler::tryLane(LaneIndex index, bool mayBorrow, ScheduleRound& round, Time now)
{
    const JobSerial serial = m_queue.head(index);
    if (serial == 0)
        return TryResult::Blocked;
    Lane& lane = m_queue.lanes()[index];
    Job& job = *m_bySerial.at(serial);
    const Resources size = startSize(lane);
    const Resources need = job.isGang() ? times(size, static_cast<std::int64_t>(job.queued.size())) : size;
    const QuotaVerdict verdict = m_quota.check(job.team, need, job.isPreemptible());
    if (verdict == QuotaVerdict::Denied) {
        m_anyQuotaBlocked = true;
        lane.reason = "the quota of the team is used up";
        m_queue.park(index, {}, true);
        return TryResult::Blocked;
    }
    if (verdict == QuotaVerdict::Borrows && !mayBorrow)
        return TryResult::NeedsBorrowing;
    if (job.isGang())
        return tryGang(lane, job, size, round, now);
    return tryTask(lane, job, size, verdict == QuotaVerdict::Borrows, round, now);
}

TaskScheduler::TryResult TaskScheduler::tryGang(
    Lane& lane, Job& job, const Resources& size, ScheduleRound& round, Time now)
{
    const ReservationRequest need { job.serial, size, static_cast<std::uint32_t>(job.queued.size()),
        job.policy.rackLimit, job.since };
    const bool reserved = m_planner.job() == job.serial;
    const bool mayFit = reserved || times(size, need.count).fitsIn(m_pool.totalFree());
    const auto shares = mayFit ? fitGang(need, m_pool, reserved) : std::nullopt;
    if (!shares) {
        recordBlocked(job, size);
        return park(lane, size, "waits for room for the whole gang");
    }
    if (reserved) {
        m_planner.end(m_pool, now);
        m_retryAllLanes = true;
    }
    const std::string reason = "gang of " + std::to_string(need.count) + " tasks on " + std::to_string(shares->size())
        + " workers" + (reserved ? ", reserved" : "");
    for (const WorkerTaskCount& share : *shares) {
        for (std::uint32_t i = 0; i < share.tasks; ++i)
            start(job, job.queued.back(), share.worker, size, reason, round, now);
    }
    return TryResult::Placed;
}

TaskScheduler::TryResult TaskScheduler::tryTask(
    Lane& lane, Job& job, const Resources& size, bool borrows, ScheduleRound& round, Time now)
{
    const std::size_t tries = job.hasFailures ? std::min(job.queued.size(), tasksToTry) : 1;
    for (std::size_t n = 0; n < tries; ++n) {
        const std::uint32_t index = job.queued[job.queued.size() - 1 - n];
        const WorkerIndex worker = m_pool.place(queryFor(job, index, size));
        if (worker == noWorker)
            continue;
        start(job, index, worker, size, borrows ? "best fit, borrowed quota" : "best fit", round, now);
        return TryResult::Placed;
    }
    const bool reserved = m_planner.job() == job.serial;
    if (m_planner.isHolding() && (reserved || (!job.hasFailures && endsBeforeReservation(job, now)))) {
        if (const WorkerIndex worker = m_pool.placeOnHeld(size, m_planner.held()); worker != noWorker) {
            const std::uint32_t index = job.queued.back();
            if (reserved)
                m_planner.end(m_pool, now);
            m_retryAllLanes = m_retryAllLanes || reserved;
            start(job, index, worker, size, reserved ? "reserved room" : "backfill before a gang", round, now);
            return TryResult::Placed;
        }
    }
    if (lane.key.rank == QueueRank::Urgent)
        return preempt(lane, job, size, round, now);
    if (lane.key.rank == QueueRank::Front)
        recordBlocked(job, size);
    return park(lane, size, "no worker has room");
}

/** Makes room for urgent work by stopping batch tasks or by using resources reserved for a gang. */
TaskScheduler::TryResult TaskScheduler::preempt(
    Lane& lane, Job& job, const Resources& size, ScheduleRound& round, Time now)
{
    const std::uint32_t index = job.queued.back();
    const PreemptionChoice choice = chooseVictims(m_pool, queryFor(job, index, size));
    if (choice.worker == noWorker) {
        recordBlocked(job, size);
        return park(lane, size, "no worker has room, and no batch task can be stopped for it");
    }
    if (size.fitsIn(m_pool.workers()[choice.worker].room(true)))
        start(job, index, choice.worker, size, "urgent, room held for a gang", round, now);
    else
        claim(job, index, choice, size, "stopped for urgent work", round, now);
    return TryResult::Placed;
}

/** Stops the chosen tasks and claims their resources for a waiting task. */
void TaskScheduler::claim(Job& job, std::uint32_t index, const PreemptionChoice& choice, const Resources& size,
    const std::string& why, ScheduleRound& round, Time now)
{
    for (const TaskKey& victim : choice.victims)
        stopTask(victim, true, why, round);
    m_pool.addClaim(choice.worker, size);
    m_quota.charge(job.team, size);
    m_claims.push_back({ job.serial, job.team, index, choice.worker, size, now });
    job.reason = "waits for the end of tasks that are being stopped";
    takeFromQueue(job, index);
    ++m_queuedTasks; // The task still waits, but is in no lane.
}

TaskScheduler::TryResult TaskScheduler::park(Lane& lane, const Resources& size, std::string reason)
{
    if (!m_pool.fitsUsable(size))
        reason = m_pool.fitsKnown(size) ? "fits only workers that are not usable now" : "larger than any known worker";
    if (lane.reason != reason)
        lane.reason = std::move(reason);
    m_queue.park(static_cast<LaneIndex>(&lane - m_queue.lanes().data()), size, false);
    return TryResult::Blocked;
}

/** Makes parked lanes whose learned size fell eligible for placement again. */
void TaskScheduler::unparkLanesWithSmallerSize()
{
    if (!std::exchange(m_learnedSizesFell, false))
        return;
    for (LaneIndex i = 0; i < m_queue.lanes().size(); ++i) {
        const Lane& lane = m_queue.lanes()[i];
        if (lane.live && lane.parked && !lane.quotaBlocked && !m_queue.needs()[i].fitsIn(startSize(lane)))
            m_queue.unpark(i);
    }
}

/** Records the work as a candidate for the reservation; the oldest is kept. */
void TaskScheduler::recordBlocked(const Job& job, const Resources& size)
{
    const std::uint32_t count = job.isGang() ? static_cast<std::uint32_t>(job.queued.size()) : 1;
    if (!m_oldestBlocked || job.since < m_oldestBlocked->submittedAt)
        m_oldestBlocked = ReservationRequest { job.serial, size, count, job.policy.rackLimit, job.since };
}

void TaskScheduler::updateReservation(Time now)
{
    if (!m_oldestBlocked || m_oldestBlocked->job == m_planner.job() || !m_pool.fitsUsable(m_oldestBlocked->size))
        return;
    if (m_planner.isActive() && m_planner.submittedAt() <= m_oldestBlocked->submittedAt)
        return;
    m_planner.begin(*m_oldestBlocked, m_pool, now);
    m_retryAllLanes = true;
}

/** Reclaims borrowed quota: stops batch tasks of teams above their quota for a team within its quota that has waited
 * for half of reclaim_after. The other half is left for the stopped tasks to write checkpoints. */
void TaskScheduler::reclaimBorrowedQuota(ScheduleRound& round, Time now)
{
    if (!m_quota.isAnyBorrowing())
        return;
    const std::size_t lanes = m_queue.lanes().size();
    int left = reclaimsPerRound; // Unsuccessful searches count too.
    std::size_t n = 0;
    for (; n < lanes && left > 0; ++n) {
        const auto i = static_cast<LaneIndex>((m_nextReclaimLane + n) % lanes);
        while (left > 0 && reclaimForLane(i, left, round, now)) { }
    }
    m_nextReclaimLane = lanes == 0 ? 0 : (m_nextReclaimLane + n) % lanes;
}

/** Stops borrowing tasks for the first waiting task of a lane. @param left Remaining attempts, decremented.
 * @return True if a claim was made. */
bool TaskScheduler::reclaimForLane(LaneIndex index, int& left, ScheduleRound& round, Time now)
{
    const Lane& lane = m_queue.lanes()[index];
    if (!lane.live || !lane.parked || lane.quotaBlocked || lane.key.gangTasks > 0
        || now - lane.headSince < m_bundle.cell.reclaimAfter / 2)
        return false;
    Job& job = *m_bySerial.at(m_queue.head(index));
    const Resources size = startSize(lane);
    if (!m_quota.hasQuota(job.team) || m_quota.check(job.team, size, true) != QuotaVerdict::Within)
        return false;
    --left;
    const PreemptionChoice choice = chooseBorrowers(m_pool, queryFor(job, job.queued.back(), size), m_quota);
    if (choice.worker == noWorker)
        return false;
    claim(job, job.queued.back(), choice, size, "borrowed quota is given back", round, now);
    return true;
}

/** Stops borrowing tasks on the workers reserved for a gang or task whose team has a quota. */
void TaskScheduler::reclaimForReservation(ScheduleRound& round)
{
    const auto found = m_bySerial.find(m_planner.job());
    if (!m_planner.isHolding() || found == m_bySerial.end() || !m_quota.hasQuota(found->second->team))
        return;
    for (const WorkerIndex worker : m_planner.held()) {
        std::vector<TaskKey> victims;
        for (const Reservation& task : m_pool.workers()[worker].tasks) {
            if (task.stoppable && !task.stopping && m_quota.isBorrowing(task.team))
                victims.push_back(task.key);
        }
        for (const TaskKey& victim : victims)
            stopTask(victim, true, "borrowed quota is given back to a gang", round);
    }
}

void TaskScheduler::start(Job& job, std::uint32_t index, WorkerIndex worker, const Resources& size, std::string reason,
    ScheduleRound& round, Time now)
{
    takeFromQueue(job, index);
    reserveTask(job, index, worker, size, now);
    applyHealth(m_health.started(worker));
    round.starts.push_back({ makeTaskId(job.spec.id, index), job.spec.id, index, m_pool.workers()[worker].info.id, size,
        std::move(reason) });
}

void TaskScheduler::stopTask(const TaskKey& key, bool checkpoint, const std::string& why, ScheduleRound& round)
{
    Job& job = *m_bySerial.at(key.job);
    Task& task = job.tasks[key.index];
    task.stopping = true;
    m_pool.markStopping(task.worker, key);
    round.stops.push_back(
        { makeTaskId(job.spec.id, key.index), m_pool.workers()[task.worker].info.id, checkpoint, why });
}

/** Returns the size to reserve for the next start of a lane: the learned size, limited to the largest worker. */
Resources TaskScheduler::startSize(const Lane& lane) const
{
    return m_pool.clampToLargest(lane.usage->tracker.size(), lane.key.size);
}

PlaceQuery TaskScheduler::queryFor(const Job& job, std::uint32_t index, const Resources& size) const
{
    PlaceQuery query;
    query.size = size;
    const Task& task = job.tasks[index];
    if (task.failedOn.size() < m_pool.countFitting(job.spec.size))
        query.avoid = task.failedOn; // If it failed on all workers that fit, they are tried again.
    query.rackUse = &job.rackUse;
    query.rackLimit = job.policy.rackLimit;
    query.spread = job.isHold();
    return query;
}

/** Returns whether a task started now is expected to end before the reserved work starts. */
bool TaskScheduler::endsBeforeReservation(const Job& job, Time now) const
{
    const Duration run = UsageModel::expectedRun(*job.usage, job.spec.runTime);
    return !job.isHold() && run > Duration {} && m_planner.expectedStart() != timeUnknown
        && now + run <= m_planner.expectedStart();
}

} // namespace sp
