/** @file account_rate.h Tells which jobs a client account submits beyond its usual rate. */
#pragma once

#include "cell_type.h"

#include <map>
#include <vector>

namespace sp {

/** Deviations from the mean rate of an account that count as its usual rate. */
struct RateTolerance {
    std::chrono::milliseconds window { 1000 }; ///< An account may submit the jobs of this time at once.
    double jobs = 0; ///< Further jobs; without them single jobs of small accounts count as a burst.
};

/** Token buckets of all client accounts, refilled by the account's weight in jobs per second. */
class AccountRates {
public:
    void setAccounts(const std::vector<ClientAccount>& accounts, const RateTolerance& tolerance);
    bool takeToken(const AccountId& id, Time now);
    void returnToken(const AccountId& id);

private:
    struct Bucket {
        double weight = 1; ///< Jobs per second.
        double tokens = 0;
        Time filledAt {}; ///< Time up to which tokens were added; unset for a full bucket.
    };
    double capacityOf(const Bucket& bucket) const;

    RateTolerance m_tolerance;
    std::map<AccountId, Bucket> m_buckets;
};

} // namespace sp
