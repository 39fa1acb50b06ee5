/** @file job_record.h Persistent record of a job in the store, and its JSON form. */
#pragma once

#include "host_list.h"
#include "work_type.h"

#include <optional>
#include <set>
#include <string>

namespace sp {

/** State of a job that is kept in the store. */
struct JobRecord {
    JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    std::set<std::uint32_t> finished; ///< Indices of the tasks that succeeded.
    std::set<std::uint32_t> started; ///< Non-idempotent jobs only: indices of tasks whose start may have been sent.
    std::string digest; ///< Digest of the submitted job; detects reuse of an idempotency key for a different job.
    std::string reason;
    std::string result;
    Term term; ///< Term (fencing token) of the owner that wrote the record.
    std::string token; ///< Identifies the write, so that a writer whose reply was lost can tell whether it took effect.
};

std::string jobRecordKey(const ShardId& shard, const JobId& job);
std::string jobRecordPrefix(const ShardId& shard);
std::string jobRecordJson(const JobRecord& record);
std::optional<JobRecord> parseJobRecord(const std::string& json);
std::string jobDigest(const JobSpec& spec);
ShardId shardOfJob(const JobId& job);

} // namespace sp
