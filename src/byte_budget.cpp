#include "byte_budget.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds firstRequestTime { 500 }; ///< A new client has sent its first request by then.
    constexpr std::size_t openPerKeptNew = 4; ///< One in so many connections may be new before they count as a crowd.

    /** The rest is for the program (16 MB), the owner's jobs and targets, and the sockets' buffers in the kernel. */
    constexpr std::size_t memoryPerBudget = 4;
    constexpr std::size_t budgetPerReserve = 4;
    /** Room for one body of 256 KiB beside small requests, and for one call of another host, on the smallest hosts. */
    constexpr std::size_t minBudget = 4UL * 1024 * 1024;

} // namespace

/** Returns the shares for a host. @param hostMemory Memory limit of the host in bytes. */
ByteBudgetLimits byteBudgetLimits(std::size_t hostMemory)
{
    ByteBudgetLimits limits;
    limits.total = std::max(minBudget, hostMemory / memoryPerBudget);
    limits.cellReserve = limits.total / budgetPerReserve;
    limits.smallReserve = (limits.total - limits.cellReserve) / budgetPerReserve;
    return limits;
}

/**
 * Returns how many bytes have to be released before a request may hold more.
 * @param use Whose request it is.
 * @param body Size of its body as far as known, which tells whether it is large.
 * @param more Bytes to be added.
 * @return Number of bytes; 0 if the request may take them now.
 */
std::size_t ByteBudget::lacking(ByteUse use, std::size_t body, std::size_t more) const
{
    const auto excess = [more](std::size_t heldBytes, std::size_t limit) {
        return heldBytes + more > limit ? heldBytes + more - limit : 0;
    };
    if (use == ByteUse::Cell) // Other hosts are trusted; what callers hold must not keep them out.
        return excess(m_cell, m_limits.total);
    const std::size_t limit = m_limits.total - (body > smallBody ? m_limits.smallReserve : 0);
    return std::max(excess(held(), limit), excess(m_callers, limit - m_limits.cellReserve));
}

/** Counts bytes, also beyond the limits. @param use Whose they are. @param bytes Number. */
void ByteBudget::hold(ByteUse use, std::size_t bytes) { (use == ByteUse::Callers ? m_callers : m_cell) += bytes; }

/** Returns bytes to the budget. @param use Whose they were. @param bytes Number, at most what is held. */
void ByteBudget::release(ByteUse use, std::size_t bytes) { (use == ByteUse::Callers ? m_callers : m_cell) -= bytes; }

/**
 * Selects the requests to end so that another one gets room: the product of size and time without progress decides.
 * @param open Requests whose bodies are being received.
 * @param needed Bytes that have to become free.
 * @param minStall Requests that made progress within this time are kept.
 * @return Indices in `open`; empty if even all of them do not hold enough, since ending them would not help.
 */
std::vector<std::size_t> bodiesToEnd(const std::vector<OpenBody>& open, std::size_t needed, Duration minStall)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < open.size(); ++i) {
        if (open[i].bytes > 0 && open[i].stalled >= minStall)
            order.push_back(i);
    }
    const auto rank = [&](std::size_t i) {
        // In whole milliseconds, and one more so that size decides among those that have just made progress.
        return static_cast<double>(open[i].bytes) * static_cast<double>(toMs(open[i].stalled) + 1);
    };
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return rank(a) > rank(b); });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < needed)
        freed += open[order[count++]].bytes;
    if (freed < needed)
        return {};
    order.resize(count);
    return order;
}

/**
 * Selects the connection to close when there are too many: first those on which no request was ever answered, since
 * clients that were served reuse theirs, then idle ones, and last those that send a body; the longest quiet one first.
 * If clients keep all connections open, each new one would be closed before its first request was read; so new ones are
 * kept in place of idle ones unless there are many of them.
 * @param open Connections on which no request is being handled.
 * @return Index in `open`; nothing if it is empty.
 */
std::optional<std::size_t> connectionToEnd(const std::vector<OpenConnection>& open)
{
    if (open.empty())
        return std::nullopt;
    std::vector<std::size_t> indices(open.size());
    std::iota(indices.begin(), indices.end(), 0);
    const auto isNew
        = [](const OpenConnection& connection) { return !connection.served && connection.quiet < firstRequestTime; };
    const auto newOnes = static_cast<std::size_t>(std::count_if(open.begin(), open.end(), isNew));
    const bool keepsNew = newOnes <= open.size() / openPerKeptNew;
    const auto rank = [&](std::size_t i) {
        const OpenConnection& connection = open[i];
        return std::tuple(!connection.receiving, !connection.served && !isNew(connection),
            isNew(connection) != keepsNew, connection.quiet);
    };
    return *std::max_element(
        indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
}

} // namespace sp
