"""A host that relays orders freezes; a target restarts meanwhile; the host wakes. See claim.txt."""
import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))
from platform2 import TROUBLE, World, now, play  # noqa: E402

TARGETS = 104  # More than 100, so that orders go through relays.
FREEZE_S = 4.0  # node_freeze, for_s = 4.0
DOWN_S = 1.0  # srv_crash, for_s = 4.5 at most
TASKS = 24


class Case(World):
    def __init__(self, case):
        super().__init__(case, hosts=3, targets=TARGETS)
        self.on = {}  # task -> {target: run} that run at present
        self.started = []  # (time, target, task, run)

    def run_begins(self, target, task, number, order):
        others = {name: run for name, run in self.on.get(task, {}).items()}
        if others:
            self.record.breaks("TWICE", f"{task} run {number} begins on {target.name} while {others} run on other targets "
                                        "that are up")
        self.on.setdefault(task, {})[target.name] = number
        self.started.append((now(), target, task, number))
        return 30.0, "done"

    def run_ended(self, target, task, run, how):
        super().run_ended(target, task, run, how)
        self.on.get(task, {}).pop(target.name, None)


async def script(world):
    await world.start([world.route("q", "/q/")])
    owner = await world.owner()
    world.record.say("owner", owner.name)
    relay = next(host for host in world.hosts if host is not owner)
    await asyncio.sleep(2)
    step = {"task_count": TASKS, "cpu": 12000, "mem_mb": 500, "estimate_ms": 30000}
    if TROUBLE:
        relay.send(signal.SIGSTOP)
    frozen = now()
    status, _ = await world.call(owner, "POST", "/q/" + "a" * 16, {"spec": "a", "steps": [step]})
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1.2)
    # The target that was started last got its order from the owner itself, after the relay had not answered.
    began = min(each[0] for each in world.started)
    last = max(world.started, key=lambda each: each[0])
    world.record.say("starts after the first:", [round(each[0] - began, 3) for each in world.started])
    victim = last[1]
    if TROUBLE:
        victim.crash()
        await asyncio.sleep(DOWN_S)
        victim.restart()
        await asyncio.sleep(max(0, FREEZE_S - (now() - frozen)))
        relay.send(signal.SIGCONT)
    await asyncio.sleep(6)


if __name__ == "__main__":
    sys.exit(play(Case, CASE, script))
