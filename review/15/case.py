"""Tasks of seven minutes are taken for runs that stand still: stopped after three seconds, again and again, until all
minions are shut out from new work."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, now, run_case  # noqa: E402

ROUTES = [{"name": "renders", "host": "jobs.example", "prefix": "/renders/", "service": "svc", "target_latency_ms": 1200,
           "priority": 2, "max_attempts": 2, "slack_factor": 2.2}]
JOBS = range(6)
TASKS = 8
LONGEST_WORK_S = 54.0  # `work_ms` `max` of the site's heavy class.
LONGER = 8  # `poison` with `how` `long`: the jobs take this many times as long.
WATCH_S = 40.0
IDLE_S = 3.0  # By the rule LOST.


def job_id(number):
    return f"{0x10419000:08x}{number:08x}"


async def scenario(cell):
    await cell.start(ROUTES)
    work_s = LONGEST_WORK_S * (LONGER if cell.trouble else 1)
    body = {"spec": "render", "steps": [{"task_count": TASKS, "cpu": 500, "mem_mb": 100,
                                         "estimate_ms": int(1000 * work_s)}]}
    for number in JOBS:
        if not await cell.submit("/renders/", job_id(number), body, {"work_s": work_s}):
            raise RuntimeError("a job was not accepted")
    cell.record("traffic_ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since, longest = {}, dict.fromkeys(JOBS, 0.0)
    ends = now() + WATCH_S
    while now() < ends:
        assert sum(500 for runs in cell.running.values() for _ in runs) < cell.cpu * len(cell.minions) / 2
        for number in JOBS:
            tasks = [f"{job_id(number)}.0.0.{index}" for index in range(TASKS)]
            done = all(any(how == "done" for _, how in cell.ends.get(task, [])) for task in tasks)
            if done or any(cell.running.get(task) for task in tasks):
                idle_since.pop(number, None)
            else:
                longest[number] = max(longest[number], now() - idle_since.setdefault(number, now()))
        await asyncio.sleep(0.05)
    states = [await cell.call("GET", "/renders/" + job_id(number)) for number in JOBS]
    stopped = sum(how == "stopped" for ends in cell.ends.values() for _, how in ends)
    most = max((run for _, _, run, *_ in cell.starts), default=0)
    print(f"{len(cell.starts)} starts of {len(JOBS) * TASKS} tasks, {stopped} runs stopped, highest run {most}; "
          f"longest time without a run {max(longest.values()):.1f} s; states {[a and a.get('state') for _, a in states]}")
    return [f"LOST: {job_id(number)} was accepted and has had nothing running for {idle:.1f} s, with all minions idle"
            for number, idle in longest.items() if idle >= IDLE_S]


run_case(Path(__file__).parent, scenario)
