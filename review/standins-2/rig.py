"""Rig for scripts of the review: entry hosts as real processes, and stand-ins of store, minions, advisor and clients.

The store and the HTTP helpers are those of the project's own soak. Minions and advisor follow PROTOCOL.md and are small.
All addresses are loopback addresses of one run. record.txt gets one line for all that was sent, answered and run.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform_soak"))
from http_io import Connection, Cut, read_message, serve  # noqa: E402
from standins import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, PEER, STORE, HINT, MINION = 8161, 8167, 8166, 7720, 8190, 8191, 8192
MAX_HOLD_MS, STOP_MS, HEARTBEAT_S = 10000, 200, 1.5


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def at(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        print(f"{self.at():8.3f}", *words, file=self.file, flush=True)


class Machine:
    """The address of a machine. Connections belong to the life that they were opened to and are silent after it."""

    def __init__(self, ip):
        self.ip = ip
        self.life = None  # Minion that runs there; none while the machine is dark.
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.ip, MINION, backlog=512)

    async def connection(self, reader, writer):
        life = self.life
        try:
            while True:
                first, headers, body = await read_message(reader)
                answer = await life.handle(first.split(" ")[1], headers, body) if life else None
                if life is None or self.life is not life:
                    await asyncio.Event().wait()  # No answer and no end of the connection.
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n"
                             "Content-Type: application/json\r\n\r\n".encode() + data)
                await writer.drain()
        except (Cut, asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.transport.abort()


class Minion:
    """Runs tasks by the pages: leases on its own clock, fences, ends that are listed until they are acknowledged."""

    def __init__(self, rig, name, machine, hardware, kind="a", cpu=16000, mem_mb=32768):
        self.rig, self.name, self.machine, self.hardware = rig, name, machine, hardware
        self.kind, self.cpu, self.mem_mb = kind, cpu, mem_mb
        self.address = f"{machine.ip}:{MINION}"
        self.tail = None  # Function (run) -> tail in ms, for tasks with a `target_ms`.
        self.up = False
        self.sequence = 0

    async def start(self):
        self.born, self.began = int(time.time() * 1000), time.monotonic()
        self.token, self.lease, self.last_end = 0, 0.0, 0
        self.runs, self.gone, self.ends = {}, {}, []
        self.news = asyncio.Event()
        self.up = True
        if not self.machine.server:
            await self.machine.start()
        self.machine.life = self
        self.rig.log("minion", self.name, "starts on", self.hardware)
        self.rig.spawn(self.work(self.born))
        self.rig.spawn(self.beat(self.born))

    def crash(self, dark):
        """Ends at once and says nothing. Its entry stays until three beats are missed.

        dark: the machine does not respond until another life begins there; else its port refuses connections.
        """
        self.up = False
        if dark:
            self.machine.life = None
        else:
            self.machine.server.close()
        self.rig.log("minion", self.name, "crashes")
        for task in list(self.runs):
            self.rig.log(self.name, "loses", task, "by its crash")
        self.runs = {}
        self.rig.spawn(self.expire())

    async def expire(self):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.rig.log("the entry of", self.name, "is removed after three missed beats")
        self.rig.store.remove("servers/" + self.name)
        await self.rig.store.notify()

    def clock(self):
        return (time.monotonic() - self.began) * 1000 + 1000

    async def beat(self, born):
        while self.up and self.born == born:
            self.sequence += 1
            entry = {"service": "svc", "address": self.address, "zone": "z", "version": "v1", "capacity": 8,
                     "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                     "machine": self.hardware, "labels": [self.kind, "r1"],
                     "free_resources": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0}}
            self.rig.store.put("servers/" + self.name, json.dumps(entry).encode())
            await self.rig.store.notify()
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.gone[task] = max(self.gone.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.rig.log(self.name, "ends", task, "run", run["run"], how, "work done", f"{run['worked']:.2f} s")
        if how == "done":
            self.rig.done[task] = self.rig.log.at()
        self.news.set()

    async def work(self, born):
        last = time.monotonic()
        while self.up and self.born == born:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for task, run in list(self.runs.items()):
                run["worked"] += (now - last) * run["pace"] / 100
                if self.clock() > self.lease:
                    self.end(task, "lapsed")
                elif run["stops"] and now >= run["stops"]:
                    self.end(task, "stopped")
                elif not run["step"].get("long_running") and run["worked"] >= run["needs"]:
                    self.end(task, "done")
            last = now

    async def handle(self, path, headers, body):
        if not self.up:
            raise Cut()
        await asyncio.sleep(0.002)
        if headers.get("target-instance", self.name) != self.name:
            self.rig.wrong_life += 1
            if self.rig.wrong_life % 100 == 1:
                self.rig.log(self.name, "answers 421 for the", self.rig.wrong_life, "th time:", path, "is for",
                             headers["target-instance"])
            return 421, None
        data = json.loads(body)
        clock = {"clock_ms": int(self.clock()), "born": self.born}
        token = data.get("fencing_token", 0)
        if token < self.token:
            self.rig.log(self.name, "refuses a lower fence", path, data.get("task", ""), token, "<", self.token)
            return 409, {**clock, "reason": "fence"}
        self.token = token
        if path == "/api/run-start":
            status, reason = self.start_run(data)
            self.rig.log(self.name, "start", data["task"], "run", data["run"], "token", token, "ticket",
                         data.get("ticket", "-"), "->", status, reason)
            return status, {**clock, "reason": reason} if reason else clock
        if path == "/api/run-stop":
            run = self.runs.get(data["task"])
            self.gone[data["task"]] = max(self.gone.get(data["task"], 0), data["run"])
            if run and run["run"] == data["run"] and not run["stops"]:
                run["stops"] = time.monotonic() + STOP_MS / 2000
            self.rig.log(self.name, "stop", data["task"], "run", data["run"], "token", token)
            return 200, clock
        if path == "/api/pace":
            run = self.runs.get(data["task"])
            if run and run["run"] == data["run"]:
                run["pace"] = data["percent"]
            self.rig.log(self.name, "pace", data["task"], "run", data["run"], data["percent"], "token", token)
            return 200, clock
        return await self.hold(data)

    def start_run(self, data):
        task, number = data["task"], data["run"]
        self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + MAX_HOLD_MS))
        held = self.runs.get(task)
        if held and held["run"] == number:
            return 200, None
        if held or number <= self.gone.get(task, 0):
            return 409, "old"
        if data["deadline_ms"] <= self.clock():
            return 409, "late"
        job, _, step, _ = task.split(".")
        handed_in = self.rig.jobs.get(job)
        if handed_in is None or handed_in["spec"] != data["spec"]:
            return 400, "unasked"
        if self.rig.needs_ticket(job) and data.get("ticket") != f"ticket-{job}.{task.split('.')[1]}.{step}-{self.name}":
            return 409, "ticket"
        asked = handed_in["steps"][int(step)]
        self.runs[task] = {"run": number, "step": asked, "stops": 0, "worked": 0.0, "pace": 100,
                           "needs": self.rig.work_s(job, int(step))}
        self.rig.started[task] = self.rig.started.get(task, 0) + 1
        return 200, None

    async def hold(self, data):
        if data.get("deadline_ms"):
            self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + MAX_HOLD_MS))
        self.ends = [end for end in self.ends if end[0] > data.get("ack_cursor", 0)]
        if not self.ends and data.get("wait_ms"):
            self.news.clear()
            try:
                async with asyncio.timeout(data["wait_ms"] / 1000):
                    await self.news.wait()
            except asyncio.TimeoutError:
                pass
            if not self.up:
                raise Cut()
        rows = []
        for task, run in self.runs.items():
            serves = run["step"].get("target_ms") and self.tail
            gauge = int(self.tail(run)) if serves else run["step"]["cpu"] * run["pace"] // 100
            lasting = run["step"].get("long_running")
            percent = min(100, int(100 * run["worked"] / (0.3 if lasting else run["needs"])))
            rows.append([task, run["run"], "", percent, gauge])
        return 200, {"clock_ms": int(self.clock()), "born": self.born, "running": rows, "finished": self.ends[:500]}


class Advisor:
    """Allows all workers that it is asked about, with a ticket for each."""

    def __init__(self, rig):
        self.rig = rig

    async def handle(self, _method, _path, _headers, body):
        data = json.loads(body)
        await asyncio.sleep(0.02 + 0.0003 * len(data["workers"]))
        self.rig.log("advisor is asked about step", data["step"], "and", len(data["workers"]), "workers")
        return 200, {"allowed": [[worker, f"ticket-{data['step']}-{worker}"] for worker in data["workers"]]}, None


class Entry:
    """One entry host: the program of the deploy file with the settings of a small deployment."""

    def __init__(self, rig, number, ip):
        self.rig, self.name, self.ip = rig, f"front-{number}", ip
        self.file = rig.folder / f"{self.name}.json"
        self.log_file = rig.folder / f"{self.name}.log"
        self.process = None
        self.file.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "front", "serves": ["front"], "ip": ip,
            "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen_addrs": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}"},
            "internal_port_range": [PEER, PEER + 15], "seeds": [], "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
                       "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
                       "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "recovery_s": 12,
                       "max_hold_ms": MAX_HOLD_MS, "stop_timeout_ms": STOP_MS, "gang_timeout_ms": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
                       "remote_penalty": 3, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500,
                       "migrate_s": 1.5, "maintenance_s": 2, "fencing_enforced": True, "lease_ttl_ms": 3000,
                       "thaw_ms": 300, "pace_ms": 100, "impact_ms": 4000},
            "control_mode": "rpc", "hint": f"{rig.infra}:{HINT}",
            "platform": {"address": f"{rig.infra}:{STORE}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                         "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
            "cloud_api": {"address": f"{rig.infra}:8199", "rate_per_s": 60.0, "duties": [], "duty_per_s": 60.0}}))

    async def start(self):
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/sp-entry", "--metrics_port", "9464", cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp", "LANG": "C.UTF-8",
                     "SYCAMOREPOND_SETTINGS": str(self.file)})
        self.rig.log(self.name, "starts as process", self.process.pid)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.rig.log(self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def ready(self):
        return (await Connection(self.ip, READY).call("GET", "/api/ready", timeout=1.0))[0] == 200

    async def restart_gently(self, pause=0.2):
        """SIGTERM, SIGKILL after grace_s, and a new process with the same settings."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(6.0):
                await self.process.wait()
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.rig.log(self.name, "has ended with", self.process.returncode)
        await asyncio.sleep(pause)
        await self.start()

    async def restart_killed(self, dark):
        self.send(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(dark)
        await self.start()

    async def owns(self):
        """Whether this process acts as owner, by its own status page; it only chooses whom a fault hits."""
        status, answer, _ = await Connection(self.ip, 9464).call("GET", "/status", timeout=1.0)
        return status == 200 and answer["active"]


class Rig:
    """All parts of one play."""

    def __init__(self, folder, seed=1):
        self.here = Path(folder)
        self.log = Record(self.here / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.rng = random.Random(seed)
        self.tasks = []
        self.net = self.free_net()
        self.infra = f"127.{self.net}.1.1"
        self.store = Store(random.Random(seed))
        self.entries, self.minions = [], []
        self.jobs, self.routes_of, self.done, self.started = {}, {}, {}, {}
        self.hinted = set()  # Names of the routes whose steps need a ticket.
        self.seconds = {}  # (job, step) -> work of a task in seconds
        self.version = 0
        self.wrong_life = 0  # Calls that minions answered with 421.

    @staticmethod
    def free_net():
        import socket
        for number in range(20 + os.getpid() % 180, 250):
            with socket.socket() as probe:
                try:
                    probe.bind((f"127.{number}.1.1", STORE))
                    return number
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    def needs_ticket(self, job):
        return self.routes_of[job] in self.hinted

    def work_s(self, job, step):
        return self.seconds.get((job, step), self.jobs[job]["steps"][step].get("estimate_ms", 0) / 1000)

    async def start(self, entries, minions, routes):
        if not (ROOT / "target" / "sp-entry").exists():
            raise CannotRun("target/sp-entry is missing")
        await self.store.start(self.infra, STORE)
        await serve(self.infra, HINT, Advisor(self).handle)
        self.spawn(self.store.expire())
        await self.configure(routes)
        for number, (kind, cpu) in enumerate(minions):
            machine = Machine(f"127.{self.net}.2.{number + 1}")
            self.minions.append(Minion(self, f"i-w{number}", machine, f"m-{number}", kind, cpu))
            await self.minions[-1].start()
        for number in range(entries):
            self.entries.append(Entry(self, number, f"127.{self.net}.0.{10 + number}"))
            await self.entries[-1].start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await entry.ready() for entry in self.entries]) and await self.owner():
                await asyncio.sleep(1.0)
                return
        raise CannotRun("the entry hosts do not get ready")

    async def configure(self, routes):
        """Writes a configuration: rows of name and whether it has a hint."""
        self.version += 3
        rows = []
        for name, hint in routes:
            row = {"name": name, "host": "jobs.test", "prefix": f"/{name}/", "service": "svc", "timeout_ms": 3000,
                   "target_latency_ms": 250, "priority": 0, "max_attempts": 3, "slack_factor": 1.5}
            if hint:
                row["hint"] = {"decision_ms": 20, "per_worker_ms": 0.3, "validity_ms": 2000}
                self.hinted.add(name)
            rows.append(row)
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": rows, "services": [{"name": "svc", "enforce_limits": False}],
            "limits": {"max_body_bytes": 262144}}).encode())
        await self.store.notify()
        self.log("operator: configuration", self.version, "routes", [name for name, _ in routes], "is acknowledged")

    async def owner(self):
        for entry in self.entries:
            if entry.process.returncode is None and await entry.owns():
                return entry
        return None

    async def call(self, entry, method, route, job="", body=None):
        """One request of a client over a connection of its own."""
        connection = Connection(entry.ip, FRONT)
        status, answer, headers = await connection.call(
            method, f"/{route}/{job}", body, {"Host": "jobs.test", "Deadline-Ms": "3000"}, timeout=3.5)
        connection.close()
        retry = headers.get("retry-after")
        self.log("client:", method, f"/{route}/{job}", "at", entry.name, "->", status, json.dumps(answer),
                 f"Retry-After {retry}" if retry else "")
        return status, answer

    async def submit(self, route, job, steps, seconds=None):
        self.jobs[job], self.routes_of[job] = {"spec": "payload of " + job, "steps": steps}, route
        for step, work in (seconds or {}).items():
            self.seconds[(job, step)] = work
        for attempt in range(5):
            status, _ = await self.call(self.entries[attempt % len(self.entries)], "POST", route, job, self.jobs[job])
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job} is not accepted")

    def used_share(self):
        """Share of the service's processors that running tasks take."""
        used = sum(run["step"]["cpu"] for minion in self.minions if minion.up for run in minion.runs.values()
                   if not run["step"].get("fills"))
        return used / max(1, sum(minion.cpu for minion in self.minions if minion.up))

    async def end(self):
        for entry in self.entries:
            entry.send(signal.SIGKILL)
        for entry in self.entries:
            if entry.process:
                await entry.process.wait()
        for task in self.tasks:
            task.cancel()


def play(folder, scenario, seed=1):
    """Runs scenario(rig), which returns None if the rule held or a text that says how it was broken. Exits."""

    async def whole():
        rig = Rig(folder, seed)
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            async with asyncio.timeout(115):
                broken = await scenario(rig)
            rig.log("BROKEN: " + broken if broken else "the rule held")
            return broken, 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as problem:
            rig.log("could not run:", repr(problem))
            return f"could not run: {problem!r}", 2
        finally:
            await rig.end()
            if os.environ.get("KEEP"):
                print("logs in", rig.folder)
            else:
                shutil.rmtree(rig.folder, ignore_errors=True)

    text, code = asyncio.run(whole())
    print(("trouble: " if TROUBLE else "no trouble: ") + (text or "the rule held"))
    sys.exit(code)
