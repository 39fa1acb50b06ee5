#include "work_order.h"

#include <algorithm>
#include <array>
#include <bit>

namespace sp {

namespace {

    /**
     * Part of the slack between critical path and objective that is kept for estimates that are too low and for waits
     * between steps. Estimates are off by a factor of two, so a job that only just fits misses its objective in about
     * half of the cases; with all of the slack kept, a job would count as late as soon as it has waited at all.
     */
    constexpr double slackShareKept = 0.5;

    /** Jobs whose remaining work differs by less than a factor of two are alike, as estimates are no better. */
    int sizeClassOf(std::int64_t coreMs)
    {
        return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(coreMs, 0))));
    }

} // namespace

/** Returns the name of a band, for logs. */
const char* workBandName(WorkBand band)
{
    static constexpr std::array<const char*, 4> names { "in_time", "in_time_above_share", "late", "rest" };
    return names[static_cast<std::size_t>(band)];
}

/** Returns the time that a critical path is expected to take, with a margin for estimates that are too low. */
std::chrono::milliseconds pathWithMargin(std::chrono::milliseconds path, double slackFactor)
{
    const double factor = 1 + slackShareKept * std::max(0.0, slackFactor - 1);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(path.count()) * factor));
}

/**
 * Returns the place of a step in the queue of its priority.
 *
 * Ordered by the end of the objective alone, overdue jobs would stay ahead of all new ones, so that under overload
 * every job is late. In the first two bands, jobs that have begun go first, as their whole value is gained by a part of
 * their work, then those with the least slack. In the others the value per core-second decides, which a large job has
 * less of: the least remaining work. There, a job that has begun gains a size class for each objective that has passed
 * since its submission, so that small ones don't overtake it for ever.
 */
WorkRank workRank(const WorkItem& item, Time now)
{
    WorkRank rank;
    rank.submittedAt = item.submittedAt;
    rank.unbegun = !item.begun;
    if (item.lasting) {
        rank.band = item.beyondRate ? WorkBand::Rest : item.aboveShare ? WorkBand::InTimeAboveShare : WorkBand::InTime;
        return rank;
    }
    const std::chrono::milliseconds path
        = item.begun ? item.remainingPath : pathWithMargin(item.remainingPath, item.slackFactor);
    const Time expectedEnd = now + path;
    rank.worthless = expectedEnd > item.submittedAt + item.objective * lateObjectiveFactor;
    if (rank.worthless || item.beyondRate) {
        rank.band = WorkBand::Rest;
        rank.aboveShare = item.aboveShare;
    } else if (expectedEnd > item.submittedAt + item.objective)
        rank.band = WorkBand::Late;
    else
        rank.band = item.aboveShare ? WorkBand::InTimeAboveShare : WorkBand::InTime;
    if (rank.band <= WorkBand::InTimeAboveShare) {
        rank.latestBegin = item.submittedAt + item.objective - path;
        return rank;
    }
    rank.sizeClass = sizeClassOf(item.remainingCoreMs);
    if (item.begun && item.objective.count() > 0)
        rank.sizeClass -= static_cast<int>((now - item.submittedAt) / Duration(item.objective));
    return rank;
}

} // namespace sp
