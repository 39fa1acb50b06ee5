#include "account_share.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr double minWeight = 1e-3; ///< Keeps the share of an account with a weight of 0 finite.

    double weightOf(const AccountLoad& load) { return std::max(load.weight, minWeight); }

} // namespace

/** Returns the largest of the shares of a whole that an amount makes up, over all resources. */
double dominantShare(const Resources& part, const Resources& whole)
{
    const auto fraction = [](std::int64_t amount, std::int64_t all) {
        return all > 0 ? static_cast<double>(amount) / static_cast<double>(all) : 0.0;
    };
    return std::max({ fraction(part.coresMilli, whole.coresMilli), fraction(part.memoryMb, whole.memoryMb),
        fraction(part.accelerators, whole.accelerators) });
}

/**
 * Computes the level up to which a full service can serve all accounts: each gets the smaller of its demand and the
 * level times its weight, and these amounts make up the capacity.
 * @param loads All accounts that have work queued or running.
 * @return Dominant share per weight; nothing if the capacity suffices for all demands, which needs no division.
 */
std::optional<double> waterLevel(const std::vector<AccountLoad>& loads, const Resources& capacity)
{
    struct Demand {
        double share = 0;
        double weight = 1;
    };
    std::vector<Demand> demands;
    double weights = 0;
    double total = 0;
    for (const AccountLoad& load : loads) {
        Resources all = load.running;
        all += load.waiting;
        demands.push_back({ dominantShare(all, capacity), weightOf(load) });
        weights += demands.back().weight;
        total += demands.back().share;
    }
    if (total <= 1)
        return std::nullopt;
    std::sort(demands.begin(), demands.end(),
        [](const Demand& a, const Demand& b) { return a.share / a.weight < b.share / b.weight; });
    double left = 1;
    for (const Demand& demand : demands) {
        if (demand.share / demand.weight * weights >= left)
            break;
        left -= demand.share;
        weights -= demand.weight;
    }
    return weights > 0 ? std::max(left, 0.0) / weights : 0;
}

/** Returns whether an account runs more than its share. @param level Result of waterLevel(). */
bool aboveShare(const AccountLoad& load, const Resources& capacity, std::optional<double> level)
{
    return level && dominantShare(load.running, capacity) / weightOf(load) > *level;
}

} // namespace sp
