"""JSON schemas of the answers of the etcd v3 gateway.

Fields that hold zero are left out, so every field may be absent.
"""

import typing


class Header(typing.TypedDict, total=False):
    """The header of every answer."""

    revision: int


class KeyValue(typing.TypedDict, total=False):
    """One stored key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int


class RangeAnswer(typing.TypedDict, total=False):
    """Answer to a read."""

    header: Header
    kvs: list[KeyValue]


class DeleteAnswer(typing.TypedDict, total=False):
    """Answer to a deletion."""

    deleted: int


class OperationAnswer(typing.TypedDict, total=False):
    """Answer to one operation of a transaction."""

    response_range: RangeAnswer
    response_put: dict[str, object]
    response_delete_range: DeleteAnswer
    response_txn: 'TransactionAnswer'


class TransactionAnswer(typing.TypedDict, total=False):
    """Answer to a transaction."""

    header: Header
    succeeded: bool
    responses: list[OperationAnswer]


class LeaseAnswer(typing.TypedDict, total=False):
    """Answer to the grant of a lease."""

    ID: int
    TTL: int


class KeepAliveAnswer(typing.TypedDict):
    """Answer to the renewal of a lease."""

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
