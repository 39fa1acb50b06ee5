"""After one crash of a minion each of its tasks holds an idle minion for itself until it ends, and other jobs wait."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, now, run_case  # noqa: E402

ROUTES = [{"name": "plans", "host": "jobs.example", "prefix": "/plans/", "service": "svc", "target_latency_ms": 1200,
           "priority": 2, "max_attempts": 4, "slack_factor": 2.2}]
FIRST_JOB = "a000000000000001"
FIRST_TASKS, FIRST_CPU, FIRST_RUN_S = 40, 1000, 40.0  # Within `width`, `cpu` and `work_ms` of the class `saisonplan`.
RACK = "r1-0"  # Of the first four minions; the data of the first job is there.
CRASH_AFTER_S, DOWN_S = 0.5, 4.0
LATER_JOBS = range(4)
LATER_TASKS, LATER_CPU, LATER_RUN_S = 2, 8000, 2.0
WATCH_S = 10.0
IDLE_S = 3.0  # By the rule LOST.


def job_id(number):
    return f"{0x90000000:08x}{number:08x}"


def body(tasks, cpu, run_s, **more):
    return {"spec": "plan", "steps": [{"task_count": tasks, "cpu": cpu, "mem_mb": 100,
                                       "estimate_ms": int(1000 * run_s), **more}]}


async def scenario(cell):
    await cell.start(ROUTES)
    if not await cell.submit("/plans/", FIRST_JOB, body(FIRST_TASKS, FIRST_CPU, FIRST_RUN_S, affinity=RACK),
                             {"work_s": FIRST_RUN_S}):
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(CRASH_AFTER_S)
    if cell.trouble:
        cell.minions[1].crash(back_after=DOWN_S)
    await asyncio.sleep(DOWN_S + 2)
    for number in LATER_JOBS:
        if not await cell.submit("/plans/", job_id(number), body(LATER_TASKS, LATER_CPU, LATER_RUN_S),
                                 {"work_s": LATER_RUN_S}):
            raise RuntimeError("a job was not accepted")
    cell.record("traffic_ended")
    await asyncio.sleep(BOUNDS["finish_s"])

    def used(minion):
        return sum(cell.specs[task.split(".")[0]]["steps"][0]["cpu"] for task in minion.runs)

    idle_since, longest = {}, dict.fromkeys(LATER_JOBS, 0.0)
    begun = now()
    while now() < begun + WATCH_S:
        free = [cell.cpu - used(minion) for minion in cell.minions if minion.alive]
        fitting = sum(room // LATER_CPU for room in free)
        excused = fitting < 2 * LATER_TASKS or 2 * sum(free) <= cell.cpu * len(cell.minions)
        for number in LATER_JOBS:
            tasks = [f"{job_id(number)}.0.0.{index}" for index in range(LATER_TASKS)]
            done = all(any(how == "done" for _, how in cell.ends.get(task, [])) for task in tasks)
            if done or excused or any(cell.running.get(task) for task in tasks):
                idle_since.pop(number, None)
            else:
                longest[number] = max(longest[number], now() - idle_since.setdefault(number, now()))
        await asyncio.sleep(0.05)
    lost = [number for number, idle in longest.items() if idle >= IDLE_S]
    runs = [len(minion.runs) for minion in cell.minions]
    print(f"{len(lost)} of {len(LATER_JOBS)} later jobs had nothing running for {IDLE_S} s or more, "
          f"{BOUNDS['finish_s']} s after the end of the traffic, the longest {max(longest.values()):.1f} s; "
          f"runs on each minion {runs}, free cores {[room / 1000 for room in free]}")
    return [f"LOST: {job_id(number)} was accepted and has had nothing running for {longest[number]:.1f} s, with room for "
            "it twice over" for number in lost]


run_case(Path(__file__).parent, scenario)
