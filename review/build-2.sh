#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 8 and of the trials. They are written in Python with its standard library, so
# this only checks that they compile. The program under test is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [0-9]*/case.py trials-2/*/case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
