#include "record_log.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds firstRetry { 20 }; ///< A refusal by the rate limit passes within one refill.
    constexpr std::chrono::milliseconds stalledAfter { 350 }; ///< A slow store answers within a quarter of a second.
    constexpr std::chrono::milliseconds overlapAfter { 25 }; ///< A quick store has answered by then.
    constexpr int delaysUntilLost = 4; ///< Answers that take four times the usual time are rare.
    constexpr std::chrono::milliseconds shortestAnswer { 80 }; ///< Ten round trips to a quick store.
    constexpr std::chrono::milliseconds longestAnswer { 1000 }; ///< A slow store answers within a quarter of a second.
    constexpr std::chrono::milliseconds recentlySaved { 200 }; ///< Lost answers between others are no outage.
    constexpr int delayParts = 4; ///< A few transactions tell that the store has become slow.
    constexpr std::chrono::milliseconds longestRetry { 320 }; ///< Keeps the calls to a store that is away few.

} // namespace

/**
 * @param ownerKey Key of the ownership; each transaction is bound to its revision.
 * @param sequenceKeys Key of each lane, rewritten by its transactions.
 * @param hooks Surroundings.
 */
RecordLog::RecordLog(std::string ownerKey, std::vector<std::string> sequenceKeys, RecordLogHooks hooks)
    : m_ownerKey(std::move(ownerKey))
    , m_hooks(std::move(hooks))
{
    for (std::size_t i = 0; i < lanes; ++i)
        m_lanes[i].sequenceKey = std::move(sequenceKeys.at(i));
}

/**
 * Starts writing under a new ownership.
 * @param ownerRevision Revision of the transaction that wrote both the owner key and the sequence keys.
 */
void RecordLog::begin(Revision ownerRevision)
{
    end();
    m_open = true;
    m_ownerRevision = ownerRevision;
    for (Lane& lane : m_lanes) {
        lane.sequenceRevision = ownerRevision;
        lane.batchNumber = 0;
    }
}

/** Stops writing. What is under way may or may not have been written. */
void RecordLog::end()
{
    m_open = false;
    m_flushAt.reset();
    m_failedAt = {};
    m_savedAt = {};
    m_delay = {};
    for (std::size_t i = 0; i < lanes; ++i) {
        Lane& lane = m_lanes[i];
        lane.inFlight = false;
        lane.failures = 0;
        lane.batch.clear();
        if (std::exchange(lane.busy, false))
            m_hooks.decided(i, BatchOutcome::Unknown);
    }
}

/**
 * Whether records can't be saved at present.
 * @param storeHeardAt Last answer of the store to any call of this host.
 * @param now Present time.
 * @return True if a transaction waits too long while no later one was carried out, or the last one failed and the
 * store was not heard since.
 */
bool RecordLog::stalled(Time storeHeardAt, Time now) const
{
    const bool waits = std::any_of(m_lanes.begin(), m_lanes.end(), [&](const Lane& lane) {
        return lane.inFlight && now - lane.sentAt > stalledAfter && m_savedAt <= lane.sentAt;
    });
    const bool failed = m_failedAt != Time {} && m_failedAt >= storeHeardAt && now - m_savedAt > recentlySaved;
    return waits || failed;
}

/** Asks for the waiting records to be written by a time. @param at Time; an earlier request stays in force. */
void RecordLog::requestFlush(Time at)
{
    if (m_open)
        m_flushAt = m_flushAt ? std::min(*m_flushAt, at) : at;
}

/** When a further batch may be taken. @return Time, nothing if no records wait or no lane is free. */
std::optional<Time> RecordLog::nextBatchAt() const
{
    if (!m_flushAt || std::all_of(m_lanes.begin(), m_lanes.end(), [](const Lane& lane) { return lane.busy; }))
        return std::nullopt;
    Time at = *m_flushAt;
    for (const Lane& lane : m_lanes) {
        if (lane.busy) // Records share transactions as long as the store is quick.
            at = std::max(at, lane.sentAt + overlapAfter);
    }
    return at;
}

/** When tick() has something to do. @return Time, nothing if an answer is awaited or nothing waits. */
std::optional<Time> RecordLog::wakeAt() const
{
    if (!m_open)
        return std::nullopt;
    std::optional<Time> at = nextBatchAt();
    for (const Lane& lane : m_lanes) {
        if (lane.busy && !lane.inFlight)
            at = std::min(at.value_or(lane.retryAt), lane.retryAt);
    }
    return at;
}

/** Sends what is due. @param now Present time. */
void RecordLog::tick(Time now)
{
    if (const auto wake = wakeAt(); !wake || *wake > now)
        return;
    for (std::size_t i = 0; i < lanes; ++i) {
        if (m_lanes[i].busy && !m_lanes[i].inFlight && m_lanes[i].retryAt <= now)
            send(i, now);
    }
    if (const auto next = nextBatchAt(); !next || *next > now)
        return;
    const auto free
        = std::find_if(m_lanes.begin(), m_lanes.end(), [](const Lane& candidate) { return !candidate.busy; });
    const auto number = static_cast<std::size_t>(free - m_lanes.begin());
    m_flushAt.reset();
    free->batch = m_hooks.collect(number, maxWrites);
    if (free->batch.empty())
        return;
    ++free->batchNumber;
    free->busy = true;
    free->unsure = false;
    send(number, now);
}

std::string RecordLog::sequenceText(const Lane& lane) const
{
    return std::to_string(m_ownerRevision.value) + '.' + std::to_string(lane.batchNumber);
}

void RecordLog::send(std::size_t number, Time now)
{
    Lane& lane = m_lanes[number];
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, m_ownerKey, m_ownerRevision, {} });
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, lane.sequenceKey, lane.sequenceRevision, {} });
    txn.writes = lane.batch;
    txn.writes.push_back({ StoreWrite::Kind::Put, lane.sequenceKey, sequenceText(lane), {} });
    lane.inFlight = true;
    lane.sentAt = now;
    m_hooks.commit(number, std::move(txn), answerLimit(lane));
}

/**
 * How long a transaction may take. Sending it again is harmless, and a lost answer should cost little; if it was only
 * slow, the next try waits longer.
 */
std::chrono::milliseconds RecordLog::answerLimit(const Lane& lane) const
{
    const auto usual = std::chrono::duration_cast<std::chrono::milliseconds>(m_delay * delaysUntilLost);
    return std::min(longestAnswer, std::max(shortestAnswer, usual) * (1 << std::min(lane.failures, 5)));
}

/** Takes the answer to the transaction of a lane. @param number Lane. @param reply Answer. @param now Present time. */
void RecordLog::answered(std::size_t number, const StoreReply& reply, Time now)
{
    Lane& lane = m_lanes.at(number);
    if (!m_open || !lane.inFlight)
        return;
    lane.inFlight = false;
    std::optional<Revision> written;
    if (reply.status == StoreStatus::Ok) {
        written = reply.revision;
    } else if (reply.status == StoreStatus::CompareFailed) {
        // After a lost answer the sequence key tells whether the first try was carried out.
        const auto valueOf = [&](const std::string& key) {
            const auto it = std::find_if(
                reply.values.begin(), reply.values.end(), [&](const StoreKeyValue& item) { return item.key == key; });
            return it == reply.values.end() ? nullptr : &*it;
        };
        const StoreKeyValue* owner = valueOf(m_ownerKey);
        const StoreKeyValue* sequence = valueOf(lane.sequenceKey);
        if (owner && owner->modRevision == m_ownerRevision && sequence && sequence->value == sequenceText(lane))
            written = sequence->modRevision;
        else {
            m_hooks.ownershipLost("a record was refused since another owner has claimed the cell");
            return;
        }
    }
    if (written) {
        lane.sequenceRevision = *written;
        lane.busy = false;
        lane.failures = 0;
        lane.batch.clear();
        m_failedAt = {};
        m_savedAt = now;
        m_delay += (now - lane.sentAt - m_delay) / delayParts;
        m_hooks.decided(number, BatchOutcome::Saved);
        return;
    }
    lane.unsure |= reply.status == StoreStatus::Lost;
    m_failedAt = now;
    const auto pause = std::min(longestRetry, firstRetry * (1 << std::min(lane.failures, 8)));
    if (lane.failures++ == 0)
        LogLine(LogLevel::Warning, "records_not_saved")
            .with("lane", number)
            .with("batch", lane.batchNumber)
            .with("answer", reply.status == StoreStatus::Lost ? "none" : "refused")
            .with("retry_in_ms", pause.count());
    lane.retryAt = now + pause;
    if (!lane.unsure) {
        // The records may have changed by the next try.
        lane.busy = false;
        lane.batch.clear();
        m_hooks.decided(number, BatchOutcome::NotSaved);
        m_flushAt = lane.retryAt;
    }
}

} // namespace sp
