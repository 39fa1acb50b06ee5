#include "shard_selector.h"

#include <algorithm>

namespace sp {

namespace {

    /** Run time assumed for a service whose owner has not announced a service rate yet. */
    constexpr Duration assumedRunTime = std::chrono::milliseconds(100);

    /** An entry that is not announced for this time is dropped. */
    constexpr Duration forgetAfter = std::chrono::seconds(60);

    /** Next number of a splitmix64 sequence. */
    std::uint64_t nextRandom(std::uint64_t& state)
    {
        std::uint64_t z = (state += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /** Time between two releases of slots: as announced, or from wait and queue, or assumed. */
    double releaseInterval(const SlotLoad& load)
    {
        if (load.releaseInterval > Duration::zero())
            return static_cast<double>(load.releaseInterval.count());
        if (load.expectedWait > Duration::zero())
            return static_cast<double>(load.expectedWait.count()) / (load.queued + 1.0);
        return static_cast<double>(assumedRunTime.count()) / std::max(1U, load.slotsTotal);
    }

    /** Whether prompt requests may start at this hold level. */
    bool mayStart(HoldLevel level)
    {
        return level == HoldLevel::Recovering || level == HoldLevel::Store || level == HoldLevel::Promise
            || level == HoldLevel::Fenced;
    }

} // namespace

/**
 * @param seed Seed of the random numbers given to the picker.
 * @param picker Policy of choice.
 */
ShardSelector::ShardSelector(std::uint64_t seed, ShardPicker picker)
    : m_random(seed)
    , m_picker(std::move(picker))
{
}

/**
 * Takes in a load; an announcement under a lower term than a known one is ignored.
 * @param owner Announcing host.
 * @param load Load of a slot shard.
 * @param service Service that the load is of.
 * @param roundTrip Round trip to the owner, zero for the own host.
 * @param sameDataCentre Whether the owner is in the own data centre.
 * @param now Present time.
 */
void ShardSelector::loadReported(const HostId& owner, const ShardLoad& load, const std::string& service,
    Duration roundTrip, bool sameDataCentre, Time now)
{
    std::vector<Entry>& entries = m_services[service];
    std::erase_if(
        entries, [&](const Entry& entry) { return entry.shard != load.shard && now - entry.reportedAt > forgetAfter; });
    auto it
        = std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.shard == load.shard; });
    if (it == entries.end())
        it = entries.insert(entries.end(), Entry {});
    else if (load.term < it->term)
        return;
    *it = { load.shard, owner, load.term, load.level, load.slots, roundTrip, sameDataCentre, now,
        releaseInterval(load.slots), 0, now };
}

/** Drops all loads that a host has announced. @param owner Host. */
void ShardSelector::forgetOwner(const HostId& owner)
{
    for (auto& [service, entries] : m_services)
        std::erase_if(entries, [&](const Entry& entry) { return entry.owner == owner; });
    std::erase_if(m_services, [](const auto& service) { return service.second.empty(); });
}

/**
 * Chooses the shard for one request and counts the request as sent there.
 * @param service Service that runs the request.
 * @param now Present time.
 * @return Shard, or nothing if no shard has a fresh load and a usable instance.
 */
std::optional<ShardChoice> ShardSelector::choose(const std::string& service, Time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    m_candidates.clear();
    m_usable.clear();
    for (Entry& entry : found->second) {
        if (!usable(entry, now))
            continue;
        drain(entry, now);
        m_candidates.push_back(candidate(entry));
        m_usable.push_back(&entry);
    }
    if (m_usable.empty())
        return std::nullopt;
    const std::size_t index = m_picker(m_candidates, nextRandom(m_random));
    Entry& entry = *m_usable[index];
    entry.sent += 1;
    const ShardCandidate& picked = m_candidates[index];
    return ShardChoice { entry.shard, entry.owner,
        "expected wait " + std::to_string(toMs(picked.wait)) + " ms, round trip "
            + std::to_string(toMs(picked.roundTrip)) + " ms, " + std::to_string(m_usable.size()) + " shards" };
}

/** Whether requests can be sent on the word of an announcement. The load was taken half a round trip before. */
bool ShardSelector::usable(const Entry& entry, Time now)
{
    const Duration age = now - entry.reportedAt + entry.roundTrip / 2;
    return age <= (entry.sameDataCentre ? staleNear : staleFar) && mayStart(entry.level) && entry.load.slotsTotal > 0;
}

/** Takes off what the shard is expected to have worked off of the requests sent since the announcement. */
void ShardSelector::drain(Entry& entry, Time now)
{
    const double released = static_cast<double>((now - entry.drainedAt).count()) / entry.interval;
    entry.sent = std::max(0.0, entry.sent - released);
    entry.drainedAt = now;
}

/** An announcement as a picker sees it. */
ShardCandidate ShardSelector::candidate(const Entry& entry)
{
    const SlotLoad& load = entry.load;
    const double free = load.slotsFree;
    const double waiting = std::max(0.0, entry.sent - free);
    const auto added = Duration(static_cast<Duration::rep>(waiting * entry.interval));
    const double announced = (free - load.queued) / load.slotsTotal;
    return { load.expectedWait + added, entry.roundTrip, load.expectedWait, announced - entry.sent / load.slotsTotal,
        announced, entry.sameDataCentre };
}

/**
 * The shard with the shortest wait plus round trip, so that another data centre is taken only when that is shorter;
 * among equals the one with most room.
 */
std::size_t pickShortestWait(const std::vector<ShardCandidate>& candidates, std::uint64_t random)
{
    const std::size_t first = random % candidates.size();
    std::size_t best = first;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const std::size_t index = (first + i) % candidates.size();
        const ShardCandidate& other = candidates[index];
        const ShardCandidate& present = candidates[best];
        const Duration otherCost = other.wait + (other.sameDataCentre ? Duration::zero() : other.roundTrip);
        const Duration presentCost = present.wait + (present.sameDataCentre ? Duration::zero() : present.roundTrip);
        if (otherCost != presentCost ? otherCost < presentCost : other.room > present.room)
            best = index;
    }
    return best;
}

std::size_t pickRandom(const std::vector<ShardCandidate>& candidates, std::uint64_t random)
{
    return random % candidates.size();
}

std::size_t pickLeastLoaded(const std::vector<ShardCandidate>& candidates, std::uint64_t random)
{
    (void)random;
    const auto best = std::max_element(candidates.begin(), candidates.end(),
        [](const ShardCandidate& a, const ShardCandidate& b) { return a.announcedRoom < b.announcedRoom; });
    return static_cast<std::size_t>(best - candidates.begin());
}

std::size_t pickPowerOfTwo(const std::vector<ShardCandidate>& candidates, std::uint64_t random)
{
    const std::size_t count = candidates.size();
    const std::size_t a = (random & 0xffffffffU) % count;
    const std::size_t b = count < 2 ? a : (a + 1 + (random >> 32) % (count - 1)) % count;
    return candidates[a].announcedRoom >= candidates[b].announcedRoom ? a : b;
}

} // namespace sp
