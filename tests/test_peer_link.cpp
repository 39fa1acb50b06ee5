#include "doctest_main.h"

#include "peer_link.h"

#include <condition_variable>
#include <mutex>
#include <optional>

using namespace sp;

namespace {

/** A link and what its hooks reported. */
struct Node {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<ReplyRoute, LinkFrame>> frames;
    std::vector<HostId> unsent;
    Metrics metrics;
    PeerLink link;

    explicit Node(PeerLinkConfig config)
        : link(std::move(config), metrics,
            { [this](ReplyRoute&& route, LinkFrame&& frame) {
                 std::lock_guard lock(mutex);
                 frames.emplace_back(std::move(route), std::move(frame));
                 changed.notify_all();
             },
                [this](const HostId& to, LinkMessage&&) {
                    std::lock_guard lock(mutex);
                    unsent.push_back(to);
                    changed.notify_all();
                },
                {} })
    {
        std::string problem;
        REQUIRE(link.start(problem));
    }
    std::pair<ReplyRoute, LinkFrame> takeFrame()
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return !frames.empty(); });
        auto frame = std::move(frames.front());
        frames.erase(frames.begin());
        return frame;
    }
    /** Sends until the connection is up: a message without a connection is given back, never kept. */
    void sendUntilTaken(const HostId& to, const LinkMessage& message, Node& receiver)
    {
        for (;;) {
            link.send(to, LinkMessage(message));
            std::unique_lock lock(receiver.mutex);
            if (receiver.changed.wait_for(
                    lock, std::chrono::milliseconds(20), [&] { return !receiver.frames.empty(); }))
                return;
        }
    }
};

PeerLinkConfig scheduler(const char* host)
{
    PeerLinkConfig config;
    config.self = HostId(host);
    config.incarnation = Incarnation(5);
    config.bind = "127.0.0.1:0";
    return config;
}

/** Address on which nothing listens any more. */
std::string closedAddress()
{
    Node gone(scheduler("gone"));
    return gone.link.boundAddress();
}

PeerLinkConfig gatewayTo(const std::string& address)
{
    PeerLinkConfig config;
    config.self = HostId("h1");
    config.incarnation = Incarnation(6);
    config.gateway = true;
    config.peers = { { HostId("h1"), address }, { HostId("h2"), closedAddress() } };
    return config;
}

PromptSubmitted prompt()
{
    PromptSubmitted message;
    message.id = RequestId("r");
    return message;
}

} // namespace

// Guards against an answer that goes to another process than the one that asked.
TEST_CASE("an answer goes back over the connection that asked")
{
    Node owner(scheduler("h1"));
    Node gateway(gatewayTo(owner.link.boundAddress()));
    PeerLinkConfig second = gatewayTo(owner.link.boundAddress());
    second.incarnation = Incarnation(8); // Two processes never share host and incarnation.
    Node other(second);
    gateway.sendUntilTaken(HostId("h1"), prompt(), owner);
    const auto [route, frame] = owner.takeFrame();
    CHECK(std::holds_alternative<PromptSubmitted>(frame.message));
    CHECK(frame.incarnation == Incarnation(6));
    AnswerMessage answer;
    answer.id = RequestId("r");
    owner.link.reply(route, answer);
    const auto [none, back] = gateway.takeFrame();
    CHECK(none.link.empty());
    CHECK(std::get<AnswerMessage>(back.message).id == RequestId("r"));
    std::lock_guard lock(other.mutex);
    CHECK(other.frames.empty());
}

// Guards against a message that waits for a dead peer and reaches its next run, after the caller was told "not run".
TEST_CASE("a message without a connection is given back at once")
{
    Node owner(scheduler("h1"));
    Node gateway(gatewayTo(owner.link.boundAddress()));
    gateway.link.send(HostId("h2"), prompt());
    gateway.link.send(HostId("nobody"), prompt());
    std::unique_lock lock(gateway.mutex);
    gateway.changed.wait(lock, [&] { return gateway.unsent.size() == 2; });
    CHECK(gateway.unsent == std::vector<HostId> { HostId("h2"), HostId("nobody") });
}

// Guards against a gateway that goes on using a scheduler that is draining.
TEST_CASE("heartbeats of gateways are answered with readiness")
{
    Node owner(scheduler("h1"));
    owner.link.setReadiness(true, true);
    Node gateway(gatewayTo(owner.link.boundAddress()));
    HeartbeatMessage heartbeat;
    heartbeat.sentAt = Time(std::chrono::seconds(7));
    gateway.sendUntilTaken(HostId("h1"), heartbeat, gateway);
    const auto [route, frame] = gateway.takeFrame();
    const auto& answer = std::get<HeartbeatMessage>(frame.message);
    CHECK(answer.sentAt == heartbeat.sentAt);
    CHECK(answer.ready);
    CHECK(answer.draining);
    CHECK(frame.incarnation == Incarnation(5));
}

// Guards against a peer that stays unreachable because its answers go to an earlier connection: after SIGCONT of a
// stopped scheduler its peer counted as dead until the end of the run.
TEST_CASE("a connection without answers is replaced by one with another identity")
{
    Node receiver(scheduler("h2"));
    PeerLinkConfig config = scheduler("h1");
    config.peers = { { HostId("h2"), receiver.link.boundAddress() } };
    config.silentAfter = std::chrono::milliseconds(100);
    Node sender(config);
    sender.sendUntilTaken(HostId("h2"), prompt(), receiver);
    const std::string first = receiver.takeFrame().first.link;
    std::string later = first;
    while (later == first) {
        sender.sendUntilTaken(HostId("h2"), prompt(), receiver);
        later = receiver.takeFrame().first.link;
    }
    CHECK(later != first);
}
