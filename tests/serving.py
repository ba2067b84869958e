"""Stand-ins served inside a test, and a clock advanced by hand."""

import asyncio
import contextlib
import datetime
import json

import aiohttp

from lavenderledge.standins import __main__ as program
from lavenderledge.standins import definition, engines, server

RESPONSES_PATH = '/v1/responses'
TIMEOUT_S = 30


class ManualClock:
    def __init__(self):
        self.now_s = 1000.0

    def read_monotonic(self):
        return self.now_s

    def read_wall(self):
        return datetime.datetime.fromtimestamp(self.now_s, tz=datetime.UTC)

    async def sleep(self, delay):
        self.now_s += delay.total_seconds()


def make_engine(clock, *flags):
    """Build an engine from the flags of its command line."""
    args = program.build_parser().parse_args(['engine', *flags])
    return engines.Engine(clock=clock, settings=definition.read_settings(args))


def build_request_body(request_id, tokens, text=''):
    """Build the body of a streaming request."""
    return {
        'model': 'calculator',
        'input': text,
        'stream': True,
        'request_id': request_id,
        'metadata': {'output_tokens': tokens},
    }


@contextlib.asynccontextmanager
async def connect(app):
    """Serve an application on a free port and yield a session for it."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(TIMEOUT_S))
        address = await stack.enter_async_context(server.serving(app))
        yield await stack.enter_async_context(
            aiohttp.ClientSession(f'http://{address}')
        )


async def read_events(response):
    """Read a stream to its end and return its events."""
    lines = [line async for line in response.content if b'data:' in line]
    return [json.loads(line.removeprefix(b'data: ')) for line in lines]


async def set_switches(session, **switches):
    async with session.post('/standin/switches', json=switches) as response:
        assert response.status == 200
