/** @file config_check.h Checks a configuration of the cell before it is sent, and compares it with another version. */
#pragma once

#include "cell_type.h"

#include <string>
#include <vector>

namespace sp {

/** A problem of a configuration. */
struct ConfigFinding {
    enum class Kind : std::uint8_t {
        Error, ///< Requests or jobs would be handled wrongly, or not at all.
        NeverMatches, ///< The entry has no effect, since nothing can select it.
        Contradiction, ///< Two limits exclude each other, so that one of them can't be kept or has no effect.
    };
    Kind kind = Kind::Error;
    std::string entry; ///< Kind and name of the entry, such as `queue checks`.
    std::string problem;

    bool operator==(const ConfigFinding&) const = default;
};

/** One difference between two versions. */
struct ConfigChange {
    std::string entry;
    std::string field; ///< Empty if the whole entry was added or removed.
    std::string before; ///< Empty for an added entry.
    std::string after; ///< Empty for a removed entry.

    bool operator==(const ConfigChange&) const = default;
};

std::vector<ConfigFinding> checkConfig(const CellConfig& config);
std::vector<ConfigChange> diffConfigs(const CellConfig& before, const CellConfig& after);
std::string findingText(const ConfigFinding& finding);
std::string changeText(const ConfigChange& change);

} // namespace sp
