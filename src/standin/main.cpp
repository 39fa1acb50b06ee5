/** @file main.cpp Plays the platform for tests and the demo: store, host list, service instances, workers, faults. */
#include "log_func.h"
#include "standin/platform.h"
#include "table/standin_keys.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>
#include <sys/resource.h>

DEFINE_string(config, "", "Settings file (INI).");

namespace {

std::atomic<bool> stopWanted { false };

void wantStop(int /*signal*/) { stopWanted = true; }

/** Two descriptors for each of up to 16,000 connections are not needed, one is; the soft limit is often 1,024. */
void raiseDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int serve(const sp::Ini& settings)
{
    try {
        sp::standin::HttpServer server;
        sp::standin::Platform platform(server, settings);
        sp::logInfo(sp::LogPart::Main, "Store on " + platform.storeAddress() + ".");
        sp::logInfo(sp::LogPart::Main, "Control on " + platform.controlAddress() + ".");
        sp::logInfo(sp::LogPart::Main, "Playing " + std::to_string(platform.targetCount()) + " targets.");
        server.run([] { return !stopWanted; });
        sp::logInfo(sp::LogPart::Main, "Stopped.");
        return 0;
    } catch (const std::exception& problem) {
        sp::logLine(sp::LogPart::Main, sp::LogLevel::Error, problem.what());
        return 1;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Plays the platform: store, host list, service instances, workers and their faults.");
    gflags::SetVersionString(SP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_config);
    if (!file) {
        std::fprintf(stderr, "%s: can't be read; expected a settings file with --config\n", FLAGS_config.c_str());
        return 2;
    }
    std::stringstream text;
    text << file.rdbuf();
    const sp::Ini settings = sp::Ini::parse(text.str(), sp::standinKeys);
    for (const sp::TextProblem& problem : settings.problems())
        std::fprintf(stderr, "%s\n", sp::problemText(FLAGS_config, problem).c_str());
    if (!settings.problems().empty())
        return 2;
    std::signal(SIGTERM, wantStop);
    std::signal(SIGINT, wantStop);
    std::signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    sp::startLog("sp-standin");
    const int status = serve(settings);
    sp::stopLog();
    return status;
}
