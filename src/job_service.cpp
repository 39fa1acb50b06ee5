#include "job_service.h"
#include "log_func.h"

#include <algorithm>
#include <cstdio>

namespace sp {

namespace {

    constexpr std::uint32_t maxForwards = 2; ///< Limit of forwards of a job message between schedulers.
    constexpr std::chrono::seconds forwardTimeout { 10 }; ///< Includes the write of a job record to a slow store.

} // namespace

/** @param context Shared state; must outlive the service. */
JobService::JobService(CoreContext& context)
    : m_context(context)
{
}

/** Applies the policies of a new bundle to all shards. */
void JobService::applyBundle(const Bundle& bundle, Time now)
{
    (void)now;
    for (auto& [id, shard] : m_shards)
        shard.scheduler.applyPolicy(bundle);
}

/** Handles a job submission from a gateway or a peer: queues it here if this scheduler owns the shard, otherwise
 * forwards it to the owner. */
void JobService::submitted(JobSubmitted submission, Time now)
{
    const WorkloadPolicy* policy = m_context.workload(submission.spec.workload);
    if (!m_context.bundle) {
        m_context.refuse(submission.route, submission.id, ErrorKind::NotReady, "no bundle is in force");
        return;
    }
    if (!policy || policy->workClass == WorkClass::Prompt) {
        m_context.refuse(submission.route, submission.id, ErrorKind::UnknownWorkload,
            "no job workload '" + submission.spec.workload.value + "'");
        return;
    }
    if (m_context.draining) {
        m_context.refuse(submission.route, submission.id, ErrorKind::Draining,
            "scheduler " + m_context.config.self.value + " is shutting down");
        return;
    }
    HostId owner = m_context.config.self;
    std::string reason;
    if (submission.shard.empty()) {
        if (const auto error = chooseShard(submission, owner, reason, now)) {
            m_context.journal.note(LogPart::Place, submission.id.value, "is refused: " + reason + ".", now);
            m_context.refuse(submission.route, submission.id, *error, reason);
            return;
        }
    }
    if (owner == m_context.config.self) {
        acceptAsOwner(std::move(submission), *policy, now);
        return;
    }
    m_context.journal.note(LogPart::Place, submission.id.value,
        "goes to " + owner.value + " for shard " + submission.shard.value + ": " + reason + ".", now);
    m_forwarded[submission.id] = { submission.route, owner, now + forwardTimeout, true };
    ++submission.hops;
    m_context.emit(ForwardJob { owner, std::move(submission) });
}

/**
 * Chooses the worker shard and its owner: by the idempotency key if there is one, otherwise the shard with most free
 * cores.
 * @param reason Receives the reason for the choice or the error.
 * @return Error kind if no shard with a reachable owner fits.
 */
std::optional<ErrorKind> JobService::chooseShard(JobSubmitted& submission, HostId& owner, std::string& reason, Time now)
{
    const auto reachable = [&](const HostId& host) {
        return host == m_context.config.self || (submission.hops < maxForwards && m_context.isReachable(host, now));
    };
    if (!submission.key.empty()) {
        submission.shard
            = shardOfKey(TargetKind::Worker, submission.spec.caller, submission.key, m_context.bundle->cell);
        reason = "shard of the idempotency key";
        const auto known = m_context.ownerOf(submission.shard, now);
        if (!known) {
            reason = "shard " + submission.shard.value + " of the idempotency key has no owner";
            return ErrorKind::NoOwner;
        }
        owner = *known;
        if (reachable(owner))
            return std::nullopt;
        reason = "owner " + owner.value + " of shard " + submission.shard.value + " can't be reached";
        return ErrorKind::OwnerUnreachable;
    }
    std::int64_t bestFree = -1;
    bool fitsSomewhere = false;
    for (const DataCentreId& centre : m_context.bundle->cell.dataCentres) {
        for (const ShardId& shard : shardsOfDataCentre(centre, m_context.bundle->cell)) {
            if (kindOfShard(shard) != TargetKind::Worker || !fitsSomeWorker(shard, submission.spec.size))
                continue;
            fitsSomewhere = true;
            const auto known = m_context.ownerOf(shard, now);
            if (!known || !reachable(*known))
                continue;
            std::int64_t free = 0;
            if (const auto own = m_shards.find(shard); own != m_shards.end() && own->second.owned)
                free = own->second.scheduler.freeResources().coresMilli;
            else if (const auto load = m_context.membership->freshLoad(shard, now))
                free = load->coresFreeMilli;
            if (free > bestFree) {
                bestFree = free;
                owner = *known;
                submission.shard = shard;
                reason = "most free cores";
            }
        }
    }
    if (bestFree >= 0)
        return std::nullopt;
    reason = fitsSomewhere ? "no worker shard has a reachable owner" : "a task is larger than any known worker";
    return fitsSomewhere ? ErrorKind::NoOwner : ErrorKind::NeverRunnable;
}

/** Returns whether the size fits in the capacity of some worker of the shard in the host list. */
bool JobService::fitsSomeWorker(const ShardId& shard, const Resources& size) const
{
    return std::any_of(m_context.hosts.begin(), m_context.hosts.end(), [&](const auto& entry) {
        const HostEntry& host = entry.second;
        return host.kind == TargetKind::Worker && size.fitsIn(host.worker.capacity)
            && shardOfTarget(host, m_context.bundle->cell) == shard;
    });
}

/** Handles a submission as the owner of its shard: assigns the job id, detects duplicates and creates the record.
 * Without the store only idempotent jobs are accepted. */
void JobService::acceptAsOwner(JobSubmitted submission, const WorkloadPolicy& policy, Time now)
{
    const ShardId shardId = submission.shard;
    const HoldLevel level = m_context.ownership->level(shardId, now);
    auto it = m_shards.find(shardId);
    if (it == m_shards.end() || !it->second.jobsLoaded || !m_context.holdsFirmly(shardId, now)) {
        m_context.refuse(submission.route, submission.id, ErrorKind::NoOwner,
            "shard " + shardId.value + " is held at level " + holdLevelName(level));
        return;
    }
    submission.spec.submittedAt = now;
    if (submission.key.empty()) {
        char hex[40];
        std::snprintf(hex, sizeof hex, "%016llx%08llx",
            static_cast<unsigned long long>(m_context.config.incarnation.value),
            static_cast<unsigned long long>(m_context.newSequence()));
        submission.spec.id = JobId(shardId.value + "-" + hex);
    } else {
        submission.spec.id = JobId(shardId.value + "-" + keyHash(submission.spec.caller, submission.key));
        if (const auto known = it->second.jobs.find(submission.spec.id); known != it->second.jobs.end()) {
            if (known->second.record.digest != jobDigest(submission.spec))
                m_context.refuse(submission.route, submission.id, ErrorKind::KeyConflict,
                    "the idempotency key was used with other content");
            else
                answerStatus(submission.route, submission.id, shardId, submission.spec.id, ErrorKind::Ok);
            return;
        }
    }
    if (level == HoldLevel::Store) {
        createRecord(shardId, std::move(submission), now);
    } else if (policy.idempotent) {
        queueJob(shardId, submission, false, {}, now);
    } else {
        m_context.refuse(submission.route, submission.id, ErrorKind::StoreUnavailable,
            "work that is not idempotent needs a store record");
    }
}

/** Writes the record of a new job, on condition that none exists and that the term is still current. */
void JobService::createRecord(const ShardId& shardId, JobSubmitted submission, Time now)
{
    (void)now;
    JobRecord record;
    record.spec = submission.spec;
    record.digest = jobDigest(submission.spec);
    record.term = m_context.ownership->term(shardId);
    record.token = m_context.newToken();
    const std::string key = jobRecordKey(shardId, submission.spec.id);
    StoreTxn txn;
    txn.compares = { { StoreCompare::Kind::Absent, key, {}, {} }, m_context.termCompare(shardId) };
    txn.writes = { { StoreWrite::Kind::Put, key, jobRecordJson(record), {} } };
    txn.readOnFailure = { key };
    ++m_creatingRecords;
    m_context.callStore(txn,
        [this, shardId, submission = std::move(submission), token = record.token](const StoreReply& reply, Time at) {
            --m_creatingRecords;
            handleRecordCreated(shardId, submission, token, reply, false, at);
        });
}

/** Handles the reply to the record write, or to the read that follows a lost reply, and queues or refuses the job.
 * @param readBack True if the reply is that of the read. */
void JobService::handleRecordCreated(const ShardId& shardId, const JobSubmitted& submission, const std::string& token,
    const StoreReply& reply, bool readBack, Time now)
{
    const WorkloadPolicy* policy = m_context.workload(submission.spec.workload);
    const std::string key = jobRecordKey(shardId, submission.spec.id);
    if (reply.status == StoreStatus::Lost && !readBack) {
        ++m_creatingRecords;
        m_context.callStore(
            StoreRange { key, false, {} }, [this, shardId, submission, token](const StoreReply& back, Time at) {
                --m_creatingRecords;
                handleRecordCreated(shardId, submission, token, back, true, at);
            });
        return;
    }
    const auto found = reply.values.empty() ? std::nullopt : parseJobRecord(reply.values.front().value);
    const bool own = found && found->token == token;
    if ((!readBack && reply.status == StoreStatus::Ok) || own) {
        queueJob(shardId, submission, true, token, now);
        return;
    }
    if (found && found->digest != jobDigest(submission.spec)) {
        m_context.refuse(
            submission.route, submission.id, ErrorKind::KeyConflict, "the idempotency key was used with other content");
        return;
    }
    const auto known = m_shards.find(shardId);
    if (found && known != m_shards.end() && !known->second.jobs.contains(submission.spec.id)
        && found->phase == JobPhase::Queued) {
        // Only this owner creates records under its term, so the record is from an earlier submission whose reply was
        // lost.
        queueJob(shardId, submission, true, found->token, now);
        return;
    }
    if (found) {
        answerStatus(submission.route, submission.id, shardId, submission.spec.id, ErrorKind::Ok);
        return;
    }
    if (!readBack && reply.status == StoreStatus::CompareFailed) {
        m_context.refuse(submission.route, submission.id, ErrorKind::StaleTerm,
            "the term of shard " + shardId.value + " has been superseded");
        return;
    }
    if (policy && policy->idempotent && m_context.holdsFirmly(shardId, now)) {
        // If the write takes effect later, the record describes this same job.
        queueJob(shardId, submission, false, token, now);
    } else if (readBack) {
        // The write may still take effect, and a later owner would then run the job.
        m_context.refuse(
            submission.route, submission.id, ErrorKind::AnswerLost, "the job record may have been written");
    } else {
        m_context.refuse(
            submission.route, submission.id, ErrorKind::StoreUnavailable, "the job record could not be written");
    }
}

/** Passes a job to the scheduler of its shard and answers the caller.
 * @param durable Whether the record is in the store. @param token Token of the record, empty if no write was tried. */
void JobService::queueJob(
    const ShardId& shardId, const JobSubmitted& submission, bool durable, const std::string& token, Time now)
{
    Shard& shard = m_shards[shardId];
    if (!shard.owned) {
        // The next owner reads a record from the store; a job without a record is lost.
        if (durable)
            answerStatus(submission.route, submission.id, shardId, submission.spec.id, ErrorKind::Ok);
        else
            m_context.refuse(submission.route, submission.id,
                token.empty() ? ErrorKind::NoOwner : ErrorKind::AnswerLost,
                "the hold on shard " + shardId.value + " was lost");
        return;
    }
    if (shard.jobs.contains(submission.spec.id)) {
        // A concurrent submission with the same idempotency key has already queued the job.
        answerStatus(submission.route, submission.id, shardId, submission.spec.id, ErrorKind::Ok);
        return;
    }
    Job job;
    job.record.spec = submission.spec;
    job.record.digest = jobDigest(submission.spec);
    job.record.token = token;
    job.durable = durable;
    job.needsWrite = !durable;
    const SubmitResult result = shard.scheduler.submit(submission.spec, now);
    if (result.error != ErrorKind::Ok) {
        m_context.journal.note(LogPart::Place, submission.spec.id.value, "is refused: " + result.reason + ".", now);
        if (durable) {
            StoreTxn txn;
            txn.compares = { m_context.termCompare(shardId) };
            txn.writes = { { StoreWrite::Kind::Delete, jobRecordKey(shardId, submission.spec.id), {}, {} } };
            m_context.callStore(txn);
        }
        m_context.refuse(submission.route, submission.id, result.error, result.reason);
        return;
    }
    m_context.journal.relate(submission.id.value, submission.spec.id.value, now);
    shard.jobs[submission.spec.id] = std::move(job);
    m_context.journal.note(
        LogPart::Place, submission.spec.id.value, "is queued for request " + submission.id.value + ".", now);
    answerStatus(submission.route, submission.id, shardId, submission.spec.id, ErrorKind::Ok);
}

/** Answers a request with the status of a job. */
void JobService::answerStatus(
    const ReplyRoute& route, const RequestId& id, const ShardId& shardId, const JobId& job, ErrorKind error)
{
    AnswerMessage answer;
    answer.id = id;
    answer.error = error;
    answer.job = job;
    const Shard& shard = m_shards[shardId];
    answer.durable = true;
    if (const auto it = shard.jobs.find(job); it != shard.jobs.end()) {
        answer.durable = it->second.durable;
        if (it->second.ended)
            answer.status = JobStatus { it->second.record.phase, it->second.record.spec.tasks, 0,
                static_cast<std::uint32_t>(it->second.record.finished.size()), 0, it->second.record.reason,
                it->second.record.result };
        else if (shard.recoveringJobs.contains(job))
            answer.status
                = JobStatus { JobPhase::Queued, it->second.record.spec.tasks, 0, 0, 0, "the shard is recovering", {} };
        else
            answer.status = shard.scheduler.status(job);
    }
    m_context.answer(route, std::move(answer));
}

/** Handles a status query, cancellation or hold release: executes it if this scheduler owns the job's shard, otherwise
 * forwards it to the owner. */
void JobService::commanded(JobCommanded command, Time now)
{
    const ShardId shardId = shardOfJob(command.job);
    if (shardId.empty()) {
        m_context.refuse(command.route, command.id, ErrorKind::NotFound, "no such job id");
        return;
    }
    const auto owner = m_context.ownerOf(shardId, now);
    const auto own = m_shards.find(shardId);
    if (own != m_shards.end() && own->second.owned) {
        executeCommand(command, shardId, now);
        return;
    }
    if (!owner || *owner == m_context.config.self || command.hops >= maxForwards
        || !m_context.isReachable(*owner, now)) {
        // The command was not executed, so the job may still be running.
        m_context.refuse(command.route, command.id, owner ? ErrorKind::OwnerUnreachable : ErrorKind::NoOwner,
            "shard " + shardId.value + " has no reachable owner");
        return;
    }
    m_forwarded[command.id] = { command.route, *owner, now + command.wait + forwardTimeout, false };
    ++command.hops;
    m_context.emit(ForwardJobCommand { *owner, std::move(command) });
}

/** Executes a command as the owner of the job's shard. A command of another caller gets NotFound. */
void JobService::executeCommand(const JobCommanded& command, const ShardId& shardId, Time now)
{
    Shard& shard = m_shards[shardId];
    const auto it = shard.jobs.find(command.job);
    if (it == shard.jobs.end()) {
        if (!shard.jobsLoaded)
            m_context.refuse(command.route, command.id, ErrorKind::NoOwner, "the shard is recovering");
        else
            m_context.refuse(command.route, command.id, ErrorKind::NotFound, "no such job");
        return;
    }
    if (it->second.record.spec.caller != command.caller) {
        m_context.refuse(command.route, command.id, ErrorKind::NotFound, "no such job");
        return;
    }
    if (command.verb == JobCommanded::Verb::Query) {
        if (command.wait.count() > 0 && !it->second.ended)
            m_pendingQueries.push_back({ command.route, command.id, command.job, now + command.wait });
        else
            answerStatus(command.route, command.id, shardId, command.job, ErrorKind::Ok);
        return;
    }
    const WorkloadPolicy* policy = m_context.workload(it->second.record.spec.workload);
    const bool release = command.verb == JobCommanded::Verb::Release;
    if (release && (!policy || policy->workClass != WorkClass::Hold)) {
        m_context.refuse(command.route, command.id, ErrorKind::BadRequest, "only a hold can be released");
        return;
    }
    if (shard.recoveringJobs.contains(command.job)) {
        m_context.refuse(command.route, command.id, ErrorKind::NoOwner, "the shard is recovering");
        return;
    }
    m_context.journal.note(LogPart::Place, command.job.value, release ? "is released." : "is cancelled.", now);
    const auto stops
        = release ? shard.scheduler.releaseHold(command.job, now) : shard.scheduler.cancel(command.job, now);
    for (const TaskStop& stop : stops)
        sendStop(shardId, shard, stop, now);
    finishEndedJobs(shardId, shard, now);
    answerStatus(command.route, command.id, shardId, command.job, ErrorKind::Ok);
}

/** Relays a peer's answer to the origin of a forwarded submission or command. Returns false if the answer belongs to no
 * forwarded job message. */
bool JobService::peerAnswered(const PeerAnswered& answered, Time now)
{
    (void)now;
    auto node = m_forwarded.extract(answered.answer.id);
    if (node.empty())
        return false;
    m_context.answer(node.mapped().route, answered.answer);
    return true;
}

/** Refuses all submissions and commands that were forwarded to a peer that is dead. */
void JobService::peerLost(const HostId& peer, Time now)
{
    (void)now;
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        if (it->second.owner == peer) {
            m_context.refuse(it->second.route, it->first, ErrorKind::AnswerLost, "owner " + peer.value + " is dead");
            it = m_forwarded.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace sp
