#include "doctest_main.h"

#include "membership.h"

using namespace sp;
using namespace std::chrono_literals;

namespace {

const HostId near { "a1" };
const HostId far { "b1" };

Membership made()
{
    return { HostId("a0"), DataCentreId("a"),
        { { near, DataCentreId("a"), 500us }, { far, DataCentreId("b"), 1500us } } };
}

HeartbeatMessage heartbeat(Time sentAt, std::uint64_t bundle)
{
    HeartbeatMessage message;
    message.sentAt = sentAt;
    message.ready = true;
    message.bundle = BundleVersion(bundle);
    message.loads.push_back({ ShardId("a.slots.0"), Term(3), HoldLevel::Store, {}, 0 });
    return message;
}

} // namespace

// Guards against suspicion that is too quick for a remote link or too slow for the take-over within 5 s.
TEST_CASE("peers are suspected and dead after their times")
{
    Membership membership = made();
    const Time start(100s);
    CHECK(membership.heartbeatsDue(start).size() == 2);
    CHECK(membership.heartbeatsDue(start + 250ms) == std::vector<HostId> { near });
    CHECK(membership.heartbeatsDue(start + 1s).size() == 2);
    CHECK(membership.state(near, start + 1s) == PeerState::Unknown);
    CHECK(membership.state(near, start + 2s) == PeerState::Dead);
    membership.heartbeatReceived(near, Incarnation(1), heartbeat(Time(5s), 4), start);
    membership.heartbeatReceived(far, Incarnation(1), heartbeat(Time(5s), 4), start);
    CHECK(membership.state(near, start + 999ms) == PeerState::Alive);
    CHECK(membership.state(near, start + 1s) == PeerState::Suspected);
    CHECK(membership.state(near, start + 2s) == PeerState::Dead);
    CHECK(membership.state(far, start + 2s) == PeerState::Alive);
    CHECK(membership.state(far, start + 3s) == PeerState::Suspected);
    CHECK(membership.state(far, start + 6s) == PeerState::Dead);
    CHECK(membership.freshLoad(ShardId("a.slots.0"), start + 900ms).has_value());
}

// Guards against late messages of an earlier run or an overtaken heartbeat taking announcements back.
TEST_CASE("late heartbeats are dropped")
{
    Membership membership = made();
    const Time now(100s);
    membership.heartbeatReceived(near, Incarnation(1), heartbeat(Time(5s), 4), now);
    membership.heartbeatReceived(near, Incarnation(1), heartbeat(Time(4s), 3), now + 1s);
    CHECK(membership.bundleVersion(near) == BundleVersion(4));
    membership.heartbeatReceived(near, Incarnation(2), heartbeat(Time(1s), 5), now + 1s);
    membership.heartbeatReceived(near, Incarnation(1), heartbeat(Time(9s), 4), now + 1s);
    CHECK(membership.bundleVersion(near) == BundleVersion(5));
    CHECK(membership.incarnation(near) == Incarnation(2));
    CHECK(membership.staleMessages() == 2);
}

// Guards against forwarding to a peer that is heard but gets nothing.
TEST_CASE("one-way loss makes a peer unreachable, not dead")
{
    Membership membership = made();
    const Time now(100s);
    membership.heartbeatReceived(near, Incarnation(1), heartbeat(Time(5s), 4), now);
    CHECK_FALSE(membership.isReachable(near, now));
    membership.ackReceived(near, Incarnation(1), now - 100ms, now);
    CHECK(membership.isReachable(near, now));
    membership.heartbeatReceived(near, Incarnation(1), heartbeat(Time(7s), 4), now + 2s);
    CHECK(membership.state(near, now + 2s) == PeerState::Alive);
    CHECK_FALSE(membership.isReachable(near, now + 2s));
}
