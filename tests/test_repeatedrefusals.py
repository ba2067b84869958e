"""A replica that writes an earlier answer once more on a kept connection."""

import asyncio

import pytest

from tests import rawreplica, singleinstance


def build_refusal(status, request_id):
    fields = [b'HTTP/1.1 ' + status, b'Not-Executed: 1', b'Content-Length: 0']
    if request_id:
        fields.append(b'Attempt-Id: ' + request_id)
    return b'\r\n'.join((*fields, b'', b''))


async def send_all(instance, path, request_ids):
    """Send requests one after the other on a connection; return the answers."""
    reader, writer = await instance.connect()
    received = []
    for request_id in request_ids:
        writer.write(singleinstance.build_request(path, request_id=request_id))
        received.append(await singleinstance.receive(reader))
    writer.close()
    return received


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
        received = await send_all(instance, path, (b'r-1', b'r-2'))
        await asyncio.sleep(0.05)
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
        received = await send_all(instance, path, (b'r-1', b'r-2'))
    assert [answer.status for answer in received] == [200, 200]
    assert runs == [b'r-1', b'r-2']


STATUSES = [b'503 Full', b'429 Busy', b'421 Other']
PATHS = ['/once/x', '/safe/x', '/stream/x', '/stream/resumable/x']
EVENT = b'id: 1\ndata: 1\n\n'


class CopyingReplica:
    """Refuses a request once, and copies that if it comes again.

    It copies it on a connection that was used before.
    """

    def __init__(self, status):
        self.runs = []
        self._status = status
        self._refusals = {}

    def build(self, request_id, last_event_id, number):
        if request_id not in self._refusals:
            refusal = build_refusal(self._status, request_id)
            self._refusals[request_id] = refusal
            return singleinstance.Answer(refusal, 'keep')
        self.runs.append(request_id)
        copy = self._refusals[request_id] if number else b''
        head = rawreplica.build_head(
            request_id, b'Content-Length: %d' % len(EVENT)
        )
        return singleinstance.Answer(copy + head + EVENT, 'keep')


class Alias:
    """A replica that is listed under another id at the same address."""

    def __init__(self, replica):
        self._replica = replica

    @property
    def port(self):
        return self._replica.port

    async def start(self):
        """Leave that to the replica."""

    async def stop(self):
        """Leave that to the replica."""


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', PATHS)
async def test_a_copy_of_a_refusal_does_not_free_a_request_that_runs(
    path, status
):
    """The replica that refused it is listed under a new id."""
    copying = CopyingReplica(status)
    sound = CopyingReplica(status)
    replica = singleinstance.Replica(copying.build)
    async with singleinstance.running(
        replica, Alias(replica), singleinstance.Replica(sound.build)
    ) as instance:
        reader, writer = await instance.connect()
        writer.write(singleinstance.build_request(path))
        received = await singleinstance.receive(reader)
        writer.close()
    assert (received.status, received.body) == (200, EVENT)
    assert copying.runs + sound.runs == [b'r-0']


@pytest.mark.parametrize('others', [0, 1])
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('path', PATHS)
async def test_a_copy_of_a_refusal_does_not_refuse_a_request_that_runs(
    path, status, others
):
    """The caller sends its request with the same id again."""
    copying = [CopyingReplica(status) for _ in range(1 + others)]
    async with singleinstance.running(
        *[singleinstance.Replica(replica.build) for replica in copying]
    ) as instance:
        received = await send_all(instance, path, (b'r-0', b'r-0'))
    assert [answer.status for answer in received] == [503, 200]
    assert sum((replica.runs for replica in copying), []) == [b'r-0']


@pytest.mark.parametrize('status', [b'200 OK', b'500 Error'])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
async def test_a_copy_of_an_answer_is_not_that_of_a_request_sent_again(
    path, status
):
    runs = []

    def build(request_id, last_event_id, number):
        runs.append(request_id)
        head = rawreplica.build_head(
            request_id, b'Content-Length: 1', status=status
        )
        copy = head + b'1' if number else b''
        return singleinstance.Answer(copy + head + b'%d' % len(runs), 'keep')

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        received = await send_all(instance, path, (b'r-0', b'r-0'))
    assert [answer.body for answer in received] == [b'1', b'2']


class CountingReplica(singleinstance.Replica):
    """Counts open connections, and resets those beyond a limit."""

    def __init__(self, build, *, limit=1000):
        super().__init__(build)
        self.most_open = 0
        self._limit = limit
        self._open = 0

    async def _answer_all(self, reader, writer):
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        try:
            if self._open > self._limit:
                rawreplica.reset(writer)
                return
            await super()._answer_all(reader, writer)
        finally:
            self._open -= 1


def answer_ok(request_id, last_event_id, number):
    head = rawreplica.build_head(request_id, b'Content-Length: 2')
    return singleinstance.Answer(head + b'ok', 'keep')


async def test_a_caller_that_repeats_its_id_keeps_few_connections_open():
    replica = CountingReplica(answer_ok)
    async with singleinstance.running(replica) as instance:
        for _ in range(100):
            (received,) = await send_all(instance, '/once/x', [b'r-0'])
            assert received.status == 200
    assert replica.most_open <= 4


@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
async def test_a_repeated_id_is_served_at_a_replica_with_few_connections(path):
    replica = CountingReplica(answer_ok, limit=2)
    async with singleinstance.running(replica) as instance:
        received = [await send_all(instance, path, [b'r-0']) for _ in range(6)]
    assert [answer.status for (answer,) in received] == [200] * 6


@pytest.mark.parametrize(('requests', 'expected'), [(2, 1), (256, 1), (257, 2)])
async def test_a_connection_is_kept_for_other_requests(requests, expected):
    opened = []

    def build(request_id, last_event_id, number):
        if not number:
            opened.append(request_id)
        return answer_ok(request_id, last_event_id, number)

    async with singleinstance.running(
        singleinstance.Replica(build)
    ) as instance:
        request_ids = [b'r-%d' % number for number in range(requests)]
        received = await send_all(instance, '/safe/x', request_ids)
    assert {answer.status for answer in received} == {200}
    assert len(opened) == expected


@pytest.mark.parametrize('body', [EVENT, b'a' * 300_000])
@pytest.mark.parametrize('path', PATHS)
async def test_a_success_that_says_not_run_is_not_sent_again_as_not_run(
    path, body
):
    """It contradicts itself, and may have run."""
    runs = []

    def build(request_id, last_event_id, number):
        runs.append(request_id)
        head = rawreplica.build_head(
            request_id, b'Not-Executed: 1', b'Content-Length: %d' % len(body)
        )
        return singleinstance.Answer(head + body, 'keep')

    async with singleinstance.running(
        singleinstance.Replica(build), singleinstance.Replica(build)
    ) as instance:
        (received,) = await send_all(instance, path, [b'r-0'])
    is_repeatable = path in {'/safe/x', '/stream/resumable/x'}
    assert len(runs) == (2 if is_repeatable else 1)
    assert received.status == 502
