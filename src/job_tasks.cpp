/** @file job_tasks.cpp The part of JobService that starts, monitors and ends tasks. */
#include "job_service.h"
#include "log_func.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::seconds leaseExpiryMargin {
        5
    }; ///< Maximum delay of a worker in ending a task after its lease has expired.
    constexpr std::chrono::seconds startRecordRetryDelay { 1 };
    constexpr std::chrono::seconds orphanGracePeriod {
        60
    }; ///< Time before an orphan is stopped, and between repeated stops.
    constexpr std::uint32_t maxMissedReports
        = 2; ///< Number of reports without a task after which it counts as not running.

} // namespace

/** Runs a scheduling round on each owned shard whose records are read and whose hold is firm. */
void JobService::schedule(Time now)
{
    for (auto& [id, shard] : m_shards) {
        if (shard.owned && shard.jobsLoaded && m_context.holdsFirmly(id, now))
            scheduleShard(id, shard, now);
    }
}

/** Runs one scheduling round and carries out its starts and stops. Starts of non-idempotent tasks are recorded first.
 */
void JobService::scheduleShard(const ShardId& shardId, Shard& shard, Time now)
{
    ScheduleRound round = shard.scheduler.schedule(now);
    std::map<JobId, std::vector<TaskId>> toRecord;
    for (const TaskStart& start : round.starts) {
        addActiveTask(shardId, shard, start, now);
        const WorkloadPolicy* policy = m_context.workload(shard.jobs[start.job].record.spec.workload);
        if (policy && policy->idempotent)
            sendStart(shardId, shard, shard.activeTasks[start.task], now);
        else
            toRecord[start.job].push_back(start.task);
    }
    for (const auto& [job, tasks] : toRecord)
        recordAndSendStarts(shardId, job, tasks, now);
    for (const TaskStop& stop : round.stops)
        sendStop(shardId, shard, stop, now);
    finishEndedJobs(shardId, shard, now);
}

/** Adds the active task of a start that the scheduler decided. */
void JobService::addActiveTask(const ShardId& shardId, Shard& shard, const TaskStart& start, Time now)
{
    (void)shardId;
    ActiveTask task;
    task.start = start;
    task.changedAt = now;
    shard.activeTasks[start.task] = task;
    m_context.journal.relate(start.job.value, start.task.value, now);
    m_context.journal.note(
        LogPart::Place, start.task.value, "goes to " + start.worker.value + ": " + start.reason + ".", now);
}

/** Records the starts of non-idempotent tasks in the store and sends them only after the write has succeeded; retried
 * by tick(). */
void JobService::recordAndSendStarts(
    const ShardId& shardId, const JobId& jobId, const std::vector<TaskId>& tasks, Time now)
{
    Shard& shard = m_shards[shardId];
    Job& job = shard.jobs[jobId];
    const auto retryLater = [this, shardId, jobId, tasks](Time at) {
        Shard& current = m_shards[shardId];
        for (const TaskId& task : tasks) {
            if (auto it = current.activeTasks.find(task);
                it != current.activeTasks.end() && it->second.state == StartState::Recording)
                it->second.changedAt = at;
        }
    };
    if (m_context.ownership->level(shardId, now) != HoldLevel::Store || job.writeInFlight) {
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
    job.writeInFlight = true;
    StoreTxn txn;
    txn.compares = { m_context.termCompare(shardId) };
    txn.writes = { { StoreWrite::Kind::Put, jobRecordKey(shardId, jobId), jobRecordJson(job.record), {} } };
    m_context.callStore(txn, [this, shardId, jobId, tasks, retryLater](const StoreReply& reply, Time at) {
        Shard& current = m_shards[shardId];
        auto it = current.jobs.find(jobId);
        if (it == current.jobs.end())
            return;
        it->second.writeInFlight = false;
        // The write is idempotent, so it is also retried after a lost reply.
        if (reply.status != StoreStatus::Ok) {
            retryLater(at);
            return;
        }
        it->second.durable = true;
        for (const TaskId& task : tasks) {
            if (auto active = current.activeTasks.find(task);
                active != current.activeTasks.end() && active->second.state == StartState::Recording)
                sendStart(shardId, current, active->second, at);
        }
    });
}

/** Sends the start call of a task to its worker, or refuses the start if the hold is not firm or the worker or job is
 * gone. */
void JobService::sendStart(const ShardId& shardId, Shard& shard, ActiveTask& task, Time now)
{
    const auto host = m_context.hosts.find(task.start.worker);
    const auto job = shard.jobs.find(task.start.job);
    // The hold is checked on CLOCK_BOOTTIME before each start, because the process may have been paused since the
    // decision.
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
    m_startCalls[call] = { shardId, task.start.task };
    task.state = StartState::Sent;
    task.changedAt = now;
    m_context.emit(
        StartTask { call, task.start.worker, host->second.address(), shardId, m_context.ownership->term(shardId),
            task.start.task, task.start.size, spec.runTime, leaseOf(task.start.job), spec.payload });
}

/** Sends a stop call for an active task. A task whose start was not sent yet is ended at once. */
void JobService::sendStop(const ShardId& shardId, Shard& shard, const TaskStop& stop, Time now)
{
    const auto host = m_context.hosts.find(stop.worker);
    auto task = shard.activeTasks.find(stop.task);
    m_context.journal.note(
        LogPart::Place, stop.task.value, "is stopped on " + stop.worker.value + ": " + stop.reason + ".", now);
    if (task == shard.activeTasks.end())
        return;
    if (task->second.state == StartState::Recording) {
        // The start was not sent, so no worker runs the task.
        endTask(shard, stop.task, TaskEnd::Stopped, {}, now);
        return;
    }
    task->second.stopping = true;
    if (host != m_context.hosts.end())
        m_context.emit(StopTask { m_context.newCall(), stop.worker, host->second.address(), shardId,
            m_context.ownership->term(shardId), stop.task, stop.checkpoint });
}

/** Handles the end of a start call. Returns false if the call is not a start call of this service. */
bool JobService::callEnded(const TargetCallEnded& ended, Time now)
{
    auto node = m_startCalls.extract(ended.call);
    if (node.empty())
        return false;
    const auto [shardId, taskId] = node.mapped();
    Shard& shard = m_shards[shardId];
    auto it = shard.activeTasks.find(taskId);
    if (it == shard.activeTasks.end() || it->second.state != StartState::Sent)
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
        task.state = StartState::OutcomeUnknown;
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

/** Drops a task that certainly did not start, so that the scheduler can place it again. */
void JobService::refuseStart(Shard& shard, const TaskId& task, CallEnd callEnd, Time now)
{
    shard.activeTasks.erase(task);
    shard.scheduler.startRefused(task, callEnd, now);
    m_context.journal.note(
        LogPart::Place, task.value, std::string("was not started: ") + callEndName(callEnd) + ".", now);
}

/** Ends an active task: records its success and passes the end to the scheduler. */
void JobService::endTask(Shard& shard, const TaskId& task, TaskEnd end, const std::string& result, Time now)
{
    static constexpr const char* endNames[] { "succeeded", "failed", "stopped", "is gone with its worker" };
    std::uint32_t index = 0;
    const JobId jobId = jobOfTask(task, index);
    const auto active = shard.activeTasks.find(task);
    const TargetId worker = active == shard.activeTasks.end() ? TargetId() : active->second.start.worker;
    shard.activeTasks.erase(task);
    if (auto it = shard.jobs.find(jobId); it != shard.jobs.end() && end == TaskEnd::Succeeded) {
        it->second.record.finished.insert(index);
        it->second.needsWrite = true;
    }
    m_context.journal.note(LogPart::Place, task.value, std::string(endNames[static_cast<std::size_t>(end)]) + ".", now);
    shard.scheduler.taskEnded(task, end, result, now, worker);
}

/** Returns the task lease of the job's workload, or a default if the job or workload is unknown. */
std::chrono::milliseconds JobService::leaseOf(const JobId& jobId) const
{
    constexpr std::chrono::milliseconds defaultTaskLease { 30000 };
    const auto shard = m_shards.find(shardOfJob(jobId));
    if (shard == m_shards.end())
        return defaultTaskLease;
    const auto job = shard->second.jobs.find(jobId);
    const WorkloadPolicy* policy
        = job == shard->second.jobs.end() ? nullptr : m_context.workload(job->second.record.spec.workload);
    return policy ? policy->taskLease : defaultTaskLease;
}

/** Handles a worker report. A report for another term than the current one is ignored; one that arrives before the job
 * records are read is applied afterwards. */
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
        std::erase_if(
            shard.earlyReports, [&](const TargetReported& earlier) { return earlier.target == report.target; });
        shard.earlyReports.push_back(report);
        return;
    }
    applyReport(report.shard, shard, report, now);
}

/** Applies a worker report: adopts unknown running tasks of known jobs, updates usage, ends finished tasks. */
void JobService::applyReport(const ShardId& shardId, Shard& shard, const TargetReported& report, Time now)
{
    WorkerReports& worker = shard.workers[report.target];
    if (report.sentAt < worker.lastReportSentAt)
        return;
    worker.lastReportSentAt = report.sentAt;
    std::set<TaskId> running;
    std::map<TaskId, Time> orphans;
    for (const RunningTask& task : report.runningTasks) {
        running.insert(task.task);
        auto active = shard.activeTasks.find(task.task);
        if (active == shard.activeTasks.end() && shard.scheduler.adoptRunning(report.target, task, now)) {
            std::uint32_t index = 0;
            const JobId job = jobOfTask(task.task, index);
            ActiveTask adopted;
            adopted.start = { task.task, job, index, report.target, task.size, "reported as running" };
            adopted.state = StartState::Confirmed;
            adopted.changedAt = now;
            active = shard.activeTasks.emplace(task.task, adopted).first;
        }
        if (active == shard.activeTasks.end() || active->second.start.worker != report.target) {
            const auto earlier = worker.orphans.find(task.task);
            orphans[task.task] = earlier == worker.orphans.end() ? now : earlier->second;
            continue;
        }
        shard.scheduler.usageReported(task.task, task.usage, now);
    }
    worker.orphans = std::move(orphans);
    for (const FinishedTask& finished : report.finishedTasks) {
        // A worker lists finished tasks for ten minutes; an entry may belong to an earlier run of a task that runs
        // again.
        const auto active = shard.activeTasks.find(finished.task);
        if (active != shard.activeTasks.end() && active->second.start.worker == report.target
            && active->second.state != StartState::Recording && !running.contains(finished.task))
            endTask(shard, finished.task, finished.end, finished.result, now);
        else if (active == shard.activeTasks.end())
            recordEndDuringRecovery(shard, finished);
    }
    worker.running = running;
    reconcileActive(shard, report, running, now);
    worker.hasReported = true;
    shard.scheduler.setUsable(report.target, true, now);
    if (report.leaving)
        shard.scheduler.setLeaving(report.target, now);
    finishEndedJobs(shardId, shard, now);
}

/** Compares the active tasks of a worker with its report: confirms starts of unknown outcome, and ends tasks that are
 * missing from several reports. */
void JobService::reconcileActive(Shard& shard, const TargetReported& report, const std::set<TaskId>& running, Time now)
{
    std::vector<std::pair<TaskId, StartState>> missingTasks;
    for (auto& [taskId, task] : shard.activeTasks) {
        if (task.start.worker != report.target || task.state == StartState::Recording || task.state == StartState::Sent)
            continue;
        if (running.contains(taskId)) {
            task.missedReports = 0;
            if (task.state == StartState::OutcomeUnknown) {
                task.state = StartState::Confirmed;
                task.changedAt = now;
                shard.scheduler.startConfirmed(taskId, now);
            }
            continue;
        }
        if (report.sentAt > task.changedAt && ++task.missedReports >= maxMissedReports)
            missingTasks.emplace_back(taskId, task.state);
    }
    for (const auto& [taskId, state] : missingTasks) {
        if (state == StartState::OutcomeUnknown && !shard.activeTasks[taskId].stopping)
            refuseStart(shard, taskId, CallEnd::NotConnected, now);
        else
            endTask(shard, taskId, TaskEnd::Gone, {}, now);
    }
}

/** Sets the final phase and result of jobs that have ended and answers the queries that wait for them. */
void JobService::finishEndedJobs(const ShardId& shardId, Shard& shard, Time now)
{
    for (const JobId& jobId : shard.scheduler.takeFinishedJobs()) {
        const auto it = shard.jobs.find(jobId);
        const auto status = shard.scheduler.status(jobId);
        if (it == shard.jobs.end() || !status || it->second.ended)
            continue;
        Job& job = it->second;
        job.ended = true;
        job.endedAt = now;
        job.needsWrite = true;
        job.nextWriteAt = now;
        job.record.phase = status->phase;
        job.record.reason = status->reason;
        job.record.result = status->result;
        m_context.journal.note(
            LogPart::Place, jobId.value, std::string("ended as ") + jobPhaseName(status->phase) + ".", now);
        std::erase_if(m_pendingQueries, [&](const PendingQuery& query) {
            if (query.job != jobId)
                return false;
            answerStatus(query.route, query.id, shardId, jobId, ErrorKind::Ok);
            return true;
        });
    }
}

/** Periodic work: retries reads and writes of records, adopts recovered jobs, expires leases, stops orphans, and
 * answers queries and forwarded messages at their deadlines. */
void JobService::tick(Time now)
{
    for (auto& [id, shard] : m_shards) {
        if (!shard.owned)
            continue;
        if (!shard.jobsLoaded) {
            readJobs(id, shard, now);
            continue;
        }
        std::map<JobId, std::vector<TaskId>> toRecord;
        for (const auto& [taskId, task] : shard.activeTasks) {
            if (task.state == StartState::Recording && now - task.changedAt >= startRecordRetryDelay)
                toRecord[task.start.job].push_back(taskId);
        }
        for (const auto& [job, tasks] : toRecord)
            recordAndSendStarts(id, job, tasks, now);
        if (!shard.recoveringJobs.empty())
            adoptRecovered(id, shard, now);
        expireLeases(id, shard, now);
        stopOrphans(id, shard, now);
        writeChangedRecords(id, shard, now);
    }
    std::erase_if(m_pendingQueries, [&](const PendingQuery& query) {
        if (query.deadline > now)
            return false;
        answerStatus(query.route, query.id, shardOfJob(query.job), query.job, ErrorKind::Ok);
        return true;
    });
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        m_context.refuse(it->second.route, it->first, ErrorKind::AnswerLost, "no answer of the owner");
        it = m_forwarded.erase(it);
    }
}

/** Ends tasks whose worker has not reported for longer than the task's lease and a margin. */
void JobService::expireLeases(const ShardId& shardId, Shard& shard, Time now)
{
    std::vector<TaskId> expiredTasks;
    for (const auto& [taskId, task] : shard.activeTasks) {
        const auto worker = shard.workers.find(task.start.worker);
        const Time lastSeenAt
            = std::max(worker == shard.workers.end() ? Time() : worker->second.lastReportSentAt, task.changedAt);
        if (task.state != StartState::Recording && now - lastSeenAt > leaseOf(task.start.job) + leaseExpiryMargin)
            expiredTasks.push_back(taskId);
    }
    for (const TaskId& task : expiredTasks)
        endTask(shard, task, TaskEnd::Gone, {}, now);
    if (!expiredTasks.empty())
        finishEndedJobs(shardId, shard, now);
}

/** Stops orphans that were reported for a while. Their jobs may be unknown at first, while recovery is under way. */
void JobService::stopOrphans(const ShardId& shardId, Shard& shard, Time now)
{
    for (auto& [target, worker] : shard.workers) {
        for (auto& [task, firstSeenAt] : worker.orphans) {
            if (now - firstSeenAt < orphanGracePeriod)
                continue;
            firstSeenAt = now;
            if (const auto host = m_context.hosts.find(target); host != m_context.hosts.end())
                m_context.emit(StopTask { m_context.newCall(), target, host->second.address(), shardId,
                    m_context.ownership->term(shardId), task, false });
        }
    }
}

} // namespace sp
