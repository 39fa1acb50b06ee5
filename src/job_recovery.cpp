/** @file job_recovery.cpp The part of JobService that writes job records and recovers a shard's jobs after a claim. */
#include "job_service.h"
#include "log_func.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::seconds minProgressWriteInterval {
        10
    }; ///< Minimum interval between progress writes of one job.
    constexpr std::chrono::seconds writeRetryDelay { 1 };
    constexpr std::chrono::milliseconds readRetryDelay { 500 };
    constexpr std::chrono::hours endedJobRetention {
        24
    }; ///< How long ended jobs are kept for status queries and duplicate detection.
    constexpr std::chrono::seconds leaseExpiryMargin {
        5
    }; ///< Maximum delay of a worker in ending a task after its lease has expired.
    constexpr std::size_t maxWritesPerTick
        = 4; ///< Per shard; limits the write rate when many records are pending after a store outage.

} // namespace

/** Writes changed records and deletes ended jobs after the retention time. */
void JobService::writeChangedRecords(const ShardId& shardId, Shard& shard, Time now)
{
    const bool storeUsable = m_context.ownership->level(shardId, now) == HoldLevel::Store;
    std::size_t writes = 0;
    for (auto it = shard.jobs.begin(); it != shard.jobs.end();) {
        auto& [jobId, job] = *it;
        if (job.ended && !job.needsWrite && now - job.endedAt > endedJobRetention && storeUsable) {
            StoreTxn txn;
            txn.compares = { m_context.termCompare(shardId) };
            txn.writes = { { StoreWrite::Kind::Delete, jobRecordKey(shardId, jobId), {}, {} } };
            m_context.callStore(txn);
            shard.scheduler.forget(jobId);
            it = shard.jobs.erase(it);
            continue;
        }
        if (job.needsWrite && !job.writeInFlight && storeUsable && now >= job.nextWriteAt
            && writes < maxWritesPerTick) {
            ++writes;
            writeRecord(shardId, jobId, now);
        }
        ++it;
    }
}

/** Writes the record of a job under the current term; a failed write is retried later by writeChangedRecords(). */
void JobService::writeRecord(const ShardId& shardId, const JobId& jobId, Time now)
{
    Job& job = m_shards[shardId].jobs[jobId];
    job.writeInFlight = true;
    job.needsWrite = false;
    job.nextWriteAt = now + minProgressWriteInterval;
    job.record.term = m_context.ownership->term(shardId);
    StoreTxn txn;
    txn.compares = { m_context.termCompare(shardId) };
    txn.writes = { { StoreWrite::Kind::Put, jobRecordKey(shardId, jobId), jobRecordJson(job.record), {} } };
    m_context.callStore(txn, [this, shardId, jobId](const StoreReply& reply, Time at) {
        Shard& shard = m_shards[shardId];
        auto it = shard.jobs.find(jobId);
        if (it == shard.jobs.end())
            return;
        it->second.writeInFlight = false;
        if (reply.status == StoreStatus::Ok) {
            it->second.durable = true;
        } else {
            it->second.needsWrite = true;
            it->second.nextWriteAt = at + writeRetryDelay;
        }
    });
}

/** Starts to read the job records of a shard after a claim, unless a read is in flight or the retry delay has not
 * passed. */
void JobService::readJobs(const ShardId& shardId, Shard& shard, Time now)
{
    if (shard.readInFlight || now < shard.nextReadAt)
        return;
    shard.readInFlight = true;
    m_context.callStore(StoreRange { jobRecordPrefix(shardId), true, {} },
        [this, shardId](const StoreReply& reply, Time at) { handleJobsRead(shardId, reply, at); });
}

/** Handles the job records read after a claim, then applies the reports that arrived before them. */
void JobService::handleJobsRead(const ShardId& shardId, const StoreReply& reply, Time now)
{
    Shard& shard = m_shards[shardId];
    shard.readInFlight = false;
    if (!shard.owned || shard.jobsLoaded)
        return;
    if (reply.status != StoreStatus::Ok) {
        shard.nextReadAt = now + readRetryDelay;
        return;
    }
    for (const StoreKeyValue& entry : reply.values) {
        auto record = parseJobRecord(entry.value);
        if (!record) {
            logWarning(LogPart::Place, "Job record " + entry.key + " is malformed; skipping it.");
            continue;
        }
        Job job;
        job.durable = true;
        job.record = *record;
        job.record.spec.submittedAt = now;
        if (record->phase > JobPhase::Running) {
            job.ended = true;
            job.endedAt = now;
        }
        shard.jobs[record->spec.id] = std::move(job);
        if (record->phase <= JobPhase::Running)
            shard.recoveringJobs[record->spec.id];
    }
    shard.jobsLoaded = true;
    logInfo(LogPart::Place,
        "Shard " + shardId.value + ": read " + std::to_string(shard.jobs.size()) + " job records from the store.");
    for (const TargetReported& report : std::exchange(shard.earlyReports, {}))
        applyReport(shardId, shard, report, now);
    adoptRecovered(shardId, shard, now);
}

/** Whether no worker can still run an unreported task: all workers of the shard have reported under the current term,
 * or the given lease has expired since the recovery began. */
bool JobService::canRuleOutUnreportedTask(
    const ShardId& shardId, const Shard& shard, std::chrono::milliseconds lease, Time now) const
{
    if (now - shard.recoveryStartedAt > lease + leaseExpiryMargin)
        return true;
    return std::all_of(m_context.hosts.begin(), m_context.hosts.end(), [&](const auto& entry) {
        if (entry.second.kind != TargetKind::Worker || entry.second.dataCentre() != m_context.config.dataCentre
            || shardOfTarget(entry.second, m_context.bundle->cell) != shardId)
            return true;
        const auto worker = shard.workers.find(entry.first);
        return worker != shard.workers.end() && worker->second.hasReported;
    });
}

/** Records the reported end of a task whose job is still recovering; ignores tasks of other jobs. */
void JobService::recordEndDuringRecovery(Shard& shard, const FinishedTask& finished)
{
    std::uint32_t index = 0;
    const JobId jobId = jobOfTask(finished.task, index);
    const auto recoveringJob = shard.recoveringJobs.find(jobId);
    if (recoveringJob == shard.recoveringJobs.end())
        return;
    if (finished.end == TaskEnd::Succeeded) {
        shard.jobs[jobId].record.finished.insert(index);
        shard.jobs[jobId].needsWrite = true;
    } else {
        recoveringJob->second.insert(index);
    }
}

/** Creates the active tasks of a job that was just adopted. This can't wait for the next report, which may list the
 * tasks only as finished. */
void JobService::trackAdoptedTasks(Shard& shard, const JobId& jobId, Time now)
{
    for (const auto& [target, worker] : shard.workers) {
        for (const TaskId& task : worker.running) {
            std::uint32_t index = 0;
            if (jobOfTask(task, index) != jobId || shard.activeTasks.contains(task))
                continue;
            ActiveTask adopted;
            adopted.start = { task, jobId, index, target, {}, "reported as running" };
            adopted.state = StartState::Confirmed;
            adopted.changedAt = now;
            shard.activeTasks.emplace(task, adopted);
        }
    }
}

/**
 * Passes recovered jobs to the task scheduler once the location of all their tasks is known. A task that no worker
 * reports may still run on a worker that has not reported yet; starting it elsewhere would run it twice. A
 * non-idempotent job with a started task whose success is unknown is ended instead of restarted.
 */
void JobService::adoptRecovered(const ShardId& shardId, Shard& shard, Time now)
{
    for (auto it = shard.recoveringJobs.begin(); it != shard.recoveringJobs.end();) {
        const auto& [jobId, failedIndices] = *it;
        Job& job = shard.jobs[jobId];
        const WorkloadPolicy* policy = m_context.workload(job.record.spec.workload);
        std::set<std::uint32_t> unreportedTasks;
        for (std::uint32_t i = 0; i < job.record.spec.tasks; ++i) {
            const TaskId task = makeTaskId(jobId, i);
            const bool runs = std::any_of(shard.workers.begin(), shard.workers.end(),
                [&](const auto& worker) { return worker.second.running.contains(task); });
            if (!runs && !job.record.finished.contains(i))
                unreportedTasks.insert(i);
        }
        if (!unreportedTasks.empty() && !canRuleOutUnreportedTask(shardId, shard, leaseOf(jobId), now)) {
            ++it;
            continue;
        }
        const bool mayHaveStarted = policy && !policy->idempotent
            && std::any_of(unreportedTasks.begin(), unreportedTasks.end(),
                [&](std::uint32_t i) { return job.record.started.contains(i); });
        if (mayHaveStarted) {
            job.ended = true;
            job.endedAt = now;
            job.needsWrite = true;
            job.record.phase = failedIndices.empty() ? JobPhase::Unknown : JobPhase::Failed;
            job.record.reason = failedIndices.empty() ? "a started task has no known end" : "a task failed";
            m_context.journal.note(
                LogPart::Place, jobId.value, std::string("ended as ") + jobPhaseName(job.record.phase) + ".", now);
        } else {
            shard.scheduler.adopt(job.record.spec,
                std::vector<std::uint32_t>(job.record.finished.begin(), job.record.finished.end()), now);
            trackAdoptedTasks(shard, jobId, now);
        }
        it = shard.recoveringJobs.erase(it);
    }
    finishEndedJobs(shardId, shard, now);
}

/** Whether the shard's job records were read, so that it can accept jobs. */
bool JobService::isRecovered(const ShardId& shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.jobsLoaded;
}

/** Handles a new or changed host list entry; ignored unless it is a worker of an owned shard. */
void JobService::targetChanged(const HostEntry& entry, Time now)
{
    if (!m_context.bundle || entry.kind != TargetKind::Worker)
        return;
    const ShardId shardId = shardOfTarget(entry, m_context.bundle->cell);
    auto it = m_shards.find(shardId);
    if (it == m_shards.end() || !it->second.owned)
        return;
    it->second.scheduler.putWorker(entry.worker, now);
    if (entry.state == TargetState::Leaving)
        it->second.scheduler.setLeaving(entry.id(), now);
    m_context.emit(FollowTarget { entry.id(), entry.address(), shardId, m_context.ownership->term(shardId) });
}

/** Handles the removal of a target from the host list: its tasks end as gone. */
void JobService::targetRemoved(const TargetId& target, Time now)
{
    for (auto& [id, shard] : m_shards) {
        std::vector<TaskId> endedTasks;
        for (const auto& [taskId, task] : shard.activeTasks) {
            if (task.start.worker == target)
                endedTasks.push_back(taskId);
        }
        for (const TaskId& task : endedTasks)
            endTask(shard, task, TaskEnd::Gone, {}, now);
        shard.scheduler.removeWorker(target, now);
        shard.workers.erase(target);
        if (shard.owned)
            finishEndedJobs(id, shard, now);
    }
}

/** Handles a change of shard ownership: starts recovery after a claim, stops serving when the hold is released or lost.
 */
void JobService::holdChanged(const HoldChange& change, Time now)
{
    if (kindOfShard(change.shard) != TargetKind::Worker)
        return;
    Shard& shard = m_shards[change.shard];
    if (change.from == HoldLevel::Claiming && change.to == HoldLevel::Recovering) {
        shard = Shard();
        shard.owned = true;
        shard.recoveryStartedAt = now;
        shard.scheduler.applyPolicy(*m_context.bundle);
        for (const auto& [id, entry] : m_context.hosts) {
            if (entry.kind == TargetKind::Worker && entry.dataCentre() == m_context.config.dataCentre
                && shardOfTarget(entry, m_context.bundle->cell) == change.shard)
                targetChanged(entry, now);
        }
        readJobs(change.shard, shard, now);
    } else if ((change.to == HoldLevel::None || change.to == HoldLevel::Lost) && shard.owned) {
        shard.owned = false;
        for (const auto& [id, entry] : m_context.hosts) {
            if (entry.kind == TargetKind::Worker && entry.dataCentre() == m_context.config.dataCentre
                && shardOfTarget(entry, m_context.bundle->cell) == change.shard)
                m_context.emit(UnfollowTarget { id });
        }
        // Recorded jobs continue under the next owner. Pending queries are answered now so that the callers ask again.
        std::erase_if(m_pendingQueries, [&](const PendingQuery& query) {
            if (shardOfJob(query.job) != change.shard)
                return false;
            answerStatus(query.route, query.id, change.shard, query.job, ErrorKind::Ok);
            return true;
        });
    }
}

/** Returns the load of each owned worker shard, to be announced to peers. */
std::vector<ShardLoad> JobService::loads(Time now) const
{
    std::vector<ShardLoad> loads;
    for (const auto& [id, shard] : m_shards) {
        if (!shard.owned)
            continue;
        ShardLoad load;
        load.shard = id;
        load.term = m_context.ownership->term(id);
        load.level = m_context.ownership->level(id, now);
        load.coresFreeMilli = shard.scheduler.freeResources().coresMilli;
        loads.push_back(load);
    }
    return loads;
}

/** Throws std::logic_error if the task scheduler of a shard violates its invariants. */
void JobService::checkInvariants() const
{
    for (const auto& [id, shard] : m_shards)
        shard.scheduler.checkInvariants();
}

} // namespace sp
