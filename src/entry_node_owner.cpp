#include "entry_node.h"

#include "log_line.h"
#include "proto/cell.pb.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds listInterval { 700 }; ///< A leaving target is noticed well within its notice.
    constexpr std::chrono::milliseconds pingInterval { 700 }; ///< Few calls, and a cut is seen within some seconds.
    constexpr std::chrono::milliseconds pingTimeout {
        600
    }; ///< Below the interval, so that one ping a peer is under way.
    constexpr std::chrono::milliseconds abstainTime { 5000 }; ///< Cuts of single hosts last some seconds.
    constexpr std::chrono::milliseconds lateLoop { 150 }; ///< A loop this late can't keep deadlines of a second.
    constexpr std::chrono::milliseconds lateFor { 1500 }; ///< Lateness of this duration is no single long task.
    constexpr std::chrono::milliseconds storeHeardLately { 200 }; ///< Below what an owner may go without the store.
    constexpr std::chrono::milliseconds adviceSlack { 700 }; ///< Wait behind another call, and the way.

    std::chrono::milliseconds ceilMs(std::chrono::microseconds time)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(time);
    }

} // namespace

/** The cell was won: everything is read before anything is decided. */
void EntryNode::won(Revision token)
{
    ++m_round;
    m_wonAt = m_hooks.clock();
    m_peers.reset();
    m_pingAt = m_wonAt;
    m_records = {};
    m_firstTargets.reset();
    m_reads = 2;
    LogLine(LogLevel::Info, "take_over_began").with("token", token);
    readRecords(CellKeys::jobs, {}, m_round);
    readRecords(CellKeys::specs, {}, m_round);
    m_listAt = m_wonAt;
    m_listOpen = false;
    listTargets(m_wonAt);
}

void EntryNode::lost(const std::string& reason)
{
    ++m_round;
    m_log.end(); // Before the owner, whose jobs its effects refer to.
    m_owner.end(reason);
    m_router.begin({});
    m_broker.clear();
    m_questions.clear();
    LogLine(LogLevel::Warning, "ownership_lost").with("reason", reason);
}

void EntryNode::readRecords(const std::string& prefix, const std::string& after, std::uint64_t round)
{
    StoreRange range;
    range.key = prefix;
    range.prefix = true;
    range.after = after;
    m_hooks.storeCall(StoreRequest(range), recordTimeout, [this, prefix, after, round](StoreReply&& reply) {
        if (round != m_round)
            return;
        if (reply.status != StoreStatus::Ok) {
            LogLine(LogLevel::Warning, "take_over_read_failed").with("prefix", prefix);
            readRecords(prefix, after, round);
            return;
        }
        auto& list = prefix == CellKeys::jobs ? m_records.jobs : m_records.specs;
        std::move(reply.values.begin(), reply.values.end(), std::back_inserter(list));
        if (reply.more && !reply.values.empty()) {
            readRecords(prefix, list.back().key, round);
            return;
        }
        --m_reads;
        beginIfRead(round);
    });
}

void EntryNode::beginIfRead(std::uint64_t round)
{
    if (round != m_round || m_reads > 0 || !m_firstTargets || !m_config || m_owner.active() || !m_session.owning())
        return;
    const Time now = m_hooks.clock();
    const FencingToken token(m_session.owner()->revision.value);
    m_log.begin(m_session.owner()->revision);
    m_router.begin(token);
    m_router.setHosts(m_settings.session.self, m_session.members(), m_firstTargets->size());
    m_owner.setConfig(*m_config);
    m_owner.begin(token, std::exchange(m_records, {}), now);
    m_listRegainedAt = now;
    m_owner.targetsListed(*m_firstTargets, false, now);
    LogLine(LogLevel::Info, "take_over_done").with("token", token).with("took_ms", toMs(now - m_wonAt));
}

void EntryNode::listTargets(Time now)
{
    if (m_listOpen || now < m_listAt)
        return;
    m_listOpen = true;
    m_listAt = now + listInterval;
    m_hooks.listTargets([this, round = m_round](std::optional<std::vector<TargetEntry>> entries) {
        if (round != m_round)
            return;
        const Time at = m_hooks.clock();
        m_listOpen = false;
        if (!entries) {
            if (!m_listFailed)
                LogLine(LogLevel::Warning, "target_list_lost").with("open", m_owner.active());
            m_listFailed = true;
            m_listAt = at + peerRetry;
            return;
        }
        if (m_listFailed) {
            m_listFailed = false;
            m_listRegainedAt = at;
            LogLine(LogLevel::Info, "target_list_regained").with("entries", entries->size());
        }
        if (m_owner.active()) {
            const bool settled = at - m_listRegainedAt >= m_settings.bounds.listSettled;
            m_owner.targetsListed(*entries, settled, at);
        } else {
            m_firstTargets = std::move(entries);
            beginIfRead(round);
        }
    });
}

void EntryNode::sendAdvice(const HostId& host, const AdviceQuestion& question, std::uint64_t ticket)
{
    const auto timeout = ceilMs(question.callTime) + adviceSlack;
    const auto done = [this, question, ticket, round = m_round](const AdviceReply& reply) {
        if (round != m_round)
            return;
        const Time now = m_hooks.clock();
        m_owner.onAdvice(question, reply, now);
        m_broker.finished(ticket, reply.answered, now);
    };
    const auto member = m_session.members().find(host);
    if (host == m_settings.session.self || member == m_session.members().end()) {
        m_hooks.advise(question, timeout, [done](AdviceReply&& reply) { done(reply); });
        return;
    }
    proto::AdviceCall call;
    call.set_job(question.step.job.value);
    call.set_occurrence(question.step.occurrence);
    call.set_step(question.step.step);
    for (const TargetId& target : question.targets)
        call.add_targets(target.value);
    call.set_timeout_ms(static_cast<std::uint32_t>(timeout.count()));
    m_hooks.callPeer(
        member->second.address, advicePath, call.SerializeAsString(), timeout + peerRetry, [done](HttpResult&& result) {
            AdviceReply reply;
            proto::AdviceAnswer answer;
            if (result.complete && result.status == 200 && answer.ParseFromString(result.body)) {
                reply.answered = answer.answered();
                for (const proto::AdviceTicket& row : answer.allowed())
                    reply.allowed.emplace_back(TargetId(row.target()), row.ticket());
            }
            done(reply);
        });
}

/** An owner that all other members have lost gives the cell up to one of them. */
void EntryNode::checkPeers(Time now)
{
    const auto& members = m_session.members();
    if (now >= m_pingAt) {
        m_pingAt = now + pingInterval;
        std::vector<HostId> hosts;
        for (const auto& [host, member] : members) {
            hosts.push_back(host);
            if (host == m_settings.session.self)
                continue;
            m_peers.asked(host, now);
            m_hooks.callPeer(member.address, pingPath, {}, pingTimeout, [this, id = host](HttpResult&& result) {
                if (result.complete)
                    m_peers.heard(id, m_hooks.clock());
            });
        }
        if (!members.contains(m_settings.session.self))
            hosts.push_back(m_settings.session.self);
        m_broker.setHosts(hosts);
        m_router.setHosts(m_settings.session.self, members, m_owner.targetCount());
        m_peers.keepIf([&](const HostId& host) { return members.contains(host); });
    }
    if (m_peers.isolated(now)) {
        m_session.abstain(now + abstainTime);
        m_session.resign("no other member answers");
    }
}

/** The hosts that are first in line ask the owner whether it serves, and claim the cell if it does not. */
void EntryNode::watchOwner(Time now)
{
    const bool follows = m_session.firstInLine() && m_session.reachesStore(now);
    m_watch.follow(follows ? m_session.owner()->revision : Revision {}, now);
    if (!m_watch.due(now))
        return;
    m_watch.asked(now);
    m_hooks.callPeer(m_session.owner()->address, pingPath, {}, OwnerWatch::timeout,
        [this, owner = m_session.owner()->revision](HttpResult&& result) {
            const Time at = m_hooks.clock();
            std::optional<OwnerSign> sign;
            proto::PingAnswer answer;
            if (result.complete && result.status == 200 && answer.ParseFromString(result.body))
                sign = OwnerSign { answer.owning(), std::chrono::milliseconds(answer.store_silent_ms()) };
            // While the store does not answer this host either, nobody can claim.
            const auto reason = m_watch.answered(owner, sign, at);
            if (reason && at - m_session.storeHeardAt() < storeHeardLately)
                m_session.ownerFailed(*reason, at);
        });
}

/** The event loop came around late: the host is too slow at present. @param late By how much. @param now Time. */
void EntryNode::loopWasLate(std::chrono::milliseconds late, Time now)
{
    if (late < lateLoop)
        return;
    if (now - m_lateLast > lateFor)
        m_lateSince = now;
    m_lateLast = now;
    if (m_session.owning() && now - m_lateSince > lateFor && m_session.members().size() > 1) {
        m_session.abstain(now + abstainTime);
        m_session.resign("this host is too slow");
    }
}

} // namespace sp
