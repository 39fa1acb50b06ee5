#include "ownership.h"
#include "soak/node.h"

namespace sp::soak {

namespace {

    constexpr std::chrono::seconds reconcileEvery { 2 };
    constexpr const char* ownerPrefix = "/sp/live/owner/";

    /** Ownership and Membership without the rest of the core: recovery ends at once, no work is placed. */
    class OwnershipNode : public Node {
    public:
        OwnershipNode(const NodeSettings& settings, std::vector<ShardId> shards)
            : m_settings(settings)
            , m_shards(std::move(shards))
            , m_membership(settings.host, settings.dataCentre, settings.peers)
            , m_ownership(config(settings), [this](StoreRequest request) { return call(std::move(request)); })
        {
        }
        void handle(const Event& event, Time now, const ActionSink& sink) override
        {
            m_sink = &sink;
            if (!m_isStarted)
                start(now);
            if (const auto* reply = std::get_if<StoreReply>(&event))
                storeReplied(*reply, now);
            else if (const auto* batch = std::get_if<StoreWatchBatch>(&event))
                watched(*batch, now);
            else if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&event))
                heartbeatReceived(*heartbeat, now);
            else if (const auto* ack = std::get_if<PeerHeartbeatAck>(&event))
                ackReceived(*ack, now);
            else if (std::holds_alternative<Ticked>(event))
                tick(now);
            else if (std::holds_alternative<DrainRequested>(event))
                drain(now);
            endRecoveries(now);
            m_sink = nullptr;
        }
        HoldLevel level(const ShardId& shard, Time now) const override { return m_ownership.level(shard, now); }
        Term term(const ShardId& shard) const override { return m_ownership.term(shard); }

    private:
        static OwnershipConfig config(const NodeSettings& settings)
        {
            OwnershipConfig made;
            made.self = settings.host;
            made.incarnation = settings.incarnation;
            for (const PeerConfig& peer : settings.peers) {
                if (peer.dataCentre == settings.dataCentre)
                    made.peers.push_back(peer.host);
            }
            made.seed = settings.seed;
            made.faults = settings.switches;
            return made;
        }
        StoreTicket call(StoreRequest request)
        {
            const StoreTicket ticket(++m_tickets);
            (*m_sink)(CallStore { ticket, std::move(request) });
            return ticket;
        }
        void start(Time now)
        {
            m_isStarted = true;
            m_ownership.start(now);
            m_ownership.setShards(m_shards, now);
        }
        void tick(Time now)
        {
            m_ownership.tick(now);
            if (now >= m_nextReconcile) {
                m_nextReconcile = now + reconcileEvery;
                m_reconcile = call(StoreRange { ownerPrefix, true, {} });
            }
            for (const HostId& peer : m_membership.heartbeatsDue(now))
                (*m_sink)(SendHeartbeat { peer, heartbeat(now) });
            if (m_isDraining && !m_isEnded && m_ownership.isReleased(now)) {
                m_isEnded = true;
                m_ownership.endSession(now);
                (*m_sink)(Drained {});
            }
        }
        HeartbeatMessage heartbeat(Time now) const
        {
            HeartbeatMessage message;
            message.sentAt = now;
            message.dataCentre = m_settings.dataCentre;
            message.ready = !m_isDraining;
            message.draining = m_isDraining;
            m_ownership.addHeld(message.loads);
            return message;
        }
        void heartbeatReceived(const PeerHeartbeat& event, Time now)
        {
            const auto& message = event.heartbeat;
            m_membership.heartbeatReceived(event.peer, event.incarnation, message, now);
            if (message.dataCentre == m_settings.dataCentre) {
                m_ownership.peerHolds(event.peer, event.incarnation, message.sentAt, message.loads, now);
                m_ownership.peerSeen(event.peer, event.incarnation, message.draining, now, message.ready);
            }
            const bool isNear = message.dataCentre == m_settings.dataCentre;
            const auto promise = isNear ? m_ownership.promiseFor(event.peer, now) : std::chrono::milliseconds(0);
            (*m_sink)(SendHeartbeatAck { event.peer, { message.sentAt, promise, {}, {} } });
        }
        void ackReceived(const PeerHeartbeatAck& event, Time now)
        {
            m_membership.ackReceived(event.peer, event.incarnation, event.ack.sentAt, now);
            m_ownership.promiseReceived(event.peer, event.ack.sentAt, event.ack.promise, now);
        }
        void storeReplied(const StoreReply& reply, Time now)
        {
            if (m_ownership.storeReplied(reply, now) || reply.ticket != m_reconcile || reply.status != StoreStatus::Ok)
                return;
            std::map<ShardId, std::string> values;
            for (const StoreKeyValue& found : reply.values)
                values[ShardId(found.key.substr(std::string(ownerPrefix).size()))] = found.value;
            for (const ShardId& shard : m_shards) {
                const auto it = values.find(shard);
                const auto value = it == values.end() ? std::nullopt : std::optional(it->second);
                m_ownership.ownerKeyChanged(shard, value, reply.revision, now);
            }
            // A difference means that the watch is silent, or only late, in which case a new one does no harm.
            if (values != m_watched)
                (*m_sink)(WatchStore { ownerPrefix, Revision(reply.revision.value + 1) });
            m_watched = std::move(values);
        }
        void watched(const StoreWatchBatch& batch, Time now)
        {
            const std::size_t cut = std::string(ownerPrefix).size();
            for (const StoreKeyValue& put : batch.puts) {
                m_watched[ShardId(put.key.substr(cut))] = put.value;
                m_ownership.ownerKeyChanged(ShardId(put.key.substr(cut)), put.value, put.modRevision, now);
            }
            for (const std::string& key : batch.deletes) {
                m_watched.erase(ShardId(key.substr(cut)));
                m_ownership.ownerKeyChanged(ShardId(key.substr(cut)), std::nullopt, batch.revision, now);
            }
        }
        void drain(Time now)
        {
            m_isDraining = true;
            m_ownership.releaseAll(now);
        }
        void endRecoveries(Time now)
        {
            for (const ShardId& shard : m_shards) {
                if (m_ownership.level(shard, now) == HoldLevel::Recovering)
                    m_ownership.recovered(shard, now);
            }
        }

        NodeSettings m_settings;
        std::vector<ShardId> m_shards;
        Membership m_membership;
        Ownership m_ownership;
        const ActionSink* m_sink = nullptr;
        bool m_isStarted = false;
        bool m_isDraining = false;
        bool m_isEnded = false;
        std::map<ShardId, std::string> m_watched; ///< Owner keys as the watch has shown them.
        std::uint64_t m_tickets = 0;
        StoreTicket m_reconcile;
        Time m_nextReconcile {};
    };

} // namespace

/** @param settings Settings. @param shards Shards of the data centre. @return Node without placement. */
std::unique_ptr<Node> makeOwnershipNode(const NodeSettings& settings, std::vector<ShardId> shards)
{
    return std::make_unique<OwnershipNode>(settings, std::move(shards));
}

} // namespace sp::soak
