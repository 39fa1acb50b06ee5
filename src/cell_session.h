/** @file cell_session.h A host's session with the store: lease, members, ownership of the cell, operator's keys. */
#pragma once

#include "cell_type.h"
#include "store_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** What a session is and which keys it follows. */
struct CellSessionConfig {
    HostId self;
    std::string address; ///< `ip:port` at which other hosts call this one.
    std::uint32_t strengthMilli = 1000; ///< Thousandths of a core; stronger hosts claim the cell first.
    std::string watchPrefix; ///< Common prefix of the operator's keys and the session's own.
    std::string operatorPrefix; ///< Keys that the operator writes.
    std::string ownPrefix; ///< Members and owner.
    std::vector<std::string> sequenceKeys; ///< Written along with each claim.
    std::chrono::seconds leaseTtl { 1 }; ///< Time after which a silent host counts as gone.
};

/** Another host, or this one, as its session wrote it. */
struct CellMember {
    HostId host;
    std::string address;
    std::uint32_t strengthMilli = 0;
};

/** Owner of the cell as the store knows it. */
struct CellOwnerInfo {
    HostId host;
    std::string address;
    Revision revision; ///< Of the claim; the fencing token.
};

/** What the session needs from its surroundings. */
struct CellSessionHooks {
    using Reply = std::function<void(StoreReply&&)>;
    std::function<void(StoreRequest&&, std::chrono::milliseconds timeout, Reply)> call;
    std::function<void(StoreWatch&&, std::function<void(StoreWatchReply&&)>)> watch;
    std::function<void(const std::string& key, const std::optional<StoreKeyValue>& item)> operatorChanged;
    std::function<void(Revision token)> won; ///< This host owns the cell.
    std::function<void(const std::string& reason)> lost; ///< It does not any more.
    std::function<Time()> clock; ///< Time at which an answer came.
};

/**
 * Keeps a lease, shows this host as a member, follows the keys and claims the cell when it has no owner. The revision
 * of the claim is the fencing token. Rights count from the time at which a renewal was sent.
 */
class CellSession {
public:
    CellSession(CellSessionConfig config, CellSessionHooks hooks);
    void tick(Time now);
    std::optional<Time> wakeAt() const { return m_wakeAt; }
    void setEligible(bool eligible) { m_eligible = eligible; }
    void abstain(Time until) { m_abstainUntil = until; }
    void resign(const std::string& reason);
    void ownerRefused(Time now);
    void ownerFailed(const std::string& reason, Time now);
    bool firstInLine() const;
    void ownerHeard(const CellOwnerInfo& owner);

    bool synced() const { return m_synced; }
    bool owning() const { return m_token.value != 0; }
    bool leaseFresh(Time now) const { return m_lease.value != 0 && now < m_freshUntil; }
    bool reachesStore(Time now) const;
    Time storeHeardAt() const { return m_heardAt; }
    const std::map<HostId, CellMember>& members() const { return m_members; }
    const std::optional<CellOwnerInfo>& owner() const { return m_owner; }

private:
    void beginSync();
    void readPage(const std::string& after);
    void beginWatch();
    void takeWatch(StoreWatchReply&& reply, Time now);
    void apply(const StoreKeyValue& item, Time now);
    void applyRemoval(const std::string& key, Time now);
    void grant(Time now);
    void keepAlive(Time now);
    void showMember();
    void claim(Time now);
    void tookOwnerKey(const std::optional<StoreKeyValue>& item, Time now);
    void learnOwner(const CellOwnerInfo& owner, const char* event, const char* lostReason);
    void lose(const std::string& reason);
    void removeOwnerKey(Time now);
    void heard(const StoreReply& reply, Time now);
    std::int64_t claimsBefore() const;
    std::chrono::milliseconds keepInterval() const;
    std::string ownerKey() const { return m_config.ownPrefix + "owner"; }
    std::string memberPrefix() const { return m_config.ownPrefix + "node/"; }
    std::string memberKey() const { return memberPrefix() + m_config.self.value; }

    const CellSessionConfig m_config;
    const CellSessionHooks m_hooks;
    bool m_eligible = false;
    Time m_abstainUntil {};
    std::optional<Time> m_wakeAt;

    // Following the keys.
    bool m_synced = false;
    bool m_syncing = false;
    Time m_syncRetryAt {};
    std::uint64_t m_syncRound = 0;
    Revision m_revision;
    std::map<std::string, Revision> m_known; ///< Keys under the watched prefix, with their last change.
    std::map<std::string, StoreKeyValue> m_reading;
    bool m_watching = false;
    Time m_watchRetryAt {};
    int m_watchFailures = 0;
    Time m_heardAt {};
    bool m_storeLost = false;

    // Lease and membership.
    StoreLeaseId m_lease;
    Time m_freshUntil {};
    bool m_leaseOpen = false;
    Time m_leaseRetryAt {};
    bool m_memberShown = false;
    bool m_memberOpen = false;
    std::map<HostId, CellMember> m_members;

    // Ownership.
    std::optional<CellOwnerInfo> m_owner;
    Revision m_token; ///< Of the own claim in force; 0 if this host is not the owner.
    bool m_claimOpen = false;
    Revision m_refusedBy; ///< Owner whose address refused a connection.
    Time m_refusedAt {}; ///< When it first did.
    Revision m_dead; ///< Owner whose process has ended, although its lease still runs.
    Time m_suspectAfter {}; ///< No owner is taken for dead before this time.
    std::optional<Time> m_claimAt;
    Revision m_resigned; ///< Claim that was given up and whose key may still be there; 0 if there is none.
    bool m_removalOpen = false;
    Time m_removalRetryAt {};
};

} // namespace sp
