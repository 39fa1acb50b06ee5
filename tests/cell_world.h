/**
 * @file cell_world.h Runs the owner of a cell against a simulated store, targets and advisor. Simulated time advances
 * only in run().
 */
#pragma once

#include "advice_broker.h"
#include "cell_owner.h"
#include "cell_world_type.h"
#include "environment_seed.h"
#include "loop_load.h"
#include "record_log.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sp::test {

using namespace std::chrono_literals;

/** A simulated cell with one queue, which records the owner's orders and each violation of its guarantees. */
class CellWorld {
public:
    Time now { std::chrono::hours(1) };
    std::map<std::string, StoreKeyValue> store;
    std::uint64_t revision = 100;
    bool storeUp = true;
    bool storeRefuses = false; ///< While the store is down, it rejects transactions, so that their outcome is certain.
    Duration storeDelay { 4ms }; ///< Duration of a transaction.
    std::size_t storeValueBytes = std::size_t { 1 } << 20U; ///< The store refuses larger values for good.
    Time storeHeardAt {}; ///< Time of the last answer from the store.
    int loseEveryNthStoreAnswer = 0; ///< One in this many transactions is carried out without an answer; 0 for none.
    int loseStoreAnswers = 0; ///< Number of transactions that will be carried out without an answer.
    std::map<TargetId, WorldTarget> targets;
    std::vector<WorldStart> starts; ///< Start orders that were carried out, in order.
    std::vector<std::string> violations; ///< Violated guarantees, as texts; empty as long as the owner works correctly.
    /** Last answer to each submission; for a cancellation, the id is prefixed with `cancel-`. */
    std::map<JobId, JobAnswer::Kind> answers;
    std::function<bool(const TargetId&, const StepKey&)> advisorAllows
        = [](const TargetId&, const StepKey&) { return true; };
    std::vector<AdviceQuestion> questions; ///< Questions sent to the advisor.
    /** Hosts that send the questions, each one call at a time; 0 if every question is answered after 20 ms. */
    int advisorHosts = 0;
    /** Pace orders that were sent: the task and its speed limit in percent. */
    std::vector<std::pair<CellTaskKey, int>> paceOrders;
    /** Duration of a run of a task; 0 for a task that runs until it is cancelled. */
    std::function<Duration(const CellTaskKey&)> lengthOf = [](const CellTaskKey&) { return Duration(500ms); };
    /** Factor on the duration of a run on a target, determined when it starts. */
    std::function<double(const CellTaskKey&, const WorldTarget&)> slowdownOf
        = [](const CellTaskKey&, const WorldTarget&) { return 1.0; };
    /** Value that the target reports as RunRow::gauge. */
    std::function<std::int64_t(const CellTaskKey&)> gaugeOf = [](const CellTaskKey&) { return 0; };
    CellConfig config;
    CellBounds bounds;
    std::chrono::milliseconds calendarOffset { 0 }; ///< Added to the wall-clock time of the owner's host.
    int superseded = 0; ///< Number of times that the owner found a newer owner.
    Time staleListUntil {}; ///< Until this time, the owner receives the list of targets as it was last read.
    Duration lateOrderDelay { 3s }; ///< Delay of orders that are carried out late.
    bool relaysHoldOrders = false; ///< Late orders are carried out by later incarnations of their targets as well.
    Duration orderTimeout { 500ms }; ///< Time after which an unanswered order counts as lost.
    Duration longPollMargin { 600ms }; ///< Time after the end of a long poll at which it counts as lost.
    int loseEveryNthCall = 0; ///< One in this many calls to targets is carried out without an answer; 0 for none.
    /** Returns whether the runs of a task save their progress when they are stopped; none if empty. */
    std::function<bool(const CellTaskKey&)> savesProgress;
    Duration restoreTime { 400ms }; ///< Time that a run takes to restore a checkpoint.
    int restores = 0; ///< Number of runs that were started with a checkpoint.
    /** Returns whether a target carries out the stop order for a task; all do if empty. */
    std::function<bool(const TargetId&, const CellTaskKey&)> obeysStop;
    Duration stopsTake { 1ms }; ///< Time from a stop order to the end of the run.
    /** Time that the owner takes for each event that it handles and each order that it sends; what arrives meanwhile
     * waits for the end of its turn. 0 for an owner that takes no time. */
    Duration ownerItemCost {};
    static constexpr int jobsPerItem = 10; ///< A pass over this many open jobs costs as much as one item.
    /** Returns whether the runs of a task end as failed, after their usual duration; none do if empty. */
    std::function<bool(const CellTaskKey&)> failsRuns;
    /** Returns whether a task crashes the target that starts it. */
    std::function<bool(const CellTaskKey&)> crashesTarget;
    Duration crashDelay { 10ms }; ///< Time from the start of such a task to the crash.
    Duration restartDelay { 3500ms }; ///< Time from a crash until the next incarnation of the target is listed.
    /** Returns whether the answer to the start order of a task is lost. */
    std::function<bool(const CellTaskKey&)> losesAnswerOf;
    bool restartKeepsId = false; ///< The next incarnation has the id of the one that crashed.
    std::map<CellTaskKey, int> crashesUnder; ///< Number of targets that crashed while they ran a task.
    int lapsedRuns = 0; ///< Runs that ended since nobody renewed their lease.

    CellWorld()
    {
        QueueConfig queue;
        queue.id = QueueId("q");
        queue.service = ServiceId("s");
        queue.maxAttempts = 2;
        queue.targetLatency = 250ms;
        queue.slackFactor = 1.5;
        config.version = 1;
        config.queues = { queue };
        config.services = { { ServiceId("s"), false, false } };
    }

    void addTargets(int count, Resources capacity = { 16000, 32000, 0 })
    {
        for (int i = 0; i < count; ++i) {
            const std::string number = std::to_string(targets.size() + 1);
            WorldTarget target;
            target.entry.id = TargetId("t" + number);
            target.entry.machine = MachineId("m" + number);
            target.entry.bornAt = CalendarTime(1ms);
            target.entry.address = "a" + number;
            target.entry.service = ServiceId("s");
            target.entry.capacity = capacity;
            target.entry.labels = { "a", "r" + number };
            target.entry.rack = RackId("r" + number);
            targets.emplace(target.entry.id, target);
        }
    }

    /** Starts a new owner on the stored state; the former owner stops and receives no further answers. */
    void takeOver()
    {
        ++ownerGeneration;
        if (log)
            log->end();
        if (owner)
            owner->end("replaced");
        log.reset();
        owner.reset();
        m_inbox.clear();
        m_ownerBusyUntil = {};
        m_ownerItems = 0;
        m_load = {};
        RecordLogHooks hooks;
        hooks.commit = [this](std::size_t lane, StoreTxn&& txn, std::chrono::milliseconds limit) {
            commit(lane, std::move(txn), limit);
        };
        hooks.collect = [this](std::size_t lane, std::size_t limit) { return owner->collect(lane, limit); };
        hooks.decided = [this](std::size_t lane, BatchOutcome outcome) { owner->batchDecided(lane, outcome, now); };
        hooks.ownershipLost = [this](const std::string&) { ++superseded; };
        log = std::make_unique<RecordLog>("own/owner", CellKeys::sequenceKeys(), std::move(hooks));
        startBroker();
        owner = std::make_unique<CellOwner>(bounds, metrics, ownerHooks());
        put("own/owner", "x");
        for (const std::string& key : CellKeys::sequenceKeys())
            put(key, "claimed", revision);
        owner->setConfig(config);
        log->begin(Revision(revision));
        CellRecords records;
        for (const auto& [key, item] : store) {
            if (key.starts_with(CellKeys::jobs))
                records.jobs.push_back(item);
            if (key.starts_with(CellKeys::specs))
                records.specs.push_back(item);
        }
        owner->begin(FencingToken(revision), records, now);
        list(false);
    }

    /**
     * Passes the list of targets to the owner.
     * @param settled False if the list may still lack targets, as after a takeover.
     */
    void list(bool settled = true)
    {
        if (now >= staleListUntil) {
            m_entries.clear();
            for (const auto& [id, target] : targets) {
                if (target.listed)
                    m_entries.push_back(target.entry);
            }
        }
        if (!m_list || *m_list != m_entries)
            m_list = std::make_shared<const std::vector<TargetEntry>>(m_entries);
        owner->targetsListed(m_list, settled, now);
    }

    static StepSpec step(std::uint32_t tasks, std::int64_t cores = 1000)
    {
        StepSpec spec;
        spec.tasks = tasks;
        spec.demand = { cores, 1000, 0 };
        spec.estimate = 500ms;
        return spec;
    }

    void submit(const std::string& id, std::vector<StepSpec> steps, const std::string& account = {})
    {
        CellJobSpec spec;
        spec.id = JobId(id);
        spec.account = AccountId(account);
        if (!account.empty()) {
            accountOf[spec.id] = spec.account;
            specs[spec.id] = steps;
        }
        spec.queue = QueueId("q");
        spec.service = ServiceId("s");
        spec.payload = "payload";
        spec.steps = std::move(steps);
        deliver([this, spec = std::move(spec), job = JobId(id)]() mutable {
            owner->submit(std::move(spec), now, [this, job](JobAnswer&& answer) { answers[job] = answer.kind; });
        });
    }

    void cancel(const std::string& id)
    {
        owner->cancel(JobId(id), now, [this, id](JobAnswer&& answer) { answers[JobId("cancel-" + id)] = answer.kind; });
    }

    std::string state(const std::string& id) const
    {
        const auto found = owner->state(JobId(id));
        return found ? jobStateName(*found) : "gone";
    }

    /** Advances simulated time. Ticks the owner and reads the list of targets at intervals, as an entry host does. */
    void run(Duration duration)
    {
        constexpr Duration tickInterval = 4ms;
        const Time end = now + duration;
        while (now < end) {
            while (!m_events.empty() && m_events.begin()->first <= now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            expireLeases();
            if (owner && now >= m_ownerBusyUntil) {
                const Time turnBegan = now;
                for (const auto& [generation, event] : std::exchange(m_inbox, {})) {
                    if (generation == ownerGeneration)
                        handle(event);
                }
                if (now >= m_nextListAt) {
                    m_nextListAt = now + 700ms;
                    list();
                }
                owner->setStoreStalled(log->stalled(storeHeardAt, now));
                owner->setStoreDelay(log->delay());
                owner->setLag(m_load.lag(), now);
                owner->tick(now);
                if (const std::size_t unattended = owner->unattendedTasks(now); unattended > 0)
                    violations.push_back(std::to_string(unattended) + " tasks that nothing moves on");
                for (const AccountId& account : owner->accountsMiscounted())
                    violations.push_back("the usage of account " + account.value + " is miscounted");
                if (broker)
                    broker->tick(now);
                log->tick(now);
                const auto items
                    = std::exchange(m_ownerItems, 0) + static_cast<int>(owner->openJobCount()) / jobsPerItem;
                m_ownerBusyUntil = turnBegan + ownerItemCost * items;
                m_load.turnEnded(turnBegan, m_ownerBusyUntil);
            }
            now += tickInterval;
        }
    }

    std::size_t startsOf(const std::string& job) const
    {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [&](const WorldStart& start) { return start.task.job == JobId(job); }));
    }

    std::size_t running(const std::string& job) const
    {
        std::size_t count = 0;
        for (const auto& [id, target] : targets) {
            for (const auto& [key, run] : target.runs)
                count += key.job == JobId(job) ? 1 : 0;
        }
        return count;
    }

    void endRun(WorldTarget& target, const CellTaskKey& key, EndKind kind)
    {
        const auto it = target.runs.find(key);
        if (it == target.runs.end())
            return;
        target.stopped.emplace(key, it->second.run);
        const bool saves = kind == EndKind::Stopped && savesProgress && savesProgress(key);
        target.ends.push_back(
            { ++target.lastEnd, key, it->second.run, kind, saves ? checkpointOf(it->second) : std::string() });
        target.endedAt[target.lastEnd] = now;
        target.runs.erase(it);
        if (target.reachable && target.answerLongPoll)
            std::exchange(target.answerLongPoll, nullptr)();
    }

    /** Lets the runs of a target make progress again; each then takes its full duration from now on. */
    void resume(WorldTarget& target)
    {
        if (!std::exchange(target.standsStill, false))
            return;
        for (const auto& [key, run] : target.runs) {
            if (run.length > Duration(0))
                schedule(run.length, [this, id = target.entry.id, key = key, serial = run.serial] {
                    endRunIfCurrent(id, key, serial, EndKind::Done);
                });
        }
    }

    /** Restarts a target: it loses its runs, ends and fencing token and comes back as a new incarnation. */
    void restartTarget(WorldTarget& target)
    {
        target.runs.clear();
        target.ends.clear();
        target.stopped.clear();
        target.lastEnd = 0;
        target.token = {};
        target.leaseEnds = {};
        target.clockStart = now;
        target.acknowledged = 0;
        target.endedAt.clear();
        target.answerLongPoll = nullptr;
        if (target.resetLongPoll)
            std::exchange(target.resetLongPoll, nullptr)();
        target.entry.bornAt += 1ms;
    }

    /** Passes an event to the owner, or lets it wait while the owner is in a turn. */
    void deliver(std::function<void()> event)
    {
        if (now < m_ownerBusyUntil)
            m_inbox.emplace_back(ownerGeneration, std::move(event));
        else
            handle(event);
    }

    /** Changes the maximum of an account, or adds the account. Work placed before may still start under the former one.
     */
    void setMaximum(const std::string& id, Resources maximum)
    {
        const auto it = std::find_if(config.accounts.begin(), config.accounts.end(),
            [&](const ClientAccount& account) { return account.id == AccountId(id); });
        AccountLimit& limit = m_accountLimits[AccountId(id)];
        limit.former = limit.maximum;
        limit.formerUntil = it == config.accounts.end() ? Time {} : now + 4500ms;
        limit.maximum = maximum;
        if (it == config.accounts.end())
            config.accounts.push_back({ AccountId(id), {}, 1, maximum });
        else
            it->maximum = maximum;
        ++config.version;
        if (owner)
            owner->setConfig(config);
    }

    /** Returns the demand of all runs of an account on all targets. */
    Resources accountUse(const AccountId& account) const
    {
        Resources used;
        for (const auto& [id, target] : targets) {
            for (const auto& [key, run] : target.runs) {
                if (const auto it = accountOf.find(key.job); it != accountOf.end() && it->second == account)
                    used += specs.at(key.job).at(key.step).demand;
            }
        }
        return used;
    }

    /** Changes the capacity of a target. The owner may learn of a smaller one within 4.5 s only. */
    void resize(const TargetId& id, Resources capacity)
    {
        WorldTarget& target = targets.at(id);
        target.formerCapacity = target.entry.capacity;
        target.formerCapacityUntil = now + 4500ms;
        target.entry.capacity = capacity;
    }

    /** Ends a target with all its runs; a new incarnation on its machine follows. */
    void crash(const TargetId& id)
    {
        WorldTarget& target = targets.at(id);
        if (!target.alive)
            return;
        for (const auto& [key, run] : target.runs)
            ++crashesUnder[key];
        target.alive = false;
        target.runs.clear();
        schedule(restartDelay, [this, id] {
            WorldTarget& former = targets.at(id);
            if (restartKeepsId) {
                restartTarget(former);
                former.alive = true;
                former.reachable = true;
                return;
            }
            former.listed = false;
            WorldTarget next;
            next.entry = former.entry;
            next.entry.id = TargetId(id.value + "'");
            next.entry.bornAt += 1ms;
            targets.emplace(next.entry.id, next);
        });
    }

    CalendarTime calendarNow() const
    {
        return CalendarTime(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()));
    }

    /** Schedules an event, whichever owner is active then. */
    void later(Duration delay, std::function<void()> event) { schedule(delay, std::move(event)); }

    std::unique_ptr<CellOwner> owner;
    std::unique_ptr<AdviceBroker> broker; ///< Set if advisorHosts is not 0.
    std::unique_ptr<RecordLog> log;
    Metrics metrics;
    int ownerGeneration = 0;

private:
    bool losesNextAnswer() { return loseEveryNthCall > 0 && ++m_callCount % loseEveryNthCall == 0; }

    void schedule(Duration delay, std::function<void()> event)
    {
        // The event runs even if the owner has been replaced by then.
        m_events.emplace(now + delay, std::move(event));
    }

    void handle(const std::function<void()>& event)
    {
        ++m_ownerItems;
        event();
    }

    /** Schedules an event that is dropped if the owner has been replaced by then. */
    void scheduleForOwner(Duration delay, std::function<void()> event)
    {
        schedule(delay, [this, expectedGeneration = ownerGeneration, event = std::move(event)]() mutable {
            if (ownerGeneration == expectedGeneration && owner)
                deliver(std::move(event));
        });
    }

    void put(const std::string& key, const std::string& value, std::uint64_t sameRevision = 0)
    {
        const std::uint64_t at = sameRevision ? sameRevision : ++revision;
        store[key] = { key, value, Revision(at) };
    }

    void commit(std::size_t lane, StoreTxn&& txn, std::chrono::milliseconds limit)
    {
        scheduleForOwner(storeDelay, [this, lane, limit, txn = std::move(txn)] {
            StoreReply reply;
            if (!storeUp) {
                reply.status = storeRefuses ? StoreStatus::Refused : StoreStatus::Lost;
                log->answered(lane, reply, now);
                return;
            }
            storeHeardAt = now;
            if (std::any_of(txn.writes.begin(), txn.writes.end(),
                    [this](const StoreWrite& write) { return write.value.size() > storeValueBytes; })) {
                reply.status = StoreStatus::Invalid;
                log->answered(lane, reply, now);
                return;
            }
            bool comparesMatch = true;
            for (const StoreCompare& compare : txn.compares) {
                const auto it = store.find(compare.key);
                comparesMatch &= it != store.end() && it->second.modRevision == compare.modRevision;
                if (it != store.end())
                    reply.values.push_back(it->second);
            }
            reply.status = comparesMatch ? StoreStatus::Ok : StoreStatus::CompareFailed;
            if (comparesMatch) {
                reply.revision = Revision(++revision);
                for (const StoreWrite& write : txn.writes) {
                    if (write.kind == StoreWrite::Kind::Put)
                        store[write.key] = { write.key, write.value, reply.revision };
                    else
                        store.erase(write.key);
                }
            }
            if (loseStoreAnswers > 0
                || (loseEveryNthStoreAnswer > 0 && ++m_commitCount % loseEveryNthStoreAnswer == 0)) {
                loseStoreAnswers = std::max(0, loseStoreAnswers - 1);
                scheduleForOwner(
                    std::max<Duration>(limit - storeDelay, 1ms), [this, lane] { log->answered(lane, {}, now); });
                return;
            }
            log->answered(lane, reply, now);
        });
    }

    /** Returns the work that a run has done, in ms. */
    std::string checkpointOf(const WorldRun& run) const
    {
        const Duration restoring = run.restoredWork > Duration(0) ? restoreTime : Duration(0);
        const Duration work = run.restoredWork + std::max(Duration(0), now - run.startedAt - restoring);
        return std::to_string(std::max<std::int64_t>(1, toMs(work)));
    }

    std::chrono::milliseconds clockOf(const WorldTarget& target) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - target.clockStart);
    }

    /** Prolongs the lease of a target and of all runs there, at most to the longest lease that targets accept. */
    void prolongLease(WorldTarget& target, std::chrono::milliseconds until) const
    {
        const Time ends = std::min(target.clockStart + until, now + bounds.maxHold);
        target.leaseEnds = std::max(target.leaseEnds, ends);
        for (auto& [key, run] : target.runs)
            run.leaseEnds = std::max(run.leaseEnds, target.leaseEnds);
    }

    void expireLeases()
    {
        for (auto& [id, target] : targets) {
            if (target.leaseEnds <= now)
                target.lapsedAt = now;
            std::vector<CellTaskKey> lapsed;
            for (const auto& [key, run] : target.runs) {
                if (run.leaseEnds <= now)
                    lapsed.push_back(key);
            }
            lapsedRuns += static_cast<int>(lapsed.size());
            for (const CellTaskKey& key : lapsed)
                endRun(target, key, EndKind::Lapsed);
        }
    }

    OrderResult start(WorldTarget& target, const StartOrder& order)
    {
        if (order.token < target.token)
            return OrderResult::Fenced;
        target.token = order.token;
        if (target.refuseStarts != OrderResult::Done)
            return target.refuseStarts;
        if (const auto it = target.runs.find(order.task); it != target.runs.end())
            return it->second.run == order.run ? OrderResult::Done : OrderResult::Outdated;
        for (const auto& [key, run] : target.stopped) {
            if (key == order.task && run >= order.run)
                return OrderResult::Outdated;
        }
        if (order.leaseUntil <= clockOf(target))
            return OrderResult::LeasePast;
        checkStart(target, order);
        prolongLease(target, order.leaseUntil);
        const auto length = std::chrono::duration_cast<Duration>(lengthOf(order.task) * slowdownOf(order.task, target));
        WorldRun run { order.run, now, {}, length, target.leaseEnds, ++m_serial };
        if (!order.checkpoint.empty()) {
            run.restoredWork = std::chrono::milliseconds(std::stoll(order.checkpoint));
            run.length += restoreTime - run.restoredWork;
            ++restores;
        }
        target.runs.emplace(order.task, run);
        starts.push_back({ order.task, order.run, target.entry.id, now });
        const TargetId id = target.entry.id;
        if (crashesTarget && crashesTarget(order.task))
            schedule(crashDelay, [this, id, key = order.task, serial = run.serial] {
                const auto& runs = targets.at(id).runs;
                if (const auto it = runs.find(key); it != runs.end() && it->second.serial == serial)
                    crash(id);
            });
        if (target.failsAll)
            schedule(50ms, [this, id, key = order.task, serial = run.serial] {
                endRunIfCurrent(id, key, serial, EndKind::Failed);
            });
        else if (run.length > Duration(0) && !target.standsStill)
            schedule(run.length, [this, id, key = order.task, serial = run.serial] {
                endRunIfCurrent(id, key, serial, failsRuns && failsRuns(key) ? EndKind::Failed : EndKind::Done);
            });
        return OrderResult::Done;
    }

    void endRunIfCurrent(const TargetId& id, const CellTaskKey& key, std::uint64_t serial, EndKind kind)
    {
        WorldTarget& target = targets.at(id);
        if (const auto it = target.runs.find(key);
            it != target.runs.end() && it->second.serial == serial && target.alive)
            endRun(target, key, kind);
    }

    /**
     * Records that the owner has acknowledged a successful run; no later run of the task may have started before or
     * start afterwards.
     */
    void recordAcknowledgedDone(const EndRow& end)
    {
        m_acknowledgedTasks.insert(end.task);
        for (const WorldStart& start : starts) {
            if (start.task == end.task && start.run > end.run)
                violations.push_back("acknowledged success of run " + std::to_string(end.run)
                    + " after the start of run " + std::to_string(start.run) + " of " + taskText(end.task));
        }
    }

    void checkStart(const WorldTarget& target, const StartOrder& order)
    {
        for (const auto& [id, other] : targets) {
            if (other.alive && other.runs.contains(order.task))
                violations.push_back("two concurrent runs of " + taskText(order.task));
        }
        if (m_acknowledgedTasks.contains(order.task))
            violations.push_back("start after an acknowledged success of " + taskText(order.task));
        const auto reservationOf = [&](const CellTaskKey& key) { return specs.at(key.job).at(key.step).reserved(); };
        if (specs.contains(order.task.job)) {
            Resources used = reservationOf(order.task);
            for (const auto& [key, run] : target.runs) {
                if (specs.contains(key.job))
                    used += reservationOf(key);
            }
            if (!used.fitsIn(target.entry.capacity)
                && (now >= target.formerCapacityUntil || !used.fitsIn(target.formerCapacity)))
                violations.push_back("capacity exceeded on " + target.entry.id.value);
        }
        if (const auto account = accountOf.find(order.task.job); account != accountOf.end()) {
            const Resources used = accountUse(account->second) + specs.at(order.task.job).at(order.task.step).demand;
            const AccountLimit& limit = m_accountLimits[account->second];
            if (!used.withinLimit(limit.maximum) && (now >= limit.formerUntil || !used.withinLimit(limit.former)))
                violations.push_back("maximum of account " + account->second.value + " exceeded by "
                    + taskText(order.task) + ": " + std::to_string(used.coresMilli) + " of "
                    + std::to_string(limit.maximum.coresMilli));
        }
        if (order.payload != "payload")
            violations.push_back("wrong payload for " + taskText(order.task));
    }

    AdviceReply adviceFor(const AdviceQuestion& question) const
    {
        AdviceReply reply;
        reply.answered = true;
        for (const TargetId& id : question.targets) {
            if (advisorAllows(id, question.step))
                reply.allowed.emplace_back(id, "ticket");
        }
        return reply;
    }

    void startBroker()
    {
        broker.reset();
        if (advisorHosts == 0)
            return;
        AdviceBrokerHooks hooks;
        hooks.refresh = [this](AdviceQuestion& question, Time at) { return owner->refreshQuestion(question, at); };
        hooks.send = [this](const HostId& host, const AdviceQuestion& question, std::uint64_t callId) {
            questions.push_back(question);
            Time& idleAt = m_advisorIdleAt[host];
            idleAt = std::max(idleAt, now) + question.callTime;
            scheduleForOwner(idleAt - now, [this, question, callId] {
                owner->onAdvice(question, adviceFor(question), now);
                broker->finished(callId, true, now);
            });
        };
        broker = std::make_unique<AdviceBroker>(std::move(hooks));
        std::vector<HostId> hosts;
        for (int i = 0; i < advisorHosts; ++i)
            hosts.emplace_back("h" + std::to_string(i));
        broker->setHosts(hosts);
    }

    CellOwnerHooks ownerHooks()
    {
        CellOwnerHooks hooks;
        hooks.start = [this](const CellTarget& target, const StartOrder& order) {
            ++m_ownerItems;
            const TargetId id = target.id();
            // The order is delivered even if its sender has been replaced by then.
            schedule(1ms, [this, id, order, expectedGeneration = ownerGeneration] {
                WorldTarget& receiver = targets.at(id);
                OrderAnswer reply { OrderResult::Lost, {} };
                if (receiver.alive && receiver.reachable && receiver.ordersToDelay > 0) {
                    --receiver.ordersToDelay;
                    schedule(lateOrderDelay, [this, id, order, incarnation = receiver.entry.bornAt] {
                        // An order to an earlier incarnation is lost with its connection, unless a relay holds it.
                        if (targets.at(id).alive && (relaysHoldOrders || targets.at(id).entry.bornAt == incarnation))
                            start(targets.at(id), order);
                    });
                } else if (receiver.alive && receiver.reachable) {
                    reply = receiver.answersForAnother ? OrderAnswer { OrderResult::OtherLife, {} }
                                                       : OrderAnswer { start(receiver, order), clockOf(receiver) };
                    if (reply.result == OrderResult::NotSent)
                        reply.clock.reset(); // The order did not reach the target.
                    if (losesAnswerOf && losesAnswerOf(order.task)) {
                        reply = { OrderResult::Lost, {} };
                    } else if (receiver.loseStarts > 0 || losesNextAnswer()) {
                        receiver.loseStarts = std::max(1, receiver.loseStarts);
                        --receiver.loseStarts;
                        reply = { OrderResult::Lost, {} };
                    }
                }
                schedule(reply.result == OrderResult::Lost ? orderTimeout : Duration(1ms),
                    [this, id, order, reply, expectedGeneration] {
                        if (ownerGeneration == expectedGeneration)
                            deliver(
                                [this, id, order, reply] { owner->onStarted(id, order.task, order.run, reply, now); });
                    });
            });
        };
        hooks.stop = [this](const CellTarget& target, const CellTaskKey& key, std::uint32_t run, FencingToken token) {
            ++m_ownerItems;
            const TargetId id = target.id();
            schedule(1ms, [this, id, key, run, token, expectedGeneration = ownerGeneration] {
                WorldTarget& receiver = targets.at(id);
                OrderAnswer reply { OrderResult::Lost, {} };
                if (receiver.alive && receiver.reachable && (!obeysStop || obeysStop(id, key))) {
                    reply = { token < receiver.token ? OrderResult::Fenced : OrderResult::Done, clockOf(receiver) };
                    if (reply.result == OrderResult::Done) {
                        receiver.stopped.emplace(key, run);
                        schedule(stopsTake, [this, id, key, run] {
                            WorldTarget& stopping = targets.at(id);
                            if (const auto it = stopping.runs.find(key);
                                it != stopping.runs.end() && it->second.run == run)
                                endRun(stopping, key, EndKind::Stopped);
                        });
                    }
                }
                schedule(reply.result == OrderResult::Lost ? orderTimeout : Duration(1ms),
                    [this, id, key, run, reply, expectedGeneration] {
                        if (ownerGeneration == expectedGeneration)
                            deliver([this, id, key, run, reply] { owner->onStopped(id, key, run, reply, now); });
                    });
            });
        };
        hooks.pace
            = [this](const CellTarget& target, const CellTaskKey& key, std::uint32_t run, int percent, FencingToken) {
                  paceOrders.emplace_back(key, percent);
                  scheduleForOwner(2ms, [this, id = target.id(), key, run, percent] {
                      owner->onPaced(id, key, run, percent, { OrderResult::Done, clockOf(targets.at(id)) }, now);
                  });
              };
        hooks.look = [this](const CellTarget& target, const LookOrder& order) { look(target.id(), order); };
        hooks.ask = [this](const AdviceQuestion& question) {
            if (broker) {
                broker->ask(question, now);
                return;
            }
            AdviceQuestion sent = question;
            if (!owner->refreshQuestion(sent, now))
                return;
            questions.push_back(sent);
            scheduleForOwner(20ms, [this, sent] { owner->onAdvice(sent, adviceFor(sent), now); });
        };
        hooks.flush = [this](Time deadline) { log->requestFlush(deadline); };
        hooks.superseded = [this](const std::string&) { ++superseded; };
        hooks.calendar = [this] { return calendarNow() + calendarOffset; };
        return hooks;
    }

    void look(const TargetId& id, const LookOrder& order)
    {
        ++m_ownerItems;
        schedule(1ms, [this, id, order, expectedGeneration = ownerGeneration] {
            WorldTarget& target = targets.at(id);
            const auto reportLost = [this, id, order, expectedGeneration] {
                if (ownerGeneration == expectedGeneration)
                    deliver([this, id, order] { owner->onReport(id, order, { OrderResult::Lost, {} }, {}, now); });
            };
            if (!target.alive || !target.reachable) {
                schedule(order.wait + longPollMargin, reportLost);
                return;
            }
            if (target.answersForAnother || target.refuseReports != OrderResult::Done) {
                scheduleForOwner(1ms,
                    [this, id, order,
                        refusal = target.answersForAnother ? OrderResult::OtherLife : target.refuseReports] {
                        owner->onReport(id, order, { refusal, {} }, {}, now);
                    });
                return;
            }
            if (order.token < target.token) {
                scheduleForOwner(1ms, [this, id, order] {
                    owner->onReport(id, order, { OrderResult::Fenced, clockOf(targets.at(id)) }, {}, now);
                });
                return;
            }
            target.token = order.token;
            target.acknowledged = std::max(target.acknowledged, order.endsAcknowledged);
            std::erase_if(target.ends, [&](const EndRow& end) {
                if (end.number > order.endsAcknowledged)
                    return false;
                if (end.kind == EndKind::Done && target.lapsedAt < target.endedAt[end.number])
                    recordAcknowledgedDone(end);
                return true;
            });
            if (order.leaseUntil)
                prolongLease(target, *order.leaseUntil);
            const auto report = [this, id, order, expectedGeneration, reportLost, loseAnswer = losesNextAnswer()] {
                if (loseAnswer)
                    schedule(order.wait + longPollMargin, reportLost);
                else if (ownerGeneration == expectedGeneration)
                    deliver([this, id, order, clock = clockOf(targets.at(id)), runs = reportOf(id)] {
                        owner->onReport(id, order, { OrderResult::Done, clock }, runs, now);
                    });
            };
            if (!target.ends.empty() || order.wait.count() == 0) {
                schedule(1ms, report);
                return;
            }
            auto answered = std::make_shared<bool>(false);
            target.answerLongPoll = [this, report, answered] {
                if (!std::exchange(*answered, true))
                    schedule(1ms, report);
            };
            target.resetLongPoll = [this, reportLost, answered] {
                if (!std::exchange(*answered, true))
                    schedule(1ms, reportLost);
            };
            schedule(order.wait, [this, id, answered, report, reportLost, bornAt = target.entry.bornAt] {
                if (std::exchange(*answered, true))
                    return;
                const WorldTarget& answering = targets.at(id);
                if (answering.reachable && answering.alive && answering.entry.bornAt == bornAt)
                    report();
                else
                    schedule(longPollMargin, reportLost);
            });
        });
    }

    RunReport reportOf(const TargetId& id)
    {
        const WorldTarget& target = targets.at(id);
        RunReport report;
        report.clock = clockOf(target);
        report.bornAt = target.entry.bornAt;
        for (const auto& [key, run] : target.runs) {
            const double share = run.length > Duration(0)
                ? std::chrono::duration<double>(now - run.startedAt + run.restoredWork)
                    / std::chrono::duration<double>(run.length + run.restoredWork)
                : 1;
            const int percent = target.standsStill ? 0 : static_cast<int>(100 * std::min(1.0, share));
            report.running.push_back({ key, run.run, {}, percent, gaugeOf(key) });
        }
        report.ended = target.ends;
        return report;
    }

public:
    std::map<JobId, std::vector<StepSpec>> specs; ///< Steps of the jobs whose use of capacity is checked.
    std::map<JobId, AccountId> accountOf; ///< Accounts of the jobs that have one.

private:
    /** Maximum of an account, and the one before it, which is in force until a time. */
    struct AccountLimit {
        Resources maximum;
        Resources former;
        Time formerUntil {};
    };
    std::map<AccountId, AccountLimit> m_accountLimits;
    std::multimap<Time, std::function<void()>> m_events;
    std::map<HostId, Time> m_advisorIdleAt; ///< Time at which the advisor will have answered all calls of a host.
    std::set<CellTaskKey> m_acknowledgedTasks;
    std::uint64_t m_serial = 0;
    LoopLoad m_load;
    Time m_ownerBusyUntil {}; ///< End of the owner's present turn.
    int m_ownerItems = 0; ///< Events handled and orders sent in the present turn.
    /** Events that wait for the end of the owner's turn, each with the owner that it is for. */
    std::vector<std::pair<int, std::function<void()>>> m_inbox;
    int m_callCount = 0;
    int m_commitCount = 0;
    Time m_nextListAt {};
    TargetList m_list; ///< List as last passed to the owner.
    std::vector<TargetEntry> m_entries; ///< List of targets as last read.
};

} // namespace sp::test
