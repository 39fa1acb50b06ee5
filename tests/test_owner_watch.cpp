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
        watch.follow(Revision(5), now);
        CHECK_FALSE(watch.due(now)); // A new owner is left alone for a while.
        now += 3s;
    }

    std::optional<std::string> ask(const std::optional<OwnerSign>& sign)
    {
        REQUIRE(watch.due(now));
        watch.asked(now);
        CHECK_FALSE(watch.due(now));
        now += OwnerWatch::interval;
        return watch.answered(Revision(5), sign, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "an owner that serves is left alone")
{
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(ask(OwnerSign { true, 100ms }));
}

TEST_CASE_FIXTURE(Fixture, "three questions in a row without an answer tell that the owner is gone")
{
    CHECK_FALSE(ask({}));
    CHECK_FALSE(ask({}));
    CHECK_FALSE(ask(OwnerSign { true, 0ms }));
    CHECK_FALSE(ask({}));
    CHECK_FALSE(ask({}));
    CHECK(ask({}));
}

TEST_CASE_FIXTURE(Fixture, "an owner that the store does not answer, or that has given up, is replaced")
{
    CHECK_FALSE(ask(OwnerSign { true, 400ms }));
    CHECK(ask(OwnerSign { true, 500ms }));
    CHECK(ask(OwnerSign { false, 0ms }));
}

TEST_CASE_FIXTURE(Fixture, "answers about an earlier owner are ignored")
{
    watch.asked(now);
    CHECK_FALSE(watch.wakeAt());
    watch.follow(Revision(9), now);
    CHECK_FALSE(watch.answered(Revision(5), OwnerSign { false, 0ms }, now));
    CHECK_FALSE(watch.due(now));
    watch.follow({}, now);
    now += 10s;
    CHECK_FALSE(watch.due(now));
    CHECK_FALSE(watch.wakeAt()); // A time in the past would keep the event loop from waiting.
}
