/** @file order_router.h Which host carries the owner's orders to a target, and the calls to these hosts. */
#pragma once

#include "cell_session.h"
#include "cell_type.h"
#include "http_client.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sp {

/** What the router needs from its surroundings. */
struct OrderRouterHooks {
    TargetCall direct; ///< Calls a target from this host.
    std::function<void(const std::string& address, std::string&& body, std::chrono::milliseconds timeout,
        std::function<void(HttpResult&&)> done)>
        callRelay;
    std::function<Time()> clock;
};

/**
 * Each order costs a call, and a call costs more than the decision behind it. In a large cell the owner therefore hands
 * its orders to the strongest other hosts, many in one call, and gets the results back the same way. An order whose
 * relay fails counts as without an answer if it was handed over; the others go directly. Not thread-safe.
 */
class OrderRouter {
public:
    explicit OrderRouter(OrderRouterHooks hooks);
    void begin(FencingToken token);
    void setHosts(const HostId& self, const std::map<HostId, CellMember>& members, std::size_t targets);
    void send(const TargetRef& target, const TargetOrder& order, TargetReply reply);
    void tick(Time now);
    std::optional<Time> wakeAt() const;
    std::size_t relays() const;

private:
    struct Open {
        TargetRef target;
        TargetOrder order;
        TargetReply reply;
        bool handedOver = false;
        Time answerBy {}; ///< Without a result by then it counts as without an answer.
    };
    struct Relay {
        std::string address;
        std::uint64_t instance = 0; ///< Of the process there; 0 until it has answered.
        std::uint64_t round = 0; ///< Changes when the relay has failed: answers to earlier calls are ignored.
        std::map<std::uint64_t, Open> open; ///< By serial.
        std::vector<std::uint64_t> waiting; ///< Orders that are not handed over yet.
        int calls = 0; ///< Under way, at most two.
        Time calledAt {};
        Time avoidUntil {};
        bool retired = false; ///< Gets no further orders; it is dropped once those it has are done.
    };

    Relay* relayFor(const TargetId& target, Time now);
    void exchange(const HostId& host, Relay& relay, Time now);
    void takeAnswer(const HostId& host, std::uint64_t round, const HttpResult& result, Time now);
    void fail(const HostId& host, Relay& relay, const char* reason, Time now);
    void dropOverdue(Time now);
    bool mayCall(const Relay& relay) const;

    const OrderRouterHooks m_hooks;
    FencingToken m_token;
    std::uint64_t m_round = 0; ///< Changes with begin(); no reply of before is given any more.
    std::uint64_t m_lastRound = 0; ///< Of all relays.
    std::uint64_t m_lastSerial = 0;
    std::map<HostId, Relay> m_relays;
    Time m_checkedAt {};
};

} // namespace sp
