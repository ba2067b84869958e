"""Slopes of processor time, bytes and memory, for docs/CAPACITY.md."""
