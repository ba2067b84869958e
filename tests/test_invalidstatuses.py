"""Statuses outside 100 to 599, which are no responses (RFC 9110, section 15).

They guard against a caller that gets such a status, or that is told that its
request has not run.
"""

import asyncio
import contextlib
import time

import pytest

from lavenderledge import clock as clocks
from lavenderledge.upstreams import connection, engine
from tests import rawreplica, singleinstance, test_brokenanswers

STATUSES = (b'000', b'001', b'099', b'600', b'700', b'999', b'1000', b'0200')
PATHS = ('/safe/x', '/once/x', '/stream/x', '/stream/resumable/x')
DEADLINE_MS = 4000
# A response that is recognized as invalid is not waited for.
PROMPT_S = DEADLINE_MS / 2000
GOOD = b'id: 1\ndata: 1\n\n'
LARGE = b'x' * 400_000


def make_answer(status, *, fields=(), body=GOOD, ending='keep', rest=b''):
    """Return a function that answers with a status, as framed by a length."""

    def build(request_id, last_event_id, number):
        head = rawreplica.build_head(
            request_id,
            b'Content-Length: %d' % len(body),
            *fields,
            status=status + b' X',
        )
        after = rest and rawreplica.build_head(request_id, rest)
        return singleinstance.Answer(head + body + after, ending)

    return build


async def receive(path, *answers, **options):
    """Return what a caller receives, and how long it took."""
    replicas = map(singleinstance.Replica, answers)
    async with singleinstance.running(*replicas) as instance:
        started_s = time.monotonic()
        received = await test_brokenanswers.send(
            instance, path, deadline_ms=DEADLINE_MS, **options
        )
        return received, time.monotonic() - started_s


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('status', STATUSES)
async def test_an_invalid_status_is_a_failure_of_a_run(status, path):
    alone, seconds = await receive(path, make_answer(status))
    assert (alone.status, alone.body) == (502, b'')
    assert seconds < PROMPT_S
    retried, seconds = await receive(
        path, make_answer(status), make_answer(b'200')
    )
    is_repeatable = path in {'/safe/x', '/stream/resumable/x'}
    assert retried.status == (200 if is_repeatable else 502)
    assert retried.body == (GOOD if is_repeatable else b'')
    assert seconds < PROMPT_S


@pytest.mark.parametrize('status', [b'099', b'600'])
@pytest.mark.parametrize(
    ('answer', 'request_options'),
    [
        ({'body': LARGE}, {}),
        ({'body': b'', 'rest': b'Content-Length: 0'}, {}),
        ({'ending': 'close'}, {}),
        ({'ending': 'reset'}, {}),
        ({'fields': (b'Not-Executed: 1',)}, {}),
        ({'body': b''}, {'method': b'HEAD'}),
    ],
)
async def test_an_invalid_status_is_none_in_any_answer(
    answer, request_options, status
):
    received, _ = await receive(
        '/once/x', make_answer(status, **answer), **request_options
    )
    assert (received.status, received.body) == (502, b'')


@contextlib.asynccontextmanager
async def open_stream(status):
    """Return a daemon's stream from an engine that answers with a status."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n' % status)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    client = connection.UpstreamClient(connect_timeout_s=1)
    try:
        yield engine.EngineStream(
            client=client,
            address=f'127.0.0.1:{server.sockets[0].getsockname()[1]}',
            response_id='r-0',
            clock=clocks.SystemClock(),
            silence_timeout_s=2,
            lost_timeout_s=2,
            on_resume=lambda failure: None,
        )
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize('status', [*STATUSES, b'101'])
async def test_an_engine_with_an_invalid_status_may_run_the_request(status):
    async with open_stream(status) as stream:
        created = await stream.create(b'{}', before_first_byte=lambda: True)
        is_cancelled = await stream.cancel()
    assert isinstance(created.error, connection.Lost)
    assert not is_cancelled
    assert not stream.ended
