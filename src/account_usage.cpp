#include "account_usage.h"

#include <algorithm>

namespace sp {

namespace {

    /** Starts of a waiting step are tried at least every 0.1 s, so an account without a denial for this time has room.
     */
    constexpr std::chrono::seconds denialMemory { 1 };

} // namespace

/** Applies the maxima of a configuration. An account missing from it keeps its last known one for the work it has. */
void AccountUsage::setAccounts(const std::vector<ClientAccount>& accounts)
{
    for (const ClientAccount& account : accounts) {
        Account& state = m_accounts[account.id];
        state.known = true;
        state.maximum = account.maximum;
    }
}

/** Sets the maximum of an account that no configuration seen by this process has held, as known to a former owner. */
void AccountUsage::restoreMaximum(const AccountId& account, const Resources& maximum)
{
    Account& state = m_accounts[account];
    if (state.known)
        return;
    state.known = true;
    state.maximum = maximum;
}

void AccountUsage::charge(const AccountRun& run)
{
    if (run.account.empty())
        return;
    Account& state = m_accounts[run.account];
    state.used += run.demand;
    state.unknownRuns += run.sizeUnknown ? 1 : 0;
    m_runs.emplace(run.task, run.target);
}

/** Ends what charge() began with the same run. */
void AccountUsage::credit(const AccountRun& run)
{
    if (run.account.empty())
        return;
    Account& state = m_accounts[run.account];
    state.used -= run.demand;
    state.unknownRuns -= run.sizeUnknown ? 1 : 0;
    m_runs.erase({ run.task, run.target });
}

/** Forgets all runs and denials, but no maximum. */
void AccountUsage::clearRuns()
{
    m_runs.clear();
    for (auto& [id, account] : m_accounts) {
        account.used = {};
        account.unknownRuns = 0;
        account.deniedAt = {};
    }
}

const AccountUsage::Account* AccountUsage::find(const AccountId& account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? nullptr : &it->second;
}

/** Returns whether the maximum of an account is known. */
bool AccountUsage::knows(const AccountId& account) const
{
    const Account* state = find(account);
    return state && state->known;
}

/** Returns the maximum that is in force for an account; 0 for no limit. */
Resources AccountUsage::maximum(const AccountId& account) const
{
    const Account* state = find(account);
    return state ? state->maximum : Resources {};
}

/** Returns the declared demand of all runs of an account. */
Resources AccountUsage::used(const AccountId& account) const
{
    const Account* state = find(account);
    return state ? state->used : Resources {};
}

/** Returns whether an account stays within its maximum if work of this demand starts. */
bool AccountUsage::mayStart(const AccountId& account, const Resources& demand) const
{
    const Account* state = account.empty() ? nullptr : find(account);
    return !state || (state->unknownRuns == 0 && (state->used + demand).withinLimit(state->maximum));
}

/** Returns whether work of this demand is within the maximum of an account that runs nothing else. */
bool AccountUsage::fitsAlone(const AccountId& account, const Resources& demand) const
{
    return account.empty() || demand.withinLimit(maximum(account));
}

/** Returns the runs of a job that count towards its account. */
std::vector<std::pair<CellTaskKey, TargetId>> AccountUsage::runsOf(const JobId& job) const
{
    std::vector<std::pair<CellTaskKey, TargetId>> runs;
    for (auto it = m_runs.lower_bound({ CellTaskKey { job }, TargetId() }); it != m_runs.end() && it->first.job == job;
         ++it)
        runs.push_back(*it);
    return runs;
}

/** Returns all accounts that are known or have runs. */
std::vector<AccountId> AccountUsage::accounts() const
{
    std::vector<AccountId> ids;
    for (const auto& [id, account] : m_accounts)
        ids.push_back(id);
    return ids;
}

/** Notes that a start was denied. @return True if the account was not at its maximum before. */
bool AccountUsage::noteDenied(const AccountId& account, Time now)
{
    return std::exchange(m_accounts[account].deniedAt, now) == Time {};
}

/** Returns the accounts that are no longer at their maximum, each once. */
std::vector<AccountId> AccountUsage::takeEndedDenials(Time now)
{
    std::vector<AccountId> ended;
    for (auto& [id, account] : m_accounts) {
        if (account.deniedAt != Time {} && now - account.deniedAt > denialMemory) {
            account.deniedAt = {};
            ended.push_back(id);
        }
    }
    return ended;
}

/** Returns the number of accounts of which a start was denied lately. */
std::size_t AccountUsage::deniedAccounts() const
{
    return static_cast<std::size_t>(std::count_if(
        m_accounts.begin(), m_accounts.end(), [](const auto& item) { return item.second.deniedAt != Time {}; }));
}

} // namespace sp
