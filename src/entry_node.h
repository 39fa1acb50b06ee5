/** @file entry_node.h One entry host: takes callers' requests, owns the cell or passes them to the host that does. */
#pragma once

#include "advice_broker.h"
#include "cell_owner.h"
#include "cell_session.h"
#include "http_client.h"
#include "http_listener.h"
#include "order_relay.h"
#include "order_router.h"
#include "owner_watch.h"
#include "peer_presence.h"
#include "record_log.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sp {

namespace proto {
    class OwnerCall;
    class OwnerAnswer;
}

/** What a caller asks for. */
enum class CallerAction : std::uint8_t { Submit, State, Cancel, Count };

/** Request of a caller. */
struct CallerRequest {
    CallerAction action = CallerAction::State;
    QueueId queue;
    JobId job; ///< Empty for Count.
    std::optional<CellJobSpec> spec; ///< For Submit.
    Time receivedAt {};
    std::chrono::milliseconds patience { 0 }; ///< How long the caller waits for an answer, from receivedAt.
};

/** What the caller is told. */
struct CallerResult {
    /** Kinds of result. */
    enum class Kind : std::uint8_t {
        Done,
        Refused, ///< Nothing was done and nothing will be.
        Uncertain, ///< No answer in time; the same request may be sent again.
        Gone, ///< No such job.
    };
    Kind kind = Kind::Uncertain;
    std::string state; ///< For State.
    std::uint64_t count = 0; ///< For Count.
    std::chrono::milliseconds retryAfter { 0 }; ///< For Refused.
    std::string reason;
};

/** What an entry host needs from its surroundings; all calls answer later, on the same thread. */
struct EntryNodeHooks {
    std::function<void(StoreRequest&&, std::chrono::milliseconds timeout, CellSessionHooks::Reply)> storeCall;
    std::function<void(StoreWatch&&, std::function<void(StoreWatchReply&&)>)> storeWatch;
    std::function<std::optional<CellConfig>(const std::string& value)> decodeConfig;
    std::function<void(std::function<void(std::optional<std::vector<TargetEntry>>)>)> listTargets;
    TargetCall callTarget;
    std::function<void(const AdviceQuestion&, std::chrono::milliseconds timeout, std::function<void(AdviceReply&&)>)>
        advise;
    std::function<void(const std::string& address, const std::string& path, std::string&& body,
        std::chrono::milliseconds timeout, std::function<void(HttpResult&&)>)>
        callPeer;
    std::function<Time()> clock;
    std::function<CalendarTime()> calendar;
};

/** What an entry host is. */
struct EntryNodeConfig {
    CellSessionConfig session;
    std::string configKey; ///< Key of the configuration, below the operator's prefix.
    CellBounds bounds;
    std::uint64_t instance = 0; ///< Distinguishes this process from earlier ones of the host.
};

class EntryNode {
public:
    using CallerReply = std::function<void(CallerResult&&)>;

    EntryNode(EntryNodeConfig config, Metrics& metrics, EntryNodeHooks hooks);

    void handle(CallerRequest&& request, CallerReply reply);
    void handlePeer(ServedCall&& call, HttpListener::Reply reply);
    const CellConfig* config() const { return m_config ? &*m_config : nullptr; }
    bool ready(Time now, std::string& reason) const;
    void drain();
    bool draining() const { return m_draining; }
    std::size_t openRequests() const { return m_openRequests; }
    void tick(Time now);
    Time wakeAt(Time now) const;
    void loopWasLate(std::chrono::milliseconds late, Time now);
    std::string statusText(Time now) const { return m_owner.statusText(now); }

private:
    static constexpr std::chrono::milliseconds recordTimeout {
        1000
    }; ///< A slow store answers within a quarter of a second.
    static constexpr std::chrono::milliseconds peerRetry {
        60
    }; ///< Knowledge of a new owner spreads within a round trip.
    static constexpr const char* callPath = "/cell/call";
    static constexpr const char* advicePath = "/cell/advice";
    static constexpr const char* pingPath = "/cell/ping";
    static constexpr const char* relayPath = "/cell/relay";

    struct Pending;

    CellOwnerHooks ownerHooks();
    CellSessionHooks sessionHooks();
    RecordLogHooks logHooks();
    OrderRouterHooks routerHooks();
    void operatorChanged(const std::string& key, const std::optional<StoreKeyValue>& item);
    void won(Revision token);
    void lost(const std::string& reason);
    void readRecords(const std::string& prefix, const std::string& after, std::uint64_t round);
    void beginIfRead(std::uint64_t round);
    void listTargets(Time now);
    void sendAdvice(const HostId& host, const AdviceQuestion& question, std::uint64_t ticket);
    void tryOnce(const std::shared_ptr<Pending>& pending);
    void finishPending(const std::shared_ptr<Pending>& pending, CallerResult&& result);
    void ownerSilent(const std::shared_ptr<Pending>& pending, const HttpResult& result);
    void takeOwnerAnswer(const std::shared_ptr<Pending>& pending, const proto::OwnerAnswer& answer);
    std::string addressToAsk(int tries, Time now) const;
    void retryPending(const std::shared_ptr<Pending>& pending, const char* reason, bool sent);
    std::chrono::milliseconds patienceForOwner(Time now) const;
    void readStateFromStore(const std::shared_ptr<Pending>& pending);
    void serveOwnerCall(const proto::OwnerCall& call, const std::function<void(const proto::OwnerAnswer&)>& reply);
    void servePeerAdvice(const ServedCall& call, HttpListener::Reply reply);
    void checkPeers(Time now);
    void watchOwner(Time now);

    const EntryNodeConfig m_settings;
    const EntryNodeHooks m_hooks;
    std::optional<CellConfig> m_config;
    RecordLog m_log;
    CellOwner m_owner;
    CellSession m_session;
    AdviceBroker m_broker;
    OrderRouter m_router; ///< Ways of the orders of this host as the owner.
    OrderRelay m_relay; ///< Carries orders of an owner on another host.
    std::map<std::uint64_t, AdviceQuestion> m_questions;

    // Take-over.
    std::uint64_t m_round = 0;
    CellRecords m_records;
    int m_reads = 0; ///< Reads of the take-over that are not complete.
    std::optional<std::vector<TargetEntry>> m_firstTargets;
    Time m_wonAt {};

    // Regular duties of the owner.
    Time m_listAt {};
    bool m_listOpen = false;
    bool m_listFailed = false;
    Time m_listRegainedAt {};
    Time m_pingAt {};
    PeerPresence m_peers;

    OwnerWatch m_watch; ///< Of the owner, while this host is among the first in line to replace it.
    Time m_lateSince {};
    Time m_lateLast {};

    std::vector<std::pair<Time, std::shared_ptr<Pending>>> m_retries;
    std::size_t m_openRequests = 0;
    bool m_draining = false;
    Counter& m_forwarded;
    Counter& m_uncertain;
    Histogram& m_requestSeconds;
};

} // namespace sp
