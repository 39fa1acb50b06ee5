#include "gateway/request_table.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds suspectAfter { 1000 }; ///< A silent scheduler gets no new requests.
    constexpr std::chrono::milliseconds deadAfter { 2000 }; ///< Requests sent to a silent scheduler count as lost.
    constexpr std::chrono::milliseconds answerGrace { 2000 }; ///< Travel of an answer that comes at its deadline.
    constexpr std::chrono::milliseconds longestDeadline { 600000 }; ///< Largest default deadline that a bundle may set.
    constexpr std::chrono::milliseconds jobTimeout { 10000 }; ///< A job is accepted with at most two store writes.
    constexpr std::chrono::milliseconds pauseLimit { 500 }; ///< A longer gap between ticks is a pause of this process.

    Time giveUpTime(const LinkMessage& message, Time now)
    {
        if (const auto* prompt = std::get_if<PromptSubmitted>(&message))
            return prompt->deadline.value_or(now + longestDeadline) + answerGrace;
        if (const auto* command = std::get_if<JobCommanded>(&message))
            return now + command->wait + jobTimeout;
        return now + (std::holds_alternative<PromptCancelled>(message) ? answerGrace : jobTimeout);
    }

    AnswerMessage errorAnswer(const RequestId& id, ErrorKind error, std::string detail)
    {
        AnswerMessage answer;
        answer.id = id;
        answer.error = error;
        answer.detail = std::move(detail);
        return answer;
    }

    /** The scheduler certainly did nothing with the request, and another one may take it. */
    bool mayTryElsewhere(const AnswerMessage& answer)
    {
        return answer.error == ErrorKind::NotReady || answer.error == ErrorKind::Draining;
    }

    /** Another scheduler may still know the request that is to be cancelled. */
    bool isInconclusive(const AnswerMessage& answer)
    {
        return answer.error == ErrorKind::NotFound || answer.error == ErrorKind::NoOwner
            || answer.error == ErrorKind::OwnerUnreachable || mayTryElsewhere(answer);
    }

} // namespace

/** Id of a request message. @param message Message. @return Id, empty for other messages. */
RequestId requestIdOf(const LinkMessage& message)
{
    return std::visit(
        [](const auto& typed) {
            if constexpr (requires { RequestId(typed.id); })
                return typed.id;
            else
                return RequestId();
        },
        message);
}

/**
 * @param schedulers Schedulers of the data centre, the preferred one first.
 * @param sender Sends a message to a scheduler.
 */
RequestTable::RequestTable(const std::vector<SchedulerLink>& schedulers, Sender sender)
    : m_sender(std::move(sender))
{
    for (const SchedulerLink& link : schedulers)
        m_schedulers.push_back({ link.host, std::nullopt, {}, false, false });
}

RequestTable::Scheduler* RequestTable::find(const HostId& host)
{
    const auto it = std::find_if(
        m_schedulers.begin(), m_schedulers.end(), [&](const Scheduler& scheduler) { return scheduler.host == host; });
    return it == m_schedulers.end() ? nullptr : &*it;
}

bool RequestTable::usable(const Scheduler& scheduler, Time now)
{
    return scheduler.lastSeen && now - *scheduler.lastSeen < suspectAfter && scheduler.ready && !scheduler.draining;
}

/** The preferred scheduler if it is usable, else the others in turn. */
RequestTable::Scheduler* RequestTable::choose(const Call& call, Time now)
{
    const auto free
        = [&](const Scheduler& scheduler) { return usable(scheduler, now) && !call.tried.contains(scheduler.host); };
    if (m_schedulers.empty())
        return nullptr;
    if (free(m_schedulers.front()))
        return &m_schedulers.front();
    const std::size_t others = m_schedulers.size() - 1;
    for (std::size_t i = 0; i < others; ++i) {
        Scheduler& scheduler = m_schedulers[1 + (m_rotation + i) % others];
        if (free(scheduler)) {
            m_rotation = (m_rotation + i + 1) % others;
            m_failovers.fetch_add(1, std::memory_order_relaxed);
            return &scheduler;
        }
    }
    return nullptr;
}

/** Sends a call to the next scheduler that has not been tried, or ends it. */
void RequestTable::sendOn(const RequestId& id, Time now, Outgoing& outgoing, Finished& finished)
{
    Call& call = m_calls.at(id);
    Scheduler* scheduler = choose(call, now);
    if (!scheduler) {
        AnswerMessage refusal = call.last.id.empty()
            ? errorAnswer(id, ErrorKind::NotReady, "no scheduler of the data centre is ready")
            : std::move(call.last);
        finish(id, std::move(refusal), finished);
        return;
    }
    call.tried.insert(scheduler->host);
    call.asked.insert(scheduler->host);
    outgoing.emplace_back(scheduler->host, call.message);
}

void RequestTable::finish(const RequestId& id, AnswerMessage&& answer, Finished& finished)
{
    const auto it = m_calls.find(id);
    finished.emplace_back(std::move(it->second.done), std::move(answer));
    m_calls.erase(it);
}

void RequestTable::deliver(Outgoing& outgoing, Finished& finished)
{
    for (auto& [host, message] : outgoing)
        m_sender(host, std::move(message));
    for (auto& [done, answer] : finished)
        done(std::move(answer));
}

/**
 * Sends a request to a scheduler.
 * @param id Id of the request, not in use.
 * @param message Request.
 * @param done Called once with the answer, perhaps before this function returns.
 * @param now Present time.
 */
void RequestTable::submit(const RequestId& id, LinkMessage&& message, Completion&& done, Time now)
{
    Outgoing outgoing;
    Finished finished;
    {
        std::lock_guard lock(m_mutex);
        Call& call = m_calls[id];
        call.giveUpAt = giveUpTime(message, now);
        call.everywhere = std::holds_alternative<PromptCancelled>(message);
        call.message = std::move(message);
        call.done = std::move(done);
        if (!call.everywhere) {
            sendOn(id, now, outgoing, finished);
        } else {
            for (const Scheduler& scheduler : m_schedulers) {
                if (!scheduler.lastSeen || now - *scheduler.lastSeen >= deadAfter)
                    continue;
                call.asked.insert(scheduler.host);
                outgoing.emplace_back(scheduler.host, call.message);
            }
            if (call.asked.empty())
                finish(id, errorAnswer(id, ErrorKind::NotReady, "no scheduler of the data centre answers"), finished);
        }
    }
    deliver(outgoing, finished);
}

/**
 * Takes an answer from a scheduler.
 * @param from Scheduler.
 * @param answer Answer.
 * @param now Present time.
 * @return False if no request waits for it.
 */
bool RequestTable::answered(const HostId& from, AnswerMessage&& answer, Time now)
{
    Outgoing outgoing;
    Finished finished;
    {
        std::lock_guard lock(m_mutex);
        const RequestId id = answer.id;
        const auto it = m_calls.find(id);
        if (it == m_calls.end() || it->second.asked.erase(from) == 0) {
            m_lateAnswers.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        Call& call = it->second;
        if (call.everywhere && isInconclusive(answer) && !call.asked.empty())
            return true;
        if (!call.everywhere && mayTryElsewhere(answer)) {
            call.last = std::move(answer);
            sendOn(id, now, outgoing, finished);
        } else {
            finish(id, std::move(answer), finished);
        }
    }
    deliver(outgoing, finished);
    return true;
}

/**
 * A request was certainly not sent; it is tried with the next scheduler.
 * @param to Scheduler that could not be reached.
 * @param id Request.
 * @param now Present time.
 */
void RequestTable::unsent(const HostId& to, const RequestId& id, Time now)
{
    Outgoing outgoing;
    Finished finished;
    {
        std::lock_guard lock(m_mutex);
        const auto it = m_calls.find(id);
        if (it == m_calls.end() || it->second.asked.erase(to) == 0)
            return;
        if (!it->second.everywhere)
            sendOn(id, now, outgoing, finished);
        else if (it->second.asked.empty())
            finish(id, errorAnswer(id, ErrorKind::NotFound, {}), finished);
    }
    deliver(outgoing, finished);
}

void RequestTable::loseCallsTo(const HostId& host, const char* reason, Finished& finished)
{
    std::vector<RequestId> lost;
    for (auto& [id, call] : m_calls) {
        if (call.asked.erase(host) != 0 && call.asked.empty())
            lost.push_back(id);
    }
    for (const RequestId& id : lost) {
        const bool everywhere = m_calls.at(id).everywhere;
        finish(id, errorAnswer(id, everywhere ? ErrorKind::NotFound : ErrorKind::AnswerLost, reason), finished);
    }
}

/**
 * A scheduler has answered a heartbeat.
 * @param host Scheduler.
 * @param incarnation Its incarnation; a change means that it was restarted and has lost its requests.
 * @param ready Whether it takes new work.
 * @param draining Whether it is shutting down.
 * @param now Present time.
 */
void RequestTable::schedulerSeen(const HostId& host, Incarnation incarnation, bool ready, bool draining, Time now)
{
    Outgoing outgoing;
    Finished finished;
    {
        std::lock_guard lock(m_mutex);
        Scheduler* scheduler = find(host);
        if (!scheduler)
            return;
        if (scheduler->incarnation.value != 0 && scheduler->incarnation != incarnation)
            loseCallsTo(host, "the scheduler was restarted", finished);
        scheduler->incarnation = incarnation;
        scheduler->lastSeen = now;
        scheduler->ready = ready;
        scheduler->draining = draining;
    }
    deliver(outgoing, finished);
}

/** Ends calls whose time is over or whose scheduler is dead. @param now Present time. */
void RequestTable::tick(Time now)
{
    Outgoing outgoing;
    Finished finished;
    {
        std::lock_guard lock(m_mutex);
        const Duration gap = m_lastTick ? now - *m_lastTick : Duration(0);
        m_lastTick = now;
        for (Scheduler& scheduler : m_schedulers) {
            if (!scheduler.lastSeen)
                continue;
            // After a pause of this process the answers that wait in the sockets must be read first.
            if (gap > pauseLimit)
                scheduler.lastSeen = *scheduler.lastSeen + gap;
            if (now - *scheduler.lastSeen >= deadAfter)
                loseCallsTo(scheduler.host, "the scheduler does not answer", finished);
        }
        std::vector<RequestId> late;
        for (const auto& [id, call] : m_calls) {
            if (now >= call.giveUpAt)
                late.push_back(id);
        }
        for (const RequestId& id : late) {
            const bool everywhere = m_calls.at(id).everywhere;
            finish(id, errorAnswer(id, everywhere ? ErrorKind::NotFound : ErrorKind::AnswerLost, "no answer in time"),
                finished);
        }
    }
    deliver(outgoing, finished);
}

/** Ends all calls as lost, at the end of the drain time. */
void RequestTable::failAll()
{
    Outgoing outgoing;
    Finished finished;
    {
        std::lock_guard lock(m_mutex);
        while (!m_calls.empty()) {
            const RequestId id = m_calls.begin()->first;
            finish(id, errorAnswer(id, ErrorKind::AnswerLost, "the gateway is shutting down"), finished);
        }
    }
    deliver(outgoing, finished);
}

/** Whether a request could be sent. @param now Present time. @return True if a scheduler is usable. */
bool RequestTable::ready(Time now) const
{
    std::lock_guard lock(m_mutex);
    return std::any_of(
        m_schedulers.begin(), m_schedulers.end(), [&](const Scheduler& scheduler) { return usable(scheduler, now); });
}

/** @return Number of requests in flight. */
std::size_t RequestTable::pending() const
{
    std::lock_guard lock(m_mutex);
    return m_calls.size();
}

} // namespace sp
