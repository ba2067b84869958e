"""Simulators of external systems (stand-ins), one process each."""
