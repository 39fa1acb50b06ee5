#include "doctest_main.h"

#include "peer_presence.h"

using namespace sp;
using namespace std::chrono_literals;

TEST_CASE("a host is isolated once all peers that it asks have been silent for long")
{
    PeerPresence peers;
    Time now { 1h };
    CHECK_FALSE(peers.isolated(now));
    peers.asked(HostId("a"), now);
    peers.asked(HostId("b"), now);
    now += 2s;
    CHECK_FALSE(peers.isolated(now));
    peers.heard(HostId("b"), now);
    now += 2s;
    CHECK_FALSE(peers.isolated(now));
    now += 1s;
    CHECK(peers.isolated(now));
    peers.keepIf([](const HostId& host) { return host != HostId("a"); });
    CHECK(peers.isolated(now));
    peers.heard(HostId("a"), now); // Not asked any more.
    CHECK(peers.isolated(now));
}

TEST_CASE("silence of an earlier ownership does not isolate a host that begins to ask anew")
{
    PeerPresence peers;
    Time now { 1h };
    peers.asked(HostId("a"), now);
    now += 60s;
    peers.reset();
    peers.asked(HostId("a"), now);
    CHECK_FALSE(peers.isolated(now));
}
