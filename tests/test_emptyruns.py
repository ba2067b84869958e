"""Further runs of a stream that have no event left to send."""

import asyncio
import contextlib

import pytest

from tests import (
    rawreplica,
    singleinstance,
    test_brokenanswers,
    test_foreignevents,
)

PATH = '/stream/resumable/x'
EVENTS = test_foreignevents.EVENTS
# Longer than a silence after which another run is begun.
SILENCE_S = 2.2


class SilentReplica(singleinstance.Replica):
    """Sends two events, is silent, and goes on with the others."""

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            request_id = head.lower().split(b'attempt-id: ')[1].split(b'\r')[0]
            length = sum(map(len, EVENTS))
            answer = rawreplica.build_head(
                request_id, b'Content-Length: %d' % length
            )
            writer.write(answer + b''.join(EVENTS[:2]))
            await asyncio.sleep(SILENCE_S)
            writer.write(b''.join(EVENTS[2:]))
            await writer.drain()


def make_answering(framing, pieces, status=b'200 OK'):
    def build(request_id, last_event_id, number):
        head, body = test_brokenanswers.build_answer(
            request_id, framing, pieces
        )
        head = head.replace(b'200 OK', status, 1)
        return singleinstance.Answer(head + body, 'close')

    return singleinstance.Replica(build)


EMPTY_RUNS = {
    'nothing': (b'200 OK', []),
    'blank lines': (b'200 OK', [b'\n\n']),
    'comments': (b'200 OK', [b': a comment\n\n']),
    'no content': (b'204 No Content', []),
}


@pytest.mark.parametrize('framing', ['length', 'chunked', 'none'])
@pytest.mark.parametrize('kind', EMPTY_RUNS)
async def test_an_empty_run_ends_no_stream_that_another_run_goes_on_with(
    kind, framing
):
    status, pieces = EMPTY_RUNS[kind]
    other = make_answering(framing, pieces, status)
    async with singleinstance.running(SilentReplica(None), other) as instance:
        received = await test_brokenanswers.send(instance, PATH)
    assert other.heads
    assert received.body == test_foreignevents.STREAM
    assert received.is_complete


@pytest.mark.parametrize('kind', EMPTY_RUNS)
@pytest.mark.parametrize('last_id', [b'0', b'4'])
async def test_an_empty_answer_is_whole_only_after_an_earlier_event(
    last_id, kind
):
    status, pieces = EMPTY_RUNS[kind]
    replica = make_answering('length', pieces, status)
    async with singleinstance.running(replica) as instance:
        reader, writer = await instance.connect()
        request = singleinstance.build_request(PATH)
        field = b'\r\nLast-Event-Id: ' + last_id
        writer.write(request.replace(b'\r\n', field + b'\r\n', 1))
        received = await singleinstance.receive(reader)
        writer.close()
    is_whole = kind == 'nothing' and last_id == b'4'
    assert received.status == (200 if is_whole else 502)
    assert received.rest == b''
