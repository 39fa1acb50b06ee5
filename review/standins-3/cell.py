"""A small cell for the cases of this review: sp-entry processes on loopback, with a store, minions, an advisor and clients.

The store and the HTTP code are those of tests/platform_soak. The minions here follow "Running tasks" of the users'
PROTOCOL.md, with gangs, checkpoints and leases. All addresses are loopback addresses of one free network.
"""
import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform_soak"))
from http_io import Connection, Cut, serve  # noqa: E402
from standins import Store  # noqa: E402

FRONT_PORT, READY_PORT, PEER_PORT, STORE_PORT, ADVISOR_PORT, MINION_PORT = 8161, 8167, 7720, 8190, 8191, 8192
HEARTBEAT_S = 1.5
MEMORY_MB = 260  # Of the limits in the settings.
RESTART_S = 1.0  # After which the platform starts a process again that it has killed.
VALUE_BYTES = 1048576
BOUNDS = {"contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "max_hold_ms": 10000, "stop_timeout_ms": 200, "gang_timeout_ms": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
          "checkpoint_s": 0.5, "restore_ms": 600, "lease_ttl_ms": 3000, "impact_ms": 4000}


def now():
    return time.monotonic()


class BoundedStore(Store):
    """Refuses a value that is longer than `value_bytes` of the settings."""

    def transaction(self, data):
        for put in data.get("puts", []):
            if len(base64.b64decode(put["value"])) > VALUE_BYTES:
                return 400, {"error": "value too long: " + put["key"]}, None
        return super().transaction(data)


class Minion:
    """Runs tasks by the platform's rules. `cell.task_plan(task)` says how long a run works and how it ends."""

    def __init__(self, cell, index):
        self.cell, self.name = cell, f"i-{index:08x}"
        self.machine = f"m-{index:05x}"
        self.ip = f"127.{cell.net}.2.{1 + index}"
        self.address = f"{self.ip}:{MINION_PORT}"
        self.rack = f"r1-{index // 4}"
        self.kind = cell.kinds[index % len(cell.kinds)]
        self.alive = True
        self.sequence = 0
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.began = now()
        self.token = 0
        self.runs = {}  # task -> dict
        self.gone = {}  # task -> highest run stopped or ended here
        self.ends = []
        self.last_end = 0
        self.lease = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((now() - self.began) * 1000) + 1000

    async def start(self):
        self.server = await serve(self.ip, MINION_PORT, self.handle)
        self.cell.tasks += [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def beat(self):
        while True:
            if self.alive and self.cell.store.mode == "ok":
                self.sequence += 1
                self.cell.store.put("servers/" + self.name, json.dumps({
                    "service": "svc", "address": self.address, "zone": "z", "version": "v1", "capacity": 8,
                    "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                    "clock_ms": self.clock(), "machine": self.machine, "labels": [self.kind, self.rack],
                    "free_resources": {"cpu": self.cell.cpu, "mem_mb": 32768, "gpus": 0}}).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, back_after=None):
        """Loses power; its entry goes after three intervals of silence, unless it is back before."""
        self.alive = False
        self.news.set()
        self.cell.record("crash", minion=self.name, tasks=sorted(self.runs))
        for task in list(self.runs):
            self.cell.run_over(self, task, "crash")
        self.runs.clear()
        loop = asyncio.get_running_loop()
        if back_after is None:
            loop.call_later(3 * HEARTBEAT_S, self.cell.store.remove, "servers/" + self.name)
        else:
            loop.call_later(back_after, self.restart)

    def restart(self):
        self.begin_life()
        self.alive = True
        self.cell.record("minion_back", minion=self.name)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.gone[task] = max(self.gone.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, run["saved"]])
        self.cell.run_over(self, task, how, run["run"])
        self.news.set()
        if run["gang"]:
            self.cell.gang_member_ended(run["gang"], self, task, how)

    async def work(self):
        last = now()
        while True:
            await asyncio.sleep(0.02)
            passed, last = now() - last, now()
            for task, run in list(self.runs.items()):
                if task not in self.runs:
                    continue  # Ended with another member of its gang.
                if self.clock() > self.lease:
                    self.end(task, "lapsed")
                    continue
                if run["stops"] and now() >= run["stops"]:
                    self.end(task, "stopped")
                    continue
                if run["gang"] and not self.cell.gang_present(run["gang"]):
                    if now() - run["at"] > BOUNDS["gang_timeout_ms"] / 1000:
                        self.end(task, "alone")
                    continue
                if run["restoring"] > 0:
                    run["restoring"] -= passed
                    continue
                run["worked"] += passed
                plan = run["plan"]
                if run["checkpointing"] and run["worked"] - run["saved_at"] >= BOUNDS["checkpoint_s"]:
                    run["saved_at"] = run["worked"]
                    run["saved"] = f"{int(run['worked'] * 1000):08x}{random.getrandbits(32):08x}"
                    self.cell.checkpoints.setdefault(task, set()).add(run["saved"])
                if plan.get("crash_after") is not None and now() - run["at"] >= plan["crash_after"]:
                    self.crash(plan.get("back_after", 2.0))
                    break
                if not run["lasting"] and run["worked"] >= plan["work_s"]:
                    if run["gang"]:
                        self.cell.gang_done(run["gang"])
                    else:
                        self.end(task, plan.get("ends", "done"))

    async def handle(self, _method, path, headers, body):
        if not self.alive:
            raise Cut()
        life = self.born
        await asyncio.sleep(0.002)
        if not self.alive or self.born != life:
            raise Cut()
        if headers.get("target-instance", self.name) != self.name:
            return 421, None, None
        data = json.loads(body)
        clock = {"clock_ms": self.clock(), "born": self.born}
        if data.get("fencing_token", 0) < self.token:
            return 409, {**clock, "reason": "fence"}, None
        self.token = data.get("fencing_token", 0)
        if path == "/api/run-start":
            return self.start_run(data, clock)
        if path == "/api/run-stop":
            run = self.runs.get(data["task"])
            self.gone[data["task"]] = max(self.gone.get(data["task"], 0), data["run"])
            if run and run["run"] == data["run"] and not run["stops"]:
                run["stops"] = now() + 0.05
            return 200, clock, None
        if path == "/api/pace":
            return 200, clock, None
        return await self.hold(data)

    def start_run(self, data, clock):
        task, number = data["task"], data["run"]
        self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + BOUNDS["max_hold_ms"]))
        held = self.runs.get(task)
        if held and held["run"] == number:
            return 200, clock, None
        if held or number <= self.gone.get(task, 0):
            return 409, {**clock, "reason": "old"}, None
        if data["deadline_ms"] <= self.clock():
            return 409, {**clock, "reason": "late"}, None
        if self.cell.tickets and data.get("ticket") != self.cell.ticket(task.rsplit(".", 1)[0], self):
            self.cell.ticket_refusals += 1
            if self.cell.ticket_refusals <= 100:
                self.cell.record("start_refused", minion=self.name, task=task, run=number, status=409, reason="ticket",
                                 ticket=data.get("ticket"))
            return 409, {**clock, "reason": "ticket"}, None
        job, occurrence, step, _index = task.split(".")
        spec = self.cell.specs[job]["steps"][int(step)]
        gang = (job, occurrence, step, number) if spec.get("gang") else None
        checkpoint = data.get("checkpoint", "")
        worked = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.runs[task] = {"run": number, "at": now(), "stops": 0, "worked": worked, "saved": checkpoint,
                           "saved_at": worked, "restoring": BOUNDS["restore_ms"] / 1000 if checkpoint else 0,
                           "checkpointing": spec.get("checkpointing", False), "gang": gang,
                           "lasting": spec.get("long_running", False), "plan": self.cell.task_plan(task)}
        self.cell.run_began(self, task, number, checkpoint)
        if gang:
            self.cell.gangs.setdefault(gang, {})[task] = self
        return 200, clock, None

    async def hold(self, data):
        if data.get("deadline_ms"):
            self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + BOUNDS["max_hold_ms"]))
        for number, task, run, how, _saved in self.ends:
            if number <= data.get("ack_cursor", 0):
                self.cell.end_noted(task, run, how)
        self.ends = [end for end in self.ends if end[0] > data.get("ack_cursor", 0)]
        if not self.ends and data.get("wait_ms"):
            self.news.clear()
            born = self.born
            try:
                async with asyncio.timeout(data["wait_ms"] / 1000):
                    await self.news.wait()
            except asyncio.TimeoutError:
                pass
            if not self.alive or self.born != born:
                raise Cut()
        rows = [[task, run["run"], run["saved"],
                 100 if run["lasting"] else min(100, int(100 * run["worked"] / run["plan"]["work_s"])), 0]
                for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.ends[:500]}, None


class Host:
    """One sp-entry process, started with the command of the deploy file."""

    def __init__(self, cell, index):
        self.cell, self.index, self.name = cell, index, f"front-{index}"
        self.ip = f"127.{cell.net}.0.{10 + index}"
        self.process = None
        self.ended = []  # Ends of processes that nobody asked for.
        self.wanted = False
        self.memory_kills = 0

    def write_settings(self):
        path = self.cell.folder / (self.name + ".json")
        path.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "front", "serves": ["front"], "ip": self.ip,
            "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen_addrs": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "internal_port_range": [PEER_PORT, PEER_PORT + 15], "seeds": [], "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_MB, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "control_mode": "rpc",
            "hint": f"{self.cell.infra}:{ADVISOR_PORT}",
            "platform": {"address": f"{self.cell.infra}:{STORE_PORT}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "retention_s": 20, "value_bytes": VALUE_BYTES, "min_ttl_ms": 1000}}))
        return path

    async def start(self):
        settings = self.write_settings()
        log = (self.cell.folder / (self.name + ".log")).open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.cell.command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.cell.folder), "LANG": "C.UTF-8",
                 "SYCAMOREPOND_SETTINGS": str(settings)})
        log.close()
        self.wanted = True
        self.cell.tasks.append(asyncio.create_task(self.attend(self.process)))

    async def attend(self, process):
        code = await process.wait()
        if process is self.process and self.wanted and not self.cell.ending:
            self.ended.append(code)
            self.cell.record("process_ended", host=self.name, code=code)

    async def stop(self, number):
        """Sends SIGTERM or SIGKILL and waits for the end; SIGKILL follows after grace_s, as the platform does it."""
        self.wanted = False
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(number)
        try:
            async with asyncio.timeout(BOUNDS["grace_s"]):
                await process.wait()
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()

    async def restart(self, number, pause=0.3):
        self.cell.record("restart", host=self.name, signal=signal.Signals(number).name)
        await self.stop(number)
        await asyncio.sleep(pause)
        await self.start()

    def memory_mb(self):
        """Resident memory now and at its peak."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0, 0
        fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return tuple(int(fields.get(name, "0 kB").split()[0]) // 1024 for name in ("VmRSS", "VmHWM"))

    async def enforce_memory(self):
        """Does what the platform does with a process that exceeds its memory: kills it, and starts it again."""
        while True:
            await asyncio.sleep(0.05)
            if not self.wanted or self.memory_mb()[0] <= MEMORY_MB:
                continue
            self.memory_kills += 1
            self.cell.record("killed_for_memory", host=self.name, resident_mb=self.memory_mb()[0])
            await self.stop(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            await self.start()

    async def ready(self):
        connection = Connection(self.ip, READY_PORT)
        status, _, _ = await connection.call("GET", "/api/ready", timeout=1.0)
        connection.close()
        return status == 200


class Cell:
    """Processes and stand-ins of one run, with a record of what was sent, answered and run."""

    def __init__(self, case_folder, hosts=3, minions=8, cpu=16000, tickets=False, kinds=("a",)):
        self.case = Path(case_folder)
        self.out = (self.case / "record.txt").open("w")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.cpu, self.tickets, self.kinds = cpu, tickets, kinds
        self.began = now()
        self.ending = False
        self.tasks = []
        self.net = self.free_net()
        self.infra = f"127.{self.net}.1.1"
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.command = shlex.split(tomllib.load(file)["roles"]["entry"]["run"])
        self.store = BoundedStore(random.Random(1))
        self.hosts = [Host(self, index) for index in range(hosts)]
        self.minions = [Minion(self, index) for index in range(minions)]
        self.specs = {}  # job -> body of its submission
        self.starts = []  # (time, task, run, minion, checkpoint)
        self.running = {}  # task -> set of (minion, run)
        self.ends = {}  # task -> list of (run, how)
        self.noted = {}  # task -> list of (run, how) that ack_cursor has reached
        self.checkpoints = {}  # task -> values that it has saved
        self.gangs = {}  # (job, occurrence, step, run) -> {task: minion}
        self.crashes = {}  # task -> number of minions that crashed while it ran there
        self.version = itertools.count(3, 4)
        self.plans = {}
        self.ticket_refusals = 0

    @staticmethod
    def free_net():
        for net in random.sample(range(20, 220), 200):
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.0.10", PEER_PORT))
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.1.1", STORE_PORT))
                return net
            except OSError:
                continue
        sys.exit(2)

    def record(self, event, **fields):
        self.out.write(f"{now() - self.began:8.3f} {event} " + json.dumps(fields) + "\n")
        self.out.flush()

    # What the minions report to the record.

    def task_plan(self, task):
        return self.plans.get(task.split(".")[0], {"work_s": 0.5})

    def run_began(self, minion, task, run, checkpoint):
        self.starts.append((now(), task, run, minion.name, checkpoint))
        self.running.setdefault(task, set()).add((minion.name, run))
        self.record("start", minion=minion.name, task=task, run=run, checkpoint=checkpoint)

    def run_over(self, minion, task, how, run=None):
        self.running.get(task, set()).difference_update({each for each in self.running.get(task, set())
                                                         if each[0] == minion.name})
        if how == "crash":
            self.crashes[task] = self.crashes.get(task, 0) + 1
        else:
            self.ends.setdefault(task, []).append((run, how))
            self.record("end", minion=minion.name, task=task, run=run, how=how)

    def end_noted(self, task, run, how):
        self.noted.setdefault(task, []).append((run, how))

    def gang_size(self, gang):
        return self.specs[gang[0]]["steps"][int(gang[2])]["task_count"]

    def gang_present(self, gang):
        members = self.gangs.get(gang, {})
        return len(members) == self.gang_size(gang) and all(
            minion.alive and task in minion.runs and minion.runs[task]["run"] == gang[3]
            for task, minion in members.items())

    def gang_done(self, gang):
        for task, minion in self.gangs[gang].items():
            minion.runs[task]["gang"] = None
            minion.end(task, "done")

    def gang_member_ended(self, gang, ended_on, ended_task, how):
        """The others end `broken` shortly after; they notice a lost member in the same way."""
        for task, minion in self.gangs.get(gang, {}).items():
            run = minion.runs.get(task)
            if task != ended_task and run and run["run"] == gang[3]:
                run["gang"] = None
                minion.end(task, "broken")

    def ticket(self, step, minion):
        return f"{step}@{minion.name}@{minion.born}"

    async def advise(self, _method, _path, _headers, body):
        data = json.loads(body)
        await asyncio.sleep(0.02 + 0.0003 * len(data["workers"]))
        known = {minion.name: minion for minion in self.minions}
        return 200, {"allowed": [[worker, self.ticket(data["step"], known[worker])] for worker in data["workers"]
                                 if worker in known]}, None

    # The operator and the clients.

    def write_config(self, routes, tenants=None):
        version = next(self.version)
        for route in routes:
            route.setdefault("kind", "non_idempotent")
            route.setdefault("timeout_ms", 3000)
        self.store.put("op/config", json.dumps({
            "version": version, "routes": routes, **({"tenants": tenants} if tenants else {}),
            "services": [{"name": "svc", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                          "enforce_limits": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}).encode())
        self.record("config", version=version, routes=[route["name"] for route in routes])

    async def call(self, method, path, body=None, host=None, key=None, quiet=False):
        """One call of a client over a new connection. Status 0 or -1: no answer."""
        host = host or random.choice([each for each in self.hosts if each.wanted] or self.hosts)
        connection = Connection(host.ip, FRONT_PORT)
        sent = now()
        headers = {"Host": "jobs.example", "Deadline-Ms": "3000", **({"Authorization": "Bearer " + key} if key else {})}
        status, answer, _ = await connection.call(method, path, body, headers, timeout=3.2)
        connection.close()
        if not quiet:
            self.record("call", method=method, path=path, host=host.name, status=status, answer=answer,
                        took_ms=int(1000 * (now() - sent)))
        return status, answer

    async def submit(self, prefix, job, body, plan, tries=4, key=None):
        """Hands a job in, and repeats it after no answer, 502 or 504, or a refusal. Returns whether it was accepted."""
        self.specs[job] = body
        self.plans[job] = plan
        for _ in range(tries):
            status, _ = await self.call("POST", prefix + job, body, key=key)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def wait_for(self, condition, limit_s):
        """Waits until a coroutine function returns true; false after the limit."""
        ends = now() + limit_s
        while now() < ends:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def start(self, routes, tenants=None):
        await self.store.start(self.infra, STORE_PORT)
        await serve(self.infra, ADVISOR_PORT, self.advise)
        self.tasks.append(asyncio.create_task(self.store.expire()))
        for minion in self.minions:
            await minion.start()
        self.write_config(routes, tenants)
        for host in self.hosts:
            await host.start()
            self.tasks.append(asyncio.create_task(host.enforce_memory()))

        async def all_ready():
            return all([await host.ready() for host in self.hosts])
        if not await self.wait_for(all_ready, 10):
            raise RuntimeError("the hosts did not become ready")
        await asyncio.sleep(2.0)

    async def close(self):
        self.ending = True
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for task in self.tasks:
            task.cancel()
        self.record("refused_for_want_of_a_ticket", starts=self.ticket_refusals)
        if os.environ.get("KEEP") != "1":  # Settings and logs of the hosts.
            shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def run_case(case_folder, scenario, **options):
    """Runs scenario(cell) -> list of broken rules. Exits with 1 if there is one, 0 if none, 2 if it could not run."""
    async def whole():
        cell = Cell(case_folder, **options)
        try:
            async with asyncio.timeout(115):
                broken = await scenario(cell)
        except Exception as error:  # The case could not run.
            cell.record("could_not_run", reason=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            await cell.close()
        for text in broken:
            print("BROKEN", text)
        with (Path(case_folder) / "record.txt").open("a") as out:
            out.write("".join(f"BROKEN {text}\n" for text in broken) or "HELD\n")
        return 1 if broken else 0

    if not (ROOT / "target" / "sp-entry").exists():
        print("target/sp-entry is not built")
        sys.exit(2)
    sys.exit(asyncio.run(whole()))
