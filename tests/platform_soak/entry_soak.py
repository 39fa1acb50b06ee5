#!/usr/bin/env python3
"""Fault soak of sp-entry: real processes on loopback against stand-ins, with faults from outside, and checks meanwhile.

Each host is an own process on an own loopback address. Its store, advisor and targets lie behind proxies that delay,
silence, reset or cut connections one way; processes are killed, stopped, paused and restarted by signals; targets crash,
restart or are replaced at once, shrink and leave; tasks crash targets; the store goes down, is slow, loses answers and forgets its history; the
configuration and the settings change.
Only processes that this program started are signalled, by their ids.

Usage: entry_soak.py --bin FILE [--seed N] [--seconds N] [--hosts N] [--targets N] [--odd N] [--out DIR]
"""
import argparse
import asyncio
import itertools
import json
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from http_io import Connection, Proxy  # noqa: E402
from odd_jobs import OddJobs  # noqa: E402
from standins import Advisor, Audit, Store, Target, now  # noqa: E402

CALLER_PORT, READY_PORT, PEER_PORT, STORE_PORT, ADVISOR_PORT, TARGET_PORT = 8161, 8167, 7720, 8190, 8191, 8192
GRACE_S = 6.0
DEADLINE_S = 3.0
LOSS_SLACK_S = 0.2  # A request that a process may not have read before its end.
QUIET_S = 25.0  # After the last fault: leases of 10 s lapse, and what waits is worked off.
DEADLY_SHARE = 0.02  # Jobs with a task that crashes its target.
STRANGER_SHARE = 0.1  # Of the jobs with accounts: first submitted with an unknown key.
ENDED = ("completed", "failed", "cancelled")


class Host:
    """One sp-entry process and its way to the store."""

    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.name = f"host-{index}"
        self.ip = f"127.{soak.net}.0.{10 + index}"
        self.process = None
        self.paused = False
        self.wanted = True  # It is meant to run; an end then is the process's own.
        self.stopping_since = None  # Time of the SIGTERM that ends the present process.
        self.store = Proxy((soak.infra, STORE_PORT))
        self.advisor = Proxy((soak.infra, ADVISOR_PORT))

    async def prepare(self):
        await self.store.start(self.ip, STORE_PORT)
        await self.advisor.start(self.ip, ADVISOR_PORT)
        self.write_settings()

    def write_settings(self):
        self.soak.out.joinpath(self.name + ".json").write_text(json.dumps({
            "node_name": self.name, "role": "entry", "ip": self.ip, "zone": "z", "zones": {"z": "r"},
            "listen_addrs": {"front": f"{self.ip}:{CALLER_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "internal_port_range": [PEER_PORT, PEER_PORT + 15], "limits": {"cpu_share": 0.5 + self.index % 2 / 2},
            "bounds": {"grace_s": GRACE_S, "max_hold_ms": 10000, "stop_timeout_ms": 200, "drain_ms": 2000},
            "hint": f"{self.ip}:{ADVISOR_PORT}",
            "platform": {"address": f"{self.ip}:{STORE_PORT}", "form": "kv", "min_ttl_ms": 1000}}))

    async def start(self):
        log = self.soak.out.joinpath(self.name + ".log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.args.bin, "--config", str(self.soak.out / (self.name + ".json")), "--metrics_port", "9464",
            stdout=log, stderr=log)
        log.close()
        self.wanted, self.paused, self.stopping_since = True, False, None
        self.soak.tasks.append(asyncio.create_task(self.attend(self.process)))

    async def attend(self, process):
        code = await process.wait()
        if self.wanted and process is self.process and not self.soak.ending:
            self.soak.audit.broken(f"ENDED: {self.name} by itself with {code}")

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number, pause):
        """Ends the process by a signal and starts it again."""
        if self.paused or not self.wanted:
            return
        self.wanted = False
        process = self.process
        self.stopping_since = now() if number == signal.SIGTERM else None
        self.send(number)
        try:
            async with asyncio.timeout(GRACE_S + 0.5):
                await process.wait()
        except asyncio.TimeoutError:
            self.soak.audit.broken(f"GRACE: {self.name} still runs {GRACE_S + 0.5} s after signal {number}")
            process.kill()
            await process.wait()
        if number == signal.SIGTERM and process.returncode != 0:
            self.soak.audit.broken(f"ENDED: {self.name} stopped with {process.returncode}")
        await asyncio.sleep(pause)
        await self.start()

    async def pause(self, duration):
        if self.paused or not self.wanted:
            return
        self.paused = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(duration)
        self.send(signal.SIGCONT)
        self.paused = False


class Client:
    """Hands in jobs over kept connections, repeats what has no answer, and asks for states."""

    def __init__(self, soak, rng):
        self.soak, self.rng = soak, rng
        self.connections = {}

    async def call(self, method, job, body=None, key=None):
        host = self.rng.choice(self.soak.hosts)
        connection = self.connections.pop(host.ip, None) or Connection(host.ip, CALLER_PORT)
        sent = now()
        status, answer, _ = await connection.call(
            method, "/q/" + job, body, {"Host": "jobs.test", "Deadline-Ms": "3000", **self.soak.key_header(job, key)},
            timeout=3.5)
        self.connections[host.ip] = connection
        held = now() - sent
        if status == 0 and host.stopping_since and LOSS_SLACK_S < held < DEADLINE_S:
            self.soak.audit.broken(f"LOST: {method} {job} at {host.name} ends without an answer after {held:.2f} s, "
                                   f"{now() - host.stopping_since:.2f} s after its SIGTERM")
        self.soak.counts[status] = self.soak.counts.get(status, 0) + 1
        return status, answer

    async def life(self, job):
        """One job from its submission to its cancellation, if there is one."""
        soak = self.soak
        steps = [{"task_count": self.rng.randint(1, 8), "cpu": self.rng.choice([500, 1000, 3000]), "mem_mb": 500,
                  "estimate_ms": self.rng.choice([200, 400, 1500])} for _ in range(self.rng.choice([1, 1, 2, 3]))]
        for index in range(1, len(steps)):
            steps[index]["after"] = [index - 1]
        lasting = self.rng.random() < 0.05
        if lasting:
            steps = [{"task_count": 2, "cpu": 500, "mem_mb": 500, "estimate_ms": 300, "long_running": True}]
        spec = {"spec": "payload-" + job, "steps": steps}
        soak.audit.specs[job] = spec
        if random.Random(job).random() < DEADLY_SHARE:  # Of its own, so that older seeds keep their faults.
            soak.audit.deadly.add(job)
        if soak.args.accounts and random.Random(job + "key").random() < STRANGER_SHARE:
            status, _ = await self.call("POST", job, spec, "never-configured")
            if status == 200:
                soak.audit.broken(f"ROUTE: {job} is accepted with a key that no configuration ever held")
        refusals_only = True
        accepted = False
        for _ in range(5):
            status, _ = await self.call("POST", job, spec)
            refusals_only &= status in (429, 503, -1)
            if accepted := status == 200:
                break
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
        if not accepted:
            if refusals_only:
                soak.audit.refused.add(job)
            return
        soak.accepted.add(job)
        if lasting or self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            for _ in range(20):
                status, _ = await self.call("DELETE", job)
                if status == 200:
                    soak.audit.ended[job] = now()
                    soak.cancelled.add(job)
                    return
                if status == 410:
                    soak.audit.broken(f"LOST: cancelling {job} is answered 410")
                    return
                await asyncio.sleep(0.5)
            soak.uncertain.add(job)
            return
        while not soak.ending and self.rng.random() < 0.8:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.look(job)

    async def look(self, job):
        """Asks for the state of an accepted job. Returns it, None without an answer."""
        soak = self.soak
        status, answer = await self.call("GET", job)
        if status == 410:
            soak.audit.broken(f"LOST: {job} was accepted and is answered 410")
            return "gone"
        if status != 200:
            return None
        state = answer["state"]
        if state == "completed":
            soak.audit.ended.setdefault(job, now())
            for number, step in enumerate(soak.audit.specs[job]["steps"]):
                for index in range(step["task_count"]):
                    if f"{job}.0.{number}.{index}" not in soak.audit.done_seen:
                        soak.audit.broken(f"MIXED: {job} is shown as completed, task {number}.{index} is not done")
                        return state
        if state == "failed" and not any(
                task.startswith(job) and count >= least
                for counts, least in ((soak.audit.failures, 4), (soak.audit.crashes, 2)) for task, count in counts.items()):
            soak.audit.broken(f"LOST: {job} is shown as failed without a cause")
        if state == "cancelled" and job not in soak.cancelled | soak.uncertain:
            soak.audit.broken(f"LOST: {job} is shown as cancelled, nobody cancelled it")
        return state


class Soak:
    def __init__(self, args):
        self.args = args
        self.rng = random.Random(args.seed)
        self.net = 20 + os.getpid() % 200  # Loopback addresses of this run.
        self.infra = f"127.{self.net}.1.1"
        self.out = Path(args.out or tempfile.mkdtemp(prefix="entry-soak-"))
        self.audit = Audit()
        self.store = Store(random.Random(args.seed + 1))
        self.hosts = []
        self.targets = []
        self.target_proxies = []
        self.tasks = []
        self.faults = []
        self.accepted, self.cancelled, self.uncertain = set(), set(), set()
        self.counts = {}
        self.version = itertools.count(1)
        self.ending = False

    def account_of(self, job):
        return f"account-{random.Random(job + 'account').randrange(self.args.accounts)}"

    def key_header(self, job, key):
        if not self.args.accounts:
            return {}
        self.audit.accounts[job] = self.account_of(job)
        return {"Authorization": "Bearer " + (key or "key-of-" + self.account_of(job))}

    def accounts(self, version):
        """Accounts of a version: quotas shrink and grow, and each version has a key that the others have not."""
        if not self.args.accounts:
            return {}
        accounts = []
        for index in range(self.args.accounts):
            name = f"account-{index}"
            maximum = (40000, 60000) if version % 2 else (24000, 36000)
            self.audit.maximum[name] = max(self.audit.maximum.get(name, maximum), maximum)
            accounts.append({"name": name, "api_keys": ["key-of-" + name, f"key-{version}-{index}"], "weight": 4,
                             "maximum": {"cpu": maximum[0], "mem_mb": maximum[1], "gpus": 0}})
        return {"tenants": accounts}

    def write_config(self):
        version = next(self.version)
        self.store.put("op/config", json.dumps({
            "version": version * 3,
            **self.accounts(version),
            "routes": [{"name": "q", "host": "jobs.test", "prefix": "/q/", "service": "svc", "timeout_ms": 3000,
                        "target_latency_ms": 250, "priority": 0, "max_attempts": 4, "slack_factor": 1.5,
                        "hint": {"decision_ms": 20, "per_worker_ms": 0.3, "validity_ms": 2000}}],
            "services": [{"name": "svc"}], "limits": {"max_body_bytes": 262144}}).encode())

    async def start(self):
        await self.store.start(self.infra, STORE_PORT)
        await Advisor().start(self.infra, ADVISOR_PORT)
        for index in range(self.args.targets):
            ip = f"127.{self.net}.2.{1 + index}"
            target = Target(f"t{index}", random.Random(self.args.seed * 1000 + index), self.audit, self.store,
                            f"{ip}:{TARGET_PORT}", (16000, 32000))
            await target.start(ip, TARGET_PORT + 1)
            proxy = Proxy((ip, TARGET_PORT + 1))
            await proxy.start(ip, TARGET_PORT)
            self.targets.append(target)
            self.target_proxies.append(proxy)
            self.tasks += [asyncio.create_task(target.beat()), asyncio.create_task(target.work())]
        self.tasks.append(asyncio.create_task(self.store.expire()))
        self.write_config()
        self.hosts = [Host(self, index) for index in range(self.args.hosts)]
        for host in self.hosts:
            await host.prepare()
            await host.start()

    async def for_a_while(self, begin, end, low, high):
        begin()
        await asyncio.sleep(self.rng.uniform(low, high))
        end()

    async def fault(self):
        """One fault from its beginning to its end."""
        rng, store = self.rng, self.store
        host, number = rng.choice(self.hosts), rng.randrange(len(self.targets))
        target, mode = self.targets[number], rng.choice(["delay", "silent", "one_way", "reset"])

        def proxies(chosen):
            return self.for_a_while(lambda: [each.set_mode(mode) for each in chosen],
                                    lambda: [each.set_mode("ok") for each in chosen], 0.3, 5)

        async def crash():
            if target.alive:
                await self.for_a_while(target.crash, target.restart, 0.2, 4)

        async def leave():
            target.draining = True
            await asyncio.sleep(2.5)
            await crash()

        async def store_fault(kind):
            await self.for_a_while(lambda: setattr(store, "mode", kind), lambda: setattr(store, "mode", "ok"), 0.3, 4)

        kind = rng.choice(["kill", "kill", "stop", "pause", "pause", "roll", "kill_all", "store_way", "store_way",
                           "advisor_way", "target_way", "target_way", "many_ways", "crash", "leave", "store_down",
                           "store_refuse", "store_slow", "store_lose", "compact", "config", "hup"])
        self.faults.append((round(now() - self.began, 2), kind, host.name, target.name, mode))
        if kind == "kill":
            await host.restart(signal.SIGKILL, rng.uniform(0.1, 2))
        elif kind == "stop":
            await host.restart(signal.SIGTERM, rng.uniform(0.1, 1))
        elif kind == "pause":
            await host.pause(rng.uniform(0.3, 5))
        elif kind == "roll":
            for each in self.hosts[:3]:
                await each.restart(signal.SIGTERM, 0.2)
        elif kind == "kill_all":
            await asyncio.gather(*(each.restart(signal.SIGKILL, rng.uniform(0.1, 0.5)) for each in self.hosts))
        elif kind == "store_way":
            await proxies([host.store])
        elif kind == "advisor_way":
            await proxies([host.advisor])
        elif kind == "target_way":
            await proxies([self.target_proxies[number]])
        elif kind == "many_ways":
            await proxies(rng.sample(self.target_proxies, len(self.target_proxies) // 3) + [host.store])
        elif kind == "crash":
            await crash()
        elif kind == "leave":
            await leave()
        elif kind.startswith("store_"):
            await store_fault(kind.removeprefix("store_"))
        elif kind == "compact":
            store.compact()
        elif kind == "config":
            for _ in range(rng.randint(1, 4)):
                self.write_config()
                await asyncio.sleep(0.2)
        elif kind == "hup":
            host.write_settings()
            if not host.paused and host.wanted:
                host.send(signal.SIGHUP)

    async def cause_faults(self, until):
        """Begins faults in series that overlap."""
        running = set()
        while now() < until:
            task = asyncio.create_task(self.fault())
            running.add(task)
            await asyncio.sleep(self.rng.expovariate(1.2))
        await asyncio.gather(*running)

    async def restart_fault(self, rng):
        """One short outage of targets or a series of stopped hosts, beside which other processes are disturbed."""
        host, number = rng.choice(self.hosts), rng.randrange(len(self.targets))
        target, proxy = self.targets[number], self.target_proxies[number]
        kind = rng.choice(["blink", "blink", "blink_kill", "blink_pause", "recut", "recut", "replace", "overlap"])
        self.faults.append((round(now() - self.began, 2), kind, host.name, target.name, ""))

        async def blink(back):
            if target.alive:
                target.crash(entry_stays=True)
                await asyncio.sleep(rng.uniform(0.02, 0.9))
                back()

        async def blinks():
            for _ in range(rng.randint(1, 4)):
                await blink(target.restart)
                await asyncio.sleep(rng.uniform(0.1, 1.0))

        if kind == "blink":
            await blinks()
        elif kind == "blink_kill":
            await asyncio.gather(blinks(), host.restart(signal.SIGKILL, rng.uniform(0.1, 1)))
        elif kind == "blink_pause":
            await asyncio.gather(blinks(), host.pause(rng.uniform(0.5, 4)))
        elif kind == "recut":
            await blink(target.restart)
            await asyncio.sleep(rng.uniform(0, 1))
            kill = asyncio.create_task(host.restart(signal.SIGKILL, 0.3)) if rng.random() < 0.7 else None
            await asyncio.sleep(rng.uniform(0, 0.5))
            await self.for_a_while(lambda: proxy.set_mode("silent"), lambda: proxy.set_mode("ok"), 3, 11)
            if kill:
                await kill
        elif kind == "replace":
            await blink(target.replace)
        elif kind == "overlap":
            async def stop(each, delay):
                await asyncio.sleep(delay)
                await each.restart(signal.SIGTERM, 0.2)
            gap = rng.choice([0, 0.3, 1, 2])
            await asyncio.gather(*(stop(each, index * gap) for index, each in enumerate(self.hosts)))

    async def cause_restarts(self, until):
        """Begins such faults from a generator of their own, so that older seeds keep their other faults."""
        rng = random.Random(self.args.seed + 3)
        running = set()
        while now() < until:
            running.add(asyncio.create_task(self.restart_fault(rng)))
            await asyncio.sleep(rng.expovariate(0.8))
        await asyncio.gather(*running)

    async def resize_targets(self, until):
        """Lets the capacity of targets shrink and grow again."""
        rng = random.Random(self.args.seed + 2)
        while now() < until:
            await asyncio.sleep(rng.expovariate(0.5))
            target = rng.choice(self.targets)
            full, smaller = (16000, 32000), (rng.choice([2000, 6000]), 32000)
            self.faults.append((round(now() - self.began, 2), "resize", "", target.name, str(smaller)))
            target.resize(smaller)
            asyncio.get_running_loop().call_later(rng.uniform(2, 12), target.resize, full)

    async def hand_in(self, until):
        clients = [Client(self, random.Random(self.args.seed * 100 + index)) for index in range(12)]
        lives = []
        for number in itertools.count():
            if now() >= until:
                break
            job = f"{self.args.seed & 0xffffffff:08x}{number:08x}"
            lives.append(asyncio.create_task(clients[number % len(clients)].life(job)))
            await asyncio.sleep(self.rng.expovariate(15))
        return clients, lives

    async def settle(self, client):
        """After the faults: every accepted job must come to its end and be known at each host."""
        open_jobs = sorted(self.accepted - self.cancelled)
        ends = now() + QUIET_S
        last = {}
        while open_jobs and now() < ends:
            for job in list(open_jobs):
                last[job] = await client.look(job)
                if last[job] in ENDED + ("gone",) or job in self.uncertain:
                    open_jobs.remove(job)
            await asyncio.sleep(0.3)
        for job in open_jobs[:5]:
            self.audit.broken(f"LOST: {job} has not ended {QUIET_S} s after the last fault, state {last.get(job)}")
        await asyncio.sleep(3)
        for target in self.targets:
            for task in target.runs:
                if task.split(".")[0] in self.cancelled:
                    self.audit.broken(f"UNASKED: {task} of a cancelled job still runs on {target.name}")

    async def run(self):
        await self.start()
        self.began = now()
        await asyncio.sleep(2)
        until = now() + self.args.seconds
        if self.args.odd:
            await OddJobs(self, Client(self, random.Random(self.args.seed * 100))).play(until)
            await self.end()
            return
        causing = asyncio.gather(self.cause_faults(until), self.cause_restarts(until), self.resize_targets(until))
        clients, lives = await self.hand_in(until)
        await causing
        await asyncio.gather(*lives)
        await self.settle(clients[0])
        await self.end()

    async def end(self):
        self.ending = True
        # Calls that end with the hosts are no finding.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for host in self.hosts:
            host.send(signal.SIGKILL)
        await asyncio.gather(*(host.process.wait() for host in self.hosts))
        for task in self.tasks:
            task.cancel()

    def report(self):
        answers = " ".join(f"{status}:{count}" for status, count in sorted(self.counts.items()))
        print(f"soak: seed {self.args.seed}, {len(self.audit.specs)} jobs, {len(self.accepted)} accepted, "
              f"{len(self.cancelled)} cancelled, {self.audit.starts} starts, {len(self.faults)} faults, "
              f"answers {answers}; {len(self.audit.violations)} violations")
        for text in self.audit.violations[:20]:
            print("  " + text)
        if self.audit.violations:
            self.out.joinpath("faults.txt").write_text("\n".join(map(str, self.faults)))
            print(f"  logs and faults in {self.out}")
        if not self.accepted or not self.audit.starts:
            print("  nothing was served")
            return 1
        return 1 if self.audit.violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bin", required=True, help="sp-entry")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="time with load and faults")
    parser.add_argument("--hosts", type=int, default=5)
    parser.add_argument("--targets", type=int, default=16)
    parser.add_argument("--accounts", type=int, default=0, help="client accounts with keys and quotas; 0 for none")
    parser.add_argument("--odd", type=int, default=0, help="odd jobs beside ordinary ones, without other faults")
    parser.add_argument("--out", help="folder for settings and logs; default: a new one")
    soak = Soak(parser.parse_args())
    soak.out.mkdir(parents=True, exist_ok=True)
    asyncio.run(soak.run())
    return soak.report()


if __name__ == "__main__":
    sys.exit(main())
