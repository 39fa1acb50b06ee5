/** @file advice_broker.h Distributes advisor calls over the hosts of the cell. */
#pragma once

#include "cell_owner.h"

#include <map>
#include <vector>

namespace sp {

/**
 * Queues questions for the advisor and selects the host that sends each of them. The advisor processes one call at a
 * time per calling host. Questions are queued here rather than at the advisor, so that those of a higher priority are
 * sent first. Some hosts are reserved for short calls, which avoids head-of-line blocking by long ones.
 */
class AdviceBroker {
public:
    /** Sends a question through a host; its result is reported to finished() with the same call number. */
    using Send = std::function<void(const HostId& host, const AdviceQuestion& question, std::uint64_t callId)>;

    explicit AdviceBroker(Send send);
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

    Host* chooseHost(const AdviceQuestion& question, Time now, HostId& id);
    bool isLong(const AdviceQuestion& question) const;

    const Send m_send;
    std::map<HostId, Host> m_hosts;
    std::vector<AdviceQuestion> m_waitingQuestions;
    std::map<std::uint64_t, CallInFlight> m_callsInFlight;
    std::uint64_t m_lastCallId = 0;
};

} // namespace sp
