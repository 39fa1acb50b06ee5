"""A small deployment on loopback: sp-entry processes, a store, an advisor and minions, with a record of all they see.

The store and the HTTP code are the stand-ins of tests/platform_soak. The minions are those of this file; they do what
PROTOCOL.md says of them and write each start, stop and end to the record.
"""
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform_soak"))
from http_io import Connection, serve  # noqa: E402
from standins import Store  # noqa: E402

FRONT, READY, CONTROL, PEER, STORE, ADVISOR, MINION = 8161, 8167, 8166, 7720, 8169, 8170, 8180
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of sites/crpud-kits.toml, as its settings files have them.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
          "outer_ms": 5000, "recovery_s": 12, "max_hold_ms": 10000, "stop_timeout_ms": 200, "gang_timeout_ms": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
          "remote_penalty": 3, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500, "migrate_s": 1.5,
          "maintenance_s": 2, "fencing_enforced": True, "lease_ttl_ms": 3000, "thaw_ms": 300, "pace_ms": 100,
          "impact_ms": 4000}


class CannotRun(Exception):
    """The case could not be played; nothing is known of the rule."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = path.open("w")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Gang:
    """Present members of one run of a gang."""

    def __init__(self, size):
        self.size, self.members, self.done = size, {}, 0.0


class World:
    """What the minions of a deployment share: jobs as submitted, gangs, all starts and ends."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}  # ID -> body of its POST
        self.work_ms = {}  # (ID, STEP) -> work of one task
        self.gangs = {}  # (ID.K.STEP, run) -> Gang
        self.starts = []  # (time, task, run, minion, checkpoint)
        self.ends = []  # dict with time, task, run, minion, number, how, acked (time or None)
        self.crashes = []  # (time, minion, tasks that it ran)
        self.tickets = None  # ticket check: (minion, step, ticket) -> bool

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]


class Minion:
    """One minion in rpc mode. Its clock starts anew with each life."""

    def __init__(self, world, store, ident, ip, zone, cpu=16000, mem=32768, service="kit-desk", labels=("a", "r1")):
        self.world, self.store, self.record = world, store, world.record
        self.ident, self.ip, self.zone, self.cpu, self.mem = ident, ip, zone, cpu, mem
        self.service, self.labels = service, list(labels)
        self.machine = "machine-" + ident
        self.speed = 1.0  # Share of the usual speed.
        self.draining = False
        self.fail = set()  # (ID, STEP): tasks that end `failed`
        self.sequence = 0
        self.alive = True
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.token, self.lease = 0, 0
        self.runs, self.gone, self.ends, self.last_end = {}, {}, [], 0
        self.news = asyncio.Event()

    def clock(self):
        return 100000 + int((time.monotonic() - self.born_at) * 1000)

    async def start(self):
        self.server = await serve(self.ip, MINION, self.handle)

    async def answerable(self):
        """Goes on while the minion is up; a crashed one never answers."""
        while not self.alive:
            await asyncio.sleep(3600)

    def entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.ip}:{MINION}", "zone": self.zone, "version": "v1",
                 "capacity": 8, "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
                 "sequence": self.sequence, "born": self.born, "machine": self.machine, "labels": self.labels,
                 "free_resources": {"cpu": self.cpu, "mem_mb": self.mem, "gpus": 0}}
        if self.draining:
            entry["remaining_ms"] = BOUNDS["drain_ms"]
        return entry

    async def beat(self):
        while True:
            if self.alive and self.store.mode == "ok":
                self.store.put("servers/" + self.ident, json.dumps(self.entry()).encode())
            await asyncio.sleep(1.5)

    def crash(self):
        """Falls silent and forgets everything; its entry goes after three heartbeat intervals."""
        self.record(f"minion {self.ident} crashes, with it {sorted(self.runs)}")
        self.alive = False
        self.world.crashes.append((self.record.now(), self.ident, sorted(self.runs)))
        asyncio.get_running_loop().call_later(3 * 1.5, self.store.remove, "servers/" + self.ident)
        for task in list(self.runs):
            self.leave_gang(task)
        self.runs.clear()

    def leave_gang(self, task, how="broken"):
        """Takes a run out of its gang; the others of that run end as broken."""
        run = self.runs[task]
        gang = run.get("gang")
        if gang is None or gang.members.get(task) is not self:
            return
        del gang.members[task]
        if how == "broken":
            for other, minion in list(gang.members.items()):
                del gang.members[other]
                if other in minion.runs:
                    minion.end(other, "broken")

    def end(self, task, how):
        run = self.runs[task]
        if how in ("failed", "stopped", "lapsed", "alone"):
            self.leave_gang(task)
        self.runs.pop(task)
        self.gone[task] = max(self.gone.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, run["saved"] if how != "done" else ""])
        self.world.ends.append({"at": self.record.now(), "task": task, "run": run["run"], "minion": self.ident,
                                "number": self.last_end, "how": how, "acked": None, "life": self.born})
        self.record(f"minion {self.ident}: {task} run {run['run']} ends {how} (end {self.last_end})")
        self.news.set()

    async def work(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            passed, last = (time.monotonic() - last) * 1000, time.monotonic()
            for task in list(self.runs):
                if self.alive and task in self.runs:
                    self.advance(task, self.runs[task], passed)

    def advance(self, task, run, passed):
        if self.clock() > self.lease:
            self.end(task, "lapsed")
            return
        if run["stops"] and time.monotonic() >= run["stops"]:
            self.end(task, "stopped")
            return
        gang = run.get("gang")
        if gang is not None and len(gang.members) < gang.size and not run["together"]:
            if (time.monotonic() - run["at"]) * 1000 > BOUNDS["gang_timeout_ms"]:
                self.end(task, "alone")
            return
        run["together"] = True
        if run["restores"] > 0:
            run["restores"] -= passed
            return
        run["done"] += passed * self.speed * run["pace"] / 100
        if run["saves"] and run["done"] - run["last_saved"] >= BOUNDS["checkpoint_s"] * 1000:
            run["last_saved"] = run["done"]
            job, occurrence, step, _ = task.split(".")
            run["saved"] = self.world.checkpoint(f"{job}.{occurrence}.{step}", task, run["done"])
        if run["lasting"] or run["done"] < run["needs"]:
            return
        if (task.split(".")[0], int(task.split(".")[2])) in self.fail:
            self.end(task, "failed")
        elif gang is None:
            self.end(task, "done")
        else:  # One end represents all members.
            for other, minion in list(gang.members.items()):
                if other != task and other in minion.runs:
                    minion.runs.pop(other)
                    minion.gone[other] = max(minion.gone.get(other, 0), run["run"])
            gang.members.clear()
            self.end(task, "done")

    async def handle(self, _method, path, headers, body):
        await asyncio.sleep(0.001)
        await self.answerable()
        if headers.get("target-instance", self.ident) != self.ident:
            return 421, {}, None
        data = json.loads(body)
        clock = {"clock_ms": self.clock(), "born": self.born}
        if data.get("fencing_token", 0) < self.token:
            return 409, {**clock, "reason": "fence"}, None
        self.token = data.get("fencing_token", 0)
        if path == "/api/run-start":
            status, reason = self.start_run(data)
            self.record(f"minion {self.ident}: run-start {data['task']} run {data['run']} token {self.token}"
                        f" checkpoint '{data.get('checkpoint', '')}' -> {status} {reason}")
            return status, {**clock, "reason": reason} if reason else clock, None
        if path == "/api/run-stop":
            run = self.runs.get(data["task"])
            if run and run["run"] == data["run"] and not run["stops"]:
                run["stops"] = time.monotonic() + random.uniform(0.01, BOUNDS["stop_timeout_ms"] / 1000 - 0.02)
            elif not run:
                self.gone[data["task"]] = max(self.gone.get(data["task"], 0), data["run"])
            self.record(f"minion {self.ident}: run-stop {data['task']} run {data['run']} -> 200")
            return 200, clock, None
        if path == "/api/pace":
            if (run := self.runs.get(data["task"])) and run["run"] == data["run"]:
                run["pace"] = data["percent"]
            return 200, clock, None
        if path == "/api/hold":
            return await self.hold(data)
        return 404, {}, None

    def start_run(self, data):
        task, number = data["task"], data["run"]
        self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + BOUNDS["max_hold_ms"]))
        held = self.runs.get(task)
        if held and held["run"] == number:
            return 200, ""
        if held or number <= self.gone.get(task, 0):
            return 409, "old"
        if data["deadline_ms"] <= self.clock():
            return 409, "late"
        job, occurrence, step, index = task.split(".")
        if job not in self.world.jobs:
            return 400, ""
        if self.world.tickets and not self.world.tickets(self, f"{job}.{occurrence}.{step}", data.get("ticket", "")):
            return 409, "ticket"
        asks = self.world.step_of(task)
        saved = data.get("checkpoint", "")
        run = {"run": number, "asks": asks, "stops": 0, "at": time.monotonic(), "pace": 100, "together": False,
               "done": self.world.progress(saved), "needs": self.world.work_ms[(job, int(step))],
               "lasting": asks.get("long_running", False), "saves": asks.get("checkpointing", False),
               "saved": saved, "last_saved": self.world.progress(saved),
               "restores": BOUNDS["restore_ms"] if saved else 0}
        if asks.get("gang"):
            # Members that resume from different checkpoints are not of one state: they wait for the others.
            key = (f"{job}.{occurrence}.{step}", number, saved)
            run["gang"] = self.world.gangs.setdefault(key, Gang(asks["task_count"]))
            run["gang"].members[task] = self
        self.runs[task] = run
        self.world.starts.append((self.record.now(), task, number, self.ident, saved))
        return 200, ""

    async def hold(self, data):
        if data.get("deadline_ms"):
            self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + BOUNDS["max_hold_ms"]))
        cursor = data.get("ack_cursor", 0)
        for end in self.world.ends:
            if end["minion"] == self.ident and end["life"] == self.born and end["number"] <= cursor and not end["acked"]:
                end["acked"] = self.record.now()
                self.record(f"minion {self.ident}: end {end['number']} ({end['task']} {end['how']}) is taken note of")
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and data.get("wait_ms"):
            self.news.clear()
            try:
                async with asyncio.timeout(data["wait_ms"] / 1000):
                    await self.news.wait()
            except asyncio.TimeoutError:
                pass
        await self.answerable()
        rows = [[task, run["run"], run["saved"],
                 100 if run["lasting"] else min(99, int(100 * run["done"] / run["needs"])), run["asks"].get("cpu", 0)]
                for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.ends[:500]}, None


class Advisor:
    """Allows two minions in three for a step, always the same ones, by tickets with a limited validity."""

    decision_ms, per_worker_ms, validity_ms = 19, 0.28, 2000

    def __init__(self, world):
        self.world, self.tickets, self.busy = world, {}, asyncio.Lock()

    async def start(self, ip):
        self.server = await serve(ip, ADVISOR, self.handle)
        self.world.tickets = self.valid

    async def handle(self, _method, _path, _headers, body):
        data = json.loads(body)
        async with self.busy:
            await asyncio.sleep((self.decision_ms + self.per_worker_ms * len(data["workers"])) / 1000)
        allowed = []
        for worker in data["workers"]:
            if sum((data["step"] + worker).encode()) % 3 > 0:
                ticket = f"t{len(self.tickets)}"
                self.tickets[ticket] = (data["step"], worker, time.monotonic() + self.validity_ms / 1000)
                allowed.append([worker, ticket])
        return 200, {"allowed": allowed}, None

    def valid(self, minion, step, ticket):
        known = self.tickets.get(ticket)
        return bool(known) and known[:2] == (step, minion.ident) and time.monotonic() < known[2]


class Entry:
    """One sp-entry process, started as the deploy file says."""

    def __init__(self, cell, index):
        self.cell, self.index = cell, index
        self.name, self.ip = f"front-{index}", f"127.{cell.net}.0.{10 + index}"
        self.zone = cell.zones[index % len(cell.zones)]
        self.process = None
        cell.folder.joinpath(self.name + ".json").write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "front", "serves": ["front"], "ip": self.ip,
            "zone": self.zone, "region": "r", "zones": {zone: "r" for zone in cell.zones},
            "listen_addrs": {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}",
                             "control": f"{self.ip}:{CONTROL}"},
            "internal_port_range": [PEER, PEER + 15], "seeds": [f"127.{cell.net}.0.10:{CONTROL}"], "bootstrap": True,
            "in_tolerance": False, "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                                              "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep",
                          "sharing"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "control_mode": "rpc",
            "hint": f"{cell.infra}:{ADVISOR}",
            "platform": {"address": f"{cell.infra}:{STORE}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                         "retention_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
            "cloud_api": {"address": f"{cell.infra}:{STORE}", "rate_per_s": 60.0, "duties": [], "duty_per_s": 60.0}}))

    async def start(self):
        log = self.cell.folder.joinpath(self.name + ".log").open("ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["SYCAMOREPOND_SETTINGS"] = str(self.cell.folder / (self.name + ".json"))
        self.process = await asyncio.create_subprocess_exec(
            "target/sp-entry", "--metrics_port", "9464", stdout=log, stderr=log, cwd=ROOT, env=env)
        log.close()
        self.cell.record(f"{self.name} is started")

    async def stop(self, number=signal.SIGTERM):
        """Ends the process as the platform does: SIGKILL if it outlives grace_s."""
        if self.process.returncode is None:
            self.cell.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)
        try:
            async with asyncio.timeout(BOUNDS["grace_s"]):
                await self.process.wait()
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.cell.record(f"{self.name} has ended")


class Cell:
    """The whole deployment."""

    zones = ["pnw-west-a", "pnw-west-b", "pnw-west-c"]

    def __init__(self, case, entries=3, minions=6, advised=False, sizes=(1.0, 1.0, 0.5, 2.0)):
        self.advised = advised
        self.folder = Path(tempfile.mkdtemp(prefix="sp-review-"))
        self.record = Record(Path(case) / "record.txt")
        self.record(f"trouble {TROUBLE}")
        self.net = self.free_net()
        self.infra = f"127.{self.net}.1.1"
        self.store = Store(random.Random(1))
        self.world = World(self.record)
        self.world.checkpoint = lambda step, task, done: f"{step}@{int(done)}"
        self.world.progress = lambda saved: int(saved.rpartition("@")[2]) if saved else 0
        self.entries = [Entry(self, index) for index in range(entries)]
        # As in sites/crpud-kits.toml: by default 1.0, 1.0, 0.5 and 2.0 times 16 cores and 32 GB.
        self.minions = [self.minion(f"mn{index}", index, cpu=int(16000 * sizes[index % len(sizes)]),
                                    mem=int(32768 * sizes[index % len(sizes)])) for index in range(minions)]
        self.tasks, self.version = [], 0

    def minion(self, ident, index, **more):
        return Minion(self.world, self.store, ident, f"127.{self.net}.2.{1 + index}", self.zones[index % 3], **more)

    @staticmethod
    def free_net():
        for _ in range(50):
            net = random.randrange(20, 220)
            try:
                for address in (f"127.{net}.1.1", f"127.{net}.0.10", f"127.{net}.2.1"):
                    for port in (STORE, FRONT, MINION, 9464):
                        with socket.socket() as probe:
                            probe.bind((address, port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def put(self, key, value):
        """Writes an entry as a minion or another writer does."""
        self.store.put(key, json.dumps(value).encode())

    def configure(self, routes, services=("kit-desk",)):
        """The operator writes a configuration."""
        self.version += 3
        self.record(f"operator writes version {self.version}: routes {[route['name'] for route in routes]}")
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes, "limits": {"max_body_bytes": 262144},
            "services": [{"name": name, "enforce_limits": False} for name in services]}).encode())

    async def start(self):
        await self.store.start(self.infra, STORE)
        if self.advised:
            await Advisor(self.world).start(self.infra)
        for minion in self.minions:
            await self.add_minion(minion)
        self.tasks.append(asyncio.create_task(self.store.expire()))
        for entry in self.entries:
            await entry.start()

    async def add_minion(self, minion):
        await minion.start()
        self.tasks += [asyncio.create_task(minion.beat()), asyncio.create_task(minion.work())]

    async def ready(self, seconds=10):
        """Waits until all entry hosts are ready."""
        ends = time.monotonic() + seconds
        for entry in self.entries:
            while True:
                status, _, _ = await Connection(entry.ip, READY).call("GET", "/api/ready", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > ends:
                    raise CannotRun(f"{entry.name} does not get ready")
                await asyncio.sleep(0.1)

    async def call(self, method, path, body=None, entry=None, quiet=False):
        """One call of a client over a new connection. Returns status and answer."""
        entry = entry or random.choice(self.entries)
        connection = Connection(entry.ip, FRONT)
        status, answer, _ = await connection.call(
            method, path, body, {"Host": "kits.example", "Deadline-Ms": "3000", "Content-Type": "application/json"},
            timeout=3.2)
        connection.close()
        if not quiet:
            self.record(f"client: {method} {path} at {entry.name} -> {status} {answer}")
        return status, answer

    async def submit(self, prefix, job, body, work_ms):
        """Hands a job in until it is accepted, as a client does. work_ms: work of a task of each step."""
        self.world.jobs[job] = body
        for step, work in enumerate(work_ms):
            self.world.work_ms[(job, step)] = work
        self.record(f"client: job {job} is {json.dumps(body)}")
        for _ in range(8):
            status, _ = await self.call("POST", prefix + job, body)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.7)
        raise CannotRun(f"job {job} is not accepted")

    async def end(self):
        for entry in self.entries:
            if entry.process and entry.process.returncode is None:
                entry.process.kill()
                await entry.process.wait()
            entry_ended = entry.process.returncode if entry.process else None
            self.record(f"{entry.name} is ended ({entry_ended})")
        for task in self.tasks:
            task.cancel()


HINT = {"decision_ms": Advisor.decision_ms, "per_worker_ms": Advisor.per_worker_ms,
        "validity_ms": Advisor.validity_ms}


def route(name="kits", prefix="/kits/", service="kit-desk", **more):
    return {"name": name, "host": "kits.example", "prefix": prefix, "service": service, "timeout_ms": 3000,
            "target_latency_ms": 250, "priority": 0, "max_attempts": 2, "slack_factor": 1.5, **more}


def twice(world):
    """Starts that break TWICE: beside another run of the task, or after an end `done` that was ever taken note of."""
    broken = []
    for end in world.ends:
        if end["how"] != "done" or not end["acked"]:
            continue
        for at, task, run, minion, _ in world.starts:
            if task == end["task"] and at > end["at"]:
                broken.append(f"TWICE: {task} run {run} starts on {minion} at {at:.3f}, after run {end['run']} ended done "
                              f"on {end['minion']} at {end['at']:.3f}, taken note of at {end['acked']:.3f}")
    over = {(end["task"], end["run"], end["minion"]): end["at"] for end in world.ends}
    for at, task, run, minion, _ in world.starts:
        for other_at, other, other_run, other_minion, _ in world.starts:
            if other == task and (other_run, other_minion) != (run, minion) and other_at <= at:
                if over.get((task, other_run, other_minion), 1e9) > at:
                    broken.append(f"TWICE: {task} run {run} starts on {minion} at {at:.3f} beside run {other_run} on "
                                  f"{other_minion}, which started at {other_at:.3f}")
    return broken


def run_case(play, case, **size):
    """Plays a case. play(cell) returns a list of broken rules. Exits with 0, 1 or 2."""

    async def whole():
        cell = Cell(case, **size)
        try:
            async with asyncio.timeout(110):
                await cell.start()
                broken = await play(cell)
        except Exception as problem:  # Whatever goes wrong here says nothing of the rule.
            cell.record(f"could not run: {problem!r}")
            print(f"could not run: {problem!r}")
            return 2
        finally:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            await cell.end()
        for text in broken:
            cell.record(text)
        print("\n".join(broken[:10]) or "held")
        print(f"logs of the processes: {cell.folder}")
        return 1 if broken else 0

    loop = asyncio.new_event_loop()
    status = loop.run_until_complete(whole())
    sys.stdout.flush()
    os._exit(status)  # Open connections of the stand-ins are no matter of the case.
