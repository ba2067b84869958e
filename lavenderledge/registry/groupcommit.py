"""Group commit: sends many small transactions in one call."""

import asyncio
import collections
import typing

import expression

from lavenderledge.registry import keyvalue, operations

MAX_BATCH_ITEMS = 100
MAX_BATCH_BYTES = 900_000
_MAX_CONCURRENT_CALLS = 4

CommitResult: typing.TypeAlias = (
    'expression.Result[operations.TransactAnswer, operations.Failure]'
)


class _Item(typing.NamedTuple):
    transaction: operations.Transaction
    keys: frozenset[str]
    size_bytes: int
    outcome: 'asyncio.Future[CommitResult]'


class GroupCommit:
    """Sends queued transactions in batches; each succeeds or fails alone.

    While calls are in flight, further transactions queue, so that the
    batches grow with the load and the rate of calls does not.
    """

    def __init__(self, *, store: keyvalue.KeyValue) -> None:
        """Start with an empty queue."""
        self._store = store
        self._queue: collections.deque[_Item] = collections.deque()
        self._calls: set[asyncio.Task[None]] = set()

    async def commit(self, transaction: operations.Transaction) -> CommitResult:
        """Run one transaction as part of a batch and return its outcome."""
        future: asyncio.Future[CommitResult]
        future = asyncio.get_running_loop().create_future()
        self._queue.append(
            _Item(
                transaction,
                _list_keys(transaction),
                _count_bytes(transaction),
                future,
            )
        )
        self._start_call()
        return await future

    def _start_call(self) -> None:
        if not self._queue or len(self._calls) >= _MAX_CONCURRENT_CALLS:
            return
        task = asyncio.create_task(self._call(self._take_batch()))
        self._calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        self._start_call()

    def _take_batch(self) -> list[_Item]:
        """Take what fits one call, which may write each key only once."""
        batch: list[_Item] = []
        keys: set[str] = set()
        size_bytes = 0
        while self._queue and len(batch) < MAX_BATCH_ITEMS:
            item = self._queue[0]
            size_bytes += item.size_bytes
            if batch and (size_bytes > MAX_BATCH_BYTES or keys & item.keys):
                break
            keys |= item.keys
            batch.append(self._queue.popleft())
        return batch

    async def _call(self, batch: list[_Item]) -> None:
        outcome = await self._transact(batch)
        if _is_rejected(outcome) and len(batch) > 1:
            # The service does not name the rejected one: send each alone.
            for item in batch:
                _set_outcome(item, await self._transact([item]), 0)
            return
        for position, item in enumerate(batch):
            _set_outcome(item, outcome, position)

    async def _transact(self, batch: list[_Item]) -> CommitResult:
        return await self._store.transact(
            (), [item.transaction for item in batch]
        )


def _is_rejected(outcome: CommitResult) -> bool:
    return outcome.is_error() and isinstance(outcome.error, operations.Rejected)


def _set_outcome(item: _Item, outcome: CommitResult, position: int) -> None:
    if not item.outcome.done():
        item.outcome.set_result(_pick_answer(outcome, position))


def _list_keys(transaction: operations.Transaction) -> frozenset[str]:
    """Return the keys that a transaction may write."""
    changes = (*transaction.then, *transaction.otherwise)
    return frozenset(
        change.key
        for change in changes
        if isinstance(change, operations.Put | operations.Delete)
    )


def _count_bytes(transaction: operations.Transaction) -> int:
    size_bytes = 0
    for compare in transaction.compares:
        if isinstance(compare.expected, bytes):
            size_bytes += len(compare.expected)
    for operation in transaction.then:
        if isinstance(operation, operations.Put):
            size_bytes += len(operation.value)
    return size_bytes


def _pick_answer(outcome: CommitResult, position: int) -> CommitResult:
    if outcome.is_error():
        return expression.Error(outcome.error)
    for answer in outcome.ok.answers[position : position + 1]:
        if isinstance(answer, operations.TransactAnswer):
            return expression.Ok(answer)
    return expression.Error(
        operations.Malformed('no answer for a transaction of the batch')
    )
