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
        watch.monitor(Revision(5), now);
        CHECK_FALSE(watch.due(now)); // A new owner is not pinged during its take-over.
        now += 3s;
    }

    std::optional<std::string> ping(const std::optional<OwnerStatus>& status)
    {
        REQUIRE(watch.due(now));
        watch.pingSent(now);
        CHECK_FALSE(watch.due(now));
        now += OwnerWatch::interval;
        return watch.handleAnswer(Revision(5), status, now);
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
    watch.monitor(Revision(9), now);
    CHECK_FALSE(watch.handleAnswer(Revision(5), OwnerStatus { false, 0ms }, now));
    CHECK_FALSE(watch.due(now));
    watch.monitor({}, now);
    now += 10s;
    CHECK_FALSE(watch.due(now));
    CHECK_FALSE(watch.wakeAt()); // A time in the past would make the event loop spin.
}
