/** @file retry_budget.h Limits on retries, so that they don't add load when targets already fail. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <cstdint>
#include <unordered_map>

namespace sp {

/**
 * Token bucket for each workload: each request adds a part of a token, each retry takes a whole one. Not thread-safe.
 */
class RetryBudget {
public:
    /** Tokens that a bucket holds at most, and at its start: a low rate of requests may still retry now and then. */
    static constexpr double burst = 10;

    void requestSeen(const WorkloadId& workload, std::uint32_t percent);
    bool tryRetry(const WorkloadId& workload, std::uint32_t percent);
    double tokens(const WorkloadId& workload) const;
    void forget(const WorkloadId& workload) { m_tokens.erase(workload); }

private:
    std::unordered_map<WorkloadId, double> m_tokens;
};

/** Bounds of the pause before a retry. */
struct BackoffRange {
    Duration base = std::chrono::milliseconds(10); ///< Longest pause before the first retry.
    Duration cap = std::chrono::seconds(5); ///< Longest pause before any retry.
};

Duration retryDelay(std::uint32_t attempt, std::uint64_t random, const BackoffRange& range = {});

} // namespace sp
