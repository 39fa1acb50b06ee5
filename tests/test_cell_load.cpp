#include "doctest_main.h"

#include "cell_world.h"

using namespace sp;
using namespace sp::test;

namespace {

/** Plays a load against the owner and notes what callers get. */
struct Load : CellWorld {
    std::map<std::string, Time> submitted;
    std::map<std::string, Duration> accepted; ///< Time from submission to the answer.
    std::map<std::string, Duration> completed; ///< Time from submission to the end.

    void hand(const std::string& id, const QueueId& queue, std::vector<StepSpec> steps)
    {
        submitted[id] = now;
        CellJobSpec spec;
        spec.id = JobId(id);
        spec.queue = queue;
        spec.service = ServiceId("s");
        spec.payload = "payload";
        spec.steps = std::move(steps);
        owner->submit(std::move(spec), now, [this, id](JobAnswer&& answer) {
            answers[JobId(id)] = answer.kind;
            accepted[id] = now - submitted[id];
        });
    }

    void play(Duration duration)
    {
        const Time end = now + duration;
        while (now < end) {
            run(20ms);
            for (const auto& [id, at] : submitted) {
                if (!completed.contains(id) && state(id) == "completed")
                    completed[id] = now - at;
            }
        }
    }

    /** Share of the jobs, by the beginning of their id, that completed within a time. */
    double shareWithin(const std::string& prefix, Duration limit) const
    {
        double all = 0;
        double within = 0;
        for (const auto& [id, at] : submitted) {
            if (!id.starts_with(prefix))
                continue;
            ++all;
            const auto it = completed.find(id);
            within += it != completed.end() && it->second <= limit ? 1 : 0;
        }
        return all > 0 ? within / all : 0;
    }
};

} // namespace

TEST_CASE_FIXTURE(Load, "while the store is slow, callers are answered after a few of its answers, not after a queue")
{
    addTargets(100, { 64000, 128000, 0 });
    takeOver();
    run(200ms);
    storeDelay = 130ms;
    StepSpec second = step(10);
    second.after = { 0 };
    for (int i = 0; i < 500; ++i) { // 100 jobs a second for five seconds.
        hand("j" + std::to_string(i), QueueId("q"), { step(10), second });
        if (i % 2 == 1)
            play(20ms);
    }
    play(3s);
    std::size_t prompt = 0;
    for (const auto& [id, time] : accepted)
        prompt += time <= 500ms ? 1 : 0;
    CHECK(prompt >= 490);
    // Each step takes some 130 ms for its record, 500 ms of work and a little until its end is seen.
    CHECK(shareWithin("j", 2500ms) >= 0.95);
    CHECK(violations == std::vector<std::string> {});
}
