/** @file task_budget.h Limits what the tasks of all open jobs take of a host's memory. */
#pragma once

#include <cstddef>

namespace sp {

std::size_t taskBudget(std::size_t hostMemoryMb);
bool mayHoldTasks(std::size_t tasks, std::size_t held, std::size_t budget);

} // namespace sp
