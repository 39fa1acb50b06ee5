/** @file checks.h Invariants I1 to I8 as fake targets, the fake store and the callers see them. */
#pragma once

#include "core_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp::soak {

/** A job that was accepted. */
struct AcceptedJob {
    JobId id;
    CallerId caller;
    bool isDurable = false;
};

/** What callers know of one submission. */
struct Submission {
    std::string payload; ///< Equal for all submissions of one key.
    bool isKeyed = false;
    bool isJob = false;
    bool isDone = false;
    CallerId caller;
    Time submittedAt {};
    std::string process; ///< Run of the scheduler that took it; with its end the caller gets no answer.
};

/** Collects observations and keeps the first violation. */
class Checks {
public:
    void submitted(const std::string& label, Submission submission);
    void answered(const std::string& label, const AnswerMessage& answer);
    void requestStarted(const TargetId& target, const std::string& requestId, const std::string& payload);
    void requestEnded(const std::string& requestId);
    void taskStarted(const TargetId& target, const TaskId& task, const std::string& payload, bool isIdempotent);
    void taskEnded(const TargetId& target, const TaskId& task);
    void overfilled(const TargetId& target, const std::string& work);
    void termAccepted(const TargetId& target, const ShardId& shard, Term term);
    void shardHolders(const ShardId& shard, const std::vector<std::string>& firm);
    void startSent(const TargetId& target, const std::optional<Duration>& sinceToldLeaving);
    void bundleAnnounced(const std::string& process, BundleVersion version);
    void jobAsked(const AcceptedJob& job) { m_askedJobs[job.id] = job.isDurable; }
    void jobStatus(const AnswerMessage& answer);
    void settled(const std::set<std::string>& liveProcesses);
    void drained(const std::string& process, std::size_t callsInFlight);
    void fail(const std::string& text);

    const std::string& failure() const { return m_failure; }
    std::map<std::string, std::uint64_t>& counts() { return m_counts; }
    const std::vector<AcceptedJob>& acceptedJobs() const { return m_jobs; }
    const std::map<std::string, Submission>& submissions() const { return m_submissions; }

private:
    std::string m_failure;
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, Submission> m_submissions; ///< Open ones; ended ones keep only what later checks need.
    std::vector<AcceptedJob> m_jobs;
    std::map<JobId, bool> m_askedJobs; ///< Jobs whose end is not known when the run is over; whether they are durable.
    std::unordered_map<std::string, std::uint32_t> m_runs; ///< Starts of each payload or task.
    std::unordered_map<std::string, std::uint32_t> m_submissionsOf; ///< Submissions of each payload.
    std::set<std::string> m_notRun; ///< Payloads of requests that were told not_run.
    std::map<std::string, TargetId> m_runningRequests; ///< By request id.
    std::map<TaskId, std::set<TargetId>> m_runningTasks;
    std::map<std::pair<TargetId, ShardId>, Term> m_terms;
    std::map<std::string, BundleVersion> m_bundles;
};

} // namespace sp::soak
