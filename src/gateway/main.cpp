#include "command_line.h"
#include "gateway/gateway.h"
#include "log_func.h"

#include <gflags/gflags.h>
#include <iostream>
#include <poll.h>

DEFINE_string(config, "", "Settings file");

namespace {

constexpr const char* usage = R"(sp-gateway - answers callers over HTTP and forwards their requests to a scheduler

Usage: sp-gateway --config FILE

  --config FILE  settings file (INI); see docs/configuration.md
  --help         shows this text
  --version      shows the version

SIGTERM stops accepting, answers what is in flight and exits with status 0.
Problems of the settings are all printed; the exit status is then 2.
)";

} // namespace

int main(int argc, char** argv)
{
    sp::parseCommandLine(argc, argv, "sp-gateway", usage);
    auto settings = sp::loadSettings(FLAGS_config, &sp::parseGatewaySettings);
    if (!settings)
        return sp::exitBadSettings;
    const int signals = sp::openStopSignals();
    sp::startLog("sp-gateway");
    sp::Gateway gateway(std::move(*settings));
    std::string problem;
    if (!gateway.start(problem)) {
        sp::stopLog();
        std::cerr << "sp-gateway: can't listen: " << problem << '\n';
        return 1;
    }
    sp::logInfo(sp::LogPart::Main, "Listening for callers on " + gateway.boundAddress() + ".");
    pollfd waitFor { signals, POLLIN, 0 };
    while (poll(&waitFor, 1, -1) <= 0) { }
    sp::logInfo(sp::LogPart::Main, "Draining.");
    gateway.drain();
    sp::logInfo(sp::LogPart::Main, "Stopped.");
    sp::stopLog();
    return 0;
}
