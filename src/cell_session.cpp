#include "cell_session.h"

#include "fnv_hash_func.h"
#include "log_line.h"
#include "proto/cell.pb.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int renewalsPerLease = 3; ///< The lease survives two consecutive lost renewals.
    constexpr std::chrono::milliseconds leaseCallTimeout {
        320
    }; ///< Shorter than the renewal interval; a slow store needs 240 ms.
    constexpr std::chrono::milliseconds refusalConfirmTime {
        40
    }; ///< A process that only restarts its listener accepts connections again by then.
    constexpr std::chrono::seconds failureReportPause {
        5
    }; ///< Keeps two hosts that can't reach each other from replacing each other in turn.
    constexpr std::chrono::milliseconds callTimeout { 1000 }; ///< A slow store answers within 250 ms.
    constexpr std::chrono::milliseconds retryDelay { 150 }; ///< Back-off after a call that failed or was refused.
    constexpr std::chrono::milliseconds maxRetryDelay { 600 };
    constexpr std::chrono::milliseconds watchTimeout {
        1500
    }; ///< Long-poll time; a dead connection is detected within the time limit for applying a change.
    constexpr std::chrono::milliseconds claimStagger {
        40
    }; ///< Delay between claims of hosts of consecutive rank; several round trips.
    constexpr std::chrono::milliseconds memberReturnTime { 1000 }; ///< Hosts register again soon after an outage.
    constexpr std::uint32_t strongerHostFactor = 2; ///< A smaller gain is not worth the pause of a take-over.
    constexpr std::int64_t maxReturningRank = 10; ///< Limits the delay if the stronger hosts do not return.
    constexpr std::chrono::milliseconds storeLostAfter { 1200 }; ///< Three unanswered lease renewals.

} // namespace

CellSession::CellSession(CellSessionConfig config, CellSessionHooks hooks)
    : m_config(std::move(config))
    , m_hooks(std::move(hooks))
{
}

/** Returns true if the store has answered a call within storeLostAfter. */
bool CellSession::reachesStore(Time now) const
{
    return m_lastStoreReplyAt != Time {} && now - m_lastStoreReplyAt < storeLostAfter;
}

void CellSession::noteStoreReply(const StoreReply& reply, Time now)
{
    if (reply.status == StoreStatus::Lost || reply.status == StoreStatus::Refused)
        return;
    m_lastStoreReplyAt = now;
    if (m_storeLost) {
        m_storeLost = false;
        LogLine(LogLevel::Info, "store_regained").with("revision", reply.revision);
    }
}

/** Renews the lease, reads or watches the keys, and sends a claim if one is due. */
void CellSession::tick(Time now)
{
    m_wakeAt = now + retryDelay;
    if (!m_storeLost && m_lastStoreReplyAt != Time {} && !reachesStore(now)) {
        m_storeLost = true;
        LogLine(LogLevel::Warning, "store_lost").with("silent_ms", toMs(now - m_lastStoreReplyAt));
    }
    if (!m_synced && !m_syncInFlight && now >= m_syncRetryAt)
        beginSync();
    if (m_synced && !m_watchInFlight && now >= m_watchRetryAt)
        beginWatch();
    if (!m_leaseCallInFlight && now >= m_leaseRetryAt) {
        if (m_lease.value == 0)
            grant(now);
        else
            keepAlive(now);
    }
    if (m_lease.value != 0 && m_synced && !m_memberRegistered && !m_memberCallInFlight && !m_leaseCallInFlight)
        registerMember();
    if (m_resignedClaim.value != 0 && !m_ownerKeyDeleteInFlight && now >= m_ownerKeyDeleteRetryAt)
        deleteOwnerKey(now);
    const bool ownStaleKey = m_owner && m_owner->host == m_config.self && m_owner->address == m_config.address;
    const bool claimable = !m_owner || ownStaleKey || m_owner->revision == m_failedOwner;
    const bool mayClaim = m_synced && claimable && !owning() && m_eligible && m_memberRegistered && leaseValid(now)
        && now >= m_claimsSuspendedUntil;
    if (!mayClaim) {
        m_claimableSince.reset();
        return;
    }
    if (!m_claimableSince)
        m_claimableSince = now;
    const Time due = claimDue(now);
    if (now >= due && now > *m_claimableSince && !m_claimInFlight)
        claim(now);
    else
        m_wakeAt = std::min(*m_wakeAt, due);
}

void CellSession::beginSync()
{
    m_syncInFlight = true;
    ++m_syncId;
    m_syncItems.clear();
    readPage({});
}

void CellSession::readPage(const std::string& after)
{
    StoreRange range;
    range.key = m_config.watchPrefix;
    range.prefix = true;
    range.after = after;
    m_hooks.call(
        StoreRequest(range), callTimeout, [this, syncId = m_syncId, first = after.empty()](StoreReply&& reply) {
            const Time now = m_hooks.clock();
            noteStoreReply(reply, now);
            if (syncId != m_syncId)
                return;
            if (reply.status != StoreStatus::Ok) {
                m_syncInFlight = false;
                m_syncRetryAt = now + retryDelay;
                return;
            }
            if (first) // The watch from this revision repeats changes made while later pages are read.
                m_revision = reply.revision;
            std::string last;
            for (StoreKeyValue& item : reply.values) {
                last = item.key;
                m_syncItems[last] = std::move(item);
            }
            if (reply.more && !last.empty()) {
                readPage(last);
                return;
            }
            m_syncInFlight = false;
            m_synced = true;
            std::vector<std::string> deletedKeys;
            for (const auto& [key, revision] : m_keyRevisions) {
                if (!m_syncItems.contains(key))
                    deletedKeys.push_back(key);
            }
            for (const std::string& key : deletedKeys)
                applyRemoval(key, now);
            for (const auto& [key, item] : std::exchange(m_syncItems, {}))
                apply(item, now);
            LogLine(LogLevel::Info, "store_read").with("revision", m_revision).with("keys", m_keyRevisions.size());
            tick(now);
        });
}

void CellSession::beginWatch()
{
    m_watchInFlight = true;
    m_hooks.watch({ m_config.watchPrefix, m_revision, watchTimeout },
        [this](StoreWatchReply&& reply) { handleWatchReply(std::move(reply), m_hooks.clock()); });
}

void CellSession::handleWatchReply(StoreWatchReply&& reply, Time now)
{
    m_watchInFlight = false;
    if (reply.compacted) {
        LogLine(LogLevel::Warning, "watch_history_gone").with("revision", m_revision);
        m_synced = false;
        m_syncRetryAt = now;
        tick(now);
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        m_watchRetryAt = now + std::min(maxRetryDelay, retryDelay * ++m_watchFailures);
        return;
    }
    m_watchFailures = 0;
    StoreReply answered;
    answered.status = StoreStatus::Ok;
    answered.revision = reply.changes.revision;
    noteStoreReply(answered, now);
    for (const StoreKeyValue& item : reply.changes.puts)
        apply(item, now);
    for (const std::string& key : reply.changes.deletes)
        applyRemoval(key, now);
    m_revision = std::max(m_revision, reply.changes.revision);
    tick(now);
}

void CellSession::apply(const StoreKeyValue& item, Time now)
{
    Revision& knownRevision = m_keyRevisions[item.key];
    if (knownRevision.value >= item.modRevision.value && knownRevision.value != 0)
        return;
    knownRevision = item.modRevision;
    if (item.key.starts_with(m_config.operatorPrefix)) {
        m_hooks.operatorKeyChanged(item.key, item);
    } else if (item.key == ownerKey()) {
        applyOwnerKey(item, now);
    } else if (item.key.starts_with(memberPrefix())) {
        const HostId host(item.key.substr(memberPrefix().size()));
        proto::NodeRecord record;
        if (!record.ParseFromString(item.value)) {
            LogLine(LogLevel::Error, "member_record_unreadable").with("key", item.key);
            return;
        }
        m_members[host] = { host, record.address(), record.strength_milli() };
        m_formerMembers.erase(host);
        LogLine(LogLevel::Info, "member_seen").with("host", host).with("address", record.address());
    }
}

void CellSession::applyRemoval(const std::string& key, Time now)
{
    m_keyRevisions.erase(key);
    if (key.starts_with(m_config.operatorPrefix)) {
        m_hooks.operatorKeyChanged(key, std::nullopt);
    } else if (key == ownerKey()) {
        applyOwnerKey(std::nullopt, now);
    } else if (key == memberKey()) {
        m_memberRegistered = false; // The lease has expired, or the key was deleted.
        m_members.erase(m_config.self);
    } else if (key.starts_with(memberPrefix())) {
        const HostId host(key.substr(memberPrefix().size()));
        if (const auto member = m_members.extract(host); !member.empty())
            m_formerMembers[host] = { member.mapped(), now };
        LogLine(LogLevel::Warning, "member_gone").with("host", host);
    }
}

/** Applies the present value of the owner key; no item means that the key was deleted. */
void CellSession::applyOwnerKey(const std::optional<StoreKeyValue>& item, Time now)
{
    if (!item) {
        m_owner.reset();
        if (owning())
            endOwnership("the owner key was deleted");
        LogLine(LogLevel::Warning, "owner_unknown").with("revision", m_revision);
        m_wakeAt = now;
        return;
    }
    proto::OwnerRecord record;
    if (!record.ParseFromString(item->value)) {
        LogLine(LogLevel::Error, "owner_record_unreadable").with("revision", item->modRevision);
        return;
    }
    adoptNewerOwner({ HostId(record.node()), record.address(), item->modRevision }, "owner_seen",
        "another owner has claimed the cell");
}

/** Stores an owner whose claim is newer than the known one, and ends an older ownership of this host. */
void CellSession::adoptNewerOwner(const CellOwnerInfo& owner, const char* event, const char* lostReason)
{
    if (m_owner && m_owner->revision.value >= owner.revision.value)
        return;
    m_owner = owner;
    LogLine(LogLevel::Info, event).with("host", owner.host).with("token", owner.revision);
    if (owning() && m_token.value < owner.revision.value)
        endOwnership(lostReason);
}

void CellSession::endOwnership(const std::string& reason)
{
    m_token = {};
    m_failureReportsIgnoredUntil = m_hooks.clock() + failureReportPause;
    m_hooks.cellLost(reason);
}

void CellSession::grant(Time now)
{
    m_leaseCallInFlight = true;
    m_hooks.call(
        StoreRequest(StoreLeaseGrant { m_config.leaseTtl }), leaseCallTimeout, [this, now](StoreReply&& reply) {
            const Time at = m_hooks.clock();
            noteStoreReply(reply, at);
            m_leaseCallInFlight = false;
            m_leaseRetryAt = at + (reply.status == StoreStatus::Ok ? renewalInterval() : retryDelay);
            if (reply.status != StoreStatus::Ok)
                return;
            m_lease = reply.lease;
            m_leaseValidUntil = now + (reply.ttl.count() ? std::min(m_config.leaseTtl, reply.ttl) : m_config.leaseTtl);
            m_memberRegistered = false;
            LogLine(LogLevel::Info, "session_began").with("lease", m_lease);
            tick(at);
        });
}

void CellSession::keepAlive(Time now)
{
    m_leaseCallInFlight = true;
    const StoreLeaseId lease = m_lease;
    m_hooks.call(StoreRequest(StoreLeaseKeepAlive { lease }), leaseCallTimeout, [this, now, lease](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        noteStoreReply(reply, at);
        m_leaseCallInFlight = false;
        m_leaseRetryAt = at + retryDelay;
        if (lease != m_lease)
            return;
        if (reply.status == StoreStatus::Ok) {
            m_leaseValidUntil = std::max(m_leaseValidUntil, now + m_config.leaseTtl);
            m_leaseRetryAt = now + renewalInterval();
        } else if (reply.status == StoreStatus::LeaseNotFound) {
            LogLine(LogLevel::Warning, "session_ended").with("lease", lease).with("reason", "the lease has expired");
            m_lease = {};
            m_memberRegistered = false;
            m_leaseRetryAt = at;
            if (owning())
                endOwnership("the session's lease has expired");
        }
    });
}

void CellSession::registerMember()
{
    proto::NodeRecord record;
    record.set_address(m_config.address);
    record.set_strength_milli(m_config.strengthMilli);
    StoreTxn txn;
    txn.writes.push_back({ StoreWrite::Kind::Put, memberKey(), record.SerializeAsString(), m_lease });
    m_memberCallInFlight = true;
    m_hooks.call(StoreRequest(std::move(txn)), callTimeout, [this, lease = m_lease](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        noteStoreReply(reply, at);
        m_memberCallInFlight = false;
        if (lease != m_lease)
            return;
        if (reply.status == StoreStatus::Ok)
            m_memberRegistered = true;
        else if (reply.status == StoreStatus::LeaseNotFound)
            m_lease = {};
    });
}

/**
 * Returns the number of hosts that claim the cell before this one. Claims are staggered by rank, strongest host first
 * and then by hash, so that usually only one host sends a claim. Stronger hosts that have just disappeared count too:
 * after an outage of the store all leases have expired, and the hosts return one by one.
 */
std::int64_t CellSession::claimRank(Time now) const
{
    const auto rankOf = [&](const CellMember& member) {
        return std::pair(-static_cast<std::int64_t>(member.strengthMilli),
            fnvHash(member.host.value + std::to_string(m_owner ? m_owner->revision.value : 0)));
    };
    const auto own = rankOf({ m_config.self, m_config.address, m_config.strengthMilli });
    const auto isFormerOwner = [&](const HostId& host) { return m_owner && m_owner->host == host; };
    const auto present = std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) {
        return entry.first != m_config.self && !isFormerOwner(entry.first) && rankOf(entry.second) < own;
    });
    const auto returning = std::count_if(m_formerMembers.begin(), m_formerMembers.end(), [&](const auto& entry) {
        const auto& [member, goneAt] = entry.second;
        return member.strengthMilli > m_config.strengthMilli && now - goneAt < memberReturnTime;
    });
    return present + std::min<std::int64_t>(returning, maxReturningRank);
}

/** Returns the time at which a claim is due, given the members known at present. */
Time CellSession::claimDue(Time now) const
{
    return std::max(*m_claimableSince + claimStagger * claimRank(now), m_nextClaimAt);
}

/** Returns true if a member has at least strongerHostFactor times the processor capacity of this host. */
bool CellSession::hasStrongerMember() const
{
    return std::any_of(m_members.begin(), m_members.end(),
        [&](const auto& entry) { return entry.second.strengthMilli >= m_config.strengthMilli * strongerHostFactor; });
}

/** Returns true if this host would be among the first two to claim the cell. */
bool CellSession::isStandby() const
{
    constexpr std::int64_t standbyHosts = 2; ///< A second one, since the first may fail together with the owner.
    return m_synced && m_eligible && m_memberRegistered && m_owner && !owning()
        && claimRank(m_hooks.clock()) < standbyHosts;
}

void CellSession::claim(Time now)
{
    proto::OwnerRecord record;
    record.set_node(m_config.self.value);
    record.set_address(m_config.address);
    StoreTxn txn;
    if (m_owner) // The owner has failed; if it is alive after all, the new claim fences it off.
        txn.compares.push_back({ StoreCompare::Kind::ModRevision, ownerKey(), m_owner->revision, {} });
    else
        txn.compares.push_back({ StoreCompare::Kind::Absent, ownerKey(), {}, {} });
    txn.writes.push_back({ StoreWrite::Kind::Put, ownerKey(), record.SerializeAsString(), m_lease });
    for (const std::string& key : m_config.sequenceKeys)
        txn.writes.push_back({ StoreWrite::Kind::Put, key, "claimed", {} });
    m_claimInFlight = true;
    m_nextClaimAt = now + callTimeout;
    LogLine(LogLevel::Info, "claim_sent").with("revision", m_revision);
    m_hooks.call(StoreRequest(std::move(txn)), callTimeout, [this, lease = m_lease](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        noteStoreReply(reply, at);
        m_claimInFlight = false;
        m_claimableSince.reset();
        m_nextClaimAt = {};
        if (reply.status == StoreStatus::Ok && lease == m_lease && m_eligible) {
            m_owner = CellOwnerInfo { m_config.self, m_config.address, reply.revision };
            m_token = reply.revision;
            LogLine(LogLevel::Info, "claim_won").with("token", m_token);
            m_hooks.cellAcquired(m_token);
            return;
        }
        // A claim without an answer may have succeeded. The watch then reports an owner key of this host, and the next
        // claim replaces it, conditional on its revision.
        LogLine(LogLevel::Info, "claim_not_won").with("answered", reply.status == StoreStatus::CompareFailed);
    });
}

/** Reports that a connection to the owner was refused. A second refusal after refusalConfirmTime marks it as failed. */
void CellSession::ownerRefusedConnection(Time now)
{
    if (!m_owner || owning() || m_failedOwner == m_owner->revision || now < m_failureReportsIgnoredUntil)
        return;
    if (m_refusingOwner != m_owner->revision) {
        m_refusingOwner = m_owner->revision;
        m_firstRefusalAt = now;
        return;
    }
    if (now - m_firstRefusalAt < refusalConfirmTime)
        return;
    ownerFailed("its address refuses connections", now);
}

/**
 * Marks the owner as failed although its lease is still valid. This host may then claim the cell, conditional on the
 * revision of the failed owner's claim.
 * @param reason Observed failure, for the log.
 */
void CellSession::ownerFailed(const std::string& reason, Time now)
{
    if (!m_owner || owning() || m_failedOwner == m_owner->revision || now < m_failureReportsIgnoredUntil)
        return;
    m_failedOwner = m_owner->revision;
    m_failureReportsIgnoredUntil = now + failureReportPause;
    LogLine(LogLevel::Warning, "owner_failed")
        .with("host", m_owner->host)
        .with("token", m_owner->revision)
        .with("reason", reason);
    tick(now);
}

/** Takes an owner reported by another host. Ignored if its claim is not newer than that of the known owner. */
void CellSession::ownerReported(const CellOwnerInfo& owner)
{
    adoptNewerOwner(owner, "owner_heard", "another host reports a newer owner");
}

std::chrono::milliseconds CellSession::renewalInterval() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_config.leaseTtl) / renewalsPerLease;
}

/** Gives up ownership and deletes the owner key, so that another host can claim the cell at once. */
void CellSession::resign(const std::string& reason)
{
    if (!owning())
        return;
    m_resignedClaim = m_token;
    endOwnership(reason);
    deleteOwnerKey(m_hooks.clock());
}

/** Deletes the owner key of the resigned claim; while the key exists, no other host claims the cell. */
void CellSession::deleteOwnerKey(Time now)
{
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, ownerKey(), m_resignedClaim, {} });
    txn.writes.push_back({ StoreWrite::Kind::Delete, ownerKey(), {}, {} });
    m_ownerKeyDeleteInFlight = true;
    m_ownerKeyDeleteRetryAt = now + callTimeout;
    m_hooks.call(
        StoreRequest(std::move(txn)), callTimeout, [this, resignedClaim = m_resignedClaim](StoreReply&& reply) {
            const Time at = m_hooks.clock();
            noteStoreReply(reply, at);
            m_ownerKeyDeleteInFlight = false;
            if (resignedClaim != m_resignedClaim)
                return;
            if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::CompareFailed) {
                m_resignedClaim = {};
                return;
            }
            m_ownerKeyDeleteRetryAt = at + retryDelay;
            LogLine(LogLevel::Warning, "resignation_not_stored").with("token", resignedClaim);
        });
}

} // namespace sp
