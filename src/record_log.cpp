#include "record_log.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds firstRetry { 20 }; ///< A refusal by the rate limit passes within one refill.
    constexpr std::chrono::milliseconds stalledAfter { 350 }; ///< A slow store answers within a quarter of a second.
    constexpr std::chrono::milliseconds longestRetry { 320 }; ///< Keeps the calls to a store that is away few.

} // namespace

/**
 * @param ownerKey Key of the ownership; each transaction is bound to its revision.
 * @param sequenceKey Key that each transaction rewrites.
 * @param hooks Surroundings.
 */
RecordLog::RecordLog(std::string ownerKey, std::string sequenceKey, RecordLogHooks hooks)
    : m_ownerKey(std::move(ownerKey))
    , m_sequenceKey(std::move(sequenceKey))
    , m_hooks(std::move(hooks))
{
}

/**
 * Starts writing under a new ownership.
 * @param ownerRevision Revision of the transaction that wrote both the owner key and the sequence key.
 */
void RecordLog::begin(Revision ownerRevision)
{
    end();
    m_open = true;
    m_ownerRevision = ownerRevision;
    m_sequenceRevision = ownerRevision;
    m_batchNumber = 0;
}

/** Stops writing. What is under way may or may not have been written. */
void RecordLog::end()
{
    m_open = false;
    m_inFlight = false;
    m_flushAt.reset();
    m_failures = 0;
    m_failedAt = {};
    if (std::exchange(m_busy, false))
        m_hooks.decided(BatchOutcome::Unknown);
    m_batch.clear();
}

/**
 * Whether records can't be saved at present.
 * @param storeHeardAt Last answer of the store to any call of this host.
 * @param now Present time.
 * @return True if the transaction under way waits too long, or the last one failed and the store was not heard since.
 */
bool RecordLog::stalled(Time storeHeardAt, Time now) const
{
    return (m_inFlight && now - m_sentAt > stalledAfter) || (m_failedAt != Time {} && m_failedAt >= storeHeardAt);
}

/** Asks for the waiting records to be written by a time. @param at Time; an earlier request stays in force. */
void RecordLog::requestFlush(Time at)
{
    if (m_open)
        m_flushAt = m_flushAt ? std::min(*m_flushAt, at) : at;
}

/** When tick() has something to do. @return Time, nothing if an answer is awaited or nothing waits. */
std::optional<Time> RecordLog::wakeAt() const
{
    if (!m_open || m_inFlight)
        return std::nullopt;
    return m_busy ? std::optional(m_retryAt) : m_flushAt;
}

/** Sends what is due. @param now Present time. */
void RecordLog::tick(Time now)
{
    if (const auto wake = wakeAt(); !wake || *wake > now)
        return;
    if (!m_busy) {
        m_flushAt.reset();
        m_batch = m_hooks.collect(maxWrites);
        if (m_batch.empty())
            return;
        ++m_batchNumber;
        m_busy = true;
        m_unsure = false;
    }
    send(now);
}

void RecordLog::send(Time now)
{
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, m_ownerKey, m_ownerRevision, {} });
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, m_sequenceKey, m_sequenceRevision, {} });
    txn.writes = m_batch;
    const std::string sequence = std::to_string(m_ownerRevision.value) + '.' + std::to_string(m_batchNumber);
    txn.writes.push_back({ StoreWrite::Kind::Put, m_sequenceKey, sequence, {} });
    m_inFlight = true;
    m_sentAt = now;
    m_hooks.commit(std::move(txn));
}

/** Takes the answer to the transaction under way. @param reply Answer. @param now Present time. */
void RecordLog::answered(const StoreReply& reply, Time now)
{
    if (!m_open || !m_inFlight)
        return;
    m_inFlight = false;
    std::optional<Revision> written;
    if (reply.status == StoreStatus::Ok) {
        written = reply.revision;
    } else if (reply.status == StoreStatus::CompareFailed) {
        // After a lost answer the sequence key tells whether the first try was carried out.
        const std::string expected = std::to_string(m_ownerRevision.value) + '.' + std::to_string(m_batchNumber);
        const auto valueOf = [&](const std::string& key) {
            const auto it = std::find_if(
                reply.values.begin(), reply.values.end(), [&](const StoreKeyValue& item) { return item.key == key; });
            return it == reply.values.end() ? nullptr : &*it;
        };
        const StoreKeyValue* owner = valueOf(m_ownerKey);
        const StoreKeyValue* sequence = valueOf(m_sequenceKey);
        if (owner && owner->modRevision == m_ownerRevision && sequence && sequence->value == expected)
            written = sequence->modRevision;
        else {
            m_hooks.ownershipLost("a record was refused since another owner has claimed the cell");
            return;
        }
    }
    if (written) {
        m_sequenceRevision = *written;
        m_busy = false;
        m_failures = 0;
        m_failedAt = {};
        m_batch.clear();
        m_hooks.decided(BatchOutcome::Saved);
        return;
    }
    m_unsure |= reply.status == StoreStatus::Lost;
    m_failedAt = now;
    const auto pause = std::min(longestRetry, firstRetry * (1 << std::min(m_failures, 8)));
    if (m_failures++ == 0)
        LogLine(LogLevel::Warning, "records_not_saved")
            .with("batch", m_batchNumber)
            .with("answer", reply.status == StoreStatus::Lost ? "none" : "refused")
            .with("retry_in_ms", pause.count());
    m_retryAt = now + pause;
    if (!m_unsure) {
        // The records may have changed by the next try.
        m_busy = false;
        m_batch.clear();
        m_hooks.decided(BatchOutcome::NotSaved);
        requestFlush(m_retryAt);
    }
}

} // namespace sp
