#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python files that need the standard library alone.
# To be run after the build of the deploy file, whose interpreter runs the cases.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib2
for case in 6 7 8 9 10; do
    if test -d "review/$case"; then
        .venv/bin/python -m compileall -q "review/$case"
    fi
done
