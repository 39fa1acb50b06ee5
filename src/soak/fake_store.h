/** @file fake_store.h Key-value store with revisions, leases and watches, in memory. Answers at once; the world adds
 * delays and losses. */
#pragma once

#include "store_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp::soak {

/** The platform's store. */
class FakeStore {
public:
    /** Change of one key. */
    struct Change {
        Revision revision;
        std::string key;
        std::optional<std::string> value; ///< Absent if deleted.
    };

    explicit FakeStore(bool ignoreCompares, bool dropsRunRecords = false)
        : m_ignoreCompares(ignoreCompares)
        , m_dropsRunRecords(dropsRunRecords)
    {
    }
    StoreReply apply(const StoreRequest& request, Time now);
    void expire(Time now);
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    std::optional<std::string> value(const std::string& key) const;
    Revision revision() const { return m_revision; }
    StoreWatchBatch changesSince(const std::string& prefix, Revision from) const;

private:
    struct Entry {
        std::string value;
        Revision modRevision;
        StoreLeaseId lease;
    };
    struct Lease {
        Time until;
        std::chrono::seconds ttl;
    };
    void applyTxn(const StoreTxn& txn, StoreReply& reply);
    void applyRange(const StoreRange& range, StoreReply& reply) const;
    void applyKeepAlive(StoreLeaseId lease, StoreReply& reply, Time now);
    bool holds(const StoreCompare& compare) const;
    void write(const std::string& key, std::optional<std::string> value, StoreLeaseId lease);
    void endLease(StoreLeaseId lease);

    bool m_ignoreCompares;
    bool m_dropsRunRecords;
    std::map<std::string, Entry> m_entries;
    std::map<StoreLeaseId, Lease> m_leases;
    std::vector<Change> m_history;
    Revision m_revision { 1 };
    std::uint64_t m_lastLease = 0;
};

} // namespace sp::soak
