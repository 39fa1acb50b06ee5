#include "doctest_main.h"

#include "room_forecast.h"

using namespace sp;
using namespace std::chrono_literals;

// Tickets of steps that get no room expire unused, and the calls for them were missing to the steps that did.
TEST_CASE("only steps that may find room while a ticket is valid are asked for, in the order of the queue")
{
    RoomForecast full(0, 10); // 25 cores become free within 2.5 s; each step can use a part of them only.
    CHECK(full.take(30, 2500ms));
    CHECK(full.take(30, 2500ms));
    CHECK_FALSE(full.take(30, 2500ms));
    RoomForecast idle(1000, 0);
    for (int i = 0; i < 10; ++i)
        CHECK(idle.take(100, 2500ms));
    RoomForecast stuck(0, 0); // The first step is asked for, whatever the forecast.
    CHECK(stuck.take(10, 2500ms));
    CHECK_FALSE(stuck.take(10, 2500ms));
}

// Guards against LOST: an urgent step that waited for one rack took the room of all others from the steps behind it.
TEST_CASE("a step takes no more room than the targets have that may run it")
{
    RoomForecast forecast(std::vector<RoomPool> { { 64, 0 }, { 3, 6 } });
    CHECK(forecast.take({ 380, 2500ms, 1, { 1 } }));
    CHECK_FALSE(forecast.take({ 10, 2500ms, 1, { 1 } })); // Others that need the same targets find none.
    CHECK(forecast.take({ 10, 2500ms, 1, { 0 } }));
    CHECK(forecast.take(80, 2500ms));
    CHECK(forecast.take(80, 2500ms));
    CHECK_FALSE(forecast.take(80, 2500ms));
}

TEST_CASE("a step whose advisor has denied most targets takes no more room than the others have")
{
    RoomForecast forecast(100, 0);
    CHECK(forecast.take({ 1000, 2500ms, 0.2, {} }));
    CHECK(forecast.take({ 1000, 2500ms, 0.2, {} }));
    CHECK(forecast.take({ 1000, 2500ms, 0.6, {} }));
    CHECK_FALSE(forecast.take(1, 2500ms));
}

TEST_CASE("steps that need targets without room don't keep those that need others from finding it")
{
    RoomForecast forecast(std::vector<RoomPool> { { 0, 0 }, { 10, 0 } });
    for (int i = 0; i < 20; ++i)
        (void)forecast.take({ 100, 2500ms, 1, { 0 } });
    CHECK(forecast.take({ 10, 2500ms, 1, { 1 } }));
    CHECK(forecast.take(4, 2500ms));
}
