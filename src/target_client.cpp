#include "target_client.h"

#include "log_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poll.h>

namespace sp {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t ringCapacity = 65536; ///< Soft: actions of the core are added even past it.
    constexpr unsigned reportsUntilLost = 2; ///< Reports that must miss a request before its call is closed.

    Payload bodyOf(const Json& json)
    {
        return std::make_shared<const std::string>(json.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

    /** Task ids hold a slash, which would end the path segment. */
    std::string escapedSegment(const std::string& text)
    {
        static constexpr const char* digits = "0123456789ABCDEF";
        std::string out;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (std::isalnum(byte) || c == '-' || c == '_' || c == '.') {
                out += c;
            } else {
                out += '%';
                out += digits[byte >> 4U];
                out += digits[byte & 15U];
            }
        }
        return out;
    }

} // namespace

/**
 * Starts the thread.
 * @param times Times of the calls.
 * @param metrics Registry for the client's counters.
 * @param sink Receives events on the client's thread.
 */
TargetClient::TargetClient(const TargetTimes& times, Metrics& metrics, EventSink sink)
    : m_times(times)
    , m_sink(std::move(sink))
    , m_ring(ringCapacity)
    , m_calls(HttpClient::Limits {})
    , m_reports(HttpClient::Limits {})
    , m_reportCount(metrics.counter("sp_target_reports_total", "Reports received from targets."))
    , m_silentCount(metrics.counter("sp_target_silent_total", "Times that a target was found silent."))
    , m_bytesOut(metrics.gauge("sp_target_bytes_out", "Bytes sent to targets."))
    , m_bytesIn(metrics.gauge("sp_target_bytes_in", "Bytes received from targets."))
{
    for (std::size_t i = 0; i < m_ends.size(); ++i)
        m_ends[i] = &metrics.counter(
            std::string("sp_target_calls_total{end=\"") + callEndName(static_cast<CallEnd>(i)) + "\"}",
            "Calls to targets by their end.");
    m_thread = std::thread([this] { loop(); });
}

TargetClient::~TargetClient() { stop(); }

/** Hands an action to the thread. @param action Action. */
void TargetClient::post(TargetAction&& action) { m_ring.push(std::move(action)); }

/** Ends the thread; calls in flight get no event. */
void TargetClient::stop()
{
    if (m_stopping.exchange(true))
        return;
    m_ring.wake();
    m_thread.join();
}

void TargetClient::loop()
{
    while (!m_stopping.load(std::memory_order_relaxed)) {
        waitForWork();
        for (TargetAction& action : m_ring.drain())
            std::visit([this](auto& typed) { apply(typed); }, action);
        runTimers(BootClock::now());
        m_calls.process();
        m_reports.process();
        updateMetrics();
    }
}

void TargetClient::waitForWork()
{
    const Time now = BootClock::now();
    Time until = now + std::chrono::seconds(1);
    for (const auto& at : { m_calls.wakeAt(), m_reports.wakeAt() }) {
        if (at)
            until = std::min(until, *at);
    }
    if (!m_timers.empty())
        until = std::min(until, m_timers.begin()->first);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now).count();
    std::array<pollfd, 3> fds { pollfd { m_ring.wakeFd(), POLLIN, 0 }, pollfd { m_calls.fd(), POLLIN, 0 },
        pollfd { m_reports.fd(), POLLIN, 0 } };
    poll(fds.data(), fds.size(), static_cast<int>(std::max<std::int64_t>(0, left)));
}

void TargetClient::apply(RunPrompt& action)
{
    HttpRequest request;
    request.url = "http://" + action.address + "/run";
    request.body = action.payload;
    const std::int64_t budgetMs = std::max<std::int64_t>(1, toMs(action.budget));
    request.headers = { "Content-Type: application/octet-stream", "Sp-Request-Id: " + action.request.value,
        "Sp-Shard: " + action.shard.value, "Sp-Term: " + std::to_string(action.term.value),
        "Sp-Deadline-Ms: " + std::to_string(budgetMs) };
    request.timeout = std::chrono::milliseconds(budgetMs) + m_times.runGrace;
    RunningCall running;
    running.request = action.request;
    running.handle
        = m_calls.start(std::move(request), [this, target = action.target, call = action.call](HttpResult&& result) {
              runEnded(target, call, std::move(result));
          });
    m_running[action.target].emplace(action.call, std::move(running));
}

void TargetClient::runEnded(const TargetId& target, CallId call, HttpResult&& result)
{
    const auto calls = m_running.find(target);
    if (calls == m_running.end())
        return;
    const auto it = calls->second.find(call);
    if (it == calls->second.end())
        return;
    const CallEnd end = callEndOf(result, TargetCallKind::Run, it->second.request.value);
    calls->second.erase(it);
    if (calls->second.empty())
        m_running.erase(calls);
    emitEnd(call, end, std::make_shared<const std::string>(std::move(result.body)), std::move(result.detail));
}

void TargetClient::apply(StartTask& action)
{
    HttpRequest request;
    request.url = "http://" + action.address + "/tasks";
    request.body = bodyOf({ { "task_id", action.task.value }, { "shard", action.shard.value },
        { "term", action.term.value }, { "cores_milli", action.size.coresMilli }, { "memory_mb", action.size.memoryMb },
        { "accelerators", action.size.accelerators }, { "run_ms", action.runTime.count() },
        { "lease_ms", action.lease.count() }, { "payload", action.payload ? *action.payload : std::string() } });
    startTaskCall(action.call, TargetCallKind::StartTask, std::move(request));
}

void TargetClient::apply(StopTask& action)
{
    HttpRequest request;
    request.url = "http://" + action.address + "/tasks/" + escapedSegment(action.task.value) + "/stop";
    request.body = bodyOf(
        { { "shard", action.shard.value }, { "term", action.term.value }, { "checkpoint", action.checkpoint } });
    startTaskCall(action.call, TargetCallKind::StopTask, std::move(request));
}

void TargetClient::startTaskCall(CallId call, TargetCallKind kind, HttpRequest&& request)
{
    request.headers = { "Content-Type: application/json" };
    request.timeout = m_times.taskTimeout;
    m_calls.start(std::move(request), [this, call, kind](HttpResult&& result) {
        const CallEnd end = callEndOf(result, kind, {});
        emitEnd(call, end, std::make_shared<const std::string>(std::move(result.body)), std::move(result.detail));
    });
}

void TargetClient::emitEnd(CallId call, CallEnd end, Payload body, std::string detail)
{
    m_ends[static_cast<std::size_t>(end)]->add();
    m_sink(TargetCallEnded { call, end, std::move(body), std::move(detail) });
}

void TargetClient::apply(FollowTarget& action)
{
    dropFollow(action.target);
    const Time now = BootClock::now();
    Follow& follow = m_follows[action.target];
    follow.follow = std::move(action);
    follow.lastGood = now;
    startReport(follow, now);
}

void TargetClient::apply(UnfollowTarget& action) { dropFollow(action.target); }

void TargetClient::dropFollow(const TargetId& target)
{
    const auto it = m_follows.find(target);
    if (it == m_follows.end())
        return;
    if (it->second.handle != 0)
        m_reports.abort(it->second.handle);
    if (it->second.nextAt)
        m_timers.erase({ *it->second.nextAt, target });
    m_follows.erase(it);
}

std::chrono::milliseconds TargetClient::pauseOf(const Follow& follow) const
{
    return follow.follow.shard.value.find(".slots.") != std::string::npos ? m_times.instancePause : m_times.workerPause;
}

/** The call may take until the target counts as silent, measured from the last good report. */
void TargetClient::startReport(Follow& follow, Time now)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(follow.lastGood + m_times.silentAfter - now);
    const auto timeout = std::clamp(left, std::chrono::milliseconds(10), m_times.silentAfter);
    // Half a second for the answer itself, so that a quiet target is not taken for a silent one.
    const auto room
        = std::clamp(timeout - std::chrono::milliseconds(500), std::chrono::milliseconds(0), m_times.reportWait);
    // A first report is wanted at once, since the target is used only after it.
    const auto wait = follow.known ? room : std::chrono::milliseconds(0);
    HttpRequest request;
    request.post = false;
    request.url = "http://" + follow.follow.address + "/report?shard=" + escapedSegment(follow.follow.shard.value)
        + "&term=" + std::to_string(follow.follow.term.value) + "&since=" + std::to_string(follow.sequence)
        + "&wait_ms=" + std::to_string(wait.count());
    request.timeout = timeout;
    request.freshConnection = follow.freshConnection;
    follow.freshConnection = false;
    follow.handle
        = m_reports.start(std::move(request), [this, target = follow.follow.target, now](HttpResult&& result) {
              reportEnded(target, now, std::move(result));
          });
}

void TargetClient::reportEnded(const TargetId& target, Time sentAt, HttpResult&& result)
{
    const auto it = m_follows.find(target);
    if (it == m_follows.end())
        return;
    Follow& follow = it->second;
    follow.handle = 0;
    const Time now = BootClock::now();
    std::optional<TargetReport> parsed;
    if (result.complete && result.status == 200)
        parsed = parseTargetReport(result.body);
    TargetReported report = parsed ? std::move(parsed->report) : TargetReported {};
    report.target = target;
    report.shard = follow.follow.shard;
    report.term = follow.follow.term;
    report.sentAt = sentAt;
    if (parsed) {
        m_reportCount.add();
        follow.sequence = parsed->sequence;
        follow.lastGood = now;
        follow.known = true;
        schedule(follow, now + pauseOf(follow));
        closeMissing(target, report);
        m_sink(std::move(report));
        return;
    }
    follow.freshConnection = true;
    schedule(follow, now + m_times.failurePause);
    if (now - follow.lastGood < m_times.silentAfter)
        return;
    m_silentCount.add();
    logWarning(LogPart::Target, "No report from " + target.value + ": " + result.detail + ".");
    follow.lastGood = now; // The next silence is reported after the same time again.
    follow.sequence = 0;
    follow.known = false; // The target may have restarted: ask for a whole report at once.
    report.silent = true;
    m_sink(std::move(report));
}

/** Closes prompt calls whose request two reports in a row don't name though they were sent after the call. */
void TargetClient::closeMissing(const TargetId& target, const TargetReported& report)
{
    const auto calls = m_running.find(target);
    if (calls == m_running.end())
        return;
    std::vector<CallId> lost;
    for (auto& [call, running] : calls->second) {
        const auto sentAt = m_calls.sentAt(running.handle);
        if (!sentAt || *sentAt >= report.sentAt)
            continue;
        const RequestId& id = running.request;
        const bool known = std::find(report.runningRequests.begin(), report.runningRequests.end(), id)
                != report.runningRequests.end()
            || std::any_of(report.finishedTasks.begin(), report.finishedTasks.end(),
                [&](const FinishedTask& finished) { return finished.task.value == id.value; });
        running.missingReports = known ? 0 : running.missingReports + 1;
        if (running.missingReports >= reportsUntilLost)
            lost.push_back(call);
    }
    for (const CallId call : lost) {
        m_calls.abort(calls->second[call].handle);
        calls->second.erase(call);
        emitEnd(call, CallEnd::Lost, nullptr, "the target does not report the request");
    }
    if (calls->second.empty())
        m_running.erase(calls);
}

void TargetClient::schedule(Follow& follow, Time at)
{
    follow.nextAt = at;
    m_timers.emplace(at, follow.follow.target);
}

void TargetClient::runTimers(Time now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const TargetId target = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        if (const auto it = m_follows.find(target); it != m_follows.end()) {
            it->second.nextAt.reset();
            startReport(it->second, now);
        }
    }
}

void TargetClient::updateMetrics()
{
    m_bytesOut.set(static_cast<std::int64_t>(m_calls.bytesSent() + m_reports.bytesSent()));
    m_bytesIn.set(static_cast<std::int64_t>(m_calls.bytesReceived() + m_reports.bytesReceived()));
}

} // namespace sp
