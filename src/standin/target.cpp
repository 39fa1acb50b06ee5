#include "standin/target.h"

#include "fnv_hash_func.h"

#include <algorithm>

namespace sp::standin {

namespace {

    std::uint64_t number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

} // namespace

/** Draws a run time. @param random Source of random numbers. @return Run time. */
Duration RunTimeModel::draw(std::mt19937_64& random) const
{
    switch (kind) {
    case Kind::Fixed:
        break;
    case Kind::Exponential: {
        std::exponential_distribution<double> distribution(1.0);
        return std::chrono::duration_cast<Duration>(distribution(random) * mean);
    }
    case Kind::LongShare: {
        std::uniform_real_distribution<double> distribution(0, 1);
        if (distribution(random) < longShare)
            return std::chrono::duration_cast<Duration>(longFactor * mean);
        break;
    }
    }
    return mean;
}

/** @param id Target id. @param server Server. @param audit Record. @param seed Seed of the run. */
Target::Target(std::string id, HttpServer& server, Audit& audit, std::uint64_t seed)
    : m_id(std::move(id))
    , m_server(server)
    , m_audit(audit)
    , m_random(fnvHash(m_id) ^ (seed * 0x9e3779b97f4a7c15ULL))
{
}

/** Starts to listen. @param address `ip:port`. @param maxConnections Limit, 0 for none. @param delay Round trip time
 * of the network, half of it before a call takes effect. */
void Target::open(const std::string& address, unsigned maxConnections, Duration delay)
{
    m_listener = m_server.listen(
        address,
        [this, delay](const ExchangePtr& exchange) {
            if (delay.count() == 0)
                dispatch(exchange);
            else
                later(delay, [this, exchange] { dispatch(exchange); });
        },
        maxConnections);
}

void Target::dispatch(const ExchangePtr& exchange)
{
    if (exchange->isClosed())
        return;
    if (exchange->method == "GET" && exchange->path == "/report")
        report(exchange);
    else
        handle(exchange);
}

/** Starts or ends leaving. @param leaving True to leave. */
void Target::setLeaving(bool leaving)
{
    m_leaving = leaving;
    changed();
}

/** Stops, which loses all running work and all memory, or starts anew. @param down True to stop. */
void Target::setDown(bool down)
{
    if (down == m_down)
        return;
    m_down = down;
    if (!down) {
        m_server.reopenListener(m_listener);
        return;
    }
    ++m_incarnation;
    m_server.closeListener(m_listener);
    lose();
    m_terms.clear();
    m_waiting.clear();
    m_seq = 1;
    m_leaving = false;
}

/** Runs an action later unless the target has stopped. @param delay Delay. @param action Action. */
void Target::later(Duration delay, std::function<void()> action)
{
    m_server.after(delay, [this, incarnation = m_incarnation, action = std::move(action)] {
        if (incarnation == m_incarnation)
            action();
    });
}

void Target::refuse(const ExchangePtr& exchange, int status, const char* reason)
{
    exchange->answer({ status, "{}", { { "Sp-Refused", reason } }, false });
}

bool Target::admitTerm(const ExchangePtr& exchange, const std::string& shard, std::uint64_t term)
{
    std::uint64_t& highest = m_terms[shard];
    if (term < highest) {
        ++m_audit.counters.refusedTerm;
        refuse(exchange, 409, "term");
        return false;
    }
    if (term == highest)
        return true;
    highest = term;
    // Reports that wait under an older term end, so that their owner learns of the newer one.
    const auto old = std::partition(m_waiting.begin(), m_waiting.end(),
        [&](const Waiting& waiting) { return waiting.shard != shard || waiting.term >= term; });
    for (auto it = old; it != m_waiting.end(); ++it)
        refuse(it->exchange, 409, "term");
    m_waiting.erase(old, m_waiting.end());
    return true;
}

bool Target::refuseIfLeaving(const ExchangePtr& exchange)
{
    if (!m_leaving)
        return false;
    ++m_audit.counters.refusedLeaving;
    refuse(exchange, 503, "leaving");
    return true;
}

void Target::report(const ExchangePtr& exchange)
{
    ++m_audit.counters.reports;
    Waiting waiting { exchange, exchange->query("shard"), number(exchange->query("term")),
        number(exchange->query("since")) };
    // The first report under a term is complete, since a new owner may know nothing of the finished work.
    if (waiting.term > m_terms[waiting.shard])
        waiting.since = 0;
    if (!admitTerm(exchange, waiting.shard, waiting.term))
        return;
    reported();
    const auto wait = std::chrono::milliseconds(std::min<std::uint64_t>(number(exchange->query("wait_ms")), 30000));
    if (waiting.since != m_seq || wait.count() == 0) {
        answerReport(waiting);
        return;
    }
    m_waiting.push_back(waiting);
    later(wait, [this, exchange] {
        const auto it = std::find_if(
            m_waiting.begin(), m_waiting.end(), [&](const Waiting& other) { return other.exchange == exchange; });
        if (it == m_waiting.end())
            return;
        answerReport(*it);
        m_waiting.erase(it);
    });
}

void Target::answerReport(const Waiting& waiting)
{
    nlohmann::json body = reportBody(waiting.since);
    body["highest_term"] = m_terms[waiting.shard];
    body["leaving"] = m_leaving;
    body["seq"] = m_seq;
    waiting.exchange->answer({ 200, body.dump(), {}, false });
}

void Target::changed()
{
    ++m_seq;
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const Waiting& one : waiting)
        answerReport(one);
}

} // namespace sp::standin
