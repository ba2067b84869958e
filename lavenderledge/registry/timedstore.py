"""A store that measures the duration of its calls."""

import typing
from collections import abc

import expression

from lavenderledge import clock as clocks
from lavenderledge.registry import store as stores

_Answer = typing.TypeVar('_Answer')
_Outcome: typing.TypeAlias = expression.Result[_Answer, stores.StoreFailure]

# Takes the call's name, its duration in seconds and its outcome: the fault
# or "ok".
NoteCall: typing.TypeAlias = abc.Callable[[str, float, str], object]


class TimedStore:
    """Forwards calls and reports the duration and outcome of each.

    The duration of a watch says nothing, because a watch waits for changes.
    """

    def __init__(
        self, *, store: stores.Store, clock: clocks.Clock, note_call: NoteCall
    ) -> None:
        """Forward calls to ``store``."""
        self._store = store
        self._clock = clock
        self._note_call = note_call

    async def list_keys(
        self, prefix: str, *, may_be_old: bool = False
    ) -> stores.ListResult:
        """Return the keys of a prefix."""
        return await self._time(
            'list', self._store.list_keys(prefix, may_be_old=may_be_old)
        )

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> stores.ListResult:
        """Return the changes after a revision; none if the wait times out."""
        return await self._time(
            'watch',
            self._store.watch(
                prefix, after_revision=after_revision, wait_s=wait_s
            ),
        )

    async def create(self, key: str, content: bytes) -> _Outcome[None]:
        """Write a key; CONFLICT if it exists."""
        return await self._time('create', self._store.create(key, content))

    async def replace(
        self, writes: abc.Sequence[stores.Write], *, key: str, revision: int
    ) -> _Outcome[int]:
        """Write keys together; CONFLICT if ``key`` has another revision."""
        return await self._time(
            'replace', self._store.replace(writes, key=key, revision=revision)
        )

    async def put(
        self, key: str, content: bytes, *, lease: stores.Lease
    ) -> _Outcome[None]:
        """Write a key that is deleted with its lease."""
        return await self._time(
            'put', self._store.put(key, content, lease=lease)
        )

    async def open_lease(self, ttl_s: float) -> _Outcome[stores.Lease]:
        """Grant a lease and return it."""
        return await self._time('open_lease', self._store.open_lease(ttl_s))

    async def keep_lease(self, lease: stores.Lease) -> _Outcome[None]:
        """Renew a lease."""
        return await self._time('keep_lease', self._store.keep_lease(lease))

    async def end_lease(self, lease: stores.Lease) -> _Outcome[None]:
        """Revoke a lease, which deletes its keys."""
        return await self._time('end_lease', self._store.end_lease(lease))

    async def _time(
        self, name: str, call: abc.Awaitable[_Outcome[_Answer]]
    ) -> _Outcome[_Answer]:
        started_s = self._clock.read_monotonic()
        answer = await call
        outcome = answer.error.fault.value if answer.is_error() else 'ok'
        self._note_call(name, self._clock.read_monotonic() - started_s, outcome)
        return answer
