#include "ownership.h"

#include "chart_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sp {

namespace {

    /** The text is compiled in and a test parses it, so that a fault in it can't reach a running process. */
    StateChart holdChart()
    {
        return leaf::try_handle_all(
            []() -> leaf::result<StateChart> { return StateChart::parse(holdChartText, "hold.chart"); },
            [](const ErrorDetail& detail) -> StateChart { throw std::logic_error(detail.text); },
            []() -> StateChart { throw std::logic_error("hold.chart"); });
    }

    HoldLevel levelNamed(const std::string& name)
    {
        for (const HoldLevel level : { HoldLevel::None, HoldLevel::Claiming, HoldLevel::Recovering, HoldLevel::Store,
                 HoldLevel::Promise, HoldLevel::Fenced, HoldLevel::Lost }) {
            if (name == holdLevelName(level))
                return level;
        }
        throw std::logic_error("hold.chart has the state " + name + ", which is no hold level");
    }

    std::string textField(const nlohmann::json& json, const char* name)
    {
        const auto it = json.find(name);
        return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::uint64_t numberField(const nlohmann::json& json, const char* name)
    {
        const auto it = json.find(name);
        return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
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
    , m_chart(holdChart())
    , m_random(m_config.seed)
{
    for (const std::string& name : m_chart.states())
        m_levels.push_back(levelNamed(name));
    for (const HostId& peer : m_config.peers)
        addPeer(peer);
}

/** Starts the protocol. No shard is claimed for one promise period, since promises of an earlier run are not known.
 * @param now Present time. */
void Ownership::start(Time now)
{
    m_startedAt = now;
    m_nextSessionCall = now;
    keepSession(now);
}

/** Sets the shards of the data centre. @param shards All of them. @param now Present time. */
void Ownership::setShards(const std::vector<ShardId>& shards, Time now)
{
    for (const ShardId& id : shards) {
        if (auto [it, added] = m_shards.try_emplace(id); added) {
            it->second.state = m_chart.initial();
            it->second.freeSince = now;
            // Promises given before the shards were known were not kept, so they count as given now.
            if (!m_config.faults.skipRestartWait)
                it->second.promisedUntil = now + m_config.promise;
        }
    }
}

/** Adds a scheduler of the data centre that the settings don't name but the store's member list does. It is never
 * removed: once its entry is gone it may come back and claim while this scheduler can't see the list.
 * @param peer Scheduler. */
void Ownership::addPeer(const HostId& peer)
{
    if (peer != m_config.self)
        m_peers.try_emplace(peer);
}

/** Renews the session, claims free shards, lowers holds that have run out. @param now Present time. */
void Ownership::tick(Time now)
{
    keepSession(now);
    for (auto& [id, shard] : m_shards) {
        refresh(id, shard, now);
        if (shard.ticket.value == 0 && now >= shard.nextTry)
            work(id, shard, now);
    }
    handOver(now);
}

/** Takes a change of an owner key from a watch or a reconciling read. Older news than already known is ignored.
 * @param shard Shard. @param value New value, absent if deleted. @param revision Store revision at which this was true.
 * @param now Present time. */
void Ownership::ownerKeyChanged(
    const ShardId& shard, const std::optional<std::string>& value, Revision revision, Time now)
{
    if (auto it = m_shards.find(shard); it != m_shards.end())
        noteOwner(shard, it->second, value, revision, now);
}

/** Notes that a peer lives. @param peer Peer. @param incarnation Its incarnation. @param draining Whether it leaves.
 * @param now Present time. @param ready Whether it can take a shard. */
void Ownership::peerSeen(const HostId& peer, Incarnation incarnation, bool draining, Time now, bool ready)
{
    if (peer == m_config.self)
        return;
    Peer& known = m_peers[peer];
    known.incarnation = incarnation;
    known.seenAt = now;
    known.draining = draining;
    known.ready = ready;
}

/** Takes the shards that a peer announces in a heartbeat. A higher term for a shard held here ends the own hold. Must
 * be called before promiseFor, since a promise covers only announced shards. @param peer Peer. @param incarnation Its
 * incarnation. @param sentAt Sending time on its clock. @param loads Announced shards with their terms.
 * @param now Present time. */
void Ownership::peerHolds(
    const HostId& peer, Incarnation incarnation, Time sentAt, const std::vector<ShardLoad>& loads, Time now)
{
    if (peer == m_config.self)
        return;
    Peer& known = m_peers[peer];
    known.holdsAt = now;
    known.mayPromise = true;
    std::vector<Shard*> covered;
    for (const ShardLoad& load : loads) {
        const auto it = m_shards.find(load.shard);
        const bool isHold
            = load.level != HoldLevel::None && load.level != HoldLevel::Claiming && load.level != HoldLevel::Lost;
        if (it == m_shards.end() || !isHold)
            continue;
        if (canPromise(it->first, it->second, load.term, now))
            covered.push_back(&it->second);
        else
            known.mayPromise = false;
    }
    if (known.incarnation == incarnation && known.announcedAt && sentAt > *known.announcedAt)
        dropPromises(peer, covered, now);
    if (known.incarnation != incarnation || !known.announcedAt || sentAt > *known.announcedAt)
        known.announcedAt = sentAt;
    known.incarnation = incarnation;
    if (!known.mayPromise)
        return;
    for (Shard* shard : covered) {
        shard->promisedUntil = std::max<Time>(shard->promisedUntil, now + m_config.promise);
        shard->promisedTo = peer;
    }
}

/** Ends the promises for shards that a peer held and announces no longer, so that a shard that was handed over can be
 * claimed at once. Safe because a scheduler announces each shard for as long as it holds it at any level. */
void Ownership::dropPromises(const HostId& peer, const std::vector<Shard*>& covered, Time now)
{
    for (auto& [id, shard] : m_shards) {
        if (shard.promisedTo != peer || std::find(covered.begin(), covered.end(), &shard) != covered.end())
            continue;
        shard.promisedTo = {};
        shard.promisedUntil = std::min(shard.promisedUntil, now);
    }
}

/** Completes the loads of a heartbeat: peers promise only what it announces, and take a shard that it leaves out for
 * given up. @param loads Loads; held shards that are missing or shown at a level below are added as fenced. */
void Ownership::addHeld(std::vector<ShardLoad>& loads) const
{
    for (const auto& [id, shard] : m_shards) {
        const auto it = std::find_if(
            loads.begin(), loads.end(), [&, name = id](const ShardLoad& load) { return load.shard == name; });
        if (!isHeld(shard))
            continue;
        if (it == loads.end())
            loads.push_back({ id, shard.term, HoldLevel::Fenced, {}, 0 });
        else if (it->level == HoldLevel::None || it->level == HoldLevel::Claiming || it->level == HoldLevel::Lost)
            it->level = HoldLevel::Fenced;
    }
}

/** Whether this scheduler can promise not to claim a shard that a peer announces under a term. */
bool Ownership::canPromise(const ShardId& id, Shard& shard, Term announced, Time now)
{
    if (isHeld(shard) && announced > shard.term)
        lose(id, shard, "superseded", "a peer announces a higher term");
    const bool isClaimOpen = levelOf(shard.state) == HoldLevel::Claiming || shard.isUnresolved;
    if (announced < shard.highest || isHeld(shard) || (isClaimOpen && !m_config.faults.promiseWhileClaiming)) {
        refresh(id, shard, now);
        return false;
    }
    shard.highest = announced;
    return true;
}

/** Promise that this scheduler gives for the shards that peerHolds named at the same time.
 * @param peer Peer that asks. @param now Present time. @return Length from the peer's sending time, 0 for none. */
std::chrono::milliseconds Ownership::promiseFor(const HostId& peer, Time now)
{
    const auto it = m_peers.find(peer);
    const bool isGiven = it != m_peers.end() && it->second.holdsAt == now && it->second.mayPromise;
    return isGiven ? m_config.promise : std::chrono::milliseconds(0);
}

/** Notes a promise of a peer. @param peer Peer. @param sentAt When this scheduler sent the heartbeat that announced
 * its shards. @param promise Length from then, 0 for none. @param now Present time. */
void Ownership::promiseReceived(const HostId& peer, Time sentAt, std::chrono::milliseconds promise, Time now)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || promise.count() <= 0 || sentAt > now)
        return;
    if (it->second.promiseSentAt && *it->second.promiseSentAt >= sentAt)
        return;
    it->second.promiseSentAt = sentAt;
    it->second.promiseUntil = sentAt + promise - m_config.margin;
}

/** Notes that a recovery is complete. @param shard Shard. @param now Present time. */
void Ownership::recovered(const ShardId& shard, Time now)
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end() || !isHeld(it->second))
        return;
    it->second.recovered = true;
    refresh(shard, it->second, now);
}

/** Notes that a target has seen a higher term. @param shard Shard. @param higher That term. @param now Present time. */
void Ownership::superseded(const ShardId& shard, Term higher, Time now)
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return;
    it->second.highest = std::max(it->second.highest, higher);
    if (!isHeld(it->second) || higher <= it->second.term)
        return;
    // The key may still be there, for instance if the store has lost a term; without it the shard can be claimed anew.
    it->second.releaseValue = it->second.keyValue;
    it->second.nextTry = now;
    lose(shard, it->second, "superseded", "a target has seen a higher term");
}

/** Gives up all holds and claims nothing more. The session lives on until endSession. @param now Present time. */
void Ownership::releaseAll(Time now)
{
    m_isReleasing = true;
    for (auto& [id, shard] : m_shards) {
        if (!isHeld(shard) && levelOf(shard.state) != HoldLevel::Claiming)
            continue;
        shard.releaseValue = shard.keyValue;
        shard.nextTry = now;
        lose(id, shard, "released", "shutdown");
    }
    tick(now);
}

/** Whether all shards are given up. @param now Present time. @return True if the owner keys are deleted or the session
 * that protects them has lapsed. */
bool Ownership::isReleased(Time now) const
{
    return !sessionFresh(now) || std::all_of(m_shards.begin(), m_shards.end(), [](const auto& entry) {
        return entry.second.releaseValue.empty() && entry.second.ticket.value == 0;
    });
}

/** Ends the session at the end of a shutdown, after the calls in flight. @param now Present time. */
void Ownership::endSession(Time now)
{
    if (m_isEnded)
        return;
    if (!m_isReleasing)
        releaseAll(now);
    m_isEnded = true;
    m_leaseUntil = {};
    if (m_lease.value)
        m_sessionCalls[m_call(StoreLeaseRevoke { m_lease })] = { false, m_lease };
}

/** Hold level. @param shard Shard. @param now Present time. @return Level, None if the shard is unknown. */
HoldLevel Ownership::level(const ShardId& shard, Time now) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return HoldLevel::None;
    const Shard& found = it->second;
    if (!isHeld(found))
        return levelOf(found.state);
    if (isLeased(found, now))
        return found.recovered ? HoldLevel::Store : HoldLevel::Recovering;
    if (isPromised(found, now))
        return found.recovered ? HoldLevel::Promise : HoldLevel::Recovering;
    return m_config.targetsCheckTerms ? HoldLevel::Fenced : HoldLevel::None;
}

/** Term of the present or last hold. @param shard Shard. @return Term, 0 if never held. */
Term Ownership::term(const ShardId& shard) const
{
    const auto it = m_shards.find(shard);
    return it == m_shards.end() ? Term() : it->second.term;
}

/** Owner as the store names it. @param shard Shard. @return Host, if one is known; not this host if the key was written
 * by an earlier run of it. */
std::optional<HostId> Ownership::ownerOf(const ShardId& shard) const
{
    const auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return std::nullopt;
    if (isHeld(it->second))
        return m_config.self;
    const OwnerKey& owner = it->second.owner;
    return owner.host.empty() || owner.host == m_config.self ? std::nullopt : std::optional(owner.host);
}

/** @return Changes since the last call, in order. */
std::vector<HoldChange> Ownership::takeChanges() { return std::exchange(m_changes, {}); }

/** Whether the session lease is fresh on the local clock. @param now Present time. @return True if so. */
bool Ownership::sessionFresh(Time now) const
{
    return m_lease.value != 0 && (now < m_leaseUntil || (m_config.faults.ignoreLeaseDeadline && !m_isEnded));
}

/** @return Session lease, 0 if there is none. */
StoreLeaseId Ownership::sessionLease() const { return m_lease; }

HoldLevel Ownership::levelOf(ChartState state) const { return m_levels[state]; }

bool Ownership::isHeld(const Shard& shard) const
{
    const HoldLevel level = levelOf(shard.state);
    return level == HoldLevel::Recovering || level == HoldLevel::Store || level == HoldLevel::Promise
        || level == HoldLevel::Fenced;
}

bool Ownership::isLeased(const Shard& shard, Time now) const
{
    return shard.lease.value != 0 && shard.lease == m_lease && sessionFresh(now);
}

bool Ownership::isPromised(const Shard& shard, Time now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.promiseSentAt && *peer.promiseSentAt > shard.wonAt && now < peer.promiseUntil;
    });
}

bool Ownership::isOwn(const OwnerKey& owner) const
{
    return owner.host == m_config.self && owner.incarnation == m_config.incarnation;
}

/** Raises an event of the state chart and records the change of level, if there is one. */
void Ownership::raise(const ShardId& id, Shard& shard, std::string_view event, const std::string& reason)
{
    const auto index = m_chart.event(event);
    if (!index)
        throw std::logic_error("hold.chart has no event " + std::string(event));
    const auto next = m_chart.next(shard.state, *index);
    if (!next || *next == shard.state)
        return;
    m_changes.push_back({ id, levelOf(shard.state), levelOf(*next), shard.term, reason });
    shard.state = *next;
}

/** Raises the event for what protects a hold at present. */
void Ownership::refresh(const ShardId& id, Shard& shard, Time now)
{
    if (!isHeld(shard))
        return;
    const bool leased = isLeased(shard, now);
    const bool isProtected = leased || isPromised(shard, now);
    if (!isProtected && m_config.targetsCheckTerms) {
        raise(id, shard, "unprotected", "session lease and promises have run out");
    } else if (!isProtected) {
        // Without the targets' term check nothing may start, and the shard is claimed anew once that is possible.
        shard.releaseValue = shard.keyValue;
        lose(id, shard, "released", "session lease and promises have run out");
    } else if (!shard.recovered)
        raise(id, shard, "protected_unrecovered", leased ? "session lease is fresh" : "all peers have promised");
    else if (leased)
        raise(id, shard, "lease_fresh", "recovered, session lease is fresh");
    else
        raise(id, shard, "promises_complete", "session lease has run out, all peers have promised");
}

void Ownership::lose(const ShardId& id, Shard& shard, std::string_view event, const std::string& reason)
{
    raise(id, shard, event, reason);
    shard.recovered = false;
    shard.lease = {};
    shard.isUnresolved = false;
}

/** Takes the state of the owner key at a revision of the store. */
void Ownership::noteOwner(
    const ShardId& id, Shard& shard, const std::optional<std::string>& value, Revision revision, Time now)
{
    if (revision < shard.owner.revision)
        return;
    const bool wasFree = shard.owner.value.empty();
    shard.owner = { value.value_or(""), {}, {}, {}, revision };
    if (!value && !wasFree)
        shard.freeSince = now;
    const auto json = value ? nlohmann::json::parse(*value, nullptr, false) : nlohmann::json();
    if (json.is_object()) {
        shard.owner.host = HostId(textField(json, "host"));
        shard.owner.incarnation = Incarnation(numberField(json, "incarnation"));
        shard.owner.term = Term(numberField(json, "term"));
    }
    shard.highest = std::max(shard.highest, shard.owner.term);
    const bool isWritePending = shard.step == Step::Renew || shard.step == Step::ReadRenewal || shard.isUnresolved;
    if (!isHeld(shard) || shard.owner.value == shard.keyValue || (isWritePending && isOwn(shard.owner)))
        return;
    if (shard.owner.term > shard.term)
        lose(id, shard, "superseded", "the store names " + shard.owner.host.value + " under a higher term");
    else
        shard.lease = {}; // The key is gone, so the lease no longer protects the hold.
    refresh(id, shard, now);
}

} // namespace sp
