/** @file instance_index.h Instances of a service ordered by their share of busy slots. */
#pragma once

#include "work_type.h"

#include <array>
#include <cstdint>

namespace sp {

struct SlotService;

/** Instance with the count of its taken slots. */
struct SlotInstance {
    InstanceInfo info;
    SlotService* service = nullptr; ///< Service that it runs.
    std::uint32_t busy = 0; ///< Requests that hold a slot.
    std::uint32_t longBusy = 0; ///< Those of them that count as long.
    bool usable = false; ///< True once it has answered under the present term.
    bool leaving = false;
    bool overReported = false; ///< More requests than slots, by its own report or because its slots were reduced.

    bool active() const { return usable && !leaving; }
    std::uint32_t free() const { return busy < info.slots ? info.slots - busy : 0; }

private:
    friend class InstanceIndex;
    SlotInstance* m_previous = nullptr;
    SlotInstance* m_next = nullptr;
    int m_bucket = -1; ///< Bucket of the index, -1 if not in it.
};

/**
 * Index for the least busy instance in constant time, instead of a scan over 1,000 instances. The order is by busy
 * share in steps of 1/64, and within a step the instance that has been there longest comes first. Holds pointers to
 * instances that must stay at their addresses until removed.
 */
class InstanceIndex {
public:
    void update(SlotInstance& instance);
    void remove(SlotInstance& instance);
    SlotInstance* leastBusy() const;

private:
    static constexpr std::uint32_t bucketCount = 64;
    struct List {
        SlotInstance* first = nullptr;
        SlotInstance* last = nullptr;
    };
    std::array<List, bucketCount> m_buckets {};
    std::uint64_t m_filled = 0; ///< Bit i is set if bucket i is not empty.
};

} // namespace sp
