"""Stand-ins of the platform's store, of workers and of callers, on loopback.

They follow PROTOCOL.md. A case creates a Deployment, starts scheduler
processes with the commands of the deploy file and checks what its stand-ins
saw. Only the standard library of Python is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"


def now_ms():
    return int(time.monotonic() * 1000)


given_ports = set()


def free_port():
    """Returns a port below those that the system gives to connections."""
    while True:
        port = random.randrange(20000, 32000)
        if port in given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        given_ports.add(port)
        return port


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def time(self):
        return time.monotonic() - self.begun

    def add(self, text):
        self.file.write(f"{self.time():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the header fields and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], fields, body


class HttpService:
    """Serves HTTP/1.1 with JSON bodies. Handlers return (status, body), or
    None to leave the request without an answer."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                parsed = json.loads(body) if body else {}
                answer = await self.handle(method, target, fields, parsed)
                if answer is None:
                    continue
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset(self):
        """Closes all connections, as the end of the process would."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset()


class Store(HttpService):
    """The platform's metadata store."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1000000

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.answer_ms = 4

    def put(self, key, value, lease=0):
        """Writes one item as another client of the store."""
        self.revision += 1
        self._write(key, value, lease)
        self._wake()
        return self.revision

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _write(self, key, value, lease):
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "created": created, "lease": lease}
        self.history.append((self.revision, self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, {
                "key": key, "revision": self.revision, "tombstone": True}))

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (ttl, until) in list(self.leases.items()):
                if time.monotonic() > until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    async def handle(self, method, target, fields, body):
        await asyncio.sleep(self.answer_ms / 1000)
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/kv-key":
            item = self.items.get(args["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        if path == "/-/kv-range":
            return self.range(args["prefix"], args.get("after", ""))
        if path == "/-/kv-watch":
            return await self.watch(args)
        if path == "/-/kv-txn":
            return self.transact(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(1000, min(600000, body["ttlMs"]))
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path[-1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        self.end_lease(lease)
        return 200, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and
                      k > after)
        page, size = [], 0
        for key in keys:
            item = self.items[key]
            length = len(item["value"]) * 3 // 4
            if page and (len(page) == self.PAGE_ITEMS or
                         size + length > self.PAGE_BYTES):
                break
            page.append(item)
            size += length
        return 200, {"items": page, "hasMore": len(page) < len(keys),
                     "currentRev": self.revision}

    async def watch(self, args):
        after = int(args["after"])
        until = time.monotonic() + int(args["waitMs"]) / 1000
        while True:
            events = []
            for revision, event in reversed(self.history):
                if revision <= after:
                    break
                if event["key"].startswith(args["prefix"]):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1],
                             "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[r["key"]] for r in body["expect"]
                           if r["key"] in self.items]
                return 412, {"items": current}
        for put in body.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        self.revision += 1
        for put in body.get("puts", []):
            self._write(put["key"], base64.b64decode(put["value"]),
                        put.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, run, spec, checkpoint):
        self.task, self.run, self.spec = task, run, spec
        self.checkpoint = checkpoint
        self.begun = time.monotonic()
        self.stopping = False


class Worker(HttpService):
    """A worker. Its tasks last as long as their spec says: {"ms": N}, 0 for
    tasks that last; {"ms": N, "how": "failed"} fails."""

    HOLD_MAX_MS = 6000
    STOP_MS = 200

    def __init__(self, deployment, name, service, zone, labels, room):
        super().__init__()
        self.deployment = deployment
        self.id = name
        self.service, self.zone = service, zone
        self.labels, self.room = labels, room
        self.state = "ready"
        self.seq = 0
        self.writes = True
        self.boot()

    def boot(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 5
        self.fence = 0
        self.runs = {}
        self.highest = {}
        self.finished = []
        self.next_end = 1
        self.lease_until = 0
        self.ended = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def entry(self):
        return {
            "service": self.service, "address": f"{HOST}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "room": self.room,
            "labels": self.labels, "clockMs": self.clock(),
            "born": self.born, "seq": self.seq}

    def write_entry(self):
        self.seq += 1
        self.deployment.store.put("servers/" + self.id,
                                  json.dumps(self.entry()).encode())

    async def beat(self):
        while True:
            if self.writes:
                self.write_entry()
            elif time.monotonic() - self.down_since > 3.3:
                self.deployment.store.delete("servers/" + self.id)
            await asyncio.sleep(1.1)

    async def crash(self):
        """Ends the worker's process. Its entry expires after three beats."""
        self.deployment.record.add(f"crash of {self.id}")
        self.writes = False
        self.down_since = time.monotonic()
        for run in list(self.runs.values()):
            self.deployment.note_lost(self, run)
        self.runs = {}
        self.server.close()
        self.reset()

    async def restart(self):
        """Starts the worker again under its id, with nothing of before."""
        self.boot()
        self.seq = 0
        await self.listen(self.port)
        self.writes = True
        self.write_entry()
        self.deployment.record.add(f"restart of {self.id}, born {self.born}")

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.lease_until:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.finished.append([self.next_end, run.task, run.run, how,
                              run.checkpoint])
        self.deployment.note_end(self, run, how, self.next_end)
        self.next_end += 1
        self.ended.set()
        self.ended = asyncio.Event()

    async def _work(self, run):
        spec = json.loads(run.spec)
        if spec["ms"] == 0:
            return
        await asyncio.sleep(spec["ms"] / 1000)
        self.end(run, spec.get("how", "done"))

    async def _stop(self, run):
        run.stopping = True
        await asyncio.sleep(self.STOP_MS / 1000 / 2)
        self.end(run, "stopped")

    def grant(self, until):
        until = min(until, self.clock() + self.HOLD_MAX_MS)
        self.lease_until = max(self.lease_until, until)

    async def handle(self, method, target, fields, body):
        if target == "/health":
            return 200, {}
        if fields.get("expect-instance") not in (None, self.id):
            return 421, {"clockMs": self.clock()}
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if target == "/-/run-start":
            return self.start(body)
        if target == "/-/run-stop":
            return self.stop_run(body)
        if target == "/-/pace":
            return 200, {"clockMs": self.clock()}
        if target == "/-/hold":
            return await self.hold(body)
        return 404, {"clockMs": self.clock()}

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["untilMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.grant(body["untilMs"])
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, {"clockMs": self.clock()}
        if present is not None or number <= self.highest.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        run = Run(task, number, body["spec"], body.get("checkpoint", ""))
        self.runs[task] = run
        self.deployment.note_start(self, run)
        asyncio.ensure_future(self._work(run))
        return 200, {"clockMs": self.clock()}

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run <= number and not run.stopping:
            self.deployment.note_stop(self, run)
            asyncio.ensure_future(self._stop(run))
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        boot = self.born
        seen = body.get("lastSeen", 0)
        for row in self.finished:
            if row[0] <= seen:
                self.deployment.note_seen(self, row, body["fence"])
        self.finished = [row for row in self.finished if row[0] > seen]
        if "untilMs" in body:
            self.grant(body["untilMs"])
        if not self.finished and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        if self.born != boot:
            return None
        running = [[r.task, r.run, r.checkpoint, 100, 0]
                   for r in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "finished": self.finished[:500]}


class Link:
    """A proxy with the bandwidth of a machine's link."""

    def __init__(self, port, mbps):
        self.target, self.mbps = port, mbps
        self.free_at = {"up": 0.0, "down": 0.0}

    async def listen(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.server = server
        return server.sockets[0].getsockname()[1]

    async def _pump(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(16384)
                if not data:
                    break
                if self.mbps:
                    start = max(time.monotonic(), self.free_at[way])
                    self.free_at[way] = start + len(data) * 8 / self.mbps / 1e6
                    wait = self.free_at[way] - time.monotonic()
                    if wait > 0:
                        await asyncio.sleep(wait)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

    async def _serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(
                HOST, self.target, limit=65536)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, up_writer, "up"),
                             self._pump(up_reader, writer, "down"))


def deployed_role():
    """Returns command, template and environment of deploy/system.toml."""
    text = open(f"{ROOT}/deploy/system.toml").read()
    role = dict(re.findall(r'^(run|template) = "([^"]*)"$', text, re.M))
    table = re.search(r"^env = \{(.*)\}$", text, re.M).group(1)
    role["env"] = dict(re.findall(r'(\w+) = "([^"]*)"', table))
    return role


class Scheduler:
    """One process of the system, started as deploy/system.toml says."""

    def __init__(self, deployment, name, zone, share, memory_mb, store_port):
        self.deployment, self.name = deployment, name
        self.role = deployed_role()
        self.front, self.health = free_port(), free_port()
        self.fields = {
            "node": name, "zone": zone, "ip": HOST,
            "portRange": [free_port(), free_port()],
            "listen": {"front": f"{HOST}:{self.front}",
                       "ready": f"{HOST}:{self.health}"},
            "limits": {"cpuShare": share, "memoryMb": memory_mb,
                       "maxFds": 4100},
            "platform": {"address": f"{HOST}:{store_port}",
                         "ttlMinMs": 1000},
            "bounds": {"holdMaxMs": 6000, "drainMs": 2000, "graceS": 6,
                       "early_ms": 250, "farX": 3}}
        self.process = None

    def render(self, text):
        def value(match):
            name, _, form = match.group(1).partition("|")
            found = self.fields
            for part in name.split("."):
                if isinstance(found, list):
                    found = found[int(part)]
                else:
                    found = found.get(part) if found is not None else None
            if form == "json":
                return json.dumps(found)
            return "" if found is None else str(found)
        return re.sub(r"\{\{([^}]+)\}\}", value, text)

    async def start(self):
        folder = self.deployment.folder
        path = f"{folder}/{self.name}.json"
        template = open(f"{ROOT}/{self.role['template']}").read()
        with open(path, "w") as file:
            file.write(self.render(template))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["SEQUOIAKEEL_CONFIG"] = path
        for key, text in self.role["env"].items():
            env[key] = self.render(text)
        command = self.render(self.role["run"]).split(" ")
        self.log = open(f"{folder}/{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.deployment.record.add(f"start process {self.name}")

    def signal(self, number):
        self.deployment.record.add(
            f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def ready(self):
        for _ in range(400):
            try:
                status, _ = await call(self.health, "GET", "/-/ready")
                if status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False


async def call(port, method, target, host="", body=None, timeout=5.0,
               fields=()):
    """Sends one request; returns (status, body), or (0, None) without an
    answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields)
            if data:
                head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            line, _, content = await read_message(reader)
            return int(line.split()[1]), json.loads(content or b"null")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError, OSError):
        return 0, None


class Deployment:
    """Store, workers and scheduler processes, with what the workers saw."""

    def __init__(self, folder):
        self.record = Record(f"{folder}/record.txt")
        self.folder = tempfile.mkdtemp(prefix="sequoiakeel-review-")
        self.store = Store()
        self.workers = {}
        self.schedulers = []
        self.starts = []
        self.running = {}
        self.done_seen = {}
        self.problems = []
        self.begun = {}
        self.ends = []
        self.specs = []

    def problem(self, rule, text):
        self.record.add(f"BROKEN {rule}: {text}")
        self.problems.append((rule, text))

    def note_start(self, worker, run):
        self.record.add(f"run   {run.task} run {run.run} on {worker.id}")
        self.starts.append((time.monotonic(), worker.id, run.task, run.run))
        self.specs.append((run.task, run.spec))
        others = self.running.setdefault(run.task, {})
        if others:
            self.problem("TWICE", f"{run.task} run {run.run} starts on "
                         f"{worker.id} while it runs on {sorted(others)}")
        others[worker.id] = run.run
        if run.task in self.done_seen:
            self.problem("TWICE", f"{run.task} run {run.run} starts on "
                         f"{worker.id} although {self.done_seen[run.task]}")

    def note_end(self, worker, run, how, number):
        self.record.add(f"end   {run.task} run {run.run} on {worker.id}: "
                        f"{how} (end {number})")
        self.running.get(run.task, {}).pop(worker.id, None)
        self.ends.append((time.monotonic(), worker.id, run.task, run.run, how))

    def note_lost(self, worker, run):
        self.record.add(f"lost  {run.task} run {run.run} on {worker.id}")
        self.running.get(run.task, {}).pop(worker.id, None)

    def note_stop(self, worker, run):
        self.record.add(f"stop  {run.task} run {run.run} on {worker.id}")

    def note_seen(self, worker, row, fence):
        self.record.add(f"seen  end {row[0]} of {worker.id}: {row[1]} run "
                        f"{row[2]} {row[3]} (fence {fence})")
        if row[3] == "done":
            self.done_seen.setdefault(
                row[1], f"run {row[2]} ended done on {worker.id} and "
                f"lastSeen reached that end at {self.record.time():.3f}")

    def configure(self, version, routes, services):
        """Writes op/config; returns its size in bytes."""
        document = {
            "version": version, "routes": routes,
            "services": [{"name": s, "healthCheck": "/health",
                          "maxConnections": 64, "protocol": "h1", "tls": False,
                          "enforcesCapacity": False, "standby": False}
                         for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        text = json.dumps(document, separators=(",", ":"))
        names = ", ".join(f"{r['hostname']}{r['prefix']} -> {r['service']}"
                          for r in routes[:3])
        self.record.add(f"op/config version {version}, {len(routes)} routes, "
                        f"{len(text)} bytes: {names}")
        self.store.put("op/config", text.encode())
        return len(text)

    async def begin(self):
        self.store_port = await self.store.listen()
        asyncio.ensure_future(self.store.expire_leases())

    async def add_worker(self, name, service, zone, labels, room):
        worker = Worker(self, name, service, zone, labels, room)
        worker.port = await worker.listen()
        self.workers[name] = worker
        asyncio.ensure_future(worker.beat())
        asyncio.ensure_future(worker.watch_lease())
        return worker

    async def add_scheduler(self, name, zone, share=0.25, memory_mb=260,
                            mbps=0):
        port = self.store_port
        if mbps:
            port = await Link(port, mbps).listen()
        scheduler = Scheduler(self, name, zone, share, memory_mb, port)
        self.schedulers.append(scheduler)
        await scheduler.start()
        return scheduler

    async def all_ready(self):
        for scheduler in self.schedulers:
            if not await scheduler.ready():
                return False
        return True

    def close(self):
        for scheduler in self.schedulers:
            if scheduler.process and scheduler.process.returncode is None:
                try:
                    scheduler.process.kill()
                except ProcessLookupError:
                    pass
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, attempts=4, priority=0):
    return {"name": name, "hostname": host, "prefix": prefix,
            "type": "non_idempotent", "timeoutMs": 3000,
            "targetDurationMs": 250, "priority": priority, "service": service,
            "attempts": attempts, "stretch": 1.5}


def main(case, folder, limit_s=115):
    """Runs a case; exits with 1 if a rule was broken, 0 if not, 2 if it could
    not run."""
    async def guarded():
        loop = asyncio.get_running_loop()
        # Connections of a case that ends are cut.
        loop.set_exception_handler(lambda *_: None)
        # The processes of a case that is ended from outside end with it.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        deployment = Deployment(folder)
        try:
            await deployment.begin()
            trouble = os.environ.get("TROUBLE", "1") != "0"
            deployment.record.add(f"trouble {trouble}")
            return await asyncio.wait_for(case(deployment, trouble), limit_s)
        except Exception as error:  # The case could not run.
            deployment.record.add(f"could not run: {error!r}")
            return 2
        finally:
            deployment.record.add("end")
            deployment.close()
    try:
        code = asyncio.run(guarded())
    except asyncio.CancelledError:
        code = 2
    print(f"exit {code}")
    sys.exit(code)
