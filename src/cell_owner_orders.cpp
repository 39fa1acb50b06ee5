#include "cell_owner.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    /** Delay after an unanswered order, multiplied by the number of attempts. */
    constexpr std::chrono::milliseconds orderRetry { 20 };
    constexpr std::chrono::milliseconds noRoomPause { 300 }; ///< The target has load that this owner does not know of.
    constexpr std::chrono::milliseconds unhealthyPause { 1000 }; ///< Unhealthy targets rarely recover sooner.
    /** A restarted target process is back within this time. */
    constexpr std::chrono::milliseconds unreachablePause { 500 };
    /** After this many start orders the run is stopped, so that the task can be placed elsewhere. */
    constexpr int maxStartAttempts = 3;
    constexpr const char* targetShrunk = "the target's capacity has shrunk";

} // namespace

/**
 * Handles the parts common to all order answers: reports a higher fencing token and records the target's clock.
 * @return Target and run; the run is null if it is no longer on the target or the ownership has ended.
 */
CellOwner::AnsweredRun CellOwner::processAnswer(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now)
{
    m_eventTime = now;
    CellTarget* target = m_active ? findTarget(id) : nullptr;
    if (!target)
        return {};
    if (answer.result == OrderResult::Fenced) {
        m_hooks.superseded("target " + id.value + " has seen a higher token");
        return {};
    }
    if (answer.result == OrderResult::OtherLife)
        markReplaced(*target, now); // Its clock is not that of this target.
    const auto it = target->occupants.find(key);
    Occupant* occupant = it == target->occupants.end() || it->second.run != run ? nullptr : &it->second;
    if (answer.result != OrderResult::OtherLife && answer.clock
        && !target->sawOrderAnswer(*answer.clock, occupant ? occupant->orderSentAt : Time {}, now))
        LogLine(LogLevel::Warning, "target_clock_differs")
            .with("target", id)
            .with("task", taskText(key))
            .with("clock_ms", answer.clock->count())
            .with("expected_ms", target->clockAtLeast(now).count());
    return { target, occupant };
}

/** Requeues a task whose start was refused before the run began. */
void CellOwner::handleRefusedStart(CellTarget& target, const CellTaskKey& key, const char* reason, Time now)
{
    const std::uint32_t run = target.occupants.at(key).run;
    releaseRun(target, key, reason, now);
    TaskState* task = findOpenTask(key);
    // The other members of the gang wait with this run number, so the next start uses it again.
    if (task && task->waiting() && task->run == run && findStepSpec(key)->gang)
        --task->run;
}

/** Withdraws a run that waits for its target to answer, since the target has fallen silent. @return True if so. */
bool CellOwner::withdrawIfSilent(CellTarget& target, const CellTaskKey& key, Time now)
{
    const auto run = target.occupants.find(key);
    if (run == target.occupants.end() || !target.silent() || run->second.tries > 0
        || !awaitsAnswerBeforeStart(target, run->second, now))
        return false;
    handleRefusedStart(target, key, "the target does not answer", now);
    return true;
}

/** Withdraws a placement of which no order was sent yet, if the target has shrunk since. @return True if so. */
bool CellOwner::withdrawIfShrunk(CellTarget& target, const CellTaskKey& key, Time now)
{
    const auto run = target.occupants.find(key);
    const bool unsent
        = run != target.occupants.end() && run->second.phase == RunPhase::Ordered && run->second.tries == 0;
    if (!unsent || !target.overcommitted())
        return false;
    handleRefusedStart(target, key, targetShrunk, now);
    return true;
}

/** Sends a start order. A retry after a lost answer has the same run number, so the target runs it once. */
void CellOwner::sendStartOrder(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now)
{
    if (awaitsAnswerBeforeStart(target, occupant, now)) {
        if (!target.silent())
            scheduleReport(target, now);
        return;
    }
    CellJob* job = findOpenJob(key.job);
    const TaskState* task = job ? job->task(key) : nullptr;
    if (!task || occupant.tries >= maxStartAttempts) {
        beginStop(target, key, occupant, task ? "start orders not answered" : "job is finished", now);
        return;
    }
    if (target.overcommitted()) { // An earlier order may have been lost, so that this one would start the run.
        beginStop(target, key, occupant, targetShrunk, now);
        return;
    }
    StartOrder order { key, occupant.run, job->spec.payload, task->checkpoint, {}, {}, m_token };
    const auto& allowed = job->step(key.stepKey())->advice.allowed;
    if (const auto it = allowed.find(target.id()); it != allowed.end())
        order.ticket = it->second.ticket;
    order.leaseUntil = target.clockAtLeast(now) + leaseDuration();
    target.leaseSent = std::max(target.leaseSent, order.leaseUntil);
    if (++occupant.tries == 1) {
        occupant.startedAt = now;
        occupant.leaseOrdered = order.leaseUntil;
        occupant.heardBeforeStart = heardRecently(target, now);
    }
    occupant.orderOpen = true;
    occupant.orderSentAt = now;
    m_startOrders.add();
    m_hooks.start(target, order);
}

/** Begins to stop a run. Its capacity stays reserved until the target reports the end. */
void CellOwner::beginStop(CellTarget& target, const CellTaskKey& key, Occupant& occupant, const char* reason, Time now)
{
    if (occupant.phase == RunPhase::Stopping)
        return;
    LogLine(LogLevel::Info, "run_stopping")
        .with("task", taskText(key))
        .with("run", occupant.run)
        .with("target", target.id())
        .with("reason", reason);
    m_runStops.add();
    target.mayHaveOpenOrders = true;
    occupant.phase = RunPhase::Stopping;
    occupant.since = now;
    occupant.confirmedAt = {};
    occupant.tries = 0;
    occupant.retryAt = now;
    occupant.stopReason = reason;
    if (m_mayOrder && !target.entry.address.empty() && !occupant.orderOpen)
        sendStopOrder(target, key, occupant, now);
}

void CellOwner::sendStopOrder(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now)
{
    ++occupant.tries;
    occupant.orderOpen = true;
    occupant.orderSentAt = now;
    m_hooks.stop(target, key, occupant.run, m_token);
}

/** Handles the answer to a start order: confirms the run, retries, or has the task placed again. */
void CellOwner::onStarted(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now)
{
    const auto [target, found] = processAnswer(id, key, run, answer, now);
    if (!found)
        return;
    Occupant& occupant = *found;
    occupant.orderOpen = false;
    LogLine(answer.result == OrderResult::Done ? LogLevel::Info : LogLevel::Warning, "start_answered")
        .with("task", taskText(key))
        .with("run", run)
        .with("target", id)
        .with("result", orderResultName(answer.result))
        .with("try", occupant.tries);
    recordCallOutcome(*target, answer.result, now);
    occupant.mayArriveLate |= answer.result == OrderResult::Lost;
    if (answer.result == OrderResult::Done) {
        target->leaseAnswered = std::max(target->leaseAnswered, occupant.leaseOrdered);
        markBegun(*target, key, occupant, now);
    }
    if (occupant.phase != RunPhase::Ordered) {
        // The run was marked for stopping while the start was in flight; the stop order may be sent now.
        occupant.retryAt = now;
        return;
    }
    CellJob* job = findJob(key.job);
    switch (answer.result) {
    case OrderResult::Done:
        occupant.phase = RunPhase::Running;
        occupant.confirmedAt = now;
        occupant.progressAt = now;
        occupant.unsure = false;
        markRunning(key.job);
        if (target->occupants.size() == 1)
            target->nextLookAt = now + reportPause;
        scheduleReport(*target, now + reportWait);
        return;
    case OrderResult::Outdated:
        // The run has already ended on the target; the next report contains its result.
        occupant.confirmedAt = now;
        scheduleReport(*target, now);
        return;
    case OrderResult::LeasePast:
        occupant.retryAt = now;
        return;
    case OrderResult::Lost:
        m_startsUnanswered.add();
        occupant.unsure = true;
        occupant.retryAt = now + orderRetry * occupant.tries;
        scheduleReport(*target, now);
        return;
    case OrderResult::NoRoom:
        target->refusedUntil = now + noRoomPause;
        break;
    case OrderResult::Unhealthy:
        target->refusedUntil = now + unhealthyPause;
        break;
    case OrderResult::NotSent:
    case OrderResult::OtherLife:
        target->refusedUntil = now + unreachablePause;
        break;
    case OrderResult::BadTicket:
        if (StepState* step = job ? job->step(key.stepKey()) : nullptr) {
            if (const auto ticket = step->advice.allowed.find(id); ticket != step->advice.allowed.end())
                ticket->second.validUntil = {};
        }
        break;
    case OrderResult::Rejected:
        if (TaskState* task = job ? job->task(key) : nullptr)
            task->avoid.insert(id);
        break;
    case OrderResult::Fenced:
        return;
    }
    if (occupant.unsure && answer.result != OrderResult::OtherLife) {
        // The target may still execute an earlier order of this run; only a stop order prevents that.
        beginStop(*target, key, occupant, orderResultName(answer.result), now);
        return;
    }
    handleRefusedStart(*target, key, orderResultName(answer.result), now);
}

/** Handles the answer to a stop order. A report of the run's end or a restart of the target releases the run. */
void CellOwner::onStopped(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now)
{
    const auto [target, found] = processAnswer(id, key, run, answer, now);
    if (!found)
        return;
    Occupant& occupant = *found;
    occupant.orderOpen = false;
    recordCallOutcome(*target, answer.result, now);
    if (answer.result == OrderResult::Lost || answer.result == OrderResult::NotSent) {
        occupant.retryAt = now + orderRetry * std::min(occupant.tries, 10);
        return;
    }
    if (answer.result == OrderResult::Unhealthy) {
        occupant.retryAt = now + orderRetry * std::min(occupant.tries, 10);
        return;
    }
    if (answer.result == OrderResult::OtherLife) {
        releaseRun(*target, key, "the target has restarted", now);
        return;
    }
    // The run has been stopped or had already ended, and the target refuses later starts of it. The next report shows
    // its end.
    occupant.confirmedAt = now;
    scheduleReport(*target, now);
}

/** Handles the answer to a pace change. */
void CellOwner::onPaced(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, int percent, const OrderAnswer& answer, Time now)
{
    const auto [target, found] = processAnswer(id, key, run, answer, now);
    if (!found)
        return;
    found->paceOpen = false;
    found->paceAt = now;
    // Without an answer the old pace is kept on record, so that the change is ordered again if it is still needed.
    if (answer.result == OrderResult::Done)
        found->pace = percent;
}

} // namespace sp
