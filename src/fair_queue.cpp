#include "fair_queue.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <stdexcept>
#include <tuple>
#include <unordered_map>

namespace sp {

namespace {

    /** Idle nodes of a parent that still owe service are kept up to this number, the least indebted going first. */
    constexpr std::size_t idleLimit = 1024;

    /** Idle nodes removed when a node is made: more than one, so that their number falls. */
    constexpr int removedPerNewNode = 2;

    /** Time constant of the measured service rate: long enough to smooth it, short against the waits allowed. */
    constexpr double rateSeconds = 0.1;

    /** Largest decay for one start: with few starts a second, about the last 64 decide. */
    constexpr double rateKeepMin = 1 - 1.0 / 64;

    /** Busy time and starts that must have been seen before the measured rate is used. */
    constexpr double rateMinSeconds = 0.02;
    constexpr double rateMinStarts = 8;

    /** Speed of a node's virtual time while it is busy. It counts what competing flows take, also those to come. */
    struct ServiceRate {
        double advance = 0; ///< Decayed advance of virtual time in nanoseconds.
        double seconds = 0; ///< Decayed busy time.
        double starts = 0; ///< Decayed number of starts.
        Time updatedAt {};

        /** Counts a start that advances virtual time. */
        void started(double amount, Time now)
        {
            const double elapsed = elapsedAt(now);
            const double keep = std::max(rateKeepMin, std::exp(-elapsed / rateSeconds));
            advance = advance * keep + amount;
            seconds = seconds * keep + elapsed;
            starts = starts * keep + 1;
            updatedAt = std::max(updatedAt, now);
        }

        /** Counts busy time since the last start, or since the node became busy. */
        void waited(Time now)
        {
            seconds += elapsedAt(now);
            updatedAt = std::max(updatedAt, now);
        }

        double elapsedAt(Time now) const
        {
            return std::max(0.0, std::chrono::duration<double>(now - updatedAt).count());
        }

        bool known() const { return seconds >= rateMinSeconds && starts >= rateMinStarts; }
    };

} // namespace

/** Node of the tree: the root, a workload, a team or a caller (leaf). */
struct FairQueue::Node {
    struct Order {
        double start;
        Time deadline;
        std::uint64_t number;
        bool operator<(const Order& other) const
        {
            return std::tie(start, deadline, number) < std::tie(other.start, other.deadline, other.number);
        }
    };
    Node* parent = nullptr;
    std::string name;
    double weight = 1;
    double virtualTime = 0; ///< Start tag of the child served last.
    double activeWeight = 0; ///< Sum over the active children.
    Order order {}; ///< Start tag, deadline of the next request, and a number that makes it unique.
    std::uint64_t lastNumber = 0; ///< Highest number given to a child.
    std::unordered_map<std::string, std::unique_ptr<Node>> children;
    std::set<std::pair<Order, Node*>> active; ///< Children with waiting requests.
    std::set<std::pair<Order, Node*>> idle; ///< Other children.
    List items; ///< Leaf: waiting requests.
    std::size_t count = 0; ///< Leaf: number of waiting requests.
    double backlog = 0; ///< Cost of the requests waiting below, in nanoseconds.
    ServiceRate rate; ///< Of virtualTime.
    bool isActive = false;

    Node& child(const std::string& key, double childWeight);
    void activate(Time deadline, Time now);
    void deactivate(Time now);
    void collect();
    Time firstDeadline(const std::vector<Item>& slab) const;
};

/** Child of a name; a new one starts at the present virtual time. */
FairQueue::Node& FairQueue::Node::child(const std::string& key, double childWeight)
{
    if (auto it = children.find(key); it != children.end())
        return *it->second;
    collect();
    auto node = std::make_unique<Node>();
    node->parent = this;
    node->name = key;
    node->weight = childWeight;
    node->order = { virtualTime, {}, ++lastNumber };
    Node& made = *node;
    idle.insert({ made.order, &made });
    children.emplace(key, std::move(node));
    return made;
}

/** Forgets idle children that owe no service, or the least indebted above the limit. */
void FairQueue::Node::collect()
{
    for (int i = 0; i < removedPerNewNode && !idle.empty(); ++i) {
        Node* first = idle.begin()->second;
        if (first->order.start > virtualTime && idle.size() <= idleLimit)
            return;
        idle.erase(idle.begin());
        children.erase(std::string(first->name));
    }
}

/** Enters the parent's active children. */
void FairQueue::Node::activate(Time deadline, Time now)
{
    if (parent->active.empty())
        parent->rate.updatedAt = now;
    parent->idle.erase({ order, this });
    order.deadline = deadline;
    order.start = std::max(order.start, parent->virtualTime);
    parent->active.insert({ order, this });
    parent->activeWeight += weight;
    isActive = true;
}

/** Leaves the parent's active children. After the last one the parent's time catches up: a busy period has ended. */
void FairQueue::Node::deactivate(Time now)
{
    parent->active.erase({ order, this });
    parent->idle.insert({ order, this });
    parent->activeWeight -= weight;
    isActive = false;
    if (!parent->active.empty())
        return;
    parent->activeWeight = 0;
    parent->rate.waited(now);
    parent->virtualTime = std::max(parent->virtualTime, parent->idle.rbegin()->first.start);
}

/** Deadline of the request that would be next below the node. */
Time FairQueue::Node::firstDeadline(const std::vector<Item>& slab) const
{
    if (!active.empty())
        return active.begin()->first.deadline;
    return items.first == noHandle ? Time {} : slab[items.first].work.deadline;
}

FairQueue::FairQueue()
    : m_root(std::make_unique<Node>())
{
}

FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue&&) noexcept = default;
FairQueue& FairQueue::operator=(FairQueue&&) noexcept = default;

/**
 * Adds a request at the end of its caller's requests.
 * @param work Request.
 * @param weights Weights of its workload and team, for nodes that are made now.
 * @param cost Expected slot time.
 * @param serial Number that the caller never uses again.
 * @param now Present time.
 * @return Place of the request.
 */
QueueHandle FairQueue::push(
    const PromptWork& work, const FlowWeights& weights, Duration cost, std::uint64_t serial, Time now)
{
    QueueHandle handle = static_cast<QueueHandle>(m_items.size());
    if (m_free.empty()) {
        m_items.emplace_back();
    } else {
        handle = m_free.back();
        m_free.pop_back();
    }
    Node& leaf = leafOf(work, weights);
    Item& item = m_items[handle];
    item.work = work;
    item.serial = serial;
    item.cost = std::max(cost, Duration(1));
    item.leaf = &leaf;
    append(leaf.items, handle);
    ++leaf.count;
    ++m_size;
    addBacklog(&leaf, static_cast<double>(item.cost.count()));
    if (leaf.count == 1)
        reposition(&leaf, now);
    return handle;
}

/** Removes a request without service. @param handle Its place. @param now Present time. @return Request. */
PromptWork FairQueue::erase(QueueHandle handle, Time now)
{
    if (m_items[handle].overdue)
        unlink(m_overdue, handle);
    else
        removeFromLeaf(handle, now);
    return freeItem(handle);
}

/**
 * Moves a request to the list of those that go first; it is no longer charged to its caller.
 * @param handle Its place.
 * @param now Present time.
 */
void FairQueue::markOverdue(QueueHandle handle, Time now)
{
    removeFromLeaf(handle, now);
    m_items[handle].overdue = true;
    append(m_overdue, handle);
}

/** Request that is next by fairness, overdue ones left aside. @return Its place, noHandle if there is none. */
QueueHandle FairQueue::next() const
{
    const Node* node = m_root.get();
    while (!node->active.empty())
        node = node->active.begin()->second;
    return node->items.first;
}

/** Removes a request for service and charges its flow. @param handle Its place. @param now Present time. @return
 * Request. */
PromptWork FairQueue::take(QueueHandle handle, Time now)
{
    Node* node = m_items[handle].leaf;
    const auto cost = static_cast<double>(m_items[handle].cost.count());
    for (; node && node->parent; node = node->parent) {
        const double before = node->parent->virtualTime;
        node->parent->virtualTime = std::max(before, node->order.start);
        node->parent->rate.started(node->parent->virtualTime - before, now);
        node->parent->active.erase({ node->order, node });
        node->order.start += cost / node->weight;
        node->parent->active.insert({ node->order, node });
    }
    return erase(handle, now);
}

/** Whether a place still holds the request it was given to. @param handle Place. @param serial Number given to push. */
bool FairQueue::holds(QueueHandle handle, std::uint64_t serial) const
{
    return handle < m_items.size() && m_items[handle].serial == serial;
}

/**
 * Wait of a new request by the measured speed of virtual time: at each level the distance to the request's place. The
 * present length of the queue alone says too little, since flows that come later may go first.
 * @param work New request.
 * @param now Present time.
 * @return Wait; nothing if the queue has not been busy for long enough.
 */
std::optional<Duration> FairQueue::measuredWait(const PromptWork& work, Time now) const
{
    const std::string* const names[] = { &work.workload.value, &work.team.value, &work.caller.value };
    std::optional<double> seconds;
    const Node* parent = m_root.get();
    for (std::size_t level = 0; parent && level < 3; ++level) {
        const auto it = parent->children.find(*names[level]);
        const Node* node = it == parent->children.end() ? nullptr : it->second.get();
        ServiceRate rate = parent->rate;
        rate.waited(now);
        if (rate.known() && !parent->active.empty()) {
            // Only the caller's own requests are all ahead of a new one; of a team or workload it is the debt alone.
            const double debt = node ? std::max(0.0, node->order.start - parent->virtualTime) : 0;
            const double own = node && level == 2 ? node->backlog : 0;
            const double speed = std::max(rate.advance, 1.0) / rate.seconds;
            seconds = std::max(seconds.value_or(0), (debt + own) / speed);
        }
        parent = node;
    }
    if (!seconds)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(std::min(*seconds, 86400.0) * 1e9));
}

/**
 * Estimate of the requests served before a new one: by its flow's own length and share, and never more than all.
 * @param work New request.
 * @param weights Its weights.
 * @return Number of requests.
 */
double FairQueue::itemsAhead(const PromptWork& work, const FlowWeights& weights) const
{
    // Half a round is the mean wait for the turn of a flow that is not in the middle of a round.
    const double own = (static_cast<double>(queuedOfCaller(work)) + 0.5) / share(work, weights) - 0.5;
    return std::min(static_cast<double>(m_size), own);
}

/**
 * Share of the service that a flow gets among those that wait now, itself included.
 * @param work Request of the flow.
 * @param weights Its weights.
 * @return Share, above 0 up to 1.
 */
double FairQueue::share(const PromptWork& work, const FlowWeights& weights) const
{
    const std::string* const names[] = { &work.workload.value, &work.team.value, &work.caller.value };
    const double levelWeights[] = { weights.workload, weights.team, 1 };
    double result = 1;
    const Node* node = m_root.get();
    for (std::size_t level = 0; node && level < 3; ++level) {
        const auto it = node->children.find(*names[level]);
        const Node* child = it == node->children.end() ? nullptr : it->second.get();
        const double weight = child ? child->weight : levelWeights[level];
        result *= weight / (node->activeWeight + (child && child->isActive ? 0 : weight));
        node = child;
    }
    return result;
}

/** Waiting requests of the same workload, team and caller. @param work Request. @return Number. */
std::size_t FairQueue::queuedOfCaller(const PromptWork& work) const
{
    const Node* leaf = findLeaf(work);
    return leaf ? leaf->count : 0;
}

/** Number of nodes, idle ones included. @return Number. */
std::size_t FairQueue::nodes() const
{
    std::size_t result = 1;
    for (const auto& [workload, teams] : m_root->children) {
        result += 1 + teams->children.size();
        for (const auto& [team, callers] : teams->children)
            result += callers->children.size();
    }
    return result;
}

/** Sets the weights of all nodes anew. @param hooks Weights in force. */
void FairQueue::applyWeights(const WeightHooks& hooks)
{
    const auto set = [](Node& node, double weight) {
        if (node.isActive)
            node.parent->activeWeight += weight - node.weight;
        node.weight = weight;
    };
    for (const auto& [workload, teams] : m_root->children) {
        set(*teams, hooks.workload(WorkloadId(workload)));
        for (const auto& [team, callers] : teams->children)
            set(*callers, hooks.team(TeamId(team)));
    }
}

/** Throws std::logic_error if counts, links or the order of the tree are broken. */
void FairQueue::checkInvariants() const
{
    std::size_t found = 0;
    const auto walk = [&](const auto& self, const Node& node) -> std::size_t {
        std::size_t below = 0;
        for (QueueHandle i = node.items.first; i != noHandle; i = m_items[i].next) {
            ++below;
            if (m_items[i].leaf != &node)
                throw std::logic_error("fair queue: request in the wrong list");
        }
        if (below != node.count)
            throw std::logic_error("fair queue: count of a caller is wrong");
        for (const auto& [key, child] : node.children) {
            const std::size_t inside = self(self, *child);
            if (child->isActive != (inside > 0)
                || child->isActive != node.active.contains({ child->order, child.get() })
                || child->isActive == node.idle.contains({ child->order, child.get() }))
                throw std::logic_error("fair queue: node " + child->name + " is in the wrong set");
            below += inside;
        }
        if (node.active.size() + node.idle.size() != node.children.size())
            throw std::logic_error("fair queue: sets and children differ");
        return below;
    };
    found = walk(walk, *m_root);
    for (QueueHandle i = m_overdue.first; i != noHandle; i = m_items[i].next)
        ++found;
    if (found != m_size || found + m_free.size() != m_items.size())
        throw std::logic_error("fair queue: number of requests is wrong");
}

/** Leaf of a request; makes the nodes that are missing. */
FairQueue::Node& FairQueue::leafOf(const PromptWork& work, const FlowWeights& weights)
{
    return m_root->child(work.workload.value, weights.workload)
        .child(work.team.value, weights.team)
        .child(work.caller.value, 1);
}

const FairQueue::Node* FairQueue::findLeaf(const PromptWork& work) const
{
    const Node* node = m_root.get();
    for (const std::string* name : { &work.workload.value, &work.team.value, &work.caller.value }) {
        const auto it = node->children.find(*name);
        if (it == node->children.end())
            return nullptr;
        node = it->second.get();
    }
    return node;
}

/** Adds to the backlog of a leaf and the nodes above it. */
void FairQueue::addBacklog(Node* leaf, double cost)
{
    for (Node* node = leaf; node; node = node->parent)
        node->backlog += cost;
}

void FairQueue::append(List& list, QueueHandle handle)
{
    Item& item = m_items[handle];
    item.previous = list.last;
    item.next = noHandle;
    (list.last == noHandle ? list.first : m_items[list.last].next) = handle;
    list.last = handle;
}

void FairQueue::unlink(List& list, QueueHandle handle)
{
    const Item& item = m_items[handle];
    (item.previous == noHandle ? list.first : m_items[item.previous].next) = item.next;
    (item.next == noHandle ? list.last : m_items[item.next].previous) = item.previous;
}

/** Takes a request out of its caller's list; only if it was the first do nodes move. */
void FairQueue::removeFromLeaf(QueueHandle handle, Time now)
{
    Node* leaf = m_items[handle].leaf;
    const bool first = leaf->items.first == handle;
    unlink(leaf->items, handle);
    --leaf->count;
    addBacklog(leaf, -static_cast<double>(m_items[handle].cost.count()));
    m_items[handle].leaf = nullptr;
    if (first)
        reposition(leaf, now);
}

/** Empties a place for the next request. */
PromptWork FairQueue::freeItem(QueueHandle handle)
{
    Item& item = m_items[handle];
    PromptWork work = std::move(item.work);
    item = Item {};
    m_free.push_back(handle);
    --m_size;
    return work;
}

/** Moves a node and those above it to their places after the node's first request has changed. */
void FairQueue::reposition(Node* node, Time now)
{
    for (; node->parent; node = node->parent) {
        const bool waiting = node->items.first != noHandle || !node->active.empty();
        const Time deadline = node->firstDeadline(m_items);
        if (node->isActive && !waiting) {
            node->deactivate(now);
        } else if (waiting && !node->isActive) {
            node->activate(deadline, now);
        } else if (waiting && node->order.deadline != deadline) {
            node->parent->active.erase({ node->order, node });
            node->order.deadline = deadline;
            node->parent->active.insert({ node->order, node });
        }
    }
}

} // namespace sp
