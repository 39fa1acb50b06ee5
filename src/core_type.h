/** @file core_type.h Events that the scheduler's core takes and actions that it gives back. The daemon and the soak
 * test drive the same core; it does no I/O and reads no clock. */
#pragma once

#include "slot_pool.h"
#include "store_type.h"
#include "task_scheduler.h"
#include "work_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sp {

/** Hold level of a shard's owner, from design.md section 3.1. */
enum class HoldLevel : std::uint8_t { None, Claiming, Recovering, Store, Promise, Fenced, Lost };

const char* holdLevelName(HoldLevel level);

/** Where an answer goes: identity of a link, opaque to the core. */
struct ReplyRoute {
    std::string link;
};

// ---- Events ----

/** A prompt request from a gateway or forwarded by a peer. */
struct PromptSubmitted {
    RequestId id;
    ReplyRoute route;
    CallerId caller;
    TeamId team;
    WorkloadId workload;
    IdempotencyKey key; ///< Empty if the caller gave none.
    std::string clientId; ///< Id that the caller chose, empty if none.
    Payload payload;
    std::optional<Time> deadline; ///< Absent: the default of the bundle.
    std::uint32_t hops = 0; ///< Schedulers that have forwarded it.
    ShardId shard; ///< Shard that the forwarding scheduler chose, empty from a gateway.
};

/** A job from a gateway or forwarded by a peer. */
struct JobSubmitted {
    RequestId id;
    ReplyRoute route;
    IdempotencyKey key;
    JobSpec spec; ///< Without its id, which the owner makes.
    std::uint32_t hops = 0;
    ShardId shard; ///< Shard that the forwarding scheduler chose, empty from a gateway.
};

/** Query, cancellation or release of a job. */
struct JobCommanded {
    /** What is asked. */
    enum class Verb : std::uint8_t { Query, Cancel, Release };
    RequestId id;
    ReplyRoute route;
    JobId job;
    CallerId caller;
    Verb verb = Verb::Query;
    std::chrono::milliseconds wait { 0 }; ///< Query: how long to wait for the end.
    std::uint32_t hops = 0;
};

/** Cancellation of a prompt request by the id that the caller chose. */
struct PromptCancelled {
    RequestId id;
    ReplyRoute route;
    CallerId caller;
    std::string clientId;
    std::uint32_t hops = 0;
};

/** Answer as it travels between the system's processes. */
struct AnswerMessage {
    RequestId id;
    ErrorKind error = ErrorKind::Ok;
    std::string detail;
    Payload body; ///< Whole answer of the target, null if none.
    JobId job; ///< For jobs.
    std::optional<JobStatus> status; ///< For jobs.
    std::chrono::microseconds wait { 0 }; ///< From arrival at the owner to the start.
    bool durable = false; ///< Whether an accepted job is recorded in the store.
};

/** Load of a shard as its owner announces it. */
struct ShardLoad {
    ShardId shard;
    Term term;
    HoldLevel level = HoldLevel::None;
    SlotLoad slots;
    std::int64_t coresFreeMilli = 0;
};

/** Heartbeat of a scheduler. */
struct HeartbeatMessage {
    Time sentAt {}; ///< Clock of the sender.
    DataCentreId dataCentre;
    bool ready = false;
    bool draining = false;
    BundleVersion bundle;
    std::string bundleDigest;
    std::vector<ShardLoad> loads;
};

/** Answer to a heartbeat. */
struct HeartbeatAckMessage {
    Time sentAt {}; ///< Echo of the heartbeat's time, on the clock of its sender.
    std::chrono::milliseconds promise { 0 }; ///< No claim of the other's shards for this time after sentAt.
    BundleVersion bundle;
    std::string bundleDigest;
};

/** Text of a bundle from a peer. */
struct BundleTextMessage {
    BundleVersion version;
    std::string digest;
    std::string text;
    std::vector<DataCentreId> stages;
};

/** Answer to a forwarded request. */
struct PeerAnswered {
    HostId peer;
    AnswerMessage answer;
};

struct PeerHeartbeat {
    HostId peer;
    Incarnation incarnation;
    HeartbeatMessage heartbeat;
};

struct PeerHeartbeatAck {
    HostId peer;
    Incarnation incarnation;
    HeartbeatAckMessage ack;
};

struct PeerBundleFetch {
    HostId peer;
    BundleVersion version;
};

struct PeerBundleText {
    HostId peer;
    BundleTextMessage text;
};

/** End of a call to a target that the core asked for. */
struct TargetCallEnded {
    CallId call;
    CallEnd end = CallEnd::Lost;
    Payload body; ///< Whole answer, for Completed and Failed.
    std::string detail; ///< For logs.
};

/** A finished task as a worker reports it. */
struct FinishedTask {
    TaskId task;
    TaskEnd end = TaskEnd::Succeeded;
    std::string result;
};

/** Report of a target, or the news that it does not answer. */
struct TargetReported {
    TargetId target;
    ShardId shard;
    Term term; ///< Term under which the report was asked.
    bool silent = false; ///< No answer for the liveness time; the fields below are empty.
    bool leaving = false;
    Term highestTerm; ///< Highest term the target has seen for the shard.
    Time sentAt {}; ///< When the report was asked for; what was started later may be missing.
    std::vector<RequestId> runningRequests; ///< Instances.
    std::vector<RunningTask> runningTasks; ///< Workers.
    std::vector<FinishedTask> finishedTasks; ///< Workers: ended within the last 10 min.
};

/** The deciding thread wakes up; at most every 10 ms while idle. */
struct Ticked { };

/** SIGTERM: stop admission, hand over, await calls in flight. */
struct DrainRequested { };

/** A read-only question: why was this request decided as it was? */
struct ExplainRequested {
    RequestId id;
    ReplyRoute route;
    std::string subject; ///< Request or job id.
};

using Event = std::variant<PromptSubmitted, JobSubmitted, JobCommanded, PromptCancelled, PeerAnswered, PeerHeartbeat,
    PeerHeartbeatAck, PeerBundleFetch, PeerBundleText, TargetCallEnded, TargetReported, StoreReply, StoreWatchBatch,
    Ticked, DrainRequested, ExplainRequested>;

// ---- Actions ----

struct SendAnswer {
    ReplyRoute route;
    AnswerMessage answer;
};

struct ForwardPrompt {
    HostId to;
    PromptSubmitted request; ///< Its deadline is set.
};

struct ForwardJob {
    HostId to;
    JobSubmitted job;
};

struct ForwardJobCommand {
    HostId to;
    JobCommanded command;
};

struct ForwardPromptCancel {
    HostId to;
    PromptCancelled cancel;
};

struct SendHeartbeat {
    HostId to;
    HeartbeatMessage heartbeat;
};

struct SendHeartbeatAck {
    HostId to;
    HeartbeatAckMessage ack;
};

struct FetchBundle {
    HostId from;
    BundleVersion version;
};

struct SendBundleText {
    HostId to;
    BundleTextMessage text;
};

/** Run a prompt request on an instance. */
struct RunPrompt {
    CallId call;
    TargetId target;
    std::string address;
    RequestId request;
    ShardId shard;
    Term term;
    Duration budget {}; ///< Time left until the deadline.
    Payload payload;
};

/** Start a task on a worker. */
struct StartTask {
    CallId call;
    TargetId target;
    std::string address;
    ShardId shard;
    Term term;
    TaskId task;
    Resources size;
    std::chrono::milliseconds runTime { 0 };
    std::chrono::milliseconds lease { 0 };
    Payload payload;
};

/** Stop a task on a worker. */
struct StopTask {
    CallId call;
    TargetId target;
    std::string address;
    ShardId shard;
    Term term;
    TaskId task;
    bool checkpoint = false;
};

/** Ask a target for reports under a term until told otherwise; replaces an earlier FollowTarget of the target. */
struct FollowTarget {
    TargetId target;
    std::string address;
    ShardId shard;
    Term term;
};

struct UnfollowTarget {
    TargetId target;
};

/** Call the store; a StoreReply with the ticket follows in any case. */
struct CallStore {
    StoreTicket ticket;
    StoreRequest request;
};

/** Watch a prefix from a revision on; replaces an earlier watch of the prefix. */
struct WatchStore {
    std::string prefix;
    Revision from;
};

struct ReadinessChanged {
    bool ready = false;
    std::string reason;
};

/** Everything in flight has ended after a DrainRequested. */
struct Drained { };

using Action = std::variant<SendAnswer, ForwardPrompt, ForwardJob, ForwardJobCommand, ForwardPromptCancel,
    SendHeartbeat, SendHeartbeatAck, FetchBundle, SendBundleText, RunPrompt, StartTask, StopTask, FollowTarget,
    UnfollowTarget, CallStore, WatchStore, ReadinessChanged, Drained>;

using ActionSink = std::function<void(Action&&)>;

} // namespace sp
