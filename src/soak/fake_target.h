/** @file fake_target.h An instance or a worker as its owner sees it over the network. */
#pragma once

#include "core_type.h"
#include "soak/soak_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp::soak {

/** A running prompt request or task. */
struct TargetWork {
    std::string payload;
    Resources size;
    Time endsAt;
    Time leaseUntil; ///< Tasks only.
    Time lease {}; ///< Length of the lease, from the epoch.
    CallId call; ///< Requests: call that is to be answered.
    HostId caller; ///< Requests: host that waits for the answer.
    std::uint64_t generation = 0; ///< Run of the caller.
};

/** Target with the term check, capacity check and task leases of design.md sections 3 and 6. */
struct FakeTarget {
    TargetId id;
    DataCentreId dataCentre;
    ShardId shard;
    bool isWorker = false;
    std::uint32_t slots = 0;
    Resources capacity;
    std::string rack;
    bool isPresent = true; ///< Off after a crash or after it has left.
    std::optional<Time> leavingSince;
    std::map<ShardId, Term> highest;
    std::map<std::string, TargetWork> running; ///< By request id or task id.
    std::map<TaskId, FinishedTask> finished;

    bool takeTerm(const ShardId& forShard, Term term);
    Resources used() const;
    bool hasRoom(const Resources& size) const;
    TargetReported report(const ShardId& forShard, Term term, Time now, const SoakMutations& mutations);
    std::string hostEntry() const;
};

} // namespace sp::soak
