/** @file record_log.h Writes the owner's records to the store in groups, each under the condition of ownership. */
#pragma once

#include "cell_type.h"
#include "store_type.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace sp {

/** What became of a batch of records. */
enum class BatchOutcome : std::uint8_t {
    Saved,
    NotSaved, ///< Certainly not written.
    Unknown, ///< The ownership ended before the store answered.
};

/** What the log needs from its surroundings. */
struct RecordLogHooks {
    /** Sends a transaction; what is known of it after the limit goes to RecordLog::answered. */
    std::function<void(std::size_t lane, StoreTxn&& txn, std::chrono::milliseconds limit)> commit;
    std::function<std::vector<StoreWrite>(std::size_t lane, std::size_t limit)> collect; ///< Takes writes that wait.
    std::function<void(std::size_t lane, BatchOutcome outcome)> decided; ///< What became of the lane's writes.
    std::function<void(const std::string& reason)> ownershipLost;
};

/**
 * Each lane has one transaction under way at a time, which rewrites the lane's sequence key under the condition of its
 * last revision, so that a transaction that the store carries out late, after its answer was lost, can't overwrite
 * later records. Lanes beyond the first are used while the store is slow or an answer is missing. A record that is
 * under way in one lane must not be collected for another.
 */
class RecordLog {
public:
    static constexpr std::size_t lanes = 6; ///< Carry 1,200 records a second at a store that answers after 140 ms.
    static constexpr std::size_t maxWrites = 28; ///< The store takes 32 entries, of which four are the log's own.

    RecordLog(std::string ownerKey, std::vector<std::string> sequenceKeys, RecordLogHooks hooks);
    void begin(Revision ownerRevision);
    void end();
    void requestFlush(Time at);
    std::optional<Time> wakeAt() const;
    void tick(Time now);
    void answered(std::size_t lane, const StoreReply& reply, Time now);
    bool stalled(Time storeHeardAt, Time now) const;
    Duration delay() const { return m_delay; }

private:
    /** Transactions that follow each other. */
    struct Lane {
        std::string sequenceKey;
        Revision sequenceRevision;
        std::uint64_t batchNumber = 0;
        std::vector<StoreWrite> batch; ///< The one under way.
        bool busy = false; ///< A batch is not decided yet.
        bool inFlight = false; ///< Its transaction has no answer yet.
        bool unsure = false; ///< A transaction of the batch had no answer; it may have been carried out.
        Time sentAt {};
        Time retryAt {};
        int failures = 0;
    };

    void send(std::size_t number, Time now);
    std::chrono::milliseconds answerLimit(const Lane& lane) const;
    std::string sequenceText(const Lane& lane) const;
    std::optional<Time> nextBatchAt() const;

    const std::string m_ownerKey;
    const RecordLogHooks m_hooks;
    bool m_open = false;
    Revision m_ownerRevision;
    std::array<Lane, lanes> m_lanes;
    Time m_failedAt {}; ///< Last transaction that was refused or had no answer; unset after a success.
    Time m_savedAt {}; ///< Last transaction that was carried out.
    Duration m_delay {}; ///< Time of a transaction lately.
    std::optional<Time> m_flushAt;
};

} // namespace sp
