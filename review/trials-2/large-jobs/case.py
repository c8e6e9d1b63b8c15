"""Open jobs are lost once their republication exceeds `requestBytes`.

Clients hand in long jobs at the usual rate, 600 in all, which stay open. With trouble, the jobs are large:
their `spec` has the longest size that PROTOCOL.md allows. Without, it has the mean size of the site file.
Nothing else happens.
"""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib-2"))
import standins  # noqa: E402

KEEP_S = int(os.environ.get("KEEP_S", "60"))
JOBS = 600
JOBS_PER_S = 15
WORK_MS = 1_000_000
SPEC_BYTES_LARGE = 4_000
SPEC_BYTES_USUAL = 300
ASK_AFTER_S = KEEP_S * 1.6


def body(size):
    job = standins.one_step(ms=WORK_MS, cpu=100, mem=64)
    padding = size - len(json.dumps({"ms": WORK_MS, "pad": ""}))
    job["spec"] = json.dumps({"ms": WORK_MS, "pad": "x" * padding})
    return job


async def scenario(case):
    size = SPEC_BYTES_LARGE if case.trouble else SPEC_BYTES_USUAL
    began = standins.now()
    clients = []
    for number in range(JOBS):
        clients.append(asyncio.ensure_future(case.submit(standins.job_id(), body(size))))
        await asyncio.sleep(max(0.0, began + number / JOBS_PER_S - standins.now()))
    await asyncio.gather(*clients)
    accepted = [job for job, state in case.jobs.items() if state["accepted"] is not None]
    case.record.say(f"{len(accepted)} of {JOBS} jobs accepted, {len(case.running())} tasks run")
    await asyncio.sleep(max(0.0, began + ASK_AFTER_S - standins.now()))
    case.record.say(f"{len(case.running())} tasks run")
    broken = []
    for number, job in enumerate(accepted):
        entry = case.entries[number % len(case.entries)]
        status, _ = await case.query(job, entry)
        if status == 410:
            broken.append(f"LOST: GET {job} at {entry.name} is answered 410, accepted at "
                          f"{case.jobs[job]['accepted']:.3f}, never cancelled")
    return broken


standins.main(HERE, scenario, keep_s=KEEP_S, status_s=max(1, KEEP_S * 2 // 5))
