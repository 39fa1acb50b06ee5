"""A minion crashes and a new life of its machine serves at the same address 0.4 s later."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from rig import TROUBLE, CannotRun, Minion, play  # noqa: E402

JOB = "00000000000000a1"
DOWN_S, FINISH_S = 0.4, 14.0


async def scenario(rig):
    await rig.start(entries=3, minions=[("a", 16000)] * 4, routes=[("q", True)])
    task = f"{JOB}.0.0.0"
    await rig.submit("q", JOB, [{"task_count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 3000}])
    await asyncio.sleep(0.3)
    old = next((minion for minion in rig.minions if task in minion.runs), None)
    if not old:
        raise CannotRun("the task has not started")
    if TROUBLE:
        old.crash(dark=True)
        await asyncio.sleep(DOWN_S)
        new = Minion(rig, old.name + "-2", old.machine, old.hardware)
        rig.minions.append(new)
        await new.start()
    began = rig.log.at()
    while rig.log.at() - began < 6.0 + FINISH_S + 10.0:
        await asyncio.sleep(0.1)
        if task in rig.done:
            return None
    if any(task in minion.runs for minion in rig.minions):
        return None
    status, answer = await rig.call(rig.entries[0], "GET", "q", JOB)
    return (f"LOST: {JOB} was accepted and has had nothing running for {rig.log.at() - began:.0f} s, since its minion "
            f"crashed; {rig.used_share():.0%} of the service is in use; its state is answered as {status} {answer}; "
            f"minions have answered {rig.wrong_life} calls for the ended life with 421")


play(Path(__file__).parent, scenario)
