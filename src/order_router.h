/** @file order_router.h Chooses the host that forwards the owner's orders to a target, and calls these hosts. */
#pragma once

#include "cell_session.h"
#include "cell_type.h"
#include "http_client.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

namespace proto {
    class RelayCall;
}

/** Functions through which the router sends orders. */
struct OrderRouterHooks {
    TargetCall direct; ///< Calls a target from this host.
    std::function<void(const std::string& address, std::string&& body, std::chrono::milliseconds timeout,
        std::function<void(HttpResult&&)> done)>
        callRelay;
    std::function<Time()> clock;
};

/**
 * Sends orders to targets, directly or through relays. Each order needs a call to its target, and the call costs more
 * processor time than the decision to send the order. In a large cell the owner therefore sends its orders in batches
 * to the strongest other hosts, which call the targets and return the results in batches. If a relay fails, orders
 * already sent to it are reported as OrderResult::Lost, and the others are sent directly. Each call names the time, on
 * the relay's clock, from which on its orders are out of date. Not thread-safe.
 */
class OrderRouter {
public:
    explicit OrderRouter(OrderRouterHooks hooks);
    void begin(FencingToken token);
    void setHosts(const HostId& self, const std::map<HostId, CellMember>& members, std::size_t targets);
    void send(const TargetRef& target, const TargetOrder& order, TargetReply reply);
    void tick(Time now);
    void setLag(Duration lag) { m_lag = lag; }
    std::optional<Time> wakeAt() const;
    std::size_t relayCount() const;

private:
    struct PendingOrder {
        TargetRef target;
        TargetOrder order;
        TargetReply reply;
        bool sentToRelay = false;
        Time deadline {}; ///< The order is reported as OrderResult::Lost if it has no result by then.
    };
    struct Relay {
        std::string address;
        std::uint64_t instance = 0; ///< Identifies the relay's process; 0 until its first answer.
        std::optional<std::chrono::milliseconds> clock; ///< Reading of the relay's clock in its last answer.
        Time clockSeenAt {}; ///< Time at which that answer was received.
        std::uint64_t epoch = 0; ///< Changes when the relay fails, so that answers to earlier calls are ignored.
        std::map<std::uint64_t, PendingOrder> pending; ///< Orders without a result, by serial number.
        std::vector<std::uint64_t> unsent; ///< Serial numbers of orders that are not sent yet.
        int callsInFlight = 0; ///< At most two.
        Time lastCallAt {};
        Time avoidUntil {};
        bool retiring = false; ///< The relay gets no new orders and is removed once it has no pending ones.
    };

    Duration lagAllowance() const;
    Relay* relayFor(const TargetId& target, Time now);
    void sendOrders(const HostId& host, Relay& relay, Time now);
    void handleAnswer(const HostId& host, std::uint64_t epoch, const HttpResult& result, Time now);
    void failRelay(const HostId& host, Relay& relay, const char* reason, Time now);
    void expireOrders(Time now);
    void greet(const HostId& host, Relay& relay, Time now);
    void callRelay(
        const HostId& host, Relay& relay, const proto::RelayCall& call, std::chrono::milliseconds answerTime, Time now);
    static bool needsCall(const Relay& relay, Time now);

    const OrderRouterHooks m_hooks;
    FencingToken m_token;
    std::uint64_t m_epoch = 0; ///< Changes with begin(); replies to orders of an earlier epoch are discarded.
    std::uint64_t m_lastRelayEpoch = 0; ///< Last epoch assigned to any relay.
    std::uint64_t m_lastSerial = 0;
    std::map<HostId, Relay> m_relays;
    Duration m_lag {}; ///< Time that an event waits for the event loop of this host.
    Time m_lastExpiryCheckAt {};
};

} // namespace sp
