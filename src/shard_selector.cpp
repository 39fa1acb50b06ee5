#include "shard_selector.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    /** Run time assumed for a service whose owner has not announced a service rate yet. */
    constexpr Duration assumedRunTime = std::chrono::milliseconds(100);

    /** An entry that is not announced for this time is dropped. */
    constexpr Duration forgetAfter = std::chrono::seconds(60);

    /**
     * Changes in the own data centre count for more than its hosts: with a gain of one the shards there swung between
     * idle and full from one announcement to the next.
     */
    constexpr double nearDamping = 2;

    /** Standard deviations of a Poisson number that the estimate of busy slots is taken to be off by. */
    constexpr double uncertainty = 2;

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
    Entry fresh;
    fresh.shard = load.shard;
    fresh.owner = owner;
    fresh.term = load.term;
    fresh.level = load.level;
    fresh.load = load.slots;
    fresh.roundTrip = roundTrip;
    fresh.sameDataCentre = sameDataCentre;
    fresh.reportedAt = now;
    fresh.interval = releaseInterval(load.slots);
    fresh.busy = load.slots.slotsTotal - std::min<double>(load.slots.slotsFree, load.slots.slotsTotal);
    fresh.demand = load.slots.demand > 0 ? load.slots.demand : fresh.busy;
    fresh.backlog = static_cast<double>(load.slots.expectedWait.count()) / fresh.interval;
    update(*it, now);
    fresh.sent = it->sent;
    fresh.sentReported = it->sent.slots(now);
    fresh.own = fresh.ownReported = it->own;
    fresh.updatedAt = now;
    *it = std::move(fresh);
    m_owners[owner] = { sameDataCentre, now };
    countSenders(now);
}

/** Drops all loads that a host has announced. @param owner Host. */
void ShardSelector::forgetOwner(const HostId& owner)
{
    for (auto& [service, entries] : m_services)
        std::erase_if(entries, [&](const Entry& entry) { return entry.owner == owner; });
    std::erase_if(m_services, [](const auto& service) { return service.second.empty(); });
    m_owners.erase(owner);
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
        update(entry, now);
        m_candidates.push_back(candidate(entry, now));
        m_usable.push_back(&entry);
    }
    if (m_usable.empty())
        return std::nullopt;
    const std::size_t index = m_picker(m_candidates, nextRandom(m_random));
    Entry& entry = *m_usable[index];
    entry.own += 1;
    entry.sent.add(Duration(static_cast<Duration::rep>(entry.runTime())), now);
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

/** Takes off the own requests that are expected to have ended, and lets the backlog grow or shrink with the demand. */
void ShardSelector::update(Entry& entry, Time now) const
{
    const double elapsed = static_cast<double>((now - entry.updatedAt).count());
    if (const double runTime = entry.runTime(); elapsed > 0 && runTime > 0) {
        entry.own *= std::exp(-elapsed / runTime);
        const double surplus = demandNow(entry) - entry.load.slotsTotal;
        entry.backlog = std::max(0.0, entry.backlog + surplus * elapsed / runTime);
    }
    entry.updatedAt = now;
}

/**
 * Slots wanted from a shard now: as announced, and by how much more or less this selector sends since. Other hosts see
 * the same announcement and change what they send in the same way, so the change counts once for each of them. What is
 * sent now is not smoothed: a lag of 200 ms made the hosts go on sending to a shard that was already full.
 */
double ShardSelector::demandNow(const Entry& entry) const
{
    const double senders = entry.sameDataCentre ? m_nearSenders : m_farSenders;
    return std::max(0.0, entry.demand + (entry.own - entry.sentReported) * senders);
}

/**
 * An announcement as a picker sees it, brought up to the present. The slots that were busy by chance at the
 * announcement are free after a run time, so the demand counts more as the announcement gets older.
 */
ShardCandidate ShardSelector::candidate(const Entry& entry, Time now) const
{
    const double slots = entry.load.slotsTotal;
    const double fade = std::exp(-static_cast<double>((now - entry.reportedAt).count()) / entry.runTime());
    const double busy
        = demandNow(entry) + (entry.busy - entry.demand - (entry.ownReported - entry.sentReported)) * fade;
    // Arrivals and ends since the announcement are random; the expected queue of a nearly full shard is not zero.
    const double deviation = uncertainty * std::sqrt(slots * (1 - fade * fade));
    const double excess = busy - slots;
    const double ratio = deviation > 0 ? excess / deviation : 0;
    const bool isRandom = deviation > 0 && ratio < 20;
    const double queue = isRandom ? deviation * std::log1p(std::exp(ratio)) : std::max(0.0, excess);
    const auto wait = Duration(static_cast<Duration::rep>((entry.backlog + queue) * entry.interval));
    const double announcedRoom = (static_cast<double>(entry.load.slotsFree) - entry.load.queued) / slots;
    return { wait, entry.roundTrip, entry.load.expectedWait, (slots - busy - entry.backlog) / slots, announcedRoom,
        entry.sameDataCentre };
}

/** Counts the hosts that send as this one does; of those in other data centres about half have no need to. */
void ShardSelector::countSenders(Time now)
{
    std::erase_if(m_owners, [now](const auto& owner) { return now - owner.second.seenAt > staleFar; });
    const auto near = static_cast<double>(
        std::count_if(m_owners.begin(), m_owners.end(), [](const auto& owner) { return owner.second.sameDataCentre; }));
    m_nearSenders = nearDamping * std::max(1.0, near);
    m_farSenders = std::max(1.0, (near + static_cast<double>(m_owners.size())) / 2);
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
