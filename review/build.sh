#!/bin/sh
# Checks that the stand-ins and the cases can be run: they are Python programs without dependencies,
# so there is nothing to compile. The bytecode check fails on a syntax error.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(glob.glob("standin/*.py") + glob.glob("[1-5]/run.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
PY
