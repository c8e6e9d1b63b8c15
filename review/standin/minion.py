"""Stand-in for a minion. The `spec` of a job is a JSON object: the milliseconds of work of each task
under its name without the job's identifier, or "ms" for all others; "lasts" for tasks that last."""

import asyncio
import json
import time

from standin.http import Server, reply

TICK_S = 0.005
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STARTUP_MS = 300  # time until a task that lasts is at work
STOP_MS = 100  # time that a stop takes; killGraceMs allows 900


class Minion:
    def __init__(self, log, record, name, backend, cpu=16_000, rack="r1-1"):
        self.log, self.record = log, record
        self.name, self.backend, self.cpu, self.rack = name, backend, cpu, rack
        self.up = False
        self.port = 0
        self.slow = 1.0  # factor on the time of work
        self.listed = True
        self.intercept = None  # coroutine(request) -> result or None

    async def start(self):
        """Begins a life: nothing runs, and no token, attempt or end is known."""
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token, self.deadline = 0, 0
        self.running, self.finished, self.ended_runs = {}, [], {}
        self.number = 0
        self.sequence = 0
        self.ended = asyncio.Event()
        self.server = await Server(self.handle).start(self.port)
        self.port = self.server.port
        self.up = True
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.beat())]
        self.record(f"minion {self.name} up at {self.server.address} born {self.born}")

    def crash(self):
        """Ends without a word; the entry in the store is removed after three heartbeats."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        for task, run in self.running.items():
            self.record(f"run-end {task} attempt {run['attempt']} on {self.name}: crashed")
        self.running = {}
        self.record(f"minion {self.name} crashed")
        born = self.born
        asyncio.create_task(self.expire_entry(born))

    async def expire_entry(self, born):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not self.up and self.born == born:
            self.log.put("keyed.servers", self.name, b"")

    def clock(self):
        return 1_000 + int((time.monotonic() - self.origin) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            entry = {
                "backend": self.backend,
                "address": self.server.address,
                "zone": "milano",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldMs": 0,
                "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": 32_768, "gpu": 0},
                "labels": ["a", self.rack],
                "timestampMs": self.clock(),
                "sequence": self.sequence,
            }
            self.log.put_json("keyed.servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = self.clock()
            lapsed = now >= self.deadline
            for task, run in list(self.running.items()):
                passed = time.monotonic() - run["began"]
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(task, run, "stopped")
                elif lapsed:
                    self.end(task, run, "lapsed")
                elif not run["lasts"] and passed * 1000 >= run["ms"] * self.slow:
                    self.end(task, run, "done")

    def end(self, task, run, how):
        del self.running[task]
        self.number += 1
        self.finished.append([self.number, task, run["attempt"], how, ""])
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run["attempt"])
        self.record(f"run-end {task} attempt {run['attempt']} on {self.name}: {how}")
        self.ended.set()
        self.ended = asyncio.Event()

    def extend(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + MAX_HOLD_MS))

    async def handle(self, request):
        if self.intercept is not None:
            result = await self.intercept(request)
            if result is not None:
                return result
        expected = request.headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            return reply(421, {"timestampMs": self.clock(), "born": self.born})
        if request.path == "/health":
            return reply(200)
        body = request.json()
        if body["fencingToken"] < self.token:
            return self.answer(409, reason="fence")
        self.token = body["fencingToken"]
        if request.path == "/-/run-start":
            return self.run_start(body)
        if request.path == "/-/run-stop":
            return self.run_stop(body)
        if request.path == "/-/hold":
            return await self.hold(body)
        return self.answer(200)

    def answer(self, status, **fields):
        return reply(status, {"timestampMs": self.clock(), "born": self.born, **fields})

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        if body["deadlineMs"] <= self.clock():
            return self.answer(409, reason="late")
        self.extend(body["deadlineMs"])
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt:
            return self.answer(200)
        if run is not None or attempt <= self.ended_runs.get(task, 0):
            return self.answer(409, reason="old")
        work = json.loads(body["spec"])
        ms = work.get(task.partition(".")[2], work["ms"])
        self.running[task] = {
            "attempt": attempt, "began": time.monotonic(), "ms": ms, "stop_at": None,
            "lasts": work.get("lasts", False),
        }
        epoch = body["fencingToken"] >> 20
        self.record(f"run-start {task} attempt {attempt} on {self.name} token epoch {epoch}")
        return self.answer(200)

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run["attempt"] == attempt and run["stop_at"] is None:
            run["stop_at"] = self.clock() + STOP_MS
            self.record(f"run-stop {task} attempt {attempt} on {self.name}")
        return self.answer(200)

    async def hold(self, body):
        self.extend(body.get("deadlineMs"))
        for end in self.finished:
            if end[0] <= body["lastSeen"]:
                self.record(f"end-noted {end[1]} attempt {end[2]} on {self.name}: {end[3]}")
        self.finished = [end for end in self.finished if end[0] > body["lastSeen"]]
        until = time.monotonic() + min(body.get("waitMs", 0), 2_000) / 1000
        while not self.finished and time.monotonic() < until and self.up:
            try:
                await asyncio.wait_for(self.ended.wait(), max(until - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                break
        running = []
        for task, run in self.running.items():
            passed = (time.monotonic() - run["began"]) * 1000
            work_ms = STARTUP_MS if run["lasts"] else run["ms"]
            percent = int(100 * passed / (work_ms * self.slow))
            percent = min(100 if run["lasts"] else 99, percent)
            running.append([task, run["attempt"], "", percent, 0.0])
        return self.answer(200, running=running, finished=self.finished[:500])
