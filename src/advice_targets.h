/** @file advice_targets.h Chooses the targets that a question to the advisor names. Depends on its arguments only. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sp {

/** What is known of a step's permission to run on a target. */
enum class AdviceKnowledge : std::uint8_t {
    Unknown, ///< The advisor was not asked about the target yet.
    Allowed, ///< The advisor allows the target, but its ticket has expired.
    Valid, ///< There is a ticket that is still valid.
};

/** A target that a question may name. */
struct AdviceCandidate {
    std::uint32_t index = 0; ///< Identifies the target to the caller.
    std::uint32_t fits = 0; ///< Number of tasks of the step that the target has room for.
    AdviceKnowledge knowledge = AdviceKnowledge::Unknown;
    /** Hash that breaks ties, so that steps that become ready together ask about different targets. */
    std::uint64_t rank = 0;
    double weight = 1; ///< Preference for the target; a factor on its room when targets are compared.
};

/** What a question is to achieve. */
struct AdviceDemand {
    std::uint32_t tasks = 0; ///< Tasks that wait for a target.
    double allowedShare = 1; ///< Share of targets that the advisor has allowed recently.
    std::size_t maxTargets = 0; ///< Maximum number of targets in a question.
    bool allTogether = false; ///< The tasks form a gang, which is of no use to place in parts.
};

std::vector<std::uint32_t> chooseAdviceTargets(std::vector<AdviceCandidate> candidates, const AdviceDemand& demand);

} // namespace sp
