#include "cell_owner.h"

#include "log_line.h"

namespace sp {

/**
 * Begins the ownership of the cell and restores its jobs from the store. Records that cannot be decoded are logged and
 * skipped.
 * @param token Fencing token of this ownership; higher than all earlier ones.
 * @param records Records read from the store after the ownership was acquired.
 */
void CellOwner::begin(FencingToken token, const CellRecords& records, Time now)
{
    m_active = true;
    m_mayOrder = true;
    m_token = token;
    m_ownedSince = now;
    m_eventTime = now;
    std::unordered_map<JobId, CellJobSpec> specs;
    for (const StoreKeyValue& item : records.specs) {
        if (auto spec = decodeJobSpec(item.value))
            specs.emplace(spec->id, std::move(*spec));
        else
            LogLine(LogLevel::Error, "job_spec_unreadable").with("key", item.key).with("bytes", item.value.size());
    }
    const CalendarTime calendar = m_hooks.calendar();
    std::map<AccountId, std::pair<Revision, Resources>> maximumAsOf; ///< By the latest record of the account's jobs.
    std::size_t runsToConfirm = 0;
    for (const StoreKeyValue& item : records.jobs) {
        auto owned = std::make_unique<CellJob>();
        CellJob& job = *owned;
        const JobId id(item.key.substr(std::string_view(CellKeys::jobs).size()));
        if (const auto spec = specs.find(id); spec != specs.end()) {
            job.spec = std::move(spec->second);
            job.specStored = true;
        }
        if (!decodeJobRecord(item.value, job)) {
            LogLine(LogLevel::Error, "job_record_unreadable").with("key", item.key).with("bytes", item.value.size());
            continue;
        }
        job.specRemoved = !job.specStored;
        job.specStored = true;
        const auto age = std::max(std::chrono::milliseconds(0), calendar - job.acceptedAt);
        job.submittedAt = now - age;
        job.finishedAt = now;
        m_jobs.emplace(id, std::move(owned));
        if (!job.spec.account.empty() && item.modRevision > maximumAsOf[job.spec.account].first)
            maximumAsOf[job.spec.account] = { item.modRevision, job.accountMaximum };
        if (isFinal(job.state)) {
            recoverLeavingRuns(job, now);
            continue;
        }
        std::size_t openTasks = 0;
        std::size_t runs = 0;
        for (auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                auto& tasks = occurrence.steps[s].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    TaskState& task = tasks[i];
                    job.begun |= task.run > 0;
                    openTasks += task.done ? 0 : 1;
                    if (task.done || task.recordedTarget.empty())
                        continue;
                    // The run may still be active until the target's report or the end of its lease shows otherwise.
                    const StepSpec& spec = job.spec.steps[s];
                    CellTarget& target
                        = recoverTarget(task.recordedTarget, task.recordedMachine, task.recordedBornAt, now);
                    task.target = &target;
                    Occupant occupant = makeOccupant(spec, task.run, RunPhase::Recovered, now);
                    occupant.account = job.spec.account;
                    occupant.bornAt = task.recordedBornAt;
                    occupant.image = m_interference.imageNumber(RunTimeProfile::groupOf(spec, job.spec.queue), now);
                    occupant.startedAt = now;
                    occupant.begun = task.begun;
                    occupant.alone = task.alone;
                    occupant.heardBeforeStart = task.alone; // By the rule of awaitsAnswerBeforeStart().
                    const CellTaskKey key { id, number, s, i };
                    target.occupy(key, occupant);
                    ++runs;
                    LogLine(LogLevel::Info, "run_recovered")
                        .with("task", taskText(key))
                        .with("run", task.run)
                        .with("target", target.id())
                        .with("lease_ends_in_ms", toMs(target.lapsesBy - now));
                }
            }
        }
        recoverLeavingRuns(job, now);
        runsToConfirm += runs;
        LogLine(LogLevel::Info, "job_recovered")
            .with("job", id)
            .with("queue", job.spec.queue)
            .with("record", item.modRevision)
            .with("open_tasks", openTasks)
            .with("runs", runs)
            .with("age_ms", age.count());
        activateJob(job, now);
    }
    for (const auto& [account, latest] : maximumAsOf)
        m_accountUsage.restoreMaximum(account, latest.second);
    logRestoredUsage();
    LogLine(LogLevel::Info, "owner_began")
        .with("token", token)
        .with("jobs", m_jobs.size())
        .with("open_jobs", m_open.size())
        .with("runs_to_confirm", runsToConfirm);
    m_dispatchDue = true;
    wakeBy(now);
}

} // namespace sp
