#!/usr/bin/env bash
# The stand-ins are Python files of the standard library and need no build; this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
