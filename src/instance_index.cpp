#include "instance_index.h"

#include <bit>

namespace sp {

/** Puts an instance in its place after a change; it is left out if it can take no request. @param instance Instance. */
void InstanceIndex::update(SlotInstance& instance)
{
    const bool open = instance.active() && instance.free() > 0;
    const int bucket
        = open ? static_cast<int>(std::uint64_t { instance.busy } * bucketCount / instance.info.slots) : -1;
    if (bucket == instance.m_bucket)
        return;
    remove(instance);
    if (bucket < 0)
        return;
    List& list = m_buckets[static_cast<std::size_t>(bucket)];
    instance.m_bucket = bucket;
    instance.m_previous = list.last;
    (list.last ? list.last->m_next : list.first) = &instance;
    list.last = &instance;
    m_filled |= std::uint64_t { 1 } << bucket;
}

/** Takes an instance out. @param instance Instance. */
void InstanceIndex::remove(SlotInstance& instance)
{
    if (instance.m_bucket < 0)
        return;
    List& list = m_buckets[static_cast<std::size_t>(instance.m_bucket)];
    (instance.m_previous ? instance.m_previous->m_next : list.first) = instance.m_next;
    (instance.m_next ? instance.m_next->m_previous : list.last) = instance.m_previous;
    if (!list.first)
        m_filled &= ~(std::uint64_t { 1 } << instance.m_bucket);
    instance.m_previous = instance.m_next = nullptr;
    instance.m_bucket = -1;
}

/** Instance with the smallest share of busy slots. @return Instance, null if none has a free slot. */
SlotInstance* InstanceIndex::leastBusy() const
{
    return m_filled == 0 ? nullptr : m_buckets[static_cast<std::size_t>(std::countr_zero(m_filled))].first;
}

} // namespace sp
