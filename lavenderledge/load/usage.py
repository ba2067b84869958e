"""Processor time and memory of processes, read from /proc."""

import os
import pathlib
import typing
from collections import abc

# Avoids a division by zero for an interval of 0 s.
_MIN_INTERVAL_S = 1e-9
# Indices of the fields of /proc/PID/stat after the command name.
_USER_TICKS_INDEX = 11
_SYSTEM_TICKS_INDEX = 12

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_BYTES_PER_KIB = 1024
_IDLE_INDICES = (3, 4)


class Machine(typing.NamedTuple):
    """Processor seconds of all cores since the machine's start."""

    busy_s: float
    total_s: float


class Process(typing.NamedTuple):
    """A process's processor seconds and resident bytes."""

    processor_s: float
    resident_bytes: int


class Usage(typing.NamedTuple):
    """Resource usage over an interval.

    ``machine_busy_ratio`` covers all cores. ``program_cores`` maps each
    program to its mean number of busy cores.
    """

    elapsed_s: float
    machine_busy_ratio: float
    program_cores: dict[str, float]
    resident_bytes: dict[str, int]
    load_average: float


class Meter:
    """Measures the usage between its creation and ``read``."""

    def __init__(self, *, pids: abc.Mapping[str, int], now_s: float) -> None:
        """Start measuring the processes in ``pids``, by name."""
        self._pids = pids
        self._started_s = now_s
        self._load_average = os.getloadavg()[0]
        self._machine = read_machine()
        self._processes = self._read_processes()

    def read(self, now_s: float) -> Usage:
        """Return the usage since the start."""
        elapsed_s = max(now_s - self._started_s, _MIN_INTERVAL_S)
        machine = read_machine()
        total_s = max(machine.total_s - self._machine.total_s, _MIN_INTERVAL_S)
        current = self._read_processes()
        return Usage(
            elapsed_s=elapsed_s,
            machine_busy_ratio=(machine.busy_s - self._machine.busy_s)
            / total_s,
            program_cores={
                name: (process.processor_s - self._processes[name].processor_s)
                / elapsed_s
                for name, process in current.items()
            },
            resident_bytes={
                name: process.resident_bytes
                for name, process in current.items()
            },
            load_average=self._load_average,
        )

    def _read_processes(self) -> dict[str, Process]:
        return {name: read_process(pid) for name, pid in self._pids.items()}


def read_machine() -> Machine:
    """Return the machine's processor time so far."""
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(field) for field in line.split()[1:9]]
    idle = sum(ticks[field] for field in _IDLE_INDICES)
    total = sum(ticks)
    return Machine((total - idle) / _TICKS_PER_S, total / _TICKS_PER_S)


def read_process(pid: int) -> Process:
    """Return a process's usage; raises ``OSError`` if it has ended."""
    directory = pathlib.Path('/proc') / str(pid)
    fields = (directory / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_INDEX]) + int(fields[_SYSTEM_TICKS_INDEX])
    status = (directory / 'status').read_text()
    resident = next(
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith('VmRSS:')
    )
    return Process(ticks / _TICKS_PER_S, resident * _BYTES_PER_KIB)
