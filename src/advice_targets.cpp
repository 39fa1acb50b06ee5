#include "advice_targets.h"

#include <algorithm>
#include <tuple>

namespace sp {

namespace {

    /** Requests more room than needed, as answers vary and other steps are placed meanwhile. */
    constexpr double surplusFactor = 1.7;
    /** Allowed targets to know for each task of a gang, so that some of them have room at the same time. */
    constexpr double gangSurplusFactor = 6;
    /** One target counts for at most 1/spreadParts of the waiting tasks, so that one denial matters little. */
    constexpr std::uint32_t spreadParts = 4;
    /** Lower bound, so that one answer with many denials does not cause requests for all targets. */
    constexpr double minAllowedShare = 0.1;

} // namespace

namespace {

    /**
     * Returns targets with an expired ticket that help to place a whole gang, those with the most room first; nothing
     * if all allowed targets together lack the room. A large gang needs several questions, one after the other.
     */
    std::vector<std::uint32_t> renewalsForGang(std::vector<AdviceCandidate> candidates, const AdviceDemand& demand)
    {
        const double wanted = demand.tasks * surplusFactor;
        double room = 0; ///< Tasks that fit on targets with a valid ticket or in the question.
        double possible = 0; ///< Tasks that fit on all allowed targets.
        for (const AdviceCandidate& candidate : candidates) {
            possible += candidate.knowledge == AdviceKnowledge::Unknown ? 0 : candidate.fits;
            room += candidate.knowledge == AdviceKnowledge::Valid ? candidate.fits : 0;
        }
        std::vector<std::uint32_t> targets;
        if (possible < demand.tasks)
            return targets;
        std::erase_if(candidates, [](const AdviceCandidate& candidate) {
            return candidate.knowledge != AdviceKnowledge::Allowed || candidate.fits == 0;
        });
        std::sort(candidates.begin(), candidates.end(),
            [](const AdviceCandidate& x, const AdviceCandidate& y) { return x.fits > y.fits; });
        for (const AdviceCandidate& candidate : candidates) {
            if (room >= wanted || targets.size() >= demand.maxTargets)
                break;
            room += candidate.fits;
            targets.push_back(candidate.index);
        }
        return targets;
    }

} // namespace

/**
 * Chooses targets with room until they are expected to suffice for the waiting tasks. While there is too little room,
 * adds full targets that the advisor was not asked about, until enough allowed ones are known: the answer stays true,
 * and a call takes little longer for each target more. Room that becomes free on them is then used at once or after a
 * call that names only allowed targets. For a gang, tickets are renewed only once there is room for all its tasks, as
 * the first ones would expire before the last task finds room. Answers a full service whose advisor takes half a second
 * for a call.
 * @param candidates Usable targets that the advisor has not denied, with or without room.
 * @return Indices of the targets to ask about; empty if no answer could help now.
 */
std::vector<std::uint32_t> chooseAdviceTargets(std::vector<AdviceCandidate> candidates, const AdviceDemand& demand)
{
    if (demand.allTogether) {
        if (auto renewals = renewalsForGang(candidates, demand); !renewals.empty())
            return renewals;
    }
    const double share = std::max(demand.allowedShare, minAllowedShare);
    const double wanted = demand.tasks * surplusFactor;
    const std::uint32_t maxPerTarget = (demand.tasks + spreadParts - 1) / spreadParts;
    const auto expectedTasks = [&](const AdviceCandidate& candidate) {
        return std::min(candidate.fits, maxPerTarget) * (candidate.knowledge == AdviceKnowledge::Allowed ? 1.0 : share);
    };
    double expected = 0; ///< Tasks that can be placed on targets with a valid ticket or in the question.
    double allowedTargets = 0; ///< Number of targets that are allowed or, for those in the question, expected to be.
    for (const AdviceCandidate& candidate : candidates) {
        allowedTargets += candidate.knowledge == AdviceKnowledge::Unknown ? 0 : 1;
        expected += candidate.knowledge == AdviceKnowledge::Valid ? candidate.fits : 0;
    }
    std::erase_if(candidates, [&](const AdviceCandidate& candidate) {
        return candidate.knowledge == AdviceKnowledge::Valid
            || (candidate.knowledge == AdviceKnowledge::Allowed && (candidate.fits == 0 || demand.allTogether));
    });
    // Targets whose tickets have expired are allowed for certain; they and those with the most room come first,
    // weighted by the preference for their speed.
    const std::size_t limit = std::min(demand.maxTargets, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(limit), candidates.end(),
        [&](const AdviceCandidate& a, const AdviceCandidate& b) {
            const double expectedA = expectedTasks(a) * a.weight;
            const double expectedB = expectedTasks(b) * b.weight;
            return std::tie(expectedB, b.weight, a.rank) < std::tie(expectedA, a.weight, b.rank);
        });
    const double allowedWanted = demand.tasks * (demand.allTogether ? gangSurplusFactor : 1);
    std::vector<std::uint32_t> targets;
    for (std::size_t i = 0; i < limit && expected < wanted; ++i) {
        const AdviceCandidate& candidate = candidates[i];
        if (candidate.fits == 0 && allowedTargets >= allowedWanted)
            break;
        expected += std::min<double>(expectedTasks(candidate), demand.tasks);
        allowedTargets += candidate.knowledge == AdviceKnowledge::Unknown ? share : 0;
        targets.push_back(candidate.index);
    }
    return targets;
}

} // namespace sp
