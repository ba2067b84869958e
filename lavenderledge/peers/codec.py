"""Encoding of peer messages: one kind byte, then MessagePack arrays."""

import enum
import typing

import expression
import msgspec

from lavenderledge.peers import messages, slotmessages

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@enum.unique
class Fault(enum.StrEnum):
    """Why a message could not be encoded or decoded."""

    EMPTY = 'empty'
    TOO_LARGE = 'too_large'
    UNKNOWN_KIND = 'unknown_kind'
    MALFORMED = 'malformed'
    UNENCODABLE = 'unencodable'


class CodecFailure(typing.NamedTuple):
    """A message that could not be encoded or decoded."""

    fault: Fault
    detail: str


_KINDS: typing.Final[dict[type[messages.Message], int]] = {
    messages.Report: 1,
    messages.NewAsk: 2,
    messages.Release: 3,
    messages.Grant: 4,
    messages.Refuse: 5,
    messages.Preempt: 6,
    messages.Heartbeat: 7,
    messages.TableRequest: 8,
    messages.TableCopy: 9,
    slotmessages.Ask: 10,
    slotmessages.Grant: 11,
    slotmessages.Refusal: 12,
    slotmessages.Release: 13,
    slotmessages.Report: 14,
    slotmessages.Beat: 15,
}
_PREFIXES: typing.Final = {
    message_type: bytes((kind,)) for message_type, kind in _KINDS.items()
}
_DECODERS: typing.Final = {
    kind: msgspec.msgpack.Decoder(message_type, strict=True)
    for message_type, kind in _KINDS.items()
}
_ENCODER: typing.Final = msgspec.msgpack.Encoder()


def encode(
    message: messages.Message,
) -> expression.Result[bytes, CodecFailure]:
    """Return the bytes of a message, at most ``MAX_MESSAGE_BYTES``."""
    try:
        encoded = _ENCODER.encode(message)
    except (msgspec.MsgspecError, TypeError, OverflowError) as err:
        return _fail(Fault.UNENCODABLE, str(err))
    if len(encoded) >= MAX_MESSAGE_BYTES:
        return _fail(
            Fault.TOO_LARGE,
            f'got {len(encoded)} bytes, the limit is {MAX_MESSAGE_BYTES}',
        )
    return expression.Ok(_PREFIXES[type(message)] + encoded)


def decode(
    encoded: bytes,
) -> expression.Result[messages.Message, CodecFailure]:
    """Return the decoded message, with its types and bounds checked."""
    if not encoded:
        return _fail(Fault.EMPTY, 'expected a message, got 0 bytes')
    if len(encoded) > MAX_MESSAGE_BYTES:
        return _fail(
            Fault.TOO_LARGE,
            f'got {len(encoded)} bytes, the limit is {MAX_MESSAGE_BYTES}',
        )
    decoder = _DECODERS.get(encoded[0])
    if decoder is None:
        return _fail(Fault.UNKNOWN_KIND, f'unknown kind byte {encoded[0]}')
    try:
        message = decoder.decode(memoryview(encoded)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as err:
        return _fail(Fault.MALFORMED, str(err))
    return expression.Ok(message)


def name_kind(message: messages.Message) -> str:
    """Return the message's kind, as written to metrics and logs."""
    return type(message).__name__


def _fail(
    fault: Fault, detail: str
) -> expression.Result[typing.Any, CodecFailure]:
    return expression.Error(CodecFailure(fault, detail))
