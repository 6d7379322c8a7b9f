"""Stand-ins for the outside systems of plankwall, on loopback and the real clock: state service, cloud, workers and
users. They follow the protocol page; one asyncio process runs all of them. The controllers are processes of their own,
started with the run line of the deploy file."""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED = time.monotonic()


def now():
    return time.monotonic()


def free_ports(count):
    """Returns free ports below the range from which the system takes the ports of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(12_000, 31_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """The file record.txt: one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now() - STARTED, text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def serve_http(port, handler):
    """Serves requests; [handler] gets (method, path, query, body) and returns (status, bytes) or None for silence."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                params = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                answer = await handler(method, path, params, body)
                if answer is None:
                    await asyncio.sleep(30)
                    return
                status, data = answer
                close = headers.get("connection", "").lower() == "close"
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n" % (
                    status, REASONS.get(status, "Status"), len(data), "Connection: close\r\n" if close else "",
                )).encode() + data)
                await writer.drain()
                if close:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port, limit=1 << 20)


class Connection:
    """A user's or worker's persistent connection to one controller."""

    def __init__(self, port):
        self.port = port
        self.streams = None
        self.lock = asyncio.Lock()

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, JSON or None); status 0: no response or no connection."""
        async with self.lock:
            try:
                return await asyncio.wait_for(self._exchange(method, path, body), timeout)
            except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as e:
                self.close()
                return 0, {"error": type(e).__name__}

    async def _exchange(self, method, path, body):
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        reader, writer = self.streams
        data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        writer.write(("%s %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nContent-Type: application/json\r\n"
                      "Content-Length: %d\r\n\r\n" % (method, path, self.port, len(data))).encode() + data)
        await writer.drain()
        first, headers = await read_head(reader)
        status = int(first.split(" ")[1])
        length = int(headers.get("content-length", "0"))
        answer = await reader.readexactly(length) if length else b""
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            parsed = json.loads(answer) if answer else None
        except ValueError:
            parsed = None
        return status, parsed

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


# ---------------------------------------------------------------- state service

class Bucket:
    """A rate limit that allows bursts, of one second's worth unless [burst] says otherwise."""

    def __init__(self, rate, burst=None):
        self.rate, self.burst, self.at = rate, burst or rate, now()
        self.tokens = self.burst

    def take(self, count):
        t = now()
        self.tokens = min(self.burst, self.tokens + (t - self.at) * self.rate)
        self.at = t
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    KEPT_CHANGES = 10_000

    def __init__(self, settings, record):
        self.settings, self.record = settings, record
        self.keys, self.ledger, self.changes, self.first_kept = {}, 1, [], 1
        self.leases, self.next_lease = {}, 1
        self.requests, self.puts = Bucket(settings["rps"]), Bucket(settings["write_rps"])
        self.changed = asyncio.Event()

    def handler(self):
        async def handle(method, path, params, body):
            await asyncio.sleep(random.uniform(0.001, 0.006))
            self.expire()
            if not self.requests.take(1):
                return 429, b'{"error":"too many requests"}'
            if path == "/multi":
                return self.multi(json.loads(body))
            if path == "/keys":
                return self.range(params)
            if path.startswith("/keys/"):
                return self.get(path[6:])
            if path == "/changes":
                return await self.watch(params)
            if path == "/grants":
                ttl = json.loads(body)["life_ms"] / 1000.0
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = [now() + ttl, ttl, set()]
                return 200, json.dumps({"permit": lease}).encode()
            if path.startswith("/grants/"):
                lease = int(path.split("/")[2])
                if lease not in self.leases:
                    return 404, b'{"error":"no such lease"}'
                if method == "DELETE":
                    self.end_lease(lease)
                else:
                    self.leases[lease][0] = now() + self.leases[lease][1]
                return 200, b"{}"
            return 404, b'{"error":"no such path"}'

        return handle

    def expire(self):
        for lease in [i for i, l in self.leases.items() if l[0] < now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        keys = self.leases.pop(lease)[2]
        gone = [k for k in keys if k in self.keys and self.keys[k][2] == lease]
        if gone:
            self.ledger += 1
            for key in gone:
                self.apply_remove(key)
            self.notify()

    def apply_remove(self, key):
        self.keys.pop(key, None)
        self.add_change({"remove": key, "stamp": self.ledger})

    def add_change(self, change):
        self.changes.append(change)
        if len(self.changes) > self.KEPT_CHANGES:
            dropped = self.changes[: len(self.changes) - self.KEPT_CHANGES]
            self.changes = self.changes[len(dropped):]
            self.first_kept = dropped[-1]["stamp"] + 1

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, key):
        if key not in self.keys:
            return 404, json.dumps({"ledger": self.ledger}).encode()
        data, stamp, permit = self.keys[key]
        answer = {"key": key, "data": data, "stamp": stamp}
        if permit:
            answer["permit"] = permit
        return 200, json.dumps(answer).encode()

    def range(self, params):
        prefix, after = params.get("prefix", ""), params.get("from", "")
        limit = min(1000, int(params.get("page", "1000")))
        items, size, more = [], 0, False
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > after):
            item = json.dumps({"key": key, "data": self.keys[key][0], "stamp": self.keys[key][1]})
            if len(items) == limit or size + len(item) > 512 * 1024:
                more = True
                break
            items.append(item)
            size += len(item) + 1
        return 200, ('{"items":[%s],"has_next":%s,"ledger":%d}' % (
            ",".join(items), "true" if more else "false", self.ledger)).encode()

    def multi(self, txn):
        guards, writes = txn.get("guards", []), txn.get("writes", [])
        ops, size = self.settings["txn_ops"], self.settings["value_kb"] * 1024
        if len(writes) > ops or len(guards) > 4 * ops or any(
                "set" in w and len(json.dumps(w["data"], separators=(",", ":"))) > size for w in writes):
            return 400, b'{"error":"too large"}'
        if any(w.get("permit") and w["permit"] not in self.leases for w in writes):
            return 400, b'{"error":"no such lease"}'
        if writes and not self.puts.take(len(writes)):
            return 429, b'{"error":"too many changes"}'
        failed = [g["key"] for g in guards if (self.keys[g["key"]][1] if g["key"] in self.keys else 0) != g["stamp"]]
        if failed:
            return 409, json.dumps({"failed": failed, "ledger": self.ledger}).encode()
        if writes:
            self.ledger += 1
            for w in writes:
                if "set" in w:
                    self.keys[w["set"]] = (w["data"], self.ledger, w.get("permit"))
                    if w.get("permit"):
                        self.leases[w["permit"]][2].add(w["set"])
                    self.add_change({"set": w["set"], "data": w["data"], "stamp": self.ledger})
                elif w["remove"] in self.keys:
                    self.apply_remove(w["remove"])
            self.notify()
        return 200, json.dumps({"ledger": self.ledger}).encode()

    async def watch(self, params):
        prefix, after = params.get("prefix", ""), int(params.get("from", "0"))
        until = now() + int(params.get("block_ms", "0")) / 1000.0
        while True:
            if after + 1 < self.first_kept:
                return 410, b'{"error":"too old"}'
            news = [c for c in self.since(after) if c.get("set", c.get("remove")).startswith(prefix)]
            if news or now() >= until:
                return 200, json.dumps({"ledger": self.ledger, "news": news}).encode()
            try:
                await asyncio.wait_for(self.changed.wait(), min(0.5, max(0.0, until - now())))
            except asyncio.TimeoutError:
                self.expire()

    def since(self, after):
        result = []
        for change in reversed(self.changes):
            if change["stamp"] <= after:
                break
            result.append(change)
        result.reverse()
        return result


# ---------------------------------------------------------------- cloud and workers

class Cloud:
    def __init__(self, world, builds, rps, lag_s):
        self.world, self.builds, self.lag_s = world, builds, lag_s
        self.machines, self.charters, self.next_id = {}, {}, 231
        self.calls = Bucket(rps, burst=2 * rps)

    def new_machine(self, build, yard, loaners, ready_s, **options):
        name = "i-%06d" % self.next_id
        self.next_id += 1
        spec = next(b for b in self.builds if b["name"] == build)
        worker = Worker(self.world, name, spec, yard, loaners, **options)
        self.machines[name] = {"worker": worker, "at": now() - (1000 if ready_s == 0 else 0), "up": now() + ready_s,
                               "gone": None}
        self.world.workers[name] = worker
        self.world.tasks.append(asyncio.ensure_future(worker.live(ready_s)))
        return worker

    def handler(self, node):
        async def handle(method, path, params, body):
            await asyncio.sleep(random.uniform(0.002, 0.02))
            if not self.calls.take(1):
                return 429, b'{"error":"too many requests"}'
            if path == "/catalog":
                return 200, json.dumps({"builds": self.builds}).encode()
            if path == "/machines" and method == "POST":
                request = json.loads(body)
                if request["charter"] not in self.charters:
                    names = [self.new_machine(request["build"], request["yard"], request["loaners"],
                                              next(b for b in self.builds if b["name"] == request["build"])["ready_s"]
                                              ).name for _ in range(min(50, request["how_many"]))]
                    self.charters[request["charter"]] = names
                    self.world.record("cloud rents %s to %s for %s" % (names, node, request))
                return 200, json.dumps({"berths": self.charters[request["charter"]]}).encode()
            if path == "/machines/delete":
                names = json.loads(body)["berths"]
                for name in names:
                    if name in self.machines and self.machines[name]["gone"] is None:
                        self.machines[name]["gone"] = now()
                        self.machines[name]["worker"].end("machine deleted")
                self.world.record("cloud deletes %s for %s" % (names, node))
                return 200, b"{}"
            if path == "/machines":
                shown, after, limit = now() - self.lag_s, params.get("from", ""), int(params.get("page", "500"))
                rows = [{"id": n, "address": m["worker"].address, "build": m["worker"].build["name"],
                         "yard": m["worker"].yard, "loaners": m["worker"].loaners,
                         "stage": "running" if m["up"] <= shown else "starting", "held_s": shown - m["at"]}
                        for n, m in sorted(self.machines.items())
                        if n > after and m["at"] <= shown and (m["gone"] is None or m["gone"] > shown)]
                return 200, json.dumps({"berths": rows[:limit], "has_next": len(rows) > limit}).encode()
            return 404, b"{}"

        return handle


class Task:
    def __init__(self, piece, attempt, job):
        self.piece, self.attempt, self.job = piece, attempt, job
        self.stage, self.cause, self.kept, self.since, self.flush_until = "fetching", None, False, now(), None
        self.fetched_at = None

    @property
    def key(self):
        return self.piece, self.attempt

    @property
    def gang(self):
        return self.job["shape"] == "ensemble" and self.job["pieces"] > 1

    @property
    def on_machine(self):
        return self.stage in ("waiting", "running", "flushing")


class Worker:
    """One machine's worker. [hung]: it executes, sends and answers nothing. [images]: what it has cached at first."""

    def __init__(self, world, name, build, yard, loaners, images=()):
        self.world, self.name, self.build, self.yard, self.loaners = world, name, build, yard, loaners
        self.pull = build["pull_gb_per_s"]
        self.port = free_ports(1)[0]
        self.address = "127.0.0.1:%d" % self.port
        self.watch, self.tally, self.baton, self.pieces = 1, 0, 0, {}
        self.images, self.ended, self.hung, self.recall_at = set(images), False, False, None
        self.fetches = {}
        self.answered_sent = None
        self.dirty = asyncio.Event()
        self.baton_report_at = -1e9
        self.on_report = None

    def end(self, reason):
        if self.ended:
            return
        self.ended = True
        for task in list(self.pieces.values()):
            self.drop(task, reason)

    def drop(self, task, reason):
        if task.on_machine:
            self.world.record("task gone %s#%d on %s: %s" % (task.piece, task.attempt, self.name, reason))
        task.stage = "gone"
        self.pieces.pop(task.key, None)

    async def live(self, ready_s):
        await asyncio.sleep(ready_s)
        if self.ended:
            return
        self.answered_sent = now()
        server = await serve_http(self.port, self.on_command)
        reports = asyncio.ensure_future(self.report_loop())
        try:
            while not self.ended:
                if now() - self.answered_sent > self.world.workers_settings["lease_s"]:
                    self.lose_lease()
                if not self.hung:
                    for task in list(self.pieces.values()):
                        self.advance(task)
                await asyncio.sleep(0.05)
        finally:
            reports.cancel()
            server.close()

    def lose_lease(self):
        """Kills all tasks and begins a new session; a machine that hangs for longer than its lease does so too."""
        for task in list(self.pieces.values()):
            self.drop(task, "lease expired")
        self.watch += 1
        self.world.record("worker %s lease expired, session %d" % (self.name, self.watch))
        self.fetches = {}
        self.answered_sent = now()
        self.dirty.set()

    def advance(self, task):
        job = task.job
        if task.stage == "fetching":
            image = job["mould"]
            if image not in self.images:
                done_at = self.fetches.setdefault(image, now() + job["size_gb"] / self.pull)
                if now() < done_at:
                    return
                self.images.add(image)
            self.world.on_start(self, task)
            self.set_stage(task, "waiting" if task.gang else "running")
        elif task.stage == "waiting":
            mates = self.world.mates(task)
            whole = set(range(job["pieces"])) - self.world.done_pieces.get(job["id"], set())
            if set(mates) >= whole and all(t.stage in ("waiting", "running") for _, t in mates.values()):
                self.set_stage(task, "running")
            elif now() - task.since > self.world.workers_settings["gang_wait_s"]:
                self.exit(task, "incomplete")
        elif task.stage == "running":
            if task.gang:
                mates = self.world.mates(task)
                whole = set(range(job["pieces"])) - self.world.done_pieces.get(job["id"], set())
                if not set(mates) >= whole and now() - task.since > 0.5:
                    self.exit(task, "mates_gone")
                    return
            if job["shape"] != "service" and now() - task.since > job["run_s"]:
                self.world.done_pieces.setdefault(job["id"], set()).add(int(task.piece.split("/")[1]))
                self.exit(task, "done")
        elif task.stage == "flushing" and now() >= task.flush_until:
            task.kept = True
            self.exit(task, "stopped")

    def set_stage(self, task, stage):
        task.stage, task.since = stage, now()
        self.world.record("task %s %s#%d on %s" % (stage, task.piece, task.attempt, self.name))
        self.dirty.set()

    def exit(self, task, cause):
        task.cause = cause
        self.set_stage(task, "ended")
        self.world.record("task exit %s#%d on %s cause=%s" % (task.piece, task.attempt, self.name, cause))

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            self.world.record("order %s %s#%d executed on %s" % (order["verb"], key[0], key[1], self.name))
            if order["verb"] == "run":
                self.run(key)
            elif order["verb"] == "stop" and key in self.pieces:
                task = self.pieces[key]
                grace = order.get("wind_down_s", 0)
                if task.stage == "ended":
                    continue
                if task.stage == "running" and task.job["snapshot_s"] > 0 and grace >= task.job["stow_s"]:
                    task.flush_until = now() + task.job["stow_s"]
                    self.set_stage(task, "flushing")
                elif task.stage != "flushing" or grace == 0:
                    self.exit(task, "stopped")
            elif order["verb"] == "clear" and key in self.pieces and self.pieces[key].stage == "ended":
                self.pieces.pop(key)
            self.dirty.set()

    def run(self, key):
        if key in self.pieces:
            return
        job = self.world.jobs.get(key[0].split("/")[0])
        task = Task(key[0], key[1], job)
        self.pieces[key] = task
        held = [t for t in self.pieces.values() if t is not task and t.stage != "ended"]
        if job is None:
            self.exit(task, "unknown")
        elif any(t.piece == task.piece for t in held):
            self.exit(task, "in_use")
        elif any(sum(t.job[f] for t in held) + job[f] > self.build[f] + 1e-9
                 for f in ("cores", "accelerators", "ram_gb")):
            self.exit(task, "full")

    def report(self):
        self.tally += 1
        pieces = []
        for task in self.pieces.values():
            row = {"piece": task.piece, "try": task.attempt, "stage": task.stage}
            if task.stage == "ended":
                row["cause"] = task.cause
                if task.cause == "stopped":
                    row["kept"] = task.kept
            pieces.append(row)
        return {"berth": self.name, "address": self.address, "build": self.build["name"], "yard": self.yard,
                "loaners": self.loaners, "watch": self.watch, "tally": self.tally, "baton": self.baton,
                "recall_s": None if self.recall_at is None else max(0.0, self.recall_at - now()), "pieces": pieces}

    async def on_command(self, method, path, params, body):
        if self.hung:
            return None
        if path == "/status":
            return 200, json.dumps(self.report()).encode()
        command = json.loads(body)
        if "baton" not in command or "watch" not in command:
            return 400, b"{}"
        if command["baton"] < self.baton or command["watch"] != self.watch:
            return 409, json.dumps(self.report()).encode()
        self.see_baton(command["baton"])
        self.execute(command.get("orders", []))
        return 200, json.dumps(self.report()).encode()

    def see_baton(self, baton):
        if baton > self.baton:
            self.baton = baton
            if now() - self.baton_report_at > self.world.workers_settings["lease_s"] / 2:
                self.baton_report_at = now()
                self.dirty.set()

    async def report_loop(self):
        nodes = list(self.world.nodes)
        index, connection, last = random.randrange(len(nodes)), None, 0.0
        while not self.ended:
            period = self.world.workers_settings["report_s"] * random.uniform(0.75, 1.25)
            while now() - last < period or self.hung:
                if self.dirty.is_set() and now() - last >= 0.5 and not self.hung:
                    break
                await asyncio.sleep(0.02)
            self.dirty.clear()
            last = now()
            if connection is None:
                connection = Connection(self.world.nodes[nodes[index]].front)
            report, session = self.report(), self.watch
            if self.on_report is not None:
                self.on_report(report)
            status, answer = await connection.request("POST", "/checkin", report, timeout=4.0)
            if self.hung:
                status, answer = 0, None
            if status == 200:
                if session == self.watch and answer.get("baton", -1) >= self.baton:
                    self.answered_sent = last
                    self.see_baton(answer["baton"])
                    self.execute(answer.get("orders", []))
                continue
            connection.close()
            connection = None
            foreman = (answer or {}).get("foreman") if status == 421 else None
            if foreman in nodes and foreman != nodes[index]:
                index = nodes.index(foreman)
                await asyncio.sleep(random.uniform(0, 0.3))
            else:
                index = (index + 1) % len(nodes)
                await asyncio.sleep(1.0)
            last = -1e9


# ---------------------------------------------------------------- controllers

class Node:
    """One controller process, started with the run line of the deploy file."""

    def __init__(self, world, name, site):
        self.world, self.name, self.site = world, name, site
        self.front, self.internal, self.state, self.cloud = free_ports(4)
        self.process, self.log = None, None
        self.expected_end = False

    def write_settings(self):
        w = self.world
        lines = ['node = "%s"' % self.name, 'site = "%s"' % self.site, 'front = "127.0.0.1:%d"' % self.front,
                 'internal_addr = "127.0.0.1:%d"' % self.internal]
        for peer in w.nodes.values():
            if peer is not self:
                lines += ["", "[[known]]", 'node = "%s"' % peer.name, 'site = "%s"' % peer.site,
                          'address = "127.0.0.1:%d"' % peer.internal]
        lines += ["", "[external]", 'cloud = "127.0.0.1:%d"' % self.cloud, 'state = "127.0.0.1:%d"' % self.state,
                  "", "[settings]", "nodes = %d" % len(w.nodes), "zones = %s" % json.dumps(w.zones),
                  "time_bound_ms = 5.0"]
        for team in w.teams:
            lines += ["", "[[settings.teams]]"] + [
                "%s = %s" % (k, json.dumps(v)) for k, v in team.items()]
        for objective in w.objectives:
            lines += ["", "[[settings.objectives]]"] + [
                "%s = %s" % (k, json.dumps(v)) for k, v in objective.items()]
        for table, values in (("workers", w.workers_settings), ("state", w.state_settings),
                              ("cloud", w.cloud_settings), ("limits", w.limits)):
            lines += ["", "[settings.%s]" % table] + ["%s = %s" % (k, v) for k, v in values.items()]
        path = os.path.join(w.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as f:
            f.write("\n".join(lines) + "\n")
        return path

    def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as f:
            run = next(line for line in f if line.startswith("run = ")).split("=", 1)[1].strip().strip('"')
        self.log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.expected_end = False
        self.process = subprocess.Popen(shlex.split(run) + [self.write_settings()], cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=self.log,
                                        env=dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG_LEVEL", "info")))
        self.world.record("controller %s started pid=%d" % (self.name, self.process.pid))

    def kill(self):
        self.expected_end = True
        self.world.record("controller %s killed" % self.name)
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    @property
    def ended_by_itself(self):
        return self.process is not None and self.process.poll() is not None and not self.expected_end


class World:
    """One small deployment: settings, stand-ins and controllers."""

    def __init__(self, case_folder, sites, zones, builds, teams, objectives=(), workers=None, state=None, cloud=None,
                 limits=None):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="plankwall-review-")
        self.folder = self.temporary.name
        self.zones, self.teams, self.objectives = zones, list(teams), list(objectives)
        self.workers_settings = workers or {"report_s": 3.0, "lease_s": 18.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0,
                                            "cancel_s": 38.0}
        self.state_settings = state or {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 48}
        self.cloud_settings = cloud or {"rps": 8.0, "list_lag_s": 8.0}
        self.limits = limits or {"cpu": 0.33, "memory_mb": 210.0, "max_connections": 1200}
        self.jobs, self.workers, self.tasks, self.done_pieces = {}, {}, [], {}
        self.doubles = []
        self.servers = []
        self.nodes = {}
        for i, site in enumerate(sites):
            self.nodes["berth-%d" % i] = Node(self, "berth-%d" % i, site)
        self.state = StateService(self.state_settings, self.record)
        self.cloud = Cloud(self, builds, self.cloud_settings["rps"], self.cloud_settings["list_lag_s"])

    async def start(self):
        for node in self.nodes.values():
            self.servers.append(await serve_http(node.state, self.state.handler()))
            self.servers.append(await serve_http(node.cloud, self.cloud.handler(node.name)))
        for node in self.nodes.values():
            node.start()
        self.tasks.append(asyncio.ensure_future(self.tick()))

    async def tick(self):
        while True:
            self.state.expire()
            await asyncio.sleep(0.05)

    async def wait_healthy(self, timeout=25.0):
        until = now() + timeout
        for node in self.nodes.values():
            while True:
                status, _ = await Connection(node.front).request("GET", "/up", timeout=1.0)
                if status == 200:
                    break
                if now() > until:
                    raise RuntimeError("%s is not healthy" % node.name)
                await asyncio.sleep(0.2)
        self.record("all controllers are healthy")

    def leader(self):
        item = self.state.keys.get("leader")
        return item[0].get("node") if item else None

    def mates(self, task):
        """The tasks of the gang attempt of [task] that are on machines or being fetched, by number."""
        found = {}
        for worker in self.workers.values():
            if worker.ended:
                continue
            for other in worker.pieces.values():
                if other.attempt == task.attempt and other.job is task.job and other.stage != "ended":
                    found[int(other.piece.split("/")[1])] = (worker, other)
        return found

    def on_start(self, worker, task):
        """A task has its image now: the rule ran_twice is checked here."""
        self.record("task start %s#%d on %s" % (task.piece, task.attempt, worker.name))
        for other in self.workers.values():
            if other is worker or other.ended:
                continue
            for there in other.pieces.values():
                if there.piece == task.piece and there.on_machine:
                    text = "%s#%d starts on %s while #%d is %s on %s" % (
                        task.piece, task.attempt, worker.name, there.attempt, there.stage, other.name)
                    self.doubles.append(text)
                    self.record("RAN TWICE " + text)

    def close(self):
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("REVIEW_KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["REVIEW_KEEP_LOGS"], dirs_exist_ok=True)
        self.temporary.cleanup()


def job(number, **fields):
    spec = {"id": "job-%06d" % number, "docket": "demand-forecast", "crew": "planung-kern", "shape": "sweep",
            "urgency": "low", "pieces": 1, "cores": 1.0, "accelerators": 0.0, "ram_gb": 2.0, "mould": "img-01",
            "size_gb": 0.5, "builds": None, "yard": None, "together": False, "scatter": False, "loaners": False,
            "guess_s": 2.0, "snapshot_s": 0.0, "stow_s": 0.0, "due_s": None}
    spec.update(fields)
    return spec


class Users:
    """Users behind a connection-level load balancer: each request takes a new connection to a node in turn."""

    def __init__(self, world):
        self.world, self.turn = world, 0

    def next_node(self):
        names = list(self.world.nodes)
        self.turn += 1
        return self.world.nodes[names[self.turn % len(names)]]

    async def call(self, method, path, body=None, timeout=5.0, node=None):
        node = node or self.next_node()
        connection = Connection(node.front)
        status, answer = await connection.request(method, path, body, timeout)
        connection.close()
        return node.name, status, answer

    async def submit(self, spec, run_s=2.0, body=None, for_s=60.0, node=None, quiet=False):
        """Submits [spec] as a user does, with retries; returns the final status."""
        self.world.jobs[spec["id"]] = dict(spec, run_s=run_s)
        until = now() + for_s
        while True:
            name, status, answer = await self.call("POST", "/api/jobs", body or spec, node=node)
            if not quiet or status not in (200, 201):
                self.world.record("submit %s at %s -> %d %s" % (spec["id"], name, status, json.dumps(answer)))
            if status in (200, 201, 400, 422) or now() > until:
                return status
            await asyncio.sleep(1.0)

    async def poll(self, job_id, node=None, quiet=False):
        name, status, answer = await self.call("GET", "/api/jobs/" + job_id, timeout=2.0, node=node)
        if not quiet:
            self.world.record("poll %s at %s -> %d %s" % (job_id, name, status, json.dumps(answer)))
        return status, answer

    async def wait_stage(self, job_id, stages, timeout):
        until = now() + timeout
        while now() < until:
            status, answer = await self.poll(job_id, quiet=True)
            if status == 200 and answer["stage"] in stages:
                self.world.record("%s is %s" % (job_id, answer["stage"]))
                return True
            await asyncio.sleep(0.3)
        return False


GOTTHARD = {"name": "gotthard-box", "cores": 96, "accelerators": 8, "ram_gb": 384, "cache_gb": 200,
            "pull_gb_per_s": 1.0, "rate": 22.27, "low_price": 6.66, "ready_s": 60,
            "yards": ["bern-keller", "zurich-rack"]}


def bern(case_folder, **changes):
    """The small deployment of the roster solving: 3 controllers in two zones."""
    options = dict(
        sites=["bern-keller", "zurich-rack", "bern-keller"], zones=["bern-keller", "zurich-rack"], builds=[GOTTHARD],
        teams=[{"name": "planung-kern", "cpus": 0.0, "cpus_max": 0.0, "gpus": 24.0, "gpus_max": 72.0}],
        workers={"report_s": 3.0, "lease_s": 28.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": 53.0},
        state={"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 32},
        cloud={"rps": 6.0, "list_lag_s": 8.0}, limits={"cpu": 0.44, "memory_mb": 210.0, "max_connections": 1800})
    options.update(changes)
    return World(case_folder, **options)


def main(case_folder, play, build=bern):
    """Runs [play] on a new world; exits with its result: 1 rule broken, 0 rule held, 2 could not run."""
    if not os.path.exists(os.path.join(ROOT, "target", "plankwall.jar")):
        print("target/plankwall.jar is missing: build first")
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = 2

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        world = build(case_folder)
        world.record("start, trouble=%s" % trouble)
        try:
            await world.start()
            return await asyncio.wait_for(play(world, trouble), 113.0)
        finally:
            for task in asyncio.all_tasks():
                if task is not asyncio.current_task():
                    task.cancel()
            world.close()

    def on_signal(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_signal)
    try:
        result = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as e:  # the case could not run
        print("could not run: %r" % e)
        result = 2
    sys.exit(result)
