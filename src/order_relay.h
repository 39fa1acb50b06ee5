/** @file order_relay.h Forwards orders of an owner on another host to targets and collects their results. */
#pragma once

#include "cell_type.h"
#include "http_listener.h"
#include "proto/cell.pb.h"

#include <optional>

namespace sp {

/**
 * Serves long-poll calls of the owner. A call carries orders; its answer carries the results that are available, or is
 * delayed until there is one. Results of orders with a lower fencing token than the highest seen are discarded. Orders
 * of a call that is read too late are not sent, since the owner has given them up and a target that has restarted
 * meanwhile could not tell that they are old. Not thread-safe.
 */
class OrderRelay {
public:
    OrderRelay(TargetCall call, std::uint64_t instance);
    void handle(const std::string& body, Time now, HttpListener::Reply reply);
    void tick(Time now);
    std::optional<Time> wakeAt() const;

private:
    struct WaitingCall {
        HttpListener::Reply reply;
        Time until {};
    };

    bool mayForward(const proto::RelayCall& call, Time now) const;
    void forwardOrder(const proto::RelayOrder& order, Time sendBefore);
    void rejectOrder(const proto::RelayOrder& order);
    void answerWaitingCall(Time now);
    static void answer(const HttpListener::Reply& reply, proto::RelayAnswer& message, Time now);

    const TargetCall m_call;
    const std::uint64_t m_instance;
    FencingToken m_token; ///< Highest fencing token seen.
    proto::RelayAnswer m_nextAnswer; ///< Answer to the next call, with the results collected so far.
    std::optional<WaitingCall> m_waitingCall; ///< Call whose answer is delayed until there is a result.
};

} // namespace sp
