"""Occurrences of scheduled jobs are lost at a takeover if a later occurrence has ended before.

Clients hand in jobs whose only task is due every 3 s, eight times. Tasks take 3.8 s in the mean and vary as
in the site file, so that some occurrences end before an earlier one. Twice, the process that last wrote to
the store under a condition is killed and started again.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import standins  # noqa: E402

# The figures of `royalty` in the site file, but for the number of tasks of an occurrence.
JOBS = 100
JOBS_PER_S = 10
WORK_MS, SPREAD, TAIL, TAIL_X = 3_800, 0.5, 0.03, 7.0
TIMES = 8
TASK_CPU = 100
INTERVAL_MS = 3_000
KILL_AFTER_S = (14.0, 21.0)
DOWN_S = 3.5
FINISH_S = 14.0


async def scenario(case):
    for minion in case.minions:
        minion.spread, minion.tail, minion.tail_x = SPREAD, TAIL, TAIL_X
    began, restarts = standins.now(), []
    clients = []
    for number in range(JOBS):
        body = standins.one_step(ms=WORK_MS, cpu=TASK_CPU)
        body.update(times=TIMES, intervalMs=INTERVAL_MS, initialDelayMs=int(time.time() * 1000) + 500)
        clients.append(asyncio.ensure_future(case.submit(standins.job_id(), body)))
        await asyncio.sleep(max(0.0, began + number / JOBS_PER_S - standins.now()))
    await asyncio.gather(*clients)
    for after in KILL_AFTER_S:
        await asyncio.sleep(max(0.0, began + after - standins.now()))
        owner = case.owner()
        case.record.say(f"{owner.name} last wrote the ends of tasks")
        if case.trouble:
            await owner.kill()
            restarts.append(asyncio.ensure_future(owner.restart_after(DOWN_S)))
    # The last occurrence is due this long after its job was handed in.
    last_due = began + JOBS / JOBS_PER_S + 0.5 + (TIMES - 1) * INTERVAL_MS / 1000
    await asyncio.sleep(max(0.0, last_due + FINISH_S - standins.now()))
    await asyncio.gather(*restarts)
    done = {run["task"] for run in case.runs if run["how"] == "done"}
    cpu = sum(minion.cpu for minion in case.minions)
    used = len(case.running()) * TASK_CPU
    case.record.say(f"{len(done)} of {JOBS * TIMES} tasks done, {used} of {cpu} thousandths of a core in use")
    if used * 2 >= cpu:
        raise RuntimeError("half of the capacity is in use, so that the rule asks for nothing")
    broken = []
    for index, (job, state) in enumerate(case.jobs.items()):
        if state["accepted"] is None:
            continue
        missing = [k for k in range(TIMES) if f"{job}.{k}.0.0" not in done]
        ends = [run["end"] for run in case.runs if run["task"].startswith(job)]
        idle = all(end is not None and standins.now() > end + 3 for end in ends)
        if missing and idle:
            status, shown = await case.query(job, case.entries[index % len(case.entries)])
            last = [f"{run['how']} at {run['end']:.3f}" for run in case.runs
                    if run["task"] == f"{job}.{missing[0]}.0.0"]
            broken.append(f"LOST: {job} is shown as {shown or status}; nothing of it has run for 3 s, and "
                          f"occurrences {missing} aren't done; runs of the first: {last}")
    return broken


standins.main(HERE, scenario)
