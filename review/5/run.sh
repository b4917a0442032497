#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE="${TROUBLE:-1}" PYTHONPATH="$here/.." PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$here/case.py"
