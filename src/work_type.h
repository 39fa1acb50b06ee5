/** @file work_type.h Work as it passes through the scheduler, and the targets that run it. */
#pragma once

#include "bundle_type.h"
#include "error_type.h"
#include "id_type.h"
#include "resource_type.h"
#include "time_type.h"

#include <memory>
#include <string>
#include <vector>

namespace sp {

using Payload = std::shared_ptr<const std::string>; ///< Shared, since a payload passes several queues.

/** A prompt request at the owner of a slot shard. */
struct PromptWork {
    RequestId id;
    CallerId caller;
    TeamId team;
    WorkloadId workload;
    Time deadline {}; ///< The answer is of no use after this time.
    Time arrivedAt {}; ///< Arrival at the owner.
};

/** A job: one or more equal tasks. */
struct JobSpec {
    JobId id;
    CallerId caller;
    TeamId team;
    WorkloadId workload;
    std::uint32_t tasks = 1;
    Resources size; ///< Declared size of each task.
    std::chrono::milliseconds runTime { 0 }; ///< Declared run time, 0 if none.
    Payload payload;
    Time submittedAt {}; ///< Arrival at the owner, or an earlier one after a recovery.
};

/** Service instance as the host list gives it. */
struct InstanceInfo {
    TargetId id;
    DataCentreId dataCentre;
    std::string address; ///< `ip:port`.
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/** Worker as the host list gives it. */
struct WorkerInfo {
    TargetId id;
    DataCentreId dataCentre;
    RackId rack;
    std::string address; ///< `ip:port`.
    Resources capacity;
};

/** State of a target in the host list. */
enum class TargetState : std::uint8_t { Live, Leaving };

/** Phase of a job. */
enum class JobPhase : std::uint8_t { Queued, Running, Done, Failed, Cancelled, Unknown };

/** What a caller sees of a job. */
struct JobStatus {
    JobPhase phase = JobPhase::Queued;
    std::uint32_t tasks = 0;
    std::uint32_t running = 0;
    std::uint32_t done = 0;
    std::uint32_t failed = 0;
    std::string reason; ///< Why it waits or how it ended.
    std::string result; ///< Output of the last finished task.
};

/** How a call to a target ended. */
enum class CallEnd : std::uint8_t {
    Completed, ///< Prompt: the whole answer is there. Task: the start is confirmed.
    Failed, ///< The work ran on the target and failed.
    RefusedFull, ///< Refused before the start: the target has no room.
    RefusedLeaving, ///< Refused before the start: the target is leaving.
    RefusedTerm, ///< Refused before the start: the target has seen a higher term.
    NotConnected, ///< No connection was made; nothing was sent.
    Lost, ///< Sent, and no whole answer: it may have started.
};

const char* jobPhaseName(JobPhase phase);
const char* workClassName(WorkClass workClass);
const char* callEndName(CallEnd end);

} // namespace sp
