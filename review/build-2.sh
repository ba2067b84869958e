#!/bin/bash
# Compiles the stand-ins of the cases 6 to 10, the project's own too.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q tests review/procfleet.py review/[67]
