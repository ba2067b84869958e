"""Callers that do not read for a while: that is no silence of a replica."""

import asyncio

import pytest

from lavenderledge import clock as clocks
from tests import rawreplica, singleinstance

# More than the sockets' buffers hold.
EVENTS = [b'id: %d\ndata: %b\n\n' % (n, b'x' * 10_000) for n in range(1, 2001)]
DEADLINE_MS = 3000
STEP_S = 0.05
# The clock stands still, so that the deadline does not end a hung test.
TIMEOUT_S = 60


class SteppedClock(clocks.SystemClock):
    """Stands still but for ``wait``: reading takes no time of the deadline.

    How long 20 MB take depends on the machine.
    """

    def __init__(self):
        self.now_s = super().read_monotonic()

    def read_monotonic(self):
        return self.now_s

    async def wait(self, seconds):
        """Wait at least as long as the clock advances, so that timers run."""
        for _ in range(round(seconds / STEP_S)):
            await asyncio.sleep(STEP_S)
            self.now_s += STEP_S


def answer(request_id, last_event_id, number):
    body = b''.join(EVENTS[last_event_id:])
    head = rawreplica.build_head(request_id, b'Content-Length: %d' % len(body))
    return singleinstance.Answer(head + body, 'close')


@pytest.mark.parametrize('replicas', [1, 2])
@pytest.mark.parametrize('pause_s', [0.9, 1.7])
async def test_a_caller_that_reads_late_gets_its_whole_stream(
    pause_s, replicas
):
    clock = SteppedClock()
    async with singleinstance.running(
        *(singleinstance.Replica(answer) for _ in range(replicas)), clock=clock
    ) as instance:
        reader, writer = await instance.connect(limit=1024)
        writer.write(
            singleinstance.build_request(
                '/stream/resumable/x', deadline_ms=DEADLINE_MS
            )
        )
        await clock.wait(pause_s)
        data = bytearray()
        async with asyncio.timeout(TIMEOUT_S):
            while part := await reader.read(1_000_000):
                data += part
                if data.endswith(b'0\r\n\r\n'):
                    break
        writer.close()
    received = singleinstance.parse(bytes(data))
    assert received.is_complete
    assert received.body == b''.join(EVENTS)
