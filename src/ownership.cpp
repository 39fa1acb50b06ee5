#include "ownership.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    std::uint64_t parseCounter(const std::string& text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

} // namespace

/** Key of a shard's owner. @param shard Shard. @return Key in the store. */
std::string ownerKey(const ShardId& shard) { return "/sp/live/owner/" + shard.value; }

/** Key of a shard's term counter. @param shard Shard. @return Key in the store. */
std::string termKey(const ShardId& shard) { return "/sp/term/" + shard.value; }

/** @param config Fixed data. @param call Hook that calls the store and returns the call's ticket. */
Ownership::Ownership(OwnershipConfig config, StoreCall call)
    : m_config(std::move(config))
    , m_call(std::move(call))
{
}

/** Starts the protocol. @param now Present time. */
void Ownership::start(Time now)
{
    m_startedAt = now;
    m_leaseCall = m_call(StoreLeaseGrant { std::chrono::duration_cast<std::chrono::seconds>(m_config.leaseTtl) });
}

/** Sets the shards of the data centre. @param shards All of them. @param now Present time. */
void Ownership::setShards(const std::vector<ShardId>& shards, Time now)
{
    for (const ShardId& id : shards) {
        if (auto [it, added] = m_shards.try_emplace(id); added)
            it->second.freeSince = now;
    }
}

/** Renews the session, claims free shards, lowers holds that have run out. @param now Present time. */
void Ownership::tick(Time now)
{
    if (m_leaseCall.value == 0 && now >= m_nextKeepAlive) {
        m_nextKeepAlive = now + m_config.keepAliveEvery;
        m_leaseCall = m_lease.value
            ? m_call(StoreLeaseKeepAlive { m_lease })
            : m_call(StoreLeaseGrant { std::chrono::duration_cast<std::chrono::seconds>(m_config.leaseTtl) });
    }
    for (auto& [id, shard] : m_shards) {
        if (shard.level == HoldLevel::Store && !sessionFresh(now))
            change(id, shard, HoldLevel::None, "session lapsed");
        const bool mayClaim = sessionFresh(now) && !m_releasing && now - m_startedAt >= m_config.promise;
        if (shard.level == HoldLevel::None && mayClaim && shard.owner.empty() && shard.pending.value == 0)
            shard.pending = m_call(StoreRange { termKey(id), false, {} });
    }
}

/** Takes a reply of the store. @param reply Reply. @param now Present time. @return False if the ticket is not this
 * object's. */
bool Ownership::storeReplied(const StoreReply& reply, Time now)
{
    if (m_leaseCall.value && reply.ticket == m_leaseCall) {
        m_leaseCall = {};
        if (reply.status == StoreStatus::Ok) {
            m_lease = reply.lease;
            m_leaseUntil = reply.sentAt + reply.ttl - m_config.margin;
        } else if (reply.status == StoreStatus::LeaseNotFound) {
            m_lease = {};
            m_nextKeepAlive = now;
        }
        return true;
    }
    for (auto& [id, shard] : m_shards) {
        if (shard.pending.value && reply.ticket == shard.pending) {
            shard.pending = {};
            claimReplied(id, shard, reply, now);
            return true;
        }
    }
    return false;
}

void Ownership::claim(const ShardId& id, Shard& shard, Term last, Time now)
{
    (void)now;
    shard.claimedTerm = Term(last.value + 1);
    shard.token
        = m_config.self.value + "-" + std::to_string(m_config.incarnation.value) + "-" + std::to_string(++m_tokens);
    const nlohmann::json value { { "host", m_config.self.value }, { "incarnation", m_config.incarnation.value },
        { "term", shard.claimedTerm.value }, { "token", shard.token } };
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::Absent, ownerKey(id), {}, {} });
    if (last.value == 0)
        txn.compares.push_back({ StoreCompare::Kind::Absent, termKey(id), {}, {} });
    else
        txn.compares.push_back({ StoreCompare::Kind::Value, termKey(id), {}, std::to_string(last.value) });
    txn.writes.push_back({ StoreWrite::Kind::Put, ownerKey(id), value.dump(), m_lease });
    txn.writes.push_back({ StoreWrite::Kind::Put, termKey(id), std::to_string(shard.claimedTerm.value), {} });
    change(id, shard, HoldLevel::Claiming, "owner key is absent");
    shard.pending = m_call(txn);
}

void Ownership::claimReplied(const ShardId& id, Shard& shard, const StoreReply& reply, Time now)
{
    if (shard.level == HoldLevel::None && reply.status == StoreStatus::Ok) {
        const Term last(reply.values.empty() ? 0 : parseCounter(reply.values.front().value));
        claim(id, shard, last, now);
        return;
    }
    if (shard.level != HoldLevel::Claiming)
        return;
    if (reply.status == StoreStatus::Ok && sessionFresh(now)) {
        shard.term = shard.claimedTerm;
        shard.owner = m_config.self;
        change(id, shard, HoldLevel::Recovering, "claim won");
    } else {
        change(id, shard, HoldLevel::None, "claim failed");
    }
}

/** Takes a change of an owner key. @param shard Shard. @param value New value, absent if deleted. @param revision
 * Revision of the change. @param now Present time. */
void Ownership::ownerKeyChanged(
    const ShardId& shard, const std::optional<std::string>& value, Revision revision, Time now)
{
    (void)revision;
    auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return;
    it->second.ownerValue = value.value_or("");
    it->second.owner = {};
    it->second.freeSince = now;
    if (!value)
        return;
    const auto json = nlohmann::json::parse(*value, nullptr, false);
    if (json.is_object() && json.contains("host") && json["host"].is_string())
        it->second.owner = HostId(json["host"].get<std::string>());
}

/** Notes that a peer lives. @param peer Peer. @param incarnation Its incarnation. @param draining Whether it leaves.
 * @param now Present time. */
void Ownership::peerSeen(const HostId& peer, Incarnation incarnation, bool draining, Time now)
{
    (void)peer;
    (void)incarnation;
    (void)draining;
    (void)now;
}

/** Promise that this scheduler gives. @param peer Peer that asks. @param now Present time. @return Length from the
 * peer's sending time, 0 for none. */
std::chrono::milliseconds Ownership::promiseFor(const HostId& peer, Time now)
{
    (void)peer;
    (void)now;
    return std::chrono::milliseconds(0);
}

/** Notes a promise of a peer. @param peer Peer. @param sentAt When this scheduler asked. @param promise Length. @param
 * now Present time. */
void Ownership::promiseReceived(const HostId& peer, Time sentAt, std::chrono::milliseconds promise, Time now)
{
    (void)peer;
    (void)sentAt;
    (void)promise;
    (void)now;
}

/** Notes that a recovery is complete. @param shard Shard. @param now Present time. */
void Ownership::recovered(const ShardId& shard, Time now)
{
    (void)now;
    if (auto it = m_shards.find(shard); it != m_shards.end() && it->second.level == HoldLevel::Recovering)
        change(shard, it->second, HoldLevel::Store, "all targets have answered");
}

/** Notes that a target has seen a higher term. @param shard Shard. @param higher That term. @param now Present time. */
void Ownership::superseded(const ShardId& shard, Term higher, Time now)
{
    (void)now;
    if (auto it = m_shards.find(shard);
        it != m_shards.end() && higher > it->second.term && it->second.level != HoldLevel::None)
        change(shard, it->second, HoldLevel::None, "a target has seen a higher term");
}

/** Gives up all holds and the session. @param now Present time. */
void Ownership::releaseAll(Time now)
{
    (void)now;
    m_releasing = true;
    for (auto& [id, shard] : m_shards) {
        if (shard.level != HoldLevel::None)
            change(id, shard, HoldLevel::None, "shutdown");
    }
    if (m_lease.value)
        m_call(StoreLeaseRevoke { m_lease });
}

/** Hold level. @param shard Shard. @param now Present time. @return Level, None if the shard is unknown. */
HoldLevel Ownership::level(const ShardId& shard, Time now) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return HoldLevel::None;
    const HoldLevel level = it->second.level;
    return (level == HoldLevel::Store || level == HoldLevel::Recovering) && !sessionFresh(now) ? HoldLevel::None
                                                                                               : level;
}

/** Term of the present or last hold. @param shard Shard. @return Term, 0 if never held. */
Term Ownership::term(const ShardId& shard) const
{
    const auto it = m_shards.find(shard);
    return it == m_shards.end() ? Term() : it->second.term;
}

/** Owner as the store names it. @param shard Shard. @return Host, if one is known. */
std::optional<HostId> Ownership::ownerOf(const ShardId& shard) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.owner.empty())
        return std::nullopt;
    return it->second.owner;
}

/** @return Changes since the last call, in order. */
std::vector<HoldChange> Ownership::takeChanges() { return std::exchange(m_changes, {}); }

/** Whether the session lease is fresh on the local clock. @param now Present time. @return True if so. */
bool Ownership::sessionFresh(Time now) const { return m_lease.value != 0 && now < m_leaseUntil; }

/** @return Session lease, 0 if there is none. */
StoreLeaseId Ownership::sessionLease() const { return m_lease; }

void Ownership::change(const ShardId& id, Shard& shard, HoldLevel to, const std::string& reason)
{
    m_changes.push_back({ id, shard.level, to, shard.term, reason });
    shard.level = to;
}

} // namespace sp
