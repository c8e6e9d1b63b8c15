"""Jobs that last are lost if their owner changes more often than it republishes open jobs.

A few jobs that last are handed in. Then the process that last wrote to the store under a condition is
killed and started again, several times; the time between two kills is a quarter of `keep_s`.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import standins  # noqa: E402

KEEP_S = int(os.environ.get("KEEP_S", "60"))
JOBS = 6
TASKS = 3
KILLS = 5
GAP_S = KEEP_S / 4
DOWN_S = 3.5
# Longer than `stableMs`, after which all machines are in touch again, and the takeover.
SETTLE_S = 9
STABLE_S, VISIBLE_S = 3, 3


async def scenario(case):
    for _ in range(JOBS):
        if not await case.submit(standins.job_id(), standins.one_step(count=TASKS)):
            raise RuntimeError("a job was not accepted before the disruption")
    restarts = []
    for number in range(KILLS):
        await asyncio.sleep(GAP_S)
        owner = case.owner()
        case.record.say(f"kill {number + 1}: {owner.name} last wrote the ends of tasks, "
                        f"{len(case.running())} tasks run")
        if case.trouble:
            await owner.kill()
            restarts.append(asyncio.ensure_future(owner.restart_after(DOWN_S)))
    await asyncio.gather(*restarts)
    await asyncio.sleep(SETTLE_S)
    case.record.say(f"{len(case.running())} of {JOBS * TASKS} tasks run")
    broken = []
    for job, state in case.jobs.items():
        for entry in case.entries:
            status, _ = await case.query(job, entry)
            # In touch for `stableMs`, and later than `visible_ms` after the acknowledgement.
            in_touch = standins.now() > entry.started + STABLE_S
            if status == 410 and in_touch and standins.now() > state["accepted"] + VISIBLE_S:
                broken.append(f"LOST: GET {job} at {entry.name} is answered 410, accepted at "
                              f"{state['accepted']:.3f}, never cancelled")
    return broken


standins.main(HERE, scenario, keep_s=KEEP_S, status_s=max(1, KEEP_S * 2 // 5))
