#include "soak/fake_store.h"

#include <algorithm>

namespace sp::soak {

/** Performs a call. @param request Call. @param now Present time of the store. @return Answer without ticket. */
StoreReply FakeStore::apply(const StoreRequest& request, Time now)
{
    expire(now);
    StoreReply reply;
    reply.status = StoreStatus::Ok;
    if (const auto* txn = std::get_if<StoreTxn>(&request)) {
        applyTxn(*txn, reply);
    } else if (const auto* range = std::get_if<StoreRange>(&request)) {
        applyRange(*range, reply);
    } else if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
        reply.lease = StoreLeaseId(++m_lastLease);
        reply.ttl = grant->ttl;
        m_leases[reply.lease] = { now + grant->ttl, grant->ttl };
    } else if (const auto* keepAlive = std::get_if<StoreLeaseKeepAlive>(&request)) {
        applyKeepAlive(keepAlive->lease, reply, now);
    } else if (const auto* revoke = std::get_if<StoreLeaseRevoke>(&request)) {
        endLease(revoke->lease);
    }
    reply.revision = m_revision;
    return reply;
}

void FakeStore::applyKeepAlive(StoreLeaseId lease, StoreReply& reply, Time now)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end()) {
        reply.status = StoreStatus::LeaseNotFound;
        return;
    }
    it->second.until = now + it->second.ttl;
    reply.lease = lease;
    reply.ttl = it->second.ttl;
}

bool FakeStore::holds(const StoreCompare& compare) const
{
    const auto it = m_entries.find(compare.key);
    switch (compare.kind) {
    case StoreCompare::Kind::Absent:
        return it == m_entries.end();
    case StoreCompare::Kind::ModRevision:
        return (it == m_entries.end() ? Revision() : it->second.modRevision) == compare.modRevision;
    case StoreCompare::Kind::Value:
        break;
    }
    return it != m_entries.end() && it->second.value == compare.value;
}

void FakeStore::applyTxn(const StoreTxn& txn, StoreReply& reply)
{
    const bool holdsAll
        = std::all_of(txn.compares.begin(), txn.compares.end(), [this](const auto& compare) { return holds(compare); });
    if (!holdsAll && !m_ignoreCompares) {
        reply.status = StoreStatus::CompareFailed;
        for (const std::string& key : txn.readOnFailure) {
            if (const auto it = m_entries.find(key); it != m_entries.end())
                reply.values.push_back({ key, it->second.value, it->second.modRevision });
        }
        return;
    }
    for (const StoreWrite& put : txn.writes) {
        if (put.lease.value && !m_leases.contains(put.lease)) {
            reply.status = StoreStatus::LeaseNotFound;
            return;
        }
    }
    if (txn.writes.empty())
        return;
    ++m_revision.value;
    for (const StoreWrite& change : txn.writes) {
        const bool isPut = change.kind == StoreWrite::Kind::Put;
        write(change.key, isPut ? std::optional(change.value) : std::nullopt, change.lease);
    }
}

void FakeStore::applyRange(const StoreRange& range, StoreReply& reply) const
{
    for (auto it = m_entries.lower_bound(range.key); it != m_entries.end(); ++it) {
        const bool isMatch = range.prefix ? it->first.starts_with(range.key) : it->first == range.key;
        if (!isMatch)
            break;
        ++reply.count;
        if (it->second.modRevision >= range.minModRevision)
            reply.values.push_back({ it->first, it->second.value, it->second.modRevision });
    }
}

/** Writes a key at the present revision. */
void FakeStore::write(const std::string& key, std::optional<std::string> value, StoreLeaseId lease)
{
    if (m_dropsRunRecords && key.starts_with("/sp/runs/"))
        return;
    if (value)
        m_entries[key] = { *value, m_revision, lease };
    else if (m_entries.erase(key) == 0)
        return;
    m_history.push_back({ m_revision, key, std::move(value) });
}

void FakeStore::endLease(StoreLeaseId lease)
{
    if (m_leases.erase(lease) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_entries) {
        if (entry.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision.value;
    for (const std::string& key : keys)
        write(key, std::nullopt, {});
}

/** Ends the leases that have run out. @param now Present time of the store. */
void FakeStore::expire(Time now)
{
    std::vector<StoreLeaseId> ended;
    for (const auto& [id, lease] : m_leases) {
        if (lease.until <= now)
            ended.push_back(id);
    }
    for (const StoreLeaseId lease : ended)
        endLease(lease);
}

/** Writes a key as the platform or an operator does. @param key Key. @param value Value. */
void FakeStore::put(const std::string& key, const std::string& value)
{
    ++m_revision.value;
    write(key, value, {});
}

/** Deletes a key as the platform does. @param key Key. */
void FakeStore::erase(const std::string& key)
{
    ++m_revision.value;
    write(key, std::nullopt, {});
}

/** @param key Key. @return Its value, absent if there is none. */
std::optional<std::string> FakeStore::value(const std::string& key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.value);
}

/** @param prefix Prefix. @param from First revision. @return Last change of each key since then, up to now. */
StoreWatchBatch FakeStore::changesSince(const std::string& prefix, Revision from) const
{
    StoreWatchBatch batch { prefix, {}, {}, m_revision };
    const auto first = std::lower_bound(m_history.begin(), m_history.end(), from,
        [](const Change& change, Revision revision) { return change.revision < revision; });
    std::map<std::string, const Change*> last;
    for (auto it = first; it != m_history.end(); ++it) {
        if (it->key.starts_with(prefix))
            last[it->key] = &*it;
    }
    for (const auto& [key, change] : last) {
        if (change->value)
            batch.puts.push_back({ key, *change->value, change->revision });
        else
            batch.deletes.push_back(key);
    }
    return batch;
}

} // namespace sp::soak
