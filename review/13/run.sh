#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the part does not crash replicas.
# PARTS=20: prompts of 20 shared parts rather than 36.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/13/case.py
