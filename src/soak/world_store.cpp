#include "soak/world.h"

namespace sp::soak {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    constexpr milliseconds storeTimeout { 1000 }; ///< After this time the caller's I/O gives a call up.

    /** Text of a call for the trace. */
    std::string describe(const StoreRequest& request)
    {
        if (const auto* txn = std::get_if<StoreTxn>(&request)) {
            std::string text = "txn";
            for (const StoreWrite& change : txn->writes)
                text += (change.kind == StoreWrite::Kind::Put ? " put " : " delete ") + change.key;
            return text;
        }
        if (const auto* range = std::get_if<StoreRange>(&request))
            return "range " + range->key;
        if (std::holds_alternative<StoreLeaseGrant>(request))
            return "grant";
        return std::holds_alternative<StoreLeaseKeepAlive>(request) ? "keepalive" : "revoke";
    }

} // namespace

void World::callStore(Process& process, const CallStore& call)
{
    const Duration delay = m_time.between(microseconds(50), milliseconds(1));
    m_time.after(delay, [this, host = process.host, generation = process.generation, call] {
        Process& sender = *find(host);
        whenRunning(sender, generation, [this, host, generation, call] { sendToStore(*find(host), generation, call); });
    });
}

void World::replyFromStore(
    Process& process, std::uint64_t generation, const CallStore& call, StoreReply reply, Duration delay)
{
    reply.ticket = call.ticket;
    reply.sentAt = localTime(process);
    m_time.after(delay, [this, host = process.host, generation, reply] { deliver(*find(host), generation, reply); });
}

/** Sends a call at the present time; what the faults do to it is decided here. */
void World::sendToStore(Process& process, std::uint64_t generation, const CallStore& call)
{
    if (m_faults.storeDown || m_faults.cutFromStore.contains(process.host)) {
        StoreReply reply;
        reply.status = m_time.chance(0.3) ? StoreStatus::Refused : StoreStatus::Lost;
        replyFromStore(process, generation, call, reply,
            reply.status == StoreStatus::Refused ? Duration(milliseconds(1)) : Duration(storeTimeout));
        return;
    }
    const Duration there = m_faults.storeSlow ? m_time.between(milliseconds(5), milliseconds(900))
                                              : m_time.between(microseconds(300), milliseconds(3));
    const bool isAnswerLost = m_faults.storeAnswerLoss > 0 && m_time.chance(m_faults.storeAnswerLoss);
    const bool isLate = m_faults.storeLateWrite > 0 && m_time.chance(m_faults.storeLateWrite);
    const Duration arrival = isLate ? m_time.between(storeTimeout, std::chrono::seconds(6)) : there;
    const Time sentAt = localTime(process);
    const Time givenUpAt = m_time.now() + storeTimeout;
    if (isLate || isAnswerLost)
        replyFromStore(process, generation, call, StoreReply {}, storeTimeout);
    m_time.after(arrival, [=, this, host = process.host] {
        StoreReply reply = m_store.apply(call.request, m_time.now());
        if (!std::holds_alternative<StoreRange>(call.request)
            && !std::holds_alternative<StoreLeaseKeepAlive>(call.request))
            m_time.trace(host.value + " store: " + describe(call.request) + " status "
                + std::to_string(static_cast<int>(reply.status)) + (isLate || isAnswerLost ? " (answer lost)" : ""));
        if (isLate || isAnswerLost)
            return;
        reply.ticket = call.ticket;
        reply.sentAt = sentAt;
        if (m_time.now() + there > givenUpAt)
            reply = StoreReply { call.ticket, StoreStatus::Lost, {}, 0, {}, {}, {}, sentAt };
        m_time.after(there, [this, host, generation, reply] { deliver(*find(host), generation, reply); });
    });
}

/** Delivers what the watches have not delivered yet. */
void World::pumpWatches()
{
    for (Process& process : m_processes) {
        if (!process.node || m_faults.storeDown || m_faults.cutFromStore.contains(process.host))
            continue;
        for (auto& [prefix, watch] : process.watches) {
            if (watch.isSilent || m_store.revision() < watch.next)
                continue;
            const StoreWatchBatch batch = m_store.changesSince(prefix, watch.next);
            watch.next = Revision(m_store.revision().value + 1);
            if (batch.puts.empty() && batch.deletes.empty())
                continue;
            m_time.after(m_time.between(milliseconds(1), milliseconds(8)),
                [this, host = process.host, generation = process.generation, batch] {
                    deliver(*find(host), generation, batch);
                });
        }
    }
}

} // namespace sp::soak
