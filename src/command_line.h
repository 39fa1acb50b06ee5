/** @file command_line.h Common start of the programs: command line, settings file, signals. */
#pragma once

#include "settings.h"

#include <functional>
#include <optional>
#include <string>

namespace sp {

constexpr int exitBadSettings = 2; ///< Exit status for settings with problems.

void parseCommandLine(int& argc, char**& argv, const char* program, const char* usage);
std::optional<std::string> readSettingsFile(const std::string& path);
void printProblems(const std::string& path, const std::vector<TextProblem>& problems);
int openStopSignals();

/**
 * Reads and checks a settings file. Prints all problems to standard error.
 * @param path Path of the file.
 * @param parse Parser of the settings.
 * @return Settings, or nothing if there was a problem.
 */
template <typename T>
std::optional<T> loadSettings(const std::string& path, SettingsParse<T> (*parse)(const std::string&))
{
    const auto text = readSettingsFile(path);
    if (!text)
        return std::nullopt;
    SettingsParse<T> parsed = parse(*text);
    printProblems(path, parsed.problems);
    return std::move(parsed.settings);
}

} // namespace sp
