"""Stand-ins for the review cases: targets, advisor, entry hosts, and a record of what was sent, answered and run.

Store, HTTP and proxies come from the project's own soak (tests/platform_soak). The target follows PROTOCOL.md, "Running
tasks": run-start, run-stop, pace and hold with leases, fencing tokens, tickets and acknowledged ends.
"""
import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform_soak"))
from http_io import Connection, Cut, Proxy, serve  # noqa: E402,F401
from standins import Store  # noqa: E402

CALLER_PORT, READY_PORT, PEER_PORT, STORE_PORT, ADVISOR_PORT, TARGET_PORT = 8161, 8167, 7720, 8190, 8191, 8192
METRICS_PORT = 9464  # As in the deploy file.
MAX_HOLD_MS = 10000
STOP_S = 0.1  # stop_timeout_ms is 200.
BEAT_S = 1.5  # heartbeat_ms
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class Record:
    """record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = now()
        self.broken = []

    def say(self, *words):
        self.file.write(f"{now() - self.began:8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.say("BROKEN", rule + ":", text)


VALUE_BYTES = 1048576


class LimitedStore(Store):
    """The project's store, with the limit of a value: "any bytes, at most value_bytes"."""

    refused = 0

    def transaction(self, data):
        if any(len(put["value"]) * 3 // 4 > VALUE_BYTES + 2 for put in data.get("puts", [])):
            self.refused += 1
            return 400, {"error": "a value is too long"}, None
        return super().transaction(data)


class Target:
    """One minion. `start` orders begin runs whose length and result the world decides."""

    def __init__(self, world, name, ip, cpu=16000, memory=32000):
        self.world, self.name, self.ip, self.cpu, self.memory = world, name, ip, cpu, memory
        self.address = f"{ip}:{TARGET_PORT}"
        self.alive = True
        self.sequence = 0
        self.connections = set()
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.began = now()
        self.token = 0
        self.runs = {}
        self.gone = {}
        self.ends = []
        self.last_end = 0
        self.lease = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((now() - self.began) * 1000)

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": "svc", "address": self.address, "zone": "z", "version": "v1", "capacity": 8, "state": "ready",
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born, "machine": "m-" + self.name,
            "free_resources": {"cpu": self.cpu, "mem_mb": self.memory, "gpus": 0},
            "labels": ["a", "r-" + self.name[-1]]}).encode()

    async def live(self):
        await serve(self.ip, TARGET_PORT, self.handle)
        asyncio.create_task(self.beat())
        while True:
            await asyncio.sleep(0.01 if self.runs else 0.05)
            for task, run in list(self.runs.items()):
                if self.clock() > self.lease:
                    self.end(task, "lapsed")
                elif run["stops"] and now() >= run["stops"]:
                    self.end(task, "stopped")
                elif now() >= run["ends"]:
                    self.end(task, run["how"])

    async def beat(self):
        while True:
            if self.alive:
                self.world.store.put("servers/" + self.name, self.entry())
                await self.world.store.notify()
            await asyncio.sleep(BEAT_S)

    def crash(self):
        self.world.record.say("target", self.name, "crashes with", sorted(self.runs) or "no runs")
        self.alive = False
        for task, run in self.runs.items():
            self.world.run_ended(self, task, run, "crashed")
        self.runs = {}
        self.news.set()

    def restart(self):
        self.begin_life()
        self.alive = True
        self.world.record.say("target", self.name, "is back under its id, born", self.born)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.gone[task] = max(self.gone.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.world.run_ended(self, task, run, how)
        self.news.set()

    async def handle(self, _method, path, headers, body):
        if not self.alive:
            raise Cut()
        born = self.born
        await asyncio.sleep(0.002)
        if not self.alive or self.born != born:
            raise Cut()
        if headers.get("target-instance", self.name) != self.name:
            return 421, None, None
        data = json.loads(body)
        token = data.get("fencing_token", 0)
        clock = {"clock_ms": self.clock(), "born": self.born}
        if token < self.token:
            self.world.record.say("target", self.name, "refuses", path, "with the lower token", token)
            return 409, {**clock, "reason": "fence"}, None
        self.token = token
        if path == "/api/run-start":
            status, reason = self.start_run(data)
            self.world.record.say("target", self.name, "start", data["task"], "run", data["run"], "ticket",
                                  data.get("ticket", "none"), "->", status, reason)
            return status, {**clock, "reason": reason} if reason else clock, None
        if path == "/api/run-stop":
            run = self.runs.get(data["task"])
            self.gone[data["task"]] = max(self.gone.get(data["task"], 0), data["run"])
            if run and run["run"] == data["run"] and not run["stops"]:
                run["stops"] = now() + STOP_S
            self.world.record.say("target", self.name, "stop", data["task"], "run", data["run"])
            return 200, clock, None
        if path == "/api/pace":
            return 200, clock, None
        return await self.hold(data, born)

    def start_run(self, data):
        task, number = data["task"], data["run"]
        deadline = min(data["deadline_ms"], self.clock() + MAX_HOLD_MS)
        held = self.runs.get(task)
        if held and held["run"] == number:
            self.lease = max(self.lease, deadline)
            return 200, ""
        if held or number <= self.gone.get(task, 0):
            self.lease = max(self.lease, deadline)
            return 409, "old"
        if data["deadline_ms"] <= self.clock():
            return 409, "late"
        if self.world.needs_ticket(task) and not self.world.ticket_valid(data.get("ticket"), task, self):
            return 409, "ticket"
        self.lease = max(self.lease, deadline)
        length, how = self.world.run_begins(self, task, number, data)
        self.runs[task] = {"run": number, "stops": 0, "at": now(), "ends": now() + length, "how": how}
        return 200, ""

    async def hold(self, data, born):
        if data.get("deadline_ms"):
            self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + MAX_HOLD_MS))
        cursor = data.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.world.end_acknowledged(self, end)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and data.get("wait_ms"):
            self.news.clear()
            try:
                async with asyncio.timeout(data["wait_ms"] / 1000):
                    await self.news.wait()
            except asyncio.TimeoutError:
                pass
        if not self.alive or self.born != born:
            raise Cut()
        rows = [[task, run["run"], "", min(99, int(100 * (now() - run["at"]) / max(0.001, run["ends"] - run["at"]))), 0]
                for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.ends[:500]}, None


class Advisor:
    """Allows every target it is asked about; tickets hold for 2 s."""

    def __init__(self, world):
        self.world = world
        self.tickets = {}  # ticket -> (step, target, born, valid until)
        self.numbers = itertools.count(1)

    async def handle(self, _method, _path, _headers, body):
        data = json.loads(body)
        await asyncio.sleep(0.02 + 0.0003 * len(data["workers"]))
        allowed = []
        for worker in data["workers"]:
            target = self.world.by_name.get(worker)
            if target:
                ticket = f"ticket-{next(self.numbers)}"
                self.tickets[ticket] = (data["step"], worker, target.born, now() + 2.0)
                allowed.append([worker, ticket])
        self.world.record.say("advisor", data["step"], "allows", len(allowed), "targets")
        return 200, {"allowed": allowed}, None


class Host:
    """One sp-entry process, started with the command of the deploy file."""

    def __init__(self, world, index, cores):
        self.world, self.index = world, index
        self.name = f"front-{index}"
        self.ip = f"127.{world.net}.0.{10 + index}"
        self.process = None
        self.settings = world.folder / (self.name + ".json")
        self.settings.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "front", "serves": ["front"], "ip": self.ip,
            "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen_addrs": {"front": f"{self.ip}:{CALLER_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "internal_port_range": [PEER_PORT, PEER_PORT + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": cores, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
            "data_dir": None, "heartbeat_ms": 1500, "bounds": world.bounds, "control_mode": "rpc",
            "hint": f"{world.infra}:{ADVISOR_PORT}",
            "platform": {"address": f"{world.infra}:{STORE_PORT}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "retention_s": 20, "value_bytes": VALUE_BYTES, "min_ttl_ms": 1000}}))

    def start(self):
        command = (ROOT / "target" / "sp-entry", "--metrics_port", str(METRICS_PORT))
        with open(self.world.folder / (self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                            env={"PATH": os.environ["PATH"], "SYCAMOREPOND_SETTINGS": str(self.settings)})
        self.world.record.say("host", self.name, "starts, pid", self.process.pid)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.running():
            self.world.record.say("host", self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def stop_and_start(self):
        """As the platform does: SIGTERM, SIGKILL after grace_s, and a start after a short delay."""
        self.send(signal.SIGTERM)
        ends = now() + self.world.bounds["grace_s"]
        while self.running() and now() < ends:
            await asyncio.sleep(0.02)
        self.send(signal.SIGKILL)
        self.process.wait()
        self.world.record.say("host", self.name, "has ended with", self.process.returncode)
        await asyncio.sleep(0.3)
        self.start()

    def resident_mb(self):
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0.0

    async def status(self):
        """The host's own page for operators; used only to choose which host to disturb."""
        code, page, _ = await Connection(self.ip, METRICS_PORT).call("GET", "/status", timeout=1.0)
        return page if code == 200 else None


class World:
    """All stand-ins and hosts of a case. A case derives from it and says what runs do."""

    bounds = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
              "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
              "outer_ms": 5000, "recovery_s": 12, "max_hold_ms": MAX_HOLD_MS, "stop_timeout_ms": 200,
              "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
              "status_s": 120, "remote_penalty": 3, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500,
              "migrate_s": 1.5, "maintenance_s": 2, "fencing_enforced": True, "lease_ttl_ms": 3000, "thaw_ms": 300,
              "pace_ms": 100, "impact_ms": 4000}

    def __init__(self, case, hosts=3, targets=6, cores=1.0):
        self.record = Record(Path(case) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = self.free_net()
        self.infra = f"127.{self.net}.1.1"
        self.store = LimitedStore(random.Random(1))
        self.advisor = Advisor(self)
        self.targets = [Target(self, f"t{i}", f"127.{self.net}.{2 + i // 200}.{1 + i % 200}") for i in range(targets)]
        self.by_name = {target.name: target for target in self.targets}
        self.hosts = [Host(self, i, cores) for i in range(hosts)]
        self.version = itertools.count(3, 4)
        self.services = ["svc"]
        self.record.say("case", Path(case).name, "disruption", "on" if TROUBLE else "off")

    @staticmethod
    def free_net():
        """A loopback network on whose addresses the ports are free."""
        for net in random.SystemRandom().sample(range(20, 120), 100):
            try:
                for ip, port in ((f"127.{net}.0.10", CALLER_PORT), (f"127.{net}.1.1", STORE_PORT),
                                 (f"127.{net}.0.10", METRICS_PORT)):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback network")

    # What a case may change.
    def needs_ticket(self, task):
        return False

    def ticket_valid(self, ticket, task, target):
        step, worker, born, until = self.advisor.tickets.get(ticket, ("", "", 0, 0))
        return task.startswith(step + ".") and worker == target.name and born == target.born and now() <= until

    def run_begins(self, target, task, number, order):
        return 0.2, "done"

    def run_ended(self, target, task, run, how):
        self.record.say("target", target.name, "end", task, "run", run["run"], how)

    def end_acknowledged(self, target, end):
        pass

    async def operator_writes(self, routes):
        version = next(self.version)
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes, "services": [{"name": name} for name in self.services],
            "limits": {"max_body_bytes": 262144}}).encode())
        await self.store.notify()
        self.record.say("operator writes version", version, "routes", [route["prefix"] for route in routes])

    @staticmethod
    def route(name, prefix, **more):
        return {"name": name, "host": "jobs.test", "prefix": prefix, "service": "svc", "timeout_ms": 3000,
                "target_latency_ms": 250, "max_attempts": 3, "slack_factor": 1.5, **more}

    async def start(self, routes):
        await self.store.start(self.infra, STORE_PORT)
        await serve(self.infra, ADVISOR_PORT, self.advisor.handle)
        asyncio.create_task(self.store.expire())
        for target in self.targets:
            asyncio.create_task(target.live())
        await self.operator_writes(routes)
        for host in self.hosts:
            host.start()
        ends = now() + 15
        while now() < ends:
            answers = [await Connection(host.ip, READY_PORT).call("GET", "/api/ready", timeout=1.0) for host in self.hosts]
            if all(answer[0] == 200 for answer in answers):
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the hosts are not ready after 15 s")

    async def owner(self):
        """The host that owns the cell."""
        ends = now() + 10
        while now() < ends:
            for host in self.hosts:
                status = await host.status() if host.running() else None
                if status and status["active"]:
                    return host
            await asyncio.sleep(0.1)
        raise RuntimeError("no host owns the cell")

    async def call(self, host, method, path, body=None, timeout=3.2, connection=None, quiet=False):
        """One request of a client. (status, answer); status 0: no answer, -1: no connection."""
        began = now()
        connection = connection or Connection(host.ip, CALLER_PORT)
        status, answer, _ = await connection.call(
            method, path, body, {"Host": "jobs.test", "Deadline-Ms": "3000", "Content-Type": "application/json"}, timeout)
        if not quiet:
            self.record.say("client", method, path, "at", host.name, "->", status, answer if method == "GET" else "",
                            f"after {1000 * (now() - began):.0f} ms")
        return status, answer

    def close(self):
        sys.unraisablehook = lambda *_: None  # Connections that are open at the end.
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(world_class, case, script):
    """Runs a case. Exit 1: a rule was broken, 0: it held, 2: the case could not run."""
    world = None

    async def main():
        nonlocal world
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world = world_class(case)
        async with asyncio.timeout(112):
            await script(world)

    try:
        asyncio.run(main())
    except Exception as error:  # The case itself has failed, whatever the reason.
        print("the case could not run:", type(error).__name__, error)
        if world:
            world.record.say("the case could not run:", type(error).__name__, error)
        return 2
    finally:
        if world:
            world.close()
    for rule, text in world.record.broken:
        print(f"{rule} broken: {text}")
    if not world.record.broken:
        print("held")
    world.record.say("verdict", "broken" if world.record.broken else "held")
    return 1 if world.record.broken else 0
