/** @file task_world.h Small event queue that drives a task scheduler: arrivals, ends, stops and usage reports. */
#pragma once

#include "bench/bench_func.h"
#include "task_scheduler.h"

#include <algorithm>
#include <random>

namespace sp::bench {

inline Time at(double seconds)
{
    return Time {} + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1e6 + seconds));
}

/** Truth about the tasks of a job. */
struct JobTruth {
    JobSpec spec;
    Resources usage; ///< Real size.
    double run = 0; ///< Real run time in seconds, 0: until the end of the measurement.
    double arrival = 0;
};

/** Shape of the simulated workers and reports. */
struct WorldOptions {
    double reportInterval = 0; ///< Seconds between usage reports of a task, 0 for none.
    double reportLag = 5; ///< Age of a report.
    double stopMin = 0.05; ///< Shortest time of checkpoint and stop, in seconds.
    double stopMax = 0.25; ///< Longest.
    double tick = 0.05; ///< Seconds between calls of schedule() without an event.
};

/** Baseline: jobs in order of arrival, each task on the first worker with room for its declared size. */
class FirstFit {
public:
    void putWorker(const WorkerInfo& info)
    {
        m_free.push_back(info.capacity);
        m_capacity.push_back(info.capacity);
        m_ids.push_back(info.id);
    }
    SubmitResult submit(const JobSpec& spec, Time /*now*/)
    {
        for (std::uint32_t i = 0; i < spec.tasks; ++i)
            m_queue.push_back({ makeTaskId(spec.id, i), spec.id, i, {}, spec.size, "first fit" });
        return {};
    }
    ScheduleRound schedule(Time /*now*/)
    {
        ScheduleRound round;
        while (!m_queue.empty()) {
            TaskStart& head = m_queue.front();
            std::size_t w = 0;
            while (w < m_free.size() && !head.size.fitsIn(m_free[w]))
                ++w;
            if (w == m_free.size())
                break;
            m_free[w] -= head.size;
            head.worker = m_ids[w];
            m_places[head.task] = { w, head.size };
            round.starts.push_back(head);
            m_queue.pop_front();
        }
        return round;
    }
    void taskEnded(const TaskId& task, TaskEnd /*end*/, const std::string& /*result*/, Time /*now*/)
    {
        const auto it = m_places.find(task);
        m_free[it->second.first] += it->second.second;
        m_places.erase(it);
    }
    void usageReported(const TaskId& /*task*/, const Resources& /*usage*/, Time /*now*/) { }

private:
    std::vector<Resources> m_free;
    std::vector<Resources> m_capacity;
    std::vector<TargetId> m_ids;
    std::deque<TaskStart> m_queue;
    std::unordered_map<TaskId, std::pair<std::size_t, Resources>> m_places;
};

/** Drives one scheduler. @tparam Scheduler TaskScheduler or FirstFit. */
template <typename Scheduler> class World {
public:
    /** A task that runs. */
    struct Running {
        const JobTruth* truth = nullptr;
        TargetId worker;
        std::uint64_t run = 0; ///< Tells runs of the same task apart.
        double startedAt = 0;
        bool stopping = false;
    };

    World(Scheduler& scheduler, std::uint64_t seed, const WorldOptions& options = {})
        : m_scheduler(scheduler)
        , m_random(seed)
        , m_options(options)
    {
    }

    void arrive(JobTruth truth)
    {
        const double when = truth.arrival;
        m_jobs.push_back(std::make_unique<JobTruth>(std::move(truth)));
        push({ when, Kind::Arrival, {}, 0, m_jobs.back().get() });
    }

    /** Handles all events up to a time. @param end Time. @param sample Called after each tick. */
    template <typename Sample> void runUntil(double end, Sample sample)
    {
        while (true) {
            const double next = m_events.empty() ? end : m_events.top().when;
            if (m_nextTick <= std::min(next, end)) {
                m_now = m_nextTick;
                m_nextTick += m_options.tick;
                schedule();
                sample(m_now);
                continue;
            }
            if (m_events.empty() || next > end)
                break;
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.when;
            handle(event);
        }
        m_now = end;
    }

    double now() const { return m_now; }
    const std::unordered_map<TaskId, Running>& running() const { return m_running; }
    std::function<void(const TaskStart&, const JobTruth&, double)> onStart; ///< Start, its job, and the time.
    std::uint64_t stops = 0;

private:
    enum class Kind : std::uint8_t { Arrival, End, Stopped, Usage };
    struct Event {
        double when = 0;
        Kind kind = Kind::Arrival;
        TaskId task;
        std::uint64_t run = 0;
        const JobTruth* truth = nullptr;
        bool operator>(const Event& other) const { return when > other.when; }
    };

    void push(Event event) { m_events.push(std::move(event)); }

    void handle(const Event& event)
    {
        if (event.kind == Kind::Arrival) {
            m_byId[event.truth->spec.id] = event.truth;
            JobSpec spec = event.truth->spec;
            spec.submittedAt = at(m_now);
            m_scheduler.submit(spec, at(m_now));
            schedule();
            return;
        }
        const auto it = m_running.find(event.task);
        if (it == m_running.end() || it->second.run != event.run)
            return;
        if (event.kind == Kind::Usage) {
            m_scheduler.usageReported(event.task, event.truth->usage, at(m_now));
            push({ m_now + m_options.reportInterval, Kind::Usage, event.task, event.run, event.truth });
            return;
        }
        m_running.erase(it);
        m_scheduler.taskEnded(
            event.task, event.kind == Kind::End ? TaskEnd::Succeeded : TaskEnd::Stopped, {}, at(m_now));
        schedule();
    }

    void schedule()
    {
        bool more = true;
        while (more) {
            const ScheduleRound round = m_scheduler.schedule(at(m_now));
            more = round.more;
            for (const TaskStart& start : round.starts)
                started(start);
            for (const TaskStop& stop : round.stops) {
                Running& task = m_running.at(stop.task);
                task.stopping = true;
                ++stops;
                const double time = std::uniform_real_distribution(m_options.stopMin, m_options.stopMax)(m_random);
                push({ m_now + time, Kind::Stopped, stop.task, task.run, task.truth });
            }
        }
    }

    void started(const TaskStart& start)
    {
        const JobTruth* truth = m_byId.at(start.job);
        const std::uint64_t run = ++m_runs;
        m_running[start.task] = { truth, start.worker, run, m_now, false };
        if (truth->run > 0)
            push({ m_now + truth->run, Kind::End, start.task, run, truth });
        if (m_options.reportInterval > 0)
            push({ m_now + m_options.reportLag, Kind::Usage, start.task, run, truth });
        if (onStart)
            onStart(start, *truth, m_now);
    }

    Scheduler& m_scheduler;
    std::mt19937_64 m_random;
    WorldOptions m_options;
    double m_now = 0;
    double m_nextTick = 0;
    std::uint64_t m_runs = 0;
    std::vector<std::unique_ptr<JobTruth>> m_jobs;
    std::unordered_map<JobId, const JobTruth*> m_byId;
    std::unordered_map<TaskId, Running> m_running;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

/** @param values Values, reordered. @param share Share of the values below. @return Quantile, 0 without values. */
inline double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto index
        = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace sp::bench
