#include "cell_owner.h"
#include "crash_suspect.h"

#include "log_line.h"
#include "stall_limit.h"
#include "tail_guard.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    /** Percentage of the longest lease; a shorter lease lets runs on a silent target be placed again sooner. */
    constexpr int leasePercent = 60;
    /** A report at the very end of the time would not clear a suspect yet. */
    constexpr std::chrono::milliseconds clearingMargin { 20 };
    /** Covers answers in flight and rounding of clock readings. */
    constexpr std::chrono::milliseconds clockMargin { 300 };
    /** An owner knows of a restart within 3 s, by the list or by a call without an answer; the rest allows for calendar
     * clocks that differ. */
    constexpr std::chrono::milliseconds restartNoticed { 5000 };

    /** Returns the longest time that a lease takes by a target's own clock. */
    std::chrono::milliseconds bySlowestClock(std::chrono::milliseconds lease)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(lease / CellTarget::slowestClock);
    }

    /** Targets measure tail latency over the last half second. */
    constexpr std::chrono::milliseconds tailLatencyReportWait { 500 };
    constexpr double lossRateWeight = 0.01; ///< Averages over about a hundred calls.
    constexpr double lossyThreshold = 0.02; ///< Healthy networks and targets lose a far smaller share of calls.
    /** Limits the delay of a run result when an answer is lost. */
    constexpr std::chrono::milliseconds lossyReportWait { 250 };
    /** Delay added for each unanswered call after the first, up to maxReportRetry. */
    constexpr std::chrono::milliseconds reportRetry { 250 };
    /** A target that becomes reachable again is noticed within a second. */
    constexpr std::chrono::milliseconds maxReportRetry { 1000 };
    /** Time beyond stopTimeout to send the stop order and to fetch the report with the checkpoint. */
    constexpr std::chrono::milliseconds evacuationMargin { 600 };

} // namespace

std::chrono::milliseconds CellOwner::leaseDuration() const { return m_bounds.maxHold * leasePercent / 100; }

CellTarget* CellOwner::findTarget(const TargetId& id)
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : it->second.get();
}

CellTarget& CellOwner::findOrAddTarget(const TargetId& id)
{
    auto& target = m_targets[id];
    if (!target) {
        target = std::make_unique<CellTarget>();
        target->entry.id = id;
        target->serial = ++m_lastTargetSerial;
        target->accountUsage = &m_accountUsage;
        // Runs that a former owner started there may be active until their leases have expired by the target's clock.
        target->lapsesBy = m_ownedSince + m_bounds.sessionTtl + bySlowestClock(leaseDuration()) + clockMargin;
    }
    return *target;
}

/** Returns a target that has a run of a former owner, which may be active until its lease has expired. */
CellTarget& CellOwner::recoverTarget(const TargetId& id, const MachineId& machine, CalendarTime bornAt, Time now)
{
    CellTarget& target = findOrAddTarget(id);
    target.entry.machine = machine;
    target.entry.bornAt = std::max(target.entry.bornAt, bornAt);
    target.lapsesBy = std::max(target.lapsesBy, restartLeaseEnd(target.entry.bornAt, now));
    return target;
}

/**
 * Returns the time until which a target that has restarted may keep runs of a former owner. A lease that this owner
 * granted before it knew of the restart ends at a reading of the former clock, which the new one reaches far later: the
 * target only shortens it to the longest lease.
 */
Time CellOwner::restartLeaseEnd(CalendarTime bornAt, Time now) const
{
    const auto longest = bySlowestClock(m_bounds.maxHold) + clockMargin;
    const auto age = m_hooks.calendar() - bornAt;
    return std::min(now + restartNoticed + longest - age, m_ownedSince + m_bounds.sessionTtl + longest);
}

/** Returns the number of the targets with the labels and the capacity of an entry; 0 is none. */
std::uint32_t CellOwner::targetGroup(const TargetEntry& entry)
{
    const auto& [cores, memory, accelerators] = entry.capacity;
    const auto next = static_cast<std::uint32_t>(m_targetGroups.size() + 1);
    return m_targetGroups.try_emplace({ entry.labels, { cores, memory, accelerators } }, next).first->second;
}

/**
 * Updates the known targets from the list of registered ones.
 * @param list All entries that could be read.
 * @param settled True if entries that lapsed during a store outage had time to be registered again, so that a missing
 * entry means a missing target.
 */
void CellOwner::targetsListed(const TargetList& list, bool settled, Time now)
{
    if (!m_active || list == m_targetList)
        return;
    m_eventTime = now;
    m_targetList = settled ? list : nullptr;
    std::set<TargetId> listed;
    for (const TargetEntry& entry : *list) {
        listed.insert(entry.id);
        CellTarget& target = findOrAddTarget(entry.id);
        if (!target.listed)
            LogLine(LogLevel::Info, "target_listed")
                .with("target", entry.id)
                .with("machine", entry.machine)
                .with("draining", entry.draining);
        updateDrainDeadline(target, entry, now);
        if (target.entry.bornAt != CalendarTime {} && entry.bornAt > target.entry.bornAt)
            beginIncarnation(target, now);
        if (target.listed && target.entry.bornAt == entry.bornAt && target.entry.capacity != entry.capacity)
            LogLine(LogLevel::Info, "target_resized")
                .with("target", entry.id)
                .with("cores_milli", entry.capacity.coresMilli)
                .with("memory_mb", entry.capacity.memoryMb)
                .with("before_milli", target.entry.capacity.coresMilli)
                .with("used_milli", target.used.coresMilli);
        m_incarnationsChanged
            |= !target.listed || target.entry.machine != entry.machine || target.entry.bornAt != entry.bornAt;
        if (target.heardAt == Time {})
            target.lapsesBy = std::max(target.lapsesBy, restartLeaseEnd(entry.bornAt, now));
        if (target.group == 0 || target.entry.labels != entry.labels || target.entry.capacity != entry.capacity)
            target.group = targetGroup(entry);
        target.entry = entry;
        target.speed.kind = entry.labels.empty() ? 0 : m_runTimes.kindNumber(entry.labels.front());
        target.listed = true;
    }
    for (auto& [id, target] : m_targets) {
        if (settled && target->listed && !listed.contains(id)) {
            target->listed = false;
            LogLine(LogLevel::Warning, "target_missing").with("target", id).with("runs", target->occupants.size());
        }
    }
    m_dispatchDue = true;
    wakeBy(now);
}

/**
 * Releases the runs of incarnations that a later one on their machine has replaced. An entry alone is no evidence for
 * it, as it may come from another writer: the later incarnation must have reported.
 */
void CellOwner::releaseFormerIncarnations(Time now)
{
    if (!std::exchange(m_incarnationsChanged, false))
        return;
    std::map<MachineId, CalendarTime> latestByMachine; ///< Start time of the latest incarnation on each.
    for (const auto& [id, target] : m_targets) {
        if (target->listed && !target->entry.machine.empty()) {
            CalendarTime& latest = latestByMachine[target->entry.machine];
            latest = std::max(latest, target->reportedBornAt);
        }
    }
    for (auto& [id, target] : m_targets) {
        const auto latest = latestByMachine.find(target->entry.machine);
        if (latest == latestByMachine.end() || target->latestBornAt() >= latest->second)
            continue;
        markReplaced(*target, now);
        releaseEndedIncarnation(*target, "a later incarnation runs on its machine", now);
        m_incarnationsChanged |= !target->occupants.empty(); // The next sweep releases the others.
    }
}

/** Sets the time at which a draining target may disappear, or clears it if the target does not drain. */
void CellOwner::updateDrainDeadline(CellTarget& target, const TargetEntry& entry, Time now)
{
    if (!entry.draining) {
        target.leavesAt = {};
        return;
    }
    if (std::exchange(target.drainedBornAt, entry.bornAt) != entry.bornAt)
        forgetBegunRuns(target, now);
    if (target.leavesAt != Time {})
        return; // Keeps the first deadline: leavesIn counts from the time the entry was written.
    target.leavesAt = now + entry.leavesIn.value_or(m_bounds.drain);
    LogLine(LogLevel::Info, "target_draining")
        .with("target", entry.id)
        .with("leaves_in_ms", toMs(target.leavesAt - now))
        .with("runs", target.occupants.size());
}

/**
 * Stops work on a draining target that would be lost: lasting tasks at once, checkpointing ones as late as their
 * checkpoint can still be fetched. Other tasks may complete there.
 */
void CellOwner::evacuateTarget(CellTarget& target, Time now)
{
    if (target.leavesAt == Time {})
        return;
    const bool checkpointDue = now >= target.leavesAt - m_bounds.stopTimeout - evacuationMargin;
    for (auto& [key, occupant] : target.occupants) {
        if (occupant.phase == RunPhase::Running && (occupant.lasting || (occupant.checkpointing && checkpointDue)))
            beginStop(target, key, occupant, "target is draining", now);
    }
}

/**
 * Resets what is known of a target that has restarted under the same id, as its clock and its list of ends start anew.
 * Its runs are kept until its next report, since an order may have reached the new incarnation before the owner
 * detected the restart.
 */
void CellOwner::beginIncarnation(CellTarget& target, Time now)
{
    LogLine(LogLevel::Warning, "target_restarted").with("target", target.id()).with("runs", target.occupants.size());
    if (target.heardBeforeSilence == Time {})
        target.heardBeforeSilence = target.heardAt;
    for (auto& [key, occupant] : target.occupants) {
        // Both the list and a report may announce the incarnation.
        if (occupant.heldUntil == Time {} && occupant.phase != RunPhase::Stopping)
            occupant.heldUntil = leaseHeldUntil(target);
    }
    target.reported = false;
    target.countEndsOf({});
    target.clockSeenAt = {};
    target.clock = {};
    target.leaseSent = {};
    target.leaseAnswered = {};
    // Lease times on the former clock cannot be compared with the new one, so the longest lease is assumed.
    target.lapsesBy = std::max(target.lapsesBy, now + bySlowestClock(m_bounds.maxHold) + clockMargin);
    m_failures.forgetTarget(target.id());
    target.quarantinedUntil = {};
    target.lookSentAt = {};
    target.nextLookAt = now;
    for (auto& [key, occupant] : target.occupants) {
        // The new incarnation may still carry out an order that was not answered.
        if (occupant.mayArriveLate || (occupant.orderOpen && occupant.phase == RunPhase::Running))
            beginStop(target, key, occupant, "the target has restarted", now);
    }
}

/**
 * Releases the runs of a target incarnation that a later one on its machine has replaced, as they have ended. Keeps
 * runs whose record is still being written and those whose start order is not yet answered.
 */
void CellOwner::releaseEndedIncarnation(CellTarget& target, const char* reason, Time now)
{
    const auto lost = target.tasksWhere([](const CellTaskKey&, const Occupant& occupant) {
        return occupant.phase != RunPhase::Recording && !(occupant.phase == RunPhase::Ordered && occupant.orderOpen);
    });
    for (const CellTaskKey& key : lost) {
        const Occupant& occupant = target.occupants.at(key);
        if (occupant.phase == RunPhase::Ordered && occupant.tries == 0)
            handleRefusedStart(target, key, reason, now);
        else
            releaseRun(target, key, reason, now);
    }
}

/** Releases a run that was never begun or has ended without a reported result, and requeues its task. */
void CellOwner::releaseRun(CellTarget& target, const CellTaskKey& key, const char* reason, Time now)
{
    const auto it = target.occupants.find(key);
    if (it == target.occupants.end())
        return;
    const std::uint32_t run = it->second.run;
    const auto lost = describeLostRun(target, key, it->second, now);
    LogLine(LogLevel::Info, "run_gone")
        .with("task", taskText(key))
        .with("run", run)
        .with("target", target.id())
        .with("reason", reason);
    target.release(key);
    const TaskState* task = findOpenTask(key);
    const bool current = task && task->run == run;
    requeueIfCurrent(key, run, now);
    if (!lost || !current)
        return;
    if (hasCrashed(target, lost->bornAt))
        countCrash(target, *lost, now);
    else
        target.lostRuns.push_back(*lost);
}

void CellOwner::requeueIfCurrent(const CellTaskKey& key, std::uint32_t run, Time now)
{
    if (const TaskState* task = findOpenTask(key); task && !task->done && task->run == run)
        requeue(*findJob(key.job), key, now);
    m_dispatchDue = true;
    wakeBy(now);
}

/** Updates the reachability of a target and its data centre from the outcome of a call. */
void CellOwner::recordCallOutcome(CellTarget& target, OrderResult result, Time now)
{
    const bool answered = isAnswer(result);
    const bool everAnswered = answered || target.heardAt != Time {}; // An entry of another writer names no target.
    if (everAnswered) {
        DataCentreReachability& reachability = m_reachability[target.entry.dataCentre];
        if (answered) {
            if (reachability.suspect())
                LogLine(LogLevel::Info, "data_centre_answers").with("data_centre", target.entry.dataCentre);
            reachability.unanswered = 0;
        } else if (++reachability.unanswered == DataCentreReachability::suspectAfterCalls) {
            LogLine(LogLevel::Warning, "data_centre_silent").with("data_centre", target.entry.dataCentre);
        }
    }
    if (everAnswered
        && !target.silent()) // Calls to targets known to be silent would distort the loss rate of the others.
        m_lossRate += lossRateWeight * ((answered ? 0.0 : 1.0) - m_lossRate);
    if (!answered)
        countUnanswered(target, now);
}

/** Counts a call without an answer, or a request for a report that got none. Several in a row make the target silent.
 */
void CellOwner::countUnanswered(CellTarget& target, Time now)
{
    target.doubtedAt = now;
    if (++target.unanswered != CellTarget::silentAfterCalls)
        return;
    if (target.heardBeforeSilence == Time {})
        target.heardBeforeSilence = target.heardAt;
    LogLine(LogLevel::Warning, "target_silent").with("target", target.id()).with("runs", target.occupants.size());
}

/** Returns whether the data centre of a target answers well enough for new work. */
bool CellOwner::dataCentreReachable(const CellTarget& target) const
{
    const auto it = m_reachability.find(target.entry.dataCentre);
    if (it == m_reachability.end() || !it->second.suspect())
        return true;
    // If no data centre answers, the fault is more likely on this host, and excluding all targets would gain nothing.
    return std::all_of(
        m_reachability.begin(), m_reachability.end(), [](const auto& entry) { return entry.second.suspect(); });
}

void CellOwner::scheduleReport(CellTarget& target, Time at) { target.nextLookAt = std::min(target.nextLookAt, at); }

void CellOwner::requestReport(CellTarget& target, Time now)
{
    LookOrder order;
    order.token = m_token;
    order.sentAt = now;
    if (target.mayAcknowledgeEnds())
        order.endsAcknowledged = target.endsSaved();
    // A silent target's lease is not renewed, so that its runs can be considered ended once the last lease expires. The
    // clock of a target that may have restarted is not known.
    if (target.clockSeenAt != Time {} && !target.silent() && !target.mayHaveRestarted()) {
        order.leaseUntil = target.clockAtLeast(now) + leaseDuration();
        target.leaseSent = std::max(target.leaseSent, *order.leaseUntil);
    }
    const bool serving = std::any_of(
        target.occupants.begin(), target.occupants.end(), [](const auto& entry) { return entry.second.serves; });
    const bool filled = std::any_of(
        target.occupants.begin(), target.occupants.end(), [](const auto& entry) { return entry.second.fills; });
    const bool answerAwaited = std::any_of(target.occupants.begin(), target.occupants.end(),
        [&](const auto& entry) { return awaitsAnswerBeforeStart(target, entry.second, now); });
    if (target.reported && !target.occupants.empty() && !target.silent() && !target.mayHaveRestarted()
        && !answerAwaited)
        order.wait = std::min({ serving && filled ? tailLatencyReportWait : reportWait,
            m_lossRate > lossyThreshold ? lossyReportWait : reportWait, m_bounds.maxWait });
    for (const auto& [key, occupant] : target.occupants) {
        // Its target is held until the report that clears it.
        const Time clearedAt = occupant.startedAt + aloneTimeToClear + clearingMargin;
        if (occupant.alone && occupant.phase == RunPhase::Running && clearedAt >= now)
            order.wait = std::min(order.wait, std::chrono::ceil<std::chrono::milliseconds>(clearedAt - now));
    }
    target.lookSentAt = now;
    target.lookWaits = order.wait.count() > 0;
    m_reportRequests.add();
    m_hooks.look(target, order);
}

/** Releases runs with expired leases on a target and sends the orders and report requests that are due. */
void CellOwner::maintainTarget(CellTarget& target, Time now)
{
    if (target.heardAt != Time {} && target.lapsed(now) && target.silent()) {
        const auto lapsed = target.tasksWhere(
            [](const CellTaskKey&, const Occupant& occupant) { return occupant.phase != RunPhase::Recording; });
        for (const CellTaskKey& key : lapsed)
            releaseRun(target, key, "lease expired", now);
        target.reported = target.reported && lapsed.empty();
    }
    forgetLostRuns(target, now);
    // A target that never answered this owner holds only runs of a former owner.
    if (target.heardAt == Time {} && now >= target.lapsesBy) {
        for (const CellTaskKey& key : target.tasksWhere([](const CellTaskKey&, const Occupant&) { return true; }))
            releaseRun(target, key, "lease of a former owner expired", now);
    }
    if (!m_mayOrder || target.entry.address.empty())
        return;
    evacuateTarget(target, now);
    if (std::exchange(target.mayHaveOpenOrders, false))
        sendDueOrders(target, now);
    const bool endsToAcknowledge = target.endsSaved() > target.endsAcknowledged;
    // Without a call to its idle targets, a data centre would stay suspect after the target that was down is gone.
    const bool probed = m_dataCentreSuspect && target.listed && !dataCentreReachable(target);
    const bool needed = !target.reported || !target.occupants.empty() || endsToAcknowledge || target.silent()
        || target.replaced || probed;
    // A long poll that is still open may wait for an incarnation that has ended.
    const bool lookAwaited = target.lookSentAt != Time {} && !(target.lookWaits && target.mayHaveRestarted());
    if (!lookAwaited && now >= target.nextLookAt && needed)
        requestReport(target, now);
}

/** Sends the orders that are due to a target, and notes whether further ones may become due. */
void CellOwner::sendDueOrders(CellTarget& target, Time now)
{
    if (target.overcommitted() || target.silent()) {
        for (const CellTaskKey& key : target.tasksWhere([](const CellTaskKey&, const Occupant&) { return true; })) {
            if (!withdrawIfSilent(target, key, now))
                withdrawIfShrunk(target, key, now);
        }
    }
    for (auto& [key, occupant] : target.occupants) {
        const bool confirmed = occupant.confirmedAt != Time {} || occupant.phase == RunPhase::Running;
        target.mayHaveOpenOrders |= !confirmed;
        if (confirmed || occupant.orderOpen || now < occupant.retryAt)
            continue;
        // The lease end is a time on the target's clock, which is unknown until the first report.
        if (occupant.phase == RunPhase::Ordered && target.reported)
            sendStartOrder(target, key, occupant, now);
        else if (occupant.phase == RunPhase::Stopping)
            sendStopOrder(target, key, occupant, now);
    }
}

/** Handles a target's report, or the failure to get one. */
void CellOwner::onReport(
    const TargetId& id, const LookOrder& order, const OrderAnswer& answer, const RunReport& report, Time now)
{
    m_eventTime = now;
    CellTarget* target = m_active ? findTarget(id) : nullptr;
    if (!target || order.token != m_token)
        return;
    if (order.sentAt == target->lookSentAt)
        target->lookSentAt = {};
    if (answer.result == OrderResult::Fenced) {
        m_hooks.superseded("target " + id.value + " has seen a higher token");
        return;
    }
    if (answer.result != OrderResult::Done) {
        onReportRefused(*target, answer.result, now);
        return;
    }
    recordCallOutcome(*target, answer.result, now);
    if (report.bornAt != CalendarTime {} && report.bornAt < target->reportedBornAt)
        return; // A delayed answer of an earlier incarnation.
    if (target->reportedBornAt != CalendarTime {} && report.bornAt > target->reportedBornAt)
        beginIncarnation(*target, now);
    if (target->silent())
        LogLine(LogLevel::Info, "target_back").with("target", id);
    target->sawClock(report.clock, now);
    target->leaseAnswered = std::max(target->leaseAnswered, order.leaseUntil.value_or(std::chrono::milliseconds(0)));
    m_incarnationsChanged |= target->reportedBornAt != report.bornAt;
    target->reportedBornAt = report.bornAt;
    if (target->endsBornAt != report.bornAt)
        target->countEndsOf(report.bornAt);
    target->endsAcknowledged = std::max(target->endsAcknowledged, order.endsAcknowledged);
    if (!target->reported) {
        target->reported = true;
        m_dispatchDue = true;
        LogLine(LogLevel::Info, "target_reported")
            .with("target", id)
            .with("token", m_token)
            .with("running", report.running.size())
            .with("ends", report.ended.size());
    }
    processEnds(*target, report, now);
    if (order.sentAt >= target->doubtedAt)
        target->doubtedAt = {};
    reconcileRuns(*target, report, order.sentAt, now);
    settleLostRuns(*target, now); // The target has either crashed or was only silent.
    target->heardBeforeSilence = {};
    target->replaced = false;
    stopStalledRuns(*target, now);
    adjustPaces(*target, now);
    target->nextLookAt = now + (report.ended.empty() ? std::chrono::milliseconds(0) : reportPause);
    wakeBy(now);
}

/**
 * Handles a request for a report that got none. Whatever the reason, the target is as good as silent for its runs:
 * their lease is not renewed and their ends are not seen.
 */
void CellOwner::onReportRefused(CellTarget& target, OrderResult result, Time now)
{
    if (isAnswer(result))
        LogLine(LogLevel::Warning, "report_refused")
            .with("target", target.id())
            .with("result", orderResultName(result))
            .with("runs", target.occupants.size());
    recordCallOutcome(target, result, now);
    if (isAnswer(result))
        countUnanswered(target, now);
    if (result == OrderResult::OtherLife) {
        markReplaced(target, now);
        releaseEndedIncarnation(target, "another incarnation answers at its address", now);
    }
    target.nextLookAt = now + std::clamp(reportRetry * (target.unanswered - 1), reportRetry * 0, maxReportRetry);
}

void CellOwner::processEnds(CellTarget& target, const RunReport& report, Time now)
{
    for (const EndRow& end : report.ended) {
        if (end.number <= target.endsSeen)
            continue;
        target.endsSeen = end.number;
        processEnd(target, end, now);
    }
}

/** Prevents the acknowledgement of an end until the returned function is called with true. */
std::function<void(bool)> CellOwner::deferAcknowledgement(CellTarget& target, std::uint64_t number)
{
    target.endsUnsaved.insert(number);
    return [this, id = target.id(), born = target.reportedBornAt, number](bool saved) {
        CellTarget* found = saved ? findTarget(id) : nullptr;
        if (!found || found->reportedBornAt != born)
            return;
        found->endsUnsaved.erase(number);
        if (found->endsUnsaved.empty())
            scheduleReport(*found, m_eventTime + reportPause);
    };
}

/** Handles the end of a run. It is acknowledged to the target once the job record that includes it is stored. */
void CellOwner::processEnd(CellTarget& target, const EndRow& end, Time now)
{
    m_runEnds.add();
    const auto it = target.occupants.find(end.task);
    const bool known = it != target.occupants.end() && it->second.run == end.run;
    LogLine(LogLevel::Info, "run_ended")
        .with("task", taskText(end.task))
        .with("run", end.run)
        .with("target", target.id())
        .with("how", endKindName(end.kind))
        .with("number", end.number);
    std::string stopReason;
    if (known) {
        stopReason = it->second.stopReason;
        // An end that was reported late, after an unanswered call, is no measure of the target's speed.
        if (const Occupant& occupant = it->second; end.kind == EndKind::Done && !target.mayHaveRestarted()
            && occupant.estimate.count() > 0 && occupant.phase == RunPhase::Running && !occupant.fills
            && !occupant.checkpointing) {
            const double ratio = std::chrono::duration<double>(now - occupant.since).count()
                / std::chrono::duration<double>(occupant.estimate).count();
            /** Averages over about ten tasks, as the estimate of a single task is rough. */
            constexpr double weight = 0.1;
            constexpr double minRunTimeRatio = 0.25; ///< With maxRunTimeRatio, limits the effect of one wrong estimate.
            constexpr double maxRunTimeRatio = 4.0;
            target.slowness += weight * (std::clamp(ratio, minRunTimeRatio, maxRunTimeRatio) - target.slowness);
        }
        learnRunTime(target, end, it->second, now);
        countDisplacementLoss(it->second, end, now);
        target.endedRuns.add({ it->second.image, it->second.startedAt, now });
        target.release(end.task);
    }
    m_dispatchDue = true;
    CellJob* job = findJob(end.task.job);
    TaskState* task = findOpenTask(end.task);
    if (task && !task->done && end.run < task->run && end.kind == EndKind::Done && !findStepSpec(end.task)->lasting) {
        // The run was given up when the lease of its silent target was over, but had been done by then.
        runWhenSaved(*job, deferAcknowledgement(target, end.number));
        stopNewerRuns(*job, end.task, now);
        completeTask(*job, end.task, now);
        return;
    }
    if (!task || task->done || task->run != end.run) {
        // No task depends on this end. If the job has unsaved changes, such as a cancellation, the end is acknowledged
        // only after they are stored, since the next owner would otherwise run the task again.
        if (job && (job->dirty || job->writing))
            (job->dirty ? job->onSaved : job->onWritten).push_back(deferAcknowledgement(target, end.number));
        return;
    }
    // An end that a former owner has already counted stays in the report until it is acknowledged, but the record no
    // longer assigns the task to this target. Only completed work still counts then.
    if (!known && end.kind != EndKind::Done)
        return;
    runWhenSaved(*job, deferAcknowledgement(target, end.number));
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    switch (end.kind) {
    case EndKind::Done:
        m_failures.runDone(target.id(), job->spec.id);
        completeTask(*job, end.task, now);
        return;
    case EndKind::Failed:
        attributeFailure(target, *job, now);
        handleTaskFailure(*job, end.task, target, now);
        return;
    case EndKind::Stopped:
        if (stopReason == "stalled")
            attributeFailure(target, *job, now);
        break;
    case EndKind::Lapsed:
    case EndKind::Broken:
    case EndKind::Alone:
        break;
    }
    requeue(*job, end.task, now);
}

/** Finds out whose fault a failed run is, and shuts targets out or lets them in accordingly. */
void CellOwner::attributeFailure(CellTarget& target, const CellJob& job, Time now)
{
    const ServiceId& service = target.entry.service;
    const auto targets = static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [&](const auto& item) { return item.second->listed && item.second->entry.service == service; }));
    for (const auto& [id, until] : m_failures.runFailed(target.id(), service, job.spec.id, targets, now)) {
        if (CellTarget* changed = findTarget(id))
            changed->quarantinedUntil = until;
        LogLine(LogLevel::Warning, until > now ? "target_shut_out" : "target_let_in")
            .with("target", id)
            .with("job", job.spec.id)
            .with("for_ms", until > now ? toMs(until - now) : 0)
            .with("reason", until > now ? "runs of several jobs failed there" : "the job fails on other targets too");
    }
}

/** Lets the run-time profile learn from a run that is done, unless something else than its target determined its time.
 */
void CellOwner::learnRunTime(CellTarget& target, const EndRow& end, const Occupant& occupant, Time now)
{
    const CellJob* job = findJob(end.task.job);
    if (!job || end.kind != EndKind::Done || occupant.phase != RunPhase::Running || target.mayHaveRestarted())
        return;
    const StepSpec& spec = job->spec.steps[end.task.step];
    const bool recovered = occupant.since <= m_ownedSince; // The time of its start is unknown.
    const bool resumed = spec.checkpointing && end.run > 1;
    const bool remote = !spec.nearRack.empty() && spec.nearRack != target.entry.rack;
    // A gang makes progress at the pace of its slowest member.
    if (spec.estimate.count() <= 0 || spec.fills || spec.lasting || spec.gang || recovered || resumed || remote)
        return;
    StepState& state = *findJob(end.task.job)->step(end.task.stepKey());
    state.longestRun = std::max(state.longestRun, now - occupant.since);
    const double ratio = std::chrono::duration<double>(now - occupant.since) / spec.estimate;
    ExposedRun run { occupant.image, {}, 0, 0, target.serial };
    target.endedRuns.addExposure(run.beside, occupant.since, now);
    for (const auto& [key, other] : target.occupants) {
        if (key != end.task && other.phase != RunPhase::Recording)
            addExposure(run.beside, { other.image, other.startedAt, now }, occupant.since, now);
    }
    // The effect of known neighbours says nothing of the target.
    const double known = m_interference.knownEffect(run.image, run.beside);
    const auto residual = m_runTimes.record(
        RunTimeProfile::groupOf(spec, job->spec.queue), target.speed, ratio * std::exp(-known), now);
    if (!residual)
        return;
    run.residual = *residual + known;
    const auto capacity = std::max<std::int64_t>(1, target.entry.capacity.coresMilli);
    run.load = static_cast<double>(target.used.coresMilli) / static_cast<double>(capacity);
    m_interference.record(run, now);
}

/** Stops the present run of a task, or those of its whole gang, as an earlier run turns out to be done. */
void CellOwner::stopNewerRuns(CellJob& job, const CellTaskKey& key, Time now)
{
    const bool gang = findStepSpec(key)->gang;
    std::vector<TaskState>& tasks = job.step(key.stepKey())->tasks;
    for (std::uint32_t i = gang ? 0 : key.index; i < (gang ? tasks.size() : key.index + 1); ++i) {
        const CellTaskKey member { key.job, key.occurrence, key.step, i };
        CellTarget* target = std::exchange(tasks[i].target, nullptr);
        const auto it = target ? target->occupants.find(member) : decltype(target->occupants.end()) {};
        if (!target || it == target->occupants.end())
            continue;
        if (it->second.phase == RunPhase::Recording)
            target->release(member); // No start order was sent yet.
        else
            beginStop(*target, member, it->second, "an earlier run is done", now);
    }
}

/** Reconciles the runs that a target reports with those that are assigned to it. */
void CellOwner::reconcileRuns(CellTarget& target, const RunReport& report, Time sentAt, Time now)
{
    std::set<CellTaskKey> seen;
    for (const RunRow& row : report.running) {
        const auto it = target.occupants.find(row.task);
        if (it == target.occupants.end() || it->second.run != row.run) {
            stopUnknownRun(target, row, now);
            continue;
        }
        seen.insert(row.task);
        Occupant& occupant = it->second;
        if (occupant.phase == RunPhase::Ordered || occupant.phase == RunPhase::Recovered) {
            occupant.phase = RunPhase::Running;
            occupant.unsure = false;
            occupant.progressAt = now;
            markRunning(row.task.job);
            markBegun(target, row.task, occupant, now);
        }
        if (occupant.confirmedAt == Time {} && occupant.phase == RunPhase::Running)
            occupant.confirmedAt = now;
        if (row.percent > occupant.percent || occupant.pace < 100)
            occupant.progressAt = now;
        occupant.percent = row.percent;
        occupant.gauge = row.gauge;
        clearSuspect(target, row.task, occupant, now);
        if (CellJob* job = row.checkpoint.empty() ? nullptr : findJob(row.task.job)) {
            if (TaskState* task = job->task(row.task))
                task->checkpoint = row.checkpoint;
        }
    }
    if (report.endsCut)
        return;
    const auto vanished = target.tasksWhere([&](const CellTaskKey& key, const Occupant& occupant) {
        const bool confirmedBefore = occupant.confirmedAt != Time {} && occupant.confirmedAt < sentAt;
        return !seen.contains(key) && (confirmedBefore || occupant.phase == RunPhase::Recovered);
    });
    for (const CellTaskKey& key : vanished)
        releaseRun(target, key, "missing from the report", now);
}

/** Stops a run that matches no assignment, such as one of a job that was cancelled under a former owner. */
void CellOwner::stopUnknownRun(CellTarget& target, const RunRow& row, Time now)
{
    if (target.occupants.contains(row.task)) {
        m_hooks.stop(target, row.task, row.run, m_token);
        return;
    }
    Occupant occupant;
    occupant.run = row.run;
    occupant.phase = RunPhase::Running;
    if (CellJob* job = findJob(row.task.job); job && !job->spec.account.empty()) {
        occupant.account = job->spec.account;
        markDirty(*job, now, lazySaveDelay); // The record then names the run, for the next owner.
    }
    if (const StepSpec* spec = findStepSpec(row.task)) {
        occupant.taken = spec->reserved();
        occupant.demand = spec->demand;
    } else
        occupant.sizeUnknown = true; // The specification of a finished job is no longer stored.
    target.occupy(row.task, occupant);
    beginStop(target, row.task, target.occupants.at(row.task), "the run is not assigned to this target", now);
}

/** Stops runs without progress for too long, so that their tasks are placed on other targets. */
void CellOwner::stopStalledRuns(CellTarget& target, Time now)
{
    for (auto& [key, occupant] : target.occupants) {
        const StepSpec* spec = findStepSpec(key);
        CellJob* job = findJob(key.job);
        TaskState* task = job ? job->task(key) : nullptr;
        const bool exempt = occupant.fills || (occupant.lasting && occupant.percent >= 100);
        // Gang members make no progress until all of them have started.
        const auto limit = stallLimit(occupant.estimate, task ? task->stalls : 0)
            + (spec && spec->gang ? m_bounds.gangTimeout : std::chrono::milliseconds(0));
        if (occupant.phase != RunPhase::Running || exempt || now - occupant.progressAt <= limit)
            continue;
        if (task) {
            ++task->stalls;
            task->avoid.insert(target.id());
            beginStop(target, key, occupant, "stalled", now);
        }
    }
}

/** Slows down filling (best-effort) tasks on a target while they raise the tail latency of serving tasks there. */
void CellOwner::adjustPaces(CellTarget& target, Time now)
{
    std::vector<TailReading> tails;
    for (const auto& [key, occupant] : target.occupants) {
        if (!occupant.serves || occupant.phase != RunPhase::Running)
            continue;
        if (const StepSpec* spec = findStepSpec(key))
            tails.push_back({ std::chrono::milliseconds(occupant.gauge), spec->tailTarget });
    }
    if (tails.empty())
        return;
    for (const PaceChange& change : decidePaces(target, tails, m_bounds.impact, now)) {
        Occupant& occupant = target.occupants.at(change.task);
        occupant.paceOpen = true;
        LogLine(LogLevel::Info, "pace")
            .with("task", taskText(change.task))
            .with("target", target.id())
            .with("percent", change.percent)
            .with("before", occupant.pace);
        m_hooks.pace(target, change.task, change.run, change.percent, m_token);
    }
}

} // namespace sp
