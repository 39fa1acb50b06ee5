#include "doctest_main.h"

#include "target_directory.h"

#include <deque>

using namespace sp;

namespace {

/** A store that holds entries `t/ID`, whose value is the address; calls are answered in answer(). */
struct DirectoryTest {
    std::map<std::string, StoreKeyValue> items;
    std::vector<std::pair<Revision, std::string>> history; ///< Changed keys.
    std::uint64_t revision = 10;
    std::uint64_t compactedUpTo = 0;
    bool up = true;
    std::size_t pageSize = 2;
    std::function<void()> betweenPages;
    std::size_t decoded = 0;
    std::vector<TargetList> lists;
    std::deque<std::function<void()>> calls; ///< Calls that are not answered yet.
    TargetDirectory directory { "t/", hooks() };

    TargetDirectoryHooks hooks()
    {
        TargetDirectoryHooks hooks;
        hooks.read = [this](StoreRange&& range, const std::function<void(StoreReply &&)>& reply) {
            calls.emplace_back([this, range, reply] {
                StoreReply page;
                page.status = up ? StoreStatus::Ok : StoreStatus::Lost;
                page.revision = Revision(revision);
                for (auto it = items.upper_bound(range.after); up && it != items.end(); ++it) {
                    if (page.values.size() == pageSize) {
                        page.more = true;
                        break;
                    }
                    page.values.push_back(it->second);
                }
                if (page.more && betweenPages)
                    std::exchange(betweenPages, nullptr)();
                reply(std::move(page));
            });
        };
        hooks.changes = [this](StoreWatch&& watch, const std::function<void(StoreWatchReply &&)>& reply) {
            calls.emplace_back([this, watch, reply] {
                StoreWatchReply answer;
                answer.status = up ? StoreStatus::Ok : StoreStatus::Lost;
                answer.compacted = up && watch.after.value < compactedUpTo;
                answer.changes.revision = Revision(revision);
                std::set<std::string> changed;
                for (const auto& [at, key] : history) {
                    if (at.value > watch.after.value)
                        changed.insert(key);
                }
                for (const std::string& key : changed) {
                    if (items.contains(key))
                        answer.changes.puts.push_back(items.at(key));
                    else
                        answer.changes.deletes.push_back(key);
                }
                reply(std::move(answer));
            });
        };
        hooks.decode = [this](const TargetId& id, const std::string& value, std::string& reason) {
            ++decoded;
            if (value == "bad") {
                reason = "bad";
                return std::optional<TargetEntry>();
            }
            TargetEntry entry;
            entry.id = id;
            entry.address = value;
            return std::optional(entry);
        };
        return hooks;
    }

    void set(const std::string& id, const std::string& value)
    {
        items["t/" + id] = { "t/" + id, value, Revision(++revision) };
        history.emplace_back(Revision(revision), "t/" + id);
    }

    void remove(const std::string& id)
    {
        items.erase("t/" + id);
        history.emplace_back(Revision(++revision), "t/" + id);
    }

    /** Returns the listed targets as `id=address`, or `failed`. */
    std::vector<std::string> list()
    {
        std::vector<std::string> result { "not answered" };
        directory.list([&](const TargetList& entries) {
            result = { "failed" };
            if (!entries)
                return;
            result.clear();
            lists.push_back(entries);
            for (const TargetEntry& entry : *entries)
                result.push_back(entry.id.value + "=" + entry.address);
        });
        while (!calls.empty()) {
            const auto call = std::move(calls.front());
            calls.pop_front();
            call();
        }
        return result;
    }

    std::vector<std::string> stored() const
    {
        std::vector<std::string> result;
        for (const auto& [key, item] : items) {
            if (item.value != "bad")
                result.push_back(key.substr(2) + "=" + item.value);
        }
        return result;
    }
};

} // namespace

TEST_CASE_FIXTURE(DirectoryTest, "a list of the targets decodes only the entries that have changed since the last one")
{
    for (int i = 0; i < 100; ++i)
        set("a" + std::to_string(i), "1");
    pageSize = 30;
    CHECK(list() == stored());
    CHECK(decoded == 100);
    CHECK(list() == stored());
    CHECK(lists.at(0) == lists.at(1)); // The owner need not process it again.
    set("a7", "1");
    CHECK(list() == stored());
    CHECK(lists.at(0) == lists.at(2));
    set("a7", "2");
    set("new", "1");
    remove("a9");
    CHECK(list() == stored());
    CHECK(decoded == 103);
    CHECK(lists.at(0) != lists.at(3));
}

TEST_CASE_FIXTURE(DirectoryTest, "a change made between two pages is in the next list of targets")
{
    for (const char* id : { "a", "b", "c", "d" })
        set(id, "1");
    betweenPages = [this] {
        set("a", "2");
        remove("b");
        remove("d");
    };
    CHECK(list() == std::vector<std::string> { "a=1", "b=1", "c=1" });
    CHECK(list() == std::vector<std::string> { "a=2", "c=1" });
}

TEST_CASE_FIXTURE(
    DirectoryTest, "all targets are read again after a failed call and when the store has lost its history")
{
    set("a", "1");
    set("b", "1");
    CHECK(list() == stored());
    up = false;
    CHECK(list() == std::vector<std::string> { "failed" });
    history.clear(); // The store forgets the removal.
    remove("a");
    history.clear();
    CHECK(list() == std::vector<std::string> { "failed" });
    up = true;
    CHECK(list() == stored());
    remove("b");
    set("c", "1");
    history.clear();
    compactedUpTo = revision;
    CHECK(list() == stored());
}

TEST_CASE_FIXTURE(
    DirectoryTest, "an entry that another writer has made unreadable names no target until it is readable")
{
    set("a", "1");
    set("b", "bad");
    CHECK(list() == std::vector<std::string> { "a=1" });
    set("a", "bad");
    set("b", "2");
    CHECK(list() == std::vector<std::string> { "b=2" });
    set("a", "3");
    CHECK(list() == std::vector<std::string> { "a=3", "b=2" });
}
