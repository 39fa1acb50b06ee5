"""One client hands in a job with times whose first time lies a day back. See claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))
from platform2 import TROUBLE, World, now, play  # noqa: E402

RUNS, INTERVAL_MS = 1440, 60000  # One run a minute, for a day.
TARGETS = 48
TRAFFIC_S, FINISH_S = 25.0, 14.0  # finish_s
SPAN_S, WATCH_S = 3.0, 12.0  # RULES.md, LOST: "for 3 s, a job has nothing running"; watched for that long.
TIMED = "c" * 16
TASK_S = 0.2


class Case(World):
    def __init__(self, case):
        super().__init__(case, targets=TARGETS)
        self.accepted = {}  # job -> time of the 2xx
        self.ended = set()  # jobs of one task that has ended
        self.running = {}  # job -> tasks at work

    def needs_ticket(self, task):
        return True

    def run_begins(self, target, task, number, order):
        self.running.setdefault(task.split(".")[0], set()).add(task)
        return TASK_S, "done"

    def run_ended(self, target, task, run, how):
        super().run_ended(target, task, run, how)
        job = task.split(".")[0]
        self.running[job].discard(task)
        if how == "done" and job != TIMED:
            self.ended.add(job)

    def waiting(self):
        """Accepted jobs that have not ended and of which nothing runs. The one with times can't end within the script."""
        return {job for job in self.accepted if job not in self.ended and not self.running.get(job)}


async def hand_in(world, path, job, body):
    """A client: tries again at other hosts, as PROTOCOL.md says, until the job is accepted."""
    for attempt in range(5):
        host = world.hosts[(int(job, 16) + attempt) % len(world.hosts)]
        status, _ = await world.call(host, "POST", path + job, body)
        if status == 200:
            world.accepted[job] = now()
            return
        await asyncio.sleep(0.5)


async def script(world):
    hint = {"decision_ms": 20, "per_worker_ms": 0.3, "validity_ms": 2000}
    await world.start([world.route("quick", "/quick/", hint=hint), world.route("timed", "/timed/", priority=2, hint=hint)])
    step = {"task_count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 200}
    clients = []
    began = now()
    timed_sent = not TROUBLE
    number = 0
    while now() - began < TRAFFIC_S:
        if not timed_sent and now() - began > 3:
            timed_sent = True
            small = {"task_count": 350, "cpu": 20, "mem_mb": 10, "estimate_ms": 200}
            body = {"spec": "timed", "steps": [small], "run_count": RUNS, "interval_ms": INTERVAL_MS,
                    "start_at_ms": int(time.time() * 1000) - RUNS * INTERVAL_MS}
            clients.append(asyncio.create_task(hand_in(world, "/timed/", TIMED, body)))
        number += 1
        clients.append(asyncio.create_task(
            hand_in(world, "/quick/", f"{number:016x}", {"spec": "quick", "steps": [step]})))
        await asyncio.sleep(0.2)
    world.record.say("the traffic ends")
    await asyncio.gather(*clients)
    await asyncio.sleep(max(0, began + TRAFFIC_S + FINISH_S - now()))
    room = TARGETS * 16
    idle = {}  # job -> since when nothing of it runs
    most = 0
    ends = now() + WATCH_S
    while now() < ends:
        await asyncio.sleep(0.05)
        most = max(most, sum(len(tasks) for tasks in world.running.values()))
        waiting = world.waiting()
        idle = {job: idle.get(job, now()) for job in waiting}
        long = [job for job, since in idle.items() if now() - since > SPAN_S]
        if long and most < room / 2:
            quick = [job for job in long if job != TIMED]
            world.record.breaks("LOST", f"{len(long)} of {len(world.accepted)} accepted jobs, {len(quick)} of them of other "
                                        f"clients, have nothing running for {SPAN_S:.0f} s, over {FINISH_S:.0f} s after the end "
                                        f"of the traffic, while at most {most} of {room} places are in use")
            break
    world.record.say("accepted", len(world.accepted), "jobs; tasks at work at most", most, "of", room, "; store refused",
                     world.store.refused)


if __name__ == "__main__":
    sys.exit(play(Case, CASE, script))
