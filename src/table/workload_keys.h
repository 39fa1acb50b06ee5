/** @file workload_keys.h Keys of a workload file of the load generator. */
#pragma once

#include "ini_type.h"

#include <array>

namespace sp {

inline constexpr std::array workloadKeys {
    KeyInfo { "load", "seed", KeyType::Integer, "", "1", 0, 1e15, "", "Seed of all random numbers." },
    KeyInfo { "load", "rtt", KeyType::Span, "ms", "0ms", 0, 10000, "", "Round trip between callers and gateways." },
    KeyInfo {
        "load", "connections", KeyType::Integer, "connections", "256", 1, 10000, "", "Connections to each gateway." },
    KeyInfo { "load", "callers", KeyType::Integer, "callers", "20", 1, 100000, "", "Number of distinct callers." },
    KeyInfo { "load", "settle", KeyType::Span, "ms", "10s", 0, 3600000, "",
        "Longest wait for answers after the last phase." },
    KeyInfo { "phase", "duration", KeyType::Span, "ms", "!", 1, 86400000, "",
        "Length of the phase; phases follow each other in the order of their names." },
    KeyInfo {
        "phase", "prompt_rate", KeyType::Real, "requests/s", "0", 0, 100000, "", "Prompt requests at its start." },
    KeyInfo { "phase", "prompt_rate_end", KeyType::Real, "requests/s", "", 0, 100000, "",
        "Prompt requests at its end; by default as at its start." },
    KeyInfo { "phase", "job_rate", KeyType::Real, "jobs/s", "0", 0, 100000, "", "Jobs at its start." },
    KeyInfo { "phase", "job_rate_end", KeyType::Real, "jobs/s", "", 0, 100000, "",
        "Jobs at its end; by default as at its start." },
    KeyInfo { "phase", "work", KeyType::List, "", "", 0, 0, "", "Kinds of work in this phase; by default all." },
    KeyInfo { "work", "class", KeyType::Choice, "", "!", 0, 0, "prompt|batch|gang|hold", "Class of the work." },
    KeyInfo { "work", "workload", KeyType::Name, "", "!", 0, 0, "", "Workload of the bundle." },
    KeyInfo { "work", "weight", KeyType::Real, "", "1", 0, 1e6, "", "Share among the kinds of work of a phase." },
    KeyInfo { "work", "payload_bytes", KeyType::Integer, "bytes", "200", 0, 1000000, "", "Smallest payload." },
    KeyInfo { "work", "payload_bytes_max", KeyType::Integer, "bytes", "0", 0, 1000000, "",
        "Largest payload; by default all are of the smallest size." },
    KeyInfo { "work", "answer_bytes", KeyType::Integer, "bytes", "0", 0, 1000000, "", "Filler in the answer." },
    KeyInfo { "work", "run_time_ms", KeyType::Integer, "ms", "20", 0, 86400000, "",
        "Mean of the true run time; that of the short ones for long_share; 0 for a task that runs until stopped." },
    KeyInfo { "work", "distribution", KeyType::Choice, "", "fixed", 0, 0, "fixed|exponential|long_share",
        "Distribution of the true run times." },
    KeyInfo { "work", "long_share", KeyType::Real, "share", "0.02", 0, 1, "", "Share of long work." },
    KeyInfo { "work", "long_factor", KeyType::Real, "", "100", 1, 100000, "", "How many times longer it runs." },
    KeyInfo { "work", "tasks", KeyType::Integer, "tasks", "1", 1, 100000, "", "Smallest number of tasks." },
    KeyInfo { "work", "tasks_max", KeyType::Integer, "tasks", "0", 0, 100000, "",
        "Largest number of tasks; by default all jobs have the smallest." },
    KeyInfo { "work", "cores_milli", KeyType::Integer, "cores/1000", "1000", 0, 1e9, "", "True size of a task." },
    KeyInfo { "work", "memory_mb", KeyType::Integer, "MB", "1024", 0, 1e9, "", "True size of a task." },
    KeyInfo { "work", "accelerators", KeyType::Integer, "accelerators", "0", 0, 1000, "", "Accelerators of a task." },
    KeyInfo { "work", "declared_factor", KeyType::Real, "", "1", 1, 100, "",
        "Declared sizes and run times are wrong by up to this factor, upwards or downwards." },
    KeyInfo { "work", "hold_time", KeyType::Span, "ms", "5s", 0, 86400000, "", "Time until a hold is released." },
    KeyInfo { "work", "cancel_share", KeyType::Real, "share", "0", 0, 1, "", "Share that is cancelled." },
    KeyInfo { "work", "cancel_after", KeyType::Span, "ms", "50ms", 0, 86400000, "", "Mean time until the cancel." },
    KeyInfo { "work", "fail_share", KeyType::Real, "share", "0", 0, 1, "", "Share that fails at its end." },
    KeyInfo { "work", "keyed_share", KeyType::Real, "share", "0", 0, 1, "", "Share with an idempotency key." },
    KeyInfo { "work", "once", KeyType::Flag, "", "false", 0, 0, "",
        "The stand-in counts each second start as a double run; for workloads that are not idempotent." },
    KeyInfo { "work", "deadline", KeyType::Span, "ms", "0ms", 0, 3600000, "",
        "Deadline of a prompt request; 0 for that of the bundle." },
};

} // namespace sp
