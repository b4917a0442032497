#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start: the
# project's own, copied from its source. Run it after the build of the deploy
# file, whose libraries they use.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/lagoonstair target/review-2/
PYTHONPATH=target/review-2:target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c "
import lagoonstair.standins.statements as standins
assert standins.Group and standins.StoreStandin and standins.DutiesStandin"
