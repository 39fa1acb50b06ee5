#include "interference_profile.h"

#include "log_line.h"

#include <algorithm>
#include <cmath>

namespace sp {

namespace {

    constexpr double besideFrom = 0.5; ///< A run was beside an image if it was for this part of its time.
    constexpr double withoutBelow = 0.1; ///< A run was without an image if it was beside it for less than this part.

    // Evidence for a pair.
    constexpr double minRuns = 40; ///< Runs beside the image.
    constexpr double minRunsWithout = 20; ///< Runs without it at the same load, to compare with.
    constexpr std::size_t minTargets = 4; ///< A single target may be slow for reasons of its own.
    /** Logarithm; 28% more run time. Less is within what load alone does, and not worth a worse target. */
    constexpr double minEffect = 0.25;
    constexpr double minErrors = 4; ///< Standard errors; there are up to 4,096 pairs, and each run is a test.
    /** Tasks of one job share the error of its estimate, so that ten runs tell as much as one in the worst case. */
    constexpr double runsPerEstimate = 10;
    constexpr double goneEffect = 0.1; ///< A pair no longer counts below this effect.

    constexpr double averageLength = 300; ///< Runs in a moving average.
    /** A counting pair is kept apart, so that nothing shows the end of its effect; after this time it is tried again.
     */
    constexpr std::chrono::seconds pairKept { 120 };
    constexpr std::chrono::seconds imageKept { 600 }; ///< An image that is not seen for this time gives up its number.

    template <typename Average> void add(Average& average, double value)
    {
        average.samples = std::min(average.samples + 1, averageLength);
        average.mean += (value - average.mean) / average.samples;
    }

} // namespace

void NeighbourHistory::add(const NeighbourRun& run)
{
    m_runs[m_next] = run;
    m_next = (m_next + 1) % m_runs.size();
}

/** Adds the exposure of a run to the runs that have ended. */
void NeighbourHistory::addExposure(ImageExposure& exposure, Time since, Time until) const
{
    for (const NeighbourRun& run : m_runs)
        sp::addExposure(exposure, run, since, until);
}

/**
 * Adds the exposure of a run to another run on its target.
 * @param since Start of the exposed run.
 * @param until End of the exposed run.
 */
void addExposure(ImageExposure& exposure, const NeighbourRun& neighbour, Time since, Time until)
{
    const Duration common = std::min(neighbour.until, until) - std::max(neighbour.since, since);
    if (neighbour.image == 0 || common <= Duration(0))
        return;
    double& sum = exposure[neighbour.image];
    sum = std::min(1.0, sum + std::chrono::duration<double>(common) / std::chrono::duration<double>(until - since));
}

/** Returns the number of an image; 0 if too many are tracked. */
std::uint32_t InterferenceProfile::imageNumber(const std::string& name, Time now)
{
    auto it = m_numbers.find(name);
    if (it == m_numbers.end()) {
        for (std::uint32_t number = 1; number < maxTrackedImages; ++number) {
            Image& image = m_images[number];
            if (!image.name.empty() && now - image.seenAt <= imageKept)
                continue;
            releaseImage(number);
            image.name = name;
            it = m_numbers.emplace(name, number).first;
            break;
        }
    }
    if (it == m_numbers.end())
        return 0;
    m_images[it->second].seenAt = now;
    return it->second;
}

void InterferenceProfile::releaseImage(std::uint32_t number)
{
    for (std::uint32_t other = 1; other < maxTrackedImages; ++other) {
        setCounts(number, other, false);
        setCounts(other, number, false);
        if (!m_pairs[other].empty())
            m_pairs[other][number] = {};
    }
    m_pairs[number].clear();
    m_numbers.erase(m_images[number].name);
    m_images[number] = {};
}

/** Returns the effect that the pairs that count have on a run, as a logarithm. */
double InterferenceProfile::knownEffect(std::uint32_t image, const ImageExposure& beside) const
{
    double sum = 0;
    if (m_conflicts[image].none())
        return sum;
    for (std::uint32_t other = 1; other < maxTrackedImages; ++other) {
        if (beside[other] >= besideFrom && !m_pairs[image].empty() && m_pairs[image][other].counts)
            sum += m_pairs[image][other].effect.mean;
    }
    return sum;
}

/** Learns from a run that has ended. */
void InterferenceProfile::record(const ExposedRun& run, Time now)
{
    if (run.image == 0)
        return;
    const double known = knownEffect(run.image, run.beside);
    const auto loadClass
        = static_cast<std::size_t>(std::clamp(run.load, 0.0, 0.999) * static_cast<double>(loadClasses));
    m_pairs[run.image].resize(maxTrackedImages);
    for (std::uint32_t other = 1; other < maxTrackedImages; ++other) {
        if (m_images[other].name.empty())
            continue;
        const double exposure = run.beside[other];
        if (exposure >= withoutBelow && exposure < besideFrom)
            continue;
        Pair& pair = m_pairs[run.image][other];
        // Effects of other pairs that count are no evidence for this one.
        const double residual = run.residual - known + (pair.counts && exposure >= besideFrom ? pair.effect.mean : 0);
        Average& without = pair.without[loadClass];
        if (exposure < withoutBelow) {
            add(without, residual);
            continue;
        }
        m_images[other].seenAt = now;
        pair.seenAt = now;
        if (without.samples < minRunsWithout)
            continue;
        const double effect = residual - without.mean;
        add(pair.effect, effect);
        const double distance = effect - pair.effect.mean;
        pair.variance += (distance * distance - pair.variance) / pair.effect.samples;
        pair.targets.set(run.target % maxTrackedImages);
        if (!pair.counts && showsEffect(pair))
            setCounts(run.image, other, true);
        else if (pair.counts && pair.effect.mean < goneEffect)
            setCounts(run.image, other, false);
    }
}

bool InterferenceProfile::showsEffect(const Pair& pair) const
{
    const double error = std::sqrt(pair.variance * runsPerEstimate / pair.effect.samples);
    return pair.effect.samples >= minRuns && pair.targets.count() >= minTargets
        && pair.effect.mean >= std::max(minEffect, minErrors * error);
}

/** Forgets pairs that were not seen beside each other for some time, so that they are tried again. */
void InterferenceProfile::forgetUnseen(Time now)
{
    for (std::uint32_t slowed = 1; m_countingPairs > 0 && slowed < maxTrackedImages; ++slowed) {
        for (std::uint32_t beside = 0; beside < m_pairs[slowed].size(); ++beside) {
            Pair& pair = m_pairs[slowed][beside];
            if (!pair.counts || now - pair.seenAt <= pairKept)
                continue;
            setCounts(slowed, beside, false);
            pair.effect = {};
            pair.targets.reset();
        }
    }
}

void InterferenceProfile::setCounts(std::uint32_t slowed, std::uint32_t beside, bool counts)
{
    if (m_pairs[slowed].empty() || m_pairs[slowed][beside].counts == counts)
        return;
    Pair& pair = m_pairs[slowed][beside];
    LogLine(LogLevel::Info, counts ? "interference_found" : "interference_over")
        .with("slowed", m_images[slowed].name)
        .with("beside", m_images[beside].name)
        .with("percent", static_cast<int>(100 * std::exp(pair.effect.mean)))
        .with("runs", static_cast<int>(pair.effect.samples))
        .with("targets", pair.targets.count());
    pair.counts = counts;
    m_countingPairs += counts ? 1 : -1;
    const bool conflict = counts || (!m_pairs[beside].empty() && m_pairs[beside][slowed].counts);
    m_conflicts[slowed][beside] = conflict;
    m_conflicts[beside][slowed] = conflict;
}

} // namespace sp
