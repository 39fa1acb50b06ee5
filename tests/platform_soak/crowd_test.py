#!/usr/bin/env python3
"""Untrusted clients: one crowd of connections against one real sp-entry process on loopback, with stand-ins beside it.

Each scenario is a kind of client. It is checked that the process lives, that its peak memory stays under the memory
limit of its settings and its open descriptors under the descriptor limit less those reserved for files, and that an
ordinary job is accepted while the crowd's connections are still open. No times and no share of served requests are
checked; the time limits here only end a run that hangs.

Usage: crowd_test.py --bin FILE (--scenario NAME | --all) [--out DIR]
"""
import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from http_io import Connection  # noqa: E402
from standins import Audit, Store, Target, now  # noqa: E402

CALLER_PORT, READY_PORT, PEER_PORT, STORE_PORT, TARGET_PORT = 8161, 8167, 7720, 8190, 8192
MEMORY_MB = 40  # Limit in the settings, and the bound of the peak memory.
MAX_FDS = 400  # Limit in the settings.
FILE_FDS = 200  # Reserved for files; the process may have MAX_FDS - FILE_FDS open.
BODY_LIMIT = 262144
BODY_CLIENTS = 150  # Below the bound of descriptors, so that these scenarios show memory alone.
HEADER_CLIENTS = 200
FINISHING = 10  # One client in this many sends its last byte, too.
FAR_OVER = 64 * 1024 * 1024  # Announced length of a body far over the limit.
SENT_OVER = 4 * 1024 * 1024  # Bytes that are sent of such a body.
CROWD_GIVE_UP_S = 40.0
TRIES = 8  # For the ordinary job, each over a new connection.
RUN_GIVE_UP_S = 120.0


def job_body(length):
    """A job as callers submit it, filled with white space to a length."""
    spec = {"spec": "payload", "steps": [{"task_count": 1, "cpu": 500, "mem_mb": 500, "estimate_ms": 200}]}
    text = json.dumps(spec).encode()
    return spec, text[:-1] + b" " * (length - len(text)) + text[-1:]


def head(job, *lines):
    return "\r\n".join((f"POST /q/{job} HTTP/1.1", "Host: jobs.test", "Deadline-Ms: 3000") + lines).encode() + b"\r\n\r\n"


def chunked(body, size):
    """Body in chunks without the last one, which ends it."""
    parts = (body[at:at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


class Crowd:
    """Connections of untrusted clients. They stay open until close() unless the host ends them."""

    def __init__(self, ip):
        self.ip = ip
        self.sockets = []
        self.refused = 0  # Connections that were not accepted.
        self.cut = 0  # Connections that ended while something was still to be sent.
        self.whole = 0  # Connections that sent all they had to send.

    async def client(self, pieces, pause=0.0):
        """Connects and sends pieces; an end of the connection is no failure."""
        loop = asyncio.get_running_loop()
        peer = socket.socket()
        peer.setblocking(False)
        self.sockets.append(peer)
        try:
            await loop.sock_connect(peer, (self.ip, CALLER_PORT))
        except OSError:
            self.refused += 1
            return
        try:
            for piece in pieces:
                await loop.sock_sendall(peer, piece)
                await asyncio.sleep(pause)
            self.whole += 1
        except OSError:
            self.cut += 1

    def close(self):
        for peer in self.sockets:
            peer.close()


def split(data, size=65536):
    view = memoryview(data)
    return [view[at:at + size] for at in range(0, len(view), size)]


class Scenarios:
    """Pieces that the clients send. Each scenario returns (number of clients, pieces of client n, pause in seconds)."""

    def __init__(self):
        self.spec, self.body = job_body(BODY_LIMIT)
        self.jobs = [f"{0xc0de:08x}{number:08x}" for number in range(HEADER_CLIENTS)]

    def announced(self, number, size):
        data = self.body if number % FINISHING == 0 else self.body[:-1]
        return [head(self.jobs[number], f"Content-Length: {BODY_LIMIT}")] + split(data, size)

    def in_chunks(self, size):
        text = chunked(self.body[:-1], size)
        last = b"1\r\n" + self.body[-1:] + b"\r\n0\r\n\r\n"

        def pieces(number):
            return ([head(self.jobs[number], "Transfer-Encoding: chunked")] + split(text)
                    + ([last] if number % FINISHING == 0 else []))
        return BODY_CLIENTS, pieces, 0

    def whole(self):
        return BODY_CLIENTS, lambda number: self.announced(number, BODY_LIMIT), 0

    def pieces(self):
        return BODY_CLIENTS, lambda number: self.announced(number, 4096), 0.01

    def large_chunks(self):
        return self.in_chunks(65536)

    def tiny_chunks(self):
        return self.in_chunks(1)

    def over_announced(self):
        return BODY_CLIENTS, lambda number: ([head(self.jobs[number], f"Content-Length: {FAR_OVER}")]
                                             + split(b" " * SENT_OVER)), 0

    def over_chunked(self):
        text = chunked(b" " * SENT_OVER, 65536)
        return BODY_CLIENTS, lambda number: [head(self.jobs[number], "Transfer-Encoding: chunked")] + split(text), 0

    def headers(self):
        def pieces(number):
            lines = [f"X-Fill-{index}: {'x' * 1000}" for index in range(12)]
            return [head(self.jobs[number], *lines)[:-2]]
        return HEADER_CLIENTS, pieces, 0


NAMES = ("whole", "pieces", "large_chunks", "tiny_chunks", "over_announced", "over_chunked", "headers")


class Run:
    def __init__(self, args, name, number):
        self.args, self.name = args, name
        net = 20 + (os.getpid() + number) % 200  # Loopback addresses of this run.
        self.ip, self.infra, self.target_ip = f"127.{net}.0.10", f"127.{net}.1.1", f"127.{net}.2.1"
        self.out = Path(args.out or tempfile.mkdtemp(prefix="crowd-")) / name
        self.audit = Audit()
        self.store = Store(random.Random(1))
        self.tasks = []
        self.process = None
        self.most_fds = 0
        self.violations = []

    async def start(self):
        self.out.mkdir(parents=True, exist_ok=True)
        await self.store.start(self.infra, STORE_PORT)
        target = Target("t0", random.Random(2), self.audit, self.store, f"{self.target_ip}:{TARGET_PORT}", (64000, 64000))
        await target.start(self.target_ip, TARGET_PORT)
        self.tasks += [asyncio.create_task(each) for each in (target.beat(), target.work(), self.store.expire())]
        self.store.put("op/config", json.dumps({
            "version": 3,
            "routes": [{"name": "q", "host": "jobs.test", "prefix": "/q/", "service": "svc", "timeout_ms": 3000,
                        "target_latency_ms": 250, "priority": 0, "max_attempts": 4, "slack_factor": 1.5}],
            "services": [{"name": "svc"}], "limits": {"max_body_bytes": BODY_LIMIT}}).encode())
        settings = self.out / "settings.json"
        settings.write_text(json.dumps({
            "node_name": "host-0", "role": "entry", "ip": self.ip, "zone": "z", "zones": {"z": "r"},
            "listen_addrs": {"front": f"{self.ip}:{CALLER_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "limits": {"cpu_share": 1.0, "memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
            "bounds": {"grace_s": 6.0, "max_hold_ms": 10000, "stop_timeout_ms": 200, "drain_ms": 2000},
            "platform": {"address": f"{self.infra}:{STORE_PORT}", "form": "kv", "min_ttl_ms": 1000}}))
        with (self.out / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.args.bin, "--config", str(settings), "--metrics_port", "9464", stdout=log, stderr=log)
        self.tasks.append(asyncio.create_task(self.watch_descriptors()))

    def open_fds(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:  # The process has ended; this is checked by itself.
            return 0

    async def watch_descriptors(self):
        while True:
            self.most_fds = max(self.most_fds, self.open_fds())
            await asyncio.sleep(0.02)

    def peak_kb(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        return 0

    async def ordinary(self, job):
        """Submits a small job over new connections. Returns the last status."""
        spec, _ = job_body(200)
        self.audit.specs[job] = spec
        status = 0
        for _ in range(TRIES):
            connection = Connection(self.ip, CALLER_PORT)
            status, _, _ = await connection.call(
                "POST", "/q/" + job, spec, {"Host": "jobs.test", "Deadline-Ms": "3000"}, timeout=5.0)
            connection.close()
            if 200 <= status < 300:
                break
            await asyncio.sleep(1)
        return status

    async def play(self):
        await self.start()
        if (status := await self.ordinary("0000000000000001")) != 200:
            self.violations.append(f"a job before the crowd is answered {status}")
            return "not run"
        base = self.peak_kb()
        scenarios = Scenarios()
        for job in scenarios.jobs:
            self.audit.specs[job] = scenarios.spec
        count, pieces, pause = getattr(scenarios, self.name)()
        crowd = Crowd(self.ip)
        clients = [asyncio.create_task(crowd.client(pieces(number), pause)) for number in range(count)]
        done, late = await asyncio.wait(clients, timeout=CROWD_GIVE_UP_S)
        for client in late:
            client.cancel()
        for client in done:
            client.result()
        await asyncio.sleep(1)
        status = await self.ordinary("0000000000000002")
        figures = f"{count} clients, {crowd.whole} sent all, {crowd.cut} cut, {crowd.refused} refused, {len(late)} late"
        if self.process.returncode is not None:
            self.violations.append(f"the process has ended with {self.process.returncode}")
            return figures
        peak = self.peak_kb()
        if peak > MEMORY_MB * 1024:
            self.violations.append(f"peak memory {peak / 1024:.1f} MB, bound {MEMORY_MB} MB")
        if self.most_fds > MAX_FDS - FILE_FDS:
            self.violations.append(f"{self.most_fds} open descriptors, bound {MAX_FDS - FILE_FDS}")
        if not 200 <= status < 300:
            self.violations.append(f"an ordinary job is answered {status} after {TRIES} tries")
        crowd.close()
        return (f"{figures}; memory {base / 1024:.1f} MB before, {peak / 1024:.1f} MB at most; "
                f"{self.most_fds} descriptors at most; ordinary job {status}")

    async def run(self):
        began = now()
        try:
            async with asyncio.timeout(RUN_GIVE_UP_S):
                figures = await self.play()
        except asyncio.TimeoutError:
            figures = "not ended"
            self.violations.append(f"the run hangs for {RUN_GIVE_UP_S} s")
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # Calls that end with the process.
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        for task in self.tasks:
            task.cancel()
        print(f"crowd: {self.name}: {'FAILED' if self.violations else 'ok'}; {figures}; {now() - began:.0f} s")
        for text in self.violations + self.audit.violations:
            print("  " + text)
        if self.violations:
            print(f"  logs in {self.out}")
        sys.stdout.flush()
        return not self.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bin", required=True, help="sp-entry")
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--scenario", choices=NAMES)
    chosen.add_argument("--all", action="store_true", help="all scenarios, one after the other")
    parser.add_argument("--out", help="folder for settings and logs; default: a new one")
    args = parser.parse_args()
    results = [asyncio.run(Run(args, name, number).run())
               for number, name in enumerate(NAMES if args.all else [args.scenario])]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
