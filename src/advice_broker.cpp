#include "advice_broker.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds longCall { 100 }; ///< A wait behind such a call shows in short objectives.
    constexpr int shortCallsOpen = 2; ///< Keeps the advisor busy over one round trip.
    constexpr std::size_t hostsPerReserved = 3; ///< One host of this many takes short calls only.
    constexpr std::chrono::milliseconds avoidTime { 1500 }; ///< A host that did not answer is left alone for a while.
    constexpr int mostDoublings = 2; ///< Of that time, while it goes on not answering.

} // namespace

/** @param send Sends a question through a host; its end goes to finished(). */
AdviceBroker::AdviceBroker(Send send)
    : m_send(std::move(send))
{
}

/** Sets the hosts through which questions can go. @param hosts Hosts. */
void AdviceBroker::setHosts(const std::vector<HostId>& hosts)
{
    std::map<HostId, Host> next;
    for (const HostId& id : hosts) {
        const auto it = m_hosts.find(id);
        next.emplace(id, it == m_hosts.end() ? Host {} : it->second);
    }
    m_hosts = std::move(next);
}

bool AdviceBroker::isLong(const AdviceQuestion& question) const { return question.callTime >= longCall; }

/** Takes a question. @param question Question. @param now Present time. */
void AdviceBroker::ask(const AdviceQuestion& question, Time now)
{
    const auto before = [](const AdviceQuestion& a, const AdviceQuestion& b) {
        return std::tie(a.priority, a.order) < std::tie(b.priority, b.order);
    };
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), question, before), question);
    tick(now);
}

AdviceBroker::Host* AdviceBroker::choose(const AdviceQuestion& question, Time now, HostId& id)
{
    const bool longQuestion = isLong(question);
    const std::size_t reserved = m_hosts.size() > 1 ? (m_hosts.size() + hostsPerReserved - 1) / hostsPerReserved : 0;
    Host* best = nullptr;
    std::size_t index = 0;
    for (auto& [host, state] : m_hosts) {
        const bool shortOnly = index++ < reserved;
        if (now < state.avoidUntil || (longQuestion && shortOnly))
            continue;
        if (longQuestion ? state.open > 0 : state.openLong > 0 || state.open >= shortCallsOpen)
            continue;
        if (!best || state.freeAt < best->freeAt) {
            best = &state;
            id = host;
        }
    }
    return best;
}

/** Sends what waits through the hosts that are free. @param now Present time. */
void AdviceBroker::tick(Time now)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        HostId id;
        Host* host = choose(*it, now, id);
        if (!host) {
            ++it;
            continue;
        }
        const AdviceQuestion question = std::move(*it);
        it = m_waiting.erase(it);
        ++host->open;
        host->openLong += isLong(question) ? 1 : 0;
        host->freeAt = std::max(host->freeAt, now) + question.callTime;
        m_open[++m_lastTicket] = { id, isLong(question) };
        m_send(id, question, m_lastTicket);
    }
}

/** A question has ended. @param ticket As given to send. @param answered Whether it was answered. @param now Time. */
void AdviceBroker::finished(std::uint64_t ticket, bool answered, Time now)
{
    const auto open = m_open.extract(ticket);
    if (open.empty())
        return;
    if (const auto it = m_hosts.find(open.mapped().host); it != m_hosts.end()) {
        Host& host = it->second;
        host.open = std::max(0, host.open - 1);
        host.openLong = std::max(0, host.openLong - (open.mapped().isLong ? 1 : 0));
        if (answered)
            host.failures = 0;
        else
            host.avoidUntil = now + avoidTime * (1 << std::min(host.failures++, mostDoublings));
        if (host.open == 0)
            host.freeAt = now;
    }
    tick(now);
}

/** Forgets all questions. */
void AdviceBroker::clear()
{
    m_waiting.clear();
    m_open.clear();
    for (auto& [id, host] : m_hosts)
        host = {};
}

} // namespace sp
