"""Log lines: bounded, never blocking, failures kept before successes."""

import asyncio
import logging
import os

from lavenderledge import clock as clocks
from lavenderledge import logs


def make_logger(descriptor):
    handler = logs.BoundedHandler(
        descriptor=descriptor, clock=clocks.SystemClock()
    )
    logger = logging.Logger('bounded')
    logger.addHandler(handler)
    return handler, logger


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    read = b''
    try:
        while part := os.read(descriptor, 1 << 16):
            read += part
    except BlockingIOError:
        pass
    return read.decode().splitlines()


def test_a_stopped_reader_delays_nothing_and_failures_are_kept():
    reading, writing = os.pipe()
    handler, logger = make_logger(writing)
    for number in range(20000):
        logs.write_event(logger, 'request', id=number, text='x' * 100)
        if number % 100 == 0:
            handler.flush()
    logs.write_event(logger, 'failed', level=logging.WARNING, id='kept')
    assert handler.dropped > 10000
    lines = []
    for _ in range(200):
        lines += read_all(reading)
        handler.flush()
    os.close(reading)
    os.close(writing)
    assert any('event=failed' in line and 'id=kept' in line for line in lines)
    assert len(lines) + handler.dropped == 20001


async def test_what_was_dropped_is_told():
    reading, writing = os.pipe()
    handler, logger = make_logger(writing)
    logging.getLogger('lavenderledge.logs').addHandler(handler)
    for number in range(logs.MOST_LINES + 100):
        logs.write_event(logger, 'request', id=number)
    task = asyncio.create_task(handler.run())
    lines = []
    async with asyncio.timeout(10):
        while not any('event=lines_dropped' in line for line in lines):
            lines += read_all(reading)
            await asyncio.sleep(0.01)
    task.cancel()
    logging.getLogger('lavenderledge.logs').removeHandler(handler)
    os.close(reading)
    os.close(writing)
    told = [line for line in lines if 'lines_dropped' in line]
    assert 'count=600' in told[0]


def test_a_reader_that_has_gone_is_no_failure():
    reading, writing = os.pipe()
    handler, logger = make_logger(writing)
    os.close(reading)
    logs.write_event(logger, 'request', id=1)
    handler.flush()
    os.close(writing)
