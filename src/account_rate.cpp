#include "account_rate.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr double minBurstJobs = 1; ///< An account of less than one job per second may submit single jobs.

} // namespace

double AccountRates::capacityOf(const Bucket& bucket) const
{
    const double jobs = bucket.weight * std::chrono::duration<double>(m_tolerance.window).count() + m_tolerance.jobs;
    return std::max(minBurstJobs, jobs);
}

/** Sets the weights. Known accounts keep their level; those that were removed keep their weight, as jobs may follow. */
void AccountRates::setAccounts(const std::vector<ClientAccount>& accounts, const RateTolerance& tolerance)
{
    m_tolerance = tolerance;
    for (const ClientAccount& account : accounts)
        m_buckets[account.id].weight = account.weight;
}

/**
 * Counts a job that an account submits.
 * @return False if the account submits beyond its rate. Jobs of no account, and of one that is not configured, have no
 * rate.
 */
bool AccountRates::takeToken(const AccountId& id, Time now)
{
    const auto it = m_buckets.find(id);
    if (it == m_buckets.end())
        return true;
    Bucket& bucket = it->second;
    const double capacity = capacityOf(bucket);
    if (bucket.filledAt == Time {})
        bucket.tokens = capacity;
    else
        bucket.tokens = std::min(
            capacity, bucket.tokens + bucket.weight * std::chrono::duration<double>(now - bucket.filledAt).count());
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

/** Gives back the token of a job that was refused, since its account will submit it again. */
void AccountRates::returnToken(const AccountId& id)
{
    if (const auto it = m_buckets.find(id); it != m_buckets.end())
        it->second.tokens = std::min(capacityOf(it->second), it->second.tokens + 1);
}

} // namespace sp
