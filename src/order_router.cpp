#include "order_router.h"

#include "fnv_hash_func.h"
#include "log_line.h"
#include "proto/cell.pb.h"
#include "relay_codec.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::size_t relayFromTargets = 100; ///< Up to here one host's processor carries all calls.
    constexpr std::size_t mostRelays = 6; ///< Keeps the calls few; each relay then carries 130 targets of 770.
    constexpr std::chrono::milliseconds exchangePause { 10 }; ///< Gathers orders and results; small beside a task.
    constexpr std::chrono::milliseconds relayWait { 400 }; ///< A silent connection is noticed after this and the slack.
    constexpr std::chrono::milliseconds relaySlack { 350 }; ///< A loaded host answers within this.
    constexpr std::chrono::milliseconds promptAnswer { 200 }; ///< A second call is answered at once, the first too.
    constexpr std::chrono::milliseconds avoidTime { 2000 }; ///< A host that restarts is back by then.
    constexpr std::chrono::milliseconds orderLimit { 1000 }; ///< Both hosts' ways and the relay's own time limit.
    constexpr std::chrono::milliseconds checkInterval { 100 }; ///< Overdue orders are found no finer than this.
    constexpr std::size_t mostOrders = 150; ///< Of one call; each takes up to 5 KB of a body of 1 MB.

    /** Rank of a host for a target, independent for each pair. */
    std::uint64_t rankOf(const HostId& host, const TargetId& target)
    {
        // The last bytes hardly reach the high bits of this hash; two multiplications spread them.
        std::uint64_t rank = fnvHash(target.value, fnvHash(host.value));
        for (int i = 0; i < 2; ++i) {
            rank ^= rank >> 33U;
            rank *= 0xff51afd7ed558ccdULL;
        }
        return rank;
    }

    std::chrono::milliseconds waitOf(const TargetOrder& order)
    {
        const auto* look = std::get_if<LookOrder>(&order);
        return look ? look->wait : std::chrono::milliseconds(0);
    }

} // namespace

/** @param hooks Surroundings. */
OrderRouter::OrderRouter(OrderRouterHooks hooks)
    : m_hooks(std::move(hooks))
{
}

/** Begins anew under a token; replies to earlier orders are dropped. @param token Token of the ownership. */
void OrderRouter::begin(FencingToken token)
{
    ++m_round;
    m_token = token;
    m_relays.clear();
}

/**
 * Chooses the relays.
 * @param self This host.
 * @param members All hosts.
 * @param targets Number of targets of the cell.
 */
void OrderRouter::setHosts(const HostId& self, const std::map<HostId, CellMember>& members, std::size_t targets)
{
    std::vector<const CellMember*> hosts;
    for (const auto& [host, member] : members) {
        if (host != self && targets > relayFromTargets)
            hosts.push_back(&member);
    }
    std::sort(hosts.begin(), hosts.end(), [](const CellMember* a, const CellMember* b) {
        return std::tie(b->strengthMilli, a->host) < std::tie(a->strengthMilli, b->host);
    });
    hosts.resize(std::min(hosts.size(), mostRelays));
    const auto chosen = [&](const HostId& host) {
        return std::any_of(hosts.begin(), hosts.end(), [&](const CellMember* member) { return member->host == host; });
    };
    const Time now = m_hooks.clock();
    for (auto it = m_relays.begin(); it != m_relays.end();) {
        const auto current = it++;
        const auto member = members.find(current->first);
        if (member == members.end() || member->second.address != current->second.address) {
            auto dropped = m_relays.extract(current); // Its orders must not come back to it.
            fail(dropped.key(), dropped.mapped(), "it is not a member any more", now);
            continue;
        }
        current->second.retired = !chosen(current->first);
        if (current->second.retired && current->second.open.empty())
            m_relays.erase(current);
    }
    for (const CellMember* member : hosts) {
        if (const auto [it, added] = m_relays.try_emplace(member->host); added) {
            it->second.address = member->address;
            it->second.round = ++m_lastRound;
            LogLine(LogLevel::Info, "relay_chosen").with("host", member->host).with("targets", targets);
        }
    }
}

/** Relay of a target: the same one as long as the relays stay. @return Null if the target is called directly. */
OrderRouter::Relay* OrderRouter::relayFor(const TargetId& target, Time now)
{
    Relay* best = nullptr;
    std::uint64_t bestRank = 0;
    for (auto& [host, relay] : m_relays) {
        const std::uint64_t rank = rankOf(host, target);
        if (!relay.retired && now >= relay.avoidUntil && (!best || rank > bestRank)) {
            best = &relay;
            bestRank = rank;
        }
    }
    return best;
}

/** Sends an order. @param target Target. @param order Order. @param reply Called once, unless begin() comes first. */
void OrderRouter::send(const TargetRef& target, const TargetOrder& order, TargetReply reply)
{
    const Time now = m_hooks.clock();
    Relay* relay = relayFor(target.id, now);
    if (!relay) {
        m_hooks.direct(target, order, std::move(reply));
        return;
    }
    const std::uint64_t serial = ++m_lastSerial;
    relay->open.emplace(serial, Open { target, order, std::move(reply), false, now + waitOf(order) + orderLimit });
    relay->waiting.push_back(serial);
}

/** Hosts that get orders. @return Number. */
std::size_t OrderRouter::relays() const
{
    return static_cast<std::size_t>(
        std::count_if(m_relays.begin(), m_relays.end(), [](const auto& entry) { return !entry.second.retired; }));
}

/** Whether a relay has something to be called for. A second call makes it answer the first one. */
bool OrderRouter::mayCall(const Relay& relay) const
{
    return relay.calls == 0 ? !relay.open.empty() : relay.calls == 1 && !relay.waiting.empty();
}

/** Calls the relays that are due. @param now Present time. */
void OrderRouter::tick(Time now)
{
    for (auto& [host, relay] : m_relays) {
        if (relay.calls > 1 && now - relay.calledAt > promptAnswer)
            fail(host, relay, "silent", now);
        else if (mayCall(relay) && now - relay.calledAt >= exchangePause)
            exchange(host, relay, now);
    }
    if (now - m_checkedAt >= checkInterval) {
        m_checkedAt = now;
        dropOverdue(now);
    }
}

/** When tick() is due. @return Time, nothing while no relay has orders. */
std::optional<Time> OrderRouter::wakeAt() const
{
    std::optional<Time> at;
    for (const auto& [host, relay] : m_relays) {
        if (relay.open.empty())
            continue;
        const Time next = mayCall(relay) ? relay.calledAt + exchangePause : m_checkedAt + checkInterval;
        at = std::min(at.value_or(next), next);
    }
    return at;
}

/** Hands the waiting orders to a relay and waits there for results. */
void OrderRouter::exchange(const HostId& host, Relay& relay, Time now)
{
    proto::RelayCall call;
    call.set_token(m_token.value);
    call.set_wait_ms(static_cast<std::uint32_t>(relayWait.count()));
    std::vector<std::uint64_t> waiting = std::exchange(relay.waiting, {});
    if (waiting.size() > mostOrders) {
        relay.waiting.assign(waiting.begin() + mostOrders, waiting.end());
        waiting.resize(mostOrders);
    }
    for (const std::uint64_t serial : waiting) {
        const auto it = relay.open.find(serial);
        if (it == relay.open.end())
            continue; // Overdue before it could be handed over.
        it->second.handedOver = true;
        auto& order = *call.add_orders();
        order.set_serial(serial);
        toProto(it->second.target, it->second.order, order);
    }
    ++relay.calls;
    relay.calledAt = now;
    m_hooks.callRelay(relay.address, call.SerializeAsString(), relayWait + relaySlack,
        [this, host, round = relay.round](HttpResult&& result) { takeAnswer(host, round, result, m_hooks.clock()); });
}

void OrderRouter::takeAnswer(const HostId& host, std::uint64_t round, const HttpResult& result, Time now)
{
    const auto found = m_relays.find(host);
    if (found == m_relays.end())
        return; // Not a relay any more; its orders were given up then.
    Relay& relay = found->second;
    if (relay.round != round)
        return; // It has failed since the call.
    --relay.calls;
    proto::RelayAnswer answer;
    if (!result.complete || result.status != 200 || !answer.ParseFromString(result.body)) {
        fail(host, relay, result.refused ? "its process has ended" : "no answer", now);
        return;
    }
    if (answer.superseded()) {
        fail(host, relay, "it serves a newer owner", now);
        return;
    }
    if (relay.instance != 0 && relay.instance != answer.instance()) {
        relay.instance = answer.instance();
        fail(host, relay, "its process is a new one", now);
        return;
    }
    relay.instance = answer.instance();
    std::vector<std::pair<TargetReply, std::pair<OrderAnswer, RunReport>>> replies;
    for (const proto::RelayResult& message : answer.results()) {
        auto open = relay.open.extract(message.serial());
        if (open.empty())
            continue; // Given up before.
        auto read = fromProto(message);
        if (!read) {
            LogLine(LogLevel::Error, "relay_result_unreadable").with("host", host).with("result", message.result());
            read.emplace(OrderAnswer {}, RunReport {});
        }
        replies.emplace_back(std::move(open.mapped().reply), std::move(*read));
    }
    // A reply may begin anew or send further orders.
    const std::uint64_t begun = m_round;
    for (const auto& [reply, read] : replies) {
        if (begun != m_round)
            return;
        reply(read.first, read.second);
    }
}

/** A relay does not serve: what it was handed counts as without an answer, the rest goes directly. */
void OrderRouter::fail(const HostId& host, Relay& relay, const char* reason, Time now)
{
    relay.avoidUntil = now + avoidTime;
    relay.round = ++m_lastRound;
    relay.calls = 0;
    relay.waiting.clear();
    auto orders = std::exchange(relay.open, {});
    LogLine(LogLevel::Warning, "relay_lost")
        .with("host", host)
        .with("reason", reason)
        .with("orders", orders.size())
        .with("token", m_token);
    const std::uint64_t round = m_round;
    for (auto& [serial, open] : orders) {
        if (round != m_round)
            return;
        if (open.handedOver)
            open.reply({ OrderResult::Lost, {} }, {});
        else
            m_hooks.direct(open.target, open.order, std::move(open.reply));
    }
}

void OrderRouter::dropOverdue(Time now)
{
    std::vector<TargetReply> overdue;
    for (auto& [host, relay] : m_relays) {
        for (auto it = relay.open.begin(); it != relay.open.end();) {
            const auto current = it++;
            if (now < current->second.answerBy)
                continue;
            LogLine(LogLevel::Warning, "relay_order_overdue")
                .with("host", host)
                .with("target", current->second.target.id);
            overdue.push_back(std::move(current->second.reply));
            relay.open.erase(current);
        }
    }
    const std::uint64_t round = m_round;
    for (const TargetReply& reply : overdue) {
        if (round == m_round)
            reply({ OrderResult::Lost, {} }, {});
    }
}

} // namespace sp
