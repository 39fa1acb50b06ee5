/** @file kv_store.h Logic of the stand-in's key-value store: revisions, transactions, leases and the watch history. */
#pragma once

#include "time_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sp::standin {

/** A key with its value and its counters. */
struct KvEntry {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; ///< Revision at which the key was created; 0 if it is absent.
    std::int64_t modRevision = 0; ///< Revision of the last change.
    std::int64_t version = 0; ///< Number of changes since the creation.
    std::int64_t lease = 0; ///< Lease that the key is bound to, 0 if none.
};

/** Change of a key. For a deletion only key and modRevision of the entry are set. */
struct KvEvent {
    bool isDelete = false;
    KvEntry entry;
};

/** Keys from @p key up to but without @p rangeEnd; one key if @p rangeEnd is empty, all from @p key on if it is one
 * zero byte. */
struct KvRange {
    std::string key;
    std::string rangeEnd;
    std::int64_t minModRevision = 0; ///< Only keys changed at this revision or later.
    std::int64_t limit = 0; ///< Largest number of keys in the answer, 0 for all.
    bool contains(const std::string& other) const;
};

/** Answer of a range call. */
struct KvRangeResult {
    std::vector<KvEntry> entries;
    std::int64_t count = 0; ///< All keys in the range, whatever minModRevision and limit.
    bool more = false; ///< Whether the limit cut off keys.
};

/** Condition of a transaction. */
struct KvCompare {
    /** What is compared. */
    enum class Target : std::uint8_t { Version, Create, Mod, Value };
    /** How it is compared. */
    enum class Relation : std::uint8_t { Equal, Greater, Less, NotEqual };
    std::string key;
    Target target = Target::Version;
    Relation relation = Relation::Equal;
    std::int64_t number = 0; ///< For Version, Create and Mod.
    std::string value; ///< For Value.
};

/** Operation of a transaction. */
struct KvOperation {
    /** Kind of operation. */
    enum class Kind : std::uint8_t { Range, Put, DeleteRange };
    Kind kind = Kind::Range;
    KvRange range; ///< For Range and DeleteRange.
    std::string key; ///< For Put.
    std::string value; ///< For Put.
    std::int64_t lease = 0; ///< For Put.
};

/** Result of one operation of a transaction. */
struct KvOperationResult {
    KvOperation::Kind kind = KvOperation::Kind::Range;
    KvRangeResult range; ///< For Range.
    std::int64_t deleted = 0; ///< For DeleteRange.
};

/** Transaction. */
struct KvTxn {
    std::vector<KvCompare> compares;
    std::vector<KvOperation> success; ///< Done if all conditions hold.
    std::vector<KvOperation> failure; ///< Done otherwise.
    bool writes() const;
};

/** Result of a transaction. */
struct KvTxnResult {
    bool succeeded = false; ///< Whether all conditions held.
    bool leaseMissing = false; ///< A put named an unknown lease; nothing was written.
    std::vector<KvOperationResult> results;
};

/** In-memory store with the semantics of etcd's v3 interface. Not thread-safe. */
class KvStore {
public:
    static constexpr std::size_t maxHistory = 50000; ///< Events kept for watches that start in the past.

    std::int64_t revision() const { return m_revision; }
    std::size_t size() const { return m_entries.size(); }
    KvRangeResult range(const KvRange& range) const;
    bool put(const std::string& key, const std::string& value, std::int64_t lease = 0);
    std::int64_t deleteRange(const KvRange& range);
    KvTxnResult txn(const KvTxn& txn);

    std::int64_t grantLease(std::chrono::seconds ttl, std::int64_t wantedId, Time now);
    std::optional<std::chrono::seconds> keepLease(std::int64_t lease, Time now);
    bool revokeLease(std::int64_t lease);
    std::size_t expireLeases(Time now);
    std::optional<Time> nextExpiry() const;

    bool eventsFrom(const KvRange& range, std::int64_t fromRevision, std::vector<KvEvent>& events) const;
    std::int64_t compactedRevision() const { return m_compacted; }

private:
    struct Lease {
        std::chrono::seconds ttl { 0 };
        Time expiry {};
        std::set<std::string> keys;
    };
    using Entries = std::map<std::string, KvEntry>;

    Entries::const_iterator firstIn(const KvRange& range) const;
    bool holds(const KvCompare& compare) const;
    bool leasesExist(const std::vector<KvOperation>& operations) const;
    void putAt(std::int64_t revision, const std::string& key, const std::string& value, std::int64_t lease);
    std::int64_t deleteAt(std::int64_t revision, const KvRange& range);
    void detach(const KvEntry& entry);
    void addEvent(KvEvent event);

    std::int64_t m_revision = 1;
    std::int64_t m_compacted = 0; ///< Events up to this revision are no longer in the history.
    std::int64_t m_nextLease = 0x1000;
    Entries m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<KvEvent> m_history;
};

/** Token bucket with a capacity of one second's worth, at least one token. */
class RateLimit {
public:
    explicit RateLimit(double perSecond = 0);
    bool take(Time now);

private:
    double m_perSecond; ///< 0 for no limit.
    double m_tokens;
    Time m_last {};
};

} // namespace sp::standin
