"""A replica that writes an earlier refusal once more on a kept connection."""

import asyncio

import pytest

from tests import rawreplica, singleinstance


def build_refusal(status, request_id):
    fields = [b'HTTP/1.1 ' + status, b'Not-Executed: 1', b'Content-Length: 0']
    if request_id:
        fields.append(b'Attempt-Id: ' + request_id)
    return b'\r\n'.join((*fields, b'', b''))


class RepeatingReplica:
    """Refuses the first request, and repeats that before further answers."""

    def __init__(self, status, *, has_id):
        self.runs = []
        self._status = status
        self._has_id = has_id
        self._refusal = None

    def build(self, request_id, last_event_id, number):
        if self._refusal is None:
            self._refusal = build_refusal(
                self._status, request_id if self._has_id else None
            )
            return singleinstance.Answer(self._refusal, 'keep')
        self.runs.append(request_id)
        head = rawreplica.build_head(request_id, b'Content-Length: 2')
        repeated = self._refusal if number else b''
        return singleinstance.Answer(repeated + head + b'ok', 'keep')


@pytest.mark.parametrize('has_id', [True, False])
@pytest.mark.parametrize('status', [b'503 Full', b'429 Busy', b'421 Other'])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
async def test_a_repeated_refusal_is_not_taken_for_another_request(
    path, status, has_id
):
    repeating = RepeatingReplica(status, has_id=has_id)
    sound = RepeatingReplica(status, has_id=True)
    async with singleinstance.running(
        singleinstance.Replica(repeating.build),
        singleinstance.Replica(sound.build),
    ) as instance:
        reader, writer = await instance.connect()
        received = []
        for request_id in (b'r-1', b'r-2'):
            writer.write(
                singleinstance.build_request(path, request_id=request_id)
            )
            received.append(await singleinstance.receive(reader))
        await asyncio.sleep(0.05)
        writer.close()
    assert [answer.status for answer in received] == [503, 200]
    assert repeating.runs + sound.runs == [b'r-2']


@pytest.mark.parametrize('status', [b'503 Full', b'429 Busy', b'421 Other'])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
async def test_a_refusal_after_an_answer_is_not_taken_for_another_request(
    path, status
):
    """It comes without an id, as the next request is on its way."""
    runs = []

    def build(request_id, last_event_id, number):
        runs.append(request_id)
        refusal = build_refusal(status, None) if number else b''
        head = rawreplica.build_head(request_id, b'Content-Length: 2')
        return singleinstance.Answer(refusal + head + b'ok', 'keep')

    async with singleinstance.running(
        singleinstance.Replica(build), singleinstance.Replica(build)
    ) as instance:
        reader, writer = await instance.connect()
        received = []
        for request_id in (b'r-1', b'r-2'):
            writer.write(
                singleinstance.build_request(path, request_id=request_id)
            )
            received.append(await singleinstance.receive(reader))
        writer.close()
    assert [answer.status for answer in received] == [200, 200]
    assert runs == [b'r-1', b'r-2']
