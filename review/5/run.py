"""Stops and starts two processes in turn, as planned, while clients ask for a job."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin.case import HOST, main

JOB = "5c0e7a21d94b36f8"
GAP_S = 2.0  # gap_s: time between two steps of roll_term, one process each
RESTART_S = 0.8  # time from the end of a process to its start
STABLE_S = 3  # stableMs
GRACE_S = 6  # graceS: time from SIGTERM to SIGKILL
LOSS_SLACK_S = 0.2  # lossSlackMs
DEADLINE_S = 3.0
PERIOD_S = 0.1  # time between two requests to a process


async def ask(case, process, outcomes, lost):
    """Sends one GET on a new connection and waits for its answer or the end of the connection."""
    host, port = process.frontend.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return  # the process doesn't listen
    sent = None
    try:
        writer.write(
            f"GET /lohu930/{JOB} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Deadline: {int(DEADLINE_S * 1000)}\r\n\r\n".encode()
        )
        await writer.drain()
        sent = time.monotonic()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_S)
        outcomes.append(head.split(b" ", 2)[1].decode())
    except asyncio.TimeoutError:
        outcomes.append("deadline")
    except (asyncio.IncompleteReadError, OSError):
        if sent is None:
            return  # the request wasn't sent in full
        waited = time.monotonic() - sent
        outcomes.append("cut")
        case.record(f"client: GET at {process.name}: connection ended without an answer "
                    f"{waited:.3f} s after the request")
        if waited > LOSS_SLACK_S:
            lost.append(waited)
    finally:
        writer.close()


async def ask_all(case, outcomes, lost, requests):
    while True:
        for process in case.processes:
            requests.append(asyncio.create_task(ask(case, process, outcomes, lost)))
        await asyncio.sleep(PERIOD_S)


async def stop_and_start(case, process):
    process.signal(signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while process.child.poll() is None:
        if time.monotonic() > until:
            process.kill()
        await asyncio.sleep(0.01)
    case.record(f"process {process.name} ended with {process.child.poll()}")
    await asyncio.sleep(RESTART_S)
    process.start()


async def scenario(case):
    await case.start(processes=2, minions=3)
    step = {"count": 2, "cpu": 500, "memMb": 256, "persistent": True}
    await case.submit(case.processes[0], JOB, {"spec": '{"ms": 0, "lasts": true}', "steps": [step]})
    await asyncio.sleep(STABLE_S + 1)
    outcomes, lost, requests = [], [], []
    asking = asyncio.create_task(ask_all(case, outcomes, lost, requests))
    await asyncio.sleep(1)
    stops = []
    for process in case.processes:
        if case.trouble:
            stops.append(asyncio.create_task(stop_and_start(case, process)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)
    await asyncio.sleep(2)
    asking.cancel()
    await asyncio.gather(*requests)
    counts = {outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))}
    finding = f"{len(outcomes)} requests: {counts}"
    # The processes count a request as open once they have read it.
    for process in case.processes:
        for line in process.log_text().splitlines():
            if " E102 " in line or " E103 " in line:
                case.record(f"log of {process.name}: {line}")
    case.record(finding)
    if lost:
        return False, (
            f"LOST: {finding}; {len(lost)} connections ended without an answer more than "
            f"{LOSS_SLACK_S} s after the request, up to {max(lost):.3f} s"
        )
    return True, finding


main(__file__, scenario)
