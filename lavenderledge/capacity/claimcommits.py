"""The number of claims per group commit, by claim rate and call latency."""

import asyncio
import typing
from collections import abc

import expression

from lavenderledge.capacity import figures, manualclock
from lavenderledge.registry import groupcommit, operations

_STEP_S: typing.Final = 0.0005
_MEASURED_S: typing.Final = 10.0
# The size of a stored table row.
_VALUE_BYTES: typing.Final = 220
_VALUE: typing.Final = b'x' * _VALUE_BYTES
# Transactions per second at one instance: two for each of 14 requests per
# second that carry a key (create and answer), and multiples of that.
RATES: typing.Final = (28, 280, 1400, 10_200)
LATENCIES_S: typing.Final = (0.005, 0.02)
_MS_PER_S: typing.Final = 1000


class Store:
    """A key-value service with a fixed latency per call."""

    def __init__(
        self, *, clock: manualclock.ManualClock, latency_s: float
    ) -> None:
        """Start without calls."""
        self.calls = 0
        self._clock = clock
        self._latency_s = latency_s
        self._due: list[tuple[float, asyncio.Future[None]]] = []

    async def transact(
        self,
        compares: abc.Sequence[operations.Compare],
        then: abc.Sequence[operations.Operation],
    ) -> groupcommit.CommitResult:
        """Accept all transactions of a call after the latency."""
        self.calls += 1
        future: asyncio.Future[None]
        future = asyncio.get_running_loop().create_future()
        self._due.append((self._clock.now_s + self._latency_s, future))
        await future
        answer = operations.TransactAnswer(0, True, ())
        answers = tuple(answer for _ in then)
        return expression.Ok(operations.TransactAnswer(1, True, answers))

    def answer_due_calls(self) -> None:
        """Answer the calls that are due."""
        while self._due and self._due[0][0] <= self._clock.now_s:
            self._due.pop(0)[1].set_result(None)


def measure() -> list[figures.Figure]:
    """Return the calls per second and the claims per call."""
    return asyncio.run(_measure())


async def _measure() -> list[figures.Figure]:
    found = []
    for latency_s in LATENCIES_S:
        for rate in RATES:
            name = f'{rate} claims/s, {latency_s * _MS_PER_S:.0f} ms'
            found.extend(await _measure_rate(name, rate, latency_s))
    return found


async def _measure_rate(
    name: str, rate: int, latency_s: float
) -> list[figures.Figure]:
    clock = manualclock.ManualClock()
    store = Store(clock=clock, latency_s=latency_s)
    group_commit = groupcommit.GroupCommit(store=typing.cast(typing.Any, store))
    began_s = clock.now_s
    commits: list[asyncio.Future[groupcommit.CommitResult]] = []
    while clock.now_s - began_s < _MEASURED_S:
        clock.now_s += _STEP_S
        expected = int((clock.now_s - began_s) * rate)
        for number in range(len(commits), expected):
            commits.append(asyncio.ensure_future(_commit(group_commit, number)))
        await _run_ready(store)
    calls = store.calls
    waiting = sum(not commit.done() for commit in commits)
    while not all(commit.done() for commit in commits):
        clock.now_s += _STEP_S
        await _run_ready(store)
    return [
        figures.build_figure(f'{name}: calls', '/s', [calls / _MEASURED_S]),
        figures.build_figure(
            f'{name}: claims a call', '', [len(commits) / calls]
        ),
        figures.build_figure(f'{name}: left waiting', '', [waiting]),
    ]


async def _commit(
    group_commit: groupcommit.GroupCommit, number: int
) -> groupcommit.CommitResult:
    key = f'lavenderledge/claims/customer/{number:064x}'
    return await group_commit.commit(
        operations.Transaction(
            (operations.Compare(key, operations.Target.CREATE, 0),),
            (operations.Put(key, _VALUE),),
            (operations.Get(key),),
        )
    )


async def _run_ready(store: Store) -> None:
    for _ in range(3):
        store.answer_due_calls()
        await asyncio.sleep(0)
