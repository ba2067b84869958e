"""A replica that sends a second copy of an answer on a kept connection."""

import asyncio
import contextlib

import pytest

from tests import rawreplica, singleinstance

OK = b'200 OK'
# When the second copy arrives, after the first one, in seconds: with it, while
# the connection is idle, or after the next request was sent.
DELAYS_S = {'at once': 0, 'idle': 0.02, 'in use': None}


def build_answer(request_id, status):
    body = build_body(request_id)
    head = rawreplica.build_head(
        request_id, b'Content-Length: %d' % len(body), status=status
    )
    return head + body


def build_body(request_id):
    return b'id: 1\ndata: %b\n\n' % request_id


class RepeatingReplica(singleinstance.Replica):
    """Answers with the request's id, and sends its first answer twice."""

    def __init__(self, status, delay_s):
        super().__init__(None)
        self.runs = []
        self._status = status
        self._delay_s = delay_s
        self._copy = b''

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer_head(head.lower(), writer)

    async def _answer_head(self, head, writer):
        request_id = head.split(b'attempt-id: ')[1].split(b'\r\n')[0]
        self.runs.append(request_id)
        is_first = len(self.runs) == 1
        answer = build_answer(request_id, self._status if is_first else OK)
        writer.write(self._copy + answer)
        self._copy = b''
        if is_first and self._delay_s is None:
            self._copy = answer
        elif is_first:
            await asyncio.sleep(self._delay_s)
            writer.write(answer)


@pytest.mark.parametrize('delay', sorted(DELAYS_S))
@pytest.mark.parametrize('status', [OK, b'500 Failed'])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x'])
async def test_a_second_copy_of_an_answer_reaches_no_other_caller(
    path, status, delay
):
    repeating = RepeatingReplica(status, DELAYS_S[delay])
    sound = RepeatingReplica(OK, 0)
    sound.runs.append(b'other')
    async with singleinstance.running(repeating, sound) as instance:
        received = []
        for request_id in (b'r-1', b'r-2', b'r-3'):
            reader, writer = await instance.connect()
            writer.write(
                singleinstance.build_request(path, request_id=request_id)
            )
            received.append(await singleinstance.receive(reader))
            writer.close()
            await asyncio.sleep(0.05)
    for answer, request_id in zip(received[1:], (b'r-2', b'r-3'), strict=True):
        assert answer.status in {200, 502}
        body = build_body(request_id) if answer.status == 200 else b''
        assert answer.body == body
    assert received[-1].status == 200
    runs = repeating.runs + sound.runs
    assert runs.count(b'r-2') == 1 or path == '/safe/x'
