/** @file relay_codec.h Converts orders to targets and their results to and from the messages between entry hosts. */
#pragma once

#include "cell_type.h"

#include <optional>
#include <utility>

namespace sp {

namespace proto {
    class RelayOrder;
    class RelayResult;
}

void toProto(const TargetRef& target, const TargetOrder& order, proto::RelayOrder& out);
std::optional<std::pair<TargetRef, TargetOrder>> fromProto(const proto::RelayOrder& in, FencingToken token);
void toProto(const OrderAnswer& answer, const RunReport& report, proto::RelayResult& out);
std::optional<std::pair<OrderAnswer, RunReport>> fromProto(const proto::RelayResult& in);

} // namespace sp
