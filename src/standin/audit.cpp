#include "standin/audit.h"

namespace sp::standin {

namespace {

    constexpr std::size_t violationsKept = 200;

} // namespace

Audit::Run* Audit::find(const std::string& id)
{
    if (m_runs.size() >= maxRuns && !m_runs.contains(id))
        return nullptr;
    return &m_runs[id];
}

void Audit::note(Run& run)
{
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now().time_since_epoch()).count();
    if (run.starts++ == 0)
        run.firstStartUs = now;
    run.lastStartUs = now;
}

void Audit::began(Run& run, const std::string& id, const std::string& target, bool isDouble)
{
    if (isDouble) {
        ++counters.doubleRuns;
        violation("double run of " + id + " on " + target + ", before on " + run.lastTarget);
    }
    note(run);
    ++run.running;
    run.lastTarget = target;
}

void Audit::ended(const std::string& id, RunEnd end)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    if (it->second.running > 0)
        --it->second.running;
    if (end == RunEnd::Succeeded)
        ++it->second.succeeded;
}

/** A prompt request started; a second start is a double run, since requests are never sent again. @param id Request
 * id. @param uid Id at the load generator, empty if unknown. @param target Target. */
void Audit::requestStarted(const std::string& id, const std::string& uid, const std::string& target)
{
    ++counters.requestsStarted;
    bool isDouble = false;
    if (Run* run = find(id)) {
        isDouble = run->starts > 0;
        began(*run, id, target, isDouble);
    }
    if (!uid.empty() && m_uids.size() < maxRuns) {
        Run& run = m_uids[uid];
        began(run, uid, target, run.starts > 0 && !isDouble);
    }
}

/** A prompt request ended. @param id Request id. @param uid Id at the load generator. @param end How it ended. */
void Audit::requestEnded(const std::string& id, const std::string& uid, RunEnd end)
{
    if (end == RunEnd::Succeeded)
        ++counters.requestsFinished;
    ended(id, end);
    if (const auto it = m_uids.find(uid); it != m_uids.end() && end == RunEnd::Succeeded)
        ++it->second.succeeded;
}

/** A task started; a second start is a double run while the first runs, after a success, and at all if it is not
 * idempotent. @param id Task id. @param uid Id at the load generator. @param once Whether it is not idempotent. @param
 * target Target. */
void Audit::taskStarted(const std::string& id, const std::string& uid, bool once, const std::string& target)
{
    ++counters.tasksStarted;
    if (Run* run = find(id))
        began(*run, id, target, run->running > 0 || run->succeeded > 0 || (once && run->starts > 0));
    if (!uid.empty() && m_uids.size() < maxRuns)
        note(m_uids[uid]);
}

/** A task ended. @param id Task id. @param uid Id at the load generator. @param end How it ended. */
void Audit::taskEnded(const std::string& id, const std::string& uid, RunEnd end)
{
    switch (end) {
    case RunEnd::Succeeded:
        ++counters.tasksSucceeded;
        break;
    case RunEnd::Failed:
        ++counters.tasksFailed;
        break;
    case RunEnd::Stopped:
        ++counters.tasksStopped;
        break;
    case RunEnd::TargetLost:
        break;
    }
    ended(id, end);
    if (const auto it = m_uids.find(uid); it != m_uids.end() && end == RunEnd::Succeeded)
        ++it->second.succeeded;
}

/** A target held more than its capacity. @param target Target. @param detail Amounts. */
void Audit::overcommitted(const std::string& target, const std::string& detail)
{
    ++counters.overcommits;
    violation("overcommit on " + target + ": " + detail);
}

/** Something started under a lower term. @param target Target. @param id Request or task id. */
void Audit::staleStart(const std::string& target, const std::string& id)
{
    ++counters.staleStarts;
    violation("start of " + id + " on " + target + " under a lower term");
}

void Audit::violation(std::string text)
{
    if (m_violations.size() < violationsKept)
        m_violations.push_back(std::move(text));
}

/** @return Counters and the first breaches. */
nlohmann::json Audit::statsJson() const
{
    return { { "requests_started", counters.requestsStarted }, { "requests_finished", counters.requestsFinished },
        { "tasks_started", counters.tasksStarted }, { "tasks_succeeded", counters.tasksSucceeded },
        { "tasks_failed", counters.tasksFailed }, { "tasks_stopped", counters.tasksStopped },
        { "task_leases_ended", counters.taskLeasesEnded }, { "tasks_repeated", counters.tasksRepeated },
        { "reports", counters.reports }, { "refused_full", counters.refusedFull },
        { "refused_term", counters.refusedTerm }, { "refused_leaving", counters.refusedLeaving },
        { "bad_requests", counters.badRequests }, { "overcommits", counters.overcommits },
        { "double_runs", counters.doubleRuns }, { "stale_starts", counters.staleStarts },
        { "violations", m_violations } };
}

/** Runs of each uid. @param prefix Only uids that begin with it. @return Object by uid: starts, successes, first and
 * last start in microseconds of CLOCK_BOOTTIME. */
nlohmann::json Audit::runsJson(const std::string& prefix) const
{
    nlohmann::json runs = nlohmann::json::object();
    for (const auto& [uid, run] : m_uids) {
        if (uid.starts_with(prefix))
            runs[uid] = { run.starts, run.succeeded, run.firstStartUs, run.lastStartUs };
    }
    return runs;
}

} // namespace sp::standin
