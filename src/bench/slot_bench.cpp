/** @file slot_bench.cpp Measures the policies of one slot shard: overload, short behind long, ageing, cancellation. */
#include "bench/bench_func.h"
#include "bench/slot_sim.h"
#include "log_func.h"

namespace sp::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr Time startOfRun = Time(1h);

    /** Request of a random caller; the run time is exponential around its mean. */
    SimRequest makeRequest(std::uint64_t number, Time now, const std::string& caller, Duration mean, Duration deadline,
        std::mt19937_64& random)
    {
        std::exponential_distribution<double> spread(1);
        SimRequest request;
        request.work = { RequestId("r" + std::to_string(number)), CallerId(caller), TeamId("t" + caller.substr(0, 2)),
            WorkloadId("w"), now + deadline, now };
        request.runTime = std::max(Duration(1000), fromSeconds(spread(random) * inMs(mean) / 1000));
        return request;
    }

    /** Time until the next arrival of a Poisson process. */
    Duration gap(double perSecond, std::mt19937_64& random)
    {
        return fromSeconds(std::exponential_distribution<double>(perSecond)(random));
    }

    // ---- Overload ----

    /** Load of the swing as a share of the slots: 20%, to 150% within a second, for 10 s, and back. */
    double swingLoad(Duration sinceStart)
    {
        const double s = inMs(sinceStart) / 1000;
        if (s < 10 || s >= 21)
            return 0.2;
        return s < 11 ? 0.2 + 1.3 * (s - 10) : 1.5;
    }

    constexpr Duration swingEnd = 21s;

    /** Results of the swing. */
    struct Swing {
        std::vector<double> waits; ///< Of requests started that arrived from the ramp to the end of the peak.
        std::vector<double> after; ///< Of requests that arrived later than 2 s after the peak.
        std::vector<double> before; ///< Of requests that arrived before the ramp.
        double served = 0; ///< Slot time in seconds within the peak, of work that met its deadline.
        double refusalDelay = 0; ///< Longest time from arrival to refusal in milliseconds.
        double refusals = 0;
        double arrivals = 0;
        double lastWaitAfterPeak = 0; ///< Time after the peak of the last arrival that waited over 5 ms, in seconds.
    };

    void noteSwing(Swing& swing, const SimResult& result)
    {
        const Duration arrival = result.request.work.arrivedAt - startOfRun;
        ++swing.arrivals;
        if (!result.startedAt) {
            ++swing.refusals;
            swing.refusalDelay = std::max(swing.refusalDelay, inMs(result.decidedAt - result.request.work.arrivedAt));
            return;
        }
        const double wait = inMs(*result.startedAt - result.request.work.arrivedAt);
        if (arrival < 10s)
            swing.before.push_back(wait);
        else if (arrival < swingEnd)
            swing.waits.push_back(wait);
        else if (arrival >= swingEnd + 2s)
            swing.after.push_back(wait);
        if (arrival >= swingEnd && wait > 5)
            swing.lastWaitAfterPeak = std::max(swing.lastWaitAfterPeak, inMs(arrival - swingEnd) / 1000);
        const Time end = *result.startedAt + result.request.runTime;
        if (end <= result.request.work.deadline) {
            const Time from = std::max(*result.startedAt, startOfRun + 11s);
            const Time to = std::min(end, startOfRun + swingEnd);
            swing.served += std::max(0.0, inMs(to - from) / 1000);
        }
    }

    template <typename Pool>
    Swing runSwing(Pool& pool, std::uint32_t slots, std::uint64_t callers, Duration mean, std::uint64_t seed)
    {
        Swing swing;
        std::mt19937_64 random(seed);
        std::uint64_t number = 0;
        Time now = startOfRun;
        SlotSim<Pool> sim(pool, [&](const SimResult& result) { noteSwing(swing, result); });
        sim.run([&]() -> std::optional<SimRequest> {
            now += gap(swingLoad(now - startOfRun) * slots / (inMs(mean) / 1000), random);
            if (now - startOfRun > 26s)
                return std::nullopt;
            const auto caller = std::min(random() % callers, random() % callers); // The first callers send most.
            return makeRequest(++number, now, "c" + std::to_string(caller), mean, 2s, random);
        });
        return swing;
    }

    /** Load swing with a number of callers, of whom the first send most. */
    void overloadWith(std::uint64_t callers, Duration mean, const BenchOptions& options, const Report& report)
    {
        const int instances = options.quick ? 10 : 50;
        const std::uint32_t slots = static_cast<std::uint32_t>(instances) * 8;
        const std::string name
            = "overload, " + std::to_string(callers) + " callers, " + std::to_string(toMs(mean)) + " ms: ";
        SlotPool pool;
        pool.applyPolicy(simBundle());
        fillPool(pool, instances, 8);
        Swing swing = runSwing(pool, slots, callers, mean, options.seed);
        const double p99 = quantileMs(swing.waits, 0.99);
        report({ name + "p99 wait", p99, "ms", "<= 200", p99 <= 200 });
        const double goodput = 100 * swing.served / (slots * 10.0);
        report({ name + "goodput", goodput, "%", ">= 95", goodput >= 95 });
        report({ name + "slowest refusal", swing.refusalDelay, "ms", "<= 5", swing.refusalDelay <= 5 });
        const double last = swing.lastWaitAfterPeak;
        report({ name + "normal again", last, "s", "<= 2", last <= 2 });
        report({ name + "p99 wait before", quantileMs(swing.before, 0.99), "ms", "", true });
        report({ name + "p99 wait after", quantileMs(swing.after, 0.99), "ms", "", true });
        report({ name + "refused", 100 * swing.refusals / swing.arrivals, "%", "", true });
        FifoPool fifo(slots);
        Swing base = runSwing(fifo, slots, callers, mean, options.seed);
        report({ name + "FIFO p99 wait", quantileMs(base.waits, 0.99), "ms", "", true });
        report({ name + "FIFO goodput", 100 * base.served / (slots * 10.0), "%", "", true });
    }

    void benchOverload(const BenchOptions& options, const Report& report)
    {
        overloadWith(20, 50ms, options, report);
        overloadWith(1, 50ms, options, report);
        overloadWith(1000, 50ms, options, report);
        overloadWith(20, 200ms, options, report);
    }

    // ---- Short behind long ----

    constexpr Duration shortMean = 20ms;
    constexpr Duration longMean = 2s; ///< 100 times longer.
    constexpr int shortGroup = 0;
    constexpr int longGroup = 1;

    /** Load of the experiment. */
    struct Mix {
        std::uint32_t slots = 200;
        double perSecond = 0;
        double longShare = 0;
        bool ownCallers = true; ///< Long work comes from callers of its own; otherwise no caller tells it.
        Duration length = 120s;
    };

    struct MixResult {
        double shortP99 = 0;
        double longP99 = 0;
        double refusedShort = 0; ///< Percent.
        double refusedLong = 0; ///< Percent.
    };

    template <typename Pool> MixResult runMix(Pool& pool, const Mix& mix, std::uint64_t seed)
    {
        std::vector<double> waits[2];
        double refused[2] = { 0, 0 };
        const Time measureFrom = startOfRun + mix.length / 4; // Learning and filling up are left out.
        SlotSim<Pool> sim(pool, [&](const SimResult& result) {
            const SimRequest& request = result.request;
            if (request.work.arrivedAt < measureFrom)
                return;
            if (result.startedAt)
                waits[request.group].push_back(inMs(*result.startedAt - request.work.arrivedAt));
            else
                ++refused[request.group];
        });
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::uint64_t number = 0;
        Time now = startOfRun;
        sim.run([&]() -> std::optional<SimRequest> {
            now += gap(mix.perSecond, random);
            if (now - startOfRun > mix.length)
                return std::nullopt;
            const bool isLong = uniform(random) < mix.longShare;
            const std::string caller
                = isLong && mix.ownCallers ? "l" + std::to_string(random() % 2) : "c" + std::to_string(random() % 20);
            SimRequest request
                = makeRequest(++number, now, caller, isLong ? longMean : shortMean, isLong ? 60s : 2s, random);
            request.group = isLong ? longGroup : shortGroup;
            return request;
        });
        const auto percent = [&](int group) {
            return 100 * refused[group] / std::max(1.0, refused[group] + static_cast<double>(waits[group].size()));
        };
        return { quantileMs(waits[0], 0.99), quantileMs(waits[1], 0.99), percent(0), percent(1) };
    }

    MixResult runChosen(const Mix& mix, std::uint64_t seed)
    {
        SlotPool pool;
        pool.applyPolicy(simBundle([](WorkloadPolicy& policy) { policy.longThreshold = 200ms; }));
        fillPool(pool, static_cast<int>(mix.slots / 8), 8);
        return runMix(pool, mix, seed);
    }

    MixResult runFifo(const Mix& mix, std::uint64_t seed)
    {
        FifoPool pool(mix.slots);
        return runMix(pool, mix, seed);
    }

    void reportMix(const std::string& name, const MixResult& with, double without, const Report& report)
    {
        const double ratio = without > 0 ? with.shortP99 / without : with.shortP99 > 0 ? HUGE_VAL : 1;
        report({ name + ": short p99 wait", with.shortP99, "ms", "", true });
        report({ name + ": ratio to the load without long", ratio, "times", "<= 2", ratio <= 2 });
        report({ name + ": short refused", with.refusedShort, "%", "", true });
        report({ name + ": long p99 wait", with.longP99, "ms", "", true });
        report({ name + ": long refused", with.refusedLong, "%", "", true });
    }

    void benchShortBehindLong(const BenchOptions& options, const Report& report)
    {
        Mix mix;
        mix.length = options.quick ? 20s : 120s;
        const double load = 0.9;
        const double mixedMean = 0.98 * 0.02 + 0.02 * 2; // Seconds.
        Mix same = mix; // The same load of the slots, all of it short.
        same.perSecond = load * mix.slots / 0.02;
        const MixResult without = runChosen(same, options.seed);
        report({ "short/long: p99 wait, 90% load, all short", without.shortP99, "ms", "", true });
        report(
            { "short/long: FIFO p99 wait, 90% load, all short", runFifo(same, options.seed).shortP99, "ms", "", true });
        mix.longShare = 0.02;
        mix.perSecond = load * mix.slots / mixedMean;
        Mix alone = mix; // The same short arrivals, nothing else.
        alone.longShare = 0;
        alone.perSecond *= 0.98;
        report({ "short/long: p99 wait, the short arrivals alone", runChosen(alone, options.seed).shortP99, "ms", "",
            true });
        reportMix("short/long", runChosen(mix, options.seed), without.shortP99, report);
        const MixResult fifo = runFifo(mix, options.seed);
        report({ "short/long: FIFO short p99 wait", fifo.shortP99, "ms", "", true });
        mix.ownCallers = false;
        reportMix("short/long, callers mixed", runChosen(mix, options.seed), without.shortP99, report);
        report(
            { "short/long, callers mixed: FIFO short p99 wait", runFifo(mix, options.seed).shortP99, "ms", "", true });
    }

    // ---- Ageing ----

    /** Longest wait of heavy work while short work alone asks for 120% of the slots. */
    void heavyUnderLoad(const std::string& name, double heavyLoad, std::uint32_t queueLimit,
        const BenchOptions& options, const Report& report)
    {
        constexpr std::chrono::milliseconds maxWait = 10s;
        const std::uint32_t slots = 200;
        SlotPool pool;
        pool.applyPolicy(simBundle([&](WorkloadPolicy& policy) {
            policy.longThreshold = 200ms;
            policy.maxWait = maxWait;
            policy.queueLimit = queueLimit;
        }));
        fillPool(pool, slots / 8, 8);
        double longest = 0;
        double heavies = 0;
        double refused = 0;
        SlotSim<SlotPool> sim(pool, [&](const SimResult& result) {
            if (result.request.group != longGroup)
                return;
            ++heavies;
            refused += result.startedAt ? 0 : 1;
            longest = std::max(longest, inMs(result.decidedAt - result.request.work.arrivedAt));
        });
        std::mt19937_64 random(options.seed);
        const double shortRate = 1.2 * slots / 0.02;
        const double heavyRate = heavyLoad * slots / 2;
        std::uint64_t number = 0;
        Time now = startOfRun;
        sim.run([&]() -> std::optional<SimRequest> {
            now += gap(shortRate + heavyRate, random);
            if (now - startOfRun > (options.quick ? 20s : 60s))
                return std::nullopt;
            const bool heavy = std::bernoulli_distribution(heavyRate / (shortRate + heavyRate))(random);
            const std::string caller = heavy ? "heavy" : "c" + std::to_string(random() % 20);
            SimRequest request
                = makeRequest(++number, now, caller, heavy ? longMean : shortMean, heavy ? 600s : 2s, random);
            request.group = heavy ? longGroup : shortGroup;
            return request;
        });
        const double bound = inMs(maxWait) + inMs(longMean);
        report({ name + ": longest wait of heavy work", longest, "ms", "<= 12000", longest <= bound });
        report({ name + ": heavy work refused", 100 * refused / std::max(1.0, heavies), "%", "", true });
    }

    void benchHeavy(const BenchOptions& options, const Report& report)
    {
        heavyUnderLoad("ageing, heavy 10% of the slots", 0.1, 1000, options, report);
        heavyUnderLoad("ageing, heavy 80% of the slots", 0.8, 1000, options, report);
        heavyUnderLoad("ageing, heavy 80%, queue_limit 100,000", 0.8, 100000, options, report);
    }

    // ---- Cost ----

    double wallMs(Time since) { return inMs(BootClock::now() - since); }

    /** Prompt work that comes and goes on its own service while requests of another one are cancelled. */
    void benchCancel(const BenchOptions& options, const Report& report)
    {
        const int count = options.quick ? 10000 : 100000;
        const int batch = 256;
        SlotPool pool;
        Bundle bundle = simBundle([](WorkloadPolicy& policy) { policy.queueLimit = 1000000; });
        WorkloadPolicy prompt = bundle.workloads.begin()->second;
        prompt.id = WorkloadId("p");
        prompt.service = "p";
        bundle.workloads[prompt.id] = prompt;
        pool.applyPolicy(bundle);
        fillPool(pool, 1, 8);
        InstanceInfo info;
        info.id = TargetId("p");
        info.service = "p";
        info.slots = 8;
        pool.putInstance(info);
        pool.setUsable(info.id, true);
        const auto request = [](const std::string& id, int caller, const char* workload) {
            return PromptWork { RequestId(id), CallerId("c" + std::to_string(caller)), TeamId("t"),
                WorkloadId(workload), startOfRun + 10min, startOfRun };
        };
        for (int i = 0; i < 64; ++i) { // Learns a run time of 1 ms, or the pool expects too long a wait to queue them.
            pool.admit(request("l", 0, "w"), startOfRun);
            pool.release(RequestId("l"), SlotRelease::Answered, startOfRun + 1ms);
        }
        for (int i = 0; i < count; ++i)
            pool.admit(request("w" + std::to_string(i), i % 50, "w"), startOfRun);
        report({ "cancel: requests waiting", static_cast<double>(pool.queued()), "", "", true });
        std::vector<double> quiet;
        std::vector<double> busy;
        constexpr int quietCount = 2000;
        quiet.reserve(quietCount);
        const auto promptMs = [&](int i) {
            const PromptWork work = request("p" + std::to_string(i), i % 50, "p");
            const Time begin = BootClock::now();
            pool.admit(work, startOfRun);
            pool.dispatch(startOfRun);
            pool.release(work.id, SlotRelease::Answered, startOfRun);
            return wallMs(begin);
        };
        for (int i = 0; i < quietCount; ++i)
            quiet.push_back(promptMs(i));
        std::vector<RequestId> ids;
        ids.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            ids.emplace_back("w" + std::to_string(i));
        double total = 0;
        for (int i = 0; i < count;) {
            const Time begin = BootClock::now();
            for (int end = std::min(count, i + batch); i < end; ++i)
                pool.cancelQueued(ids[static_cast<std::size_t>(i)]);
            const double cancelled = wallMs(begin);
            total += cancelled;
            busy.push_back(
                cancelled + promptMs(quietCount + i)); // A prompt request that came with the batch waits for it.
        }
        report({ "cancel: time of all cancellations", total, "ms", "<= 1000", total <= 1000 });
        const double before = quantileMs(quiet, 0.99);
        const double during = quantileMs(busy, 0.99);
        report({ "cancel: p99 of a prompt decision before", before, "ms", "", true });
        report({ "cancel: p99 behind a batch of 256", during, "ms", "", true });
        report({ "cancel: added delay", during - before, "ms", "<= 1", during - before <= 1 });
    }

    /** Decisions per second of CPU time: arrivals and releases at 150% load, with the text of the log line. */
    void decisionRate(int instances, const BenchOptions& options, const Report& report)
    {
        const std::uint32_t slots = static_cast<std::uint32_t>(instances) * 8;
        SlotPool pool;
        pool.applyPolicy(simBundle());
        fillPool(pool, instances, 8);
        std::mt19937_64 random(options.seed);
        std::deque<RequestId> running;
        std::vector<PromptWork> work;
        const int count = options.quick ? 20000 : 300000;
        const double perSecond = 1.5 * slots / 0.05;
        Time now = startOfRun;
        for (int i = 0; i < count; ++i) {
            now += gap(perSecond, random);
            work.push_back(makeRequest(static_cast<std::uint64_t>(i), now,
                std::to_string(10 + random() % 90) + "/" + std::to_string(random() % 10), 50ms, 2s, random)
                               .work);
        }
        std::uint64_t decisions = 0;
        const auto log = [&](const SlotDecision& decision) {
            ++decisions;
            logInfo(LogPart::Route, decision.id.value + " " + decision.target.value + " " + decision.reason);
            if (decision.kind == SlotDecision::Kind::Run)
                running.push_back(decision.id);
        };
        std::vector<double> times;
        const Time begin = BootClock::now();
        double credit = 0;
        for (const PromptWork& request : work) {
            const Time before = BootClock::now();
            log(pool.admit(request, request.arrivedAt));
            for (credit += 1 / 1.5; credit >= 1 && running.size() >= slots; credit -= 1) {
                pool.release(running.front(), SlotRelease::Answered, request.arrivedAt);
                running.pop_front();
            }
            for (const SlotDecision& decision : pool.dispatch(request.arrivedAt))
                log(decision);
            times.push_back(wallMs(before));
        }
        const double rate = static_cast<double>(decisions) / (wallMs(begin) / 1000);
        const std::string name = "decisions, " + std::to_string(instances) + " instances";
        report({ name + ": rate on one core", rate, "1/s", ">= 20000", rate >= 20000 });
        const double p99 = quantileMs(times, 0.99);
        report({ name + ": p99 of one", p99, "ms", "<= 1", p99 <= 1 });
    }

    void benchDecisions(const BenchOptions& options, const Report& report)
    {
        decisionRate(50, options, report);
        decisionRate(1000, options, report);
    }

    const Registration overload("slots.overload", benchOverload);
    const Registration shortLong("slots.short_long", benchShortBehindLong);
    const Registration heavy("slots.ageing", benchHeavy);
    const Registration cancel("slots.cancel", benchCancel);
    const Registration decisions("slots.decisions", benchDecisions);

} // namespace

} // namespace sp::bench
