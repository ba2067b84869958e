"""Checks that a streamed response is complete and fits its request."""

import enum
import typing

import msgspec

_IS_COMPLETED = {
    'response.completed': True,
    'response.failed': False,
    'response.incomplete': False,
    'response.cancelled': False,
}
_DELTA_EVENT = 'response.output_text.delta'
_CREATED_EVENT = 'response.created'
_EVENT_SEPARATOR = b'\n\n'
_DATA_PREFIX = b'data: '
_ERROR_PREFIX = b'event: error'


@enum.unique
class Fault(enum.StrEnum):
    """A fault of a stream; ``NONE`` if it has none."""

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


class _ContentPart(msgspec.Struct):
    text: str


class _OutputItem(msgspec.Struct):
    content: list[_ContentPart]


class _Response(msgspec.Struct):
    id: str
    metadata: dict[str, typing.Any] = msgspec.field(default_factory=dict)
    output: list[_OutputItem] = msgspec.field(default_factory=list)


class Refusal(msgspec.Struct):
    """The error of a refused request, as its caller receives it."""

    code: str = 'unreadable'
    outcome: str = 'unknown'


class _ErrorBody(msgspec.Struct):
    error: Refusal


class Checker:
    """Checks the event stream of one response, chunk by chunk."""

    def __init__(self, *, request: str, output_tokens: int) -> None:
        """Expect ``output_tokens`` tokens for the request ``request``."""
        self.tokens = 0
        self.fault = Fault.NONE
        self.refusal: Refusal | None = None
        self.response_id = ''
        self._request = request
        self._expected_tokens = output_tokens
        self._next_sequence = 0
        self._deltas: list[str] = []
        self._completed = False
        self._buffer = b''

    @property
    def is_complete(self) -> bool:
        """Return whether the response is complete and without faults."""
        return self._completed and self.fault is Fault.NONE

    def feed(self, chunk: bytes) -> None:
        """Process the next bytes of the stream."""
        events = (self._buffer + chunk).split(_EVENT_SEPARATOR)
        self._buffer = events.pop()
        for event in events:
            self._process_event(event)

    def _process_event(self, raw: bytes) -> None:
        data = raw.partition(_DATA_PREFIX)[2]
        if not data:
            return
        if raw.startswith(_ERROR_PREFIX):
            self.refusal = read_refusal(data)
            return
        event = msgspec.json.decode(data, type=_Event)
        if event.sequence_number != self._next_sequence:
            self._note_fault(Fault.GAP)
        self._next_sequence = event.sequence_number + 1
        if event.type == _DELTA_EVENT:
            self.tokens += 1
            self._deltas.append(event.delta)
        elif event.type == _CREATED_EVENT:
            self._check_ids(event.response)
        elif _IS_COMPLETED.get(event.type, False):
            self._check_end(event.response)

    def _check_ids(self, raw: msgspec.Raw) -> _Response:
        response = msgspec.json.decode(raw, type=_Response)
        if response.metadata.get('request') != self._request:
            self._note_fault(Fault.OTHER_CALLER)
        if self.response_id not in {'', response.id}:
            self._note_fault(Fault.OTHER_ID)
        self.response_id = response.id
        return response

    def _check_end(self, raw: msgspec.Raw) -> None:
        response = self._check_ids(raw)
        full_text = ''.join(
            part.text
            for output_item in response.output
            for part in output_item.content
        )
        if self.tokens != self._expected_tokens:
            self._note_fault(Fault.SHORT)
        if ''.join(self._deltas) != full_text:
            self._note_fault(Fault.TEXT)
        self._completed = True

    def _note_fault(self, fault: Fault) -> None:
        self.fault = self.fault or fault


def read_refusal(body: bytes) -> Refusal:
    """Return the refusal in a JSON body; a default one if malformed."""
    try:
        return msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return Refusal()
