/** @file slot_pool.h Exact accounting of the slots of one shard and the queue of prompt requests in front of them. */
#pragma once

#include "work_type.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** Decision about one prompt request. */
struct SlotDecision {
    /** What happens to the request. */
    enum class Kind : std::uint8_t { Run, Queue, Refuse };
    Kind kind = Kind::Refuse;
    RequestId id;
    TargetId target; ///< For Run: the instance whose slot is taken.
    ErrorKind error = ErrorKind::Ok; ///< For Refuse: a kind whose outcome is "not run".
    std::string reason; ///< For the log line.
};

/** Load of a slot shard, as other schedulers see it. */
struct SlotLoad {
    std::uint32_t slotsFree = 0;
    std::uint32_t slotsTotal = 0; ///< Slots of usable instances.
    std::uint32_t queued = 0;
    Duration expectedWait {}; ///< Wait that a new request would have.
    Duration releaseInterval {}; ///< Expected time between two releases while all slots are busy, 0 if unknown.
};

/** How a request left its slot. */
enum class SlotRelease : std::uint8_t {
    Answered, ///< The target answered; the run time is learned.
    NotStarted, ///< The target refused it or was not reached.
    Lost, ///< It may still run: the slot stays taken until confirmNotRunning.
};

/**
 * Slots of one shard. Invariant: an instance never has more requests than slots; a request holds at most one slot.
 * Not thread-safe; every deciding function takes the present time.
 */
class SlotPool {
public:
    void applyPolicy(const Bundle& bundle);
    void putInstance(const InstanceInfo& info);
    void setUsable(const TargetId& instance, bool usable);
    void setLeaving(const TargetId& instance);
    void removeInstance(const TargetId& instance);
    void occupy(const TargetId& instance, const RequestId& id);
    SlotDecision admit(const PromptWork& work, Time now);
    void release(const RequestId& id, SlotRelease how, Time now);
    bool confirmNotRunning(const RequestId& id, Time now);
    bool cancelQueued(const RequestId& id);
    std::vector<SlotDecision> dispatch(Time now);
    SlotLoad load(const std::string& service, Time now) const;
    std::optional<TargetId> targetOf(const RequestId& id) const;
    std::size_t queued() const { return m_queue.size(); }
    void checkInvariants() const;

private:
    struct Instance {
        InstanceInfo info;
        bool usable = false; ///< True once it has answered under the present term.
        bool leaving = false;
        std::set<RequestId> busy; ///< Requests that hold a slot.
    };
    Instance* chooseInstance(const std::string& service);
    std::string serviceOf(const WorkloadId& workload) const;

    Bundle m_bundle;
    std::unordered_map<TargetId, Instance> m_instances;
    std::unordered_map<RequestId, TargetId> m_running;
    std::deque<PromptWork> m_queue;
};

} // namespace sp
