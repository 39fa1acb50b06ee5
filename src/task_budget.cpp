#include "task_budget.h"

#include <algorithm>

namespace sp {

namespace {

    /** The state of a task, and its share of what is kept while records are read or written. */
    constexpr std::size_t bytesPerTask = 256;
    /** Hosts of a fleet differ, and one with so little memory may have to take the cell over. */
    constexpr std::size_t smallestHostMb = 128;
    constexpr std::size_t memoryDivisor = 4; ///< The rest is for requests, connections and the program itself.
    /** A job may take this part of what is left, so that room for smaller ones remains, however many large ones come.
     */
    constexpr std::size_t partOfRest = 4;

} // namespace

/** Returns how many tasks a host may hold. @param hostMemoryMb Memory of the host in MB (2^20 bytes). */
std::size_t taskBudget(std::size_t hostMemoryMb)
{
    return (std::min(hostMemoryMb, smallestHostMb) << 20U) / memoryDivisor / bytesPerTask;
}

/**
 * Returns whether one more job may be accepted.
 * @param tasks Tasks that the job will hold at once.
 * @param held Tasks of all open jobs.
 * @param budget Tasks that the host may hold.
 */
bool mayHoldTasks(std::size_t tasks, std::size_t held, std::size_t budget)
{
    return held < budget && tasks <= (budget - held) / partOfRest;
}

} // namespace sp
