/** @file cell_type.h Jobs of steps and tasks, queues, and what targets report about the tasks they run. */
#pragma once

#include "id_type.h"
#include "resource_type.h"
#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sp {

using QueueId = TextId<struct QueueTag>;
using ServiceId = TextId<struct ServiceTag>;
using MachineId = TextId<struct MachineTag>; ///< Hardware of a target; survives the target's restarts.
using FencingToken = NumberId<struct FencingTokenTag>; ///< Grows with each owner of the cell.
using CalendarTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** How long the advisor of a queue takes and how long its answers are good for. */
struct AdvisorTraits {
    std::chrono::microseconds base { 0 }; ///< Time of a call that names no target.
    std::chrono::microseconds perTarget { 0 }; ///< Additional time for each target named.
    std::chrono::milliseconds ticketValidity { 0 };

    /** Time of one call. @param targets Number of targets named. @return Time the advisor is busy. */
    std::chrono::microseconds callTime(std::size_t targets) const
    {
        return base + perTarget * static_cast<std::int64_t>(targets);
    }
};

/** A queue of jobs. */
struct QueueConfig {
    QueueId id;
    std::string host; ///< Host name that callers use.
    std::string prefix; ///< Beginning of the path.
    ServiceId service; ///< Service whose targets run the tasks.
    std::chrono::milliseconds timeout { 0 }; ///< Longest time a caller's request may take.
    std::chrono::milliseconds targetLatency { 0 }; ///< Added to the stretched chain of work: the job's objective.
    int priority = 0; ///< 0 comes first and may displace others.
    std::uint32_t maxAttempts = 1; ///< Runs of a task that may fail by themselves.
    double slackFactor = 1; ///< The objective is this many times the chain of work.
    std::optional<AdvisorTraits> advisor; ///< Set if only an advisor knows which targets may run a step.
};

/** A service: a pool of targets. */
struct ServiceConfig {
    ServiceId id;
    bool targetsGuardCapacity = false; ///< Targets refuse what does not fit.
    bool standby = false; ///< Machines are off and free of charge.
};

/** Configuration of the cell as the operator wrote it. */
struct CellConfig {
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    std::size_t maxBodyBytes = 262144; ///< Largest request body.

    const QueueConfig* queue(const QueueId& id) const;
    const ServiceConfig* service(const ServiceId& id) const;
    const QueueConfig* match(const std::string& host, const std::string& path) const;
};

/** One step of a job: equal tasks. */
struct StepSpec {
    std::uint32_t tasks = 0;
    Resources demand; ///< Of each task.
    std::chrono::milliseconds estimate { 0 }; ///< The caller's guess of a task's run time.
    std::vector<std::uint32_t> after; ///< Steps that must be complete first.
    bool checkpointing = false;
    bool gang = false; ///< Tasks only work while all of them are present.
    bool colocated = false; ///< Slower when spread over racks.
    bool speculative = false; ///< Copies may run in parallel.
    bool lasting = false; ///< Runs until cancelled.
    std::string requiredLabel; ///< Label a target must have; empty for none.
    RackId nearRack; ///< Slower on other racks; empty for none.
    std::uint32_t perTargetLimit = 0; ///< Most tasks of the step on one target; 0 for no limit.
    std::string image; ///< Tasks of one image behave alike.
    std::chrono::milliseconds tailTarget { 0 }; ///< Tail of response times to keep, for serving tasks; 0 for none.
    bool fills = false; ///< Takes only processor time that others leave.
    std::uint32_t maxUnavailable = 0; ///< Tasks that may be away by the scheduler's doing; 0 if not declared.

    /** @return What a task takes from a target's capacity. */
    Resources reserved() const { return { fills ? 0 : demand.coresMilli, demand.memoryMb, demand.accelerators }; }
};

/** Times at which the steps of a job are run. */
struct JobSchedule {
    CalendarTime firstDue {};
    std::chrono::milliseconds interval { 0 };
    std::uint32_t occurrences = 0; ///< 0: the job runs once, at once.
};

/** A job as its caller submitted it. */
struct CellJobSpec {
    JobId id;
    QueueId queue;
    ServiceId service; ///< Service of the queue when the job was accepted.
    std::string payload; ///< Handed to each task.
    std::vector<StepSpec> steps;
    JobSchedule schedule;
};

/** State of a job as callers see it. */
enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

const char* jobStateName(JobState state);
bool isFinal(JobState state);

/** One step of one occurrence of a job. */
struct StepKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    auto operator<=>(const StepKey&) const = default;
};

/** One task of one occurrence of a job. */
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

/** A target as it registers itself. */
struct TargetEntry {
    TargetId id;
    MachineId machine;
    CalendarTime bornAt {}; ///< Start of this life by its own account; distinguishes two lives under one id.
    std::string address; ///< `ip:port`.
    DataCentreId dataCentre;
    ServiceId service;
    Resources capacity;
    std::vector<std::string> labels;
    RackId rack;
    bool draining = false;
    std::optional<std::chrono::milliseconds> leavesIn; ///< Least time left, while it drains.
};

/** A task that a target is running. */
struct RunRow {
    CellTaskKey task;
    std::uint32_t run = 0;
    std::string checkpoint; ///< Latest saved progress, empty if none.
    int percent = 0;
    std::int64_t gauge = 0; ///< Tail in ms for a task that serves, else thousandths of a core in use.
};

/** How a run ended. */
enum class EndKind : std::uint8_t {
    Done,
    Failed, ///< Through its own fault or the target's.
    Stopped,
    Lapsed, ///< The target's lease ran out.
    Broken, ///< Another member of the gang ended.
    Alone, ///< The other members of the gang did not come in time.
};

const char* endKindName(EndKind kind);

/** A run that has ended on a target. */
struct EndRow {
    std::uint64_t number = 0; ///< Position in the target's list of ends.
    CellTaskKey task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/** What a target runs and what has ended there. */
struct RunReport {
    std::chrono::milliseconds clock { 0 }; ///< The target's own steady clock.
    CalendarTime bornAt {}; ///< As in the entry; unset if not reported.
    std::vector<RunRow> running;
    std::vector<EndRow> ended;
    bool endsCut = false; ///< More ends are waiting than one report carries.
};

/** Order to run a task. */
struct StartOrder {
    CellTaskKey task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< Of the advisor; empty if the queue has none.
    std::chrono::milliseconds leaseUntil { 0 }; ///< On the target's clock.
    FencingToken token;
};

/** Order to stop a run. */
struct StopOrder {
    CellTaskKey task;
    std::uint32_t run = 0;
    FencingToken token;
};

/** Order to let a run work at a share of its speed. */
struct PaceOrder {
    CellTaskKey task;
    std::uint32_t run = 0;
    int percent = 100;
    FencingToken token;
};

/** Order to renew a target's lease and to report. */
struct LookOrder {
    FencingToken token;
    std::optional<std::chrono::milliseconds> leaseUntil; ///< On the target's clock; unset if it is not known yet.
    std::uint64_t endsAcknowledged = 0; ///< Ends up to this number may be forgotten.
    std::chrono::milliseconds wait { 0 }; ///< The answer may wait this long for an end.
    Time sentAt {}; ///< When it was sent; what was confirmed later may be missing in its answer.
};

using TargetOrder = std::variant<StartOrder, StopOrder, PaceOrder, LookOrder>;

/** What is known of an order to a target. */
enum class OrderResult : std::uint8_t {
    Done, ///< The target has carried it out.
    Fenced, ///< A higher token was seen there.
    Outdated, ///< The run is not higher than one that was stopped or has ended there.
    LeasePast, ///< The lease time lies in the past there.
    NoRoom,
    BadTicket,
    Unhealthy, ///< Refused by an unhealthy target; nothing was done.
    Rejected, ///< Refused as malformed.
    OtherLife, ///< Another incarnation answers at the address.
    NotSent, ///< Nothing reached the target.
    Lost, ///< No answer; it may have been carried out, or may yet be.
};

const char* orderResultName(OrderResult result);

/** Answer to an order. */
struct OrderAnswer {
    OrderResult result = OrderResult::Lost;
    std::optional<std::chrono::milliseconds> clock; ///< The target's clock, if it answered.
};

/** Where a target is reached. */
struct TargetRef {
    TargetId id;
    std::string address; ///< `ip:port`.
};

using TargetReply = std::function<void(const OrderAnswer& answer, const RunReport& report)>; ///< Report after a look.
using TargetCall = std::function<void(const TargetRef& target, const TargetOrder& order, TargetReply reply)>;

} // namespace sp

template <> struct std::hash<sp::CellTaskKey> {
    std::size_t operator()(const sp::CellTaskKey& key) const noexcept
    {
        return std::hash<std::string>()(key.job.value) ^ (key.occurrence * 0x9e3779b97f4a7c15ULL)
            ^ (std::size_t { key.step } << 20U) ^ key.index;
    }
};
