/** @file request_table.h Requests in flight at a gateway, and the choice of the scheduler for each. */
#pragma once

#include "message_codec.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/**
 * Matches answers to requests by request id. A request that has been handed to a connection is never sent again: if its
 * scheduler dies, the outcome is unknown. One that was certainly not sent, or that its scheduler answered with
 * `not_ready` or `draining`, is tried once with each other scheduler. Safe for several threads; hooks are called
 * without the lock held.
 */
class RequestTable {
public:
    using Completion = std::function<void(AnswerMessage&&)>;
    using Sender = std::function<void(const HostId& to, LinkMessage&& message)>;

    RequestTable(const std::vector<SchedulerLink>& schedulers, Sender sender);
    void submit(const RequestId& id, LinkMessage&& message, Completion&& done, Time now);
    bool answered(const HostId& from, AnswerMessage&& answer, Time now);
    void unsent(const HostId& to, const RequestId& id, Time now);
    void schedulerSeen(const HostId& host, Incarnation incarnation, bool ready, bool draining, Time now);
    void tick(Time now);
    void failAll();
    bool ready(Time now) const;
    std::size_t pending() const;
    std::uint64_t lateAnswers() const { return m_lateAnswers.load(std::memory_order_relaxed); }
    std::uint64_t failovers() const { return m_failovers.load(std::memory_order_relaxed); }

private:
    struct Scheduler {
        HostId host;
        std::optional<Time> lastSeen;
        Incarnation incarnation;
        bool ready = false;
        bool draining = false;
    };
    struct Call {
        LinkMessage message;
        Completion done;
        std::set<HostId> asked; ///< Schedulers whose answer is awaited.
        std::set<HostId> tried; ///< Schedulers that got it or could not get it.
        bool everywhere = false; ///< Goes to all schedulers; the first conclusive answer counts.
        Time giveUpAt {}; ///< Without an answer by then it counts as lost.
        AnswerMessage last; ///< Last refusal, for the case that no scheduler is left.
    };
    using Finished = std::vector<std::pair<Completion, AnswerMessage>>;
    using Outgoing = std::vector<std::pair<HostId, LinkMessage>>;

    Scheduler* find(const HostId& host);
    Scheduler* choose(const Call& call, Time now);
    static bool usable(const Scheduler& scheduler, Time now);
    void sendOn(const RequestId& id, Time now, Outgoing& outgoing, Finished& finished);
    void finish(const RequestId& id, AnswerMessage&& answer, Finished& finished);
    void loseCallsTo(const HostId& host, const char* reason, Finished& finished);
    void deliver(Outgoing& outgoing, Finished& finished);

    const Sender m_sender;
    mutable std::mutex m_mutex;
    std::vector<Scheduler> m_schedulers; ///< The preferred one first.
    std::unordered_map<RequestId, Call> m_calls;
    std::size_t m_rotation = 0;
    std::optional<Time> m_lastTick;
    std::atomic<std::uint64_t> m_lateAnswers { 0 };
    std::atomic<std::uint64_t> m_failovers { 0 };
};

RequestId requestIdOf(const LinkMessage& message);

} // namespace sp
