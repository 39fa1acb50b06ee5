#include "doctest_main.h"

#include "standin/kv_json.h"
#include "standin/kv_store.h"

#include <rapidcheck.h>

using namespace sp;
using namespace sp::standin;
using namespace std::chrono_literals;

namespace {

KvOperation putOperation(const std::string& key, const std::string& value, std::int64_t lease = 0)
{
    KvOperation operation;
    operation.kind = KvOperation::Kind::Put;
    operation.key = key;
    operation.value = value;
    operation.lease = lease;
    return operation;
}

KvCompare absent(const std::string& key)
{
    return { key, KvCompare::Target::Create, KvCompare::Relation::Equal, 0, {} };
}

} // namespace

// Guards against a store that lets two claims of a key succeed.
TEST_CASE("a transaction writes only if all its conditions hold")
{
    KvStore store;
    const KvTxn claim { { absent("/a") }, { putOperation("/a", "1"), putOperation("/b", "1") }, {} };
    CHECK(store.txn(claim).succeeded);
    const auto revision = store.revision();
    CHECK(store.range({ "/a", {}, 0, 0 }).entries.at(0).modRevision
        == store.range({ "/b", {}, 0, 0 }).entries.at(0).modRevision);
    CHECK_FALSE(store.txn(claim).succeeded);
    CHECK(store.revision() == revision);
}

// Guards against a compare-and-swap on each target and relation that tests the wrong counter.
TEST_CASE("conditions on value, version and revisions")
{
    KvStore store;
    store.put("/a", "x");
    store.put("/a", "y");
    const auto holds = [&](KvCompare::Target target, KvCompare::Relation relation, std::int64_t number,
                           const std::string& value = {}) {
        return store.txn({ { { "/a", target, relation, number, value } }, {}, {} }).succeeded;
    };
    using Target = KvCompare::Target;
    using Relation = KvCompare::Relation;
    CHECK(holds(Target::Value, Relation::Equal, 0, "y"));
    CHECK_FALSE(holds(Target::Value, Relation::Equal, 0, "x"));
    CHECK(holds(Target::Version, Relation::Equal, 2));
    CHECK(holds(Target::Mod, Relation::Greater, 2));
    CHECK(holds(Target::Create, Relation::Less, 3));
    CHECK(holds(Target::Version, Relation::NotEqual, 1));
    CHECK_FALSE(store.txn({ { { "/no", Target::Value, Relation::NotEqual, 0, "x" } }, {}, {} }).succeeded);
}

// Guards against keys of a dead holder that stay, and against a lease that ends although it was renewed.
TEST_CASE("a lease that runs out deletes its keys")
{
    KvStore store;
    Time now = Time {} + 1h;
    const auto lease = store.grantLease(3s, 0, now);
    REQUIRE(store.put("/a", "1", lease));
    now += 2s;
    CHECK(store.keepLease(lease, now) == 3s);
    now += 2s;
    CHECK(store.expireLeases(now) == 0);
    CHECK(store.range({ "/a", {}, 0, 0 }).count == 1);
    now += 1s;
    CHECK(store.expireLeases(now) == 1);
    CHECK(store.range({ "/a", {}, 0, 0 }).count == 0);
    CHECK_FALSE(store.keepLease(lease, now));
    CHECK_FALSE(store.put("/a", "1", lease));
}

// Guards against a key that is deleted with a lease it is no longer bound to.
TEST_CASE("a key follows its last lease")
{
    KvStore store;
    const auto first = store.grantLease(3s, 0, Time {});
    const auto second = store.grantLease(30s, 0, Time {});
    store.put("/a", "1", first);
    store.put("/a", "2", second);
    CHECK(store.revokeLease(first));
    CHECK(store.range({ "/a", {}, 0, 0 }).count == 1);
    CHECK(store.revokeLease(second));
    CHECK(store.range({ "/a", {}, 0, 0 }).count == 0);
}

// Guards against a reconciling read that misses deletions because the count is that of the filtered keys.
TEST_CASE("the count of a range is that of all its keys")
{
    KvStore store;
    for (int i = 0; i < 10; ++i)
        store.put("/a/" + std::to_string(i), "v");
    store.put("/b", "v");
    const auto all = store.range({ "/a/", "/a0", 0, 0 });
    CHECK(all.entries.size() == 10);
    const auto some = store.range({ "/a/", "/a0", all.entries.at(7).modRevision, 2 });
    CHECK(some.entries.size() == 2);
    CHECK(some.count == 10);
    CHECK(some.more);
    CHECK(store.range({ "/a/", std::string(1, '\0'), 0, 0 }).count == 11);
}

// Guards against a watch that loses or repeats changes: replaying the events must give the store's content.
TEST_CASE("the events of a watch rebuild the store")
{
    CHECK(rc::check("replay", [] {
        KvStore store;
        std::map<std::string, std::string> copy;
        std::int64_t next = 1;
        Time now {};
        const auto lease = store.grantLease(5s, 0, now);
        for (int i = 0; i < 200; ++i) {
            const std::string key = "/k/" + std::to_string(*rc::gen::inRange(0, 12));
            const int what = *rc::gen::inRange(0, 10);
            now += 20ms;
            if (what < 6)
                store.put(key, std::to_string(i), what == 0 && store.keepLease(lease, now) ? lease : 0);
            else if (what < 8)
                store.deleteRange({ key, {}, 0, 0 });
            else if (what == 8)
                store.txn({ { absent(key) }, { putOperation(key, "t"), putOperation("/k/x", "t") }, {} });
            else
                store.expireLeases(now + 10s * *rc::gen::inRange(0, 2));
            if (*rc::gen::inRange(0, 3) > 0)
                continue;
            std::vector<KvEvent> events;
            RC_ASSERT(store.eventsFrom({ "/k/", "/k0", 0, 0 }, next, events));
            next = store.revision() + 1;
            for (const KvEvent& event : events) {
                if (event.isDelete)
                    copy.erase(event.entry.key);
                else
                    copy[event.entry.key] = event.entry.value;
            }
            const auto all = store.range({ "/k/", "/k0", 0, 0 });
            RC_ASSERT(all.entries.size() == copy.size());
            for (const KvEntry& entry : all.entries)
                RC_ASSERT(copy.at(entry.key) == entry.value);
        }
    }));
}

// Guards against a watch that silently skips changes that are no longer kept.
TEST_CASE("a watch from before the kept history is refused")
{
    KvStore store;
    for (std::size_t i = 0; i < KvStore::maxHistory + 10; ++i)
        store.put("/a", "v");
    std::vector<KvEvent> events;
    CHECK_FALSE(store.eventsFrom({ "/a", {}, 0, 0 }, 2, events));
    CHECK(store.eventsFrom({ "/a", {}, 0, 0 }, store.compactedRevision() + 1, events));
    CHECK(events.size() <= KvStore::maxHistory);
}

// Guards against values that the JSON form changes.
TEST_CASE("base64 round trip")
{
    CHECK(encodeBase64("foob") == "Zm9vYg==");
    CHECK_FALSE(decodeBase64("a*b").has_value());
    CHECK(rc::check(
        "round trip", [](const std::string& bytes) { RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes); }));
}

// Guards against 64 bit numbers that lose digits and against a misread transaction.
TEST_CASE("JSON form of a transaction")
{
    const auto txn = parseTxn(Json::parse(R"({"compare":[{"key":"L2E=","target":"MOD","result":"LESS",
        "mod_revision":"9007199254740993"}],"success":[{"request_put":{"key":"L2E=","value":"eA==","lease":"7"}}],
        "failure":[{"requestRange":{"key":"L2E="}}]})"));
    REQUIRE(txn.compares.size() == 1);
    CHECK(txn.compares[0].number == 9007199254740993);
    CHECK(txn.compares[0].relation == KvCompare::Relation::Less);
    CHECK(txn.success.at(0).value == "x");
    CHECK(txn.success.at(0).lease == 7);
    CHECK(txn.failure.at(0).range.key == "/a");
    CHECK(txn.writes());
    CHECK_THROWS(parseTxn(Json::parse(R"({"success":[{"request_other":{}}]})")));
}

// Guards against a limit that lets bursts pass or never recovers.
TEST_CASE("rate limit")
{
    RateLimit limit(100);
    Time now = Time {} + 1h;
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
        taken += limit.take(now) ? 1 : 0;
    CHECK(taken == 100);
    now += 500ms;
    for (int i = 0; i < 1000; ++i)
        taken += limit.take(now) ? 1 : 0;
    CHECK(taken == 150);
}
