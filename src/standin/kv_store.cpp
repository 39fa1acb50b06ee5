#include "standin/kv_store.h"

#include <algorithm>

namespace sp::standin {

namespace {

    template <typename T> bool relate(const T& left, const T& right, KvCompare::Relation relation)
    {
        switch (relation) {
        case KvCompare::Relation::Equal:
            return left == right;
        case KvCompare::Relation::Greater:
            return left > right;
        case KvCompare::Relation::Less:
            return left < right;
        case KvCompare::Relation::NotEqual:
            return left != right;
        }
        return false;
    }

    bool isWrite(const KvOperation& operation) { return operation.kind != KvOperation::Kind::Range; }

} // namespace

/** Whether a key lies in the range. @param other Key. @return True if so. */
bool KvRange::contains(const std::string& other) const
{
    if (rangeEnd.empty())
        return other == key;
    if (rangeEnd.size() == 1 && rangeEnd[0] == '\0')
        return other >= key;
    return other >= key && other < rangeEnd;
}

/** Whether the transaction may write, so that it counts as a write. @return True if so. */
bool KvTxn::writes() const
{
    return std::any_of(success.begin(), success.end(), isWrite) || std::any_of(failure.begin(), failure.end(), isWrite);
}

KvStore::Entries::const_iterator KvStore::firstIn(const KvRange& range) const
{
    return m_entries.lower_bound(range.key);
}

/** Reads keys in their order. @param range Keys wanted. @return Entries and the count of the whole range. */
KvRangeResult KvStore::range(const KvRange& range) const
{
    KvRangeResult result;
    for (auto it = firstIn(range); it != m_entries.end() && range.contains(it->first); ++it) {
        ++result.count;
        if (it->second.modRevision < range.minModRevision)
            continue;
        if (range.limit > 0 && result.entries.size() >= static_cast<std::size_t>(range.limit)) {
            result.more = true;
            continue;
        }
        result.entries.push_back(it->second);
    }
    return result;
}

/** Writes a key. @param key Key. @param value Value. @param lease Lease, 0 for none. @return False if the lease is
 * unknown; nothing is written then. */
bool KvStore::put(const std::string& key, const std::string& value, std::int64_t lease)
{
    if (lease != 0 && !m_leases.contains(lease))
        return false;
    ++m_revision;
    putAt(m_revision, key, value, lease);
    return true;
}

/** Deletes keys. @param range Keys. @return Number of keys deleted; the revision grows only if there was one. */
std::int64_t KvStore::deleteRange(const KvRange& range)
{
    const std::int64_t deleted = deleteAt(m_revision + 1, range);
    if (deleted > 0)
        ++m_revision;
    return deleted;
}

/** Performs a transaction; all its writes have one revision. @param txn Transaction. @return Result. */
KvTxnResult KvStore::txn(const KvTxn& txn)
{
    KvTxnResult result;
    result.succeeded = std::all_of(
        txn.compares.begin(), txn.compares.end(), [this](const KvCompare& compare) { return holds(compare); });
    const auto& operations = result.succeeded ? txn.success : txn.failure;
    if (!leasesExist(operations)) {
        result.leaseMissing = true;
        return result;
    }
    const std::int64_t next = m_revision + 1;
    bool changed = false;
    for (const KvOperation& operation : operations) {
        KvOperationResult one;
        one.kind = operation.kind;
        switch (operation.kind) {
        case KvOperation::Kind::Range:
            one.range = range(operation.range);
            break;
        case KvOperation::Kind::Put:
            putAt(next, operation.key, operation.value, operation.lease);
            changed = true;
            break;
        case KvOperation::Kind::DeleteRange:
            one.deleted = deleteAt(next, operation.range);
            changed = changed || one.deleted > 0;
            break;
        }
        result.results.push_back(std::move(one));
    }
    if (changed)
        m_revision = next;
    return result;
}

bool KvStore::holds(const KvCompare& compare) const
{
    const auto it = m_entries.find(compare.key);
    static const KvEntry absent;
    const KvEntry& entry = it == m_entries.end() ? absent : it->second;
    switch (compare.target) {
    case KvCompare::Target::Version:
        return relate(entry.version, compare.number, compare.relation);
    case KvCompare::Target::Create:
        return relate(entry.createRevision, compare.number, compare.relation);
    case KvCompare::Target::Mod:
        return relate(entry.modRevision, compare.number, compare.relation);
    case KvCompare::Target::Value:
        // Like etcd, a comparison with the value of an absent key fails whatever the relation.
        return it != m_entries.end() && relate(entry.value, compare.value, compare.relation);
    }
    return false;
}

bool KvStore::leasesExist(const std::vector<KvOperation>& operations) const
{
    return std::all_of(operations.begin(), operations.end(), [this](const KvOperation& operation) {
        return operation.kind != KvOperation::Kind::Put || operation.lease == 0 || m_leases.contains(operation.lease);
    });
}

void KvStore::putAt(std::int64_t revision, const std::string& key, const std::string& value, std::int64_t lease)
{
    KvEntry& entry = m_entries[key];
    detach(entry);
    if (entry.version == 0)
        entry.createRevision = revision;
    entry.key = key;
    entry.value = value;
    entry.modRevision = revision;
    entry.lease = lease;
    ++entry.version;
    if (lease != 0)
        m_leases[lease].keys.insert(key);
    addEvent({ false, entry });
}

std::int64_t KvStore::deleteAt(std::int64_t revision, const KvRange& range)
{
    std::int64_t deleted = 0;
    auto it = m_entries.lower_bound(range.key);
    while (it != m_entries.end() && range.contains(it->first)) {
        detach(it->second);
        KvEvent event;
        event.isDelete = true;
        event.entry.key = it->first;
        event.entry.modRevision = revision;
        addEvent(std::move(event));
        it = m_entries.erase(it);
        ++deleted;
    }
    return deleted;
}

void KvStore::detach(const KvEntry& entry)
{
    if (entry.lease == 0)
        return;
    if (const auto it = m_leases.find(entry.lease); it != m_leases.end())
        it->second.keys.erase(entry.key);
}

void KvStore::addEvent(KvEvent event)
{
    m_history.push_back(std::move(event));
    if (m_history.size() <= maxHistory)
        return;
    // All events of a revision go together, so that a watch never gets half of a transaction.
    m_compacted = m_history.front().entry.modRevision;
    while (!m_history.empty() && m_history.front().entry.modRevision <= m_compacted)
        m_history.pop_front();
}

/** Creates a lease. @param ttl Time to live. @param wantedId Id chosen by the caller, 0 for a new one. @param now
 * Present time. @return Id, 0 if the wanted one is in use. */
std::int64_t KvStore::grantLease(std::chrono::seconds ttl, std::int64_t wantedId, Time now)
{
    if (m_leases.contains(wantedId))
        return 0;
    const std::int64_t id = wantedId != 0 ? wantedId : ++m_nextLease;
    m_leases[id] = Lease { ttl, now + ttl, {} };
    return id;
}

/** Renews a lease. @param lease Id. @param now Present time. @return Time to live, nothing if it has run out. */
std::optional<std::chrono::seconds> KvStore::keepLease(std::int64_t lease, Time now)
{
    expireLeases(now);
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return std::nullopt;
    it->second.expiry = now + it->second.ttl;
    return it->second.ttl;
}

/** Ends a lease and deletes its keys at one revision. @param lease Id. @return False if it is unknown. */
bool KvStore::revokeLease(std::int64_t lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return false;
    const std::set<std::string> keys = std::move(it->second.keys);
    m_leases.erase(it);
    if (!keys.empty())
        ++m_revision;
    for (const std::string& key : keys)
        deleteAt(m_revision, KvRange { key, {}, 0, 0 });
    return true;
}

/** Ends all leases that have run out. @param now Present time. @return Number of leases ended. */
std::size_t KvStore::expireLeases(Time now)
{
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.expiry <= now)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        revokeLease(id);
    return expired.size();
}

/** @return When the next lease runs out, nothing if there is no lease. */
std::optional<Time> KvStore::nextExpiry() const
{
    std::optional<Time> next;
    for (const auto& [id, lease] : m_leases) {
        if (!next || lease.expiry < *next)
            next = lease.expiry;
    }
    return next;
}

/** Collects changes for a watch. @param range Keys watched. @param fromRevision First revision wanted. @param events
 * Gets the events in order. @return False if older events than wanted are no longer kept. */
bool KvStore::eventsFrom(const KvRange& range, std::int64_t fromRevision, std::vector<KvEvent>& events) const
{
    if (fromRevision <= m_compacted)
        return false;
    const auto first = std::partition_point(m_history.begin(), m_history.end(),
        [fromRevision](const KvEvent& event) { return event.entry.modRevision < fromRevision; });
    for (auto it = first; it != m_history.end(); ++it) {
        if (range.contains(it->entry.key))
            events.push_back(*it);
    }
    return true;
}

/** @param perSecond Calls allowed each second, 0 for no limit. */
RateLimit::RateLimit(double perSecond)
    : m_perSecond(perSecond)
    , m_tokens(std::max(1.0, perSecond))
{
}

/** Takes a token. @param now Present time. @return False if the limit is reached. */
bool RateLimit::take(Time now)
{
    if (m_perSecond <= 0)
        return true;
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    m_tokens = std::min(std::max(1.0, m_perSecond), m_tokens + elapsed * m_perSecond);
    m_last = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace sp::standin
