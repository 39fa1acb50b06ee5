/** @file byte_budget.h Budget of bytes for the requests that a process has open on all its listeners. */
#pragma once

#include "time_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sp {

/** Whose requests the bytes belong to. */
enum class ByteUse {
    Callers, ///< Clients from outside, who are not trusted.
    Cell, ///< Other entry hosts, the readiness check and the pages for operators.
};

/** Shares of a budget. */
struct ByteBudgetLimits {
    std::size_t total = 0; ///< Callers are kept out when all hold this much; the cell's own requests may go beyond.
    std::size_t cellReserve = 0; ///< Part that callers can't use.
    std::size_t smallReserve = 0; ///< Part of the callers' share that large bodies can't use.
};

ByteBudgetLimits byteBudgetLimits(std::size_t hostMemory);

/** Counts the bytes that requests hold and decides whether one may hold more. Not thread-safe. */
class ByteBudget {
public:
    static constexpr std::size_t smallBody = 16UL * 1024; ///< Larger bodies count as large.

    explicit ByteBudget(const ByteBudgetLimits& limits)
        : m_limits(limits)
    {
    }
    std::size_t lacking(ByteUse use, std::size_t body, std::size_t more) const;
    bool mayTake(ByteUse use, std::size_t body, std::size_t more) const { return lacking(use, body, more) == 0; }
    void hold(ByteUse use, std::size_t bytes);
    void release(ByteUse use, std::size_t bytes);
    std::size_t held() const { return m_callers + m_cell; }
    std::size_t held(ByteUse use) const { return use == ByteUse::Callers ? m_callers : m_cell; }
    const ByteBudgetLimits& limits() const { return m_limits; }

private:
    const ByteBudgetLimits m_limits;
    std::size_t m_callers = 0;
    std::size_t m_cell = 0;
};

/** A request whose body is still being received. */
struct OpenBody {
    std::size_t bytes = 0; ///< Bytes of the budget that it holds.
    Duration stalled {}; ///< Time since it last made progress.
};

std::vector<std::size_t> bodiesToEnd(const std::vector<OpenBody>& open, std::size_t needed, Duration minStall);

/** A connection that may be closed in favour of a newer one. */
struct OpenConnection {
    bool receiving = false; ///< The body of a request is being received.
    bool served = false; ///< A request on it has been answered.
    Duration quiet {}; ///< Time since it last made progress.
};

std::optional<std::size_t> connectionToEnd(const std::vector<OpenConnection>& open);

} // namespace sp
