#include "relay_codec.h"

#include "proto/cell.pb.h"

namespace sp {

namespace {

    using Ms = std::chrono::milliseconds;

    void taskToProto(const CellTaskKey& task, proto::TaskName& out)
    {
        out.set_job(task.job.value);
        out.set_occurrence(task.occurrence);
        out.set_step(task.step);
        out.set_index(task.index);
    }

    CellTaskKey taskFromProto(const proto::TaskName& in)
    {
        return { JobId(in.job()), in.occurrence(), in.step(), in.index() };
    }

    /** Sets the fields of a message that are specific to the kind of order. */
    struct OrderWriter {
        proto::RelayOrder& out;

        void run(proto::RelayOrder::Kind kind, const CellTaskKey& task, std::uint32_t number) const
        {
            out.set_kind(kind);
            taskToProto(task, *out.mutable_task());
            out.set_run(number);
        }
        void operator()(const StartOrder& order) const
        {
            run(proto::RelayOrder::START, order.task, order.run);
            out.set_payload(order.payload);
            out.set_checkpoint(order.checkpoint);
            out.set_ticket(order.ticket);
            out.set_lease_until_ms(order.leaseUntil.count());
        }
        void operator()(const StopOrder& order) const { run(proto::RelayOrder::STOP, order.task, order.run); }
        void operator()(const PaceOrder& order) const
        {
            run(proto::RelayOrder::PACE, order.task, order.run);
            out.set_percent(order.percent);
        }
        void operator()(const LookOrder& order) const
        {
            out.set_kind(proto::RelayOrder::LOOK);
            if (order.leaseUntil)
                out.set_lease_until_ms(order.leaseUntil->count());
            out.set_ends_acknowledged(order.endsAcknowledged);
            out.set_wait_ms(static_cast<std::uint32_t>(order.wait.count()));
        }
    };

} // namespace

/** Writes an order to a message, without its fencing token, which is a field of the enclosing call. */
void toProto(const TargetRef& target, const TargetOrder& order, proto::RelayOrder& out)
{
    out.set_target(target.id.value);
    out.set_address(target.address);
    std::visit(OrderWriter { out }, order);
}

/** Reads an order. @param token Fencing token of the call. @return Nothing if the kind of order is unknown. */
std::optional<std::pair<TargetRef, TargetOrder>> fromProto(const proto::RelayOrder& in, FencingToken token)
{
    const TargetRef target { TargetId(in.target()), in.address() };
    const CellTaskKey task = taskFromProto(in.task());
    switch (in.kind()) {
    case proto::RelayOrder::START:
        return std::pair(target,
            TargetOrder(StartOrder {
                task, in.run(), in.payload(), in.checkpoint(), in.ticket(), Ms(in.lease_until_ms()), token }));
    case proto::RelayOrder::STOP:
        return std::pair(target, TargetOrder(StopOrder { task, in.run(), token }));
    case proto::RelayOrder::PACE:
        return std::pair(target, TargetOrder(PaceOrder { task, in.run(), in.percent(), token }));
    case proto::RelayOrder::LOOK: {
        LookOrder look;
        look.token = token;
        if (in.has_lease_until_ms())
            look.leaseUntil = Ms(in.lease_until_ms());
        look.endsAcknowledged = in.ends_acknowledged();
        look.wait = Ms(in.wait_ms());
        return std::pair(target, TargetOrder(look));
    }
    default:
        return std::nullopt;
    }
}

/** Writes a result to a message. @param report Empty unless the order is a LookOrder. */
void toProto(const OrderAnswer& answer, const RunReport& report, proto::RelayResult& out)
{
    out.set_result(static_cast<std::uint32_t>(answer.result));
    if (answer.clock)
        out.set_clock_ms(answer.clock->count());
    out.set_report_clock_ms(report.clock.count());
    out.set_born_ms(report.bornAt.time_since_epoch().count());
    out.set_ends_cut(report.endsCut);
    for (const RunRow& row : report.running) {
        auto& run = *out.add_runs();
        taskToProto(row.task, *run.mutable_task());
        run.set_run(row.run);
        run.set_checkpoint(row.checkpoint);
        run.set_percent(row.percent);
        run.set_gauge(row.gauge);
    }
    for (const EndRow& row : report.ended) {
        auto& end = *out.add_ends();
        end.set_number(row.number);
        taskToProto(row.task, *end.mutable_task());
        end.set_run(row.run);
        end.set_kind(static_cast<std::uint32_t>(row.kind));
        end.set_checkpoint(row.checkpoint);
    }
}

/** Reads a result. @return Nothing if an enumerator is out of range. */
std::optional<std::pair<OrderAnswer, RunReport>> fromProto(const proto::RelayResult& in)
{
    if (in.result() > static_cast<std::uint32_t>(OrderResult::Lost))
        return std::nullopt;
    OrderAnswer answer { static_cast<OrderResult>(in.result()), {} };
    if (in.has_clock_ms())
        answer.clock = Ms(in.clock_ms());
    RunReport report;
    report.clock = Ms(in.report_clock_ms());
    report.bornAt = CalendarTime(Ms(in.born_ms()));
    report.endsCut = in.ends_cut();
    for (const proto::RelayRun& run : in.runs())
        report.running.push_back(
            { taskFromProto(run.task()), run.run(), run.checkpoint(), run.percent(), run.gauge() });
    for (const proto::RelayEnd& end : in.ends()) {
        if (end.kind() > static_cast<std::uint32_t>(EndKind::Alone))
            return std::nullopt;
        report.ended.push_back(
            { end.number(), taskFromProto(end.task()), end.run(), static_cast<EndKind>(end.kind()), end.checkpoint() });
    }
    return std::pair(answer, std::move(report));
}

} // namespace sp
