#!/bin/sh
# Builds the stand-ins of cases 6 to 10: plain Python on the standard library, compiled with the interpreter that the
# deploy file's `build` has made. Nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review/peers2.py review/6 review/7 review/8 review/9 review/10
