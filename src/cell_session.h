/** @file cell_session.h Session of an entry host with the store: lease, membership, ownership and operator's keys. */
#pragma once

#include "cell_type.h"
#include "store_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Identity of the host and the store keys that its session reads and writes. */
struct CellSessionConfig {
    HostId self;
    std::string address; ///< `ip:port` at which other hosts call this one.
    std::uint32_t strengthMilli = 1000; ///< Thousandths of a core; stronger hosts claim the cell first.
    std::string watchPrefix; ///< Common prefix of operatorPrefix and ownPrefix.
    std::string operatorPrefix; ///< Prefix of the keys that the operator writes.
    std::string ownPrefix; ///< Prefix of the member keys and the owner key.
    std::vector<std::string> sequenceKeys; ///< Keys that each claim of the cell also writes, so that they start at the
                                           ///< revision of the claim.
    std::chrono::seconds leaseTtl {
        1
    }; ///< Time to live of the lease; without a renewal the store then deletes the host's keys.
};

/** An entry host, as read from its member key in the store. */
struct CellMember {
    HostId host;
    std::string address;
    std::uint32_t strengthMilli = 0;
};

/** Owner of the cell, as read from the owner key in the store or reported by another host. */
struct CellOwnerInfo {
    HostId host;
    std::string address;
    Revision revision; ///< Revision of the claim, which is the fencing token.
};

/** Functions through which the session calls the store and reports changes. */
struct CellSessionHooks {
    using Reply = std::function<void(StoreReply&&)>;
    std::function<void(StoreRequest&&, std::chrono::milliseconds timeout, Reply)> call;
    std::function<void(StoreWatch&&, std::function<void(StoreWatchReply&&)>)> watch;
    std::function<void(const std::string& key, const std::optional<StoreKeyValue>& item)> operatorKeyChanged;
    std::function<void(Revision token)> cellAcquired; ///< Called when a claim of this host succeeds.
    std::function<void(const std::string& reason)> cellLost; ///< Called when this host stops owning the cell.
    std::function<Time()> clock; ///< Returns the present time.
};

/**
 * Holds a lease in the store, registers this host as a member, watches the keys and claims the cell when it has no
 * owner. The revision of the claim is the fencing token. The lease counts as valid for its time to live from the moment
 * at which the renewal was sent, not from the moment of the reply.
 */
class CellSession {
public:
    CellSession(CellSessionConfig config, CellSessionHooks hooks);
    void tick(Time now);
    std::optional<Time> wakeAt() const { return m_wakeAt; }
    void setEligible(bool eligible) { m_eligible = eligible; }
    void suspendClaims(Time until) { m_claimsSuspendedUntil = until; }
    void resign(const std::string& reason);
    void ownerRefusedConnection(Time now);
    void ownerFailed(const std::string& reason, Time now);
    bool isStandby() const;
    void ownerReported(const CellOwnerInfo& owner);

    bool synced() const { return m_synced; }
    bool owning() const { return m_token.value != 0; }
    bool leaseValid(Time now) const { return m_lease.value != 0 && now < m_leaseValidUntil; }
    /** Returns the time at which the lease ends unless it is renewed before. */
    Time leaseValidUntil() const { return m_lease.value != 0 ? m_leaseValidUntil : Time {}; }
    bool reachesStore(Time now) const;
    bool hasStrongerMember() const;
    Time lastStoreReplyAt() const { return m_lastStoreReplyAt; }
    const std::map<HostId, CellMember>& members() const { return m_members; }
    const std::optional<CellOwnerInfo>& owner() const { return m_owner; }

private:
    void beginSync();
    void readPage(const std::string& after);
    void beginWatch();
    void handleWatchReply(StoreWatchReply&& reply, Time now);
    void apply(const StoreKeyValue& item, Time now);
    void applyRemoval(const std::string& key, Time now);
    void grant(Time now);
    void keepAlive(Time now);
    void registerMember();
    void claim(Time now);
    void applyOwnerKey(const std::optional<StoreKeyValue>& item, Time now);
    void adoptNewerOwner(const CellOwnerInfo& owner, const char* event, const char* lostReason);
    void endOwnership(const std::string& reason);
    void deleteOwnerKey(Time now);
    void noteStoreReply(const StoreReply& reply, Time now);
    std::int64_t claimRank(Time now) const;
    Time claimDue(Time now) const;
    std::chrono::milliseconds renewalInterval() const;
    std::string ownerKey() const { return m_config.ownPrefix + "owner"; }
    std::string memberPrefix() const { return m_config.ownPrefix + "node/"; }
    std::string memberKey() const { return memberPrefix() + m_config.self.value; }

    const CellSessionConfig m_config;
    const CellSessionHooks m_hooks;
    bool m_eligible = false;
    Time m_claimsSuspendedUntil {};
    std::optional<Time> m_wakeAt;

    // Replica of the watched keys.
    bool m_synced = false;
    bool m_syncInFlight = false;
    Time m_syncRetryAt {};
    std::uint64_t m_syncId = 0;
    Revision m_revision;
    std::map<std::string, Revision> m_keyRevisions; ///< Last revision of each key under watchPrefix.
    std::map<std::string, StoreKeyValue> m_syncItems;
    bool m_watchInFlight = false;
    Time m_watchRetryAt {};
    int m_watchFailures = 0;
    Time m_lastStoreReplyAt {};
    bool m_storeLost = false;

    // Lease and membership.
    StoreLeaseId m_lease;
    Time m_leaseValidUntil {};
    bool m_leaseCallInFlight = false;
    Time m_leaseRetryAt {};
    bool m_memberRegistered = false;
    bool m_memberCallInFlight = false;
    std::map<HostId, CellMember> m_members;
    /** Former members with the time at which they disappeared. */
    std::map<HostId, std::pair<CellMember, Time>> m_formerMembers;

    // Ownership.
    std::optional<CellOwnerInfo> m_owner;
    Revision m_token; ///< Fencing token of this host's ownership; 0 if it is not the owner.
    bool m_claimInFlight = false;
    Revision m_refusingOwner; ///< Claim of the owner whose address refused a connection.
    Time m_firstRefusalAt {}; ///< Time of the first refusal.
    Revision m_failedOwner; ///< Claim of an owner that has failed although its lease is still valid.
    Time m_failureReportsIgnoredUntil {}; ///< Reports that the owner has failed are ignored before this time.
    std::optional<Time> m_claimableSince; ///< Time since which this host may claim the cell.
    Time m_nextClaimAt {}; ///< Back-off after a claim: no other one is sent before this time.
    Revision m_resignedClaim; ///< Resigned claim whose owner key may still exist; 0 if there is none.
    bool m_ownerKeyDeleteInFlight = false;
    Time m_ownerKeyDeleteRetryAt {};
};

} // namespace sp
