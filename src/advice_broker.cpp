#include "advice_broker.h"

#include <algorithm>

namespace sp {

namespace {

    /** Calls of this duration or longer delay the calls behind them by too much for jobs with short objectives. */
    constexpr std::chrono::milliseconds longCallThreshold { 100 };
    constexpr int maxShortCallsInFlight = 2; ///< Per host; two keep the advisor busy during a network round trip.
    /** One host in this many sends short calls only; none if the cell has a single host. */
    constexpr std::size_t hostsPerShortCallHost = 5;
    /** With client accounts, one in this many of the other hosts may send short calls while long questions wait. */
    constexpr std::size_t hostsPerSharedHost = 4;
    constexpr std::chrono::milliseconds hostBackOff { 1500 }; ///< Back-off of a host after a call without an answer.
    constexpr int maxBackOffDoublings = 2; ///< Limits the back-off of a host that repeatedly gets no answer to 6 s.
    /** After this many calls that overtake it, the question that has waited longest is sent. */
    constexpr int maxCallsOvertaking = 2;

} // namespace

AdviceBroker::AdviceBroker(AdviceBrokerHooks hooks)
    : m_hooks(std::move(hooks))
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

bool AdviceBroker::isLong(const AdviceQuestion& question) { return question.callTime >= longCallThreshold; }

/** Adds a question, ordered by priority, rank and then by AdviceQuestion::order, and sends it if a host is free. */
void AdviceBroker::ask(const AdviceQuestion& question, Time now)
{
    const auto precedes = [](const AdviceQuestion& added, const WaitingQuestion& waiting) {
        return std::tie(added.priority, added.rank, added.order)
            < std::tie(waiting.question.priority, waiting.question.rank, waiting.question.order);
    };
    m_waitingQuestions.insert(
        std::upper_bound(m_waitingQuestions.begin(), m_waitingQuestions.end(), question, precedes),
        { question, ++m_lastSerial });
    tick(now);
}

/**
 * Returns whether a host sends short calls only.
 * @param index Position of the host in the order of ids. Neighbours tend to be in one data centre and fail together.
 */
bool AdviceBroker::isShortCallHost(std::size_t index) const
{
    return m_hosts.size() > 1 && index % hostsPerShortCallHost == 0;
}

/** Returns whether short calls can do without the hosts that send long ones. */
bool AdviceBroker::hasShortCallHost(Time now) const
{
    std::size_t index = 0;
    return std::any_of(m_hosts.begin(), m_hosts.end(),
        [&](const auto& entry) { return isShortCallHost(index++) && now >= entry.second.backOffUntil; });
}

/** Returns whether the questions come with the order of a cell with client accounts. */
bool AdviceBroker::ranked() const
{
    return !m_waitingQuestions.empty() && m_waitingQuestions.front().question.rank.has_value();
}

/** Returns whether one more of the hosts that are not reserved for short calls may send one while long ones wait. */
bool AdviceBroker::mayShareHost() const
{
    std::size_t index = 0;
    std::size_t others = 0;
    std::size_t shared = 0;
    for (const auto& [host, state] : m_hosts) {
        if (isShortCallHost(index++))
            continue;
        ++others;
        shared += state.callsInFlight > state.longCallsInFlight ? 1 : 0;
    }
    return shared < others / hostsPerSharedHost;
}

/** Returns the host that is expected to be free first among those that may send a call, null if there is none. */
AdviceBroker::Host* AdviceBroker::chooseHost(bool isLongCall, Time now, HostId& id)
{
    // A host with a steady flow of short calls would never be free for a long one.
    const bool shortOnReservedOnly = !isLongCall && hasShortCallHost(now)
        && std::any_of(m_waitingQuestions.begin(), m_waitingQuestions.end(),
            [](const WaitingQuestion& waiting) { return isLong(waiting.question); });
    const bool mayShare = shortOnReservedOnly && ranked() && mayShareHost();
    Host* best = nullptr;
    bool bestShared = false;
    std::size_t index = 0;
    for (auto& [host, state] : m_hosts) {
        const bool shortOnly = isShortCallHost(index++);
        const bool shared = !shortOnly && shortOnReservedOnly;
        if (now < state.backOffUntil || (shortOnly && isLongCall) || (shared && (!mayShare || state.callsInFlight > 0)))
            continue;
        if (isLongCall ? state.callsInFlight > 0
                       : state.longCallsInFlight > 0 || state.callsInFlight >= maxShortCallsInFlight)
            continue;
        const auto place = [now](const Host& candidate, bool isShared) {
            return std::tuple(std::max(candidate.estimatedIdleAt, isShared ? now : Time {}), isShared);
        };
        if (!best || place(state, shared) < place(*best, bestShared)) {
            best = &state;
            bestShared = shared;
            id = host;
        }
    }
    return best;
}

/** Returns the most urgent question of a class, or the one that has waited longest; the end if none waits. */
AdviceBroker::Waiting::iterator AdviceBroker::findQuestion(bool isLongCall, bool oldest)
{
    auto found = m_waitingQuestions.end();
    for (auto it = m_waitingQuestions.begin(); it != m_waitingQuestions.end(); ++it) {
        if (isLong(it->question) != isLongCall)
            continue;
        if (!oldest)
            return it;
        // Under overload, late work would take a third of the advisor's time from work that can still be in time.
        if (it->question.rank && it->question.rank->band > WorkBand::InTimeAboveShare)
            continue;
        if (found == m_waitingQuestions.end() || it->serial < found->serial)
            found = it;
    }
    return found;
}

/** Sends or discards the next question of a class. @return False if none waits or no host is free for it. */
bool AdviceBroker::sendNext(bool isLongCall, Time now)
{
    int& overtaken = m_callsOvertaking.at(isLongCall ? 1 : 0);
    const auto oldest = findQuestion(isLongCall, true);
    const bool oldestDue = overtaken >= maxCallsOvertaking && oldest != m_waitingQuestions.end();
    const auto next = oldestDue ? oldest : findQuestion(isLongCall, false);
    HostId id;
    Host* host = next == m_waitingQuestions.end() ? nullptr : chooseHost(isLongCall, now, id);
    if (!host)
        return false;
    const bool isOldest = next == oldest;
    AdviceQuestion question = std::move(next->question);
    m_waitingQuestions.erase(next);
    if (!m_hooks.refresh(question, now))
        return true;
    overtaken = isOldest ? 0 : overtaken + 1;
    ++host->callsInFlight;
    host->longCallsInFlight += isLongCall ? 1 : 0;
    host->estimatedIdleAt = std::max(host->estimatedIdleAt, now) + question.callTime;
    m_callsInFlight[++m_lastCallId] = { id, isLongCall };
    m_hooks.send(id, question, m_lastCallId);
    return true;
}

/** Sends waiting questions through free hosts. */
void AdviceBroker::tick(Time now)
{
    const bool longFirst = hasShortCallHost(now) && !ranked();
    for (const bool isLongCall : { longFirst, !longFirst }) {
        while (sendNext(isLongCall, now)) { }
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
