#include "gateway/gateway.h"

#include "clock_cpu_func.h"
#include "log_func.h"

#include <thread>

namespace sp {

namespace {

    constexpr std::chrono::milliseconds heartbeatInterval { 250 };
    constexpr std::chrono::milliseconds drainPoll { 5 };
    /** A request may be on its way over an open connection; it is answered with `draining` and the connection closed.
     */
    constexpr std::chrono::milliseconds drainQuiet { 300 };

    PeerLinkConfig linkConfig(const GatewaySettings& settings, Incarnation incarnation)
    {
        PeerLinkConfig config;
        config.self = settings.host;
        config.incarnation = incarnation;
        config.gateway = true;
        for (const SchedulerLink& scheduler : settings.schedulers)
            config.peers.push_back({ scheduler.host, scheduler.link });
        return config;
    }

} // namespace

/** @param settings Checked settings. */
Gateway::Gateway(GatewaySettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(drawIncarnation())
    , m_cpu(m_metrics.gauge("sp_cpu_milliseconds", "CPU time of the process."))
    , m_pending(m_metrics.gauge("sp_pending_requests", "Requests that wait for a scheduler."))
    , m_late(m_metrics.gauge("sp_late_answers", "Answers that no request waited for any more."))
    , m_failovers(m_metrics.gauge("sp_failovers", "Requests sent to another scheduler than the preferred one."))
    , m_table(m_settings.schedulers,
          [this](const HostId& to, LinkMessage&& message) { m_link.send(to, std::move(message)); })
    , m_link(linkConfig(m_settings, m_incarnation), m_metrics,
          { [this](ReplyRoute&&, LinkFrame&& frame) { received(std::move(frame)); },
              [this](const HostId& to, LinkMessage&& message) {
                  m_table.unsent(to, requestIdOf(message), BootClock::now());
              },
              [this](Time now) { ticked(now); } })
    , m_server({ m_settings.host, m_incarnation, m_settings.listen }, m_table, m_metrics)
{
}

/** Starts all threads. @param problem Set to the reason of a failure. @return False if it failed. */
bool Gateway::start(std::string& problem) { return m_link.start(problem) && m_server.start(problem); }

void Gateway::received(LinkFrame&& frame)
{
    const Time now = BootClock::now();
    if (auto* answer = std::get_if<AnswerMessage>(&frame.message))
        m_table.answered(frame.from, std::move(*answer), now);
    else if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&frame.message))
        m_table.schedulerSeen(frame.from, frame.incarnation, heartbeat->ready, heartbeat->draining, now);
}

void Gateway::ticked(Time now)
{
    m_table.tick(now);
    m_cpu.set(toMs(processCpuTime()));
    m_pending.set(static_cast<std::int64_t>(m_table.pending()));
    m_late.set(static_cast<std::int64_t>(m_table.lateAnswers()));
    m_failovers.set(static_cast<std::int64_t>(m_table.failovers()));
    if (m_nextHeartbeat && now < *m_nextHeartbeat)
        return;
    m_nextHeartbeat = now + heartbeatInterval;
    for (const SchedulerLink& scheduler : m_settings.schedulers) {
        HeartbeatMessage heartbeat;
        heartbeat.sentAt = now;
        heartbeat.dataCentre = m_settings.dataCentre;
        m_link.send(scheduler.host, heartbeat);
    }
}

/** Stops accepting, answers what is in flight, at most for the drain time, and ends all threads. */
void Gateway::drain()
{
    m_server.stopAccepting();
    Time now = BootClock::now();
    const Time until = now + m_settings.drainTimeout;
    for (Time busyAt = now; now < until && now - busyAt < drainQuiet; now = BootClock::now()) {
        if (m_server.active() > 0)
            busyAt = now;
        std::this_thread::sleep_for(drainPoll);
    }
    if (const std::size_t left = m_table.pending(); left > 0)
        logWarning(
            LogPart::Gate, std::to_string(left) + " requests are answered as lost at the end of the drain time.");
    m_table.failAll();
    m_link.stop();
    for (const Time last = BootClock::now() + std::chrono::seconds(1);
         m_server.active() > 0 && BootClock::now() < last;)
        std::this_thread::sleep_for(drainPoll);
    m_server.stop();
}

} // namespace sp
