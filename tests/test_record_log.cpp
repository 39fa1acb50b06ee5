#include "doctest_main.h"

#include "record_log.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Time now { 1h };
    std::vector<StoreTxn> sent;
    std::vector<BatchOutcome> outcomes;
    std::vector<StoreWrite> waiting;
    int lost = 0;
    std::vector<std::chrono::milliseconds> limits; ///< Time limit of each transaction.
    std::vector<std::size_t> sentBy; ///< Lane of each transaction.
    RecordLog log { "owner", { "seq", "seq1", "seq2", "seq3", "seq4", "seq5" },
        { [this](std::size_t lane, StoreTxn&& txn, std::chrono::milliseconds limit) {
             sent.push_back(std::move(txn));
             sentBy.push_back(lane);
             limits.push_back(limit);
         },
            [this](std::size_t, std::size_t) { return std::exchange(waiting, {}); },
            [this](std::size_t, BatchOutcome outcome) { outcomes.push_back(outcome); },
            [this](const std::string&) { ++lost; } } };

    Fixture()
    {
        log.begin(Revision(10));
        waiting = { { StoreWrite::Kind::Put, "k", "v", {} } };
        log.requestFlush(now);
        log.tick(now);
        REQUIRE(sent.size() == 1);
    }

    void write(const std::string& key)
    {
        waiting = { { StoreWrite::Kind::Put, key, "v", {} } };
        log.requestFlush(now);
        log.tick(now);
    }

    void answer(
        StoreStatus status, std::uint64_t revision = 0, std::vector<StoreKeyValue> values = {}, std::size_t lane = 0)
    {
        StoreReply reply;
        reply.status = status;
        reply.revision = Revision(revision);
        reply.values = std::move(values);
        log.answered(lane, reply, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(
    Fixture, "each transaction is conditional on the owner key and on the previous transaction of its lane")
{
    CHECK(sent[0].compares[0].modRevision == Revision(10));
    CHECK(sent[0].compares[1].modRevision == Revision(10));
    answer(StoreStatus::Ok, 12);
    CHECK(outcomes == std::vector { BatchOutcome::Saved });
    waiting = { { StoreWrite::Kind::Put, "k", "w", {} } };
    log.requestFlush(now);
    log.tick(now);
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].compares[0].modRevision == Revision(10));
    CHECK(sent[1].compares[1].modRevision == Revision(12));
}

TEST_CASE_FIXTURE(Fixture,
    "a transaction without a reply is sent again, and the sequence key shows that the first attempt was executed")
{
    answer(StoreStatus::Lost);
    now += 1s;
    log.tick(now);
    REQUIRE(sent.size() == 2);
    CHECK(sent[1].writes.back().value == sent[0].writes.back().value);
    answer(StoreStatus::CompareFailed, 0,
        { { "owner", "x", Revision(10) }, { "seq", sent[0].writes.back().value, Revision(11) } });
    CHECK(outcomes == std::vector { BatchOutcome::Saved });
    CHECK(lost == 0);
}

TEST_CASE_FIXTURE(Fixture, "a failed condition with a foreign owner key ends the ownership")
{
    answer(StoreStatus::CompareFailed, 0, { { "owner", "y", Revision(20) }, { "seq", "20.1", Revision(21) } });
    CHECK(lost == 1);
    CHECK(outcomes.empty());
    log.end();
    CHECK(outcomes == std::vector { BatchOutcome::Unknown });
}

TEST_CASE_FIXTURE(Fixture, "a refused batch is returned, since none of it was written")
{
    answer(StoreStatus::Refused);
    CHECK(outcomes == std::vector { BatchOutcome::NotSaved });
    CHECK(log.stalled(now - 1s, now));
    CHECK_FALSE(log.stalled(now + 1ms, now + 1ms)); // The store has answered another call since.
}

// Guards against LOST: a batch that the store refused for its contents was written again and again.
TEST_CASE_FIXTURE(Fixture, "a batch that the store refuses for its contents is told from one that it is too busy for")
{
    SUBCASE("at the first attempt") { }
    SUBCASE("after a lost reply")
    {
        answer(StoreStatus::Lost);
        now += 1s;
        log.tick(now);
    }
    answer(StoreStatus::Invalid);
    CHECK(outcomes == std::vector { BatchOutcome::Rejected });
    CHECK_FALSE(log.stalled(now, now + 1ms)); // Other records can be saved.
    now += 20ms;
    write("other");
    CHECK(sent.back().writes.front().key == "other");
    CHECK(sent.back().compares[1].modRevision == Revision(10));
}

TEST_CASE_FIXTURE(Fixture, "a batch that is refused after a lost reply is not returned, since it may have been written")
{
    answer(StoreStatus::Lost);
    now += 1s;
    log.tick(now);
    answer(StoreStatus::Refused);
    CHECK(outcomes.empty());
}

TEST_CASE_FIXTURE(Fixture, "a transaction that waits longer than 350 ms counts as a stall")
{
    CHECK_FALSE(log.stalled(now, now + 300ms));
    CHECK(log.stalled(now, now + 400ms));
}

TEST_CASE_FIXTURE(
    Fixture, "records share a transaction while the store is fast, and a second lane is used while it is slow")
{
    write("l");
    CHECK(sent.size() == 1);
    now += 100ms;
    log.tick(now);
    REQUIRE(sent.size() == 2);
    CHECK(sentBy[1] == 1);
    CHECK(sent[1].compares[1].key == "seq1");
    CHECK(sent[1].compares[1].modRevision == Revision(10));
    answer(StoreStatus::Ok, 20, {}, 1);
    answer(StoreStatus::Ok, 21, {}, 0);
    CHECK(outcomes == std::vector { BatchOutcome::Saved, BatchOutcome::Saved });
    write("m");
    REQUIRE(sent.size() == 3);
    CHECK(sentBy[2] == 0);
    CHECK(sent[2].compares[1].modRevision == Revision(21));
}

TEST_CASE_FIXTURE(Fixture, "a missing reply blocks only its own lane")
{
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        write("l");
        REQUIRE(sent.size() == 2U + static_cast<std::size_t>(i));
        answer(StoreStatus::Ok, 20U + static_cast<std::uint64_t>(i), {}, 1);
        CHECK_FALSE(log.stalled(now, now));
    }
    answer(StoreStatus::Lost);
    CHECK(outcomes.size() == 20);
}

TEST_CASE_FIXTURE(Fixture, "no batch is collected while all lanes are busy")
{
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        write("l");
    }
    CHECK(sent.size() == RecordLog::lanes);
}

TEST_CASE_FIXTURE(Fixture, "the time limit of a transaction follows the average latency and doubles with each failure")
{
    answer(StoreStatus::Lost);
    now += 1s;
    log.tick(now);
    answer(StoreStatus::Lost);
    now += 1s;
    log.tick(now);
    REQUIRE(limits.size() == 3);
    CHECK(limits[1] == 2 * limits[0]);
    CHECK(limits[2] == 4 * limits[0]);
    answer(StoreStatus::Ok, 20);
    for (int i = 0; i < 20; ++i) { // Raises the average latency.
        write("l");
        now += 130ms;
        answer(StoreStatus::Ok, 30U + static_cast<std::uint64_t>(i));
    }
    CHECK(limits.back() > 400ms);
    CHECK(limits.back() <= 1s);
}

TEST_CASE_FIXTURE(Fixture, "a lost reply counts as a stall only after 200 ms without a success")
{
    now += 30ms;
    write("l");
    answer(StoreStatus::Ok, 20, {}, 1);
    answer(StoreStatus::Lost);
    CHECK_FALSE(log.stalled(now - 300ms, now));
    CHECK(log.stalled(now - 300ms, now + 250ms));
}
