#include "run_time_profile.h"

#include "log_line.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sp {

namespace {

    constexpr std::size_t maxGroups = 64; ///< Further groups share one entry.
    constexpr std::uint32_t maxKinds = 32; ///< Further kinds share one entry.
    constexpr std::chrono::seconds groupKept { 600 }; ///< A group without a run for this time is forgotten.
    /** A target without a run for this time is judged by its kind again, so that it is tried again. */
    constexpr std::chrono::seconds targetKept { 60 };
    /** Outlooks change slowly, and each costs a pass over all targets of the service. */
    constexpr std::chrono::milliseconds outlookKept { 500 };

    /** Limits what one run can change: one in thirty takes seven times as long. */
    constexpr double maxResidual = 1;
    constexpr double maxRatio = 20; ///< Of actual to estimated run time, and the reverse.
    /** Runs of a group after which its level is known well enough to attribute the rest to targets. */
    constexpr double levelWarmUp = 30;

    /** Weight of the initial value 0 of a moving average, in runs, and the length of the average. */
    struct Rate {
        double prior = 0;
        double length = 0;
    };
    constexpr Rate levelRate { 0, 500 };
    constexpr Rate kindRate { 8, 500 };
    constexpr Rate groupKindRate { 30, 200 }; ///< Most groups react to a kind like all others.
    constexpr Rate targetRate { 2, 32 }; ///< A target gets about one quick task a second.
    constexpr Rate noiseRate { 20, 500 };
    constexpr double initialNoise = 0.25; ///< Variance that corresponds to estimates off by a factor of 1.6.

    /** A deviation counts only beyond this many standard errors, so that noise alone changes no decision. */
    constexpr double significantErrors = 1.5;
    /** Tasks of one job share the error of its estimate, so that ten runs tell of a kind as much as one. */
    constexpr double runsPerEstimate = 10;

    constexpr double fastQuantile = 0.1; ///< Fewer fast targets than this hold too little of the urgent work.
    constexpr double slowQuarterQuantile = 0.75;
    constexpr double slowestQuantile = 0.9; ///< Single slow targets are the matter of CellTarget::slowness.

    // Costs of a placement, where 1 corresponds to a fully reserved target: a weight of 1 and more goes before load.
    constexpr double tooSlowCost = 3; ///< Exceeds the cost of a fast target that is left to urgent work.
    constexpr double leaveFastCost = 2; ///< Exceeds the cost of a longer run time by the weight of load.
    constexpr double maxRunTimeCost = 1; ///< Limits the cost of a longer run time for work that has the time.
    /** Part of the logarithm of a slack factor that the run time may use up; the rest is for waiting and advice. */
    constexpr double runTimeShareOfSlack = 0.5;

    // Factors on the room of a target when a question chooses its targets.
    constexpr double tooSlowWeight = 0.1; ///< A fast target with room for one task goes before any slow one.
    /** Less urgent work names a fast target in place of a slow one only for twice the room. */
    constexpr double leaveFastWeight = 0.5;

    void learn(double& value, double& samples, const Rate& rate, double residual)
    {
        samples = std::min(samples + 1, rate.length);
        value += residual / (samples + rate.prior);
    }

    /** Returns the part of a deviation that exceeds its standard error by enough not to be noise. */
    double significant(double value, double variance)
    {
        const double magnitude = std::max(0.0, std::abs(value) - significantErrors * std::sqrt(variance));
        return std::copysign(magnitude, value);
    }

    double quantile(std::vector<double>& values, double share)
    {
        const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), at, values.end());
        return *at;
    }

} // namespace

/** Returns the logarithm of the run time on a target, relative to the level of the group. */
double SpeedOutlook::onTarget(const TargetSpeed& target) const
{
    const double kind = target.kind < kinds.size() ? kinds[target.kind] : 0;
    return target.samples > 0 ? kind + significant(target.deviation, noise / target.samples) : kind;
}

/**
 * Returns the preferences of a step; nothing if the targets differ by no more than the urgent queues permit, or if even
 * the slowest are fast enough for them.
 */
std::optional<SpeedPreference> SpeedPreference::make(const SpeedOutlook& outlook, const SpeedDemand& demand)
{
    const double urgentLimit = std::log(std::max(1.0, demand.urgentSlackFactor));
    if (outlook.slowest - outlook.fastest <= urgentLimit
        || outlook.level + outlook.slowest <= urgentLimit * runTimeShareOfSlack)
        return std::nullopt;
    return SpeedPreference(outlook, demand);
}

SpeedPreference::SpeedPreference(const SpeedOutlook& outlook, const SpeedDemand& demand)
    : m_outlook(&outlook)
    , m_limit(std::log(std::max(1.0, demand.slackFactor)))
    , m_urgentLimit(std::log(std::max(1.0, demand.urgentSlackFactor)))
{
    if (demand.urgent) {
        m_limit = std::max(m_limit, m_limit * runTimeShareOfSlack - (outlook.level + outlook.fastest));
        return;
    }
    // With few slow targets, less urgent work would crowd there, and urgent work has enough fast ones anyway.
    m_leavesFast = outlook.slowQuarter - outlook.fastest > m_urgentLimit
        && outlook.level + outlook.slowQuarter > m_urgentLimit * runTimeShareOfSlack;
    // Work that is not urgent is too slow where it misses its own objective, unless it does so everywhere.
    const double onFast = outlook.level + outlook.fastest;
    m_limit = !demand.lasting && onFast < m_limit ? m_limit - onFast : std::numeric_limits<double>::infinity();
}

bool SpeedPreference::tooSlow(const TargetSpeed& target) const
{
    return m_outlook->onTarget(target) - m_outlook->fastest > m_limit;
}

/** Returns the cost of the target's speed in a placement, in place of the cost of CellTarget::slowness. */
double SpeedPreference::placementCost(const TargetSpeed& target) const
{
    const double onTarget = m_outlook->onTarget(target);
    const double relative = onTarget - m_outlook->fastest;
    const double runTimeCost = std::clamp(std::exp(m_outlook->level + onTarget) - 1, 0.0, maxRunTimeCost);
    if (relative > m_limit)
        return runTimeCost + tooSlowCost;
    return runTimeCost + (leaves(relative) ? leaveFastCost : 0);
}

/** Returns the factor on the room of a target when a question to the advisor chooses its targets. */
double SpeedPreference::adviceWeight(const TargetSpeed& target) const
{
    const double relative = m_outlook->onTarget(target) - m_outlook->fastest;
    if (relative > m_limit)
        return tooSlowWeight;
    return leaves(relative) ? leaveFastWeight : 1;
}

/** Returns the group whose run times are learned together: the tasks of an image, or else those of a queue. */
std::string RunTimeProfile::groupOf(const StepSpec& step, const QueueId& queue)
{
    return step.image.empty() ? "queue " + queue.value : "image " + step.image;
}

/** Returns the number of a kind of targets; 0 is left for targets whose kind is unknown. */
std::uint32_t RunTimeProfile::kindNumber(const std::string& label)
{
    m_kinds.resize(maxKinds);
    if (const auto it = m_kindNumbers.find(label); it != m_kindNumbers.end())
        return it->second;
    const auto next = static_cast<std::uint32_t>(m_kindNumbers.size() + 1);
    if (next >= maxKinds)
        return maxKinds - 1;
    m_kindNumbers.emplace(label, next);
    return next;
}

/** Returns the entry of a group, or the shared one while there are too many groups. */
RunTimeProfile::Group& RunTimeProfile::groupFor(const std::string& name, Time now)
{
    auto it = m_groups.find(name);
    if (it == m_groups.end() && m_groups.size() >= maxGroups)
        std::erase_if(m_groups, [&](const auto& entry) { return now - entry.second.seenAt > groupKept; });
    if (it == m_groups.end())
        it = m_groups.try_emplace(m_groups.size() < maxGroups - 1 ? name : std::string()).first;
    it->second.kinds.resize(maxKinds);
    it->second.seenAt = now;
    return it->second;
}

/**
 * Learns from a run that has ended.
 * @param target What is known of its target; updated.
 * @param ratio Actual run time divided by the estimate.
 * @return Logarithm of the run time relative to the expected one, limited in size; unset until the group is known.
 */
std::optional<double> RunTimeProfile::record(const std::string& group, TargetSpeed& target, double ratio, Time now)
{
    if (m_kinds.empty() || target.kind >= maxKinds)
        return std::nullopt;
    if (now - target.seenAt > targetKept)
        target.samples = target.deviation = 0;
    target.seenAt = now;
    Group& entry = groupFor(group, now);
    Term& kind = m_kinds[target.kind];
    Term& own = entry.kinds[target.kind];
    const double value = std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
    const double expected = entry.level.value + kind.value + own.value + target.deviation;
    const bool warm = entry.level.samples >= levelWarmUp;
    const double residual
        = entry.level.samples < 1 ? value - expected : std::clamp(value - expected, -maxResidual, maxResidual);
    learn(entry.level.value, entry.level.samples, levelRate, residual);
    if (!warm)
        return std::nullopt;
    learn(kind.value, kind.samples, kindRate, residual);
    learn(own.value, own.samples, groupKindRate, residual);
    learn(target.deviation, target.samples, targetRate, residual);
    learn(m_noise, m_noiseSamples, noiseRate, residual * residual - m_noise);
    return residual;
}

/**
 * Returns what is known of the run times of a group on the targets of a service.
 * @param targets Called to get these targets when the last outlook is too old; those not seen for long are reset.
 */
const SpeedOutlook& RunTimeProfile::outlook(const ServiceId& service, const std::string& group,
    const std::function<std::vector<TargetSpeed*>()>& targets, Time now)
{
    if (m_outlooks.size() > maxGroups)
        std::erase_if(m_outlooks, [&](const auto& item) { return now - item.second.computedAt > groupKept; });
    const bool known = m_groups.contains(group);
    CachedOutlook& cached = m_outlooks[{ service, known ? group : std::string() }];
    if (cached.computedAt == Time {} || now - cached.computedAt >= outlookKept)
        compute(cached, known ? group : std::string(), targets(), now);
    return cached.outlook;
}

void RunTimeProfile::compute(
    CachedOutlook& cached, const std::string& group, const std::vector<TargetSpeed*>& targets, Time now) const
{
    cached.computedAt = now;
    SpeedOutlook& outlook = cached.outlook;
    const auto it = m_groups.find(group);
    outlook.level = it == m_groups.end() ? 0 : it->second.level.value;
    // The initial value weighs as much as its number of runs, so that early estimates are no more certain than it.
    outlook.noise = m_noise + initialNoise * noiseRate.prior / (m_noiseSamples + noiseRate.prior);
    outlook.kinds.assign(maxKinds, 0);
    for (std::size_t i = 0; i < m_kinds.size(); ++i) {
        const Term& kind = m_kinds[i];
        if (kind.samples == 0)
            continue;
        const double own = it == m_groups.end() ? 0 : it->second.kinds[i].value;
        outlook.kinds[i] = significant(kind.value + own, outlook.noise * runsPerEstimate / kind.samples);
    }
    std::vector<double> values;
    values.reserve(targets.size());
    for (TargetSpeed* target : targets) {
        if (now - target->seenAt > targetKept)
            target->samples = target->deviation = 0;
        values.push_back(outlook.onTarget(*target));
    }
    outlook.fastest = outlook.slowQuarter = outlook.slowest = 0;
    if (values.empty())
        return;
    outlook.fastest = quantile(values, fastQuantile);
    outlook.slowQuarter = quantile(values, slowQuarterQuantile);
    outlook.slowest = quantile(values, slowestQuantile);
    constexpr double loggedDifference = 0.4; ///< About the slack factor of 1.5 that quick queues have.
    const bool differs = outlook.slowest - outlook.fastest > loggedDifference;
    if (std::exchange(cached.differs, differs) != differs)
        LogLine(LogLevel::Info, "run_times_differ")
            .with("group", group)
            .with("differ", differs)
            .with("targets", values.size())
            .with("fast_percent", static_cast<int>(100 * std::exp(outlook.level + outlook.fastest)))
            .with("slow_percent", static_cast<int>(100 * std::exp(outlook.level + outlook.slowest)))
            .with("noise_percent", static_cast<int>(100 * std::sqrt(outlook.noise)));
}

} // namespace sp
