#include "doctest_main.h"

#include "peer_presence.h"

using namespace sp;
using namespace std::chrono_literals;

TEST_CASE("a host is isolated once no pinged peer has answered for more than 2.2 s")
{
    PeerPresence peers;
    Time now { 1h };
    CHECK_FALSE(peers.isolated(now));
    peers.pingSent(HostId("a"), now);
    peers.pingSent(HostId("b"), now);
    now += 2s;
    CHECK_FALSE(peers.isolated(now));
    peers.answerReceived(HostId("b"), now);
    now += 2s;
    CHECK_FALSE(peers.isolated(now));
    now += 1s;
    CHECK(peers.isolated(now));
    peers.retainIf([](const HostId& host) { return host != HostId("a"); });
    CHECK(peers.isolated(now));
    peers.answerReceived(HostId("a"), now); // No longer pinged.
    CHECK(peers.isolated(now));
}

TEST_CASE("unanswered pings of an earlier ownership do not count towards isolation")
{
    PeerPresence peers;
    Time now { 1h };
    peers.pingSent(HostId("a"), now);
    now += 60s;
    peers.reset();
    peers.pingSent(HostId("a"), now);
    CHECK_FALSE(peers.isolated(now));
}
