#include "cell_owner.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds orderRetry { 20 }; ///< After an order without an answer, times the tries.
    constexpr std::chrono::milliseconds noRoomPause { 300 }; ///< The target knows of load that is not ours.
    constexpr std::chrono::milliseconds unhealthyPause { 1000 }; ///< Unhealthy targets seldom recover faster.
    constexpr std::chrono::milliseconds unreachablePause { 500 }; ///< A process that starts again is back sooner.
    constexpr int startTries = 3; ///< Then the run is stopped, so that the task can go elsewhere.

} // namespace

/**
 * What an answer to an order tells besides its result. A higher token ends the ownership.
 * @return Target and run; no run if it is not there any more or the ownership has ended.
 */
CellOwner::AnsweredRun CellOwner::takeAnswer(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now)
{
    m_now = now;
    CellTarget* target = m_active ? findTarget(id) : nullptr;
    if (!target)
        return {};
    if (answer.result == OrderResult::Fenced) {
        m_hooks.superseded("target " + id.value + " has seen a higher token");
        return {};
    }
    if (answer.clock)
        target->sawClock(*answer.clock, now);
    const auto it = target->occupants.find(key);
    return { target, it == target->occupants.end() || it->second.run != run ? nullptr : &it->second };
}

/** A start was refused and its run was never begun. */
void CellOwner::startRefused(CellTarget& target, const CellTaskKey& key, const char* reason, Time now)
{
    const std::uint32_t run = target.occupants.at(key).run;
    runGone(target, key, reason, now);
    TaskState* task = openTask(key);
    // The other members of a gang are waiting under this number; it is used again.
    if (task && task->waiting() && task->run == run && specOf(key)->gang)
        --task->run;
}

/** Sends a start order, again under the same run number if an earlier one had no answer. */
void CellOwner::orderStart(CellTarget& target, const CellTaskKey& key, Occupant& occupant, Time now)
{
    CellJob* job = findOpen(key.job);
    const TaskState* task = job ? job->task(key) : nullptr;
    if (!task || occupant.tries >= startTries) {
        beginStop(target, key, occupant, task ? "start not answered" : "job ended", now);
        return;
    }
    StartOrder order { key, occupant.run, job->spec.payload, task->checkpoint, {}, {}, m_token };
    const auto& allowed = job->step(key.stepKey())->advice.allowed;
    if (const auto it = allowed.find(target.id()); it != allowed.end())
        order.ticket = it->second.ticket;
    order.leaseUntil = target.clockAtLeast(now) + holdTime();
    target.leaseSent = std::max(target.leaseSent, order.leaseUntil);
    ++occupant.tries;
    occupant.orderOpen = true;
    m_starts.add();
    m_hooks.start(target, order);
}

/** Begins to stop a run; its capacity is free once its end is listed. */
void CellOwner::beginStop(CellTarget& target, const CellTaskKey& key, Occupant& occupant, const char* reason, Time now)
{
    if (occupant.phase == RunPhase::Stopping)
        return;
    LogLine(LogLevel::Info, "run_stopping")
        .with("task", taskText(key))
        .with("run", occupant.run)
        .with("target", target.id())
        .with("reason", reason);
    m_stops.add();
    occupant.phase = RunPhase::Stopping;
    occupant.since = now;
    occupant.confirmedAt = {};
    occupant.tries = 0;
    occupant.retryAt = now;
    occupant.stopReason = reason;
    if (m_mayOrder && !target.entry.address.empty() && !occupant.orderOpen)
        orderStop(target, key, occupant);
}

void CellOwner::orderStop(CellTarget& target, const CellTaskKey& key, Occupant& occupant)
{
    ++occupant.tries;
    occupant.orderOpen = true;
    m_hooks.stop(target, key, occupant.run, m_token);
}

/** Takes the answer to a start order. */
void CellOwner::onStarted(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now)
{
    const auto [target, found] = takeAnswer(id, key, run, answer, now);
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
    noteReach(*target, answer.result);
    if (occupant.phase != RunPhase::Ordered) {
        // A stop was decided meanwhile; it is ordered now that the start is answered.
        occupant.retryAt = now;
        return;
    }
    CellJob* job = find(key.job);
    switch (answer.result) {
    case OrderResult::Done:
        occupant.phase = RunPhase::Running;
        occupant.confirmedAt = now;
        occupant.progressAt = now;
        occupant.unsure = false;
        noteBegun(key.job);
        if (target->occupants.size() == 1)
            target->nextLookAt = now + lookPause;
        lookSoon(*target, now + lookWait);
        return;
    case OrderResult::Outdated:
        // The run has ended there; the next report tells how.
        occupant.confirmedAt = now;
        lookSoon(*target, now);
        return;
    case OrderResult::LeasePast:
        occupant.retryAt = now;
        return;
    case OrderResult::Lost:
        m_startsUnanswered.add();
        occupant.unsure = true;
        occupant.retryAt = now + orderRetry * occupant.tries;
        lookSoon(*target, now);
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
        if (StepState* step = job ? job->step(key.stepKey()) : nullptr)
            step->advice.allowed.erase(id);
        break;
    case OrderResult::Rejected:
        if (TaskState* task = job ? job->task(key) : nullptr)
            task->avoid.insert(id);
        break;
    case OrderResult::Fenced:
        return;
    }
    if (occupant.unsure && answer.result != OrderResult::OtherLife) {
        // An earlier order of this run may still be carried out; only a stop rules that out.
        beginStop(*target, key, occupant, orderResultName(answer.result), now);
        return;
    }
    startRefused(*target, key, orderResultName(answer.result), now);
}

/** Takes the answer to a stop order. */
void CellOwner::onStopped(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, const OrderAnswer& answer, Time now)
{
    const auto [target, found] = takeAnswer(id, key, run, answer, now);
    if (!found)
        return;
    Occupant& occupant = *found;
    occupant.orderOpen = false;
    noteReach(*target, answer.result);
    if (answer.result == OrderResult::Lost || answer.result == OrderResult::NotSent) {
        occupant.retryAt = now + orderRetry * std::min(occupant.tries, 10);
        return;
    }
    if (answer.result == OrderResult::Unhealthy) {
        occupant.retryAt = now + orderRetry * std::min(occupant.tries, 10);
        return;
    }
    if (answer.result == OrderResult::OtherLife) {
        runGone(*target, key, "the target has started again", now);
        return;
    }
    // Carried out, or the run had already ended: a later start of it is refused. The next report shows its end.
    occupant.confirmedAt = now;
    lookSoon(*target, now);
}

/** Takes the answer to a change of pace. */
void CellOwner::onPaced(
    const TargetId& id, const CellTaskKey& key, std::uint32_t run, int percent, const OrderAnswer& answer, Time now)
{
    const auto [target, found] = takeAnswer(id, key, run, answer, now);
    if (!found)
        return;
    found->paceOpen = false;
    found->paceAt = now;
    // Without an answer the slower of the two is assumed to be in force, so that it is ordered again.
    if (answer.result == OrderResult::Done)
        found->pace = percent;
}

} // namespace sp
