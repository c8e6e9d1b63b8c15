"""Traffic with one job that can never be done, a gang wider than its service: whether the other jobs are still
served."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from standin import Cell, call, config, main, now, route  # noqa: E402

# `limits.cpuShare` of the settings in DEPLOY.md.
CORE_SHARE = 0.25
# Jobs of the class restock a second, and minions of its service (classes, traffic and services of the site
# file).
RATE = 11.9
MINIONS = 35
TRAFFIC_S = 25
# Number of the job that can never be done: one of 298. Its members need 693 cores, the service has 560.
POISON = 60
GANG = {"count": 99_000, "cpu": 7, "gang": True}
# `finish_s` of the sheet: time after the end of the traffic at which jobs are asked for.
FINISH_S = 14


async def case(folder, trouble):
    cell = Cell(folder, keep_s=300, daemons=6, minions=MINIONS, name="14")
    claims = []

    def appended(topic, part, records):
        if topic == "keyed.claims":
            for entry in records:
                for daemon in cell.daemons:
                    if daemon.name.encode() in entry and (not claims or claims[-1][1] is not daemon):
                        claims.append((now(), daemon))

    cell.store.appended = appended
    for daemon in cell.daemons:
        daemon.share = CORE_SHARE
    draw = random.Random(14)
    hopeless = json.dumps({"spec": "run_ms=300", "steps": [GANG]}).encode()
    step = {"count": 2, "cpu": 1500, "memMb": 512, "estimateMs": 300}
    ordinary = json.dumps({"spec": "run_ms=300", "steps": [step, {**step, "after": [0]}]}).encode()
    accepted, counts = [], {}
    try:
        await cell.start(config(1, [route("r-restock", "/restock/", "negozi")], ["negozi"]))
        await asyncio.sleep(2)

        async def client(number, is_hopeless):
            path = f"/restock/{number:016x}"
            for attempt in range(4):
                daemon = draw.choice(cell.daemons)
                headers = {"Content-Type": "application/json", "X-Request-Deadline": "3000"}
                status, received, _ = await call(
                    daemon.address, "POST", path, headers, hopeless if is_hopeless else ordinary, 3.2
                )
                kind = "hopeless" if is_hopeless else "ordinary"
                counts[(kind, status)] = counts.get((kind, status), 0) + 1
                cell.record.write("client", f"POST {path} ({kind}) at {daemon.name} -> {status}")
                if status == 200:
                    if not is_hopeless:
                        accepted.append((now(), path))
                    return
                if status not in (0, 429, 502, 503, 504):
                    raise RuntimeError(f"unexpected answer {status}")
                await asyncio.sleep(float(received.get("retry-after", "0.5")))

        began, sent, calls = now(), 0, []
        while now() < began + TRAFFIC_S * 1000:
            is_hopeless = trouble and sent == POISON
            calls.append(asyncio.ensure_future(client(0xABC000 + sent, is_hopeless)))
            sent += 1
            await asyncio.sleep(max(0, began + sent * 1000 / RATE - now()) / 1000)
        await asyncio.wait(calls, timeout=10)
        cell.record.write("judge", f"end of the traffic: {sent} jobs, answers {counts}, {len(accepted)} ordinary jobs accepted")
        traffic_end = now()
        await asyncio.sleep(FINISH_S)
        # Which accepted jobs have a task whose turn has come and nothing running for 3 s.
        def waiting():
            stuck = set()
            for _, path in accepted:
                job = path.rsplit("/", 1)[1]
                rows = cell.runs(job)
                done = {row[0] for row in rows if row[4] == "done"}
                if len(done) < 4 and not any(row[3] is None for row in rows):
                    stuck.add(path)
            return stuck

        before = waiting()
        await asyncio.sleep(3)
        stuck = before & waiting()
        busy = sum(len(minion.running) for minion in cell.minions)
        states = {}
        for path in sorted(stuck)[:5]:
            states[path] = await cell.get(cell.daemons[0], path)
        cell.record.write("judge", f"{len(stuck)} of {len(accepted)} accepted jobs have had nothing running for 3 s, {busy} tasks run on {MINIONS} minions")
        late = [at for at, _ in claims if at > traffic_end]
        cell.record.write("judge", f"owners changed {len(claims) - 1} times, {len(late)} times after the end of the traffic")
        if stuck:
            await asyncio.sleep(20)
            runs = sum(len(cell.runs(path.rsplit("/", 1)[1])) for _, path in accepted)
            cell.record.write("judge", f"20 s later {len(stuck & waiting())} of these jobs still have nothing running; owners changed {len(claims) - 1} times; {runs} runs in all")
        return not stuck
    finally:
        await cell.stop()


main(case, FOLDER)
