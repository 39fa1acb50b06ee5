#include "soak/world.h"

#include <algorithm>

namespace sp::soak {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    constexpr milliseconds stepLength { 10 };
    constexpr int schedulersPerDataCentre = 3;
    constexpr int slotShards = 2;
    constexpr int instancesPerDataCentre = 6;
    constexpr int workersPerDataCentre = 4;

    /** Shard of a target, as design.md section 3 defines it. */
    ShardId shardOf(const DataCentreId& dataCentre, const TargetId& target, bool isWorker)
    {
        const std::uint64_t shards = isWorker ? 1 : slotShards;
        return ShardId(
            dataCentre.value + (isWorker ? ".workers." : ".slots.") + std::to_string(fnvHash(target.value) % shards));
    }

    FakeTarget makeTarget(const DataCentreId& dataCentre, bool isWorker, int number)
    {
        FakeTarget target;
        target.id = TargetId(dataCentre.value + (isWorker ? "-w" : "-i") + std::to_string(number));
        target.dataCentre = dataCentre;
        target.shard = shardOf(dataCentre, target.id, isWorker);
        target.isWorker = isWorker;
        target.slots = isWorker ? 0 : 4;
        target.capacity = isWorker ? Resources { 8000, 16000, 0 } : Resources {};
        target.rack = dataCentre.value + "-r" + std::to_string(number % 2);
        return target;
    }

} // namespace

/** @param options What the run does. */
World::World(const SoakOptions& options)
    : m_options(options)
    , m_time(options.seed, options.traceLines)
    , m_store(options.mutations.storeIgnoresCompares)
{
    m_time.runUntil(Time(std::chrono::seconds(1)));
    for (const char* name : { "a", "b" }) {
        const DataCentreId dataCentre { name };
        for (int i = 0; i < slotShards; ++i)
            m_shards[dataCentre].emplace_back(dataCentre.value + ".slots." + std::to_string(i));
        m_shards[dataCentre].emplace_back(dataCentre.value + ".workers.0");
        for (int i = 0; i < instancesPerDataCentre; ++i)
            m_targets.push_back(makeTarget(dataCentre, false, i));
        for (int i = 0; i < workersPerDataCentre; ++i)
            m_targets.push_back(makeTarget(dataCentre, true, i));
        for (int i = 0; i < schedulersPerDataCentre; ++i) {
            Process process;
            process.host = HostId(dataCentre.value + std::to_string(i));
            process.dataCentre = dataCentre;
            m_processes.push_back(std::move(process));
        }
    }
    for (const FakeTarget& target : m_targets)
        writeHostEntry(target);
}

/** Writes a target into the platform's host list. @param target Target. */
void World::writeHostEntry(const FakeTarget& target)
{
    m_store.put("/platform/hosts/" + target.id.value, target.hostEntry());
}

/** Adds a target of the kind and place of an earlier one. @param old Earlier target. @param number Number of the new.
 */
void World::addTargetLike(const FakeTarget& old, int number)
{
    m_targets.push_back(makeTarget(old.dataCentre, old.isWorker, number));
    writeHostEntry(m_targets.back());
}

Process* World::find(const HostId& host)
{
    const auto it = std::find_if(
        m_processes.begin(), m_processes.end(), [&](const Process& process) { return process.host == host; });
    return it == m_processes.end() ? nullptr : &*it;
}

FakeTarget* World::find(const TargetId& target)
{
    const auto it
        = std::find_if(m_targets.begin(), m_targets.end(), [&](const FakeTarget& found) { return found.id == target; });
    return it == m_targets.end() ? nullptr : &*it;
}

/** Time on the own clock of a host. The clocks of hosts differ by an offset and run up to 2% apart.
 * @param process Process on the host. @return Local time. */
Time World::localTime(const Process& process) const
{
    const auto elapsed = static_cast<double>(m_time.now().time_since_epoch().count()) * process.clockRate;
    return Time(process.clockOffset + Duration(static_cast<Duration::rep>(elapsed)));
}

/** Starts a new run of a process. @param process Process without a run. */
void World::startProcess(Process& process)
{
    ++process.generation;
    process.incarnation = Incarnation(++m_lastIncarnation * 1000 + m_time.below(1000));
    process.isPaused = process.isDraining = process.isReady = false;
    process.clockOffset = m_time.between(Duration(0), std::chrono::hours(1));
    process.clockRate = 1 + (static_cast<double>(m_time.below(2001)) - 1000) / 50000;
    NodeSettings settings { process.host, process.dataCentre, process.incarnation, {}, m_time.below(1U << 30),
        m_options.switches };
    for (const Process& other : m_processes) {
        if (other.host != process.host)
            settings.peers.push_back({ other.host, other.dataCentre,
                other.dataCentre == process.dataCentre ? microseconds(500) : microseconds(1500) });
    }
    process.node
        = m_options.wholeCore ? makeCoreNode(settings) : makeOwnershipNode(settings, m_shards[process.dataCentre]);
    m_time.trace("start " + process.host.value + " as " + std::to_string(process.incarnation.value));
}

/** Ends a process without warning. @param process Process. */
void World::crash(Process& process)
{
    m_time.trace("crash " + process.host.value);
    ++process.generation;
    process.node.reset();
    process.inbox.clear();
    process.outbox.clear();
    process.watches.clear();
    process.follows.clear();
    process.calls.clear();
    process.toldLeaving.clear();
}

/** Stops a process for some time; its clock runs on. @param process Process. @param length Time. */
void World::pause(Process& process, Duration length)
{
    if (process.isPaused || !process.node)
        return;
    m_time.trace("pause " + process.host.value + " for " + std::to_string(toMs(length)) + " ms");
    process.isPaused = true;
    m_time.after(length, [this, host = process.host, generation = process.generation] {
        Process& resumed = *find(host);
        if (resumed.generation != generation)
            return;
        m_time.trace("resume " + host.value);
        resumed.isPaused = false;
        while (!resumed.outbox.empty()) {
            auto action = std::move(resumed.outbox.front());
            resumed.outbox.pop_front();
            action();
        }
        while (!resumed.inbox.empty() && resumed.generation == generation) {
            const Event event = std::move(resumed.inbox.front());
            resumed.inbox.pop_front();
            handle(resumed, event);
        }
    });
}

/** SIGTERM. @param process Process. */
void World::requestDrain(Process& process)
{
    m_time.trace("drain " + process.host.value);
    process.isDraining = true;
    deliver(process, DrainRequested {});
}

/** Runs an action of a process' I/O threads now, or at the end of its pause. */
void World::whenRunning(Process& process, std::uint64_t generation, std::function<void()> action)
{
    if (!process.node || process.generation != generation)
        return;
    if (process.isPaused)
        process.outbox.push_back(std::move(action));
    else
        action();
}

/** Hands an event to a process. @param process Process. @param generation Run that it is meant for. @param event Event.
 */
void World::deliver(Process& process, std::uint64_t generation, Event event)
{
    if (!process.node || process.generation != generation)
        return;
    if (process.isPaused)
        process.inbox.push_back(std::move(event));
    else
        handle(process, event);
}

void World::handle(Process& process, const Event& event)
{
    noteTold(process, event);
    const std::uint64_t generation = process.generation;
    std::vector<Action> actions;
    process.node->handle(event, localTime(process), [&](Action&& action) { actions.push_back(std::move(action)); });
    for (Action& action : actions) {
        if (process.generation == generation)
            perform(process, std::move(action));
    }
}

Duration World::linkDelay(const Process& from, const Process& to)
{
    const Duration base = from.dataCentre == to.dataCentre ? microseconds(250) : microseconds(750);
    const bool isDelayed = m_faults.messageDelay > 0 && m_time.chance(m_faults.messageDelay);
    return base + m_time.between(Duration(0), isDelayed ? Duration(std::chrono::seconds(3)) : base);
}

/** Sends an event to a peer. @p make makes it from the receiver's local time. */
template <typename Make> void World::sendToPeer(Process& from, const HostId& to, Make make)
{
    Process* receiver = find(to);
    if (!receiver)
        return;
    const bool isLost = m_faults.messageLoss > 0 && m_time.chance(m_faults.messageLoss);
    const Duration delay = linkDelay(from, *receiver);
    const bool isCut = m_faults.cutLinks.contains({ from.host, to });
    if (isLost || isCut)
        return;
    m_time.after(delay, [this, to, make = std::move(make)]() mutable {
        Process& target = *find(to);
        if (target.node)
            deliver(target, make(localTime(target)));
    });
}

void World::perform(Process& process, Action&& action)
{
    if (auto* sent = std::get_if<SendAnswer>(&action)) {
        answer(process, *sent);
    } else if (auto* call = std::get_if<CallStore>(&action)) {
        callStore(process, *call);
    } else if (auto* watch = std::get_if<WatchStore>(&action)) {
        process.watches[watch->prefix] = { watch->from, false };
    } else if (auto* run = std::get_if<RunPrompt>(&action)) {
        runPrompt(process, *run);
    } else if (auto* start = std::get_if<StartTask>(&action)) {
        startTask(process, *start);
    } else if (auto* stop = std::get_if<StopTask>(&action)) {
        stopTask(process, *stop);
    } else if (auto* followed = std::get_if<FollowTarget>(&action)) {
        follow(process, *followed);
    } else if (auto* unfollowed = std::get_if<UnfollowTarget>(&action)) {
        process.follows.erase(unfollowed->target);
    } else if (auto* ready = std::get_if<ReadinessChanged>(&action)) {
        process.isReady = ready->ready;
        m_time.trace(process.host.value + (ready->ready ? " ready" : " not ready: " + ready->reason));
    } else if (std::holds_alternative<Drained>(action)) {
        m_checks.drained(process.host.value, process.calls.size());
        crash(process);
    } else {
        performPeer(process, std::move(action));
    }
}

void World::performPeer(Process& process, Action&& action)
{
    const HostId self = process.host;
    const Incarnation incarnation = process.incarnation;
    const ReplyRoute back { "peer:" + self.value };
    if (auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
        m_checks.bundleAnnounced(self.value + "/" + std::to_string(incarnation.value), heartbeat->heartbeat.bundle);
        sendToPeer(process, heartbeat->to, [=, message = heartbeat->heartbeat](Time) {
            return Event(PeerHeartbeat { self, incarnation, message });
        });
    } else if (auto* ack = std::get_if<SendHeartbeatAck>(&action)) {
        sendToPeer(process, ack->to, [=, message = ack->ack](Time) {
            return Event(PeerHeartbeatAck { self, incarnation, message });
        });
    } else if (auto* prompt = std::get_if<ForwardPrompt>(&action)) {
        const Duration left = prompt->request.deadline.value_or(Time()) - localTime(process);
        sendToPeer(process, prompt->to, [=, request = prompt->request](Time there) mutable {
            request.route = back;
            request.deadline = there + left;
            return Event(request);
        });
    } else if (auto* job = std::get_if<ForwardJob>(&action)) {
        sendToPeer(process, job->to, [=, forwarded = job->job](Time) mutable {
            forwarded.route = back;
            return Event(forwarded);
        });
    } else if (auto* command = std::get_if<ForwardJobCommand>(&action)) {
        sendToPeer(process, command->to, [=, forwarded = command->command](Time) mutable {
            forwarded.route = back;
            return Event(forwarded);
        });
    } else if (auto* cancel = std::get_if<ForwardPromptCancel>(&action)) {
        sendToPeer(process, cancel->to, [=, forwarded = cancel->cancel](Time) mutable {
            forwarded.route = back;
            return Event(forwarded);
        });
    } else if (auto* fetch = std::get_if<FetchBundle>(&action)) {
        sendToPeer(process, fetch->from, [=, version = fetch->version](Time) {
            return Event(PeerBundleFetch { self, version });
        });
    } else if (auto* text = std::get_if<SendBundleText>(&action)) {
        sendToPeer(process, text->to, [=, bundle = text->text](Time) {
            return Event(PeerBundleText { self, bundle });
        });
    }
}

void World::answer(Process& process, const SendAnswer& sent)
{
    if (sent.route.link.starts_with("peer:")) {
        sendToPeer(process, HostId(sent.route.link.substr(5)), [self = process.host, message = sent.answer](Time) {
            return Event(PeerAnswered { self, message });
        });
        return;
    }
    m_time.trace(process.host.value + " answers " + sent.route.link + ": "
        + std::string(errorInfo(sent.answer.error).name) + " " + sent.answer.detail);
    if (sent.route.link.starts_with("last:")) {
        AnswerMessage status = sent.answer;
        status.job = JobId(sent.route.link.substr(5));
        m_checks.jobStatus(status);
        return;
    }
    m_checks.answered(sent.route.link, sent.answer);
}

/** One step: events due, ticks, watches, targets, checks. */
void World::step()
{
    m_time.runUntil(m_time.now() + stepLength);
    m_store.expire(m_time.now());
    pumpWatches();
    tickTargets();
    for (Process& process : m_processes) {
        if (process.node && !process.isPaused)
            handle(process, Ticked {});
    }
    if (++m_step % 2 == 0)
        checkHolds();
}

/** At most one scheduler may hold a shard firmly, paused ones included: they act on this level when they resume. */
void World::checkHolds()
{
    for (const auto& [dataCentre, shards] : m_shards) {
        for (const ShardId& shard : shards) {
            std::vector<std::string> firm;
            bool isStore = false;
            for (const Process& process : m_processes) {
                if (!process.node || process.dataCentre != dataCentre)
                    continue;
                const HoldLevel level = process.node->level(shard, localTime(process));
                isStore = isStore || (level == HoldLevel::Store && !process.isPaused);
                if (level == HoldLevel::Recovering || level == HoldLevel::Store || level == HoldLevel::Promise)
                    firm.push_back(process.host.value + " (" + holdLevelName(level) + ", term "
                        + std::to_string(process.node->term(shard).value) + ")");
            }
            m_checks.shardHolders(shard, firm);
            const auto [it, added] = m_unownedSince.try_emplace(shard, Time());
            if (!isStore && it->second == Time()) {
                m_time.trace(shard.value + " has no owner at level store");
                it->second = m_time.now();
            }
            if (isStore && it->second != Time()) {
                const Duration took = m_time.now() - it->second;
                const bool isCalm = isCalmSince(it->second);
                m_time.trace(shard.value + " is served again after " + std::to_string(toMs(took)) + " ms"
                    + (isCalm ? ", calm" : ""));
                if (isCalm)
                    m_takeovers.push_back(took);
                it->second = Time();
            }
        }
    }
}

/** Whether no fault but crashes and drains of schedulers was in force from 10 s before a time until now. @param since
 * Time. @return True if so. */
bool World::isCalmSince(Time since) const
{
    const bool isFaulty = m_faults.storeDown || m_faults.storeSlow || m_faults.storeAnswerLoss > 0
        || m_faults.storeLateWrite > 0 || m_faults.messageLoss > 0 || m_faults.messageDelay > 0
        || m_faults.connectionSilent > 0 || !m_faults.cutFromStore.empty() || !m_faults.cutLinks.empty()
        || !m_faults.cutTargets.empty();
    const bool isPaused
        = std::any_of(m_processes.begin(), m_processes.end(), [](const Process& process) { return process.isPaused; });
    return !isFaulty && !isPaused && (m_lastFault == Time() || since - m_lastFault > std::chrono::seconds(10));
}

/** @return Shards without an owner at level store. */
std::vector<std::string> World::unownedShards() const
{
    std::vector<std::string> unowned;
    for (const auto& [shard, since] : m_unownedSince) {
        if (since != Time())
            unowned.push_back(shard.value);
    }
    return unowned;
}

} // namespace sp::soak
