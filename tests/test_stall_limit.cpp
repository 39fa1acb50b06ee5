#include "doctest_main.h"

#include "stall_limit.h"

using namespace sp;
using namespace std::chrono_literals;

// Guards against LOST: tasks of over 300 s were stopped each 3 s, before they could report a percent.
TEST_CASE("a run may take its estimated time for a percent, and longer after each stall")
{
    CHECK(stallLimit(200ms, 0) == 1s);
    CHECK(stallLimit(2s, 0) == 2s);
    CHECK(stallLimit(54s, 0) == 3s);
    CHECK(stallLimit(54s, 1) == 6s);
    CHECK(stallLimit(54s, 3) == 24s);
    CHECK(stallLimit(54s, 100) == 192s);
    CHECK(stallLimit(432s, 0) == 12960ms); // A percent takes 4.3 s.
}
