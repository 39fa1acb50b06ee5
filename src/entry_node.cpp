#include "entry_node.h"

#include "log_line.h"
#include "proto/cell.pb.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds peerTimeout { 1200 }; ///< One transaction of a slow store plus the round trip.
    constexpr std::chrono::milliseconds answerMargin {
        150
    }; ///< Leaves time to deliver the answer before the caller's deadline.
    constexpr std::chrono::milliseconds ownerWaitLimit { 1000 }; ///< Time that a submission waits for an owner.
    constexpr std::chrono::milliseconds ownerWaitLimitWithoutStore { 200 }; ///< Enough to ask two other members.
    constexpr std::chrono::milliseconds storeSilenceLimit { 700 }; ///< Two unanswered lease renewals.
    constexpr std::chrono::milliseconds noOwnerRetryAfter { 1000 }; ///< A take-over takes 1 to 3 s.
    /** After the last attempts at the end of the process: a short call, then a state read from the store. */
    constexpr std::chrono::milliseconds lastAnswerDelay { 250 };

} // namespace

/** A caller's request that is not answered yet. */
struct EntryNode::PendingRequest {
    CallerRequest request;
    CallerReply reply;
    int attempts = 0;
    bool maybeExecuted = false; ///< An earlier attempt may have been executed.
    bool callOpen = false; ///< An attempt is under way and may be executed.
    bool finished = false;
};

EntryNode::EntryNode(EntryNodeConfig config, Metrics& metrics, EntryNodeHooks hooks)
    : m_settings(std::move(config))
    , m_hooks(std::move(hooks))
    , m_recordLog(m_settings.session.ownPrefix + "owner", CellKeys::sequenceKeys(), recordLogHooks())
    , m_owner(m_settings.bounds, metrics, ownerHooks())
    , m_session(m_settings.session, sessionHooks())
    , m_broker({ [this](const HostId& host, const AdviceQuestion& question, std::uint64_t callId) {
                    sendAdvice(host, question, callId);
                },
          [this](AdviceQuestion& question, Time now) { return m_owner.refreshQuestion(question, now); } })
    , m_router(routerHooks())
    , m_relay(m_hooks.callTarget, m_settings.instance)
    , m_forwarded(metrics.counter("sp_entry_forwarded_total", "Requests passed to the owner of the cell."))
    , m_uncertain(metrics.counter("sp_entry_uncertain_total", "Requests answered without knowing their outcome."))
    , m_unauthorized(metrics.counter("sp_entry_unauthorized_total", "Requests refused for lack of a valid key."))
    , m_forbidden(metrics.counter("sp_entry_forbidden_total", "Requests about a job of another account."))
    , m_requestSeconds(metrics.histogram("sp_entry_request_seconds", "Time from a caller's request to its answer."))
    , m_turnSeconds(metrics.histogram("sp_loop_turn_seconds", "Duration of a turn of the event loop."))
    , m_lagMicroseconds(
          metrics.gauge("sp_loop_lag_microseconds", "Time that an event waits for the event loop, smoothed."))
{
}

CellOwnerHooks EntryNode::ownerHooks()
{
    CellOwnerHooks hooks;
    hooks.start = [this](const CellTarget& target, const StartOrder& order) {
        m_router.send(permittedRef(target), order,
            [this, id = target.id(), key = order.task, run = order.run](const OrderAnswer& answer, const RunReport&) {
                m_owner.onStarted(id, key, run, answer, beginOwnerEvent());
            });
    };
    hooks.stop = [this](const CellTarget& target, const CellTaskKey& key, std::uint32_t run, FencingToken token) {
        m_router.send(permittedRef(target), StopOrder { key, run, token },
            [this, id = target.id(), key, run](const OrderAnswer& answer, const RunReport&) {
                m_owner.onStopped(id, key, run, answer, beginOwnerEvent());
            });
    };
    hooks.pace
        = [this](const CellTarget& target, const CellTaskKey& key, std::uint32_t run, int percent, FencingToken token) {
              m_router.send(permittedRef(target), PaceOrder { key, run, percent, token },
                  [this, id = target.id(), key, run, percent](const OrderAnswer& answer, const RunReport&) {
                      m_owner.onPaced(id, key, run, percent, answer, beginOwnerEvent());
                  });
          };
    hooks.look = [this](const CellTarget& target, const LookOrder& order) {
        m_router.send(permittedRef(target), order,
            [this, id = target.id(), order](const OrderAnswer& answer, const RunReport& report) {
                m_owner.onReport(id, order, answer, report, beginOwnerEvent());
            });
    };
    hooks.ask = [this](const AdviceQuestion& question) { m_broker.ask(question, m_hooks.clock()); };
    hooks.flush = [this](Time at) { m_recordLog.requestFlush(at); };
    hooks.superseded = [this](const std::string& reason) { m_session.resign(reason); };
    hooks.calendar = [this] { return m_hooks.calendar(); };
    return hooks;
}

CellSessionHooks EntryNode::sessionHooks()
{
    CellSessionHooks hooks;
    hooks.call = [this](StoreRequest&& request, std::chrono::milliseconds timeout, CellSessionHooks::Reply reply) {
        m_hooks.storeCall(std::move(request), timeout, std::move(reply));
    };
    hooks.watch = [this](StoreWatch&& watch, std::function<void(StoreWatchReply &&)> reply) {
        m_hooks.storeWatch(std::move(watch), std::move(reply));
    };
    hooks.operatorKeyChanged
        = [this](const std::string& key, const std::optional<StoreKeyValue>& item) { operatorKeyChanged(key, item); };
    hooks.cellAcquired = [this](Revision token) { onCellAcquired(token); };
    hooks.cellLost = [this](const std::string& reason) { onCellLost(reason); };
    hooks.clock = [this] { return m_hooks.clock(); };
    return hooks;
}

OrderRouterHooks EntryNode::routerHooks()
{
    OrderRouterHooks hooks;
    hooks.direct = m_hooks.callTarget;
    hooks.callRelay = [this](const std::string& address, std::string&& body, std::chrono::milliseconds timeout,
                          std::function<void(HttpResult &&)> done) {
        m_hooks.callPeer(address, relayPath, std::move(body), timeout, std::move(done));
    };
    hooks.clock = m_hooks.clock;
    return hooks;
}

RecordLogHooks EntryNode::recordLogHooks()
{
    RecordLogHooks hooks;
    hooks.commit = [this](std::size_t lane, StoreTxn&& txn, std::chrono::milliseconds limit) {
        m_hooks.storeCall(
            StoreRequest(std::move(txn)), limit, [this, lane, epoch = m_ownershipEpoch](StoreReply&& reply) {
                if (epoch == m_ownershipEpoch)
                    m_recordLog.answered(lane, reply, m_hooks.clock());
            });
    };
    hooks.collect = [this](std::size_t lane, std::size_t limit) { return m_owner.collect(lane, limit); };
    hooks.decided
        = [this](std::size_t lane, BatchOutcome outcome) { m_owner.batchDecided(lane, outcome, beginOwnerEvent()); };
    hooks.ownershipLost = [this](const std::string& reason) { m_session.resign(reason); };
    return hooks;
}

/**
 * Returns the present time for an event that the owner is about to handle. Withdraws its permission to send orders if
 * the lease has ended: the process may have been suspended since the last tick.
 */
Time EntryNode::beginOwnerEvent()
{
    const Time now = m_hooks.clock();
    m_owner.setMayOrder(m_owner.active() && m_session.leaseValid(now));
    return now;
}

/** Returns a target with the time until which this host may send orders to it. */
TargetRef EntryNode::permittedRef(const CellTarget& target) const
{
    TargetRef ref = target.ref();
    ref.sendBefore = m_session.leaseValidUntil();
    return ref;
}

void EntryNode::operatorKeyChanged(const std::string& key, const std::optional<StoreKeyValue>& item)
{
    if (key != m_settings.configKey || !item)
        return;
    auto config = m_hooks.decodeConfig(item->value);
    if (!config || (m_config && config->version <= m_config->version))
        return; // The decoder has logged a value that it can't parse.
    LogLine(LogLevel::Info, "config_applied")
        .with("version", config->version)
        .with("before", m_config ? m_config->version : 0)
        .with("queues", config->queues.size())
        .with("accounts", config->accounts.size())
        .with("revision", item->modRevision);
    m_config = std::move(config);
    m_accountKeys = AccountKeys(m_config->accounts);
    for (const auto& [first, second] : m_accountKeys.sharing())
        LogLine(LogLevel::Error, "account_key_shared")
            .with("account", first)
            .with("other", second)
            .with("version", m_config->version);
    m_owner.setConfig(*m_config);
}

/**
 * Finds the account of a request and logs a refusal. A queue that requires no key refuses none.
 * @param authorization Value of the request's `Authorization` header, unset if it has none.
 * @param repeated The header was sent more than once.
 */
AccountKeys::Match EntryNode::identify(
    const QueueConfig& queue, const std::optional<std::string>& authorization, bool repeated) const
{
    const AccountKeys::Match match = m_accountKeys.find(authorization, repeated);
    if (queue.requiresKey && match.verdict != KeyVerdict::Found) {
        m_unauthorized.add();
        LogLine(LogLevel::Info, "key_refused")
            .with("queue", queue.id)
            .with("reason", keyVerdictText(match.verdict))
            .with("config", m_config ? m_config->version : 0);
    }
    return match;
}

/**
 * Handles a caller's request.
 * @param request Request for a queue that exists in the configuration.
 * @param reply Called once.
 */
void EntryNode::handle(CallerRequest&& request, CallerReply reply)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->request = std::move(request);
    pending->reply = std::move(reply);
    m_open.insert(pending);
    if (m_answerBy && m_hooks.clock() >= *m_answerBy)
        giveUp(pending, "the process is about to end");
    else
        attemptRequest(pending);
}

/** Returns the time by which a request is answered: before its caller gives up, and before the process ends. */
Time EntryNode::deadlineOf(const PendingRequest& pending) const
{
    const Time deadline = pending.request.receivedAt + pending.request.patience - answerMargin;
    return std::min(deadline, m_answerBy.value_or(deadline));
}

void EntryNode::answerCaller(const std::shared_ptr<PendingRequest>& pending, CallerResult&& result)
{
    if (std::exchange(pending->finished, true))
        return;
    m_open.erase(pending);
    const auto took = m_hooks.clock() - pending->request.receivedAt;
    m_requestSeconds.record(took);
    if (result.kind == CallerResult::Kind::Uncertain)
        m_uncertain.add();
    if (result.kind == CallerResult::Kind::Forbidden)
        m_forbidden.add();
    if (result.kind != CallerResult::Kind::Done || pending->request.action == CallerAction::Submit
        || pending->request.action == CallerAction::Cancel) {
        static constexpr std::array<const char*, 4> actions { "submit", "state", "cancel", "count" };
        static constexpr std::array<const char*, 5> kinds { "done", "refused", "uncertain", "gone", "forbidden" };
        LogLine(result.kind == CallerResult::Kind::Uncertain ? LogLevel::Warning : LogLevel::Info, "request_answered")
            .with("job", pending->request.job)
            .with("action", actions[static_cast<std::size_t>(pending->request.action)])
            .with("account", pending->request.account)
            .with("result", kinds[static_cast<std::size_t>(result.kind)])
            .with("reason", result.reason)
            .with("tries", pending->attempts)
            .with("took_ms", toMs(took));
    }
    pending->reply(std::move(result));
}

/** Sends the request to the owner, or executes it here if this host is the owner. */
void EntryNode::attemptRequest(const std::shared_ptr<PendingRequest>& pending)
{
    if (pending->finished)
        return;
    const Time now = m_hooks.clock();
    const CallerRequest& request = pending->request;
    proto::OwnerCall call;
    call.set_kind(static_cast<proto::OwnerCall::Kind>(request.action));
    call.set_config_version(m_config ? m_config->version : 0);
    call.set_queue(request.queue.value);
    call.set_job(request.job.value);
    call.set_account(request.account.value);
    if (request.spec)
        toProto(*request.spec, *call.mutable_spec());
    ++pending->attempts;
    pending->callOpen = true;
    if (m_session.owning() && m_session.leaseValid(now)) {
        serveOwnerCall(call, [this, pending](const proto::OwnerAnswer& answer) { handleOwnerAnswer(pending, answer); });
        return;
    }
    const std::string address = forwardAddress(pending->attempts, now);
    if (address.empty()) {
        retryOrAnswer(pending, "the cell has no owner", false);
        return;
    }
    m_forwarded.add();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadlineOf(*pending) - now);
    const auto timeout = std::clamp(left, peerRetryDelay, peerTimeout);
    m_hooks.callPeer(address, ownerCallPath, call.SerializeAsString(), timeout, [this, pending](HttpResult&& result) {
        proto::OwnerAnswer answer;
        if (result.complete && result.status == 200 && answer.ParseFromString(result.body))
            handleOwnerAnswer(pending, answer);
        else
            handleOwnerCallFailure(pending, result);
    });
}

void EntryNode::handleOwnerCallFailure(const std::shared_ptr<PendingRequest>& pending, const HttpResult& result)
{
    if (result.refused)
        m_session.ownerRefusedConnection(m_hooks.clock());
    retryOrAnswer(pending, result.refused ? "the owner's process has ended" : "the owner did not answer", result.sent);
}

void EntryNode::handleOwnerAnswer(const std::shared_ptr<PendingRequest>& pending, const proto::OwnerAnswer& answer)
{
    CallerResult result;
    result.reason = answer.reason();
    switch (answer.status()) {
    case proto::OwnerAnswer::OK:
        result.kind = CallerResult::Kind::Done;
        result.state = answer.state();
        result.count = answer.count();
        break;
    case proto::OwnerAnswer::GONE:
        result.kind = CallerResult::Kind::Gone;
        break;
    case proto::OwnerAnswer::FORBIDDEN:
        result.kind = CallerResult::Kind::Forbidden;
        break;
    case proto::OwnerAnswer::REFUSED:
        result.kind = pending->maybeExecuted ? CallerResult::Kind::Uncertain : CallerResult::Kind::Refused;
        result.retryAfter = std::chrono::milliseconds(answer.retry_after_ms());
        break;
    case proto::OwnerAnswer::UNKNOWN:
        retryOrAnswer(pending, "the owner changed meanwhile", true);
        return;
    default:
        if (answer.owner_revision() > 0)
            m_session.ownerReported(
                { HostId(answer.owner().node()), answer.owner().address(), Revision(answer.owner_revision()) });
        retryOrAnswer(pending, answer.reason().c_str(), false);
        return;
    }
    answerCaller(pending, std::move(result));
}

/**
 * Returns the address to forward a request to: the owner's, or, while the store does not answer, alternately that of
 * another member, which may know a newer owner. Empty if there is none.
 */
std::string EntryNode::forwardAddress(int attempts, Time now) const
{
    const auto& owner = m_session.owner();
    const bool other = owner && owner->host != m_settings.session.self;
    if (other && (m_session.reachesStore(now) || attempts % 2 == 1))
        return owner->address;
    if (m_session.reachesStore(now))
        return {};
    std::vector<std::string> addresses;
    for (const auto& [host, member] : m_session.members()) {
        if (host != m_settings.session.self)
            addresses.push_back(member.address);
    }
    return addresses.empty() ? std::string() : addresses[static_cast<std::size_t>(attempts) % addresses.size()];
}

/**
 * Schedules another attempt, or answers the caller if none fits before the deadline. Repeating a request is safe, since
 * the job id identifies duplicates.
 */
void EntryNode::retryOrAnswer(const std::shared_ptr<PendingRequest>& pending, const char* reason, bool sent)
{
    if (pending->finished)
        return;
    const Time now = m_hooks.clock();
    pending->callOpen = false;
    pending->maybeExecuted |= sent;
    const bool submit = pending->request.action == CallerAction::Submit;
    const Time retryUntil = submit && !pending->maybeExecuted
        ? std::min(deadlineOf(*pending), pending->request.receivedAt + maxWaitForOwner(now))
        : deadlineOf(*pending);
    if (now + peerRetryDelay < retryUntil) {
        m_retries.emplace_back(now + peerRetryDelay, pending);
        return;
    }
    if (pending->request.action == CallerAction::State && m_session.reachesStore(now)) {
        answerStateFromStore(pending);
        return;
    }
    giveUp(pending, reason);
}

/** Gives a request its final answer without a result. It is refused only if it was certainly not executed. */
void EntryNode::giveUp(const std::shared_ptr<PendingRequest>& pending, const char* reason)
{
    CallerResult result;
    const bool uncertain = pending->maybeExecuted || pending->callOpen;
    result.kind = uncertain ? CallerResult::Kind::Uncertain : CallerResult::Kind::Refused;
    result.retryAfter = noOwnerRetryAfter;
    result.reason = reason;
    answerCaller(pending, std::move(result));
}

/** Answers the requests that are still open shortly before the process ends, such as those whose call is under way. */
void EntryNode::answerOpenRequests(Time now)
{
    if (!m_answerBy || now < *m_answerBy + lastAnswerDelay)
        return;
    for (const auto& pending : std::exchange(m_open, {}))
        giveUp(pending, "the process ends");
}

/** Returns how long a submission waits for an owner; less if the store is silent and only members may know one. */
std::chrono::milliseconds EntryNode::maxWaitForOwner(Time now) const
{
    return now - m_session.lastStoreReplyAt() > storeSilenceLimit ? ownerWaitLimitWithoutStore : ownerWaitLimit;
}

/** Answers a query for a job's state from its record in the store, used while the owner can't be reached. */
void EntryNode::answerStateFromStore(const std::shared_ptr<PendingRequest>& pending)
{
    StoreRange range;
    range.key = CellKeys::jobs + pending->request.job.value;
    m_hooks.storeCall(StoreRequest(range), answerMargin, [this, pending](StoreReply&& reply) {
        CallerResult result;
        result.reason = "read from the store";
        if (reply.status != StoreStatus::Ok) {
            result.kind = CallerResult::Kind::Refused;
            result.retryAfter = noOwnerRetryAfter;
        } else if (reply.values.empty()) {
            result.kind = CallerResult::Kind::Gone;
        } else {
            proto::CellJobRecord record;
            if (!record.ParseFromString(reply.values.front().value)
                || record.state() > static_cast<std::uint32_t>(JobState::Cancelled)) {
                LogLine(LogLevel::Error, "job_record_unreadable").with("job", pending->request.job);
                result.kind = CallerResult::Kind::Refused;
                result.retryAfter = noOwnerRetryAfter;
            } else if (!m_owner.mayAccess(pending->request.account, pending->request.queue, AccountId(record.account()),
                           QueueId(record.queue()))) {
                result.kind = CallerResult::Kind::Forbidden;
            } else {
                result.kind = CallerResult::Kind::Done;
                result.state = jobStateName(static_cast<JobState>(record.state()));
            }
        }
        answerCaller(pending, std::move(result));
    });
}

/** Executes a request as the owner, or answers NOT_OWNER with the owner that this host knows. */
void EntryNode::serveOwnerCall(
    const proto::OwnerCall& call, const std::function<void(const proto::OwnerAnswer&)>& reply)
{
    const Time now = beginOwnerEvent();
    proto::OwnerAnswer answer;
    if (!m_owner.active() || !m_session.leaseValid(now)) {
        answer.set_status(proto::OwnerAnswer::NOT_OWNER);
        if (const auto& owner = m_session.owner()) {
            answer.mutable_owner()->set_node(owner->host.value);
            answer.mutable_owner()->set_address(owner->address);
            answer.set_owner_revision(owner->revision.value);
        }
        answer.set_reason(m_owner.active() ? "the owner's lease is not fresh"
                : m_session.owning()       ? "the owner is still taking over"
                                           : "this host does not own the cell");
        reply(answer);
        return;
    }
    if (!m_config || m_config->version < call.config_version()) {
        answer.set_status(proto::OwnerAnswer::NOT_OWNER);
        answer.set_reason("the owner has an older configuration");
        reply(answer);
        return;
    }
    const auto replyJob = [reply](JobAnswer&& job) {
        proto::OwnerAnswer out;
        static constexpr std::array<proto::OwnerAnswer::Status, 5> statuses { proto::OwnerAnswer::OK,
            proto::OwnerAnswer::REFUSED, proto::OwnerAnswer::UNKNOWN, proto::OwnerAnswer::GONE,
            proto::OwnerAnswer::FORBIDDEN };
        out.set_status(statuses[static_cast<std::size_t>(job.kind)]);
        out.set_retry_after_ms(static_cast<std::uint32_t>(job.retryAfter.count()));
        out.set_reason(job.reason);
        reply(out);
    };
    answer.set_status(proto::OwnerAnswer::OK);
    const AccountId account(call.account());
    if (call.kind() != proto::OwnerCall::COUNT
        && !m_owner.mayAccessJob(account, QueueId(call.queue()), JobId(call.job()))) {
        answer.set_status(proto::OwnerAnswer::FORBIDDEN);
        answer.set_reason("the job belongs to another account");
        reply(answer);
        return;
    }
    switch (call.kind()) {
    case proto::OwnerCall::SUBMIT: {
        CellJobSpec spec = fromProto(call.spec());
        // Replaces the forwarding host's value, since the owner's configuration is at least as new.
        if (const QueueConfig* queue = m_config->queue(spec.queue))
            spec.service = queue->service;
        spec.account = account;
        m_owner.submit(std::move(spec), now, replyJob);
        return;
    }
    case proto::OwnerCall::CANCEL:
        m_owner.cancel(JobId(call.job()), now, replyJob);
        return;
    case proto::OwnerCall::COUNT:
        answer.set_count(m_owner.pending(QueueId(call.queue())));
        break;
    default:
        if (const auto state = m_owner.state(JobId(call.job())))
            answer.set_state(jobStateName(*state));
        else
            answer.set_status(proto::OwnerAnswer::GONE);
        break;
    }
    reply(answer);
}

/** Handles a call of another entry host. @param reply Called once. */
void EntryNode::handlePeer(ServedCall&& call, HttpListener::Reply reply)
{
    if (call.path == pingPath) {
        proto::PingAnswer answer;
        answer.set_owning(m_session.owning());
        answer.set_store_silent_ms(static_cast<std::uint32_t>(toMs(m_hooks.clock() - m_session.lastStoreReplyAt())));
        answer.set_lag_ms(static_cast<std::uint32_t>(toMs(m_load.lag())));
        reply({ 200, answer.SerializeAsString(), "application/octet-stream", {} });
        return;
    }
    if (call.path == advicePath) {
        servePeerAdvice(call, std::move(reply));
        return;
    }
    if (call.path == relayPath) {
        m_relay.handle(call.body, m_hooks.clock(), std::move(reply));
        return;
    }
    proto::OwnerCall message;
    if (call.path != ownerCallPath || !message.ParseFromString(call.body)) {
        LogLine(LogLevel::Warning, "peer_call_unreadable").with("path", call.path).with("bytes", call.body.size());
        reply({ 400, {}, "application/octet-stream", {} });
        return;
    }
    serveOwnerCall(message, [reply = std::move(reply)](const proto::OwnerAnswer& answer) {
        reply({ 200, answer.SerializeAsString(), "application/octet-stream", {} });
    });
}

void EntryNode::servePeerAdvice(const ServedCall& call, HttpListener::Reply reply)
{
    proto::AdviceCall message;
    if (!message.ParseFromString(call.body)) {
        LogLine(LogLevel::Warning, "peer_call_unreadable").with("path", call.path).with("bytes", call.body.size());
        reply({ 400, {}, "application/octet-stream", {} });
        return;
    }
    AdviceQuestion question;
    question.step = { JobId(message.job()), message.occurrence(), message.step() };
    for (const std::string& target : message.targets())
        question.targets.emplace_back(target);
    m_hooks.advise(
        question, std::chrono::milliseconds(message.timeout_ms()), [reply = std::move(reply)](AdviceReply&& advice) {
            proto::AdviceAnswer answer;
            answer.set_answered(advice.answered);
            for (const auto& [target, ticket] : advice.allowed) {
                auto& row = *answer.add_allowed();
                row.set_target(target.value);
                row.set_ticket(ticket);
            }
            reply({ 200, answer.SerializeAsString(), "application/octet-stream", {} });
        });
}

/**
 * Returns true if this host is ready to serve callers.
 * @param reason Empty string; set to the cause if the host is not ready.
 */
bool EntryNode::ready(Time now, std::string& reason) const
{
    if (draining())
        reason = "shutting down";
    else if (!m_config)
        reason = "no configuration yet";
    else if (!m_session.reachesStore(now))
        reason = "the store does not answer";
    return reason.empty();
}

/**
 * Prepares for shutdown: gives up ownership of the cell and claims it no more.
 * @param answerBy Time by which open requests get their final answer; later ones are refused at once.
 */
void EntryNode::drain(Time answerBy)
{
    m_answerBy = answerBy;
    m_session.setEligible(false);
    m_session.resign("the process is shutting down");
}

/** Performs periodic tasks, retries and time-outs that are due. */
void EntryNode::tick(Time now)
{
    m_session.setEligible(!draining() && m_config.has_value());
    m_session.tick(now);
    if (m_session.owning()) {
        m_owner.setMayOrder(m_owner.active() && m_session.leaseValid(now));
        retryReads(now);
        m_owner.setStoreStalled(m_recordLog.stalled(m_session.lastStoreReplyAt(), now));
        m_owner.setStoreDelay(m_recordLog.delay());
        m_owner.setLag(m_load.lag(), now);
        m_router.setLag(m_load.lag());
        listTargets(now);
        pingPeers(now);
        yieldToStrongerHost(now);
        const Time ownerTickBegan = m_hooks.clock();
        m_owner.tick(ownerTickBegan);
        m_ownerTickTime += m_hooks.clock() - ownerTickBegan;
        m_broker.tick(now);
        m_recordLog.tick(now);
        m_router.tick(now);
    }
    m_relay.tick(now);
    pingOwnerAsStandby(now);
    auto due = std::exchange(m_retries, {});
    for (auto& [at, pending] : due) {
        if (at <= now)
            attemptRequest(pending);
        else
            m_retries.emplace_back(at, std::move(pending));
    }
    answerOpenRequests(now);
}

/** Returns when tick() is due. */
Time EntryNode::wakeAt(Time now) const
{
    Time at = m_session.wakeAt().value_or(now);
    if (m_session.owning()) {
        at = std::min({ at, m_listInFlight ? at : m_nextListAt, m_nextPingAt });
        for (const ReadRetry& retry : m_readRetries)
            at = std::min(at, retry.at);
        if (m_owner.active())
            at = std::min(at, m_owner.wakeAt().value_or(at));
        if (const auto log = m_recordLog.wakeAt())
            at = std::min(at, *log);
        if (const auto router = m_router.wakeAt())
            at = std::min(at, *router);
    }
    if (const auto watch = m_ownerWatch.wakeAt())
        at = std::min(at, *watch);
    if (const auto relay = m_relay.wakeAt())
        at = std::min(at, *relay);
    for (const auto& [when, pending] : m_retries)
        at = std::min(at, when);
    return at;
}

} // namespace sp
