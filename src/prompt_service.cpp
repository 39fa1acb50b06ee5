#include "prompt_service.h"
#include "bundle.h"
#include "log_func.h"

#include <nlohmann/json.hpp>

namespace sp {

namespace {

    constexpr std::uint32_t maxHops = 2;
    constexpr std::uint32_t maxAttempts = 3;
    constexpr std::uint32_t maxRoutings = 3; ///< Owners that a request without key is offered to.
    constexpr std::chrono::seconds answerGrace {
        1
    }; ///< A forwarded request's answer may arrive this long after its deadline.
    constexpr std::chrono::minutes keyMemory { 10 };
    constexpr std::chrono::minutes longestDeadline { 10 }; ///< Upper limit of a workload's deadline in a bundle.
    constexpr std::size_t recordedBodyLimit = 65536; ///< Bytes of an answer that a store record keeps.

    std::string clientKey(const CallerId& caller, const std::string& clientId)
    {
        return caller.value + '\n' + clientId;
    }

} // namespace

/** @param context Shared state; must outlive the service. */
PromptService::PromptService(CoreContext& context)
    : m_context(context)
{
}

/** Sets the policies in force. @param bundle Bundle. @param now Present time. */
void PromptService::applyBundle(const Bundle& bundle, Time now)
{
    (void)now;
    for (auto& [id, shard] : m_shards)
        shard.pool.applyPolicy(bundle);
}

/** Takes a request from a gateway or a peer. @param request Request. @param now Present time. */
void PromptService::submitted(PromptSubmitted request, Time now)
{
    const WorkloadPolicy* policy = m_context.workload(request.workload);
    if (!m_context.bundle) {
        m_context.refuse(request.route, request.id, ErrorKind::NotReady, "no bundle is in force");
        return;
    }
    if (!policy || policy->workClass != WorkClass::Prompt) {
        m_context.refuse(request.route, request.id, ErrorKind::UnknownWorkload,
            "no prompt workload '" + request.workload.value + "'");
        return;
    }
    if (m_context.draining) {
        m_context.refuse(request.route, request.id, ErrorKind::Draining,
            "scheduler " + m_context.config.self.value + " is shutting down");
        return;
    }
    if (!request.deadline)
        request.deadline = now + policy->deadline;
    route(std::move(request), *policy, 1, now);
}

/** Admits a request here or forwards it to the owner of its shard. */
void PromptService::route(PromptSubmitted request, const WorkloadPolicy& policy, std::uint32_t tries, Time now)
{
    HostId owner;
    std::string reason = "forwarded by a peer";
    if (!request.shard.empty()) {
        owner = m_context.config.self;
    } else if (const auto error = chooseShard(request, policy, owner, reason, now)) {
        m_context.journal.note(LogPart::Route, request.id.value, "is refused: " + reason + ".", now);
        m_context.refuse(request.route, request.id, *error, reason);
        return;
    }
    if (owner == m_context.config.self)
        admitLocal(std::move(request), policy, now);
    else
        forward(std::move(request), owner, reason, tries, now);
}

/** Chooses the shard and its owner. @return Error kind if there is none, with the reason. */
std::optional<ErrorKind> PromptService::chooseShard(
    PromptSubmitted& request, const WorkloadPolicy& policy, HostId& owner, std::string& reason, Time now)
{
    if (!request.key.empty()) {
        request.shard = shardOfKey(TargetKind::Instance, request.caller, request.key, m_context.bundle->cell);
        reason = "shard of the idempotency key";
        const auto known = m_context.ownerOf(request.shard, now);
        if (!known) {
            reason = "shard " + request.shard.value + " of the idempotency key has no owner";
            return ErrorKind::NoOwner;
        }
        owner = *known;
    } else {
        for (const ShardLoad& load : loads(now))
            m_selector.loadReported(m_context.config.self, load, policy.service, Duration(0), true, now);
        auto choice = m_selector.choose(policy.service, now);
        // A dead owner's last load stays fresh for a while; its shards must not draw requests.
        while (choice && choice->owner != m_context.config.self && !m_context.isReachable(choice->owner, now)) {
            m_selector.forgetOwner(choice->owner);
            choice = m_selector.choose(policy.service, now);
        }
        if (!choice) {
            reason = "no owner with slots of service '" + policy.service + "' is known";
            return ErrorKind::NoOwner;
        }
        request.shard = choice->shard;
        owner = choice->owner;
        reason = choice->reason;
    }
    if (owner != m_context.config.self && (request.hops + 1 >= maxHops + 1 || !m_context.isReachable(owner, now))) {
        reason = "owner " + owner.value + " of shard " + request.shard.value + " can't be reached";
        return ErrorKind::OwnerUnreachable;
    }
    return std::nullopt;
}

void PromptService::forward(
    PromptSubmitted request, const HostId& owner, const std::string& reason, std::uint32_t tries, Time now)
{
    m_context.journal.note(LogPart::Route, request.id.value,
        "goes to " + owner.value + " for shard " + request.shard.value + ": " + reason + ".", now);
    m_forwarded[request.id] = { request, owner, *request.deadline + answerGrace, tries };
    ++request.hops;
    m_context.emit(ForwardPrompt { owner, std::move(request) });
}

void PromptService::admitLocal(PromptSubmitted request, const WorkloadPolicy& policy, Time now)
{
    const HoldLevel level = m_context.ownership->level(request.shard, now);
    const bool firm = level == HoldLevel::Store || level == HoldLevel::Promise;
    const bool unkeyedOnly = level == HoldLevel::Recovering || level == HoldLevel::Fenced;
    if (!firm && !(unkeyedOnly && request.key.empty())) {
        m_context.refuse(request.route, request.id, ErrorKind::NoOwner,
            "shard " + request.shard.value + " is held at level " + holdLevelName(level));
        return;
    }
    Request entry;
    entry.waiters.push_back({ request.route, request.id });
    entry.shard = request.shard;
    entry.payload = request.payload;
    RequestId runId = request.id;
    if (!request.key.empty()) {
        entry.keyName = keyHash(request.caller, request.key);
        entry.digest = sha256Hex(request.workload.value + '\n' + (request.payload ? *request.payload : std::string()));
        if (joinKeyed(request, entry.keyName, entry.digest, now))
            return;
        // A known answer is given above even while the store is away; a first run needs the store.
        if (!policy.idempotent && level != HoldLevel::Store) {
            m_context.refuse(request.route, request.id, ErrorKind::StoreUnavailable,
                "work that is not idempotent needs a store record");
            return;
        }
        // Targets see the key's hash as the id, so that a later owner learns from reports which keys still run.
        runId = RequestId("k-" + entry.keyName);
        m_context.journal.relate(request.id.value, runId.value, now);
        const Shard& shard = m_shards[request.shard];
        if (shard.pool.targetOf(runId)) {
            m_context.refuse(
                request.route, request.id, ErrorKind::AnswerLost, "an earlier run under this key still runs");
            return;
        }
        if (now - shard.gainedAt < longestDeadline && !shard.complete) {
            m_context.refuse(
                request.route, request.id, ErrorKind::NoOwner, "an instance that may run this key has not answered");
            return;
        }
        m_keys[entry.keyName] = { entry.digest, request.shard, runId, std::nullopt, now + keyMemory };
    } else if (m_requests.contains(runId)) {
        m_context.refuse(request.route, request.id, ErrorKind::Conflict, "the request id is in use");
        return;
    }
    if (!request.clientId.empty()) {
        entry.clientKey = clientKey(request.caller, request.clientId);
        m_clientIds[entry.clientKey] = runId;
    }
    entry.work = { runId, request.caller, request.team, request.workload, *request.deadline, now };
    m_requests[runId] = std::move(entry);
    if (!policy.idempotent && !request.key.empty())
        recordThenAdmit(runId, now);
    else
        admit(runId, now);
}

/** Handles a request whose key is known. @return True if the request is answered or waits for the first one's answer.
 */
bool PromptService::joinKeyed(
    const PromptSubmitted& request, const std::string& keyName, const std::string& digest, Time now)
{
    auto it = m_keys.find(keyName);
    if (it == m_keys.end() || (it->second.answer && it->second.expires < now))
        return false;
    if (it->second.digest != digest) {
        m_context.refuse(
            request.route, request.id, ErrorKind::KeyConflict, "the idempotency key was used with other content");
        return true;
    }
    if (it->second.answer) {
        AnswerMessage answer = *it->second.answer;
        answer.id = request.id;
        m_context.answer(request.route, std::move(answer));
        return true;
    }
    if (auto running = m_requests.find(it->second.runId); running != m_requests.end()) {
        running->second.waiters.push_back({ request.route, request.id });
        return true;
    }
    m_context.refuse(
        request.route, request.id, ErrorKind::AnswerLost, "an earlier run under this key has no known end yet");
    return true;
}

std::string PromptService::runsKey(const Request& request) const
{
    return "/sp/runs/" + request.shard.value + "/" + request.keyName;
}

/** Writes the record of a non-idempotent request and admits the request once the record is certain. */
void PromptService::recordThenAdmit(const RequestId& runId, Time now)
{
    (void)now;
    const Request& request = m_requests[runId];
    const std::string token = m_context.newToken();
    const nlohmann::json value { { "digest", request.digest }, { "token", token }, { "state", "started" } };
    StoreTxn txn;
    txn.compares = { { StoreCompare::Kind::Absent, runsKey(request), {}, {} }, m_context.termCompare(request.shard) };
    txn.writes = { { StoreWrite::Kind::Put, runsKey(request), value.dump(), {} } };
    txn.readOnFailure = { runsKey(request) };
    m_context.callStore(
        txn, [this, runId, token](const StoreReply& reply, Time at) { recordReplied(runId, reply, false, token, at); });
}

void PromptService::recordReplied(
    const RequestId& runId, const StoreReply& reply, bool readBack, const std::string& token, Time now)
{
    auto it = m_requests.find(runId);
    if (it == m_requests.end())
        return;
    Request& request = it->second;
    AnswerMessage refusal;
    refusal.error = ErrorKind::StoreUnavailable;
    refusal.detail = "the store record could not be written";
    if (reply.status == StoreStatus::Lost && !readBack) {
        m_context.callStore(StoreRange { runsKey(request), false, {} },
            [this, runId, token](const StoreReply& back, Time at) { recordReplied(runId, back, true, token, at); });
        return;
    }
    const bool written = reply.status == StoreStatus::Ok && !readBack;
    const bool hasRecord = (readBack ? reply.status == StoreStatus::Ok : reply.status == StoreStatus::CompareFailed)
        && !reply.values.empty();
    if (written) {
        request.recorded = true;
        admit(runId, now);
        return;
    }
    if (hasRecord) {
        const auto record = nlohmann::json::parse(reply.values.front().value, nullptr, false);
        const auto text = [&](const char* name) {
            return record.is_object() && record.contains(name) && record[name].is_string()
                ? record[name].get<std::string>()
                : std::string();
        };
        if (text("token") == token) {
            request.recorded = true;
            admit(runId, now);
            return;
        }
        if (text("digest") != request.digest) {
            refusal.error = ErrorKind::KeyConflict;
            refusal.detail = "the idempotency key was used with other content";
        } else if (text("state") == "done") {
            refusal.error = errorKindFromName(text("error"));
            refusal.detail = text("detail");
            refusal.body = std::make_shared<const std::string>(text("body"));
        } else {
            refusal.error = ErrorKind::AnswerLost;
            refusal.detail = "an earlier run under this key has no recorded outcome";
        }
    }
    finish(runId, std::move(refusal), now);
}

void PromptService::admit(const RequestId& runId, Time now)
{
    const Request& request = m_requests[runId];
    const ShardId shardId = request.shard;
    apply(shardId, m_shards[shardId].pool.admit(request.work, now), now);
}

/** Carries out a decision of a slot pool. */
void PromptService::apply(const ShardId& shardId, const SlotDecision& decision, Time now)
{
    (void)shardId;
    switch (decision.kind) {
    case SlotDecision::Kind::Run:
        run(decision.id, decision.target, decision.reason, now);
        break;
    case SlotDecision::Kind::Queue:
        m_context.journal.note(LogPart::Route, decision.id.value, "waits: " + decision.reason + ".", now);
        break;
    case SlotDecision::Kind::Refuse: {
        m_context.journal.note(LogPart::Route, decision.id.value, "is refused: " + decision.reason + ".", now);
        AnswerMessage answer;
        answer.error = decision.error;
        answer.detail = decision.reason;
        finish(decision.id, std::move(answer), now);
        break;
    }
    }
}

void PromptService::run(const RequestId& runId, const TargetId& target, const std::string& reason, Time now)
{
    auto it = m_requests.find(runId);
    const auto host = m_context.hosts.find(target);
    if (it == m_requests.end() || host == m_context.hosts.end()) {
        if (it != m_requests.end())
            retryOrRefuse(runId, CallEnd::NotConnected, now);
        return;
    }
    Request& request = it->second;
    // The hold is checked on CLOCK_BOOTTIME before each start: the process may have been paused since the decision.
    const HoldLevel level = m_context.ownership->level(request.shard, now);
    const bool allowed = level == HoldLevel::Store || level == HoldLevel::Promise
        || (request.keyName.empty() && (level == HoldLevel::Recovering || level == HoldLevel::Fenced));
    if (!allowed) {
        m_shards[request.shard].pool.release(runId, SlotRelease::NotStarted, now);
        AnswerMessage answer;
        answer.error = ErrorKind::NoOwner;
        answer.detail = "the hold on shard " + request.shard.value + " ended before the start";
        finish(runId, std::move(answer), now);
        return;
    }
    if (request.attempts == 0)
        m_context.metrics->histogram(
                             "sp_wait_seconds{class=\"prompt\"}", "Wait from arrival at the owner to the start.")
            .record(now - request.work.arrivedAt);
    ++request.attempts;
    request.call = m_context.newCall();
    request.startedAt = now;
    request.target = target;
    m_calls[request.call] = runId;
    m_context.journal.note(LogPart::Route, runId.value, "runs on " + target.value + ": " + reason + ".", now);
    m_context.emit(RunPrompt { request.call, target, host->second.address(), runId, request.shard,
        m_context.ownership->term(request.shard), request.work.deadline - now, request.payload });
}

/** Takes the end of a call. @param ended End. @param now Present time. @return False if the call is not a prompt
 * request's. */
bool PromptService::callEnded(const TargetCallEnded& ended, Time now)
{
    auto node = m_calls.extract(ended.call);
    if (node.empty())
        return false;
    const RequestId runId = node.mapped();
    auto it = m_requests.find(runId);
    if (it == m_requests.end())
        return true;
    const ShardId shardId = it->second.shard;
    SlotPool& pool = m_shards[shardId].pool;
    const auto target = pool.targetOf(runId);
    AnswerMessage answer;
    answer.body = ended.body;
    answer.detail = ended.detail;
    switch (ended.end) {
    case CallEnd::Completed:
    case CallEnd::Failed:
        answer.error = ended.end == CallEnd::Completed ? ErrorKind::Ok : ErrorKind::TargetFailed;
        pool.release(runId, SlotRelease::Answered, now);
        finish(runId, std::move(answer), now);
        break;
    case CallEnd::Lost:
        answer.error = ErrorKind::AnswerLost;
        pool.release(runId, SlotRelease::Lost, now);
        m_lost[runId] = now;
        finish(runId, std::move(answer), now);
        break;
    default:
        pool.release(runId, SlotRelease::NotStarted, now);
        if (target && ended.end == CallEnd::RefusedLeaving)
            pool.setLeaving(*target);
        if (target && ended.end == CallEnd::NotConnected)
            pool.setUsable(*target, false);
        retryOrRefuse(runId, ended.end, now);
        break;
    }
    dispatch(shardId, now);
    return true;
}

/** Tries another instance after a refusal before the start, within attempts and deadline. */
void PromptService::retryOrRefuse(const RequestId& runId, CallEnd how, Time now)
{
    Request& request = m_requests[runId];
    request.call = {};
    if (request.attempts < maxAttempts && now < request.work.deadline && how != CallEnd::RefusedTerm) {
        m_context.metrics->counter("sp_retries_total", "Starts tried again after a refusal before the start.").add();
        admit(runId, now);
        return;
    }
    AnswerMessage answer;
    answer.error = how == CallEnd::RefusedTerm ? ErrorKind::StaleTerm : ErrorKind::TargetRefused;
    answer.detail = std::string("last target: ") + callEndName(how);
    finish(runId, std::move(answer), now);
}

/** Answers all waiters of a request and forgets it. */
void PromptService::finish(const RequestId& runId, AnswerMessage answer, Time now)
{
    auto node = m_requests.extract(runId);
    if (node.empty())
        return;
    Request& request = node.mapped();
    if (request.attempts > 0)
        answer.wait = std::chrono::duration_cast<std::chrono::microseconds>(request.startedAt - request.work.arrivedAt);
    if (!request.clientKey.empty())
        m_clientIds.erase(request.clientKey);
    if (!request.keyName.empty()) {
        if (errorInfo(answer.error).outcome == Outcome::NotRun)
            m_keys.erase(request.keyName);
        else if (answer.error != ErrorKind::AnswerLost)
            m_keys[request.keyName].answer = answer;
        m_keyOrder.emplace_back(now, request.keyName);
    }
    if (request.recorded)
        writeOutcome(request, answer);
    rememberFinished(runId, now);
    for (const Waiter& waiter : request.waiters) {
        AnswerMessage copy = answer;
        copy.id = waiter.id;
        m_context.answer(waiter.route, std::move(copy));
    }
}

/** Writes the outcome of a recorded request. If the write is lost, the record stays at `started`, which reads as
 * unknown. */
void PromptService::writeOutcome(const Request& request, const AnswerMessage& answer)
{
    StoreTxn txn;
    txn.compares = { m_context.termCompare(request.shard) };
    if (errorInfo(answer.error).outcome == Outcome::NotRun) {
        txn.writes = { { StoreWrite::Kind::Delete, runsKey(request), {}, {} } };
    } else if (answer.error == ErrorKind::AnswerLost) {
        return;
    } else {
        nlohmann::json value { { "digest", request.digest }, { "state", "done" },
            { "error", errorInfo(answer.error).name }, { "detail", answer.detail } };
        if (answer.body && answer.body->size() <= recordedBodyLimit)
            value["body"] = *answer.body;
        txn.writes = { { StoreWrite::Kind::Put, runsKey(request),
            value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {} } };
    }
    m_context.callStore(txn);
}

void PromptService::rememberFinished(const RequestId& runId, Time now)
{
    m_recent[runId] = now;
    m_recentOrder.emplace_back(now, runId);
}

/** Cancels a request by the caller's own id. @param cancel Cancellation. @param now Present time. */
void PromptService::cancelled(const PromptCancelled& cancel, Time now)
{
    const auto known = m_clientIds.find(clientKey(cancel.caller, cancel.clientId));
    if (known == m_clientIds.end()) {
        if (cancel.hops == 0) {
            for (const PeerConfig& peer : m_context.config.peers) {
                PromptCancelled copy = cancel;
                ++copy.hops;
                m_context.emit(ForwardPromptCancel { peer.host, copy });
            }
        }
        m_context.refuse(cancel.route, cancel.id, ErrorKind::NotFound, "no waiting request with this id here");
        return;
    }
    const RequestId runId = known->second;
    Request& request = m_requests[runId];
    if (request.call.value || !m_shards[request.shard].pool.cancelQueued(runId)) {
        m_context.refuse(cancel.route, cancel.id, ErrorKind::Conflict, "the request is running");
        return;
    }
    AnswerMessage answer;
    answer.error = ErrorKind::Cancelled;
    answer.detail = "cancelled by the caller";
    finish(runId, answer, now);
    AnswerMessage done;
    done.id = cancel.id;
    m_context.answer(cancel.route, done);
}

/**
 * Passes the answer of a forwarded request on. A request without key that the peer certainly did not take is routed
 * again: during a take-over or hand-over other shards have room.
 * @param answered Answer of a peer.
 * @param now Present time.
 */
void PromptService::peerAnswered(const PeerAnswered& answered, Time now)
{
    auto node = m_forwarded.extract(answered.answer.id);
    if (node.empty()) {
        m_context.metrics->counter("sp_late_answers_total", "Answers of peers that nothing waits for.").add();
        return;
    }
    Forwarded& forwarded = node.mapped();
    const ErrorKind error = answered.answer.error;
    const bool notTaken
        = error == ErrorKind::OwnerUnreachable || error == ErrorKind::NoOwner || error == ErrorKind::Draining;
    if (notTaken)
        m_selector.forgetOwner(answered.peer);
    const WorkloadPolicy* policy = m_context.workload(forwarded.request.workload);
    const bool mayRetry = notTaken && policy && forwarded.request.key.empty() && forwarded.tries < maxRoutings
        && !m_context.draining && now < *forwarded.request.deadline;
    if (!mayRetry) {
        m_context.answer(forwarded.request.route, answered.answer);
        return;
    }
    m_context.metrics->counter("sp_reroutes_total", "Requests routed again after an owner did not take them.").add();
    forwarded.request.shard = {};
    route(std::move(forwarded.request), *policy, forwarded.tries + 1, now);
}

/** Answers what was forwarded to a peer that is dead. It may have run there. @param peer Peer. @param now Present time.
 */
void PromptService::peerLost(const HostId& peer, Time now)
{
    (void)now;
    m_selector.forgetOwner(peer);
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        if (it->second.to == peer) {
            m_context.refuse(
                it->second.request.route, it->first, ErrorKind::AnswerLost, "owner " + peer.value + " is dead");
            it = m_forwarded.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace sp
