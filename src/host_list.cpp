#include "host_list.h"
#include "fnv_hash_func.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace sp {

namespace {

    std::string textField(const nlohmann::json& json, const char* name)
    {
        const auto it = json.find(name);
        return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::int64_t numberField(const nlohmann::json& json, const char* name)
    {
        const auto it = json.find(name);
        return it != json.end() && it->is_number_integer() ? std::max<std::int64_t>(it->get<std::int64_t>(), 0) : 0;
    }

    /** FNV-1a changes its low bits little for similar ids; mixing spreads them before the modulo. */
    std::uint64_t mixedHash(std::string_view text)
    {
        std::uint64_t hash = fnvHash(text);
        hash ^= hash >> 33;
        hash *= 0xff51afd7ed558ccdULL;
        return hash ^ (hash >> 33);
    }

    std::string callerAndKey(const CallerId& caller, const IdempotencyKey& key)
    {
        return std::to_string(caller.value.size()) + ":" + caller.value + key.value;
    }

    const char* kindName(TargetKind kind) { return kind == TargetKind::Instance ? "slots" : "workers"; }

} // namespace

/** Parses an entry of the host list. @param id Target. @param json Value in the store. @return Entry, absent if
 * malformed. */
std::optional<HostEntry> parseHostEntry(const TargetId& id, const std::string& json)
{
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    HostEntry entry;
    entry.state = textField(object, "state") == "leaving" ? TargetState::Leaving : TargetState::Live;
    const DataCentreId dataCentre(textField(object, "data_centre"));
    const std::string address = textField(object, "address");
    if (dataCentre.empty() || address.empty())
        return std::nullopt;
    if (const std::string kind = textField(object, "kind"); kind == "instance") {
        entry.kind = TargetKind::Instance;
        entry.instance = { id, dataCentre, address, textField(object, "service"),
            static_cast<std::uint32_t>(numberField(object, "slots")),
            static_cast<std::uint32_t>(numberField(object, "connections")) };
    } else if (kind == "worker") {
        entry.kind = TargetKind::Worker;
        entry.worker = { id, dataCentre, RackId(textField(object, "rack")), address,
            { numberField(object, "cores_milli"), numberField(object, "memory_mb"),
                numberField(object, "accelerators") } };
    } else {
        return std::nullopt;
    }
    return entry;
}

/** Shard of a target. @param entry Target. @param cell Policy of the cell. @return Shard. */
ShardId shardOfTarget(const HostEntry& entry, const CellPolicy& cell)
{
    const std::uint32_t count = entry.kind == TargetKind::Instance ? cell.slotShards : cell.workerShards;
    return ShardId(entry.dataCentre().value + "." + kindName(entry.kind) + "."
        + std::to_string(mixedHash(entry.id().value) % count));
}

/** All shards of a data centre. @param dataCentre Data centre. @param cell Policy of the cell. @return Slot shards,
 * then worker shards. */
std::vector<ShardId> shardsOfDataCentre(const DataCentreId& dataCentre, const CellPolicy& cell)
{
    std::vector<ShardId> shards;
    for (std::uint32_t k = 0; k < cell.slotShards; ++k)
        shards.emplace_back(dataCentre.value + ".slots." + std::to_string(k));
    for (std::uint32_t k = 0; k < cell.workerShards; ++k)
        shards.emplace_back(dataCentre.value + ".workers." + std::to_string(k));
    return shards;
}

/**
 * Shard that is responsible for an idempotency key, the same for every scheduler and every bundle.
 * @param kind Instance for prompt requests, Worker for jobs.
 * @param caller Caller.
 * @param key Key of the caller.
 * @param cell Policy of the cell; its key data centres and numbers of shards never change.
 * @return Shard.
 */
ShardId shardOfKey(TargetKind kind, const CallerId& caller, const IdempotencyKey& key, const CellPolicy& cell)
{
    const std::uint32_t perCentre = kind == TargetKind::Instance ? cell.slotShards : cell.workerShards;
    const std::uint64_t index = mixedHash(callerAndKey(caller, key)) % (cell.keyDataCentres.size() * perCentre);
    const DataCentreId& dataCentre = cell.keyDataCentres[index / perCentre];
    return ShardId(dataCentre.value + "." + kindName(kind) + "." + std::to_string(index % perCentre));
}

/** Hash of caller and key. @param caller Caller. @param key Key. @return 32 hexadecimal digits. */
std::string keyHash(const CallerId& caller, const IdempotencyKey& key)
{
    const std::string text = callerAndKey(caller, key);
    char hex[33];
    std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(fnvHash(text)),
        static_cast<unsigned long long>(mixedHash(text + "#")));
    return hex;
}

/** Kind of targets of a shard. @param shard Shard. @return Kind. */
TargetKind kindOfShard(const ShardId& shard)
{
    return shard.value.find(".workers.") == std::string::npos ? TargetKind::Instance : TargetKind::Worker;
}

/** Data centre of a shard. @param shard Shard. @return Data centre. */
DataCentreId dataCentreOfShard(const ShardId& shard)
{
    return DataCentreId(shard.value.substr(0, shard.value.find('.')));
}

} // namespace sp
