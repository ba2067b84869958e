"""The cost of a request's log line: written, dropped or filtered."""

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
_CHUNK_BYTES: typing.Final = 65_536
_ANSWERED: typing.Final = requestrecord.Ending(messages.OK, 'answered', '')


def measure() -> list[figures.Figure]:
    """Return the cost of a line that is written, dropped or filtered."""
    read_end, write_end = os.pipe()
    handler = logs.configure_bounded_logs(
        descriptor=write_end, level='info', clock=clocks.SystemClock()
    )

    def drain() -> None:
        os.set_blocking(read_end, False)
        while handler.has_lines:
            handler.flush()
            _read_all(read_end)

    def write(count: int) -> None:
        for _ in range(count):
            _write_line()
        handler.flush()

    found = [
        figures.measure_time(
            'request line: written', write, count=_LINES, prepare=drain
        )
    ]
    _fill_queue(handler)
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
    os.close(read_end)
    os.close(write_end)
    return found


def _fill_queue(handler: logs.BoundedHandler) -> None:
    while not handler.dropped:
        _write_line()


def _write_lines(count: int) -> None:
    for _ in range(count):
        _write_line()


def _write_line() -> None:
    request_record = requestrecord.RequestRecord(
        request_id='5f0c4e1d9a7b3c21', started_s=1
    )
    request_record.route = 'r-yb5v9sy'
    request_record.service = 'xade11a'
    request_record.customer = 'leno580'
    request_record.replica = 'i-89360dbf18'
    request_record.sends = 1
    request_record.runs = 1
    request_record.granted_s = 1
    request_record.first_byte_s = 2
    request_record.write(
        _ANSWERED, now_s=3, age_s=1, allocator='edge-accra-d-2', digest=''
    )


def _read_all(descriptor: int) -> None:
    with contextlib.suppress(BlockingIOError):
        chunk = b'x'
        while chunk:
            chunk = os.read(descriptor, _CHUNK_BYTES)
