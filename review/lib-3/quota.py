"""Gives a process that the script started a share of a core as a quota, until the process ends: "The core runs at
full speed until the quota is used up, and then runs not at all for the rest of that tenth of a second" (DEPLOY.md).
Usage: quota.py PID SHARE"""

import os
import signal
import sys
import time

PERIOD_S = 0.1
POLL_S = 0.002


def used_s(pid):
    """Returns the processor time of all threads."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{thread}/schedstat", encoding="ascii") as stat:
                total += int(stat.read().split()[0])
        except FileNotFoundError:
            pass
    return total / 1e9


def main(pid, share):
    parent = os.getppid()
    try:
        while os.getppid() == parent:
            began, used = time.monotonic(), used_s(pid)
            while time.monotonic() < began + PERIOD_S:
                if used_s(pid) - used >= PERIOD_S * share:
                    os.kill(pid, signal.SIGSTOP)
                    time.sleep(max(0, began + PERIOD_S - time.monotonic()))
                    os.kill(pid, signal.SIGCONT)
                    break
                time.sleep(POLL_S)
    except (FileNotFoundError, ProcessLookupError):
        return


main(int(sys.argv[1]), float(sys.argv[2]))
