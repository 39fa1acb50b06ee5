/** @file environment_seed.h Numbers from the environment, which select further random scenarios in manual runs. */
#pragma once

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <vector>

namespace sp::test {

/** Reads a number from an environment variable. @param fallback Value if the variable is not set. */
inline std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/** Returns the seeds of random scenarios of a cell: 1 to this count, or CELL_DAYS seeds from CELL_SEED on. */
inline std::vector<unsigned> cellSeeds(unsigned count)
{
    std::vector<unsigned> seeds(numberFromEnvironment("CELL_DAYS", count));
    std::iota(seeds.begin(), seeds.end(), static_cast<unsigned>(numberFromEnvironment("CELL_SEED", 1)));
    return seeds;
}

} // namespace sp::test
