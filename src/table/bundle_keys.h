/** @file bundle_keys.h Keys of a bundle. docs/configuration.md is checked against this table. */
#pragma once

#include "ini_type.h"

#include <array>

namespace sp {

inline constexpr std::array bundleKeys {
    KeyInfo { "bundle", "version", KeyType::Integer, "", "!", 1, 1e15, "",
        "Version of the bundle; higher than every earlier one." },
    KeyInfo { "bundle", "author", KeyType::Name, "", "!", 0, 0, "", "Operator who wrote the bundle." },
    KeyInfo { "bundle", "note", KeyType::Text, "", "", 0, 0, "", "What changes and why." },
    KeyInfo { "cell", "data_centres", KeyType::List, "", "!", 0, 0, "", "All data centres of the cell." },
    KeyInfo { "cell", "key_data_centres", KeyType::List, "", "", 0, 0, "",
        "Data centres among which idempotency keys are spread; fixed by the first bundle; by default those of the "
        "first bundle." },
    KeyInfo { "cell", "slot_shards", KeyType::Integer, "shards", "2", 1, 64, "",
        "Slot shards of each data centre; fixed by the first bundle." },
    KeyInfo { "cell", "worker_shards", KeyType::Integer, "shards", "1", 1, 64, "",
        "Worker shards of each data centre; fixed by the first bundle." },
    KeyInfo { "cell", "short_reserve_min", KeyType::Real, "share", "0.05", 0, 0.9, "",
        "Smallest share of slots that long work can't take." },
    KeyInfo { "cell", "short_reserve_max", KeyType::Real, "share", "0.4", 0, 0.9, "",
        "Largest share of slots that long work can't take." },
    KeyInfo { "cell", "failing_workers_max", KeyType::Real, "share", "0.1", 0, 0.5, "",
        "Largest share of a shard's workers that is out at once for failing; at least one worker." },
    KeyInfo { "cell", "reclaim_after", KeyType::Span, "ms", "30s", 1000, 3600000, "",
        "Borrowed quota is given back within this time." },
    KeyInfo { "weights", "wait", KeyType::Real, "", "1", 0, 100, "",
        "Weight of a short wait and of service at the demand peak." },
    KeyInfo { "weights", "packing", KeyType::Real, "", "1", 0, 100, "", "Weight of using few workers." },
    KeyInfo { "weights", "spread", KeyType::Real, "", "1", 0, 100, "", "Weight of spreading over racks." },
    KeyInfo { "workload", "class", KeyType::Choice, "", "!", 0, 0, "prompt|batch|gang|hold", "Class of the work." },
    KeyInfo { "workload", "priority", KeyType::Choice, "", "normal", 0, 0, "normal|urgent",
        "Urgent work may preempt idempotent batch tasks." },
    KeyInfo {
        "workload", "service", KeyType::Name, "", "", 0, 0, "", "Service whose instances run the prompt requests." },
    KeyInfo { "workload", "idempotent", KeyType::Flag, "", "true", 0, 0, "", "Whether a second run does no harm." },
    KeyInfo {
        "workload", "deadline", KeyType::Span, "ms", "2s", 10, 600000, "", "Default deadline of a prompt request." },
    KeyInfo { "workload", "queue_limit", KeyType::Integer, "requests or jobs", "1000", 1, 1000000, "",
        "Largest number that waits in one shard." },
    KeyInfo {
        "workload", "weight", KeyType::Real, "", "1", 0.01, 1000, "", "Share against other workloads of the class." },
    KeyInfo { "workload", "long_threshold", KeyType::Span, "ms", "1s", 1, 86400000, "",
        "Work expected to run longer counts as long." },
    KeyInfo { "workload", "max_wait", KeyType::Span, "ms", "10min", 1000, 604800000, "",
        "After this time waiting work is first in line." },
    KeyInfo {
        "workload", "task_lease", KeyType::Span, "ms", "30s", 5000, 86400000, "", "Lease of a task on a worker." },
    KeyInfo { "workload", "retry_budget", KeyType::Integer, "percent", "10", 0, 100, "",
        "Retries allowed for each hundred requests." },
    KeyInfo { "workload", "rack_limit", KeyType::Integer, "tasks", "0", 0, 100000, "",
        "Largest number of tasks of a job in one rack; 0 for no limit." },
    KeyInfo { "team", "weight", KeyType::Real, "", "1", 0.01, 1000, "", "Share against other teams." },
    KeyInfo {
        "team", "cores", KeyType::Real, "cores", "0", 0, 1000000, "", "Quota of cores over the cell; 0 for no limit." },
    KeyInfo {
        "team", "memory", KeyType::Integer, "MB", "0", 0, 1e12, "", "Quota of memory over the cell; 0 for no limit." },
    KeyInfo { "team", "accelerators", KeyType::Integer, "accelerators", "0", 0, 1000000, "",
        "Quota of accelerators over the cell; 0 for no limit." },
    KeyInfo { "health", "error_ratio_max", KeyType::Real, "share", "0.05", 0, 1, "",
        "A roll-out stops above this share of failed answers." },
    KeyInfo { "health", "refusal_ratio_max", KeyType::Real, "share", "0.2", 0, 1, "",
        "A roll-out stops above this share of refusals for overload." },
    KeyInfo { "health", "wait_p99_max", KeyType::Span, "ms", "1s", 1, 600000, "",
        "A roll-out stops above this wait before start of prompt requests." },
    KeyInfo { "health", "stage_time", KeyType::Span, "ms", "2s", 0, 86400000, "",
        "Time that each stage of a roll-out is watched." },
};

} // namespace sp
