#include "health_counts.h"
#include "error_type.h"

#include <cmath>
#include <limits>
#include <sstream>

namespace sp {

namespace {

    /** With fewer answers than this, one failed request would pass a limit of some percent. */
    constexpr std::uint64_t minAnswers = 20;

    /** Value of a label in a sample's name, empty if it has none. */
    std::string label(const std::string& name, const std::string& key)
    {
        const std::string start = key + "=\"";
        const auto at = name.find(start);
        if (at == std::string::npos)
            return {};
        const auto from = at + start.size();
        return name.substr(from, name.find('"', from) - from);
    }

    bool isOverload(ErrorKind kind)
    {
        return kind == ErrorKind::QueueFull || kind == ErrorKind::DeadlineUnmeetable
            || kind == ErrorKind::DeadlinePassed;
    }

    /** Errors that a caller can't cause. An unknown workload counts, since a bundle that drops one causes it. */
    bool isFailure(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::UnknownWorkload:
        case ErrorKind::NoOwner:
        case ErrorKind::OwnerUnreachable:
        case ErrorKind::StoreUnavailable:
        case ErrorKind::NotReady:
        case ErrorKind::TargetRefused:
        case ErrorKind::TargetFailed:
        case ErrorKind::AnswerLost:
        case ErrorKind::StaleTerm:
        case ErrorKind::Internal:
            return true;
        default:
            return false;
        }
    }

    void addAnswers(HealthCounts& counts, const std::string& name, std::uint64_t value)
    {
        const ErrorKind kind = errorKindFromName(label(name, "kind"));
        counts.answers += value;
        if (isOverload(kind))
            counts.refusals += value;
        else if (isFailure(kind))
            counts.errors += value;
    }

    /** Growth of a counter; a counter that went back belongs to a process that was restarted. */
    std::uint64_t growth(std::uint64_t before, std::uint64_t after) { return after < before ? after : after - before; }

    std::chrono::milliseconds quantile99(const HealthCounts& before, const HealthCounts& after)
    {
        std::map<double, std::uint64_t> grown;
        std::uint64_t total = 0;
        for (const auto& [bound, count] : after.waits) {
            const auto it = before.waits.find(bound);
            grown[bound] = growth(it == before.waits.end() ? 0 : it->second, count);
            total = std::max(total, grown[bound]);
        }
        if (total < minAnswers)
            return std::chrono::milliseconds(0);
        for (const auto& [bound, count] : grown) {
            if (static_cast<double>(count) >= 0.99 * static_cast<double>(total))
                return std::isinf(bound)
                    ? std::chrono::milliseconds::max()
                    : std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(bound * 1000)));
        }
        return std::chrono::milliseconds(0);
    }

} // namespace

/** Adds the figures of one scheduler. @param counts Sum. @param prometheusText Answer of its /metrics. */
void addMetrics(HealthCounts& counts, const std::string& prometheusText)
{
    std::istringstream lines(prometheusText);
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos)
            continue;
        const std::string name = line.substr(0, space);
        const auto value = static_cast<std::uint64_t>(std::strtod(line.c_str() + space + 1, nullptr));
        if (name.starts_with("sp_answers_total{")) {
            addAnswers(counts, name, value);
        } else if (name.starts_with("sp_wait_seconds_bucket{") && label(name, "class") == "prompt") {
            const std::string bound = label(name, "le");
            counts
                .waits[bound == "+Inf" ? std::numeric_limits<double>::infinity() : std::strtod(bound.c_str(), nullptr)]
                += value;
        }
    }
}

/** @param before Counts at the start. @param after Counts at the end. @return Figures of the time between them. */
HealthFigures healthBetween(const HealthCounts& before, const HealthCounts& after)
{
    HealthFigures figures;
    figures.answers = growth(before.answers, after.answers);
    if (figures.answers > 0) {
        const auto answers = static_cast<double>(figures.answers);
        figures.errorRatio = static_cast<double>(growth(before.errors, after.errors)) / answers;
        figures.refusalRatio = static_cast<double>(growth(before.refusals, after.refusals)) / answers;
    }
    figures.waitP99 = quantile99(before, after);
    figures.silent = after.silent;
    return figures;
}

/**
 * Judges health figures. A scheduler that gives no metrics counts as worse, since the new bundle may be the cause.
 * @param figures Figures. @param limits Section `[health]`. @return What is worse, absent if nothing is.
 */
std::optional<std::string> worseThan(const HealthFigures& figures, const HealthLimits& limits)
{
    std::ostringstream text;
    if (!figures.silent.empty())
        text << "no metrics from " << figures.silent.front();
    else if (figures.answers >= minAnswers && figures.errorRatio > limits.errorRatioMax)
        text << "error_ratio " << figures.errorRatio << " is above " << limits.errorRatioMax;
    else if (figures.answers >= minAnswers && figures.refusalRatio > limits.refusalRatioMax)
        text << "refusal_ratio " << figures.refusalRatio << " is above " << limits.refusalRatioMax;
    else if (figures.waitP99 > limits.waitP99Max)
        text << "wait_p99 " << figures.waitP99.count() << " ms is above " << limits.waitP99Max.count() << " ms";
    return text.str().empty() ? std::nullopt : std::optional(text.str());
}

} // namespace sp
