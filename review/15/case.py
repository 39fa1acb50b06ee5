"""After a take-over, jobs of which no task has started are no longer counted as pending."""
import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from cell import BOUNDS, run_case  # noqa: E402

ROUTES = [{"name": "orders", "host": "jobs.example", "prefix": "/orders/", "service": "svc", "target_latency_ms": 250,
           "priority": 0, "max_attempts": 2, "slack_factor": 1.5}]
JOBS = range(6)
KINDS = ("a",) * 7 + ("z",)  # The eighth minion is the only one of its kind.
DOWN_S = 3.5


def job_id(number):
    return f"{0xbe9d1490:08x}{number:08x}"


async def scenario(cell):
    await cell.start(ROUTES)
    cell.minions[7].crash()  # Lost for good; its entry stays for three heartbeats. Also with TROUBLE=0.
    body = {"spec": "order", "steps": [{"task_count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 300,
                                        "requirements": "z"}]}
    if not all(await asyncio.gather(*(cell.submit("/orders/", job_id(number), body, {"work_s": 0.3})
                                      for number in JOBS))):
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(BOUNDS["visible_ms"] / 1000 + 2.5)
    before = [await cell.call("GET", "/orders/", host=host) for host in cell.hosts]
    if any(status != 200 or answer["pending"] < len(JOBS) / 2 for status, answer in before):
        return [f"MIXED: {len(JOBS)} jobs were accepted and none has begun; before the kill the answers are {before}"]
    if cell.trouble:
        owners = [host for host in cell.hosts if await cell.owns(host)]
        if len(owners) != 1:
            raise RuntimeError("there is not one owner")
        await owners[0].restart(signal.SIGKILL, pause=DOWN_S)
    await asyncio.sleep(2 * BOUNDS["contact_ms"] / 1000)
    after = [await cell.call("GET", "/orders/", host=host) for host in cell.hosts]
    _, state = await cell.call("GET", "/orders/" + job_id(0))
    print(f"pending before {[answer for _, answer in before]}, after {[answer for _, answer in after]}; "
          f"{len(cell.starts)} starts; the first job is {state}")
    if cell.starts:
        raise RuntimeError("a task has started")
    return [f"MIXED: {len(JOBS)} jobs were accepted and none has begun, {host.name} answers {answer}"
            for host, (status, answer) in zip(cell.hosts, after)
            if status == 200 and answer["pending"] < len(JOBS) / 2]


run_case(Path(__file__).parent, scenario, kinds=KINDS)
