#include "core_context.h"
#include "log_func.h"

#include <algorithm>
#include <sstream>

namespace sp {

namespace {

    constexpr std::size_t journalSubjects = 20000; ///< At 60 starts a second this covers more than five minutes.
    constexpr std::size_t notesPerSubject = 32;
    constexpr std::uint32_t maxDepth = 2; ///< From a request to its job to the job's tasks.

} // namespace

/** Entry of a subject, made on first use. @return Null only if the journal is too small to keep the subject. */
DecisionJournal::Subject* DecisionJournal::find(const std::string& subject)
{
    if (m_subjects.try_emplace(subject).second) {
        m_order.push_back(subject);
        if (m_order.size() > journalSubjects) {
            m_subjects.erase(m_order.front());
            m_order.pop_front();
        }
    }
    const auto it = m_subjects.find(subject);
    return it == m_subjects.end() ? nullptr : &it->second;
}

/**
 * Writes a decision to the log and keeps it for explain.
 * @param part Part.
 * @param subject Request, job or task id.
 * @param text Sentence.
 * @param now Present time.
 */
void DecisionJournal::note(LogPart part, const std::string& subject, const std::string& text, Time now)
{
    if (Subject* entry = find(subject); entry && entry->notes.size() < notesPerSubject)
        entry->notes.push_back({ now, part, text });
    logInfo(part, subject + " " + text);
}

/**
 * Makes explain of one subject show another one too, for instance a job's tasks.
 * @param subject Request or job id.
 * @param other Job, run or task id.
 * @param now Present time.
 */
void DecisionJournal::relate(const std::string& subject, const std::string& other, Time now)
{
    Subject* entry = find(subject);
    if (!entry || subject == other || entry->related.size() >= notesPerSubject
        || std::find(entry->related.begin(), entry->related.end(), other) != entry->related.end())
        return;
    if (entry->notes.size() < notesPerSubject)
        entry->notes.push_back({ now, LogPart::Main, "see " + other });
    entry->related.push_back(other);
}

/** All decisions about a subject and its related ones. @param subject Request, job or task id. @return One line each,
 * empty if none is known. */
std::string DecisionJournal::explain(const std::string& subject) const
{
    std::ostringstream out;
    print(out, subject, std::nullopt, 0);
    return out.str();
}

void DecisionJournal::print(
    std::ostream& out, const std::string& subject, std::optional<Time> first, std::uint32_t depth) const
{
    const auto it = m_subjects.find(subject);
    if (it == m_subjects.end() || depth > maxDepth)
        return;
    if (!first && !it->second.notes.empty())
        first = it->second.notes.front().at;
    for (const Note& note : it->second.notes)
        out << '+' << toMs(note.at - *first) << "ms " << subject << ' ' << logPrefix(note.part) << ' ' << note.text
            << '\n';
    for (const std::string& other : it->second.related)
        print(out, other, first, depth + 1);
}

/** @return Text that no other write of the cell carries, to recognise a write whose answer was lost. */
std::string CoreContext::newToken()
{
    return config.self.value + "-" + std::to_string(config.incarnation.value) + "-" + std::to_string(newSequence());
}

/** Calls the store. @param request Call. @param callback Called with the reply. @return Ticket of the call. */
StoreTicket CoreContext::callStore(StoreRequest request, StoreCallback callback)
{
    const StoreTicket ticket(++m_lastTicket);
    if (callback)
        m_callbacks.emplace(ticket, std::move(callback));
    emit(CallStore { ticket, std::move(request) });
    return ticket;
}

/** Passes a reply to the callback of its call. @param reply Reply. @param now Present time. @return False if no
 * callback waits for it. */
bool CoreContext::storeReplied(const StoreReply& reply, Time now)
{
    auto node = m_callbacks.extract(reply.ticket);
    if (node.empty())
        return false;
    node.mapped()(reply, now);
    return true;
}

/** Policy of a workload. @param id Workload. @return Policy, null if the bundle declares no such workload. */
const WorkloadPolicy* CoreContext::workload(const WorkloadId& id) const
{
    if (!bundle)
        return nullptr;
    const auto it = bundle->workloads.find(id);
    return it == bundle->workloads.end() ? nullptr : &it->second;
}

/**
 * Owner of a shard anywhere in the cell: as the store names it, else as the owner itself announces it.
 * @param shard Shard. @param now Present time. @return Host, if one is known.
 */
std::optional<HostId> CoreContext::ownerOf(const ShardId& shard, Time now) const
{
    // While the store is away the owner key lapses with the session, but the hold goes on by promise.
    const HoldLevel level = ownership->level(shard, now);
    if (level != HoldLevel::None && level != HoldLevel::Claiming && level != HoldLevel::Lost)
        return config.self;
    if (const auto it = owners.find(shard); it != owners.end())
        return it->second;
    return membership->announcedOwner(shard, now);
}

/** Whether a request may be forwarded to a peer. @param peer Peer. @param now Present time. @return False if it counts
 * as dead. */
bool CoreContext::isReachable(const HostId& peer, Time now) const { return membership->isReachable(peer, now); }

/** Sends an answer and counts it. @param route Where to. @param message Answer. */
void CoreContext::answer(const ReplyRoute& route, AnswerMessage message)
{
    metrics
        ->counter(
            "sp_answers_total{kind=\"" + std::string(errorInfo(message.error).name) + "\"}", "Answers by error kind.")
        .add();
    emit(SendAnswer { route, std::move(message) });
}

/** Sends an answer that consists of an error. @param route Where to. @param id Request. @param error Kind. @param
 * detail Text for people. */
void CoreContext::refuse(const ReplyRoute& route, const RequestId& id, ErrorKind error, std::string detail)
{
    AnswerMessage message;
    message.id = id;
    message.error = error;
    message.detail = std::move(detail);
    answer(route, std::move(message));
}

/** Whether work that others may know too may start on a shard. @param shard Shard. @param now Present time. @return
 * True at level Store or Promise. */
bool CoreContext::holdsFirmly(const ShardId& shard, Time now) const
{
    const HoldLevel level = ownership->level(shard, now);
    return level == HoldLevel::Store || level == HoldLevel::Promise;
}

/** Condition that makes a write of a superseded owner fail. @param shard Shard. @return Compare of the term counter. */
StoreCompare CoreContext::termCompare(const ShardId& shard) const
{
    return { StoreCompare::Kind::Value, termKey(shard), {}, std::to_string(ownership->term(shard).value) };
}

} // namespace sp
