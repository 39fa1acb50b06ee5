/** @file target.h What service instances and workers have in common: terms, reports, leaving. */
#pragma once

#include "standin/audit.h"
#include "standin/http_server.h"

#include <random>
#include <set>

namespace sp::standin {

/** Run times of the requests of a service. */
struct RunTimeModel {
    /** Form of the distribution. */
    enum class Kind : std::uint8_t { Fixed, Exponential, LongShare };
    Kind kind = Kind::Fixed;
    std::chrono::milliseconds mean { 20 }; ///< Mean, for LongShare that of the short ones.
    double longShare = 0; ///< For LongShare: share of long ones.
    double longFactor = 100; ///< For LongShare: how many times longer they run.
    Duration draw(std::mt19937_64& random) const;
};

/** Target host or process. */
class Target {
public:
    Target(std::string id, HttpServer& server, Audit& audit, std::uint64_t seed);
    virtual ~Target() = default;
    Target(const Target&) = delete;
    Target& operator=(const Target&) = delete;

    const std::string& id() const { return m_id; }
    std::string address() const { return m_server.address(m_listener); }
    ListenerId listener() const { return m_listener; }
    bool isLeaving() const { return m_leaving; }
    bool isDown() const { return m_down; }
    void open(const std::string& address, unsigned maxConnections, Duration delay);
    void setLeaving(bool leaving);
    void setSilent(bool silent) { m_server.setSilent(m_listener, silent); }
    void setDown(bool down);

protected:
    virtual void handle(const ExchangePtr& exchange) = 0;
    virtual nlohmann::json reportBody(std::uint64_t since) = 0;
    virtual void reported() { }
    virtual void lose() = 0;

    bool admitTerm(const ExchangePtr& exchange, const std::string& shard, std::uint64_t term);
    bool refuseIfLeaving(const ExchangePtr& exchange);
    void refuse(const ExchangePtr& exchange, int status, const char* reason);
    std::uint64_t nextSeq() const { return m_seq + 1; }
    void changed();
    void later(Duration delay, std::function<void()> action);

    std::string m_id;
    HttpServer& m_server;
    Audit& m_audit;
    std::mt19937_64 m_random;

private:
    struct Waiting {
        ExchangePtr exchange;
        std::string shard;
        std::uint64_t term = 0;
        std::uint64_t since = 0; ///< Finished work up to this number is known to the caller; 0: nothing is.
    };

    void dispatch(const ExchangePtr& exchange);
    void report(const ExchangePtr& exchange);
    void answerReport(const Waiting& waiting);

    ListenerId m_listener = -1;
    bool m_leaving = false;
    bool m_down = false;
    std::uint64_t m_incarnation = 0; ///< Counts restarts; timers of an earlier one do nothing.
    std::uint64_t m_seq = 1;
    std::map<std::string, std::uint64_t> m_terms; ///< Highest term seen, by shard.
    std::vector<Waiting> m_waiting;
};

} // namespace sp::standin
