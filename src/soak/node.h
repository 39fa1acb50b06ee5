/** @file node.h A scheduler's deciding code as the world drives it. */
#pragma once

#include "core_type.h"
#include "membership.h"
#include "soak/soak_type.h"

#include <memory>

namespace sp::soak {

/** What a process knows from its settings. */
struct NodeSettings {
    HostId host;
    DataCentreId dataCentre;
    Incarnation incarnation;
    std::vector<PeerConfig> peers;
    std::uint64_t seed = 0;
    FaultSwitches switches;
};

/** Deciding code of one scheduler process. */
class Node {
public:
    Node() = default;
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    virtual ~Node() = default;
    virtual void handle(const Event& event, Time now, const ActionSink& sink) = 0;
    virtual HoldLevel level(const ShardId& shard, Time now) const = 0;
    virtual Term term(const ShardId& shard) const = 0;
    /** Throws std::logic_error if the node's own books don't agree. */
    virtual void checkInvariants() const { }
};

std::unique_ptr<Node> makeOwnershipNode(const NodeSettings& settings, std::vector<ShardId> shards);
std::unique_ptr<Node> makeCoreNode(const NodeSettings& settings);

} // namespace sp::soak
