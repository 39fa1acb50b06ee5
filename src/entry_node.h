/** @file entry_node.h Entry host: serves callers' requests as owner of the cell or forwards them to the owner. */
#pragma once

#include "account_keys.h"
#include "advice_broker.h"
#include "cell_owner.h"
#include "cell_session.h"
#include "http_client.h"
#include "http_listener.h"
#include "loop_load.h"
#include "order_relay.h"
#include "order_router.h"
#include "owner_watch.h"
#include "peer_presence.h"
#include "record_log.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sp {

namespace proto {
    class OwnerCall;
    class OwnerAnswer;
}

/** Submit, State and Cancel refer to one job; Count returns the number of pending jobs of a queue. */
enum class CallerAction : std::uint8_t { Submit, State, Cancel, Count };

struct CallerRequest {
    CallerAction action = CallerAction::State;
    AccountId account; ///< Account whose key the request carried; empty for none.
    QueueId queue;
    JobId job; ///< Empty for Count.
    std::optional<CellJobSpec> spec; ///< Set for Submit only.
    Time receivedAt {};
    std::chrono::milliseconds patience { 0 }; ///< Time limit for the answer, counted from receivedAt.
};

/** Answer to a caller's request. */
struct CallerResult {
    enum class Kind : std::uint8_t {
        Done,
        Refused, ///< The request was not and will not be executed.
        Uncertain, ///< The request may have been executed; it is safe to repeat.
        Gone, ///< The job does not exist.
        Forbidden, ///< The job belongs to another account.
    };
    Kind kind = Kind::Uncertain;
    std::string state; ///< Name of the job's state; set for State only.
    std::uint64_t count = 0; ///< Number of pending jobs of the queue; set for Count only.
    std::chrono::milliseconds retryAfter { 0 }; ///< Delay before the caller should try again; set for Refused only.
    std::string reason;
};

/**
 * Functions through which an entry host reaches the store, targets and other hosts. Replies come asynchronously, on the
 * same thread.
 */
struct EntryNodeHooks {
    std::function<void(StoreRequest&&, std::chrono::milliseconds timeout, CellSessionHooks::Reply)> storeCall;
    std::function<void(StoreWatch&&, std::function<void(StoreWatchReply&&)>)> storeWatch;
    std::function<std::optional<CellConfig>(const std::string& value)> decodeConfig;
    std::function<void(std::function<void(TargetList)>)> listTargets; ///< The reply is null if the store fails.
    TargetCall callTarget;
    std::function<void(const AdviceQuestion&, std::chrono::milliseconds timeout, std::function<void(AdviceReply&&)>)>
        advise;
    std::function<void(const std::string& address, const std::string& path, std::string&& body,
        std::chrono::milliseconds timeout, std::function<void(HttpResult&&)>)>
        callPeer;
    std::function<Time()> clock;
    std::function<CalendarTime()> calendar;
};

struct EntryNodeConfig {
    CellSessionConfig session;
    std::string configKey; ///< Store key of the cell's configuration, under the operator's prefix.
    CellBounds bounds;
    std::uint64_t instance = 0; ///< Unique for each process, so that a restart of the host is detected.
};

/**
 * Serves callers' requests. The host that owns the cell executes them; the others forward them to the owner, monitor it
 * and take over the cell when it fails. Not thread-safe.
 */
class EntryNode {
public:
    using CallerReply = std::function<void(CallerResult&&)>;

    EntryNode(EntryNodeConfig config, Metrics& metrics, EntryNodeHooks hooks);

    void handle(CallerRequest&& request, CallerReply reply);
    void handlePeer(ServedCall&& call, HttpListener::Reply reply);
    const CellConfig* config() const { return m_config ? &*m_config : nullptr; }
    AccountKeys::Match identify(
        const QueueConfig& queue, const std::optional<std::string>& authorization, bool repeated) const;
    bool ready(Time now, std::string& reason) const;
    void drain(Time answerBy);
    bool draining() const { return m_answerBy.has_value(); }
    std::size_t openRequests() const { return m_open.size(); }
    void tick(Time now);
    Time wakeAt(Time now) const;
    void handleCallbackFailure();
    void loopWasLate(std::chrono::milliseconds late, Time now);
    void loopTurned(Time began, Time ended);
    std::string statusText(Time now) const { return m_owner.statusText(now); }

private:
    static constexpr std::chrono::milliseconds recordReadTimeout { 1000 }; ///< A slow store answers within 250 ms.
    static constexpr std::chrono::milliseconds peerRetryDelay {
        60
    }; ///< Other hosts learn of a new owner within one round trip.
    static constexpr const char* ownerCallPath = "/cell/call";
    static constexpr const char* advicePath = "/cell/advice";
    static constexpr const char* pingPath = "/cell/ping";
    static constexpr const char* relayPath = "/cell/relay";

    struct PendingRequest;

    CellOwnerHooks ownerHooks();
    CellSessionHooks sessionHooks();
    RecordLogHooks recordLogHooks();
    OrderRouterHooks routerHooks();
    void operatorKeyChanged(const std::string& key, const std::optional<StoreKeyValue>& item);
    void onCellAcquired(Revision token);
    void onCellLost(const std::string& reason);
    void readRecords(const std::string& prefix, const std::string& after, std::uint64_t epoch);
    void beginOwnershipIfLoaded(std::uint64_t epoch);
    void retryReads(Time now);
    void listTargets(Time now);
    Time beginOwnerEvent();
    TargetRef permittedRef(const CellTarget& target) const;
    void yieldToStrongerHost(Time now);
    void sendAdvice(const HostId& host, const AdviceQuestion& question, std::uint64_t ticket);
    void attemptRequest(const std::shared_ptr<PendingRequest>& pending);
    void answerCaller(const std::shared_ptr<PendingRequest>& pending, CallerResult&& result);
    void handleOwnerCallFailure(const std::shared_ptr<PendingRequest>& pending, const HttpResult& result);
    void handleOwnerAnswer(const std::shared_ptr<PendingRequest>& pending, const proto::OwnerAnswer& answer);
    std::string forwardAddress(int attempts, Time now) const;
    void retryOrAnswer(const std::shared_ptr<PendingRequest>& pending, const char* reason, bool sent);
    std::chrono::milliseconds maxWaitForOwner(Time now) const;
    Time deadlineOf(const PendingRequest& pending) const;
    void giveUp(const std::shared_ptr<PendingRequest>& pending, const char* reason);
    void answerOpenRequests(Time now);
    void answerStateFromStore(const std::shared_ptr<PendingRequest>& pending);
    void serveOwnerCall(const proto::OwnerCall& call, const std::function<void(const proto::OwnerAnswer&)>& reply);
    void servePeerAdvice(const ServedCall& call, HttpListener::Reply reply);
    void pingPeers(Time now);
    void pingOwnerAsStandby(Time now);

    const EntryNodeConfig m_settings;
    const EntryNodeHooks m_hooks;
    std::optional<CellConfig> m_config;
    AccountKeys m_accountKeys; ///< Of m_config.
    RecordLog m_recordLog;
    CellOwner m_owner;
    CellSession m_session;
    AdviceBroker m_broker;
    OrderRouter m_router; ///< Sends the orders of this host while it owns the cell.
    OrderRelay m_relay; ///< Forwards orders for an owner on another host.

    // State of a take-over of the cell.
    std::uint64_t m_ownershipEpoch = 0; ///< Changes when the cell is acquired or lost; older replies are discarded.
    CellRecords m_records;
    int m_openReads = 0; ///< Record ranges of the take-over that are not completely read.
    /** A page of the records that could not be read and is read again later. */
    struct ReadRetry {
        Time at {};
        std::string prefix;
        std::string after;
    };
    std::vector<ReadRetry> m_readRetries;
    int m_failedReads = 0; ///< Number of failed reads of the take-over since the last successful one.
    TargetList m_takeOverTargets;
    Time m_cellAcquiredAt {};

    // Periodic tasks of the owner.
    Time m_nextListAt {};
    bool m_listInFlight = false;
    bool m_listFailed = false;
    Time m_listRegainedAt {};
    Time m_nextPingAt {};
    PeerPresence m_peers;
    Time m_nextYieldAt {}; ///< The cell is not handed over to a stronger host before this time.

    OwnerWatch m_ownerWatch; ///< Monitors the owner while this host is a standby.
    LoopLoad m_load;
    Duration m_ownerTickTime {}; ///< Time spent in CellOwner::tick() since it was last logged.
    Time m_overloadedSince {}; ///< Start of the present series of late event loop iterations.
    Time m_lastLateIterationAt {};

    std::vector<std::pair<Time, std::shared_ptr<PendingRequest>>> m_retries;
    std::set<std::shared_ptr<PendingRequest>> m_open; ///< Requests without an answer.
    std::optional<Time> m_answerBy; ///< Set while the process shuts down: no request waits longer than this.
    Counter& m_forwarded;
    Counter& m_uncertain;
    Counter& m_unauthorized;
    Counter& m_forbidden;
    Histogram& m_requestSeconds;
    Histogram& m_turnSeconds;
    Gauge& m_lagMicroseconds;
};

} // namespace sp
