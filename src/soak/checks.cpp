#include "soak/checks.h"

namespace sp::soak {

/** Records a violation; only the first one counts. @param text Invariant and what was seen. */
void Checks::fail(const std::string& text)
{
    if (m_failure.empty())
        m_failure = text;
}

/** A caller sends work. @param label Id of the submission. @param submission What is sent. */
void Checks::submitted(const std::string& label, Submission submission)
{
    ++m_counts[submission.isJob ? "jobs submitted" : "requests submitted"];
    ++m_submissionsOf[submission.payload];
    m_submissions.emplace(label, std::move(submission));
}

/** A caller gets an answer. @param label Id of the submission. @param answer Answer. */
void Checks::answered(const std::string& label, const AnswerMessage& answer)
{
    const auto it = m_submissions.find(label);
    if (it == m_submissions.end() || it->second.isDone)
        return;
    Submission& submission = it->second;
    submission.isDone = true;
    ++m_counts[(submission.isJob ? "job answers: " : "request answers: ") + std::string(errorInfo(answer.error).name)];
    if (submission.isJob) {
        if (answer.error == ErrorKind::Ok && !answer.job.empty())
            m_jobs.push_back({ answer.job, submission.caller, answer.durable });
        return;
    }
    const std::string& payload = submission.payload;
    if (answer.error == ErrorKind::Ok && (!answer.body || *answer.body != "done:" + payload))
        fail("I3: " + label + " got the answer '" + (answer.body ? *answer.body : std::string()) + "'");
    if (errorInfo(answer.error).outcome != Outcome::NotRun)
        return;
    if (m_submissionsOf[payload] == 1 && m_runs[payload] > 0)
        fail("I4: " + label + " was told " + std::string(errorInfo(answer.error).name) + " but was run");
    if (!submission.isKeyed)
        m_notRun.insert(payload);
}

/** A target starts a request. @param target Target. @param requestId Id at the target. @param payload Payload. */
void Checks::requestStarted(const TargetId& target, const std::string& requestId, const std::string& payload)
{
    ++m_counts["requests run"];
    if (const auto [it, added] = m_runningRequests.emplace(requestId, target); !added)
        fail("I2: request " + requestId + " runs at " + it->second.value + " and " + target.value);
    // An idempotent request with a key may run again under a new owner, which doesn't know the finished keys.
    if (++m_runs[payload] > 1 && !payload.starts_with("i:"))
        fail("I5: " + payload + " was run twice, the second time at " + target.value);
    if (m_notRun.contains(payload))
        fail("I4: " + payload + " is run at " + target.value + " after its caller was told not_run");
}

/** A target ends a request. @param requestId Id at the target. */
void Checks::requestEnded(const std::string& requestId) { m_runningRequests.erase(requestId); }

/** A worker starts a task. @param target Worker. @param task Task. @param payload Payload of its job.
 * @param isIdempotent Whether the job may run twice. */
void Checks::taskStarted(const TargetId& target, const TaskId& task, const std::string& payload, bool isIdempotent)
{
    ++m_counts["tasks run"];
    auto& places = m_runningTasks[task];
    places.insert(target);
    if (places.size() > 1)
        fail("I2: task " + task.value + " runs at " + places.begin()->value + " and " + places.rbegin()->value);
    if (++m_runs[task.value] > 1 && !isIdempotent)
        fail("I5: non-idempotent task " + task.value + " (" + payload + ") was run twice");
}

/** A worker ends a task. @param target Worker. @param task Task. */
void Checks::taskEnded(const TargetId& target, const TaskId& task)
{
    const auto it = m_runningTasks.find(task);
    if (it == m_runningTasks.end())
        return;
    it->second.erase(target);
    if (it->second.empty())
        m_runningTasks.erase(it);
}

/** The owner sent a target more than it holds. @param target Target. @param work Request or task. */
void Checks::overfilled(const TargetId& target, const std::string& work)
{
    fail("I1: " + target.value + " was sent " + work + " beyond its capacity");
}

/** A target accepted a start. @param target Target. @param shard Shard. @param term Term of the start. */
void Checks::termAccepted(const TargetId& target, const ShardId& shard, Term term)
{
    Term& highest = m_terms[{ target, shard }];
    if (term < highest)
        fail("I2: " + target.value + " accepted term " + std::to_string(term.value) + " of " + shard.value + " after "
            + std::to_string(highest.value));
    highest = std::max(highest, term);
}

/** Schedulers that hold a shard firmly at one moment. @param shard Shard. @param firm Their names and levels. */
void Checks::shardHolders(const ShardId& shard, const std::vector<std::string>& firm)
{
    if (firm.size() > 1)
        fail("I2: " + shard.value + " is held firmly by " + firm[0] + " and " + firm[1]);
}

/** A scheduler sends a start. @param target Target. @param sinceToldLeaving Time since that process was told that the
 * target leaves. */
void Checks::startSent(const TargetId& target, const std::optional<Duration>& sinceToldLeaving)
{
    if (sinceToldLeaving && *sinceToldLeaving > std::chrono::seconds(3))
        fail("I6: start sent to " + target.value + " " + std::to_string(toMs(*sinceToldLeaving))
            + " ms after its scheduler was told that it leaves");
}

/** A caller asks for a job after the faults. @param answer Status of the job. */
void Checks::jobStatus(const AnswerMessage& answer)
{
    const bool isOver = answer.status && answer.status->phase > JobPhase::Running;
    // A job that was accepted in memory only is forgotten when its owner dies before the store is back.
    const auto asked = m_askedJobs.find(answer.job);
    if (asked != m_askedJobs.end() && (isOver || (answer.error == ErrorKind::NotFound && !asked->second)))
        m_askedJobs.erase(asked);
    if (isOver)
        ++m_counts[std::string("jobs ended as ") + jobPhaseName(answer.status->phase)];
    else
        ++m_counts[std::string("last job queries: ") + std::string(errorInfo(answer.error).name)];
}

/** The run is over. @param liveProcesses Runs of schedulers that still live. */
void Checks::settled(const std::set<std::string>& liveProcesses)
{
    if (!m_askedJobs.empty())
        fail("liveness: " + std::to_string(m_askedJobs.size()) + " accepted jobs have no known end, the first is "
            + m_askedJobs.begin()->first.value);
    for (const auto& [label, submission] : m_submissions) {
        if (!submission.isDone && liveProcesses.contains(submission.process))
            fail("liveness: " + label + " (" + submission.payload + ") got no answer from " + submission.process);
    }
}

/** A process announces its bundle. @param process Host and incarnation. @param version Version. */
void Checks::bundleAnnounced(const std::string& process, BundleVersion version)
{
    BundleVersion& highest = m_bundles[process];
    if (version < highest)
        fail("I8: " + process + " went from bundle " + std::to_string(highest.value) + " to "
            + std::to_string(version.value));
    highest = std::max(highest, version);
}

/** A process says that its drain is complete. @param process Name. @param callsInFlight Its calls without an end. */
void Checks::drained(const std::string& process, std::size_t callsInFlight)
{
    ++m_counts["drains completed"];
    if (callsInFlight > 0)
        fail("I7: " + process + " ended its drain with " + std::to_string(callsInFlight) + " calls in flight");
}

} // namespace sp::soak
