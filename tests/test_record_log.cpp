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
    RecordLog log { "owner", "seq",
        { [this](StoreTxn&& txn) { sent.push_back(std::move(txn)); },
            [this](std::size_t) { return std::exchange(waiting, {}); },
            [this](BatchOutcome outcome) { outcomes.push_back(outcome); }, [this](const std::string&) { ++lost; } } };

    Fixture()
    {
        log.begin(Revision(10));
        waiting = { { StoreWrite::Kind::Put, "k", "v", {} } };
        log.requestFlush(now);
        log.tick(now);
        REQUIRE(sent.size() == 1);
    }

    void answer(StoreStatus status, std::uint64_t revision = 0, std::vector<StoreKeyValue> values = {})
    {
        StoreReply reply;
        reply.status = status;
        reply.revision = Revision(revision);
        reply.values = std::move(values);
        log.answered(reply, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "each transaction has the conditions of the owner and of the last one")
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

TEST_CASE_FIXTURE(Fixture, "a transaction without an answer is sent again and may turn out to have been carried out")
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

TEST_CASE_FIXTURE(Fixture, "a condition that fails otherwise means that another owner writes")
{
    answer(StoreStatus::CompareFailed, 0, { { "owner", "y", Revision(20) }, { "seq", "20.1", Revision(21) } });
    CHECK(lost == 1);
    CHECK(outcomes.empty());
    log.end();
    CHECK(outcomes == std::vector { BatchOutcome::Unknown });
}

TEST_CASE_FIXTURE(Fixture, "a refused batch is given back, since nothing of it was written")
{
    answer(StoreStatus::Refused);
    CHECK(outcomes == std::vector { BatchOutcome::NotSaved });
    CHECK(log.stalled(now - 1s, now));
    CHECK_FALSE(log.stalled(now + 1ms, now + 1ms)); // The store was heard since.
}

TEST_CASE_FIXTURE(Fixture, "a batch that was refused after a lost answer is not given back")
{
    answer(StoreStatus::Lost);
    now += 1s;
    log.tick(now);
    answer(StoreStatus::Refused);
    CHECK(outcomes.empty());
}

TEST_CASE_FIXTURE(Fixture, "a transaction that waits for long counts as a stall")
{
    CHECK_FALSE(log.stalled(now, now + 300ms));
    CHECK(log.stalled(now, now + 400ms));
}
