/** @file account_rate.h Tells which jobs a client account submits beyond its usual rate. */
#pragma once

#include "cell_type.h"

#include <map>
#include <vector>

namespace sp {

/** Token buckets of all client accounts, refilled by the account's weight in jobs per second. */
class AccountRates {
public:
    void setAccounts(const std::vector<ClientAccount>& accounts);
    bool takeToken(const AccountId& id, Time now);

private:
    struct Bucket {
        double weight = 1; ///< Jobs per second.
        double tokens = 0;
        Time filledAt {}; ///< Time up to which tokens were added; unset for a full bucket.
    };
    static double capacityOf(const Bucket& bucket);

    std::map<AccountId, Bucket> m_buckets;
};

} // namespace sp
