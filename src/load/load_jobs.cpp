#include "load/load_runner.h"

#include <algorithm>

namespace sp::load {

namespace {

    using Json = nlohmann::json;

    constexpr std::chrono::milliseconds pollPeriod { 200 };
    constexpr std::size_t maxWaitingPolls = 64; ///< Each holds a connection; further jobs are polled without a wait.

    bool isFinalPhase(const std::string& phase)
    {
        return phase == "done" || phase == "failed" || phase == "cancelled" || phase == "unknown";
    }

} // namespace

void LoadRunner::sendJob(const ItemPtr& item)
{
    const Arrival& arrival = item->arrival;
    const Json body { { "workload", work(*item).workload }, { "tasks", arrival.tasks },
        { "cores_milli", arrival.declared.coresMilli }, { "memory_mb", arrival.declared.memoryMb },
        { "accelerators", arrival.declared.accelerators }, { "run_ms", arrival.declaredRunTime.count() },
        { "payload", arrival.payload } };
    HttpCall call { "POST", {}, body.dump(), callerHeaders(*item) };
    call.headers.emplace_back("Content-Type: application/json");
    callGateway(std::move(call), "/v1/jobs", [this, item](const HttpReply& reply) { jobAnswered(item, reply); });
}

void LoadRunner::jobAnswered(const ItemPtr& item, const HttpReply& reply)
{
    const Json body = Json::parse(reply.body, nullptr, false);
    if ((reply.status != 202 && reply.status != 200) || !body.is_object()) {
        errorAnswered(item, reply);
        return;
    }
    item->jobId = body.value("job_id", "");
    ++stats(*item).accepted;
    ++stats(*item).byKind["durability_" + body.value("durability", "none")];
    cancelLater(item, "/v1/jobs/" + item->jobId);
    pollJob(item);
}

void LoadRunner::pollJob(const ItemPtr& item)
{
    // A hold that waits to be released is polled until it runs.
    const bool isHold = work(*item).workClass == WorkClass::Hold && !item->isReleased;
    const bool waits = !isHold && m_polling < maxWaitingPolls;
    if (waits)
        ++m_polling;
    HttpCall call { "GET", {}, {}, callerHeaders(*item) };
    callGateway(std::move(call), "/v1/jobs/" + item->jobId + (waits ? "?wait_ms=5000" : "?wait_ms=0"),
        [this, item, waits](const HttpReply& reply) {
            if (waits)
                --m_polling;
            jobPolled(item, reply);
        });
}

void LoadRunner::jobPolled(const ItemPtr& item, const HttpReply& reply)
{
    const Json body = Json::parse(reply.body, nullptr, false);
    const std::string phase = reply.status == 200 && body.is_object() ? body.value("phase", "") : "";
    if (isFinalPhase(phase)) {
        ClassStats& figures = stats(*item);
        ++figures.byKind["job_" + phase];
        if (phase == "done") {
            ++figures.ok;
            ++m_seconds.ok;
        }
        finish(item, phase, "");
        return;
    }
    if (phase.empty())
        ++stats(*item).byKind["poll_failed"];
    if (work(*item).workClass == WorkClass::Hold && phase == "running" && !item->isReleased) {
        releaseLater(item);
        return;
    }
    m_client.after(pollPeriod, [this, item] { pollJob(item); });
}

void LoadRunner::releaseLater(const ItemPtr& item)
{
    item->isReleased = true;
    m_client.after(work(*item).holdTime, [this, item] {
        HttpCall call { "POST", {}, {}, callerHeaders(*item) };
        callGateway(std::move(call), "/v1/jobs/" + item->jobId + "/release", [this, item](const HttpReply& reply) {
            // A release that was not taken is sent again once the hold is seen running.
            if (reply.status < 200 || reply.status >= 300) {
                item->isReleased = false;
                ++stats(*item).byKind["release_failed"];
            }
            pollJob(item);
        });
    });
}

} // namespace sp::load
