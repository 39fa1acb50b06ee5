#include "doctest_main.h"

#include "message_codec.h"
#include "proto/messages.h"

#include <rapidcheck.h>

using namespace sp;
using namespace std::chrono_literals;

namespace {

const Time sentAt(1000s);
const Time receivedAt(77s); // Clocks of different hosts differ.

template <typename T> T roundTrip(const T& message)
{
    const auto decoded = decodeFrame(encodeFrame(HostId("h1"), Incarnation(7), message, sentAt), receivedAt);
    REQUIRE(decoded.frame);
    CHECK(decoded.frame->from == HostId("h1"));
    CHECK(decoded.frame->incarnation == Incarnation(7));
    REQUIRE(std::holds_alternative<T>(decoded.frame->message));
    return std::get<T>(decoded.frame->message);
}

Payload payload(const std::string& text) { return std::make_shared<const std::string>(text); }

} // namespace

// Guards against a clock reading that is used on another host, whose clock differs.
TEST_CASE("a deadline travels as the time that is left")
{
    PromptSubmitted prompt;
    prompt.id = RequestId("r");
    prompt.deadline = sentAt + 250ms;
    CHECK(roundTrip(prompt).deadline == receivedAt + 250ms);
    prompt.deadline = sentAt - 5s; // Passed: must not turn into "no deadline".
    CHECK(roundTrip(prompt).deadline == receivedAt + 1ms);
    prompt.deadline.reset();
    CHECK_FALSE(roundTrip(prompt).deadline);
}

// Guards against a field that is lost on the way.
TEST_CASE("prompt, cancel and bundle keep all fields")
{
    PromptSubmitted prompt;
    prompt.id = RequestId("r");
    prompt.caller = CallerId("c");
    prompt.team = TeamId("t");
    prompt.workload = WorkloadId("w");
    prompt.key = IdempotencyKey("k");
    prompt.clientId = "x";
    prompt.payload = payload(std::string("\0\xff", 2));
    prompt.hops = 2;
    prompt.shard = ShardId("dc1.slots.0");
    const auto back = roundTrip(prompt);
    CHECK(back.id == prompt.id);
    CHECK(back.caller == prompt.caller);
    CHECK(back.team == prompt.team);
    CHECK(back.workload == prompt.workload);
    CHECK(back.key == prompt.key);
    CHECK(back.clientId == "x");
    CHECK(*back.payload == *prompt.payload);
    CHECK(back.hops == 2);
    CHECK(back.shard == prompt.shard);
    PromptCancelled cancel;
    cancel.id = RequestId("r2");
    cancel.caller = CallerId("c");
    cancel.clientId = "x";
    cancel.hops = 1;
    CHECK(roundTrip(cancel).clientId == "x");
    CHECK(roundTrip(cancel).hops == 1);
    BundleTextMessage bundle { BundleVersion(4), "d", "text", { DataCentreId("dc1"), DataCentreId("dc2") } };
    CHECK(roundTrip(bundle).text == "text");
    CHECK(roundTrip(bundle).stages == bundle.stages);
}

TEST_CASE("job, command and answer keep all fields")
{
    JobSubmitted job;
    job.id = RequestId("r");
    job.key = IdempotencyKey("k");
    job.spec.caller = CallerId("c");
    job.spec.team = TeamId("t");
    job.spec.workload = WorkloadId("w");
    job.spec.tasks = 3;
    job.spec.size = { 1500, 2000, 1 };
    job.spec.runTime = 70s;
    job.spec.payload = payload("p");
    job.shard = ShardId("dc1.workers.0");
    const auto back = roundTrip(job);
    CHECK(back.key == job.key);
    CHECK(back.spec.team == job.spec.team);
    CHECK(back.spec.tasks == 3);
    CHECK(back.spec.size == job.spec.size);
    CHECK(back.spec.runTime == 70s);
    CHECK(back.shard == job.shard);
    JobCommanded command;
    command.id = RequestId("r");
    command.job = JobId("dc1.workers.0-ab");
    command.caller = CallerId("c");
    command.verb = JobCommanded::Verb::Release;
    command.wait = 20ms;
    CHECK(roundTrip(command).verb == JobCommanded::Verb::Release);
    CHECK(roundTrip(command).wait == 20ms);
    AnswerMessage answer;
    answer.id = RequestId("r");
    answer.error = ErrorKind::TargetFailed;
    answer.detail = "d";
    answer.body = payload("b");
    answer.job = JobId("j");
    answer.status = JobStatus { JobPhase::Cancelled, 4, 1, 2, 1, "why", "out" };
    answer.wait = 1234us;
    answer.durable = true;
    const auto answered = roundTrip(answer);
    CHECK(answered.error == ErrorKind::TargetFailed);
    CHECK(*answered.body == "b");
    REQUIRE(answered.status);
    CHECK(answered.status->phase == JobPhase::Cancelled);
    CHECK(answered.status->result == "out");
    CHECK(answered.wait == 1234us);
    CHECK(answered.durable);
}

// Guards against a promise that is counted from another time than the one the heartbeat was sent.
TEST_CASE("heartbeats are echoed with their own time")
{
    HeartbeatMessage heartbeat;
    heartbeat.sentAt = sentAt;
    heartbeat.dataCentre = DataCentreId("dc1");
    heartbeat.ready = true;
    heartbeat.bundle = BundleVersion(3);
    heartbeat.loads.push_back({ ShardId("s"), Term(9), HoldLevel::Fenced, { 1, 2, 3, 40ms }, 500 });
    const auto back = roundTrip(heartbeat);
    CHECK(back.sentAt == sentAt);
    REQUIRE(back.loads.size() == 1);
    CHECK(back.loads[0].term == Term(9));
    CHECK(back.loads[0].level == HoldLevel::Fenced);
    CHECK(back.loads[0].slots.expectedWait == 40ms);
    const auto ack = roundTrip(HeartbeatAckMessage { sentAt, 2000ms, BundleVersion(3), "d" });
    CHECK(ack.sentAt == sentAt);
    CHECK(ack.promise == 2000ms);
}

// Guards against a frame of a faulty or foreign sender that ends the process or is taken for a message.
TEST_CASE("bad frames are told apart and dropped")
{
    CHECK(decodeFrame("\xff\xff\xff", receivedAt).problem == FrameProblem::Malformed);
    CHECK(decodeFrame(std::string(maxFrameBytes + 1, 'x'), receivedAt).problem == FrameProblem::Oversized);
    proto::Envelope envelope;
    envelope.set_from("h");
    envelope.set_protocol(linkProtocol + 1);
    envelope.mutable_hello();
    CHECK(decodeFrame(envelope.SerializeAsString(), receivedAt).problem == FrameProblem::UnknownVersion);
    envelope.set_protocol(linkProtocol);
    CHECK(decodeFrame(envelope.SerializeAsString(), receivedAt).frame);
    envelope.mutable_answer()->set_request_id("r");
    envelope.mutable_answer()->set_kind(static_cast<std::uint32_t>(ErrorKind::Count));
    CHECK(decodeFrame(envelope.SerializeAsString(), receivedAt).problem == FrameProblem::Malformed);
    envelope.mutable_heartbeat()->add_loads()->set_level(200);
    CHECK(decodeFrame(envelope.SerializeAsString(), receivedAt).problem == FrameProblem::Malformed);
    envelope.mutable_submit()->mutable_job()->set_cores_milli(-1);
    CHECK(decodeFrame(envelope.SerializeAsString(), receivedAt).problem == FrameProblem::Malformed);
    envelope.clear_from();
    envelope.mutable_hello();
    CHECK(decodeFrame(envelope.SerializeAsString(), receivedAt).problem == FrameProblem::Malformed);
}

// Guards against an answer that is lost since a target put bytes into its text that proto3 refuses.
TEST_CASE("text that is not UTF-8 does not lose the answer")
{
    AnswerMessage answer;
    answer.id = RequestId("r");
    answer.detail = "bad \xff";
    answer.status = JobStatus { JobPhase::Failed, 1, 0, 0, 1, "why \xc3", "\xfe" };
    CHECK(roundTrip(answer).detail == "bad ?");
    CHECK(roundTrip(answer).status->reason == "why ?");
    CHECK(roundTrip(answer).status->result == "\xfe");
}

// Guards against a frame damaged on the way that ends the process; the seed comes from RC_PARAMS.
TEST_CASE("damaged frames never do harm")
{
    CHECK(rc::check([](const std::string& text, std::uint16_t at, std::uint8_t value) {
        AnswerMessage answer;
        answer.id = RequestId("r" + text);
        answer.body = payload(text);
        std::string bytes = encodeFrame(HostId("h"), Incarnation(1), answer, sentAt);
        bytes[at % bytes.size()] = static_cast<char>(value);
        const auto decoded = decodeFrame(bytes, receivedAt);
        RC_ASSERT(decoded.frame.has_value() == (decoded.problem == FrameProblem::None));
    }));
}
