#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python programs, which
# need only what the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q chivespoke/standins review/common-2
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c '
import sys
sys.path.insert(0, "review/common-2")
import runner
import world
'
