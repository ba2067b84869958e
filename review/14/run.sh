#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the part does not crash replicas.
# KILL=0: the part crashes replicas, and no process is killed.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/14/case.py
