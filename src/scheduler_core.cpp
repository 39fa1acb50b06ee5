#include "scheduler_core.h"
#include "log_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace sp {

namespace {

    constexpr const char* livePrefix = "/sp/live/";
    constexpr const char* ownerPrefix = "/sp/live/owner/";
    constexpr const char* memberPrefix = "/sp/live/member/";
    constexpr std::chrono::seconds recoveryPatience { 2 }; ///< A target that has not answered by then stays unusable.
    constexpr std::chrono::milliseconds periodicEvery { 10 };

    OwnershipConfig ownershipConfig(const CoreConfig& config)
    {
        OwnershipConfig ownership;
        ownership.self = config.self;
        ownership.incarnation = config.incarnation;
        ownership.targetsCheckTerms = config.targetsCheckTerms;
        for (const PeerConfig& peer : config.peers) {
            if (peer.dataCentre == config.dataCentre)
                ownership.peers.push_back(peer.host);
        }
        ownership.seed = config.seed + 2;
        ownership.faults = config.faults;
        return ownership;
    }

} // namespace

/** @param config Fixed data. @param sink Takes the actions. */
SchedulerCore::SchedulerCore(CoreConfig config, ActionSink sink)
    : m_context(std::move(config), std::move(sink))
    , m_live(livePrefix,
          { [this](StoreRequest request) { return m_context.callStore(std::move(request)); },
              [this](const std::string& prefix, Revision from) {
                  m_context.emit(WatchStore { prefix, from });
              },
              [this](const std::string& key, const std::optional<std::string>& value, Revision revision, Time now) {
                  liveKeyChanged(key, value, revision, now);
              } },
          m_context.config.seed)
    , m_hosts(hostListPrefix,
          { [this](StoreRequest request) { return m_context.callStore(std::move(request)); },
              [this](const std::string& prefix, Revision from) {
                  m_context.emit(WatchStore { prefix, from });
              },
              [this](const std::string& key, const std::optional<std::string>& value, Revision, Time now) {
                  hostKeyChanged(key, value, now);
              } },
          m_context.config.seed + 1)
    , m_bundles(m_context.config.dataCentre,
          { [this](StoreRequest request) { return m_context.callStore(std::move(request)); },
              [this](const HostId& peer, BundleVersion version) {
                  m_context.emit(FetchBundle { peer, version });
              },
              [this](const Bundle& bundle, Time now) { bundleApplied(bundle, now); } })
    , m_prompts(m_context)
    , m_jobs(m_context)
{
    m_context.ownership = std::make_unique<Ownership>(ownershipConfig(m_context.config),
        [this](StoreRequest request) { return m_context.callStore(std::move(request)); });
    m_context.membership
        = std::make_unique<Membership>(m_context.config.self, m_context.config.dataCentre, m_context.config.peers);
}

/** Starts the protocols. @param now Present time. */
void SchedulerCore::start(Time now)
{
    m_context.ownership->start(now);
    m_live.tick(now);
    m_hosts.tick(now);
    m_context.emit(ReadinessChanged { false, "no bundle is in force" });
}

/** Handles one event. @param event Event. @param now Present time. */
void SchedulerCore::handle(const Event& event, Time now)
{
    std::visit([&](const auto& concrete) { on(concrete, now); }, event);
    afterEvent(now);
}

void SchedulerCore::on(const PromptSubmitted& event, Time now) { m_prompts.submitted(event, now); }

void SchedulerCore::on(const JobSubmitted& event, Time now) { m_jobs.submitted(event, now); }

void SchedulerCore::on(const JobCommanded& event, Time now) { m_jobs.commanded(event, now); }

void SchedulerCore::on(const PromptCancelled& event, Time now) { m_prompts.cancelled(event, now); }

void SchedulerCore::on(const PeerAnswered& event, Time now)
{
    if (!m_jobs.peerAnswered(event, now))
        m_prompts.peerAnswered(event, now);
}

void SchedulerCore::on(const PeerHeartbeat& event, Time now)
{
    m_context.membership->heartbeatReceived(event.peer, event.incarnation, event.heartbeat, now);
    const bool sameDataCentre = event.heartbeat.dataCentre == m_context.config.dataCentre;
    HeartbeatAckMessage ack;
    ack.sentAt = event.heartbeat.sentAt;
    if (sameDataCentre) {
        const HeartbeatMessage& heartbeat = event.heartbeat;
        m_context.ownership->peerHolds(event.peer, event.incarnation, heartbeat.sentAt, heartbeat.loads, now);
        m_context.ownership->peerSeen(event.peer, event.incarnation, heartbeat.draining, now, heartbeat.ready);
        ack.promise = m_context.ownership->promiseFor(event.peer, now);
    }
    if (m_context.bundle) {
        ack.bundle = m_context.bundle->version;
        ack.bundleDigest = m_context.bundle->digest;
    }
    m_context.emit(SendHeartbeatAck { event.peer, ack });
    for (const ShardLoad& load : event.heartbeat.loads)
        m_prompts.loadReported(event.peer, load, m_context.membership->roundTrip(event.peer), sameDataCentre, now);
    m_bundles.peerHas(
        event.peer, sameDataCentre, event.heartbeat.bundle, event.heartbeat.bundleDigest, m_live.isFresh(now), now);
}

void SchedulerCore::on(const PeerHeartbeatAck& event, Time now)
{
    m_context.membership->ackReceived(event.peer, event.incarnation, event.ack.sentAt, now);
    if (m_context.membership->dataCentreOf(event.peer) == m_context.config.dataCentre)
        m_context.ownership->promiseReceived(event.peer, event.ack.sentAt, event.ack.promise, now);
}

void SchedulerCore::on(const PeerBundleFetch& event, Time)
{
    if (auto text = m_bundles.textFor(event.version))
        m_context.emit(SendBundleText { event.peer, std::move(*text) });
}

void SchedulerCore::on(const PeerBundleText& event, Time now) { m_bundles.textReceived(event.text, now); }

void SchedulerCore::on(const TargetCallEnded& event, Time now)
{
    if (!m_prompts.callEnded(event, now))
        m_jobs.callEnded(event, now);
}

void SchedulerCore::on(const TargetReported& event, Time now)
{
    if (!event.silent && event.highestTerm > m_context.ownership->term(event.shard)) {
        m_context.ownership->superseded(event.shard, event.highestTerm, now);
        return;
    }
    if (!event.silent)
        m_answeredTerm[event.target] = event.term;
    if (kindOfShard(event.shard) == TargetKind::Instance)
        m_prompts.reported(event, now);
    else
        m_jobs.reported(event, now);
}

void SchedulerCore::on(const StoreReply& event, Time now)
{
    if (m_context.ownership->storeReplied(event, now) || m_live.storeReplied(event, now)
        || m_hosts.storeReplied(event, now) || m_bundles.storeReplied(event, now))
        return;
    m_context.storeReplied(event, now);
}

void SchedulerCore::on(const StoreWatchBatch& event, Time now)
{
    if (event.prefix == m_live.prefix())
        m_live.watched(event, now);
    else if (event.prefix == m_hosts.prefix())
        m_hosts.watched(event, now);
}

void SchedulerCore::on(const Ticked&, Time now)
{
    m_live.tick(now);
    m_hosts.tick(now);
    m_bundles.tick(now);
    sendHeartbeats(now);
    if (now >= m_nextPeriodic) {
        m_nextPeriodic = now + periodicEvery;
        m_prompts.tick(now);
        m_jobs.tick(now);
        announceMember(now);
        updateReadiness(now);
    }
    checkDrained(now);
}

void SchedulerCore::on(const DrainRequested&, Time now)
{
    if (m_context.draining)
        return;
    logInfo(LogPart::Main, "Draining: no new work is admitted.");
    m_context.draining = true;
    // What waits for a slot has not run; the gateway may offer it to another scheduler.
    m_prompts.refuseQueued(ErrorKind::Draining, "scheduler " + m_context.config.self.value + " is shutting down", now);
    m_context.ownership->releaseAll(now);
    updateReadiness(now);
}

void SchedulerCore::on(const ExplainRequested& event, Time)
{
    AnswerMessage answer;
    answer.id = event.id;
    answer.body = std::make_shared<const std::string>(explain(event.subject));
    m_context.emit(SendAnswer { event.route, std::move(answer) });
}

void SchedulerCore::liveKeyChanged(
    const std::string& key, const std::optional<std::string>& value, Revision revision, Time now)
{
    if (key == bundleHeadKey) {
        if (value)
            m_bundles.headChanged(*value, now);
        return;
    }
    if (key.starts_with(memberPrefix) && value) {
        const auto member = nlohmann::json::parse(*value, nullptr, false);
        if (member.is_object() && member.contains("data_centre")
            && member["data_centre"] == m_context.config.dataCentre.value)
            m_context.ownership->addPeer(HostId(key.substr(std::string_view(memberPrefix).size())));
        return;
    }
    if (!key.starts_with(ownerPrefix))
        return;
    const ShardId shard(key.substr(std::string_view(ownerPrefix).size()));
    const auto json = value ? nlohmann::json::parse(*value, nullptr, false) : nlohmann::json();
    if (json.is_object() && json.contains("host") && json["host"].is_string())
        m_context.owners[shard] = HostId(json["host"].get<std::string>());
    else
        m_context.owners.erase(shard);
    m_context.ownership->ownerKeyChanged(shard, value, revision, now);
}

void SchedulerCore::hostKeyChanged(const std::string& key, const std::optional<std::string>& value, Time now)
{
    const TargetId id(key.substr(std::string_view(hostListPrefix).size()));
    const auto entry = value ? parseHostEntry(id, *value) : std::nullopt;
    if (value && !entry) {
        logWarning(LogPart::Target, "The host list entry of " + id.value + " is malformed and is ignored.");
        return;
    }
    if (!entry) {
        const auto it = m_context.hosts.find(id);
        if (it == m_context.hosts.end())
            return;
        const bool own = it->second.dataCentre() == m_context.config.dataCentre;
        m_context.hosts.erase(it);
        if (own) {
            m_prompts.targetRemoved(id, now);
            m_jobs.targetRemoved(id, now);
            m_context.emit(UnfollowTarget { id });
        }
        return;
    }
    m_context.hosts[id] = *entry;
    if (entry->dataCentre() == m_context.config.dataCentre) {
        m_prompts.targetChanged(*entry, now);
        m_jobs.targetChanged(*entry, now);
    }
}

void SchedulerCore::bundleApplied(const Bundle& bundle, Time now)
{
    m_context.bundle = bundle;
    m_context.metrics->gauge("sp_bundle_version", "Version of the bundle in force.")
        .set(static_cast<std::int64_t>(bundle.version.value));
    m_prompts.applyBundle(bundle, now);
    m_jobs.applyBundle(bundle, now);
}

void SchedulerCore::afterEvent(Time now)
{
    // Shards are claimed only once the host list is known, since a recovery has to reach every target.
    if (!m_shardsSet && m_context.bundle && m_hosts.isLoaded() && m_live.isLoaded()) {
        m_shardsSet = true;
        m_context.ownership->setShards(shardsOfDataCentre(m_context.config.dataCentre, m_context.bundle->cell), now);
    }
    m_context.ownership->tick(now);
    applyHoldChanges(now);
    completeRecoveries(now);
    for (const PeerChange& change : m_context.membership->takeChanges(now)) {
        logInfo(LogPart::Link, "Peer " + change.peer.value + " is " + peerStateName(change.to) + ".");
        if (change.to == PeerState::Dead) {
            m_prompts.peerLost(change.peer, now);
            m_jobs.peerLost(change.peer, now);
        }
    }
    if (m_context.bundle)
        m_jobs.schedule(now);
}

void SchedulerCore::applyHoldChanges(Time now)
{
    for (const HoldChange& change : m_context.ownership->takeChanges()) {
        logInfo(LogPart::Own,
            "Shard " + change.shard.value + " goes from " + holdLevelName(change.from) + " to "
                + holdLevelName(change.to) + " at term " + std::to_string(change.term.value) + ": " + change.reason
                + ".");
        if (change.to == HoldLevel::Recovering)
            m_recovering[change.shard] = now;
        else
            m_recovering.erase(change.shard);
        m_prompts.holdChanged(change, now);
        m_jobs.holdChanged(change, now);
    }
}

void SchedulerCore::completeRecoveries(Time now)
{
    std::vector<ShardId> complete;
    for (const auto& [shard, since] : m_recovering) {
        const bool recordsRead = kindOfShard(shard) == TargetKind::Instance || m_jobs.isRecovered(shard);
        const Term term = m_context.ownership->term(shard);
        const bool allAnswered
            = std::all_of(m_context.hosts.begin(), m_context.hosts.end(), [&, id = shard](const auto& entry) {
                  const auto answered = m_answeredTerm.find(entry.first);
                  return entry.second.dataCentre() != m_context.config.dataCentre
                      || shardOfTarget(entry.second, m_context.bundle->cell) != id
                      || (answered != m_answeredTerm.end() && answered->second == term);
              });
        if (recordsRead && (allAnswered || now - since >= recoveryPatience))
            complete.push_back(shard);
    }
    for (const ShardId& shard : complete) {
        m_recovering.erase(shard);
        m_context.ownership->recovered(shard, now);
    }
    if (!complete.empty())
        applyHoldChanges(now);
}

void SchedulerCore::sendHeartbeats(Time now)
{
    const auto due = m_context.membership->heartbeatsDue(now);
    if (due.empty())
        return;
    HeartbeatMessage heartbeat;
    heartbeat.sentAt = now;
    heartbeat.dataCentre = m_context.config.dataCentre;
    heartbeat.ready = m_ready;
    heartbeat.draining = m_context.draining;
    if (m_context.bundle) {
        heartbeat.bundle = m_context.bundle->version;
        heartbeat.bundleDigest = m_context.bundle->digest;
        heartbeat.loads = m_prompts.loads(now);
        const auto jobLoads = m_jobs.loads(now);
        heartbeat.loads.insert(heartbeat.loads.end(), jobLoads.begin(), jobLoads.end());
        m_context.ownership->addHeld(heartbeat.loads);
    }
    for (const HostId& peer : due)
        m_context.emit(SendHeartbeat { peer, heartbeat });
}

/** Writes the member entry, bound to the session, when it has changed. */
void SchedulerCore::announceMember(Time now)
{
    if (!m_context.ownership->sessionFresh(now) || m_context.draining)
        return;
    const nlohmann::json value { { "data_centre", m_context.config.dataCentre.value },
        { "link", m_context.config.linkAddress }, { "incarnation", m_context.config.incarnation.value },
        { "bundle", m_context.bundle ? m_context.bundle->version.value : 0 }, { "draining", m_context.draining },
        { "lease", m_context.ownership->sessionLease().value } };
    std::string text = value.dump();
    if (text == m_announced)
        return;
    m_announced = text;
    StoreTxn txn;
    txn.writes = { { StoreWrite::Kind::Put, "/sp/live/member/" + m_context.config.self.value, text,
        m_context.ownership->sessionLease() } };
    m_context.callStore(txn, [this](const StoreReply& reply, Time) {
        if (reply.status != StoreStatus::Ok)
            m_announced.clear();
    });
}

void SchedulerCore::updateReadiness(Time now)
{
    (void)now;
    const bool ready = m_context.bundle && !m_context.draining && m_hosts.isLoaded();
    if (ready == m_ready)
        return;
    m_ready = ready;
    m_context.emit(ReadinessChanged { ready,
        m_context.draining ? "draining"
            : ready        ? "ready"
                           : "no bundle is in force" });
}

void SchedulerCore::checkDrained(Time now)
{
    if (!m_context.draining || m_drained || m_prompts.inFlight() > 0 || m_jobs.inFlight() > 0
        || !m_context.ownership->isReleased(now))
        return;
    m_drained = true;
    m_context.ownership->endSession(now);
    m_context.emit(Drained {});
}

/** Why a request or job was decided as it was. @param id Request or job id. @return Text, one decision a line. */
std::string SchedulerCore::explain(const std::string& id) const
{
    const std::string text = m_context.journal.explain(id);
    return text.empty() ? "Nothing is known of " + id + " at " + m_context.config.self.value + ".\n" : text;
}

/** State for operators. @param now Present time. @return JSON object. */
std::string SchedulerCore::statusJson(Time now) const
{
    nlohmann::json shards = nlohmann::json::array();
    if (m_context.bundle) {
        for (const ShardId& shard : shardsOfDataCentre(m_context.config.dataCentre, m_context.bundle->cell)) {
            const auto owner = m_context.ownerOf(shard, now);
            shards.push_back(
                { { "shard", shard.value }, { "level", holdLevelName(m_context.ownership->level(shard, now)) },
                    { "term", m_context.ownership->term(shard).value }, { "owner", owner ? owner->value : "" } });
        }
    }
    nlohmann::json peers = nlohmann::json::array();
    for (const PeerConfig& peer : m_context.config.peers)
        peers.push_back(
            { { "host", peer.host.value }, { "state", peerStateName(m_context.membership->state(peer.host, now)) },
                { "bundle", m_context.membership->bundleVersion(peer.host).value } });
    const nlohmann::json status { { "host", m_context.config.self.value },
        { "data_centre", m_context.config.dataCentre.value }, { "ready", m_ready }, { "draining", m_context.draining },
        { "bundle", m_context.bundle ? m_context.bundle->version.value : 0 }, { "store_fresh", m_live.isFresh(now) },
        { "in_flight", m_prompts.inFlight() + m_jobs.inFlight() }, { "shards", shards }, { "peers", peers } };
    return status.dump();
}

/** Throws std::logic_error if a part breaks its invariants. */
void SchedulerCore::checkInvariants() const
{
    m_prompts.checkInvariants();
    m_jobs.checkInvariants();
}

} // namespace sp
