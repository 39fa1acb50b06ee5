/** @file record_log.h Writes the owner's records to the store in batches, each conditional on ownership of the cell. */
#pragma once

#include "cell_type.h"
#include "store_type.h"

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace sp {

/** Outcome of writing a batch of records. */
enum class BatchOutcome : std::uint8_t {
    Saved,
    NotSaved, ///< Known not to be written.
    Rejected, ///< Not written, and refused for its contents: some record of the batch can never be written as it is.
    Unknown, ///< The ownership ended before the store answered.
};

/** Functions through which the log obtains and writes records. */
struct RecordLogHooks {
    /** Sends a transaction. Its reply, or StoreStatus::Lost after the time limit, goes to RecordLog::answered(). */
    std::function<void(std::size_t lane, StoreTxn&& txn, std::chrono::milliseconds limit)> commit;
    std::function<std::vector<StoreWrite>(std::size_t lane, std::size_t limit)>
        collect; ///< Returns at most limit waiting writes for a lane.
    std::function<void(std::size_t lane, BatchOutcome outcome)> decided; ///< Reports the outcome of the lane's batch.
    std::function<void(const std::string& reason)> ownershipLost;
};

/**
 * Writes batches of records through several lanes, each with at most one transaction in flight. A transaction rewrites
 * the lane's sequence key, conditional on the revision of the lane's previous one, so that a transaction that the store
 * executes late, after its reply was lost, can't overwrite later records. Lanes beyond the first are used while the
 * store is slow or a reply is missing. A record that is in flight in one lane must not be collected for another.
 */
class RecordLog {
public:
    static constexpr std::size_t lanes = 6; ///< Write 1,200 records a second to a store with a latency of 140 ms.
    static constexpr std::size_t maxWrites
        = 28; ///< The store accepts 32 entries in a transaction; the log itself needs four.

    RecordLog(std::string ownerKey, std::vector<std::string> sequenceKeys, RecordLogHooks hooks);
    void begin(Revision ownerRevision);
    void end();
    void requestFlush(Time at);
    std::optional<Time> wakeAt() const;
    void tick(Time now);
    void answered(std::size_t lane, const StoreReply& reply, Time now);
    bool stalled(Time lastStoreReplyAt, Time now) const;
    Duration delay() const { return m_averageLatency; }

private:
    /** Writes its transactions one after the other. */
    struct Lane {
        std::string sequenceKey;
        Revision sequenceRevision;
        std::uint64_t batchNumber = 0;
        std::vector<StoreWrite> batch; ///< Writes of the unresolved batch.
        bool unresolved = false; ///< The outcome of a batch is not known yet.
        bool inFlight = false; ///< The batch's transaction has been sent and has no reply yet.
        bool maybeWritten = false; ///< An earlier transaction of the batch had no reply and may have been executed.
        Time sentAt {};
        Time retryAt {};
        int failures = 0;
    };

    void send(std::size_t laneIndex, Time now);
    std::chrono::milliseconds replyTimeout(const Lane& lane) const;
    std::string sequenceValue(const Lane& lane) const;
    std::optional<Time> nextBatchAt() const;

    const std::string m_ownerKey;
    const RecordLogHooks m_hooks;
    bool m_active = false;
    Revision m_ownerRevision;
    std::array<Lane, lanes> m_lanes;
    Time m_lastFailureAt {}; ///< Last transaction that was refused or had no reply; unset after a success.
    Time m_lastSuccessAt {}; ///< Last successful transaction.
    Duration m_averageLatency {}; ///< Moving average of the time that transactions take.
    std::optional<Time> m_flushAt;
};

} // namespace sp
