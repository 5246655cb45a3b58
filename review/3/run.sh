#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "could not run: no .venv; build it as deploy/balancer.toml says" >&2; exit 2; }
exec ../../.venv/bin/python -B case.py
