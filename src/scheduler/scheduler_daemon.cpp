#include "scheduler/scheduler_daemon.h"

#include "clock_cpu_func.h"
#include "log_func.h"

#include <poll.h>

namespace sp {

namespace {

    constexpr std::size_t ringCapacity = 16384; ///< New requests past it are refused with `queue_full`.
    constexpr std::size_t batchSize
        = 256; ///< Events between two ticks, so that a wave of cancellations delays nothing.
    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds metricsInterval { 250 };
    constexpr std::chrono::seconds adminTimeout { 2 };
    /** Gateways and peers learn within a heartbeat interval (250 ms) that this process drains; what they send until
     * then must still be refused, or it would count as lost. */
    constexpr std::chrono::milliseconds refuseAfterDrain { 600 };

    constexpr std::array<const char*, std::variant_size_v<Event>> eventNames { "prompt", "job", "job_command",
        "prompt_cancel", "peer_answer", "peer_heartbeat", "peer_heartbeat_ack", "bundle_fetch", "bundle_text",
        "target_call_end", "target_report", "store_reply", "store_watch", "tick", "drain", "explain" };

    PeerLinkConfig linkConfig(const SchedulerSettings& settings, Incarnation incarnation)
    {
        PeerLinkConfig config;
        config.self = settings.host;
        config.incarnation = incarnation;
        config.bind = settings.link;
        for (const PeerSettings& peer : settings.peers)
            config.peers.push_back({ peer.host, peer.link });
        return config;
    }

    AnswerMessage refusal(const RequestId& id, ErrorKind error, const char* detail)
    {
        AnswerMessage answer;
        answer.id = id;
        answer.error = error;
        answer.detail = detail;
        return answer;
    }

    /** Calls the first function whose argument fits. */
    template <typename... Functions> struct Overloaded : Functions... {
        using Functions::operator()...;
    };
    template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

/** @param settings Checked settings. */
SchedulerDaemon::SchedulerDaemon(SchedulerSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(drawIncarnation())
    , m_ring(ringCapacity)
    , m_queueFull(m_metrics.counter("sp_ring_refusals_total", "Requests refused since the ring was full."))
    , m_batchTime(m_metrics.histogram("sp_decide_batch_seconds", "Time to handle one batch of events."))
    , m_cpu(m_metrics.gauge("sp_cpu_milliseconds", "CPU time of the process."))
    , m_ringSize(m_metrics.gauge("sp_ring_events", "Events that wait for the deciding thread."))
    , m_logDropped(m_metrics.gauge("sp_log_lines_dropped", "Log lines dropped since their ring was full."))
    , m_link(linkConfig(m_settings, m_incarnation), m_metrics,
          { [this](ReplyRoute&& route, LinkFrame&& frame) { received(std::move(route), std::move(frame)); },
              [this](const HostId& to, LinkMessage&& message) { unsent(to, std::move(message)); }, {} })
    , m_targets(TargetTimes {}, m_metrics, [this](Event&& event) { post(std::move(event)); })
    , m_store({ m_settings.storeAddress, m_settings.storeTimeout }, m_metrics,
          [this](Event&& event) { post(std::move(event)); })
    , m_admin(m_settings.admin,
          { [this](std::string& reason) {
               std::lock_guard lock(m_readinessMutex);
               reason = m_readinessReason;
               return m_ready;
           },
              [this] { return m_metrics.prometheusText() + m_core->metrics().prometheusText(); },
              [this] { return ask({}); }, [this](const std::string& id) { return ask(id); } })
{
    for (std::size_t i = 0; i < m_events.size(); ++i)
        m_events[i]
            = &m_metrics.counter(std::string("sp_events_total{kind=\"") + eventNames[i] + "\"}", "Events by kind.");
}

/** Starts the threads. @param problem Set to the reason of a failure. @return False if an address can't be used. */
bool SchedulerDaemon::start(std::string& problem)
{
    if (!m_link.start(problem))
        return false;
    m_core = std::make_unique<SchedulerCore>(coreConfig(), [this](Action&& action) { perform(std::move(action)); });
    return m_admin.start(problem);
}

CoreConfig SchedulerDaemon::coreConfig() const
{
    CoreConfig config;
    config.self = m_settings.host;
    config.dataCentre = m_settings.dataCentre;
    config.incarnation = m_incarnation;
    config.linkAddress = m_link.boundAddress();
    for (const PeerSettings& peer : m_settings.peers)
        config.peers.push_back({ peer.host, peer.dataCentre, peer.roundTrip });
    config.targetsCheckTerms = m_settings.targetsCheckTerms;
    config.seed = m_incarnation.value;
    return config;
}

/** On the link's thread: turns a frame into an event. */
void SchedulerDaemon::received(ReplyRoute&& route, LinkFrame&& frame)
{
    const HostId peer = frame.from;
    const Incarnation incarnation = frame.incarnation;
    const auto request = [&](auto& message) {
        const RequestId id = message.id;
        message.route = route;
        takeRequest(route, id, std::move(message));
    };
    std::visit(
        Overloaded { [](HelloMessage&) {},
            [&](HeartbeatMessage& message) {
                post(PeerHeartbeat { peer, incarnation, std::move(message) });
            },
            [&](HeartbeatAckMessage& message) {
                post(PeerHeartbeatAck { peer, incarnation, std::move(message) });
            },
            [&](PromptSubmitted& message) { request(message); }, [&](JobSubmitted& message) { request(message); },
            [&](AnswerMessage& message) {
                post(PeerAnswered { peer, std::move(message) });
            },
            [&](JobCommanded& message) { request(message); }, [&](PromptCancelled& message) { request(message); },
            [&](BundleFetchMessage& message) {
                post(PeerBundleFetch { peer, message.version });
            },
            [&](BundleTextMessage& message) {
                post(PeerBundleText { peer, std::move(message) });
            },
            [&](ExplainRequested& message) { request(message); }, [](ExplainMessage&) {} },
        frame.message);
}

/** New requests are bounded by the ring; they are refused at once when it is full. */
void SchedulerDaemon::takeRequest(const ReplyRoute& route, const RequestId& id, Event&& event)
{
    if (m_ring.tryPush(DecideItem(std::move(event))))
        return;
    m_queueFull.add();
    m_link.reply(route, refusal(id, ErrorKind::QueueFull, "the scheduler has too many events waiting"));
}

/** On the link's thread: a forwarded request was certainly not sent. Other messages are sent again by their sender. */
void SchedulerDaemon::unsent(const HostId& to, LinkMessage&& message)
{
    const auto refuse = [&](const RequestId& id) {
        post(PeerAnswered { to, refusal(id, ErrorKind::OwnerUnreachable, "the peer is not connected") });
    };
    std::visit(
        Overloaded { [&](PromptSubmitted& request) { refuse(request.id); },
            [&](JobSubmitted& request) { refuse(request.id); }, [&](JobCommanded& request) { refuse(request.id); },
            [&](PromptCancelled& request) { refuse(request.id); }, [](auto&) {} },
        message);
}

/** On the admin thread: asks the deciding thread. @return Empty if it does not answer in time. */
std::string SchedulerDaemon::ask(const std::string& explainId)
{
    auto promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    if (!m_ring.tryPush(AdminQuestion { explainId, std::move(promise) }))
        return {};
    return future.wait_for(adminTimeout) == std::future_status::ready ? future.get() : std::string();
}

/**
 * The deciding loop; returns after a drain.
 * @param stopFd Readable once the process shall end.
 */
void SchedulerDaemon::run(int stopFd)
{
    Time now = BootClock::now();
    m_core->start(now);
    Time nextTick = now;
    Time nextMetrics = now;
    while (!hasEnded(now)) {
        std::array<pollfd, 2> fds { pollfd { m_ring.wakeFd(), POLLIN, 0 },
            pollfd { m_drainUntil ? -1 : stopFd, POLLIN, 0 } };
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(nextTick - BootClock::now()).count();
        poll(fds.data(), fds.size(), static_cast<int>(std::max<std::int64_t>(0, left)));
        now = BootClock::now();
        if (fds[1].revents & POLLIN)
            requestDrain(now);
        decide(m_ring.drain(batchSize), now);
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            handle(Ticked {}, now);
        }
        if (now >= nextMetrics) {
            nextMetrics = now + metricsInterval;
            updateMetrics();
        }
    }
    if (!m_drainedAt)
        logWarning(LogPart::Main, "The drain time is over; calls in flight are cut off.");
    m_admin.stop();
    m_link.stop();
    m_targets.stop();
    m_store.stop();
}

bool SchedulerDaemon::hasEnded(Time now) const
{
    if (m_drainedAt)
        return now >= *m_drainedAt + refuseAfterDrain;
    return m_drainUntil && now >= *m_drainUntil;
}

void SchedulerDaemon::decide(std::vector<DecideItem>&& items, Time now)
{
    if (items.empty())
        return;
    for (const DecideItem& item : items) {
        if (const auto* event = std::get_if<Event>(&item))
            handle(*event, now);
        else
            answerAdmin(std::get<AdminQuestion>(item), now);
    }
    m_batchTime.record(BootClock::now() - now);
}

void SchedulerDaemon::handle(const Event& event, Time now)
{
    m_events[event.index()]->add();
    m_core->handle(event, now);
}

void SchedulerDaemon::answerAdmin(const AdminQuestion& question, Time now)
{
    question.answer->set_value(
        question.explainId.empty() ? m_core->statusJson(now) : m_core->explain(question.explainId));
}

void SchedulerDaemon::requestDrain(Time now)
{
    logInfo(LogPart::Main, "Draining.");
    m_drainUntil = now + m_settings.drainTimeout;
    m_link.setReadiness(false, true);
    handle(DrainRequested {}, now);
}

/** Hands an action of the core to the thread that performs it. */
void SchedulerDaemon::perform(Action&& action)
{
    std::visit(Overloaded { [&](SendAnswer& typed) { m_link.reply(typed.route, std::move(typed.answer)); },
                   [&](ForwardPrompt& typed) { m_link.send(typed.to, std::move(typed.request)); },
                   [&](ForwardJob& typed) { m_link.send(typed.to, std::move(typed.job)); },
                   [&](ForwardJobCommand& typed) { m_link.send(typed.to, std::move(typed.command)); },
                   [&](ForwardPromptCancel& typed) { m_link.send(typed.to, std::move(typed.cancel)); },
                   [&](SendHeartbeat& typed) { m_link.send(typed.to, std::move(typed.heartbeat)); },
                   [&](SendHeartbeatAck& typed) { m_link.send(typed.to, std::move(typed.ack)); },
                   [&](FetchBundle& typed) { m_link.send(typed.from, BundleFetchMessage { typed.version }); },
                   [&](SendBundleText& typed) { m_link.send(typed.to, std::move(typed.text)); },
                   [&](RunPrompt& typed) { m_targets.post(std::move(typed)); },
                   [&](StartTask& typed) { m_targets.post(std::move(typed)); },
                   [&](StopTask& typed) { m_targets.post(std::move(typed)); },
                   [&](FollowTarget& typed) { m_targets.post(std::move(typed)); },
                   [&](UnfollowTarget& typed) { m_targets.post(std::move(typed)); },
                   [&](CallStore& typed) { m_store.post(std::move(typed)); },
                   [&](WatchStore& typed) { m_store.post(std::move(typed)); },
                   [&](ReadinessChanged& typed) { performReadiness(typed); },
                   [&](Drained&) { m_drainedAt = BootClock::now(); } },
        action);
}

void SchedulerDaemon::performReadiness(const ReadinessChanged& action)
{
    logInfo(LogPart::Main, action.ready ? "Ready." : "Not ready: " + action.reason + ".");
    m_link.setReadiness(action.ready, m_drainUntil.has_value());
    std::lock_guard lock(m_readinessMutex);
    m_ready = action.ready;
    m_readinessReason = action.reason;
}

void SchedulerDaemon::updateMetrics()
{
    m_cpu.set(toMs(processCpuTime()));
    m_ringSize.set(static_cast<std::int64_t>(m_ring.size()));
    m_logDropped.set(static_cast<std::int64_t>(logLinesDropped()));
}

} // namespace sp
