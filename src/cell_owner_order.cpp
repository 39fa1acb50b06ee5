#include "account_share.h"
#include "cell_owner.h"

#include "log_line.h"

#include <algorithm>

namespace sp {

/** Returns the longest time of a call to a queue's advisor, 0 if it has none. */
std::chrono::milliseconds CellOwner::adviceTime(const QueueConfig& queue)
{
    return queue.advisor
        ? std::chrono::duration_cast<std::chrono::milliseconds>(queue.advisor->callTime(maxAdvisedTargets))
        : std::chrono::milliseconds(0);
}

/** Returns the place of a step in the queue of its priority, nothing if the cell has no client accounts. */
std::optional<WorkRank> CellOwner::rankOf(
    const CellJob& job, std::uint32_t occurrence, std::uint32_t step, Time now) const
{
    const auto state = job.occurrences.find(occurrence);
    if (m_config.accounts.empty() || state == job.occurrences.end())
        return std::nullopt;
    const QueueConfig* queue = queueOf(job);
    const RemainingWork remaining
        = remainingWork(job.spec.steps, state->second, queue ? adviceTime(*queue) : std::chrono::milliseconds(0));
    WorkItem item;
    item.submittedAt = job.submittedAt;
    for (const StepState& other : state->second.steps) {
        if (job.timed() && other.readyAt != Time {}) // Each occurrence has the objective from its own start on.
            item.submittedAt
                = item.submittedAt == job.submittedAt ? other.readyAt : std::min(item.submittedAt, other.readyAt);
    }
    item.objective = job.objective;
    item.slackFactor = queue ? queue->slackFactor : 1;
    item.remainingPath = remaining.path;
    item.remainingCoreMs = remaining.coreMs;
    item.begun = job.begun;
    item.lasting = job.spec.steps[step].lasting;
    item.beyondRate = job.beyondRate;
    item.aboveShare = m_aboveShare.contains({ serviceOf(job), job.spec.account });
    return workRank(item, now);
}

/**
 * Determines which steps may find room within the validity of a ticket, given those that go before them. A question
 * about any other step would take the advisor's time from them, and its tickets would expire unused.
 */
void CellOwner::forecastRoom(std::vector<ReadyStep>& ready, Time now)
{
    if (m_config.accounts.empty())
        return;
    std::map<ServiceId, RoomForecast> forecasts;
    for (ReadyStep& step : ready) {
        const QueueConfig* queue = queueOf(*step.job);
        if (!queue)
            continue;
        const auto [forecast, added] = forecasts.try_emplace(queue->service);
        if (added) {
            std::int64_t freeMilli = 0;
            for (const CellTarget* target : usableTargets(queue->service, now))
                freeMilli += std::max<std::int64_t>(0, target->room().coresMilli);
            forecast->second = { static_cast<double>(freeMilli) / 1000, m_coresFreedPerSecond[queue->service] };
        }
        const StepSpec& spec = step.job->spec.steps[step.step];
        const auto& tasks = step.job->step(step.stepKey())->tasks;
        const auto waiting
            = std::count_if(tasks.begin(), tasks.end(), [](const TaskState& task) { return task.waiting(); });
        const bool found = forecast->second.take(static_cast<double>(waiting * spec.reserved().coresMilli) / 1000,
            queue->advisor ? queue->advisor->ticketValidity : std::chrono::milliseconds(0));
        step.roomSoon = found || spec.lasting;
    }
}

/** Determines which accounts run more than their share of a service, at intervals. */
void CellOwner::updateShares(Time now)
{
    /** Shorter than any run, so that what starts in between does not change the shares much. */
    constexpr std::chrono::milliseconds updateInterval { 100 };
    if (m_config.accounts.empty() || now - m_sharesUpdatedAt < updateInterval)
        return;
    m_sharesUpdatedAt = now;
    m_coresFreedPerSecond.clear();
    std::map<ServiceId, std::map<AccountId, AccountLoad>> loads;
    for (const CellJob* job : m_open) {
        AccountLoad& load = loads[serviceOf(*job)][job->spec.account];
        for (const auto& [number, occurrence] : job->occurrences) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                if (occurrence.steps[s].readyAt == Time {})
                    continue;
                const Resources demand = job->spec.steps[s].reserved();
                const double seconds = std::chrono::duration<double>(job->spec.steps[s].estimate).count();
                for (const TaskState& task : occurrence.steps[s].tasks) {
                    if (task.done)
                        continue;
                    (task.waiting() ? load.waiting : load.running) += demand;
                    if (!task.waiting() && !job->spec.steps[s].lasting && seconds > 0)
                        m_coresFreedPerSecond[serviceOf(*job)]
                            += static_cast<double>(demand.coresMilli) / 1000 / seconds;
                }
            }
        }
    }
    std::set<std::pair<ServiceId, AccountId>> above;
    for (auto& [service, accounts] : loads) {
        Resources capacity;
        for (const CellTarget* target : usableTargets(service, now))
            capacity += target->entry.capacity;
        std::vector<AccountLoad> all;
        for (auto& [id, load] : accounts) {
            if (const ClientAccount* account = m_config.account(id))
                load.weight = account->weight;
            all.push_back(load);
        }
        const auto level = waterLevel(all, capacity);
        for (const auto& [id, load] : accounts) {
            const bool isAbove = aboveShare(load, capacity, level);
            if (isAbove)
                above.emplace(service, id);
            if (isAbove != m_aboveShare.contains({ service, id }))
                LogLine(LogLevel::Info, isAbove ? "account_above_share" : "account_within_share")
                    .with("account", id)
                    .with("service", service)
                    .with("running_percent", static_cast<int>(100 * dominantShare(load.running, capacity)))
                    .with("weight", load.weight)
                    .with("share_percent", level ? static_cast<int>(100 * *level * load.weight) : 100);
        }
    }
    m_aboveShare = std::move(above);
    m_accountsAboveShare.set(static_cast<std::int64_t>(m_aboveShare.size()));
}

} // namespace sp
