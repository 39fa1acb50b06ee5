/** @file load_plan.h Arrivals of a workload file: the same file and seed give the same arrivals. */
#pragma once

#include "bundle_type.h"
#include "ini_text.h"
#include "resource_type.h"
#include "work_payload.h"

#include <optional>
#include <random>

namespace sp::load {

/** Distribution of true run times. */
enum class RunTimes : std::uint8_t { Fixed, Exponential, LongShare };

/** Section `[work NAME]`. */
struct WorkSpec {
    std::string name;
    WorkClass workClass = WorkClass::Prompt;
    std::string workload;
    double weight = 1;
    std::size_t payloadMin = 200;
    std::size_t payloadMax = 200;
    std::uint32_t answerBytes = 0;
    std::chrono::milliseconds runTime { 20 };
    RunTimes runTimes = RunTimes::Fixed;
    double longShare = 0;
    double longFactor = 100;
    std::uint32_t tasksMin = 1;
    std::uint32_t tasksMax = 1;
    Resources size; ///< True size of a task.
    double declaredFactor = 1;
    std::chrono::milliseconds holdTime { 0 };
    double cancelShare = 0;
    std::chrono::milliseconds cancelAfter { 0 };
    double failShare = 0;
    double keyedShare = 0;
    bool once = false;
    std::chrono::milliseconds deadline { 0 };
};

/** One of the two streams of arrivals within a phase. */
struct StreamSpec {
    double rate = 0; ///< Arrivals a second at the start of the phase.
    double rateEnd = 0; ///< At its end; linear between.
    std::vector<std::size_t> work; ///< Indices of the kinds of work.
};

/** Section `[phase NAME]`. */
struct PhaseSpec {
    std::string name;
    Duration start { 0 };
    Duration duration { 0 };
    StreamSpec prompts;
    StreamSpec jobs;
};

/** A workload file in its parsed form. */
struct LoadSpec {
    std::uint64_t seed = 1;
    std::chrono::milliseconds rtt { 0 };
    unsigned connections = 256;
    unsigned callers = 20;
    std::chrono::milliseconds settle { 0 };
    std::vector<WorkSpec> work;
    std::vector<PhaseSpec> phases;

    Duration duration() const;
};

/** One request or job. */
struct Arrival {
    Duration at { 0 }; ///< From the start of the load.
    std::size_t phase = 0;
    std::size_t work = 0;
    std::string uid;
    std::string caller;
    bool isKeyed = false;
    std::string payload;
    std::uint32_t tasks = 1;
    Resources declared; ///< Declared size of each task.
    std::chrono::milliseconds declaredRunTime { 0 };
    std::optional<Duration> cancelAfter;
};

LoadSpec parseLoadSpec(Ini& ini);

/** Draws the arrivals in the order of their times. */
class LoadPlan {
public:
    LoadPlan(const LoadSpec& spec, std::string uidPrefix);
    std::optional<Arrival> next();

private:
    /** Position of one stream. */
    struct Stream {
        StreamSpec PhaseSpec::*member = nullptr;
        std::mt19937_64 random;
        std::size_t phase = 0;
        Duration at { 0 };
        bool isEnded = false;
    };

    void advance(Stream& stream);
    Arrival make(Stream& stream);
    void drawRun(Arrival& arrival, WorkPayload& payload, const WorkSpec& work, Stream& stream);
    void drawDeclared(Arrival& arrival, WorkPayload& payload, const WorkSpec& work, Stream& stream);

    LoadSpec m_spec;
    std::string m_uidPrefix;
    std::uint64_t m_number = 0;
    Stream m_prompts;
    Stream m_jobs;
};

} // namespace sp::load
