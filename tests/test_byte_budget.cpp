#include "doctest_main.h"

#include "byte_budget.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::size_t body = 256 * kib; ///< The largest legal one.

} // namespace

// Guards against a budget that refuses single requests on the smallest hosts, or exceeds their memory.
TEST_CASE("each host has room for a legal body, and the budget is a part of its memory")
{
    for (const std::size_t memory : { 16 * mib, 40 * mib, 120 * mib, 512 * mib }) {
        CAPTURE(memory);
        const ByteBudgetLimits limits = byteBudgetLimits(memory);
        CHECK(limits.total <= memory / 4);
        const ByteBudget budget(limits);
        CHECK(budget.mayTake(ByteUse::Callers, body, body));
        CHECK(budget.mayTake(ByteUse::Cell, mib, mib));
    }
}

// Guards against large bodies of callers that leave no room for ordinary requests or for other hosts.
TEST_CASE("large bodies leave room for small requests, and callers leave room for other hosts")
{
    ByteBudget budget({ 1000 * kib, 200 * kib, 100 * kib });
    budget.hold(ByteUse::Callers, 600 * kib);
    CHECK(budget.mayTake(ByteUse::Callers, 100 * kib, 100 * kib));
    CHECK(budget.lacking(ByteUse::Callers, body, 100 * kib + 1) == 1);
    budget.hold(ByteUse::Callers, 100 * kib);
    CHECK_FALSE(budget.mayTake(ByteUse::Callers, 20 * kib, 1));
    CHECK(budget.mayTake(ByteUse::Callers, 16 * kib, 16 * kib));
    budget.hold(ByteUse::Callers, 100 * kib);
    CHECK_FALSE(budget.mayTake(ByteUse::Callers, 1, 1));
    CHECK(budget.mayTake(ByteUse::Cell, 200 * kib, 200 * kib));
    budget.hold(ByteUse::Cell, 500 * kib); // Beyond the reserve, with a full share of callers.
    CHECK(budget.mayTake(ByteUse::Cell, 500 * kib, 500 * kib));
    CHECK_FALSE(budget.mayTake(ByteUse::Cell, 500 * kib, 500 * kib + 1));
    budget.release(ByteUse::Cell, 500 * kib);
    budget.release(ByteUse::Callers, 800 * kib);
    CHECK(budget.held() == 0);
}

TEST_CASE("what other hosts hold beyond their reserve is not given to callers, too")
{
    ByteBudget budget({ 1000 * kib, 200 * kib, 100 * kib });
    budget.hold(ByteUse::Cell, 900 * kib);
    CHECK(budget.mayTake(ByteUse::Callers, 1, 100 * kib));
    CHECK(budget.lacking(ByteUse::Callers, 1, 100 * kib + 1) == 1);
    CHECK_FALSE(budget.mayTake(ByteUse::Callers, body, 1)); // The room that is left is kept for small requests.
}

// Guards against a crowd of stalled uploads that blocks all later ones.
TEST_CASE("the largest body that has made no progress for longest is ended first")
{
    const std::vector<OpenBody> open { { 100, 5s }, { 1000, 5s }, { 1000, 6s }, { 4000, 0s }, { 0, 100s } };
    CHECK(bodiesToEnd(open, 1, 1s) == std::vector<std::size_t> { 2 });
    CHECK(bodiesToEnd(open, 1001, 1s) == std::vector<std::size_t> { 2, 1 });
    CHECK(bodiesToEnd(open, 2100, 1s) == std::vector<std::size_t> { 2, 1, 0 });
}

// Guards against ending uploads in progress for nothing.
TEST_CASE("no body is ended if that would not free enough, or while it makes progress")
{
    const std::vector<OpenBody> open { { 100, 5s }, { 4000, 500ms } };
    CHECK(bodiesToEnd(open, 101, 1s).empty());
    CHECK(bodiesToEnd(open, 4000, 0s) == std::vector<std::size_t> { 1 });
    CHECK(bodiesToEnd({}, 1, 0s).empty());
}

// Guards against a crowd of connections that displaces the kept connections of ordinary clients.
TEST_CASE("connections that were never served are closed first, those that send a body last")
{
    CHECK(connectionToEnd({}) == std::nullopt);
    CHECK(
        connectionToEnd({ { false, true, 9s }, { false, false, 1s }, { false, false, 2s }, { true, false, 9s } }) == 2);
    CHECK(connectionToEnd({ { true, false, 9s }, { false, true, 1s }, { false, true, 2s } }) == 2);
    CHECK(connectionToEnd({ { true, false, 9s }, { true, true, 1s } }) == 0);
}

// Guards against clients that keep all connections open and so lock everybody else out.
TEST_CASE("a new connection is kept in place of an idle one, a crowd of new ones is not")
{
    std::vector<OpenConnection> open(7, { false, true, 5s });
    open[3].quiet = 9s;
    open.push_back({ false, false, 0s });
    CHECK(connectionToEnd(open) == 3);
    const std::vector<OpenConnection> crowd { { false, true, 5s }, { false, false, 100ms }, { false, false, 200ms } };
    CHECK(connectionToEnd(crowd) == 2);
}
