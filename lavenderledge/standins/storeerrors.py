"""Errors of the key-value service, with etcd's codes and messages."""

import typing

# gRPC status code UNAVAILABLE.
_UNAVAILABLE_CODE = 14


class StoreError(typing.NamedTuple):
    """The error of a rejected request; ``code`` is a gRPC status."""

    code: int
    message: str


TOO_LARGE = StoreError(3, 'etcdserver: request is too large')
TOO_MANY_OPERATIONS = StoreError(
    3, 'etcdserver: too many operations in txn request'
)
KEY_MISSING = StoreError(3, 'etcdserver: key is not provided')
DUPLICATE_KEY = StoreError(3, 'etcdserver: duplicate key given in txn request')
LEASE_UNKNOWN = StoreError(5, 'etcdserver: requested lease not found')
LEASE_EXISTS = StoreError(9, 'etcdserver: lease already exists')
MALFORMED = StoreError(3, 'malformed request')
UNAVAILABLE = StoreError(_UNAVAILABLE_CODE, 'etcdserver: no leader')
