/** @file prompt_service.h Prompt requests: choice of the owner, admission, run, answer. */
#pragma once

#include "core_context.h"
#include "slot_pool.h"

#include <set>

namespace sp {

/** Prompt requests at one scheduler, both as the first scheduler of a request and as the owner of slot shards. */
class PromptService {
public:
    explicit PromptService(CoreContext& context);
    void applyBundle(const Bundle& bundle, Time now);
    void submitted(PromptSubmitted request, Time now);
    void cancelled(const PromptCancelled& cancel, Time now);
    void peerAnswered(const PeerAnswered& answered, Time now);
    void peerLost(const HostId& peer, Time now);
    bool callEnded(const TargetCallEnded& ended, Time now);
    void reported(const TargetReported& report, Time now);
    void targetChanged(const HostEntry& entry, Time now);
    void targetRemoved(const TargetId& target, Time now);
    void holdChanged(const HoldChange& change, Time now);
    void loadReported(const HostId& owner, const ShardLoad& load, Duration roundTrip, bool sameDataCentre, Time now);
    void tick(Time now);
    std::vector<ShardLoad> loads(Time now) const;
    std::size_t inFlight() const { return m_requests.size() + m_forwarded.size(); }
    void refuseQueued(ErrorKind error, const std::string& detail, Time now);
    void checkInvariants() const;

private:
    /** Who waits for an answer. */
    struct Waiter {
        ReplyRoute route;
        RequestId id;
    };
    /** A request at the owner. Its run id is the id that targets see. */
    struct Request {
        std::vector<Waiter> waiters;
        ShardId shard;
        PromptWork work;
        Payload payload;
        std::string clientKey; ///< Caller and the caller's own id, for cancellation.
        std::string keyName; ///< Hash of caller and idempotency key, empty without a key.
        std::string digest; ///< Digest of the content, for keyed requests.
        bool recorded = false; ///< A store record exists.
        std::uint32_t attempts = 0;
        CallId call; ///< Call in flight, 0 if it waits.
        TargetId target; ///< Target of the last call.
        Time startedAt {};
    };
    /** A request that another scheduler owns. */
    struct Forwarded {
        PromptSubmitted request; ///< As it came in, to choose another owner if this one certainly did not take it.
        HostId to;
        Time until {};
        std::uint32_t tries = 1;
    };
    /** What is known of an idempotency key. */
    struct KeyEntry {
        std::string digest;
        ShardId shard;
        RequestId runId;
        std::optional<AnswerMessage> answer; ///< Set once known.
        Time expires {};
    };
    /** A slot shard that this scheduler owns or owned. */
    struct Shard {
        SlotPool pool;
        bool owned = false;
        bool complete = false; ///< Every instance has answered since the shard was gained.
        Time gainedAt {}; ///< When the present hold was won.
        std::map<TargetId, Time>
            answered; ///< Targets that have answered under the present term, with the report's time.
        std::map<TargetId, std::set<RequestId>> foreign; ///< Requests of an earlier owner that still run.
    };

    std::optional<ErrorKind> chooseShard(
        PromptSubmitted& request, const WorkloadPolicy& policy, HostId& owner, std::string& reason, Time now);
    void route(PromptSubmitted request, const WorkloadPolicy& policy, std::uint32_t tries, Time now);
    void forward(
        PromptSubmitted request, const HostId& owner, const std::string& reason, std::uint32_t tries, Time now);
    void admitLocal(PromptSubmitted request, const WorkloadPolicy& policy, Time now);
    bool joinKeyed(const PromptSubmitted& request, const std::string& keyName, const std::string& digest, Time now);
    void recordThenAdmit(const RequestId& runId, Time now);
    void recordReplied(
        const RequestId& runId, const StoreReply& reply, bool readBack, const std::string& token, Time now);
    void admit(const RequestId& runId, Time now);
    void apply(const ShardId& shardId, const SlotDecision& decision, Time now);
    void run(const RequestId& runId, const TargetId& target, const std::string& reason, Time now);
    void finish(const RequestId& runId, AnswerMessage answer, Time now);
    void retryOrRefuse(const RequestId& runId, CallEnd how, Time now);
    void writeOutcome(const Request& request, const AnswerMessage& answer);
    bool allAnswered(const ShardId& shardId) const;
    void dispatch(const ShardId& shardId, Time now);
    void rememberFinished(const RequestId& runId, Time now);
    std::string runsKey(const Request& request) const;

    CoreContext& m_context;
    ShardSelector m_selector;
    std::map<ShardId, Shard> m_shards;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<RequestId, Forwarded> m_forwarded;
    std::unordered_map<CallId, RequestId> m_calls;
    std::unordered_map<std::string, RequestId> m_clientIds;
    std::unordered_map<std::string, KeyEntry> m_keys;
    std::deque<std::pair<Time, std::string>> m_keyOrder;
    std::unordered_map<RequestId, Time> m_lost; ///< Requests whose answer was lost and that may still run.
    std::unordered_map<RequestId, Time> m_recent; ///< Finished lately; a report may still list them.
    std::deque<std::pair<Time, RequestId>> m_recentOrder;
};

} // namespace sp
