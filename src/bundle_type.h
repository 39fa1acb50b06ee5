/** @file bundle_type.h Content of a bundle: what operators declare. */
#pragma once

#include "id_type.h"
#include "time_type.h"

#include <map>
#include <string>
#include <vector>

namespace sp {

/** Classes of work. */
enum class WorkClass : std::uint8_t {
    Prompt, ///< Request that is routed to a slot of an instance.
    Batch, ///< Independent tasks.
    Gang, ///< Tasks that start together or not at all.
    Hold, ///< Tasks that keep their place until released; long-running services too.
};

/** How urgent work is among work of its class. */
enum class Priority : std::uint8_t { Normal, Urgent };

/** Section `[cell]`. */
struct CellPolicy {
    std::vector<DataCentreId> dataCentres; ///< All data centres of the cell.
    std::vector<DataCentreId> keyDataCentres; ///< Data centres among which idempotency keys are spread; never changes.
    std::uint32_t slotShards = 2; ///< Slot shards of a data centre; never changes.
    std::uint32_t workerShards = 1; ///< Worker shards of a data centre; never changes.
    double shortReserveMin = 0.05; ///< Smallest share of slots that long work can't take.
    double shortReserveMax = 0.4; ///< Largest share of slots that long work can't take.
    double failingWorkersMax = 0.1; ///< Largest share of a shard's workers that is out at once for failing.
    std::chrono::milliseconds reclaimAfter { 30000 }; ///< Borrowed quota is given back within this time.
};

/** Section `[weights]`: what placement prefers. Only the relation of the numbers matters. */
struct PolicyWeights {
    double wait = 1; ///< Short waiting time, service at the demand peak.
    double packing = 1; ///< Few workers in use.
    double spread = 1; ///< Spread over racks.
};

/** Section `[workload NAME]`. */
struct WorkloadPolicy {
    WorkloadId id;
    WorkClass workClass = WorkClass::Prompt;
    Priority priority = Priority::Normal;
    std::string service; ///< Prompt: service whose instances run it.
    bool idempotent = true; ///< Whether a second run does no harm.
    std::chrono::milliseconds deadline { 2000 }; ///< Default deadline of a prompt request.
    std::uint32_t queueLimit = 1000; ///< Largest number of waiting requests or jobs.
    double weight = 1; ///< Share against other workloads of the class.
    std::chrono::milliseconds longThreshold { 1000 }; ///< Work expected to run longer counts as long.
    std::chrono::milliseconds maxWait { 600000 }; ///< After this time work is first in line.
    std::chrono::milliseconds taskLease { 30000 }; ///< Lease of a task on a worker.
    std::uint32_t retryBudgetPercent = 10; ///< Retries allowed for each hundred requests.
    std::uint32_t rackLimit = 0; ///< Largest number of tasks of a job in one rack, 0 for no limit.
};

/** Section `[team NAME]`. Quotas of 0 mean no limit. */
struct TeamPolicy {
    TeamId id;
    double weight = 1; ///< Share against other teams.
    std::int64_t coresMilli = 0; ///< Quota of cores in thousandths over the cell.
    std::int64_t memoryMb = 0; ///< Quota of memory over the cell.
    std::int64_t accelerators = 0; ///< Quota of accelerators over the cell.
};

/** Section `[health]`: a roll-out stops when a figure gets worse than this. */
struct HealthLimits {
    double errorRatioMax = 0.05; ///< Share of answers that are errors other than overload.
    double refusalRatioMax = 0.2; ///< Share of requests refused for overload.
    std::chrono::milliseconds waitP99Max { 1000 }; ///< Wait before start of prompt requests.
    std::chrono::milliseconds stageTime { 2000 }; ///< Time that each stage is watched.
};

/** A bundle in its parsed form. */
struct Bundle {
    BundleVersion version;
    std::string author;
    std::string note;
    std::string digest; ///< SHA-256 of the text, hexadecimal.
    CellPolicy cell;
    PolicyWeights weights;
    std::map<WorkloadId, WorkloadPolicy> workloads;
    std::map<TeamId, TeamPolicy> teams;
    HealthLimits health;
};

/** One problem of a bundle or settings text. */
struct TextProblem {
    int line = 0; ///< Line, counted from 1; 0 if it concerns the whole text.
    std::string key; ///< `section.key`.
    std::string problem; ///< What is wrong.
    std::string remedy; ///< What is expected.
};

} // namespace sp
