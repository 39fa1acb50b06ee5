/** @file core_fixture.h One scheduler core with a small fake store and fake targets, for tests of single failures. */
#pragma once

#include "bundle.h"
#include "scheduler_core.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sp::test {

/** How the fake store behaves. */
enum class StoreMode { Up, Down, Hold, LoseAnswers };

/** A core with everything around it. Time passes only by advance and settle. */
struct CoreFixture {
    std::map<std::string, StoreKeyValue> store;
    std::map<std::string, StoreLeaseId> leased; ///< Keys that are bound to a lease.
    Revision revision { 1 };
    StoreMode storeMode = StoreMode::Up;
    std::vector<CallStore> held;
    Time now { std::chrono::hours(1) };
    std::vector<RunPrompt> runs;
    std::vector<ForwardPrompt> forwarded;
    std::vector<StartTask> starts;
    std::vector<StopTask> stops;
    std::map<std::string, AnswerMessage> answers;
    std::map<TargetId, FollowTarget> followed;
    std::map<TargetId, std::vector<RunningTask>> runningTasks;
    std::map<TargetId, std::vector<FinishedTask>> finishedTasks;
    std::vector<Event> pending; ///< Events that the core's actions cause; delivered after the present one.
    bool drained = false;
    SchedulerCore core;

    explicit CoreFixture(Incarnation incarnation = Incarnation(1), std::vector<PeerConfig> peers = {},
        const CoreFixture* predecessor = nullptr)
        : core(config(incarnation, std::move(peers)),
            [this](Action&& action) { std::visit([this](auto& concrete) { act(concrete); }, action); })
    {
        if (predecessor) {
            store = predecessor->store;
            leased = predecessor->leased;
            revision = predecessor->revision;
            runningTasks = predecessor->runningTasks;
            expireLeases();
        } else {
            fill();
        }
        core.start(now);
        deliver();
    }

    /** Puts three instances, three workers and a bundle into the store. */
    void fill()
    {
        for (int i = 1; i <= 3; ++i) {
            const std::string n = std::to_string(i);
            putHost("i" + n,
                R"({"kind":"instance","data_centre":"dc1","address":"127.0.0.1:1","service":"shop","slots":2,"connections":8,"state":"live"})");
            putHost("w" + n,
                R"({"kind":"worker","data_centre":"dc1","rack":"r","address":"127.0.0.1:1","cores_milli":4000,"memory_mb":4000,"accelerators":0,"state":"live"})");
        }
        putBundle(1);
    }

    static CoreConfig config(Incarnation incarnation, std::vector<PeerConfig> peers)
    {
        CoreConfig config;
        config.self = HostId("e1");
        config.dataCentre = DataCentreId("dc1");
        config.incarnation = incarnation;
        config.peers = std::move(peers);
        return config;
    }

    void put(const std::string& key, const std::string& value, StoreLeaseId lease = {})
    {
        revision = Revision(revision.value + 1);
        store[key] = { key, value, revision };
        leased.erase(key);
        if (lease.value)
            leased[key] = lease;
    }

    void putHost(const std::string& id, const std::string& json) { put(hostListPrefix + id, json); }

    void putBundle(std::uint64_t version)
    {
        const std::string text = "[bundle]\nversion = " + std::to_string(version)
            + "\nauthor = tester\n[cell]\ndata_centres = dc1\nslot_shards = 1\n"
              "[workload check]\nclass = prompt\nservice = shop\n"
              "[workload charge]\nclass = prompt\nservice = shop\nidempotent = false\n"
              "[workload report]\nclass = batch\n[workload keep]\nclass = hold\n";
        put(bundleKey(BundleVersion(version)), text);
        BundleHead head;
        head.version = BundleVersion(version);
        head.digest = sha256Hex(text);
        head.stages = { DataCentreId("dc1") };
        head.state = "in_force";
        put(bundleHeadKey, bundleHeadJson(head));
    }

    void expireLeases()
    {
        for (const auto& [key, lease] : leased) {
            store.erase(key);
            revision = Revision(revision.value + 1);
        }
        leased.clear();
    }

    /** Lets time pass in steps of 100 ms; targets answer their reports, the store its calls. */
    void advance(Duration duration)
    {
        for (const Time end = now + duration; now < end;) {
            now += std::chrono::milliseconds(100);
            core.handle(Ticked {}, now);
            deliver();
            reportAll();
        }
    }

    /** Long enough for the promise period after a start, a claim and a recovery. */
    void settle() { advance(std::chrono::seconds(8)); }

    void reportAll()
    {
        for (const auto& [target, follow] : std::map<TargetId, FollowTarget>(followed)) {
            TargetReported report;
            report.target = target;
            report.shard = follow.shard;
            report.term = follow.term;
            report.highestTerm = follow.term;
            report.sentAt = now - std::chrono::milliseconds(1);
            for (const RunPrompt& run : runs) {
                if (run.target == target && !ended.contains(run.call))
                    report.runningRequests.push_back(run.request);
            }
            report.runningTasks = runningTasks[target];
            report.finishedTasks = finishedTasks[target];
            core.handle(report, now);
            deliver();
        }
    }

    void submitPrompt(
        const std::string& id, const std::string& workload, const std::string& payload, const std::string& key = {})
    {
        PromptSubmitted request;
        request.id = RequestId(id);
        request.caller = CallerId("caller");
        request.team = TeamId("team");
        request.workload = WorkloadId(workload);
        request.key = IdempotencyKey(key);
        request.payload = std::make_shared<const std::string>(payload);
        request.deadline = now + std::chrono::seconds(60);
        core.handle(request, now);
        deliver();
    }

    JobId submitJob(const std::string& id, const std::string& workload, std::uint32_t tasks)
    {
        JobSubmitted job;
        job.id = RequestId(id);
        job.spec.caller = CallerId("caller");
        job.spec.team = TeamId("team");
        job.spec.workload = WorkloadId(workload);
        job.spec.tasks = tasks;
        job.spec.size = { 1000, 100, 0 };
        core.handle(job, now);
        deliver();
        return answers[id].job;
    }

    JobStatus jobStatus(const JobId& job)
    {
        JobCommanded query;
        query.id = RequestId("query");
        query.job = job;
        query.caller = CallerId("caller");
        core.handle(query, now);
        deliver();
        return answers["query"].status.value_or(JobStatus {});
    }

    void endCall(CallId call, CallEnd end, const std::string& body)
    {
        ended.insert(call);
        core.handle(TargetCallEnded { call, end, std::make_shared<const std::string>(body), {} }, now);
        deliver();
    }

    void finishTask(const StartTask& start, TaskEnd end)
    {
        std::erase_if(runningTasks[start.target], [&](const RunningTask& task) { return task.task == start.task; });
        finishedTasks[start.target].push_back({ start.task, end, "output" });
    }

    void flushStore()
    {
        for (const CallStore& call : std::exchange(held, {}))
            act(call);
        deliver();
    }

    void deliver()
    {
        while (!pending.empty()) {
            for (const Event& event : std::exchange(pending, {}))
                core.handle(event, now);
        }
    }

private:
    std::set<CallId> ended;
    std::uint64_t lastLease = 100;

    void act(const SendAnswer& action) { answers[action.answer.id.value] = action.answer; }
    void act(const RunPrompt& action) { runs.push_back(action); }
    void act(const ForwardPrompt& action) { forwarded.push_back(action); }
    void act(const StartTask& action)
    {
        starts.push_back(action);
        runningTasks[action.target].push_back({ action.task, action.size, action.size });
    }
    void act(const StopTask& action) { stops.push_back(action); }
    void act(const FollowTarget& action) { followed[action.target] = action; }
    void act(const UnfollowTarget& action) { followed.erase(action.target); }
    void act(const Drained&) { drained = true; }
    void act(const CallStore& action)
    {
        if (storeMode == StoreMode::Hold) {
            held.push_back(action);
            return;
        }
        StoreReply reply;
        reply.ticket = action.ticket;
        reply.sentAt = now;
        if (storeMode == StoreMode::Down) {
            reply.status = StoreStatus::Lost;
        } else {
            reply.status = StoreStatus::Ok;
            std::visit([&](const auto& request) { perform(request, reply); }, action.request);
            if (storeMode == StoreMode::LoseAnswers) {
                const StoreTicket ticket = reply.ticket;
                reply = {};
                reply.ticket = ticket;
                reply.status = StoreStatus::Lost;
                // Only the first answer is lost; the read back has to wait.
                storeMode = StoreMode::Hold;
            }
        }
        reply.revision = revision;
        pending.emplace_back(reply);
    }
    template <typename T> void act(const T&) { }

    bool holds(const StoreCompare& compare) const
    {
        const auto it = store.find(compare.key);
        switch (compare.kind) {
        case StoreCompare::Kind::Absent:
            return it == store.end();
        case StoreCompare::Kind::ModRevision:
            return it != store.end() && it->second.modRevision == compare.modRevision;
        case StoreCompare::Kind::Value:
            break;
        }
        return it != store.end() && it->second.value == compare.value;
    }

    void perform(const StoreTxn& txn, StoreReply& reply)
    {
        for (const StoreCompare& compare : txn.compares) {
            if (holds(compare))
                continue;
            reply.status = StoreStatus::CompareFailed;
            for (const std::string& key : txn.readOnFailure) {
                if (const auto it = store.find(key); it != store.end())
                    reply.values.push_back(it->second);
            }
            return;
        }
        for (const StoreWrite& write : txn.writes) {
            if (write.kind == StoreWrite::Kind::Put) {
                put(write.key, write.value, write.lease);
            } else {
                store.erase(write.key);
                revision = Revision(revision.value + 1);
            }
        }
    }

    void perform(const StoreRange& range, StoreReply& reply)
    {
        for (const auto& [key, entry] : store) {
            if (range.prefix ? !key.starts_with(range.key) : key != range.key)
                continue;
            ++reply.count;
            if (entry.modRevision >= range.minModRevision)
                reply.values.push_back(entry);
        }
    }

    void perform(const StoreLeaseGrant& grant, StoreReply& reply)
    {
        reply.lease = StoreLeaseId(++lastLease);
        reply.ttl = grant.ttl;
    }

    void perform(const StoreLeaseKeepAlive& keepAlive, StoreReply& reply)
    {
        reply.lease = keepAlive.lease;
        reply.ttl = std::chrono::seconds(3);
    }

    void perform(const StoreLeaseRevoke&, StoreReply&) { expireLeases(); }
};

} // namespace sp::test
