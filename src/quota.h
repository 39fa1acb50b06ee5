/** @file quota.h Resource usage, quota and fair share of each team. */
#pragma once

#include "work_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace sp {

using TeamIndex = std::uint32_t;

/** Result of a quota check. */
enum class QuotaVerdict : std::uint8_t {
    Within, ///< The team stays within its quota.
    Borrows, ///< The team exceeds its quota and uses capacity that others leave idle.
    Denied, ///< The team exceeds its quota with work that cannot be preempted.
};

/** Usage and quota of each team in one shard. */
class Quota {
public:
    void applyPolicy(const Bundle& bundle, double shardShare);
    TeamIndex index(const TeamId& team);
    void charge(TeamIndex team, const Resources& size) { m_teams[team].used += size; }
    void credit(TeamIndex team, const Resources& size) { m_teams[team].used -= size; }
    QuotaVerdict check(TeamIndex team, const Resources& size, bool mayBorrow) const;
    bool fitsQuotaAlone(TeamIndex team, const Resources& size) const;
    bool isBorrowing(TeamIndex team) const { return check(team, {}, true) == QuotaVerdict::Borrows; }
    bool isAnyBorrowing() const;
    bool hasQuota(TeamIndex team) const { return m_teams[team].quota != Resources {}; }
    double share(TeamIndex team, const Resources& total) const;
    const Resources& used(TeamIndex team) const { return m_teams[team].used; }
    std::size_t teams() const { return m_teams.size(); }

private:
    struct Team {
        TeamId id;
        double weight = 1;
        Resources quota; ///< Part granted by this shard; 0: no limit.
        Resources used;
    };
    void apply(Team& team) const;
    std::unordered_map<TeamId, TeamIndex> m_index;
    std::vector<Team> m_teams;
    std::map<TeamId, TeamPolicy> m_policies;
    double m_shardShare = 1;
};

} // namespace sp
