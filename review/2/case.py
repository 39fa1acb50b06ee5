"""A job with times whose occurrences last about as long as their interval, since one minion has turned slow."""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from cell import TROUBLE, route, run_case  # noqa: E402

JOBS, OCCURRENCES, INTERVAL_MS, WORK_MS, MORE_MS, TASKS, SLOWER = 10, 20, 1000, 700, 4, 8, 1.35


async def play(cell):
    cell.configure([route()])
    await cell.ready()
    await asyncio.sleep(2)
    if TROUBLE:
        cell.minions[2].speed = 1 / SLOWER
        cell.record(f"minion mn2 turns slow: its work takes {SLOWER} times as long")
    start_at = int(time.time() * 1000) + 1500
    for number in range(JOBS):
        work = WORK_MS + MORE_MS * number  # The jobs differ a little in length.
        await cell.submit("/kits/", f"{0xa0 + number:016x}", {
            "spec": "print run", "run_count": OCCURRENCES, "start_at_ms": start_at + 37 * number,
            "interval_ms": INTERVAL_MS,
            "steps": [{"task_count": TASKS, "cpu": 1100, "mem_mb": 500, "estimate_ms": work}]}, [work])
    await asyncio.sleep(1.5 + OCCURRENCES * INTERVAL_MS / 1000 + 4)
    broken = []
    for job in cell.world.jobs:
        _, answer = await cell.call("GET", "/kits/" + job)
        begun = {start[1] for start in cell.world.starts}
        done = {end["task"] for end in cell.world.ends if end["how"] == "done"}
        tasks = [f"{job}.{k}.0.{index}" for k in range(OCCURRENCES) for index in range(TASKS)]
        missing = [task for task in tasks if task not in done]
        if answer and answer["state"] == "completed" and missing:
            never = sorted({int(task.split(".")[1]) for task in missing if task not in begun})
            broken.append(f"MIXED: job {job} is shown as completed; {len(missing)} of its {len(tasks)} tasks have not ended "
                          f"`done`: occurrences {never} never began")
    return broken


run_case(play, Path(__file__).parent, sizes=(1.0,))
