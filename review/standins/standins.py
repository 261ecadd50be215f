"""Stand-ins of the platform (store, workers) and of requesters for the scripts
of the review. They speak what PROTOCOL.md says and use only the standard
library. Every address is a loopback address and every port is a free one.

A case builds a Deployment, which starts the scheduler processes with the
command of deploy/system.toml and settings rendered from the template there.
"""
import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STORE_ANSWER_S = 0.004
STORE_PAGE = 500
MAX_TXN_ENTRIES = 32
HEARTBEAT_S = 1.1
MAX_WAIT_MS = 2000
LISTED_ENDS = 500
LIMIT_S = 115
TAKEN = set()
DEPLOYMENTS = []


class CannotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    """Returns a port that is free at an address. It lies below the ports that the
    system assigns, so that no outgoing connection takes it before its process
    binds it."""
    for port in range(20000, 32000):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            if (ip, port) not in TAKEN:
                TAKEN.add((ip, port))
                return port
    raise CannotRun(f"no free port at {ip}")


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP/1.1 message, or None at the
    end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpServer:
    """Serves handler(method, target, headers, body) -> (status, object) or None;
    None leaves the request unanswered and closes nothing."""

    def __init__(self, handler):
        self.handler = handler

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # Nothing further is answered on this connection.
                    await reader.read()
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        self.expiry = asyncio.create_task(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        self.write(key, value, lease)
        self.wake()

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {"key": key, "revision": self.revision, "tombstone": True})

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()
        asyncio.ensure_future(notify())

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.erase(key)
            self.wake()
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if now >= end:
                    self.record.add(f"store lease {lease} expired")
                    self.end_lease(lease)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        sent = json.loads(body) if body else {}
        if path == "/-/kv-key":
            item = self.items.get(values["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, dict(item, currentRev=self.revision)
        if path == "/-/kv-range":
            return 200, self.range(values)
        if path == "/-/kv-watch":
            return await self.watch(values)
        if path == "/-/kv-txn":
            return self.transact(sent)
        if path == "/-/kv-lease":
            ttl = min(max(int(sent["ttlMs"]), 1000), 600000)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            return (200, {}) if self.end_lease(lease) else (404, {})
        return 404, {}

    def range(self, values):
        keys = sorted(k for k in self.items if k.startswith(values["prefix"]))
        after = values.get("after", "")
        keys = [k for k in keys if k > after]
        return {"items": [self.items[k] for k in keys[:STORE_PAGE]],
                "hasMore": len(keys) > STORE_PAGE, "currentRev": self.revision}

    async def watch(self, values):
        after, prefix = int(values["after"]), values["prefix"]
        deadline = time.monotonic() + int(values.get("waitMs", "0")) / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    def transact(self, sent):
        expect, puts = sent.get("expect", []), sent.get("puts", [])
        remove = sent.get("remove", [])
        if len(expect) + len(puts) + len(remove) > MAX_TXN_ENTRIES:
            return 400, {}
        keys = [p["key"] for p in puts] + remove
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        holds = all(self.items.get(e["key"], {"revision": 0})["revision"] == e["revision"]
                    for e in expect)
        if not holds:
            return 412, {"items": [self.items[e["key"]] for e in expect
                                   if e["key"] in self.items]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in remove:
            self.erase(key)
        self.wake()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, run, work_ms, step, checkpoint):
        self.task, self.run, self.work_ms, self.step = task, run, work_ms, step
        self.done_ms = 0.0
        self.percent = 100
        self.lasts = bool(step.get("longRunning"))
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        self.at = self.began
        self.stop_at = None

    def advance(self):
        now = time.monotonic()
        self.done_ms += (now - self.at) * 10 * self.percent
        self.at = now


class Worker:
    """One life of a worker. `work` tells how long a task works at full speed and
    `usage` the fifth entry of its row in `running`; both are functions of a
    case. It runs whatever it is instructed to (`enforcesCapacity` is false)."""

    def __init__(self, deployment, name, rack="r1-1", cpu=32000, memory=128000):
        self.deployment, self.name, self.rack = deployment, name, rack
        self.record = deployment.record
        self.cpu, self.memory = cpu, memory
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs, self.ends, self.numbers = {}, [], 0
        self.highest, self.fence, self.lease_ms, self.seq = {}, 0, 0, 0
        self.ended = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.late_orders = None

    def clock(self):
        return 1000 + int((time.monotonic() - self.begun) * 1000)

    async def start(self):
        await self.http.start()
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.beat())]

    def entry(self):
        self.seq += 1
        return {"service": self.deployment.service, "address": self.http.address,
                "zone": "lakes-a", "version": "v1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0, "room": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
                "labels": ["a", self.rack], "clockMs": self.clock(), "born": self.born,
                "seq": self.seq}

    async def beat(self):
        while True:
            self.deployment.store.put(f"servers/{self.name}", json.dumps(self.entry()).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            lapsed = self.runs and self.clock() >= self.lease_ms
            for run in list(self.runs.values()):
                run.advance()
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stop_at and time.monotonic() >= run.stop_at:
                    self.end(run, "stopped")
                elif not run.lasts and run.done_ms >= run.work_ms:
                    self.end(run, "done")

    def end(self, run, how):
        del self.runs[run.task]
        self.numbers += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ends.append([self.numbers, run.task, run.run, how, ""])
        self.record.add(f"worker {self.name}: {run.task} run {run.run} ended {how}")
        self.deployment.ended(self, run, how)

        async def notify():
            async with self.ended:
                self.ended.notify_all()
        asyncio.ensure_future(notify())

    async def handle(self, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        sent = json.loads(body) if body else {}
        late = self.late_orders(target, sent) if self.late_orders else None
        if late is not None:
            self.record.add(f"worker {self.name}: {target} {body.decode()} unanswered, "
                            f"carried out {late:.1f} s later")
            asyncio.get_running_loop().call_later(late, self.obey_late, target, sent)
            return None
        if target == "/-/hold":
            return await self.hold(sent)
        return self.obey(target, sent)

    def obey_late(self, target, sent):
        status, _ = self.obey(target, sent)
        self.record.add(f"worker {self.name}: late {target} {json.dumps(sent)} -> {status}")

    def refuses(self, sent):
        fence = sent.get("fence", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        return None

    def extend(self, sent):
        most = self.clock() + self.deployment.hold_max_ms
        self.lease_ms = max(self.lease_ms, min(sent.get("untilMs", 0), most))

    def obey(self, target, sent):
        refusal = self.refuses(sent)
        clock = {"clockMs": self.clock()}
        if refusal:
            self.record.add(f"worker {self.name}: {target} of fence {sent.get('fence')} refused")
            return refusal
        if target == "/-/run-start":
            return self.run_start(sent)
        run = self.runs.get(sent["task"])
        there = run is not None and run.run == sent["run"]
        if target == "/-/run-stop":
            self.record.add(f"worker {self.name}: stop {sent['task']} run {sent['run']}"
                            f"{'' if there else ' (not there)'}")
            if there and run.stop_at is None:
                run.stop_at = time.monotonic() + 0.05
            if not there:
                self.highest[sent["task"]] = max(self.highest.get(sent["task"], 0), sent["run"])
            return 200, clock
        if target == "/-/pace":
            self.record.add(f"worker {self.name}: pace {sent['task']} run {sent['run']} "
                            f"to {sent['percent']}{'' if there else ' (not there)'}")
            if not there:
                return 409, dict(clock, reason="old")
            run.advance()
            run.percent = sent["percent"]
            return 200, clock
        return 400, clock

    def run_start(self, sent):
        task, number, clock = sent["task"], sent["run"], {"clockMs": self.clock()}
        present = self.runs.get(task)
        if sent["untilMs"] <= self.clock():
            return 409, dict(clock, reason="late")
        self.extend(sent)
        if present is not None and present.run == number:
            return 200, clock
        if number <= self.highest.get(task, 0) or present is not None:
            return 409, dict(clock, reason="old")
        job, _, step, _ = task.split(".")
        spec = self.deployment.jobs[job]["steps"][int(step)]
        run = Run(task, number, self.deployment.work(task), spec, sent.get("checkpoint", ""))
        self.runs[task] = run
        self.record.add(f"worker {self.name}: {task} run {number} begins (fence {sent['fence']})")
        self.deployment.began(self, run)
        return 200, clock

    async def hold(self, sent):
        refusal = self.refuses(sent)
        if refusal:
            return refusal
        self.extend(sent)
        self.ends = [e for e in self.ends if e[0] > sent.get("lastSeen", 0)]
        deadline = time.monotonic() + min(sent.get("waitMs", 0), MAX_WAIT_MS) / 1000
        while not self.ends and time.monotonic() < deadline:
            async with self.ended:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.ended.wait(), deadline - time.monotonic())
        rows = []
        for run in self.runs.values():
            run.advance()
            percent = 100 if run.lasts else min(99, int(100 * run.done_ms / max(1, run.work_ms)))
            rows.append([run.task, run.run, run.checkpoint, percent,
                         self.deployment.usage(self, run)])
        return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                     "finished": self.ends[:LISTED_ENDS]}


class Deployment:
    """A small deployment: one service, one queue for each entry of `queues`."""

    def __init__(self, record, queues, schedulers=3):
        DEPLOYMENTS.append(self)
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.service, self.host = "huvo11a", "nony24.example"
        self.queues = queues
        self.hold_max_ms = 6000
        self.jobs, self.workers, self.processes, self.addresses = {}, [], {}, {}
        self.names = [f"edge-lakes-a-{i + 1}" for i in range(schedulers)]
        self.accepted = {}
        # Replaced by a case.
        self.work = lambda task: 1000
        self.usage = lambda worker, run: run.step.get("cpu", 0) * run.percent // 100
        self.began = lambda worker, run: None
        self.ended = lambda worker, run, how: None

    async def start(self, workers):
        binary = os.path.join(ROOT, "target/bin/sequoiakeel-scheduler")
        if not os.path.exists(binary):
            raise CannotRun("target/bin/sequoiakeel-scheduler is not built")
        self.store = Store(self.record)
        await self.store.start()
        routes = [{"name": f"r-{name}", "hostname": self.host, "prefix": f"/{name}/",
                   "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 1000,
                   "service": self.service, "stretch": 2.0, **extra}
                  for name, extra in self.queues.items()]
        config = {"version": 7, "routes": routes, "services": [
            {"name": self.service, "healthCheck": "/health", "maxConnections": 64,
             "protocol": "h1", "tls": False, "enforcesCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("op/config", json.dumps(config).encode())
        for worker in workers:
            await worker.start()
            self.workers.append(worker)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["scheduler"]
        for index, name in enumerate(self.names):
            ip = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.{1 + index}"
            self.addresses[name] = {"ip": ip, "front": f"{ip}:{free_port(ip)}",
                                    "ready": f"{ip}:{free_port(ip)}", "peer": free_port(ip),
                                    "metrics": free_port(ip)}
            self.start_process(name)
        await self.await_ready()

    def settings(self, name):
        address = self.addresses[name]
        values = {"node": name, "zone": "lakes-a", "ip": address["ip"],
                  "portRange": [address["peer"], address["metrics"]],
                  "listen": {"front": address["front"], "ready": address["ready"]},
                  "limits": {"cpuShare": 0.25},
                  "platform": {"address": self.store.http.address, "ttlMinMs": 1000},
                  "bounds": {"holdMaxMs": self.hold_max_ms, "drainMs": 2000, "early_ms": 250,
                             "farX": 3}}

        def fill(match):
            value = values
            for part in match.group(1).split("."):
                value = value[int(part)] if part.isdigit() else value[part]
            return json.dumps(value)
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            return re.sub(r"\{\{([\w.]+)\|json\}\}", fill, file.read())

    def start_process(self, name):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(name))
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                     "LANG": "C.UTF-8", "SEQUOIAKEEL_CONFIG": path})
        self.record.add(f"{name}: started")

    def signal(self, name, number):
        self.record.add(f"{name}: {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    async def await_ready(self, names=None, limit=20):
        deadline = time.monotonic() + limit
        for name in names or self.names:
            while (await self.call(self.addresses[name]["ready"], "GET", "/-/ready"))[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun(f"{name} did not become ready")
                await asyncio.sleep(0.1)

    def owner(self):
        """Returns the name of the process that acts as the owner of the cell, as
        the store shows it, or None."""
        for key, item in self.store.items.items():
            if key.endswith("/inbox/owner"):
                text = base64.b64decode(item["value"]).decode()
                for name in self.names:
                    if f'"{name}"' in text:
                        return name
        return None

    async def call(self, address, method, path, body=None, budget=3.0):
        """Returns (status, object); status 0: no answer."""
        host, port = address.rsplit(":", 1)
        data = json.dumps(body).encode() if body is not None else b""
        writer = None
        try:
            async with asyncio.timeout(budget):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
                    f"Deadline-Ms: {int(budget * 1000)}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                message = await read_message(reader)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, {}
        finally:
            if writer is not None:
                writer.close()
        if message is None:
            return 0, {}
        first, _, answer = message
        with contextlib.suppress(ValueError):
            return int(first.split(" ")[1]), json.loads(answer or b"{}")
        return int(first.split(" ")[1]), {}

    def alive(self):
        return [n for n in self.names if self.processes[n].poll() is None]

    async def submit(self, queue, job, steps, tries=5):
        """Hands a job in as a requester does: again at another node after no
        answer, 429, 502, 503 or 504."""
        self.jobs[job] = {"spec": f"spec of {job}", "steps": steps}
        for attempt in range(tries):
            names = self.alive()
            name = names[attempt % len(names)]
            status, _ = await self.call(self.addresses[name]["front"], "POST",
                                        f"/{queue}/{job}", self.jobs[job])
            self.record.add(f"POST /{queue}/{job} at {name} -> {status}")
            if 200 <= status < 300:
                self.accepted[job] = time.monotonic()
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job} was not accepted")

    async def state(self, queue, job):
        """Returns the state of a job, or the status of the answer, asking up to
        three nodes."""
        answer = 0
        for name in self.alive()[:3]:
            status, body = await self.call(self.addresses[name]["front"], "GET", f"/{queue}/{job}")
            answer = body.get("state", status) if status == 200 else status
            if status in (200, 410):
                break
        self.record.add(f"GET /{queue}/{job} -> {answer}")
        return answer

    async def starts(self, queue, job, finish_s, wait_s):
        """Checks the end of LOST for a job of one step, which has just been handed
        in as the last one: returns False if, later than `finish_s` after that, it
        has nothing running for 3 s while the workers have room for its step twice
        over and under half of their processors and memory is in use."""
        step = self.jobs[job]["steps"][0]
        cpu, memory = step["cpu"], step["memMb"]
        begun = time.monotonic()
        since, longest, state = None, 0.0, ""
        while time.monotonic() - begun < wait_s and state != "completed":
            await asyncio.sleep(0.25)
            now = time.monotonic()
            present = any(r.task.startswith(job) for w in self.workers for r in w.runs.values())
            used = [(sum(r.step["cpu"] for r in w.runs.values()),
                     sum(r.step["memMb"] for r in w.runs.values())) for w in self.workers]
            places = sum(min((w.cpu - c) // cpu, (w.memory - m) // memory)
                         for w, (c, m) in zip(self.workers, used))
            idle = (not present and places >= 2 * step["count"]
                    and 2 * sum(c for c, _ in used) < sum(w.cpu for w in self.workers)
                    and 2 * sum(m for _, m in used) < sum(w.memory for w in self.workers))
            if not idle or now - begun < finish_s:
                since = None
            elif since is None:
                since = now
            else:
                longest = max(longest, now - since)
            if int(now - begun) != int(now - begun - 0.25):
                state = await self.state(queue, job)
                self.record.add(f"job {job}: {'running' if present else 'nothing running'}, "
                                f"room for {places} tasks of its step, used {used}")
        self.record.add(f"job {job}: {state}; nothing running for {longest:.1f} s on end, "
                        f"later than {finish_s} s after it was handed in")
        return longest < 3

    async def until(self, condition, limit, what):
        """Waits for a condition that the case needs."""
        deadline = time.monotonic() + limit
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(f"{what} did not happen within {limit} s")
            await asyncio.sleep(0.02)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
            os.environ.pop("REVIEW_KEEP_LOGS")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, name="record.txt"):
    """Runs `await case(record, trouble)`, which returns whether the rule held.
    Exits with 0 if it held, 1 if it was broken and 2 if the case couldn't run."""
    record = Record(os.path.join(folder, name))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble {int(trouble)}")

    def leave(code, text):
        record.add(text)
        for deployment in DEPLOYMENTS:
            deployment.stop()
        # Leaves without the end of the event loop, which waits for all requests.
        os._exit(code)

    def interrupted(number, _):
        leave(2, f"could not run: {signal.Signals(number).name}")

    async def run():
        try:
            held = await case(record, trouble)
        except Exception as error:  # An error of the script says nothing about the rule.
            leave(2, f"could not run: {error!r}")
        leave(0 if held else 1, "the rule held" if held else "the rule was broken")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, interrupted)
    signal.alarm(LIMIT_S)
    asyncio.run(run())
