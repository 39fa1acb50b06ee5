#include "soak/load.h"

#include "bundle.h"

#include <nlohmann/json.hpp>

namespace sp::soak {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t keys = 400; ///< Idempotency keys in use; each is used several times.

    std::string bundleText(std::uint64_t version)
    {
        return "[bundle]\nversion = " + std::to_string(version)
            + "\nauthor = op\n[cell]\ndata_centres = a, b\nslot_shards = 2\nworker_shards = 1\n"
              "[workload web]\nclass = prompt\nservice = web\ndeadline = 2s\n"
              "[workload once]\nclass = prompt\nservice = web\nidempotent = false\ndeadline = 2s\n"
              "[workload sum]\nclass = batch\ntask_lease = 5s\n"
              "[workload pay]\nclass = batch\nidempotent = false\ntask_lease = 5s\n"
              "[workload mesh]\nclass = gang\ntask_lease = 5s\n";
    }

    std::string bundleKey(std::uint64_t version) { return "/sp/bundle/v/" + std::to_string(version); }

} // namespace

/** Puts version 1 in force before the schedulers start. */
void Load::writeFirstBundle() { writeBundle(1, { "a", "b" }, false); }

/** Writes a version and its head. A raced write is the loser of a compare-and-swap, so its head is not written. */
void Load::writeBundle(std::uint64_t version, const std::vector<std::string>& stages, bool isRaced)
{
    FakeStore& store = m_world.store();
    if (!store.value(bundleKey(version)))
        store.put(bundleKey(version), bundleText(version));
    if (isRaced)
        return;
    if (version != m_bundle)
        m_previous = m_bundle;
    m_bundle = version;
    const nlohmann::json head { { "version", version }, { "digest", sha256Hex(bundleText(version)) },
        { "previous", m_previous }, { "previous_digest", m_previous ? sha256Hex(bundleText(m_previous)) : "" },
        { "stages", stages }, { "state", stages.size() == 2 ? "in_force" : "rolling" },
        { "token", "op-" + std::to_string(++m_sequence) } };
    store.put("/sp/live/bundle", head.dump());
    m_world.timeline().trace("bundle " + std::to_string(version) + " in " + std::to_string(stages.size()) + " stages");
}

/** Two operators write at once; one wins, and rolls its version out data centre by data centre. */
void Load::operatorsRace()
{
    const std::uint64_t version = m_bundle + 2;
    writeBundle(version - 1, {}, true);
    writeBundle(version, { "a" }, false);
    m_world.timeline().after(m_world.timeline().between(milliseconds(500), milliseconds(4000)), [this, version] {
        if (m_bundle == version)
            writeBundle(version, { "a", "b" }, false);
    });
    if (!m_world.options().mutations.lowerBundle)
        return;
    m_world.timeline().after(std::chrono::seconds(6), [this, version] {
        writeBundle(version - 1, { "a", "b" }, false);
        m_bundle = version;
    });
}

Process* Load::anyProcess()
{
    auto& processes = m_world.processes();
    Process& process = processes[m_world.timeline().below(processes.size())];
    return process.node && process.isReady && !process.isDraining ? &process : nullptr;
}

/** Callers' work of one step of 10 ms. */
void Load::step()
{
    Timeline& time = m_world.timeline();
    if (time.chance(0.5)) {
        if (Process* process = anyProcess())
            submitRequest(*process, time.chance(0.3));
    }
    if (time.chance(0.03)) {
        if (Process* process = anyProcess())
            submitJob(*process);
    }
    if (time.chance(0.02))
        cancelRequest("c" + std::to_string(m_sequence - time.below(std::min<std::uint64_t>(m_sequence, 20))));
    if (time.chance(0.02))
        queryJob();
}

void Load::submitRequest(Process& process, bool isKeyed)
{
    Timeline& time = m_world.timeline();
    const std::string number = std::to_string(++m_sequence);
    PromptSubmitted event;
    event.id = RequestId("r" + number);
    event.route = ReplyRoute { "gate:" + number };
    event.caller = CallerId("caller" + std::to_string(time.below(4)));
    event.team = TeamId("team");
    event.workload = WorkloadId("web");
    event.clientId = "c" + number;
    std::string payload = "r" + number;
    if (isKeyed) {
        const std::uint64_t key = time.below(keys) + m_sequence / 1000 * keys;
        event.workload = WorkloadId(key % 3 == 0 ? "once" : "web");
        event.caller = CallerId("caller0");
        event.key = IdempotencyKey("key" + std::to_string(key));
        payload = (key % 3 == 0 ? "n:" : "i:") + event.key.value;
    }
    const std::uint64_t runTime = fnvHash(payload) % 50 == 0 ? 1500 : 5 + fnvHash(payload) % 60;
    payload += "|" + std::to_string(runTime);
    event.payload = std::make_shared<const std::string>(payload);
    m_world.checks().submitted(
        event.route.link, { payload, isKeyed, false, false, event.caller, time.now(), nameOf(process) });
    m_world.deliver(process, event);
}

void Load::submitJob(Process& process)
{
    Timeline& time = m_world.timeline();
    const std::string number = std::to_string(++m_sequence);
    JobSubmitted event;
    event.id = RequestId("j" + number);
    event.route = ReplyRoute { "gate:" + number };
    event.spec.caller = CallerId("caller" + std::to_string(time.below(4)));
    event.spec.team = TeamId("team");
    const std::uint64_t kind = time.below(10);
    event.spec.workload = WorkloadId(kind < 6 ? "sum" : kind < 8 ? "pay" : "mesh");
    event.spec.tasks = static_cast<std::uint32_t>(1 + time.below(4));
    event.spec.size = { static_cast<std::int64_t>(500 + time.below(4) * 500), 500, 0 };
    if (time.chance(0.4))
        event.key = IdempotencyKey("jobkey" + number);
    const std::uint64_t runTime = 100 + time.below(4000);
    event.spec.runTime = milliseconds(runTime);
    const std::string payload
        = (event.spec.workload.value == "pay" ? "n:" : "i:") + ("job" + number) + "|" + std::to_string(runTime);
    event.spec.payload = std::make_shared<const std::string>(payload);
    m_world.checks().submitted(
        event.route.link, { payload, !event.key.empty(), true, false, event.spec.caller, time.now(), nameOf(process) });
    m_world.deliver(process, event);
}

void Load::cancelRequest(const std::string& clientId)
{
    Process* process = anyProcess();
    if (!process)
        return;
    PromptCancelled event;
    event.id = RequestId("x" + std::to_string(++m_sequence));
    event.route = ReplyRoute { "cancel:" };
    event.caller = CallerId("caller" + std::to_string(m_world.timeline().below(4)));
    event.clientId = clientId;
    m_world.deliver(*process, event);
}

/** Asks for or cancels a job that was accepted before. */
void Load::queryJob()
{
    const auto& jobs = m_world.checks().acceptedJobs();
    Process* process = anyProcess();
    if (!process || jobs.empty())
        return;
    Timeline& time = m_world.timeline();
    JobCommanded event;
    event.id = RequestId("q" + std::to_string(++m_sequence));
    event.route = ReplyRoute { "query:" };
    const AcceptedJob& job = jobs[jobs.size() - 1 - time.below(std::min<std::size_t>(jobs.size(), 10))];
    event.job = job.id;
    event.caller = job.caller;
    event.verb = time.chance(0.2) ? JobCommanded::Verb::Cancel : JobCommanded::Verb::Query;
    event.wait = milliseconds(time.chance(0.5) ? 1000 : 0);
    m_world.deliver(*process, event);
}

std::string Load::nameOf(const Process& process)
{
    return process.host.value + "/" + std::to_string(process.incarnation.value);
}

/** Asks for the status of all accepted jobs, at a scheduler of the job's data centre. */
void Load::askForJobs()
{
    for (const AcceptedJob& job : m_world.checks().acceptedJobs()) {
        m_world.checks().jobAsked(job);
        for (Process& process : m_world.processes()) {
            if (!process.node || !process.isReady || process.isDraining
                || !job.id.value.starts_with(process.dataCentre.value + "."))
                continue;
            JobCommanded event;
            event.id = RequestId("last" + std::to_string(++m_sequence));
            event.route = ReplyRoute { "last:" + job.id.value };
            event.job = job.id;
            event.caller = job.caller;
            m_world.deliver(process, event);
            break;
        }
    }
}

/** Checks that all answers have come. */
void Load::end()
{
    std::set<std::string> live;
    for (const Process& process : m_world.processes()) {
        if (process.node)
            live.insert(nameOf(process));
    }
    m_world.checks().settled(live);
}

/** A burst of requests that their callers cancel at once. */
void Load::cancelWave()
{
    m_world.timeline().trace("wave of cancellations");
    Process* process = anyProcess();
    if (!process)
        return;
    const std::uint64_t generation = process->generation;
    for (int i = 0; i < 300 && process->generation == generation && process->node; ++i)
        submitRequest(*process, false);
    for (std::uint64_t i = 0; i < 300; ++i)
        cancelRequest("c" + std::to_string(m_sequence - i));
}

} // namespace sp::soak
