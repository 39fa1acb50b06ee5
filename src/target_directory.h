/** @file target_directory.h The registered targets, read from the store once and then kept up to date by changes. */
#pragma once

#include "cell_type.h"
#include "store_type.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sp {

/** Calls to the store, and the decoder of an entry. Replies come asynchronously, on the same thread. */
struct TargetDirectoryHooks {
    std::function<void(StoreRange&&, std::function<void(StoreReply&&)>)> read;
    std::function<void(StoreWatch&&, std::function<void(StoreWatchReply&&)>)> changes;
    /** Returns nothing and sets the reason if the value is no valid entry. */
    std::function<std::optional<TargetEntry>(const TargetId& id, const std::string& value, std::string& reason)> decode;
};

/**
 * Lists the registered targets. Reading and decoding all entries of a large cell takes the owner tens of milliseconds,
 * so only the changes since the last list are read. After a failed call, or if the store no longer has the changes, all
 * entries are read again. Not thread-safe.
 */
class TargetDirectory {
public:
    using Reply = std::function<void(TargetList)>;

    /** @param prefix Prefix of the entries' keys, which the target's id follows. */
    TargetDirectory(std::string prefix, TargetDirectoryHooks hooks);

    void list(Reply reply);

private:
    void readAll(Reply&& reply);
    void readPage(const std::string& after, Revision begunAt, Reply&& reply);
    void readChanges(Reply&& reply);
    void put(const StoreKeyValue& item);
    void remove(const std::string& key);
    TargetList entries();

    const std::string m_prefix;
    const TargetDirectoryHooks m_hooks;
    std::map<std::string, TargetEntry> m_entries; ///< Valid entries by key.
    TargetList m_list; ///< The entries as last returned; null if they have changed since.
    std::set<std::string> m_unreadableKeys; ///< Keys of entries that were logged as unreadable.
    Revision m_revision; ///< All changes up to this one are in m_entries; 0 before the entries are completely read.
    std::uint64_t m_readNumber = 0; ///< Distinguishes the pages of the present read from those of an earlier one.
};

} // namespace sp
