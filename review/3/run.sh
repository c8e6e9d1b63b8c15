#!/bin/sh
# TROUBLE=0 runs the case without its disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 run.py
