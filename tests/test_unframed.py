"""Answers with neither a length nor chunks, which end with their connection."""

import pytest

from tests import platformfleet, rawreplica

EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 4))
PARTIAL = b'id: 4\ndata: half'


async def send(path, body, *, ending='close', framing=()):
    """Return the response to a request and how often it was sent."""

    def build(request_id):
        return rawreplica.build_head(request_id, *framing) + body

    replica = rawreplica.RawReplica('i-9', build, ending=ending)
    async with platformfleet.running(replicas=0, instances=0) as fleet:
        await replica.start(fleet)
        await fleet.add_instance('entry-0')
        response = await fleet.send(path, deadline_ms=1500)
        replica.stop()
    return response, replica.requests


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
async def test_a_plain_answer_may_end_with_its_connection(path):
    response, requests = await send(path, b'whole')
    assert (response.status, response.body) == (200, b'whole')
    assert response.is_complete
    assert requests == 1


@pytest.mark.parametrize('path', ['/stream/x', '/stream/resumable/x'])
async def test_a_stream_may_end_with_its_connection(path):
    response, _ = await send(path, EVENTS)
    assert (response.status, response.body) == (200, EVENTS)
    assert response.is_complete


@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/stream/x'])
async def test_an_unframed_answer_that_is_reset_is_not_complete(path):
    response, _ = await send(path, EVENTS, ending='reset')
    assert response.status in {200, 502, 504}
    assert response.status != 200 or not response.is_complete


@pytest.mark.parametrize('path', ['/stream/x', '/stream/resumable/x'])
async def test_a_stream_that_ends_inside_an_event_is_not_complete(path):
    response, _ = await send(path, EVENTS + PARTIAL)
    assert response.body.startswith(EVENTS)
    assert not response.is_complete


async def test_a_framed_stream_that_ends_inside_an_event_is_not_complete():
    body = EVENTS + PARTIAL
    length = b'Content-Length: %d' % len(body)
    response, _ = await send('/stream/x', body, framing=(length,))
    assert not response.is_complete


@pytest.mark.parametrize('path', ['/stream/x', '/stream/resumable/x'])
async def test_a_stream_that_ends_before_its_first_byte_is_not_complete(path):
    response, _ = await send(path, b'')
    assert response.status in {502, 504}
