"""Requests and responses of the key-value service, named as in etcd v3.

Keys and values are bytes and numbers are integers; ``gateway`` converts them
from and to base64 and decimal strings. As in protocol buffers, an absent
field has its zero value.
"""

import typing

Target: typing.TypeAlias = typing.Literal['VERSION', 'CREATE', 'MOD', 'VALUE']
Relation: typing.TypeAlias = typing.Literal[
    'EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL'
]


class Header(typing.TypedDict):
    """The store's revision at the time of a response."""

    revision: int


class KeyValue(typing.TypedDict):
    """One key with its value and revisions; ``lease`` 0 means none."""

    key: bytes
    create_revision: int
    mod_revision: int
    version: int
    value: bytes
    lease: int


class RangeRequest(typing.TypedDict, total=False):
    """A read of one key, or of a range that excludes ``range_end``.

    Sorted by ``KEY`` or ``MOD``; ascending unless ``DESCEND``.
    """

    key: bytes
    range_end: bytes
    limit: int
    keys_only: bool
    count_only: bool
    sort_order: str
    sort_target: str


class RangeResponse(typing.TypedDict):
    """The matching keys; ``count`` ignores the limit."""

    header: Header
    kvs: list[KeyValue]
    more: bool
    count: int


class PutRequest(typing.TypedDict, total=False):
    """A write of one key."""

    key: bytes
    value: bytes
    lease: int


class PutResponse(typing.TypedDict):
    """The response to a write."""

    header: Header


class DeleteRequest(typing.TypedDict, total=False):
    """A removal of one key, or of a range that excludes ``range_end``."""

    key: bytes
    range_end: bytes


class DeleteResponse(typing.TypedDict):
    """The number of removed keys."""

    header: Header
    deleted: int


class Compare(typing.TypedDict, total=False):
    """A condition on one key; the defaults are VERSION and EQUAL."""

    key: bytes
    target: Target
    result: Relation
    version: int
    create_revision: int
    mod_revision: int
    value: bytes


class Operation(typing.TypedDict, total=False):
    """One step of a transaction; exactly one field is set."""

    request_range: RangeRequest
    request_put: PutRequest
    request_delete_range: DeleteRequest
    request_txn: 'TxnRequest'


class TxnRequest(typing.TypedDict, total=False):
    """Conditions and the steps to run atomically in either case."""

    compare: list[Compare]
    success: list[Operation]
    failure: list[Operation]


class OperationResponse(typing.TypedDict, total=False):
    """The response to one step of a transaction."""

    response_range: RangeResponse
    response_put: PutResponse
    response_delete_range: DeleteResponse
    response_txn: 'TxnResponse'


class TxnResponse(typing.TypedDict):
    """The branch that ran, and the responses to its steps in order."""

    header: Header
    succeeded: bool
    responses: list[OperationResponse]


class GrantRequest(typing.TypedDict, total=False):
    """A new lease of ``TTL`` seconds; with ``ID`` 0 the store assigns one."""

    TTL: int
    ID: int


class LeaseRequest(typing.TypedDict, total=False):
    """A request for an existing lease."""

    ID: int
    keys: bool


class LeaseResponse(typing.TypedDict, total=False):
    """A lease and its TTL in seconds, 0 or -1 for an unknown lease."""

    header: Header
    ID: int
    TTL: int
    grantedTTL: int
    keys: list[bytes]


class WatchRequest(typing.TypedDict, total=False):
    """The keys to watch; ``start_revision`` 0 means from now on."""

    key: bytes
    range_end: bytes
    start_revision: int
    progress_notify: bool


class WatchCall(typing.TypedDict, total=False):
    """The body of a watch request."""

    create_request: WatchRequest


class Event(typing.TypedDict):
    """One change of one key."""

    type: typing.Literal['PUT', 'DELETE']
    kv: KeyValue


class WatchResponse(typing.TypedDict, total=False):
    """Changes in the order of their revisions."""

    header: Header
    created: bool
    canceled: bool
    compact_revision: int
    events: list[Event]
