/** @file store_type.h Narrow interface to the platform's key-value store. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sp {

/** One key with its value. */
struct StoreKeyValue {
    std::string key;
    std::string value;
    Revision modRevision; ///< Revision of the last change of the key.
};

/** Condition of a transaction. */
struct StoreCompare {
    /** What is compared. */
    enum class Kind { Absent, ModRevision, Value };
    Kind kind = Kind::Absent;
    std::string key;
    Revision modRevision; ///< For ModRevision.
    std::string value; ///< For Value.
};

/** Write of a transaction. */
struct StoreWrite {
    /** What is written. */
    enum class Kind { Put, Delete };
    Kind kind = Kind::Put;
    std::string key;
    std::string value; ///< For Put.
    StoreLeaseId lease; ///< For Put: lease that the key is bound to, 0 if none.
};

/** Writes everything if all conditions hold, else nothing; then reads @p readOnFailure. */
struct StoreTxn {
    std::vector<StoreCompare> compares;
    std::vector<StoreWrite> writes;
    std::vector<std::string> readOnFailure; ///< Keys whose values come with a failed compare.
};

/** Reads one key or all keys with a prefix. */
struct StoreRange {
    std::string key;
    bool prefix = false;
    Revision minModRevision; ///< Only keys changed at this revision or later; 0 for all.
    std::string after {}; ///< Only keys behind this one, to continue a long range; empty for all.
};

/** Waits for changes of keys with a prefix. */
struct StoreWatch {
    std::string prefix;
    Revision after; ///< Changes behind this revision.
    std::chrono::milliseconds wait { 0 }; ///< Longest time without a change.
};

/** Creates a lease. */
struct StoreLeaseGrant {
    std::chrono::seconds ttl { 3 };
};

/** Renews a lease. */
struct StoreLeaseKeepAlive {
    StoreLeaseId lease;
};

/** Ends a lease and deletes its keys. */
struct StoreLeaseRevoke {
    StoreLeaseId lease;
};

using StoreRequest = std::variant<StoreTxn, StoreRange, StoreLeaseGrant, StoreLeaseKeepAlive, StoreLeaseRevoke>;

/** What is known about a call to the store. */
enum class StoreStatus : std::uint8_t {
    Ok,
    CompareFailed, ///< A condition did not hold; nothing was written.
    LeaseNotFound, ///< The lease has run out.
    Refused, ///< The store refused the call for now (rate limit, load) or was not reached: it had no effect.
    Invalid, ///< The store refuses the call for its contents, such as a value that is too large: it had no effect.
    Lost, ///< No answer: it may have had its effect.
};

/** Answer of the store. */
struct StoreReply {
    StoreTicket ticket; ///< Ticket of the call.
    StoreStatus status = StoreStatus::Lost;
    std::vector<StoreKeyValue> values;
    std::int64_t count = 0; ///< Range: all keys in the range, whatever minModRevision.
    Revision revision; ///< Revision of the store at the call.
    StoreLeaseId lease; ///< Granted or renewed lease.
    std::chrono::seconds ttl { 0 }; ///< Time to live of the lease, counted from the call's sending.
    Time sentAt {}; ///< When the call was sent.
    bool more {}; ///< Range: keys behind the last one were left out.
};

/** Changes delivered by a watch. */
struct StoreWatchBatch {
    std::string prefix; ///< Prefix that is watched.
    std::vector<StoreKeyValue> puts;
    std::vector<std::string> deletes;
    Revision revision; ///< All changes up to this one are delivered.
};

/** Answer to a watch. */
struct StoreWatchReply {
    StoreStatus status = StoreStatus::Lost;
    bool compacted = false; ///< The history behind the revision is gone; the keys must be read anew.
    StoreWatchBatch changes;
};

/** Blocking access to the store for the operators' command line; the real service may differ behind these hooks. */
struct StoreHooks {
    std::function<StoreReply(const StoreRequest&)> call; ///< Performs one call and waits for its answer.
};

} // namespace sp
