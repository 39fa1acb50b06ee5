/** @file bundle.h Parsing and checking of bundles. */
#pragma once

#include "bundle_type.h"

#include <optional>

namespace sp {

/** A parsed bundle, or everything that is wrong with its text. */
struct BundleParse {
    std::optional<Bundle> bundle; ///< Set if there are no problems.
    std::vector<TextProblem> problems;
};

BundleParse parseBundle(const std::string& text);
std::vector<TextProblem> checkSuccession(const Bundle& earlier, const Bundle& later);
void locateProblems(const std::string& text, std::vector<TextProblem>& problems);
std::string sha256Hex(const std::string& text);

} // namespace sp
