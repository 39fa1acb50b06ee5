#include "order_relay.h"

#include "log_line.h"
#include "relay_codec.h"

namespace sp {

/** @param call Sends an order to a target. @param instance Unique for each process, so that a restart is detected. */
OrderRelay::OrderRelay(TargetCall call, std::uint64_t instance)
    : m_call(std::move(call))
    , m_instance(instance)
{
    m_nextAnswer.set_instance(instance);
}

void OrderRelay::answer(const HttpListener::Reply& reply, proto::RelayAnswer& message, Time now)
{
    message.set_clock_ms(toMs(now.time_since_epoch()));
    reply({ 200, message.SerializeAsString(), "application/octet-stream", {} });
}

void OrderRelay::answerWaitingCall(Time now)
{
    const auto waitingCall = std::exchange(m_waitingCall, std::nullopt);
    answer(waitingCall->reply, m_nextAnswer, now);
    m_nextAnswer.clear_results();
}

/**
 * Handles a call of an owner.
 * @param body Serialized RelayCall.
 * @param reply Called once, with status 400 if the body can't be parsed.
 */
void OrderRelay::handle(const std::string& body, Time now, HttpListener::Reply reply)
{
    proto::RelayCall call;
    if (!call.ParseFromString(body)) {
        LogLine(LogLevel::Warning, "relay_call_unreadable").with("bytes", body.size());
        reply({ 400, {}, "application/octet-stream", {} });
        return;
    }
    const FencingToken token(call.token());
    if (token < m_token) {
        LogLine(LogLevel::Warning, "relay_call_outdated").with("token", token).with("highest", m_token);
        proto::RelayAnswer refusal;
        refusal.set_instance(m_instance);
        refusal.set_superseded(true);
        answer(reply, refusal, now);
        return;
    }
    if (m_token < token) {
        LogLine(LogLevel::Info, "relay_serves").with("token", token).with("before", m_token);
        m_token = token;
        m_nextAnswer.clear_results();
    }
    if (m_waitingCall)
        answerWaitingCall(now);
    m_waitingCall = WaitingCall { std::move(reply), now + std::chrono::milliseconds(call.wait_ms()) };
    const Time sendBefore
        = call.has_send_before_ms() ? Time(std::chrono::milliseconds(call.send_before_ms())) : Time {};
    const bool current = mayForward(call, now);
    for (const proto::RelayOrder& order : call.orders()) {
        if (current)
            forwardOrder(order, sendBefore);
        else
            rejectOrder(order);
    }
    if (m_nextAnswer.results_size() > 0)
        answerWaitingCall(now);
}

/** Returns whether the orders of a call are meant for this process and are recent enough to be sent. */
bool OrderRelay::mayForward(const proto::RelayCall& call, Time now) const
{
    const std::int64_t clock = toMs(now.time_since_epoch());
    const bool otherInstance = call.instance() != 0 && call.instance() != m_instance;
    const bool tooLate = call.has_send_before_ms() && clock >= call.send_before_ms();
    if ((otherInstance || tooLate) && call.orders_size() > 0)
        LogLine(LogLevel::Warning, "relay_call_outdated")
            .with("token", m_token)
            .with("orders", call.orders_size())
            .with("reason", otherInstance ? "meant for an earlier process" : "read too late")
            .with("late_ms", tooLate ? clock - call.send_before_ms() : 0);
    return !otherInstance && !tooLate;
}

void OrderRelay::rejectOrder(const proto::RelayOrder& order)
{
    auto& result = *m_nextAnswer.add_results();
    result.set_serial(order.serial());
    toProto({ OrderResult::NotSent, {} }, {}, result);
}

void OrderRelay::forwardOrder(const proto::RelayOrder& order, Time sendBefore)
{
    auto decoded = fromProto(order, m_token);
    if (!decoded) {
        LogLine(LogLevel::Error, "relay_order_unknown").with("kind", static_cast<int>(order.kind()));
        rejectOrder(order);
        return;
    }
    decoded->first.sendBefore = sendBefore;
    m_call(decoded->first, decoded->second,
        [this, serial = order.serial(), token = m_token](const OrderAnswer& answer, const RunReport& report) {
            if (token != m_token)
                return;
            auto& result = *m_nextAnswer.add_results();
            result.set_serial(serial);
            toProto(answer, report, result);
        });
}

/** Answers the waiting call if there are results or its wait time is over. */
void OrderRelay::tick(Time now)
{
    if (m_waitingCall && (m_nextAnswer.results_size() > 0 || now >= m_waitingCall->until))
        answerWaitingCall(now);
}

/** Returns when tick() is due, or nothing while no call waits. */
std::optional<Time> OrderRelay::wakeAt() const
{
    return m_waitingCall ? std::optional(m_waitingCall->until) : std::nullopt;
}

} // namespace sp
