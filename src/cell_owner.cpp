#include "cell_owner.h"

#include "fnv_hash_func.h"
#include "log_line.h"
#include "occurrence_pacing.h"
#include "task_budget.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace sp {

namespace {

    /** The job record, and the specification that is written or deleted with it. */
    constexpr std::size_t maxWritesPerJob = 2;
    /** Deletions of expired records that one transaction carries besides its job records. */
    constexpr std::size_t maxRemovalsPerBatch = 8;
    /** Store outages last seconds, so an earlier retry would usually fail again. */
    constexpr std::chrono::milliseconds stalledStoreRetry { 1000 };
    /** Returns a text as a JSON string; control characters, which no name needs, are left out. */
    std::string quoted(const std::string& text)
    {
        std::string result = "\"";
        for (const char character : text) {
            if (static_cast<unsigned char>(character) < ' ')
                continue;
            if (character == '"' || character == '\\')
                result += '\\';
            result += character;
        }
        return result + '"';
    }

    constexpr std::chrono::seconds unplaceableJobRetry { 30 }; ///< Larger targets are added within minutes, if at all.

} // namespace

/** Returns the keys that hold the sequence numbers of the record log, one for each lane. */
std::vector<std::string> CellKeys::sequenceKeys()
{
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < RecordLog::lanes; ++i)
        keys.push_back(sequences + std::to_string(i));
    return keys;
}

/** Creates an inactive owner; begin() activates it. @param metrics Registry; outlives the owner. */
CellOwner::CellOwner(CellBounds bounds, Metrics& metrics, CellOwnerHooks hooks)
    : m_bounds(bounds)
    , m_hooks(std::move(hooks))
    , m_jobsAccepted(metrics.counter("sp_cell_jobs_accepted_total", "Jobs accepted and stored."))
    , m_jobsRefused(metrics.counter("sp_cell_jobs_refused_total", "Jobs refused by the owner."))
    , m_jobsShed(metrics.counter("sp_cell_jobs_shed_total", "Jobs refused because the owner lags behind its load."))
    , m_jobsBeyondRate(metrics.counter(
          "sp_cell_jobs_beyond_rate_total", "Jobs accepted beyond the usual rate of their client account."))
    , m_restarts(metrics.counter(
          "sp_cell_lasting_restarts_total", "Lasting tasks that were placed again after the end of a run."))
    , m_jobsRefusedFull(metrics.counter("sp_cell_jobs_refused_full_total",
          "Jobs refused since they would find room in a full service too late to be of value."))
    , m_accountsAboveShare(metrics.gauge(
          "sp_cell_accounts_above_share", "Client accounts that run more than their share of a full service."))
    , m_startOrders(metrics.counter("sp_cell_starts_total", "Start orders sent."))
    , m_startsUnanswered(metrics.counter("sp_cell_starts_unanswered_total", "Start orders without an answer."))
    , m_runEnds(metrics.counter("sp_cell_ends_total", "Ends of runs taken in."))
    , m_runStops(metrics.counter("sp_cell_stops_total", "Runs that were ordered to stop."))
    , m_reportRequests(metrics.counter("sp_cell_looks_total", "Reports asked of targets."))
    , m_adviceQuestions(metrics.counter("sp_cell_advice_questions_total", "Questions to the advisor."))
    , m_displacedRuns(
          metrics.counter("sp_cell_displaced_runs_total", "Runs stopped to make room for more urgent work."))
    , m_displacedCoreMs(metrics.counter(
          "sp_cell_displaced_core_ms_total", "Core time lost in runs that were stopped for more urgent work, in ms."))
    , m_crashesCounted(metrics.counter(
          "sp_cell_task_crashes_total", "Crashes of targets, counted for each task that they had started."))
    , m_tasksGivenUp(metrics.counter("sp_cell_tasks_given_up_total", "Tasks given up because they crash targets."))
    , m_slowPlacements(metrics.counter("sp_cell_slow_placements_total",
          "Tasks placed on targets that are too slow for their queue, as no other allowed one had room."))
    , m_quotaDenials(metrics.counter(
          "sp_cell_quota_denials_total", "Times that work began to wait since its account was at its maximum."))
    , m_accountsAtMaximum(metrics.gauge(
          "sp_cell_accounts_at_maximum", "Accounts with work that waits since they are at their maximum."))
    , m_openJobs(metrics.gauge("sp_cell_open_jobs", "Jobs that have not ended."))
    , m_interferingPairs(metrics.gauge("sp_cell_interfering_pairs", "Pairs of images that placement keeps apart."))
    , m_unattendedTasks(
          metrics.gauge("sp_cell_unattended_tasks", "Open tasks that no run, queue or question moves on."))
    , m_taskWaitSeconds(metrics.histogram("sp_cell_task_wait_seconds", "Time from readiness of a task to its order."))
    , m_adviceWaitSeconds(
          metrics.histogram("sp_cell_advice_wait_seconds", "Time that a question to the advisor waits to be sent."))
    , m_acceptSeconds(metrics.histogram("sp_cell_accept_seconds", "Time from submission to the stored record."))
{
}

/**
 * Ends the ownership and clears all state; the next owner restores it from the store and the targets.
 * Submitters still waiting for the store get the answer Unknown.
 */
void CellOwner::end(const std::string& reason)
{
    if (!m_active)
        return;
    m_active = false;
    m_mayOrder = false;
    LogLine(LogLevel::Warning, "owner_ended").with("token", m_token).with("reason", reason);
    for (auto& [id, job] : m_jobs) {
        for (const auto& effect : std::exchange(job->onSaved, {}))
            effect(false);
    }
    for (auto& [id, replies] : std::exchange(m_pendingReplies, {})) {
        for (const JobReply& reply : replies)
            reply({ JobAnswer::Kind::Unknown, {}, "the owner changed before the job was stored" });
    }
    m_jobs.clear();
    m_open.clear();
    m_dirtyJobs.clear();
    m_batches = {};
    m_recordRemovals.clear();
    m_heldTasks = 0;
    m_targets.clear();
    m_accountUsage.clearRuns();
    m_targetList.reset();
    m_targetGroups.clear();
    m_incarnationsChanged = false;
    m_reservations.clear();
    m_usableTargets.clear();
    m_runTimes = {};
    m_runTimeEstimates = {};
    m_interference = {};
    m_failures = {};
    m_reachability.clear();
    m_adviceClaims.clear();
    m_restartClaims.clear();
    m_admission = {};
    m_accountRates = {};
    m_accountRates.setAccounts(m_config.accounts, m_bounds.rateTolerance);
    m_load = {};
    m_accountsAboveShare.set(0);
    m_lossRate = 0;
    m_wakeAt.reset();
    m_openJobs.set(0);
    m_accountsAtMaximum.set(0);
}

CellJob* CellOwner::findJob(const JobId& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

/** Returns an unfinished job, null if it is unknown or finished. */
CellJob* CellOwner::findOpenJob(const JobId& id) const
{
    CellJob* job = findJob(id);
    return job && !isFinal(job->state) ? job : nullptr;
}

/** Returns a task of an unfinished job, null if there is none. */
TaskState* CellOwner::findOpenTask(const CellTaskKey& key) const
{
    CellJob* job = findOpenJob(key.job);
    return job ? job->task(key) : nullptr;
}

/** Returns the specification of a task's step, also for a finished job; null if it is unknown. */
const StepSpec* CellOwner::findStepSpec(const CellTaskKey& key) const
{
    const CellJob* job = findJob(key.job);
    return job && key.step < job->spec.steps.size() ? &job->spec.steps[key.step] : nullptr;
}

/** Changes the state of a job to Running when its first task starts. */
void CellOwner::markRunning(const JobId& id)
{
    if (CellJob* job = findJob(id); job && !job->begun) {
        job->begun = true;
        job->state = JobState::Running;
    }
}

/** Pauses or resumes orders to targets. @param mayOrder True while the ownership lease is fresh. */
void CellOwner::setMayOrder(bool mayOrder)
{
    if (std::exchange(m_mayOrder, mayOrder) == mayOrder || !m_active)
        return;
    LogLine(LogLevel::Warning, mayOrder ? "orders_resumed" : "orders_paused")
        .with("token", m_token)
        .with("reason", mayOrder ? "the lease is fresh" : "the lease is not fresh")
        .with("open_jobs", m_open.size());
}

/** Replaces the configuration. Queues missing from it keep their last settings, as jobs may still use them. */
void CellOwner::setConfig(const CellConfig& config)
{
    m_config = config;
    if (config.accounts.empty()) {
        m_accountRates = {};
        m_load = {};
        m_accountsAboveShare.set(0);
    }
    m_accountRates.setAccounts(config.accounts, m_bounds.rateTolerance);
    for (const QueueConfig& queue : config.queues)
        m_queues[queue.id] = queue;
    setAccounts(config.accounts);
}

const QueueConfig* CellOwner::queueOf(const CellJob& job) const
{
    const auto it = m_queues.find(job.spec.queue);
    return it == m_queues.end() ? nullptr : &it->second;
}

ServiceId CellOwner::serviceOf(const CellJob& job) const
{
    const QueueConfig* queue = queueOf(job);
    return queue ? queue->service : job.spec.service;
}

int CellOwner::priorityOf(const CellJob& job) const
{
    const QueueConfig* queue = queueOf(job);
    return queue ? queue->priority : 0;
}

/** Records how long events wait for the event loop of this host. While they wait too long, submissions are refused. */
void CellOwner::setLag(Duration lag, Time now)
{
    m_lag = lag;
    m_admission.update(lag, now);
}

/** Returns when to repeat a submission that was refused for overload; it differs by job, so that not all return at
 * once. */
std::chrono::milliseconds CellOwner::overloadRetryAfter(const JobId& id)
{
    constexpr std::uint64_t maxSeconds = 3;
    return std::chrono::seconds(1 + fnvHash(id.value) % maxSeconds);
}

/**
 * Checks whether a job is valid and fits the capacity of the listed targets of its service. What an entry claims counts
 * only if its target has answered.
 * @return Reason for a refusal, nothing if the job may run or no target of the service is listed.
 */
std::optional<std::string> CellOwner::refusalReason(const CellJobSpec& spec, Time now) const
{
    /** A target that exists has answered a new owner within this time, unless it is down. */
    constexpr std::chrono::seconds maxFirstAnswerTime { 2 };
    const bool allAnswered = now - m_ownedSince > maxFirstAnswerTime;
    if (auto problem = jobSpecProblem(spec))
        return problem;
    if (auto problem = quotaProblem(spec))
        return problem;
    bool known = false;
    for (const StepSpec& step : spec.steps) {
        std::uint64_t places = 0;
        for (const auto& [id, target] : m_targets) {
            if (!target->listed || target->entry.service != spec.service || (allAnswered && target->heardAt == Time {}))
                continue;
            known = true;
            if (mayEverRun(*target, step))
                places += step.gang ? tasksThatFit({ target.get(), target->entry.capacity, 0 }, step) : step.tasks;
        }
        if (known && places < (step.gang ? step.tasks : 1U))
            return "no target of the service could hold the tasks";
    }
    return std::nullopt;
}

/**
 * Admits or refuses a job. An admitted job is acknowledged once its record is in the store.
 * A repeated submission has no further effect and gets the same answer as the first.
 * @param reply Called once, possibly before this function returns.
 */
void CellOwner::submit(CellJobSpec&& spec, Time now, JobReply reply)
{
    m_eventTime = now;
    if (CellJob* known = findJob(spec.id)) {
        if (known->stored) {
            reply({ JobAnswer::Kind::Ok, {}, "already accepted" });
            return;
        }
        m_pendingReplies[spec.id].push_back(std::move(reply));
        return;
    }
    if (m_storeStalled) {
        m_jobsRefused.add();
        LogLine(LogLevel::Info, "job_refused").with("job", spec.id).with("reason", "the store does not answer");
        reply({ JobAnswer::Kind::Refused, stalledStoreRetry, "the store does not answer" });
        return;
    }
    if (!m_admission.admit()) {
        m_jobsRefused.add();
        m_jobsShed.add();
        LogLine(LogLevel::Info, "job_refused")
            .with("job", spec.id)
            .with("reason", "the owner is overloaded")
            .with("lag_ms", toMs(m_lag))
            .with("admitted_percent", static_cast<int>(100 * m_admission.share()));
        reply({ JobAnswer::Kind::Refused, overloadRetryAfter(spec.id), "the owner is overloaded" });
        return;
    }
    const std::size_t tasks = std::accumulate(spec.steps.begin(), spec.steps.end(), std::size_t { 0 },
        [](std::size_t sum, const StepSpec& step) { return sum + step.tasks; });
    if (!mayHoldTasks(tasks, m_heldTasks, m_bounds.taskBudget)) {
        m_jobsRefused.add();
        LogLine(LogLevel::Info, "job_refused")
            .with("job", spec.id)
            .with("queue", spec.queue)
            .with("reason", "no memory for its tasks")
            .with("tasks", tasks)
            .with("held", m_heldTasks)
            .with("budget", m_bounds.taskBudget);
        reply({ JobAnswer::Kind::Refused, overloadRetryAfter(spec.id), "no memory for its tasks" });
        return;
    }
    if (const auto reason = refusalReason(spec, now)) {
        m_jobsRefused.add();
        LogLine(LogLevel::Info, "job_refused").with("job", spec.id).with("queue", spec.queue).with("reason", *reason);
        reply({ JobAnswer::Kind::Refused, unplaceableJobRetry, *reason });
        return;
    }
    auto owned = std::make_unique<CellJob>();
    CellJob& job = *owned;
    job.spec = std::move(spec);
    job.submittedAt = now;
    job.acceptedAt = m_hooks.calendar();
    job.beyondRate = !m_accountRates.takeToken(job.spec.account, now);
    if (const BacklogVerdict verdict = checkBacklogFor(job, now); !verdict.accepted) {
        m_jobsRefused.add();
        m_jobsRefusedFull.add();
        if (!job.beyondRate)
            m_accountRates.returnToken(job.spec.account);
        LogLine(LogLevel::Info, "job_refused")
            .with("job", job.spec.id)
            .with("reason", "the service is full")
            .with("queue", job.spec.queue)
            .with("account", job.spec.account)
            .with("beyond_rate", job.beyondRate)
            .with("expected_wait_ms", verdict.wait.count())
            .with("retry_after_ms", verdict.retryAfter.count());
        reply({ JobAnswer::Kind::Refused, verdict.retryAfter, "the service is full" });
        return;
    }
    m_jobsBeyondRate.add(job.beyondRate ? 1 : 0);
    m_heldTasks += tasks;
    m_jobs.emplace(job.spec.id, std::move(owned));
    LogLine(LogLevel::Info, "job_taken")
        .with("job", job.spec.id)
        .with("queue", job.spec.queue)
        .with("account", job.spec.account)
        .with("steps", job.spec.steps.size())
        .with("account", job.spec.account)
        .with("beyond_rate", job.beyondRate)
        .with("config", m_config.version);
    activateJob(job, now);
    countAccepted(job, now);
    m_pendingReplies[job.spec.id].push_back(std::move(reply));
    if (m_storeDelay >= slowStoreDelay) // Saves acceptance and first placement in one transaction.
        job.saveNotBefore = now + firstPlacementDelay;
    markDirty(job, now, job.saveNotBefore == Time {} ? saveBatchDelay : firstPlacementDelay);
    m_dispatchDue = true;
    wakeBy(now);
}

/** Returns the time objective of a job, from its submission. @param path Length of its critical path. */
std::chrono::milliseconds CellOwner::objectiveOf(const CellJob& job, std::chrono::milliseconds path) const
{
    const QueueConfig* queue = queueOf(job);
    return std::chrono::milliseconds(
               static_cast<std::int64_t>((queue ? queue->slackFactor : 1.0) * static_cast<double>(path.count())))
        + (queue ? queue->targetLatency : std::chrono::milliseconds(0));
}

/** Adds a job to the open jobs, computes its time objective and begins its occurrences. */
void CellOwner::activateJob(CellJob& job, Time now)
{
    updateRunTimes(job);
    m_open.push_back(&job);
    m_openJobs.set(static_cast<std::int64_t>(m_open.size()));
    if (!job.timed())
        job.beginOccurrence(0);
    else
        beginDueOccurrences(job, now);
    for (auto& [number, occurrence] : job.occurrences)
        markReadySteps(job, occurrence, now);
}

/** Begins the occurrences of a scheduled job that are due. */
void CellOwner::beginDueOccurrences(CellJob& job, Time now)
{
    const CalendarTime calendar = m_hooks.calendar();
    const OccurrenceLimits limits = occurrenceLimits(m_bounds.valueBytes);
    while (job.occurrencesBegun < job.occurrenceCount() && job.dueAt(job.occurrencesBegun) <= calendar) {
        const std::uint32_t number = job.occurrencesBegun;
        const std::size_t tasksEach = job.tasksPerOccurrence();
        const auto path = longestChain(job.spec.steps, job.runTimes, std::chrono::milliseconds(0));
        if (!mayBeginOccurrence({ job.occurrences.size() * tasksEach, tasksEach, path, job.spec.schedule.interval,
                                    calendar - job.dueAt(number), job.objective * lateObjectiveFactor },
                limits))
            return;
        LogLine(LogLevel::Info, "occurrence_due").with("job", job.spec.id).with("occurrence", number);
        markReadySteps(job, job.beginOccurrence(number), now);
        m_dispatchDue = true;
    }
}

/** Marks steps as ready whose predecessors are complete. */
void CellOwner::markReadySteps(CellJob& job, OccurrenceState& occurrence, Time now)
{
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        StepState& step = occurrence.steps[i];
        if (step.readyAt == Time {} && job.stepReady(occurrence, i)) {
            step.readyAt = now;
            for (TaskState& task : step.tasks)
                task.waitingSince = now;
        }
    }
}

/** Releases all tasks of a job from their targets and stops those that may be running. */
void CellOwner::releaseTasks(CellJob& job, const char* reason, Time now)
{
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            auto& tasks = occurrence.steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                CellTarget* target = tasks[i].target;
                if (!target)
                    continue;
                const CellTaskKey key { job.spec.id, number, s, i };
                const auto it = target->occupants.find(key);
                if (it == target->occupants.end())
                    continue;
                if (it->second.phase == RunPhase::Recording)
                    target->release(key); // No start order was sent yet.
                else
                    beginStop(*target, key, it->second, reason, now);
                tasks[i].target = nullptr;
            }
        }
    }
}

/** Puts a job into a final state and stops its runs. Callers see the state once it is stored. */
void CellOwner::finishJob(CellJob& job, JobState state, Time now)
{
    job.state = state;
    job.finishedAt = now;
    std::erase(m_open, &job);
    m_openJobs.set(static_cast<std::int64_t>(m_open.size()));
    LogLine(LogLevel::Info, "job_ended")
        .with("job", job.spec.id)
        .with("queue", job.spec.queue)
        .with("state", jobStateName(state))
        .with("age_ms", toMs(now - job.submittedAt))
        .with("objective_ms", job.objective.count());
    releaseTasks(job, jobStateName(state), now);
    runWhenSaved(job, [&job](bool saved) {
        if (saved)
            job.shownState = job.state;
    });
    job.occurrences.clear();
}

/**
 * Cancels a job. The reply is sent once the cancellation is in the store.
 * A job that has already finished keeps its state and is answered with Ok.
 * @param reply Called once, possibly before this function returns.
 */
void CellOwner::cancel(const JobId& id, Time now, JobReply reply)
{
    m_eventTime = now;
    CellJob* job = findJob(id);
    if (!job) {
        reply({ JobAnswer::Kind::Gone, {}, "no such job" });
        return;
    }
    if (isFinal(job->state) && !job->dirty && !job->writing) {
        reply({ JobAnswer::Kind::Ok, {}, "already ended" });
        return;
    }
    if (!isFinal(job->state))
        finishJob(*job, JobState::Cancelled, now);
    runWhenSaved(*job, [reply = std::move(reply)](bool saved) {
        reply({ saved ? JobAnswer::Kind::Ok : JobAnswer::Kind::Unknown, {},
            saved ? "stored" : "the owner changed before it was stored" });
    });
    m_dispatchDue = true;
    wakeBy(now);
}

/** Returns the state of a job for its caller: only stored jobs and stored final states; nothing for an unknown job. */
std::optional<JobState> CellOwner::state(const JobId& id) const
{
    const CellJob* job = findJob(id);
    if (!job || !job->stored)
        return std::nullopt;
    if (isFinal(job->shownState))
        return job->shownState;
    return job->begun ? JobState::Running : JobState::Queued;
}

/**
 * Returns whether a request may read, cancel or repeat a job. A job of another account is open to it only if neither
 * the queue of the request nor that of the job requires a key.
 * @param route Queue that the request has selected.
 * @param holder Account of the job; empty if it belongs to none.
 */
bool CellOwner::mayAccess(
    const AccountId& asking, const QueueId& route, const AccountId& holder, const QueueId& jobQueue) const
{
    const auto requiresKey = [this](const QueueId& id) {
        const auto it = m_queues.find(id);
        return it != m_queues.end() && it->second.requiresKey;
    };
    return holder.empty() || holder == asking || (!requiresKey(route) && !requiresKey(jobQueue));
}

/** Returns whether a request may read, cancel or repeat a job, as mayAccess(); true for a job that is not known. */
bool CellOwner::mayAccessJob(const AccountId& asking, const QueueId& route, const JobId& id) const
{
    const CellJob* job = findJob(id);
    if (!job || mayAccess(asking, route, job->spec.account, job->spec.queue))
        return true;
    LogLine(LogLevel::Info, "job_access_refused")
        .with("job", id)
        .with("account", asking)
        .with("holder", job->spec.account)
        .with("queue", route);
    return false;
}

/** Counts the stored, unfinished jobs of a queue of which no task has started. */
std::uint64_t CellOwner::pending(const QueueId& queue) const
{
    return static_cast<std::uint64_t>(std::count_if(m_open.begin(), m_open.end(),
        [&](const CellJob* job) { return job->stored && !job->begun && job->spec.queue == queue; }));
}

void CellOwner::markDirty(CellJob& job, Time now, std::chrono::milliseconds within)
{
    if (!job.dirty) {
        job.dirty = true;
        m_dirtyJobs.push_back(&job);
    }
    m_hooks.flush(now + within);
}

void CellOwner::runWhenSaved(CellJob& job, std::function<void(bool)>&& effect)
{
    job.onSaved.push_back(std::move(effect));
    markDirty(job, m_eventTime, saveBatchDelay);
}

/**
 * Moves unsaved records into the batch of a lane. Records of jobs that another lane is writing are left for later.
 * @param lane Lane that writes the batch; it must have no other batch in progress.
 * @param limit Maximum number of writes.
 * @return Writes of the batch; empty if nothing is ready.
 */
std::vector<StoreWrite> CellOwner::collect(std::size_t lane, std::size_t limit)
{
    std::vector<StoreWrite> writes;
    RecordBatch& batch = m_batches.at(lane);
    std::size_t bytes = 0;
    bool alone = false;
    const auto ready = [&](const CellJob* job) {
        return !job->writing && job->saveNotBefore <= m_eventTime && writes.size() + maxWritesPerJob <= limit && !alone
            && bytes <= m_bounds.valueBytes && (!job->saveAlone || writes.empty());
    };
    std::vector<CellJob*> waiting;
    bool more = false;
    for (CellJob* job : std::exchange(m_dirtyJobs, {})) {
        if (!ready(job)) {
            if (job->saveNotBefore > m_eventTime)
                m_hooks.flush(job->saveNotBefore);
            else
                more |= !job->writing;
            waiting.push_back(job);
            continue;
        }
        job->dirty = false;
        job->writing = true;
        job->onWritten = std::exchange(job->onSaved, {});
        batch.jobs.push_back(job);
        noteAccountState(*job);
        const std::string& id = job->spec.id.value;
        writes.push_back({ StoreWrite::Kind::Put, CellKeys::jobs + id, encodeJobRecord(*job), {} });
        alone = job->saveAlone;
        bytes += writes.back().value.size();
        if (!job->specStored)
            writes.push_back({ StoreWrite::Kind::Put, CellKeys::specs + id, encodeJobSpec(job->spec), {} });
        else if (isFinal(job->state) && !job->specRemoved)
            writes.push_back({ StoreWrite::Kind::Delete, CellKeys::specs + id, {}, {} });
    }
    m_dirtyJobs = std::move(waiting);
    for (std::size_t i = 0; i < maxRemovalsPerBatch && !alone && !m_recordRemovals.empty() && writes.size() < limit;
         ++i) {
        writes.push_back({ StoreWrite::Kind::Delete, m_recordRemovals.back(), {}, {} });
        batch.removals.push_back(std::move(m_recordRemovals.back()));
        m_recordRemovals.pop_back();
    }
    if (more)
        m_hooks.flush(m_eventTime);
    return writes;
}

/**
 * Handles the outcome of the batch that a lane was writing. Runs the callbacks of its records and answers submitters;
 * records that were not saved are queued again.
 */
void CellOwner::batchDecided(std::size_t lane, BatchOutcome outcome, Time now)
{
    m_eventTime = now;
    RecordBatch batch = std::exchange(m_batches.at(lane), {});
    const bool notSaved = outcome == BatchOutcome::NotSaved || outcome == BatchOutcome::Rejected;
    if (notSaved)
        m_recordRemovals.insert(m_recordRemovals.end(), batch.removals.begin(), batch.removals.end());
    for (CellJob* job : batch.jobs) {
        job->writing = false;
        if (job->dirty) // The job changed during the write; its next record had to wait.
            m_hooks.flush(now);
        if (notSaved) {
            job->onSaved.insert(job->onSaved.begin(), std::make_move_iterator(job->onWritten.begin()),
                std::make_move_iterator(job->onWritten.end()));
            job->onWritten.clear();
            if (!std::exchange(job->dirty, true))
                m_dirtyJobs.push_back(job);
            if (outcome == BatchOutcome::Rejected && !std::exchange(job->saveAlone, true))
                m_hooks.flush(now);
            else if (outcome == BatchOutcome::Rejected)
                recordRejected(*job, now);
            continue;
        }
        const bool saved = outcome == BatchOutcome::Saved;
        if (saved) {
            job->saveAlone = false;
            if (std::exchange(job->recordRejected, false))
                LogLine(LogLevel::Info, "record_accepted").with("job", job->spec.id);
            if (!std::exchange(job->specStored, true)) {
                m_jobsAccepted.add();
                m_acceptSeconds.record(now - job->submittedAt);
            } else if (isFinal(job->state) && !job->dirty) {
                job->specRemoved = true;
                job->spec.payload = {};
            }
            job->stored = true;
        }
        for (const auto& effect : std::exchange(job->onWritten, {}))
            effect(saved);
        if (auto submitters = m_pendingReplies.extract(job->spec.id); saved && !submitters.empty()) {
            LogLine(LogLevel::Info, "job_stored").with("job", job->spec.id);
            for (const JobReply& reply : submitters.mapped())
                reply({ JobAnswer::Kind::Ok, {}, "stored" });
        } else if (!submitters.empty()) {
            m_pendingReplies.insert(std::move(submitters));
        }
    }
}

/** Refuses submissions never sent to the store. Their jobs cannot have run, so callers may safely submit again. */
void CellOwner::withdrawUnsavedJobs(Time now)
{
    std::vector<CellJob*> unsaved;
    std::copy_if(m_dirtyJobs.begin(), m_dirtyJobs.end(), std::back_inserter(unsaved),
        [](const CellJob* job) { return !job->stored && !job->writing; });
    for (CellJob* job : unsaved)
        withdrawJob(*job, { JobAnswer::Kind::Refused, stalledStoreRetry, "the store does not answer" }, now);
}

/** Refuses a submission whose record was never written, and forgets its job. */
void CellOwner::withdrawJob(CellJob& job, const JobAnswer& answer, Time now)
{
    const JobId id = job.spec.id;
    LogLine(LogLevel::Info, "job_withdrawn")
        .with("job", id)
        .with("age_ms", toMs(now - job.submittedAt))
        .with("reason", answer.reason);
    m_jobsRefused.add();
    releaseTasks(job, "withdrawn", now);
    for (const auto& effect : std::exchange(job.onSaved, {}))
        effect(false);
    std::erase(m_dirtyJobs, &job);
    std::erase(m_open, &job);
    m_openJobs.set(static_cast<std::int64_t>(m_open.size()));
    const auto submitters = m_pendingReplies.extract(id);
    m_jobs.erase(id);
    if (submitters.empty())
        return;
    for (const JobReply& reply : submitters.mapped())
        reply(JobAnswer(answer));
}

/**
 * Handles a record that the store refuses for its contents, by itself as well. A submission is refused. A job that was
 * accepted keeps its former record and its runs, and its record is tried again as they end; tasks that wait for it give
 * the room on their targets back.
 */
void CellOwner::recordRejected(CellJob& job, Time now)
{
    constexpr std::chrono::milliseconds retryDelay { 1000 }; ///< Runs end within seconds, and the record shrinks.
    if (!job.stored) {
        withdrawJob(job, { JobAnswer::Kind::Refused, unplaceableJobRetry, "the store can't hold the job" }, now);
        return;
    }
    if (!std::exchange(job.recordRejected, true))
        LogLine(LogLevel::Error, "record_rejected")
            .with("job", job.spec.id)
            .with("occurrences", job.occurrences.size());
    job.saveNotBefore = now + retryDelay;
    m_hooks.flush(job.saveNotBefore);
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            for (std::uint32_t i = 0; i < occurrence.steps[s].tasks.size(); ++i) {
                const CellTaskKey key { job.spec.id, number, s, i };
                CellTarget* target = occurrence.steps[s].tasks[i].target;
                const auto run = target ? target->occupants.find(key) : decltype(target->occupants.end()) {};
                if (target && run != target->occupants.end() && run->second.phase == RunPhase::Recording)
                    releaseRun(*target, key, "the store refuses the job's record", now);
            }
        }
    }
}

/** Deletes finished jobs from memory and the store once their retention time, statusKept plus a quarter, is over. */
void CellOwner::removeExpiredJobs(Time now)
{
    constexpr std::chrono::seconds interval { 5 }; ///< Few jobs are retained; scanning all of them this often is cheap.
    if (now - m_lastExpiryAt < interval)
        return;
    m_lastExpiryAt = now;
    m_unattendedTasks.set(static_cast<std::int64_t>(unattendedTasks(now)));
    m_interference.forgetUnseen(now);
    m_failures.forgetExpired(now);
    m_interferingPairs.set(static_cast<std::int64_t>(m_interference.pairCount()));
    const auto kept = m_bounds.statusKept + m_bounds.statusKept / 4;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        const CellJob& job = *it->second;
        if (!isFinal(job.state) || job.dirty || job.writing || !job.onSaved.empty() || now - job.finishedAt < kept) {
            ++it;
            continue;
        }
        m_recordRemovals.push_back(CellKeys::jobs + job.spec.id.value);
        if (!job.specRemoved)
            m_recordRemovals.push_back(CellKeys::specs + job.spec.id.value);
        it = m_jobs.erase(it);
    }
}

bool CellOwner::isUnattended(const CellTaskKey& key, const TaskState& task, const StepState& step, Time now) const
{
    /** A question to the advisor waits for its turn and is answered within this time. */
    constexpr std::chrono::seconds maxAdviceTime { 10 };
    if (task.done)
        return false;
    if (task.waiting()) {
        if (step.advice.inFlight == 0 || now - step.advice.askedAt <= maxAdviceTime)
            return false;
        // Questions about late work wait as long as others need the advisor.
        const CellJob* job = findOpenJob(key.job);
        const auto rank = job ? rankOf(*job, key.occurrence, key.step, now) : std::nullopt;
        return !rank || rank->band <= WorkBand::InTimeAboveShare;
    }
    if (!task.target)
        return true;
    const auto run = task.target->occupants.find(key);
    return run == task.target->occupants.end() || run->second.run != task.run;
}

/**
 * Counts the tasks of ready steps that nothing would ever move on: those that are assigned to a target but have no run
 * there, and those whose question to the advisor got no answer for long. It is 0 unless the owner has a fault.
 */
std::size_t CellOwner::unattendedTasks(Time now) const
{
    std::size_t count = 0;
    for (const CellJob* job : m_open) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                const StepState& step = occurrence.steps[s];
                for (std::uint32_t i = 0; step.readyAt != Time {} && i < step.tasks.size(); ++i)
                    count += isUnattended({ job->spec.id, number, s, i }, step.tasks[i], step, now) ? 1 : 0;
            }
        }
    }
    return count;
}

/** Runs periodic work: order retries, report requests, due occurrences, placement. Call it at wakeAt() or earlier. */
void CellOwner::tick(Time now)
{
    constexpr std::chrono::milliseconds sweepInterval { 20 }; ///< Resolution of order retries.
    /** Combines runs that end close together into one placement pass. */
    constexpr std::chrono::milliseconds dispatchInterval { 8 };
    /** Repeats placement without an event, as tickets and quarantines expire. */
    constexpr std::chrono::milliseconds idleInterval { 100 };
    if (!m_active)
        return;
    m_eventTime = now;
    m_wakeAt.reset();
    if (m_storeStalled)
        withdrawUnsavedJobs(now);
    if (now - m_lastSweepAt >= sweepInterval) {
        m_lastSweepAt = now;
        releaseFormerIncarnations(now);
        m_dataCentreSuspect = std::any_of(
            m_reachability.begin(), m_reachability.end(), [](const auto& entry) { return entry.second.suspect(); });
        for (auto it = m_targets.begin(); it != m_targets.end();) {
            maintainTarget(*it->second, now);
            const CellTarget& target = *it->second;
            const bool gone = !target.listed && target.occupants.empty() && target.lostRuns.empty() && target.silent()
                && target.lapsed(now);
            if (gone)
                m_failures.forgetTarget(target.id());
            it = gone ? m_targets.erase(it) : std::next(it);
        }
        releaseStaleReservations(now);
        noteEndedDenials(now);
        releaseStaleDisplacementClaims(now);
        m_usableTargets.clear();
        m_heldTasks = 0;
        for (CellJob* job : m_open) {
            if (job->timed())
                beginDueOccurrences(*job, now);
            m_heldTasks += std::max<std::size_t>(1, job->occurrences.size()) * job->tasksPerOccurrence();
        }
        removeExpiredJobs(now);
    }
    if (m_dispatchDue && now - m_lastDispatchAt < dispatchInterval) {
        wakeBy(m_lastDispatchAt + dispatchInterval);
    } else if (m_dispatchDue || now - m_lastDispatchAt >= idleInterval) {
        m_dispatchDue = false;
        m_lastDispatchAt = now;
        dispatch(now);
    }
    wakeBy(m_open.empty() ? now + idleInterval : now + sweepInterval);
}

/** Returns a JSON summary of the owner and its targets for operators. */
std::string CellOwner::statusText(Time now) const
{
    std::ostringstream out;
    out << "{\"active\":" << (m_active ? "true" : "false") << ",\"token\":" << m_token << ",\"jobs\":" << m_jobs.size()
        << ",\"open_jobs\":" << m_open.size() << ",\"loss_rate\":" << m_lossRate << ",\"silent_data_centres\":[";
    const char* separator = "";
    for (const auto& [dataCentre, reachability] : m_reachability) {
        if (reachability.suspect())
            out << std::exchange(separator, ",") << '"' << dataCentre << '"';
    }
    out << "],\"accounts\":[";
    separator = "";
    for (const AccountId& account : m_accountUsage.accounts()) {
        const Resources used = m_accountUsage.used(account);
        const Resources maximum = m_accountUsage.maximum(account);
        out << std::exchange(separator, ",") << "{\"id\":" << quoted(account.value)
            << ",\"used_cores_milli\":" << used.coresMilli << ",\"maximum_cores_milli\":" << maximum.coresMilli
            << ",\"used_memory_mb\":" << used.memoryMb << ",\"maximum_memory_mb\":" << maximum.memoryMb
            << ",\"used_accelerators\":" << used.accelerators << ",\"maximum_accelerators\":" << maximum.accelerators
            << '}';
    }
    out << "],\"targets\":[";
    separator = "";
    for (const auto& [id, target] : m_targets) {
        out << separator << "{\"id\":\"" << id << "\",\"usable\":" << (target->usable(now) ? "true" : "false")
            << ",\"runs\":" << target->occupants.size() << ",\"used_cores_milli\":" << target->used.coresMilli << "}";
        separator = ",";
    }
    out << "]}";
    return out.str();
}

} // namespace sp
