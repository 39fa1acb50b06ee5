/** @file scheduler_core.h The deciding part of a scheduler: events in, actions out; no I/O, no clock, no threads. */
#pragma once

#include "bundle_keeper.h"
#include "core_context.h"
#include "job_service.h"
#include "prompt_service.h"
#include "store_mirror.h"

namespace sp {

/** Joins ownership, membership, bundles, prompt requests and jobs of one scheduler. */
class SchedulerCore {
public:
    SchedulerCore(CoreConfig config, ActionSink sink);
    SchedulerCore(const SchedulerCore&) = delete;
    SchedulerCore& operator=(const SchedulerCore&) = delete;
    void start(Time now);
    void handle(const Event& event, Time now);
    std::string statusJson(Time now) const;
    std::string explain(const std::string& id) const;
    Metrics& metrics() { return *m_context.metrics; }
    bool isReady() const { return m_ready; }
    const std::optional<Bundle>& bundle() const { return m_context.bundle; }
    HoldLevel level(const ShardId& shard, Time now) const { return m_context.ownership->level(shard, now); }
    Term term(const ShardId& shard) const { return m_context.ownership->term(shard); }
    void checkInvariants() const;

private:
    void on(const PromptSubmitted& event, Time now);
    void on(const JobSubmitted& event, Time now);
    void on(const JobCommanded& event, Time now);
    void on(const PromptCancelled& event, Time now);
    void on(const PeerAnswered& event, Time now);
    void on(const PeerHeartbeat& event, Time now);
    void on(const PeerHeartbeatAck& event, Time now);
    void on(const PeerBundleFetch& event, Time now);
    void on(const PeerBundleText& event, Time now);
    void on(const TargetCallEnded& event, Time now);
    void on(const TargetReported& event, Time now);
    void on(const StoreReply& event, Time now);
    void on(const StoreWatchBatch& event, Time now);
    void on(const Ticked& event, Time now);
    void on(const DrainRequested& event, Time now);
    void on(const ExplainRequested& event, Time now);

    void liveKeyChanged(const std::string& key, const std::optional<std::string>& value, Revision revision, Time now);
    void hostKeyChanged(const std::string& key, const std::optional<std::string>& value, Time now);
    void bundleApplied(const Bundle& bundle, Time now);
    void afterEvent(Time now);
    void applyHoldChanges(Time now);
    void completeRecoveries(Time now);
    void sendHeartbeats(Time now);
    void announceMember(Time now);
    void updateReadiness(Time now);
    void checkDrained(Time now);

    CoreContext m_context;
    StoreMirror m_live; ///< Bundle head, owners, members.
    StoreMirror m_hosts; ///< The platform's host list.
    BundleKeeper m_bundles;
    PromptService m_prompts;
    JobService m_jobs;
    std::map<ShardId, Time> m_recovering; ///< Shards in recovery, with its begin.
    std::map<TargetId, Term> m_answeredTerm; ///< Term under which each target last answered.
    Time m_nextPeriodic {};
    std::string m_announced; ///< Member value last written.
    bool m_shardsSet = false;
    bool m_ready = false;
    bool m_drained = false;
};

} // namespace sp
