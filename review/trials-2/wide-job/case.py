"""One job that can never be done ends every process, again and again.

A few usual jobs are handed in. Then one job comes whose only step has four million tasks. As the platform
does, the script kills a process that exceeds `limits.memoryMb`, and starts it again after a short pause.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib-2"))
import standins  # noqa: E402

USUAL_JOBS = 6
COUNT_POISON, COUNT_USUAL = 4_000_000, 6
MEMORY_MB = 260
RESTART_PAUSE_S = 1.0
WATCH_S = 20
FINISH_S = 14


def memory_mb(process):
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1_000_000


async def keep_running(case, entry, ends):
    while True:
        await asyncio.sleep(0.02)
        if entry.is_running():
            used_mb = memory_mb(entry.process)
            if used_mb <= MEMORY_MB:
                continue
            entry.process.kill()
            await entry.process.wait()
            case.record.say(f"{entry.name} is killed: {used_mb:.0f} MB, more than {MEMORY_MB}")
        else:
            case.record.say(f"{entry.name} ended by itself, code {entry.process.returncode}")
        ends[entry.name] = ends.get(entry.name, 0) + 1
        await asyncio.sleep(RESTART_PAUSE_S)
        await entry.start()


async def scenario(case):
    for _ in range(USUAL_JOBS):
        if not await case.submit(standins.job_id(), standins.one_step(count=3)):
            raise RuntimeError("a job was not accepted before the disruption")
    await asyncio.sleep(2)
    ends = {}
    keepers = [asyncio.ensure_future(keep_running(case, entry, ends)) for entry in case.entries]
    count = COUNT_POISON if case.trouble else COUNT_USUAL
    poison = standins.job_id()
    accepted = await case.submit(poison, standins.one_step(ms=300, count=count))
    case.record.say(f"the job with {count} tasks is accepted: {accepted}")
    await asyncio.sleep(WATCH_S + FINISH_S)
    broken = [f"Fault: {name} ended by itself {number} times" for name, number in ends.items()
              if number >= 3]
    if len(broken) < 2:
        broken = []
    for job, state in case.jobs.items():
        if job == poison:
            continue
        answers = await asyncio.gather(*[case.query(job, entry) for entry in case.entries])
        if all(status != 200 for status, _ in answers):
            broken.append(f"LOST: no machine answers for {job}, accepted at {state['accepted']:.3f}: "
                          f"{[status for status, _ in answers]}")
    for keeper in keepers:
        keeper.cancel()
    await asyncio.gather(*keepers, return_exceptions=True)
    return broken


standins.main(HERE, scenario)
