#include "soak/fake_target.h"

#include <nlohmann/json.hpp>

namespace sp::soak {

/** Checks a term and keeps the highest. @param forShard Shard. @param term Term of the call. @return False if a higher
 * term was seen. */
bool FakeTarget::takeTerm(const ShardId& forShard, Term term)
{
    Term& known = highest[forShard];
    if (term < known)
        return false;
    known = term;
    return true;
}

/** @return Resources of the running tasks. */
Resources FakeTarget::used() const
{
    Resources sum;
    for (const auto& [workId, work] : running)
        sum += work.size;
    return sum;
}

/** @param size Size of a task, nothing for a request. @return Whether it can run beside the running work. */
bool FakeTarget::hasRoom(const Resources& size) const
{
    return isWorker ? (used() + size).fitsIn(capacity) : running.size() < slots;
}

/** Report under a term; renews the leases of the tasks. @param forShard Shard. @param term Term of the asker. @param
 * now Present time of the world. @param mutations Broken mechanisms. @return Report. */
TargetReported FakeTarget::report(const ShardId& forShard, Term term, Time now, const SoakMutations& mutations)
{
    TargetReported report;
    report.target = id;
    report.shard = forShard;
    report.term = term;
    const bool isCurrent = takeTerm(forShard, term);
    report.highestTerm = highest[forShard];
    report.leaving = leavingSince.has_value() && !mutations.hideLeaving;
    for (auto& [workId, work] : running) {
        if (mutations.hideRunningWork)
            break;
        if (!isWorker) {
            report.runningRequests.emplace_back(workId);
            continue;
        }
        if (isCurrent)
            work.leaseUntil = now + work.lease.time_since_epoch();
        report.runningTasks.push_back({ TaskId(workId), work.size, work.size });
    }
    for (const auto& [task, end] : finished) {
        if (!mutations.hideFinishedWork)
            report.finishedTasks.push_back(end);
    }
    return report;
}

/** @return Value of the target's entry in the host list. */
std::string FakeTarget::hostEntry() const
{
    nlohmann::json entry { { "kind", isWorker ? "worker" : "instance" }, { "data_centre", dataCentre.value },
        { "rack", rack }, { "address", "127.0.0.1:1" }, { "state", leavingSince ? "leaving" : "live" } };
    if (isWorker) {
        entry["cores_milli"] = capacity.coresMilli;
        entry["memory_mb"] = capacity.memoryMb;
        entry["accelerators"] = capacity.accelerators;
    } else {
        entry["service"] = "web";
        entry["slots"] = slots;
        entry["connections"] = slots * 4;
    }
    return entry.dump();
}

} // namespace sp::soak
