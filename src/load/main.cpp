/** @file main.cpp Load generator driven by a workload file. */
#include "load/load_runner.h"
#include "table/workload_keys.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>
#include <unistd.h>

DEFINE_string(workload, "", "Workload file (INI).");
DEFINE_string(gateways, "", "Gateways, ip:port separated by commas.");
DEFINE_string(direct, "", "Instance (ip:port) that gets the prompt requests without gateways.");
DEFINE_string(control, "", "Control address (ip:port) of the stand-in, for its counters and its record of runs.");
DEFINE_string(pids, "", "Processes whose CPU time is measured: name=pid separated by commas.");
DEFINE_string(seconds, "", "CSV file with a line for each second.");
DEFINE_string(summary, "", "CSV file with the summary.");
DEFINE_string(results, "", "CSV file with a line for each piece of work.");
DEFINE_string(uid_prefix, "", "Begin of all work ids; by default drawn from the process id.");
DEFINE_int64(seed, -1, "Seed instead of that of the workload file.");

namespace {

std::atomic<bool> stopWanted { false };

void wantStop(int /*signal*/) { stopWanted = true; }

std::vector<std::string> splitAddresses(const std::string& text)
{
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    for (std::string address; std::getline(stream, address, ',');)
        addresses.push_back(address);
    return addresses;
}

int run(sp::load::LoadSpec spec)
{
    sp::load::LoadOptions options;
    options.gateways = splitAddresses(FLAGS_gateways);
    options.direct = FLAGS_direct;
    options.control = FLAGS_control;
    options.secondsFile = FLAGS_seconds;
    options.resultsFile = FLAGS_results;
    options.uidPrefix = FLAGS_uid_prefix.empty() ? "u" + std::to_string(getpid()) + "-" : FLAGS_uid_prefix;
    options.processes = FLAGS_pids;
    options.showsProgress = isatty(STDERR_FILENO) != 0;
    sp::load::LoadRunner runner(std::move(spec), options);
    const sp::load::LoadStats stats = runner.run([] { return !stopWanted; });
    if (options.showsProgress)
        std::fprintf(stderr, "\n");
    std::fputs(stats.text().c_str(), stdout);
    if (!FLAGS_summary.empty()) {
        std::ofstream file(FLAGS_summary);
        file << "name,value\n";
        for (const auto& [name, value] : stats.summary())
            file << name << ',' << value << '\n';
    }
    return stats.isClean() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Sends the requests and jobs of a workload file and checks the answers. Status 1: a wrong "
                            "answer, a double run or an overcommit was found.");
    gflags::SetVersionString(SP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_workload);
    if (!file || (FLAGS_gateways.empty() && FLAGS_direct.empty())) {
        std::fprintf(stderr, "expected a readable file with --workload, and --gateways or --direct\n");
        return 2;
    }
    std::stringstream text;
    text << file.rdbuf();
    sp::Ini ini = sp::Ini::parse(text.str(), sp::workloadKeys);
    sp::load::LoadSpec spec = sp::load::parseLoadSpec(ini);
    for (const sp::TextProblem& problem : ini.problems())
        std::fprintf(stderr, "%s\n", sp::problemText(FLAGS_workload, problem).c_str());
    if (!ini.problems().empty())
        return 2;
    if (FLAGS_seed >= 0)
        spec.seed = static_cast<std::uint64_t>(FLAGS_seed);
    std::signal(SIGTERM, wantStop);
    std::signal(SIGINT, wantStop);
    std::signal(SIGPIPE, SIG_IGN);
    return run(std::move(spec));
}
