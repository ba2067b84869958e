"""Claims: permanent records that let a non-idempotent call run only once.

A claim is created before dispatch, if absent, and is never taken over. Only
its creator stores the answer in it, or deletes it if the call was certainly
not dispatched.
"""

import asyncio
import base64
import hashlib
import typing
import uuid
from collections import abc

import expression
import msgspec

from lavenderledge import clock as clocks
from lavenderledge import timing
from lavenderledge.registry import groupcommit, operations

CLAIM_PREFIX = 'lavenderledge/claims/'
STORED_BODY_LIMIT_BYTES = 65_536

_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 5.0
_RETRY_TIMEOUT_S = 600
# An answer waits this long to be stored, and for at most this fraction of the
# time that its caller has left.
_MAX_STORE_WAIT_S = 1.0
_STORE_WAIT_RATIO = 0.5
# A create request in flight may take effect after the first deletion.
_UNDO_ATTEMPTS = 6


class StoredAnswer(typing.NamedTuple):
    """An answer stored in its claim."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Record(typing.NamedTuple):
    """A claim's value; ``token`` is unique to the attempt that created it."""

    token: str
    fingerprint: str
    instance: str
    created: str
    answer: StoredAnswer | None = None


class _StoredRecord(typing.TypedDict):
    token: str
    fingerprint: str
    instance: str
    created: str
    answer: StoredAnswer | None


class Claim(typing.NamedTuple):
    """A claim that this instance holds; ``value`` is its stored form."""

    name: str
    record: Record
    value: bytes


class Existing(typing.NamedTuple):
    """The claim exists already, created by another attempt."""

    record: Record


class Unavailable(typing.NamedTuple):
    """The claim could not be created in time and won't be used."""

    detail: str


CreateResult: typing.TypeAlias = (
    'expression.Result[Claim, Existing | Unavailable]'
)


def name_claim(customer: str, key: str) -> str:
    """Return the claim's name in the key-value service."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    owner = base64.urlsafe_b64encode(customer.encode()).decode()
    return f'{CLAIM_PREFIX}{owner}/{digest}'


def encode_record(record: Record) -> bytes:
    """Return a record's stored form, a JSON object."""
    return msgspec.json.encode(record._asdict())


def decode_record(stored: bytes) -> Record:
    """Return a stored record.

    Raises ``msgspec.MsgspecError`` if it is malformed.
    """
    return Record(**msgspec.json.decode(stored, type=_StoredRecord))


class Claims:
    """Creates, answers and deletes claims through group commits."""

    def __init__(
        self,
        *,
        instance: str,
        commits: groupcommit.GroupCommit,
        clock: clocks.Clock,
        count_retry: abc.Callable[[str], None],
        run_detached: abc.Callable[
            [abc.Coroutine[typing.Any, typing.Any, object]], None
        ],
    ) -> None:
        """Start without claims; ``run_detached`` starts background tasks."""
        self._instance = instance
        self._commits = commits
        self._clock = clock
        self._count_retry = count_retry
        self._run_detached = run_detached

    async def create(
        self,
        *,
        customer: str,
        key: str,
        fingerprint: str,
        deadline_s: float,
    ) -> CreateResult:
        """Create the claim, or return the existing one's record.

        Retries until the monotonic time ``deadline_s``. After a lost answer
        it creates again with the same token and compares the stored value.
        """
        claim = self._build_claim(customer, key, fingerprint)
        may_exist = False
        pause_s = _FIRST_PAUSE_S
        while True:
            result = await self._commits.commit(_create(claim))
            if result.is_ok():
                return _build_create_result(claim, result.ok)
            may_exist = may_exist or not isinstance(
                result.error, operations.Unavailable
            )
            if self._clock.read_monotonic() + pause_s >= deadline_s:
                break
            self._count_retry('claim_create')
            await self._clock.sleep(timing.seconds(pause_s))
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)
        if may_exist:
            self._run_detached(self._undo(claim))
        return expression.Error(Unavailable(repr(result.error)))

    def abandon(self, claim: Claim) -> None:
        """Delete a claim whose call was not and will not be dispatched."""
        self._run_detached(
            self._commit_with_retries(_remove(claim), 'claim_abandon')
        )

    async def store_answer(
        self, claim: Claim, answer: StoredAnswer, *, deadline_s: float
    ) -> None:
        """Store an answer in the claim, unless its body is over the limit.

        Returns when it is stored, so that a repeat gets it. In an outage it
        returns earlier, well before the caller's deadline ``deadline_s``
        (monotonic), and storing continues.
        """
        if len(answer.body) > STORED_BODY_LIMIT_BYTES:
            return
        record = claim.record._replace(answer=answer)
        change = operations.Transaction(
            (
                operations.Compare(
                    claim.name, operations.Target.VALUE, claim.value
                ),
            ),
            (operations.Put(claim.name, encode_record(record)),),
        )
        stored = asyncio.Event()
        self._run_detached(self._store(change, stored))
        left_s = max(0, deadline_s - self._clock.read_monotonic())
        await self._wait(
            stored, min(left_s * _STORE_WAIT_RATIO, _MAX_STORE_WAIT_S)
        )

    async def _store(
        self, change: operations.Transaction, stored: asyncio.Event
    ) -> None:
        try:
            await self._commit_with_retries(change, 'claim_answer')
        finally:
            stored.set()

    async def _wait(self, event: asyncio.Event, timeout_s: float) -> None:
        waiting = asyncio.ensure_future(event.wait())
        timer = asyncio.ensure_future(
            self._clock.sleep(timing.seconds(timeout_s))
        )
        try:
            await asyncio.wait(
                (waiting, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiting.cancel()
            timer.cancel()

    async def _undo(self, claim: Claim) -> None:
        """Delete a claim whose create request may still take effect."""
        for _ in range(_UNDO_ATTEMPTS):
            if await self._commit_with_retries(_remove(claim), 'claim_abandon'):
                return
            await self._clock.sleep(timing.seconds(_MAX_PAUSE_S))

    async def _commit_with_retries(
        self, change: operations.Transaction, name: str
    ) -> bool:
        """Commit a change with retries; its comparison makes it idempotent.

        Returns whether the comparison held in the last attempt.
        """
        deadline_s = self._clock.read_monotonic() + _RETRY_TIMEOUT_S
        pause_s = _FIRST_PAUSE_S
        while self._clock.read_monotonic() < deadline_s:
            result = await self._commits.commit(change)
            if result.is_ok():
                return result.ok.succeeded
            if isinstance(result.error, operations.Rejected):
                return False
            self._count_retry(name)
            await self._clock.sleep(timing.seconds(pause_s))
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)
        return False

    def _build_claim(self, customer: str, key: str, fingerprint: str) -> Claim:
        record = Record(
            token=uuid.uuid4().hex,
            fingerprint=fingerprint,
            instance=self._instance,
            created=self._clock.read_wall().isoformat(),
        )
        name = name_claim(customer, key)
        return Claim(name, record, encode_record(record))


def _create(claim: Claim) -> operations.Transaction:
    return operations.Transaction(
        (operations.Compare(claim.name, operations.Target.CREATE, 0),),
        (operations.Put(claim.name, claim.value),),
        (operations.Get(claim.name),),
    )


def _remove(claim: Claim) -> operations.Transaction:
    held = operations.Compare(claim.name, operations.Target.VALUE, claim.value)
    return operations.Transaction((held,), (operations.Delete(claim.name),))


def _build_create_result(
    claim: Claim, answer: operations.TransactAnswer
) -> CreateResult:
    if answer.succeeded:
        return expression.Ok(claim)
    lookup = answer.answers[0] if answer.answers else None
    if not isinstance(lookup, operations.GetAnswer) or not lookup.entries:
        return expression.Error(
            Unavailable('the service did not return the existing claim')
        )
    stored = lookup.entries[0].value
    if stored == claim.value:
        return expression.Ok(claim)
    try:
        return expression.Error(Existing(decode_record(stored)))
    except msgspec.MsgspecError as error:
        return expression.Error(Unavailable(f'malformed claim record: {error}'))
