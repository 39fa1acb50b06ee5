/** @file fnv_hash_func.h FNV-1a, the stable hash that all processes use to map ids to shards. */
#pragma once

#include <cstdint>
#include <string_view>

namespace sp {

/**
 * FNV-1a 64 bit hash. Stable across builds and hosts, unlike std::hash.
 * @param text Bytes to hash.
 * @param seed Start value, to chain calls.
 * @return Hash.
 */
constexpr std::uint64_t fnvHash(std::string_view text, std::uint64_t seed = 0xcbf29ce484222325ULL)
{
    std::uint64_t hash = seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

} // namespace sp
