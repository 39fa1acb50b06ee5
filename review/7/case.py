"""Two routes are removed while jobs of theirs run; then the hosts are restarted in turn. See claim.txt."""
import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))
from platform2 import TROUBLE, World, now, play  # noqa: E402

ADVISED, PLAIN = "a" * 16, "b" * 16  # Jobs of the queue with a hint, and of the one without.
MAX_ATTEMPTS = 3
TURN_S = 3.0  # RULES.md, LOST: "for 3 s, a job has nothing running while a task's turn has come".
PATIENCE_S = 10.0  # Far beyond it, and beyond contact_ms after the last start of a host.


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.runs = {}  # task -> number of runs
        self.ends = {}  # task -> list of (how, acknowledged)

    def needs_ticket(self, task):
        return task.startswith(ADVISED)

    def run_begins(self, target, task, number, order):
        self.runs[task] = self.runs.get(task, 0) + 1
        if task.startswith(PLAIN):
            return 11.0, "failed"
        return (30.0 if task.split(".")[2] == "0" else 0.5), "done"

    def run_ended(self, target, task, run, how):
        super().run_ended(target, task, run, how)
        self.ends.setdefault(task, []).append([run["run"], how, False])

    def check_budget(self):
        """RULES.md, BUDGET; only ends that were acknowledged count."""
        task = f"{PLAIN}.0.0.0"
        failed = sum(1 for end in self.ends.get(task, []) if end[1] == "failed" and end[2])
        if failed >= MAX_ATTEMPTS and self.runs[task] > MAX_ATTEMPTS:
            self.record.breaks("BUDGET", f"{task} started {self.runs[task]} times, {failed} runs have ended `failed` and "
                                         f"are taken note of, max_attempts is {MAX_ATTEMPTS}")

    def end_acknowledged(self, target, end):
        for known in self.ends.get(end[1], []):
            known[2] |= known[0] == end[2]


async def script(world):
    hint = {"decision_ms": 20, "per_worker_ms": 0.3, "validity_ms": 2000}
    routes = [world.route("keep", "/keep/"), world.route("advised", "/advised/", hint=hint),
              world.route("plain", "/plain/")]
    await world.start(routes)
    first = world.hosts[0]
    step = {"task_count": 1, "cpu": 1000, "mem_mb": 500}
    advised = {"spec": "advised", "steps": [{**step, "estimate_ms": 30000},
                                            {**step, "task_count": 2, "estimate_ms": 500, "after": [0]}]}
    plain = {"spec": "plain", "steps": [{**step, "estimate_ms": 11000}]}
    for path, body in ((f"/advised/{ADVISED}", advised), (f"/plain/{PLAIN}", plain)):
        status, _ = await world.call(first, "POST", path, body)
        if status != 200:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(1)
    if TROUBLE:
        await world.operator_writes(routes[:1])
        await asyncio.sleep(3)  # config_apply_ms is 2,000.
        for host in world.hosts:  # One at a time, as in roll_term.
            await host.stop_and_start()
            await asyncio.sleep(2)
    turn = None  # Since when the second step's turn has come.
    ends = now() + (30 if TROUBLE else 60)
    while now() < ends:
        await asyncio.sleep(0.1)
        done = any(end[1] == "done" for end in world.ends.get(f"{ADVISED}.0.0.0", []))
        if turn is None and done:
            turn = now()
            world.record.say("the turn of the second step has come")
        began = [task for task in world.runs if task.startswith(f"{ADVISED}.0.1.")]
        if turn and not began and now() - turn > PATIENCE_S:
            world.record.breaks("LOST", f"for {now() - turn:.1f} s no task of the accepted job {ADVISED} runs, though its "
                                        f"second step's turn has come and {len(world.targets)} targets are idle "
                                        f"(limit {TURN_S:.0f} s)")
            break
        if turn and len(began) == 2 and len(world.ends.get(f"{PLAIN}.0.0.0", [])) > MAX_ATTEMPTS + 1:
            break
    world.check_budget()
    world.record.say("runs", world.runs)


if __name__ == "__main__":
    sys.exit(play(Case, CASE, script))
