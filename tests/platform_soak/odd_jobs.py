"""Odd jobs for the soak: jobs that fail, stall, crash targets or have times long past, beside ordinary ones.

Whatever an odd job does, an ordinary job may not have nothing running for IDLE_S while the cell has room for it twice over
and under half of its cores are in use (LOST). As in the rules of the platform, the span and the CALM_S before it have to be
free of crashes: of hosts, and of targets, whose tasks may start again only after their lease. Ordinary jobs must be accepted
and completed; odd ones need not.
"""
import asyncio
import random
import signal
import time

from standins import now

KINDS = ("fails", "stalls", "crashes", "overdue", "rack", "wide")
IDLE_S = 3.0
CALM_S = 4.0
ORDINARY_TASKS, ORDINARY_CPU = 2, 500


def odd_job(kind, rng):
    """The body of an odd job; what its runs do is up to the targets, by its kind."""
    step = {"task_count": rng.choice([1, 8, 40]), "cpu": rng.choice([500, 2000, 8000]), "mem_mb": 100,
            "estimate_ms": rng.choice([300, 2000, 10000])}
    if kind == "overdue":
        step.update(task_count=rng.choice([1, 4, 48]), cpu=500, estimate_ms=300)
        return {"steps": [step], "run_count": 100000, "interval_ms": rng.choice([0, 1000, 60000]),
                "start_at_ms": int(time.time())}
    if kind == "rack":
        step.update(task_count=60, cpu=6000, estimate_ms=2000, requirements="r-3")
    if kind == "wide":
        step.update(task_count=10000, cpu=100, estimate_ms=300)
    return {"steps": [step]}


def ordinary_job():
    step = {"task_count": ORDINARY_TASKS, "cpu": ORDINARY_CPU, "mem_mb": 100, "estimate_ms": 1000}
    return {"steps": [step, {**step, "after": [0]}]}


class OddJobs:
    """Sends odd jobs beside ordinary ones, and checks that the ordinary ones are served."""

    def __init__(self, soak, client):
        self.soak, self.client = soak, client
        self.rng = random.Random(soak.args.seed + 4)
        self.ordinary, self.idle_since, self.lost = [], {}, set()
        self.crashed_at = 0.0  # Last time at which some process or target was down.

    async def submit(self, job, spec):
        spec["spec"] = "payload-" + job
        self.soak.audit.specs[job] = spec
        for _ in range(10):
            status, _ = await self.client.call("POST", job, spec)
            if status == 200:
                return True
            await asyncio.sleep(1)
        return False

    async def send_odd(self):
        """Sends odd jobs, one after the other, and ends the process of a host after some of them."""
        for number in range(self.soak.args.odd):
            kind = self.rng.choice(KINDS)
            job = f"0dd0{self.soak.args.seed & 0xffff:04x}{number:08x}"
            self.soak.faults.append((round(now() - self.soak.began, 2), kind, job))
            self.soak.audit.odd[job] = kind
            await self.submit(job, odd_job(kind, self.rng))
            await asyncio.sleep(self.rng.uniform(0.5, 2))
            if self.rng.random() < 0.3:
                await self.rng.choice(self.soak.hosts).restart(signal.SIGKILL, 0.3)

    async def send_ordinary(self, until):
        number = 0
        while now() < until:
            job = f"0a000000{number:08x}"
            number += 1
            if await self.submit(job, ordinary_job()):
                self.soak.accepted.add(job)
                self.ordinary.append(job)
            else:
                self.soak.audit.broken(f"LOST: {job}, an ordinary job, is refused ten times")
            await asyncio.sleep(0.4)

    def has_room(self):
        alive = [target for target in self.soak.targets if target.alive]
        used = [sum(run["asks"][0] for run in target.runs.values()) for target in alive]
        free = [target.capacity[0] - cpu for target, cpu in zip(alive, used)]
        places = sum(max(0, cpu) // ORDINARY_CPU for cpu in free)
        return places >= 2 * ORDINARY_TASKS and 2 * sum(used) < sum(target.capacity[0] for target in self.soak.targets)

    async def watch(self):
        audit = self.soak.audit
        while True:
            if any(not each.alive for each in self.soak.targets) or any(not each.wanted for each in self.soak.hosts):
                self.crashed_at = now()
            room = self.has_room() and now() - self.crashed_at > CALM_S
            for job in self.ordinary:
                tasks = [f"{job}.0.{step}.{index}" for step in range(2) for index in range(ORDINARY_TASKS)]
                done = all(task in audit.done_seen for task in tasks)
                if done or not room or any(audit.running.get(task) for task in tasks):
                    self.idle_since.pop(job, None)
                elif now() - self.idle_since.setdefault(job, now()) > IDLE_S and job not in self.lost:
                    self.lost.add(job)
                    audit.broken(f"LOST: {job}, an ordinary job, has had nothing running for {IDLE_S} s, with room for it")
            await asyncio.sleep(0.05)

    async def play(self, until):
        watching = asyncio.create_task(self.watch())
        await asyncio.gather(self.send_odd(), self.send_ordinary(until))
        await self.soak.settle(self.client)
        watching.cancel()
