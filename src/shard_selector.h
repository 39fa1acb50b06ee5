/** @file shard_selector.h Choice of the slot shard that a prompt request is sent to, from the loads that owners
 * announce. */
#pragma once

#include "core_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Shard chosen for a request. */
struct ShardChoice {
    ShardId shard;
    HostId owner;
    std::string reason; ///< For the log line.
};

/** A shard with a fresh load, as a picker sees it. */
struct ShardCandidate {
    Duration wait {}; ///< Announced wait, corrected by what this selector has sent since the announcement.
    Duration roundTrip {}; ///< Round trip to the owner.
    Duration announcedWait {}; ///< Wait as announced.
    double room = 0; ///< Share of slots expected to be free; negative by the queue's length if none is.
    double announcedRoom = 0; ///< As room, from the announcement alone.
    bool sameDataCentre = false;
};

/**
 * Picks one of several candidates (at least one).
 * @param candidates Shards with fresh loads.
 * @param random Uniform random number.
 * @return Index of the candidate.
 */
using ShardPicker = std::function<std::size_t(const std::vector<ShardCandidate>& candidates, std::uint64_t random)>;

/** Policy in use: shortest expected wait plus round trip. */
std::size_t pickShortestWait(const std::vector<ShardCandidate>& candidates, std::uint64_t random);
/** Baseline: any shard. */
std::size_t pickRandom(const std::vector<ShardCandidate>& candidates, std::uint64_t random);
/** Baseline: largest announced room, without correction. */
std::size_t pickLeastLoaded(const std::vector<ShardCandidate>& candidates, std::uint64_t random);
/** Baseline: the better of two random shards by announced room. */
std::size_t pickPowerOfTwo(const std::vector<ShardCandidate>& candidates, std::uint64_t random);

/** Announced loads and the choice among them. Not thread-safe. */
class ShardSelector {
public:
    static constexpr Duration staleNear = std::chrono::seconds(1); ///< Age from which a load of the own centre is old.
    static constexpr Duration staleFar = std::chrono::seconds(3); ///< The same for other data centres.

    explicit ShardSelector(std::uint64_t seed = 1, ShardPicker picker = pickShortestWait);
    void loadReported(const HostId& owner, const ShardLoad& load, const std::string& service, Duration roundTrip,
        bool sameDataCentre, Time now);
    void forgetOwner(const HostId& owner);
    std::optional<ShardChoice> choose(const std::string& service, Time now);

private:
    /** Last announcement of one service in one shard. */
    struct Entry {
        ShardId shard;
        HostId owner;
        Term term;
        HoldLevel level = HoldLevel::None;
        SlotLoad load;
        Duration roundTrip {};
        bool sameDataCentre = false;
        Time reportedAt {};
        double interval = 0; ///< Expected time between two releases of slots, in nanoseconds.
        double busy = 0; ///< Slots taken by the announcement.
        double demand = 0; ///< Slots wanted by the announcement.
        double backlog = 0; ///< Requests that are expected to wait, kept up to date.
        RecentDemand sent {}; ///< What this selector sends, over the same time as the announced demand.
        double sentReported = 0; ///< Slots of `sent` at the time of the announcement.
        double own = 0; ///< Slots expected to be held by requests of this selector.
        double ownReported = 0; ///< The same at the time of the announcement.
        Time updatedAt {}; ///< Time to which `own` and `backlog` have been brought.

        double runTime() const { return interval * load.slotsTotal; }
    };
    /** Owner of a shard, which is also a sender like this host. */
    struct Owner {
        bool sameDataCentre = false;
        Time seenAt {};
    };
    static bool usable(const Entry& entry, Time now);
    void update(Entry& entry, Time now) const;
    double demandNow(const Entry& entry) const;
    ShardCandidate candidate(const Entry& entry, Time now) const;
    void countSenders(Time now);

    std::map<std::string, std::vector<Entry>, std::less<>> m_services;
    std::map<HostId, Owner> m_owners;
    double m_nearSenders = 1; ///< Hosts that are expected to send to a shard of the own data centre as this one does.
    double m_farSenders = 1; ///< The same for another data centre.
    std::uint64_t m_random;
    ShardPicker m_picker;
    std::vector<ShardCandidate> m_candidates; ///< Of the present choice; kept to save allocations.
    std::vector<Entry*> m_usable; ///< Entries of m_candidates.
};

} // namespace sp
