"""The cost of an allocator: processor time per message, and memory."""

import functools
import itertools
import typing

from lavenderledge.capacity import figures, manualclock, samples
from lavenderledge.controllers import allocator
from lavenderledge.peers import messages

# Number of calls per measurement, depending on their duration.
_SLOW_CALL_COUNT: typing.Final = 200
_REPLICA_COUNT: typing.Final = 400
_FAST_CALL_COUNT: typing.Final = 2000
# The last digits of a request id hold the request's number.
_NUMBER_DIGITS: typing.Final = 12
_NUMBER_BASE: typing.Final = 16
# A sequence number above that of any grant.
_MAX_SEQUENCE: typing.Final = 4_611_686_018_427_387_904

_QUEUE_DEPTHS: typing.Final = (0, 100, 1000)
_RUNNING_COUNTS: typing.Final = (0, 5, 20, 100)
_POOL_SIZES: typing.Final = (3, 9, 28, 100, 400)
_TYPICAL_POOL_SIZE: typing.Final = 28
_STEP_S: typing.Final = 0.001
_SENDER: typing.Final = 'entry-1'


class AllocatorHarness:
    """An allocator, and one requester that exchanges messages with it."""

    def __init__(self, *, replicas: int) -> None:
        """Start with no waiting requests and all reports received."""
        replica_infos = samples.make_replicas(replicas)
        row = samples.make_row()
        self.clock = manualclock.ManualClock()
        self.waiting: dict[str, messages.RequestSpec] = {}
        self.granted: list[str] = []
        self.names = [info.name for info in replica_infos]
        self.allocator = allocator.Allocator(
            instance='entry-0',
            clock=self.clock,
            send=self._receive,
            list_replicas=lambda pool: replica_infos,
            find_row=lambda name: row,
            is_allocator=lambda pool: True,
            count_alive=lambda: 1,
        )
        self._numbers = itertools.count()
        self._sequences = itertools.count()
        self._running: list[messages.RunningRequest] = []
        self.report()
        self.allocator.tick()

    def report(self) -> None:
        """Send a report of the requester's requests, without readings."""
        self.allocator.receive(self.make_report())

    def make_report(self, readings: int = 0) -> messages.Report:
        """Return the requester's next report."""
        running = [
            samples.make_running(
                int(request_id[-_NUMBER_DIGITS:], _NUMBER_BASE), self.names[0]
            )
            for request_id in self.granted
        ]
        self.clock.now_s += _STEP_S
        return messages.Report(
            sender=_SENDER,
            incarnation=1,
            pool=samples.POOL,
            sequence=next(self._sequences),
            stamp_s=self.clock.now_s,
            grant_seen=_MAX_SEQUENCE,
            waiting=tuple(self.waiting.values()),
            running=(*running, *self._running),
            readings=tuple(map(samples.make_reading, self.names[:readings])),
        )

    def set_running(self, count: int) -> None:
        """Report ``count`` running requests, spread over the replicas."""
        self._running = [
            samples.make_running(
                next(self._numbers), self.names[number % len(self.names)]
            )
            for number in range(count)
        ]
        self.report()

    def send_request(self) -> None:
        """Send a new request and let the allocator decide."""
        spec = samples.make_spec(next(self._numbers))
        self.waiting[spec.request_id] = spec
        self.allocator.receive(
            messages.NewAsk(_SENDER, 1, samples.POOL, self.clock.now_s, spec)
        )
        self.clock.now_s += _STEP_S
        self.allocator.tick()

    def release(self) -> None:
        """Release the oldest grant and let the allocator decide."""
        if self.granted:
            oldest = self.granted.pop(0)
            self.allocator.receive(
                messages.Release(
                    _SENDER, 1, samples.POOL, oldest, samples.OUTPUT_TOKENS
                )
            )
            self.allocator.tick()

    def fill_queue(self, depth: int) -> None:
        """Send requests until ``depth`` of them wait in a full pool."""
        while len(self.waiting) < depth:
            self.send_request()

    def request_and_release(self, count: int) -> None:
        """Send and release ``count`` requests."""
        for _ in range(count):
            self.send_request()
            self.release()

    def request_after_report(self, count: int) -> None:
        """Send and release ``count`` requests, each after an empty report."""
        for _ in range(count):
            self.send_empty_report()
            self.send_request()
            self.release()

    def send_empty_report(self) -> None:
        """Send a report of another instance that has no requests."""
        report = messages.Report(
            'entry-2',
            1,
            samples.POOL,
            next(self._sequences),
            self.clock.now_s,
            0,
            (),
            (),
            (),
        )
        self.allocator.receive(report)

    def _receive(self, instance: str, message: messages.Message) -> None:
        if isinstance(message, messages.Grant):
            self.waiting.pop(message.request_id, None)
            self.granted.append(message.request_id)


def measure() -> list[figures.Figure]:
    """Return the figures of the allocator."""
    found = []
    found.extend(_measure_depths())
    found.extend(_measure_reports())
    found.extend(_measure_sizes())
    found.extend(_measure_memory())
    return found


def _measure_depths() -> list[figures.Figure]:
    points = {}
    for depth in _QUEUE_DEPTHS:
        harness = AllocatorHarness(replicas=_TYPICAL_POOL_SIZE)
        harness.fill_queue(depth)
        points[depth] = figures.measure_time(
            f'ask, grant, release: {depth} waiting',
            harness.request_and_release,
            count=_SLOW_CALL_COUNT,
            prepare=harness.report,
        )
    return figures.add_slope('ask, grant, release by waiting', 'us', points)


def _measure_reports() -> list[figures.Figure]:
    points = {}
    for running in _RUNNING_COUNTS:
        points[running] = _measure_report(
            f'report: {running} running', _TYPICAL_POOL_SIZE, running
        )
    return figures.add_slope('report by running', 'us', points)


def _measure_report(name: str, size: int, running: int) -> figures.Figure:
    harness = AllocatorHarness(replicas=size)
    harness.set_running(running)
    waiting: list[messages.Report] = []
    readings = min(running, size)

    def prepare() -> None:
        waiting.extend(harness.make_report(readings) for _ in range(100))

    def receive(count: int) -> None:
        for report in waiting:
            harness.allocator.receive(report)
        waiting.clear()

    return figures.measure_time(name, receive, count=100, prepare=prepare)


def _measure_sizes() -> list[figures.Figure]:
    ticks, cycles, after_reports, reports = {}, {}, {}, {}
    for size in _POOL_SIZES:
        harness = AllocatorHarness(replicas=size)
        ticks[size] = figures.measure_time(
            f'idle tick: {size} replicas',
            functools.partial(_tick, harness),
            count=_SLOW_CALL_COUNT,
            prepare=harness.report,
        )
        harness.fill_queue(1)
        cycles[size] = figures.measure_time(
            f'ask, grant, release at a full pool: {size} replicas',
            harness.request_and_release,
            count=100,
            prepare=harness.report,
        )
        after_reports[size] = figures.measure_time(
            f'the same after an empty report: {size} replicas',
            harness.request_after_report,
            count=100,
            prepare=harness.report,
        )
        reports[size] = _measure_report(
            f'empty report: {size} replicas', size, 0
        )
    return [
        *figures.add_slope('idle tick by replicas', 'us', ticks),
        *figures.add_slope('ask, grant, release by replicas', 'us', cycles),
        *figures.add_slope('report, ask, grant, release', 'us', after_reports),
        *figures.add_slope('empty report', 'us', reports),
    ]


def _tick(harness: AllocatorHarness, count: int) -> None:
    for _ in range(count):
        harness.clock.now_s += _STEP_S
        harness.allocator.tick()


def _measure_memory() -> list[figures.Figure]:
    full = AllocatorHarness(replicas=_TYPICAL_POOL_SIZE)
    full.fill_queue(1)
    running = AllocatorHarness(replicas=_TYPICAL_POOL_SIZE)
    return [
        figures.measure_memory(
            'memory of a waiting request',
            full.fill_queue,
            count=_FAST_CALL_COUNT,
        ),
        figures.measure_memory(
            'memory of a running request',
            running.set_running,
            count=_FAST_CALL_COUNT,
        ),
        figures.measure_memory(
            'memory of a replica',
            lambda count: AllocatorHarness(replicas=count),
            count=_REPLICA_COUNT,
        ),
        figures.measure_memory(
            'memory of a pool without replicas', _make_pools, count=100
        ),
    ]


def _make_pools(count: int) -> AllocatorHarness:
    harness = AllocatorHarness(replicas=0)
    for number in range(count):
        report = harness.make_report()._replace(pool=f'pool-{number}')
        harness.allocator.receive(report)
    return harness
