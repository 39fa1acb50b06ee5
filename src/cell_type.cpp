#include "cell_type.h"

#include <algorithm>
#include <array>

namespace sp {

namespace {

    template <typename List, typename Id> const typename List::value_type* findById(const List& list, const Id& id)
    {
        const auto it = std::find_if(list.begin(), list.end(), [&](const auto& entry) { return entry.id == id; });
        return it == list.end() ? nullptr : &*it;
    }

} // namespace

/** Returns the queue with this id, null if the configuration has none. */
const QueueConfig* CellConfig::queue(const QueueId& id) const { return findById(queues, id); }

/** Returns the service with this id, null if the configuration has none. */
const ServiceConfig* CellConfig::service(const ServiceId& id) const { return findById(services, id); }

/**
 * Finds the queue that a request is meant for.
 * @param host Host name of the request, without a port.
 * @param path Path of the request.
 * @return Queue of that host with the longest matching path prefix, null if there is none.
 */
const QueueConfig* CellConfig::match(const std::string& host, const std::string& path) const
{
    const QueueConfig* best = nullptr;
    for (const QueueConfig& queue : queues) {
        if (queue.host == host && path.starts_with(queue.prefix)
            && (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

/** Returns the account with an id, null if the configuration has none. */
const ClientAccount* CellConfig::account(const AccountId& id) const { return findById(accounts, id); }

/** Returns the name of a state, as used in answers, records and logs. */
const char* jobStateName(JobState state)
{
    static constexpr std::array<const char*, 5> names { "queued", "running", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(state)];
}

/** Returns true for the states completed, failed and cancelled, which a job never leaves. */
bool isFinal(JobState state) { return state >= JobState::Completed; }

/** Formats a step as `job.occurrence.step`, for logs. */
std::string stepText(const StepKey& key)
{
    return key.job.value + '.' + std::to_string(key.occurrence) + '.' + std::to_string(key.step);
}

/** Formats a task as `job.occurrence.step.index`, for logs. */
std::string taskText(const CellTaskKey& key) { return stepText(key.stepKey()) + '.' + std::to_string(key.index); }

/** Returns the name of the way in which a run ended, for logs. */
const char* endKindName(EndKind kind)
{
    static constexpr std::array<const char*, 6> names { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<std::size_t>(kind)];
}

/** Returns the name of the result of an order, for logs. */
const char* orderResultName(OrderResult result)
{
    static constexpr std::array<const char*, 11> names { "done", "fenced", "outdated", "lease_past", "no_room",
        "bad_ticket", "unhealthy", "rejected", "other_life", "not_sent", "lost" };
    return names[static_cast<std::size_t>(result)];
}

} // namespace sp
