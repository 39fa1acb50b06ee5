#include "slot_pool.h"

#include <algorithm>
#include <stdexcept>

namespace sp {

/** Sets the policies in force. @param bundle Bundle. */
void SlotPool::applyPolicy(const Bundle& bundle) { m_bundle = bundle; }

/** Adds an instance or updates its data; a new one is unusable until setUsable. @param info Instance. */
void SlotPool::putInstance(const InstanceInfo& info) { m_instances[info.id].info = info; }

/** Marks whether an instance has answered under the present term. @param instance Instance. @param usable New state. */
void SlotPool::setUsable(const TargetId& instance, bool usable)
{
    if (auto it = m_instances.find(instance); it != m_instances.end())
        it->second.usable = usable;
}

/** Stops new work for an instance. @param instance Instance. */
void SlotPool::setLeaving(const TargetId& instance)
{
    if (auto it = m_instances.find(instance); it != m_instances.end())
        it->second.leaving = true;
}

/** Forgets an instance; its requests no longer hold slots. @param instance Instance. */
void SlotPool::removeInstance(const TargetId& instance)
{
    auto it = m_instances.find(instance);
    if (it == m_instances.end())
        return;
    for (const RequestId& id : it->second.busy)
        m_running.erase(id);
    m_instances.erase(it);
}

/** Records a request that a target reports as running, after a recovery. @param instance Instance. @param id Request.
 */
void SlotPool::occupy(const TargetId& instance, const RequestId& id)
{
    auto it = m_instances.find(instance);
    if (it == m_instances.end() || m_running.contains(id))
        return;
    it->second.busy.insert(id);
    m_running[id] = instance;
}

/**
 * Decides about a new request.
 * @param work Request.
 * @param now Present time.
 * @return Run with an instance, Queue, or Refuse with a kind whose outcome is "not run".
 */
SlotDecision SlotPool::admit(const PromptWork& work, Time now)
{
    const auto policy = m_bundle.workloads.find(work.workload);
    if (policy == m_bundle.workloads.end())
        return { SlotDecision::Kind::Refuse, work.id, {}, ErrorKind::UnknownWorkload, "workload unknown" };
    if (work.deadline <= now)
        return { SlotDecision::Kind::Refuse, work.id, {}, ErrorKind::DeadlinePassed, "deadline passed on arrival" };
    if (m_queue.empty()) {
        if (Instance* instance = chooseInstance(policy->second.service)) {
            instance->busy.insert(work.id);
            m_running[work.id] = instance->info.id;
            return { SlotDecision::Kind::Run, work.id, instance->info.id, ErrorKind::Ok, "least busy" };
        }
    }
    if (m_queue.size() >= policy->second.queueLimit)
        return { SlotDecision::Kind::Refuse, work.id, {}, ErrorKind::QueueFull, "queue full" };
    m_queue.push_back(work);
    return { SlotDecision::Kind::Queue, work.id, {}, ErrorKind::Ok, "no free slot" };
}

/**
 * Ends a request's hold on its slot.
 * @param id Request.
 * @param how How it ended; Lost keeps the slot taken.
 * @param now Present time.
 */
void SlotPool::release(const RequestId& id, SlotRelease how, Time now)
{
    (void)now;
    if (how == SlotRelease::Lost)
        return;
    if (auto it = m_running.find(id); it != m_running.end()) {
        m_instances[it->second].busy.erase(id);
        m_running.erase(it);
    }
}

/**
 * Frees the slot of a lost request, once a later report shows that it does not run.
 * @param id Request.
 * @param now Present time.
 * @return True if it held a slot.
 */
bool SlotPool::confirmNotRunning(const RequestId& id, Time now)
{
    const bool held = m_running.contains(id);
    release(id, SlotRelease::NotStarted, now);
    return held;
}

/** Removes a waiting request. @param id Request. @return True if it waited. */
bool SlotPool::cancelQueued(const RequestId& id)
{
    return std::erase_if(m_queue, [&](const PromptWork& work) { return work.id == id; }) > 0;
}

/**
 * Gives free slots to waiting requests and refuses those whose deadline has passed.
 * @param now Present time.
 * @return Decisions of kind Run or Refuse.
 */
std::vector<SlotDecision> SlotPool::dispatch(Time now)
{
    std::vector<SlotDecision> decisions;
    while (!m_queue.empty()) {
        const PromptWork& work = m_queue.front();
        if (work.deadline <= now) {
            decisions.push_back(
                { SlotDecision::Kind::Refuse, work.id, {}, ErrorKind::DeadlinePassed, "deadline passed in the queue" });
            m_queue.pop_front();
            continue;
        }
        Instance* instance = chooseInstance(serviceOf(work.workload));
        if (!instance)
            break;
        instance->busy.insert(work.id);
        m_running[work.id] = instance->info.id;
        decisions.push_back({ SlotDecision::Kind::Run, work.id, instance->info.id, ErrorKind::Ok, "slot became free" });
        m_queue.pop_front();
    }
    return decisions;
}

/** Load of a service in this shard. @param service Service. @param now Present time. @return Load. */
SlotLoad SlotPool::load(const std::string& service, Time now) const
{
    (void)now;
    SlotLoad load;
    for (const auto& [id, instance] : m_instances) {
        if (!instance.usable || instance.leaving || instance.info.service != service)
            continue;
        load.slotsTotal += instance.info.slots;
        load.slotsFree += instance.info.slots
            - static_cast<std::uint32_t>(std::min<std::size_t>(instance.busy.size(), instance.info.slots));
    }
    load.queued = static_cast<std::uint32_t>(m_queue.size());
    return load;
}

/** Instance that runs a request. @param id Request. @return Instance, if it holds a slot. */
std::optional<TargetId> SlotPool::targetOf(const RequestId& id) const
{
    if (auto it = m_running.find(id); it != m_running.end())
        return it->second;
    return std::nullopt;
}

/** Throws std::logic_error if an instance has more requests than slots or the two indexes differ. */
void SlotPool::checkInvariants() const
{
    std::size_t busy = 0;
    for (const auto& [id, instance] : m_instances) {
        if (instance.busy.size() > instance.info.slots)
            throw std::logic_error("instance " + id.value + " has more requests than slots");
        busy += instance.busy.size();
    }
    if (busy != m_running.size())
        throw std::logic_error("slot indexes differ");
}

/** Usable instance of a service with the smallest share of busy slots, null if none has a free slot. */
SlotPool::Instance* SlotPool::chooseInstance(const std::string& service)
{
    Instance* best = nullptr;
    for (auto& [id, instance] : m_instances) {
        if (!instance.usable || instance.leaving || instance.info.service != service
            || instance.busy.size() >= instance.info.slots)
            continue;
        if (!best || instance.busy.size() * best->info.slots < best->busy.size() * instance.info.slots)
            best = &instance;
    }
    return best;
}

std::string SlotPool::serviceOf(const WorkloadId& workload) const
{
    const auto policy = m_bundle.workloads.find(workload);
    return policy == m_bundle.workloads.end() ? std::string() : policy->second.service;
}

} // namespace sp
