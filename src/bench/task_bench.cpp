#include "bench/task_world.h"

#include <chrono>
#include <set>

namespace sp::bench {

namespace {

    constexpr int teamCount = 110;

    using Random = std::mt19937_64;

    Bundle cellBundle()
    {
        Bundle bundle;
        bundle.cell.dataCentres = { DataCentreId("dc1") };
        const auto add = [&](const char* name, WorkClass workClass, Priority priority, bool idempotent) {
            WorkloadPolicy policy;
            policy.id = WorkloadId(name);
            policy.workClass = workClass;
            policy.priority = priority;
            policy.idempotent = idempotent;
            policy.queueLimit = 1000000;
            bundle.workloads[policy.id] = policy;
        };
        add("batch", WorkClass::Batch, Priority::Normal, true);
        add("once", WorkClass::Batch, Priority::Normal, false);
        add("urgent", WorkClass::Batch, Priority::Urgent, true);
        add("gang", WorkClass::Gang, Priority::Normal, true);
        add("service", WorkClass::Hold, Priority::Normal, true);
        for (int i = 0; i < teamCount; ++i) {
            TeamPolicy policy;
            policy.id = TeamId("team" + std::to_string(i));
            policy.coresMilli = 400000;
            policy.weight = 1 + i % 3;
            bundle.teams[policy.id] = policy;
        }
        return bundle;
    }

    WorkerInfo workerInfo(int number, std::int64_t accelerators)
    {
        WorkerInfo info;
        info.id = TargetId("worker-" + std::to_string(number));
        info.rack = RackId("rack-" + std::to_string(number / 6));
        info.capacity = { 32000, 65536, accelerators };
        return info;
    }

    void addWorkers(TaskScheduler& scheduler, int count, bool accelerators = false)
    {
        for (int i = 0; i < count; ++i) { // 960 accelerators on 240 of 770 workers.
            const WorkerInfo info = workerInfo(i, accelerators && i % 770 < 240 ? 4 : 0);
            scheduler.putWorker(info, at(0));
            scheduler.setUsable(info.id, true, at(0));
        }
    }

    JobTruth job(const std::string& id, const char* workload, Resources size, double run, int team, double arrival = 0)
    {
        JobTruth truth;
        truth.spec.id = JobId(id);
        truth.spec.workload = WorkloadId(workload);
        truth.spec.team = TeamId("team" + std::to_string(team));
        truth.spec.size = size;
        truth.spec.runTime = std::chrono::milliseconds(static_cast<std::int64_t>(run * 1000));
        truth.usage = size;
        truth.run = run;
        truth.arrival = arrival;
        return truth;
    }

    /** Sizes of which 21,000 reserve about 95% of the cores of 770 workers. */
    Resources cellSize(Random& random, bool accelerator)
    {
        static constexpr std::array cores { 250, 500, 1000, 1500, 2500 };
        const std::int64_t c = cores[random() % cores.size()];
        return { c, c * 17 / 10, accelerator ? 1 : 0 };
    }

    // ---- decisions per second ----

    struct DecisionCost {
        double perSecond = 0;
        double p99Ms = 0;
        double meanUs = 0;
    };

    /** Ends and starts tasks on a cell whose number of running tasks stays the same. */
    DecisionCost measureDecisions(int workers, int cycles, std::uint64_t seed)
    {
        Random random(seed);
        TaskScheduler scheduler;
        scheduler.applyPolicy(cellBundle());
        addWorkers(scheduler, workers, true);
        const int tasks = 21000 * workers / 770;
        std::vector<TaskId> batch;
        int number = 0;
        const auto submit = [&] {
            const int i = number++;
            const bool service = i % 5 == 0 && i < tasks;
            scheduler.submit(job("dc1.workers.0-" + std::to_string(i), service ? "service" : "batch",
                                 cellSize(random, i % 23 == 0), service ? 0 : 600, i % teamCount)
                                 .spec,
                at(0));
            return service;
        };
        std::size_t logBytes = 0;
        double now = 0;
        const auto schedule = [&](bool service) {
            const ScheduleRound round = scheduler.schedule(at(now));
            for (const TaskStart& start : round.starts) {
                std::string line = "place: task " + start.task.value + " on " + start.worker.value + " with "
                    + std::to_string(start.size.coresMilli) + " mcores, " + std::to_string(start.size.memoryMb)
                    + " MB: " + start.reason;
                logBytes += line.size();
                if (!service)
                    batch.push_back(start.task);
            }
            return round.starts.size();
        };
        for (int i = 0; i < tasks; ++i) {
            const bool service = submit();
            schedule(service);
        }
        for (int i = 0; i < 330; ++i) // Waiting work that fits nowhere now.
            scheduler.submit(
                job("large" + std::to_string(i), "batch", { 31000 + i, 60000, 0 }, 600, i % teamCount).spec, at(0));
        schedule(false);
        std::vector<double> costs;
        std::size_t started = 0;
        double total = 0;
        for (int i = 0; i < cycles; ++i) {
            now += 0.0005;
            const std::size_t pick = random() % batch.size();
            const TaskId ending = batch[pick];
            batch[pick] = batch.back();
            batch.pop_back();
            const auto begin = std::chrono::steady_clock::now();
            scheduler.taskEnded(ending, TaskEnd::Succeeded, {}, at(now));
            submit();
            const std::size_t starts = schedule(false);
            const double cost = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
            started += starts;
            total += cost;
            costs.push_back(cost);
            for (const JobId& id : scheduler.takeFinishedJobs())
                scheduler.forget(id);
        }
        DecisionCost result;
        result.perSecond = static_cast<double>(started) / total;
        result.meanUs = total / static_cast<double>(cycles) * 1e6;
        result.p99Ms = quantile(costs, 0.99) * 1e3;
        return result;
    }

    void decisions(const BenchOptions& options, const Report& report)
    {
        const int cycles = options.quick ? 2000 : 60000;
        const DecisionCost large = measureDecisions(770, cycles, options.seed);
        const DecisionCost small = measureDecisions(50, cycles, options.seed);
        report({ "task decisions/s, 770 workers, log line formatted", large.perSecond, "1/s", ">= 20000",
            large.perSecond >= 20000 });
        report({ "task decision p99, 770 workers", large.p99Ms, "ms", "<= 1", large.p99Ms <= 1 });
        report({ "task decision cost, 770 workers against 50", large.meanUs / small.meanUs, "times", "<= 2",
            large.meanUs <= 2 * small.meanUs });
    }

    // ---- urgent work ----

    void urgent(const BenchOptions& options, const Report& report)
    {
        Random random(options.seed);
        TaskScheduler scheduler;
        scheduler.applyPolicy(cellBundle());
        addWorkers(scheduler, 770, true);
        World<TaskScheduler> world(scheduler, options.seed);
        std::vector<double> waits;
        world.onStart = [&](const TaskStart&, const JobTruth& truth, double now) {
            if (truth.spec.workload.value == "urgent")
                waits.push_back(now - truth.arrival);
        };
        std::int64_t cores = 0;
        int i = 0;
        for (; cores < 770LL * 32000 * 95 / 100; ++i) {
            const Resources size = cellSize(random, i % 23 == 0);
            cores += size.coresMilli;
            world.arrive(job("f" + std::to_string(i), i % 5 == 0 ? "service" : "batch", size, 0, i % teamCount));
        }
        world.runUntil(1, [](double) {});
        const double reserved = largestShare(scheduler.pool().totalReserved(), scheduler.pool().totalCapacity());
        const double seconds = options.quick ? 5 : 60;
        int count = 0;
        for (double when = 1; when < seconds; when += std::exponential_distribution(60.0)(random)) {
            const Resources size { 1000 + 1000 * static_cast<std::int64_t>(random() % 16), 4096, random() % 10 == 0 };
            world.arrive(
                job("u" + std::to_string(count++), "urgent", size, 10, static_cast<int>(random() % teamCount), when));
        }
        world.runUntil(seconds + 5, [](double) {});
        scheduler.checkInvariants();
        report({ "urgent start: reserved share of the cell at arrival", reserved * 100, "%", "", true });
        report({ "urgent start p50 (stop of a task takes 50 to 250 ms)", quantile(waits, 0.5) * 1000, "ms", "", true });
        const double p99 = quantile(waits, 0.99) * 1000;
        report({ "urgent start p99, limit", p99, "ms", "<= 1200", p99 <= 1200 });
        report({ "urgent start p99, aim", p99, "ms", "<= 200", p99 <= 200 });
        report({ "urgent start: tasks stopped for it", static_cast<double>(world.stops), "tasks", "", true });
        report({ "urgent work not started", static_cast<double>(count) - static_cast<double>(waits.size()), "jobs",
            "<= 0", static_cast<std::size_t>(count) == waits.size() });
    }

    // ---- packing ----

    /** Jobs of 44 kinds whose declarations are wrong by up to 4 times either way; cores are scarce. */
    std::vector<JobTruth> misdeclared(std::uint64_t seed, int count)
    {
        Random random(seed);
        struct KindOfWork {
            Resources declared;
            Resources real;
            double run = 0;
        };
        std::vector<KindOfWork> kinds;
        std::uniform_real_distribution<double> factor(std::log(0.25), std::log(4.0));
        for (int k = 0; k < 44; ++k) {
            const auto cores = static_cast<std::int64_t>(400 + random() % 7600);
            const double wrong = std::exp(factor(random));
            KindOfWork kind;
            kind.real = { cores, cores, 0 };
            kind.declared = { std::clamp<std::int64_t>(
                                  static_cast<std::int64_t>(static_cast<double>(cores) * wrong), 1, 32000),
                std::clamp<std::int64_t>(static_cast<std::int64_t>(static_cast<double>(cores) * wrong), 1, 65536), 0 };
            kind.run = 200 + static_cast<double>(random() % 400);
            kinds.push_back(kind);
        }
        std::vector<JobTruth> jobs;
        for (int i = 0; i < count; ++i) {
            const auto k = random() % kinds.size();
            JobTruth truth
                = job("p" + std::to_string(i), "batch", kinds[k].declared, kinds[k].run, static_cast<int>(k));
            truth.usage = kinds[k].real;
            truth.run *= std::uniform_real_distribution(0.7, 1.3)(random);
            jobs.push_back(std::move(truth));
        }
        return jobs;
    }

    struct PackingResult {
        double used = 0; ///< Mean share of all cores that tasks really use, at most the capacity of each worker.
        double needAbove = 0; ///< Mean share of all cores that tasks need above their worker's capacity.
    };

    template <typename Scheduler>
    PackingResult measurePacking(Scheduler& scheduler, int workers, std::uint64_t seed, bool quick)
    {
        WorldOptions options;
        options.reportInterval = 10;
        options.tick = 5;
        World<Scheduler> world(scheduler, seed, options);
        const double end = quick ? 1500 : 4000;
        for (JobTruth& truth : misdeclared(seed, static_cast<int>(workers * 16 * end / 350)))
            world.arrive(std::move(truth));
        PackingResult result;
        int samples = 0;
        world.runUntil(end, [&](double now) {
            if (now < 1000)
                return;
            std::unordered_map<TargetId, std::int64_t> need;
            for (const auto& [id, task] : world.running())
                need[task.worker] += task.truth->usage.coresMilli;
            for (const auto& [id, cores] : need) {
                result.used += static_cast<double>(std::min<std::int64_t>(cores, 32000));
                result.needAbove += static_cast<double>(std::max<std::int64_t>(cores - 32000, 0));
            }
            ++samples;
        });
        result.used /= samples * workers * 32000.0;
        result.needAbove /= samples * workers * 32000.0;
        return result;
    }

    void packing(const BenchOptions& options, const Report& report)
    {
        const int workers = options.quick ? 20 : 100;
        TaskScheduler scheduler;
        Bundle bundle = cellBundle();
        bundle.teams.clear();
        scheduler.applyPolicy(bundle);
        addWorkers(scheduler, workers);
        const PackingResult own = measurePacking(scheduler, workers, options.seed, options.quick);
        scheduler.checkInvariants(); // Throws if any worker is reserved above its capacity.
        FirstFit firstFit;
        for (int i = 0; i < workers; ++i)
            firstFit.putWorker(workerInfo(i, 0));
        const PackingResult base = measurePacking(firstFit, workers, options.seed, options.quick);
        // The bound: with a backlog, no schedule uses more than all cores.
        report({ "packing, share of the offline bound (all cores)", own.used * 100, "%", ">= 95", own.used >= 0.95 });
        report({ "packing, workers reserved above capacity", 0, "workers", "<= 0", true });
        report({ "packing, real need above workers' capacity", own.needAbove * 100, "%", "", true });
        report({ "packing, first fit and FIFO, share of the bound", base.used * 100, "%", "", true });
        report({ "packing, first fit and FIFO, need above capacity", base.needAbove * 100, "%", "", true });
    }

    // ---- gang ----

    void gang(const BenchOptions& options, const Report& report)
    {
        const int workers = options.quick ? 40 : 200;
        Random random(options.seed);
        TaskScheduler scheduler;
        scheduler.applyPolicy(cellBundle());
        addWorkers(scheduler, workers);
        WorldOptions worldOptions;
        worldOptions.tick = 1;
        World<TaskScheduler> world(scheduler, options.seed, worldOptions);
        double gangStart = 0;
        world.onStart = [&](const TaskStart&, const JobTruth& truth, double now) {
            if (truth.spec.workload.value == "gang")
                gangStart = now;
        };
        const double end = 8000;
        const double meanRun = 300;
        const double meanCores = 3000;
        const double rate = 0.9 * workers * 32000 / (meanCores * meanRun * 0.85);
        int i = 0;
        for (double when = 0; when < end; when += std::exponential_distribution(rate)(random)) {
            const double run = std::uniform_real_distribution(60.0, 540.0)(random);
            const Resources size { 1000 * (1 + static_cast<std::int64_t>(random() % 5)), 2000, 0 };
            JobTruth truth = job("b" + std::to_string(i), "batch", size, run, i % teamCount, when);
            truth.spec.team = TeamId("t" + std::to_string(i % teamCount)); // Without quotas.
            truth.run = run * std::uniform_real_distribution(0.5, 1.2)(random);
            world.arrive(std::move(truth));
            ++i;
        }
        JobTruth large = job("gang", "gang", { 32000, 32000, 0 }, 300, 0, 1000);
        large.spec.team = TeamId("gang");
        large.spec.tasks = static_cast<std::uint32_t>(workers / 4);
        world.arrive(std::move(large));
        double lost = 0;
        double loadBefore = 0;
        world.runUntil(end, [&](double now) {
            if (now <= 1000)
                loadBefore = largestShare(scheduler.pool().totalReserved(), scheduler.pool().totalCapacity());
            if (now < 1000 || gangStart > 0 || scheduler.queuedTasks() <= static_cast<std::size_t>(workers / 4))
                return;
            for (const WorkerState& worker : scheduler.pool().workers())
                lost += static_cast<double>(minOf(worker.held, worker.room(true)).coresMilli);
        });
        const double wait = gangStart > 0 ? gangStart - 1000 : end - 1000;
        lost /= wait * workers * 32000;
        report({ "gang of a quarter of the cell: load when it arrives", loadBefore * 100, "%", "", true });
        // Bound: budget for the drain (half of 25% for the longest run, 540 s, against 5%) and two drains.
        const double bound = 0.125 * 540 / 0.05 + 2 * 540;
        report({ "gang of a quarter of the cell: wait", wait, "s", "<= " + std::to_string(static_cast<int>(bound)),
            gangStart > 0 && wait <= bound });
        const ReservationStats& stats = scheduler.planner().stats();
        report({ "gang of a quarter of the cell: plans", static_cast<double>(stats.plans), "plans", "", true });
        report({ "gang of a quarter of the cell: pauses", static_cast<double>(stats.pauses), "pauses", "", true });
        report({ "gang of a quarter of the cell: capacity lost", lost * 100, "%", "<= 5", lost <= 0.05 });
    }

    // ---- fair shares and quotas ----

    void fairShares(const BenchOptions& options, const Report& report)
    {
        Random random(options.seed);
        TaskScheduler scheduler;
        Bundle bundle = cellBundle();
        bundle.teams.clear();
        for (int i = 0; i < 3; ++i) {
            TeamPolicy policy;
            policy.id = TeamId("team" + std::to_string(i));
            policy.weight = i + 1;
            bundle.teams[policy.id] = policy;
        }
        scheduler.applyPolicy(bundle);
        addWorkers(scheduler, 30);
        World<TaskScheduler> world(scheduler, options.seed);
        for (int i = 0; i < 30000; ++i)
            world.arrive(
                job("f" + std::to_string(i), "batch", { 1000 + 500 * static_cast<std::int64_t>(random() % 3), 100, 0 },
                    30 + static_cast<double>(random() % 60), i % 3));
        double worst = 0;
        world.runUntil(options.quick ? 200 : 400, [&](double now) {
            std::array<double, 3> cores {};
            if (now < 100)
                return;
            for (const auto& [id, task] : world.running())
                cores[static_cast<std::size_t>(task.truth->spec.team.value.back() - '0')]
                    += static_cast<double>(task.truth->usage.coresMilli);
            const double total = cores[0] + cores[1] + cores[2];
            for (std::size_t t = 0; t < 3; ++t)
                worst = std::max(worst, std::abs(cores[t] / total * 6 / static_cast<double>(t + 1) - 1));
        });
        report({ "fair shares of 3 teams, largest deviation", worst * 100, "%", "<= 5", worst <= 0.05 });
    }

    void giveBack(const BenchOptions& options, const Report& report)
    {
        TaskScheduler scheduler;
        Bundle bundle = cellBundle();
        for (auto& [id, team] : bundle.teams)
            team.coresMilli = 770000LL * 32 / teamCount;
        scheduler.applyPolicy(bundle);
        addWorkers(scheduler, 770);
        World<TaskScheduler> world(scheduler, options.seed);
        std::vector<double> waits;
        world.onStart = [&](const TaskStart&, const JobTruth& truth, double now) {
            if (truth.arrival > 0)
                waits.push_back(now - truth.arrival);
        };
        for (int i = 0; i < 16000; ++i) // One half of the teams borrows the quota of the other half.
            world.arrive(job("a" + std::to_string(i), "batch", { 2000, 100, 0 }, 0, i % (teamCount / 2)));
        const int count = 20 * 110;
        for (int i = 0; i < count; ++i)
            world.arrive(
                job("b" + std::to_string(i), "batch", { 2000, 100, 0 }, 0, teamCount / 2 + i % (teamCount / 2), 10));
        world.runUntil(60, [](double) {});
        scheduler.checkInvariants();
        const double last = waits.empty() ? 60 : *std::max_element(waits.begin(), waits.end());
        report({ "borrowed quota given back, longest wait", last, "s", "<= 30",
            last <= 30 && waits.size() == static_cast<std::size_t>(count) });
        report({ "borrowed quota, tasks that waited for it", static_cast<double>(waits.size()), "tasks", "", true });
    }

    // ---- two bundles ----

    struct BundleResult {
        double workersInUse = 0;
        double largeWaitP99 = 0;
        double largeStarted = 0;
        double worstRack = 0; ///< Most tasks of one service that were started in one rack.
        double hotWorkers = 0; ///< Share of the workers that are reserved to 90% or more.
    };

    BundleResult measureBundle(const PolicyWeights& weights, std::uint64_t seed, bool quick)
    {
        Random random(seed);
        TaskScheduler scheduler;
        Bundle bundle = cellBundle();
        bundle.teams.clear();
        bundle.weights = weights;
        scheduler.applyPolicy(bundle);
        addWorkers(scheduler, 48);
        WorldOptions worldOptions;
        worldOptions.tick = 1;
        World<TaskScheduler> world(scheduler, seed, worldOptions);
        std::vector<double> waits;
        std::map<TargetId, int> serviceRacks;
        BundleResult result;
        std::map<JobId, std::map<int, int>> racks;
        world.onStart = [&](const TaskStart& start, const JobTruth& truth, double now) {
            if (truth.spec.size.coresMilli == 32000)
                waits.push_back(now - truth.arrival);
            if (truth.spec.workload.value == "service")
                result.worstRack = std::max(result.worstRack,
                    static_cast<double>(++racks[start.job][std::stoi(start.worker.value.substr(7)) / 6]));
        };
        const double end = quick ? 600 : 3000;
        const double rate = 0.5 * 48 * 32000 / (1500.0 * 100);
        int i = 0;
        for (double when = 0; when < end; when += std::exponential_distribution(rate)(random)) {
            const Resources size { 500 * (1 + static_cast<std::int64_t>(random() % 5)), 500, 0 };
            world.arrive(job("s" + std::to_string(i), "batch", size,
                std::uniform_real_distribution(10.0, 190.0)(random), i % 20, when));
            if (i % 400 == 399) {
                JobTruth service = job("h" + std::to_string(i), "service", { 500, 500, 0 }, 500, i % 20, when);
                service.spec.tasks = 8;
                world.arrive(std::move(service));
            }
            if (i % 150 == 149)
                world.arrive(job("l" + std::to_string(i), "batch", { 32000, 1000, 0 }, 30, i % 20, when));
            ++i;
        }
        int samples = 0;
        world.runUntil(end, [&](double now) {
            if (now < 200)
                return;
            ++samples;
            for (const WorkerState& worker : scheduler.pool().workers()) {
                result.workersInUse += !worker.tasks.empty();
                result.hotWorkers += worker.reserved.coresMilli >= 28800 ? 1.0 / 48 : 0;
            }
        });
        result.workersInUse /= samples;
        result.hotWorkers /= samples;
        result.largeStarted = static_cast<double>(waits.size());
        result.largeWaitP99 = quantile(waits, 0.99);
        return result;
    }

    void bundles(const BenchOptions& options, const Report& report)
    {
        const BundleResult packed = measureBundle({ 0.5, 4, 0.05 }, options.seed, options.quick);
        const BundleResult spread = measureBundle({ 4, 0.5, 4 }, options.seed, options.quick);
        const auto both = [&](const char* what, double a, double b, const char* unit) {
            report({ std::string("bundle with packing 4: ") + what, a, unit, "", true });
            report({ std::string("bundle with wait 4, spread 4: ") + what, b, unit, "", true });
        };
        both("workers in use of 48", packed.workersInUse, spread.workersInUse, "workers");
        both("workers reserved to 90%", packed.hotWorkers * 100, spread.hotWorkers * 100, "%");
        both("wait of whole-worker tasks p99", packed.largeWaitP99, spread.largeWaitP99, "s");
        both("whole-worker tasks started", packed.largeStarted, spread.largeStarted, "tasks");
        both("most tasks of a service started in a rack", packed.worstRack, spread.worstRack, "tasks");
        report({ "workers in use, second bundle against first", spread.workersInUse / packed.workersInUse, "times",
            ">= 1.1", spread.workersInUse >= 1.1 * packed.workersInUse });
    }

    const Registration decisionsRegistration("task-decisions", decisions);
    const Registration urgentRegistration("task-urgent", urgent);
    const Registration packingRegistration("task-packing", packing);
    const Registration gangRegistration("task-gang", gang);
    const Registration fairRegistration("task-fair-shares", fairShares);
    const Registration giveBackRegistration("task-give-back", giveBack);
    const Registration bundlesRegistration("task-bundles", bundles);

} // namespace

} // namespace sp::bench
