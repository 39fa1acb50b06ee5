/** @file standin_keys.h Keys of the stand-in's settings. */
#pragma once

#include "ini_type.h"

#include <array>

namespace sp {

inline constexpr std::array standinKeys {
    KeyInfo { "store", "listen", KeyType::Address, "", "127.0.0.1:0", 0, 0, "", "Address of the store." },
    KeyInfo { "store", "writes_per_second", KeyType::Integer, "calls/s", "500", 0, 1000000, "",
        "Writes above this rate are refused with 429; 0 for no limit." },
    KeyInfo { "store", "reads_per_second", KeyType::Integer, "calls/s", "2000", 0, 1000000, "",
        "Reads and keepalives above this rate are refused with 429; 0 for no limit." },
    KeyInfo { "store", "latency", KeyType::Span, "ms", "2ms", 0, 10000, "", "Time that a call takes." },
    KeyInfo { "store", "slow_latency", KeyType::Span, "ms", "1500ms", 0, 60000, "",
        "Mean time that a call takes under the fault store_slow." },
    KeyInfo {
        "control", "listen", KeyType::Address, "", "127.0.0.1:0", 0, 0, "", "Address for faults and statistics." },
    KeyInfo { "random", "seed", KeyType::Integer, "", "1", 0, 1e15, "", "Seed of all random numbers." },
    KeyInfo { "hosts", "list_lag", KeyType::Span, "ms", "2s", 0, 600000, "",
        "A change of a target's state shows in the host list after this time." },
    KeyInfo { "service", "data_centres", KeyType::List, "", "!", 0, 0, "",
        "Data centres over which the instances are spread evenly." },
    KeyInfo { "service", "instances", KeyType::Integer, "instances", "!", 1, 10000, "", "Number of instances." },
    KeyInfo { "service", "slots", KeyType::Integer, "slots", "8", 1, 10000, "", "Slots of each instance." },
    KeyInfo { "service", "connections", KeyType::Integer, "connections", "60", 1, 10000, "",
        "Connections that each instance accepts." },
    KeyInfo { "service", "run_time_ms", KeyType::Integer, "ms", "20", 0, 3600000, "",
        "Mean run time of a request; that of the short ones for long_share." },
    KeyInfo { "service", "distribution", KeyType::Choice, "", "fixed", 0, 0, "fixed|exponential|long_share",
        "Distribution of run times." },
    KeyInfo { "service", "long_share", KeyType::Real, "share", "0.02", 0, 1, "", "Share of long requests." },
    KeyInfo { "service", "long_factor", KeyType::Real, "", "100", 1, 100000, "",
        "How many times longer the long requests run." },
    KeyInfo { "workers", "data_centres", KeyType::List, "", "!", 0, 0, "",
        "Data centres over which the workers are spread evenly." },
    KeyInfo { "workers", "count", KeyType::Integer, "workers", "!", 1, 10000, "", "Number of workers." },
    KeyInfo { "workers", "cores", KeyType::Integer, "cores", "32", 1, 10000, "", "Cores of each worker." },
    KeyInfo { "workers", "memory_mb", KeyType::Integer, "MB", "65536", 1, 1e9, "", "Memory of each worker." },
    KeyInfo {
        "workers", "accelerators", KeyType::Integer, "accelerators", "0", 0, 1000, "", "Accelerators of each worker." },
    KeyInfo { "workers", "rack_size", KeyType::Integer, "workers", "8", 1, 1000, "", "Workers in a rack." },
    KeyInfo { "workers", "report_lag", KeyType::Span, "ms", "2s", 0, 600000, "",
        "The usage of a task is reported from this time after its start." },
    KeyInfo { "workers", "usage_min", KeyType::Real, "share", "1", 0, 100, "",
        "Smallest used share of a task's declared size." },
    KeyInfo { "workers", "usage_max", KeyType::Real, "share", "1", 0, 100, "",
        "Largest used share of a task's declared size." },
    KeyInfo {
        "network", "rtt_ms", KeyType::Integer, "ms", "0", 0, 10000, "", "Round trip between schedulers and targets." },
};

} // namespace sp
