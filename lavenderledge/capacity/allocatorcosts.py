"""What an allocator costs: processor time by message, and memory."""

import functools
import itertools
import typing

from lavenderledge.capacity import figures, manualclock, samples
from lavenderledge.controllers import allocator
from lavenderledge.peers import messages

# Calls of a measurement, by how long each takes.
_FEW: typing.Final = 200
_BURST: typing.Final = 400
_MANY: typing.Final = 2000
# A request's number stands in the last digits of its id.
_DIGITS: typing.Final = 12
_HEXADECIMAL: typing.Final = 16
# More grants than any allocator sends.
_SEEN: typing.Final = 4_611_686_018_427_387_904

_DEPTHS: typing.Final = (0, 100, 1000)
_RUNNING: typing.Final = (0, 5, 20, 100)
_SIZES: typing.Final = (3, 9, 28, 100, 400)
_USUAL_SIZE: typing.Final = 28
_STEP_S: typing.Final = 0.001
_SENDER: typing.Final = 'entry-1'


class AllocatorHarness:
    """An allocator and the messages of one asking instance."""

    def __init__(self, *, replicas: int) -> None:
        """Start with nothing waiting and every report heard."""
        listed = samples.make_replicas(replicas)
        row = samples.make_row()
        self.clock = manualclock.ManualClock()
        self.waiting: dict[str, messages.RequestSpec] = {}
        self.granted: list[str] = []
        self.names = [info.name for info in listed]
        self.allocator = allocator.Allocator(
            instance='entry-0',
            clock=self.clock,
            send=self._take,
            list_replicas=lambda pool: listed,
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
        """Report all that this instance holds, without readings."""
        self.allocator.receive(self.make_report())

    def make_report(self, readings: int = 0) -> messages.Report:
        """Return the next report."""
        running = [
            samples.make_running(
                int(each[-_DIGITS:], _HEXADECIMAL), self.names[0]
            )
            for each in self.granted
        ]
        self.clock.now_s += _STEP_S
        return messages.Report(
            sender=_SENDER,
            incarnation=1,
            pool=samples.POOL,
            sequence=next(self._sequences),
            stamp_s=self.clock.now_s,
            grant_seen=_SEEN,
            waiting=tuple(self.waiting.values()),
            running=(*running, *self._running),
            readings=tuple(map(samples.make_reading, self.names[:readings])),
        )

    def set_running(self, count: int) -> None:
        """Have so many requests running, spread over the replicas."""
        self._running = [
            samples.make_running(
                next(self._numbers), self.names[number % len(self.names)]
            )
            for number in range(count)
        ]
        self.report()

    def ask(self) -> None:
        """Ask for one more request; a decision follows."""
        ask = samples.make_spec(next(self._numbers))
        self.waiting[ask.request_id] = ask
        self.allocator.receive(
            messages.NewAsk(_SENDER, 1, samples.POOL, self.clock.now_s, ask)
        )
        self.clock.now_s += _STEP_S
        self.allocator.tick()

    def release(self) -> None:
        """Give the oldest grant back; a decision follows."""
        if self.granted:
            oldest = self.granted.pop(0)
            self.allocator.receive(
                messages.Release(
                    _SENDER, 1, samples.POOL, oldest, samples.OUTPUT_TOKENS
                )
            )
            self.allocator.tick()

    def fill_queue(self, depth: int) -> None:
        """Ask until so many wait; none leaves a pool that is not full."""
        while len(self.waiting) < depth:
            self.ask()

    def request_and_release(self, count: int) -> None:
        """Ask for and release so many requests."""
        for _ in range(count):
            self.ask()
            self.release()

    def request_after_report(self, count: int) -> None:
        """Like ``cycle``, each with a report before it."""
        for _ in range(count):
            self.send_empty_report()
            self.ask()
            self.release()

    def send_empty_report(self) -> None:
        """Report for another instance, which holds nothing."""
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

    def _take(self, instance: str, message: messages.Message) -> None:
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
    for depth in _DEPTHS:
        world = AllocatorHarness(replicas=_USUAL_SIZE)
        world.fill_queue(depth)
        points[depth] = figures.measure_time(
            f'ask, grant, release: {depth} waiting',
            world.request_and_release,
            count=_FEW,
            prepare=world.report,
        )
    return figures.add_slope('ask, grant, release by waiting', 'us', points)


def _measure_reports() -> list[figures.Figure]:
    points = {}
    for running in _RUNNING:
        points[running] = _measure_report(
            f'report: {running} running', _USUAL_SIZE, running
        )
    return figures.add_slope('report by running', 'us', points)


def _measure_report(name: str, size: int, running: int) -> figures.Figure:
    world = AllocatorHarness(replicas=size)
    world.set_running(running)
    waiting: list[messages.Report] = []
    readings = min(running, size)

    def prepare() -> None:
        waiting.extend(world.make_report(readings) for _ in range(100))

    def receive(count: int) -> None:
        for report in waiting:
            world.allocator.receive(report)
        waiting.clear()

    return figures.measure_time(name, receive, count=100, prepare=prepare)


def _measure_sizes() -> list[figures.Figure]:
    ticks, cycles, mixed, reports = {}, {}, {}, {}
    for size in _SIZES:
        world = AllocatorHarness(replicas=size)
        ticks[size] = figures.measure_time(
            f'idle tick: {size} replicas',
            functools.partial(_tick, world),
            count=_FEW,
            prepare=world.report,
        )
        world.fill_queue(1)
        cycles[size] = figures.measure_time(
            f'ask, grant, release at a full pool: {size} replicas',
            world.request_and_release,
            count=100,
            prepare=world.report,
        )
        mixed[size] = figures.measure_time(
            f'the same after an empty report: {size} replicas',
            world.request_after_report,
            count=100,
            prepare=world.report,
        )
        reports[size] = _measure_report(
            f'empty report: {size} replicas', size, 0
        )
    return [
        *figures.add_slope('idle tick by replicas', 'us', ticks),
        *figures.add_slope('ask, grant, release by replicas', 'us', cycles),
        *figures.add_slope('report, ask, grant, release', 'us', mixed),
        *figures.add_slope('empty report', 'us', reports),
    ]


def _tick(world: AllocatorHarness, count: int) -> None:
    for _ in range(count):
        world.clock.now_s += _STEP_S
        world.allocator.tick()


def _measure_memory() -> list[figures.Figure]:
    full = AllocatorHarness(replicas=_USUAL_SIZE)
    full.fill_queue(1)
    busy = AllocatorHarness(replicas=_USUAL_SIZE)
    return [
        figures.measure_memory(
            'memory of a waiting request', full.fill_queue, count=_MANY
        ),
        figures.measure_memory(
            'memory of a running request', busy.set_running, count=_MANY
        ),
        figures.measure_memory(
            'memory of a replica',
            lambda count: AllocatorHarness(replicas=count),
            count=_BURST,
        ),
        figures.measure_memory(
            'memory of a pool without replicas', _make_pools, count=100
        ),
    ]


def _make_pools(count: int) -> AllocatorHarness:
    world = AllocatorHarness(replicas=0)
    for number in range(count):
        report = world.make_report()._replace(pool=f'pool-{number}')
        world.allocator.receive(report)
    return world
