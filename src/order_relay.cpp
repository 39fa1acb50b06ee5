#include "order_relay.h"

#include "log_line.h"
#include "relay_codec.h"

namespace sp {

/** @param call Reaches targets. @param instance Distinguishes this process from earlier ones of the host. */
OrderRelay::OrderRelay(TargetCall call, std::uint64_t instance)
    : m_call(std::move(call))
    , m_instance(instance)
{
    m_ready.set_instance(instance);
}

void OrderRelay::answer(const HttpListener::Reply& reply, const proto::RelayAnswer& message)
{
    reply({ 200, message.SerializeAsString(), "application/octet-stream", {} });
}

void OrderRelay::answerParked()
{
    const auto parked = std::exchange(m_parked, std::nullopt);
    answer(parked->reply, m_ready);
    m_ready.clear_results();
}

/**
 * Takes a call of an owner.
 * @param body Message.
 * @param now Present time.
 * @param reply Called once, with status 400 for a body that can't be read.
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
        m_ready.clear_results();
    }
    if (m_parked)
        answerParked();
    m_parked = Parked { std::move(reply), now + std::chrono::milliseconds(call.wait_ms()) };
    for (const proto::RelayOrder& order : call.orders())
        carryOut(order);
    if (m_ready.results_size() > 0)
        answerParked();
}

void OrderRelay::carryOut(const proto::RelayOrder& order)
{
    const auto read = fromProto(order, m_token);
    if (!read) {
        LogLine(LogLevel::Error, "relay_order_unknown").with("kind", static_cast<int>(order.kind()));
        auto& result = *m_ready.add_results();
        result.set_serial(order.serial());
        toProto({ OrderResult::NotSent, {} }, {}, result);
        return;
    }
    m_call(read->first, read->second,
        [this, serial = order.serial(), token = m_token](const OrderAnswer& answer, const RunReport& report) {
            if (token != m_token)
                return;
            auto& result = *m_ready.add_results();
            result.set_serial(serial);
            toProto(answer, report, result);
        });
}

/** Answers the call that waits, if there are results or it has waited long enough. @param now Present time. */
void OrderRelay::tick(Time now)
{
    if (m_parked && (m_ready.results_size() > 0 || now >= m_parked->until))
        answerParked();
}

/** When tick() is due. @return Time, nothing while no call waits. */
std::optional<Time> OrderRelay::wakeAt() const { return m_parked ? std::optional(m_parked->until) : std::nullopt; }

} // namespace sp
