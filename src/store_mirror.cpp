#include "store_mirror.h"

#include <algorithm>
#include <set>

namespace sp {

namespace {

    constexpr std::chrono::seconds reconcileEvery { 2 };
    constexpr std::chrono::seconds freshFor { 5 }; ///< Two reads may fail before the mirror counts as stale.
    constexpr std::chrono::milliseconds firstRetry { 100 };
    constexpr std::chrono::milliseconds longestRetry { 5000 };

} // namespace

/** @param prefix Prefix to mirror. @param hooks Hooks. @param seed Seed of the jitter. */
StoreMirror::StoreMirror(std::string prefix, StoreMirrorHooks hooks, std::uint64_t seed)
    : m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
    , m_random(seed | 1)
{
}

/** Reads if a read is due. @param now Present time. */
void StoreMirror::tick(Time now)
{
    if (m_pending.value || now < m_nextRead)
        return;
    m_pendingFull = m_wantFull;
    m_pending = m_hooks.call(StoreRange { m_prefix, true, m_wantFull ? Revision() : Revision(m_revision.value + 1) });
}

/** Takes a reply of the store. @param reply Reply. @param now Present time. @return False if the ticket is not the
 * mirror's. */
bool StoreMirror::storeReplied(const StoreReply& reply, Time now)
{
    if (!m_pending.value || reply.ticket != m_pending)
        return false;
    m_pending = {};
    if (reply.status != StoreStatus::Ok) {
        m_nextRead = now + retryDelay();
        return true;
    }
    m_failures = 0;
    m_lastAnswer = now;
    m_nextRead = now + reconcileEvery;
    // A read that was overtaken by the watch could bring deleted keys back.
    if (reply.revision < m_revision)
        return true;
    if (m_pendingFull)
        applyFull(reply, now);
    else
        applyNewer(reply, now);
    return true;
}

/** Takes changes from the watch. @param batch Changes. @param now Present time. */
void StoreMirror::watched(const StoreWatchBatch& batch, Time now)
{
    if (!m_loaded || batch.revision <= m_revision)
        return;
    for (const StoreKeyValue& entry : batch.puts)
        put(entry, now);
    for (const std::string& key : batch.deletes)
        erase(key, batch.revision, now);
    m_revision = batch.revision;
}

/** Whether the store has answered lately. @param now Present time. @return True if the mirror is current. */
bool StoreMirror::isFresh(Time now) const { return m_loaded && now - m_lastAnswer < freshFor; }

void StoreMirror::applyFull(const StoreReply& reply, Time now)
{
    std::set<std::string> present;
    for (const StoreKeyValue& entry : reply.values)
        present.insert(entry.key);
    std::vector<std::string> gone;
    for (const auto& [key, entry] : m_entries) {
        if (!present.contains(key))
            gone.push_back(key);
    }
    for (const std::string& key : gone)
        erase(key, reply.revision, now);
    for (const StoreKeyValue& entry : reply.values)
        put(entry, now);
    m_wantFull = false;
    m_loaded = true;
    m_revision = reply.revision;
    m_hooks.watch(m_prefix, Revision(m_revision.value + 1));
}

void StoreMirror::applyNewer(const StoreReply& reply, Time now)
{
    const bool missed = !reply.values.empty();
    for (const StoreKeyValue& entry : reply.values)
        put(entry, now);
    m_revision = std::max(m_revision, reply.revision);
    if (static_cast<std::size_t>(reply.count) != m_entries.size()) {
        // A deletion was missed, which a read by revision does not show.
        m_wantFull = true;
        m_nextRead = now;
    } else if (missed) {
        m_hooks.watch(m_prefix, Revision(m_revision.value + 1));
    }
}

void StoreMirror::put(const StoreKeyValue& entry, Time now)
{
    auto [it, added] = m_entries.try_emplace(entry.key, entry);
    if (!added) {
        if (entry.modRevision <= it->second.modRevision)
            return;
        it->second = entry;
    }
    m_hooks.changed(entry.key, entry.value, entry.modRevision, now);
}

void StoreMirror::erase(const std::string& key, Revision revision, Time now)
{
    if (m_entries.erase(key) > 0)
        m_hooks.changed(key, std::nullopt, revision, now);
}

/** Exponential backoff with jitter, so that a store that comes back is not hit by all processes at once. */
Duration StoreMirror::retryDelay()
{
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto longest = std::min<Duration>(longestRetry, firstRetry * (1 << std::min(m_failures, 6U)));
    ++m_failures;
    return longest / 2
        + Duration(static_cast<std::int64_t>((m_random >> 33) % static_cast<std::uint64_t>(longest.count() / 2 + 1)));
}

} // namespace sp
