#include "job_record.h"
#include "bundle.h"

#include <nlohmann/json.hpp>

namespace sp {

namespace {

    nlohmann::json specJson(const JobSpec& spec)
    {
        return { { "id", spec.id.value }, { "caller", spec.caller.value }, { "team", spec.team.value },
            { "workload", spec.workload.value }, { "tasks", spec.tasks }, { "cores_milli", spec.size.coresMilli },
            { "memory_mb", spec.size.memoryMb }, { "accelerators", spec.size.accelerators },
            { "run_ms", spec.runTime.count() }, { "payload", spec.payload ? *spec.payload : std::string() } };
    }

    JobSpec parseSpec(const nlohmann::json& json)
    {
        JobSpec spec;
        spec.id = JobId(json.at("id").get<std::string>());
        spec.caller = CallerId(json.at("caller").get<std::string>());
        spec.team = TeamId(json.at("team").get<std::string>());
        spec.workload = WorkloadId(json.at("workload").get<std::string>());
        spec.tasks = json.at("tasks").get<std::uint32_t>();
        spec.size = { json.at("cores_milli").get<std::int64_t>(), json.at("memory_mb").get<std::int64_t>(),
            json.at("accelerators").get<std::int64_t>() };
        spec.runTime = std::chrono::milliseconds(json.at("run_ms").get<std::int64_t>());
        spec.payload = std::make_shared<const std::string>(json.at("payload").get<std::string>());
        return spec;
    }

    JobPhase parsePhase(const std::string& name)
    {
        for (const JobPhase phase :
            { JobPhase::Queued, JobPhase::Running, JobPhase::Done, JobPhase::Failed, JobPhase::Cancelled }) {
            if (name == jobPhaseName(phase))
                return phase;
        }
        return JobPhase::Unknown;
    }

} // namespace

/** Returns the store key of a job's record. */
std::string jobRecordKey(const ShardId& shard, const JobId& job) { return jobRecordPrefix(shard) + job.value; }

/** Returns the common prefix of the store keys of all job records of a shard. */
std::string jobRecordPrefix(const ShardId& shard) { return "/sp/jobs/" + shard.value + "/"; }

/** Serialises a record to JSON; invalid UTF-8 is replaced. */
std::string jobRecordJson(const JobRecord& record)
{
    const nlohmann::json json { { "spec", specJson(record.spec) }, { "phase", jobPhaseName(record.phase) },
        { "finished", record.finished }, { "started", record.started }, { "digest", record.digest },
        { "reason", record.reason }, { "result", record.result }, { "term", record.term.value },
        { "token", record.token } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** Parses the JSON form of a record. Returns nothing if it is malformed. */
std::optional<JobRecord> parseJobRecord(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        JobRecord record;
        record.spec = parseSpec(json.at("spec"));
        record.phase = parsePhase(json.at("phase").get<std::string>());
        record.finished = json.at("finished").get<std::set<std::uint32_t>>();
        record.started = json.at("started").get<std::set<std::uint32_t>>();
        record.digest = json.at("digest").get<std::string>();
        record.reason = json.at("reason").get<std::string>();
        record.result = json.at("result").get<std::string>();
        record.term = Term(json.at("term").get<std::uint64_t>());
        record.token = json.at("token").get<std::string>();
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

/** Returns the SHA-256 digest of a submitted job as 64 hexadecimal digits. The job id and the submission time are left
 * out. */
std::string jobDigest(const JobSpec& spec)
{
    JobSpec content = spec;
    content.id = {};
    return sha256Hex(specJson(content).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/** Returns the shard encoded in a job id, empty if the id is malformed. */
ShardId shardOfJob(const JobId& job)
{
    const auto dash = job.value.rfind('-');
    return dash == std::string::npos ? ShardId() : ShardId(job.value.substr(0, dash));
}

} // namespace sp
