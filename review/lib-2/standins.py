"""Stand-ins for the cases 4 to 8: state service, cloud, workers and users, in one process over loopback sockets.

They follow the protocol page. Where that is silent they behave like a sound server, client or platform. The controllers
are real processes, started by the run line of deploy/service.toml.
"""
import asyncio
import bisect
import collections
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
LOOPBACK = "127.0.0.1"
MAX_BODY = 64 * 1024
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


# ---------------------------------------------------------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads one HTTP message; returns (first line, headers, body) or None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if not header:
            return None
        header = header.strip()
        if not header:
            break
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return line.decode().strip(), headers, body


class Server:
    """An HTTP/1.1 server; `handle(method, path, body)` returns (status, object), or None for no answer at all."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                answer = await self.handle(method, path, message[2])
                if answer is None:
                    await asyncio.sleep(10)
                    break
                status, value = answer
                body = json.dumps(value, separators=(",", ":")).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
            pass
        finally:
            writer.close()


class Client:
    """An HTTP/1.1 client of one address that keeps its connection."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.stream = None

    async def call(self, method, path, value=None, timeout=5.0, headers=None, raw=None):
        """Returns (status, object), or (0, reason) if there was no answer in time."""
        try:
            return await asyncio.wait_for(self._call(method, path, value, headers, raw), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            return 0, type(error).__name__

    async def _call(self, method, path, value, headers, raw):
        if self.stream is None:
            self.stream = await asyncio.open_connection(self.host, self.port, limit=1 << 22)
        reader, writer = self.stream
        body = raw if raw is not None else (b"" if value is None else json.dumps(value, separators=(",", ":")).encode())
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        for name, text in (headers or {}).items():
            head += f"{name}: {text}\r\n"
        if body or method == "POST":
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionResetError("closed")
        status = int(message[0].split(" ")[1])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, (json.loads(message[2]) if message[2] else None)

    def close(self):
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


async def call_once(address, method, path, value=None, timeout=5.0, headers=None):
    """One request on a connection of its own."""
    client = Client(address)
    try:
        return await client.call(method, path, value, timeout, headers)
    finally:
        client.close()


class Bucket:
    """A rate limit with a burst of `burst_s` seconds' worth."""

    def __init__(self, rate, burst_s):
        self.rate, self.burst = rate, rate * burst_s
        self.tokens, self.at = self.burst, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


# ------------------------------------------------------------------------------------------------------- state service

class State:
    """The state service. `refused`: nodes that get 503; `outage`: every node gets 503, and leases stand still."""

    def __init__(self, site):
        self.limits = site["state"]
        self.ledger = 0
        self.data = {}
        self.keys = []
        self.grants = {}
        self.next_grant = 1
        self.history = collections.deque()
        self.dropped_at = 0
        self.changed = asyncio.Event()
        self.requests = Bucket(self.limits["rps"], 1.0)
        self.writes = Bucket(self.limits["write_rps"], 1.0)
        self.refused = set()
        self.outage = False
        self.counts = collections.Counter()

    async def start(self, nodes):
        self.servers = {}
        for node in nodes:
            self.servers[node] = await Server(lambda m, p, b, n=node: self.handle(n, m, p, b)).start()
        asyncio.ensure_future(self.expire())
        return self

    def set_outage(self, on):
        self.outage = on
        if not on:
            now = time.monotonic()
            for grant in self.grants.values():
                grant["ends"] = now + grant["life"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.outage:
                continue
            now = time.monotonic()
            for grant in [g for g, v in self.grants.items() if v["ends"] + 0.02 < now]:
                self.end_grant(grant)

    def end_grant(self, grant):
        if self.grants.pop(grant, None) is None:
            return
        attached = [k for k, v in self.data.items() if v[2] == grant]
        if attached:
            self.commit([{"remove": key} for key in attached])

    def commit(self, writes):
        self.ledger += 1
        for write in writes:
            if "set" in write:
                key = write["set"]
                if key not in self.data:
                    bisect.insort(self.keys, key)
                self.data[key] = (write["data"], self.ledger, write.get("permit"))
                self.history.append({"set": key, "data": write["data"], "stamp": self.ledger})
            else:
                key = write["remove"]
                if self.data.pop(key, None) is not None:
                    self.keys.pop(bisect.bisect_left(self.keys, key))
                    self.history.append({"remove": key, "stamp": self.ledger})
        while len(self.history) > 10_000:
            self.dropped_at = self.history.popleft()["stamp"]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, node, method, path, body):
        await asyncio.sleep(random.uniform(0.001, 0.004))
        path, _, query = path.partition("?")
        args = dict(pair.partition("=")[::2] for pair in query.split("&")) if query else {}
        if self.outage or node in self.refused:
            if path == "/changes" and args.get("block_ms", "0") != "0":
                return await self.watch(node, args)
            self.counts["refused"] += 1
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.counts["429"] += 1
            return 429, {"error": "too many requests"}
        self.counts[path.split("/")[1]] += 1
        if path == "/multi":
            return self.multi(json.loads(body))
        if path == "/keys":
            return 200, self.range(args)
        if path.startswith("/keys/"):
            found = self.data.get(path[6:])
            if found is None:
                return 404, {"ledger": self.ledger}
            item = {"key": path[6:], "data": found[0], "stamp": found[1]}
            return 200, item if found[2] is None else dict(item, permit=found[2])
        if path == "/changes":
            return await self.watch(node, args)
        if path == "/grants":
            life = json.loads(body)["life_ms"] / 1000.0
            grant, self.next_grant = self.next_grant, self.next_grant + 1
            self.grants[grant] = {"life": life, "ends": time.monotonic() + life}
            return 200, {"permit": grant}
        grant = int(path.split("/")[2])
        if grant not in self.grants:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.end_grant(grant)
        else:
            self.grants[grant]["ends"] = time.monotonic() + self.grants[grant]["life"]
        return 200, {"permit": grant}

    def multi(self, txn):
        guards, writes = txn.get("guards", []), txn.get("writes", [])
        limit = self.limits["value_kb"] * 1024
        sizes = [len(json.dumps(w["data"], separators=(",", ":"))) for w in writes if "set" in w]
        if (len(writes) > self.limits["txn_ops"] or len(guards) > 4 * self.limits["txn_ops"]
                or any(size > limit for size in sizes)):
            return 400, {"error": "too large"}
        if writes and not self.writes.take(len(writes)):
            self.counts["429w"] += 1
            return 429, {"error": "too many changes"}
        for write in writes:
            if write.get("permit") is not None and write["permit"] not in self.grants:
                return 400, {"error": "no such lease"}
        failed = [g["key"] for g in guards if (self.data[g["key"]][1] if g["key"] in self.data else 0) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self.commit(writes)
        return 200, {"ledger": self.ledger}

    def range(self, args):
        prefix, after = args.get("prefix", ""), args.get("from")
        page = max(1, min(1000, int(args.get("page", "1000"))))
        index = bisect.bisect_left(self.keys, prefix)
        if after is not None:
            index = max(index, bisect.bisect_right(self.keys, after))
        items, size, more = [], 0, False
        while index < len(self.keys) and self.keys[index].startswith(prefix):
            key = self.keys[index]
            value = self.data[key]
            size += len(json.dumps(value[0])) + len(key) + 40
            if len(items) == page or (items and size > 512 * 1024):
                more = True
                break
            items.append({"key": key, "data": value[0], "stamp": value[1]})
            index += 1
        return {"items": items, "has_next": more, "ledger": self.ledger}

    async def watch(self, node, args):
        prefix, after = args.get("prefix", ""), int(args.get("from", "0"))
        deadline = time.monotonic() + min(60_000, int(args.get("block_ms", "0"))) / 1000.0
        while True:
            shut = self.outage or node in self.refused
            if not shut:
                if after < self.dropped_at:
                    return 410, {"error": "too old"}
                news = [c for c in self.history if c["stamp"] > after and c.get("set", c.get("remove")).startswith(prefix)]
                if news or time.monotonic() >= deadline:
                    return 200, {"ledger": self.ledger, "news": news}
            elif time.monotonic() >= deadline:
                return 503, {"error": "trouble"}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.02, min(1.0, deadline - time.monotonic())))
            except asyncio.TimeoutError:
                pass


# --------------------------------------------------------------------------------------------------- cloud and workers

class Task:
    def __init__(self, name, attempt, spec):
        self.name, self.attempt, self.spec = name, attempt, spec
        self.stage, self.cause = "fetching", None
        self.at = time.monotonic()
        self.run_from = 0.0

    def row(self):
        row = {"piece": self.name, "try": self.attempt, "stage": self.stage}
        if self.cause:
            row["cause"] = self.cause
        return row


class Worker:
    """The worker of one machine, as the protocol page describes it.

    `hung`: it does nothing. `sick`: every task that it starts fails.
    """

    def __init__(self, world, name, build, yard, loaners):
        self.world, self.name, self.build, self.yard, self.loaners = world, name, build, yard, loaners
        self.tasks = {}
        self.watch, self.tally, self.baton = 1, 0, 0
        self.lease_from = time.monotonic()
        self.alive, self.hung, self.sick = True, False, False
        self.failed_tasks = 0
        self.node = random.randrange(len(world.fronts))
        self.client = None
        self.wake = asyncio.Event()
        self.baton_news_at = -1e9
        self.server = None
        self.images = set()

    async def start(self):
        self.server = await Server(self.handle).start()
        asyncio.ensure_future(self.report_loop())
        asyncio.ensure_future(self.run_loop())
        return self

    def report(self):
        self.tally += 1
        return {"berth": self.name, "address": self.server.address, "build": self.build["name"], "yard": self.yard,
                "loaners": self.loaners, "watch": self.watch, "tally": self.tally, "baton": self.baton,
                "recall_s": None, "pieces": [t.row() for t in self.tasks.values()]}

    def die(self):
        self.alive = False
        self.tasks.clear()
        self.server.server.close()

    async def handle(self, method, path, body):
        while self.hung and self.alive:
            await asyncio.sleep(0.05)
        if not self.alive:
            return None
        if path == "/status":
            return 200, self.report()
        command = json.loads(body)
        if "baton" not in command or "watch" not in command:
            return 400, {"error": "missing"}
        if command["baton"] < self.baton or command["watch"] != self.watch:
            return 409, self.report()
        self.take_baton(command["baton"])
        self.execute(command.get("orders", []))
        return 200, self.report()

    def take_baton(self, baton):
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() - self.baton_news_at > self.world.site["workers"]["lease_s"] / 2:
                self.baton_news_at = time.monotonic()
                self.wake.set()

    def execute(self, orders):
        for order in orders:
            name, attempt = order["piece"], order["try"]
            task = self.tasks.get(name)
            if order["verb"] == "run":
                if task is not None and task.attempt == attempt:
                    continue
                job, _, number = name.partition("/")
                spec = self.world.specs.get(job)
                if task is not None and task.stage != "ended":
                    continue
                new = Task(name, attempt, spec)
                if spec is None or int(number) >= spec["pieces"]:
                    new.stage, new.cause = "ended", "unknown"
                self.tasks[name] = new
                self.world.record(f"run {name} try {attempt} on {self.name}", quiet=spec is not None and spec["pieces"] > 20)
                self.wake.set()
            elif order["verb"] == "stop":
                if task is not None and task.attempt == attempt and task.stage != "ended":
                    self.end(task, "stopped")
            elif task is not None and task.attempt == attempt and task.stage == "ended":
                del self.tasks[name]
                self.wake.set()

    def end(self, task, cause):
        task.stage, task.cause = "ended", cause
        self.wake.set()
        if cause == "done":
            self.world.on_done(task)

    def gang_of(self, task):
        """Returns the live tasks of the same attempt of a gang on all machines."""
        job = task.name.partition("/")[0]
        return [t for w in self.world.workers.values() if w.alive for t in w.tasks.values()
                if t.attempt == task.attempt and t.stage != "ended" and t.name.partition("/")[0] == job]

    async def run_loop(self):
        """Executes the tasks, and ends the session when the lease is over."""
        while self.alive:
            await asyncio.sleep(0.1)
            if self.hung:
                continue
            now = time.monotonic()
            workers = self.world.site["workers"]
            if now - self.lease_from > workers["lease_s"]:
                live = [t.name for t in self.tasks.values() if t.stage != "ended"]
                self.world.record(f"lease of {self.name} expired, {len(live)} tasks killed")
                self.world.lost.extend(live)
                self.tasks.clear()
                self.watch += 1
                self.lease_from = now
                self.wake.set()
            gangs = {}
            for task in list(self.tasks.values()):
                spec = task.spec
                if task.stage == "fetching":
                    if spec["mould"] not in self.images and now - task.at < spec["size_gb"] / self.build["pull_gb_per_s"]:
                        continue
                    self.images.add(spec["mould"])
                    if self.sick or spec["id"] in self.world.mistaken:
                        self.world.record(f"task {task.name} fails on {self.name}")
                        self.failed_tasks += 1
                        self.end(task, "error")
                        continue
                    task.at = now
                    task.stage = "waiting" if spec["shape"] == "ensemble" else "running"
                    task.run_from = now
                    self.wake.set()
                    if task.name in self.world.done:
                        self.end(task, "done")
                elif task.stage == "waiting":
                    key = (task.name.partition("/")[0], task.attempt)
                    if key not in gangs:
                        mates = self.gang_of(task)
                        missing = sum(f"{key[0]}/{i}" not in self.world.done for i in range(spec["pieces"]))
                        gangs[key] = (mates, len(mates) >= missing and all(t.stage != "fetching" for t in mates))
                    mates, complete = gangs[key]
                    if complete:
                        for mate in mates:
                            mate.stage, mate.run_from = "running", now
                        self.world.on_gang(key[0], len(mates))
                        for worker in self.world.workers.values():
                            worker.wake.set()
                    elif now - task.at > workers["gang_wait_s"]:
                        self.end(task, "incomplete")
                elif task.stage == "running" and spec["shape"] != "service":
                    if now - task.run_from >= self.world.run_s(spec):
                        self.end(task, "done")

    async def report_loop(self):
        workers = self.world.site["workers"]
        while self.alive:
            if self.hung:
                await asyncio.sleep(0.05)
                continue
            sent_at, watch = time.monotonic(), self.watch
            pause = 1.0
            status, answer = await self.send(self.report())
            if not self.alive:
                return
            if self.hung:
                continue
            if status == 200 and answer.get("baton", -1) >= self.baton and watch == self.watch:
                self.lease_from = max(self.lease_from, sent_at)
                self.take_baton(answer["baton"])
                self.execute(answer.get("orders", []))
                pause = workers["report_s"] * random.uniform(0.75, 1.25)
            elif status == 200:
                pause = workers["report_s"] * random.uniform(0.75, 1.25)
            else:
                named = answer.get("foreman") if status == 421 and isinstance(answer, dict) else None
                names = self.world.node_names
                if named in names and names.index(named) != self.node:
                    self.move(names.index(named))
                    pause = random.uniform(0, 0.3)
                else:
                    if status not in (0, 421, 503):
                        self.world.record(f"report of {self.name} with {len(self.tasks)} tasks got {status} {answer}")
                    self.move((self.node + 1) % len(names))
                self.wake.clear()
                await asyncio.sleep(pause)
                continue
            await asyncio.sleep(0.5)
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.0, pause - 0.5))
            except asyncio.TimeoutError:
                pass
            self.wake.clear()

    def move(self, node):
        if self.client is not None:
            self.client.close()
        self.client = None
        self.node = node

    async def send(self, report):
        if self.client is None:
            self.client = Client(self.world.fronts[self.node])
        return await self.client.call("POST", "/checkin", report, timeout=4.0)


class Cloud:
    """Rents machines; each machine that is up has a worker."""

    def __init__(self, world):
        self.world = world
        self.machines = collections.OrderedDict()
        self.answers = {}
        self.number = 0
        self.views = collections.deque()
        self.rate = Bucket(world.site["cloud"]["rps"], 2.0)

    async def start(self):
        self.server = await Server(self.handle).start()
        asyncio.ensure_future(self.keep_views())
        return self

    async def keep_views(self):
        """Keeps what the list showed in the last seconds: the list is `list_lag_s` late."""
        while True:
            now = time.monotonic()
            view = [dict(id=m["id"], address=m["address"], build=m["build"], yard=m["yard"], loaners=m["loaners"],
                         stage=m["stage"], held_s=now - m["since"]) for m in self.machines.values()]
            self.views.append((now, view))
            while len(self.views) > 1 and self.views[1][0] < now - self.world.site["cloud"]["list_lag_s"]:
                self.views.popleft()
            await asyncio.sleep(0.5)

    async def add(self, build, yard, loaners, boot_s):
        self.number += 1
        name = f"i-{self.number:06d}"
        machine = dict(id=name, address="", build=build["name"], yard=yard, loaners=loaners, stage="starting",
                       since=time.monotonic())
        self.machines[name] = machine
        worker = Worker(self.world, name, build, yard, loaners)
        if boot_s:
            asyncio.ensure_future(self.boot(machine, worker, boot_s))
        else:
            await self.boot(machine, worker, 0)
        return name

    async def boot(self, machine, worker, boot_s):
        await asyncio.sleep(boot_s)
        if machine["id"] not in self.machines:
            return
        await worker.start()
        machine["address"], machine["stage"] = worker.server.address, "running"
        self.world.workers[worker.name] = worker

    async def handle(self, method, path, body):
        if not self.rate.take(1):
            return 429, {"error": "too many requests"}
        path, _, query = path.partition("?")
        args = dict(pair.partition("=")[::2] for pair in query.split("&")) if query else {}
        site = self.world.site
        if path == "/catalog":
            return 200, {"builds": site["builds"]}
        if path == "/machines/delete":
            for name in json.loads(body)["berths"]:
                if self.machines.pop(name, None) is not None:
                    self.world.record(f"cloud deletes {name}")
                    worker = self.world.workers.pop(name, None)
                    if worker is not None:
                        worker.die()
            return 200, {}
        if method == "POST":
            rent = json.loads(body)
            if rent["charter"] not in self.answers:
                build = next(b for b in site["builds"] if b["name"] == rent["build"])
                there = sum(m["build"] == rent["build"] and m["yard"] == rent["yard"] for m in self.machines.values())
                room = site.get("capacity", {}).get((rent["build"], rent["yard"]), site["most"]) - there
                count = min(rent["how_many"], max(0, min(room, site["most"] - len(self.machines))))
                if count == 0:
                    return 503, {"error": "no capacity"}
                names = [await self.add(build, rent["yard"], rent["loaners"], build["ready_s"] * random.uniform(0.6, 1.5))
                         for _ in range(count)]
                self.world.record(f"cloud rents {count} of {rent['build']}/{rent['yard']}")
                self.answers[rent["charter"]] = names
            return 200, {"berths": self.answers[rent["charter"]]}
        page = int(args.get("page", "500"))
        rows = [row for row in self.views[0][1] if row["id"] > args.get("from", "")]
        return 200, {"berths": rows[:page], "has_next": len(rows) > page}


# ----------------------------------------------------------------------------------------------------- the deployment

class World:
    """A small deployment: the stand-ins, the controllers' processes, and the record of what was sent and answered."""

    def __init__(self, folder, site, extra_args=()):
        self.site, self.folder, self.extra_args = site, folder, list(extra_args)
        self.temp = tempfile.mkdtemp(prefix="plankwall-review-")
        self.started = time.monotonic()
        self.log = open(os.path.join(folder, "record.txt"), "w")
        self.specs, self.run_times = {}, {}
        self.done, self.lost, self.gangs = set(), [], {}
        self.mistaken = set()
        self.workers = {}
        self.node_names = [n["name"] for n in site["nodes"]]
        self.fronts, self.processes, self.ended_by_itself = [], {}, []
        self.killed = set()

    def record(self, text, quiet=False):
        if not quiet:
            self.log.write(f"{time.monotonic() - self.started:8.2f} {text}\n")
            self.log.flush()

    def on_done(self, task):
        self.done.add(task.name)
        self.record(f"task {task.name} done", quiet=task.spec["pieces"] > 20)

    def on_gang(self, job, size):
        if job not in self.gangs:
            self.gangs[job] = time.monotonic()
        self.record(f"all {size} tasks of the gang {job} run")

    def run_s(self, spec):
        return self.run_times.get(spec["id"], spec["guess_s"])

    @staticmethod
    def free_ports(count):
        """Returns ports below the range from which the system takes those of outgoing connections."""
        try:
            with open("/proc/sys/net/ipv4/ip_local_port_range") as limits:
                end = int(limits.read().split()[0])
        except OSError:
            end = 32_768
        ports = []
        for port in random.sample(range(max(1_024, end - 12_000), end), 2_000):
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
            ports.append(port)
            if len(ports) == count:
                return ports
        raise CannotRun("there are no free ports")

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, "target", "plankwall.jar")):
            raise CannotRun("the program is not built")
        self.state = await State(self.site).start(self.node_names)
        self.cloud = await Cloud(self).start()
        ports = self.free_ports(len(self.node_names) * 2)
        self.fronts = [f"{LOOPBACK}:{p}" for p in ports[:len(self.node_names)]]
        self.internals = [f"{LOOPBACK}:{p}" for p in ports[len(self.node_names):]]
        for index in range(len(self.node_names)):
            self.write_settings(index)
            self.start_node(index)
        asyncio.ensure_future(self.watch_processes())
        deadline = time.monotonic() + 30
        while True:
            states = [(await call_once(front, "GET", "/up", timeout=1.0))[0] for front in self.fronts]
            if all(s == 200 for s in states):
                break
            if time.monotonic() > deadline:
                raise CannotRun(f"the controllers don't get ready: {states}")
            await asyncio.sleep(0.3)
        for build, yard, loaners, count in self.site["machines"]:
            for _ in range(count):
                await self.cloud.add(next(b for b in self.site["builds"] if b["name"] == build), yard, loaners, 0)
        self.record("controllers are up")

    def write_settings(self, index):
        site = self.site
        lines = [f'node = "{self.node_names[index]}"', f'site = "{site["nodes"][index]["site"]}"',
                 f'front = "{self.fronts[index]}"', f'internal_addr = "{self.internals[index]}"']
        for other, node in enumerate(site["nodes"]):
            if other != index:
                lines += ["[[known]]", f'node = "{node["name"]}"', f'site = "{node["site"]}"',
                          f'address = "{self.internals[other]}"']
        lines += ["[external]", f'cloud = "{self.cloud.server.address}"',
                  f'state = "{self.state.servers[self.node_names[index]].address}"',
                  "[settings]", f"nodes = {len(self.node_names)}", f"zones = {json.dumps(site['zones'])}",
                  "time_bound_ms = 5.0"]
        for team in site["teams"]:
            lines += ["[[settings.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()]
        for table in ("workers", "state", "cloud", "limits"):
            lines += [f"[settings.{table}]"] + [f"{k} = {json.dumps(v)}" for k, v in site[table].items()]
        with open(os.path.join(self.temp, f"{self.node_names[index]}.toml"), "w") as out:
            out.write("\n".join(lines) + "\n")

    def start_node(self, index):
        with open(os.path.join(ROOT, "deploy", "service.toml")) as deploy:
            run = shlex.split(re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1))
        name = self.node_names[index]
        command = run + [os.path.join(self.temp, f"{name}.toml")] + self.extra_args
        errors = open(os.path.join(self.temp, f"{name}.log"), "a")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=errors,
                                                stdin=subprocess.DEVNULL, env=dict(os.environ, LOG_LEVEL="info"))
        errors.close()

    def signal(self, name, number):
        if number == signal.SIGKILL:
            self.killed.add(self.processes[name].pid)
        self.processes[name].send_signal(number)

    async def watch_processes(self):
        """Starts a process again that ended by itself, as the platform does, after the site's delay."""
        while True:
            await asyncio.sleep(0.2)
            for index, name in enumerate(self.node_names):
                process = self.processes[name]
                if process.poll() is not None and process.pid not in self.killed:
                    self.killed.add(process.pid)
                    self.ended_by_itself.append((time.monotonic() - self.started, name, process.returncode))
                    self.record(f"controller {name} ended by itself with code {process.returncode}")
                    asyncio.get_event_loop().call_later(self.site["restart_s"], self.start_node, index)

    def leader(self):
        entry = self.state.data.get("leader")
        return entry[0].get("node") if entry else None

    async def wait_leader(self, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.leader() in self.node_names:
                return self.leader()
            await asyncio.sleep(0.1)
        raise CannotRun("no controller leads")

    async def until(self, condition, seconds, step=0.1):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return True
            await asyncio.sleep(step)
        return condition()

    async def submit(self, spec, run_s=None, headers=None, nodes=None):
        """Submits like a user of the protocol page: again after 1 s, for 60 s. Returns the status at the end."""
        self.specs[spec["id"]] = spec
        if run_s is not None:
            self.run_times[spec["id"]] = run_s
        deadline = time.monotonic() + 60
        choice = nodes if nodes is not None else list(range(len(self.fronts)))
        while True:
            node = random.choice(choice)
            status, answer = await call_once(
                self.fronts[node], "POST", "/api/jobs", spec, headers=headers(node) if headers else None)
            self.record(f"submit {spec['id']} ({spec['pieces']} tasks) at {self.node_names[node]}: {status} {answer}")
            if status in (200, 201, 400, 422) or time.monotonic() > deadline:
                return status
            await asyncio.sleep(1.0)

    async def ask(self, job, node=None, quiet=False, timeout=2.0):
        node = random.randrange(len(self.fronts)) if node is None else node
        status, answer = await call_once(self.fronts[node], "GET", f"/api/jobs/{job}", timeout=timeout)
        self.record(f"ask {job} at {self.node_names[node]}: {status} {answer}", quiet)
        return status, answer

    def log_lines(self, *words):
        """The lines of all controllers' logs that hold one of the words."""
        found = []
        for name in self.node_names:
            with open(os.path.join(self.temp, f"{name}.log"), errors="replace") as lines:
                found += [f"{name} {line.strip()[:220]}" for line in lines if any(w in line for w in words)]
        return found

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.log.close()


def job(number, **changes):
    spec = {"id": f"job-{number:06d}", "docket": "demand-forecast", "crew": "planung-kern", "shape": "sweep",
            "urgency": "low", "pieces": 1, "cores": 10.0, "accelerators": 1.0, "ram_gb": 36.0, "mould": "img-01",
            "size_gb": 1.0, "builds": None, "yard": None, "together": False, "scatter": False, "loaners": False,
            "guess_s": 60.0, "snapshot_s": 0.0, "stow_s": 0.0, "due_s": None}
    spec.update(changes)
    return spec


def bern(**changes):
    """The roster deployment of the brief: three controllers, up to about 32 machines, 8 of them up at the start."""
    site = {
        "nodes": [{"name": "berth-0", "site": "bern-keller"}, {"name": "berth-1", "site": "zurich-rack"},
                  {"name": "berth-2", "site": "bern-keller"}],
        "zones": ["bern-keller", "zurich-rack"],
        "teams": [{"name": "planung-kern", "cpus": 0.0, "cpus_max": 0.0, "gpus": 24.0, "gpus_max": 72.0}],
        "workers": {"report_s": 3.0, "lease_s": 28.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 53.0},
        "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 32},
        "cloud": {"rps": 6.0, "list_lag_s": 8.0},
        "limits": {"cpu": 0.44, "memory_mb": 210.0, "max_connections": 1800},
        "builds": [{"name": "gotthard-box", "cores": 96.0, "accelerators": 8.0, "ram_gb": 384.0, "cache_gb": 70.0,
                    "pull_gb_per_s": 0.5, "rate": 22.27, "low_price": 6.66, "ready_s": 60.0,
                    "yards": ["bern-keller", "zurich-rack"]}],
        "machines": [("gotthard-box", "bern-keller", False, 4), ("gotthard-box", "zurich-rack", False, 4)],
        "most": 32, "restart_s": 6.0,
    }
    site.update(changes)
    return site


def kalpana(**changes):
    """The puzzle deployment of the brief: three controllers in three zones, up to about 112 machines."""
    site = {
        "nodes": [{"name": "berth-0", "site": "vadodara-floor"}, {"name": "berth-1", "site": "anand-store"},
                  {"name": "berth-2", "site": "surat-hall"}],
        "zones": ["anand-store", "surat-hall", "vadodara-floor"],
        "teams": [{"name": "studio-chitra", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "workers": {"report_s": 3.0, "lease_s": 18.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": 38.0},
        "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 48},
        "cloud": {"rps": 8.0, "list_lag_s": 8.0},
        "limits": {"cpu": 0.33, "memory_mb": 210.0, "max_connections": 1200},
        "builds": [{"name": "kiln-small", "cores": 12.0, "accelerators": 2.0, "ram_gb": 72.0, "cache_gb": 70.0,
                    "pull_gb_per_s": 0.5, "rate": 5.03, "low_price": 1.89, "ready_s": 40.0,
                    "yards": ["anand-store", "surat-hall", "vadodara-floor"]},
                   {"name": "kiln-large", "cores": 24.0, "accelerators": 4.0, "ram_gb": 96.0, "cache_gb": 70.0,
                    "pull_gb_per_s": 0.5, "rate": 11.46, "low_price": 4.1, "ready_s": 25.0,
                    "yards": ["anand-store", "surat-hall", "vadodara-floor"]}],
        "machines": [], "most": 112, "restart_s": 8.0,
    }
    site.update(changes)
    return site


def run_case(play, seconds=112):
    """Runs `play(world, trouble)`; it returns True if the rule held. Exits with 0, 1 (broken) or 2 (couldn't run)."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    worlds = []

    def make(site, extra_args=()):
        worlds.append(World(folder, site, extra_args))
        return worlds[-1]

    async def main():
        return await asyncio.wait_for(play(make, trouble), seconds)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    # Streams that are still open when the loop ends complain on standard error; they say nothing about the case.
    sys.unraisablehook = lambda _: None
    try:
        code = 0 if asyncio.run(main()) else 1
    except CannotRun as problem:
        print("could not run:", problem)
    except RuntimeError as problem:
        print("could not run:", problem)
    except asyncio.TimeoutError:
        print("could not run: out of time")
    finally:
        for world in worlds:
            world.stop()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
