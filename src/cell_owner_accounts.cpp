#include "cell_owner.h"

#include "log_line.h"

namespace sp {

namespace {

    /** A run named by an older record has certainly ended: the longest lease, the notice of a restart and the
     * difference between calendar clocks together take far less. */
    constexpr std::chrono::seconds leavingRunMemory { 60 };

} // namespace

/** Returns whether the account of a job stays within its maximum if some tasks of a step start together. */
bool CellOwner::withinQuota(const CellJob& job, const StepSpec& spec, std::uint32_t tasks, Time now)
{
    const AccountId& account = job.spec.account;
    const Resources demand = spec.demand * tasks;
    if (m_accountUsage.mayStart(account, demand))
        return true;
    if (m_accountUsage.noteDenied(account, now)) {
        m_quotaDenials.add();
        const Resources used = m_accountUsage.used(account);
        const Resources maximum = m_accountUsage.maximum(account);
        LogLine(LogLevel::Info, "account_at_maximum")
            .with("account", account)
            .with("job", job.spec.id)
            .with("tasks", tasks)
            .with("cores_milli", demand.coresMilli)
            .with("used_cores_milli", used.coresMilli)
            .with("maximum_cores_milli", maximum.coresMilli)
            .with("memory_mb", demand.memoryMb)
            .with("used_memory_mb", used.memoryMb)
            .with("maximum_memory_mb", maximum.memoryMb)
            .with("used_accelerators", used.accelerators)
            .with("maximum_accelerators", maximum.accelerators);
    }
    return false;
}

/** Logs the accounts that are no longer at their maximum. */
void CellOwner::noteEndedDenials(Time now)
{
    for (const AccountId& account : m_accountUsage.takeEndedDenials(now))
        LogLine(LogLevel::Info, "account_below_maximum")
            .with("account", account)
            .with("used_cores_milli", m_accountUsage.used(account).coresMilli)
            .with("maximum_cores_milli", m_accountUsage.maximum(account).coresMilli);
    m_accountsAtMaximum.set(static_cast<std::int64_t>(m_accountUsage.deniedAccounts()));
}

/** Applies the maxima of a new configuration. */
void CellOwner::setAccounts(const std::vector<ClientAccount>& accounts)
{
    m_accountUsage.setAccounts(accounts);
    for (const ClientAccount& account : accounts) {
        const Resources used = m_accountUsage.used(account.id);
        if (used.withinLimit(account.maximum))
            continue;
        LogLine(LogLevel::Info, "account_above_maximum")
            .with("account", account.id)
            .with("used_cores_milli", used.coresMilli)
            .with("maximum_cores_milli", account.maximum.coresMilli)
            .with("used_memory_mb", used.memoryMb)
            .with("maximum_memory_mb", account.maximum.memoryMb);
        withdrawUnsentRuns(account.id);
    }
    m_dispatchDue |= !accounts.empty();
}

/** Withdraws placements of an account above its maximum of which no order was sent yet, as far as needed to fit. */
void CellOwner::withdrawUnsentRuns(const AccountId& account)
{
    for (const auto& [id, target] : m_targets) {
        const auto unsent = target->tasksWhere([&](const CellTaskKey&, const Occupant& occupant) {
            return occupant.account == account
                && (occupant.phase == RunPhase::Recording
                    || (occupant.phase == RunPhase::Ordered && occupant.tries == 0));
        });
        for (const CellTaskKey& key : unsent) {
            if (m_accountUsage.mayStart(account, {}))
                return;
            handleRefusedStart(*target, key, "the maximum of the account is lower now", m_eventTime);
        }
    }
}

/** Returns why the account of a job can never run it, nothing if it can. */
std::optional<std::string> CellOwner::quotaProblem(const CellJobSpec& spec) const
{
    if (spec.account.empty())
        return std::nullopt;
    if (!m_accountUsage.knows(spec.account))
        return "the account is not in the configuration";
    for (const StepSpec& step : spec.steps) {
        if (!m_accountUsage.fitsAlone(spec.account, step.demand * (step.gang ? step.tasks : 1)))
            return step.gang ? "a gang exceeds the maximum of the account"
                             : "a task exceeds the maximum of the account";
    }
    return std::nullopt;
}

/**
 * Notes what the record of a job must hold for its account: runs of the job that no task names any more, as they are
 * being stopped, since a new owner would otherwise not count them until their targets report.
 */
void CellOwner::noteAccountState(CellJob& job)
{
    if (job.spec.account.empty())
        return;
    job.accountMaximum = m_accountUsage.maximum(job.spec.account);
    job.writtenAt = m_hooks.calendar();
    job.leaving.clear();
    for (const auto& [key, id] : m_accountUsage.runsOf(job.spec.id)) {
        const CellTarget& target = *m_targets.at(id);
        const Occupant& occupant = target.occupants.at(key);
        const TaskState* task = job.task(key);
        const bool named = task && !task->done && task->recordedTarget == id && task->run == occupant.run;
        if (!named && occupant.phase != RunPhase::Recording)
            job.leaving.push_back({ key, occupant.run, id, occupant.bornAt, target.entry.machine, occupant.demand,
                occupant.fills, occupant.sizeUnknown });
    }
}

/** Restores the runs that were being stopped when the record of a job was written; they are ordered to stop again. */
void CellOwner::recoverLeavingRuns(const CellJob& job, Time now)
{
    if (job.leaving.empty() || m_hooks.calendar() - job.writtenAt > leavingRunMemory)
        return;
    for (const LeavingRun& run : job.leaving) {
        CellTarget& target = recoverTarget(run.target, run.machine, run.bornAt, now);
        if (target.occupants.contains(run.task))
            continue;
        Occupant occupant;
        occupant.run = run.run;
        occupant.phase = RunPhase::Stopping;
        occupant.stopReason = "stopped by a former owner";
        occupant.account = job.spec.account;
        occupant.demand = run.demand;
        occupant.taken = { run.fills ? 0 : run.demand.coresMilli, run.demand.memoryMb, run.demand.accelerators };
        occupant.sizeUnknown = run.sizeUnknown;
        occupant.fills = run.fills;
        occupant.bornAt = run.bornAt;
        occupant.since = now;
        occupant.startedAt = now;
        occupant.retryAt = now;
        target.occupy(run.task, occupant);
        LogLine(LogLevel::Info, "run_recovered")
            .with("task", taskText(run.task))
            .with("run", run.run)
            .with("target", run.target)
            .with("phase", "stopping")
            .with("lease_ends_in_ms", toMs(target.lapsesBy - now));
    }
}

/** Logs what the records say of each account, after the runs of a former owner have been restored. */
void CellOwner::logRestoredUsage() const
{
    for (const AccountId& account : m_accountUsage.accounts()) {
        const Resources used = m_accountUsage.used(account);
        if (used != Resources {})
            LogLine(LogLevel::Info, "account_usage_restored")
                .with("account", account)
                .with("used_cores_milli", used.coresMilli)
                .with("used_memory_mb", used.memoryMb)
                .with("used_accelerators", used.accelerators)
                .with("maximum_cores_milli", m_accountUsage.maximum(account).coresMilli);
    }
}

/** Counts the usage of all accounts anew, from the runs on all targets. @return Accounts with a difference. */
std::vector<AccountId> CellOwner::accountsMiscounted() const
{
    std::map<AccountId, Resources> counted;
    for (const auto& [id, target] : m_targets) {
        for (const auto& [key, occupant] : target->occupants)
            counted[occupant.account] += occupant.demand;
    }
    counted.erase(AccountId());
    std::vector<AccountId> wrong;
    for (const AccountId& account : m_accountUsage.accounts()) {
        if (m_accountUsage.used(account) != counted[account])
            wrong.push_back(account);
        counted.erase(account);
    }
    for (const auto& [account, used] : counted)
        wrong.push_back(account);
    return wrong;
}

} // namespace sp
