#include "load/load_runner.h"

#include <algorithm>

namespace sp::load {

namespace {

    using Json = nlohmann::json;

    double elapsedMs(Time since) { return std::chrono::duration<double, std::milli>(BootClock::now() - since).count(); }

    std::int64_t microseconds(Time time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    void flatten(const Json& json, const std::string& name, std::map<std::string, double>& values)
    {
        if (json.is_number()) {
            values[name] = json.get<double>();
        } else if (json.is_object()) {
            for (const auto& [key, value] : json.items())
                flatten(value, name.empty() ? key : std::string(name).append(".").append(key), values);
        }
    }

} // namespace

/** @param spec Workload. @param options How to reach the system. */
LoadRunner::LoadRunner(LoadSpec spec, LoadOptions options)
    : m_spec(std::move(spec))
    , m_options(std::move(options))
    , m_client(m_spec.connections)
    , m_seconds(m_options.secondsFile, m_stats.processes = parseProcesses(m_options.processes))
{
    if (!m_options.resultsFile.empty())
        m_results = std::fopen(m_options.resultsFile.c_str(), "w");
    if (m_results)
        std::fprintf(m_results, "uid,class,workload,at_ms,end_ms,kind,outcome,job_id\n");
}

LoadRunner::~LoadRunner()
{
    if (m_results)
        std::fclose(m_results);
}

/** Runs all phases and waits for the answers. @param goOn Asked often; false ends the run early. @return Figures. */
LoadStats LoadRunner::run(const std::function<bool()>& goOn)
{
    readPlatformNow(m_stats.before);
    m_counts = m_stats.before;
    m_start = BootClock::now();
    m_stats.startMs = toMs(m_start.time_since_epoch());
    LoadPlan plan(m_spec, m_options.uidPrefix);
    auto next = plan.next();
    const Time settled = m_start + m_spec.duration() + m_spec.settle;
    for (int second = 1; goOn() && BootClock::now() < settled && (next || m_openItems > 0);) {
        startDue(plan, next);
        Duration wait = std::chrono::milliseconds(50);
        if (next)
            wait = std::min(wait, m_start + next->at - BootClock::now());
        m_client.step(std::max(wait, Duration(0)));
        for (; BootClock::now() >= m_start + std::chrono::seconds(second); ++second)
            everySecond(second);
    }
    m_stats.elapsedSeconds = std::chrono::duration<double>(BootClock::now() - m_start).count();
    for (ProcessCost& process : m_stats.processes)
        readCost(process);
    for (const auto& [uid, item] : m_open) {
        ++stats(*item).unfinished;
        if (m_results)
            std::fprintf(m_results, "%s,%s,%s,%.1f,,unfinished,,%s\n", uid.c_str(),
                workClassName(work(*item).workClass), work(*item).workload.c_str(),
                static_cast<double>(item->arrival.at.count()) / 1e6, item->jobId.c_str());
    }
    readPlatformNow(m_stats.after);
    checkRuns();
    m_stats.bytesSent = m_client.bytesSent();
    m_stats.bytesReceived = m_client.bytesReceived();
    return m_stats;
}

void LoadRunner::startDue(LoadPlan& plan, std::optional<Arrival>& next)
{
    while (next && m_start + next->at <= BootClock::now()) {
        begin(std::move(*next));
        next = plan.next();
    }
}

void LoadRunner::begin(Arrival arrival)
{
    auto item = std::make_shared<Item>();
    // Counted from the planned time, so that a slow load generator shows as a wait and not as a lower load.
    item->arrivedAt = m_start + arrival.at;
    item->arrival = std::move(arrival);
    ++m_openItems;
    m_open.emplace(item->arrival.uid, item);
    ++stats(*item).sent;
    ++m_seconds.sent;
    const bool isPrompt = work(*item).workClass == WorkClass::Prompt;
    if (!isPrompt)
        m_items.push_back(item);
    const auto send = [this, item, isPrompt] {
        if (!isPrompt)
            sendJob(item);
        else if (m_options.direct.empty())
            sendPrompt(item);
        else
            sendDirect(item);
    };
    if (m_spec.rtt.count() == 0)
        send();
    else
        m_client.after(m_spec.rtt, send);
}

std::vector<std::string> LoadRunner::callerHeaders(const Item& item) const
{
    std::vector<std::string> headers { "Sp-Caller: " + item.arrival.caller, "Sp-Client-Id: " + item.arrival.uid };
    if (item.arrival.isKeyed)
        headers.push_back("Idempotency-Key: " + item.arrival.uid);
    if (work(item).deadline.count() > 0)
        headers.push_back("Sp-Deadline-Ms: " + std::to_string(work(item).deadline.count()));
    return headers;
}

/** Sends a call to a gateway; if it accepts no connection, to the others in turn, as a balancer in front would. */
void LoadRunner::callGateway(HttpCall call, const std::string& path, HttpClient::Done done)
{
    callGatewayAt(std::move(call), path, m_nextGateway++, m_options.gateways.size(), std::move(done));
}

void LoadRunner::callGatewayAt(
    HttpCall call, const std::string& path, std::size_t index, std::size_t tries, HttpClient::Done done)
{
    call.url = "http://" + m_options.gateways[index % m_options.gateways.size()] + path;
    HttpCall copy = call;
    m_client.start(std::move(call),
        [this, copy = std::move(copy), path, index, tries, done = std::move(done)](const HttpReply& reply) {
            if (reply.status == 0 && !reply.wasSent && tries > 1)
                callGatewayAt(copy, path, index + 1, tries - 1, done);
            else
                done(reply);
        });
}

void LoadRunner::sendPrompt(const ItemPtr& item)
{
    HttpCall call { "POST", {}, item->arrival.payload, callerHeaders(*item) };
    call.headers.emplace_back("Content-Type: application/octet-stream");
    callGateway(std::move(call), "/v1/requests/" + work(*item).workload,
        [this, item](const HttpReply& reply) { promptAnswered(item, reply); });
    cancelLater(item, "/v1/requests/" + item->arrival.uid);
}

void LoadRunner::sendDirect(const ItemPtr& item)
{
    HttpCall call { "POST", "http://" + m_options.direct + "/run", item->arrival.payload,
        { "Sp-Request-Id: " + item->arrival.uid, "Sp-Shard: direct", "Sp-Term: 1" } };
    m_client.start(std::move(call), [this, item](const HttpReply& reply) { promptAnswered(item, reply); });
}

void LoadRunner::cancelLater(const ItemPtr& item, const std::string& path)
{
    if (!item->arrival.cancelAfter)
        return;
    const auto left = item->arrivedAt + *item->arrival.cancelAfter - BootClock::now();
    m_client.after(std::max(left, Duration(0)), [this, item, path] {
        if (item->isFinal)
            return;
        ++stats(*item).cancelsSent;
        HttpCall call { "DELETE", {}, {}, callerHeaders(*item) };
        callGateway(std::move(call), path, [](const HttpReply&) {});
    });
}

/** Whether an answer is whole and belongs to the request. @return What is wrong, empty if nothing. */
std::string LoadRunner::checkAnswer(const Item& item, const HttpReply& reply)
{
    const Json body = Json::parse(reply.body, nullptr, false);
    if (!body.is_object())
        return "answer is not whole";
    if (body.value("uid", "") != item.arrival.uid)
        return "answer belongs to " + body.value("uid", "nothing");
    if (body.value("digest", "") != payloadDigest(item.arrival.payload)
        || body.value("bytes", std::size_t { 0 }) != item.arrival.payload.size())
        return "payload was changed on its way";
    if (body.value("filler", "") != fillerText(item.arrival.uid, work(item).answerBytes))
        return "filler of the answer is wrong";
    const double runMs = body.value("run_us", 0.0) / 1000;
    const double waitMs = (body.value("start_us", 0.0) - static_cast<double>(microseconds(item.arrivedAt))) / 1000;
    ClassStats& figures = m_stats.classes[WorkClass::Prompt];
    figures.waitMs.add(waitMs);
    m_seconds.waitMs.add(waitMs);
    figures.overheadMs.add(elapsedMs(item.arrivedAt) - runMs);
    return {};
}

void LoadRunner::promptAnswered(const ItemPtr& item, const HttpReply& reply)
{
    if (reply.status != 200) {
        errorAnswered(item, reply);
        return;
    }
    if (const std::string problem = checkAnswer(*item, reply); !problem.empty()) {
        ++stats(*item).wrongAnswers;
        m_stats.addFault(item->arrival.uid + ": " + problem);
        finish(item, "wrong", "");
        return;
    }
    ++stats(*item).ok;
    ++m_seconds.ok;
    finish(item, "ok", "ran");
}

void LoadRunner::errorAnswered(const ItemPtr& item, const HttpReply& reply)
{
    ClassStats& figures = stats(*item);
    if (reply.status == 0) {
        ++figures.noAnswer;
        ++figures.byKind[reply.wasSent ? "no_answer" : "not_connected"];
        ++m_seconds.errors;
        finish(item, "no_answer", "");
        return;
    }
    const Json body = Json::parse(reply.body, nullptr, false);
    std::string kind = "status_" + std::to_string(reply.status);
    std::string outcome;
    if (body.is_object()) {
        kind = body.value("error", kind);
        outcome = body.value("outcome", outcome);
    }
    ++figures.byKind[kind];
    ++figures.byOutcome[outcome.empty() ? "none" : outcome];
    if (outcome == "not_run") {
        ++m_seconds.refused;
        figures.refusalMs.add(elapsedMs(item->arrivedAt));
        if (work(*item).workClass == WorkClass::Prompt)
            m_items.push_back(item);
    } else {
        ++m_seconds.errors;
    }
    finish(item, kind, outcome);
}

void LoadRunner::finish(const ItemPtr& item, const std::string& kind, const std::string& outcome)
{
    if (item->isFinal)
        return;
    item->isFinal = true;
    item->kind = kind;
    item->outcome = outcome;
    m_open.erase(item->arrival.uid);
    --m_openItems;
    if (m_results)
        std::fprintf(m_results, "%s,%s,%s,%.1f,%.1f,%s,%s,%s\n", item->arrival.uid.c_str(),
            workClassName(work(*item).workClass), work(*item).workload.c_str(),
            static_cast<double>(item->arrival.at.count()) / 1e6, elapsedMs(m_start), kind.c_str(), outcome.c_str(),
            item->jobId.c_str());
    item->arrival.payload.clear();
}

void LoadRunner::everySecond(double second)
{
    m_seconds.write(second, m_openItems, m_stats.processes, m_counts);
    readPlatform(m_counts);
    if (!m_options.showsProgress)
        return;
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    for (const auto& [workClass, figures] : m_stats.classes) {
        sent += figures.sent;
        ok += figures.ok;
    }
    std::fprintf(stderr, "\r%.0f of %.0f s: %llu sent, %llu ok, %zu open   ", second,
        std::chrono::duration<double>(m_spec.duration()).count(), static_cast<unsigned long long>(sent),
        static_cast<unsigned long long>(ok), m_openItems);
}

void LoadRunner::readPlatform(PlatformCounts& counts)
{
    if (m_options.control.empty())
        return;
    m_client.start(
        { "GET", "http://" + m_options.control + "/control/stats", {}, {} }, [&counts](const HttpReply& reply) {
            if (reply.status == 200)
                flatten(Json::parse(reply.body, nullptr, false), "", counts.values);
        });
}

void LoadRunner::readPlatformNow(PlatformCounts& counts)
{
    if (m_options.control.empty())
        return;
    bool isDone = false;
    m_client.start({ "GET", "http://" + m_options.control + "/control/stats", {}, {} }, [&](const HttpReply& reply) {
        isDone = true;
        if (reply.status == 200)
            flatten(Json::parse(reply.body, nullptr, false), "", counts.values);
    });
    while (!isDone)
        m_client.step(std::chrono::milliseconds(50));
}

/** Compares what callers were told with the stand-in's own record. */
void LoadRunner::checkRuns()
{
    if (m_options.control.empty())
        return;
    bool isDone = false;
    m_client.start({ "GET", "http://" + m_options.control + "/control/runs?prefix=" + m_options.uidPrefix, {}, {} },
        [&](const HttpReply& reply) {
            isDone = true;
            const Json runs = Json::parse(reply.body, nullptr, false);
            if (reply.status != 200 || !runs.is_object()) {
                m_stats.addFault("the stand-in's record can't be read");
                return;
            }
            for (const ItemPtr& item : m_items) {
                const auto run = runs.find(item->arrival.uid);
                checkRun(*item, run == runs.end() ? Json::array({ 0, 0, 0, 0 }) : *run);
            }
        });
    while (!isDone)
        m_client.step(std::chrono::milliseconds(50));
}

void LoadRunner::checkRun(const Item& item, const Json& run)
{
    const auto starts = run.at(0).get<std::uint64_t>();
    const auto successes = run.at(1).get<std::uint64_t>();
    ClassStats& figures = stats(item);
    if (item.outcome == "not_run" && starts > 0) {
        ++figures.wronglyNotRun;
        m_stats.addFault(
            item.arrival.uid + ": told not_run (" + item.kind + "), started " + std::to_string(starts) + " times");
    }
    const WorkClass workClass = work(item).workClass;
    if (workClass == WorkClass::Prompt)
        return;
    if (item.kind == "done" && workClass != WorkClass::Hold && successes < item.arrival.tasks) {
        ++figures.wrongAnswers;
        m_stats.addFault(item.jobId + ": told done with " + std::to_string(successes) + " of "
            + std::to_string(item.arrival.tasks) + " tasks successful");
    }
    if (starts > 0)
        figures.waitMs.add((run.at(2).get<double>() - static_cast<double>(microseconds(item.arrivedAt))) / 1000);
}

} // namespace sp::load
