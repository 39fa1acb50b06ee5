#include "ctl/clock_wall_func.h"
#include "ctl/command_type.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace sp::ctl {

namespace {

    Exit storeAway(Context& context)
    {
        context.err << "The store was not reached.\n";
        return Exit::Store;
    }

    /** Time since the approval of a version, in its largest unit. */
    std::string ageText(const BundleStatus& status, BundleVersion version, std::chrono::sys_seconds now)
    {
        const auto it = status.proposals.find(version);
        const auto at = it == status.proposals.end() ? std::nullopt : parseRfc3339(it->second.approvedAt);
        if (!at)
            return "-";
        const auto seconds = (now - *at).count();
        if (seconds < 120)
            return std::to_string(seconds) + "s";
        if (seconds < 7200)
            return std::to_string(seconds / 60) + "min";
        return seconds < 172800 ? std::to_string(seconds / 3600) + "h" : std::to_string(seconds / 86400) + "d";
    }

    std::string padded(std::string text, std::size_t width)
    {
        if (text.size() < width)
            text.resize(width, ' ');
        return text + " ";
    }

    std::string stagesText(const BundleHead& head)
    {
        std::string text;
        for (const DataCentreId& stage : head.stages)
            text += (text.empty() ? "" : ", ") + stage.value;
        return text.empty() ? "none" : text;
    }

    nlohmann::json statusJson(const BundleStatus& status, std::chrono::sys_seconds now)
    {
        nlohmann::json members = nlohmann::json::array();
        for (const MemberState& member : status.members)
            members.push_back({ { "host", member.host.value }, { "data_centre", member.dataCentre.value },
                { "bundle", member.bundle.value }, { "wanted", member.wanted.value }, { "lags", member.lags() },
                { "age", ageText(status, member.bundle, now) }, { "reason", member.reason } });
        nlohmann::json object { { "members", members }, { "head", nullptr } };
        if (status.head)
            object["head"] = nlohmann::json::parse(bundleHeadJson(*status.head));
        return object;
    }

} // namespace

/** Shows the roll-out and each process. */
Exit runStatus(Context& context, const Arguments&)
{
    const auto status = BundleStore(*context.store).status();
    if (!status)
        return storeAway(context);
    if (context.json) {
        context.out << statusJson(*status, context.now).dump() << '\n';
        return Exit::Done;
    }
    if (status->head)
        context.out << "bundle " << status->head->version.value << ", " << status->head->state << ", approved "
                    << ageText(*status, status->head->version, context.now) << " ago, previous "
                    << status->head->previous.value << ", data centres: " << stagesText(*status->head) << '\n';
    else
        context.out << "no bundle was rolled out yet\n";
    context.out << padded("host", 16) << padded("data centre", 12) << padded("bundle", 8) << padded("wanted", 8)
                << padded("age", 6) << "state\n";
    std::size_t lagging = 0;
    for (const MemberState& member : status->members) {
        lagging += member.lags() ? 1 : 0;
        context.out << padded(member.host.value, 16) << padded(member.dataCentre.value, 12)
                    << padded(std::to_string(member.bundle.value), 8) << padded(std::to_string(member.wanted.value), 8)
                    << padded(ageText(*status, member.bundle, context.now), 6) << (member.lags() ? "lags: " : "")
                    << (member.reason.empty() ? "up to date" : member.reason) << '\n';
    }
    context.out << status->members.size() << " processes, " << lagging << " lag\n";
    return Exit::Done;
}

/** Lists all proposals. */
Exit runHistory(Context& context, const Arguments&)
{
    const auto status = BundleStore(*context.store).status();
    if (!status)
        return storeAway(context);
    nlohmann::json list = nlohmann::json::array();
    if (!context.json)
        context.out << padded("version", 8) << padded("state", 10) << padded("proposed", 32) << "approved\n";
    for (const auto& [version, proposal] : status->proposals) {
        const std::string phase = bundlePhase(*status, version);
        if (context.json)
            list.push_back({ { "version", version.value }, { "state", phase }, { "digest", proposal.digest },
                { "proposer", proposal.proposer }, { "proposed_at", proposal.proposedAt },
                { "approver", proposal.approver }, { "approved_at", proposal.approvedAt } });
        else
            context.out << padded(std::to_string(version.value), 8) << padded(phase, 10)
                        << padded(proposal.proposer + " " + proposal.proposedAt, 32)
                        << (proposal.approver.empty() ? "-" : proposal.approver + " " + proposal.approvedAt) << '\n';
    }
    if (context.json)
        context.out << list.dump() << '\n';
    return Exit::Done;
}

} // namespace sp::ctl
