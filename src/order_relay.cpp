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

void OrderRelay::answer(const HttpListener::Reply& reply, const proto::RelayAnswer& message)
{
    reply({ 200, message.SerializeAsString(), "application/octet-stream", {} });
}

void OrderRelay::answerWaitingCall()
{
    const auto waitingCall = std::exchange(m_waitingCall, std::nullopt);
    answer(waitingCall->reply, m_nextAnswer);
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
        answer(reply, refusal);
        return;
    }
    if (m_token < token) {
        LogLine(LogLevel::Info, "relay_serves").with("token", token).with("before", m_token);
        m_token = token;
        m_nextAnswer.clear_results();
    }
    if (m_waitingCall)
        answerWaitingCall();
    m_waitingCall = WaitingCall { std::move(reply), now + std::chrono::milliseconds(call.wait_ms()) };
    for (const proto::RelayOrder& order : call.orders())
        forwardOrder(order);
    if (m_nextAnswer.results_size() > 0)
        answerWaitingCall();
}

void OrderRelay::forwardOrder(const proto::RelayOrder& order)
{
    const auto decoded = fromProto(order, m_token);
    if (!decoded) {
        LogLine(LogLevel::Error, "relay_order_unknown").with("kind", static_cast<int>(order.kind()));
        auto& result = *m_nextAnswer.add_results();
        result.set_serial(order.serial());
        toProto({ OrderResult::NotSent, {} }, {}, result);
        return;
    }
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
        answerWaitingCall();
}

/** Returns when tick() is due, or nothing while no call waits. */
std::optional<Time> OrderRelay::wakeAt() const
{
    return m_waitingCall ? std::optional(m_waitingCall->until) : std::nullopt;
}

} // namespace sp
