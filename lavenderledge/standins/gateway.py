"""The JSON form of the key-value service's messages.

Bytes are base64, numbers are decimal strings and zero values are left out,
as etcd's gateway does. Field names are read in snake case and camel case.
"""

import base64
import re
import typing

import expression
import msgspec

from lavenderledge.standins import storeerrors

_CAPITAL = re.compile('(?<=[a-z])([A-Z])')
_ZEROS: tuple[object, ...] = ('PUT', 0, False, b'', [])

Message = typing.TypeVar('Message')


def decode(
    body: bytes, message_type: type[Message]
) -> expression.Result[Message, storeerrors.StoreError]:
    """Return a request's message, or why it is malformed."""
    try:
        message = msgspec.convert(
            _rename(msgspec.json.decode(body or b'{}')),
            message_type,
            strict=False,
        )
    except (msgspec.MsgspecError, RecursionError) as error:
        return expression.Error(
            storeerrors.MALFORMED._replace(message=str(error))
        )
    return expression.Ok(message)


def encode(message: object) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(_trim(message))


def _rename(found: typing.Any) -> typing.Any:
    if isinstance(found, dict):
        return {
            _rename_field(name): _rename(inner) for name, inner in found.items()
        }
    if isinstance(found, list):
        return [_rename(inner) for inner in found]
    return found


def _rename_field(name: str) -> str:
    if name.isupper():
        return name
    return _CAPITAL.sub(r'_\1', name).lower()


def _trim(found: typing.Any) -> typing.Any:
    if isinstance(found, dict):
        return {
            name: _trim(inner)
            for name, inner in found.items()
            if inner not in _ZEROS
        }
    if isinstance(found, list):
        return [_trim(inner) for inner in found]
    if isinstance(found, bytes):
        return base64.b64encode(found).decode()
    if isinstance(found, int) and not isinstance(found, bool):
        return str(found)
    return found
