"""The shapes of the etcd v3 gateway's answers, in JSON.

Fields that hold zero are left out, so every field may be absent.
"""

import typing


class Header(typing.TypedDict, total=False):
    """Heads each answer."""

    revision: int


class KeyValue(typing.TypedDict, total=False):
    """One stored key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int


class RangeAnswer(typing.TypedDict, total=False):
    """Answers a read."""

    header: Header
    kvs: list[KeyValue]


class DeleteAnswer(typing.TypedDict, total=False):
    """Answers a deletion."""

    deleted: int


class OperationAnswer(typing.TypedDict, total=False):
    """Answers one operation of a transaction."""

    response_range: RangeAnswer
    response_put: dict[str, object]
    response_delete_range: DeleteAnswer
    response_txn: 'TransactionAnswer'


class TransactionAnswer(typing.TypedDict, total=False):
    """Answers a transaction."""

    header: Header
    succeeded: bool
    responses: list[OperationAnswer]


class LeaseAnswer(typing.TypedDict, total=False):
    """Answers the grant of a lease."""

    ID: int
    TTL: int


class KeepAliveAnswer(typing.TypedDict):
    """Answers a renewal of a lease."""

    result: LeaseAnswer


class EventAnswer(typing.TypedDict, total=False):
    """One change of a watched key."""

    type: str
    kv: KeyValue


class WatchResult(typing.TypedDict, total=False):
    """One message of a watch."""

    header: Header
    created: bool
    canceled: bool
    cancel_reason: str
    compact_revision: int
    events: list[EventAnswer]


class WatchAnswer(typing.TypedDict, total=False):
    """One line of a watch's stream."""

    result: WatchResult
    error: dict[str, object]
