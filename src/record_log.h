/** @file record_log.h Writes the owner's records to the store in groups, each under the condition of ownership. */
#pragma once

#include "cell_type.h"
#include "store_type.h"

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
    std::function<void(StoreTxn&& txn)> commit; ///< Sends a transaction; its answer goes to RecordLog::answered.
    std::function<std::vector<StoreWrite>(std::size_t limit)> collect; ///< Takes the writes that wait, up to a limit.
    std::function<void(BatchOutcome outcome)> decided; ///< What became of the writes taken last.
    std::function<void(const std::string& reason)> ownershipLost;
};

/**
 * One transaction is under way at a time. Each rewrites a sequence key under the condition of its last revision, so
 * that a transaction that the store carries out late, after its answer was lost, can't overwrite later records.
 */
class RecordLog {
public:
    static constexpr std::size_t maxWrites = 28; ///< The store takes 32 entries, of which four are the log's own.

    RecordLog(std::string ownerKey, std::string sequenceKey, RecordLogHooks hooks);
    void begin(Revision ownerRevision);
    void end();
    void requestFlush(Time at);
    std::optional<Time> wakeAt() const;
    void tick(Time now);
    void answered(const StoreReply& reply, Time now);
    bool stalled(Time storeHeardAt, Time now) const;

private:
    void send(Time now);

    const std::string m_ownerKey;
    const std::string m_sequenceKey;
    const RecordLogHooks m_hooks;
    bool m_open = false;
    Revision m_ownerRevision;
    Revision m_sequenceRevision;
    std::uint64_t m_batchNumber = 0;
    std::vector<StoreWrite> m_batch; ///< The one under way.
    bool m_busy = false; ///< A batch is not decided yet.
    bool m_inFlight = false; ///< Its transaction has no answer yet.
    bool m_unsure = false; ///< A transaction of the batch had no answer; it may have been carried out.
    Time m_sentAt {};
    Time m_failedAt {}; ///< Last transaction that was refused or had no answer; unset after a success.
    Time m_retryAt {};
    int m_failures = 0;
    std::optional<Time> m_flushAt;
};

} // namespace sp
