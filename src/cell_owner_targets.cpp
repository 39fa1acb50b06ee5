#include "cell_owner.h"

#include "log_line.h"
#include "tail_guard.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int holdPercent = 60; ///< Share of the longest lease: runs on a silent target are taken for ended sooner.
    constexpr std::chrono::milliseconds clockMargin { 300 }; ///< Answers in flight and rounding of clock readings.
    constexpr std::chrono::milliseconds guardedLookWait { 500 }; ///< A tail is a figure of the last half second.
    constexpr double lossWeight = 0.01; ///< Some hundred calls tell how many get no answer.
    constexpr double lossyAbove = 0.02; ///< Sound networks and targets lose far less.
    constexpr std::chrono::milliseconds lossyLookWait { 250 }; ///< Bounds how long a lost answer hides an end.
    constexpr std::chrono::milliseconds lookRetry { 250 }; ///< For each unanswered call but the first, up to a second.
    constexpr std::chrono::milliseconds longestLookRetry {
        1000
    }; ///< A target that is back is noticed within a second.
    constexpr std::chrono::milliseconds evacuationMargin { 600 }; ///< The stop and the look that brings its checkpoint.
    constexpr std::chrono::milliseconds stallTime { 3000 }; ///< A sound task gains a percent well within this time.

} // namespace

std::chrono::milliseconds CellOwner::holdTime() const { return m_bounds.maxHold * holdPercent / 100; }

CellTarget* CellOwner::findTarget(const TargetId& id)
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : it->second.get();
}

CellTarget& CellOwner::targetFor(const TargetId& id)
{
    auto& target = m_targets[id];
    if (!target) {
        target = std::make_unique<CellTarget>();
        target->entry.id = id;
        // A former owner may have left runs there; until its leases have lapsed they may be alive.
        target->lapsesBy = m_begunAt + m_bounds.sessionTtl
            + std::chrono::milliseconds(
                static_cast<std::int64_t>(static_cast<double>(holdTime().count()) / CellTarget::slowestClock))
            + clockMargin;
    }
    return *target;
}

/**
 * Takes in the list of targets that are registered.
 * @param entries All entries that could be read.
 * @param settled Entries that lapsed in an outage of the store had time to come back; a missing one is gone.
 * @param now Present time.
 */
void CellOwner::targetsListed(const std::vector<TargetEntry>& entries, bool settled, Time now)
{
    if (!m_active)
        return;
    m_now = now;
    std::set<TargetId> listed;
    std::map<MachineId, CellTarget*> lives; ///< Present life of each machine.
    for (const TargetEntry& entry : entries) {
        listed.insert(entry.id);
        CellTarget& target = targetFor(entry.id);
        if (!target.listed)
            LogLine(LogLevel::Info, "target_listed")
                .with("target", entry.id)
                .with("machine", entry.machine)
                .with("draining", entry.draining);
        noteDraining(target, entry, now);
        if (target.entry.bornAt != CalendarTime {} && entry.bornAt > target.entry.bornAt)
            beginLife(target, now);
        target.entry = entry;
        target.listed = true;
        if (entry.machine.empty())
            continue;
        if (CellTarget*& life = lives[entry.machine]; !life || life->entry.bornAt < entry.bornAt)
            life = &target;
    }
    for (auto& [id, target] : m_targets) {
        const auto life = lives.find(target->entry.machine);
        if (life != lives.end() && life->second != target.get() && target->entry.bornAt < life->second->entry.bornAt
            && !target->occupants.empty())
            dropLife(*target, "its machine runs another life", now);
        if (settled && target->listed && !listed.contains(id)) {
            target->listed = false;
            LogLine(LogLevel::Warning, "target_missing").with("target", id).with("runs", target->occupants.size());
        }
    }
    m_dispatchDue = true;
    wake(now);
}

/** Takes note of when a draining target may be gone. */
void CellOwner::noteDraining(CellTarget& target, const TargetEntry& entry, Time now)
{
    if (!entry.draining) {
        target.leavesAt = {};
        return;
    }
    if (target.leavesAt != Time {})
        return; // The first time is the safest; later ones are as old as the entry.
    target.leavesAt = now + entry.leavesIn.value_or(m_bounds.drain);
    LogLine(LogLevel::Info, "target_draining")
        .with("target", entry.id)
        .with("leaves_in_ms", toMs(target.leavesAt - now))
        .with("runs", target.occupants.size());
}

/** Takes work that would be lost off a target that leaves, as late as its progress can still be saved. */
void CellOwner::evacuate(CellTarget& target, Time now)
{
    if (target.leavesAt == Time {})
        return;
    const bool lastCall = now >= target.leavesAt - m_bounds.stopTimeout - evacuationMargin;
    for (auto& [key, occupant] : target.occupants) {
        if (occupant.phase == RunPhase::Running && (occupant.lasting || (occupant.checkpointing && lastCall)))
            beginStop(target, key, occupant, "target leaves", now);
    }
}

/**
 * A target has started again under its id: its clock and its list of ends begin anew. Its next report tells what it
 * runs, since an order may have reached the new life before the owner knew of it.
 */
void CellOwner::beginLife(CellTarget& target, Time now)
{
    LogLine(LogLevel::Warning, "target_restarted").with("target", target.id()).with("runs", target.occupants.size());
    target.reported = false;
    target.endsSeen = 0;
    target.endsAcknowledged = 0;
    target.endsUnsaved.clear();
    target.clockSeenAt = {};
    target.clock = {};
    target.leaseSent = {};
    target.lapsesBy = now + m_bounds.maxHold + clockMargin; // Lease times on the former clock mean the longest lease.
    target.badEnds = 0;
    target.quarantinedUntil = {};
    target.lookOpen = false;
    target.nextLookAt = now;
    for (auto& [key, occupant] : target.occupants) {
        if (occupant.unsure) // The order may yet be carried out by the new life.
            beginStop(target, key, occupant, "the target has started again", now);
    }
}

/** A life of a target is certainly over, and another one has its machine: all that ran there has ended. */
void CellOwner::dropLife(CellTarget& target, const char* reason, Time now)
{
    const auto lost = target.tasksWhere([](const CellTaskKey&, const Occupant& occupant) {
        return occupant.phase != RunPhase::Recording && !(occupant.phase == RunPhase::Ordered && occupant.orderOpen);
    });
    for (const CellTaskKey& key : lost)
        runGone(target, key, reason, now);
}

/** A run has certainly ended without an end that counts, or was never begun. */
void CellOwner::runGone(CellTarget& target, const CellTaskKey& key, const char* reason, Time now)
{
    const auto it = target.occupants.find(key);
    if (it == target.occupants.end())
        return;
    const std::uint32_t run = it->second.run;
    LogLine(LogLevel::Info, "run_gone")
        .with("task", taskText(key))
        .with("run", run)
        .with("target", target.id())
        .with("reason", reason);
    target.release(key);
    requeueIfAlive(key, run, now);
}

void CellOwner::requeueIfAlive(const CellTaskKey& key, std::uint32_t run, Time now)
{
    if (const TaskState* task = openTask(key); task && !task->done && task->run == run)
        requeue(*find(key.job), key, now);
    m_dispatchDue = true;
    wake(now);
}

/** What a call tells of the way to a target and its data centre. @param result Outcome of the call. */
void CellOwner::noteReach(CellTarget& target, OrderResult result)
{
    const bool answered = result != OrderResult::Lost && result != OrderResult::NotSent;
    Reach& reach = m_reach[target.entry.dataCentre];
    if (answered) {
        if (reach.suspect())
            LogLine(LogLevel::Info, "data_centre_answers").with("data_centre", target.entry.dataCentre);
        reach.unanswered = 0;
    } else if (++reach.unanswered == Reach::suspectAfterCalls) {
        LogLine(LogLevel::Warning, "data_centre_silent").with("data_centre", target.entry.dataCentre);
    }
    if (!target.silent()) // Calls to targets that are known to be away say nothing of the others.
        m_lossRate += lossWeight * ((answered ? 0.0 : 1.0) - m_lossRate);
    target.missedAnswer |= !answered;
    if (!answered && ++target.unanswered == CellTarget::silentAfterCalls)
        LogLine(LogLevel::Warning, "target_silent").with("target", target.id()).with("runs", target.occupants.size());
}

/** Whether a target may get new work as far as its data centre is concerned. */
bool CellOwner::reachable(const CellTarget& target) const
{
    const auto it = m_reach.find(target.entry.dataCentre);
    if (it == m_reach.end() || !it->second.suspect())
        return true;
    // If no data centre answers, the fault is more likely here, and waiting would help nobody.
    return std::all_of(m_reach.begin(), m_reach.end(), [](const auto& entry) { return entry.second.suspect(); });
}

void CellOwner::lookSoon(CellTarget& target, Time at) { target.nextLookAt = std::min(target.nextLookAt, at); }

void CellOwner::look(CellTarget& target, Time now)
{
    LookOrder order;
    order.token = m_token;
    order.sentAt = now;
    order.endsAcknowledged = target.endsSaved();
    // A silent target gets no longer lease, so that what runs there can be taken for ended once the last one is over.
    if (target.clockSeenAt != Time {} && !target.silent()) {
        order.leaseUntil = target.clockAtLeast(now) + holdTime();
        target.leaseSent = std::max(target.leaseSent, *order.leaseUntil);
    }
    const bool serving = std::any_of(
        target.occupants.begin(), target.occupants.end(), [](const auto& entry) { return entry.second.serves; });
    const bool filled = std::any_of(
        target.occupants.begin(), target.occupants.end(), [](const auto& entry) { return entry.second.fills; });
    if (target.reported && !target.occupants.empty() && !target.silent())
        order.wait = std::min({ serving && filled ? guardedLookWait : lookWait,
            m_lossRate > lossyAbove ? lossyLookWait : lookWait, m_bounds.maxWait });
    target.lookOpen = true;
    m_looks.add();
    m_hooks.look(target, order);
}

/** Sends the orders to one target that are due. */
void CellOwner::sweepTarget(CellTarget& target, Time now)
{
    if (target.heardAt != Time {} && target.lapsed(now) && target.silent()) {
        const auto lapsed = target.tasksWhere(
            [](const CellTaskKey&, const Occupant& occupant) { return occupant.phase != RunPhase::Recording; });
        for (const CellTaskKey& key : lapsed)
            runGone(target, key, "lease lapsed", now);
        target.reported = target.reported && lapsed.empty();
    }
    // A target that never answered: what a former owner left there.
    if (target.heardAt == Time {} && now >= target.lapsesBy) {
        for (const CellTaskKey& key : target.tasksWhere([](const CellTaskKey&, const Occupant&) { return true; }))
            runGone(target, key, "lease of a former owner lapsed", now);
    }
    if (!m_mayOrder || target.entry.address.empty())
        return;
    evacuate(target, now);
    for (auto& [key, occupant] : target.occupants) {
        if (occupant.orderOpen || now < occupant.retryAt)
            continue;
        // Without a report the target's clock is not known, and so no end of the lease can be named.
        if (occupant.phase == RunPhase::Ordered && occupant.confirmedAt == Time {} && target.reported)
            orderStart(target, key, occupant, now);
        else if (occupant.phase == RunPhase::Stopping && occupant.confirmedAt == Time {})
            orderStop(target, key, occupant);
    }
    const bool ends = target.endsSaved() > target.endsAcknowledged;
    const bool needed = !target.reported || !target.occupants.empty() || ends || target.silent();
    if (!target.lookOpen && now >= target.nextLookAt && needed)
        look(target, now);
}

/** Takes a target's report, or the lack of one. */
void CellOwner::onReport(
    const TargetId& id, const LookOrder& order, const OrderAnswer& answer, const RunReport& report, Time now)
{
    m_now = now;
    CellTarget* target = m_active ? findTarget(id) : nullptr;
    if (!target || order.token != m_token)
        return;
    target->lookOpen = false;
    if (answer.result == OrderResult::Fenced) {
        m_hooks.superseded("target " + id.value + " has seen a higher token");
        return;
    }
    noteReach(*target, answer.result);
    if (answer.result != OrderResult::Done) {
        target->nextLookAt = now + std::min(longestLookRetry, lookRetry * (target->unanswered - 1));
        return;
    }
    if (report.bornAt != CalendarTime {} && report.bornAt < target->reportedBornAt)
        return; // A late answer of a life that is over.
    if (target->reportedBornAt != CalendarTime {} && report.bornAt > target->reportedBornAt)
        beginLife(*target, now);
    if (target->silent())
        LogLine(LogLevel::Info, "target_back").with("target", id);
    target->sawClock(report.clock, now);
    target->reportedBornAt = report.bornAt;
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
    takeEnds(*target, report, now);
    target->missedAnswer = false;
    takeRuns(*target, report, order.sentAt, now);
    checkStall(*target, now);
    guardTails(*target, now);
    target->nextLookAt = now + (report.ended.empty() ? std::chrono::milliseconds(0) : lookPause);
    wake(now);
}

void CellOwner::takeEnds(CellTarget& target, const RunReport& report, Time now)
{
    for (const EndRow& end : report.ended) {
        if (end.number <= target.endsSeen)
            continue;
        target.endsSeen = end.number;
        takeEnd(target, end, now);
    }
}

/** Holds an end back from acknowledgement until the returned function is called. */
std::function<void(bool)> CellOwner::acknowledgement(CellTarget& target, std::uint64_t number)
{
    target.endsUnsaved.insert(number);
    return [this, id = target.id(), born = target.reportedBornAt, number](bool saved) {
        CellTarget* found = saved ? findTarget(id) : nullptr;
        if (!found || found->reportedBornAt != born)
            return;
        found->endsUnsaved.erase(number);
        if (found->endsUnsaved.empty())
            lookSoon(*found, m_now + lookPause);
    };
}

/** Takes one end. It is acknowledged once the job's record that counts it is in the store. */
void CellOwner::takeEnd(CellTarget& target, const EndRow& end, Time now)
{
    m_ends.add();
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
        // An end that an unanswered call has hidden for a while tells nothing of the target's speed.
        if (const Occupant& occupant = it->second; end.kind == EndKind::Done && !target.missedAnswer
            && occupant.estimate.count() > 0 && occupant.phase == RunPhase::Running && !occupant.fills
            && !occupant.checkpointing) {
            const double ratio = std::chrono::duration<double>(now - occupant.since).count()
                / std::chrono::duration<double>(occupant.estimate).count();
            constexpr double weight
                = 0.1; ///< Estimates of single tasks are rough; some ten of them tell a slow target.
            target.slowness += weight * (std::clamp(ratio, 0.25, 4.0) - target.slowness);
        }
        target.release(end.task);
    }
    m_dispatchDue = true;
    CellJob* job = find(end.task.job);
    TaskState* task = openTask(end.task);
    if (!task || task->done || task->run != end.run) {
        // Nothing depends on this end any more, once the store knows it, too.
        if (job && (job->dirty || job->writing))
            (job->dirty ? job->onSaved : job->onWritten).push_back(acknowledgement(target, end.number));
        return;
    }
    // An end that a former owner has counted is listed again until it is acknowledged; the record no longer names the
    // target then. Work that was done there counts all the same.
    if (!known && end.kind != EndKind::Done)
        return;
    runWhenSaved(*job, acknowledgement(target, end.number));
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    switch (end.kind) {
    case EndKind::Done:
        target.runDone();
        taskDone(*job, end.task, now);
        return;
    case EndKind::Failed:
        target.runBad(now);
        taskFailed(*job, end.task, target, now);
        return;
    case EndKind::Stopped:
        if (stopReason == "stalled")
            target.runBad(now);
        break;
    case EndKind::Lapsed:
    case EndKind::Broken:
    case EndKind::Alone:
        break;
    }
    requeue(*job, end.task, now);
}

/** Compares the runs that a target reports with those that are expected there. */
void CellOwner::takeRuns(CellTarget& target, const RunReport& report, Time sentAt, Time now)
{
    std::set<CellTaskKey> seen;
    for (const RunRow& row : report.running) {
        const auto it = target.occupants.find(row.task);
        if (it == target.occupants.end() || it->second.run != row.run) {
            stopForeign(target, row, now);
            continue;
        }
        seen.insert(row.task);
        Occupant& occupant = it->second;
        if (occupant.phase == RunPhase::Ordered || occupant.phase == RunPhase::Recovered) {
            occupant.phase = RunPhase::Running;
            occupant.unsure = false;
            occupant.progressAt = now;
            noteBegun(row.task.job);
        }
        if (occupant.confirmedAt == Time {} && occupant.phase == RunPhase::Running)
            occupant.confirmedAt = now;
        if (row.percent > occupant.percent || occupant.pace < 100)
            occupant.progressAt = now;
        occupant.percent = row.percent;
        occupant.gauge = row.gauge;
        if (CellJob* job = row.checkpoint.empty() ? nullptr : find(row.task.job)) {
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
        runGone(target, key, "not there", now);
}

/** Stops a run that no record asks for, such as one of a job that was cancelled under a former owner. */
void CellOwner::stopForeign(CellTarget& target, const RunRow& row, Time now)
{
    if (target.occupants.contains(row.task)) {
        m_hooks.stop(target, row.task, row.run, m_token);
        return;
    }
    Occupant occupant;
    occupant.run = row.run;
    occupant.phase = RunPhase::Running;
    if (const StepSpec* spec = specOf(row.task))
        occupant.taken = spec->reserved();
    else
        occupant.sizeUnknown = true; // It went with the specification of a job that has ended.
    target.occupy(row.task, occupant);
    beginStop(target, row.task, target.occupants.at(row.task), "not asked for", now);
}

/** Stops runs that have stood still for too long, so that their tasks go elsewhere. */
void CellOwner::checkStall(CellTarget& target, Time now)
{
    for (auto& [key, occupant] : target.occupants) {
        const StepSpec* spec = specOf(key);
        const bool exempt = occupant.fills || (occupant.lasting && occupant.percent >= 100);
        // The members of a gang make no progress before all of them are there.
        const auto limit = spec && spec->gang ? stallTime + m_bounds.gangTimeout : stallTime;
        if (occupant.phase != RunPhase::Running || exempt || now - occupant.progressAt <= limit)
            continue;
        CellJob* job = find(key.job);
        if (TaskState* task = job ? job->task(key) : nullptr) {
            task->avoid.insert(target.id());
            beginStop(target, key, occupant, "stalled", now);
        }
    }
}

/** Slows down tasks that fill where they harm tasks that serve. */
void CellOwner::guardTails(CellTarget& target, Time now)
{
    std::vector<TailReading> tails;
    for (const auto& [key, occupant] : target.occupants) {
        if (!occupant.serves || occupant.phase != RunPhase::Running)
            continue;
        if (const StepSpec* spec = specOf(key))
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
