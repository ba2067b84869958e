"""Encoding of peer messages: one kind byte, then MessagePack arrays."""

import enum
import math
import typing

import expression
import msgspec

from lavenderledge.peers import messages

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@enum.unique
class Fault(enum.StrEnum):
    """Why bytes are not a message, or a message has no bytes."""

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
        return _fail(Fault.TOO_LARGE, f'{len(encoded)} bytes')
    return expression.Ok(_PREFIXES[type(message)] + encoded)


def decode(
    encoded: bytes,
) -> expression.Result[messages.Message, CodecFailure]:
    """Return the message in the bytes, with every field's type checked."""
    if not encoded:
        return _fail(Fault.EMPTY, 'no bytes')
    if len(encoded) > MAX_MESSAGE_BYTES:
        return _fail(Fault.TOO_LARGE, f'{len(encoded)} bytes')
    decoder = _DECODERS.get(encoded[0])
    if decoder is None:
        return _fail(Fault.UNKNOWN_KIND, f'kind {encoded[0]}')
    try:
        message = decoder.decode(memoryview(encoded)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as err:
        return _fail(Fault.MALFORMED, str(err))
    if not _is_finite(message):
        return _fail(Fault.MALFORMED, 'a number is not finite')
    return expression.Ok(message)


def name_kind(message: messages.Message) -> str:
    """Return the message's kind as metrics and logs name it."""
    return type(message).__name__


def _fail(
    fault: Fault, detail: str
) -> expression.Result[typing.Any, CodecFailure]:
    return expression.Error(CodecFailure(fault, detail))


def _is_finite(message: messages.Message) -> bool:
    return all(map(math.isfinite, _list_floats(message)))


def _list_floats(message: messages.Message) -> list[float]:
    if isinstance(message, messages.Report):
        return _list_report_floats(message)
    if isinstance(message, messages.NewAsk):
        return [message.stamp_s, *_list_ask_floats(message.ask)]
    if isinstance(message, messages.Grant):
        return [message.stamp_s]
    if isinstance(message, messages.Refuse):
        return [message.retry_after_s]
    return []


def _list_report_floats(report: messages.Report) -> list[float]:
    floats = [report.stamp_s]
    for ask in report.waiting:
        floats.extend(_list_ask_floats(ask))
    for reading in report.readings:
        floats.append(reading.token_gap_s)
        floats.append(reading.first_token_s)
    return floats


def _list_ask_floats(ask: messages.Ask) -> tuple[float, ...]:
    return (ask.weight, ask.remaining_s, ask.waited_s)
