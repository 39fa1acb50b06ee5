/** @file job_recovery.cpp The part of JobService that keeps records in the store and rebuilds a shard after a claim. */
#include "job_service.h"
#include "log_func.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::seconds progressEvery { 10 }; ///< Shortest time between two progress writes of a job.
    constexpr std::chrono::seconds writeRetry { 1 };
    constexpr std::chrono::milliseconds readRetry { 500 };
    constexpr std::chrono::hours jobMemory { 24 }; ///< Ended jobs are kept this long for queries and repeated keys.
    constexpr std::chrono::seconds recoveryLeaseMargin {
        5
    }; ///< A worker ends a task at most this late after its lease.
    constexpr std::size_t writesPerTick = 4; ///< Bounds the writes after an outage, so that the store is not flooded.

} // namespace

/** Writes records that have changed and drops old jobs. */
void JobService::saveJobs(const ShardId& shardId, Shard& shard, Time now)
{
    const bool storeUsable = m_context.ownership->level(shardId, now) == HoldLevel::Store;
    std::size_t writes = 0;
    for (auto it = shard.jobs.begin(); it != shard.jobs.end();) {
        auto& [jobId, job] = *it;
        if (job.ended && !job.dirty && now - job.endedAt > jobMemory && storeUsable) {
            StoreTxn txn;
            txn.compares = { m_context.termCompare(shardId) };
            txn.writes = { { StoreWrite::Kind::Delete, jobRecordKey(shardId, jobId), {}, {} } };
            m_context.callStore(txn);
            shard.scheduler.forget(jobId);
            it = shard.jobs.erase(it);
            continue;
        }
        if (job.dirty && !job.writing && storeUsable && now >= job.nextWrite && writes < writesPerTick) {
            ++writes;
            writeRecord(shardId, jobId, now);
        }
        ++it;
    }
}

void JobService::writeRecord(const ShardId& shardId, const JobId& jobId, Time now)
{
    Job& job = m_shards[shardId].jobs[jobId];
    job.writing = true;
    job.dirty = false;
    job.nextWrite = now + progressEvery;
    job.record.term = m_context.ownership->term(shardId);
    StoreTxn txn;
    txn.compares = { m_context.termCompare(shardId) };
    txn.writes = { { StoreWrite::Kind::Put, jobRecordKey(shardId, jobId), jobRecordJson(job.record), {} } };
    m_context.callStore(txn, [this, shardId, jobId](const StoreReply& reply, Time at) {
        Shard& shard = m_shards[shardId];
        auto it = shard.jobs.find(jobId);
        if (it == shard.jobs.end())
            return;
        it->second.writing = false;
        if (reply.status == StoreStatus::Ok) {
            it->second.durable = true;
        } else {
            it->second.dirty = true;
            it->second.nextWrite = at + writeRetry;
        }
    });
}

/** Reads the job records of a shard after a claim. */
void JobService::loadJobs(const ShardId& shardId, Shard& shard, Time now)
{
    if (shard.reading || now < shard.nextRead)
        return;
    shard.reading = true;
    m_context.callStore(StoreRange { jobRecordPrefix(shardId), true, {} },
        [this, shardId](const StoreReply& reply, Time at) { jobsRead(shardId, reply, at); });
}

void JobService::jobsRead(const ShardId& shardId, const StoreReply& reply, Time now)
{
    Shard& shard = m_shards[shardId];
    shard.reading = false;
    if (!shard.owned || shard.jobsLoaded)
        return;
    if (reply.status != StoreStatus::Ok) {
        shard.nextRead = now + readRetry;
        return;
    }
    for (const StoreKeyValue& entry : reply.values) {
        auto record = parseJobRecord(entry.value);
        if (!record) {
            logWarning(LogPart::Place, "The job record " + entry.key + " is malformed and is left alone.");
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
            shard.recovering[record->spec.id];
    }
    shard.jobsLoaded = true;
    logInfo(
        LogPart::Place, "Shard " + shardId.value + " has read " + std::to_string(shard.jobs.size()) + " job records.");
    for (const TargetReported& report : std::exchange(shard.early, {}))
        applyReport(shardId, shard, report, now);
    adoptRecovered(shardId, shard, now);
}

/** Whether no unheard worker can still run a task with the given lease. */
bool JobService::isAccounted(
    const ShardId& shardId, const Shard& shard, std::chrono::milliseconds lease, Time now) const
{
    if (now - shard.recoverySince > lease + recoveryLeaseMargin)
        return true;
    return std::all_of(m_context.hosts.begin(), m_context.hosts.end(), [&](const auto& entry) {
        if (entry.second.kind != TargetKind::Worker || entry.second.dataCentre() != m_context.config.dataCentre
            || shardOfTarget(entry.second, m_context.bundle->cell) != shardId)
            return true;
        const auto worker = shard.workers.find(entry.first);
        return worker != shard.workers.end() && worker->second.answered;
    });
}

/** Notes the end of a task whose job is not adopted yet. */
void JobService::noteRecoveredEnd(Shard& shard, const FinishedTask& finished)
{
    std::uint32_t index = 0;
    const JobId jobId = jobOfTask(finished.task, index);
    const auto recovering = shard.recovering.find(jobId);
    if (recovering == shard.recovering.end())
        return;
    if (finished.end == TaskEnd::Succeeded) {
        shard.jobs[jobId].record.finished.insert(index);
        shard.jobs[jobId].dirty = true;
    } else {
        recovering->second.insert(index);
    }
}

/** Follows the running tasks of a job that was just adopted: the next report may list them as finished only. */
void JobService::followAdopted(Shard& shard, const JobId& jobId, Time now)
{
    for (const auto& [target, worker] : shard.workers) {
        for (const TaskId& task : worker.running) {
            std::uint32_t index = 0;
            if (jobOfTask(task, index) != jobId || shard.active.contains(task))
                continue;
            ActiveTask adopted;
            adopted.start = { task, jobId, index, target, {}, "reported as running" };
            adopted.state = StartState::Confirmed;
            adopted.changedAt = now;
            shard.active.emplace(task, adopted);
        }
    }
}

/**
 * Hands recovered jobs to the task scheduler once it is certain where each of their tasks runs. A task that no worker
 * reports may still run on a worker that has not answered; starting it elsewhere would run it twice.
 */
void JobService::adoptRecovered(const ShardId& shardId, Shard& shard, Time now)
{
    for (auto it = shard.recovering.begin(); it != shard.recovering.end();) {
        const auto& [jobId, failedIndices] = *it;
        Job& job = shard.jobs[jobId];
        const WorkloadPolicy* policy = m_context.workload(job.record.spec.workload);
        std::set<std::uint32_t> open;
        for (std::uint32_t i = 0; i < job.record.spec.tasks; ++i) {
            const TaskId task = makeTaskId(jobId, i);
            const bool runs = std::any_of(shard.workers.begin(), shard.workers.end(),
                [&](const auto& worker) { return worker.second.running.contains(task); });
            if (!runs && !job.record.finished.contains(i))
                open.insert(i);
        }
        if (!open.empty() && !isAccounted(shardId, shard, leaseOf(jobId), now)) {
            ++it;
            continue;
        }
        const bool mayHaveRun = policy && !policy->idempotent
            && std::any_of(open.begin(), open.end(), [&](std::uint32_t i) { return job.record.started.contains(i); });
        if (mayHaveRun) {
            job.ended = true;
            job.endedAt = now;
            job.dirty = true;
            job.record.phase = failedIndices.empty() ? JobPhase::Unknown : JobPhase::Failed;
            job.record.reason = failedIndices.empty() ? "a started task has no known end" : "a task failed";
            m_context.journal.note(
                LogPart::Place, jobId.value, std::string("ended as ") + jobPhaseName(job.record.phase) + ".", now);
        } else {
            shard.scheduler.adopt(job.record.spec,
                std::vector<std::uint32_t>(job.record.finished.begin(), job.record.finished.end()), now);
            followAdopted(shard, jobId, now);
        }
        it = shard.recovering.erase(it);
    }
    collectFinished(shardId, shard, now);
}

/** Whether the records are read, so that jobs may be accepted. @param shard Shard. @return True if so. */
bool JobService::isRecovered(const ShardId& shard) const
{
    const auto it = m_shards.find(shard);
    return it != m_shards.end() && it->second.jobsLoaded;
}

/** Takes an entry of the host list. @param entry Worker. @param now Present time. */
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

/** Takes the removal of a target from the host list. @param target Target. @param now Present time. */
void JobService::targetRemoved(const TargetId& target, Time now)
{
    for (auto& [id, shard] : m_shards) {
        std::vector<TaskId> gone;
        for (const auto& [taskId, task] : shard.active) {
            if (task.start.worker == target)
                gone.push_back(taskId);
        }
        for (const TaskId& task : gone)
            endTask(shard, task, TaskEnd::Gone, {}, now);
        shard.scheduler.removeWorker(target, now);
        shard.workers.erase(target);
        if (shard.owned)
            collectFinished(id, shard, now);
    }
}

/** Takes a change of a hold. @param change Change of a worker shard. @param now Present time. */
void JobService::holdChanged(const HoldChange& change, Time now)
{
    if (kindOfShard(change.shard) != TargetKind::Worker)
        return;
    Shard& shard = m_shards[change.shard];
    if (change.from == HoldLevel::Claiming && change.to == HoldLevel::Recovering) {
        shard = Shard();
        shard.owned = true;
        shard.recoverySince = now;
        shard.scheduler.applyPolicy(*m_context.bundle);
        for (const auto& [id, entry] : m_context.hosts) {
            if (entry.kind == TargetKind::Worker && entry.dataCentre() == m_context.config.dataCentre
                && shardOfTarget(entry, m_context.bundle->cell) == change.shard)
                targetChanged(entry, now);
        }
        loadJobs(change.shard, shard, now);
    } else if ((change.to == HoldLevel::None || change.to == HoldLevel::Lost) && shard.owned) {
        shard.owned = false;
        for (const auto& [id, entry] : m_context.hosts) {
            if (entry.kind == TargetKind::Worker && entry.dataCentre() == m_context.config.dataCentre
                && shardOfTarget(entry, m_context.bundle->cell) == change.shard)
                m_context.emit(UnfollowTarget { id });
        }
        // Jobs that are recorded go on under the next owner; who waits here asks again.
        std::erase_if(m_waiters, [&](const Waiter& waiter) {
            if (shardOfJob(waiter.job) != change.shard)
                return false;
            answerStatus(waiter.route, waiter.id, change.shard, waiter.job, ErrorKind::Ok);
            return true;
        });
    }
}

/** Loads of the owned shards. @param now Present time. @return One for each owned worker shard. */
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

/** Throws std::logic_error if a scheduler breaks its invariants. */
void JobService::checkInvariants() const
{
    for (const auto& [id, shard] : m_shards)
        shard.scheduler.checkInvariants();
}

} // namespace sp
