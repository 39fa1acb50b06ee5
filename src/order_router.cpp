#include "order_router.h"

#include "fnv_hash_func.h"
#include "log_line.h"
#include "proto/cell.pb.h"
#include "relay_codec.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::size_t maxDirectTargets
        = 100; ///< One host has the processor time to call this many targets directly.
    constexpr std::size_t maxRelays
        = 6; ///< Limits the number of calls; in a cell of 770 targets each relay serves about 130.
    constexpr std::chrono::milliseconds relayCallInterval {
        10
    }; ///< Collects orders and results into one call; short compared with a task.
    constexpr std::chrono::milliseconds longPollTime {
        400
    }; ///< Long-poll time; a dead connection is detected after this plus relayAnswerMargin.
    constexpr std::chrono::milliseconds relayAnswerMargin { 350 }; ///< A loaded host answers within this.
    constexpr std::chrono::milliseconds firstCallAnswerTimeout {
        200
    }; ///< A second call makes the relay answer the first one at once; one that has not done so by then has failed.
    constexpr std::chrono::milliseconds relayAvoidance { 2000 }; ///< A host that restarts serves again by then.
    constexpr std::chrono::milliseconds orderTimeout {
        1000
    }; ///< Added to the long-poll time of an order; covers both network hops and the relay's own time limit.
    constexpr std::chrono::milliseconds expiryCheckInterval {
        100
    }; ///< Resolution at which overdue orders are detected.
    /** Turns of the owner's event loop from a call to its answer: it is sent in one and received in the next two. */
    constexpr int turnsForAnswer = 3;
    constexpr std::size_t maxOrdersPerCall
        = 150; ///< An order takes up to 5 KB, and the body of a call is limited to 1 MB.

    /** Rank of a host for a target, for rendezvous hashing. */
    std::uint64_t rankOf(const HostId& host, const TargetId& target)
    {
        // The last bytes barely affect the high bits of an FNV hash; two multiplications mix them in. The constant is
        // the first multiplier of the 64-bit finalizer of MurmurHash3.
        std::uint64_t rank = fnvHash(target.value, fnvHash(host.value));
        for (int i = 0; i < 2; ++i) {
            rank ^= rank >> 33U;
            rank *= 0xff51afd7ed558ccdULL;
        }
        return rank;
    }

    std::chrono::milliseconds longPollTimeOf(const TargetOrder& order)
    {
        const auto* request = std::get_if<LookOrder>(&order);
        return request ? request->wait : std::chrono::milliseconds(0);
    }

} // namespace

OrderRouter::OrderRouter(OrderRouterHooks hooks)
    : m_hooks(std::move(hooks))
{
}

/** Starts a new ownership without relays; replies to earlier orders are discarded. @param token Its fencing token. */
void OrderRouter::begin(FencingToken token)
{
    ++m_epoch;
    m_token = token;
    m_relays.clear();
}

/**
 * Chooses the relays: the members with the most processor capacity other than this host, or none in a cell of at most
 * maxDirectTargets targets.
 * @param targets Number of targets of the cell.
 */
void OrderRouter::setHosts(const HostId& self, const std::map<HostId, CellMember>& members, std::size_t targets)
{
    std::vector<const CellMember*> hosts;
    for (const auto& [host, member] : members) {
        if (host != self && targets > maxDirectTargets)
            hosts.push_back(&member);
    }
    std::sort(hosts.begin(), hosts.end(), [](const CellMember* a, const CellMember* b) {
        return std::tie(b->strengthMilli, a->host) < std::tie(a->strengthMilli, b->host);
    });
    hosts.resize(std::min(hosts.size(), maxRelays));
    const auto chosen = [&](const HostId& host) {
        return std::any_of(hosts.begin(), hosts.end(), [&](const CellMember* member) { return member->host == host; });
    };
    const Time now = m_hooks.clock();
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        const auto current = it++;
        const auto member = members.find(current->first);
        if (member == members.end() || member->second.address != current->second.address) {
            auto removedRelay
                = m_relays.extract(current); // Removed first, so that failRelay() can't send its orders to it again.
            failRelay(removedRelay.key(), removedRelay.mapped(), "the relay is no longer a member", now);
            continue;
        }
        current->second.retiring = !chosen(current->first);
        if (current->second.retiring && current->second.pending.empty())
            m_relays.erase(current);
    }
    for (const CellMember* member : hosts) {
        if (const auto [it, added] = m_relays.try_emplace(member->host); added) {
            it->second.address = member->address;
            it->second.epoch = ++m_lastRelayEpoch;
            LogLine(LogLevel::Info, "relay_chosen").with("host", member->host).with("targets", targets);
        }
    }
}

/** Returns the relay of a target, which depends only on the set of usable relays; null if it is called directly. */
OrderRouter::Relay* OrderRouter::relayFor(const TargetId& target, Time now)
{
    Relay* best = nullptr;
    std::uint64_t bestRank = 0;
    for (auto& [host, relay] : m_relays) {
        const std::uint64_t rank = rankOf(host, target);
        if (!relay.retiring && now >= relay.avoidUntil && (!best || rank > bestRank)) {
            best = &relay;
            bestRank = rank;
        }
    }
    return best;
}

/** Sends an order. @param reply Called once, unless begin() is called before the result arrives. */
void OrderRouter::send(const TargetRef& target, const TargetOrder& order, TargetReply reply)
{
    const Time now = m_hooks.clock();
    Relay* relay = relayFor(target.id, now);
    if (!relay) {
        m_hooks.direct(target, order, std::move(reply));
        return;
    }
    const std::uint64_t serial = ++m_lastSerial;
    relay->pending.emplace(
        serial, PendingOrder { target, order, std::move(reply), false, now + longPollTimeOf(order) + orderTimeout });
    relay->unsent.push_back(serial);
}

/** Returns the time by which answers seem late because they wait for the event loop of this host. */
Duration OrderRouter::lagAllowance() const { return m_lag * turnsForAnswer; }

/** Returns the number of chosen relays, including those that get no orders for a time after a failure. */
std::size_t OrderRouter::relayCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_relays.begin(), m_relays.end(), [](const auto& entry) { return !entry.second.retiring; }));
}

/**
 * Returns true if a call has a purpose: to learn the relay's clock, to wait for results, or, as second call, to deliver
 * new orders at once.
 */
bool OrderRouter::needsCall(const Relay& relay, Time now)
{
    if (relay.instance == 0)
        return relay.callsInFlight == 0 && !relay.retiring && now >= relay.avoidUntil;
    return relay.callsInFlight == 0 ? !relay.pending.empty() : relay.callsInFlight == 1 && !relay.unsent.empty();
}

/** Calls the relays that are due, and reports overdue orders as lost. */
void OrderRouter::tick(Time now)
{
    for (auto& [host, relay] : m_relays) {
        if (relay.callsInFlight > 1 && now - relay.lastCallAt > firstCallAnswerTimeout + lagAllowance())
            failRelay(host, relay, "silent", now);
        else if (needsCall(relay, now) && now - relay.lastCallAt >= relayCallInterval)
            relay.instance == 0 ? greet(host, relay, now) : sendOrders(host, relay, now);
    }
    if (now - m_lastExpiryCheckAt >= expiryCheckInterval) {
        m_lastExpiryCheckAt = now;
        expireOrders(now);
    }
}

/** Returns when tick() is due, or nothing while no relay has orders. */
std::optional<Time> OrderRouter::wakeAt() const
{
    std::optional<Time> at;
    for (const auto& [host, relay] : m_relays) {
        const bool greeting = relay.instance == 0 && relay.callsInFlight == 0 && !relay.retiring;
        if (relay.pending.empty() && !greeting)
            continue;
        const bool calls = greeting || needsCall(relay, relay.avoidUntil);
        const Time next = calls ? std::max(relay.lastCallAt + relayCallInterval, greeting ? relay.avoidUntil : Time {})
                                : m_lastExpiryCheckAt + expiryCheckInterval;
        at = std::min(at.value_or(next), next);
    }
    return at;
}

/** Calls a relay without orders, which can be sent once its clock is known. */
void OrderRouter::greet(const HostId& host, Relay& relay, Time now)
{
    proto::RelayCall call;
    call.set_token(m_token.value);
    callRelay(host, relay, call, firstCallAnswerTimeout, now);
}

/** Sends the waiting orders to a relay in a long-poll call that returns results. */
void OrderRouter::sendOrders(const HostId& host, Relay& relay, Time now)
{
    proto::RelayCall call;
    call.set_token(m_token.value);
    call.set_wait_ms(static_cast<std::uint32_t>(longPollTime.count()));
    std::vector<std::uint64_t> unsent = std::exchange(relay.unsent, {});
    if (unsent.size() > maxOrdersPerCall) {
        relay.unsent.assign(unsent.begin() + maxOrdersPerCall, unsent.end());
        unsent.resize(maxOrdersPerCall);
    }
    Time sendBefore = now + orderTimeout + lagAllowance(); // The orders are reported as lost by then.
    for (const std::uint64_t serial : unsent) {
        const auto it = relay.pending.find(serial);
        if (it == relay.pending.end())
            continue; // Expired before it was sent.
        it->second.sentToRelay = true;
        if (const Time limit = it->second.target.sendBefore; limit != Time {})
            sendBefore = std::min(sendBefore, limit);
        auto& order = *call.add_orders();
        order.set_serial(serial);
        toProto(it->second.target, it->second.order, order);
    }
    call.set_instance(relay.instance);
    if (relay.clock)
        call.set_send_before_ms(toMs(*relay.clock + (sendBefore - relay.clockSeenAt)));
    callRelay(host, relay, call, longPollTime + relayAnswerMargin, now);
}

/** @param answerTime Time within which the relay answers, unless this host is busy. */
void OrderRouter::callRelay(
    const HostId& host, Relay& relay, const proto::RelayCall& call, std::chrono::milliseconds answerTime, Time now)
{
    ++relay.callsInFlight;
    relay.lastCallAt = now;
    m_hooks.callRelay(relay.address, call.SerializeAsString(),
        answerTime + std::chrono::ceil<std::chrono::milliseconds>(lagAllowance()),
        [this, host, epoch = relay.epoch](HttpResult&& result) { handleAnswer(host, epoch, result, m_hooks.clock()); });
}

void OrderRouter::handleAnswer(const HostId& host, std::uint64_t epoch, const HttpResult& result, Time now)
{
    const auto relayEntry = m_relays.find(host);
    if (relayEntry == m_relays.end())
        return; // No longer a relay; its orders were resolved when it was removed.
    Relay& relay = relayEntry->second;
    if (relay.epoch != epoch)
        return; // The relay has failed since this call.
    --relay.callsInFlight;
    proto::RelayAnswer answer;
    if (!result.complete || result.status != 200 || !answer.ParseFromString(result.body)) {
        failRelay(host, relay, result.refused ? "the relay refused the connection" : "the relay did not answer", now);
        return;
    }
    if (answer.has_clock_ms()) {
        relay.clock = std::chrono::milliseconds(answer.clock_ms());
        relay.clockSeenAt = now;
    }
    if (answer.superseded()) {
        failRelay(host, relay, "the relay serves a newer owner", now);
        return;
    }
    if (relay.instance != 0 && relay.instance != answer.instance()) {
        relay.instance = answer.instance();
        failRelay(host, relay, "the relay has restarted", now);
        return;
    }
    relay.instance = answer.instance();
    std::vector<std::pair<TargetReply, std::pair<OrderAnswer, RunReport>>> replies;
    for (const proto::RelayResult& message : answer.results()) {
        auto pending = relay.pending.extract(message.serial());
        if (pending.empty())
            continue; // Already reported as lost.
        auto decoded = fromProto(message);
        if (!decoded) {
            LogLine(LogLevel::Error, "relay_result_unreadable").with("host", host).with("result", message.result());
            decoded.emplace(OrderAnswer {}, RunReport {});
        }
        replies.emplace_back(std::move(pending.mapped().reply), std::move(*decoded));
    }
    // A reply may call begin() or send further orders.
    const std::uint64_t startEpoch = m_epoch;
    for (const auto& [reply, decoded] : replies) {
        if (startEpoch != m_epoch)
            return;
        reply(decoded.first, decoded.second);
    }
}

/** Handles a failed relay: orders sent to it are reported as lost, the others are sent directly to their targets. */
void OrderRouter::failRelay(const HostId& host, Relay& relay, const char* reason, Time now)
{
    relay.avoidUntil = now + relayAvoidance;
    relay.epoch = ++m_lastRelayEpoch;
    relay.callsInFlight = 0;
    relay.unsent.clear();
    auto orders = std::exchange(relay.pending, {});
    LogLine(LogLevel::Warning, "relay_lost")
        .with("host", host)
        .with("reason", reason)
        .with("orders", orders.size())
        .with("token", m_token);
    const std::uint64_t epoch = m_epoch;
    for (auto& [serial, pending] : orders) {
        if (epoch != m_epoch)
            return;
        if (pending.sentToRelay)
            pending.reply({ OrderResult::Lost, {} }, {});
        else
            m_hooks.direct(pending.target, pending.order, std::move(pending.reply));
    }
}

void OrderRouter::expireOrders(Time now)
{
    std::vector<TargetReply> overdue;
    for (auto& [host, relay] : m_relays) {
        for (auto it = relay.pending.begin(); it != relay.pending.end();) {
            const auto current = it++;
            if (now < current->second.deadline + lagAllowance())
                continue;
            LogLine(LogLevel::Warning, "relay_order_overdue")
                .with("host", host)
                .with("target", current->second.target.id);
            overdue.push_back(std::move(current->second.reply));
            relay.pending.erase(current);
        }
    }
    const std::uint64_t epoch = m_epoch;
    for (const TargetReply& reply : overdue) {
        if (epoch == m_epoch)
            reply({ OrderResult::Lost, {} }, {});
    }
}

} // namespace sp
