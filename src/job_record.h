/** @file job_record.h Record of a job in the store. */
#pragma once

#include "host_list.h"
#include "work_type.h"

#include <optional>
#include <set>
#include <string>

namespace sp {

/** What the store keeps of a job. */
struct JobRecord {
    JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    std::set<std::uint32_t> finished; ///< Indices of tasks that succeeded.
    std::set<std::uint32_t> started; ///< Non-idempotent jobs: indices whose start may have been sent.
    std::string digest; ///< Digest of the content, to detect another content under the same key.
    std::string reason;
    std::string result;
    Term term; ///< Term of the owner that wrote it.
    std::string token; ///< Tells the writer whether a lost write took effect.
};

std::string jobRecordKey(const ShardId& shard, const JobId& job);
std::string jobRecordPrefix(const ShardId& shard);
std::string jobRecordJson(const JobRecord& record);
std::optional<JobRecord> parseJobRecord(const std::string& json);
std::string jobDigest(const JobSpec& spec);
ShardId shardOfJob(const JobId& job);

} // namespace sp
