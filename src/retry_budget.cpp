#include "retry_budget.h"

#include <algorithm>

namespace sp {

/**
 * Counts a first attempt.
 * @param workload Workload.
 * @param percent Retries allowed for each hundred requests, from the bundle.
 */
void RetryBudget::requestSeen(const WorkloadId& workload, std::uint32_t percent)
{
    double& tokens = m_tokens.try_emplace(workload, burst).first->second;
    tokens = std::min(burst, tokens + percent / 100.0);
}

/**
 * Takes a token for a retry.
 * @param workload Workload.
 * @param percent Retries allowed for each hundred requests; 0 forbids all.
 * @return Whether the retry is allowed.
 */
bool RetryBudget::tryRetry(const WorkloadId& workload, std::uint32_t percent)
{
    double& tokens = m_tokens.try_emplace(workload, burst).first->second;
    if (percent == 0 || tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

/** Tokens left. @param workload Workload. @return Tokens, the full bucket for an unknown workload. */
double RetryBudget::tokens(const WorkloadId& workload) const
{
    const auto it = m_tokens.find(workload);
    return it == m_tokens.end() ? burst : it->second;
}

/**
 * Pause before a retry: exponential, with jitter over the upper half, so that callers that failed together come
 * back apart.
 * @param attempt Number of the retry, from 1.
 * @param random Uniform random number.
 * @param range Bounds.
 * @return Pause from half the bound of this attempt up to the whole.
 */
Duration retryDelay(std::uint32_t attempt, std::uint64_t random, const BackoffRange& range)
{
    Duration bound = range.base;
    for (std::uint32_t i = 1; i < attempt && bound < range.cap; ++i)
        bound *= 2;
    bound = std::min(bound, range.cap);
    const Duration half = bound / 2;
    const auto spread = static_cast<std::uint64_t>((bound - half).count()) + 1;
    return half + Duration(static_cast<Duration::rep>(random % spread));
}

} // namespace sp
