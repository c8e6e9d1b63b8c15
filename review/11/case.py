"""A configuration removes a route and adds another one at the same path to another service; then requests of
clients for jobs that were accepted before arrive once more: whether each remains one job."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from standin import Cell, Minion, config, main, now, route  # noqa: E402

# `propagationMs` and `visible_ms` of the sheet.
PROPAGATION_MS = 2_000
VISIBLE_MS = 3_000
JOBS = 10
# Three jobs in ten arrive twice (`twice = 0.3` in the class restock of the site file).
REPEATED = 3
JOB = {"spec": "run_ms=9000", "steps": [{"count": 2, "cpu": 1500, "memMb": 512, "estimateMs": 9000}]}


async def case(folder, trouble):
    cell = Cell(folder, keep_s=300, daemons=3, minions=6, name="11")
    cell.minions += [Minion(cell.record, cell.store, f"j-{index:02d}", "stampa", rack="r9") for index in range(3)]
    services = ["negozi", "stampa"]
    before, after = route("r-restock", "/restock/", "negozi"), route("r-print", "/restock/", "stampa")
    other = route("r-watch", "/watch/", "negozi")
    paths = [f"/restock/{0xABC000 + number:016x}" for number in range(JOBS)]
    acknowledged, gone = {}, []
    try:
        await cell.start(config(1, [before, other], services))
        await asyncio.sleep(2)
        for number, path in enumerate(paths):
            if await cell.submit(cell.daemons[number % 3], path, JOB) != 200:
                raise RuntimeError("a job wasn't accepted")
            acknowledged[path] = now()
        await asyncio.sleep(1)
        if trouble:
            cell.configure(config(3, [after, other], services))
        await asyncio.sleep((PROPAGATION_MS + 500) / 1000)
        for number, path in enumerate(paths):
            asked = now()
            status, _ = await cell.get(cell.daemons[number % 3], path)
            if status == 410 and asked > acknowledged[path] + VISIBLE_MS:
                gone.append(path)
        for number, path in enumerate(paths[:REPEATED]):
            await cell.submit(cell.daemons[(number + 1) % 3], path, JOB, "once more")
        await asyncio.sleep(14)
        twice = []
        for path in paths:
            rows = cell.runs(path.rsplit("/", 1)[1])
            for row in rows:
                cell.record.write("judge", f"run {row}")
            for first in rows:
                for second in rows:
                    ends = first[3] if first[3] is not None else now()
                    if first is not second and first[0] == second[0] and first[2] <= second[2] < ends:
                        twice.append(first[0])
        cell.record.write("judge", f"{len(gone)} of {JOBS} GETs for accepted jobs were answered 410 later than visible_ms after the acknowledgement")
        cell.record.write("judge", f"{len(set(twice))} of the {2 * REPEATED} tasks of repeated jobs ran twice at the same time")
        return not twice
    finally:
        await cell.stop()


main(case, FOLDER)
