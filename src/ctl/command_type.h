/** @file command_type.h Commands of spctl. */
#pragma once

#include "bundle_store.h"

#include <chrono>
#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sp::ctl {

/** Exit status. */
enum class Exit : int { Done = 0, Refused = 1, Usage = 2, Conflict = 3, Store = 4 };

/** What a command works with. */
struct Context {
    std::ostream& out;
    std::ostream& err;
    bool json = false;
    bool unwatched = false; ///< Roll without health figures.
    bool markdown = false;
    std::string operatorName;
    std::vector<std::string> admins; ///< Admin addresses of schedulers.
    std::optional<BundleStoreHooks> store; ///< Absent without --store.
    std::function<std::optional<std::string>(const std::string& address, const std::string& path)> adminGet;
    std::chrono::sys_seconds now;
};

using Arguments = std::vector<std::string>;

/** One command. */
struct Command {
    std::string_view name;
    std::string_view arguments; ///< For the usage line.
    std::string_view summary; ///< One sentence.
    std::string_view details; ///< For `spctl help NAME`.
    std::size_t minArguments;
    std::size_t maxArguments;
    bool needsStore;
    bool needsOperator;
    Exit (*run)(Context& context, const Arguments& arguments);
};

std::span<const Command> commands();
const Command* findCommand(std::string_view name);
std::string overviewText();
std::string commandHelp(const Command& command);
std::string keysMarkdown();
Exit runCommand(Context& context, const std::string& name, const Arguments& arguments);

Exit runCheck(Context& context, const Arguments& arguments);
Exit runDiff(Context& context, const Arguments& arguments);
Exit runPropose(Context& context, const Arguments& arguments);
Exit runApprove(Context& context, const Arguments& arguments);
Exit runRoll(Context& context, const Arguments& arguments);
Exit runStatus(Context& context, const Arguments& arguments);
Exit runHistory(Context& context, const Arguments& arguments);
Exit runShow(Context& context, const Arguments& arguments);
Exit runExplain(Context& context, const Arguments& arguments);
Exit runChart(Context& context, const Arguments& arguments);
Exit runCompletion(Context& context, const Arguments& arguments);
Exit runKeys(Context& context, const Arguments& arguments);
Exit runHelp(Context& context, const Arguments& arguments);

} // namespace sp::ctl
