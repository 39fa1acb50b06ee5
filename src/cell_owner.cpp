#include "cell_owner.h"

#include "log_line.h"

#include <algorithm>
#include <sstream>

namespace sp {

namespace {

    constexpr std::size_t writesPerJob = 2; ///< Record, and specification written or removed.
    constexpr std::size_t removalsPerBatch = 8; ///< Old records removed along with others.
    constexpr std::chrono::milliseconds stalledRetry {
        1000
    }; ///< Outages of the store last seconds; callers wait as long.
    constexpr std::chrono::seconds neverRunnableRetry { 30 }; ///< Targets of another size come within minutes, if ever.

} // namespace

/** Keys that the lanes of the record log rewrite. @return One key for each lane. */
std::vector<std::string> CellKeys::sequenceKeys()
{
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < RecordLog::lanes; ++i)
        keys.push_back(sequences + std::to_string(i));
    return keys;
}

/** @param bounds Bounds of the deployment. @param metrics Registry. @param hooks Surroundings. */
CellOwner::CellOwner(CellBounds bounds, Metrics& metrics, CellOwnerHooks hooks)
    : m_bounds(bounds)
    , m_hooks(std::move(hooks))
    , m_accepted(metrics.counter("sp_cell_jobs_accepted_total", "Jobs accepted and stored."))
    , m_refused(metrics.counter("sp_cell_jobs_refused_total", "Jobs refused by the owner."))
    , m_starts(metrics.counter("sp_cell_starts_total", "Start orders sent."))
    , m_startsUnanswered(metrics.counter("sp_cell_starts_unanswered_total", "Start orders without an answer."))
    , m_ends(metrics.counter("sp_cell_ends_total", "Ends of runs taken in."))
    , m_stops(metrics.counter("sp_cell_stops_total", "Runs that were ordered to stop."))
    , m_looks(metrics.counter("sp_cell_looks_total", "Reports asked of targets."))
    , m_questions(metrics.counter("sp_cell_advice_questions_total", "Questions to the advisor."))
    , m_openJobs(metrics.gauge("sp_cell_open_jobs", "Jobs that have not ended."))
    , m_waitSeconds(metrics.histogram("sp_cell_task_wait_seconds", "Time from readiness of a task to its order."))
    , m_saveSeconds(metrics.histogram("sp_cell_accept_seconds", "Time from submission to the stored record."))
{
}

/** Gives up all decisions and forgets everything; the next owner reads it from the store and the targets. */
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
    for (auto& [id, replies] : std::exchange(m_submitters, {})) {
        for (const JobReply& reply : replies)
            reply({ JobAnswer::Kind::Unknown, {}, "the owner changed before the job was stored" });
    }
    m_jobs.clear();
    m_open.clear();
    m_dirty.clear();
    m_batches = {};
    m_removals.clear();
    m_targets.clear();
    m_reach.clear();
    m_lossRate = 0;
    m_wakeAt.reset();
    m_openJobs.set(0);
}

CellJob* CellOwner::find(const JobId& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

/** Job that has not ended. @param id Job. @return Job, null if it is not known or has ended. */
CellJob* CellOwner::findOpen(const JobId& id) const
{
    CellJob* job = find(id);
    return job && !isFinal(job->state) ? job : nullptr;
}

/** Task of a job that has not ended. @param key Task. @return Task, null if there is none. */
TaskState* CellOwner::openTask(const CellTaskKey& key) const
{
    CellJob* job = findOpen(key.job);
    return job ? job->task(key) : nullptr;
}

/** What a task's step asks for, also after the job's end. @param key Task. @return Step, null if it is not known. */
const StepSpec* CellOwner::specOf(const CellTaskKey& key) const
{
    const CellJob* job = find(key.job);
    return job && key.step < job->spec.steps.size() ? &job->spec.steps[key.step] : nullptr;
}

/** A task of a job has started. @param id Job. */
void CellOwner::noteBegun(const JobId& id)
{
    if (CellJob* job = find(id); job && !job->begun) {
        job->begun = true;
        job->state = JobState::Running;
    }
}

/** Whether the ownership is certain; without that nothing is ordered. @param mayOrder Whether it is. */
void CellOwner::setMayOrder(bool mayOrder)
{
    if (std::exchange(m_mayOrder, mayOrder) == mayOrder || !m_active)
        return;
    LogLine(LogLevel::Warning, mayOrder ? "orders_resumed" : "orders_paused")
        .with("token", m_token)
        .with("reason", mayOrder ? "the lease is fresh" : "the lease is not fresh")
        .with("open_jobs", m_open.size());
}

/** Takes a new configuration. @param config Configuration. */
void CellOwner::setConfig(const CellConfig& config)
{
    m_config = config;
    for (const QueueConfig& queue : config.queues)
        m_queues[queue.id] = queue;
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

/** Why a job can never run on the targets that are known. @return Reason, nothing if it may run. */
std::optional<std::string> CellOwner::refusalFor(const CellJobSpec& spec) const
{
    if (auto problem = jobSpecProblem(spec))
        return problem;
    bool known = false;
    for (const StepSpec& step : spec.steps) {
        std::uint64_t places = 0;
        for (const auto& [id, target] : m_targets) {
            if (!target->listed || target->entry.service != spec.service)
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
 * Takes a job. The reply comes once the job is in the store; a repeated submission gets the reply of the first.
 * @param spec Job.
 * @param now Present time.
 * @param reply Called once.
 */
void CellOwner::submit(CellJobSpec&& spec, Time now, JobReply reply)
{
    m_now = now;
    if (CellJob* known = find(spec.id)) {
        if (known->stored) {
            reply({ JobAnswer::Kind::Ok, {}, "already accepted" });
            return;
        }
        m_submitters[spec.id].push_back(std::move(reply));
        return;
    }
    if (m_storeStalled) {
        m_refused.add();
        LogLine(LogLevel::Info, "job_refused").with("job", spec.id).with("reason", "the store does not answer");
        reply({ JobAnswer::Kind::Refused, stalledRetry, "the store does not answer" });
        return;
    }
    if (const auto reason = refusalFor(spec)) {
        m_refused.add();
        LogLine(LogLevel::Info, "job_refused").with("job", spec.id).with("queue", spec.queue).with("reason", *reason);
        reply({ JobAnswer::Kind::Refused, neverRunnableRetry, *reason });
        return;
    }
    auto owned = std::make_unique<CellJob>();
    CellJob& job = *owned;
    job.spec = std::move(spec);
    job.submittedAt = now;
    job.acceptedAt = m_hooks.calendar();
    m_jobs.emplace(job.spec.id, std::move(owned));
    LogLine(LogLevel::Info, "job_taken")
        .with("job", job.spec.id)
        .with("queue", job.spec.queue)
        .with("steps", job.spec.steps.size())
        .with("config", m_config.version);
    activate(job, now);
    m_submitters[job.spec.id].push_back(std::move(reply));
    if (m_storeDelay >= slowStore) // One record for acceptance and first placement saves a transaction's time.
        job.saveNotBefore = now + firstPlacement;
    markDirty(job, now, job.saveNotBefore == Time {} ? saveSoon : firstPlacement);
    m_dispatchDue = true;
    wake(now);
}

/** Makes a job one that is worked on. */
void CellOwner::activate(CellJob& job, Time now)
{
    const QueueConfig* queue = queueOf(job);
    std::chrono::milliseconds perStep { 0 };
    if (queue && queue->advisor)
        perStep = std::chrono::duration_cast<std::chrono::milliseconds>(queue->advisor->callTime(mostAdvised));
    const auto chain = longestChain(job.spec.steps, perStep);
    job.objective = std::chrono::milliseconds(static_cast<std::int64_t>(
                        (queue ? queue->slackFactor : 1.0) * static_cast<double>(chain.count())))
        + (queue ? queue->targetLatency : std::chrono::milliseconds(0));
    m_open.push_back(&job);
    m_openJobs.set(static_cast<std::int64_t>(m_open.size()));
    if (!job.timed())
        job.beginOccurrence(0);
    else
        beginDue(job, now);
    for (auto& [number, occurrence] : job.occurrences)
        openSteps(job, occurrence, now);
}

/** Begins the occurrences whose time has come. */
void CellOwner::beginDue(CellJob& job, Time now)
{
    const CalendarTime calendar = m_hooks.calendar();
    for (std::uint32_t number = job.occurrencesEnded; number < job.occurrenceCount(); ++number) {
        if (job.dueAt(number) > calendar)
            return;
        if (job.occurrences.contains(number))
            continue;
        LogLine(LogLevel::Info, "occurrence_due").with("job", job.spec.id).with("occurrence", number);
        openSteps(job, job.beginOccurrence(number), now);
        m_dispatchDue = true;
    }
}

/** Marks the steps whose predecessors are complete as ready. */
void CellOwner::openSteps(CellJob& job, OccurrenceState& occurrence, Time now)
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

/** Takes all tasks of a job off their targets. */
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
                    target->release(key); // Nothing was ordered yet.
                else
                    beginStop(*target, key, it->second, reason, now);
                tasks[i].target = nullptr;
            }
        }
    }
}

/** Ends a job: nothing of it is started any more, and what runs is stopped. */
void CellOwner::finish(CellJob& job, JobState state, Time now)
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
 * Cancels a job. The reply comes once the cancellation is in the store.
 * @param id Job.
 * @param now Present time.
 * @param reply Called once.
 */
void CellOwner::cancel(const JobId& id, Time now, JobReply reply)
{
    m_now = now;
    CellJob* job = find(id);
    if (!job) {
        reply({ JobAnswer::Kind::Gone, {}, "no such job" });
        return;
    }
    if (isFinal(job->state) && !job->dirty && !job->writing) {
        reply({ JobAnswer::Kind::Ok, {}, "already ended" });
        return;
    }
    if (!isFinal(job->state))
        finish(*job, JobState::Cancelled, now);
    runWhenSaved(*job, [reply = std::move(reply)](bool saved) {
        reply({ saved ? JobAnswer::Kind::Ok : JobAnswer::Kind::Unknown, {},
            saved ? "stored" : "the owner changed before it was stored" });
    });
    m_dispatchDue = true;
    wake(now);
}

/** State of a job as callers see it. @param id Job. @return State, nothing if there is no such job. */
std::optional<JobState> CellOwner::state(const JobId& id) const
{
    const CellJob* job = find(id);
    if (!job || !job->stored)
        return std::nullopt;
    if (isFinal(job->shownState))
        return job->shownState;
    return job->begun ? JobState::Running : JobState::Queued;
}

/** Jobs of a queue for which no task has started. @param queue Queue. @return Number. */
std::uint64_t CellOwner::pending(const QueueId& queue) const
{
    return static_cast<std::uint64_t>(std::count_if(m_open.begin(), m_open.end(),
        [&](const CellJob* job) { return job->stored && !job->begun && job->spec.queue == queue; }));
}

void CellOwner::markDirty(CellJob& job, Time now, std::chrono::milliseconds within)
{
    if (!job.dirty) {
        job.dirty = true;
        m_dirty.push_back(&job);
    }
    m_hooks.flush(now + within);
}

void CellOwner::runWhenSaved(CellJob& job, std::function<void(bool)>&& effect)
{
    job.onSaved.push_back(std::move(effect));
    markDirty(job, m_now, saveSoon);
}

/**
 * Takes records that wait to be written. Those of jobs that another lane is writing go on waiting.
 * @param lane Lane that will write them.
 * @param limit Most writes.
 * @return Writes; empty if nothing waits.
 */
std::vector<StoreWrite> CellOwner::collect(std::size_t lane, std::size_t limit)
{
    std::vector<StoreWrite> writes;
    RecordBatch& batch = m_batches.at(lane);
    const auto ready = [&](const CellJob* job) {
        return !job->writing && job->saveNotBefore <= m_now && writes.size() + writesPerJob <= limit;
    };
    std::vector<CellJob*> waiting;
    bool more = false;
    for (CellJob* job : std::exchange(m_dirty, {})) {
        if (!ready(job)) {
            if (job->saveNotBefore > m_now)
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
        const std::string& id = job->spec.id.value;
        writes.push_back({ StoreWrite::Kind::Put, CellKeys::jobs + id, encodeJobRecord(*job), {} });
        if (!job->specStored)
            writes.push_back({ StoreWrite::Kind::Put, CellKeys::specs + id, encodeJobSpec(job->spec), {} });
        else if (isFinal(job->state) && !job->specRemoved)
            writes.push_back({ StoreWrite::Kind::Delete, CellKeys::specs + id, {}, {} });
    }
    m_dirty = std::move(waiting);
    for (std::size_t i = 0; i < removalsPerBatch && !m_removals.empty() && writes.size() < limit; ++i) {
        writes.push_back({ StoreWrite::Kind::Delete, m_removals.back(), {}, {} });
        batch.removals.push_back(std::move(m_removals.back()));
        m_removals.pop_back();
    }
    if (more)
        m_hooks.flush(m_now);
    return writes;
}

/**
 * What became of the records that a lane took last. What was not written waits again.
 * @param lane Lane.
 * @param outcome Outcome.
 * @param now Present time.
 */
void CellOwner::batchDecided(std::size_t lane, BatchOutcome outcome, Time now)
{
    m_now = now;
    RecordBatch batch = std::exchange(m_batches.at(lane), {});
    if (outcome == BatchOutcome::NotSaved)
        m_removals.insert(m_removals.end(), batch.removals.begin(), batch.removals.end());
    for (CellJob* job : batch.jobs) {
        job->writing = false;
        if (job->dirty) // Changed meanwhile; its next record had to wait for this one.
            m_hooks.flush(now);
        if (outcome == BatchOutcome::NotSaved) {
            job->onSaved.insert(job->onSaved.begin(), std::make_move_iterator(job->onWritten.begin()),
                std::make_move_iterator(job->onWritten.end()));
            job->onWritten.clear();
            if (!std::exchange(job->dirty, true))
                m_dirty.push_back(job);
            continue;
        }
        const bool saved = outcome == BatchOutcome::Saved;
        if (saved) {
            if (!std::exchange(job->specStored, true)) {
                m_accepted.add();
                m_saveSeconds.record(now - job->submittedAt);
            } else if (isFinal(job->state) && !job->dirty) {
                job->specRemoved = true;
                job->spec.payload = {};
            }
            job->stored = true;
        }
        for (const auto& effect : std::exchange(job->onWritten, {}))
            effect(saved);
        if (auto submitters = m_submitters.extract(job->spec.id); saved && !submitters.empty()) {
            LogLine(LogLevel::Info, "job_stored").with("job", job->spec.id);
            for (const JobReply& reply : submitters.mapped())
                reply({ JobAnswer::Kind::Ok, {}, "stored" });
        } else if (!submitters.empty()) {
            m_submitters.insert(std::move(submitters));
        }
    }
}

/** Refuses the submissions whose jobs were never sent to the store: they have not run, and their callers may go on. */
void CellOwner::withdrawUnsaved(Time now)
{
    std::vector<CellJob*> unsaved;
    std::copy_if(m_dirty.begin(), m_dirty.end(), std::back_inserter(unsaved),
        [](const CellJob* job) { return !job->stored && !job->writing; });
    for (CellJob* job : unsaved) {
        const JobId id = job->spec.id;
        LogLine(LogLevel::Info, "job_withdrawn")
            .with("job", id)
            .with("age_ms", toMs(now - job->submittedAt))
            .with("reason", "the store does not answer");
        m_refused.add();
        releaseTasks(*job, "withdrawn", now);
        for (const auto& effect : std::exchange(job->onSaved, {}))
            effect(false);
        std::erase(m_dirty, job);
        std::erase(m_open, job);
        m_openJobs.set(static_cast<std::int64_t>(m_open.size()));
        const auto submitters = m_submitters.extract(id);
        m_jobs.erase(id);
        if (submitters.empty())
            continue;
        for (const JobReply& reply : submitters.mapped())
            reply({ JobAnswer::Kind::Refused, stalledRetry, "the store does not answer" });
    }
}

/** Forgets jobs whose state need not be shown any longer. */
void CellOwner::forgetOldJobs(Time now)
{
    constexpr std::chrono::seconds interval { 5 }; ///< The states kept are few; a scan of all is cheap at this pace.
    if (now - m_forgotAt < interval)
        return;
    m_forgotAt = now;
    const auto kept = m_bounds.statusKept + m_bounds.statusKept / 4;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        const CellJob& job = *it->second;
        if (!isFinal(job.state) || job.dirty || job.writing || !job.onSaved.empty() || now - job.finishedAt < kept) {
            ++it;
            continue;
        }
        m_removals.push_back(CellKeys::jobs + job.spec.id.value);
        if (!job.specRemoved)
            m_removals.push_back(CellKeys::specs + job.spec.id.value);
        it = m_jobs.erase(it);
    }
}

/** Does what is due. @param now Present time. */
void CellOwner::tick(Time now)
{
    constexpr std::chrono::milliseconds sweepInterval { 20 }; ///< Orders are repeated no finer than this.
    constexpr std::chrono::milliseconds dispatchInterval { 8 }; ///< Ends of one moment are answered by one decision.
    constexpr std::chrono::milliseconds idleInterval { 100 }; ///< Tickets, quarantines and due times are looked at.
    if (!m_active)
        return;
    m_now = now;
    m_wakeAt.reset();
    if (m_storeStalled)
        withdrawUnsaved(now);
    if (now - m_sweptAt >= sweepInterval) {
        m_sweptAt = now;
        for (auto it = m_targets.begin(); it != m_targets.end();) {
            sweepTarget(*it->second, now);
            const CellTarget& target = *it->second;
            const bool gone = !target.listed && target.occupants.empty() && target.silent() && target.lapsed(now);
            it = gone ? m_targets.erase(it) : std::next(it);
        }
        for (CellJob* job : m_open) {
            if (job->timed())
                beginDue(*job, now);
        }
        forgetOldJobs(now);
    }
    if (m_dispatchDue && now - m_dispatchedAt < dispatchInterval) {
        wake(m_dispatchedAt + dispatchInterval);
    } else if (m_dispatchDue || now - m_dispatchedAt >= idleInterval) {
        m_dispatchDue = false;
        m_dispatchedAt = now;
        dispatch(now);
    }
    wake(m_open.empty() ? now + idleInterval : now + sweepInterval);
}

/** Summary for operators. @param now Present time. @return JSON. */
std::string CellOwner::statusText(Time now) const
{
    std::ostringstream out;
    out << "{\"active\":" << (m_active ? "true" : "false") << ",\"token\":" << m_token << ",\"jobs\":" << m_jobs.size()
        << ",\"open_jobs\":" << m_open.size() << ",\"loss_rate\":" << m_lossRate << ",\"silent_data_centres\":[";
    const char* separator = "";
    for (const auto& [dataCentre, reach] : m_reach) {
        if (reach.suspect())
            out << std::exchange(separator, ",") << '"' << dataCentre << '"';
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
