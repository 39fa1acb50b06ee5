#include "doctest_main.h"

#include "account_usage.h"
#include "cell_target.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

AccountRun run(const std::string& account, std::uint32_t index, const std::string& target, Resources demand)
{
    return { AccountId(account), { JobId("j"), 0, 0, index }, TargetId(target), demand, false };
}

std::vector<ClientAccount> accounts(const std::string& id, Resources maximum)
{
    ClientAccount account;
    account.id = AccountId(id);
    account.maximum = maximum;
    return { account };
}

} // namespace

TEST_CASE("work may start up to the maximum of each resource, and 0 means no limit")
{
    AccountUsage usage;
    const AccountId a("a");
    usage.setAccounts(accounts("a", { 4000, 0, 2 }));
    CHECK(usage.mayStart(a, { 4000, 1000000, 2 }));
    CHECK_FALSE(usage.mayStart(a, { 4001, 0, 0 }));
    CHECK_FALSE(usage.fitsAlone(a, { 0, 0, 3 }));
    usage.charge(run("a", 0, "t", { 1500, 10, 0 }));
    usage.charge(run("a", 1, "t", { 1500, 10, 0 }));
    CHECK(usage.mayStart(a, { 1000, 0, 2 }));
    CHECK_FALSE(usage.mayStart(a, { 1001, 0, 0 }));
    usage.credit(run("a", 0, "t", { 1500, 10, 0 }));
    CHECK(usage.used(a) == Resources { 1500, 10, 0 });
    CHECK(usage.runsOf(JobId("j")).size() == 1);
    CHECK(usage.runsOf(JobId("i")).empty());
    CHECK(usage.mayStart(AccountId(), { 99999, 0, 0 }));
}

// Guards against work that starts while the account is above a lowered maximum, even if it needs nothing of the
// resource that is exceeded.
TEST_CASE("after a lowered maximum nothing starts until the usage fits")
{
    AccountUsage usage;
    const AccountId a("a");
    usage.setAccounts(accounts("a", { 4000, 0, 2 }));
    usage.charge(run("a", 0, "t", { 2000, 0, 2 }));
    usage.charge(run("a", 1, "u", { 1000, 0, 0 }));
    usage.setAccounts(accounts("a", { 4000, 0, 1 }));
    CHECK_FALSE(usage.mayStart(a, { 100, 0, 0 }));
    usage.credit(run("a", 0, "t", { 2000, 0, 2 }));
    CHECK(usage.mayStart(a, { 100, 0, 0 }));
}

TEST_CASE("an account that left the configuration keeps its last known maximum")
{
    AccountUsage usage;
    usage.setAccounts(accounts("a", { 4000, 0, 0 }));
    usage.setAccounts({});
    usage.restoreMaximum(AccountId("a"), { 9000, 0, 0 }); // Older than what the configuration said.
    CHECK(usage.knows(AccountId("a")));
    CHECK(usage.maximum(AccountId("a")).coresMilli == 4000);
    CHECK_FALSE(usage.knows(AccountId("b")));
    usage.restoreMaximum(AccountId("b"), { 3000, 0, 0 });
    CHECK_FALSE(usage.fitsAlone(AccountId("b"), { 3001, 0, 0 }));
}

// Guards against starts beside a run that uses an unknown part of the maximum.
TEST_CASE("nothing starts while the demand of a run is not known")
{
    AccountUsage usage;
    usage.setAccounts(accounts("a", { 4000, 0, 0 }));
    AccountRun unknown = run("a", 0, "t", {});
    unknown.sizeUnknown = true;
    usage.charge(unknown);
    CHECK_FALSE(usage.mayStart(AccountId("a"), { 1, 0, 0 }));
    usage.credit(unknown);
    CHECK(usage.mayStart(AccountId("a"), { 1, 0, 0 }));
}

TEST_CASE("a target charges and credits its runs, also when one replaces another")
{
    AccountUsage usage;
    CellTarget target;
    target.entry.id = TargetId("t");
    target.accountUsage = &usage;
    const CellTaskKey key { JobId("j"), 0, 0, 0 };
    Occupant occupant;
    occupant.account = AccountId("a");
    occupant.demand = { 1000, 10, 1 };
    target.occupy(key, occupant);
    occupant.demand = { 500, 10, 1 };
    target.occupy(key, occupant);
    CHECK(usage.used(AccountId("a")) == Resources { 500, 10, 1 });
    CHECK(usage.runsOf(JobId("j")).size() == 1);
    target.release(key);
    target.release(key);
    CHECK(usage.used(AccountId("a")) == Resources {});
    CHECK(usage.runsOf(JobId("j")).empty());
}

// Guards against a log line for each denied start.
TEST_CASE("a denial is reported when it begins and when it has ended")
{
    AccountUsage usage;
    const AccountId a("a");
    const Time start { 1h };
    CHECK(usage.noteDenied(a, start));
    CHECK_FALSE(usage.noteDenied(a, start + 900ms));
    CHECK(usage.deniedAccounts() == 1);
    CHECK(usage.takeEndedDenials(start + 1800ms).empty());
    CHECK(usage.takeEndedDenials(start + 2s) == std::vector<AccountId> { a });
    CHECK(usage.takeEndedDenials(start + 3s).empty());
    CHECK(usage.noteDenied(a, start + 3s));
}
