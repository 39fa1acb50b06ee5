/** @file job_service.h Job submission, forwarding to shard owners, job records, and start and end of tasks. */
#pragma once

#include "core_context.h"
#include "job_record.h"
#include "task_scheduler.h"

#include <set>

namespace sp {

/** Handles jobs in one scheduler process: as the scheduler that receives a submission and as the owner of worker
 * shards. */
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
    std::size_t inFlight() const { return m_startCalls.size() + m_forwarded.size() + m_creatingRecords; }
    bool isRecovered(const ShardId& shard) const;
    void checkInvariants() const;

private:
    /** Progress of a task start at the owner. */
    enum class StartState : std::uint8_t {
        Recording, ///< Waits for the store write that must precede the start of a non-idempotent task.
        Sent, ///< The start call is in flight.
        OutcomeUnknown, ///< The start call failed or was lost, so the task may or may not run.
        Confirmed, ///< The worker acknowledged the start or reported the task.
    };
    /** A task that holds a reservation on a worker. */
    struct ActiveTask {
        TaskStart start;
        StartState state = StartState::Recording;
        Time changedAt {}; ///< Time of the last state change or of the last attempt to record the start.
        std::uint32_t missedReports = 0; ///< Consecutive reports, sent after changedAt, that did not list the task.
        bool stopping = false; ///< A stop call was sent.
    };
    /** State of a job at the owner of its shard. */
    struct Job {
        JobRecord record;
        bool durable = false; ///< The store holds a record of the job.
        bool writeInFlight = false; ///< A write of the record is in flight.
        bool needsWrite = false; ///< The record has changed since the last write.
        bool ended = false;
        Time endedAt {};
        Time nextWriteAt {}; ///< Earliest time of the next write.
        std::uint32_t failures = 0;
    };
    /** A status query that is answered when the job ends or at the deadline (long poll). */
    struct PendingQuery {
        ReplyRoute route;
        RequestId id;
        JobId job;
        Time deadline {};
    };
    /** Latest report of a worker. */
    struct WorkerReports {
        Time lastReportSentAt {}; ///< Time at which the latest report was sent.
        bool hasReported = false; ///< The worker has reported under the current term.
        std::set<TaskId> running; ///< Tasks listed as running in the last report.
        std::map<TaskId, Time>
            orphans; ///< Running tasks that match no active task here, with the time of the first report.
    };
    /** A worker shard that this scheduler owns or owned. */
    struct Shard {
        TaskScheduler scheduler;
        bool owned = false;
        bool jobsLoaded = false; ///< The job records were read from the store.
        bool readInFlight = false; ///< A read of the job records is in flight.
        Time recoveryStartedAt {}; ///< Start of the recovery after the claim.
        Time nextReadAt {}; ///< Earliest time of the next attempt to read the records.
        std::map<TargetId, WorkerReports> workers;
        std::vector<TargetReported>
            earlyReports; ///< Latest report of each worker received before the job records were read.
        std::map<JobId, std::set<std::uint32_t>> recoveringJobs; ///< Unfinished jobs not yet passed to the scheduler,
                                                                 ///< with the task indices that did not succeed.
        std::map<TaskId, ActiveTask> activeTasks;
        std::map<JobId, Job> jobs;
    };
    /** A submission or command that was forwarded to the owner of its shard. */
    struct ForwardedMessage {
        ReplyRoute route;
        HostId owner;
        Time deadline {};
        bool isSubmission = false;
    };

    std::optional<ErrorKind> chooseShard(JobSubmitted& submission, HostId& owner, std::string& reason, Time now);
    bool fitsSomeWorker(const ShardId& shard, const Resources& size) const;
    void acceptAsOwner(JobSubmitted submission, const WorkloadPolicy& policy, Time now);
    void createRecord(const ShardId& shardId, JobSubmitted submission, Time now);
    void handleRecordCreated(const ShardId& shardId, const JobSubmitted& submission, const std::string& token,
        const StoreReply& reply, bool readBack, Time now);
    void queueJob(
        const ShardId& shardId, const JobSubmitted& submission, bool durable, const std::string& token, Time now);
    void executeCommand(const JobCommanded& command, const ShardId& shardId, Time now);
    void answerStatus(
        const ReplyRoute& route, const RequestId& id, const ShardId& shardId, const JobId& job, ErrorKind error);
    void scheduleShard(const ShardId& shardId, Shard& shard, Time now);
    void addActiveTask(const ShardId& shardId, Shard& shard, const TaskStart& start, Time now);
    void recordAndSendStarts(const ShardId& shardId, const JobId& job, const std::vector<TaskId>& tasks, Time now);
    void sendStart(const ShardId& shardId, Shard& shard, ActiveTask& task, Time now);
    void sendStop(const ShardId& shardId, Shard& shard, const TaskStop& stop, Time now);
    void endTask(Shard& shard, const TaskId& task, TaskEnd end, const std::string& result, Time now);
    void refuseStart(Shard& shard, const TaskId& task, CallEnd callEnd, Time now);
    void finishEndedJobs(const ShardId& shardId, Shard& shard, Time now);
    void writeChangedRecords(const ShardId& shardId, Shard& shard, Time now);
    void writeRecord(const ShardId& shardId, const JobId& job, Time now);
    void readJobs(const ShardId& shardId, Shard& shard, Time now);
    static void trackAdoptedTasks(Shard& shard, const JobId& jobId, Time now);
    void adoptRecovered(const ShardId& shardId, Shard& shard, Time now);
    bool canRuleOutUnreportedTask(
        const ShardId& shardId, const Shard& shard, std::chrono::milliseconds lease, Time now) const;
    void recordEndDuringRecovery(Shard& shard, const FinishedTask& finished);
    void handleJobsRead(const ShardId& shardId, const StoreReply& reply, Time now);
    void applyReport(const ShardId& shardId, Shard& shard, const TargetReported& report, Time now);
    void reconcileActive(Shard& shard, const TargetReported& report, const std::set<TaskId>& running, Time now);
    void expireLeases(const ShardId& shardId, Shard& shard, Time now);
    void stopOrphans(const ShardId& shardId, Shard& shard, Time now);
    std::chrono::milliseconds leaseOf(const JobId& job) const;

    CoreContext& m_context;
    std::map<ShardId, Shard> m_shards;
    std::unordered_map<CallId, std::pair<ShardId, TaskId>> m_startCalls; ///< Start calls in flight.
    std::unordered_map<RequestId, ForwardedMessage> m_forwarded;
    std::vector<PendingQuery> m_pendingQueries;
    std::size_t m_creatingRecords = 0; ///< Submissions whose record is being written.
};

} // namespace sp
