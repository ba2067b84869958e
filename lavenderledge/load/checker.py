"""A check that a streamed answer is whole and its caller's own."""

import enum
import typing

import msgspec

_ENDINGS = {
    'response.completed': True,
    'response.failed': False,
    'response.incomplete': False,
    'response.cancelled': False,
}
_DELTA = 'response.output_text.delta'
_CREATED = 'response.created'
_BREAK = b'\n\n'
_DATA = b'data: '
_ERROR_EVENT = b'event: error'


@enum.unique
class Fault(enum.StrEnum):
    """What is wrong with an answer that claims to be whole."""

    NONE = ''
    GAP = 'gap'
    OTHER_ID = 'other_id'
    OTHER_CALLER = 'other_caller'
    SHORT = 'short'
    TEXT = 'text'


class _Event(msgspec.Struct):
    type: str
    sequence_number: int
    delta: str = ''
    response: msgspec.Raw = msgspec.Raw()


class _Text(msgspec.Struct):
    text: str


class _Message(msgspec.Struct):
    content: list[_Text]


class _Response(msgspec.Struct):
    id: str
    metadata: dict[str, typing.Any] = msgspec.field(default_factory=dict)
    output: list[_Message] = msgspec.field(default_factory=list)


class Refusal(msgspec.Struct):
    """A refusal as a caller sees it."""

    code: str = 'unreadable'
    outcome: str = 'unknown'


class _RefusedBody(msgspec.Struct):
    error: Refusal


class Checker:
    """Takes the stream of one answer, chunk by chunk."""

    def __init__(self, *, request: str, output_tokens: int) -> None:
        """Expect so many tokens for the request of this name."""
        self.tokens = 0
        self.fault = Fault.NONE
        self.refusal: Refusal | None = None
        self.response_id = ''
        self._request = request
        self._wanted = output_tokens
        self._following = 0
        self._text: list[str] = []
        self._ended = False
        self._rest = b''

    @property
    def is_complete(self) -> bool:
        """Return whether the answer has come whole and faultless."""
        return self._ended and self.fault is Fault.NONE

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the stream."""
        events = (self._rest + chunk).split(_BREAK)
        self._rest = events.pop()
        for event in events:
            self._take(event)

    def _take(self, raw: bytes) -> None:
        data = raw.partition(_DATA)[2]
        if not data:
            return
        if raw.startswith(_ERROR_EVENT):
            self.refusal = read_refusal(data)
            return
        event = msgspec.json.decode(data, type=_Event)
        if event.sequence_number != self._following:
            self._blame(Fault.GAP)
        self._following = event.sequence_number + 1
        if event.type == _DELTA:
            self.tokens += 1
            self._text.append(event.delta)
        elif event.type == _CREATED:
            self._check_owner(event.response)
        elif _ENDINGS.get(event.type, False):
            self._check_end(event.response)

    def _check_owner(self, raw: msgspec.Raw) -> _Response:
        response = msgspec.json.decode(raw, type=_Response)
        if response.metadata.get('request') != self._request:
            self._blame(Fault.OTHER_CALLER)
        if self.response_id not in {'', response.id}:
            self._blame(Fault.OTHER_ID)
        self.response_id = response.id
        return response

    def _check_end(self, raw: msgspec.Raw) -> None:
        response = self._check_owner(raw)
        whole = ''.join(
            part.text for message in response.output for part in message.content
        )
        if self.tokens != self._wanted:
            self._blame(Fault.SHORT)
        if ''.join(self._text) != whole:
            self._blame(Fault.TEXT)
        self._ended = True

    def _blame(self, fault: Fault) -> None:
        self.fault = self.fault or fault


def read_refusal(body: bytes) -> Refusal:
    """Return the refusal in a JSON document."""
    try:
        return msgspec.json.decode(body, type=_RefusedBody).error
    except msgspec.MsgspecError:
        return Refusal()
