/** @file error_func.h Results of fallible calls where a value, or its absence with a reason, is enough. */
#pragma once

#include "error_type.h"

#include <optional>
#include <type_traits>
#include <utility>

namespace sp {

/**
 * Value of a fallible call. The call is made in here, since the reason of an error is kept only while one waits for it.
 * @param call Returns a leaf::result.
 * @param failed Called with the reason if the call fails.
 * @return Value, nothing after a failure.
 */
template <typename Call, typename Failed> auto valueOr(Call&& call, Failed&& failed)
{
    using Value = std::decay_t<decltype(call().value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, call());
            return std::optional<Value>(std::move(value));
        },
        [&](const ErrorDetail& detail) {
            failed(detail.text);
            return std::optional<Value>();
        },
        [&] {
            failed(std::string("no reason was given"));
            return std::optional<Value>();
        });
}

} // namespace sp
