#include "load/load_stats.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace sp::load {

namespace {

    std::string fixed(double value)
    {
        std::array<char, 64> text {};
        std::snprintf(text.data(), text.size(), "%.3f", value);
        return text.data();
    }

    using Summary = std::vector<std::pair<std::string, std::string>>;

    void addQuantiles(Summary& out, const std::string& name, const Samples& samples)
    {
        if (samples.count() == 0)
            return;
        out.emplace_back(name + "_p50", fixed(samples.quantile(0.5)));
        out.emplace_back(name + "_p99", fixed(samples.quantile(0.99)));
        out.emplace_back(name + "_max", fixed(samples.quantile(1)));
    }

    void addClass(Summary& out, const std::string& name, const ClassStats& stats)
    {
        const auto add
            = [&](const char* key, std::uint64_t value) { out.emplace_back(name + "." + key, std::to_string(value)); };
        add("sent", stats.sent);
        add("accepted", stats.accepted);
        add("ok", stats.ok);
        add("no_answer", stats.noAnswer);
        add("wrong_answers", stats.wrongAnswers);
        add("wrongly_not_run", stats.wronglyNotRun);
        add("cancels_sent", stats.cancelsSent);
        add("unfinished", stats.unfinished);
        for (const auto& [kind, count] : stats.byKind)
            add(("kind." + kind).c_str(), count);
        for (const auto& [outcome, count] : stats.byOutcome)
            add(("outcome." + outcome).c_str(), count);
        addQuantiles(out, name + ".wait_ms", stats.waitMs);
        addQuantiles(out, name + ".overhead_ms", stats.overheadMs);
        addQuantiles(out, name + ".refusal_ms", stats.refusalMs);
    }

} // namespace

/** @param q Quantile from 0 to 1. @return Value, 0 if there are no samples. */
double Samples::quantile(double q) const
{
    if (m_values.empty())
        return 0;
    if (m_sorted != m_values.size()) {
        std::sort(m_values.begin(), m_values.end());
        m_sorted = m_values.size();
    }
    const auto index = static_cast<std::size_t>(q * static_cast<double>(m_values.size()));
    return m_values[std::min(index, m_values.size() - 1)];
}

/** Keeps the first faults for people. @param text Sentence. */
void LoadStats::addFault(std::string text)
{
    if (faults.size() < 50)
        faults.push_back(std::move(text));
}

/** @return Whether no answer was wrong and the stand-in recorded no breach. */
bool LoadStats::isClean() const
{
    const auto grown = [this](const char* name) {
        const auto now = after.values.find(name);
        const auto then = before.values.find(name);
        return now != after.values.end() && (then == before.values.end() || now->second > then->second);
    };
    return std::all_of(classes.begin(), classes.end(),
               [](const auto& one) { return one.second.wrongAnswers == 0 && one.second.wronglyNotRun == 0; })
        && !grown("targets.double_runs") && !grown("targets.overcommits") && !grown("targets.stale_starts");
}

/** @return All figures by name. */
Summary LoadStats::summary() const
{
    Summary out;
    out.emplace_back("elapsed_s", fixed(elapsedSeconds));
    out.emplace_back("start_boottime_ms", std::to_string(startMs));
    for (const auto& [workClass, stats] : classes)
        addClass(out, workClassName(workClass), stats);
    out.emplace_back("caller_bytes_sent", std::to_string(bytesSent));
    out.emplace_back("caller_bytes_received", std::to_string(bytesReceived));
    for (const ProcessCost& process : processes) {
        if (process.firstSeconds < 0 || elapsedSeconds <= 0)
            continue;
        out.emplace_back("process." + process.name + ".core_percent",
            fixed((process.lastSeconds - process.firstSeconds) / elapsedSeconds * 100));
        out.emplace_back("process." + process.name + ".peak_mb", std::to_string(process.peakMemoryKb / 1024));
    }
    for (const auto& [name, value] : after.values) {
        const auto then = before.values.find(name);
        const double change = value - (then == before.values.end() ? 0 : then->second);
        out.emplace_back("platform." + name, fixed(change));
    }
    return out;
}

/** @return Summary for people. */
std::string LoadStats::text() const
{
    std::string text;
    for (const auto& [name, value] : summary()) {
        std::array<char, 160> line {};
        std::snprintf(line.data(), line.size(), "%-46s %14s\n", name.c_str(), value.c_str());
        text += line.data();
    }
    for (const std::string& fault : faults)
        text.append("fault: ").append(fault).append("\n");
    return text;
}

/** @param list `name=pid,...`. @return Processes; malformed items are left out. */
std::vector<ProcessCost> parseProcesses(const std::string& list)
{
    std::vector<ProcessCost> processes;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto equals = item.find('=');
        if (equals == std::string::npos)
            continue;
        ProcessCost process;
        process.name = item.substr(0, equals);
        process.pid = std::atoi(item.c_str() + equals + 1);
        readCost(process);
        process.firstSeconds = process.lastSeconds;
        processes.push_back(std::move(process));
    }
    return processes;
}

/** Reads the CPU time and the peak memory of a process. @param process Process; unchanged if it has ended. */
void readCost(ProcessCost& process)
{
    const std::string folder = "/proc/" + std::to_string(process.pid);
    std::ifstream stat(folder + "/stat");
    std::string line;
    if (!std::getline(stat, line))
        return;
    // The name in parentheses may hold spaces; fields 14 and 15 are the user and system time.
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::string field;
    for (int i = 3; i < 14; ++i)
        fields >> field;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    process.lastSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            process.peakMemoryKb = std::atol(line.c_str() + 6);
    }
}

/** @param file Name of the file, empty for none. @param processes Processes, one column each. */
SecondLog::SecondLog(const std::string& file, const std::vector<ProcessCost>& processes)
{
    if (file.empty())
        return;
    m_file = std::fopen(file.c_str(), "w");
    if (!m_file)
        return;
    std::fprintf(m_file, "second,sent,ok,refused,errors,wait_p50_ms,wait_p99_ms,in_flight,store_calls");
    for (const ProcessCost& process : processes) {
        std::fprintf(m_file, ",core_percent_%s", process.name.c_str());
        m_lastCpu[process.name] = process.lastSeconds;
    }
    std::fprintf(m_file, "\n");
}

SecondLog::~SecondLog()
{
    if (m_file)
        std::fclose(m_file);
}

/** Writes the line of the present second and begins the next. @param second Time since the start. @param inFlight
 * Calls without an answer. @param processes Processes; their costs are read. @param counts Last numbers of the
 * stand-in. */
void SecondLog::write(
    double second, std::size_t inFlight, std::vector<ProcessCost>& processes, const PlatformCounts& counts)
{
    for (ProcessCost& process : processes)
        readCost(process);
    double calls = 0;
    for (const auto& [name, value] : counts.values) {
        if (name.starts_with("store.calls."))
            calls += value;
    }
    if (m_file) {
        std::fprintf(m_file, "%.0f,%llu,%llu,%llu,%llu,%.3f,%.3f,%zu,%.0f", second,
            static_cast<unsigned long long>(sent), static_cast<unsigned long long>(ok),
            static_cast<unsigned long long>(refused), static_cast<unsigned long long>(errors), waitMs.quantile(0.5),
            waitMs.quantile(0.99), inFlight, calls - m_lastCalls);
        for (const ProcessCost& process : processes) {
            std::fprintf(m_file, ",%.1f", (process.lastSeconds - m_lastCpu[process.name]) * 100);
            m_lastCpu[process.name] = process.lastSeconds;
        }
        std::fprintf(m_file, "\n");
        std::fflush(m_file);
    }
    m_lastCalls = calls;
    sent = ok = refused = errors = 0;
    waitMs = {};
}

} // namespace sp::load
