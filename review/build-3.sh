#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are written in Python and need no build, so this checks that
# the interpreter is there and that each file compiles. Nothing is written.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
CHECK
done
