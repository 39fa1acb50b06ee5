/** @file account_share.h Weighted max-min shares of client accounts. Depends on its arguments only. */
#pragma once

#include "resource_type.h"

#include <optional>
#include <vector>

namespace sp {

/** What an account uses of a service and what it would use if it got all that it asks for. */
struct AccountLoad {
    double weight = 1;
    Resources running; ///< Resources of its runs.
    Resources waiting; ///< Resources of its tasks that wait for placement.
};

double dominantShare(const Resources& part, const Resources& whole);
std::optional<double> waterLevel(const std::vector<AccountLoad>& loads, const Resources& capacity);
bool aboveShare(const AccountLoad& load, const Resources& capacity, std::optional<double> level);

} // namespace sp
