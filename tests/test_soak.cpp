#include "doctest_main.h"

#include "soak/soak_type.h"

using namespace sp::soak;

namespace {

SoakResult run(std::uint64_t seed, std::uint64_t steps, bool wholeCore, const char* broken = nullptr)
{
    SoakOptions options;
    options.seed = seed;
    options.steps = steps;
    options.wholeCore = wholeCore;
    if (broken)
        REQUIRE(breakMechanism(options, broken));
    return runSoak(options);
}

constexpr std::uint64_t mutationSeeds = 24; ///< Any change of the core changes the traces, so one seed proves little.

/** A broken mechanism must be noticed through the invariant that it guards, within a fixed list of seeds. */
void checkNoticed(const char* broken, std::uint64_t steps, const std::string& invariant)
{
    std::string seen;
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        const SoakResult result = run(seed, steps, true, broken);
        if (result.failure.starts_with(invariant))
            return;
        if (result.failed)
            seen += "seed " + std::to_string(seed) + ": " + result.failure + "\n";
    }
    FAIL_CHECK("the broken mechanism " << broken << " was not noticed through " << invariant << "; seen:\n" << seen);
}

} // namespace

// Guards against two firm owners of a shard under combined faults, and against a shard without an owner afterwards.
TEST_CASE("ownership and membership hold their invariants")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const SoakResult result = run(seed, 50000, false);
        CHECK_MESSAGE(!result.failed, result.failure);
    }
}

// Guards against a violation of I1 to I8 by the whole core under combined faults.
TEST_CASE("the whole core holds its invariants")
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const SoakResult result = run(seed, 4000, true);
        CHECK_MESSAGE(!result.failed, result.failure);
    }
}

// Guards against a failure that can't be reproduced from its seed.
TEST_CASE("the same seed gives the same trace")
{
    const SoakResult first = run(7, 2000, true);
    const SoakResult second = run(7, 2000, true);
    CHECK(first.traceHash == second.traceHash);
    CHECK(first.figures == second.figures);
    CHECK(run(8, 2000, true).traceHash != first.traceHash);
}

// Guards against checks that can't fail.
TEST_CASE("each broken mechanism is noticed")
{
    checkNoticed("hide_running_work", 4000, "I1");
    checkNoticed("ignore_lease_deadline", 4000, "I2");
    checkNoticed("targets_accept_old_terms", 4000, "I2");
    checkNoticed("store_ignores_compares", 4000, "I2");
    checkNoticed("swap_answers", 4000, "I3");
    checkNoticed("refuse_after_start", 4000, "I4");
    checkNoticed("hide_finished_work", 4000, "liveness");
    checkNoticed("drop_run_records", 4000, "I5");
    checkNoticed("drop_drain", 10500, "I7");
    checkNoticed("hide_leaving", 4000, "I6");
    checkNoticed("forget_bundle", 4000, "I8");
}
