/** @file cell_type.h Jobs with their steps and tasks, queues, and the orders to targets and reports from them. */
#pragma once

#include "id_type.h"
#include "resource_type.h"
#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sp {

using QueueId = TextId<struct QueueTag>;
using ServiceId = TextId<struct ServiceTag>;
using AccountId = TextId<struct AccountTag>; ///< A client account; empty for work that belongs to none.
using MachineId = TextId<struct MachineTag>; ///< Hardware of a target; unchanged by restarts of the target.
using FencingToken = NumberId<struct FencingTokenTag>; ///< Increases with each new owner of the cell.
using CalendarTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Call times of a queue's advisor and the validity of its tickets. */
struct AdvisorTraits {
    std::chrono::microseconds base { 0 }; ///< Fixed part of the time of a call.
    std::chrono::microseconds perTarget { 0 }; ///< Additional time of a call for each target listed in it.
    std::chrono::milliseconds ticketValidity { 0 }; ///< Validity of a ticket, from the advisor's answer on.

    /** Returns the time for which one call with this number of targets occupies the advisor. */
    std::chrono::microseconds callTime(std::size_t targets) const
    {
        return base + perTarget * static_cast<std::int64_t>(targets);
    }
};

/** A queue of jobs, as configured. */
struct QueueConfig {
    QueueId id;
    std::string host; ///< Host name in the requests that select this queue.
    std::string prefix; ///< Prefix of the path in the requests that select this queue.
    ServiceId service; ///< Service whose targets run the tasks of this queue.
    std::chrono::milliseconds timeout { 0 }; ///< Maximum duration of a caller's request.
    /** Constant part of a job's objective, added to the scaled critical path. */
    std::chrono::milliseconds targetLatency { 0 };
    int priority = 0; ///< 0 is the highest priority; jobs of a higher priority may preempt others.
    std::uint32_t maxAttempts = 1; ///< Failed runs of a task after which its job fails.
    double slackFactor = 1; ///< A job's critical path is multiplied by this factor to give its objective.
    std::optional<AdvisorTraits> advisor; ///< Set if an advisor decides which targets may run a step.
    bool requiresKey = false; ///< Requests must carry a key of a client account.
};

/** A service: the pool of targets that run the tasks of some queues. */
struct ServiceConfig {
    ServiceId id;
    bool targetsEnforceCapacity = false; ///< Targets reject tasks that exceed their free capacity.
    bool standby = false; ///< Machines of this service are powered off and cost nothing.
};

/** A client account: callers that share keys, a weight and a quota. */
struct ClientAccount {
    AccountId id;
    std::vector<std::string> keys; ///< API keys; each identifies a caller as belonging to the account.
    double weight = 1; ///< Share of a full cell, and jobs per second that the account may expect to be served then.
    Resources maximum; ///< Resources that its tasks may hold at once on all targets; 0 for no limit.
};

/** Configuration of the cell, as set by the operator. */
struct CellConfig {
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    std::vector<ClientAccount> accounts; ///< Empty if the cell has no client accounts.
    std::size_t maxBodyBytes = 262144; ///< Maximum size of a request body.
    std::size_t maxHeaderBytes = 16384; ///< Maximum size of the headers of a request.
    std::chrono::milliseconds headerTimeout { 3000 }; ///< For the headers of a request, from their first byte.
    std::chrono::milliseconds idleTimeout { 15000 }; ///< A caller's connection without a request is closed then.

    const QueueConfig* queue(const QueueId& id) const;
    const ServiceConfig* service(const ServiceId& id) const;
    const ClientAccount* account(const AccountId& id) const;
    const QueueConfig* match(const std::string& host, const std::string& path) const;
};

/** One step of a job, consisting of identical tasks. */
struct StepSpec {
    std::uint32_t tasks = 0;
    Resources demand; ///< Resources that each task needs.
    std::chrono::milliseconds estimate { 0 }; ///< Run time of one task as estimated by the caller.
    std::vector<std::uint32_t> after; ///< Indices of the steps that must be complete before this one starts.
    bool checkpointing = false; ///< Tasks save checkpoints from which a later run resumes.
    bool gang = false; ///< Tasks make progress only while all tasks of the step are running.
    bool colocated = false; ///< Tasks run slower when they are spread over several racks.
    bool speculative = false; ///< Several copies of a task may run in parallel.
    bool lasting = false; ///< Tasks run until the job is cancelled.
    std::string requiredLabel; ///< Label that a target must have to run the tasks; empty for none.
    RackId nearRack; ///< Rack near the data; tasks run slower on other racks. Empty for none.
    std::uint32_t perTargetLimit = 0; ///< Maximum number of tasks of the step on one target; 0 for no limit.
    std::string image; ///< Tasks with the same image behave alike.
    /** Target for the tail of the task's response times; 0 if it serves no requests. */
    std::chrono::milliseconds tailTarget { 0 };
    bool fills = false; ///< Uses only processor time that other tasks leave idle.
    /** Maximum number of tasks that the scheduler may interrupt at once; 0 if not declared. */
    std::uint32_t maxUnavailable = 0;

    /** Returns the part of a target's capacity that one task reserves; a filling task reserves no cores. */
    Resources reserved() const { return { fills ? 0 : demand.coresMilli, demand.memoryMb, demand.accelerators }; }
};

/** Times at which a job runs its steps. */
struct JobSchedule {
    CalendarTime firstDue {};
    std::chrono::milliseconds interval { 0 };
    std::uint32_t occurrences = 0; ///< Number of scheduled occurrences; 0 if the job runs once, immediately.
};

/** A job as submitted by its caller. */
struct CellJobSpec {
    JobId id;
    QueueId queue;
    ServiceId service; ///< Service of the queue at the time the job was accepted.
    AccountId account; ///< Account whose key the submission carried.
    std::string payload; ///< Passed unchanged to each task.
    std::vector<StepSpec> steps;
    JobSchedule schedule;
};

/** State of a job as shown to callers. */
enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

const char* jobStateName(JobState state);
bool isFinal(JobState state);

/** Identifies one step of one occurrence of a job. */
struct StepKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    auto operator<=>(const StepKey&) const = default;
};

/** Identifies one task of one occurrence of a job. */
struct CellTaskKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    auto operator<=>(const CellTaskKey&) const = default;
    StepKey stepKey() const { return { job, occurrence, step }; }
};

std::string stepText(const StepKey& key);
std::string taskText(const CellTaskKey& key);

/** A target as listed in its own registration. */
struct TargetEntry {
    TargetId id;
    MachineId machine;
    CalendarTime bornAt {}; ///< Start time of this incarnation as reported by the target; distinguishes incarnations
                            ///< with the same id.
    std::string address; ///< `ip:port`.
    DataCentreId dataCentre;
    ServiceId service;
    Resources capacity;
    std::vector<std::string> labels;
    RackId rack;
    bool draining = false;
    /** Minimum time until a draining target leaves; unset if it does not report one. */
    std::optional<std::chrono::milliseconds> leavesIn;

    bool operator==(const TargetEntry&) const = default;
};

/** The registered targets at some time. Lists without a change between them are the same object. */
using TargetList = std::shared_ptr<const std::vector<TargetEntry>>;

/** A run that is in progress on a target, as reported. */
struct RunRow {
    CellTaskKey task;
    std::uint32_t run = 0;
    std::string checkpoint; ///< Most recent checkpoint, empty if there is none.
    int percent = 0; ///< Progress of the run.
    /** Tail of the response times in ms for a serving task, otherwise cores in use in thousandths. */
    std::int64_t gauge = 0;
};

/** Way in which a run ended. */
enum class EndKind : std::uint8_t {
    Done,
    Failed, ///< The run failed, through a fault of the task or of the target.
    Stopped, ///< Stopped by an order.
    Lapsed, ///< The lease of the target expired.
    Broken, ///< Stopped because another task of the gang ended.
    Alone, ///< The other tasks of the gang did not start within the gang timeout.
};

const char* endKindName(EndKind kind);

/** A run that has ended on a target, as reported. */
struct EndRow {
    std::uint64_t number = 0; ///< Sequence number of the end on this target.
    CellTaskKey task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/** Runs in progress on a target and runs that have ended there. */
struct RunReport {
    std::chrono::milliseconds clock { 0 }; ///< Reading of the target's steady clock.
    CalendarTime bornAt {}; ///< Start time of the reporting incarnation, as in TargetEntry; unset if not reported.
    std::vector<RunRow> running;
    std::vector<EndRow> ended;
    bool endsCut = false; ///< The list of ended runs was truncated to the size limit of a report.
};

/** Order to start a run of a task. */
struct StartOrder {
    CellTaskKey task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< Ticket of the advisor for this target; empty if the queue has no advisor.
    std::chrono::milliseconds leaseUntil { 0 }; ///< Lease expiry on the target's clock.
    FencingToken token;
};

/** Order to stop a run. */
struct StopOrder {
    CellTaskKey task;
    std::uint32_t run = 0;
    FencingToken token;
};

/** Order to limit the speed of a run to a percentage. */
struct PaceOrder {
    CellTaskKey task;
    std::uint32_t run = 0;
    int percent = 100;
    FencingToken token;
};

/** Order to renew the lease of a target and to report its runs; answered as a long poll. */
struct LookOrder {
    FencingToken token;
    /** Lease expiry on the target's clock; unset while that clock is unknown. */
    std::optional<std::chrono::milliseconds> leaseUntil;
    std::uint64_t endsAcknowledged = 0; ///< The target may discard ends up to this sequence number.
    std::chrono::milliseconds wait { 0 }; ///< Maximum time for which the target may delay its answer until a run ends.
    Time sentAt {}; ///< Send time; the report may not include runs that were confirmed after it.
};

using TargetOrder = std::variant<StartOrder, StopOrder, PaceOrder, LookOrder>;

/** Result of an order to a target, as known to the owner. */
enum class OrderResult : std::uint8_t {
    Done, ///< The target has carried out the order.
    Fenced, ///< Rejected, because the target has received a higher fencing token.
    Outdated, ///< Rejected, because this or a later run of the task has been stopped or has ended there.
    LeasePast, ///< Rejected, because the lease expiry had already passed on the target's clock.
    NoRoom, ///< Rejected for lack of free capacity.
    BadTicket, ///< Rejected, because the advisor's ticket is invalid or has expired.
    Unhealthy, ///< Rejected by an unhealthy target without any effect.
    Rejected, ///< Rejected as malformed.
    OtherLife, ///< Another incarnation of the target answers at this address.
    NotSent, ///< The order did not reach the target.
    Lost, ///< No answer; the order may have been carried out already or may still be carried out later.
};

const char* orderResultName(OrderResult result);
/** Returns whether the target, or another incarnation at its address, has answered the order. */
inline bool isAnswer(OrderResult result) { return result != OrderResult::NotSent && result != OrderResult::Lost; }

/** Answer to an order. */
struct OrderAnswer {
    OrderResult result = OrderResult::Lost;
    /** Reading of the target's steady clock; unset if the target did not answer. */
    std::optional<std::chrono::milliseconds> clock;
};

/** Id and address of a target, and how long orders may be sent to it. */
struct TargetRef {
    TargetId id;
    std::string address; ///< `ip:port`.
    Time sendBefore {}; ///< End of the owner's permission: an order is not sent at this time or later; unset for no
                        ///< limit.
};

/** The report is empty unless the order was a LookOrder. */
using TargetReply = std::function<void(const OrderAnswer& answer, const RunReport& report)>;
using TargetCall = std::function<void(const TargetRef& target, const TargetOrder& order, TargetReply reply)>;

} // namespace sp

template <> struct std::hash<sp::CellTaskKey> {
    std::size_t operator()(const sp::CellTaskKey& key) const noexcept
    {
        return std::hash<std::string>()(key.job.value) ^ (key.occurrence * 0x9e3779b97f4a7c15ULL)
            ^ (std::size_t { key.step } << 20U) ^ key.index;
    }
};
