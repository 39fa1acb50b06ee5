/** @file fair_queue.h Weighted fair queue of prompt requests between workloads, teams and callers. */
#pragma once

#include "work_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sp {

/** Place of a request in a FairQueue, valid until it leaves the queue. */
using QueueHandle = std::uint32_t;
inline constexpr QueueHandle noHandle = UINT32_MAX;

/** Shares of a flow at the levels of the tree. */
struct FlowWeights {
    double workload = 1;
    double team = 1;
};

/** Weights in force, asked when a node is made or the policy changes. */
struct WeightHooks {
    std::function<double(const WorkloadId&)> workload;
    std::function<double(const TeamId&)> team;
};

/**
 * Start-time fair queueing over a tree workload, team, caller. A node that is served moves on by the cost (expected
 * slot time) divided by its weight; the node with the smallest start tag is next, ties go to the earlier deadline.
 * Requests of one caller and workload keep their order. Adding, taking and erasing cost O(log n) of the nodes of a
 * level, and erasing one that is not first of its caller O(1). Requests marked overdue leave the tree and form a list
 * in order of arrival. Not thread-safe.
 */
class FairQueue {
    struct Node;

public:
    /** A waiting request. */
    struct Item {
        PromptWork work;
        std::uint64_t serial = 0; ///< Number given by the caller of push; tells a reused handle from the earlier one.
        Duration cost {}; ///< Expected slot time.
        bool overdue = false;

    private:
        friend class FairQueue;
        Node* leaf = nullptr; ///< Caller's node, null once overdue.
        QueueHandle previous = noHandle;
        QueueHandle next = noHandle;
    };

    FairQueue();
    ~FairQueue();
    FairQueue(FairQueue&&) noexcept;
    FairQueue& operator=(FairQueue&&) noexcept;
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    QueueHandle push(const PromptWork& work, const FlowWeights& weights, Duration cost, std::uint64_t serial, Time now);
    PromptWork erase(QueueHandle handle, Time now);
    void markOverdue(QueueHandle handle, Time now);
    QueueHandle next() const;
    QueueHandle nextOverdue() const { return m_overdue.first; }
    PromptWork take(QueueHandle handle, Time now);
    const Item& item(QueueHandle handle) const { return m_items[handle]; }
    bool holds(QueueHandle handle, std::uint64_t serial) const;
    std::optional<Duration> measuredWait(const PromptWork& work, Time now) const;
    double itemsAhead(const PromptWork& work, const FlowWeights& weights) const;
    double share(const PromptWork& work, const FlowWeights& weights) const;
    std::size_t queuedOfCaller(const PromptWork& work) const;
    std::size_t size() const { return m_size; }
    std::size_t nodes() const;
    void applyWeights(const WeightHooks& hooks);
    void checkInvariants() const;

private:
    struct List {
        QueueHandle first = noHandle;
        QueueHandle last = noHandle;
    };
    Node& leafOf(const PromptWork& work, const FlowWeights& weights);
    const Node* findLeaf(const PromptWork& work) const;
    void append(List& list, QueueHandle handle);
    void unlink(List& list, QueueHandle handle);
    void removeFromLeaf(QueueHandle handle, Time now);
    PromptWork freeItem(QueueHandle handle);
    static void addBacklog(Node* leaf, double cost);
    void reposition(Node* node, Time now);

    std::unique_ptr<Node> m_root;
    std::vector<Item> m_items;
    std::vector<QueueHandle> m_free; ///< Unused places of m_items.
    List m_overdue;
    std::size_t m_size = 0;
};

} // namespace sp
