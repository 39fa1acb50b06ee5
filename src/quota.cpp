#include "quota.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    bool isOver(std::int64_t used, std::int64_t quota) { return quota > 0 && used > quota; }

    bool isOver(const Resources& used, const Resources& quota)
    {
        return isOver(used.coresMilli, quota.coresMilli) || isOver(used.memoryMb, quota.memoryMb)
            || isOver(used.accelerators, quota.accelerators);
    }

} // namespace

/** Sets weights and quotas. @param bundle Bundle. @param shardShare Part of each quota that this shard gives out. */
void Quota::applyPolicy(const Bundle& bundle, double shardShare)
{
    m_policies = bundle.teams;
    m_shardShare = shardShare;
    for (Team& team : m_teams)
        apply(team);
}

/** @param team Team. @return Its index; a team that the bundle does not name has weight 1 and no quota. */
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

/** @param team Team. @param size More usage. @param mayBorrow Whether the work can be stopped. @return Verdict. */
QuotaVerdict Quota::check(TeamIndex team, const Resources& size, bool mayBorrow) const
{
    const Team& state = m_teams[team];
    if (!isOver(state.used + size, state.quota))
        return QuotaVerdict::Within;
    return mayBorrow ? QuotaVerdict::Borrows : QuotaVerdict::Denied;
}

/** @param team Team. @param size Size. @return Whether the size alone is within the quota. */
bool Quota::fitsEmpty(TeamIndex team, const Resources& size) const { return !isOver(size, m_teams[team].quota); }

/** @return Whether some team is above its quota. */
bool Quota::isAnyBorrowing() const
{
    for (TeamIndex team = 0; team < m_teams.size(); ++team) {
        if (isBorrowing(team))
            return true;
    }
    return false;
}

/** @param team Team. @param total Capacity. @return Largest share of any resource, divided by the weight. */
double Quota::share(TeamIndex team, const Resources& total) const
{
    const Team& state = m_teams[team];
    const auto part = [](std::int64_t used, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(used) / static_cast<double>(whole) : 0.0;
    };
    return std::max({ part(state.used.coresMilli, total.coresMilli), part(state.used.memoryMb, total.memoryMb),
               part(state.used.accelerators, total.accelerators) })
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
    // Rounded up, so that a quota of 1 accelerator is never worth nothing in every shard.
    const auto part
        = [&](std::int64_t quota) { return std::llround(std::ceil(static_cast<double>(quota) * m_shardShare)); };
    team.weight = it->second.weight;
    team.quota = { part(it->second.coresMilli), part(it->second.memoryMb), part(it->second.accelerators) };
}

} // namespace sp
