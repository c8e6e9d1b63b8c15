"""Parts that all cases share: the record, the processes of the system, the operator and the clients."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standin.http import call
from standin.log import Log
from standin.minion import Minion

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"

HELD, BROKEN, NOT_RUN = 0, 1, 2
PORTS = (12_000, 32_000)
LIMIT_S = 110  # time for a scenario; a script may take 120 s


class NotRun(Exception):
    """The case couldn't be brought to the point at which the rule is checked."""


def free_ports(count):
    """Returns free ports below those that the kernel gives to outgoing connections, so that a
    process finds them free again when it restarts."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def render(template, fields):
    """Fills in the placeholders that deploy/entry.json uses: {{a.b}} and {{a.b|json}}."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        return json.dumps(fields[name]) if form == "json" else str(fields[name])

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Process:
    """A process of the system, started with the command and the settings template of deploy/."""

    def __init__(self, case, name, zone, cores):
        self.case, self.name, self.zone, self.cores = case, name, zone, cores
        self.child = None

    async def prepare(self):
        self.door = await self.case.log.door()
        ports = free_ports(4)
        self.frontend, self.readiness = (f"127.0.0.1:{port}" for port in ports[:2])
        fields = {
            "nodeName": self.name, "zone": self.zone, "ip": "127.0.0.1",
            "listen.frontend": self.frontend, "listen.readiness": self.readiness,
            "portRange.0": ports[2], "portRange.1": ports[3], "platform.parts": 32,
            "limits.cpuShare": self.cores, "policyBounds.maxHoldMs": 10_000,
            "policyBounds.status_s": 120, "platform.keep_s": 300, "policyBounds.early_ms": 250,
            "platform.address": self.door.address, "recommendation": None,
        }
        with open(os.path.join(ROOT, "deploy/entry.json")) as template:
            text = render(template.read(), fields)
        self.settings = os.path.join(self.case.folder, f"{self.name}.json")
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        output = open(os.path.join(self.case.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ["PATH"], "ROSEMARYWORKS_CONFIG": self.settings}
        self.child = subprocess.Popen(
            ["target/release/rosemary-entry"], cwd=ROOT, env=environment,
            stdout=output, stderr=output, stdin=subprocess.DEVNULL,
        )
        output.close()
        self.case.record(f"process {self.name} started")

    def signal(self, number):
        self.case.record(f"process {self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def log_text(self):
        with open(os.path.join(self.case.folder, f"{self.name}.log"), errors="replace") as file:
            return file.read()


class Case:
    """One run of a case. `trouble` says whether the disruption takes place."""

    def __init__(self, path):
        self.directory = os.path.dirname(os.path.abspath(path))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self.lines = []
        self.processes, self.minions = [], []
        self.version = 0
        self.routes, self.services = [], []
        self.record(f"trouble {'on' if self.trouble else 'off'}")

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.lines.append((self.now(), text))

    def events(self, prefix):
        return [(at, text) for at, text in self.lines if text.startswith(prefix)]

    async def start(self, processes, minions, services=("huvo11a",)):
        """Starts the store, minions of the first service and processes; publishes the first
        configuration and waits until all processes are ready."""
        self.log = Log()
        self.services = list(services)
        self.routes = [route("r-a", "/lohu930/", services[0])]
        self.publish()
        for index in range(minions):
            await self.add_minion(f"i-{index}", services[0])
        for index in range(processes):
            # The first machine is the strongest, so that it becomes the owner.
            zone, cores = [("milano", 0.5), ("torino", 0.25), ("bologna", 0.12)][min(index, 2)]
            process = Process(self, f"edge-{index}", zone, cores)
            await process.prepare()
            self.processes.append(process)
            process.start()
        await self.until(self.all_ready, 15, "the processes are ready")
        await asyncio.sleep(4)

    async def add_minion(self, name, backend, **options):
        minion = Minion(self.log, self.record, name, backend, **options)
        await minion.start()
        self.minions.append(minion)
        return minion

    async def all_ready(self):
        for process in self.processes:
            if (await call("GET", process.readiness, "/-/readiness", timeout=1))[0] != 200:
                return False
        return True

    def publish(self):
        self.version += 3
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
             "tls": False, "constraints": False, "standby": False}
            for name in self.services
        ]
        limits = {"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000,
                  "idleTimeoutMs": 15000}
        value = {"version": self.version, "routes": self.routes, "services": services,
                 "limits": limits}
        self.log.put_json("keyed.op", "config", value)
        routes = [f"{entry['pathPrefix']}->{entry['backend']}" for entry in self.routes]
        self.record(f"operator: version {self.version} acknowledged, routes {routes}")

    async def until(self, condition, limit_s, what):
        """Waits for a condition; the case couldn't run if it isn't met in time."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise NotRun(what)

    async def request(self, method, process, path, body=None, timeout=3.0):
        status, text = await call(method, process.frontend, path, HOST, body, timeout)
        self.record(f"client: {method} {path} at {process.name} -> {status} {text[:80]}")
        return status, text

    async def submit(self, process, job, body, prefix="/lohu930/"):
        """Hands a job in until it is accepted, at most four times."""
        for _ in range(4):
            status, _ = await self.request("POST", process, prefix + job, body)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.5)
        raise NotRun(f"job {job} wasn't accepted")

    async def state(self, process, job, prefix="/lohu930/"):
        status, text = await self.request("GET", process, prefix + job)
        return json.loads(text)["state"] if status == 200 else status

    def owner(self):
        """Returns the process that activated a shard last, from the claims in the store."""
        text = self.log.partition("keyed.claims", 0).records
        for record in reversed(text):
            for process in self.processes:
                if process.name.encode() in record:
                    return process
        return None

    def finish(self):
        for process in self.processes:
            process.end()
        with open(os.path.join(self.directory, "record.txt"), "w") as file:
            for at, text in self.lines:
                file.write(f"{at:8.3f} s  {text}\n")
        if os.environ.get("KEEP") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, backend, attempts=4):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "type": "non_idempotent",
            "timeoutMs": 3000, "sloMs": 250, "priority": 0, "backend": backend,
            "attempts": attempts, "slackFactor": 1.5}


def main(path, scenario):
    """Runs `scenario(case)`, a coroutine that returns (held, finding), and exits with its code. An
    error in the script itself counts as a case that couldn't run."""
    case = Case(path)
    # The processes end also if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code, finding = NOT_RUN, "the script was stopped"
    try:
        held, finding = asyncio.run(asyncio.wait_for(scenario(case), LIMIT_S))
        code = HELD if held else BROKEN
    except Exception as error:  # NotRun, a time-out, or an error in the script
        finding = f"the case couldn't run: {error!r}"
    finally:
        case.record(f"result {code}: {finding}")
        case.finish()
        print(f"{code}: {finding}")
    sys.exit(code)
