/** @file core_context.h What the parts of the scheduler's core share. */
#pragma once

#include "core_type.h"
#include "host_list.h"
#include "log_func.h"
#include "membership.h"
#include "metrics.h"
#include "ownership.h"
#include "shard_selector.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <unordered_map>

namespace sp {

/** Fixed data of a scheduler. */
struct CoreConfig {
    HostId self;
    DataCentreId dataCentre;
    Incarnation incarnation;
    std::string linkAddress; ///< Announced in the member list.
    std::vector<PeerConfig> peers; ///< All other schedulers of the cell.
    bool targetsCheckTerms = true;
    std::uint64_t seed = 1; ///< Seed of jitter.
    FaultSwitches faults; ///< For mutation tests only.
};

/**
 * Decisions by request or job id, for the question why something waited, landed somewhere or was refused. Bounded: the
 * oldest subjects go first.
 */
class DecisionJournal {
public:
    void note(LogPart part, const std::string& subject, const std::string& text, Time now);
    void relate(const std::string& subject, const std::string& other, Time now);
    std::string explain(const std::string& subject) const;

private:
    struct Note {
        Time at;
        LogPart part;
        std::string text;
    };
    struct Subject {
        std::vector<Note> notes;
        std::vector<std::string> related; ///< A request's job or run, a job's tasks.
    };
    Subject* find(const std::string& subject);
    void print(std::ostream& out, const std::string& subject, std::optional<Time> first, std::uint32_t depth) const;

    std::unordered_map<std::string, Subject> m_subjects;
    std::deque<std::string> m_order;
};

/** Shared state of the parts of one core; owned by SchedulerCore. */
struct CoreContext {
    using StoreCallback = std::function<void(const StoreReply&, Time)>;

    /** @param coreConfig Fixed data. @param sink Takes the actions. */
    CoreContext(CoreConfig coreConfig, ActionSink sink)
        : config(std::move(coreConfig))
        , emit(std::move(sink))
    {
    }

    CoreConfig config;
    ActionSink emit;
    std::optional<Bundle> bundle; ///< Bundle in force.
    std::map<TargetId, HostEntry> hosts; ///< Host list of the whole cell.
    std::map<ShardId, HostId> owners; ///< Owners of the whole cell, as the store names them.
    std::unique_ptr<Ownership> ownership;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Metrics> metrics = std::make_unique<Metrics>();
    DecisionJournal journal;
    bool draining = false;

    StoreTicket callStore(StoreRequest request, StoreCallback callback = nullptr);
    bool storeReplied(const StoreReply& reply, Time now);
    CallId newCall() { return CallId(++m_lastCall); }
    std::uint64_t newSequence() { return ++m_lastSequence; }
    std::string newToken();
    const WorkloadPolicy* workload(const WorkloadId& id) const;
    std::optional<HostId> ownerOf(const ShardId& shard, Time now) const;
    bool isReachable(const HostId& peer, Time now) const;
    void answer(const ReplyRoute& route, AnswerMessage message);
    void refuse(const ReplyRoute& route, const RequestId& id, ErrorKind error, std::string detail);
    bool holdsFirmly(const ShardId& shard, Time now) const;
    StoreCompare termCompare(const ShardId& shard) const;

private:
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastSequence = 0;
    std::unordered_map<StoreTicket, StoreCallback> m_callbacks;
};

} // namespace sp
