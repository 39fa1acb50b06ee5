#include "target_directory.h"

#include "log_line.h"

#include <algorithm>
#include <utility>

namespace sp {

TargetDirectory::TargetDirectory(std::string prefix, TargetDirectoryHooks hooks)
    : m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
{
}

/** Reads the targets that are registered at present. @param reply Called once; gets null if the store fails. */
void TargetDirectory::list(Reply reply)
{
    if (m_revision.value == 0)
        readAll(std::move(reply));
    else
        readChanges(std::move(reply));
}

void TargetDirectory::readAll(Reply&& reply)
{
    ++m_readNumber;
    m_entries.clear();
    m_list.reset();
    m_revision = {};
    readPage({}, {}, std::move(reply));
}

void TargetDirectory::readPage(const std::string& after, Revision begunAt, Reply&& reply)
{
    StoreRange range;
    range.key = m_prefix;
    range.prefix = true;
    range.after = after;
    m_hooks.read(
        std::move(range), [this, number = m_readNumber, begunAt, reply = std::move(reply)](StoreReply&& page) mutable {
            if (number != m_readNumber || page.status != StoreStatus::Ok) {
                reply(nullptr);
                return;
            }
            if (begunAt.value == 0)
                begunAt = page.revision;
            for (const StoreKeyValue& item : page.values)
                put(item);
            if (page.more && !page.values.empty()) {
                readPage(page.values.back().key, begunAt, std::move(reply));
                return;
            }
            m_revision = begunAt;
            LogLine(LogLevel::Info, "target_list_read").with("revision", m_revision).with("entries", m_entries.size());
            reply(entries());
        });
}

void TargetDirectory::readChanges(Reply&& reply)
{
    m_hooks.changes(StoreWatch { m_prefix, m_revision, std::chrono::milliseconds(0) },
        [this, after = m_revision, reply = std::move(reply)](StoreWatchReply&& answer) mutable {
            if (after != m_revision) { // Another call has read the entries meanwhile.
                reply(nullptr);
                return;
            }
            if (answer.compacted) {
                readAll(std::move(reply));
                return;
            }
            if (answer.status != StoreStatus::Ok) {
                m_revision = {};
                reply(nullptr);
                return;
            }
            for (const StoreKeyValue& item : answer.changes.puts)
                put(item);
            for (const std::string& key : answer.changes.deletes) {
                remove(key);
                m_unreadableKeys.erase(key);
            }
            m_revision = std::max(m_revision, answer.changes.revision);
            reply(entries());
        });
}

/** Takes an entry as it is now; one that can't be read names no target. */
void TargetDirectory::put(const StoreKeyValue& item)
{
    const TargetId id(item.key.substr(m_prefix.size()));
    std::string reason;
    if (auto entry = m_hooks.decode(id, item.value, reason)) {
        m_unreadableKeys.erase(item.key);
        if (TargetEntry& known = m_entries[item.key]; known != *entry) {
            known = std::move(*entry);
            m_list.reset();
        }
        return;
    }
    remove(item.key);
    if (m_unreadableKeys.insert(item.key).second)
        LogLine(LogLevel::Warning, "target_entry_unreadable").with("key", item.key).with("reason", reason);
}

void TargetDirectory::remove(const std::string& key)
{
    if (m_entries.erase(key) > 0)
        m_list.reset();
}

TargetList TargetDirectory::entries()
{
    if (m_list)
        return m_list;
    auto list = std::make_shared<std::vector<TargetEntry>>();
    list->reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        list->push_back(entry);
    m_list = std::move(list);
    return m_list;
}

} // namespace sp
