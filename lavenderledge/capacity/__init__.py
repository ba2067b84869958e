"""Measures the costs in docs/CAPACITY.md: CPU time, bytes and memory."""
