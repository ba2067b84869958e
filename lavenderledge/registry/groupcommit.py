"""Group commit: many small transactions in one call to the service."""

import asyncio
import collections
import typing

import expression

from lavenderledge.registry import keyvalue, operations

MAX_BATCH_ITEMS = 100
MAX_BATCH_BYTES = 900_000
_CALLS_AT_ONCE = 4

Committed: typing.TypeAlias = (
    'expression.Result[operations.TransactAnswer, operations.Failure]'
)


class _Item(typing.NamedTuple):
    transaction: operations.Transaction
    keys: frozenset[str]
    size: int
    committed: 'asyncio.Future[Committed]'


class GroupCommit:
    """Sends waiting transactions together, each independent of the others.

    While calls are under way further transactions gather, so that batches
    grow with the load and the service's rate does not.
    """

    def __init__(self, *, store: keyvalue.KeyValue) -> None:
        """Start with nothing waiting."""
        self._store = store
        self._waiting: collections.deque[_Item] = collections.deque()
        self._calls: set[asyncio.Task[None]] = set()

    async def commit(self, transaction: operations.Transaction) -> Committed:
        """Do one transaction; its size in bytes counts keys and values."""
        future: asyncio.Future[Committed]
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(
            _Item(
                transaction,
                _list_keys(transaction),
                _measure(transaction),
                future,
            )
        )
        self._start_call()
        return await future

    def _start_call(self) -> None:
        if not self._waiting or len(self._calls) >= _CALLS_AT_ONCE:
            return
        task = asyncio.create_task(self._call(self._take_batch()))
        self._calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        self._start_call()

    def _take_batch(self) -> list[_Item]:
        """Take what fits one call; the service takes each key only once."""
        batch: list[_Item] = []
        keys: set[str] = set()
        size = 0
        while self._waiting and len(batch) < MAX_BATCH_ITEMS:
            item = self._waiting[0]
            size += item.size
            if batch and (size > MAX_BATCH_BYTES or keys & item.keys):
                break
            keys |= item.keys
            batch.append(self._waiting.popleft())
        return batch

    async def _call(self, batch: list[_Item]) -> None:
        told = await self._transact(batch)
        if _is_rejected(told) and len(batch) > 1:
            # The service does not say which one it objects to.
            for item in batch:
                _settle(item, await self._transact([item]), 0)
            return
        for number, item in enumerate(batch):
            _settle(item, told, number)

    async def _transact(self, batch: list[_Item]) -> Committed:
        return await self._store.transact(
            (), [item.transaction for item in batch]
        )


def _is_rejected(told: Committed) -> bool:
    return told.is_error() and isinstance(told.error, operations.Rejected)


def _settle(item: _Item, told: Committed, number: int) -> None:
    if not item.committed.done():
        item.committed.set_result(_pick_answer(told, number))


def _list_keys(transaction: operations.Transaction) -> frozenset[str]:
    """Return the keys that a transaction may write."""
    changes = (*transaction.then, *transaction.otherwise)
    return frozenset(
        change.key
        for change in changes
        if isinstance(change, operations.Put | operations.Delete)
    )


def _measure(transaction: operations.Transaction) -> int:
    size = 0
    for compare in transaction.compares:
        if isinstance(compare.expected, bytes):
            size += len(compare.expected)
    for operation in transaction.then:
        if isinstance(operation, operations.Put):
            size += len(operation.value)
    return size


def _pick_answer(told: Committed, number: int) -> Committed:
    if told.is_error():
        return expression.Error(told.error)
    for answer in told.ok.answers[number : number + 1]:
        if isinstance(answer, operations.TransactAnswer):
            return expression.Ok(answer)
    return expression.Error(operations.Malformed('a nested answer is missing'))
