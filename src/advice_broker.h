/** @file advice_broker.h Distributes advisor calls over the hosts of the cell. */
#pragma once

#include "cell_owner.h"

#include <array>
#include <map>
#include <vector>

namespace sp {

/** Functions through which the broker prepares and sends questions. */
struct AdviceBrokerHooks {
    /** Sends a question through a host; its result is reported to AdviceBroker::finished() with the same call number.
     */
    std::function<void(const HostId& host, const AdviceQuestion& question, std::uint64_t callId)> send;
    /** Brings a question up to date just before it is sent; returns false if it has become needless. */
    std::function<bool(AdviceQuestion& question, Time now)> refresh;
};

/**
 * Queues questions for the advisor and selects the host that sends each of them. The advisor processes one call at a
 * time per calling host. Questions are queued here rather than at the advisor, so that those of a higher priority are
 * sent first and each names the targets that have room when it is sent. Some hosts are reserved for short calls, which
 * avoids head-of-line blocking by long ones. Every few calls the question that has waited longest is sent, so that none
 * waits forever while urgent ones keep all hosts busy.
 *
 * With client accounts (AdviceQuestion::rank), the question that has waited longest is looked for among those whose job
 * can still be in time, and some more hosts may send short calls when they are idle.
 */
class AdviceBroker {
public:
    explicit AdviceBroker(AdviceBrokerHooks hooks);
    void setHosts(const std::vector<HostId>& hosts);
    void ask(const AdviceQuestion& question, Time now);
    void finished(std::uint64_t callId, bool answered, Time now);
    void tick(Time now);
    void clear();
    std::size_t waiting() const { return m_waitingQuestions.size(); } ///< Number of questions that wait for a host.

private:
    struct Host {
        int callsInFlight = 0; ///< Number of calls sent through the host and not yet ended, short and long.
        int longCallsInFlight = 0; ///< Number of those for which isLong() is true.
        Time estimatedIdleAt {}; ///< Estimated time at which the calls in progress are answered.
        Time backOffUntil {}; ///< Back-off: no call is sent through the host before this time.
        int failures = 0; ///< Number of consecutive calls without an answer.
    };
    struct CallInFlight {
        HostId host;
        bool isLong = false;
    };
    struct WaitingQuestion {
        AdviceQuestion question;
        std::uint64_t serial = 0; ///< Ascending in the order in which questions were asked.
    };
    using Waiting = std::vector<WaitingQuestion>;

    bool isShortCallHost(std::size_t index) const;
    bool hasShortCallHost(Time now) const;
    bool ranked() const;
    bool mayShareHost() const;
    Host* chooseHost(bool isLongCall, Time now, HostId& id);
    Waiting::iterator findQuestion(bool isLongCall, bool oldest);
    bool sendNext(bool isLongCall, Time now);
    static bool isLong(const AdviceQuestion& question);

    const AdviceBrokerHooks m_hooks;
    std::map<HostId, Host> m_hosts;
    Waiting m_waitingQuestions; ///< By priority, rank and then by AdviceQuestion::order.
    std::map<std::uint64_t, CallInFlight> m_callsInFlight;
    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_lastSerial = 0;
    /** Calls in a row that overtook the question that has waited longest; for short calls and for long ones. */
    std::array<int, 2> m_callsOvertaking {};
};

} // namespace sp
