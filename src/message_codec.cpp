#include "message_codec.h"

#include "proto/messages.h"

#include <algorithm>

namespace sp {

namespace {

    std::uint32_t clampToUint32(std::int64_t number)
    {
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(number, 0, UINT32_MAX));
    }

    /** Time left as it travels. 0 stands for "no deadline", so a deadline that has passed travels as 1 ms. */
    std::uint32_t millisecondsLeft(const std::optional<Time>& deadline, Time now)
    {
        return deadline ? std::max<std::uint32_t>(1, clampToUint32(toMs(*deadline - now))) : 0;
    }

    std::string bytesOf(const Payload& payload) { return payload ? *payload : std::string(); }

    Payload payloadOf(std::string&& bytes) { return std::make_shared<const std::string>(std::move(bytes)); }

    /** Text for people, which may come from a target. proto3 refuses a frame with a string that is not UTF-8. */
    std::string cleanText(const std::string& text)
    {
        if (google::protobuf::internal::IsStructurallyValidUTF8(text.data(), static_cast<int>(text.size())))
            return text;
        std::string clean = text;
        std::replace_if(
            clean.begin(), clean.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, '?');
        return clean;
    }

    /** Writes each kind of message into the body of an envelope. */
    struct Encoder {
        proto::Envelope& envelope;
        Time now;

        void operator()(const HelloMessage& message) const { envelope.mutable_hello()->set_gateway(message.gateway); }

        void operator()(const HeartbeatMessage& message) const
        {
            auto& body = *envelope.mutable_heartbeat();
            body.set_sent_ns(message.sentAt.time_since_epoch().count());
            body.set_data_centre(message.dataCentre.value);
            body.set_ready(message.ready);
            body.set_draining(message.draining);
            body.set_bundle_version(message.bundle.value);
            body.set_bundle_digest(message.bundleDigest);
            for (const ShardLoad& load : message.loads) {
                auto& out = *body.add_loads();
                out.set_shard(load.shard.value);
                out.set_term(load.term.value);
                out.set_level(static_cast<std::uint32_t>(load.level));
                out.set_slots_free(load.slots.slotsFree);
                out.set_slots_total(load.slots.slotsTotal);
                out.set_queued(load.slots.queued);
                out.set_wait_us(clampToUint32(toUs(load.slots.expectedWait)));
                out.set_release_us(clampToUint32(toUs(load.slots.releaseInterval)));
                out.set_demand_milli(clampToUint32(static_cast<std::int64_t>(load.slots.demand * 1000)));
                out.set_cores_free_milli(load.coresFreeMilli);
            }
        }

        void operator()(const HeartbeatAckMessage& message) const
        {
            auto& body = *envelope.mutable_heartbeat_ack();
            body.set_sent_ns(message.sentAt.time_since_epoch().count());
            body.set_promise_ms(clampToUint32(message.promise.count()));
            body.set_bundle_version(message.bundle.value);
            body.set_bundle_digest(message.bundleDigest);
        }

        void operator()(const PromptSubmitted& message) const
        {
            auto& body = *envelope.mutable_submit();
            body.set_request_id(message.id.value);
            body.set_caller(message.caller.value);
            body.set_team(message.team.value);
            body.set_idempotency_key(message.key.value);
            body.set_deadline_left_ms(millisecondsLeft(message.deadline, now));
            body.set_hops(message.hops);
            body.set_shard(message.shard.value);
            body.mutable_prompt()->set_workload(message.workload.value);
            body.mutable_prompt()->set_payload(bytesOf(message.payload));
            body.mutable_prompt()->set_client_id(message.clientId);
        }

        void operator()(const JobSubmitted& message) const
        {
            auto& body = *envelope.mutable_submit();
            body.set_request_id(message.id.value);
            body.set_caller(message.spec.caller.value);
            body.set_team(message.spec.team.value);
            body.set_idempotency_key(message.key.value);
            body.set_hops(message.hops);
            body.set_shard(message.shard.value);
            auto& job = *body.mutable_job();
            job.set_workload(message.spec.workload.value);
            job.set_tasks(message.spec.tasks);
            job.set_cores_milli(message.spec.size.coresMilli);
            job.set_memory_mb(message.spec.size.memoryMb);
            job.set_accelerators(message.spec.size.accelerators);
            job.set_run_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, message.spec.runTime.count())));
            job.set_payload(bytesOf(message.spec.payload));
        }

        void operator()(const AnswerMessage& message) const
        {
            auto& body = *envelope.mutable_answer();
            body.set_request_id(message.id.value);
            body.set_kind(static_cast<std::uint32_t>(message.error));
            body.set_detail(cleanText(message.detail));
            body.set_body(bytesOf(message.body));
            body.set_job_id(message.job.value);
            body.set_wait_us(clampToUint32(message.wait.count()));
            body.set_durable(message.durable);
            if (!message.status)
                return;
            auto& state = *body.mutable_job();
            state.set_phase(jobPhaseName(message.status->phase));
            state.set_tasks(message.status->tasks);
            state.set_running(message.status->running);
            state.set_done(message.status->done);
            state.set_failed(message.status->failed);
            state.set_reason(cleanText(message.status->reason));
            state.set_result(message.status->result);
        }

        void operator()(const JobCommanded& message) const
        {
            auto& body = *envelope.mutable_job_command();
            body.set_request_id(message.id.value);
            body.set_job_id(message.job.value);
            body.set_verb(static_cast<proto::JobCommand_Verb>(message.verb));
            body.set_wait_ms(clampToUint32(message.wait.count()));
            body.set_hops(message.hops);
            body.set_caller(message.caller.value);
        }

        void operator()(const PromptCancelled& message) const
        {
            auto& body = *envelope.mutable_request_cancel();
            body.set_request_id(message.id.value);
            body.set_caller(message.caller.value);
            body.set_client_id(message.clientId);
            body.set_hops(message.hops);
        }

        void operator()(const BundleFetchMessage& message) const
        {
            envelope.mutable_bundle_fetch()->set_version(message.version.value);
        }

        void operator()(const BundleTextMessage& message) const
        {
            auto& body = *envelope.mutable_bundle_text();
            body.set_version(message.version.value);
            body.set_digest(message.digest);
            body.set_text(message.text);
            for (const DataCentreId& stage : message.stages)
                body.add_stages(stage.value);
        }

        void operator()(const ExplainRequested& message) const
        {
            // The message has one id; the subject is what the answer is about, so it takes the place of the id.
            envelope.mutable_explain()->set_request_id(message.subject);
        }

        void operator()(const ExplainMessage& message) const
        {
            envelope.mutable_explain_text()->set_request_id(message.id.value);
            envelope.mutable_explain_text()->set_text(cleanText(message.text));
        }
    };

    std::optional<JobPhase> phaseFromName(const std::string& name)
    {
        for (const JobPhase phase : { JobPhase::Queued, JobPhase::Running, JobPhase::Done, JobPhase::Failed,
                 JobPhase::Cancelled, JobPhase::Unknown }) {
            if (name == jobPhaseName(phase))
                return phase;
        }
        return std::nullopt;
    }

    std::optional<LinkMessage> decodeHeartbeat(const proto::Heartbeat& body)
    {
        HeartbeatMessage message;
        message.sentAt = Time(Duration(body.sent_ns()));
        message.dataCentre = DataCentreId(body.data_centre());
        message.ready = body.ready();
        message.draining = body.draining();
        message.bundle = BundleVersion(body.bundle_version());
        message.bundleDigest = body.bundle_digest();
        for (const auto& in : body.loads()) {
            if (in.level() > static_cast<std::uint32_t>(HoldLevel::Lost))
                return std::nullopt;
            ShardLoad load;
            load.shard = ShardId(in.shard());
            load.term = Term(in.term());
            load.level = static_cast<HoldLevel>(in.level());
            load.slots.slotsFree = in.slots_free();
            load.slots.slotsTotal = in.slots_total();
            load.slots.queued = in.queued();
            load.slots.expectedWait = std::chrono::microseconds(in.wait_us());
            load.slots.releaseInterval = std::chrono::microseconds(in.release_us());
            load.slots.demand = in.demand_milli() / 1000.0;
            load.coresFreeMilli = in.cores_free_milli();
            message.loads.push_back(std::move(load));
        }
        return message;
    }

    LinkMessage decodePrompt(proto::Submit& body, Time now)
    {
        PromptSubmitted message;
        message.id = RequestId(body.request_id());
        message.caller = CallerId(body.caller());
        message.team = TeamId(body.team());
        message.key = IdempotencyKey(body.idempotency_key());
        message.workload = WorkloadId(body.prompt().workload());
        message.clientId = body.prompt().client_id();
        message.payload = payloadOf(std::move(*body.mutable_prompt()->mutable_payload()));
        if (body.deadline_left_ms() > 0)
            message.deadline = now + std::chrono::milliseconds(body.deadline_left_ms());
        message.hops = body.hops();
        message.shard = ShardId(body.shard());
        return message;
    }

    std::optional<LinkMessage> decodeJob(proto::Submit& body, Time now)
    {
        auto& job = *body.mutable_job();
        if (job.tasks() == 0 || job.cores_milli() < 0 || job.memory_mb() < 0 || job.accelerators() < 0
            || job.run_ms() > static_cast<std::uint64_t>(INT64_MAX) / 1'000'000)
            return std::nullopt;
        JobSubmitted message;
        message.id = RequestId(body.request_id());
        message.key = IdempotencyKey(body.idempotency_key());
        message.hops = body.hops();
        message.shard = ShardId(body.shard());
        message.spec.caller = CallerId(body.caller());
        message.spec.team = TeamId(body.team());
        message.spec.workload = WorkloadId(job.workload());
        message.spec.tasks = job.tasks();
        message.spec.size = { job.cores_milli(), job.memory_mb(), job.accelerators() };
        message.spec.runTime = std::chrono::milliseconds(job.run_ms());
        message.spec.payload = payloadOf(std::move(*job.mutable_payload()));
        message.spec.submittedAt = now;
        return message;
    }

    std::optional<LinkMessage> decodeSubmit(proto::Submit& body, Time now)
    {
        if (body.request_id().empty())
            return std::nullopt;
        if (body.has_prompt())
            return decodePrompt(body, now);
        return body.has_job() ? decodeJob(body, now) : std::nullopt;
    }

    std::optional<LinkMessage> decodeAnswer(proto::Answer& body)
    {
        if (body.request_id().empty() || body.kind() >= static_cast<std::uint32_t>(ErrorKind::Count))
            return std::nullopt;
        AnswerMessage message;
        message.id = RequestId(body.request_id());
        message.error = static_cast<ErrorKind>(body.kind());
        message.detail = body.detail();
        message.body = payloadOf(std::move(*body.mutable_body()));
        message.job = JobId(body.job_id());
        message.wait = std::chrono::microseconds(body.wait_us());
        message.durable = body.durable();
        if (body.has_job()) {
            const auto& state = body.job();
            const auto phase = phaseFromName(state.phase());
            if (!phase)
                return std::nullopt;
            message.status = JobStatus { *phase, state.tasks(), state.running(), state.done(), state.failed(),
                state.reason(), state.result() };
        }
        return message;
    }

    std::optional<LinkMessage> decodeCommand(const proto::JobCommand& body)
    {
        if (body.request_id().empty() || body.job_id().empty() || !proto::JobCommand_Verb_IsValid(body.verb()))
            return std::nullopt;
        JobCommanded message;
        message.id = RequestId(body.request_id());
        message.job = JobId(body.job_id());
        message.caller = CallerId(body.caller());
        message.verb = static_cast<JobCommanded::Verb>(body.verb());
        message.wait = std::chrono::milliseconds(body.wait_ms());
        message.hops = body.hops();
        return message;
    }

    std::optional<LinkMessage> decodeCancel(const proto::RequestCancel& body)
    {
        if (body.request_id().empty() || body.client_id().empty())
            return std::nullopt;
        PromptCancelled message;
        message.id = RequestId(body.request_id());
        message.caller = CallerId(body.caller());
        message.clientId = body.client_id();
        message.hops = body.hops();
        return message;
    }

    LinkMessage decodeBundle(proto::BundleText& body)
    {
        BundleTextMessage message;
        message.version = BundleVersion(body.version());
        message.digest = body.digest();
        message.text = std::move(*body.mutable_text());
        for (const std::string& stage : body.stages())
            message.stages.emplace_back(stage);
        return message;
    }

    LinkMessage decodeAck(const proto::HeartbeatAck& body)
    {
        HeartbeatAckMessage message;
        message.sentAt = Time(Duration(body.sent_ns()));
        message.promise = std::chrono::milliseconds(body.promise_ms());
        message.bundle = BundleVersion(body.bundle_version());
        message.bundleDigest = body.bundle_digest();
        return message;
    }

    std::optional<LinkMessage> decodeBody(proto::Envelope& envelope, Time now)
    {
        switch (envelope.body_case()) {
        case proto::Envelope::kHello:
            return HelloMessage { envelope.hello().gateway() };
        case proto::Envelope::kHeartbeat:
            return decodeHeartbeat(envelope.heartbeat());
        case proto::Envelope::kHeartbeatAck:
            return decodeAck(envelope.heartbeat_ack());
        case proto::Envelope::kSubmit:
            return decodeSubmit(*envelope.mutable_submit(), now);
        case proto::Envelope::kAnswer:
            return decodeAnswer(*envelope.mutable_answer());
        case proto::Envelope::kJobCommand:
            return decodeCommand(envelope.job_command());
        case proto::Envelope::kRequestCancel:
            return decodeCancel(envelope.request_cancel());
        case proto::Envelope::kBundleFetch:
            return BundleFetchMessage { BundleVersion(envelope.bundle_fetch().version()) };
        case proto::Envelope::kBundleText:
            return decodeBundle(*envelope.mutable_bundle_text());
        case proto::Envelope::kExplain: {
            ExplainRequested message;
            message.id = RequestId(envelope.explain().request_id());
            message.subject = envelope.explain().request_id();
            return message;
        }
        case proto::Envelope::kExplainText:
            return ExplainMessage { RequestId(envelope.explain_text().request_id()), envelope.explain_text().text() };
        case proto::Envelope::BODY_NOT_SET:
            break;
        }
        return std::nullopt;
    }

} // namespace

/**
 * Encodes a message.
 * @param from Host of the sender.
 * @param incarnation Incarnation of the sending process.
 * @param message Message; points in time in it are on the sender's clock.
 * @param now Present time, from which remaining durations are counted.
 * @return Bytes of the frame.
 */
std::string encodeFrame(const HostId& from, Incarnation incarnation, const LinkMessage& message, Time now)
{
    proto::Envelope envelope;
    envelope.set_protocol(linkProtocol);
    envelope.set_from(from.value);
    envelope.set_incarnation(incarnation.value);
    std::visit(Encoder { envelope, now }, message);
    return envelope.SerializeAsString();
}

/**
 * Decodes a frame from another process. Any bytes are safe.
 * @param bytes Bytes of the frame.
 * @param now Present time, to which remaining durations are added.
 * @return Frame, or the reason why there is none.
 */
FrameDecode decodeFrame(std::string_view bytes, Time now)
{
    if (bytes.size() > maxFrameBytes)
        return { std::nullopt, FrameProblem::Oversized };
    // A malformed frame is counted; protobuf's own lines on standard error would let a faulty peer flood the log.
    static const auto silenced = google::protobuf::SetLogHandler(nullptr);
    static_cast<void>(silenced);
    proto::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return { std::nullopt, FrameProblem::Malformed };
    if (envelope.protocol() != linkProtocol)
        return { std::nullopt, FrameProblem::UnknownVersion };
    auto message = decodeBody(envelope, now);
    if (!message || envelope.from().empty())
        return { std::nullopt, FrameProblem::Malformed };
    return { LinkFrame { HostId(envelope.from()), Incarnation(envelope.incarnation()), std::move(*message) },
        FrameProblem::None };
}

} // namespace sp
