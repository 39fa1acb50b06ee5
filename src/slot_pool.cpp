#include "slot_pool.h"

#include <algorithm>

namespace sp {

namespace {

    /** A request longer than its deadline is let through once in this many times, or its run time is never relearned.
     */
    constexpr std::uint32_t probeEvery = 16;

    /**
     * Short work is queued if it is expected to wait for at most this part of the time to its deadline. A longer queue
     * serves no request more while the load exceeds the slots, it only makes all of them wait. 167 ms at the default
     * deadline of 2 s: real waits are up to 12% above the expected ones at the 99th percentile, and the target is 200.
     */
    constexpr int waitPart = 12;

    /** Short work may wait for this time in any case. */
    constexpr Duration waitFloor = std::chrono::milliseconds(100);

    /** Above this part of a workload's queue only callers below their share are let in, so that no caller fills it. */
    constexpr double openPart = 0.9;

    /** Void timers are removed when there are this many more than waiting requests can have. */
    constexpr std::size_t timerSlack = 1024;

    SlotDecision refuse(const RequestId& id, ErrorKind error, std::string reason)
    {
        return { SlotDecision::Kind::Refuse, id, {}, error, std::move(reason) };
    }

    std::string inMs(Duration duration) { return std::to_string(toMs(duration)) + " ms"; }

    bool later(Time a, Time b) { return a > b; }

} // namespace

/** Sets the policies in force; waiting requests of a workload that is gone stay. @param bundle Bundle. */
void SlotPool::applyPolicy(const Bundle& bundle)
{
    m_teams = bundle.teams;
    m_reserve = { bundle.cell.shortReserveMin, bundle.cell.shortReserveMax };
    for (auto& [id, workload] : m_workloads)
        workload.declared = false;
    for (const auto& [id, policy] : bundle.workloads) {
        if (policy.workClass != WorkClass::Prompt)
            continue;
        Workload& workload = m_workloads[id];
        workload.policy = policy;
        workload.queueAllowed = std::max<std::size_t>(policy.queueLimit, workload.queued);
        workload.service = &serviceNamed(policy.service);
        workload.declared = true;
    }
    std::erase_if(m_workloads, [](const auto& entry) {
        const Workload& workload = entry.second;
        return !workload.declared && workload.queued == 0 && workload.running == 0;
    });
    const WeightHooks hooks {
        [this](const WorkloadId& id) {
            const auto it = m_workloads.find(id);
            return it == m_workloads.end() ? 1.0 : it->second.policy.weight;
        },
        [this](const TeamId& id) {
            const auto it = m_teams.find(id);
            return it == m_teams.end() ? 1.0 : it->second.weight;
        },
    };
    for (auto& [name, service] : m_services) {
        for (FairQueue& queue : service->queues)
            queue.applyWeights(hooks);
    }
    m_nextRecognition = Time::min(); // Thresholds may have become shorter.
}

/** Adds an instance or updates its data; a new one is unusable until setUsable. @param info Instance. */
void SlotPool::putInstance(const InstanceInfo& info)
{
    const auto [it, isNew] = m_instances.try_emplace(info.id);
    SlotInstance& instance = it->second;
    if (!isNew) {
        instance.service->count(instance, -1);
        instance.service->index.remove(instance);
    }
    instance.info = info;
    instance.service = &serviceNamed(info.service);
    instance.overReported = instance.busy > info.slots;
    instance.service->count(instance, 1);
    instance.service->index.update(instance);
}

/** Marks whether an instance has answered under the present term. @param instance Instance. @param usable New state. */
void SlotPool::setUsable(const TargetId& instance, bool usable)
{
    if (auto it = m_instances.find(instance); it != m_instances.end())
        change(it->second, [usable](SlotInstance& changed) { changed.usable = usable; });
}

/** Stops new work for an instance. @param instance Instance. */
void SlotPool::setLeaving(const TargetId& instance)
{
    if (auto it = m_instances.find(instance); it != m_instances.end())
        change(it->second, [](SlotInstance& changed) { changed.leaving = true; });
}

/** Forgets an instance; its requests no longer hold slots. @param instance Instance. */
void SlotPool::removeInstance(const TargetId& instance)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto present = it++;
        if (present->second.instance == &found->second)
            free(present);
    }
    found->second.service->count(found->second, -1);
    found->second.service->index.remove(found->second);
    m_instances.erase(found);
}

/**
 * Records a request that a target reports as running, after a recovery. The count may then exceed the slots.
 * @param instance Instance.
 * @param id Request; if it waits here it leaves the queue, since it must not run twice.
 */
void SlotPool::occupy(const TargetId& instance, const RequestId& id)
{
    const auto it = m_instances.find(instance);
    if (it == m_instances.end() || m_running.contains(id))
        return;
    if (cancelQueued(id))
        m_pending.push_back(refuse(id, ErrorKind::AnswerLost, "a target reports the waiting request as running"));
    change(it->second, [](SlotInstance& changed) {
        ++changed.busy;
        changed.overReported = changed.busy > changed.info.slots;
    });
    m_running[id].instance = &it->second;
}

/**
 * Decides about a new request.
 * @param work Request.
 * @param now Present time.
 * @return Run with an instance, Queue (also for a request that already runs or waits here), or Refuse with a kind
 * whose outcome is "not run".
 */
SlotDecision SlotPool::admit(const PromptWork& work, Time now)
{
    const auto found = m_workloads.find(work.workload);
    if (found == m_workloads.end() || !found->second.declared)
        return refuse(work.id, ErrorKind::UnknownWorkload, "workload unknown");
    if (m_running.contains(work.id) || m_queued.contains(work.id))
        return { SlotDecision::Kind::Queue, work.id, {}, ErrorKind::Ok, "already accepted" };
    if (work.deadline <= now)
        return refuse(work.id, ErrorKind::DeadlinePassed, "deadline passed on arrival");
    Workload& workload = found->second;
    SlotService& service = *workload.service;
    if (service.instances == 0)
        return refuse(work.id, ErrorKind::DeadlineUnmeetable, "no instance of the service");
    const Estimate expected = estimate(workload, work, now);
    service.demand.add(service.meanRunTime(expected.length), now);
    if (expected.length == WorkLength::Short)
        service.shortDemand.add(service.meanRunTime(WorkLength::Short), now); // The median would be too low.
    if (expected.least > work.deadline - now && ++workload.tooLong % probeEvery != 0)
        return refuse(work.id, ErrorKind::DeadlineUnmeetable, "learned run time " + inMs(expected.least));
    if (mayStartNow(service, expected.length, now))
        return start(work, workload, expected.length, now, "least busy");
    if (auto refusal = refuseToQueue(workload, work, expected, now))
        return *refusal;
    enqueue(workload, work, expected, now);
    return { SlotDecision::Kind::Queue, work.id, {}, ErrorKind::Ok, "no free slot" };
}

/**
 * Ends a request's hold on its slot.
 * @param id Request.
 * @param how How it ended; Lost keeps the slot taken, and after Lost only an answer or confirmNotRunning frees it.
 * @param now Present time.
 */
void SlotPool::release(const RequestId& id, SlotRelease how, Time now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    Running& running = it->second;
    running.lost = running.lost || how == SlotRelease::Lost;
    if (running.lost && how != SlotRelease::Answered)
        return;
    if (how == SlotRelease::Answered)
        learn(running, now);
    free(it);
}

/**
 * Frees the slot of a lost request, once a later report shows that it does not run.
 * @param id Request.
 * @param now Present time.
 * @return True if it held a slot.
 */
bool SlotPool::confirmNotRunning(const RequestId& id, Time now)
{
    (void)now;
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return false;
    free(it);
    return true;
}

/** Removes a waiting request, at a cost that does not depend on the queue. @param id Request. @return True if it
 * waited. */
bool SlotPool::cancelQueued(const RequestId& id)
{
    const auto it = m_queued.find(id);
    if (it == m_queued.end())
        return false;
    leaveQueue(it->second, false, m_lastDispatch);
    return true;
}

/**
 * Gives free slots to waiting requests and refuses those whose deadline has passed.
 * @param now Present time.
 * @return Decisions of kind Run or Refuse.
 */
std::vector<SlotDecision> SlotPool::dispatch(Time now)
{
    std::vector<SlotDecision> decisions = std::move(m_pending);
    m_pending.clear();
    m_lastDispatch = std::max(m_lastDispatch, now);
    if (now >= m_nextRecognition)
        recogniseLong(now);
    runTimers(now, decisions);
    for (auto& [name, service] : m_services) {
        if (service->slotsFree > 0 && service->queued() > 0)
            dispatchService(*service, now, decisions);
    }
    return decisions;
}

/** Load of a service in this shard. @param service Service. @param now Present time. @return Load. */
SlotLoad SlotPool::load(const std::string& service, Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return {};
    const SlotService& found = *it->second;
    SlotLoad load;
    load.slotsTotal = found.slotsTotal;
    load.slotsFree = found.slotsFree;
    load.queued = static_cast<std::uint32_t>(found.queued());
    load.releaseInterval = found.releaseInterval(WorkLength::Short, m_reserve, now);
    if (const std::size_t waiting = found.queue(WorkLength::Short).size(); waiting >= found.slotsFree)
        load.expectedWait = load.releaseInterval * static_cast<Duration::rep>(waiting - found.slotsFree + 1);
    load.demand = found.demand.slots(now);
    return load;
}

/** Instance that runs a request. @param id Request. @return Instance, if it holds a slot. */
std::optional<TargetId> SlotPool::targetOf(const RequestId& id) const
{
    if (auto it = m_running.find(id); it != m_running.end())
        return it->second.instance->info.id;
    return std::nullopt;
}

/** Slots of a service that long work can't take at present. @param service Service. @param now Present time. */
std::uint32_t SlotPool::reservedSlots(const std::string& service, Time now) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second->reserve(m_reserve, now);
}

/** Service of a name, made if it is new. */
SlotService& SlotPool::serviceNamed(const std::string& name)
{
    std::unique_ptr<SlotService>& service = m_services[name];
    if (!service) {
        service = std::make_unique<SlotService>();
        service->name = name;
    }
    return *service;
}

/** Changes an instance and keeps its service's counts and index in step. */
void SlotPool::change(SlotInstance& instance, const std::function<void(SlotInstance&)>& edit)
{
    instance.service->count(instance, -1);
    edit(instance);
    instance.service->count(instance, 1);
    instance.service->index.update(instance);
}

/** What is known of the run time of a request. */
SlotPool::Estimate SlotPool::estimate(const Workload& workload, const PromptWork& work, Time now) const
{
    const auto learned = m_model.estimate(work.workload, work.caller, now);
    if (!learned)
        return { workload.service->meanRunTime(WorkLength::Short), {}, false, WorkLength::Short };
    const bool isLong = learned->typical > workload.policy.longThreshold;
    // A caller is never refused for the run times of other callers.
    return { learned->typical, learned->ofCaller ? learned->low : Duration::zero(), learned->ofCaller,
        isLong ? WorkLength::Long : WorkLength::Short };
}

FlowWeights SlotPool::weightsOf(const Workload& workload, const PromptWork& work) const
{
    const auto team = m_teams.find(work.team);
    return { workload.policy.weight, team == m_teams.end() ? 1.0 : team->second.weight };
}

/** Whether a new request may have a free slot without passing one that waits. */
bool SlotPool::mayStartNow(const SlotService& service, WorkLength length, Time now) const
{
    const FairQueue& shorts = service.queue(WorkLength::Short);
    const FairQueue& longs = service.queue(WorkLength::Long);
    if (service.slotsFree == 0 || shorts.size() > 0 || longs.nextOverdue() != noHandle)
        return false;
    return length == WorkLength::Short || (longs.size() == 0 && service.longMayStart(m_reserve, now));
}

/** Expected wait of a new request if it is queued. */
Duration SlotPool::expectedWait(const Workload& workload, const PromptWork& work, WorkLength length, Time now) const
{
    const SlotService& service = *workload.service;
    const FairQueue& queue = service.queue(length);
    const Duration interval = service.releaseInterval(length, m_reserve, now);
    const Duration bound = workload.policy.maxWait + interval;
    if (const auto measured = queue.measuredWait(work, now))
        return std::min(*measured + interval, bound);
    const double wait = (queue.itemsAhead(work, weightsOf(workload, work)) + 1) * static_cast<double>(interval.count());
    return wait < static_cast<double>(bound.count()) ? Duration(static_cast<Duration::rep>(wait)) : bound;
}

/** Refusal of a request that would wait in vain or too long. */
std::optional<SlotDecision> SlotPool::refuseToQueue(
    const Workload& workload, const PromptWork& work, const Estimate& expected, Time now) const
{
    const double limit = workload.policy.queueLimit;
    const auto queued = static_cast<double>(workload.queued);
    if (queued >= limit || (queued >= openPart * limit && !callerHasRoom(workload, work, expected.length)))
        return refuse(work.id, ErrorKind::QueueFull, "queue full: " + std::to_string(workload.queued) + " waiting");
    if (workload.service->slotsTotal == 0)
        return std::nullopt; // No instance has answered yet: the service rate is unknown, the deadline still holds.
    const Duration remaining = work.deadline - now;
    const Duration wait = expectedWait(workload, work, expected.length, now);
    if (wait + (expected.ofCaller ? expected.typical : Duration::zero()) > remaining)
        return refuse(work.id, ErrorKind::DeadlineUnmeetable, "expected wait " + inMs(wait));
    if (expected.length == WorkLength::Short && wait > std::max(remaining / waitPart, waitFloor))
        return refuse(work.id, ErrorKind::QueueFull, "queue full: expected wait " + inMs(wait));
    return std::nullopt;
}

/** Whether a caller has less than its share of its workload's queue. */
bool SlotPool::callerHasRoom(const Workload& workload, const PromptWork& work, WorkLength length) const
{
    const FairQueue& queue = workload.service->queue(length);
    const double share = queue.share(work, weightsOf(workload, work));
    return static_cast<double>(queue.queuedOfCaller(work)) < share * openPart * workload.policy.queueLimit;
}

void SlotPool::enqueue(Workload& workload, const PromptWork& work, const Estimate& expected, Time now)
{
    FairQueue& queue = workload.service->queue(expected.length);
    const QueueHandle handle = queue.push(work, weightsOf(workload, work), expected.typical, ++m_serial, now);
    const Queued place { workload.service, expected.length, handle };
    m_queued[work.id] = place;
    ++workload.queued;
    addTimer({ work.deadline, m_serial, place, true });
    if (const Time overdueAt = work.arrivedAt + workload.policy.maxWait; overdueAt < work.deadline)
        addTimer({ overdueAt, m_serial, place, false });
}

/** Takes a request out of its queue. */
PromptWork SlotPool::leaveQueue(const Queued& place, bool served, Time now)
{
    FairQueue& queue = place.service->queue(place.length);
    PromptWork work = served ? queue.take(place.handle, now) : queue.erase(place.handle, now);
    Workload& workload = m_workloads.at(work.workload);
    --workload.queued;
    workload.queueAllowed = std::max<std::size_t>(workload.policy.queueLimit, workload.queued);
    m_queued.erase(work.id);
    return work;
}

/** Adds a timer; when most timers are void they are removed, which costs O(1) for each timer added. */
void SlotPool::addTimer(const Timer& timer)
{
    const auto order = [](const Timer& a, const Timer& b) { return later(a.at, b.at); };
    if (m_timers.size() > 4 * m_queued.size() + timerSlack) {
        std::erase_if(m_timers, [](const Timer& old) {
            return !old.place.service->queue(old.place.length).holds(old.place.handle, old.serial);
        });
        std::make_heap(m_timers.begin(), m_timers.end(), order);
    }
    m_timers.push_back(timer);
    std::push_heap(m_timers.begin(), m_timers.end(), order);
}

/** Refuses requests whose deadline has passed and puts overdue ones first. */
void SlotPool::runTimers(Time now, std::vector<SlotDecision>& decisions)
{
    while (!m_timers.empty() && m_timers.front().at <= now) {
        std::pop_heap(
            m_timers.begin(), m_timers.end(), [](const Timer& a, const Timer& b) { return later(a.at, b.at); });
        const Timer timer = m_timers.back();
        m_timers.pop_back();
        FairQueue& queue = timer.place.service->queue(timer.place.length);
        if (!queue.holds(timer.place.handle, timer.serial))
            continue;
        if (timer.expiry)
            decisions.push_back(refuse(
                leaveQueue(timer.place, false, now).id, ErrorKind::DeadlinePassed, "deadline passed in the queue"));
        else
            queue.markOverdue(timer.place.handle, now);
    }
}

/** Gives a request the least busy instance, which must exist. */
SlotDecision SlotPool::start(
    const PromptWork& work, Workload& workload, WorkLength length, Time now, const char* reason)
{
    SlotInstance& instance = *workload.service->index.leastBusy();
    Running& running = m_running[work.id];
    running = { &instance, &workload, work.caller, now, false, false, workload.last, nullptr };
    (workload.last ? workload.last->next : workload.first) = &running;
    workload.last = &running;
    ++workload.running;
    m_nextRecognition = std::min(m_nextRecognition, now + workload.policy.longThreshold);
    change(instance, [](SlotInstance& changed) { ++changed.busy; });
    if (length == WorkLength::Long)
        countAsLong(running);
    return { SlotDecision::Kind::Run, work.id, instance.info.id, ErrorKind::Ok, reason };
}

/** Gives the free slots of a service to its waiting requests. */
void SlotPool::dispatchService(SlotService& service, Time now, std::vector<SlotDecision>& decisions)
{
    while (service.slotsFree > 0) {
        const auto place = nextOf(service, now);
        if (!place)
            return;
        const bool overdue = service.queue(place->length).item(place->handle).overdue;
        const PromptWork work = leaveQueue(*place, true, now);
        decisions.push_back(start(work, m_workloads.at(work.workload), place->length, now,
            overdue ? "waited for max_wait" : "slot became free"));
    }
}

/**
 * Request that gets the next free slot of a service: the longest overdue one; otherwise that of the short and the
 * long request next by fairness which has used more of its time, so that the priority of long work grows as it waits.
 */
std::optional<SlotPool::Queued> SlotPool::nextOf(SlotService& service, Time now) const
{
    const auto place = [&](WorkLength length, QueueHandle handle) { return Queued { &service, length, handle }; };
    const FairQueue& shorts = service.queue(WorkLength::Short);
    const FairQueue& longs = service.queue(WorkLength::Long);
    const Queued overdueShort = place(WorkLength::Short, shorts.nextOverdue());
    const Queued overdueLong = place(WorkLength::Long, longs.nextOverdue());
    if (overdueShort.handle != noHandle && overdueLong.handle != noHandle) {
        const bool longFirst
            = longs.item(overdueLong.handle).work.arrivedAt < shorts.item(overdueShort.handle).work.arrivedAt;
        return longFirst ? overdueLong : overdueShort;
    }
    if (overdueShort.handle != noHandle || overdueLong.handle != noHandle)
        return overdueShort.handle != noHandle ? overdueShort : overdueLong;
    const Queued shortNext = place(WorkLength::Short, shorts.next());
    const Queued longNext = place(WorkLength::Long, service.longMayStart(m_reserve, now) ? longs.next() : noHandle);
    if (shortNext.handle == noHandle || longNext.handle == noHandle) {
        if (shortNext.handle == noHandle && longNext.handle == noHandle)
            return std::nullopt;
        return shortNext.handle != noHandle ? shortNext : longNext;
    }
    return relativeWait(longNext, now) > relativeWait(shortNext, now) ? longNext : shortNext;
}

/** Share of the time that a request may wait which has passed. */
double SlotPool::relativeWait(const Queued& place, Time now) const
{
    const PromptWork& work = place.service->queue(place.length).item(place.handle).work;
    const Duration allowed
        = std::min<Duration>(work.deadline - work.arrivedAt, m_workloads.at(work.workload).policy.maxWait);
    return static_cast<double>((now - work.arrivedAt).count()) / std::max(1.0, static_cast<double>(allowed.count()));
}

/** Counts running work as long once it has run for longer than the threshold. */
void SlotPool::recogniseLong(Time now)
{
    m_nextRecognition = Time::max();
    for (auto& [id, workload] : m_workloads) {
        const Duration threshold = workload.policy.longThreshold;
        while (workload.first && now - workload.first->startedAt >= threshold) {
            // The end is not known yet: learn twice the threshold now, or work that runs for minutes is expected to be
            // short until its first answer.
            m_model.learn(id, workload.first->caller, 2 * threshold, now);
            countAsLong(*workload.first);
        }
        if (workload.first)
            m_nextRecognition = std::min(m_nextRecognition, workload.first->startedAt + threshold);
    }
}

void SlotPool::countAsLong(Running& running)
{
    unlinkShort(running);
    running.isLong = true;
    change(*running.instance, [](SlotInstance& changed) { ++changed.longBusy; });
}

/** Takes a request out of the list of running short ones. */
void SlotPool::unlinkShort(Running& running)
{
    if (!running.workload || running.isLong)
        return;
    (running.previous ? running.previous->next : running.workload->first) = running.next;
    (running.next ? running.next->previous : running.workload->last) = running.previous;
    running.previous = running.next = nullptr;
}

/** Learns from an answered request. */
void SlotPool::learn(const Running& running, Time now)
{
    if (!running.workload)
        return;
    const Workload& workload = *running.workload;
    const Duration runTime = now - running.startedAt;
    m_model.learn(workload.policy.id, running.caller, runTime, now);
    const bool isLong = runTime > workload.policy.longThreshold;
    workload.service->runTimes[isLong ? 1 : 0].add(runTime);
}

/** Ends a request's hold on its slot. */
void SlotPool::free(std::unordered_map<RequestId, Running>::iterator it)
{
    Running& running = it->second;
    unlinkShort(running);
    if (running.workload)
        --running.workload->running;
    change(*running.instance, [&](SlotInstance& changed) {
        --changed.busy;
        changed.longBusy -= running.isLong ? 1 : 0;
        changed.overReported = changed.overReported && changed.busy > changed.info.slots;
    });
    m_running.erase(it);
}

} // namespace sp
