"""A route is removed while a job that it accepted is unfinished, and the entry hosts are restarted in turn."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from rig import TROUBLE, play  # noqa: E402

JOB = "00000000000000c1"
FINISH_S = 14.0


async def scenario(rig):
    await rig.start(entries=3, minions=[("a", 16000)] * 6, routes=[("kept", True), ("leaving", True)])
    # The second step's turn comes when all entry hosts have been restarted.
    await rig.submit("leaving", JOB, [{"task_count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 16000},
                                      {"task_count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500, "after": [0]}])
    await asyncio.sleep(1.5)
    if rig.started.get(f"{JOB}.0.0.0") != 1:
        raise RuntimeError("the first step did not start")
    if TROUBLE:
        await rig.configure([("kept", True)])
    await asyncio.sleep(2.0)

    async def restart_later(entry, delay):
        await asyncio.sleep(delay)
        await entry.restart_gently()

    await asyncio.gather(*(restart_later(entry, 2.0 * i) for i, entry in enumerate(rig.entries)))
    while not all(f"{JOB}.0.0.{i}" in rig.done for i in range(2)):
        await asyncio.sleep(0.1)
    turn = rig.log.at()
    rig.log("the turn of the second step has come")
    while rig.log.at() - turn < FINISH_S + 3.0:
        await asyncio.sleep(0.1)
        if all(f"{JOB}.0.1.{i}" in rig.done for i in range(2)):
            rig.log("the job's last task is done", f"{rig.log.at() - turn:.2f} s after its turn had come")
            return None
    if any(rig.started.get(f"{JOB}.0.1.{i}") for i in range(2)):
        return None
    await rig.submit("kept", "00000000000000c2", [{"task_count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500}])
    await asyncio.sleep(2.0)
    served = all(f"00000000000000c2.0.0.{i}" in rig.done for i in range(2))
    return (f"LOST: {JOB} was accepted and has had nothing running for {rig.log.at() - turn:.1f} s since the turn of its "
            f"second step came; {rig.used_share():.0%} of the service is in use; a job handed in later on another "
            f"route {'is done' if served else 'is not done'}")


play(Path(__file__).parent, scenario)
