#include "ctl/command_type.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace sp::ctl {

namespace {

    constexpr std::string_view flagsText = R"(
Flags:
  --store ip:port          address of the platform's store
  --operator NAME          who proposes or approves
  --admin ip:port,...      admin addresses of schedulers, for roll and explain
  --json                   output for programs
  --unwatched              roll without health figures and without pauses between stages
  --markdown               keys as Markdown
  --version, --help

Exit status: 0 done, 1 refused or failed, 2 usage, 3 another operator's change won,
4 the store was not reached or its answer is unknown.
)";

    constexpr std::array table {
        Command { "check", "FILE", "Checks a bundle and prints all its problems.",
            "With --store it is also checked against the bundle that is rolled out.", 1, 1, false, false, &runCheck },
        Command { "diff", "FILE|VERSION [FILE|VERSION]", "Shows what changes in effect between two bundles.",
            "With one argument the bundle that is rolled out comes first (needs --store). Defaults that are written\n"
            "out and other spellings of a value are no change.",
            1, 2, false, false, &runDiff },
        Command { "propose", "FILE", "Proposes a bundle.",
            "The version has to be higher than every earlier one. To go back, propose a newer version with the older\n"
            "content. A bad bundle is refused whole, with all its problems.",
            1, 1, true, true, &runPropose },
        Command { "approve", "VERSION", "Approves a proposal of another operator.",
            "Read `spctl show VERSION` and `spctl diff VERSION` first. Approval changes no process yet.", 1, 1, true,
            true, &runApprove },
        Command { "roll", "VERSION", "Rolls an approved version out, data centre by data centre.",
            "Each stage is watched for the [health] stage_time of the bundle; the figures come from the /metrics of\n"
            "the schedulers named by --admin. When a figure passes its limit, or a scheduler is silent, the roll-out\n"
            "stops: data centres that were reached keep the version. The same command goes on later.",
            1, 1, true, false, &runRoll },
        Command { "status", "", "Shows the roll-out and the version of each process.",
            "A process lags if it has an older version than its data centre is meant to have.", 0, 0, true, false,
            &runStatus },
        Command {
            "history", "", "Lists all proposals with proposer and approver.", "", 0, 0, true, false, &runHistory },
        Command { "show", "VERSION", "Prints the text of a proposal.", "", 1, 1, true, false, &runShow },
        Command { "explain", "ID", "Says why a request or job was decided as it was.",
            "Asks all schedulers named by --admin.", 1, 1, false, false, &runExplain },
        Command { "chart", "check|draw FILE...", "Checks state charts or draws them as Mermaid diagrams.", "", 2, 100,
            false, false, &runChart },
        Command { "keys", "", "Lists all keys of bundles and settings files.",
            "With --markdown it prints docs/configuration.md.", 0, 0, false, false, &runKeys },
        Command { "completion", "bash", "Prints the completion script: source <(spctl completion bash).", "", 1, 1,
            false, false, &runCompletion },
        Command { "help", "[COMMAND]", "Shows this text or the help of a command.", "", 0, 1, false, false, &runHelp },
    };

    Exit usageError(Context& context, const std::string& text)
    {
        context.err << "spctl: " << text << '\n';
        return Exit::Usage;
    }

} // namespace

/** @return All commands. */
std::span<const Command> commands() { return table; }

/** @param name Name. @return Command, null if there is none. */
const Command* findCommand(std::string_view name)
{
    const auto it
        = std::find_if(table.begin(), table.end(), [&](const Command& command) { return command.name == name; });
    return it == table.end() ? nullptr : &*it;
}

/** @return Text of `spctl --help`. */
std::string overviewText()
{
    std::string text = "spctl - bundles, status and explanations for operators\n\nUsage: spctl COMMAND [ARGUMENTS] "
                       "[FLAGS]\n\nCommands:\n";
    for (const Command& command : table) {
        std::string name(command.name);
        name.resize(12, ' ');
        text += "  " + name + std::string(command.summary) + "\n";
    }
    return text + std::string(flagsText);
}

/** @param command Command. @return Text of `spctl help COMMAND`. */
std::string commandHelp(const Command& command)
{
    std::string text = "Usage: spctl " + std::string(command.name);
    if (!command.arguments.empty())
        text += " " + std::string(command.arguments);
    text += std::string(command.needsStore ? " --store ip:port" : "")
        + (command.needsOperator ? " --operator NAME" : "") + "\n\n" + std::string(command.summary) + "\n";
    if (!command.details.empty())
        text += std::string(command.details) + "\n";
    return text + std::string(flagsText);
}

/**
 * Checks the usage of a command and runs it.
 * @param context What it works with. @param name Name. @param arguments Arguments.
 * @return Exit status.
 */
Exit runCommand(Context& context, const std::string& name, const Arguments& arguments)
{
    const Command* command = findCommand(name);
    if (!command)
        return usageError(context, "no command '" + name + "'; `spctl help` lists them");
    if (arguments.size() < command->minArguments || arguments.size() > command->maxArguments)
        return usageError(context,
            "expected: spctl " + name
                + (command->arguments.empty() ? " without arguments" : " " + std::string(command->arguments)));
    if (command->needsStore && !context.store)
        return usageError(context, name + " needs --store ip:port");
    if (command->needsOperator && context.operatorName.empty())
        return usageError(context, name + " needs --operator NAME");
    return command->run(context, arguments);
}

Exit runHelp(Context& context, const Arguments& arguments)
{
    if (arguments.empty()) {
        context.out << overviewText();
        return Exit::Done;
    }
    const Command* command = findCommand(arguments[0]);
    if (!command)
        return usageError(context, "no command '" + arguments[0] + "'; `spctl help` lists them");
    context.out << commandHelp(*command);
    return Exit::Done;
}

} // namespace sp::ctl
