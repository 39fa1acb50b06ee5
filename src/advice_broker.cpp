#include "advice_broker.h"

#include <algorithm>

namespace sp {

namespace {

    /** Calls of this duration or longer delay the calls behind them by too much for jobs with short objectives. */
    constexpr std::chrono::milliseconds longCallThreshold { 100 };
    constexpr int maxShortCallsInFlight = 2; ///< Per host; two keep the advisor busy during a network round trip.
    /** One host in this many, rounded up, sends short calls only; none if the cell has a single host. */
    constexpr std::size_t hostsPerShortCallHost = 3;
    constexpr std::chrono::milliseconds hostBackOff { 1500 }; ///< Back-off of a host after a call without an answer.
    constexpr int maxBackOffDoublings = 2; ///< Limits the back-off of a host that repeatedly gets no answer to 6 s.

} // namespace

AdviceBroker::AdviceBroker(Send send)
    : m_send(std::move(send))
{
}

/** Sets the hosts that can send calls to the advisor; hosts that stay in the set keep their state. */
void AdviceBroker::setHosts(const std::vector<HostId>& hosts)
{
    std::map<HostId, Host> updated;
    for (const HostId& id : hosts) {
        const auto it = m_hosts.find(id);
        updated.emplace(id, it == m_hosts.end() ? Host {} : it->second);
    }
    m_hosts = std::move(updated);
}

bool AdviceBroker::isLong(const AdviceQuestion& question) const { return question.callTime >= longCallThreshold; }

/** Adds a question, ordered by priority and then by AdviceQuestion::order, and sends it if a host is free. */
void AdviceBroker::ask(const AdviceQuestion& question, Time now)
{
    const auto precedes = [](const AdviceQuestion& a, const AdviceQuestion& b) {
        return std::tie(a.priority, a.order) < std::tie(b.priority, b.order);
    };
    m_waitingQuestions.insert(
        std::upper_bound(m_waitingQuestions.begin(), m_waitingQuestions.end(), question, precedes), question);
    tick(now);
}

AdviceBroker::Host* AdviceBroker::chooseHost(const AdviceQuestion& question, Time now, HostId& id)
{
    const bool isLongCall = isLong(question);
    const std::size_t shortCallHosts
        = m_hosts.size() > 1 ? (m_hosts.size() + hostsPerShortCallHost - 1) / hostsPerShortCallHost : 0;
    Host* best = nullptr;
    std::size_t index = 0;
    for (auto& [host, state] : m_hosts) {
        const bool shortOnly = index++ < shortCallHosts;
        if (now < state.backOffUntil || (isLongCall && shortOnly))
            continue;
        if (isLongCall ? state.callsInFlight > 0
                       : state.longCallsInFlight > 0 || state.callsInFlight >= maxShortCallsInFlight)
            continue;
        if (!best || state.estimatedIdleAt < best->estimatedIdleAt) {
            best = &state;
            id = host;
        }
    }
    return best;
}

/** Sends waiting questions through free hosts. */
void AdviceBroker::tick(Time now)
{
    for (auto it = m_waitingQuestions.begin(); it != m_waitingQuestions.end();) {
        HostId id;
        Host* host = chooseHost(*it, now, id);
        if (!host) {
            ++it;
            continue;
        }
        const AdviceQuestion question = std::move(*it);
        it = m_waitingQuestions.erase(it);
        ++host->callsInFlight;
        host->longCallsInFlight += isLong(question) ? 1 : 0;
        host->estimatedIdleAt = std::max(host->estimatedIdleAt, now) + question.callTime;
        m_callsInFlight[++m_lastCallId] = { id, isLong(question) };
        m_send(id, question, m_lastCallId);
    }
}

/**
 * Records the end of a call.
 * @param callId Number that was passed to the send function; unknown ones are ignored.
 * @param answered Whether the advisor answered.
 */
void AdviceBroker::finished(std::uint64_t callId, bool answered, Time now)
{
    const auto call = m_callsInFlight.extract(callId);
    if (call.empty())
        return;
    if (const auto it = m_hosts.find(call.mapped().host); it != m_hosts.end()) {
        Host& host = it->second;
        host.callsInFlight = std::max(0, host.callsInFlight - 1);
        host.longCallsInFlight = std::max(0, host.longCallsInFlight - (call.mapped().isLong ? 1 : 0));
        if (answered)
            host.failures = 0;
        else
            host.backOffUntil = now + hostBackOff * (1 << std::min(host.failures++, maxBackOffDoublings));
        if (host.callsInFlight == 0)
            host.estimatedIdleAt = now;
    }
    tick(now);
}

/** Discards all questions, waiting or sent, and resets the state of all hosts. */
void AdviceBroker::clear()
{
    m_waitingQuestions.clear();
    m_callsInFlight.clear();
    for (auto& [id, host] : m_hosts)
        host = {};
}

} // namespace sp
