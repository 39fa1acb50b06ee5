/** @file prompt_targets.cpp The part of PromptService that follows instances, holds and time. */
#include "prompt_service.h"

#include <algorithm>

namespace sp {

namespace {

    constexpr std::chrono::seconds recentMemory { 5 }; ///< Longer than two reports are apart.
    constexpr std::size_t keyMemoryEntries = 100000;
    constexpr std::chrono::minutes keyMemory { 10 };

} // namespace

/** Takes a report of an instance. @param report Report. @param now Present time. */
void PromptService::reported(const TargetReported& report, Time now)
{
    auto it = m_shards.find(report.shard);
    if (it == m_shards.end() || report.term != m_context.ownership->term(report.shard))
        return;
    Shard& shard = it->second;
    if (report.silent) {
        shard.pool.setUsable(report.target, false);
        return;
    }
    if (report.leaving)
        shard.pool.setLeaving(report.target);
    std::set<RequestId>& foreign = shard.foreign[report.target];
    std::set<RequestId> running;
    for (const RequestId& id : report.runningRequests) {
        running.insert(id);
        if (!m_requests.contains(id) && !m_recent.contains(id) && !m_lost.contains(id) && foreign.insert(id).second)
            shard.pool.occupy(report.target, id);
    }
    for (auto id = foreign.begin(); id != foreign.end();) {
        if (running.contains(*id)) {
            ++id;
            continue;
        }
        shard.pool.confirmNotRunning(*id, now);
        id = foreign.erase(id);
    }
    for (auto lost = m_lost.begin(); lost != m_lost.end();) {
        const bool here = shard.pool.targetOf(lost->first) == report.target;
        if (!here || running.contains(lost->first) || report.sentAt <= lost->second) {
            ++lost;
            continue;
        }
        shard.pool.confirmNotRunning(lost->first, now);
        if (lost->first.value.starts_with("k-"))
            m_keys.erase(lost->first.value.substr(2));
        lost = m_lost.erase(lost);
    }
    shard.answered[report.target] = report.sentAt;
    shard.complete = shard.complete || allAnswered(report.shard);
    shard.pool.setUsable(report.target, true);
    dispatch(report.shard, now);
}

/** Takes an entry of the host list. @param entry Instance. @param now Present time. */
void PromptService::targetChanged(const HostEntry& entry, Time now)
{
    (void)now;
    if (!m_context.bundle || entry.kind != TargetKind::Instance)
        return;
    const ShardId shardId = shardOfTarget(entry, m_context.bundle->cell);
    auto it = m_shards.find(shardId);
    if (it == m_shards.end() || !it->second.owned)
        return;
    it->second.pool.putInstance(entry.instance);
    if (entry.state == TargetState::Leaving)
        it->second.pool.setLeaving(entry.id());
    m_context.emit(FollowTarget { entry.id(), entry.address(), shardId, m_context.ownership->term(shardId) });
}

/** Takes the removal of a target from the host list. @param target Target. @param now Present time. */
void PromptService::targetRemoved(const TargetId& target, Time now)
{
    (void)now;
    for (auto& [id, shard] : m_shards) {
        shard.pool.removeInstance(target);
        shard.foreign.erase(target);
        shard.answered.erase(target);
    }
}

/** Takes a change of a hold. @param change Change of a slot shard. @param now Present time. */
void PromptService::holdChanged(const HoldChange& change, Time now)
{
    if (kindOfShard(change.shard) != TargetKind::Instance)
        return;
    const bool gained = change.from == HoldLevel::Claiming && change.to == HoldLevel::Recovering;
    const bool lost = change.to == HoldLevel::None || change.to == HoldLevel::Lost;
    Shard& shard = m_shards[change.shard];
    if (gained) {
        shard = Shard();
        shard.owned = true;
        shard.gainedAt = now;
        shard.pool.applyPolicy(*m_context.bundle);
        for (const auto& [id, entry] : m_context.hosts) {
            if (entry.dataCentre() == m_context.config.dataCentre && entry.kind == TargetKind::Instance
                && shardOfTarget(entry, m_context.bundle->cell) == change.shard)
                targetChanged(entry, now);
        }
        // Calls that an earlier hold of this process left in flight still take their slots.
        for (const auto& [runId, request] : m_requests) {
            if (request.shard == change.shard && request.call.value)
                shard.pool.occupy(request.target, runId);
        }
        // Lost calls of the earlier hold show up in the reports as foreign requests if they still run.
        m_lost.clear();
        std::erase_if(m_keys, [&](const auto& entry) {
            return !entry.second.answer && !m_requests.contains(entry.second.runId)
                && entry.second.shard == change.shard;
        });
    } else if (lost && shard.owned) {
        shard.owned = false;
        for (const auto& [id, entry] : m_context.hosts) {
            if (entry.kind == TargetKind::Instance && entry.dataCentre() == m_context.config.dataCentre
                && shardOfTarget(entry, m_context.bundle->cell) == change.shard)
                m_context.emit(UnfollowTarget { id });
        }
        std::vector<RequestId> waiting;
        for (const auto& [runId, request] : m_requests) {
            if (request.shard == change.shard && !request.call.value && shard.pool.cancelQueued(runId))
                waiting.push_back(runId);
        }
        for (const RequestId& runId : waiting) {
            AnswerMessage answer;
            answer.error = ErrorKind::NoOwner;
            answer.detail = "the hold on shard " + change.shard.value + " was lost";
            finish(runId, std::move(answer), now);
        }
    }
}

/** Passes the announced load of a peer's shard to the selector. */
void PromptService::loadReported(
    const HostId& owner, const ShardLoad& load, Duration roundTrip, bool sameDataCentre, Time now)
{
    if (!m_context.bundle || kindOfShard(load.shard) != TargetKind::Instance)
        return;
    std::set<std::string> services;
    for (const auto& [id, policy] : m_context.bundle->workloads) {
        if (policy.workClass == WorkClass::Prompt && services.insert(policy.service).second)
            m_selector.loadReported(owner, load, policy.service, roundTrip, sameDataCentre, now);
    }
}

/** Expires queued requests, forwarded requests and memories. @param now Present time. */
void PromptService::tick(Time now)
{
    for (auto& [id, shard] : m_shards) {
        if (shard.owned)
            dispatch(id, now);
    }
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        m_context.refuse(
            it->second.request.route, it->first, ErrorKind::AnswerLost, "no answer of the owner by the deadline");
        it = m_forwarded.erase(it);
    }
    while (!m_recentOrder.empty() && now - m_recentOrder.front().first > recentMemory) {
        m_recent.erase(m_recentOrder.front().second);
        m_recentOrder.pop_front();
    }
    while (
        !m_keyOrder.empty() && (now - m_keyOrder.front().first > keyMemory || m_keyOrder.size() > keyMemoryEntries)) {
        if (auto it = m_keys.find(m_keyOrder.front().second); it != m_keys.end() && it->second.answer)
            m_keys.erase(it);
        m_keyOrder.pop_front();
    }
}

/** Loads of the owned shards. @param now Present time. @return One for each owned slot shard. */
std::vector<ShardLoad> PromptService::loads(Time now) const
{
    std::vector<ShardLoad> loads;
    std::set<std::string> services;
    for (const auto& [id, policy] : m_context.bundle->workloads) {
        if (policy.workClass == WorkClass::Prompt)
            services.insert(policy.service);
    }
    for (const auto& [id, shard] : m_shards) {
        if (!shard.owned)
            continue;
        ShardLoad load;
        load.shard = id;
        load.term = m_context.ownership->term(id);
        load.level = m_context.ownership->level(id, now);
        for (const std::string& service : services) {
            const SlotLoad part = shard.pool.load(service, now);
            load.slots.slotsFree += part.slotsFree;
            load.slots.slotsTotal += part.slotsTotal;
            load.slots.queued += part.queued;
            load.slots.expectedWait = std::max(load.slots.expectedWait, part.expectedWait);
            load.slots.releaseInterval = std::max(load.slots.releaseInterval, part.releaseInterval);
            load.slots.demand += part.demand;
        }
        loads.push_back(load);
    }
    return loads;
}

/** Refuses everything that waits for a slot. @param error Kind whose outcome is "not run". @param detail Text. @param
 * now Present time. */
void PromptService::refuseQueued(ErrorKind error, const std::string& detail, Time now)
{
    std::vector<RequestId> waiting;
    for (const auto& [runId, request] : m_requests) {
        if (!request.call.value && m_shards[request.shard].pool.cancelQueued(runId))
            waiting.push_back(runId);
    }
    for (const RequestId& runId : waiting) {
        AnswerMessage answer;
        answer.error = error;
        answer.detail = detail;
        finish(runId, std::move(answer), now);
    }
}

/** Throws std::logic_error if a pool breaks its invariants. */
void PromptService::checkInvariants() const
{
    for (const auto& [id, shard] : m_shards)
        shard.pool.checkInvariants();
}

/** Whether every instance of a shard in the host list has answered under the present term. */
bool PromptService::allAnswered(const ShardId& shardId) const
{
    const auto shard = m_shards.find(shardId);
    return shard != m_shards.end()
        && std::all_of(m_context.hosts.begin(), m_context.hosts.end(), [&](const auto& entry) {
               return entry.second.kind != TargetKind::Instance
                   || entry.second.dataCentre() != m_context.config.dataCentre
                   || shardOfTarget(entry.second, m_context.bundle->cell) != shardId
                   || shard->second.answered.contains(entry.first);
           });
}

void PromptService::dispatch(const ShardId& shardId, Time now)
{
    for (const SlotDecision& decision : m_shards[shardId].pool.dispatch(now))
        apply(shardId, decision, now);
}

} // namespace sp
