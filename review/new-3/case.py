"""A serving task's job is cancelled while a filling task beside it is held at pace 0. WAY=kill: the owner is killed instead."""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from rig import TROUBLE, CannotRun, play  # noqa: E402

SERVES, FILLS = "00000000000000e1", "00000000000000e2"
FINISH_S = 14.0
TARGET_MS = 100


async def scenario(rig):
    await rig.start(entries=3, minions=[("b", 16000)] + [("a", 16000)] * 3, routes=[("q", False)])
    minion, load = rig.minions[0], {"ms": 30}
    # The tail of the serving task: its own load, and a quarter of a millisecond for each percent of the filling task.
    minion.tail = lambda _run: load["ms"] + sum(run["pace"] / 4 for run in minion.runs.values() if run["step"].get("fills"))
    await rig.submit("q", SERVES, [{"task_count": 1, "cpu": 2000, "mem_mb": 500, "estimate_ms": 300, "image": "i1",
                                    "long_running": True, "target_ms": TARGET_MS, "requirements": "b"}])
    await rig.submit("q", FILLS, [{"task_count": 1, "cpu": 4000, "mem_mb": 500, "estimate_ms": 6000, "image": "i2",
                                   "fills": True, "requirements": "b"}])
    for number in range(3):  # Other clients' jobs, on other minions.
        await rig.submit("q", f"00000000000000e{number + 3}", [{"task_count": 1, "cpu": 1000, "mem_mb": 500,
                                                               "estimate_ms": 500, "requirements": "a"}])
    task = f"{FILLS}.0.0.0"
    await asyncio.sleep(2.0)
    if task not in minion.runs:
        raise CannotRun("the filling task does not run beside the serving one")
    rig.log("the serving task's load rises")
    load["ms"] = 120
    for _ in range(300):
        await asyncio.sleep(0.01)
        if minion.runs[task]["pace"] == 0:
            break
    else:
        raise CannotRun("the filling task is not slowed down")
    await asyncio.sleep(0.3)
    if TROUBLE and os.environ.get("WAY") == "kill":
        rig.spawn((await rig.owner()).restart_killed(dark=3.0))
    elif TROUBLE and (await rig.call(rig.entries[0], "DELETE", "q", SERVES))[0] != 200:
        raise CannotRun("the serving task's job is not cancelled")
    rig.log("the serving task's load falls")
    load["ms"] = 30
    await asyncio.sleep(3.0)
    began, last, since = rig.log.at(), None, rig.log.at()
    while rig.log.at() - began < 2 * FINISH_S and task not in rig.done:
        await asyncio.sleep(0.1)
        run = minion.runs.get(task)
        worked = run["worked"] if run else None
        if worked != last:
            last, since = worked, rig.log.at()
        if rig.log.at() - since > FINISH_S + 3.0:
            status, answer = await rig.call(rig.entries[-1], "GET", "q", FILLS)
            return (f"LOST: {FILLS} was accepted; its only task has been at pace 0 and has not worked for "
                    f"{rig.log.at() - since:.1f} s, its work stands at {last:.2f} of 6 s; beside it {len(minion.runs) - 1} "
                    f"tasks run, {rig.used_share():.0%} of the service is in use; its state is answered as {status} "
                    f"{answer}")
    if task not in rig.done:
        return f"LOST: {FILLS} is not done"
    return None


play(Path(__file__).parent, scenario)
