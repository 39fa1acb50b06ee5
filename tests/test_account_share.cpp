#include "doctest_main.h"

#include "account_rate.h"
#include "account_share.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

constexpr Resources capacity { 100000, 100000, 0 };

AccountLoad load(double weight, std::int64_t runningCores, std::int64_t waitingCores)
{
    return { weight, { runningCores * 1000, 0, 0 }, { waitingCores * 1000, 0, 0 } };
}

} // namespace

TEST_CASE("room that suffices for all is not divided")
{
    CHECK_FALSE(waterLevel({ load(1, 80, 10), load(1, 10, 0) }, capacity));
    CHECK_FALSE(waterLevel({}, capacity));
    CHECK_FALSE(aboveShare(load(1, 80, 10), capacity, std::nullopt));
}

TEST_CASE("a full service is divided by weight, and what small accounts leave goes to the others")
{
    // 10 of 100 cores for the small account; the rest is divided 1 to 2.
    const std::vector<AccountLoad> loads { load(1, 10, 0), load(1, 60, 100), load(2, 30, 100) };
    const auto level = waterLevel(loads, capacity);
    REQUIRE(level);
    CHECK(*level == doctest::Approx(0.3));
    CHECK_FALSE(aboveShare(loads[0], capacity, level));
    CHECK(aboveShare(loads[1], capacity, level));
    CHECK_FALSE(aboveShare(loads[2], capacity, level));
}

TEST_CASE("the scarcest resource of an account counts")
{
    CHECK(dominantShare({ 10000, 50000, 0 }, capacity) == doctest::Approx(0.5));
    CHECK(dominantShare({ 10000, 0, 3 }, capacity) == doctest::Approx(0.1)); // The service has no accelerators.
    const std::vector<AccountLoad> loads { { 1, { 10000, 60000, 0 }, { 10000, 60000, 0 } }, load(1, 40, 50) };
    const auto level = waterLevel(loads, capacity);
    CHECK(aboveShare(loads[0], capacity, level));
    CHECK_FALSE(aboveShare(loads[1], capacity, level));
}

TEST_CASE("a weight of 0 gives the account next to nothing of a full service")
{
    const std::vector<AccountLoad> loads { load(0, 1, 100), load(1, 90, 100) };
    CHECK(aboveShare(loads[0], capacity, waterLevel(loads, capacity)));
    CHECK_FALSE(aboveShare(loads[1], capacity, waterLevel(loads, capacity)));
}

TEST_CASE("an account may submit its weight of jobs per second, and one second's worth at once")
{
    AccountRates rates;
    rates.setAccounts({ { AccountId("a"), {}, 5, {} }, { AccountId("slow"), {}, 0.5, {} } }, {});
    Time now { 1h };
    int within = 0;
    for (int i = 0; i < 20; ++i)
        within += rates.takeToken(AccountId("a"), now) ? 1 : 0;
    CHECK(within == 5);
    for (int i = 0; i < 100; ++i) { // 10 s at twice the rate.
        now += 100ms;
        within += rates.takeToken(AccountId("a"), now) ? 1 : 0;
    }
    CHECK(within >= 54);
    CHECK(within <= 56);
    CHECK(rates.takeToken(AccountId("slow"), now)); // At least one job, whatever the weight.
    CHECK_FALSE(rates.takeToken(AccountId("slow"), now + 1s));
    CHECK(rates.takeToken(AccountId("slow"), now + 2100ms));
    CHECK(rates.takeToken(AccountId("unknown"), now));
    CHECK(rates.takeToken(AccountId(), now));
}

// A configuration that is applied again and again must not refill the buckets.
TEST_CASE("a new configuration changes the rate and keeps the level")
{
    AccountRates rates;
    rates.setAccounts({ { AccountId("a"), {}, 2, {} } }, {});
    const Time now { 1h };
    CHECK(rates.takeToken(AccountId("a"), now));
    CHECK(rates.takeToken(AccountId("a"), now));
    rates.setAccounts({ { AccountId("a"), {}, 4, {} } }, {});
    CHECK_FALSE(rates.takeToken(AccountId("a"), now));
    CHECK(rates.takeToken(AccountId("a"), now + 250ms));
}

// Without a tolerance, single jobs of an account of one job per second count as a burst.
TEST_CASE("an account may deviate from its rate by the tolerance of the settings")
{
    AccountRates rates;
    rates.setAccounts({ { AccountId("a"), {}, 2, {} } }, { 5s, 20 });
    const Time now { 1h };
    int within = 0;
    for (int i = 0; i < 100; ++i)
        within += rates.takeToken(AccountId("a"), now) ? 1 : 0;
    CHECK(within == 30);
    rates.returnToken(AccountId("a")); // Of a job that was refused.
    CHECK(rates.takeToken(AccountId("a"), now));
    CHECK(rates.takeToken(AccountId("a"), now + 500ms));
    CHECK_FALSE(rates.takeToken(AccountId("a"), now + 500ms));
}
