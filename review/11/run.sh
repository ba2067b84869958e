#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the part does not crash replicas.
# SOUND_GAP_S=1: a sound prompt each second rather than each 6.5 s.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/11/case.py
