/** @file job_service.h Jobs: choice of the owner, records in the store, starts and ends of tasks. */
#pragma once

#include "core_context.h"
#include "job_record.h"
#include "task_scheduler.h"

#include <set>

namespace sp {

/** Jobs at one scheduler, both as the first scheduler of a submission and as the owner of worker shards. */
class JobService {
public:
    explicit JobService(CoreContext& context);
    void applyBundle(const Bundle& bundle, Time now);
    void submitted(JobSubmitted submission, Time now);
    void commanded(JobCommanded command, Time now);
    bool peerAnswered(const PeerAnswered& answered, Time now);
    void peerLost(const HostId& peer, Time now);
    bool callEnded(const TargetCallEnded& ended, Time now);
    void reported(const TargetReported& report, Time now);
    void targetChanged(const HostEntry& entry, Time now);
    void targetRemoved(const TargetId& target, Time now);
    void holdChanged(const HoldChange& change, Time now);
    void schedule(Time now);
    void tick(Time now);
    std::vector<ShardLoad> loads(Time now) const;
    std::size_t inFlight() const { return m_calls.size() + m_forwarded.size() + m_creating; }
    bool isRecovered(const ShardId& shard) const;
    void checkInvariants() const;

private:
    /** Life of a task's start at the owner. */
    enum class StartState : std::uint8_t { Recording, Sent, Lost, Confirmed };
    /** A task that holds a reservation on a worker. */
    struct ActiveTask {
        TaskStart start;
        StartState state = StartState::Recording;
        Time changedAt {}; ///< When the state was entered.
        std::uint32_t missing = 0; ///< Later reports that did not list it.
        bool stopping = false;
    };
    /** A job at its owner. */
    struct Job {
        JobRecord record;
        bool durable = false; ///< The record is in the store.
        bool writing = false; ///< A write of the record is in flight.
        bool dirty = false; ///< The record has changed since the last write.
        bool ended = false;
        Time endedAt {};
        Time nextWrite {};
        std::uint32_t failures = 0;
    };
    struct Waiter {
        ReplyRoute route;
        RequestId id;
        JobId job;
        Time until {};
    };
    struct Worker {
        Time lastReport {}; ///< Sending time of the last report that was answered.
        bool answered = false; ///< Under the present term.
        std::set<TaskId> running; ///< Tasks of the last report.
        std::map<TaskId, Time> orphans; ///< Running tasks that no job knows, with the time they were first seen.
    };
    /** A worker shard that this scheduler owns or owned. */
    struct Shard {
        TaskScheduler scheduler;
        bool owned = false;
        bool jobsLoaded = false;
        bool reading = false;
        Time recoverySince {};
        Time nextRead {};
        std::map<TargetId, Worker> workers;
        std::vector<TargetReported> early; ///< Reports that came before the job records were read.
        std::map<JobId, std::set<std::uint32_t>>
            recovering; ///< Jobs read from the store and not yet adopted, with the indices reported as failed.
        std::map<TaskId, ActiveTask> active;
        std::map<JobId, Job> jobs;
    };
    struct Forwarded {
        ReplyRoute route;
        HostId to;
        Time until {};
        bool submission = false;
    };

    std::optional<ErrorKind> chooseShard(JobSubmitted& submission, HostId& owner, std::string& reason, Time now);
    bool fitsSomeWorker(const ShardId& shard, const Resources& size) const;
    void acceptLocal(JobSubmitted submission, const WorkloadPolicy& policy, Time now);
    void createRecord(const ShardId& shardId, JobSubmitted submission, Time now);
    void recordCreated(const ShardId& shardId, const JobSubmitted& submission, const std::string& token,
        const StoreReply& reply, bool readBack, Time now);
    void enqueue(
        const ShardId& shardId, const JobSubmitted& submission, bool durable, const std::string& token, Time now);
    void commandLocal(const JobCommanded& command, const ShardId& shardId, Time now);
    void answerStatus(
        const ReplyRoute& route, const RequestId& id, const ShardId& shardId, const JobId& job, ErrorKind error);
    void scheduleShard(const ShardId& shardId, Shard& shard, Time now);
    void beginStart(const ShardId& shardId, Shard& shard, const TaskStart& start, Time now);
    void recordStarts(const ShardId& shardId, const JobId& job, const std::vector<TaskId>& tasks, Time now);
    void sendStart(const ShardId& shardId, Shard& shard, ActiveTask& task, Time now);
    void sendStop(const ShardId& shardId, Shard& shard, const TaskStop& stop, Time now);
    void endTask(Shard& shard, const TaskId& task, TaskEnd end, const std::string& result, Time now);
    void refuseStart(Shard& shard, const TaskId& task, CallEnd how, Time now);
    void collectFinished(const ShardId& shardId, Shard& shard, Time now);
    void saveJobs(const ShardId& shardId, Shard& shard, Time now);
    void writeRecord(const ShardId& shardId, const JobId& job, Time now);
    void loadJobs(const ShardId& shardId, Shard& shard, Time now);
    static void followAdopted(Shard& shard, const JobId& jobId, Time now);
    void adoptRecovered(const ShardId& shardId, Shard& shard, Time now);
    bool isAccounted(const ShardId& shardId, const Shard& shard, std::chrono::milliseconds lease, Time now) const;
    void noteRecoveredEnd(Shard& shard, const FinishedTask& finished);
    void jobsRead(const ShardId& shardId, const StoreReply& reply, Time now);
    void applyReport(const ShardId& shardId, Shard& shard, const TargetReported& report, Time now);
    void reconcileActive(Shard& shard, const TargetReported& report, const std::set<TaskId>& running, Time now);
    void expireLeases(const ShardId& shardId, Shard& shard, Time now);
    void stopOrphans(const ShardId& shardId, Shard& shard, Time now);
    std::chrono::milliseconds leaseOf(const JobId& job) const;

    CoreContext& m_context;
    std::map<ShardId, Shard> m_shards;
    std::unordered_map<CallId, std::pair<ShardId, TaskId>> m_calls; ///< Start calls in flight.
    std::unordered_map<RequestId, Forwarded> m_forwarded;
    std::vector<Waiter> m_waiters;
    std::size_t m_creating = 0; ///< Submissions whose record is being written.
};

} // namespace sp
