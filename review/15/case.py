"""Jobs that could run on idle minions don't start for as long as one urgent job of another tenant waits for its rack."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, now, run_case  # noqa: E402

HINT = {"decision_ms": 32.5, "per_worker_ms": 0.455, "validity_ms": 2500}
CHECKS = {"name": "checks", "host": "jobs.example", "prefix": "/checks/", "service": "svc", "target_latency_ms": 250,
          "priority": 0, "max_attempts": 2, "slack_factor": 1.5, "public": False, "hint": HINT}
CLOSES = {**CHECKS, "name": "closes", "prefix": "/closes/", "priority": 2, "target_latency_ms": 1200,
          "slack_factor": 2.2}
TENANTS = [{"name": name, "api_keys": ["key-" + name], "weight": 4, "maximum": {"cpu": 0, "mem_mb": 0, "gpus": 0}}
           for name in ("first", "second")]
MINIONS = 5
RACK = "r1-1"  # Of the fifth minion; the others are in r1-0.
CHECK_JOB = "c8ec000000000001"
CHECK_TASKS, CHECK_CPU, CHECK_RUN_S = 57, 6700, 2.0  # Each the largest of the class `recibo-check`.
CLOSE_JOBS = range(3)
CLOSE_TASKS, CLOSE_CPU, CLOSE_RUN_S = 4, 2000, 4.0
WATCH_S = 6.0
IDLE_S = 3.0  # By the rule LOST.


def job_id(number):
    return f"{0xc105e000:08x}{number:08x}"


def body(tasks, cpu, run_s, **more):
    return {"spec": "work", "steps": [{"task_count": tasks, "cpu": cpu, "mem_mb": 100,
                                       "estimate_ms": int(1000 * run_s), **more}]}


async def scenario(cell):
    await cell.start([dict(CHECKS), dict(CLOSES)], TENANTS)
    wanted = {"requirements": RACK} if cell.trouble else {}
    if not await cell.submit("/checks/", CHECK_JOB, body(CHECK_TASKS, CHECK_CPU, CHECK_RUN_S, **wanted),
                             {"work_s": CHECK_RUN_S}, key="key-first"):
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(1.0)
    accepted = [number for number in CLOSE_JOBS
                if await cell.submit("/closes/", job_id(number), body(CLOSE_TASKS, CLOSE_CPU, CLOSE_RUN_S),
                                     {"work_s": CLOSE_RUN_S}, key="key-second")]
    if not accepted:
        raise RuntimeError("no job of the second tenant was accepted")
    cell.record("traffic_ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since, longest, most_used = {}, dict.fromkeys(accepted, 0.0), 0
    begun = now()
    while now() < begun + WATCH_S:
        free = [cell.cpu - sum(cell.specs[task.split(".")[0]]["steps"][0]["cpu"] for task in minion.runs)
                for minion in cell.minions]
        used = cell.cpu * MINIONS - sum(free)
        most_used = max(most_used, used)
        excused = 2 * used >= cell.cpu * MINIONS or sum(room // CLOSE_CPU for room in free) < 2 * CLOSE_TASKS
        for number in accepted:
            tasks = [f"{job_id(number)}.0.0.{index}" for index in range(CLOSE_TASKS)]
            done = all(any(how == "done" for _, how in cell.ends.get(task, [])) for task in tasks)
            if done or excused or any(cell.running.get(task) for task in tasks):
                idle_since.pop(number, None)
            else:
                longest[number] = max(longest[number], now() - idle_since.setdefault(number, now()))
        await asyncio.sleep(0.05)
    lost = [number for number, idle in longest.items() if idle >= IDLE_S]
    print(f"{len(lost)} of {len(accepted)} jobs of the second tenant had nothing running for {IDLE_S} s or more, "
          f"{BOUNDS['finish_s']} s after the end of the traffic, the longest {max(longest.values()):.1f} s; "
          f"at most {most_used / 1000:.0f} of {cell.cpu * MINIONS // 1000} cores in use")
    return [f"LOST: {job_id(number)} was accepted and has had nothing running for {longest[number]:.1f} s; the four "
            "minions of the other rack are idle" for number in lost]


run_case(Path(__file__).parent, scenario, minions=MINIONS, tickets=True)
