"""Jobs that have completed run again after a process is killed.

Clients hand in short jobs all the time; three in ten are handed in again seconds after their 2xx
response. Once `keep_s` has passed, the process that last wrote to the store under a condition is
killed and started again.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import standins  # noqa: E402

KEEP_S = int(os.environ.get("KEEP_S", "60"))
JOBS_PER_S = 6
AGAIN_SHARE = 0.3
AGAIN_AFTER_S = 4.0
WORK_MS = 300
KILL_AFTER_S = KEEP_S + 10
DOWN_S = 3.5
WATCH_S = 8


async def hand_in(case, job):
    body = standins.one_step(ms=WORK_MS)
    if await case.submit(job, body) and random.random() < AGAIN_SHARE:
        await asyncio.sleep(AGAIN_AFTER_S)
        await case.submit(job, body)


async def scenario(case):
    began = standins.now()
    clients, killed = [], False
    while standins.now() < began + KILL_AFTER_S + WATCH_S:
        clients.append(asyncio.ensure_future(hand_in(case, standins.job_id())))
        if not killed and standins.now() >= began + KILL_AFTER_S:
            killed = True
            owner = case.owner()
            case.record.say(f"{owner.name} last wrote the ends of tasks")
            if case.trouble:
                await owner.kill()
                clients.append(asyncio.ensure_future(owner.restart_after(DOWN_S)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*clients)
    accepted = sum(1 for job in case.jobs.values() if job["accepted"] is not None)
    done = sum(1 for run in case.runs if run["how"] == "done")
    case.record.say(f"{accepted} jobs accepted, {len(case.runs)} starts, {done} ends `done`")
    return [f"TWICE: {second['task']} starts on {second['minion']} at {second['start']:.3f} "
            f"(attempt {second['attempt']}); attempt {first['attempt']} on {first['minion']} ended "
            f"{first['how']} at {first['end']:.3f}, taken note of at {first['noted']:.3f}"
            for first, second in standins.second_starts(case.runs)
            if first["end"] is not None and first["noted"] is not None]


standins.main(HERE, scenario, keep_s=KEEP_S, status_s=max(1, KEEP_S * 2 // 5))
