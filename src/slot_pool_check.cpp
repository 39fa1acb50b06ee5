/** @file slot_pool_check.cpp Invariants of SlotPool, apart from the code that they check. */
#include "slot_pool.h"

#include <stdexcept>

namespace sp {

namespace {

    void require(bool condition, const std::string& what)
    {
        if (!condition)
            throw std::logic_error("slot pool: " + what);
    }

} // namespace

/** Throws std::logic_error if an instance has more requests than slots or the counts and indexes differ. */
void SlotPool::checkInvariants() const
{
    std::unordered_map<const SlotInstance*, std::pair<std::uint32_t, std::uint32_t>> held;
    std::unordered_map<const Workload*, std::size_t> running;
    for (const auto& [id, entry] : m_running) {
        auto& [busy, longBusy] = held[entry.instance];
        ++busy;
        longBusy += entry.isLong ? 1 : 0;
        if (entry.workload)
            ++running[entry.workload];
        require(!m_queued.contains(id), "request " + id.value + " runs and waits");
    }
    std::size_t found = 0;
    for (const auto& [id, instance] : m_instances) {
        require(instance.busy <= instance.info.slots || instance.overReported,
            "instance " + id.value + " has more requests than slots");
        const auto [busy, longBusy] = held[&instance];
        require(busy == instance.busy && longBusy == instance.longBusy, "count of instance " + id.value + " is wrong");
        found += busy;
    }
    require(found == m_running.size(), "a request runs on an unknown instance");
    std::size_t waiting = 0;
    for (const auto& [id, workload] : m_workloads) {
        waiting += workload.queued;
        require(workload.running == running[&workload], "running count of " + id.value + " is wrong");
        require(workload.queued <= workload.queueAllowed, "queue of " + id.value + " is too long");
    }
    require(waiting == m_queued.size(), "queue counts differ");
    for (const auto& [id, place] : m_queued)
        require(place.service->queue(place.length).item(place.handle).work.id == id, "queue index differs");
    for (const auto& [name, service] : m_services)
        checkService(*service);
}

/** Compares the counts of a service with its instances. */
void SlotPool::checkService(const SlotService& service) const
{
    SlotService counted;
    const SlotInstance* best = nullptr;
    for (const auto& [id, instance] : m_instances) {
        if (instance.service != &service)
            continue;
        counted.count(instance, 1);
        const bool open = instance.active() && instance.free() > 0;
        if (open && (!best || instance.busy * best->info.slots < best->busy * instance.info.slots))
            best = &instance;
    }
    require(counted.slotsTotal == service.slotsTotal && counted.slotsFree == service.slotsFree
            && counted.longBusy == service.longBusy && counted.instances == service.instances,
        "counts of service " + service.name + " are wrong");
    const SlotInstance* chosen = service.index.leastBusy();
    require((best == nullptr) == (chosen == nullptr), "index of service " + service.name + " misses a free slot");
    if (best) {
        const double least = static_cast<double>(best->busy) / best->info.slots;
        const double given = static_cast<double>(chosen->busy) / chosen->info.slots;
        require(chosen->active() && chosen->free() > 0 && given <= least + 1.0 / 64, "index gives a busier instance");
    }
    for (const FairQueue& queue : service.queues)
        queue.checkInvariants();
}

} // namespace sp
