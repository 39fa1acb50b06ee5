/** @file store_mirror.h Copy of all keys below a prefix of the store, kept current by a watch and a reconciling read.
 */
#pragma once

#include "store_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sp {

/** Hooks of a mirror. */
struct StoreMirrorHooks {
    std::function<StoreTicket(StoreRequest)> call; ///< Calls the store; the reply is passed to storeReplied.
    std::function<void(const std::string& prefix, Revision from)> watch; ///< Starts or replaces the watch.
    std::function<void(const std::string& key, const std::optional<std::string>& value, Revision revision, Time now)>
        changed;
};

/**
 * Mirror of a prefix. The reconciling read every 2 s costs one call and finds a watch that has gone silent.
 */
class StoreMirror {
public:
    StoreMirror(std::string prefix, StoreMirrorHooks hooks, std::uint64_t seed);
    void tick(Time now);
    bool storeReplied(const StoreReply& reply, Time now);
    void watched(const StoreWatchBatch& batch, Time now);
    const std::string& prefix() const { return m_prefix; }
    bool isLoaded() const { return m_loaded; }
    bool isFresh(Time now) const;

private:
    void applyFull(const StoreReply& reply, Time now);
    void applyNewer(const StoreReply& reply, Time now);
    void put(const StoreKeyValue& entry, Time now);
    void erase(const std::string& key, Revision revision, Time now);
    Duration retryDelay();

    std::string m_prefix;
    StoreMirrorHooks m_hooks;
    std::map<std::string, StoreKeyValue> m_entries;
    bool m_loaded = false;
    bool m_wantFull = true;
    bool m_pendingFull = false;
    StoreTicket m_pending;
    Revision m_revision; ///< All changes up to this revision are applied.
    Time m_nextRead {};
    Time m_lastAnswer {};
    std::uint32_t m_failures = 0;
    std::uint64_t m_random;
};

} // namespace sp
