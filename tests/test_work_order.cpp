#include "doctest_main.h"

#include "work_order.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1h };

/** A job of the long queue that was just submitted: its objective is 2.2 times the critical path plus 1.2 s. */
WorkItem longJob()
{
    WorkItem item;
    item.submittedAt = start;
    item.objective = 23200ms;
    item.slackFactor = 2.2;
    item.remainingPath = 10000ms;
    item.remainingCoreMs = 500000;
    return item;
}

} // namespace

// With the queue ordered by the end of the objective, overdue jobs stayed ahead of every new one.
TEST_CASE("an overdue job goes behind a new one, and one that is worth nothing any more behind both")
{
    const Time now = start + 20s;
    WorkItem fresh = longJob();
    fresh.submittedAt = now;
    const WorkItem overdue = longJob();
    const WorkRank late = workRank(overdue, now);
    CHECK(workRank(fresh, now).band == WorkBand::InTime);
    CHECK(late.band == WorkBand::Late);
    CHECK(workRank(fresh, now) < late);
    const WorkRank worthless = workRank(overdue, start + 60s);
    CHECK(worthless.band == WorkBand::Rest);
    CHECK(worthless.worthless);
    CHECK(late < worthless);
}

TEST_CASE("a job that only just fits its objective counts as late, one that has half of its slack left does not")
{
    const WorkItem item = longJob(); // With the margin, the rest takes 16 s of 23.2 s.
    CHECK(workRank(item, start + 7s).band == WorkBand::InTime);
    CHECK(workRank(item, start + 8s).band == WorkBand::Late);
    CHECK(start + 8s + item.remainingPath < start + item.objective);
    CHECK(pathWithMargin(1000ms, 1.5) == 1250ms);
    CHECK(pathWithMargin(1000ms, 0.5) == 1000ms);
}

TEST_CASE("accounts above their share and jobs beyond the rate of their account go behind others")
{
    const WorkItem own = longJob();
    WorkItem aboveShare = own;
    aboveShare.aboveShare = true;
    WorkItem beyondRate = own;
    beyondRate.beyondRate = true;
    WorkItem late = own;
    late.submittedAt = start - 20s;
    CHECK(workRank(own, start) < workRank(aboveShare, start));
    CHECK(workRank(aboveShare, start) < workRank(late, start));
    CHECK(workRank(late, start) < workRank(beyondRate, start));
    WorkItem worthless = own;
    worthless.submittedAt = start - 2min;
    CHECK(workRank(beyondRate, start) < workRank(worthless, start));
    // Irregular submissions exceed the rate now and then; they don't wait behind those of an account in a burst.
    WorkItem burst = beyondRate;
    burst.aboveShare = true;
    burst.remainingCoreMs /= 4;
    CHECK(workRank(beyondRate, start) < workRank(burst, start));
    CHECK(workRank(burst, start) < workRank(worthless, start));
}

// A small new job that overtakes a large one makes it late, and a large job is worth as much for each core-second.
TEST_CASE("of jobs that can be in time, those that have begun go first, then those with the least slack")
{
    const WorkItem large = longJob();
    WorkItem small = large;
    small.remainingCoreMs /= 4;
    small.submittedAt += 1s;
    CHECK(workRank(large, start + 1s) < workRank(small, start + 1s));
    WorkItem tight = large;
    tight.objective -= 1s;
    CHECK(workRank(tight, start) < workRank(large, start));
    WorkItem begun = large;
    begun.begun = true;
    begun.submittedAt += 1s;
    CHECK(workRank(begun, start + 1s) < workRank(large, start + 1s));
    CHECK(workRank(begun, start + 1s) < workRank(small, start + 1s));
    CHECK(workRank(begun, start + 1s) < workRank(tight, start + 1s));
    WorkItem younger = large;
    younger.submittedAt += 1s;
    CHECK(workRank(large, start + 1s) < workRank(younger, start + 1s));
}

// With the margin, a job whose last step waits would fall behind new ones although it can still be in time.
TEST_CASE("a job that has begun needs no margin for its estimates")
{
    WorkItem begun = longJob();
    begun.begun = true;
    CHECK(workRank(begun, start + 13s).band == WorkBand::InTime);
    CHECK(workRank(begun, start + 14s).band == WorkBand::Late);
}

TEST_CASE("in the later bands, jobs that have begun go first, then less remaining work, then the oldest")
{
    WorkItem large = longJob();
    large.beyondRate = true;
    WorkItem small = large;
    small.remainingCoreMs /= 4;
    small.submittedAt += 1s;
    CHECK(workRank(small, start + 1s) < workRank(large, start + 1s));
    WorkItem begun = large;
    begun.begun = true;
    CHECK(workRank(begun, start + 1s) < workRank(small, start + 1s));
    WorkItem younger = large;
    younger.submittedAt += 1s;
    CHECK(workRank(large, start + 1s) < workRank(younger, start + 1s));
}

// A steady flow of small jobs would otherwise overtake a large one that has begun and holds no room for its next step.
TEST_CASE("a job that has begun is not overtaken by smaller ones that have not, and gains on those that have")
{
    WorkItem begun = longJob();
    begun.begun = true;
    begun.beyondRate = true;
    WorkItem small = longJob();
    small.beyondRate = true;
    small.remainingCoreMs /= 16;
    begun.remainingPath = 1000ms;
    Time now = start + 1s;
    small.submittedAt = now;
    CHECK(workRank(begun, now) < workRank(small, now));
    small.begun = true;
    CHECK(workRank(small, now) < workRank(begun, now));
    begun.objective = 10s;
    now = start + 25s;
    small.submittedAt = now;
    begun.remainingCoreMs = small.remainingCoreMs * 4;
    CHECK(workRank(begun, now) < workRank(small, now));
}

TEST_CASE("steps that last have no objective and are never late")
{
    WorkItem lasting = longJob();
    lasting.lasting = true;
    CHECK(workRank(lasting, start + 1h).band == WorkBand::InTime);
    lasting.aboveShare = true;
    CHECK(workRank(lasting, start + 1h).band == WorkBand::InTimeAboveShare);
    lasting.beyondRate = true;
    CHECK(workRank(lasting, start + 1h).band == WorkBand::Rest);
    CHECK(workBandName(WorkBand::Rest) == std::string("rest"));
}
