/** @file account_usage.h What each client account has running on all targets, against its maximum. */
#pragma once

#include "cell_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sp {

/** A run that counts towards an account. */
struct AccountRun {
    AccountId account; ///< Empty for a run that counts towards none.
    CellTaskKey task;
    TargetId target;
    Resources demand; ///< Declared demand of the task; 0 if it is not known.
    bool sizeUnknown = false; ///< The demand is not known; no run of the account starts meanwhile.
};

/** Usage and maximum of each account. Runs without an account are passed over. */
class AccountUsage {
public:
    // Maxima.
    void setAccounts(const std::vector<ClientAccount>& accounts);
    void restoreMaximum(const AccountId& account, const Resources& maximum);

    // Runs.
    void charge(const AccountRun& run);
    void credit(const AccountRun& run);
    void clearRuns();

    // Checks.
    bool knows(const AccountId& account) const;
    Resources maximum(const AccountId& account) const;
    Resources used(const AccountId& account) const;
    bool mayStart(const AccountId& account, const Resources& demand) const;
    bool fitsAlone(const AccountId& account, const Resources& demand) const;
    std::vector<std::pair<CellTaskKey, TargetId>> runsOf(const JobId& job) const;
    std::vector<AccountId> accounts() const;

    // Denied starts.
    bool noteDenied(const AccountId& account, Time now);
    std::vector<AccountId> takeEndedDenials(Time now);
    std::size_t deniedAccounts() const;

private:
    struct Account {
        bool known = false; ///< The maximum is known, from a configuration or a record.
        Resources maximum; ///< Last known one; 0 for no limit.
        Resources used;
        int unknownRuns = 0; ///< Runs whose demand is not known.
        Time deniedAt {}; ///< Time at which a start was last denied; unset if none was lately.
    };
    const Account* find(const AccountId& account) const;

    std::map<AccountId, Account> m_accounts;
    std::set<std::pair<CellTaskKey, TargetId>> m_runs; ///< All runs that count towards an account.
};

} // namespace sp
