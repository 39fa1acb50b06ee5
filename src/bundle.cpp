#include "bundle.h"
#include "ini_text.h"
#include "table/bundle_keys.h"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace sp {

namespace {

    std::vector<DataCentreId> dataCentreList(const std::vector<std::string>& names)
    {
        std::vector<DataCentreId> ids;
        ids.reserve(names.size());
        for (const std::string& name : names)
            ids.emplace_back(name);
        return ids;
    }

    CellPolicy parseCell(const Ini& ini)
    {
        CellPolicy cell;
        cell.dataCentres = dataCentreList(ini.list("cell", "", "data_centres"));
        cell.keyDataCentres = ini.isGiven("cell", "", "key_data_centres")
            ? dataCentreList(ini.list("cell", "", "key_data_centres"))
            : cell.dataCentres;
        cell.slotShards = static_cast<std::uint32_t>(ini.integer("cell", "", "slot_shards"));
        cell.workerShards = static_cast<std::uint32_t>(ini.integer("cell", "", "worker_shards"));
        cell.shortReserveMin = ini.real("cell", "", "short_reserve_min");
        cell.shortReserveMax = ini.real("cell", "", "short_reserve_max");
        cell.failingWorkersMax = ini.real("cell", "", "failing_workers_max");
        cell.reclaimAfter = ini.span("cell", "", "reclaim_after");
        return cell;
    }

    WorkClass parseClass(const std::string& name)
    {
        if (name == "batch")
            return WorkClass::Batch;
        if (name == "gang")
            return WorkClass::Gang;
        return name == "hold" ? WorkClass::Hold : WorkClass::Prompt;
    }

    WorkloadPolicy parseWorkload(const Ini& ini, const std::string& name)
    {
        WorkloadPolicy policy;
        policy.id = WorkloadId(name);
        policy.workClass = parseClass(ini.text("workload", name, "class"));
        policy.priority = ini.text("workload", name, "priority") == "urgent" ? Priority::Urgent : Priority::Normal;
        policy.service = ini.text("workload", name, "service");
        policy.idempotent = ini.flag("workload", name, "idempotent");
        policy.deadline = ini.span("workload", name, "deadline");
        policy.queueLimit = static_cast<std::uint32_t>(ini.integer("workload", name, "queue_limit"));
        policy.weight = ini.real("workload", name, "weight");
        policy.longThreshold = ini.span("workload", name, "long_threshold");
        policy.maxWait = ini.span("workload", name, "max_wait");
        policy.taskLease = ini.span("workload", name, "task_lease");
        policy.retryBudgetPercent = static_cast<std::uint32_t>(ini.integer("workload", name, "retry_budget"));
        policy.rackLimit = static_cast<std::uint32_t>(ini.integer("workload", name, "rack_limit"));
        return policy;
    }

    TeamPolicy parseTeam(const Ini& ini, const std::string& name)
    {
        TeamPolicy policy;
        policy.id = TeamId(name);
        policy.weight = ini.real("team", name, "weight");
        policy.coresMilli = static_cast<std::int64_t>(ini.real("team", name, "cores") * 1000);
        policy.memoryMb = ini.integer("team", name, "memory");
        policy.accelerators = ini.integer("team", name, "accelerators");
        return policy;
    }

    HealthLimits parseHealth(const Ini& ini)
    {
        HealthLimits health;
        health.errorRatioMax = ini.real("health", "", "error_ratio_max");
        health.refusalRatioMax = ini.real("health", "", "refusal_ratio_max");
        health.waitP99Max = ini.span("health", "", "wait_p99_max");
        health.stageTime = ini.span("health", "", "stage_time");
        return health;
    }

    /** Rules that concern several keys of one bundle. */
    void checkWhole(Ini& ini)
    {
        for (const char* section : { "bundle", "cell" }) {
            if (!ini.hasSection(section))
                ini.addProblem(section, "", "section is missing", std::string("[") + section + "]");
        }
        if (ini.sectionNames("workload").empty())
            ini.addProblem("workload", "", "no workload is declared", "at least one [workload NAME]");
        for (const std::string& name : ini.sectionNames("workload")) {
            const std::string title = "workload " + name;
            if (name.empty())
                ini.addProblem("workload", "", "has no name", "[workload NAME]");
            const bool prompt = ini.text("workload", name, "class") == "prompt";
            if (prompt && ini.text("workload", name, "service").empty())
                ini.addProblem(title, "service", "is missing", "the service whose instances run the requests");
            if (!prompt && ini.isGiven("workload", name, "service"))
                ini.addProblem(title, "service", "has no meaning for this class", "no service");
        }
        if (ini.real("cell", "", "short_reserve_min") > ini.real("cell", "", "short_reserve_max"))
            ini.addProblem(
                "cell", "short_reserve_min", "is larger than short_reserve_max", "at most short_reserve_max");
        const auto centres = ini.list("cell", "", "data_centres");
        for (const std::string& name : ini.list("cell", "", "key_data_centres")) {
            if (std::find(centres.begin(), centres.end(), name) == centres.end())
                ini.addProblem("cell", "key_data_centres", "'" + name + "' is no data centre of the cell",
                    "names of data_centres");
        }
    }

} // namespace

/** SHA-256. @param text Bytes. @return 64 hexadecimal digits. */
std::string sha256Hex(const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        constexpr char digits[] = "0123456789abcdef";
        hex += digits[digest[i] >> 4];
        hex += digits[digest[i] & 15];
    }
    return hex;
}

/**
 * Parses a bundle and checks it whole.
 * @param text INI text.
 * @return The bundle, or all problems at once.
 */
BundleParse parseBundle(const std::string& text)
{
    Ini ini = Ini::parse(text, bundleKeys);
    checkWhole(ini);
    if (!ini.problems().empty()) {
        std::vector<TextProblem> problems = ini.problems();
        std::stable_sort(problems.begin(), problems.end(),
            [](const TextProblem& left, const TextProblem& right) { return left.line < right.line; });
        return { std::nullopt, std::move(problems) };
    }
    Bundle bundle;
    bundle.version = BundleVersion(static_cast<std::uint64_t>(ini.integer("bundle", "", "version")));
    bundle.author = ini.text("bundle", "", "author");
    bundle.note = ini.text("bundle", "", "note");
    bundle.digest = sha256Hex(text);
    bundle.cell = parseCell(ini);
    bundle.weights
        = { ini.real("weights", "", "wait"), ini.real("weights", "", "packing"), ini.real("weights", "", "spread") };
    bundle.health = parseHealth(ini);
    for (const std::string& name : ini.sectionNames("workload"))
        bundle.workloads[WorkloadId(name)] = parseWorkload(ini, name);
    for (const std::string& name : ini.sectionNames("team"))
        bundle.teams[TeamId(name)] = parseTeam(ini, name);
    return { std::move(bundle), {} };
}

/**
 * Checks what may not change from one bundle to the next.
 * @param earlier Bundle in force.
 * @param later Bundle that is to follow.
 * @return Problems; empty if the later one may follow.
 */
std::vector<TextProblem> checkSuccession(const Bundle& earlier, const Bundle& later)
{
    std::vector<TextProblem> problems;
    if (later.version <= earlier.version)
        problems.push_back({ 0, "bundle.version", "is not higher than version " + std::to_string(earlier.version.value),
            "a higher version" });
    if (later.cell.slotShards != earlier.cell.slotShards)
        problems.push_back(
            { 0, "cell.slot_shards", "differs from the first bundle", std::to_string(earlier.cell.slotShards) });
    if (later.cell.workerShards != earlier.cell.workerShards)
        problems.push_back(
            { 0, "cell.worker_shards", "differs from the first bundle", std::to_string(earlier.cell.workerShards) });
    if (later.cell.keyDataCentres != earlier.cell.keyDataCentres)
        problems.push_back(
            { 0, "cell.key_data_centres", "differs from the first bundle", "the same data centres in the same order" });
    return problems;
}

/** Fills in the lines of problems that concern one key of a section without a name. @param text Text. @param problems
 * Problems. */
void locateProblems(const std::string& text, std::vector<TextProblem>& problems)
{
    const Ini ini = Ini::parse(text, bundleKeys);
    for (TextProblem& problem : problems) {
        const auto dot = problem.key.find('.');
        if (problem.line == 0 && dot != std::string::npos)
            problem.line = ini.lineOf(problem.key.substr(0, dot), problem.key.substr(dot + 1));
    }
}

} // namespace sp
