#include "doctest_main.h"

#include "bundle.h"
#include "core_fixture.h"

using namespace sp;
using namespace sp::test;

// Guards against a break anywhere on the path from a caller's request to the whole answer.
TEST_CASE("a prompt request is run on an instance and answered whole")
{
    CoreFixture cell;
    cell.settle();
    cell.submitPrompt("r1", "check", "payload");
    REQUIRE(cell.runs.size() == 1);
    cell.endCall(cell.runs[0].call, CallEnd::Completed, "answer");
    REQUIRE(cell.answers.contains("r1"));
    CHECK(cell.answers["r1"].error == ErrorKind::Ok);
    CHECK(*cell.answers["r1"].body == "answer");
    cell.core.checkInvariants();
}

// Guards against a second run after a start that may have reached the target.
TEST_CASE("a lost answer is reported as unknown and is not run again")
{
    CoreFixture cell;
    cell.settle();
    cell.submitPrompt("r1", "check", "payload");
    cell.endCall(cell.runs[0].call, CallEnd::Lost, "");
    cell.settle();
    CHECK(cell.runs.size() == 1);
    CHECK(errorInfo(cell.answers["r1"].error).outcome == Outcome::Unknown);
}

// Guards against telling "not run" too late or never: a refusal before the start is tried elsewhere, then reported.
TEST_CASE("a refusal before the start is tried again and then answered as not run")
{
    CoreFixture cell;
    cell.settle();
    cell.submitPrompt("r1", "check", "payload");
    for (std::size_t i = 0; i < cell.runs.size() && i < 10; ++i)
        cell.endCall(cell.runs[i].call, CallEnd::RefusedFull, "");
    CHECK(cell.runs.size() == 3);
    CHECK(errorInfo(cell.answers["r1"].error).outcome == Outcome::NotRun);
}

// Guards against two runs under one idempotency key.
TEST_CASE("a second request with the same key waits for the first one's answer")
{
    CoreFixture cell;
    cell.settle();
    cell.submitPrompt("r1", "check", "payload", "key");
    cell.submitPrompt("r2", "check", "payload", "key");
    cell.submitPrompt("r3", "check", "other", "key");
    REQUIRE(cell.runs.size() == 1);
    CHECK(cell.answers["r3"].error == ErrorKind::KeyConflict);
    cell.endCall(cell.runs[0].call, CallEnd::Completed, "answer");
    CHECK(*cell.answers["r1"].body == "answer");
    CHECK(*cell.answers["r2"].body == "answer");
    cell.submitPrompt("r4", "check", "payload", "key");
    CHECK(cell.runs.size() == 1);
    CHECK(*cell.answers["r4"].body == "answer");
}

// Guards against a non-idempotent run without a record that a later owner can find.
TEST_CASE("non-idempotent keyed work has a store record before it starts")
{
    CoreFixture cell;
    cell.settle();
    cell.storeMode = StoreMode::Hold;
    cell.submitPrompt("r1", "charge", "payload", "key");
    CHECK(cell.runs.empty());
    cell.storeMode = StoreMode::Up;
    cell.flushStore();
    CHECK(cell.runs.size() == 1);
}

// Guards against treating a lost store answer as a failure: the record is read back by its token.
TEST_CASE("a lost store answer is read back before the decision")
{
    CoreFixture cell;
    cell.settle();
    cell.storeMode = StoreMode::LoseAnswers;
    cell.submitPrompt("r1", "charge", "payload", "key");
    CHECK(cell.runs.empty());
    cell.storeMode = StoreMode::Up;
    cell.flushStore();
    CHECK(cell.runs.size() == 1);
}

// Guards against a job that is lost between acceptance and its last task.
TEST_CASE("a batch job is recorded, started, finished and answered")
{
    CoreFixture cell;
    cell.settle();
    const JobId job = cell.submitJob("j1", "report", 2);
    CHECK(cell.store.contains(jobRecordKey(shardOfJob(job), job)));
    REQUIRE(cell.starts.size() == 2);
    for (const StartTask& start : std::vector<StartTask>(cell.starts)) {
        cell.endCall(start.call, CallEnd::Completed, "");
        cell.finishTask(start, TaskEnd::Succeeded);
    }
    cell.settle();
    CHECK(cell.jobStatus(job).phase == JobPhase::Done);
    CHECK(parseJobRecord(cell.store[jobRecordKey(shardOfJob(job), job)].value)->phase == JobPhase::Done);
}

// Guards against running a task twice after a restart: what a worker reports is adopted, not started again.
TEST_CASE("a restarted owner adopts what the workers report")
{
    CoreFixture first;
    first.settle();
    const JobId job = first.submitJob("j1", "report", 1);
    REQUIRE(first.starts.size() == 1);
    CoreFixture second(Incarnation(2), {}, &first);
    second.settle();
    second.settle();
    CHECK(second.starts.empty());
    CHECK(second.jobStatus(job).phase == JobPhase::Running);
    CHECK(second.core.term(shardOfJob(job)) > first.core.term(shardOfJob(job)));
}

// Guards against an owner that goes on because the store is silent, without a promise of its peer.
TEST_CASE("without store and promise no job and no keyed request starts")
{
    CoreFixture cell(Incarnation(1), { PeerConfig { HostId("e2"), DataCentreId("dc1"), Duration(0) } });
    cell.settle();
    cell.storeMode = StoreMode::Down;
    cell.advance(std::chrono::seconds(10));
    cell.submitPrompt("r1", "check", "payload", "key");
    CHECK(cell.runs.empty());
    CHECK(errorInfo(cell.answers["r1"].error).outcome == Outcome::NotRun);
    cell.submitJob("j1", "report", 1);
    CHECK(cell.starts.empty());
}

// Guards against cutting off a request on shutdown.
TEST_CASE("a drain waits for the calls in flight")
{
    CoreFixture cell;
    cell.settle();
    cell.submitPrompt("r1", "check", "payload");
    cell.core.handle(DrainRequested {}, cell.now);
    cell.advance(std::chrono::milliseconds(100));
    CHECK_FALSE(cell.drained);
    cell.submitPrompt("r2", "check", "payload");
    CHECK(cell.answers["r2"].error == ErrorKind::Draining);
    cell.endCall(cell.runs[0].call, CallEnd::Completed, "answer");
    cell.advance(std::chrono::milliseconds(100));
    CHECK(cell.drained);
    CHECK(cell.answers["r1"].error == ErrorKind::Ok);
}

// Guards against a step back to an older bundle.
TEST_CASE("a bundle never reverts to an older version")
{
    CoreFixture cell;
    cell.settle();
    cell.putBundle(3);
    cell.settle();
    CHECK(cell.core.bundle()->version == BundleVersion(3));
    cell.putBundle(2);
    cell.settle();
    CHECK(cell.core.bundle()->version == BundleVersion(3));
}

// Guards against an explanation that ends at the request and hides what became of its job.
TEST_CASE("explain of a request shows its job and the job's tasks")
{
    CoreFixture cell;
    cell.settle();
    const JobId job = cell.submitJob("j1", "report", 2);
    const std::string text = cell.core.explain("j1");
    CHECK(text.find(job.value + " place: is queued") != std::string::npos);
    CHECK(text.find(makeTaskId(job, 1).value + " place: goes to w") != std::string::npos);
}

// Guards against "not run" for work that ran: the answer of a keyed request was refused while the store was away.
TEST_CASE("a repeated key gets its known answer while the store is away")
{
    CoreFixture cell;
    cell.settle();
    cell.submitPrompt("r1", "charge", "payload", "key");
    REQUIRE(cell.runs.size() == 1);
    cell.endCall(cell.runs[0].call, CallEnd::Completed, "answer");
    cell.storeMode = StoreMode::Down;
    cell.advance(std::chrono::seconds(6));
    cell.submitPrompt("r2", "charge", "payload", "key");
    CHECK(cell.runs.size() == 1);
    CHECK(cell.answers["r2"].error == ErrorKind::Ok);
}

// Guards against refusing all requests during a take-over although an own shard has room.
TEST_CASE("a request that an owner did not take is offered to another one")
{
    CoreFixture cell(Incarnation(1), { PeerConfig { HostId("e2"), DataCentreId("dc1"), Duration(0) } });
    cell.settle();
    PeerHeartbeat heartbeat { HostId("e2"), Incarnation(1), {} };
    heartbeat.heartbeat.sentAt = Time(std::chrono::seconds(1));
    heartbeat.heartbeat.dataCentre = DataCentreId("dc1");
    ShardLoad load;
    load.shard = ShardId("dc1.slots.9");
    load.level = HoldLevel::Store;
    load.slots.slotsFree = load.slots.slotsTotal = 1000;
    heartbeat.heartbeat.loads = { load };
    // The own slots are taken, so that the peer is preferred.
    for (int i = 0; i < 6; ++i)
        cell.submitPrompt("full" + std::to_string(i), "check", "payload");
    REQUIRE(cell.runs.size() == 6);
    cell.core.handle(heartbeat, cell.now);
    PeerHeartbeatAck ack { HostId("e2"), Incarnation(1), {} };
    ack.ack.sentAt = cell.now;
    cell.core.handle(ack, cell.now);
    cell.submitPrompt("r1", "check", "payload");
    CHECK(cell.forwarded.size() == 1);
    AnswerMessage refusal;
    refusal.id = RequestId("r1");
    refusal.error = ErrorKind::OwnerUnreachable;
    cell.core.handle(PeerAnswered { HostId("e2"), refusal }, cell.now);
    CHECK_FALSE(cell.answers.contains("r1"));
    cell.endCall(cell.runs[0].call, CallEnd::Completed, "answer");
    CHECK(cell.runs.size() == 7);
}
