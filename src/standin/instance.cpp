#include "standin/instance.h"

#include "work_payload.h"

namespace sp::standin {

namespace {

    constexpr std::chrono::seconds finishedKept { 6 }; ///< Three report periods of 2 s.

} // namespace

/** @param id Target id. @param server Server. @param audit Record. @param seed Seed. @param slots Slots. @param runTime
 * Run times of requests that don't state one. */
Instance::Instance(
    std::string id, HttpServer& server, Audit& audit, std::uint64_t seed, unsigned slots, RunTimeModel runTime)
    : Target(std::move(id), server, audit, seed)
    , m_slots(slots)
    , m_runTime(runTime)
{
}

void Instance::handle(const ExchangePtr& exchange)
{
    if (exchange->method == "POST" && exchange->path == "/run") {
        run(exchange);
        return;
    }
    ++m_audit.counters.badRequests;
    exchange->answer({ 404, "{}", {}, false });
}

void Instance::run(const ExchangePtr& exchange)
{
    const std::string request = exchange->header("Sp-Request-Id");
    const std::string shard = exchange->header("Sp-Shard");
    if (request.empty() || shard.empty()) {
        ++m_audit.counters.badRequests;
        exchange->answer({ 400, R"({"error":"Sp-Request-Id or Sp-Shard is missing"})", {}, false });
        return;
    }
    if (!admitTerm(exchange, shard, std::strtoull(exchange->header("Sp-Term").c_str(), nullptr, 10))
        || refuseIfLeaving(exchange))
        return;
    if (m_running.size() >= m_slots) {
        ++m_audit.counters.refusedFull;
        refuse(exchange, 429, "full");
        return;
    }
    const WorkPayload payload = parseWorkPayload(exchange->body);
    const Duration time = payload.runTime ? Duration(*payload.runTime) : m_runTime.draw(m_random);
    m_running.emplace(request, payload.uid);
    m_audit.requestStarted(request, payload.uid, m_id);
    if (m_running.size() > m_slots)
        m_audit.overcommitted(m_id, std::to_string(m_running.size()) + " requests");
    nlohmann::json answer { { "instance", m_id }, { "request_id", request },
        { "digest", payloadDigest(exchange->body) }, { "bytes", exchange->body.size() }, { "uid", payload.uid },
        { "filler", fillerText(payload.uid, payload.answerBytes) } };
    const Time started = BootClock::now();
    answer["start_us"] = std::chrono::duration_cast<std::chrono::microseconds>(started.time_since_epoch()).count();
    later(time, [this, request, exchange, started, answer = std::move(answer), fails = payload.fails]() mutable {
        // The true run time, with the lateness of the timer, so that a caller can tell it from the system's delay.
        answer["run_us"] = std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - started).count();
        finish(request, exchange, answer.dump(), fails);
    });
}

void Instance::finish(const std::string& request, const ExchangePtr& exchange, const std::string& answer, bool fails)
{
    const auto it = m_running.find(request);
    if (it == m_running.end())
        return;
    m_audit.requestEnded(request, it->second, fails ? RunEnd::Failed : RunEnd::Succeeded);
    m_running.erase(it);
    m_finished.emplace_back(BootClock::now(), request);
    exchange->answer({ fails ? 500 : 200, answer, { { "Sp-Request-Id", request } }, false });
}

nlohmann::json Instance::reportBody(std::uint64_t /*since*/)
{
    const Time now = BootClock::now();
    while (!m_finished.empty() && m_finished.front().first + finishedKept < now)
        m_finished.pop_front();
    nlohmann::json running = nlohmann::json::array();
    for (const auto& [request, uid] : m_running)
        running.push_back(request);
    nlohmann::json finished = nlohmann::json::array();
    for (const auto& [time, request] : m_finished)
        finished.push_back({ { "id", request }, { "end", "succeeded" }, { "result", "" } });
    return { { "requests", std::move(running) }, { "tasks", nlohmann::json::array() },
        { "finished", std::move(finished) } };
}

void Instance::lose()
{
    for (const auto& [request, uid] : m_running)
        m_audit.requestEnded(request, uid, RunEnd::TargetLost);
    m_running.clear();
    m_finished.clear();
}

} // namespace sp::standin
