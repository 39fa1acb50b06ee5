#include "doctest_main.h"

#include "owner_watch.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Time now { 1h };
    OwnerWatch watch;

    Fixture()
    {
        watch.monitor(Revision(5), true, now);
        CHECK_FALSE(watch.due(now)); // A new owner is not pinged during its take-over.
        now += 3s;
    }

    std::optional<std::string> ping(const std::optional<OwnerStatus>& status, Revision owner = Revision(5))
    {
        REQUIRE(watch.due(now));
        watch.pingSent(now);
        CHECK_FALSE(watch.due(now));
        now += OwnerWatch::interval;
        return watch.handleAnswer(owner, status, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "an owner that answers and reaches the store is not replaced")
{
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(ping(OwnerStatus { true, 100ms }));
}

TEST_CASE_FIXTURE(Fixture, "an owner is replaced after three consecutive unanswered pings")
{
    CHECK_FALSE(ping({}));
    CHECK_FALSE(ping({}));
    CHECK_FALSE(ping(OwnerStatus { true, 0ms }));
    CHECK_FALSE(ping({}));
    CHECK_FALSE(ping({}));
    CHECK(ping({}));
}

TEST_CASE_FIXTURE(Fixture, "an owner is replaced if it has lost contact to the store or has resigned")
{
    CHECK_FALSE(ping(OwnerStatus { true, 400ms }));
    CHECK(ping(OwnerStatus { true, 500ms }));
    CHECK(ping(OwnerStatus { false, 0ms }));
}

TEST_CASE_FIXTURE(Fixture, "answers to pings of an earlier owner are ignored")
{
    watch.pingSent(now);
    CHECK_FALSE(watch.wakeAt());
    watch.monitor(Revision(9), true, now);
    CHECK_FALSE(watch.handleAnswer(Revision(5), OwnerStatus { false, 0ms }, now));
    CHECK_FALSE(watch.due(now));
    watch.monitor({}, true, now);
    now += 10s;
    CHECK_FALSE(watch.due(now));
    CHECK_FALSE(watch.wakeAt()); // A time in the past would make the event loop spin.
}

TEST_CASE_FIXTURE(Fixture, "a slow owner that reports its lag is not replaced for answers that its lag delays")
{
    CHECK(watch.timeout() == 150ms);
    CHECK_FALSE(ping(OwnerStatus { true, 700ms, 200ms })); // Four turns of 200 ms, beyond the usual limit of 450 ms.
    CHECK(watch.timeout() == 950ms);
    CHECK(ping(OwnerStatus { true, 1300ms, 200ms })); // Longer than the lag explains.
    CHECK_FALSE(ping(OwnerStatus { true, 0ms, 900ms }));
    CHECK(watch.timeout() == 1000ms);
}

TEST_CASE_FIXTURE(Fixture, "a cell that is too slow for each of its owners does not change them again and again")
{
    int unanswered = 0;
    std::uint64_t owner = 5;
    std::vector<int> patience; // Pings without an answer before each change.
    while (owner < 10) {
        while (!watch.due(now))
            now += 10ms;
        ++unanswered;
        if (ping({}, Revision(owner))) {
            patience.push_back(std::exchange(unanswered, 0));
            watch.monitor(Revision(++owner), true, now);
        }
    }
    CHECK(patience == std::vector<int> { 3, 6, 12, 12, 12 });
    now += 15s;
    watch.monitor(Revision(20), true, now);
    now += 16s; // All changes are long past.
    CHECK_FALSE(ping({}, Revision(20)));
    CHECK_FALSE(ping({}, Revision(20)));
    CHECK(ping({}, Revision(20)));
}
