#include "entry_node.h"

#include "fnv_hash_func.h"
#include "log_line.h"
#include "proto/cell.pb.h"

#include <algorithm>
#include <set>

namespace sp {

namespace {

    /** Targets rewrite their entries every 1.5 s; the changes of this time take a few milliseconds to decode. */
    constexpr std::chrono::milliseconds listInterval { 200 };
    constexpr std::chrono::milliseconds pingInterval {
        700
    }; ///< Limits the number of calls and still detects a partition within seconds.
    constexpr std::chrono::milliseconds pingTimeout {
        600
    }; ///< Below the interval, so that each peer has at most one ping in flight.
    /** A sample suffices to notice that this host is cut off, and costs the same in a cell of any size. */
    constexpr std::size_t maxPingedPeers = 12;
    constexpr std::chrono::milliseconds readRetryDelay { 100 }; ///< The store turns a host away for some seconds.
    constexpr int maxFailedReads = 4; ///< Another host may be able to read the records.
    constexpr std::chrono::seconds timeBeforeYield { 2 }; ///< Hosts that restart at one time are members again by then.
    constexpr std::chrono::seconds yieldInterval {
        30
    }; ///< A stronger host that does not claim is not tried again soon.
    constexpr std::chrono::milliseconds claimSuspension {
        5000
    }; ///< Network partitions of a single host last some seconds.
    constexpr std::chrono::milliseconds maxLoopDelay {
        150
    }; ///< An event loop with this delay can't meet deadlines of a second.
    constexpr Duration::rep highLoadPercent = 80; ///< The owner lags behind in a burst of half as much load again.
    constexpr std::chrono::milliseconds maxOverloadTime {
        1500
    }; ///< Longer than any single task that blocks the event loop.
    constexpr std::chrono::milliseconds recentStoreReply {
        200
    }; ///< Below the time that an owner may be without contact to the store.
    constexpr std::chrono::milliseconds adviceCallMargin {
        700
    }; ///< Covers queueing behind another call and the round trip.

    std::chrono::milliseconds ceilMs(std::chrono::microseconds time)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(time);
    }

} // namespace

/** Starts a take-over: reads all records and the list of targets before the owner makes any decision. */
void EntryNode::onCellAcquired(Revision token)
{
    ++m_ownershipEpoch;
    m_cellAcquiredAt = m_hooks.clock();
    m_peers.reset();
    m_nextPingAt = m_cellAcquiredAt;
    m_records = {};
    m_takeOverTargets.reset();
    m_readRetries.clear();
    m_failedReads = 0;
    m_openReads = 2;
    LogLine(LogLevel::Info, "take_over_began").with("token", token);
    readRecords(CellKeys::jobs, {}, m_ownershipEpoch);
    readRecords(CellKeys::specs, {}, m_ownershipEpoch);
    m_nextListAt = m_cellAcquiredAt;
    m_listInFlight = false;
    listTargets(m_cellAcquiredAt);
}

void EntryNode::onCellLost(const std::string& reason)
{
    ++m_ownershipEpoch;
    m_recordLog.end(); // Before the owner ends, since reported outcomes refer to its jobs.
    m_owner.end(reason);
    m_router.begin({});
    m_broker.clear();
    m_readRetries.clear();
    LogLine(LogLevel::Warning, "ownership_lost").with("reason", reason);
}

void EntryNode::readRecords(const std::string& prefix, const std::string& after, std::uint64_t epoch)
{
    StoreRange range;
    range.key = prefix;
    range.prefix = true;
    range.after = after;
    m_hooks.storeCall(StoreRequest(range), recordReadTimeout, [this, prefix, after, epoch](StoreReply&& reply) {
        if (epoch != m_ownershipEpoch)
            return;
        if (reply.status != StoreStatus::Ok) {
            LogLine(LogLevel::Warning, "take_over_read_failed")
                .with("prefix", prefix)
                .with("failures", ++m_failedReads);
            if (m_failedReads < maxFailedReads) {
                m_readRetries.push_back({ m_hooks.clock() + readRetryDelay, prefix, after });
                return;
            }
            m_session.suspendClaims(m_hooks.clock() + claimSuspension);
            m_session.resign("the records can't be read");
            return;
        }
        m_failedReads = 0;
        auto& list = prefix == CellKeys::jobs ? m_records.jobs : m_records.specs;
        std::move(reply.values.begin(), reply.values.end(), std::back_inserter(list));
        if (reply.more && !reply.values.empty()) {
            readRecords(prefix, list.back().key, epoch);
            return;
        }
        --m_openReads;
        beginOwnershipIfLoaded(epoch);
    });
}

/** Repeats the failed reads of a take-over that are due. */
void EntryNode::retryReads(Time now)
{
    for (ReadRetry& retry : std::exchange(m_readRetries, {})) {
        if (retry.at <= now)
            readRecords(retry.prefix, retry.after, m_ownershipEpoch);
        else
            m_readRetries.push_back(std::move(retry));
    }
}

void EntryNode::beginOwnershipIfLoaded(std::uint64_t epoch)
{
    if (epoch != m_ownershipEpoch || m_openReads > 0 || !m_takeOverTargets || !m_config || m_owner.active()
        || !m_session.owning())
        return;
    const Time now = m_hooks.clock();
    const FencingToken token(m_session.owner()->revision.value);
    m_recordLog.begin(m_session.owner()->revision);
    m_router.begin(token);
    m_router.setHosts(m_settings.session.self, m_session.members(), m_takeOverTargets->size());
    m_owner.setConfig(*m_config);
    m_owner.begin(token, std::exchange(m_records, {}), now);
    m_listRegainedAt = now;
    m_owner.targetsListed(m_takeOverTargets, false, now);
    LogLine(LogLevel::Info, "take_over_done").with("token", token).with("took_ms", toMs(now - m_cellAcquiredAt));
}

void EntryNode::listTargets(Time now)
{
    if (m_listInFlight || now < m_nextListAt)
        return;
    m_listInFlight = true;
    m_nextListAt = now + listInterval;
    m_hooks.listTargets([this, epoch = m_ownershipEpoch](TargetList entries) {
        if (epoch != m_ownershipEpoch)
            return;
        const Time at = beginOwnerEvent();
        m_listInFlight = false;
        if (!entries) {
            if (!m_listFailed)
                LogLine(LogLevel::Warning, "target_list_lost").with("open", m_owner.active());
            m_listFailed = true;
            m_nextListAt = at + peerRetryDelay;
            return;
        }
        if (m_listFailed) {
            m_listFailed = false;
            m_listRegainedAt = at;
            LogLine(LogLevel::Info, "target_list_regained").with("entries", entries->size());
        }
        if (m_owner.active()) {
            const bool settled = at - m_listRegainedAt >= m_settings.bounds.listSettled;
            m_owner.targetsListed(entries, settled, at);
        } else {
            m_takeOverTargets = std::move(entries);
            beginOwnershipIfLoaded(epoch);
        }
    });
}

void EntryNode::sendAdvice(const HostId& host, const AdviceQuestion& question, std::uint64_t ticket)
{
    const auto timeout = ceilMs(question.callTime) + adviceCallMargin;
    const auto done = [this, question, ticket, epoch = m_ownershipEpoch](const AdviceReply& reply) {
        if (epoch != m_ownershipEpoch)
            return;
        const Time now = beginOwnerEvent();
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
    m_hooks.callPeer(member->second.address, advicePath, call.SerializeAsString(), timeout + peerRetryDelay,
        [done](HttpResult&& result) {
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

/** Hands the cell over to a much stronger host, if there is one; after an outage any host may have claimed the cell. */
void EntryNode::yieldToStrongerHost(Time now)
{
    if (!m_owner.active() || now - m_cellAcquiredAt < timeBeforeYield || now < m_nextYieldAt
        || !m_session.hasStrongerMember())
        return;
    m_nextYieldAt = now + yieldInterval;
    m_session.resign("a stronger host can own the cell");
}

/** Pings a sample of the members, and resigns if none of them has answered recently. */
void EntryNode::pingPeers(Time now)
{
    const auto& members = m_session.members();
    if (now >= m_nextPingAt) {
        m_nextPingAt = now + pingInterval;
        std::vector<HostId> hosts;
        std::vector<std::pair<std::uint64_t, const CellMember*>> peers;
        for (const auto& [host, member] : members) {
            hosts.push_back(host);
            if (host != m_settings.session.self)
                peers.emplace_back(fnvHash(host.value), &member);
        }
        std::sort(peers.begin(), peers.end());
        peers.resize(std::min(peers.size(), maxPingedPeers));
        std::set<HostId> pinged;
        for (const auto& [rank, peer] : peers) {
            const CellMember& member = *peer;
            const HostId& host = member.host;
            pinged.insert(host);
            m_peers.pingSent(host, now);
            m_hooks.callPeer(member.address, pingPath, {}, pingTimeout, [this, id = host](HttpResult&& result) {
                if (result.complete)
                    m_peers.answerReceived(id, m_hooks.clock());
            });
        }
        if (!members.contains(m_settings.session.self))
            hosts.push_back(m_settings.session.self);
        m_broker.setHosts(hosts);
        m_router.setHosts(m_settings.session.self, members, m_owner.targetCount());
        m_peers.retainIf([&](const HostId& host) { return pinged.contains(host); });
    }
    if (m_peers.isolated(now)) {
        m_session.suspendClaims(now + claimSuspension);
        m_session.resign("no other member answers pings");
    }
}

/** Pings the owner if this host is a standby, and reports the owner as failed if it does not serve. */
void EntryNode::pingOwnerAsStandby(Time now)
{
    const bool standby = m_session.isStandby() && m_session.reachesStore(now);
    m_ownerWatch.monitor(m_session.owner() ? m_session.owner()->revision : Revision {}, standby, now);
    if (!m_ownerWatch.due(now))
        return;
    m_ownerWatch.pingSent(now);
    m_hooks.callPeer(m_session.owner()->address, pingPath, {}, m_ownerWatch.timeout(),
        [this, owner = m_session.owner()->revision](HttpResult&& result) {
            const Time at = m_hooks.clock();
            std::optional<OwnerStatus> ownerStatus;
            proto::PingAnswer answer;
            if (result.complete && result.status == 200 && answer.ParseFromString(result.body))
                ownerStatus = OwnerStatus { answer.owning(), std::chrono::milliseconds(answer.store_silent_ms()),
                    std::chrono::milliseconds(answer.lag_ms()) };
            // If the store does not answer this host either, no claim can succeed.
            const auto reason = m_ownerWatch.handleAnswer(owner, ownerStatus, at);
            if (reason && at - m_session.lastStoreReplyAt() < recentStoreReply)
                m_session.ownerFailed(*reason, at);
        });
}

/** Gives up the cell after an unexpected error, as the owner's state may be inconsistent; the next one restores it. */
void EntryNode::handleCallbackFailure() { m_session.resign("an unexpected error"); }

/** Records a turn of the event loop. Logs the load once a second while this host is the owner, or if it is high. */
void EntryNode::loopTurned(Time began, Time ended)
{
    m_load.turnEnded(began, ended);
    m_turnSeconds.record(ended - began);
    m_lagMicroseconds.set(toUs(m_load.lag()));
    LoopLoadReport report;
    if (!m_load.takeReport(ended, report) || (!m_session.owning() && report.longestTurn < maxLoopDelay))
        return;
    const auto busyPercent = 100 * report.busy / std::max(report.period, Duration(1));
    // Ordinary lines are dropped while there are many of them, which is when this one is needed most.
    LogLine(busyPercent >= highLoadPercent ? LogLevel::Warning : LogLevel::Info, "loop_load")
        .with("owning", m_session.owning())
        .with("lag_ms", toMs(m_load.lag()))
        .with("busy_percent", busyPercent)
        .with("turns", report.turns)
        .with("longest_turn_ms", toMs(report.longestTurn))
        .with("open_jobs", m_owner.openJobCount())
        .with("open_requests", m_open.size())
        .with("owner_tick_ms", toMs(std::exchange(m_ownerTickTime, {})));
}

/**
 * Reports a late iteration of the event loop. The owner resigns if late iterations go on for longer than
 * maxOverloadTime and there is another member.
 * @param late Delay beyond the time at which the iteration was due.
 */
void EntryNode::loopWasLate(std::chrono::milliseconds late, Time now)
{
    if (late < maxLoopDelay)
        return;
    LogLine(LogLevel::Warning, "loop_delayed").with("delay_ms", late.count()).with("owning", m_session.owning());
    if (now - m_lastLateIterationAt > maxOverloadTime)
        m_overloadedSince = now;
    m_lastLateIterationAt = now;
    if (m_session.owning() && now - m_overloadedSince > maxOverloadTime && m_session.members().size() > 1) {
        m_session.suspendClaims(now + claimSuspension);
        m_session.resign("the event loop of this host is overloaded");
    }
}

} // namespace sp
