"""What a request's line in the log costs, with room and without."""

import contextlib
import logging
import os
import typing

from lavenderledge import clock as clocks
from lavenderledge import logs
from lavenderledge.capacity import figures
from lavenderledge.http1 import messages
from lavenderledge.proxy import requestrecord

_LINES: typing.Final = 2000
_PART_BYTES: typing.Final = 65_536
_ANSWERED: typing.Final = requestrecord.Ending(messages.OK, 'answered', '')


def measure() -> list[figures.Figure]:
    """Return the figures of a line that is written, dropped and left out."""
    reading, writing = os.pipe()
    handler = logs.configure_bounded_logs(
        descriptor=writing, level='info', clock=clocks.SystemClock()
    )

    def empty() -> None:
        os.set_blocking(reading, False)
        while handler.has_lines:
            handler.flush()
            _read_all(reading)

    def write(count: int) -> None:
        for _ in range(count):
            _write_line()
        handler.flush()

    found = [
        figures.measure_time(
            'request line: written', write, count=_LINES, prepare=empty
        )
    ]
    _fill(handler)
    found.append(
        figures.measure_time(
            'request line: dropped, full', _write_lines, count=_LINES
        )
    )
    logging.getLogger().setLevel(logging.ERROR)
    found.append(
        figures.measure_time(
            'request line: level left out', _write_lines, count=_LINES
        )
    )
    logging.getLogger().removeHandler(handler)
    os.close(reading)
    os.close(writing)
    return found


def _fill(handler: logs.BoundedHandler) -> None:
    while not handler.dropped:
        _write_line()


def _write_lines(count: int) -> None:
    for _ in range(count):
        _write_line()


def _write_line() -> None:
    line = requestrecord.RequestRecord(
        request_id='5f0c4e1d9a7b3c21', started_s=1
    )
    line.route = 'r-yb5v9sy'
    line.service = 'xade11a'
    line.customer = 'leno580'
    line.replica = 'i-89360dbf18'
    line.sends = 1
    line.runs = 1
    line.granted_s = 1
    line.first_byte_s = 2
    line.write(_ANSWERED, now_s=3, age_s=1, allocator='edge-accra-d-2')


def _read_all(descriptor: int) -> None:
    with contextlib.suppress(BlockingIOError):
        read = b'x'
        while read:
            read = os.read(descriptor, _PART_BYTES)
