/** @file job_tasks.cpp The part of JobService that starts, follows and ends tasks. */
#include "job_service.h"
#include "log_func.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::seconds leaseMargin { 5 }; ///< A worker ends a task at most this late after its lease.
    constexpr std::chrono::seconds recordRetry { 1 };
    constexpr std::chrono::seconds orphanPatience { 60 };
    constexpr std::uint32_t reportsToMiss = 2; ///< A task is not running after this many later reports without it.

} // namespace

/** Places waiting tasks on all firmly held shards. @param now Present time. */
void JobService::schedule(Time now)
{
    for (auto& [id, shard] : m_shards) {
        if (shard.owned && shard.jobsLoaded && m_context.holdsFirmly(id, now))
            scheduleShard(id, shard, now);
    }
}

void JobService::scheduleShard(const ShardId& shardId, Shard& shard, Time now)
{
    ScheduleRound round = shard.scheduler.schedule(now);
    std::map<JobId, std::vector<TaskId>> toRecord;
    for (const TaskStart& start : round.starts) {
        beginStart(shardId, shard, start, now);
        const WorkloadPolicy* policy = m_context.workload(shard.jobs[start.job].record.spec.workload);
        if (policy && policy->idempotent)
            sendStart(shardId, shard, shard.active[start.task], now);
        else
            toRecord[start.job].push_back(start.task);
    }
    for (const auto& [job, tasks] : toRecord)
        recordStarts(shardId, job, tasks, now);
    for (const TaskStop& stop : round.stops)
        sendStop(shardId, shard, stop, now);
    collectFinished(shardId, shard, now);
}

void JobService::beginStart(const ShardId& shardId, Shard& shard, const TaskStart& start, Time now)
{
    (void)shardId;
    ActiveTask task;
    task.start = start;
    task.changedAt = now;
    shard.active[start.task] = task;
    m_context.journal.relate(start.job.value, start.task.value, now);
    m_context.journal.note(
        LogPart::Place, start.task.value, "goes to " + start.worker.value + ": " + start.reason + ".", now);
}

/** Records the start of non-idempotent tasks before they are sent; without the record nothing is sent. */
void JobService::recordStarts(const ShardId& shardId, const JobId& jobId, const std::vector<TaskId>& tasks, Time now)
{
    Shard& shard = m_shards[shardId];
    Job& job = shard.jobs[jobId];
    const auto retryLater = [this, shardId, jobId, tasks](Time at) {
        Shard& current = m_shards[shardId];
        for (const TaskId& task : tasks) {
            if (auto it = current.active.find(task);
                it != current.active.end() && it->second.state == StartState::Recording)
                it->second.changedAt = at;
        }
    };
    if (m_context.ownership->level(shardId, now) != HoldLevel::Store || job.writing) {
        retryLater(now);
        return;
    }
    for (const TaskId& task : tasks) {
        std::uint32_t index = 0;
        jobOfTask(task, index);
        job.record.started.insert(index);
    }
    job.record.token = m_context.newToken();
    job.record.term = m_context.ownership->term(shardId);
    job.writing = true;
    StoreTxn txn;
    txn.compares = { m_context.termCompare(shardId) };
    txn.writes = { { StoreWrite::Kind::Put, jobRecordKey(shardId, jobId), jobRecordJson(job.record), {} } };
    m_context.callStore(txn, [this, shardId, jobId, tasks, retryLater](const StoreReply& reply, Time at) {
        Shard& current = m_shards[shardId];
        auto it = current.jobs.find(jobId);
        if (it == current.jobs.end())
            return;
        it->second.writing = false;
        // A repeated write of the same record is harmless, so a lost answer is simply tried again.
        if (reply.status != StoreStatus::Ok) {
            retryLater(at);
            return;
        }
        it->second.durable = true;
        for (const TaskId& task : tasks) {
            if (auto active = current.active.find(task);
                active != current.active.end() && active->second.state == StartState::Recording)
                sendStart(shardId, current, active->second, at);
        }
    });
}

void JobService::sendStart(const ShardId& shardId, Shard& shard, ActiveTask& task, Time now)
{
    const auto host = m_context.hosts.find(task.start.worker);
    const auto job = shard.jobs.find(task.start.job);
    // The hold is checked on CLOCK_BOOTTIME before each start: the process may have been paused since the decision.
    if (host == m_context.hosts.end() || job == shard.jobs.end() || !shard.owned
        || !m_context.holdsFirmly(shardId, now)) {
        refuseStart(shard, TaskId(task.start.task), CallEnd::NotConnected, now);
        return;
    }
    const JobSpec& spec = job->second.record.spec;
    m_context.metrics
        ->histogram("sp_wait_seconds{class=\"task\"}", "Wait from the submission of a job to the start of a task.")
        .record(now - spec.submittedAt);
    m_context.metrics->counter("sp_task_starts_total", "Starts of tasks sent to workers.").add();
    const CallId call = m_context.newCall();
    m_calls[call] = { shardId, task.start.task };
    task.state = StartState::Sent;
    task.changedAt = now;
    m_context.emit(
        StartTask { call, task.start.worker, host->second.address(), shardId, m_context.ownership->term(shardId),
            task.start.task, task.start.size, spec.runTime, leaseOf(task.start.job), spec.payload });
}

void JobService::sendStop(const ShardId& shardId, Shard& shard, const TaskStop& stop, Time now)
{
    const auto host = m_context.hosts.find(stop.worker);
    auto task = shard.active.find(stop.task);
    m_context.journal.note(
        LogPart::Place, stop.task.value, "is stopped on " + stop.worker.value + ": " + stop.reason + ".", now);
    if (task == shard.active.end())
        return;
    if (task->second.state == StartState::Recording) {
        // Its start was never sent.
        endTask(shard, stop.task, TaskEnd::Stopped, {}, now);
        return;
    }
    task->second.stopping = true;
    if (host != m_context.hosts.end())
        m_context.emit(StopTask { m_context.newCall(), stop.worker, host->second.address(), shardId,
            m_context.ownership->term(shardId), stop.task, stop.checkpoint });
}

/** Takes the end of a start call. @param ended End. @param now Present time. @return False if the call is not a task's.
 */
bool JobService::callEnded(const TargetCallEnded& ended, Time now)
{
    auto node = m_calls.extract(ended.call);
    if (node.empty())
        return false;
    const auto [shardId, taskId] = node.mapped();
    Shard& shard = m_shards[shardId];
    auto it = shard.active.find(taskId);
    if (it == shard.active.end() || it->second.state != StartState::Sent)
        return true;
    ActiveTask& task = it->second;
    switch (ended.end) {
    case CallEnd::Completed:
        task.state = StartState::Confirmed;
        task.changedAt = now;
        shard.scheduler.startConfirmed(taskId, now);
        break;
    case CallEnd::Failed:
    case CallEnd::Lost:
        task.state = StartState::Lost;
        task.changedAt = now;
        break;
    default:
        if (ended.end == CallEnd::RefusedLeaving)
            shard.scheduler.setLeaving(task.start.worker, now);
        refuseStart(shard, taskId, ended.end, now);
        break;
    }
    return true;
}

void JobService::refuseStart(Shard& shard, const TaskId& task, CallEnd how, Time now)
{
    shard.active.erase(task);
    shard.scheduler.startRefused(task, how, now);
    m_context.journal.note(LogPart::Place, task.value, std::string("was not started: ") + callEndName(how) + ".", now);
}

void JobService::endTask(Shard& shard, const TaskId& task, TaskEnd end, const std::string& result, Time now)
{
    static constexpr const char* names[] { "succeeded", "failed", "stopped", "is gone with its worker" };
    std::uint32_t index = 0;
    const JobId jobId = jobOfTask(task, index);
    const auto active = shard.active.find(task);
    const TargetId worker = active == shard.active.end() ? TargetId() : active->second.start.worker;
    shard.active.erase(task);
    if (auto it = shard.jobs.find(jobId); it != shard.jobs.end() && end == TaskEnd::Succeeded) {
        it->second.record.finished.insert(index);
        it->second.dirty = true;
    }
    m_context.journal.note(LogPart::Place, task.value, std::string(names[static_cast<std::size_t>(end)]) + ".", now);
    shard.scheduler.taskEnded(task, end, result, now, worker);
}

std::chrono::milliseconds JobService::leaseOf(const JobId& jobId) const
{
    constexpr std::chrono::milliseconds standardLease { 30000 };
    const auto shard = m_shards.find(shardOfJob(jobId));
    if (shard == m_shards.end())
        return standardLease;
    const auto job = shard->second.jobs.find(jobId);
    const WorkloadPolicy* policy
        = job == shard->second.jobs.end() ? nullptr : m_context.workload(job->second.record.spec.workload);
    return policy ? policy->taskLease : standardLease;
}

/** Takes a report of a worker. @param report Report. @param now Present time. */
void JobService::reported(const TargetReported& report, Time now)
{
    auto it = m_shards.find(report.shard);
    if (it == m_shards.end() || !it->second.owned || report.term != m_context.ownership->term(report.shard))
        return;
    Shard& shard = it->second;
    if (report.silent) {
        shard.scheduler.setUsable(report.target, false, now);
        return;
    }
    if (!shard.jobsLoaded) {
        std::erase_if(shard.early, [&](const TargetReported& earlier) { return earlier.target == report.target; });
        shard.early.push_back(report);
        return;
    }
    applyReport(report.shard, shard, report, now);
}

void JobService::applyReport(const ShardId& shardId, Shard& shard, const TargetReported& report, Time now)
{
    Worker& worker = shard.workers[report.target];
    if (report.sentAt < worker.lastReport)
        return;
    worker.lastReport = report.sentAt;
    std::set<TaskId> running;
    std::map<TaskId, Time> orphans;
    for (const RunningTask& task : report.runningTasks) {
        running.insert(task.task);
        auto active = shard.active.find(task.task);
        if (active == shard.active.end() && shard.scheduler.adoptRunning(report.target, task, now)) {
            std::uint32_t index = 0;
            const JobId job = jobOfTask(task.task, index);
            ActiveTask adopted;
            adopted.start = { task.task, job, index, report.target, task.size, "reported as running" };
            adopted.state = StartState::Confirmed;
            adopted.changedAt = now;
            active = shard.active.emplace(task.task, adopted).first;
        }
        if (active == shard.active.end() || active->second.start.worker != report.target) {
            const auto earlier = worker.orphans.find(task.task);
            orphans[task.task] = earlier == worker.orphans.end() ? now : earlier->second;
            continue;
        }
        shard.scheduler.usageReported(task.task, task.usage, now);
    }
    worker.orphans = std::move(orphans);
    for (const FinishedTask& finished : report.finishedTasks) {
        // A worker lists finished tasks for ten minutes; only the end of the present run counts.
        const auto active = shard.active.find(finished.task);
        if (active != shard.active.end() && active->second.start.worker == report.target
            && active->second.state != StartState::Recording && !running.contains(finished.task))
            endTask(shard, finished.task, finished.end, finished.result, now);
        else if (active == shard.active.end())
            noteRecoveredEnd(shard, finished);
    }
    worker.running = running;
    reconcileActive(shard, report, running, now);
    worker.answered = true;
    shard.scheduler.setUsable(report.target, true, now);
    if (report.leaving)
        shard.scheduler.setLeaving(report.target, now);
    collectFinished(shardId, shard, now);
}

/** Compares what should run on a worker with what it reports. */
void JobService::reconcileActive(Shard& shard, const TargetReported& report, const std::set<TaskId>& running, Time now)
{
    std::vector<std::pair<TaskId, StartState>> missing;
    for (auto& [taskId, task] : shard.active) {
        if (task.start.worker != report.target || task.state == StartState::Recording || task.state == StartState::Sent)
            continue;
        if (running.contains(taskId)) {
            task.missing = 0;
            if (task.state == StartState::Lost) {
                task.state = StartState::Confirmed;
                task.changedAt = now;
                shard.scheduler.startConfirmed(taskId, now);
            }
            continue;
        }
        if (report.sentAt > task.changedAt && ++task.missing >= reportsToMiss)
            missing.emplace_back(taskId, task.state);
    }
    for (const auto& [taskId, state] : missing) {
        if (state == StartState::Lost && !shard.active[taskId].stopping)
            refuseStart(shard, taskId, CallEnd::NotConnected, now);
        else
            endTask(shard, taskId, TaskEnd::Gone, {}, now);
    }
}

/** Moves ended jobs to their final record and answers who waits for them. */
void JobService::collectFinished(const ShardId& shardId, Shard& shard, Time now)
{
    for (const JobId& jobId : shard.scheduler.takeFinishedJobs()) {
        const auto it = shard.jobs.find(jobId);
        const auto status = shard.scheduler.status(jobId);
        if (it == shard.jobs.end() || !status || it->second.ended)
            continue;
        Job& job = it->second;
        job.ended = true;
        job.endedAt = now;
        job.dirty = true;
        job.nextWrite = now;
        job.record.phase = status->phase;
        job.record.reason = status->reason;
        job.record.result = status->result;
        m_context.journal.note(
            LogPart::Place, jobId.value, std::string("ended as ") + jobPhaseName(status->phase) + ".", now);
        std::erase_if(m_waiters, [&](const Waiter& waiter) {
            if (waiter.job != jobId)
                return false;
            answerStatus(waiter.route, waiter.id, shardId, jobId, ErrorKind::Ok);
            return true;
        });
    }
}

/** Retries records, ends waits, expires leases, stops orphans. @param now Present time. */
void JobService::tick(Time now)
{
    for (auto& [id, shard] : m_shards) {
        if (!shard.owned)
            continue;
        if (!shard.jobsLoaded) {
            loadJobs(id, shard, now);
            continue;
        }
        std::map<JobId, std::vector<TaskId>> toRecord;
        for (const auto& [taskId, task] : shard.active) {
            if (task.state == StartState::Recording && now - task.changedAt >= recordRetry)
                toRecord[task.start.job].push_back(taskId);
        }
        for (const auto& [job, tasks] : toRecord)
            recordStarts(id, job, tasks, now);
        if (!shard.recovering.empty())
            adoptRecovered(id, shard, now);
        expireLeases(id, shard, now);
        stopOrphans(id, shard, now);
        saveJobs(id, shard, now);
    }
    std::erase_if(m_waiters, [&](const Waiter& waiter) {
        if (waiter.until > now)
            return false;
        answerStatus(waiter.route, waiter.id, shardOfJob(waiter.job), waiter.job, ErrorKind::Ok);
        return true;
    });
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        m_context.refuse(it->second.route, it->first, ErrorKind::AnswerLost, "no answer of the owner");
        it = m_forwarded.erase(it);
    }
}

/** Ends the tasks of workers that have not answered for longer than the tasks' leases. */
void JobService::expireLeases(const ShardId& shardId, Shard& shard, Time now)
{
    std::vector<TaskId> gone;
    for (const auto& [taskId, task] : shard.active) {
        const auto worker = shard.workers.find(task.start.worker);
        const Time heard = std::max(worker == shard.workers.end() ? Time() : worker->second.lastReport, task.changedAt);
        if (task.state != StartState::Recording && now - heard > leaseOf(task.start.job) + leaseMargin)
            gone.push_back(taskId);
    }
    for (const TaskId& task : gone)
        endTask(shard, task, TaskEnd::Gone, {}, now);
    if (!gone.empty())
        collectFinished(shardId, shard, now);
}

/** Stops tasks that no job knows, once an owner has had time to learn of them. */
void JobService::stopOrphans(const ShardId& shardId, Shard& shard, Time now)
{
    for (auto& [target, worker] : shard.workers) {
        for (auto& [task, since] : worker.orphans) {
            if (now - since < orphanPatience)
                continue;
            since = now;
            if (const auto host = m_context.hosts.find(target); host != m_context.hosts.end())
                m_context.emit(StopTask { m_context.newCall(), target, host->second.address(), shardId,
                    m_context.ownership->term(shardId), task, false });
        }
    }
}

} // namespace sp
