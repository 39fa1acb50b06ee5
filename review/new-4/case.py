"""Jobs wait for a minion that has crashed for good; the owner is killed; the number of jobs that have not begun is asked."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from rig import TROUBLE, CannotRun, play  # noqa: E402

COUNT = 6
VISIBLE_S = 3.0


async def scenario(rig):
    await rig.start(entries=3, minions=[("b", 16000)] + [("a", 16000)] * 7, routes=[("q", False)])
    jobs = [f"00000000000000f{i}" for i in range(COUNT)]
    rig.log("i-w0, the only minion with the label b, crashes for good")
    rig.minions[0].crash(dark=False)
    await asyncio.gather(*(rig.submit("q", job, [{"task_count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500,
                                                  "requirements": "b"}]) for job in jobs))
    await asyncio.sleep(VISIBLE_S + 2.0 + 0.5)
    _, before = await rig.call(rig.entries[0], "GET", "q")
    if before is None or before["pending"] < COUNT:
        rig.log("fewer than all jobs are pending already now")
    if TROUBLE:
        rig.spawn((await rig.owner()).restart_killed(dark=3.5))
    await asyncio.sleep(4.0)
    wrong = 0
    for _ in range(10):
        await asyncio.sleep(0.4)
        for entry in rig.entries:
            if entry.process.returncode is not None:
                continue
            status, answer = await rig.call(entry, "GET", "q")
            wrong += status == 200 and 2 * answer["pending"] < COUNT
    if rig.started:
        raise CannotRun("a task has started")
    status, state = await rig.call(rig.entries[0], "GET", "q", jobs[0])
    if wrong:
        return (f"MIXED: {wrong} answers give as pending under half of the {COUNT} jobs that were accepted over "
                f"{VISIBLE_S + 2:.0f} s before and have not begun; no minion was able to start a task of them; "
                f"the state of one is answered as {status} {state}")
    return None


play(Path(__file__).parent, scenario)
