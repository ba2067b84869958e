"""Requests and answers of the key-value service, as etcd v3 names them.

Keys and values are bytes and numbers are integers here; the JSON gateway's
base64 and decimal strings are dealt with in ``gateway``. An absent field has
its zero value, as in protocol buffers.
"""

import typing

Target: typing.TypeAlias = typing.Literal['VERSION', 'CREATE', 'MOD', 'VALUE']
Relation: typing.TypeAlias = typing.Literal[
    'EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL'
]


class Header(typing.TypedDict):
    """The store's revision when an answer was made."""

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
    """A read of one key, or of keys up to and without ``range_end``.

    Sorted by ``KEY`` or ``MOD``, ``DESCEND`` or else ascending.
    """

    key: bytes
    range_end: bytes
    limit: int
    keys_only: bool
    count_only: bool
    sort_order: str
    sort_target: str


class RangeResponse(typing.TypedDict):
    """The keys found; ``count`` ignores the limit."""

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
    """A write that took effect."""

    header: Header


class DeleteRequest(typing.TypedDict, total=False):
    """A removal of one key, or of keys up to and without ``range_end``."""

    key: bytes
    range_end: bytes


class DeleteResponse(typing.TypedDict):
    """How many keys were removed."""

    header: Header
    deleted: int


class Compare(typing.TypedDict, total=False):
    """A condition on one key; absent names mean VERSION and EQUAL."""

    key: bytes
    target: Target
    result: Relation
    version: int
    create_revision: int
    mod_revision: int
    value: bytes


class Operation(typing.TypedDict, total=False):
    """One step of a transaction; exactly one field is given."""

    request_range: RangeRequest
    request_put: PutRequest
    request_delete_range: DeleteRequest
    request_txn: 'TxnRequest'


class TxnRequest(typing.TypedDict, total=False):
    """Steps that run as one, chosen by conditions."""

    compare: list[Compare]
    success: list[Operation]
    failure: list[Operation]


class OperationResponse(typing.TypedDict, total=False):
    """The answer to one step of a transaction."""

    response_range: RangeResponse
    response_put: PutResponse
    response_delete_range: DeleteResponse
    response_txn: 'TxnResponse'


class TxnResponse(typing.TypedDict):
    """Which steps ran, and their answers in order."""

    header: Header
    succeeded: bool
    responses: list[OperationResponse]


class GrantRequest(typing.TypedDict, total=False):
    """A new lease of ``TTL`` seconds; ``ID`` 0 lets the store choose."""

    TTL: int
    ID: int


class LeaseRequest(typing.TypedDict, total=False):
    """A call on an existing lease."""

    ID: int
    keys: bool


class LeaseResponse(typing.TypedDict, total=False):
    """A lease and its seconds; ``TTL`` is 0 or -1 for an unknown one."""

    header: Header
    ID: int
    TTL: int
    grantedTTL: int
    keys: list[bytes]


class WatchRequest(typing.TypedDict, total=False):
    """What to watch; ``start_revision`` 0 means from now on."""

    key: bytes
    range_end: bytes
    start_revision: int
    progress_notify: bool


class WatchCall(typing.TypedDict, total=False):
    """The body of a watch call."""

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
