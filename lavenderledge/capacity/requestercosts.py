"""The requester's processor time per request, report and token."""

import asyncio
import functools
import itertools
import typing

from lavenderledge.capacity import figures, manualclock, samples
from lavenderledge.controllers import admission
from lavenderledge.peers import messages

_REPLICAS: typing.Final = 28
_REPORT_COUNT: typing.Final = 200
# The clock advances by this between calls.
_STEP_S: typing.Final = 1e-6

_HELD_COUNTS: typing.Final = (0, 5, 20, 100)
_REQUEST_COUNT: typing.Final = 500
_TOKEN_COUNT: typing.Final = 10_000
_ALLOCATOR: typing.Final = 'entry-0'


class RequesterHarness:
    """The requester of one instance; each request is granted at once."""

    def __init__(self) -> None:
        """Start without requests."""
        self.clock = manualclock.ManualClock()
        self.admission = admission.Admission(
            instance='entry-1',
            incarnation=1,
            clock=self.clock,
            send=_discard,
            find_allocator=lambda pool: _ALLOCATOR,
            on_preempt=_ignore_preemption,
        )
        self._numbers = itertools.count(1)

    async def start(self) -> str:
        """Get a request granted and started; return its id."""
        number = next(self._numbers)
        spec = samples.make_spec(number)
        acquired = asyncio.ensure_future(
            self.admission.acquire(
                pool=samples.POOL,
                spec=spec,
                deadline_s=self.clock.now_s + samples.LONG_TIMEOUT_S,
            )
        )
        await asyncio.sleep(0)
        self.admission.receive(
            messages.Grant(
                sender=_ALLOCATOR,
                pool=samples.POOL,
                sequence=number,
                request_id=spec.request_id,
                replica=f'calculator-{number % _REPLICAS}',
                address='10.1.2.3:8000',
                stamp_s=self.clock.now_s,
            )
        )
        placement = await acquired
        self.admission.is_current(placement.ok)
        self.admission.note_first_byte(spec.request_id)
        return spec.request_id

    def report(self, count: int) -> None:
        """Send ``count`` reports, one per second of the clock."""
        for _ in range(count):
            self.clock.now_s += 1
            self.admission.tick()


def measure() -> list[figures.Figure]:
    """Return the figures of the requester."""
    return asyncio.run(_measure())


async def _measure() -> list[figures.Figure]:
    requester = RequesterHarness()
    found = [
        figures.build_figure(
            'request: acquire, start, release',
            'us',
            [await _time_requests(requester) for _ in range(figures.REPEATS)],
        )
    ]
    points = {}
    for held in _HELD_COUNTS:
        reporter = RequesterHarness()
        for _ in range(held):
            reporter.admission.note_tokens(await reporter.start(), 1)
        reporter.report(1)
        points[held] = figures.measure_time(
            f'report: {held} held', reporter.report, count=_REPORT_COUNT
        )
    found.extend(figures.add_slope('report by held', 'us', points))
    found.append(
        figures.measure_time(
            'one token noted',
            functools.partial(_note_tokens, requester, await requester.start()),
            count=_TOKEN_COUNT,
        )
    )
    return found


async def _time_requests(requester: RequesterHarness) -> float:
    with figures.Stopwatch() as stopwatch:
        for _ in range(_REQUEST_COUNT):
            request_id = await requester.start()
            requester.admission.release(request_id, 0)
    return stopwatch.elapsed_us / _REQUEST_COUNT


def _note_tokens(
    requester: RequesterHarness, request_id: str, count: int
) -> None:
    for tokens in range(count):
        requester.clock.now_s += _STEP_S
        requester.admission.note_tokens(request_id, tokens)


def _discard(instance: str, message: messages.Message) -> None:
    """Discard a message."""


def _ignore_preemption(request_id: str) -> None:
    """Ignore a preemption."""
