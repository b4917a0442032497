#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/.." PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
