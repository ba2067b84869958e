#!/bin/sh
# The stand-ins are plain Python without dependencies; this only checks them.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
