/** @file host_list.h The platform's list of targets, and the mapping from targets and keys to shards. */
#pragma once

#include "work_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Kind of a target. */
enum class TargetKind : std::uint8_t { Instance, Worker };

/** Entry of the host list. */
struct HostEntry {
    TargetKind kind = TargetKind::Instance;
    TargetState state = TargetState::Live;
    InstanceInfo instance; ///< For instances.
    WorkerInfo worker; ///< For workers.

    const TargetId& id() const { return kind == TargetKind::Instance ? instance.id : worker.id; }
    const DataCentreId& dataCentre() const
    {
        return kind == TargetKind::Instance ? instance.dataCentre : worker.dataCentre;
    }
    const std::string& address() const { return kind == TargetKind::Instance ? instance.address : worker.address; }
};

inline constexpr const char* hostListPrefix = "/platform/hosts/";

std::optional<HostEntry> parseHostEntry(const TargetId& id, const std::string& json);
ShardId shardOfTarget(const HostEntry& entry, const CellPolicy& cell);
std::vector<ShardId> shardsOfDataCentre(const DataCentreId& dataCentre, const CellPolicy& cell);
ShardId shardOfKey(TargetKind kind, const CallerId& caller, const IdempotencyKey& key, const CellPolicy& cell);
std::string keyHash(const CallerId& caller, const IdempotencyKey& key);
TargetKind kindOfShard(const ShardId& shard);
DataCentreId dataCentreOfShard(const ShardId& shard);

} // namespace sp
