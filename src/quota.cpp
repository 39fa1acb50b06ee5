#include "quota.h"

#include <algorithm>
#include <cmath>

namespace sp {

/** Applies weights and quotas. @param shardShare Fraction of each quota that this shard grants. */
void Quota::applyPolicy(const Bundle& bundle, double shardShare)
{
    m_policies = bundle.teams;
    m_shardShare = shardShare;
    for (Team& team : m_teams)
        apply(team);
}

/** Returns the index of a team, adding it if new. A team that is not in the bundle has weight 1 and is not limited by a
 * quota. */
TeamIndex Quota::index(const TeamId& team)
{
    const auto [it, isNew] = m_index.try_emplace(team, static_cast<TeamIndex>(m_teams.size()));
    if (isNew) {
        m_teams.emplace_back();
        m_teams.back().id = team;
        apply(m_teams.back());
    }
    return it->second;
}

/** Checks the quota for additional usage. @param size Additional usage; negative for a decrease.
 * @param mayBorrow Whether the work can be preempted, so that it may exceed the quota. */
QuotaVerdict Quota::check(TeamIndex team, const Resources& size, bool mayBorrow) const
{
    const Team& state = m_teams[team];
    if ((state.used + size).withinLimit(state.quota))
        return QuotaVerdict::Within;
    return mayBorrow ? QuotaVerdict::Borrows : QuotaVerdict::Denied;
}

/** Returns whether the size is within the quota of a team that uses nothing else. */
bool Quota::fitsQuotaAlone(TeamIndex team, const Resources& size) const
{
    return size.withinLimit(m_teams[team].quota);
}

/** Returns whether any team exceeds its quota. */
bool Quota::isAnyBorrowing() const
{
    for (TeamIndex team = 0; team < m_teams.size(); ++team) {
        if (isBorrowing(team))
            return true;
    }
    return false;
}

/** Returns the dominant share of a team: the largest used fraction of any resource, divided by the weight. */
double Quota::share(TeamIndex team, const Resources& total) const
{
    const Team& state = m_teams[team];
    const auto fractionOf = [](std::int64_t used, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(used) / static_cast<double>(whole) : 0.0;
    };
    return std::max(
               { fractionOf(state.used.coresMilli, total.coresMilli), fractionOf(state.used.memoryMb, total.memoryMb),
                   fractionOf(state.used.accelerators, total.accelerators) })
        / state.weight;
}

void Quota::apply(Team& team) const
{
    const auto it = m_policies.find(team.id);
    if (it == m_policies.end()) {
        team.weight = 1;
        team.quota = {};
        return;
    }
    // Rounds up, so that a quota of 1 accelerator does not become 0 in every shard.
    const auto shardPartOf
        = [&](std::int64_t quota) { return std::llround(std::ceil(static_cast<double>(quota) * m_shardShare)); };
    team.weight = it->second.weight;
    team.quota = { shardPartOf(it->second.coresMilli), shardPartOf(it->second.memoryMb),
        shardPartOf(it->second.accelerators) };
}

} // namespace sp
