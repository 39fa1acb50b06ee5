/** @file slot_pool.h Exact accounting of the slots of one shard and the queue of prompt requests in front of them. */
#pragma once

#include "runtime_model.h"
#include "slot_service.h"

#include <map>
#include <memory>
#include <optional>
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
    /** For Refuse: a kind whose outcome is "not run", or AnswerLost if a target reports a waiting request as running.
     */
    ErrorKind error = ErrorKind::Ok;
    std::string reason; ///< For the log line.
};

/** Load of a slot shard, as other schedulers see it. */
struct SlotLoad {
    std::uint32_t slotsFree = 0;
    std::uint32_t slotsTotal = 0; ///< Slots of usable instances.
    std::uint32_t queued = 0;
    Duration expectedWait {}; ///< Wait that a new request would have.
    Duration releaseInterval {}; ///< Expected time between two releases while all slots are busy, 0 if unknown.
    double demand = 0; ///< Slots that the arrivals of the last 200 ms would keep busy, 0 if unknown.
};

/** How a request left its slot. */
enum class SlotRelease : std::uint8_t {
    Answered, ///< The target answered; the run time is learned.
    NotStarted, ///< The target refused it or was not reached.
    Lost, ///< It may still run: the slot stays taken until confirmNotRunning.
};

/**
 * Slots of one shard and the requests that wait for them. Invariants: the pool never starts a request on an instance
 * whose slots are all taken; a request holds at most one slot and never waits at the same time; a lost request keeps
 * its slot until it is confirmed not to run. Not thread-safe; every deciding function takes the present time.
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
    std::size_t queued() const { return m_queued.size(); }
    std::uint32_t reservedSlots(const std::string& service, Time now) const;
    const RuntimeModel& runtimeModel() const { return m_model; }
    void checkInvariants() const;

private:
    struct Workload;

    /** A request that holds a slot. */
    struct Running {
        SlotInstance* instance = nullptr;
        Workload* workload = nullptr; ///< Null if only a target's report told of it.
        CallerId caller;
        Time startedAt {};
        bool isLong = false; ///< Counts as long: expected to be, or has run longer than the threshold.
        bool lost = false;
        Running* previous = nullptr; ///< Neighbours among the running short requests of the workload, by start.
        Running* next = nullptr;
    };

    /** A declared workload, or one that still has requests. */
    struct Workload {
        WorkloadPolicy policy;
        SlotService* service = nullptr;
        bool declared = true; ///< Whether the bundle in force has it.
        std::size_t queued = 0;
        std::size_t queueAllowed = 0; ///< Queue limit, or the queue's length while a new bundle's limit is below it.
        std::size_t running = 0;
        std::uint32_t tooLong = 0; ///< Requests whose learned run time exceeded their deadline.
        Running* first = nullptr; ///< Running short requests, oldest first.
        Running* last = nullptr;
    };

    /** Place of a waiting request. */
    struct Queued {
        SlotService* service = nullptr;
        WorkLength length = WorkLength::Short;
        QueueHandle handle = noHandle;
    };

    /** Expectation about a request's run time. */
    struct Estimate {
        Duration typical {}; ///< Median of the caller or its workload.
        Duration least {}; ///< Time that the caller's work needs at least, zero if the caller is not known.
        bool ofCaller = false; ///< Whether it was learned from the caller itself.
        WorkLength length = WorkLength::Short;
    };

    /** Point in time at which a waiting request expires or becomes overdue. */
    struct Timer {
        Time at {};
        std::uint64_t serial = 0; ///< Serial of the request; the timer is void if its place holds another.
        Queued place;
        bool expiry = false;
    };

    SlotService& serviceNamed(const std::string& name);
    void change(SlotInstance& instance, const std::function<void(SlotInstance&)>& edit);
    Estimate estimate(const Workload& workload, const PromptWork& work, Time now) const;
    FlowWeights weightsOf(const Workload& workload, const PromptWork& work) const;
    bool mayStartNow(const SlotService& service, WorkLength length, Time now) const;
    Duration expectedWait(const Workload& workload, const PromptWork& work, WorkLength length, Time now) const;
    std::optional<SlotDecision> refuseToQueue(
        const Workload& workload, const PromptWork& work, const Estimate& expected, Time now) const;
    bool callerHasRoom(const Workload& workload, const PromptWork& work, WorkLength length) const;
    void enqueue(Workload& workload, const PromptWork& work, const Estimate& expected, Time now);
    PromptWork leaveQueue(const Queued& place, bool served, Time now);
    void addTimer(const Timer& timer);
    void runTimers(Time now, std::vector<SlotDecision>& decisions);
    SlotDecision start(const PromptWork& work, Workload& workload, WorkLength length, Time now, const char* reason);
    void dispatchService(SlotService& service, Time now, std::vector<SlotDecision>& decisions);
    std::optional<Queued> nextOf(SlotService& service, Time now) const;
    double relativeWait(const Queued& place, Time now) const;
    void recogniseLong(Time now);
    void countAsLong(Running& running);
    void unlinkShort(Running& running);
    void learn(const Running& running, Time now);
    void free(std::unordered_map<RequestId, Running>::iterator it);
    void checkService(const SlotService& service) const;

    std::map<TeamId, TeamPolicy> m_teams;
    ReserveRange m_reserve;
    RuntimeModel m_model;
    std::unordered_map<WorkloadId, Workload> m_workloads;
    std::map<std::string, std::unique_ptr<SlotService>, std::less<>> m_services;
    std::unordered_map<TargetId, SlotInstance> m_instances;
    std::unordered_map<RequestId, Running> m_running;
    std::unordered_map<RequestId, Queued> m_queued;
    std::vector<Timer> m_timers; ///< Heap, earliest first; holds void timers until they are due or compacted.
    std::vector<SlotDecision> m_pending; ///< Refusals that the next dispatch gives out.
    std::uint64_t m_serial = 0;
    Time m_lastDispatch {}; ///< Time of cancellations, which come between two dispatches.
    Time m_nextRecognition = Time::max(); ///< Earliest time at which running short work can exceed its threshold.
};

} // namespace sp
