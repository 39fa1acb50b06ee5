#include "standin/worker.h"

#include "work_payload.h"

#include <algorithm>

namespace sp::standin {

namespace {

    constexpr std::chrono::milliseconds failTime { 10 }; ///< Run time of a task on a worker that fails everything.
    constexpr std::chrono::seconds lateUsage { 30 }; ///< Additional lag under the fault usage_late.

    Resources scale(const Resources& size, double factor)
    {
        const auto part
            = [factor](std::int64_t amount) { return static_cast<std::int64_t>(static_cast<double>(amount) * factor); };
        return { part(size.coresMilli), part(size.memoryMb), size.accelerators };
    }

    const char* endName(RunEnd end)
    {
        switch (end) {
        case RunEnd::Succeeded:
            return "succeeded";
        case RunEnd::Failed:
            return "failed";
        case RunEnd::Stopped:
        case RunEnd::TargetLost:
            break;
        }
        return "stopped";
    }

} // namespace

/** @param id Target id. @param server Server. @param audit Record. @param seed Seed. @param settings Settings. */
Worker::Worker(std::string id, HttpServer& server, Audit& audit, std::uint64_t seed, const WorkerSettings& settings)
    : Target(std::move(id), server, audit, seed)
    , m_settings(settings)
{
}

void Worker::handle(const ExchangePtr& exchange)
{
    try {
        if (exchange->method == "POST" && exchange->path == "/tasks")
            return start(exchange);
        if (exchange->method == "POST" && exchange->path.starts_with("/tasks/") && exchange->path.ends_with("/stop"))
            return stop(exchange);
        ++m_audit.counters.badRequests;
        exchange->answer({ 404, "{}", {}, false });
    } catch (const std::exception& problem) {
        ++m_audit.counters.badRequests;
        exchange->answer({ 400, nlohmann::json { { "error", problem.what() } }.dump(), {}, false });
    }
}

bool Worker::knows(const std::string& id) const
{
    return m_tasks.contains(id) || std::any_of(m_finished.begin(), m_finished.end(), [&](const Finished& task) {
        // A failed or stopped task may be started again, a successful one is only reported again.
        return task.id == id && std::string_view(task.end) == "succeeded";
    });
}

void Worker::start(const ExchangePtr& exchange)
{
    const auto spec = nlohmann::json::parse(exchange->body);
    const std::string id = spec.at("task_id").get<std::string>();
    if (!admitTerm(exchange, spec.at("shard").get<std::string>(), spec.at("term").get<std::uint64_t>()))
        return;
    if (knows(id)) {
        ++m_audit.counters.tasksRepeated;
        exchange->answer({ 200, R"({"already":true})", {}, false });
        return;
    }
    if (refuseIfLeaving(exchange))
        return;
    Task task;
    task.size = { spec.value("cores_milli", std::int64_t { 0 }), spec.value("memory_mb", std::int64_t { 0 }),
        spec.value("accelerators", std::int64_t { 0 }) };
    task.lease = std::chrono::milliseconds(spec.value("lease_ms", 30000));
    if (!(m_given + task.size).fitsIn(m_settings.capacity)) {
        ++m_audit.counters.refusedFull;
        refuse(exchange, 429, "full");
        return;
    }
    begin(id, spec, task);
    exchange->answer({ 201, "{}", {}, false });
}

void Worker::begin(const std::string& id, const nlohmann::json& spec, Task task)
{
    const WorkPayload payload = parseWorkPayload(spec.value("payload", std::string()));
    std::uniform_real_distribution<double> usage(m_settings.usageMin, m_settings.usageMax);
    task.used = scale(task.size, payload.usage ? *payload.usage : usage(m_random));
    task.uid = payload.uid;
    task.startedAt = BootClock::now();
    task.leaseEnd = task.startedAt + task.lease;
    task.run = ++m_runs;
    m_given += task.size;
    m_audit.taskStarted(id, payload.uid, payload.once, m_id);
    if (!m_given.fitsIn(m_settings.capacity))
        m_audit.overcommitted(m_id, std::to_string(m_given.coresMilli) + " cores_milli");
    const auto run = task.run;
    later(task.lease, [this, id, run] { checkLease(id, run); });
    m_tasks[id] = std::move(task);
    auto time = payload.runTime.value_or(std::chrono::milliseconds(spec.value("run_ms", 0)));
    const RunEnd how = payload.fails || m_failsAll ? RunEnd::Failed : RunEnd::Succeeded;
    if (m_failsAll)
        time = failTime;
    // Without a run time the task keeps its place until it is stopped.
    if (time.count() == 0)
        return;
    later(time, [this, id, run, how] {
        if (const auto it = m_tasks.find(id); it != m_tasks.end() && it->second.run == run)
            end(id, how, how == RunEnd::Failed ? "failed" : "done on " + m_id);
    });
}

void Worker::stop(const ExchangePtr& exchange)
{
    const auto spec = nlohmann::json::parse(exchange->body);
    if (!admitTerm(exchange, spec.at("shard").get<std::string>(), spec.at("term").get<std::uint64_t>()))
        return;
    constexpr std::size_t head = std::string_view("/tasks/").size();
    constexpr std::size_t tail = std::string_view("/stop").size();
    const std::string id = exchange->path.substr(head, exchange->path.size() - head - tail);
    if (std::any_of(m_finished.begin(), m_finished.end(), [&](const Finished& task) { return task.id == id; })) {
        exchange->answer({ 200, R"({"already":true})", {}, false });
        return;
    }
    if (!m_tasks.contains(id)) {
        exchange->answer({ 404, "{}", {}, false });
        return;
    }
    exchange->answer({ 200, "{}", {}, false });
    end(id, RunEnd::Stopped, spec.value("checkpoint", false) ? "checkpoint" : "");
}

void Worker::end(const std::string& id, RunEnd how, std::string result)
{
    const auto it = m_tasks.find(id);
    m_given -= it->second.size;
    m_audit.taskEnded(id, it->second.uid, how);
    m_tasks.erase(it);
    std::erase_if(m_finished, [&](const Finished& task) { return task.id == id; });
    m_finished.push_back({ BootClock::now(), nextSeq(), id, endName(how), std::move(result) });
    changed();
}

void Worker::checkLease(const std::string& id, std::uint64_t run)
{
    const auto it = m_tasks.find(id);
    if (it == m_tasks.end() || it->second.run != run)
        return;
    const Time now = BootClock::now();
    if (it->second.leaseEnd > now) {
        later(it->second.leaseEnd - now, [this, id, run] { checkLease(id, run); });
        return;
    }
    ++m_audit.counters.taskLeasesEnded;
    end(id, RunEnd::Stopped, "lease ended");
}

void Worker::reported()
{
    const Time now = BootClock::now();
    for (auto& [id, task] : m_tasks)
        task.leaseEnd = now + task.lease;
}

nlohmann::json Worker::reportBody(std::uint64_t since)
{
    const Time now = BootClock::now();
    while (!m_finished.empty() && m_finished.front().at + m_settings.finishedKept < now)
        m_finished.pop_front();
    const Duration lag = m_settings.reportLag + (m_usageLate ? Duration(lateUsage) : Duration(0));
    nlohmann::json tasks = nlohmann::json::array();
    for (const auto& [id, task] : m_tasks) {
        nlohmann::json one { { "id", id }, { "cores_milli", task.size.coresMilli }, { "memory_mb", task.size.memoryMb },
            { "accelerators", task.size.accelerators } };
        // Within the lag nothing is known of the task's usage, and the fields are left out.
        if (task.startedAt + lag <= now) {
            one["used_cores_milli"] = task.used.coresMilli;
            one["used_memory_mb"] = task.used.memoryMb;
            one["used_accelerators"] = task.used.accelerators;
        }
        tasks.push_back(std::move(one));
    }
    nlohmann::json finished = nlohmann::json::array();
    for (const Finished& task : m_finished) {
        if (task.seq > since)
            finished.push_back({ { "id", task.id }, { "end", task.end }, { "result", task.result } });
    }
    return { { "requests", nlohmann::json::array() }, { "tasks", std::move(tasks) },
        { "finished", std::move(finished) } };
}

void Worker::lose()
{
    for (const auto& [id, task] : m_tasks)
        m_audit.taskEnded(id, task.uid, RunEnd::TargetLost);
    m_tasks.clear();
    m_finished.clear();
    m_given = {};
}

} // namespace sp::standin
