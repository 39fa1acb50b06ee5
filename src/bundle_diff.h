/** @file bundle_diff.h What changes in effect between two bundles. */
#pragma once

#include <string>
#include <vector>

namespace sp {

/** One change. */
struct BundleChange {
    /** Kind of change. */
    enum class Kind : unsigned char { SectionAdded, SectionRemoved, Value };
    Kind kind = Kind::Value;
    std::string section; ///< Title of the section.
    std::string key; ///< For Value.
    std::string before; ///< Value with its unit as the earlier bundle gives it or by default.
    std::string after;
    std::string meaning; ///< The key's sentence of the documentation.
};

std::vector<BundleChange> diffBundles(const std::string& before, const std::string& after);
std::string changeText(const BundleChange& change);

} // namespace sp
