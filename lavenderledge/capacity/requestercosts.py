"""What the asking side costs: processor time by request, report, token."""

import asyncio
import functools
import itertools
import typing

from lavenderledge.capacity import figures, manualclock, samples
from lavenderledge.controllers import admission
from lavenderledge.peers import messages

_REPLICAS: typing.Final = 28
_REPORTS: typing.Final = 200
# The clock moves on by this between calls, seconds.
_STEP_S: typing.Final = 1e-6

_HELD: typing.Final = (0, 5, 20, 100)
_REQUESTS: typing.Final = 500
_TOKENS: typing.Final = 10_000
_ALLOCATOR: typing.Final = 'entry-0'


class RequesterHarness:
    """The asking side of one instance; grants are made at once."""

    def __init__(self) -> None:
        """Hold nothing."""
        self.clock = manualclock.ManualClock()
        self.admission = admission.Admission(
            instance='entry-1',
            incarnation=1,
            clock=self.clock,
            send=_drop,
            find_allocator=lambda pool: _ALLOCATOR,
            on_preempt=_forget,
        )
        self._numbers = itertools.count(1)

    async def start(self) -> str:
        """Have one more request granted and started; return its id."""
        number = next(self._numbers)
        ask = samples.make_spec(number)
        acquired = asyncio.ensure_future(
            self.admission.acquire(
                pool=samples.POOL,
                spec=ask,
                deadline_s=self.clock.now_s + samples.FOREVER_S,
            )
        )
        await asyncio.sleep(0)
        self.admission.receive(
            messages.Grant(
                sender=_ALLOCATOR,
                pool=samples.POOL,
                sequence=number,
                request_id=ask.request_id,
                replica=f'calculator-{number % _REPLICAS}',
                address='10.1.2.3:8000',
                stamp_s=self.clock.now_s,
            )
        )
        placed = await acquired
        self.admission.is_current(placed.ok)
        self.admission.note_first_byte(ask.request_id)
        return ask.request_id

    def report(self, count: int) -> None:
        """Send so many reports."""
        for _ in range(count):
            self.clock.now_s += 1
            self.admission.tick()


def measure() -> list[figures.Figure]:
    """Return the figures of the asking side."""
    return asyncio.run(_measure())


async def _measure() -> list[figures.Figure]:
    asker = RequesterHarness()
    found = [
        figures.build_figure(
            'request: acquire, start, release',
            'us',
            [await _time_requests(asker) for _ in range(figures.REPEATS)],
        )
    ]
    points = {}
    for held in _HELD:
        reporter = RequesterHarness()
        for _ in range(held):
            reporter.admission.note_tokens(await reporter.start(), 1)
        reporter.report(1)
        points[held] = figures.measure_time(
            f'report: {held} held', reporter.report, count=_REPORTS
        )
    found.extend(figures.add_slope('report by held', 'us', points))
    found.append(
        figures.measure_time(
            'one token noted',
            functools.partial(_note, asker, await asker.start()),
            count=_TOKENS,
        )
    )
    return found


async def _time_requests(asker: RequesterHarness) -> float:
    with figures.Stopwatch() as watch:
        for _ in range(_REQUESTS):
            request_id = await asker.start()
            asker.admission.release(request_id, 0)
    return watch.elapsed_us / _REQUESTS


def _note(asker: RequesterHarness, request_id: str, count: int) -> None:
    for done in range(count):
        asker.clock.now_s += _STEP_S
        asker.admission.note_tokens(request_id, done)


def _drop(instance: str, message: messages.Message) -> None:
    """Send nothing."""


def _forget(request_id: str) -> None:
    """Preempt nothing."""
