"""How many claims a group commit puts into one call, by rate and latency."""

import asyncio
import typing
from collections import abc

import expression

from lavenderledge.capacity import figures, manual
from lavenderledge.registry import groupcommit, operations

_STEP_S: typing.Final = 0.0005
_COUNTED_S: typing.Final = 10.0
# A table row as it is stored.
_VALUE_BYTES: typing.Final = 220
_VALUE: typing.Final = b'x' * _VALUE_BYTES
# Transactions a second at one instance: 14 keyed requests a second, each
# created and answered, and multiples of that.
RATES: typing.Final = (28, 280, 1400, 10_200)
LATENCIES_S: typing.Final = (0.005, 0.02)
_MILLISECONDS: typing.Final = 1000


class Store:
    """A key-value service that takes a fixed time for each call."""

    def __init__(self, *, clock: manual.ManualClock, latency_s: float) -> None:
        """Start with no call."""
        self.calls = 0
        self._clock = clock
        self._latency_s = latency_s
        self._due: list[tuple[float, asyncio.Future[None]]] = []

    async def transact(
        self,
        compares: abc.Sequence[operations.Compare],
        then: abc.Sequence[operations.Operation],
    ) -> groupcommit.CommitResult:
        """Accept every transaction of a call, when its time has passed."""
        self.calls += 1
        future: asyncio.Future[None]
        future = asyncio.get_running_loop().create_future()
        self._due.append((self._clock.now_s + self._latency_s, future))
        await future
        answer = operations.TransactAnswer(0, True, ())
        answers = tuple(answer for _ in then)
        return expression.Ok(operations.TransactAnswer(1, True, answers))

    def settle(self) -> None:
        """Answer the calls whose time has come."""
        while self._due and self._due[0][0] <= self._clock.now_s:
            self._due.pop(0)[1].set_result(None)


def measure() -> list[figures.Figure]:
    """Return calls a second, and transactions a call."""
    return asyncio.run(_measure())


async def _measure() -> list[figures.Figure]:
    found = []
    for latency_s in LATENCIES_S:
        for rate in RATES:
            name = f'{rate} claims/s, {latency_s * _MILLISECONDS:.0f} ms'
            found.extend(await _measure_rate(name, rate, latency_s))
    return found


async def _measure_rate(
    name: str, rate: int, latency_s: float
) -> list[figures.Figure]:
    clock = manual.ManualClock()
    store = Store(clock=clock, latency_s=latency_s)
    commits = groupcommit.GroupCommit(store=typing.cast(typing.Any, store))
    began_s = clock.now_s
    sent: list[asyncio.Future[groupcommit.CommitResult]] = []
    while clock.now_s - began_s < _COUNTED_S:
        clock.now_s += _STEP_S
        wanted = int((clock.now_s - began_s) * rate)
        for number in range(len(sent), wanted):
            sent.append(asyncio.ensure_future(_commit(commits, number)))
        await _run_ready(store)
    calls = store.calls
    waiting = sum(not each.done() for each in sent)
    while not all(each.done() for each in sent):
        clock.now_s += _STEP_S
        await _run_ready(store)
    return [
        figures.build_figure(f'{name}: calls', '/s', [calls / _COUNTED_S]),
        figures.build_figure(f'{name}: claims a call', '', [len(sent) / calls]),
        figures.build_figure(f'{name}: left waiting', '', [waiting]),
    ]


async def _commit(
    commits: groupcommit.GroupCommit, number: int
) -> groupcommit.CommitResult:
    key = f'lavenderledge/claims/customer/{number:064x}'
    return await commits.commit(
        operations.Transaction(
            (operations.Compare(key, operations.Target.CREATE, 0),),
            (operations.Put(key, _VALUE),),
            (operations.Get(key),),
        )
    )


async def _run_ready(store: Store) -> None:
    for _ in range(3):
        store.settle()
        await asyncio.sleep(0)
