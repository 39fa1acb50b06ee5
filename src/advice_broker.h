/** @file advice_broker.h Spreads questions to the advisor over the hosts of the cell. */
#pragma once

#include "cell_owner.h"

#include <map>
#include <vector>

namespace sp {

/**
 * The advisor answers one call at a time for each calling host. Questions wait here rather than there, so that urgent
 * ones overtake; and a part of the hosts is kept free of long calls, which would hold up short ones behind them.
 */
class AdviceBroker {
public:
    using Send = std::function<void(const HostId& host, const AdviceQuestion& question, std::uint64_t ticket)>;

    explicit AdviceBroker(Send send);
    void setHosts(const std::vector<HostId>& hosts);
    void ask(const AdviceQuestion& question, Time now);
    void finished(std::uint64_t ticket, bool answered, Time now);
    void tick(Time now);
    void clear();
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Host {
        int open = 0;
        int openLong = 0;
        Time freeAt {}; ///< When the calls under way should have been answered.
        Time avoidUntil {};
        int failures = 0; ///< Questions without an answer since the last answer.
    };
    struct Open {
        HostId host;
        bool isLong = false;
    };

    Host* choose(const AdviceQuestion& question, Time now, HostId& id);
    bool isLong(const AdviceQuestion& question) const;

    const Send m_send;
    std::map<HostId, Host> m_hosts;
    std::vector<AdviceQuestion> m_waiting;
    std::map<std::uint64_t, Open> m_open;
    std::uint64_t m_lastTicket = 0;
};

} // namespace sp
