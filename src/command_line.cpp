#include "command_line.h"

#include "ini_text.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <gflags/gflags.h>
#include <iostream>
#include <sys/signalfd.h>

namespace sp {

/**
 * Parses the flags. `--help` and `--version` are answered here, since gflags lists the flags of all libraries.
 * @param argc Number of arguments, reduced to those that are no flags.
 * @param argv Arguments.
 * @param program Name of the program.
 * @param usage Text for `--help`.
 */
void parseCommandLine(int& argc, char**& argv, const char* program, const char* usage)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--help" || argument == "-help" || argument == "-h") {
            std::cout << usage;
            std::exit(0);
        }
        if (argument == "--version" || argument == "-version") {
            std::cout << program << ' ' << SP_VERSION << '\n';
            std::exit(0);
        }
    }
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(SP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
}

/** Reads a settings file; prints why it can't. @param path Path, empty if none was given. @return Text. */
std::optional<std::string> readSettingsFile(const std::string& path)
{
    if (path.empty()) {
        std::cerr << "no settings file; expected --config FILE\n";
        return std::nullopt;
    }
    auto text = readTextFile(path);
    if (!text)
        std::cerr << path << ": can't be read: " << std::strerror(errno) << '\n';
    return text;
}

/** Prints problems to standard error, one a line. @param path Path of the file. @param problems Problems. */
void printProblems(const std::string& path, const std::vector<TextProblem>& problems)
{
    for (const TextProblem& problem : problems)
        std::cerr << problemText(path, problem) << '\n';
}

/**
 * Blocks SIGTERM and SIGINT in this thread and those started later, and ignores SIGPIPE.
 * @return Descriptor that is readable once a signal has come.
 */
int openStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

} // namespace sp
