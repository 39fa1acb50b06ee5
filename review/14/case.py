"""One small job whose times lie in the past keeps the cell from storing, and so from starting, anything else.

A client gives `start_at_ms` in seconds by mistake, so that all occurrences of its job are due at once.
"""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, now, run_case  # noqa: E402

ROUTES = [{"name": "orders", "host": "jobs.example", "prefix": "/orders/", "service": "svc", "target_latency_ms": 250,
           "priority": 0, "max_attempts": 2, "slack_factor": 1.5}]
RUNS = 100000  # Once a minute for ten weeks.
INTERVAL_MS = 60000
EARLY_JOBS = range(0, 8)  # Accepted before the timed job is sent.
LATER_JOBS = range(8, 28)  # Sent after it.
IDLE_S = 3.0  # By the rule LOST.


def job_id(number):
    return f"{0x0c0ffee0:08x}{number:08x}"


def order():
    return {"spec": "order", "steps": [
        {"task_count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 2500},
        {"task_count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 2500, "after": [0]}]}


def tasks_of(number):
    return [f"{job_id(number)}.0.{step}.{index}" for step in range(2) for index in range(2)]


async def scenario(cell):
    await cell.start(ROUTES)
    accepted = set()

    async def hand_in(number):
        if await cell.submit("/orders/", job_id(number), order(), {"work_s": 2.5}):
            accepted.add(number)

    await asyncio.gather(*(hand_in(number) for number in EARLY_JOBS))
    early = len(accepted)
    timed = {"spec": "reminder", "steps": [{"task_count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 300}],
             "run_count": RUNS, "interval_ms": INTERVAL_MS,
             "start_at_ms": int(time.time()) if cell.trouble else int(time.time() * 1000) + 1000}
    cell.record("timed_job", job=job_id(1000), body=timed)
    traffic = [asyncio.create_task(cell.submit("/orders/", job_id(1000), timed, {"work_s": 0.3}))]
    for number in LATER_JOBS:
        traffic.append(asyncio.create_task(hand_in(number)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*traffic)
    cell.record("traffic_ended", accepted_early=early, accepted_later=len(accepted) - early,
                memory_mb=[host.memory_mb() for host in cell.hosts], ended=[host.ended for host in cell.hosts])
    await asyncio.sleep(BOUNDS["finish_s"])
    states = {number: await cell.call("GET", "/orders/" + job_id(number)) for number in sorted(accepted)}

    idle_since = {}  # number -> time since which the job has had nothing running
    idle_for = dict.fromkeys(accepted, 0.0)
    ends = now() + IDLE_S + 1
    while now() < ends:
        in_use = sum(500 for runs in cell.running.values() for _ in runs)
        assert in_use < cell.cpu * len(cell.minions) / 2  # The room is there, twice over.
        for number in accepted:
            tasks = tasks_of(number)
            done = all(any(how == "done" for _, how in cell.ends.get(task, [])) for task in tasks)
            if done or any(cell.running.get(task) for task in tasks):
                idle_since.pop(number, None)
            idle_for[number] = now() - idle_since.setdefault(number, now()) if not done else 0.0
        await asyncio.sleep(0.05)
    lost = sorted(number for number, idle in idle_for.items() if idle >= IDLE_S)
    print(f"accepted {early} jobs before the timed job and {len(accepted) - early} of {len(LATER_JOBS)} after it; "
          f"{len(lost)} of them have work left and nothing running; memory (now, peak) in MB "
          f"{[host.memory_mb() for host in cell.hosts]}, ended {[host.ended for host in cell.hosts]}")
    return [f"LOST: {job_id(number)} was accepted, has had nothing running for {idle_for[number]:.1f} s while a task's "
            f"turn has come, and is answered {states[number]}" for number in lost]


run_case(Path(__file__).parent, scenario)
