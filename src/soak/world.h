/** @file world.h Schedulers, store, links and targets of a run, in one process and in soak time. */
#pragma once

#include "soak/checks.h"
#include "soak/fake_store.h"
#include "soak/fake_target.h"
#include "soak/node.h"
#include "soak/timeline.h"

#include <deque>
#include <memory>
#include <set>

namespace sp::soak {

/** One scheduler process, or the place for its next run. */
struct Process {
    HostId host;
    DataCentreId dataCentre;
    std::unique_ptr<Node> node; ///< Null while crashed.
    Incarnation incarnation;
    std::uint64_t generation = 0; ///< Grows with each start and each crash.
    bool isPaused = false;
    bool isDraining = false;
    bool isReady = false;
    Duration clockOffset {};
    double clockRate = 1; ///< Clock speed against soak time.
    std::deque<Event> inbox; ///< Arrived while paused.
    std::deque<std::function<void()>> outbox; ///< To be sent when the pause ends.
    struct Watch {
        Revision next;
        bool isSilent = false;
    };
    std::map<std::string, Watch> watches;
    struct Follow {
        ShardId shard;
        Term term;
        std::uint64_t epoch = 0;
        Time answeredAt;
        bool isSilentTold = false;
    };
    std::map<TargetId, Follow> follows;
    std::set<CallId> calls; ///< Prompt requests at targets.
    std::map<TargetId, Time> toldLeaving; ///< When it was told that a target leaves.
};

/** Faults in force. */
struct Faults {
    bool storeDown = false;
    bool storeSlow = false;
    double storeAnswerLoss = 0; ///< Share of answers lost after the write took effect.
    double storeLateWrite = 0; ///< Share of writes that take effect after their caller gave up.
    double messageLoss = 0;
    double messageDelay = 0; ///< Share of messages delayed by up to 3 s, so that they are reordered.
    double connectionSilent = 0; ///< Share of calls to targets that run but get no answer.
    std::set<HostId> cutFromStore;
    std::set<std::pair<HostId, HostId>> cutLinks; ///< One direction each.
    std::set<std::pair<HostId, TargetId>> cutTargets;
};

/** A run. */
class World {
public:
    explicit World(const SoakOptions& options);
    void step();
    Timeline& timeline() { return m_time; }
    Checks& checks() { return m_checks; }
    FakeStore& store() { return m_store; }
    Faults& faults() { return m_faults; }
    std::vector<Process>& processes() { return m_processes; }
    std::vector<FakeTarget>& targets() { return m_targets; }
    const SoakOptions& options() const { return m_options; }

    void startProcess(Process& process);
    void crash(Process& process);
    void pause(Process& process, Duration length);
    void requestDrain(Process& process);
    void deliver(Process& process, std::uint64_t generation, Event event);
    void deliver(Process& process, Event event) { deliver(process, process.generation, std::move(event)); }
    Time localTime(const Process& process) const;
    void leave(FakeTarget& target, Duration listLag);
    void crashTarget(FakeTarget& target);
    void addTargetLike(const FakeTarget& old, int number);
    void writeHostEntry(const FakeTarget& target);
    std::vector<std::string> unownedShards() const;
    std::vector<Duration>& takeovers() { return m_takeovers; }
    void noteFault() { m_lastFault = m_time.now(); }
    bool isCalmSince(Time since) const;

private:
    Process* find(const HostId& host);
    FakeTarget* find(const TargetId& target);
    void whenRunning(Process& process, std::uint64_t generation, std::function<void()> action);
    void handle(Process& process, const Event& event);
    void perform(Process& process, Action&& action);
    void performPeer(Process& process, Action&& action);
    template <typename Make> void sendToPeer(Process& from, const HostId& to, Make make);
    void noteTold(Process& process, const Event& event);

    void callStore(Process& process, const CallStore& call);
    void sendToStore(Process& process, std::uint64_t generation, const CallStore& call);
    void replyFromStore(
        Process& process, std::uint64_t generation, const CallStore& call, StoreReply reply, Duration delay);
    void pumpWatches();

    void runPrompt(Process& process, const RunPrompt& run);
    void arrivePrompt(Process& process, std::uint64_t generation, const RunPrompt& run, bool isAnswerLost);
    void startTask(Process& process, const StartTask& start);
    void arriveTask(Process& process, std::uint64_t generation, const StartTask& start, bool isAnswerLost);
    void stopTask(Process& process, const StopTask& stop);
    void endCall(
        Process& process, std::uint64_t generation, CallId call, CallEnd end, const std::string& body, Duration delay);
    bool isCut(const Process& process, const FakeTarget& target) const;
    void follow(Process& process, const FollowTarget& follow);
    void pollTarget(const HostId& host, std::uint64_t generation, const TargetId& target, std::uint64_t epoch);
    void tickTargets();
    void endTask(FakeTarget& target, const TaskId& task, TaskEnd end);

    void answer(Process& process, const SendAnswer& sent);
    void checkHolds();
    Duration linkDelay(const Process& from, const Process& to);

    SoakOptions m_options;
    Timeline m_time;
    Checks m_checks;
    FakeStore m_store;
    Faults m_faults;
    std::vector<Process> m_processes;
    std::vector<FakeTarget> m_targets;
    std::map<DataCentreId, std::vector<ShardId>> m_shards;
    std::map<ShardId, Time> m_unownedSince;
    std::vector<Duration> m_takeovers; ///< From the loss of an owner in calm conditions to the next at level store.
    Time m_lastFault {}; ///< Begin or end of the last fault that is not a crash or a drain.
    std::uint64_t m_epochs = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_step = 0;
};

} // namespace sp::soak
