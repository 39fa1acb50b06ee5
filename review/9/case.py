"""Three hosts are stopped and started in turn; clients keep asking over their open connections. See claim.txt."""
import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))
from platform2 import CALLER_PORT, TROUBLE, Connection, World, now, play  # noqa: E402

GAP_S = 2.0  # roll_term, share = 1.0, gap_s = 2.0
SLACK_S = 0.2  # loss_slack_ms
ASK_EVERY_S = 0.05


class Case(World):
    def __init__(self, case):
        super().__init__(case)
        self.terms = {}  # host -> time of its SIGTERM


async def client(world, host, job, ends):
    """Keeps a connection to one host and asks for a job's state over it, again and again."""
    connection = Connection(host.ip, CALLER_PORT)
    while now() < ends:
        sent = now()
        status, _ = await world.call(host, "GET", f"/q/{job}", timeout=3.2, connection=connection, quiet=True)
        held = now() - sent
        term = world.terms.get(host.name)
        planned = term is not None and sent - term < world.bounds["grace_s"] + 1
        if status == 0 and planned and SLACK_S < held < 3.0:  # Not the client's own deadline.
            world.record.breaks("LOST", f"a query sent to {host.name} {sent - term:.2f} s after its SIGTERM ends without an answer "
                                        f"after {held:.2f} s")
        await asyncio.sleep(ASK_EVERY_S)


async def script(world):
    await world.start([world.route("q", "/q/")])
    job = "a" * 16
    step = {"task_count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 200}
    if (await world.call(world.hosts[0], "POST", f"/q/{job}", {"spec": "a", "steps": [step]}))[0] != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1)
    ends = now() + 25
    clients = [asyncio.create_task(client(world, host, job, ends)) for host in world.hosts for _ in range(4)]
    await asyncio.sleep(2)
    restarts = []
    for host in world.hosts if TROUBLE else []:
        world.terms[host.name] = now()
        restarts.append(asyncio.create_task(host.stop_and_start()))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts, *clients)


if __name__ == "__main__":
    sys.exit(play(Case, CASE, script))
