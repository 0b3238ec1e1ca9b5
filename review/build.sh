#!/bin/sh
# Build the stand-ins: they are Python files that use the standard library alone, so compiling them is all.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
