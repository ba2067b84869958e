"""Heads and trailers of replicas that would change what a caller may trust."""

import pytest

from tests import rawreplica, singleinstance, test_brokenanswers

EVENT = b'id: 1\ndata: 1\n\n'
# More than is buffered until a plain response is complete.
LARGE = b'x' * 400_000
PLAIN_PATHS = ('/safe/x', '/once/x')
PATHS = (*PLAIN_PATHS, '/stream/x')


async def receive(path, fields, body, *, seal=True):
    def build(request_id, last_event_id, number):
        head = rawreplica.build_head(request_id, *fields, seal=seal)
        return singleinstance.Answer(head + body, 'close')

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        return await test_brokenanswers.send(instance, path)


def chunk(body):
    return b'%x\r\n%b\r\n0\r\n' % (len(body), body)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    ('field', 'seal'),
    [
        (b'Connection: response-seal', True),
        (b'Connection: close, Response-Seal', True),
        (b'Response-Seal:', False),
    ],
)
async def test_a_success_without_its_seal_is_not_passed_on(field, seal, path):
    length = b'Content-Length: %d' % len(EVENT)
    received = await receive(path, [field, length], EVENT, seal=seal)
    assert (received.status, received.body) == (502, b'')


@pytest.mark.parametrize('path', PLAIN_PATHS)
@pytest.mark.parametrize('body', [b'hello', LARGE])
@pytest.mark.parametrize(
    'coding',
    [
        b'gzip, chunked',
        b'identity, chunked',
        b'chunked, gzip',
        b'chunked;a=b',
        b'xchunked',
        b'chunked\r\nTransfer-Encoding: chunked',
    ],
)
async def test_a_body_with_another_coding_is_not_passed_on(coding, body, path):
    fields = [b'Transfer-Encoding: ' + coding]
    received = await receive(path, fields, chunk(body) + b'\r\n')
    assert (received.status, received.body) == (502, b'')


@pytest.mark.parametrize('path', PLAIN_PATHS)
@pytest.mark.parametrize(
    'trailer',
    [
        b'Connection: response-seal',
        b'Response-Seal: other',
        b'Attempt-Id: other',
        b'Content-Encoding: gzip',
        b'Set-Cookie: a=b',
    ],
)
async def test_a_trailer_is_no_field_of_the_head(trailer, path):
    fields = [b'Transfer-Encoding: chunked']
    plain = await receive(path, fields, chunk(b'hello') + b'\r\n')
    received = await receive(
        path, fields, chunk(b'hello') + trailer + b'\r\n\r\n'
    )
    assert (received.status, received.body) == (200, b'hello')
    assert received.fields == plain.fields
