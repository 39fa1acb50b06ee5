/** @file task_test_base.h Shared fixtures for the tests of task scheduling. */
#pragma once

#include "environment_seed.h"
#include "task_scheduler.h"

#include <random>

namespace sp::test {

inline Time at(double seconds)
{
    return Time {} + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000 + seconds));
}

inline WorkerInfo workerInfo(int number, Resources capacity = { 32000, 65536, 0 }, int perRack = 6)
{
    WorkerInfo info;
    info.id = TargetId("w" + std::to_string(number));
    info.rack = RackId("r" + std::to_string(number / perRack));
    info.capacity = capacity;
    return info;
}

inline JobSpec jobSpec(const std::string& id, const std::string& workload, Resources size, std::uint32_t tasks = 1,
    const std::string& team = "t0")
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.team = TeamId(team);
    spec.workload = WorkloadId(workload);
    spec.size = size;
    spec.tasks = tasks;
    return spec;
}

inline void addWorkload(Bundle& bundle, const std::string& name, WorkClass workClass, bool idempotent = true,
    Priority priority = Priority::Normal)
{
    WorkloadPolicy policy;
    policy.id = WorkloadId(name);
    policy.workClass = workClass;
    policy.idempotent = idempotent;
    policy.priority = priority;
    policy.queueLimit = 100000;
    bundle.workloads[policy.id] = policy;
}

inline Bundle testBundle()
{
    Bundle bundle;
    bundle.cell.dataCentres = { DataCentreId("dc1") };
    addWorkload(bundle, "batch", WorkClass::Batch);
    addWorkload(bundle, "batch2", WorkClass::Batch);
    addWorkload(bundle, "once", WorkClass::Batch, false);
    addWorkload(bundle, "urgent", WorkClass::Batch, true, Priority::Urgent);
    addWorkload(bundle, "gang", WorkClass::Gang);
    addWorkload(bundle, "gang-once", WorkClass::Gang, false);
    addWorkload(bundle, "hold", WorkClass::Hold);
    return bundle;
}

/** Returns a scheduler with the given number of usable workers of equal capacity, two in each rack. */
inline TaskScheduler testScheduler(
    int workers, const Bundle& bundle = testBundle(), Resources capacity = { 8000, 8192, 0 })
{
    TaskScheduler scheduler;
    scheduler.applyPolicy(bundle);
    for (int i = 0; i < workers; ++i) {
        scheduler.putWorker(workerInfo(i, capacity, 2), at(0));
        scheduler.setUsable(workerInfo(i).id, true, at(0));
    }
    return scheduler;
}

} // namespace sp::test
