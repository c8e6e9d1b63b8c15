"""Adds a route while a shard is being taken over and the store is slow."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin.case import main, route

JOB = "5c0e7a21d94b36f8"
PREFIX = "/pule252/"
SLOWNESS = 60.0  # the pages' largest: x = 60
SLOW_S = 4.5  # the pages' largest: for_s = 4.5
DOWN_S = 3.5  # time from the kill to the restart
PUBLISHED_AFTER_S = 0.25  # time from the successor's claim to the new version
STABLE_S = 3  # stableMs
PROPAGATION_S = 2  # propagationMs
FINISH_S = 14  # finish_s: time after the last request at which jobs are judged
STUCK_S = 3  # time without a run after which the rule counts a job as lost


async def scenario(case):
    await case.start(processes=2, minions=3)
    owner = case.owner()
    successor = next(process for process in case.processes if process is not owner)
    began = time.monotonic()
    if case.trouble:
        case.log.slowness = SLOWNESS
        case.record("the store is slow")
        await asyncio.sleep(0.3)
        owner.kill()
        await case.until(lambda: case.owner() is successor, 4, "the successor claims the shard")
        case.record(f"{successor.name} has claimed the shard")
        await asyncio.sleep(PUBLISHED_AFTER_S)
    case.routes.append(route("r-b", PREFIX, "huvo11a"))
    case.publish()
    if case.trouble:
        await asyncio.sleep(max(0, began + SLOW_S - time.monotonic()))
        case.log.slowness = 1.0
        case.record("the store has its usual speed")
        await asyncio.sleep(max(0, began + 0.3 + DOWN_S - time.monotonic()))
        owner.start()
    await asyncio.sleep(STABLE_S + PROPAGATION_S)
    task = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}
    await case.submit(successor, JOB, {"spec": '{"ms": 500}', "steps": [task]}, PREFIX)
    for _ in range(4):
        await asyncio.sleep(1)
        await case.state(successor, JOB, PREFIX)
    await asyncio.sleep(FINISH_S + STUCK_S)
    state = await case.state(successor, JOB, PREFIX)
    if not case.events("run-start"):
        return False, (
            f"LOST: the accepted job has not been started {FINISH_S + STUCK_S} s after the last "
            f"request, with all minions empty; state {state}"
        )
    return state == "completed", f"the job has run, state {state}"


main(__file__, scenario)
