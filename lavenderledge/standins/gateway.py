"""The JSON encoding of the key-value service.

As in etcd's gateway, bytes are base64, numbers are decimal strings and zero
values are omitted. Field names are accepted in snake case and camel case.
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
    """Decode a request body; the error says why it is malformed."""
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
    """Encode a message as JSON."""
    return msgspec.json.encode(_trim(message))


def _rename(message: typing.Any) -> typing.Any:
    if isinstance(message, dict):
        return {
            _rename_field(name): _rename(field)
            for name, field in message.items()
        }
    if isinstance(message, list):
        return [_rename(field) for field in message]
    return message


def _rename_field(name: str) -> str:
    if name.isupper():
        return name
    return _CAPITAL.sub(r'_\1', name).lower()


def _trim(message: typing.Any) -> typing.Any:
    if isinstance(message, dict):
        return {
            name: _trim(field)
            for name, field in message.items()
            if field not in _ZEROS
        }
    if isinstance(message, list):
        return [_trim(field) for field in message]
    if isinstance(message, bytes):
        return base64.b64encode(message).decode()
    if isinstance(message, int) and not isinstance(message, bool):
        return str(message)
    return message
