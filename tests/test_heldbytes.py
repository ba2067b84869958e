"""What an instance holds for its connections, and what it does at its limit."""

import asyncio
import contextlib

import pytest

from lavenderledge.http1 import bounds
from lavenderledge.policy import memorybudget
from tests import platformfleet, rawreplica, singleinstance

BODY = b'b' * 300_000
LIMIT = 1_000_000
ROOMY = 200_000_000
BOUNDS = bounds.Bounds(16384, 400_000, 5, 5)
# More than the sockets' buffers hold.
LARGE = b''.join(
    b'id: %d\ndata: %b\n\n' % (n, b'x' * 10_000) for n in range(1, 1501)
)


def answer(request_id, last_event_id, number):
    head = rawreplica.build_head(request_id, b'Content-Length: 2')
    return singleinstance.Answer(head + b'ok', 'close')


def hang(request_id, last_event_id, number):
    return singleinstance.Answer(b'', 'silence')


def begin(request_id, last_event_id, number):
    """Send a part of a response that its connection's end would complete."""
    head = rawreplica.build_head(request_id)
    return singleinstance.Answer(head + LARGE[:30_000], 'silence')


def answer_large(request_id, last_event_id, number):
    head = rawreplica.build_head(request_id, b'Content-Length: %d' % len(LARGE))
    return singleinstance.Answer(head + LARGE, 'close')


def running(build, limit_bytes=LIMIT, **options):
    return singleinstance.running(
        singleinstance.Replica(build),
        limit_bytes=limit_bytes,
        **{'bounds': BOUNDS, **options},
    )


def frame(body, *, is_chunked):
    """Return the framing field and the bytes of a body."""
    if is_chunked:
        chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        return b'Transfer-Encoding: chunked', chunks
    return b'Content-Length: %d' % len(body), body


async def send(instance, data, path='/safe/x', framing=b'', **options):
    reader, writer = await instance.connect()
    options = {'framing': framing or b'Content-Length: 0', **options}
    writer.write(singleinstance.build_request(path, **options) + data)
    return reader, writer


def read_held(instance):
    return instance.account.usage.held_bytes


async def wait_until_released(instance):
    """Fail if anything stays charged."""
    await platformfleet.wait_until(
        lambda: instance.account.usage == memorybudget.Usage(0, 0, 0)
    )
    assert not instance.account.waiting_count


def exceed(instance, limit_bytes=1):
    """Lower the limit, so that what is held exceeds it."""
    instance.account.thresholds = memorybudget.build_thresholds(limit_bytes)
    instance.account.act()


def fill(instance, size_bytes):
    """Hold bytes; a reservation keeps uploads that don't fit waiting."""
    charge = instance.account.open()
    charge.replace(size_bytes, 0)
    charge.reserve(1)
    return charge


def check_refusal(received, status=503):
    assert received.status == status
    assert received.fields[b'attempt-id'] == b'r-0'
    assert (b'retry-after' in received.fields) == (status == 503)


async def test_a_declared_body_that_does_not_fit_is_refused_unread():
    async with running(answer, limit_bytes=399_999) as instance:
        framing, _ = frame(BODY, is_chunked=False)
        reader, writer = await send(instance, b'', framing=framing)
        check_refusal(await singleinstance.receive(reader))
        writer.close()
        assert not instance.replicas['i-0'].heads
        await wait_until_released(instance)


@pytest.mark.parametrize('is_chunked', [False, True])
async def test_uploads_above_the_threshold_wait_and_are_completed(is_chunked):
    """Incomplete uploads that wait for each other would all time out."""
    framing, data = frame(BODY[:200_000], is_chunked=is_chunked)
    async with running(answer) as instance:
        filling = fill(instance, 250_000)
        filling.reserve(0)
        account = instance.account
        pairs = []
        for number in range(1, 4):
            pairs.append(await send(instance, data[:100_000], framing=framing))
            await platformfleet.wait_until(
                lambda: read_held(instance) > 250_000 + number * 99_000
            )
        assert read_held(instance) > account.thresholds.upload_bytes
        for _, writer in pairs:
            writer.write(data[100_000:])
        for reader, writer in pairs:
            received = await singleinstance.receive(reader)
            assert received.status == 200
            assert read_held(instance) <= LIMIT
            writer.close()
        filling.close()
        await wait_until_released(instance)


async def test_an_upload_that_waits_too_long_is_refused():
    """Its unread bytes must not keep it from being timed out."""
    limits = BOUNDS._replace(header_timeout_s=0.3)
    framing, data = frame(BODY, is_chunked=True)
    async with running(answer, bounds=limits) as instance:
        filling = fill(instance, 440_000)
        reader, writer = await send(instance, data[:150_000], framing=framing)
        await platformfleet.wait_until(lambda: instance.account.waiting_count)
        writer.write(data[150_000:])
        unread = asyncio.create_task(singleinstance.receive(reader))
        held = []
        while not unread.done():
            instance.sweep()
            held.append(read_held(instance))
            await asyncio.sleep(0.02)
        check_refusal(unread.result())
        writer.close()
        assert not instance.replicas['i-0'].heads
        filling.close()
        await wait_until_released(instance)


async def test_bytes_that_the_kernel_holds_count():
    framing, data = frame(BODY, is_chunked=True)
    async with running(answer) as instance:
        filling = fill(instance, 440_000)
        reader, writer = await send(instance, data, framing=framing)
        await platformfleet.wait_until(lambda: instance.account.waiting_count)
        before_bytes = read_held(instance)

        def is_counted():
            instance.sweep()
            return read_held(instance) > before_bytes + 30_000

        await platformfleet.wait_until(is_counted)
        filling.close()
        assert (await singleinstance.receive(reader)).status == 200
        writer.close()
        await wait_until_released(instance)


async def test_an_upload_is_shed_with_a_status_that_says_not_run():
    framing, data = frame(BODY, is_chunked=False)
    async with running(answer) as instance:
        reader, writer = await send(instance, data[:9000], framing=framing)
        await platformfleet.wait_until(lambda: read_held(instance) > 9000)
        exceed(instance)
        check_refusal(await singleinstance.receive(reader))
        # Also while its caller keeps the connection open.
        await wait_until_released(instance)
        writer.write(data[9000:])
        writer.close()
        assert not instance.replicas['i-0'].heads
        await wait_until_released(instance)


async def test_a_waiting_request_is_shed_and_never_runs():
    async with running(answer) as instance:
        granted = asyncio.Event()
        acquire = instance.requester.acquire

        async def acquire_late(spec):
            await granted.wait()
            return await acquire(spec)

        instance.requester.acquire = acquire_late
        framing, data = frame(BODY, is_chunked=False)
        reader, writer = await send(instance, data, framing=framing)
        await platformfleet.wait_until(lambda: instance.shedder._list_entries())
        await platformfleet.wait_until(lambda: read_held(instance) > len(BODY))
        exceed(instance)
        check_refusal(await singleinstance.receive(reader))
        # Its task, which has the body, ends before a slot is granted.
        await platformfleet.wait_until(
            lambda: not instance.shedder._forwarder._running
        )
        granted.set()
        await wait_until_released(instance)
        await asyncio.sleep(0.05)
        assert not instance.replicas['i-0'].heads
        writer.close()


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
async def test_a_request_that_may_have_run_is_shed_with_502(path):
    async with running(hang) as instance:
        framing, data = frame(BODY, is_chunked=False)
        reader, writer = await send(instance, data, path, framing=framing)
        await platformfleet.wait_until(lambda: instance.replicas['i-0'].heads)
        exceed(instance)
        check_refusal(await singleinstance.receive(reader), status=502)
        writer.close()
        await wait_until_released(instance)


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
async def test_a_stream_that_is_shed_does_not_look_complete(version):
    """Without chunks, an orderly close would complete it."""
    async with running(begin) as instance:
        reader, writer = await send(instance, b'', '/stream/x', version=version)
        data = await reader.readuntil(b'\r\n\r\n')
        filling = fill(instance, 100)
        entries = instance.shedder._list_entries()
        assert [entry.holding.kind.name for entry in entries] == ['RUNNING']
        entries[0].shed()
        with contextlib.suppress(ConnectionError):
            data += await reader.read(1 << 20)
            received = await singleinstance.receive(reader, version=version)
            assert not received.is_complete
        assert not singleinstance.parse(
            data, knows_chunks=version != b'1.0'
        ).is_complete
        writer.close()
        filling.close()
        await wait_until_released(instance)


async def test_a_response_is_read_for_a_slow_caller_while_there_is_room():
    """Its replica would abort it."""
    async with running(answer_large, limit_bytes=ROOMY) as instance:
        reader, writer = await instance.connect(limit=1024)
        writer.write(singleinstance.build_request('/stream/x'))
        replica = instance.replicas['i-0']
        await platformfleet.wait_until(
            lambda: replica.heads and not replica._serving
        )
        # It is complete: it is not shed, and nothing else is either.
        await platformfleet.wait_until(
            lambda: not instance.shedder._list_entries()
        )
        exceed(instance)
        received = await singleinstance.receive(reader, timeout_s=30)
        writer.close()
        assert received.is_complete
        assert received.body == LARGE
        await wait_until_released(instance)


async def test_a_response_waits_at_the_threshold():
    async with running(answer_large, limit_bytes=ROOMY) as instance:
        filling = fill(instance, int(ROOMY * 0.8))
        reader, writer = await instance.connect(limit=1024)
        writer.write(singleinstance.build_request('/stream/x'))
        await platformfleet.wait_until(
            lambda: any(
                connection.is_ahead
                for connection in instance._listener.connections
            )
        )
        await asyncio.sleep(0.2)
        assert instance.account.usage.unsent_bytes < 500_000
        assert instance.replicas['i-0']._serving
        filling.close()
        instance.sweep()
        received = await singleinstance.receive(reader, timeout_s=30)
        writer.close()
        assert received.body == LARGE
        await wait_until_released(instance)


class LateReplica(singleinstance.Replica):
    """Reads a request only when it may; ``bodies`` has what it has read."""

    def __init__(self, build):
        super().__init__(build)
        self.may_read = asyncio.Event()
        self.bodies = []

    async def _answer(self, reader, number):
        await self.may_read.wait()
        await reader.readuntil(b'\r\n\r\n')
        self.bodies.append(await reader.readexactly(len(LARGE)))
        return self.build(b'r-0', 0, number)


@pytest.mark.parametrize('leaves', [False, True])
async def test_a_large_body_is_held_once_for_a_replica_that_reads_late(leaves):
    replica = LateReplica(answer)
    limits = BOUNDS._replace(body_bytes=len(LARGE))
    async with singleinstance.running(
        replica, limit_bytes=ROOMY, bounds=limits
    ) as instance:
        framing, data = frame(LARGE, is_chunked=False)
        reader, writer = await send(instance, data, framing=framing)
        await platformfleet.wait_until(
            lambda: read_held(instance) > len(LARGE) + 10_000
        )
        assert read_held(instance) < len(LARGE) + 200_000
        if leaves:
            rawreplica.reset(writer)
            await wait_until_released(instance)
        replica.may_read.set()
        if not leaves:
            assert (await singleinstance.receive(reader)).status == 200
            assert replica.bodies == [LARGE]
            writer.close()
            await wait_until_released(instance)


async def test_a_buffered_part_is_released_when_its_attempt_ends():
    def cut(request_id, last_event_id, number):
        fields = b'Content-Length: %d' % len(BODY)
        head = rawreplica.build_head(request_id, fields)
        return singleinstance.Answer(head + BODY[:200_000], 'close')

    replicas = [singleinstance.Replica(build) for build in (cut, hang)]
    async with singleinstance.running(*replicas, limit_bytes=LIMIT) as instance:
        _, writer = await send(instance, b'')
        await platformfleet.wait_until(lambda: replicas[1].heads)
        assert read_held(instance) < 10_000
        writer.close()
        await wait_until_released(instance)


async def leave_upload(instance):
    framing, data = frame(BODY, is_chunked=False)
    _, writer = await send(instance, data[:200_000], framing=framing)
    await platformfleet.wait_until(lambda: read_held(instance) > 190_000)
    rawreplica.reset(writer)


async def leave_waiting_upload(instance):
    """Leave while the instance does not read, so that it can't notice."""
    filling = fill(instance, 440_000)
    framing, data = frame(BODY, is_chunked=True)
    _, writer = await send(instance, data[:200_000], framing=framing)
    await platformfleet.wait_until(lambda: instance.account.waiting_count)
    rawreplica.reset(writer)
    filling.close()


async def leave_response(instance):
    reader, writer = await instance.connect(limit=1024)
    writer.write(singleinstance.build_request('/stream/x'))
    await platformfleet.wait_until(
        lambda: instance.account.usage.unsent_bytes > 100_000
    )
    rawreplica.reset(writer)


async def exchange(instance):
    framing, data = frame(BODY, is_chunked=True)
    reader, writer = await send(instance, data, framing=framing)
    received = await singleinstance.receive(reader)
    writer.close()
    return received


async def pipeline(instance):
    """Let requests wait behind another one, and leave."""
    _, writer = await send(
        instance,
        singleinstance.build_request('/safe/x') * 3 + b'POST /x HT',
    )
    await platformfleet.wait_until(lambda: read_held(instance) > 0)
    rawreplica.reset(writer)


@pytest.mark.parametrize(
    ('build', 'act'),
    [
        (answer, leave_upload),
        (answer, leave_waiting_upload),
        (answer_large, leave_response),
        (answer_large, exchange),
        (answer, exchange),
        (hang, pipeline),
        (lambda *args: singleinstance.Answer(b'', 'reset'), exchange),
        (lambda *args: singleinstance.Answer(b'HTTP/1.1 2', 'close'), exchange),
    ],
)
async def test_everything_is_released_however_a_request_ends(build, act):
    async with running(build, limit_bytes=LIMIT) as instance:
        await act(instance)
        await wait_until_released(instance)


async def test_a_refusal_names_the_request_that_is_refused():
    """Later heads in the same bytes must not replace the first fault."""
    async with running(answer) as instance:
        charge = fill(instance, LIMIT - 1)
        framing, data = frame(b'x' * 2000, is_chunked=True)
        first = singleinstance.build_request('/safe/x', framing=framing)
        reader, writer = await instance.connect()
        writer.write(first + data + first.replace(b'r-0', b'r-1') + data)
        check_refusal(await singleinstance.receive(reader))
        writer.close()
        charge.close()
        await wait_until_released(instance)


async def test_what_waits_behind_an_unsent_answer_is_not_shed():
    """To end it would cut the complete answer that its caller still reads."""
    steps = iter((answer_large, begin))

    def build(*args):
        return next(steps)(*args)

    async with running(build, limit_bytes=ROOMY) as instance:
        reader, writer = await instance.connect(limit=1024)
        request = singleinstance.build_request('/stream/x')
        writer.write(request + request.replace(b'r-0', b'r-1'))
        replica = instance.replicas['i-0']
        await platformfleet.wait_until(lambda: len(replica.heads) == 2)
        assert not instance.shedder._list_entries()
        exceed(instance)
        received = await singleinstance.receive(reader, timeout_s=30)
        assert received.body == LARGE
        writer.close()
