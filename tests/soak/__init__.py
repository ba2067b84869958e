"""Soak test: real daemons under random faults, with checked guarantees."""
