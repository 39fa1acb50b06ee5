/** @file ownership.h Which shards this scheduler owns, under which term, and how firmly. */
#pragma once

#include "core_type.h"
#include "fault_switches.h"
#include "state_chart.h"

#include <map>
#include <optional>
#include <random>
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
    std::chrono::milliseconds surplusWait { 1000 }; ///< Extra wait before a claim above the own share.
    std::chrono::milliseconds handOverAfter { 5000 }; ///< A surplus that lasts this long is handed over.
    std::chrono::milliseconds peerDeadAfter { 2000 }; ///< Peers unseen for this long don't count for the share.
    std::uint64_t seed = 0; ///< Seed of the jitter.
    FaultSwitches faults; ///< For mutation tests only.
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
 * object passes the replies back. docs/ownership.md holds the argument.
 */
class Ownership {
public:
    using StoreCall = std::function<StoreTicket(StoreRequest)>;

    Ownership(OwnershipConfig config, StoreCall call);
    void start(Time now);
    void setShards(const std::vector<ShardId>& shards, Time now);
    void addPeer(const HostId& peer);
    void tick(Time now);
    bool storeReplied(const StoreReply& reply, Time now);
    void ownerKeyChanged(const ShardId& shard, const std::optional<std::string>& value, Revision revision, Time now);
    void peerSeen(const HostId& peer, Incarnation incarnation, bool draining, Time now, bool ready = true);
    void peerHolds(
        const HostId& peer, Incarnation incarnation, Time sentAt, const std::vector<ShardLoad>& loads, Time now);
    void addHeld(std::vector<ShardLoad>& loads) const;
    std::chrono::milliseconds promiseFor(const HostId& peer, Time now);
    void promiseReceived(const HostId& peer, Time sentAt, std::chrono::milliseconds promise, Time now);
    void recovered(const ShardId& shard, Time now);
    void superseded(const ShardId& shard, Term higher, Time now);
    void releaseAll(Time now);
    bool isReleased(Time now) const;
    void endSession(Time now);
    HoldLevel level(const ShardId& shard, Time now) const;
    Term term(const ShardId& shard) const;
    std::optional<HostId> ownerOf(const ShardId& shard) const;
    std::vector<HoldChange> takeChanges();
    bool sessionFresh(Time now) const;
    StoreLeaseId sessionLease() const;

private:
    /** Store call of a shard in flight, or to be read back. */
    enum class Step : std::uint8_t { Idle, ReadTerm, Claim, ReadClaim, Renew, ReadRenewal, Release };
    /** Owner key as the store last showed it. */
    struct OwnerKey {
        std::string value; ///< Whole value, empty if the key is absent.
        HostId host;
        Incarnation incarnation;
        Term term;
        Revision revision; ///< Store revision at which this was true.
    };
    struct Shard {
        ChartState state = 0;
        bool recovered = false;
        Term term; ///< Of the present or last hold.
        Term highest; ///< Highest term seen anywhere.
        Time wonAt {}; ///< Promises count if asked for later than this.
        std::string keyValue; ///< Value that the last claim or renewal wrote.
        StoreLeaseId lease; ///< Lease that protects the hold, 0 if the key is gone.
        StoreLeaseId pendingLease; ///< Lease of the claim or renewal in flight.
        Term pendingTerm;
        OwnerKey owner;
        Time freeSince {}; ///< Since when the owner key is known to be absent.
        Time promisedUntil {}; ///< No claim before this time.
        HostId promisedTo; ///< Peer that announced the shard when the promise was made.
        Step step = Step::Idle;
        StoreTicket ticket; ///< Call in flight, 0 if none.
        bool isUnresolved = false; ///< A claim or renewal got no answer and must be read back.
        std::string releaseValue; ///< Owner key's value that is to be deleted, empty if none.
        unsigned failures = 0;
        Time nextTry {};
    };
    struct Peer {
        Incarnation incarnation;
        std::optional<Time> seenAt;
        bool draining = false;
        bool ready = false;
        std::optional<Time> holdsAt; ///< When peerHolds was last called.
        std::optional<Time> announcedAt; ///< Sending time of the newest announcement, on the peer's clock.
        bool mayPromise = false; ///< Whether all shards it holds could be promised then.
        std::optional<Time> promiseSentAt;
        Time promiseUntil {};
    };
    struct SessionCall {
        bool isGrant = false;
        StoreLeaseId lease;
    };

    // Hold levels (ownership.cpp).
    bool isHeld(const Shard& shard) const;
    bool isLeased(const Shard& shard, Time now) const;
    bool isPromised(const Shard& shard, Time now) const;
    void raise(const ShardId& id, Shard& shard, std::string_view event, const std::string& reason);
    void refresh(const ShardId& id, Shard& shard, Time now);
    void lose(const ShardId& id, Shard& shard, std::string_view event, const std::string& reason);
    void noteOwner(
        const ShardId& id, Shard& shard, const std::optional<std::string>& value, Revision revision, Time now);
    bool isOwn(const OwnerKey& owner) const;
    void dropPromises(const HostId& peer, const std::vector<Shard*>& covered, Time now);
    bool canPromise(const ShardId& id, Shard& shard, Term announced, Time now);
    HoldLevel levelOf(ChartState state) const;

    // Balance between schedulers (ownership_balance.cpp).
    std::size_t share(Time now) const;
    std::size_t ownCount() const;
    bool isLive(const Peer& peer, Time now) const;
    bool mayClaim(const Shard& shard, Time now) const;
    void handOver(Time now);
    bool hasReceiver(std::size_t below, Time now) const;

    // Store calls (ownership_store.cpp).
    void keepSession(Time now);
    void sessionReplied(const SessionCall& call, const StoreReply& reply, Time now);
    void sessionFailed(Time now);
    void work(const ShardId& id, Shard& shard, Time now);
    void send(Shard& shard, Step step, StoreRequest request);
    void sendClaim(const ShardId& id, Shard& shard, Term last, Time now);
    void sendRenewal(const ShardId& id, Shard& shard);
    void sendRelease(const ShardId& id, Shard& shard);
    std::string newKeyValue(Term term);
    void shardReplied(const ShardId& id, Shard& shard, Step step, const StoreReply& reply, Time now);
    void termRead(const ShardId& id, Shard& shard, const StoreReply& reply, Time now);
    void writeReplied(const ShardId& id, Shard& shard, Step step, const StoreReply& reply, Time now);
    void readBack(const ShardId& id, Shard& shard, Step step, const StoreReply& reply, Time now);
    void written(const ShardId& id, Shard& shard, bool isClaim, Revision revision, Time now);
    void notWritten(const ShardId& id, Shard& shard, bool isClaim, Time now);
    void released(const ShardId& id, Shard& shard, const StoreReply& reply, Time now);
    void noteValues(const ShardId& id, Shard& shard, const StoreReply& reply, Time now);
    Duration backoff(unsigned failures);
    Duration randomUpTo(Duration limit);

    OwnershipConfig m_config;
    StoreCall m_call;
    StateChart m_chart;
    std::vector<HoldLevel> m_levels; ///< Hold level of each state of the chart.
    std::map<ShardId, Shard> m_shards;
    std::map<HostId, Peer> m_peers;
    std::vector<HoldChange> m_changes;
    std::mt19937_64 m_random;
    Time m_startedAt {};
    StoreLeaseId m_lease;
    Time m_leaseUntil {};
    Time m_nextSessionCall {};
    std::map<StoreTicket, SessionCall> m_sessionCalls;
    unsigned m_sessionFailures = 0;
    bool m_isOutage = false; ///< The session has lapsed for want of answers.
    std::optional<Time> m_surplusSince;
    std::optional<Time> m_handedOverAt;
    int m_handOverFactor = 1; ///< Grows while hand-overs follow each other.
    std::uint64_t m_tokens = 0;
    bool m_isReleasing = false;
    bool m_isEnded = false;
};

std::string ownerKey(const ShardId& shard);
std::string termKey(const ShardId& shard);

} // namespace sp
