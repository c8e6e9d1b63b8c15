"""Stand-ins for the users' platform: its store, its minions, clients, and the processes under test.

Everything runs on one asyncio loop and on loopback addresses. What a stand-in does follows the
pages PROTOCOL.md, DEPLOY.md and RULES.md; where a page is silent, it behaves like a sound one.
"""

import asyncio
import base64
import collections
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
QUOTA = os.path.join(os.path.dirname(os.path.abspath(__file__)), "quota.py")
PROGRAM = os.path.join(ROOT, "target", "release", "rosemary-entry")
BEGAN = time.monotonic()


def now():
    """Milliseconds since the start of the script."""
    return int((time.monotonic() - BEGAN) * 1000)


class Record:
    """The file record.txt: one line for each event, with its time in milliseconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, who, text):
        self.file.write(f"{now():7d} {who}: {text}\n")
        self.file.flush()


class Ports:
    """Ports below those of the project's tests and of outgoing connections. Each script has a range of its own,
    whose first port it holds while it runs."""

    def __init__(self):
        ranges = list(range(12_000, 20_000, 200))
        random.SystemRandom().shuffle(ranges)
        for first in ranges:
            self.guard = socket.socket()
            try:
                self.guard.bind((HOST, first))
            except OSError:
                self.guard.close()
                continue
            self.rest = iter(range(first + 1, first + 200))
            return
        raise RuntimeError("no range of ports is free")

    def next(self):
        for port in self.rest:
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return port
        raise RuntimeError("no port is free")


PORTS = Ports()


def free_port():
    return PORTS.next()


class Silent(Exception):
    """The call gets no answer."""


class Reset(Exception):
    """The connection is reset."""


class Http:
    """HTTP/1.1 server. The handler gets method, path, query, headers and body, and returns status and
    body (bytes, or an object that is sent as JSON)."""

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        return self

    async def stop(self):
        """Closes the listening socket and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                try:
                    status, reply = await self.handler(method, path, query, headers, body)
                except Silent:
                    await asyncio.sleep(3600)
                    return
                except Reset:
                    writer.transport.abort()
                    return
                kind = "application/octet-stream"
                if not isinstance(reply, bytes):
                    kind = "application/json"
                    reply = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} S\r\ncontent-type: {kind}\r\n"
                    f"content-length: {len(reply)}\r\n\r\n".encode() + reply
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, headers=None, body=b"", limit_s=3.0):
    """Sends one request on a connection of its own. Returns status, headers and body; status 0 if there
    is no answer in time or the connection breaks."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": "jobs.example", "Content-Length": str(len(body)), "Connection": "close"}
            fields.update(headers or {})
            text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            received = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                received[name.strip().lower()] = value.strip()
            length = int(received.get("content-length", "0"))
            return int(head[0].split(" ")[1]), received, await reader.readexactly(length)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, {}, b""


class Partition:
    """A partition of a topic in the store."""

    def __init__(self):
        self.first = 0
        self.records = collections.deque()
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def expire(self, keep_s):
        while self.records and time.monotonic() - self.records[0][1] > keep_s:
            self.records.popleft()
            self.first += 1

    def add(self, record, is_keyed):
        offset = self.end
        self.records.append((record, time.monotonic()))
        if is_keyed:
            length = record[0]
            key, value = bytes(record[1 : 1 + length]), bytes(record[1 + length :])
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)


class Store:
    """The platform's store. Each process calls it at an address of its own, so that the store can be down
    for some of them."""

    def __init__(self, record, keep_s, append_ms=2.0, answer_ms=2.0):
        self.record = record
        self.keep_s = keep_s
        self.append_ms = append_ms
        self.answer_ms = answer_ms
        self.partitions = {}
        self.down = None  # None, "busy", "reset" or "silent", for all callers
        self.appended = lambda topic, part, records: None

    def partition(self, topic, part):
        found = self.partitions.setdefault((topic, part), Partition())
        found.expire(self.keep_s)
        return found

    def put(self, topic, key, value):
        """Appends a record of the operator or of a minion."""
        key = key.encode()
        value = json.dumps(value).encode() if value is not None else b""
        partition = self.partition(topic, 0)
        partition.add(bytes([len(key)]) + key + value, True)
        partition.grown.set()
        partition.grown = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.down == "busy":
            return 503, {}
        if self.down == "reset":
            raise Reset
        if self.down == "silent":
            raise Silent
        await asyncio.sleep(self.answer_ms / 1000)
        if path == "/-/log-append":
            return await self.append(query, body)
        if path == "/-/log-read":
            return await self.read(query)
        if path == "/-/log-newest":
            return self.newest(query)
        return 404, {}

    async def append(self, query, body):
        topic, part = query["topic"], int(query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, rest = [], body
        while rest:
            (length,) = struct.unpack(">I", rest[:4])
            records.append(rest[4 : 4 + length])
            rest = rest[4 + length :]
        await asyncio.sleep(self.append_ms / 1000)
        partition = self.partition(topic, part)
        if "at" in query and int(query["at"]) != partition.end:
            return 412, {"end": partition.end}
        if "producer" in query:
            name, epoch, sequence = query["producer"], int(query["epoch"]), int(query["sequence"])
            seen = partition.producers.get(name)
            if seen and epoch < seen["epoch"]:
                return 409, {"reason": "fenced"}
            if not seen or epoch > seen["epoch"]:
                seen = {"epoch": epoch, "next": None, "answers": {}}
                partition.producers[name] = seen
            if records:
                if sequence in seen["answers"]:
                    return 200, seen["answers"][sequence]
                if seen["next"] is not None and sequence != seen["next"]:
                    return 409, {"reason": "seq", "expected": seen["next"]}
        offset = partition.end
        for entry in records:
            partition.add(entry, topic.startswith("keyed."))
        answer = {"offset": offset, "end": partition.end}
        if "producer" in query and records:
            seen["next"] = sequence + 1
            seen["answers"][sequence] = answer
            for old in [key for key in seen["answers"] if key < sequence - 4]:
                del seen["answers"][old]
        if records:
            self.appended(topic, part, records)
            partition.grown.set()
            partition.grown = asyncio.Event()
        return 200, answer

    async def read(self, query):
        topic, part, start = query["topic"], int(query["part"]), int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if self.down:
                raise Silent
            partition = self.partition(topic, part)
            if start < partition.first:
                return 410, {"first": partition.first}
            if start < partition.end or time.monotonic() >= until:
                break
            try:
                await asyncio.wait_for(partition.grown.wait(), max(0, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        most = int(query.get("maxKb", "1024")) * 1024
        out, size = [], 0
        for entry, _ in list(partition.records)[max(0, start - partition.first) :]:
            if out and size + len(entry) > most:
                break
            out.append(struct.pack(">I", len(entry)) + entry)
            size += len(entry)
        return 200, struct.pack(">QQ", partition.end, partition.first) + b"".join(out)

    def newest(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        after = query.get("after")
        keys = sorted(key for key in partition.newest if after is None or key > after.encode())
        items, size = [], 0
        for key in keys:
            value, offset = partition.newest[key]
            if len(items) == 500 or size > 1_000_000:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
            size += len(text)
        return 200, {"items": items, "hasMore": len(items) < len(keys), "end": partition.end}

    def key_of(self, record):
        return record[1 : 1 + record[0]].decode(errors="replace")


class Minion:
    """A minion. The text `spec` of a job tells it how a task behaves: `run_ms=N` for its run time,
    `lasts` for a task that lasts."""

    def __init__(self, record, store, name, backend, cpu=16000, mem=32768, rack="r1", max_hold_ms=10000):
        self.record = record
        self.store = store
        self.name = name
        self.backend = backend
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.labels = ["a", rack]
        self.max_hold_ms = max_hold_ms
        self.http = Http(self.handle)
        self.port = self.http.port
        self.up = False
        self.tasks = []
        self.on_start = None  # called with the body of a start; may return "hold"
        self.ran = []  # [task, attempt, started, ended, how, life]
        self.life = 0

    async def start(self):
        """Begins a life under the same id and address."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic() - 1.0
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.finished = []
        self.ends = 0
        self.highest = {}
        self.sequence = 0
        self.ended = asyncio.Event()
        self.http = Http(self.handle, self.port)
        await self.http.start()
        self.up = True
        self.record.write(self.name, f"life {self.life} begins, born={self.born}")
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]

    async def crash(self):
        """Ends this life. Everything that runs ends with it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        await self.http.stop()
        for name, run in self.running.items():
            run["row"][3:5] = [now(), "lost"]
        self.running = {}
        self.record.write(self.name, f"life {self.life} ends")

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def entry(self):
        self.sequence += 1
        return {
            "backend": self.backend, "address": f"{HOST}:{self.port}", "zone": "milano",
            "version": "v1", "slots": 8, "state": "ready", "coldMs": 0, "born": self.born,
            "capacity": self.capacity, "labels": self.labels, "timestampMs": self.clock(),
            "sequence": self.sequence,
        }

    async def beat(self):
        while True:
            if not self.store.down:
                self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.5)

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.lease:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["left_ms"] is not None and now() >= run["began"] + run["left_ms"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.running.pop(task)
        run["row"][3:5] = [now(), how]
        self.ends += 1
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.finished.append([self.ends, task, run["attempt"], how, ""])
        self.record.write(self.name, f"end {task} attempt={run['attempt']} {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    def reply(self, **fields):
        return {"timestampMs": self.clock(), "born": self.born, **fields}

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, self.reply()
        if path == "/health":
            return 200, {}
        order = json.loads(body)
        if path == "/-/run-start":
            if self.on_start and self.on_start(self, order) == "hold":
                raise Silent
            return self.take_start(order)
        if path == "/-/run-stop":
            return self.take_stop(order)
        if path == "/-/hold":
            return await self.take_hold(order)
        if path == "/-/pace":
            return 200, self.reply()
        return 404, {}

    def take_start(self, order):
        task, attempt, token = order["task"], order["attempt"], order.get("fencingToken", 0)
        refused = None
        if token < self.fence:
            refused = "fence"
        elif order["deadlineMs"] <= self.clock():
            refused = "late"
        if refused is None:
            self.fence = token
            self.extend(order["deadlineMs"])
            if task in self.running and self.running[task]["attempt"] == attempt:
                return 200, self.reply()
            if attempt <= self.highest.get(task, 0) or task in self.running:
                refused = "old"
        if refused:
            self.record.write(self.name, f"start {task} attempt={attempt} token={token} refused: {refused}")
            return 409, self.reply(reason=refused)
        behaviour = dict(word.partition("=")[::2] for word in order["spec"].split())
        left = int(behaviour["run_ms"]) if "run_ms" in behaviour else None
        row = [task, attempt, now(), None, None, self.life, self.name]
        self.ran.append(row)
        self.running[task] = {
            "attempt": attempt, "began": now(), "left_ms": left, "row": row,
            "how": behaviour.get("how", "done"),
        }
        self.record.write(self.name, f"start {task} attempt={attempt} token={token} runs, life {self.life}")
        return 200, self.reply()

    def take_stop(self, order):
        task, attempt, token = order["task"], order["attempt"], order.get("fencingToken", 0)
        if token < self.fence:
            return 409, self.reply(reason="fence")
        self.fence = token
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.running and self.running[task]["attempt"] <= attempt:
            self.end(task, "stopped")
        return 200, self.reply()

    def extend(self, deadline_ms):
        self.lease = max(self.lease, min(deadline_ms, self.clock() + self.max_hold_ms))

    async def take_hold(self, order):
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return 409, self.reply(reason="fence")
        if token > self.fence:
            self.record.write(self.name, f"token {token}")
        self.fence = token
        if order.get("deadlineMs") is not None:
            self.extend(order["deadlineMs"])
        seen = order.get("lastSeen", 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        if not self.finished and order.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended.wait(), order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = []
        for task, run in self.running.items():
            passed = now() - run["began"]
            percent = 100 if run["left_ms"] is None else min(99, passed * 100 // max(1, run["left_ms"]))
            if run["left_ms"] is None and passed < 300:
                percent = 50
            rows.append([task, run["attempt"], "", percent, 0])
        return 200, self.reply(running=rows, finished=self.finished[:500])


class Daemon:
    """A process of the system, started with the command of deploy/system.toml and settings as
    deploy/entry.json renders them."""

    def __init__(self, record, store, name, folder, keep_s, zone="milano", cores=0.25, lease_max_ms=10000):
        self.record = record
        self.name = name
        self.store_http = Http(store.handle)
        self.ports = [free_port() for _ in range(4)]
        self.settings = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.process = None
        self.share = None  # of a core, as a quota; None for no limit
        self.quota = None
        listen, ready, peer, metrics = (f"{HOST}:{port}" for port in self.ports)
        self.address = listen
        self.ready_address = ready
        self.body = {
            "entry": {
                "node": name, "zone": zone, "listen": listen, "readiness_listen": ready,
                "peer_listen": peer, "metrics_listen": metrics, "shards": 32, "stop_ms": 4500,
                "cores": cores, "memory_mb": 260, "max_fds": 4100, "lease_max_ms": lease_max_ms,
                "keep_ms": 120000, "retention_ms": keep_s * 1000, "early_ms": 250,
                "log": {"level": "info", "format": "text", "stdout": True},
            },
            "log": self.store_http.address,
            "advice": None,
        }

    async def prepare(self):
        await self.store_http.start()

    async def start(self):
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.body, file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ROSEMARYWORKS_CONFIG"] = self.settings
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        self.record.write(self.name, f"started, pid {self.process.pid}")
        if self.share:
            self.quota = await asyncio.create_subprocess_exec(
                sys.executable, "-B", QUOTA, str(self.process.pid), str(self.share)
            )

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write(self.name, f"sent {signal.Signals(number).name}")

    async def kill(self):
        if self.quota and self.quota.returncode is None:
            self.quota.kill()
            await self.quota.wait()
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
            self.record.write(self.name, "killed")

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _, _ = await call(self.ready_address, "GET", "/-/readiness", limit_s=0.5)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False


def resident_bytes(pid):
    """Returns the resident memory of a process that the script started, without the pages of files."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


def route(name, prefix, backend, attempts=4, priority=1):
    return {
        "name": name, "host": "jobs.example", "pathPrefix": prefix, "type": "non_idempotent",
        "timeoutMs": 3000, "sloMs": 1000, "priority": priority, "backend": backend,
        "attempts": attempts, "slackFactor": 2.0,
    }


def config(version, routes, backends):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
             "constraints": False, "standby": False} for name in backends
        ],
        "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Cell:
    """A small deployment: a store, minions and processes."""

    def __init__(self, folder, keep_s=300, daemons=3, minions=6, backend="negozi", name="case"):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix=f"review-{name}-")
        self.store = Store(self.record, keep_s)
        self.backend = backend
        self.minions = [
            Minion(self.record, self.store, f"i-{index:02d}", backend, rack=f"r{index // 3}")
            for index in range(minions)
        ]
        self.daemons = [
            Daemon(self.record, self.store, f"edge-milano-{index + 1}", self.temporary.name, keep_s)
            for index in range(daemons)
        ]

    async def start(self, first_config):
        self.configure(first_config)
        for minion in self.minions:
            await minion.start()
        for daemon in self.daemons:
            await daemon.prepare()
            await daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} isn't ready")

    def configure(self, body):
        self.store.put("keyed.op", "config", body)
        self.record.write("operator", "config " + json.dumps(
            {"version": body["version"], "routes": [(r["name"], r["pathPrefix"], r["backend"]) for r in body["routes"]]}))

    async def submit(self, daemon, path, job, note=""):
        body = json.dumps(job).encode()
        status, _, _ = await call(daemon.address, "POST", path, {"Content-Type": "application/json", "X-Request-Deadline": "3000"}, body, 3.2)
        self.record.write("client", f"POST {path} at {daemon.name} -> {status} {note}")
        return status

    async def get(self, daemon, path, quiet=False):
        status, _, body = await call(daemon.address, "GET", path, {"X-Request-Deadline": "3000"}, b"", 3.2)
        state = json.loads(body).get("state") if status == 200 and body else None
        if not quiet:
            self.record.write("client", f"GET {path} at {daemon.name} -> {status} {state or ''}")
        return status, state

    async def delete(self, daemon, path):
        status, _, _ = await call(daemon.address, "DELETE", path, {"X-Request-Deadline": "3000"}, b"", 3.2)
        self.record.write("client", f"DELETE {path} at {daemon.name} -> {status}")
        return status

    def runs(self, job):
        """Rows of all runs of a job's tasks: task, attempt, start, end, how, life, minion."""
        rows = [row for minion in self.minions for row in minion.ran if not job or row[0].startswith(job + ".")]
        return sorted(rows, key=lambda row: row[2])

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        for minion in self.minions:
            if minion.up:
                await minion.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


def main(case, folder):
    """Runs a case: `case(cell_folder, trouble)` returns True if the rule held. Exits with 0 if the rule held,
    1 if it was broken, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Where record.txt is written, for runs side by side.
    folder = os.environ.get("REVIEW_OUT", folder)
    if not os.path.exists(PROGRAM):
        print("target/release/rosemary-entry is missing", file=sys.stderr)
        sys.exit(2)

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            # The processes that were started end with the script.
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(folder, trouble), 110)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
        print(f"couldn't run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("rule held" if held else "rule broken")
    sys.exit(0 if held else 1)
