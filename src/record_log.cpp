#include "record_log.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds firstRetryDelay {
        20
    }; ///< The store's rate limit admits calls again within this time.
    constexpr std::chrono::milliseconds stalledAfter { 350 }; ///< A slow store answers within 250 ms.
    constexpr std::chrono::milliseconds nextLaneDelay { 25 }; ///< A fast store has replied by then.
    constexpr int replyTimeoutFactor = 4; ///< Few replies take four times the average.
    constexpr std::chrono::milliseconds minReplyTimeout { 80 }; ///< Ten round trips to a fast store.
    constexpr std::chrono::milliseconds maxReplyTimeout { 1000 }; ///< A slow store answers within 250 ms.
    constexpr std::chrono::milliseconds recentSuccess { 200 }; ///< Lost replies among successful ones are no outage.
    constexpr int latencySampleDivisor
        = 4; ///< A new sample has a weight of 1/4, so that a few slow transactions raise the average.
    constexpr std::chrono::milliseconds maxRetryDelay { 320 }; ///< Limits the call rate during an outage of the store.

} // namespace

/**
 * @param ownerKey Owner key; each transaction is conditional on its revision.
 * @param sequenceKeys One key for each lane, rewritten by each of the lane's transactions.
 */
RecordLog::RecordLog(std::string ownerKey, std::vector<std::string> sequenceKeys, RecordLogHooks hooks)
    : m_ownerKey(std::move(ownerKey))
    , m_hooks(std::move(hooks))
{
    for (std::size_t i = 0; i < lanes; ++i)
        m_lanes[i].sequenceKey = std::move(sequenceKeys.at(i));
}

/**
 * Starts writing for a new ownership.
 * @param ownerRevision Revision of the transaction that wrote both the owner key and the sequence keys.
 */
void RecordLog::begin(Revision ownerRevision)
{
    end();
    m_active = true;
    m_ownerRevision = ownerRevision;
    for (Lane& lane : m_lanes) {
        lane.sequenceRevision = ownerRevision;
        lane.batchNumber = 0;
    }
}

/** Stops writing. Batches in flight are reported as BatchOutcome::Unknown. */
void RecordLog::end()
{
    m_active = false;
    m_flushAt.reset();
    m_lastFailureAt = {};
    m_lastSuccessAt = {};
    m_averageLatency = {};
    for (std::size_t i = 0; i < lanes; ++i) {
        Lane& lane = m_lanes[i];
        lane.inFlight = false;
        lane.failures = 0;
        lane.batch.clear();
        if (std::exchange(lane.unresolved, false))
            m_hooks.decided(i, BatchOutcome::Unknown);
    }
}

/**
 * Returns true if records can't be saved at present: a transaction has waited too long and none has succeeded since it
 * was sent, or the last one failed and the store has not answered any call since.
 * @param lastStoreReplyAt Time of the store's last reply to any call of this host.
 */
bool RecordLog::stalled(Time lastStoreReplyAt, Time now) const
{
    const bool replyOverdue = std::any_of(m_lanes.begin(), m_lanes.end(), [&](const Lane& lane) {
        return lane.inFlight && now - lane.sentAt > stalledAfter && m_lastSuccessAt <= lane.sentAt;
    });
    const bool failed
        = m_lastFailureAt != Time {} && m_lastFailureAt >= lastStoreReplyAt && now - m_lastSuccessAt > recentSuccess;
    return replyOverdue || failed;
}

/** Requests that the waiting records are written at the given time, or earlier if that was requested before. */
void RecordLog::requestFlush(Time at)
{
    if (m_active)
        m_flushAt = m_flushAt ? std::min(*m_flushAt, at) : at;
}

/** Returns when the next batch may be collected, or nothing if no records wait or no lane is free. */
std::optional<Time> RecordLog::nextBatchAt() const
{
    if (!m_flushAt || std::all_of(m_lanes.begin(), m_lanes.end(), [](const Lane& lane) { return lane.unresolved; }))
        return std::nullopt;
    Time at = *m_flushAt;
    for (const Lane& lane : m_lanes) {
        if (lane.unresolved) // Waiting lets records share a transaction while the store is fast.
            at = std::max(at, lane.sentAt + nextLaneDelay);
    }
    return at;
}

/** Returns when tick() is due, or nothing while there is no batch to send. */
std::optional<Time> RecordLog::wakeAt() const
{
    if (!m_active)
        return std::nullopt;
    std::optional<Time> at = nextBatchAt();
    for (const Lane& lane : m_lanes) {
        if (lane.unresolved && !lane.inFlight)
            at = std::min(at.value_or(lane.retryAt), lane.retryAt);
    }
    return at;
}

/** Sends the retries that are due and then, if a lane is free, the next batch. */
void RecordLog::tick(Time now)
{
    if (const auto wake = wakeAt(); !wake || *wake > now)
        return;
    for (std::size_t i = 0; i < lanes; ++i) {
        if (m_lanes[i].unresolved && !m_lanes[i].inFlight && m_lanes[i].retryAt <= now)
            send(i, now);
    }
    if (const auto next = nextBatchAt(); !next || *next > now)
        return;
    const auto freeLane
        = std::find_if(m_lanes.begin(), m_lanes.end(), [](const Lane& candidate) { return !candidate.unresolved; });
    const auto laneIndex = static_cast<std::size_t>(freeLane - m_lanes.begin());
    m_flushAt.reset();
    freeLane->batch = m_hooks.collect(laneIndex, maxWrites);
    if (freeLane->batch.empty())
        return;
    ++freeLane->batchNumber;
    freeLane->unresolved = true;
    freeLane->maybeWritten = false;
    send(laneIndex, now);
}

std::string RecordLog::sequenceValue(const Lane& lane) const
{
    return std::to_string(m_ownerRevision.value) + '.' + std::to_string(lane.batchNumber);
}

void RecordLog::send(std::size_t laneIndex, Time now)
{
    Lane& lane = m_lanes[laneIndex];
    StoreTxn txn;
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, m_ownerKey, m_ownerRevision, {} });
    txn.compares.push_back({ StoreCompare::Kind::ModRevision, lane.sequenceKey, lane.sequenceRevision, {} });
    txn.writes = lane.batch;
    txn.writes.push_back({ StoreWrite::Kind::Put, lane.sequenceKey, sequenceValue(lane), {} });
    lane.inFlight = true;
    lane.sentAt = now;
    m_hooks.commit(laneIndex, std::move(txn), replyTimeout(lane));
}

/**
 * Returns the time limit of a transaction: four times the average latency, doubled with each failure. A transaction is
 * safe to repeat, so a short limit detects a lost reply early; if the reply was only slow, the next attempt waits
 * longer.
 */
std::chrono::milliseconds RecordLog::replyTimeout(const Lane& lane) const
{
    const auto typicalLimit
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_averageLatency * replyTimeoutFactor);
    return std::min(maxReplyTimeout, std::max(minReplyTimeout, typicalLimit) * (1 << std::min(lane.failures, 5)));
}

/** Handles the reply to a lane's transaction; StoreStatus::Lost stands for a missing one. */
void RecordLog::answered(std::size_t laneIndex, const StoreReply& reply, Time now)
{
    Lane& lane = m_lanes.at(laneIndex);
    if (!m_active || !lane.inFlight)
        return;
    lane.inFlight = false;
    std::optional<Revision> writtenRevision;
    if (reply.status == StoreStatus::Ok) {
        writtenRevision = reply.revision;
    } else if (reply.status == StoreStatus::CompareFailed) {
        // After a lost reply, the sequence key shows whether the earlier attempt was executed.
        const auto valueOf = [&](const std::string& key) {
            const auto it = std::find_if(
                reply.values.begin(), reply.values.end(), [&](const StoreKeyValue& item) { return item.key == key; });
            return it == reply.values.end() ? nullptr : &*it;
        };
        const StoreKeyValue* owner = valueOf(m_ownerKey);
        const StoreKeyValue* sequence = valueOf(lane.sequenceKey);
        if (owner && owner->modRevision == m_ownerRevision && sequence && sequence->value == sequenceValue(lane))
            writtenRevision = sequence->modRevision;
        else {
            m_hooks.ownershipLost("the store rejected a transaction because another owner has claimed the cell");
            return;
        }
    }
    if (writtenRevision) {
        lane.sequenceRevision = *writtenRevision;
        lane.unresolved = false;
        lane.failures = 0;
        lane.batch.clear();
        m_lastFailureAt = {};
        m_lastSuccessAt = now;
        m_averageLatency += (now - lane.sentAt - m_averageLatency) / latencySampleDivisor;
        m_hooks.decided(laneIndex, BatchOutcome::Saved);
        return;
    }
    if (reply.status == StoreStatus::Invalid) { // An earlier attempt was refused as well, if it was executed at all.
        lane.unresolved = false;
        lane.batch.clear();
        m_hooks.decided(laneIndex, BatchOutcome::Rejected);
        requestFlush(now + firstRetryDelay);
        return;
    }
    lane.maybeWritten |= reply.status == StoreStatus::Lost;
    m_lastFailureAt = now;
    const auto retryDelay = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(lane.failures, 8)));
    if (lane.failures++ == 0)
        LogLine(LogLevel::Warning, "records_not_saved")
            .with("lane", laneIndex)
            .with("batch", lane.batchNumber)
            .with("answer", reply.status == StoreStatus::Lost ? "none" : "refused")
            .with("retry_in_ms", retryDelay.count());
    lane.retryAt = now + retryDelay;
    if (!lane.maybeWritten) {
        // Returns the records to the owner, which may change them before the next attempt.
        lane.unresolved = false;
        lane.batch.clear();
        m_hooks.decided(laneIndex, BatchOutcome::NotSaved);
        m_flushAt = lane.retryAt;
    }
}

} // namespace sp
