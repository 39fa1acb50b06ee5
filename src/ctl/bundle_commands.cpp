#include "bundle_diff.h"
#include "ctl/clock_wall_func.h"
#include "ctl/command_type.h"
#include "ini_text.h"
#include "settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace sp::ctl {

namespace {

    Exit exitOf(BundleOutcome outcome)
    {
        switch (outcome) {
        case BundleOutcome::Done:
            return Exit::Done;
        case BundleOutcome::Refused:
            return Exit::Refused;
        case BundleOutcome::Conflict:
            return Exit::Conflict;
        default:
            return Exit::Store;
        }
    }

    const char* outcomeText(BundleOutcome outcome)
    {
        constexpr const char* names[] = { "done", "refused", "conflict", "store_unreached", "unknown" };
        return names[static_cast<std::size_t>(outcome)];
    }

    nlohmann::json problemsJson(const std::vector<TextProblem>& problems)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const TextProblem& problem : problems)
            list.push_back({ { "line", problem.line }, { "key", problem.key }, { "problem", problem.problem },
                { "remedy", problem.remedy } });
        return list;
    }

    Exit report(Context& context, const BundleResult& result, const std::string& file = "bundle")
    {
        if (context.json) {
            nlohmann::json object { { "outcome", outcomeText(result.outcome) }, { "version", result.version.value },
                { "detail", result.detail }, { "problems", problemsJson(result.problems) } };
            if (result.winner)
                object["winner"] = result.winner->value;
            context.out << object.dump() << '\n';
            return exitOf(result.outcome);
        }
        (result.outcome == BundleOutcome::Done ? context.out : context.err) << result.detail << '\n';
        for (const TextProblem& problem : result.problems)
            context.err << problemText(file, problem) << '\n';
        return exitOf(result.outcome);
    }

    Exit storeAway(Context& context)
    {
        context.err << "The store was not reached.\n";
        return Exit::Store;
    }

    std::optional<std::string> readFile(Context& context, const std::string& path)
    {
        auto text = readTextFile(path);
        if (!text)
            context.err << "spctl: " << path << ": can't be read\n";
        return text;
    }

    std::optional<BundleVersion> parseVersion(const std::string& text)
    {
        const bool digits = !text.empty() && text.size() < 16
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
        return digits ? std::optional(BundleVersion(std::stoull(text))) : std::nullopt;
    }

    std::optional<BundleVersion> versionArgument(Context& context, const std::string& text)
    {
        const auto version = parseVersion(text);
        if (!version)
            context.err << "spctl: '" << text << "' is no version; expected a whole number\n";
        return version;
    }

    /** Text of a proposal. @param exit Set if there is none. */
    std::optional<std::string> proposalText(Context& context, BundleVersion version, Exit& exit)
    {
        exit = Exit::Store;
        const auto found = BundleStore(*context.store).proposal(version);
        if (!found) {
            context.err << "The store was not reached.\n";
            return std::nullopt;
        }
        exit = Exit::Refused;
        if (!*found) {
            context.err << "There is no proposal of version " << version.value << ".\n";
            return std::nullopt;
        }
        return (*found)->text;
    }

    /** Text of a file or, if the argument is a number, of a version in the store. */
    std::optional<std::string> textOf(Context& context, const std::string& argument, Exit& exit)
    {
        if (const auto version = parseVersion(argument)) {
            if (context.store)
                return proposalText(context, *version, exit);
            context.err << "spctl: a version needs --store ip:port\n";
            exit = Exit::Usage;
            return std::nullopt;
        }
        exit = Exit::Usage;
        return readFile(context, argument);
    }

    /** Text of the bundle that the head names, empty if there is none. */
    std::optional<std::string> headText(Context& context, Exit& exit)
    {
        exit = Exit::Usage;
        if (!context.store) {
            context.err << "spctl: the bundle that is rolled out needs --store ip:port\n";
            return std::nullopt;
        }
        const auto status = BundleStore(*context.store).status();
        if (!status) {
            exit = storeAway(context);
            return std::nullopt;
        }
        return status->head ? proposalText(context, status->head->version, exit) : std::string();
    }

    nlohmann::json changeJson(const BundleChange& change)
    {
        constexpr const char* kinds[] = { "section_added", "section_removed", "value" };
        return { { "kind", kinds[static_cast<std::size_t>(change.kind)] }, { "section", change.section },
            { "key", change.key }, { "before", change.before }, { "after", change.after } };
    }

} // namespace

/** Checks a file; with a store also against the bundle that is rolled out. */
Exit runCheck(Context& context, const Arguments& arguments)
{
    const auto text = readFile(context, arguments[0]);
    if (!text)
        return Exit::Usage;
    BundleParse parse = parseBundle(*text);
    if (parse.bundle && context.store) {
        Exit exit = Exit::Done;
        const auto earlierText = headText(context, exit);
        if (!earlierText)
            return exit;
        if (const auto earlier = parseBundle(*earlierText); earlier.bundle) {
            parse.problems = checkSuccession(*earlier.bundle, *parse.bundle);
            locateProblems(*text, parse.problems);
        }
    }
    const bool good = parse.problems.empty();
    BundleResult result { good ? BundleOutcome::Done : BundleOutcome::Refused, {}, {},
        good ? "The bundle is good." : "The bundle has errors.", parse.problems };
    if (parse.bundle)
        result.version = parse.bundle->version;
    return report(context, result, arguments[0]);
}

/** Compares two bundles by their effect. */
Exit runDiff(Context& context, const Arguments& arguments)
{
    Exit exit = Exit::Done;
    const auto before = arguments.size() == 2 ? textOf(context, arguments[0], exit) : headText(context, exit);
    if (!before)
        return exit;
    const auto after = textOf(context, arguments.back(), exit);
    if (!after)
        return exit;
    for (const std::string* text : { &*before, &*after }) {
        if (const BundleParse parse = parseBundle(*text); !text->empty() && !parse.bundle)
            return report(context, { BundleOutcome::Refused, {}, {}, "A bundle has errors.", parse.problems },
                text == &*after ? arguments.back() : arguments[0]);
    }
    const auto changes = diffBundles(*before, *after);
    nlohmann::json list = nlohmann::json::array();
    for (const BundleChange& change : changes) {
        if (context.json)
            list.push_back(changeJson(change));
        else
            context.out << changeText(change) << '\n';
    }
    if (context.json)
        context.out << list.dump() << '\n';
    else if (changes.empty())
        context.out << "Nothing changes in effect.\n";
    return Exit::Done;
}

Exit runPropose(Context& context, const Arguments& arguments)
{
    const auto text = readFile(context, arguments[0]);
    if (!text)
        return Exit::Usage;
    return report(
        context, BundleStore(*context.store).propose(*text, context.operatorName, rfc3339(context.now)), arguments[0]);
}

Exit runApprove(Context& context, const Arguments& arguments)
{
    const auto version = versionArgument(context, arguments[0]);
    if (!version)
        return Exit::Usage;
    return report(context, BundleStore(*context.store).approve(*version, context.operatorName, rfc3339(context.now)));
}

/** Rolls a version out under the health figures of the schedulers at --admin. */
Exit runRoll(Context& context, const Arguments& arguments)
{
    const auto version = versionArgument(context, arguments[0]);
    if (!version)
        return Exit::Usage;
    RollHooks hooks;
    if (!context.unwatched) {
        if (context.admins.empty()) {
            context.err << "spctl: roll needs --admin ip:port,... for the health figures, or --unwatched\n";
            return Exit::Usage;
        }
        hooks.health = [&context] {
            HealthCounts counts;
            for (const std::string& address : context.admins) {
                if (const auto text = context.adminGet(address, "/metrics"))
                    addMetrics(counts, *text);
                else
                    counts.silent.push_back(address);
            }
            return counts;
        };
    }
    hooks.progress
        = [&context](const std::string& text) { (context.json ? context.err : context.out) << text << std::endl; };
    return report(context, BundleStore(*context.store).roll(*version, hooks));
}

Exit runShow(Context& context, const Arguments& arguments)
{
    const auto version = versionArgument(context, arguments[0]);
    if (!version)
        return Exit::Usage;
    Exit exit = Exit::Done;
    const auto text = proposalText(context, *version, exit);
    if (!text)
        return exit;
    context.out << *text;
    return Exit::Done;
}

} // namespace sp::ctl
