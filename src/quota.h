/** @file quota.h Usage of the teams against their quotas, and their fair shares. */
#pragma once

#include "work_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace sp {

using TeamIndex = std::uint32_t;

/** Whether a team may take more. */
enum class QuotaVerdict : std::uint8_t {
    Within, ///< Stays in its quota.
    Borrows, ///< Would use idle quota of others.
    Denied, ///< Over its quota, and the work can't be stopped to give the room back.
};

/** Usage and quota of each team in one shard. */
class Quota {
public:
    void applyPolicy(const Bundle& bundle, double shardShare);
    TeamIndex index(const TeamId& team);
    void charge(TeamIndex team, const Resources& size) { m_teams[team].used += size; }
    void credit(TeamIndex team, const Resources& size) { m_teams[team].used -= size; }
    QuotaVerdict check(TeamIndex team, const Resources& size, bool mayBorrow) const;
    bool fitsEmpty(TeamIndex team, const Resources& size) const;
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
        Resources quota; ///< 0: no limit.
        Resources used;
    };
    void apply(Team& team) const;
    std::unordered_map<TeamId, TeamIndex> m_index;
    std::vector<Team> m_teams;
    std::map<TeamId, TeamPolicy> m_policies;
    double m_shardShare = 1;
};

} // namespace sp
