#include "load/load_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sp::load {

namespace {

    double uniform(std::mt19937_64& random, double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

    WorkClass parseClass(const std::string& name)
    {
        if (name == "batch")
            return WorkClass::Batch;
        if (name == "gang")
            return WorkClass::Gang;
        if (name == "hold")
            return WorkClass::Hold;
        return WorkClass::Prompt;
    }

    WorkSpec parseWork(const Ini& ini, const std::string& name)
    {
        const auto integer = [&](const char* key) { return ini.integer("work", name, key); };
        const auto real = [&](const char* key) { return ini.real("work", name, key); };
        WorkSpec work;
        work.name = name;
        work.workClass = parseClass(ini.text("work", name, "class"));
        work.workload = ini.text("work", name, "workload");
        work.weight = real("weight");
        work.payloadMin = static_cast<std::size_t>(integer("payload_bytes"));
        work.payloadMax = std::max(work.payloadMin, static_cast<std::size_t>(integer("payload_bytes_max")));
        work.answerBytes = static_cast<std::uint32_t>(integer("answer_bytes"));
        work.runTime = std::chrono::milliseconds(integer("run_time_ms"));
        if (const std::string kind = ini.text("work", name, "distribution"); kind == "exponential")
            work.runTimes = RunTimes::Exponential;
        else if (kind == "long_share")
            work.runTimes = RunTimes::LongShare;
        work.longShare = real("long_share");
        work.longFactor = real("long_factor");
        work.tasksMin = static_cast<std::uint32_t>(integer("tasks"));
        work.tasksMax = std::max(work.tasksMin, static_cast<std::uint32_t>(integer("tasks_max")));
        work.size = { integer("cores_milli"), integer("memory_mb"), integer("accelerators") };
        work.declaredFactor = real("declared_factor");
        work.holdTime = ini.span("work", name, "hold_time");
        work.cancelShare = real("cancel_share");
        work.cancelAfter = ini.span("work", name, "cancel_after");
        work.failShare = real("fail_share");
        work.keyedShare = real("keyed_share");
        work.once = ini.flag("work", name, "once");
        work.deadline = ini.span("work", name, "deadline");
        return work;
    }

    StreamSpec parseStream(const Ini& ini, const std::string& phase, const std::string& key)
    {
        StreamSpec stream;
        stream.rate = ini.real("phase", phase, key);
        stream.rateEnd
            = ini.isGiven("phase", phase, key + "_end") ? ini.real("phase", phase, key + "_end") : stream.rate;
        return stream;
    }

    Duration seconds(double amount)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(amount));
    }

} // namespace

/** @return Length of all phases together. */
Duration LoadSpec::duration() const
{
    return phases.empty() ? Duration(0) : phases.back().start + phases.back().duration;
}

/** Reads a workload file; what is wrong is added to the problems of the text. @param ini Text. @return Specification.
 */
LoadSpec parseLoadSpec(Ini& ini)
{
    LoadSpec spec;
    spec.seed = static_cast<std::uint64_t>(ini.integer("load", "", "seed"));
    spec.rtt = ini.span("load", "", "rtt");
    spec.connections = static_cast<unsigned>(ini.integer("load", "", "connections"));
    spec.callers = static_cast<unsigned>(ini.integer("load", "", "callers"));
    spec.settle = ini.span("load", "", "settle");
    for (const std::string& name : ini.sectionNames("work"))
        spec.work.push_back(parseWork(ini, name));
    Duration start { 0 };
    for (const std::string& name : ini.sectionNames("phase")) {
        PhaseSpec phase { name, start, ini.span("phase", name, "duration"), parseStream(ini, name, "prompt_rate"),
            parseStream(ini, name, "job_rate") };
        start += phase.duration;
        const std::vector<std::string> wanted = ini.list("phase", name, "work");
        std::set<std::string> found;
        for (std::size_t i = 0; i < spec.work.size(); ++i) {
            const auto it = std::find(wanted.begin(), wanted.end(), spec.work[i].name);
            if (!wanted.empty() && it == wanted.end())
                continue;
            (spec.work[i].workClass == WorkClass::Prompt ? phase.prompts : phase.jobs).work.push_back(i);
            if (it != wanted.end())
                found.insert(*it);
        }
        if (found.size() < wanted.size())
            ini.addProblem("phase " + name, "work", "names work that has no section", "names of [work NAME] sections");
        if (std::max(phase.prompts.rate, phase.prompts.rateEnd) > 0 && phase.prompts.work.empty())
            ini.addProblem(
                "phase " + name, "prompt_rate", "no prompt work in this phase", "a [work NAME] of its class");
        if (std::max(phase.jobs.rate, phase.jobs.rateEnd) > 0 && phase.jobs.work.empty())
            ini.addProblem("phase " + name, "job_rate", "no job in this phase", "a [work NAME] of its class");
        spec.phases.push_back(std::move(phase));
    }
    if (spec.phases.empty())
        ini.addProblem("phase", "duration", "no phase is given", "at least one [phase NAME]");
    return spec;
}

/** @param spec Specification. @param uidPrefix Begin of all uids, which tells runs apart. */
LoadPlan::LoadPlan(const LoadSpec& spec, std::string uidPrefix)
    : m_spec(spec)
    , m_uidPrefix(std::move(uidPrefix))
{
    m_prompts.member = &PhaseSpec::prompts;
    m_prompts.random.seed(spec.seed * 2 + 1);
    m_jobs.member = &PhaseSpec::jobs;
    m_jobs.random.seed(spec.seed * 2 + 2);
    advance(m_prompts);
    advance(m_jobs);
}

/** Poisson arrivals with a linearly changing rate, by thinning those of the phase's highest rate. */
void LoadPlan::advance(Stream& stream)
{
    while (stream.phase < m_spec.phases.size()) {
        const PhaseSpec& phase = m_spec.phases[stream.phase];
        const StreamSpec& spec = phase.*stream.member;
        const double highest = std::max(spec.rate, spec.rateEnd);
        const Duration end = phase.start + phase.duration;
        stream.at = std::max(stream.at, phase.start);
        if (highest > 0)
            stream.at += seconds(std::exponential_distribution<double>(highest)(stream.random));
        if (highest <= 0 || stream.at >= end) {
            stream.at = end;
            ++stream.phase;
            continue;
        }
        const double part
            = static_cast<double>((stream.at - phase.start).count()) / static_cast<double>(phase.duration.count());
        if (uniform(stream.random, 0, highest) < spec.rate + (spec.rateEnd - spec.rate) * part)
            return;
    }
    stream.isEnded = true;
}

/** @return The next arrival, nothing after the last one. */
std::optional<Arrival> LoadPlan::next()
{
    if (m_prompts.isEnded && m_jobs.isEnded)
        return std::nullopt;
    Stream& stream = m_jobs.isEnded || (!m_prompts.isEnded && m_prompts.at <= m_jobs.at) ? m_prompts : m_jobs;
    Arrival arrival = make(stream);
    advance(stream);
    return arrival;
}

Arrival LoadPlan::make(Stream& stream)
{
    const PhaseSpec& phase = m_spec.phases[stream.phase];
    const auto& choices = (phase.*stream.member).work;
    std::vector<double> weights;
    weights.reserve(choices.size());
    for (const std::size_t index : choices)
        weights.push_back(m_spec.work[index].weight);
    Arrival arrival;
    arrival.at = stream.at;
    arrival.phase = stream.phase;
    arrival.work = choices[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(stream.random)];
    arrival.uid = m_uidPrefix + std::to_string(++m_number);
    arrival.caller = "caller" + std::to_string(stream.random() % m_spec.callers);
    const WorkSpec& work = m_spec.work[arrival.work];
    WorkPayload payload;
    payload.uid = arrival.uid;
    payload.answerBytes = work.answerBytes;
    payload.once = work.once;
    drawRun(arrival, payload, work, stream);
    if (work.workClass != WorkClass::Prompt)
        drawDeclared(arrival, payload, work, stream);
    const std::size_t size
        = std::uniform_int_distribution<std::size_t>(work.payloadMin, work.payloadMax)(stream.random);
    arrival.payload = formatWorkPayload(payload, size);
    return arrival;
}

void LoadPlan::drawRun(Arrival& arrival, WorkPayload& payload, const WorkSpec& work, Stream& stream)
{
    payload.fails = uniform(stream.random, 0, 1) < work.failShare;
    double time = static_cast<double>(work.runTime.count());
    if (work.runTimes == RunTimes::Exponential)
        time *= std::exponential_distribution<double>(1.0)(stream.random);
    else if (work.runTimes == RunTimes::LongShare && uniform(stream.random, 0, 1) < work.longShare)
        time *= work.longFactor;
    // A run time of 0 would mean a task that runs until it is stopped.
    payload.runTime = std::chrono::milliseconds(work.runTime.count() == 0 ? 0 : std::max(1L, std::lround(time)));
    arrival.declaredRunTime = *payload.runTime;
    arrival.tasks = static_cast<std::uint32_t>(
        std::uniform_int_distribution<std::uint64_t>(work.tasksMin, work.tasksMax)(stream.random));
    arrival.isKeyed = uniform(stream.random, 0, 1) < work.keyedShare;
    if (uniform(stream.random, 0, 1) < work.cancelShare)
        arrival.cancelAfter = std::chrono::duration_cast<Duration>(
            std::exponential_distribution<double>(1.0)(stream.random) * work.cancelAfter);
}

void LoadPlan::drawDeclared(Arrival& arrival, WorkPayload& payload, const WorkSpec& work, Stream& stream)
{
    const double off = std::pow(work.declaredFactor, uniform(stream.random, -1, 1));
    const auto declared = [off](std::int64_t amount) {
        return std::max<std::int64_t>(amount > 0 ? 1 : 0, std::llround(static_cast<double>(amount) * off));
    };
    arrival.declared = { declared(work.size.coresMilli), declared(work.size.memoryMb), work.size.accelerators };
    arrival.declaredRunTime = std::chrono::milliseconds(declared(arrival.declaredRunTime.count()));
    if (work.declaredFactor > 1)
        payload.usage = 1 / off;
}

} // namespace sp::load
