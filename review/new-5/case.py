"""All entry hosts are stopped and started in turn; clients use connections that were open before."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from rig import FRONT, TROUBLE, Connection, CannotRun, play  # noqa: E402

GAP_S, GRACE_S, LOSS_SLACK_S, DEADLINE_S = 2.0, 6.0, 0.2, 3.0
JOB = "00000000000000d1"
HEADERS = {"Host": "jobs.test", "Deadline-Ms": "3000"}
SENT_AFTER_S = (3.0, 3.5, 4.0, 4.5, 5.0)  # Times of the requests at a host, counted from its SIGTERM.


async def scenario(rig):
    await rig.start(entries=3, minions=[("a", 16000)] * 4, routes=[("q", False)])
    await rig.submit("q", JOB, [{"task_count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300, "long_running": True}])
    lost = []

    async def client(entry, connection, told, delay):
        """Sends one request over its open connection some time after the host was told to end."""
        await told.wait()
        await asyncio.sleep(delay)
        sent = rig.log.at()
        rig.log("client: GET /q/" + JOB, "over its open connection to", entry.name)
        status, answer, _ = await connection.call("GET", "/q/" + JOB, None, HEADERS, timeout=DEADLINE_S)
        took = rig.log.at() - sent
        if status > 0:
            rig.log("client at", entry.name, "->", status, answer, f"after {took:.2f} s")
            return
        rig.log("client at", entry.name, "-> the connection ends without an answer", f"after {took:.2f} s")
        since_told = rig.log.at() - told.at
        if LOSS_SLACK_S < took < DEADLINE_S - 0.05 and since_told < GRACE_S + 1.0:
            lost.append((entry.name, took))

    waits, clients = [], []
    for entry in rig.entries:
        told = asyncio.Event()
        told.at = 0.0
        for delay in SENT_AFTER_S:
            connection = Connection(entry.ip, FRONT)
            status, answer, _ = await connection.call("GET", "/q/" + JOB, None, HEADERS)
            if status != 200:
                raise CannotRun("a client is not served before the restarts")
            clients.append(asyncio.create_task(client(entry, connection, told, delay)))
        waits.append(told)

    async def restart(entry, told, delay):
        await asyncio.sleep(delay)
        told.at = rig.log.at()
        told.set()
        if TROUBLE:
            await entry.restart_gently()

    await asyncio.gather(*(restart(entry, told, GAP_S * i) for i, (entry, told) in enumerate(zip(rig.entries, waits))))
    await asyncio.gather(*clients)
    if lost:
        return (f"LOST: {len(lost)} of {len(clients)} requests got no answer: their connections ended {min(t for _, t in lost):.2f}"
                f" to {max(t for _, t in lost):.2f} s after they were sent, with the end of the process that had read them"
                f" ({', '.join(sorted({name for name, _ in lost}))})")
    return None


play(Path(__file__).parent, scenario)
