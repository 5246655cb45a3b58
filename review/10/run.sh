#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/10/case.py
