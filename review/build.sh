#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy
# file. The store is the project's own stand-in; its package needs libraries
# that the daemons do without, so that the one module is taken by itself.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
cp chivespoke/standins/_store.py target/review/store_standin.py
python3 -m compileall -q target/review review
