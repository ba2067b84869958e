"""Copies of earlier answers, whatever a request looks like and waits for."""

import asyncio
import collections
import contextlib
import itertools
import random

import pytest

from tests import rawreplica, singleinstance, test_repeatedrefusals

Alias = test_repeatedrefusals.Alias
CopyingReplica = test_repeatedrefusals.CopyingReplica
build_refusal = test_repeatedrefusals.build_refusal


def build_answer(request_id, body, *fields, status=b'200 OK'):
    length = b'Content-Length: %d' % len(body)
    head = rawreplica.build_head(request_id, length, *fields, status=status)
    return head + body


async def send(instance, path, *, method=b'POST', **options):
    """Send a request on a connection of its own."""
    reader, writer = await instance.connect()
    try:
        writer.write(
            singleinstance.build_request(path, method=method, **options)
        )
        return await singleinstance.receive(reader, method=method)
    finally:
        writer.close()


@pytest.mark.parametrize('method', [b'GET', b'HEAD', b'DELETE', b'PUT'])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
async def test_methods_have_no_second_run(path, method):
    copying = CopyingReplica(b'503 Full')
    sound = CopyingReplica(b'503 Full')
    replica = singleinstance.Replica(copying.build)
    async with singleinstance.running(
        replica, Alias(replica), singleinstance.Replica(sound.build)
    ) as instance:
        received = await send(instance, path, method=method)
    assert received.status == 200
    assert copying.runs + sound.runs == [b'r-0']


@pytest.mark.parametrize(
    'lines',
    [
        b'ATTEMPT-ID: r-0',
        b'attempt-id:   r-0  ',
        b'Attempt-Id:\tr-0\t',
        b'Attempt-Id: r-0\r\nAttempt-Id: r-0',
        'Attempt-Id: r\xe4\xdf'.encode('latin-1'),
        'Attempt-Id: r\xe4\xdf'.encode(),
        b'Attempt-Id: ' + b'r' * 200,
    ],
)
async def test_spellings_of_an_id_have_no_second_run(lines):
    """The test's replica echoes what follows the name, stripped."""
    copying = CopyingReplica(b'503 Full')
    sound = CopyingReplica(b'503 Full')

    def strip(build):
        return lambda request_id, last, number: build(
            request_id.strip(b' \t'), last, number
        )

    replica = singleinstance.Replica(strip(copying.build))
    data = singleinstance.build_request('/once/x').replace(
        b'Attempt-Id: r-0', lines
    )
    async with singleinstance.running(
        replica, Alias(replica), singleinstance.Replica(strip(sound.build))
    ) as instance:
        reader, writer = await instance.connect()
        writer.write(data)
        received = await singleinstance.receive(reader)
        writer.close()
    assert received.status == 200
    assert len(copying.runs + sound.runs) == 1


@pytest.mark.parametrize('order', ['first', 'last'])
async def test_two_ids_in_one_request_have_no_second_run(order):
    """Requests 1, 2 share one of their two ids; replicas read either one."""
    runs = collections.Counter()
    refusals = {}

    class Reader(singleinstance.Replica):
        async def _answer(self, reader, number):
            head = await reader.readuntil(b'\r\n\r\n')
            ids = [
                line.split(b': ', 1)[1]
                for line in head.split(b'\r\n')
                if line.lower().startswith(b'attempt-id')
            ]
            request_id = ids[0 if order == 'first' else -1]
            attempt = head.split(b'\r\n')[0]
            refused = refusals.setdefault(self, [])
            if not refused:
                refused.append(build_refusal(b'503 Full', request_id))
                return singleinstance.Answer(refused[0], 'keep')
            runs[attempt] += 1
            copy = refused[0] if number else b''
            return singleinstance.Answer(
                copy + build_answer(request_id, b'ok'), 'keep'
            )

    async with singleinstance.running(Reader(None), Reader(None)) as instance:
        statuses = []
        for number in range(2):
            data = singleinstance.build_request(
                f'/once/{number}', deadline_ms=500
            ).replace(
                b'Attempt-Id: r-0',
                b'Attempt-Id: own-%d\r\nAttempt-Id: shared' % number
                if order == 'last'
                else b'Attempt-Id: shared\r\nAttempt-Id: own-%d' % number,
            )
            reader, writer = await instance.connect()
            writer.write(data)
            received = await singleinstance.receive(reader)
            statuses.append(received.status)
            writer.close()
    assert max(runs.values(), default=0) <= 1
    for attempt in runs:
        number = int(attempt.split(b' ')[1][-1:])
        assert statuses[number] not in {408, 421, 429, 503}


@pytest.mark.parametrize('status', [b'100 Continue', b'103 Early Hints'])
async def test_an_interim_head_that_says_not_run_frees_nothing(status):
    runs = []

    def build(request_id, last_event_id, number):
        runs.append(request_id)
        interim = (
            b'HTTP/1.1 %b\r\nNot-Executed: 1\r\nAttempt-Id: %b\r\n\r\n'
            % (status, request_id)
        )
        return singleinstance.Answer(
            interim + build_answer(request_id, b'ok'), 'keep'
        )

    async with singleinstance.running(
        singleinstance.Replica(build), singleinstance.Replica(build)
    ) as instance:
        received = await send(instance, '/once/x')
    assert received.status == 200
    assert len(runs) == 1


async def test_a_not_run_trailer_frees_nothing():
    runs = []

    def build(request_id, last_event_id, number):
        runs.append(request_id)
        head = rawreplica.build_head(request_id, b'Transfer-Encoding: chunked')
        body = b'2\r\nok\r\n0\r\nNot-Executed: 1\r\n\r\n'
        return singleinstance.Answer(head + body, 'keep')

    async with singleinstance.running(
        singleinstance.Replica(build), singleinstance.Replica(build)
    ) as instance:
        received = await send(instance, '/once/x')
    assert received.status == 200
    assert len(runs) == 1


class SlowlyConfirming(singleinstance.Instance):
    """Waits before each send."""

    def _build(self, clock):
        async def confirm_replica(name, listed_s):
            await asyncio.sleep(0.02)
            return True

        return super()._build(clock)._replace(confirm_replica=confirm_replica)


async def test_requests_that_wait_for_confirmation_have_no_second_run():
    """Several with one id at a time, and copies of what came before."""
    replica = ModelReplica(random.Random(1))
    instance = SlowlyConfirming({'i-0': replica, 'i-1': Alias(replica)})
    await instance.start()
    try:
        results = await asyncio.gather(
            *[
                send(instance, f'/once/{number}', request_id=b'same')
                for number in range(20)
            ]
        )
    finally:
        await instance.stop()
    check_results(
        [(number, each) for number, each in enumerate(results)],
        replica.runs,
    )


async def test_a_hedged_run_is_not_ended_by_a_copy():
    """A refuses, B is silent, A runs it under another name beside B."""
    copying = CopyingReplica(b'503 Full')
    replica = singleinstance.Replica(copying.build)
    silent = singleinstance.Replica(
        lambda *args: singleinstance.Answer(b'', 'silence')
    )
    async with singleinstance.running(
        replica, silent, Alias(replica)
    ) as instance:
        received = await send(instance, '/safe/x', deadline_ms=3000)
    assert received.status == 200
    assert copying.runs == [b'r-0']


class ModelReplica(singleinstance.Replica):
    """Refuses, runs and fails at random; copies earlier answers at random.

    ``runs`` counts the runs of each attempt, told by its path.
    """

    def __init__(self, rng):
        super().__init__(None)
        self.runs = collections.Counter()
        self._rng = rng
        self._numbers = itertools.count()

    async def _answer_all(self, reader, writer):
        sent = []
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:]
                    if line
                )
                attempt = int(head.split(b' ')[1].rpartition(b'/')[-1])
                if sent and self._rng.random() < 0.5:
                    writer.write(self._rng.choice(sent))
                    await asyncio.sleep(self._rng.choice((0, 0.002)))
                answer = self._decide(fields[b'attempt-id'], attempt)
                await asyncio.sleep(self._rng.choice((0, 0.001, 0.01)))
                writer.write(answer)
                sent.append(answer)
                if self._rng.random() < 0.1:
                    await asyncio.sleep(self._rng.choice((0, 0.002)))
                    writer.write(self._rng.choice(sent))

    def _decide(self, request_id, attempt):
        chance = self._rng.random()
        if chance < 0.4:
            status = self._rng.choice(
                (b'503 Full', b'429 Busy', b'421 Other', b'400 Bad')
            )
            named = request_id if self._rng.random() < 0.7 else None
            return build_refusal(status, named)
        self.runs[attempt] += 1
        body = b'%d' % attempt
        status = b'500 Error' if chance < 0.5 else b'200 OK'
        return build_answer(request_id, body, status=status)


def check_results(results, runs):
    assert max(runs.values(), default=0) <= 1
    for attempt, received in results:
        if received.status in {200, 500}:
            assert received.body == b'%d' % attempt
        if received.status in {408, 421, 429, 503}:
            assert not runs[attempt]


@pytest.mark.parametrize('seed', range(12))
async def test_copies_of_all_kinds_never_run_a_request_twice(seed):
    """Callers share three ids; replicas are listed under several names."""
    rng = random.Random(seed)
    replicas = [ModelReplica(rng) for _ in range(2)]
    listed = [*replicas, *[Alias(replica) for replica in replicas]]
    rng.shuffle(listed)
    numbers = itertools.count()
    results = []

    async def call(instance):
        for _ in range(40):
            number = next(numbers)
            received = await send(
                instance,
                f'/once/{number}',
                request_id=rng.choice((b'a', b'b', b'c', b'd-%d' % number)),
                deadline_ms=1000,
            )
            results.append((number, received))

    instance = singleinstance.Instance(
        {f'i-{number}': each for number, each in enumerate(listed)}
    )
    for replica in replicas:
        await replica.start()
    # The aliases start nothing.
    await instance._listener.listen('127.0.0.1', 0)
    try:
        await asyncio.gather(*[call(instance) for _ in range(4)])
    finally:
        await instance.stop()
    runs = sum((replica.runs for replica in replicas), collections.Counter())
    check_results(results, runs)
