/** @file run_time_profile.h Learns from ended runs how long tasks take on targets of different speeds. */
#pragma once

#include "cell_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sp {

/** What was learned of one target beyond what its kind tells. Run times are kept as logarithms of their ratios. */
struct TargetSpeed {
    std::uint32_t kind = 0; ///< Number of the target's kind, from RunTimeProfile::kindNumber(); 0 if unknown.
    double deviation = 0; ///< Logarithm of its run times relative to its kind; above 0 for a slow target.
    double samples = 0; ///< Runs that the deviation rests on, at most the length of the moving average.
    Time seenAt {}; ///< Time of the last of them.
};

/** Run times of tasks of one group on the targets of one service. */
struct SpeedOutlook {
    double level = 0; ///< Logarithm of the run time relative to the estimate, on a target of average speed.
    std::vector<double> kinds; ///< Logarithm of the run time relative to that level, by kind.
    double noise = 0; ///< Variance of single runs.
    double fastest = 0; ///< Relative run time that the fastest targets, one in ten, reach.
    double slowQuarter = 0; ///< Relative run time that the slowest quarter of the targets exceeds.
    double slowest = 0; ///< Relative run time that one target in ten exceeds.

    double onTarget(const TargetSpeed& target) const;
};

/** What a step's queue requires of targets whose speeds differ. */
struct SpeedDemand {
    double slackFactor = 1; ///< QueueConfig::slackFactor of the step's queue.
    double urgentSlackFactor = 1; ///< Least slack factor of the most urgent queues of the service.
    bool urgent = false; ///< The step's queue is one of those.
    bool lasting = false; ///< The step's tasks have no end and so no objective.
};

/** Preferences of a step among targets whose speeds differ. */
class SpeedPreference {
public:
    static std::optional<SpeedPreference> make(const SpeedOutlook& outlook, const SpeedDemand& demand);

    double placementCost(const TargetSpeed& target) const;
    double adviceWeight(const TargetSpeed& target) const;
    bool tooSlow(const TargetSpeed& target) const;

private:
    SpeedPreference(const SpeedOutlook& outlook, const SpeedDemand& demand);
    bool leaves(double relative) const { return m_leavesFast && relative <= m_urgentLimit; }

    const SpeedOutlook* m_outlook;
    double m_limit = 0; ///< A target is too slow if its run time, relative to fast targets, exceeds this logarithm.
    double m_urgentLimit = 0; ///< The same for the most urgent queues.
    bool m_leavesFast = false; ///< Fast targets are left to more urgent work while others have room.
};

/**
 * Model of run times: the logarithm of actual over estimated run time is the sum of a level of the group of tasks, the
 * effect of the target's kind, a deviation of the group on that kind, and the deviation of the target. Each term is a
 * moving average of what the others leave unexplained, which starts at 0 and gains weight with the number of runs. So a
 * target that was never seen is judged by its kind. Kept in memory only.
 */
class RunTimeProfile {
public:
    static std::string groupOf(const StepSpec& step, const QueueId& queue);

    std::uint32_t kindNumber(const std::string& label);
    std::optional<double> record(const std::string& group, TargetSpeed& target, double ratio, Time now);
    const SpeedOutlook& outlook(const ServiceId& service, const std::string& group,
        const std::function<std::vector<TargetSpeed*>()>& targets, Time now);
    std::size_t groupCount() const { return m_groups.size(); }

private:
    /** A moving average of logarithms. */
    struct Term {
        double value = 0;
        double samples = 0;
    };
    struct Group {
        Term level;
        std::vector<Term> kinds; ///< Deviation of the group on each kind from the effect that the kind has on all.
        Time seenAt {};
    };
    struct CachedOutlook {
        SpeedOutlook outlook;
        Time computedAt {};
        bool differs = false; ///< As last logged.
    };

    Group& groupFor(const std::string& name, Time now);
    void compute(
        CachedOutlook& cached, const std::string& group, const std::vector<TargetSpeed*>& targets, Time now) const;

    std::map<std::string, std::uint32_t> m_kindNumbers;
    std::vector<Term> m_kinds; ///< Effect of each kind on the run times of all groups.
    std::map<std::string, Group> m_groups;
    std::map<std::pair<ServiceId, std::string>, CachedOutlook> m_outlooks;
    double m_noise = 0;
    double m_noiseSamples = 0;
};

} // namespace sp
