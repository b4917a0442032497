#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it after
# the build of the deploy file, which puts the project's own stand-ins and the
# libraries that they use into target/deps.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="target/deps:review/harness-3"
python3 -m compileall -q target/deps/lagoonstair/standins review/harness-3 \
    review/1[1-5] || exit 1
python3 -c "import fleet"
