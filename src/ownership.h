/** @file ownership.h Which shards this scheduler owns, under which term, and how firmly. */
#pragma once

#include "core_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sp {

/** Fixed data of the ownership protocol. */
struct OwnershipConfig {
    HostId self;
    Incarnation incarnation;
    std::vector<HostId> peers; ///< Other schedulers of the data centre, from the settings.
    bool targetsCheckTerms = true; ///< Whether targets refuse lower terms.
    std::chrono::milliseconds leaseTtl { 3000 };
    std::chrono::milliseconds keepAliveEvery { 1000 };
    std::chrono::milliseconds margin { 500 }; ///< Taken off each deadline for clock drift.
    std::chrono::milliseconds promise { 2000 }; ///< Length of a promise; a restarted process waits as long.
    std::chrono::milliseconds takeoverWait { 2000 }; ///< Extra wait if targets don't check terms.
};

/** Change of a shard's hold. */
struct HoldChange {
    ShardId shard;
    HoldLevel from = HoldLevel::None;
    HoldLevel to = HoldLevel::None;
    Term term;
    std::string reason;
};

/**
 * Holds of one scheduler on the shards of its data centre. Invariant: of all schedulers of a data centre at most one is
 * at level Recovering, Store or Promise for a shard at any time. Store calls go through the hook; the owner of this
 * object passes the replies back.
 */
class Ownership {
public:
    using StoreCall = std::function<StoreTicket(StoreRequest)>;

    Ownership(OwnershipConfig config, StoreCall call);
    void start(Time now);
    void setShards(const std::vector<ShardId>& shards, Time now);
    void tick(Time now);
    bool storeReplied(const StoreReply& reply, Time now);
    void ownerKeyChanged(const ShardId& shard, const std::optional<std::string>& value, Revision revision, Time now);
    void peerSeen(const HostId& peer, Incarnation incarnation, bool draining, Time now);
    std::chrono::milliseconds promiseFor(const HostId& peer, Time now);
    void promiseReceived(const HostId& peer, Time sentAt, std::chrono::milliseconds promise, Time now);
    void recovered(const ShardId& shard, Time now);
    void superseded(const ShardId& shard, Term higher, Time now);
    void releaseAll(Time now);
    HoldLevel level(const ShardId& shard, Time now) const;
    Term term(const ShardId& shard) const;
    std::optional<HostId> ownerOf(const ShardId& shard) const;
    std::vector<HoldChange> takeChanges();
    bool sessionFresh(Time now) const;
    StoreLeaseId sessionLease() const;

private:
    struct Shard {
        HoldLevel level = HoldLevel::None;
        Term term;
        std::string ownerValue; ///< Last value of the owner key, empty if absent.
        HostId owner; ///< Owner as the store names it.
        Time freeSince {}; ///< Since when the owner key is known to be absent.
        StoreTicket pending; ///< Claim or read in flight.
        std::string token; ///< Token of the last claim.
        Term claimedTerm;
    };
    void change(const ShardId& id, Shard& shard, HoldLevel to, const std::string& reason);
    void claim(const ShardId& id, Shard& shard, Term last, Time now);
    void claimReplied(const ShardId& id, Shard& shard, const StoreReply& reply, Time now);

    OwnershipConfig m_config;
    StoreCall m_call;
    std::map<ShardId, Shard> m_shards;
    std::vector<HoldChange> m_changes;
    Time m_startedAt {};
    StoreLeaseId m_lease;
    Time m_leaseUntil {};
    Time m_nextKeepAlive {};
    StoreTicket m_leaseCall;
    std::uint64_t m_tokens = 0;
    bool m_releasing = false;
};

std::string ownerKey(const ShardId& shard);
std::string termKey(const ShardId& shard);

} // namespace sp
