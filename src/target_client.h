/** @file target_client.h Thread that calls targets over HTTP and follows their reports. */
#pragma once

#include "core_type.h"
#include "http_client.h"
#include "metrics.h"
#include "ring.h"
#include "target_answer.h"

#include <atomic>
#include <functional>
#include <set>
#include <thread>
#include <unordered_map>
#include <variant>

namespace sp {

/** Times of the calls to targets. */
struct TargetTimes {
    std::chrono::milliseconds silentAfter { 3000 }; ///< No good report for this time: the target is silent.
    std::chrono::milliseconds reportWait { 2000 }; ///< Longest wait for a change at the target.
    std::chrono::milliseconds instancePause { 500 }; ///< Between reports of an instance, which changes at each request.
    std::chrono::milliseconds workerPause { 20 }; ///< Between reports of a worker.
    std::chrono::milliseconds failurePause { 200 }; ///< After a report call that failed at once.
    std::chrono::milliseconds runGrace { 1000 }; ///< A prompt call is closed this long after its deadline.
    std::chrono::milliseconds taskTimeout { 3000 }; ///< A start or stop of a task without an answer is lost.
};

using TargetAction = std::variant<RunPrompt, StartTask, StopTask, FollowTarget, UnfollowTarget>;

/** Calls targets in a thread of its own and gives back TargetCallEnded and TargetReported events. */
class TargetClient {
public:
    using EventSink = std::function<void(Event&&)>; ///< Called on the client's thread.

    TargetClient(const TargetTimes& times, Metrics& metrics, EventSink sink);
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;
    ~TargetClient();
    void post(TargetAction&& action);
    void stop();

private:
    struct RunningCall {
        HttpClient::Handle handle = 0;
        RequestId request;
        unsigned missingReports = 0; ///< Reports sent after the call that don't name its request.
    };
    struct Follow {
        FollowTarget follow;
        std::uint64_t sequence = 0;
        HttpClient::Handle handle = 0; ///< Running report call, 0 if none.
        bool freshConnection = true;
        bool known = false; ///< A report has come since the start or the last silence.
        Time lastGood {};
        std::optional<Time> nextAt; ///< Timer, also in m_timers.
    };

    void loop();
    void waitForWork();
    void apply(RunPrompt& action);
    void apply(StartTask& action);
    void apply(StopTask& action);
    void apply(FollowTarget& action);
    void apply(UnfollowTarget& action);
    void startTaskCall(CallId call, TargetCallKind kind, HttpRequest&& request);
    void runEnded(const TargetId& target, CallId call, HttpResult&& result);
    void startReport(Follow& follow, Time now);
    void reportEnded(const TargetId& target, Time sentAt, HttpResult&& result);
    void closeMissing(const TargetId& target, const TargetReported& report);
    void schedule(Follow& follow, Time at);
    void runTimers(Time now);
    void dropFollow(const TargetId& target);
    void emitEnd(CallId call, CallEnd end, Payload body, std::string detail);
    std::chrono::milliseconds pauseOf(const Follow& follow) const;
    void updateMetrics();

    const TargetTimes m_times;
    const EventSink m_sink;
    Ring<TargetAction> m_ring;
    HttpClient m_calls;
    HttpClient m_reports; ///< Connections of their own, so that a silent target shows.
    std::unordered_map<TargetId, std::unordered_map<CallId, RunningCall>> m_running;
    std::unordered_map<TargetId, Follow> m_follows;
    std::set<std::pair<Time, TargetId>> m_timers;
    std::array<Counter*, 7> m_ends {};
    Counter& m_reportCount;
    Counter& m_silentCount;
    Gauge& m_bytesOut;
    Gauge& m_bytesIn;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace sp
