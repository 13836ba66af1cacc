#!/bin/sh
# Runs the case in the folder given. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD:$PWD/review:$PWD/target/deps:$PWD/target/review"
export PYTHONPATH
python3 -c 'from common import deployment' || exit 2
exec python3 "review/$1/case.py"
