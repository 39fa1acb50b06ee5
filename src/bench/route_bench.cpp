/** @file route_bench.cpp Compares ways to choose a slot shard: several selectors, loads announced now and then. */
#include "bench/bench_func.h"
#include "bench/slot_sim.h"
#include "shard_selector.h"

#include <array>
#include <memory>

namespace sp::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr int dataCentres = 4;
    constexpr int shardsPerCentre = 2;
    constexpr int shards = dataCentres * shardsPerCentre;
    constexpr int hostsPerCentre = 2; ///< Each is a selector; the first two shards of a centre have one owner each.
    constexpr int hosts = dataCentres * hostsPerCentre;
    constexpr int instancesPerShard = 12;
    constexpr std::uint32_t slotsPerShard = instancesPerShard * 8;
    constexpr Duration nearTrip = 500us;
    constexpr Duration farTrip = 1500us;
    constexpr Time startOfRun = Time(1h);
    constexpr Duration warmUp = 3s; ///< Until each pool has learned its run time; not measured.

    /** Cell of schedulers with a pool for each shard. */
    class RouteSim {
    public:
        RouteSim(const ShardPicker& picker, double load, Duration runTime, std::uint64_t seed)
            : m_random(seed)
            , m_load(load)
            , m_runTime(runTime)
        {
            for (int shard = 0; shard < shards; ++shard) {
                m_pools.push_back(std::make_unique<SlotPool>());
                m_pools.back()->applyPolicy(simBundle());
                fillPool(*m_pools.back(), instancesPerShard, 8);
            }
            for (int host = 0; host < hosts; ++host)
                m_selectors.push_back(std::make_unique<ShardSelector>(seed + static_cast<std::uint64_t>(host), picker));
        }

        void run(Duration length)
        {
            m_end = startOfRun + length;
            for (int shard = 0; shard < shards; ++shard) {
                at(startOfRun + shard * 31ms, [this, shard] { announce(shard, true); });
                at(startOfRun + shard * 31ms, [this, shard] { announce(shard, false); });
            }
            for (int centre = 0; centre < dataCentres; ++centre)
                at(startOfRun + 1s, [this, centre] { arrive(centre); });
            while (!m_events.empty()) {
                const auto event = m_events.top();
                m_events.pop();
                m_now = event.time;
                (*event.action)();
            }
        }

        double p99() { return quantileMs(m_waits, 0.99); }
        double p50() { return quantileMs(m_waits, 0.5); }
        double refusedPercent() const
        {
            return 100 * m_refused / std::max(1.0, m_refused + static_cast<double>(m_waits.size()));
        }
        double farPercent() const { return 100 * m_far / std::max(1.0, m_sent); }

    private:
        struct Event {
            Time time;
            std::uint64_t number;
            std::shared_ptr<std::function<void()>> action;
            bool operator>(const Event& other) const
            {
                return std::tie(time, number) > std::tie(other.time, other.number);
            }
        };

        void at(Time time, std::function<void()> action)
        {
            m_events.push({ time, ++m_number, std::make_shared<std::function<void()>>(std::move(action)) });
        }

        static int centreOfShard(int shard) { return shard / shardsPerCentre; }
        static int centreOfHost(int host) { return host / hostsPerCentre; }
        static Duration trip(int host, int shard)
        {
            if (host == shard)
                return Duration::zero(); // Host k owns shard k.
            return centreOfHost(host) == centreOfShard(shard) ? nearTrip : farTrip;
        }

        /** Sends the load of a shard to the hosts of its centre every 250 ms, to the others every 1 s. */
        void announce(int shard, bool near)
        {
            ShardLoad load;
            load.shard = ShardId(std::to_string(shard));
            load.level = HoldLevel::Store;
            load.slots = m_pools[static_cast<std::size_t>(shard)]->load("s", m_now);
            for (int host = 0; host < hosts; ++host) {
                const bool same = centreOfHost(host) == centreOfShard(shard);
                if (same != near)
                    continue;
                const Duration roundTrip = trip(host, shard);
                at(m_now + roundTrip / 2, [this, load, host, roundTrip, same] {
                    m_selectors[static_cast<std::size_t>(host)]->loadReported(
                        HostId(load.shard.value), load, "s", roundTrip, same, m_now);
                });
            }
            if (m_now < m_end)
                at(m_now + (near ? Duration(250ms) : Duration(1s)), [this, shard, near] { announce(shard, near); });
        }

        /** Requests of a centre; every 2 s the demand peak is in another centre, with twice the demand of the rest. */
        void arrive(int centre)
        {
            const auto peak = static_cast<int>((m_now - startOfRun) / 2s) % dataCentres;
            const double part = (centre == peak ? 2.0 : 1.0) / (dataCentres + 1.0);
            const double rate = m_load * shards * slotsPerShard / (inMs(m_runTime) / 1000) * part;
            const int host = centre * hostsPerCentre + static_cast<int>(m_random() % hostsPerCentre);
            route(host);
            const Time next = m_now + fromSeconds(std::exponential_distribution<double>(rate)(m_random));
            if (next < m_end)
                at(next, [this, centre] { arrive(centre); });
        }

        void route(int host)
        {
            const Time arrivedAt = m_now;
            ++m_sent;
            const auto choice = m_selectors[static_cast<std::size_t>(host)]->choose("s", m_now);
            if (!choice) {
                m_refused += arrivedAt > startOfRun + warmUp ? 1 : 0;
                return;
            }
            const int shard = std::stoi(choice->shard.value);
            m_far += centreOfShard(shard) != centreOfHost(host) ? 1 : 0;
            const std::string id = std::to_string(++m_number);
            const std::string caller = "c" + std::to_string(m_random() % 20);
            at(m_now + trip(host, shard) / 2, [this, id, caller, shard, arrivedAt] {
                const PromptWork work { RequestId(id), CallerId(caller), TeamId(caller), WorkloadId("w"),
                    arrivedAt + 2s, m_now };
                m_waiting[work.id] = arrivedAt;
                decide(shard, m_pools[static_cast<std::size_t>(shard)]->admit(work, m_now));
            });
        }

        void decide(int shard, const SlotDecision& decision)
        {
            if (decision.kind == SlotDecision::Kind::Queue)
                return;
            const auto it = m_waiting.find(decision.id);
            const Time arrivedAt = it->second;
            m_waiting.erase(it);
            if (decision.kind == SlotDecision::Kind::Refuse) {
                m_refused += arrivedAt > startOfRun + warmUp ? 1 : 0;
                return;
            }
            if (arrivedAt > startOfRun + warmUp)
                m_waits.push_back(inMs(m_now - arrivedAt));
            const Duration length = std::max(
                Duration(1000), fromSeconds(std::exponential_distribution<double>(1000 / inMs(m_runTime))(m_random)));
            at(m_now + length, [this, shard, id = decision.id] {
                SlotPool& pool = *m_pools[static_cast<std::size_t>(shard)];
                pool.release(id, SlotRelease::Answered, m_now);
                for (const SlotDecision& next : pool.dispatch(m_now))
                    decide(shard, next);
            });
        }

        std::mt19937_64 m_random;
        double m_load;
        Duration m_runTime; ///< Mean; the distribution is exponential.
        Time m_now = startOfRun;
        Time m_end {};
        std::uint64_t m_number = 0;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::vector<std::unique_ptr<SlotPool>> m_pools;
        std::vector<std::unique_ptr<ShardSelector>> m_selectors;
        std::unordered_map<RequestId, Time> m_waiting;
        std::vector<double> m_waits;
        double m_refused = 0;
        double m_sent = 0;
        double m_far = 0;
    };

    void compare(double load, Duration runTime, const BenchOptions& options, const Report& report)
    {
        const std::array<std::pair<const char*, ShardPicker>, 4> pickers { {
            { "random", pickRandom },
            { "least loaded", pickLeastLoaded },
            { "power of two", pickPowerOfTwo },
            { "chosen", pickShortestWait },
        } };
        double best = HUGE_VAL;
        for (const auto& [label, picker] : pickers) {
            RouteSim sim(picker, load, runTime, options.seed);
            sim.run(options.quick ? 5s : 20s);
            const std::string name = "route, " + std::to_string(toMs(runTime)) + " ms, load "
                + std::to_string(static_cast<int>(load * 100)) + "%, " + label;
            const double p99 = sim.p99();
            const bool chosen = std::string(label) == "chosen";
            report({ name + ": p99 wait", p99, "ms", chosen ? "<= baselines" : "", !chosen || p99 <= best });
            report({ name + ": p50 wait", sim.p50(), "ms", "", true });
            report({ name + ": refused", sim.refusedPercent(), "%", "", true });
            report({ name + ": sent to another data centre", sim.farPercent(), "%", "", true });
            best = std::min(best, p99);
        }
    }

    void benchRouting(const BenchOptions& options, const Report& report)
    {
        for (const Duration runTime : { Duration(20ms), Duration(200ms) }) {
            for (const double load : { 0.5, 0.8, 0.95 })
                compare(load, runTime, options, report);
        }
    }

    /** Cost of one choice among the shards of eight data centres. */
    void benchChoice(const BenchOptions& options, const Report& report)
    {
        ShardSelector selector(options.seed);
        for (int i = 0; i < 16; ++i) {
            ShardLoad load;
            load.shard = ShardId("dc" + std::to_string(i / 2) + ".slots." + std::to_string(i % 2));
            load.level = HoldLevel::Store;
            load.slots = { 50, 100, 0, {}, 1ms };
            selector.loadReported(HostId("h" + std::to_string(i)), load, "s", 1ms, i < 2, startOfRun);
        }
        const int count = options.quick ? 10000 : 500000;
        const Time begin = BootClock::now();
        for (int i = 0; i < count; ++i)
            selector.choose("s", startOfRun + std::chrono::microseconds(i));
        const double rate = count / (inMs(BootClock::now() - begin) / 1000);
        report({ "route: choices per second, 16 shards", rate, "1/s", ">= 20000", rate >= 20000 });
    }

    const Registration routing("slots.route", benchRouting);
    const Registration choice("slots.route_cost", benchChoice);

} // namespace

} // namespace sp::bench
