#include "soak/world.h"

namespace sp::soak {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr seconds reportTimeout { 3 }; ///< A report without an answer for this long makes a target silent.
    constexpr milliseconds pollEvery { 100 };
    constexpr seconds finishedKept { 60 };

    /** Run time that a payload asks for: the number after its last '|', in milliseconds. */
    Duration runTimeOf(const std::string& payload)
    {
        const auto mark = payload.rfind('|');
        return mark == std::string::npos ? milliseconds(20) : milliseconds(std::stoll(payload.substr(mark + 1)));
    }

} // namespace

bool World::isCut(const Process& process, const FakeTarget& target) const
{
    return !target.isPresent || m_faults.cutTargets.contains({ process.host, target.id });
}

/** Ends a call at its caller after a delay. */
void World::endCall(
    Process& process, std::uint64_t generation, CallId call, CallEnd end, const std::string& body, Duration delay)
{
    m_time.after(delay, [=, this, host = process.host] {
        Process& caller = *find(host);
        if (caller.generation == generation)
            caller.calls.erase(call);
        deliver(caller, generation, TargetCallEnded { call, end, std::make_shared<const std::string>(body), "" });
    });
}

void World::runPrompt(Process& process, const RunPrompt& run)
{
    const auto told = process.toldLeaving.find(run.target);
    m_checks.startSent(
        run.target, told == process.toldLeaving.end() ? std::nullopt : std::optional(m_time.now() - told->second));
    process.calls.insert(run.call);
    m_time.trace(process.host.value + " run " + run.request.value + " at " + run.target.value + " term "
        + std::to_string(run.term.value));
    m_time.after(m_time.between(microseconds(50), milliseconds(1)),
        [this, host = process.host, generation = process.generation, run] {
            whenRunning(*find(host), generation, [this, host, generation, run] {
                Process& sender = *find(host);
                FakeTarget* target = find(run.target);
                if (!target || isCut(sender, *target)) {
                    const CallEnd end = m_time.chance(0.5) ? CallEnd::NotConnected : CallEnd::Lost;
                    endCall(sender, generation, run.call, end, "",
                        end == CallEnd::Lost ? Duration(seconds(2)) : Duration(milliseconds(1)));
                    return;
                }
                const bool isAnswerLost = m_faults.connectionSilent > 0 && m_time.chance(m_faults.connectionSilent);
                m_time.after(m_time.between(microseconds(100), milliseconds(2)),
                    [=, this] { arrivePrompt(*find(host), generation, run, isAnswerLost); });
            });
        });
}

void World::arrivePrompt(Process& process, std::uint64_t generation, const RunPrompt& run, bool isAnswerLost)
{
    FakeTarget* target = find(run.target);
    const Duration back = m_time.between(microseconds(100), milliseconds(2));
    if (!target || !target->isPresent) {
        endCall(process, generation, run.call, CallEnd::Lost, "", seconds(1));
        return;
    }
    if (!m_options.mutations.targetsAcceptOldTerms && !target->takeTerm(run.shard, run.term)) {
        endCall(process, generation, run.call, CallEnd::RefusedTerm, "", back);
        return;
    }
    if (target->leavingSince && !m_options.mutations.hideLeaving) {
        endCall(process, generation, run.call, CallEnd::RefusedLeaving, "", back);
        return;
    }
    if (!target->hasRoom({})) {
        m_checks.overfilled(target->id, run.request.value);
        endCall(process, generation, run.call, CallEnd::RefusedFull, "", back);
        return;
    }
    m_checks.termAccepted(target->id, run.shard, run.term);
    m_checks.requestStarted(target->id, run.request.value, *run.payload);
    m_time.trace(target->id.value + " starts " + run.request.value + " for " + process.host.value);
    target->running[run.request.value]
        = { *run.payload, {}, m_time.now() + runTimeOf(*run.payload), {}, {}, run.call, process.host, generation };
    if (m_options.mutations.refuseAfterStart)
        endCall(process, generation, run.call, CallEnd::RefusedTerm, "", back);
    const std::string body = m_options.mutations.swapAnswers ? "done:other" : "done:" + *run.payload;
    m_time.after(runTimeOf(*run.payload), [=, this, host = process.host, id = target->id] {
        FakeTarget* ended = find(id);
        if (!ended || ended->running.erase(run.request.value) == 0)
            return; // The target crashed; endCall was made there.
        m_checks.requestEnded(run.request.value);
        if (isAnswerLost)
            endCall(*find(host), generation, run.call, CallEnd::Lost, "", seconds(2));
        else
            endCall(*find(host), generation, run.call, CallEnd::Completed, body, back);
    });
}

void World::startTask(Process& process, const StartTask& start)
{
    const auto told = process.toldLeaving.find(start.target);
    m_checks.startSent(
        start.target, told == process.toldLeaving.end() ? std::nullopt : std::optional(m_time.now() - told->second));
    m_time.trace(process.host.value + " start " + start.task.value + " at " + start.target.value + " term "
        + std::to_string(start.term.value));
    m_time.after(m_time.between(microseconds(50), milliseconds(1)),
        [this, host = process.host, generation = process.generation, start] {
            whenRunning(*find(host), generation, [this, host, generation, start] {
                Process& sender = *find(host);
                FakeTarget* target = find(start.target);
                if (!target || isCut(sender, *target)) {
                    const CallEnd end = m_time.chance(0.5) ? CallEnd::NotConnected : CallEnd::Lost;
                    endCall(sender, generation, start.call, end, "",
                        end == CallEnd::Lost ? Duration(seconds(2)) : Duration(milliseconds(1)));
                    return;
                }
                const bool isAnswerLost = m_faults.connectionSilent > 0 && m_time.chance(m_faults.connectionSilent);
                m_time.after(m_time.between(microseconds(100), milliseconds(2)),
                    [=, this] { arriveTask(*find(host), generation, start, isAnswerLost); });
            });
        });
}

void World::arriveTask(Process& process, std::uint64_t generation, const StartTask& start, bool isAnswerLost)
{
    FakeTarget* target = find(start.target);
    const Duration back = m_time.between(microseconds(100), milliseconds(2));
    CallEnd end = CallEnd::Completed;
    if (!target || !target->isPresent)
        end = CallEnd::Lost;
    else if (!m_options.mutations.targetsAcceptOldTerms && !target->takeTerm(start.shard, start.term))
        end = CallEnd::RefusedTerm;
    else if (target->running.contains(start.task.value) || target->finished.contains(start.task))
        end = CallEnd::Completed;
    else if (target->leavingSince && !m_options.mutations.hideLeaving)
        end = CallEnd::RefusedLeaving;
    else if (!target->hasRoom(start.size)) {
        m_checks.overfilled(target->id, start.task.value);
        end = CallEnd::RefusedFull;
    } else {
        const std::string payload = start.payload ? *start.payload : std::string();
        m_checks.termAccepted(target->id, start.shard, start.term);
        m_checks.taskStarted(target->id, start.task, payload, !payload.starts_with("n:"));
        m_time.trace(target->id.value + " starts " + start.task.value + " for " + process.host.value);
        target->running[start.task.value] = { payload, start.size, m_time.now() + runTimeOf(payload),
            m_time.now() + start.lease, Time(start.lease), start.call, process.host, generation };
    }
    if (isAnswerLost)
        end = CallEnd::Lost;
    endCall(process, generation, start.call, end, "", end == CallEnd::Lost ? Duration(seconds(2)) : back);
}

void World::stopTask(Process& process, const StopTask& stop)
{
    m_time.trace(process.host.value + " stop " + stop.task.value + " at " + stop.target.value);
    m_time.after(m_time.between(microseconds(200), milliseconds(3)),
        [=, this, host = process.host, generation = process.generation] {
            whenRunning(*find(host), generation, [=, this] {
                Process& sender = *find(host);
                FakeTarget* target = find(stop.target);
                CallEnd end = CallEnd::Completed;
                if (!target || isCut(sender, *target))
                    end = CallEnd::Lost;
                else if (!target->takeTerm(stop.shard, stop.term))
                    end = CallEnd::RefusedTerm;
                else
                    endTask(*target, stop.task, TaskEnd::Stopped);
                endCall(sender, generation, stop.call, end, "",
                    end == CallEnd::Lost ? Duration(seconds(2)) : Duration(milliseconds(1)));
            });
        });
}

void World::endTask(FakeTarget& target, const TaskId& task, TaskEnd end)
{
    if (target.running.erase(task.value) == 0)
        return;
    m_checks.taskEnded(target.id, task);
    m_time.trace(target.id.value + " ends " + task.value);
    target.finished[task] = { task, end, "" };
    m_time.after(finishedKept, [this, id = target.id, task] {
        if (FakeTarget* kept = find(id))
            kept->finished.erase(task);
    });
}

/** Ends tasks whose time or lease is over. */
void World::tickTargets()
{
    for (FakeTarget& target : m_targets) {
        if (!target.isWorker || target.running.empty())
            continue;
        std::vector<std::pair<TaskId, TaskEnd>> ended;
        for (const auto& [id, work] : target.running) {
            if (work.endsAt <= m_time.now())
                ended.emplace_back(TaskId(id), TaskEnd::Succeeded);
            else if (work.leaseUntil <= m_time.now())
                ended.emplace_back(TaskId(id), TaskEnd::Stopped);
        }
        for (const auto& [task, end] : ended)
            endTask(target, task, end);
    }
}

void World::follow(Process& process, const FollowTarget& followed)
{
    auto& entry = process.follows[followed.target];
    entry = { followed.shard, followed.term, ++m_epochs, m_time.now(), false };
    m_time.after(microseconds(500),
        [this, host = process.host, generation = process.generation, target = followed.target, epoch = entry.epoch] {
            pollTarget(host, generation, target, epoch);
        });
}

/** Asks a target for one report and schedules the next question. */
void World::pollTarget(const HostId& host, std::uint64_t generation, const TargetId& target, std::uint64_t epoch)
{
    Process& process = *find(host);
    const auto it = process.follows.find(target);
    if (process.generation != generation || it == process.follows.end() || it->second.epoch != epoch)
        return;
    m_time.after(pollEvery, [=, this] { pollTarget(host, generation, target, epoch); });
    if (process.isPaused)
        return;
    auto& entry = it->second;
    FakeTarget* found = find(target);
    if (!found || isCut(process, *found)) {
        if (m_time.now() - entry.answeredAt < reportTimeout || std::exchange(entry.isSilentTold, true))
            return;
        TargetReported silent;
        silent.target = target;
        silent.shard = entry.shard;
        silent.term = entry.term;
        silent.silent = true;
        deliver(process, generation, silent);
        return;
    }
    entry.answeredAt = m_time.now();
    entry.isSilentTold = false;
    const Time sentAt = localTime(process);
    m_time.after(m_time.between(microseconds(100), milliseconds(2)), [=, this, shard = entry.shard, term = entry.term] {
        FakeTarget* asked = find(target);
        if (!asked || !asked->isPresent)
            return;
        TargetReported report = asked->report(shard, term, m_time.now(), m_options.mutations);
        report.sentAt = sentAt;
        m_time.after(m_time.between(microseconds(100), milliseconds(2)),
            [this, host, generation, report] { deliver(*find(host), generation, report); });
    });
}

/** Notes that a process is told of a leaving target, for I6. */
void World::noteTold(Process& process, const Event& event)
{
    const auto* report = std::get_if<TargetReported>(&event);
    if (!report || report->silent)
        return;
    const FakeTarget* target = find(report->target);
    if (target && target->leavingSince)
        process.toldLeaving.try_emplace(report->target, m_time.now());
}

/** A target begins to leave: it says so in its reports at once, and the host list says so later. @param target Target.
 * @param listLag Lag of the host list. */
void World::leave(FakeTarget& target, Duration listLag)
{
    if (target.leavingSince || !target.isPresent)
        return;
    m_time.trace(target.id.value + " leaves");
    target.leavingSince = m_time.now();
    m_time.after(listLag, [this, id = target.id] {
        if (const FakeTarget* found = find(id); found && !m_options.mutations.hideLeaving)
            writeHostEntry(*found);
    });
}

/** A target dies with its work; its answers are lost. @param target Target. */
void World::crashTarget(FakeTarget& target)
{
    if (!target.isPresent)
        return;
    m_time.trace(target.id.value + " dies");
    target.isPresent = false;
    for (const auto& [id, work] : target.running) {
        if (target.isWorker)
            m_checks.taskEnded(target.id, TaskId(id));
        else
            m_checks.requestEnded(id);
        if (!target.isWorker)
            endCall(*find(work.caller), work.generation, work.call, CallEnd::Lost, "", seconds(1));
    }
    target.running.clear();
}

} // namespace sp::soak
