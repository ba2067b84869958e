"""Processor time and memory, as the operating system counts them."""

import os
import pathlib
import typing
from collections import abc

# Keeps an interval of zero from dividing.
_TINY_S = 1e-9
# Fields of /proc/PID/stat after the command, counted from zero.
_USER_TICKS = 11
_SYSTEM_TICKS = 12

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_IDLE_FIELDS = (3, 4)


class Machine(typing.NamedTuple):
    """The machine's processor seconds since its start, over all cores."""

    busy_s: float
    total_s: float


class Process(typing.NamedTuple):
    """One process's processor seconds and its resident bytes."""

    processor_s: float
    resident_bytes: int


class Usage(typing.NamedTuple):
    """What a stretch of time cost; parts are of the whole machine.

    ``programs`` gives each program's cores, 1 being one core throughout.
    """

    elapsed_s: float
    machine: float
    programs: dict[str, float]
    resident_bytes: dict[str, int]
    load_average: float


class Meter:
    """Measures a stretch of time between its making and ``read``."""

    def __init__(self, *, pids: abc.Mapping[str, int], now_s: float) -> None:
        """Begin; ``pids`` names the processes to watch."""
        self._pids = pids
        self._began_s = now_s
        self._load_average = os.getloadavg()[0]
        self._machine = read_machine()
        self._processes = self._read_processes()

    def read(self, now_s: float) -> Usage:
        """Return what the time since the beginning cost."""
        elapsed_s = max(now_s - self._began_s, _TINY_S)
        machine = read_machine()
        total_s = max(machine.total_s - self._machine.total_s, _TINY_S)
        found = self._read_processes()
        return Usage(
            elapsed_s=elapsed_s,
            machine=(machine.busy_s - self._machine.busy_s) / total_s,
            programs={
                name: (process.processor_s - self._processes[name].processor_s)
                / elapsed_s
                for name, process in found.items()
            },
            resident_bytes={
                name: process.resident_bytes for name, process in found.items()
            },
            load_average=self._load_average,
        )

    def _read_processes(self) -> dict[str, Process]:
        return {name: read_process(pid) for name, pid in self._pids.items()}


def read_machine() -> Machine:
    """Return the machine's processor time."""
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(field) for field in line.split()[1:9]]
    idle = sum(ticks[field] for field in _IDLE_FIELDS)
    total = sum(ticks)
    return Machine((total - idle) / _TICKS_PER_S, total / _TICKS_PER_S)


def read_process(pid: int) -> Process:
    """Return one process's time and memory; raises ``OSError`` if gone."""
    directory = pathlib.Path('/proc') / str(pid)
    fields = (directory / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    status = (directory / 'status').read_text()
    resident = next(
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith('VmRSS:')
    )
    return Process(ticks / _TICKS_PER_S, resident * _KIB)
