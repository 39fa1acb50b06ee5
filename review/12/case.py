"""One job whose tasks fail shuts all minions out, and the sound jobs of the cell wait beside idle minions."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, now, run_case  # noqa: E402

# The two classes of the site, with their `priority` and their `attempts`.
CHECKS = {"name": "checks", "host": "jobs.example", "prefix": "/checks/", "service": "svc", "target_latency_ms": 250,
          "priority": 0, "max_attempts": 4, "slack_factor": 1.5}
PLANS = {**CHECKS, "name": "plans", "prefix": "/plans/", "target_latency_ms": 1200, "priority": 2, "slack_factor": 2.2}
# One check of 24 can't be done: each run of its tasks ends `failed`.
SOUND_CHECKS = range(23)
SOUND_PLANS = range(8)
CHECKS_EACH_S, PAUSE_S, PLANS_EACH_S = 0.04, 0.6, 0.1  # All within 3 s.
BAD_JOB = "bad0000000000001"
BAD_TASKS, BAD_CPU, BAD_RUN_S = 36, 4000, 0.4  # The class has a `width` of up to 36 and a `cpu` of up to 7,600.
CHECK_TASKS, CHECK_CPU, CHECK_RUN_S = 2, 1000, 0.4
PLAN_TASKS, PLAN_CPU, PLAN_RUN_S = 4, 2000, 2.0
WATCH_S = 20.0
IDLE_S = 3.0  # By the rule LOST.


def job_id(number):
    return f"{0x90000000:08x}{number:08x}"


def body(tasks, cpu, run_s):
    return {"spec": "work", "steps": [{"task_count": tasks, "cpu": cpu, "mem_mb": 100,
                                       "estimate_ms": int(1000 * run_s)}]}


async def scenario(cell):
    await cell.start([CHECKS, PLANS])
    bad = {"ends": "failed"} if cell.trouble else {}
    jobs = [("/checks/", f"{0xc4ec0000:08x}{number:08x}", (CHECK_TASKS, CHECK_CPU, CHECK_RUN_S), {})
            for number in SOUND_CHECKS]
    jobs.append(("/checks/", BAD_JOB, (BAD_TASKS, BAD_CPU, BAD_RUN_S), bad))
    jobs += [("/plans/", job_id(number), (PLAN_TASKS, PLAN_CPU, PLAN_RUN_S), {}) for number in SOUND_PLANS]
    for prefix, job, work, how in jobs:
        if not await cell.submit(prefix, job, body(*work), {"work_s": work[2], **how}):
            raise RuntimeError("a job was not accepted")
        await asyncio.sleep(CHECKS_EACH_S if prefix == "/checks/" else PLANS_EACH_S)
        if job == jobs[len(SOUND_CHECKS) - 1][1]:
            await asyncio.sleep(PAUSE_S)
    cell.record("traffic_ended")
    await asyncio.sleep(BOUNDS["finish_s"])
    idle_since, longest = {}, dict.fromkeys(SOUND_PLANS, 0.0)
    begun, most_used = now(), 0
    while now() < begun + WATCH_S:
        used = sum(cell.specs[task.split(".")[0]]["steps"][0]["cpu"] for task, runs in cell.running.items()
                   for _ in runs)
        most_used = max(most_used, used)
        for number in SOUND_PLANS:
            tasks = [f"{job_id(number)}.0.0.{index}" for index in range(PLAN_TASKS)]
            done = all(any(how == "done" for _, how in cell.ends.get(task, [])) for task in tasks)
            if done or any(cell.running.get(task) for task in tasks) or 2 * used >= cell.cpu * len(cell.minions):
                idle_since.pop(number, None)
            else:
                longest[number] = max(longest[number], now() - idle_since.setdefault(number, now()))
        await asyncio.sleep(0.05)
    _, bad_state = await cell.call("GET", "/checks/" + BAD_JOB)
    lost = [number for number, idle in longest.items() if idle >= IDLE_S]
    print(f"{len(lost)} of {len(SOUND_PLANS)} sound plans had nothing running for {IDLE_S} s or more, {BOUNDS['finish_s']} s "
          f"after the end of the traffic; the longest {max(longest.values()):.1f} s; at most {most_used / 1000:.0f} of "
          f"{cell.cpu * len(cell.minions) // 1000} cores in use; the bad job is {bad_state and bad_state.get('state')}")
    return [f"LOST: {job_id(number)} was accepted and has had nothing running for {longest[number]:.1f} s, with the cores "
            "of all minions free" for number in lost]


run_case(Path(__file__).parent, scenario)
