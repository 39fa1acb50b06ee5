"""Jobs of a route that a configuration has dropped never go on once each host has been restarted in turn."""
import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, now, run_case  # noqa: E402

HINT = {"decision_ms": 19.0, "per_worker_ms": 0.28, "validity_ms": 2000}
ORDERS = {"name": "orders", "host": "jobs.example", "prefix": "/orders/", "service": "svc", "target_latency_ms": 250,
          "priority": 0, "max_attempts": 2, "slack_factor": 1.5, "hint": HINT}
REPORTS = {**ORDERS, "name": "reports", "prefix": "/reports/", "priority": 2, "target_latency_ms": 1200}
JOBS = range(6)
STEP_S = 24.0  # The first step lasts until all hosts have been restarted.
WATCH_S = 25.0
IDLE_S = 3.0  # By the rule LOST.


def job_id(number):
    return f"{0x0dec1de0:08x}{number:08x}"


def report():
    return {"spec": "report", "steps": [
        {"task_count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": int(1000 * STEP_S)},
        {"task_count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000, "after": [0]}]}


async def scenario(cell):
    await cell.start([dict(ORDERS), dict(REPORTS)])
    accepted = [number for number in JOBS
                if await cell.submit("/reports/", job_id(number), report(), {"work_s": STEP_S})]
    if len(accepted) < len(JOBS):
        raise RuntimeError("not all jobs were accepted")
    await asyncio.sleep(1.0)
    cell.write_config([dict(ORDERS)])  # The route is dropped; its jobs were accepted before.
    await asyncio.sleep(2 * BOUNDS["config_apply_ms"] / 1000)
    if cell.trouble:
        for host in cell.hosts:
            await host.restart(signal.SIGTERM)
            await asyncio.sleep(1.0)
    first_steps = [f"{job_id(number)}.0.0.{index}" for number in accepted for index in range(2)]

    async def first_steps_done():
        return all(any(how == "done" for _, how in cell.ends.get(task, [])) for task in first_steps)
    if not await cell.wait_for(first_steps_done, 45):
        raise RuntimeError("the first steps were not done")
    cell.record("first_steps_done")
    for number in accepted:
        cell.plans[job_id(number)] = {"work_s": 1.0}
    since = now()
    while now() - since < WATCH_S:
        await asyncio.sleep(0.2)
        if all(any(how == "done" for _, how in cell.ends.get(f"{job_id(number)}.0.1.{index}", []))
               for number in accepted for index in range(2)):
            break
    waited = now() - since
    begun = {task for _, task, *_ in cell.starts}
    lost = [number for number in accepted
            if not any(f"{job_id(number)}.0.1.{index}" in begun for index in range(2))]
    status, _ = await cell.call("GET", "/orders/")
    print(f"{len(lost)} of {len(accepted)} jobs have had nothing running for {waited:.1f} s; "
          f"{cell.ticket_refusals} starts were refused for want of a ticket; the other route answers {status}")
    if waited < IDLE_S:
        return []
    return [f"LOST: {job_id(number)} was accepted; for {waited:.1f} s nothing of it has run, the turn of its second step "
            "has come and all minions are idle" for number in lost]


run_case(Path(__file__).parent, scenario, tickets=True)
