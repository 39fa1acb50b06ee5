"""A job with times whose occurrences overlap: a slow minion holds one of them up while a later one ends first."""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from cell import TROUBLE, route, run_case, twice  # noqa: E402

JOBS, OCCURRENCES, INTERVAL_MS, WORK_MS = 6, 6, 1500, 700


async def play(cell):
    cell.configure([route()])
    await cell.ready()
    await asyncio.sleep(2)
    if TROUBLE:
        cell.minions[2].speed = 1 / 6.5
        cell.record("minion mn2 turns slow: its work takes 6.5 times as long")
    start_at = int(time.time() * 1000) + 1500
    for number in range(JOBS):
        await cell.submit("/kits/", f"{0xa0 + number:016x}", {
            "spec": "print run", "run_count": OCCURRENCES, "start_at_ms": start_at, "interval_ms": INTERVAL_MS,
            "steps": [{"task_count": 4, "cpu": 1000, "mem_mb": 500, "estimate_ms": WORK_MS}]}, [WORK_MS])
    await asyncio.sleep(1.5 + OCCURRENCES * INTERVAL_MS / 1000 + 12)
    for job in cell.world.jobs:
        await cell.call("GET", "/kits/" + job)
    return twice(cell.world)


run_case(play, Path(__file__).parent)
