/** @file order_relay.h Carries orders of the cell's owner on another host to targets and collects their results. */
#pragma once

#include "cell_type.h"
#include "http_listener.h"
#include "proto/cell.pb.h"

#include <optional>

namespace sp {

/**
 * Serves calls of the owner. A call brings orders; its answer brings the results that are there by then, or waits for
 * the first one. Results of orders under a lower token than the highest seen are dropped. Not thread-safe.
 */
class OrderRelay {
public:
    OrderRelay(TargetCall call, std::uint64_t instance);
    void handle(const std::string& body, Time now, HttpListener::Reply reply);
    void tick(Time now);
    std::optional<Time> wakeAt() const;

private:
    struct Parked {
        HttpListener::Reply reply;
        Time until {};
    };

    void carryOut(const proto::RelayOrder& order);
    void answerParked();
    static void answer(const HttpListener::Reply& reply, const proto::RelayAnswer& message);

    const TargetCall m_call;
    const std::uint64_t m_instance;
    FencingToken m_token; ///< Highest seen.
    proto::RelayAnswer m_ready; ///< Results that wait for a call.
    std::optional<Parked> m_parked; ///< Call that waits for a result.
};

} // namespace sp
