#include "ownership.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    /** Keepalives in flight at once. More than one, so that a store that answers slowly doesn't end the session. */
    constexpr std::size_t maxSessionCalls = 3;
    constexpr std::chrono::milliseconds minBackoff { 100 };
    constexpr std::chrono::milliseconds maxBackoff { 5000 };
    /** After an outage all schedulers call again; a random wait up to this long spreads their calls. */
    constexpr std::chrono::milliseconds outageSpread { 1000 };

    /** @return Number in the text, 0 for an empty one, absent if it is no number. */
    std::optional<std::uint64_t> parseCounter(const std::string& text)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty())
            return 0;
        return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
    }

    const StoreKeyValue* findKey(const StoreReply& reply, const std::string& key)
    {
        const auto it = std::find_if(
            reply.values.begin(), reply.values.end(), [&](const StoreKeyValue& found) { return found.key == key; });
        return it == reply.values.end() ? nullptr : &*it;
    }

} // namespace

Duration Ownership::randomUpTo(Duration limit)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(m_random));
}

/** Pause before the next try: doubles with each failure, half of it random. */
Duration Ownership::backoff(unsigned failures)
{
    const Duration whole = std::min<Duration>(maxBackoff, minBackoff * (1 << std::min(failures - 1, 10U)));
    return whole / 2 + randomUpTo(whole / 2);
}

// ---- Session ----

void Ownership::keepSession(Time now)
{
    if (m_isEnded || now < m_nextSessionCall)
        return;
    const bool isBusy = m_lease.value == 0 || m_sessionFailures > 0 ? !m_sessionCalls.empty()
                                                                    : m_sessionCalls.size() >= maxSessionCalls;
    if (isBusy)
        return;
    m_nextSessionCall = now + m_config.keepAliveEvery;
    const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(m_config.leaseTtl);
    const StoreRequest request
        = m_lease.value ? StoreRequest(StoreLeaseKeepAlive { m_lease }) : StoreRequest(StoreLeaseGrant { ttl });
    m_sessionCalls[m_call(request)] = { m_lease.value == 0, m_lease };
}

void Ownership::sessionReplied(const SessionCall& call, const StoreReply& reply, Time now)
{
    if (m_isEnded)
        return;
    const bool isLeaseGone
        = reply.status == StoreStatus::LeaseNotFound || (reply.status == StoreStatus::Ok && reply.ttl.count() <= 0);
    if (isLeaseGone) {
        if (!call.isGrant && call.lease == m_lease) {
            m_lease = {};
            m_nextSessionCall = now;
        }
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        sessionFailed(now);
        return;
    }
    const Time until = reply.sentAt + reply.ttl - m_config.margin;
    if (call.isGrant && m_lease.value == 0) {
        // A grant whose answer was lost before leaves a lease without keys, which runs out by itself.
        m_lease = reply.lease;
        m_leaseUntil = until;
    } else if (!call.isGrant && call.lease == m_lease) {
        m_leaseUntil = std::max(m_leaseUntil, until);
    }
    if (m_sessionFailures > 0)
        m_nextSessionCall = now + m_config.keepAliveEvery / 2;
    m_sessionFailures = 0;
    if (!std::exchange(m_isOutage, false))
        return;
    for (auto& [id, shard] : m_shards) {
        if (!isHeld(shard))
            shard.nextTry = std::max(shard.nextTry, now + randomUpTo(outageSpread));
    }
}

void Ownership::sessionFailed(Time now)
{
    ++m_sessionFailures;
    m_nextSessionCall = now + backoff(m_sessionFailures);
    if (!m_isOutage && !sessionFresh(now)) {
        m_isOutage = true;
        m_nextSessionCall += randomUpTo(outageSpread);
    }
}

/** Takes a reply of the store. @param reply Reply. @param now Present time. @return False if the ticket is not this
 * object's. */
bool Ownership::storeReplied(const StoreReply& reply, Time now)
{
    if (const auto it = m_sessionCalls.find(reply.ticket); it != m_sessionCalls.end()) {
        const SessionCall call = it->second;
        m_sessionCalls.erase(it);
        sessionReplied(call, reply, now);
        for (auto& [id, shard] : m_shards)
            refresh(id, shard, now);
        return true;
    }
    for (auto& [id, shard] : m_shards) {
        if (shard.ticket.value == 0 || reply.ticket != shard.ticket)
            continue;
        shard.ticket = {};
        const Step step = std::exchange(shard.step, Step::Idle);
        shardReplied(id, shard, step, reply, now);
        refresh(id, shard, now);
        return true;
    }
    return false;
}

// ---- Calls of a shard ----

/** Sends the next call of a shard, if it needs one. */
void Ownership::work(const ShardId& id, Shard& shard, Time now)
{
    const bool isClaiming = levelOf(shard.state) == HoldLevel::Claiming;
    // A claim that was given up may have taken effect late. Its key would keep the shard without an owner.
    const bool isLeftover = isOwn(shard.owner) && !shard.isUnresolved && !isClaiming
        && (!isHeld(shard) || shard.owner.value != shard.keyValue);
    if (shard.releaseValue.empty() && isLeftover)
        shard.releaseValue = shard.owner.value;
    if (shard.isUnresolved)
        send(shard, isClaiming ? Step::ReadClaim : Step::ReadRenewal, StoreRange { ownerKey(id), false, {} });
    else if (!shard.releaseValue.empty())
        sendRelease(id, shard);
    else if (isHeld(shard) && sessionFresh(now) && shard.lease != m_lease)
        sendRenewal(id, shard);
    else if (!isHeld(shard) && !isClaiming && mayClaim(shard, now))
        send(shard, Step::ReadTerm, StoreRange { termKey(id), false, {} });
}

void Ownership::send(Shard& shard, Step step, StoreRequest request)
{
    shard.step = step;
    shard.ticket = m_call(std::move(request));
}

std::string Ownership::newKeyValue(Term term)
{
    const std::string token
        = m_config.self.value + "-" + std::to_string(m_config.incarnation.value) + "-" + std::to_string(++m_tokens);
    return nlohmann::json {
        { "host", m_config.self.value }, { "incarnation", m_config.incarnation.value }, { "term", term.value },
        { "token", token }
    }.dump();
}

/** Claims a free shard under a term above all known ones. @param last Value of the term counter that was read. */
void Ownership::sendClaim(const ShardId& id, Shard& shard, Term last, Time now)
{
    (void)now;
    shard.highest = std::max(shard.highest, last);
    shard.pendingTerm = Term(shard.highest.value + 1);
    if (m_config.faults.reuseTerm && shard.highest.value > 0)
        shard.pendingTerm = shard.highest;
    shard.pendingLease = m_lease;
    shard.keyValue = newKeyValue(shard.pendingTerm);
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::Absent, ownerKey(id), {}, {} });
    if (last.value == 0)
        txn.compares.push_back({ StoreCompare::Kind::Absent, termKey(id), {}, {} });
    else
        txn.compares.push_back({ StoreCompare::Kind::Value, termKey(id), {}, std::to_string(last.value) });
    txn.writes.push_back({ StoreWrite::Kind::Put, ownerKey(id), shard.keyValue, m_lease });
    txn.writes.push_back({ StoreWrite::Kind::Put, termKey(id), std::to_string(shard.pendingTerm.value), {} });
    txn.readOnFailure = { ownerKey(id), termKey(id) };
    raise(id, shard, "claim_sent", "owner key is absent");
    send(shard, Step::Claim, std::move(txn));
}

/** Writes the owner key anew after the session was lost. The unchanged term counter proves that no other scheduler has
 * owned the shard in between, so the term stays and no recovery is needed. */
void Ownership::sendRenewal(const ShardId& id, Shard& shard)
{
    shard.pendingLease = m_lease;
    shard.pendingTerm = shard.term;
    shard.keyValue = newKeyValue(shard.term);
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::Absent, ownerKey(id), {}, {} });
    txn.compares.push_back({ StoreCompare::Kind::Value, termKey(id), {}, std::to_string(shard.term.value) });
    txn.writes.push_back({ StoreWrite::Kind::Put, ownerKey(id), shard.keyValue, m_lease });
    txn.readOnFailure = { ownerKey(id), termKey(id) };
    send(shard, Step::Renew, std::move(txn));
}

/** Deletes the owner key if it still has the value that is to be released. */
void Ownership::sendRelease(const ShardId& id, Shard& shard)
{
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::Value, ownerKey(id), {}, shard.releaseValue });
    txn.writes.push_back({ StoreWrite::Kind::Delete, ownerKey(id), {}, {} });
    txn.readOnFailure = { ownerKey(id), termKey(id) };
    send(shard, Step::Release, std::move(txn));
}

void Ownership::shardReplied(const ShardId& id, Shard& shard, Step step, const StoreReply& reply, Time now)
{
    const bool hasAnswer = reply.status != StoreStatus::Lost && reply.status != StoreStatus::Refused;
    shard.failures = hasAnswer ? 0 : shard.failures + 1;
    if (!hasAnswer)
        shard.nextTry = now + backoff(shard.failures);
    if (step == Step::ReadTerm && hasAnswer)
        termRead(id, shard, reply, now);
    else if (step == Step::Claim || step == Step::Renew)
        writeReplied(id, shard, step, reply, now);
    else if ((step == Step::ReadClaim || step == Step::ReadRenewal) && hasAnswer)
        readBack(id, shard, step, reply, now);
    else if (step == Step::Release && hasAnswer)
        released(id, shard, reply, now);
}

void Ownership::termRead(const ShardId& id, Shard& shard, const StoreReply& reply, Time now)
{
    const auto last = parseCounter(reply.values.empty() ? std::string() : reply.values.front().value);
    shard.step = Step::ReadTerm; // The share counts this shard as being claimed.
    const bool claims = last && !isHeld(shard) && shard.releaseValue.empty() && mayClaim(shard, now);
    shard.step = Step::Idle;
    if (claims)
        sendClaim(id, shard, Term(*last), now);
    else
        shard.nextTry = now + randomUpTo(minBackoff);
}

void Ownership::writeReplied(const ShardId& id, Shard& shard, Step step, const StoreReply& reply, Time now)
{
    const bool isClaim = step == Step::Claim;
    if (reply.status == StoreStatus::Ok) {
        written(id, shard, isClaim, reply.revision, now);
        return;
    }
    if (reply.status == StoreStatus::Lost) {
        if (m_config.faults.takeLostClaimAsWon && isClaim)
            written(id, shard, isClaim, shard.owner.revision, now);
        else if (m_config.faults.forgetLostClaim && isClaim)
            notWritten(id, shard, isClaim, now);
        else
            shard.isUnresolved = isClaim ? levelOf(shard.state) == HoldLevel::Claiming : isHeld(shard);
        return;
    }
    if (reply.status == StoreStatus::CompareFailed)
        noteValues(id, shard, reply, now);
    if (reply.status == StoreStatus::LeaseNotFound && shard.pendingLease == m_lease) {
        m_lease = {};
        m_nextSessionCall = now;
    }
    notWritten(id, shard, isClaim, now);
}

/** Compares the token of the owner key after a claim or renewal without an answer. If the write takes effect after
 * this read, the owner key shows it later and work() deletes it. */
void Ownership::readBack(const ShardId& id, Shard& shard, Step step, const StoreReply& reply, Time now)
{
    const bool isClaim = step == Step::ReadClaim;
    const StoreKeyValue* found = findKey(reply, ownerKey(id));
    const bool isWritten = found && found->value == shard.keyValue;
    if (!shard.isUnresolved)
        return; // The hold was lost or released in the meantime.
    shard.isUnresolved = false;
    if (isWritten) {
        written(id, shard, isClaim, reply.revision, now);
        return;
    }
    noteValues(id, shard, reply, now);
    notWritten(id, shard, isClaim, now);
}

void Ownership::written(const ShardId& id, Shard& shard, bool isClaim, Revision revision, Time now)
{
    const bool isWanted = isClaim ? levelOf(shard.state) == HoldLevel::Claiming : isHeld(shard);
    noteOwner(id, shard, shard.keyValue, revision, now);
    if (!isWanted) {
        shard.releaseValue = shard.keyValue;
        return;
    }
    shard.lease = shard.pendingLease;
    if (!isClaim)
        return;
    shard.term = shard.pendingTerm;
    shard.highest = std::max(shard.highest, shard.term);
    shard.wonAt = now;
    shard.recovered = false;
    raise(id, shard, "claim_won", "claim won");
}

void Ownership::notWritten(const ShardId& id, Shard& shard, bool isClaim, Time now)
{
    shard.nextTry = std::max(shard.nextTry, now + randomUpTo(minBackoff));
    if (isClaim) {
        raise(id, shard, "claim_failed", "claim failed");
        return;
    }
    const bool isTaken = !shard.owner.value.empty() && !isOwn(shard.owner);
    if (isHeld(shard) && (isTaken || shard.highest > shard.term))
        lose(id, shard, "superseded", "another scheduler has claimed the shard");
}

void Ownership::released(const ShardId& id, Shard& shard, const StoreReply& reply, Time now)
{
    shard.releaseValue.clear();
    if (reply.status == StoreStatus::Ok)
        noteOwner(id, shard, std::nullopt, reply.revision, now);
    else
        noteValues(id, shard, reply, now);
}

/** Takes the owner key and the term counter from a reply that read them. */
void Ownership::noteValues(const ShardId& id, Shard& shard, const StoreReply& reply, Time now)
{
    if (const StoreKeyValue* term = findKey(reply, termKey(id)))
        shard.highest = std::max(shard.highest, Term(parseCounter(term->value).value_or(0)));
    const StoreKeyValue* owner = findKey(reply, ownerKey(id));
    noteOwner(id, shard, owner ? std::optional(owner->value) : std::nullopt, reply.revision, now);
}

} // namespace sp
