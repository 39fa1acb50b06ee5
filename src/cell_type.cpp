#include "cell_type.h"

#include <algorithm>
#include <array>

namespace sp {

namespace {

    template <typename List, typename Id> const typename List::value_type* find(const List& list, const Id& id)
    {
        const auto it = std::find_if(list.begin(), list.end(), [&](const auto& entry) { return entry.id == id; });
        return it == list.end() ? nullptr : &*it;
    }

} // namespace

/** Queue by its id. @param id Queue. @return Queue, null if the configuration has none of that id. */
const QueueConfig* CellConfig::queue(const QueueId& id) const { return find(queues, id); }

/** Service by its id. @param id Service. @return Service, null if the configuration has none of that id. */
const ServiceConfig* CellConfig::service(const ServiceId& id) const { return find(services, id); }

/**
 * Queue of a request.
 * @param host Host name of the request, without a port.
 * @param path Path of the request.
 * @return Queue of that host with the longest prefix of the path, null if there is none.
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

/** Name of a state in answers, records and logs. @param state State. @return Name. */
const char* jobStateName(JobState state)
{
    static constexpr std::array<const char*, 5> names { "queued", "running", "completed", "failed", "cancelled" };
    return names[static_cast<std::size_t>(state)];
}

/** Whether a state is never left. @param state State. @return True for completed, failed and cancelled. */
bool isFinal(JobState state) { return state >= JobState::Completed; }

/** Text of a step for logs. @param key Step. @return `job.occurrence.step`. */
std::string stepText(const StepKey& key)
{
    return key.job.value + '.' + std::to_string(key.occurrence) + '.' + std::to_string(key.step);
}

/** Text of a task for logs. @param key Task. @return `job.occurrence.step.index`. */
std::string taskText(const CellTaskKey& key) { return stepText(key.stepKey()) + '.' + std::to_string(key.index); }

/** Name of an end for logs. @param kind Kind. @return Name. */
const char* endKindName(EndKind kind)
{
    static constexpr std::array<const char*, 6> names { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<std::size_t>(kind)];
}

/** Name of a result for logs. @param result Result. @return Name. */
const char* orderResultName(OrderResult result)
{
    static constexpr std::array<const char*, 11> names { "done", "fenced", "outdated", "lease_past", "no_room",
        "bad_ticket", "unhealthy", "rejected", "other_life", "not_sent", "lost" };
    return names[static_cast<std::size_t>(result)];
}

} // namespace sp
