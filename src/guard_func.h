/** @file guard_func.h Keeps an unexpected exception in one callback from ending the process. */
#pragma once

#include <cstdint>
#include <functional>

namespace sp {

bool runGuarded(const char* part, const std::function<void()>& callback);
std::uint64_t callbackFailures();

} // namespace sp
