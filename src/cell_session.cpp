#include "cell_session.h"

#include "fnv_hash_func.h"
#include "log_line.h"
#include "proto/cell.pb.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr int keepsPerLease = 3; ///< Two renewals in a row may be lost before the lease is.
    constexpr std::chrono::milliseconds leaseCallTimeout {
        320
    }; ///< Below the pause between renewals; a slow store needs 240 ms.
    constexpr std::chrono::milliseconds refusedFor {
        40
    }; ///< A process that restarts its listener would be back by then.
    constexpr std::chrono::seconds suspectPause {
        5
    }; ///< Keeps two hosts that can't reach each other from taking turns.
    constexpr std::chrono::milliseconds callTimeout { 1000 }; ///< A slow store answers within a quarter of a second.
    constexpr std::chrono::milliseconds retryPause { 150 }; ///< Between calls to a store that refuses or is away.
    constexpr std::chrono::milliseconds longestRetryPause { 600 };
    constexpr std::chrono::milliseconds watchWait { 1500 }; ///< Finds a silent connection within the bound of a change.
    constexpr std::chrono::milliseconds claimStep {
        40
    }; ///< Between claims of hosts in their order; several round trips.
    constexpr std::chrono::milliseconds storeLostAfter { 1200 }; ///< Three renewals of the lease without an answer.

} // namespace

/** @param config What the session is. @param hooks Surroundings. */
CellSession::CellSession(CellSessionConfig config, CellSessionHooks hooks)
    : m_config(std::move(config))
    , m_hooks(std::move(hooks))
{
}

/** Whether the store has answered lately. @param now Present time. @return True if so. */
bool CellSession::reachesStore(Time now) const { return m_heardAt != Time {} && now - m_heardAt < storeLostAfter; }

void CellSession::heard(const StoreReply& reply, Time now)
{
    if (reply.status == StoreStatus::Lost || reply.status == StoreStatus::Refused)
        return;
    m_heardAt = now;
    if (m_storeLost) {
        m_storeLost = false;
        LogLine(LogLevel::Info, "store_regained").with("revision", reply.revision);
    }
}

/** Does what is due. @param now Present time. */
void CellSession::tick(Time now)
{
    m_wakeAt = now + retryPause;
    if (!m_storeLost && m_heardAt != Time {} && !reachesStore(now)) {
        m_storeLost = true;
        LogLine(LogLevel::Warning, "store_lost").with("silent_ms", toMs(now - m_heardAt));
    }
    if (!m_synced && !m_syncing && now >= m_syncRetryAt)
        beginSync();
    if (m_synced && !m_watching && now >= m_watchRetryAt)
        beginWatch();
    if (!m_leaseOpen && now >= m_leaseRetryAt) {
        if (m_lease.value == 0)
            grant(now);
        else
            keepAlive(now);
    }
    if (m_lease.value != 0 && m_synced && !m_memberShown && !m_memberOpen && !m_leaseOpen)
        showMember();
    if (m_resigned.value != 0 && !m_removalOpen && now >= m_removalRetryAt)
        removeOwnerKey(now);
    const bool ownOldKey = m_owner && m_owner->host == m_config.self && m_owner->address == m_config.address;
    const bool free = !m_owner || ownOldKey || m_owner->revision == m_dead;
    const bool mayClaim
        = m_synced && free && !owning() && m_eligible && m_memberShown && leaseFresh(now) && now >= m_abstainUntil;
    if (!mayClaim) {
        m_claimAt.reset();
    } else if (!m_claimAt) {
        m_claimAt = now + claimStep * claimsBefore();
        m_wakeAt = std::min(*m_wakeAt, *m_claimAt);
    } else if (now >= *m_claimAt && !m_claimOpen) {
        claim(now);
    } else {
        m_wakeAt = std::min(*m_wakeAt, *m_claimAt);
    }
}

void CellSession::beginSync()
{
    m_syncing = true;
    ++m_syncRound;
    m_reading.clear();
    readPage({});
}

void CellSession::readPage(const std::string& after)
{
    StoreRange range;
    range.key = m_config.watchPrefix;
    range.prefix = true;
    range.after = after;
    m_hooks.call(
        StoreRequest(range), callTimeout, [this, round = m_syncRound, first = after.empty()](StoreReply&& reply) {
            const Time now = m_hooks.clock();
            heard(reply, now);
            if (round != m_syncRound)
                return;
            if (reply.status != StoreStatus::Ok) {
                m_syncing = false;
                m_syncRetryAt = now + retryPause;
                return;
            }
            if (first) // Changes made while later pages are read come again with the watch.
                m_revision = reply.revision;
            std::string last;
            for (StoreKeyValue& item : reply.values) {
                last = item.key;
                m_reading[last] = std::move(item);
            }
            if (reply.more && !last.empty()) {
                readPage(last);
                return;
            }
            m_syncing = false;
            m_synced = true;
            std::vector<std::string> gone;
            for (const auto& [key, revision] : m_known) {
                if (!m_reading.contains(key))
                    gone.push_back(key);
            }
            for (const std::string& key : gone)
                applyRemoval(key, now);
            for (const auto& [key, item] : std::exchange(m_reading, {}))
                apply(item, now);
            LogLine(LogLevel::Info, "store_read").with("revision", m_revision).with("keys", m_known.size());
            tick(now);
        });
}

void CellSession::beginWatch()
{
    m_watching = true;
    m_hooks.watch({ m_config.watchPrefix, m_revision, watchWait },
        [this](StoreWatchReply&& reply) { takeWatch(std::move(reply), m_hooks.clock()); });
}

void CellSession::takeWatch(StoreWatchReply&& reply, Time now)
{
    m_watching = false;
    if (reply.compacted) {
        LogLine(LogLevel::Warning, "watch_history_gone").with("revision", m_revision);
        m_synced = false;
        m_syncRetryAt = now;
        tick(now);
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        m_watchRetryAt = now + std::min(longestRetryPause, retryPause * ++m_watchFailures);
        return;
    }
    m_watchFailures = 0;
    StoreReply answered;
    answered.status = StoreStatus::Ok;
    answered.revision = reply.changes.revision;
    heard(answered, now);
    for (const StoreKeyValue& item : reply.changes.puts)
        apply(item, now);
    for (const std::string& key : reply.changes.deletes)
        applyRemoval(key, now);
    m_revision = std::max(m_revision, reply.changes.revision);
    tick(now);
}

void CellSession::apply(const StoreKeyValue& item, Time now)
{
    Revision& known = m_known[item.key];
    if (known.value >= item.modRevision.value && known.value != 0)
        return;
    known = item.modRevision;
    if (item.key.starts_with(m_config.operatorPrefix)) {
        m_hooks.operatorChanged(item.key, item);
    } else if (item.key == ownerKey()) {
        tookOwnerKey(item, now);
    } else if (item.key.starts_with(memberPrefix())) {
        const HostId host(item.key.substr(memberPrefix().size()));
        proto::NodeRecord record;
        if (!record.ParseFromString(item.value)) {
            LogLine(LogLevel::Error, "member_record_unreadable").with("key", item.key);
            return;
        }
        m_members[host] = { host, record.address(), record.strength_milli() };
        LogLine(LogLevel::Info, "member_seen").with("host", host).with("address", record.address());
    }
}

void CellSession::applyRemoval(const std::string& key, Time now)
{
    m_known.erase(key);
    if (key.starts_with(m_config.operatorPrefix)) {
        m_hooks.operatorChanged(key, std::nullopt);
    } else if (key == ownerKey()) {
        tookOwnerKey(std::nullopt, now);
    } else if (key == memberKey()) {
        m_memberShown = false; // The lease has ended, or the store took the key away.
        m_members.erase(m_config.self);
    } else if (key.starts_with(memberPrefix())) {
        const HostId host(key.substr(memberPrefix().size()));
        m_members.erase(host);
        LogLine(LogLevel::Warning, "member_gone").with("host", host);
    }
}

/** Takes the present state of the owner key. */
void CellSession::tookOwnerKey(const std::optional<StoreKeyValue>& item, Time now)
{
    if (!item) {
        m_owner.reset();
        if (owning())
            lose("the owner key was removed");
        LogLine(LogLevel::Warning, "owner_unknown").with("revision", m_revision);
        m_wakeAt = now;
        return;
    }
    proto::OwnerRecord record;
    if (!record.ParseFromString(item->value)) {
        LogLine(LogLevel::Error, "owner_record_unreadable").with("revision", item->modRevision);
        return;
    }
    learnOwner({ HostId(record.node()), record.address(), item->modRevision }, "owner_seen",
        "another owner has claimed the cell");
}

/** Takes an owner that is newer than the known one. An ownership of this host that is older has ended. */
void CellSession::learnOwner(const CellOwnerInfo& owner, const char* event, const char* lostReason)
{
    if (m_owner && m_owner->revision.value >= owner.revision.value)
        return;
    m_owner = owner;
    LogLine(LogLevel::Info, event).with("host", owner.host).with("token", owner.revision);
    if (owning() && m_token.value < owner.revision.value)
        lose(lostReason);
}

void CellSession::lose(const std::string& reason)
{
    m_token = {};
    m_suspectAfter = m_hooks.clock() + suspectPause;
    m_hooks.lost(reason);
}

void CellSession::grant(Time now)
{
    m_leaseOpen = true;
    m_hooks.call(
        StoreRequest(StoreLeaseGrant { m_config.leaseTtl }), leaseCallTimeout, [this, now](StoreReply&& reply) {
            const Time at = m_hooks.clock();
            heard(reply, at);
            m_leaseOpen = false;
            m_leaseRetryAt = at + (reply.status == StoreStatus::Ok ? keepInterval() : retryPause);
            if (reply.status != StoreStatus::Ok)
                return;
            m_lease = reply.lease;
            m_freshUntil = now + (reply.ttl.count() ? std::min(m_config.leaseTtl, reply.ttl) : m_config.leaseTtl);
            m_memberShown = false;
            LogLine(LogLevel::Info, "session_began").with("lease", m_lease);
            tick(at);
        });
}

void CellSession::keepAlive(Time now)
{
    m_leaseOpen = true;
    const StoreLeaseId lease = m_lease;
    m_hooks.call(StoreRequest(StoreLeaseKeepAlive { lease }), leaseCallTimeout, [this, now, lease](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        heard(reply, at);
        m_leaseOpen = false;
        m_leaseRetryAt = at + retryPause;
        if (lease != m_lease)
            return;
        if (reply.status == StoreStatus::Ok) {
            m_freshUntil = std::max(m_freshUntil, now + m_config.leaseTtl);
            m_leaseRetryAt = now + keepInterval();
        } else if (reply.status == StoreStatus::LeaseNotFound) {
            LogLine(LogLevel::Warning, "session_ended").with("lease", lease).with("reason", "the lease has run out");
            m_lease = {};
            m_memberShown = false;
            m_leaseRetryAt = at;
            if (owning())
                lose("the session's lease has run out");
        }
    });
}

void CellSession::showMember()
{
    proto::NodeRecord record;
    record.set_address(m_config.address);
    record.set_strength_milli(m_config.strengthMilli);
    StoreTxn txn;
    txn.writes.push_back({ StoreWrite::Kind::Put, memberKey(), record.SerializeAsString(), m_lease });
    m_memberOpen = true;
    m_hooks.call(StoreRequest(std::move(txn)), callTimeout, [this, lease = m_lease](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        heard(reply, at);
        m_memberOpen = false;
        if (lease != m_lease)
            return;
        if (reply.status == StoreStatus::Ok)
            m_memberShown = true;
        else if (reply.status == StoreStatus::LeaseNotFound)
            m_lease = {};
    });
}

/** Hosts claim in an order of their own, so that mostly one of them does: the strongest first, then by hash. */
std::int64_t CellSession::claimsBefore() const
{
    const auto rankOf = [&](const CellMember& member) {
        return std::pair(-static_cast<std::int64_t>(member.strengthMilli),
            fnvHash(member.host.value + std::to_string(m_owner ? m_owner->revision.value : 0)));
    };
    const auto own = rankOf({ m_config.self, m_config.address, m_config.strengthMilli });
    const auto former = [&](const HostId& host) { return m_owner && m_owner->host == host; };
    return std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) {
        return entry.first != m_config.self && !former(entry.first) && rankOf(entry.second) < own;
    });
}

/** Whether this host would be among the first two to claim the cell. @return True if so. */
bool CellSession::firstInLine() const
{
    constexpr std::int64_t watchers = 2; ///< One of them may fail along with the owner.
    return m_synced && m_eligible && m_memberShown && m_owner && !owning() && claimsBefore() < watchers;
}

void CellSession::claim(Time now)
{
    proto::OwnerRecord record;
    record.set_node(m_config.self.value);
    record.set_address(m_config.address);
    StoreTxn txn;
    if (m_owner) // Of a process that has ended; should it live after all, it is fenced.
        txn.compares.push_back({ StoreCompare::Kind::ModRevision, ownerKey(), m_owner->revision, {} });
    else
        txn.compares.push_back({ StoreCompare::Kind::Absent, ownerKey(), {}, {} });
    txn.writes.push_back({ StoreWrite::Kind::Put, ownerKey(), record.SerializeAsString(), m_lease });
    for (const std::string& key : m_config.sequenceKeys)
        txn.writes.push_back({ StoreWrite::Kind::Put, key, "claimed", {} });
    m_claimOpen = true;
    m_claimAt = now + callTimeout;
    LogLine(LogLevel::Info, "claim_sent").with("revision", m_revision);
    m_hooks.call(StoreRequest(std::move(txn)), callTimeout, [this, lease = m_lease](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        heard(reply, at);
        m_claimOpen = false;
        m_claimAt.reset();
        if (reply.status == StoreStatus::Ok && lease == m_lease && m_eligible) {
            m_owner = CellOwnerInfo { m_config.self, m_config.address, reply.revision };
            m_token = reply.revision;
            LogLine(LogLevel::Info, "claim_won").with("token", m_token);
            m_hooks.won(m_token);
            return;
        }
        // Without an answer the claim may have won: then the watch shows a key of this host, and the next claim
        // replaces it under its revision.
        LogLine(LogLevel::Info, "claim_not_won").with("answered", reply.status == StoreStatus::CompareFailed);
    });
}

/** A connection to the owner was refused. Twice in a row tells that its process has ended. @param now Present time. */
void CellSession::ownerRefused(Time now)
{
    if (!m_owner || owning() || m_dead == m_owner->revision || now < m_suspectAfter)
        return;
    if (m_refusedBy != m_owner->revision) {
        m_refusedBy = m_owner->revision;
        m_refusedAt = now;
        return;
    }
    if (now - m_refusedAt < refusedFor)
        return;
    ownerFailed("its address refuses connections", now);
}

/**
 * The owner does not serve any more although its lease still runs: it may be replaced under the revision of its claim.
 * @param reason What tells so.
 * @param now Present time.
 */
void CellSession::ownerFailed(const std::string& reason, Time now)
{
    if (!m_owner || owning() || m_dead == m_owner->revision || now < m_suspectAfter)
        return;
    m_dead = m_owner->revision;
    m_suspectAfter = now + suspectPause;
    LogLine(LogLevel::Warning, "owner_failed")
        .with("host", m_owner->host)
        .with("token", m_owner->revision)
        .with("reason", reason);
    tick(now);
}

/** Another host knows of an owner. @param owner Owner; one that is not newer than the known one is ignored. */
void CellSession::ownerHeard(const CellOwnerInfo& owner)
{
    learnOwner(owner, "owner_heard", "another host tells of a newer owner");
}

std::chrono::milliseconds CellSession::keepInterval() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_config.leaseTtl) / keepsPerLease;
}

/** Gives the cell up, so that another host can claim it at once. @param reason Why. */
void CellSession::resign(const std::string& reason)
{
    if (!owning())
        return;
    m_resigned = m_token;
    lose(reason);
    removeOwnerKey(m_hooks.clock());
}

/** Removes the key of the claim that was given up; while it is there, no other host claims the cell. */
void CellSession::removeOwnerKey(Time now)
{
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, ownerKey(), m_resigned, {} });
    txn.writes.push_back({ StoreWrite::Kind::Delete, ownerKey(), {}, {} });
    m_removalOpen = true;
    m_removalRetryAt = now + callTimeout;
    m_hooks.call(StoreRequest(std::move(txn)), callTimeout, [this, resigned = m_resigned](StoreReply&& reply) {
        const Time at = m_hooks.clock();
        heard(reply, at);
        m_removalOpen = false;
        if (resigned != m_resigned)
            return;
        if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::CompareFailed) {
            m_resigned = {};
            return;
        }
        m_removalRetryAt = at + retryPause;
        LogLine(LogLevel::Warning, "resignation_not_stored").with("token", resigned);
    });
}

} // namespace sp
