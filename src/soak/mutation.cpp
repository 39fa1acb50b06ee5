#include "soak/soak_type.h"

#include <map>

namespace sp::soak {

namespace {

    const std::map<std::string, bool FaultSwitches::*>& switches()
    {
        static const std::map<std::string, bool FaultSwitches::*> all {
            { "ignore_lease_deadline", &FaultSwitches::ignoreLeaseDeadline },
            { "ignore_given_promises", &FaultSwitches::ignoreGivenPromises },
            { "skip_restart_wait", &FaultSwitches::skipRestartWait },
            { "promise_while_claiming", &FaultSwitches::promiseWhileClaiming },
            { "reuse_term", &FaultSwitches::reuseTerm },
            { "take_lost_claim_as_won", &FaultSwitches::takeLostClaimAsWon },
            { "forget_lost_claim", &FaultSwitches::forgetLostClaim },
        };
        return all;
    }

    const std::map<std::string, bool SoakMutations::*>& mutations()
    {
        static const std::map<std::string, bool SoakMutations::*> all {
            { "targets_accept_old_terms", &SoakMutations::targetsAcceptOldTerms },
            { "hide_running_work", &SoakMutations::hideRunningWork },
            { "hide_finished_work", &SoakMutations::hideFinishedWork },
            { "swap_answers", &SoakMutations::swapAnswers },
            { "refuse_after_start", &SoakMutations::refuseAfterStart },
            { "store_ignores_compares", &SoakMutations::storeIgnoresCompares },
            { "drop_run_records", &SoakMutations::dropRunRecords },
            { "hide_leaving", &SoakMutations::hideLeaving },
            { "forget_bundle", &SoakMutations::forgetBundle },
            { "drop_drain", &SoakMutations::dropDrain },
        };
        return all;
    }

} // namespace

/** Breaks one mechanism. @param options Options of the run. @param name Name of the mechanism. @return False if there
 * is none of that name. */
bool breakMechanism(SoakOptions& options, const std::string& name)
{
    if (const auto it = switches().find(name); it != switches().end()) {
        options.switches.*it->second = true;
        return true;
    }
    const auto it = mutations().find(name);
    if (it == mutations().end())
        return false;
    options.mutations.*it->second = true;
    return true;
}

/** @return Names of all mechanisms that can be broken. */
std::vector<std::string> mechanisms()
{
    std::vector<std::string> names;
    for (const auto& [name, field] : switches())
        names.push_back(name);
    for (const auto& [name, field] : mutations())
        names.push_back(name);
    return names;
}

} // namespace sp::soak
