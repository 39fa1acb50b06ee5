/** @file instance.h Service instance that runs prompt requests in its slots. */
#pragma once

#include "standin/target.h"

#include <deque>

namespace sp::standin {

/** Service instance. */
class Instance : public Target {
public:
    Instance(
        std::string id, HttpServer& server, Audit& audit, std::uint64_t seed, unsigned slots, RunTimeModel runTime);

protected:
    void handle(const ExchangePtr& exchange) override;
    nlohmann::json reportBody(std::uint64_t since) override;
    void lose() override;

private:
    void run(const ExchangePtr& exchange);
    void finish(const std::string& request, const ExchangePtr& exchange, const std::string& answer, bool fails);

    unsigned m_slots;
    RunTimeModel m_runTime;
    std::multimap<std::string, std::string> m_running; ///< Uid of the payload by request id.
    std::deque<std::pair<Time, std::string>> m_finished; ///< Request ids that ended in the last seconds.
};

} // namespace sp::standin
