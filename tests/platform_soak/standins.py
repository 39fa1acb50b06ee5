"""Stand-ins of the platform for the soak: key-value store, targets and advisor, with the checks that a target can make."""
import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_io import Cut, serve


RESIZE_KNOWN_S = 6.0  # A beat, the longest fault on the way to the store, and a list.


def now():
    return time.monotonic()


class Store:
    """Linearizable keys with revisions, leases and watches."""

    def __init__(self, rng):
        self.rng = rng
        self.items = {}  # key -> dict
        self.history = []  # events
        self.revision = 1
        self.leases = {}  # id -> [ttl, ends]
        self.next_lease = itertools.count(1000)
        self.changed = asyncio.Condition()
        self.mode = "ok"  # ok, refuse, down, slow, lose
        self.compacted = 0

    async def start(self, host, port):
        self.server = await serve(host, port, self.handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        """Ends leases; runs for ever. While the store is down leases pause."""
        while True:
            await asyncio.sleep(0.02)
            if self.mode in ("down", "refuse"):
                for lease in self.leases.values():
                    lease[1] += 0.02
                continue
            for lease in [each for each, (_, ends) in self.leases.items() if ends < now()]:
                self.end_lease(lease)
            await self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def compact(self):
        self.compacted = self.revision
        self.history = []

    async def handle(self, method, target, _headers, body):
        if self.mode == "down":
            raise Cut()
        if self.mode == "refuse":
            return 503, {"error": "down"}, None
        await asyncio.sleep(0.12 if self.mode == "slow" else 0.004)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        data = json.loads(body) if body else {}
        if url.path == "/api/kv-watch":
            return await self.watch(query)
        answer = self.act(method, url.path, query, data)
        await self.notify()
        if self.mode == "lose" and method == "POST" and self.rng.random() < 0.3:
            raise Cut()
        return answer

    def act(self, method, path, query, data):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}, None) if item else (404, {"as_of": self.revision}, None)
        if path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                         "as_of": self.revision}, None
        if path == "/api/kv-txn":
            return self.transaction(data)
        if path == "/api/kv-lease":
            lease = next(self.next_lease)
            self.leases[lease] = [data["ttl_ms"] / 1000, now() + data["ttl_ms"] / 1000]
            return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}, None
        name, _, number = path.rpartition("/")
        if name == "/api/kv-keep":
            lease = self.leases.get(int(number))
            if not lease:
                return 404, {}, None
            lease[1] = now() + lease[0]
            return 200, {}, None
        if name == "/api/kv-lease-end" and method == "DELETE":
            self.end_lease(int(number))
            return 200, {}, None
        return 400, {"error": path}, None

    def transaction(self, data):
        rows = data.get("precondition", [])
        puts, removals = data.get("puts", []), data.get("remove", [])
        if len(rows) + len(puts) + len(removals) > 32:
            return 400, {"error": "too many entries"}, None
        if any(self.items.get(row["key"], {}).get("revision", 0) != row["revision"] for row in rows):
            return 412, {"items": [self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in rows]}, None
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}, None
        first = self.revision
        for put in puts:
            self.revision = first  # All changes of a transaction have one revision.
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in removals:
            self.revision = first
            self.remove(key)
        self.revision = first + 1
        return 200, {"revision": self.revision}, None

    async def watch(self, query):
        prefix, after, ends = query["prefix"], int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted:
                return 410, {}, None
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            if events or now() >= ends:
                return 200, {"events": events, "as_of": self.revision}, None
            async with self.changed:
                try:
                    async with asyncio.timeout(max(0.01, ends - now())):
                        await self.changed.wait()
                except asyncio.TimeoutError:
                    pass


class Audit:
    """What all targets and clients have seen, and where it breaks a promise."""

    def __init__(self):
        self.specs = {}  # job -> spec as submitted
        self.refused = set()  # jobs all of whose attempts were refused
        self.running = {}  # task -> set of targets
        self.done = {}  # task -> True once an end `done` was acknowledged
        self.done_seen = set()  # tasks that have ended `done` anywhere
        self.ended = {}  # job -> time at which it was shown as ended
        self.deadly = set()  # jobs whose first task crashes each target that starts it
        self.odd = {}  # job -> what is odd about it, see odd_jobs.py
        self.crashes = {}  # task -> targets that crashed while they ran it
        self.failures = {}  # task -> ends `failed`
        self.starts_after_crashes = {}  # task -> starts after the third crash
        self.starts = 0
        self.accounts = {}  # job -> account that submitted it
        self.maximum = {}  # account -> highest maximum of all configurations, as (cpu, mem_mb)
        self.used = {}  # account -> what its runs hold on all targets
        self.violations = []

    def broken(self, text):
        self.violations.append(text)

    def hold(self, task, asks, sign):
        """Adds a run to what its account holds, or takes it off. Returns what the account holds now."""
        account = self.accounts.get(task.split(".")[0])
        self.used[account] = tuple(u + sign * a for u, a in zip(self.used.get(account, (0, 0)), asks))
        return account, self.used[account]

    def check_quota(self, task, name, asks):
        """A start may exceed the maximum by a tenth and one task."""
        account, used = self.hold(task, asks, 1)
        for field, value, maximum, own in zip(("cpu", "mem_mb"), used, self.maximum.get(account, ()), asks):
            if value > maximum * 1.1 + own:
                self.broken(f"QUOTA: {task} on {name}: {account} holds {value} of {maximum} {field}")


class Target:
    """Runs tasks by the platform's rules."""

    def __init__(self, name, rng, audit, store, address, capacity):
        self.name, self.rng, self.audit, self.store, self.address = name, rng, audit, store, address
        self.machine = "m-" + name
        self.capacity = capacity  # cpu, mem_mb
        self.former_capacity, self.resized = capacity, 0  # What the owner may still believe, and since when it is wrong.
        self.draining = False
        self.sequence = 0
        self.alive = True
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.began = now()
        self.token = 0
        self.runs = {}  # task -> dict
        self.gone = {}  # task -> highest run stopped or ended
        self.ends = []
        self.last_end = 0
        self.lease = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((now() - self.began) * 1000) + 1000

    async def start(self, host, port):
        self.server = await serve(host, port, self.handle)

    async def beat(self):
        while True:
            if self.alive and self.store.mode in ("ok", "slow", "lose"):
                self.sequence += 1
                entry = {"service": "svc", "address": self.address, "zone": "z", "version": "v1", "capacity": 8,
                         "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
                         "sequence": self.sequence, "born": self.born, "machine": self.machine,
                         "free_resources": {"cpu": self.capacity[0], "mem_mb": self.capacity[1], "gpus": 0},
                         "labels": ["a", "r-" + self.name[-1]]}
                if self.draining:
                    entry["remaining_ms"] = 2000
                self.store.put("servers/" + self.name, json.dumps(entry).encode())
            await asyncio.sleep(0.5)

    def resize(self, capacity):
        recent = now() - self.resized < RESIZE_KNOWN_S
        self.former_capacity = tuple(map(max, self.capacity, self.former_capacity)) if recent else self.capacity
        self.capacity, self.resized = capacity, now()

    def crash(self, entry_stays=False):
        self.alive = False
        self.news.set()
        for task in list(self.runs):
            self.audit.crashes[task] = self.audit.crashes.get(task, 0) + 1
            self.forget(task)
        if not entry_stays:
            self.store.remove("servers/" + self.name)

    def replace(self):
        """Another life of the machine serves at the address, under an id of its own; the former entry stays for a while."""
        if self.alive:  # Another fault has ended the same outage.
            return
        asyncio.get_running_loop().call_later(4.5, self.store.remove, "servers/" + self.name)
        self.name += "'"
        self.restart()

    def crash_by(self, task):
        """Crashes because of a task that has just started, and is back after some seconds."""
        if self.alive and task in self.runs:
            self.crash()
            asyncio.get_running_loop().call_later(self.rng.uniform(1, 4), self.restart)

    def restart(self):
        if self.alive:  # Another fault has ended the same outage.
            return
        self.begin_life()
        self.draining = False
        self.alive = True

    def forget(self, task):
        self.audit.hold(task, self.runs.pop(task)["asks"], -1)
        self.audit.running.get(task, set()).discard(self.name)

    def end(self, task, how):
        run = self.runs[task]
        self.forget(task)
        self.gone[task] = max(self.gone.get(task, 0), run["run"])
        self.last_end += 1
        if how == "done":
            self.audit.done_seen.add(task)
        elif how == "failed":
            self.audit.failures[task] = self.audit.failures.get(task, 0) + 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.news.set()

    async def work(self):
        """Moves time on: leases, ends of runs."""
        while True:
            await asyncio.sleep(0.01)
            for task, run in list(self.runs.items()):
                if self.clock() > self.lease:
                    self.end(task, "lapsed")
                elif run["stops"] and now() >= run["stops"]:
                    self.end(task, "stopped")
                elif not run["lasting"] and now() >= run["ends"]:
                    self.end(task, "failed" if run["fails"] else "done")

    async def handle(self, _method, path, headers, body):
        if not self.alive:
            raise Cut()
        life = self.born
        await asyncio.sleep(0.002)
        if not self.alive or self.born != life:  # Crashed meanwhile.
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
                run["stops"] = now() + self.rng.uniform(0.01, 0.2)
            return 200, clock, None
        if path == "/api/pace":
            return 200, clock, None
        return await self.hold(data)

    def start_run(self, data, clock):
        task, number, audit = data["task"], data["run"], self.audit
        self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + 10000))
        held = self.runs.get(task)
        if held and held["run"] == number:
            return 200, clock, None
        if held or number <= self.gone.get(task, 0):
            return 409, {**clock, "reason": "old"}, None
        if data["deadline_ms"] <= self.clock():
            return 409, {**clock, "reason": "late"}, None
        job, _, step, index = task.split(".")
        spec = audit.specs.get(job)
        if spec is None or data["spec"] != spec["spec"] or int(index) >= spec["steps"][int(step)]["task_count"]:
            audit.broken(f"UNASKED: {task} on {self.name}")
            return 400, clock, None
        if job in audit.refused:
            audit.broken(f"REFUSED: {task} starts although all attempts were refused")
        if now() - audit.ended.get(job, now()) > 3:
            audit.broken(f"UNASKED: {task} starts long after its job ended")
        if audit.running.get(task):
            audit.broken(f"TWICE: {task} run {number} on {self.name} beside {audit.running[task]}")
        if task in audit.done:
            audit.broken(f"TWICE: {task} run {number} starts after its end was acknowledged")
        for before in spec["steps"][int(step)].get("after", []):
            if any(f"{job}.0.{before}.{i}" not in audit.done_seen for i in range(spec["steps"][before]["task_count"])):
                audit.broken(f"ORDER: {task} starts before step {before} is done")
        asked = spec["steps"][int(step)]
        for place, field in enumerate(("cpu", "mem_mb")):
            used = sum(run["asks"][place] for run in self.runs.values()) + asked[field]
            known = now() - self.resized > RESIZE_KNOWN_S
            if used > self.capacity[place] and (known or used > self.former_capacity[place]):
                audit.broken(f"LIMIT: {task} on {self.name}: {used} of {self.capacity[place]} {field}")
        if audit.crashes.get(task, 0) >= 3:
            audit.starts_after_crashes[task] = audit.starts_after_crashes.get(task, 0) + 1
            if audit.starts_after_crashes[task] == 3:
                audit.broken(f"BUDGET: {task} starts three times more after three targets have crashed under it")
        if (job in audit.deadly or audit.odd.get(job) == "crashes") and step == index == "0":
            asyncio.get_running_loop().call_later(0.01, self.crash_by, task)
        audit.starts += 1
        audit.check_quota(task, self.name, (asked["cpu"], asked["mem_mb"]))
        audit.running.setdefault(task, set()).add(self.name)
        self.runs[task] = {"run": number, "asks": (asked["cpu"], asked["mem_mb"]), "stops": 0, "at": now(),
                           "ends": now() + asked["estimate_ms"] / 1000 * self.rng.uniform(0.7, 1.3),
                           "lasting": asked.get("long_running", False) or audit.odd.get(job) == "stalls",
                           "fails": audit.odd.get(job) == "fails" or (not audit.odd and self.rng.random() < 0.01)}
        return 200, clock, None

    def percent(self, task, run):
        if self.audit.odd.get(task.split(".")[0]) == "stalls":
            return 0
        return min(100, int(100 * (now() - run["at"]) / max(0.001, run["ends"] - run["at"])))

    async def hold(self, data):
        if data.get("deadline_ms"):
            self.lease = max(self.lease, min(data["deadline_ms"], self.clock() + 10000))
        for number, task, _run, how, _saved in self.ends:
            if number <= data.get("ack_cursor", 0) and how == "done":
                self.audit.done[task] = True
        self.ends = [end for end in self.ends if end[0] > data.get("ack_cursor", 0)]
        if not self.ends and data.get("wait_ms"):
            self.news.clear()
            born = self.born
            try:
                async with asyncio.timeout(data["wait_ms"] / 1000):
                    await self.news.wait()
            except asyncio.TimeoutError:
                pass
            if not self.alive or self.born != born:  # Its connections are gone with the target.
                raise Cut()
        rows = [[task, run["run"], "", self.percent(task, run), 0] for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.ends[:500]}, None


class Advisor:
    """Allows two targets in three, the same ones for a step each time."""

    async def start(self, host, port):
        self.server = await serve(host, port, self.handle)

    async def handle(self, _method, _path, _headers, body):
        data = json.loads(body)
        await asyncio.sleep(0.02 + 0.0003 * len(data["workers"]))
        allowed = [[worker, "ticket-" + worker] for worker in data["workers"]
                   if sum((data["step"] + worker).encode()) % 3 > 0]
        return 200, {"allowed": allowed, "validity_ms": 2000}, None
