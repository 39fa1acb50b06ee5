#include "command_line.h"
#include "log_func.h"
#include "scheduler/scheduler_daemon.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(config, "", "Settings file");

namespace {

constexpr const char* usage = R"(sp-scheduler - owns shards of targets, routes prompt requests and places tasks

Usage: sp-scheduler --config FILE

  --config FILE  settings file (INI); see docs/configuration.md
  --help         shows this text
  --version      shows the version

SIGTERM hands the shards over, awaits calls in flight and exits with status 0.
Problems of the settings are all printed; the exit status is then 2.
)";

} // namespace

int main(int argc, char** argv)
{
    sp::parseCommandLine(argc, argv, "sp-scheduler", usage);
    auto settings = sp::loadSettings(FLAGS_config, &sp::parseSchedulerSettings);
    if (!settings)
        return sp::exitBadSettings;
    const int signals = sp::openStopSignals();
    sp::startLog("sp-scheduler");
    {
        sp::SchedulerDaemon daemon(std::move(*settings));
        std::string problem;
        if (!daemon.start(problem)) {
            sp::stopLog();
            std::cerr << "sp-scheduler: can't listen: " << problem << '\n';
            return 1;
        }
        sp::logInfo(sp::LogPart::Main, "Link on " + daemon.linkAddress() + ".");
        sp::logInfo(sp::LogPart::Main, "Admin on " + daemon.adminAddress() + ".");
        daemon.run(signals);
    }
    sp::logInfo(sp::LogPart::Main, "Stopped.");
    sp::stopLog();
    return 0;
}
