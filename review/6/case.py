"""Minions restart quickly under their ids while short tasks run. See claim.txt."""
import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))
from platform2 import TROUBLE, World, now, play  # noqa: E402

TARGETS = 8
DOWN_S = 0.1
EVERY_S = 1.0
TRAFFIC_S = 60.0
TASK_S = 0.2


class Case(World):
    def __init__(self, case):
        super().__init__(case, targets=TARGETS)
        self.noted = {}  # task -> the run whose end `done` has been reached by ack_cursor, in the same life of its target

    def run_begins(self, target, task, number, order):
        if task in self.noted and number > self.noted[task]:
            self.record.breaks("TWICE", f"{task} run {number} starts on {target.name}; run {self.noted[task]} had ended `done`, "
                                        "and ack_cursor had reached that end")
        return TASK_S, "done"

    def end_acknowledged(self, target, end):
        if end[3] == "done":
            self.record.say("target", target.name, "end", end[0], "of", end[1], "run", end[2], "is taken note of")
            self.noted.setdefault(end[1], end[2])


async def script(world):
    await world.start([world.route("q", "/q/")])
    rng = random.Random(1)
    step = {"task_count": 2, "cpu": 2000, "mem_mb": 500, "estimate_ms": 200}
    numbers = iter(range(1, 1000000))

    async def client():
        job = f"{next(numbers):016x}"
        for _ in range(5):
            status, _ = await world.call(rng.choice(world.hosts), "POST", "/q/" + job, {"spec": "s", "steps": [step]},
                                         quiet=True)
            if status == 200:
                return
            await asyncio.sleep(0.5)

    async def restarts():
        await asyncio.sleep(5)  # Each target has ended some runs by then.
        while now() - began < TRAFFIC_S - 2:
            target = rng.choice(world.targets)
            target.crash()
            await asyncio.sleep(DOWN_S)
            target.restart()
            await asyncio.sleep(EVERY_S * rng.uniform(0.5, 1.5))

    began = now()
    tasks = [asyncio.create_task(restarts())] if TROUBLE else []
    while now() - began < TRAFFIC_S:
        tasks.append(asyncio.create_task(client()))
        await asyncio.sleep(rng.expovariate(40))
    await asyncio.gather(*tasks)
    await asyncio.sleep(3)
    world.record.say("jobs", next(numbers) - 1)


if __name__ == "__main__":
    sys.exit(play(Case, CASE, script))
