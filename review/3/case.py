"""A minion is down when a task is placed on it; later another minion crashes under that task. Both are back soon."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from cell import TROUBLE, CannotRun, route, run_case  # noqa: E402

JOB, TASKS, WORK_MS, DOWN_S = f"{0xf0:016x}", 8, 6000, 3.0


async def crash(cell, minion):
    """The minion is down for a while; then a new one runs on its machine."""
    minion.crash()
    await asyncio.sleep(DOWN_S)
    later = cell.minion(minion.ident + "b", len(cell.minions), cpu=minion.cpu, mem=minion.mem)
    later.machine = minion.machine
    cell.minions.append(later)
    cell.record(f"minion {later.ident} runs on {later.machine}")
    await cell.add_minion(later)


async def play(cell):
    world, record = cell.world, cell.record
    cell.configure([route()])
    await cell.ready()
    await asyncio.sleep(2)
    first, crashes = cell.minions[3], []
    if TROUBLE:
        crashes.append(asyncio.create_task(crash(cell, first)))
    await asyncio.sleep(1)
    await cell.submit("/kits/", JOB, {"spec": "proofs", "steps": [
        {"task_count": TASKS, "cpu": 2700, "mem_mb": 1000, "estimate_ms": WORK_MS}]}, [WORK_MS])
    if TROUBLE:
        await asyncio.sleep(1)
        started = {start[1] for start in world.starts}
        waiting = sorted({f"{JOB}.0.0.{index}" for index in range(TASKS)} - started)
        record(f"not begun so far: {waiting}")
        if not waiting:
            raise CannotRun("no task was placed on the minion that was down")
        while not (again := [start for start in world.starts if start[1] in waiting]):
            if record.now() > 30:
                raise CannotRun("the task is not placed again")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)
        crashes.append(asyncio.create_task(
            crash(cell, next(minion for minion in cell.minions if minion.ident == again[0][3]))))
    state = None
    while record.now() < 45 and state not in ("completed", "failed"):
        await asyncio.sleep(1)
        _, answer = await cell.call("GET", "/kits/" + JOB)
        state = answer and answer["state"]
    await asyncio.gather(*crashes)
    under = {}
    for _, minion, tasks in world.crashes:
        for task in tasks:
            under.setdefault(task, []).append(minion)
    failed = [end for end in world.ends if end["how"] == "failed"]
    record(f"minions that crashed under a task: {under}; ends `failed`: {len(failed)}")
    if state == "failed" and not failed and all(len(minions) < 2 for minions in under.values()):
        return [f"LOST: job {JOB} was accepted and is shown as failed; none of its runs ended `failed`, and under no task "
                f"did two minions crash ({under})"]
    return []


run_case(play, Path(__file__).parent, minions=8)
